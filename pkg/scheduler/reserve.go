package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/state"
)

// release is the expected end of one attempt on one worker.
type release struct {
	after   float64
	worker  int
	attempt int
}

// reserve keeps the group in which j can start first for it, once it has
// waited long: until then only gangs that are expected to be over start there.
func (c *cycle) reserve(j *Pending) {
	if j.Waited < c.policy.ReserveAfter || c.reservations >= c.policy.MaxReservations {
		return
	}
	var best []int
	bestAfter := math.Inf(1)
	for _, group := range c.spans(j.Spec.Within) {
		if workers, after := c.startIn(group, j); after < bestAfter {
			best, bestAfter = workers, after
		}
	}
	if best == nil {
		return
	}
	c.reservations++
	for _, i := range best {
		c.limit[i] = min(c.limit[i], bestAfter)
	}
}

// startIn returns when j is expected to fit into a group, and on which workers.
func (c *cycle) startIn(group span, j *Pending) (workers []int, after float64) {
	free := make([]Worker, group.end-group.start)
	copy(free, c.snap.Workers[group.start:group.end])
	var ends []release
	total, most := 0, 0
	for i := group.start; i < group.end; i++ {
		if c.quarantined[i] || !math.IsInf(c.limit[i], 1) {
			free[i-group.start].Free = free[i-group.start].Free.Sub(free[i-group.start].Capacity)
			continue
		}
		total += state.Slots(free[i-group.start].Free, j.Spec.PerTask)
		most += state.Slots(free[i-group.start].Capacity, j.Spec.PerTask)
		for _, k := range c.onWorker[i] {
			ends = append(ends, release{c.snap.Attempts[k].Remaining, i, k})
		}
	}
	if most < j.Spec.Tasks {
		return nil, math.Inf(1)
	}
	slices.SortFunc(ends, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.worker, b.worker), cmp.Compare(a.attempt, b.attempt))
	})
	for _, e := range ends {
		w := &free[e.worker-group.start]
		before := state.Slots(w.Free, j.Spec.PerTask)
		a := &c.snap.Attempts[e.attempt]
		w.Free = w.Free.Add(times(a.PerTask, c.tasksOn(a, e.worker)))
		total += state.Slots(w.Free, j.Spec.PerTask) - before
		if total >= j.Spec.Tasks {
			return holders(free, group, j), e.after
		}
	}
	return nil, math.Inf(1)
}

// holders returns the workers of a group that would take tasks of j.
func holders(free []Worker, group span, j *Pending) []int {
	var out []int
	for i := range free {
		if state.Slots(free[i].Free, j.Spec.PerTask) > 0 {
			out = append(out, group.start+i)
		}
	}
	return out
}
