package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

var workerCapacity = workload.Resources{MilliCores: 64000, MemoryMB: 262144, Accelerators: 8}

// need returns the demand of a task with the given number of accelerators.
func need(accelerators int) workload.Resources {
	return workload.Resources{MilliCores: 8000 * accelerators, MemoryMB: 32768 * accelerators, Accelerators: accelerators}
}

// racks returns idle workers in count racks of four.
func racks(count int) []*Worker {
	var workers []*Worker
	for i := range 4 * count {
		workers = append(workers, &Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/4), Labels: []string{"a"}, Free: workerCapacity, Capacity: workerCapacity, Schedulable: true, Speed: 1})
	}
	return workers
}

// occupy puts a running task on a worker.
func occupy(w *Worker, job string, index int, r workload.Resources, priority int, lostWork float64, gang bool) {
	w.Free = w.Free.Sub(r)
	w.Running = append(w.Running, RunningTask{Unit: workload.UnitID{Job: job}, Index: index, Need: r, Priority: priority, LostWork: lostWork, Gang: gang})
}

// unit returns a unit with count waiting tasks.
func unit(job string, count int, step workload.Step, priority int) *Unit {
	step.Count = count
	u := &Unit{ID: workload.UnitID{Job: job}, Step: &step, Priority: priority, PerWorker: map[string]int{}}
	for i := range count {
		u.Waiting = append(u.Waiting, i)
	}
	return u
}

func gang(accelerators int) workload.Step {
	return workload.Step{Need: need(accelerators), Gang: true, SameRack: true}
}

// rackOf returns the rack of all starts and fails the test unless they share one.
func rackOf(t *testing.T, workers []*Worker, starts []Assignment) string {
	t.Helper()
	byID := map[string]*Worker{}
	for _, w := range workers {
		byID[w.ID] = w
	}
	rack := ""
	for _, a := range starts {
		if r := byID[a.Worker].Rack; rack != "" && r != rack {
			t.Fatalf("starts on racks %s and %s", rack, r)
		} else {
			rack = r
		}
	}
	return rack
}

func TestGangSharesRackOrWaits(t *testing.T) {
	workers := racks(2)
	occupy(workers[0], "a", 0, need(8), 1, 1, false)
	occupy(workers[5], "b", 0, need(8), 1, 1, false)
	if plan := Decide(workers, []*Unit{unit("j", 4, gang(8), 1)}, 0); len(plan.Start) != 0 {
		t.Errorf("%d starts although no rack has four free workers", len(plan.Start))
	}
	plan := Decide(workers, []*Unit{unit("j", 3, gang(8), 1)}, 0)
	if len(plan.Start) != 3 {
		t.Fatalf("%d starts, want 3", len(plan.Start))
	}
	rackOf(t, workers, plan.Start)
}

// A gang that is wider than any rack may span racks.
func TestGangWiderThanAnyRackSpansRacks(t *testing.T) {
	if plan := Decide(racks(2), []*Unit{unit("j", 6, gang(8), 1)}, 0); len(plan.Start) != 6 {
		t.Errorf("%d starts, want 6", len(plan.Start))
	}
}

func TestPlacementHonoursTheStep(t *testing.T) {
	for name, c := range map[string]struct {
		step  workload.Step
		count int
		want  int
		check func(w *Worker) bool
	}{
		"label":            {workload.Step{Need: need(1), Label: "b"}, 3, 3, func(w *Worker) bool { return w.hasLabel("b") }},
		"data rack":        {workload.Step{Need: need(1), DataRack: "r1"}, 3, 3, func(w *Worker) bool { return w.Rack == "r1" }},
		"bound per worker": {workload.Step{Need: need(1), MaxPerWorker: 1, DataRack: "r1"}, 6, 4, func(w *Worker) bool { return w.Free.Accelerators == 7 }},
		"unknown label":    {workload.Step{Need: need(1), Label: "c"}, 3, 0, nil},
		"larger than any":  {workload.Step{Need: need(9)}, 1, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			workers := racks(2)
			workers[6].Labels = []string{"b"}
			plan := Decide(workers, []*Unit{unit("j", c.count, c.step, 1)}, 0)
			if len(plan.Start) != c.want {
				t.Fatalf("%d starts, want %d", len(plan.Start), c.want)
			}
			for _, a := range plan.Start {
				for _, w := range workers {
					if w.ID == a.Worker && !c.check(w) {
						t.Errorf("unexpected start on worker %s in rack %s", w.ID, w.Rack)
					}
				}
			}
		})
	}
}

func TestUnschedulableWorkersGetNothing(t *testing.T) {
	workers := racks(1)
	for _, w := range workers[1:] {
		w.Schedulable = false
	}
	plan := Decide(workers, []*Unit{unit("j", 20, workload.Step{Need: need(1)}, 1)}, 0)
	if len(plan.Start) != 8 {
		t.Errorf("%d starts, want the 8 of the schedulable worker", len(plan.Start))
	}
}

// A guaranteed gang preempts the tasks of least cost, gangs only as a whole, and starts
// only once the capacity is free.
func TestGuaranteedGangStopsWhatCostsLeast(t *testing.T) {
	workers := racks(2)
	for i, w := range workers {
		if i < 4 {
			occupy(w, "gang", i, need(8), 1, 1000, true)
			continue
		}
		for index := range 8 {
			occupy(w, fmt.Sprintf("bulk%d", i), index, need(1), 2, 10, false)
		}
	}
	u := unit("j", 2, gang(8), 0)
	u.Guaranteed, u.MustStart = true, true
	plan := Decide(workers, []*Unit{u}, 0)
	if len(plan.Start) != 0 || len(plan.Reserve) != 2 || len(plan.Stop) != 16 {
		t.Fatalf("%d starts, %d reservations, %d stops; want 0, 2 and 16", len(plan.Start), len(plan.Reserve), len(plan.Stop))
	}
	for _, id := range plan.Stop {
		if id.Job == "gang" {
			t.Error("a member of the gang is stopped")
		}
	}
}

// Guards against stopping wide gangs of usual priority for small urgent jobs too early: a
// stop costs more than a late urgent job, and the gang often ends in time by itself.
func TestCostlyWorkIsStoppedOnlyWhenTheGuaranteeIsDue(t *testing.T) {
	for due, want := range map[bool]int{false: 0, true: 4} {
		workers := racks(1)
		for i, w := range workers {
			occupy(w, "gang", i, need(8), 1, 400, true)
		}
		u := unit("j", 1, gang(2), 0)
		u.Guaranteed, u.MustStart = true, due
		if plan := Decide(workers, []*Unit{u}, 0); len(plan.Stop) != want {
			t.Errorf("due %v: %d stops, want %d", due, len(plan.Stop), want)
		}
	}
}

// Tasks of guaranteed jobs are not preempted, not even for a guaranteed unit.
func TestGuaranteedWorkIsNotStopped(t *testing.T) {
	workers := racks(1)
	for i, w := range workers {
		occupy(w, "other", i, need(8), 0, 1, false)
		w.Running[0].Guaranteed = true
	}
	u := unit("j", 1, gang(8), 0)
	u.Guaranteed = true
	if plan := Decide(workers, []*Unit{u}, 0); len(plan.Stop)+len(plan.Reserve)+len(plan.Start) != 0 {
		t.Errorf("plan %+v, want none", plan)
	}
}

// However urgent a unit is, it must stop neither guaranteed nor long-running work; it does stop
// the same work without these properties.
func TestProtectedWorkIsNotStoppedHoweverUrgentTheUnit(t *testing.T) {
	for name, c := range map[string]struct {
		running RunningTask
		stops   int
	}{
		"none":                     {RunningTask{Priority: 2}, 1},
		"guaranteed":               {RunningTask{Priority: 2, Guaranteed: true}, 0},
		"guaranteed, as urgent":    {RunningTask{Priority: 0, Guaranteed: true}, 0},
		"long-running":             {RunningTask{Priority: 2, LongRunning: true}, 0},
		"long-running, guaranteed": {RunningTask{Priority: 1, LongRunning: true, Guaranteed: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			workers := racks(1)
			for i, w := range workers {
				occupy(w, "other", i, need(8), c.running.Priority, 1, false)
				w.Running[0].Guaranteed, w.Running[0].LongRunning = c.running.Guaranteed, c.running.LongRunning
			}
			u := unit("j", 1, gang(8), 0)
			u.Guaranteed, u.MustStart = true, true
			if plan := Decide(workers, []*Unit{u}, 0); len(plan.Stop) != c.stops {
				t.Errorf("%d stops, want %d", len(plan.Stop), c.stops)
			}
		})
	}
}

// Guards against urgent gangs that preempt each other again and again just after their
// start, when accounts submit more urgent work than their guarantees cover.
func TestUrgentWorkIsStoppedLast(t *testing.T) {
	workers := racks(1)
	for i, w := range workers {
		if i < 2 {
			occupy(w, "urgent", i, need(8), 0, 1, true)
		} else {
			occupy(w, "usual", i, need(8), 1, 500, false)
		}
	}
	u := unit("j", 2, gang(8), 0)
	u.Guaranteed, u.MustStart = true, true
	plan := Decide(workers, []*Unit{u}, 0)
	for _, id := range plan.Stop {
		if id.Job == "urgent" {
			t.Error("urgent work is stopped although other work could be")
		}
	}
	if len(plan.Stop) != 2 {
		t.Errorf("%d stops, want 2", len(plan.Stop))
	}
}

// Urgent work beyond the guarantee preempts only tasks of low cost.
func TestUrgentWorkBeyondItsGuaranteeStopsCheapWork(t *testing.T) {
	for cost, want := range map[float64]int{minPreemptionCostLimit / 8: 8, minPreemptionCostLimit: 0} {
		workers := racks(1)[:1]
		for index := range 8 {
			occupy(workers[0], "bulk", index, need(1), 2, cost, false)
		}
		if plan := Decide(workers, []*Unit{unit("j", 1, gang(8), 0)}, 0); len(plan.Stop) != want {
			t.Errorf("at %g core-seconds each: %d stops, want %d", cost, len(plan.Stop), want)
		}
	}
}

// Guards against bulk work that fills the racks while urgent jobs arrive every second.
func TestHeadroomIsLeftForUrgentWork(t *testing.T) {
	workers := racks(1)
	bulk := unit("bulk", 40, workload.Step{Need: need(1)}, 2)
	plan := Decide(workers, []*Unit{bulk}, 8)
	if len(plan.Start) != 24 {
		t.Errorf("%d bulk starts, want 24: one worker stays idle", len(plan.Start))
	}
	if plan := Decide(workers, []*Unit{unit("urgent", 1, gang(8), 0)}, 8); len(plan.Start) != 1 || len(plan.Stop) != 0 {
		t.Errorf("%d urgent starts and %d stops, want 1 and 0", len(plan.Start), len(plan.Stop))
	}
	late := unit("late", 8, workload.Step{Need: need(1)}, 2)
	late.MayUseHeadroom = true
	if plan := Decide(racks(1)[:1], []*Unit{late}, 8); len(plan.Start) != 8 {
		t.Errorf("%d starts of work that may use the headroom, want 8", len(plan.Start))
	}
}

// A gang member that was not started is placed in the rack of the others.
func TestMissingMemberIsPlacedInTheGangsRack(t *testing.T) {
	workers := racks(2)
	u := unit("j", 1, gang(2), 1)
	u.RequiredRack = "r1"
	plan := Decide(workers, []*Unit{u}, 0)
	if len(plan.Start) != 1 || rackOf(t, workers, plan.Start) != "r1" {
		t.Errorf("starts %v, want one in r1", plan.Start)
	}
}

// Tasks that end within the time of a stop are waited for and not stopped, whatever their
// cost or guarantee.
func TestEndingTasksAreWaitedFor(t *testing.T) {
	workers := racks(1)[:2]
	occupy(workers[0], "ending", 0, need(8), 0, 5000, false)
	workers[0].Running[0].Ending, workers[0].Running[0].Guaranteed = true, true
	occupy(workers[1], "begun", 0, need(8), 2, 100, false)
	u := unit("j", 1, gang(8), 0)
	u.Guaranteed = true
	plan := Decide(workers, []*Unit{u}, 0)
	if len(plan.Stop) != 0 || len(plan.Reserve) != 1 || plan.Reserve[0].Worker != workers[0].ID {
		t.Errorf("plan %+v, want a reservation on %s and no stop", plan, workers[0].ID)
	}
}

// Guards against urgent work on slow workers: workers differ in speed by half, while an
// urgent job's objective allows 1.5 times its run time on a usual worker.
func TestUrgentWorkTakesFastWorkers(t *testing.T) {
	workers := racks(2)
	for _, w := range workers[4:] {
		w.Speed = 1.25
	}
	plan := Decide(workers, []*Unit{unit("urgent", 3, gang(8), 0)}, 0)
	if rack := rackOf(t, workers, plan.Start); rack != "r1" {
		t.Errorf("urgent work starts in %s, want the fast r1", rack)
	}
}

func TestOrder(t *testing.T) {
	guaranteed := &Unit{ID: workload.UnitID{Job: "g"}, Guaranteed: true, DeadlineMS: 9}
	expired := &Unit{ID: workload.UnitID{Job: "e"}, Priority: 0, Expired: true}
	urgent := &Unit{ID: workload.UnitID{Job: "u"}, Priority: 0, DeadlineMS: 9}
	early := &Unit{ID: workload.UnitID{Job: "x"}, Priority: 1, DeadlineMS: 1}
	late := &Unit{ID: workload.UnitID{Job: "y"}, Priority: 1, DeadlineMS: 2}
	order := []*Unit{guaranteed, urgent, early, late, expired}
	for i := range order {
		for j := range order {
			got := CompareUnits(order[i], order[j])
			if i < j && got >= 0 || i > j && got <= 0 || i == j && got != 0 {
				t.Errorf("CompareUnits(%s, %s) = %d", order[i].ID.Job, order[j].ID.Job, got)
			}
		}
	}
}

// Guards against a gang that waits although most workers are idle, because every rack is
// partly used and none fits the gang.
func TestGangSpansRacksOnlyIfItMayRunAnywhere(t *testing.T) {
	for name, c := range map[string]struct {
		taken   int
		anyRack bool
		ample   bool
		starts  int
	}{
		"waits for a rack at first":          {taken: 1, ample: true},
		"spans racks in the end":             {taken: 1, anyRack: true, ample: true, starts: 4},
		"stays in a rack with free capacity": {anyRack: true, ample: true, starts: 4},
		"waits while little is idle":         {taken: 3},
	} {
		t.Run(name, func(t *testing.T) {
			workers := racks(3)
			for rack := range 3 {
				for i := range c.taken {
					occupy(workers[4*rack+i], "other", i, need(8), 1, 0, false)
				}
			}
			u := unit("wide", 4, gang(8), 1)
			u.AnyRack = c.anyRack
			if got := HasAmpleCapacity(workers, u); got != c.ample {
				t.Errorf("ample capacity: %v, want %v", got, c.ample)
			}
			plan := Decide(workers, []*Unit{u}, 0)
			if len(plan.Start) != c.starts {
				t.Errorf("%d starts, want %d", len(plan.Start), c.starts)
			}
			if c.taken == 0 {
				rackOf(t, workers, plan.Start)
			}
		})
	}
}

// Long-running tasks must not wait for a rack however full the site is, if they fit elsewhere twice
// over.
func TestAmpleCapacityForLongRunningTasksOfAFullSite(t *testing.T) {
	for _, c := range []struct {
		longRunning bool
		idle        int
		ample       bool
	}{{true, 4, true}, {true, 3, false}, {false, 4, false}, {false, 7, true}} {
		workers := racks(3)
		for i := range len(workers) - c.idle {
			occupy(workers[i], "other", i, need(8), 1, 0, false)
		}
		u := unit("lasting", 2, workload.Step{Need: need(8), DataRack: "r0"}, 1)
		u.LongRunning = c.longRunning
		if got := HasAmpleCapacity(workers, u); got != c.ample {
			t.Errorf("long-running %v, %d of 12 workers idle: ample %v, want %v", c.longRunning, c.idle, got, c.ample)
		}
	}
}

func TestTasksLeaveTheirDataOnlyIfTheyMayRunAnywhere(t *testing.T) {
	for _, anyRack := range []bool{false, true} {
		workers := racks(2)
		for i := range 4 {
			occupy(workers[i], "other", i, need(8), 1, 0, false)
		}
		u := unit("local", 2, workload.Step{Need: need(1), DataRack: "r0"}, 1)
		u.AnyRack = anyRack
		if plan := Decide(workers, []*Unit{u}, 0); (len(plan.Start) == 2) != anyRack {
			t.Errorf("any rack %v: %d starts", anyRack, len(plan.Start))
		}
	}
}

// A task that may crash its worker must not start together with anything else there, in
// whichever order the units are placed.
func TestUnitsThatStartApart(t *testing.T) {
	for _, priority := range []int{0, 1, 2} {
		apart := unit("b", 1, workload.Step{Need: need(1)}, priority)
		apart.StartsApart = true
		others := []*Unit{unit("a", 1, workload.Step{Need: need(1)}, 1), unit("c", 2, workload.Step{Need: need(1)}, 1)}
		plan := Decide(racks(1), append(others, apart), 0)
		if len(plan.Start) != 4 {
			t.Fatalf("%d starts, want 4", len(plan.Start))
		}
		where := map[string][]string{}
		for _, a := range plan.Start {
			where[a.Task.Job] = append(where[a.Task.Job], a.Worker)
		}
		for _, job := range []string{"a", "c"} {
			if slices.Contains(where[job], where["b"][0]) {
				t.Errorf("priority %d: job %s starts beside the one that starts apart: %v", priority, job, where)
			}
		}
	}
}
