package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// candidate is a worker that can take at least one task of a gang.
type candidate struct {
	worker int
	slots  int
	// foreign is how many accelerators of a task would be in cells of other
	// accounts.
	foreign int
}

// failedWorkerPenalty is added to the score for each task on a worker on which
// jobs have failed since one last succeeded.
const failedWorkerPenalty = 4

// rackBusySecondsPerUnit is the extra time for which a gang keeps a rack busy
// that counts as one unusable accelerator at RackBusyWeight 1.
const rackBusySecondsPerUnit = 60

// rackFreeWeight weighs each free accelerator of a rack. It is small, so that it
// only breaks ties in favour of fuller racks.
const rackFreeWeight = 0.01

// slots returns how many tasks of j worker i may take now.
func (c *cycle) slots(i int, j *Pending) int {
	w := &c.snap.Workers[i]
	if w.Free.Accelerators < j.Spec.PerTask.Accelerators || !c.isEligible(i, j) {
		return 0
	}
	if j.Estimate > c.maxEstimate[i] && w.Reserved.Of(j.Spec.Account) == (api.Resources{}) {
		return 0
	}
	n := state.TaskSlots(w.Free, j.Spec.PerTask)
	if n > 0 && j.NonPreemptible {
		n = min(n, state.TaskSlots(cells.FreeForNonPreemptible(w.Capacity, w.Reserved, w.NonPreemptible, j.Spec.Account), j.Spec.PerTask))
	}
	return n
}

// isEligible reports whether j may run on worker i given the failures on it. A
// gang never runs on a worker on which it has failed or, with one start left, on
// which any job has failed since one last succeeded. An idle quarantined worker
// takes one single-task gang at a time after ProbationSeconds.
func (c *cycle) isEligible(i int, j *Pending) bool {
	w := &c.snap.Workers[i]
	if w.FailedJobs == 0 {
		return true
	}
	if j.Attempts+1 >= j.Spec.MaxAttempts || slices.Contains(j.FailedOn, w.ID) {
		return false
	}
	if !w.quarantined {
		return true
	}
	return w.FailingSeconds >= c.policy.ProbationSeconds && j.Spec.Tasks == 1 && len(c.onWorker[i]) == 0 && w.Free == w.Capacity
}

// freeOutsideForeignCells returns how many free accelerators of worker i are open
// to account without using the cells of other accounts, which can reclaim them at
// any time.
func (c *cycle) freeOutsideForeignCells(i int, account string) int {
	w := &c.snap.Workers[i]
	out := w.Free.Accelerators
	for _, amount := range w.Reserved {
		if amount.Account != account {
			out -= cells.Excess(amount.Resources, c.held[i].Of(amount.Account)).Accelerators
		}
	}
	// The account can always take its own cells, even if others overflow into them.
	return max(out, cells.Excess(w.Reserved.Of(account), c.held[i].Of(account)).Accelerators)
}

// foreignAccelerators returns how many accelerators of one task of j would be in
// cells of other accounts on worker i.
func (c *cycle) foreignAccelerators(i int, j *Pending) int {
	if len(c.snap.Workers[i].Reserved) == 0 || j.NonPreemptible {
		return 0
	}
	need := j.Spec.PerTask.Accelerators
	return min(need, max(0, need-c.freeOutsideForeignCells(i, j.Spec.Account)))
}

// slotsOutsideForeignCells is like slots but leaves out the cells of other
// accounts.
func (c *cycle) slotsOutsideForeignCells(i int, j *Pending) int {
	n := c.slots(i, j)
	need := j.Spec.PerTask.Accelerators
	if n == 0 || len(c.snap.Workers[i].Reserved) == 0 || j.NonPreemptible || need == 0 {
		return n
	}
	return min(n, max(0, c.freeOutsideForeignCells(i, j.Spec.Account))/need)
}

// place returns the worker for each task of j, or nil if j does not fit now. A
// gang that must fit within one zone goes into one rack if possible. With
// avoidForeignCells, j takes nothing from the cells of other accounts.
func (c *cycle) place(j *Pending, avoidForeignCells bool) []int {
	var best []int
	bestScore := math.Inf(1)
	for rack, group := range c.racks {
		chosen := c.choose(group, j, avoidForeignCells)
		if chosen == nil {
			continue
		}
		if score := c.score(rack, j, chosen); score < bestScore {
			best, bestScore = slices.Clone(chosen), score
		}
	}
	if best != nil || j.Spec.Within != api.WithinZone {
		return best
	}
	for _, zone := range c.zones {
		if chosen := c.choose(zone, j, avoidForeignCells); chosen != nil {
			return chosen
		}
	}
	return nil
}

// choose returns a worker of one group for each task of j, or nil if the gang
// does not fit. Workers without failures come first, then those on which the
// gang uses the least of the cells of other accounts, then the fullest.
func (c *cycle) choose(group span, j *Pending, avoidForeignCells bool) []int {
	c.candidates = c.candidates[:0]
	total := 0
	single := j.Spec.Within == api.WithinWorker
	for i := group.start; i < group.end; i++ {
		n := c.slots(i, j)
		if avoidForeignCells {
			n = c.slotsOutsideForeignCells(i, j)
		}
		if n == 0 || (single && n < j.Spec.Tasks) {
			continue
		}
		total += n
		c.candidates = append(c.candidates, candidate{i, n, c.foreignAccelerators(i, j)})
	}
	if total < j.Spec.Tasks {
		return nil
	}
	slices.SortStableFunc(c.candidates, c.compareCandidates)
	chosen := make([]int, 0, j.Spec.Tasks)
	for _, cand := range c.candidates {
		for k := 0; k < cand.slots && len(chosen) < j.Spec.Tasks; k++ {
			chosen = append(chosen, cand.worker)
		}
	}
	return chosen
}

func (c *cycle) compareCandidates(a, b candidate) int {
	x, y := &c.snap.Workers[a.worker], &c.snap.Workers[b.worker]
	return cmp.Or(
		cmp.Compare(min(x.FailedJobs, 1), min(y.FailedJobs, 1)), cmp.Compare(a.foreign, b.foreign),
		cmp.Compare(x.Free.Accelerators, y.Free.Accelerators), cmp.Compare(x.Free.Cores, y.Free.Cores),
	)
}

// score returns a penalty for a placement in a rack. It is lower if the
// placement makes less free capacity unusable, takes less of the cells of other
// accounts, avoids workers on which jobs have failed, does not keep the rack
// busy longer, and is in a fuller rack.
func (c *cycle) score(rack int, j *Pending, chosen []int) float64 {
	penalty := c.policy.ForeignCellPenaltyNoCheckpoint
	if j.Spec.Checkpoint {
		penalty = c.policy.ForeignCellPenalty
	}
	score := c.fragmentGradient(rack, j, chosen)
	for _, i := range chosen {
		score += penalty * float64(c.foreignAccelerators(i, j))
		if c.snap.Workers[i].FailedJobs > 0 {
			score += failedWorkerPenalty
		}
	}
	if !j.Spec.Checkpoint {
		score += c.policy.RackBusyWeight * max(0, j.Estimate-c.rackBusySeconds[rack]) / rackBusySecondsPerUnit
	}
	free := 0
	for i := c.racks[rack].start; i < c.racks[rack].end; i++ {
		free += max(0, c.snap.Workers[i].Free.Accelerators)
	}
	return score + rackFreeWeight*float64(free)
}
