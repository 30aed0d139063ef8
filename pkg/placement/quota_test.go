package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// idleSite returns workers without tasks, four in each rack.
func idleSite(count int) []*Worker {
	var workers []*Worker
	for i := range count {
		workers = append(workers, &Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%02d", i/4), Free: workerCapacity, Capacity: workerCapacity, Schedulable: true, Speed: 1})
	}
	return workers
}

// An account at its limit gets nothing more, and what waits behind its units starts.
func TestLimitOfAnAccountIsKept(t *testing.T) {
	quota := &Quota{Limit: workload.Resources{Accelerators: 10}, Used: need(4)}
	tasks := unit("tasks", 5, workload.Step{Need: need(2)}, 1)
	wide := unit("gang", 4, gang(1), 1)
	other := unit("other", 5, workload.Step{Need: need(2)}, 2)
	tasks.Quota, wide.Quota = quota, quota
	plan := Decide(idleSite(4), []*Unit{tasks, wide, other}, 0)
	starts := map[string]int{}
	for _, a := range plan.Start {
		starts[a.Task.Job]++
	}
	if starts["gang"] != 4 && starts["gang"] != 0 || 2*starts["tasks"]+starts["gang"] != 6 && 2*starts["tasks"]+starts["gang"] != 5 {
		t.Errorf("starts %v, want 5 or 6 accelerators of the limited account, and its gang whole or not at all", starts)
	}
	if starts["other"] != 5 {
		t.Errorf("%d tasks of another account start, want 5", starts["other"])
	}
	if len(plan.OverQuota) == 0 || slices.Contains(plan.OverQuota, other.ID) {
		t.Errorf("held back by a limit: %v, want units of the limited account only", plan.OverQuota)
	}
}

// An urgent unit of an account at its limit stops bulk work of that account, and of no other
// one, although another one's would cost less.
func TestUrgentWorkStopsItsOwnAccountsWorkAtTheLimit(t *testing.T) {
	workers := idleSite(4)
	quota := &Quota{Limit: workload.Resources{Accelerators: 8}, Used: need(8)}
	occupy(workers[0], "own", 0, need(8), 2, 50, false)
	occupy(workers[1], "foreign", 0, need(8), 2, 10, false)
	workers[0].Running[0].Quota = quota
	urgent := unit("urgent", 1, gang(8), 0)
	urgent.Quota = quota
	plan := Decide(workers, []*Unit{urgent}, 0)
	if len(plan.Start) != 0 || len(plan.Stop) != 1 || plan.Stop[0].Job != "own" {
		t.Errorf("starts %v, stops %v; want a stop of the account's own bulk task only", plan.Start, plan.Stop)
	}
	// While that task is being stopped, nothing else has to be.
	workers[0].Running, workers[0].Releasing = nil, need(8)
	quota.Releasing = need(8)
	if plan = Decide(workers, []*Unit{urgent}, 0); len(plan.Stop) != 0 {
		t.Errorf("stops %v while the capacity is being released, want none", plan.Stop)
	}
}

// Whatever the accounts, limits and units: a plan brings no account over its limit, places
// gangs whole, and leaves no task waiting that a worker and its account's limit have room for.
func TestLimitsOverRandomSites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := idleSite(rapid.IntRange(1, 12).Draw(t, "workers"))
		var quotas []*Quota
		for i := range rapid.IntRange(1, 4).Draw(t, "accounts") {
			quotas = append(quotas, &Quota{Limit: workload.Resources{Accelerators: rapid.IntRange(0, 40).Draw(t, "limit"), MilliCores: rapid.IntRange(0, 1).Draw(t, "cores limited") * 100_000}})
			_ = i
		}
		var units []*Unit
		for i := range rapid.IntRange(1, 12).Draw(t, "units") {
			step := workload.Step{Need: need(rapid.IntRange(1, 8).Draw(t, "need")), Gang: rapid.Bool().Draw(t, "gang")}
			u := unit(fmt.Sprintf("u%d", i), rapid.IntRange(1, 9).Draw(t, "tasks"), step, rapid.IntRange(0, 2).Draw(t, "priority"))
			u.Quota = quotas[rapid.IntRange(0, len(quotas)-1).Draw(t, "account")]
			units = append(units, u)
		}
		plan := Decide(workers, units, 0)
		started := map[workload.UnitID]int{}
		for _, a := range plan.Start {
			started[a.Task.UnitID]++
		}
		for _, q := range quotas {
			if q.Exceeded() {
				t.Fatalf("used %v, limit %v", q.Used, q.Limit)
			}
		}
		for _, u := range units {
			n := started[u.ID]
			if u.Step.Gang {
				if n != 0 && n != len(u.Waiting) {
					t.Fatalf("%d of %d members of a gang start", n, len(u.Waiting))
				}
				continue
			}
			for _, w := range workers {
				if n < len(u.Waiting) && u.Quota.fitting(u.Step.Need) > 0 && slots(u, w, w.Free) > 0 {
					t.Fatalf("%d of %d tasks start, though worker %s has room and the account, too", n, len(u.Waiting), w.ID)
				}
			}
		}
	})
}

// A guaranteed gang of an account at its limit stops even costly work of the account at once:
// it may have to wait for a second stop, of another account's work, within the time that its
// guarantee allows.
func TestGuaranteedWorkDoesNotWaitAtTheLimit(t *testing.T) {
	for guaranteed, stops := range map[bool]int{true: 1, false: 0} {
		workers := idleSite(2)
		quota := &Quota{Limit: workload.Resources{Accelerators: 8}, Used: need(8)}
		occupy(workers[0], "own", 0, need(8), 1, 5000, false)
		workers[0].Running[0].Quota = quota
		urgent := unit("urgent", 1, gang(8), 0)
		urgent.Quota, urgent.Guaranteed = quota, guaranteed
		if plan := Decide(workers, []*Unit{urgent}, 0); len(plan.Stop) != stops {
			t.Errorf("guaranteed %v: stops %v, want %d", guaranteed, plan.Stop, stops)
		}
	}
}

// An urgent gang waits until its account's limit has room for all of it. Bulk tasks of the
// account must not take what is released meanwhile.
func TestBulkWorkDoesNotTakeWhatAnUrgentGangWaitsFor(t *testing.T) {
	quota := &Quota{Limit: workload.Resources{Accelerators: 16}, Used: need(10), Releasing: need(6)}
	urgent, bulk, other := unit("urgent", 2, gang(8), 0), unit("bulk", 8, workload.Step{Need: need(1)}, 2), unit("other", 3, workload.Step{Need: need(1)}, 2)
	urgent.Quota, bulk.Quota = quota, quota
	plan := Decide(idleSite(8), []*Unit{urgent, bulk, other}, 0)
	for _, a := range plan.Start {
		if a.Task.Job != "other" {
			t.Errorf("%s starts, want only the other account's tasks", a.Task.Job)
		}
	}
	if len(plan.Start) != 3 {
		t.Errorf("%d starts, want 3", len(plan.Start))
	}
}
