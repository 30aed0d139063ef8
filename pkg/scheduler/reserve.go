package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// drainWaits are the times in seconds after which reserve considers that a gang
// could start.
var drainWaits = [...]float64{0, 30, 120, 300, 900, 2700}

// reservation is a plan to start a wide gang once a group has drained.
type reservation struct {
	gangPlan
	// wait is the time until the group has drained, in seconds.
	wait float64
	// cost is the work lost by stopping attempts and by accelerators that stay
	// free while the group drains, in accelerator seconds.
	cost float64
}

// reserve reserves the workers of one group for a wide gang that has waited
// long. It chooses the group and the wait with the lowest cost: attempts that are
// expected to end within the wait may finish, and others are stopped with a
// checkpoint once there is nothing left to wait for. Until the gang can start,
// only gangs that are expected to end by then may start on the reserved workers.
func (c *cycle) reserve(j *Pending) {
	if c.reservations >= c.policy.MaxReservations || !c.waitedLong(j) {
		return
	}
	var best *reservation
	for _, group := range c.spans(j.Spec.Within) {
		for _, wait := range drainWaits {
			if found := c.reservationIn(group, j, wait, c.policy.ReservationLimits); found != nil && (best == nil || found.cost < best.cost) {
				best = found
			}
		}
	}
	if best == nil {
		return
	}
	c.reservations++
	if best.wait == 0 {
		c.preemptForWide(best.victims, j)
	}
	c.reserveWorkers(best)
}

// preemptForWide stops victims with a checkpoint for the wide gang j.
func (c *cycle) preemptForWide(victims []int, j *Pending) {
	for _, k := range victims {
		c.preempt(k, j.ID, "stopped with a checkpoint to make room for wide gang "+j.ID)
	}
}

// reserveWorkers limits the workers of r to gangs that are expected to end
// within r.wait.
func (c *cycle) reserveWorkers(r *reservation) {
	for _, i := range r.chosen {
		c.maxEstimate[i] = min(c.maxEstimate[i], r.wait)
	}
}

// isWide reports whether j needs at least as many accelerators as the largest
// worker has.
func (c *cycle) isWide(j *Pending) bool {
	return j.Spec.Total().Accelerators >= c.maxWorkerAccelerators
}

// reservationIn returns a reservation with which j can start in a group within
// wait seconds, or nil. Only attempts within limits are stopped for it.
func (c *cycle) reservationIn(group span, j *Pending, wait float64, limits PreemptionLimits) *reservation {
	type option struct {
		worker, slots int
		victims       []int
		after, loss   float64
	}
	var options []option
	total := 0
	for i := group.start; i < group.end; i++ {
		if !math.IsInf(c.maxEstimate[i], 1) || !c.isEligible(i, j) {
			continue
		}
		n, victims, after := c.slotsAfter(i, j, wait, limits)
		if n > 0 {
			idle := after * float64(max(0, c.snap.Workers[i].Free.Accelerators))
			options = append(options, option{i, n, victims, after, (c.lossOf(victims) + idle) / float64(n)})
			total += n
		}
	}
	if total < j.Spec.Tasks {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.loss, b.loss) })
	out := &reservation{}
	for _, o := range options {
		n := min(o.slots, j.Spec.Tasks-len(out.chosen))
		if n == 0 {
			break
		}
		out.chosen = append(out.chosen, slices.Repeat([]int{o.worker}, n)...)
		for _, k := range o.victims {
			if !slices.Contains(out.victims, k) {
				out.victims = append(out.victims, k)
			}
		}
		out.wait = max(out.wait, o.after)
	}
	for _, o := range options[:min(len(options), len(out.chosen))] {
		out.cost += out.wait * float64(max(0, c.snap.Workers[o.worker].Free.Accelerators))
	}
	out.cost += c.lossOf(out.victims)
	return out
}

// slotsAfter returns how many tasks of j worker i can take within wait seconds and
// the attempts that have to be stopped for that. after is the time in seconds until
// the last of the attempts that may finish within wait is expected to end.
func (c *cycle) slotsAfter(i int, j *Pending, wait float64, limits PreemptionLimits) (slots int, victims []int, after float64) {
	w := &c.snap.Workers[i]
	free := w.Free.Add(c.releasing[i])
	for _, k := range c.onWorker[i] {
		a := &c.snap.Attempts[k]
		switch {
		case a.Stopping:
		case a.Remaining <= wait:
			free = free.Add(times(a.PerTask, c.tasksOn(a, i)))
			after = max(after, a.Remaining)
		case c.canPreemptForWide(i, k, j, limits):
			free = free.Add(times(a.PerTask, c.tasksOn(a, i)))
			victims = append(victims, k)
		}
	}
	slots = state.TaskSlots(free, j.Spec.PerTask)
	if slots > 0 && j.NonPreemptible {
		slots = min(slots, state.TaskSlots(cells.FreeForNonPreemptible(w.Capacity, w.Reserved, w.NonPreemptible, j.Spec.Account), j.Spec.PerTask))
	}
	return slots, victims, after
}

// canPreemptForWide reports whether attempt k on worker i may be stopped with a
// checkpoint for the wide gang j: it can checkpoint, is not urgent, and is within
// limits, and its account has no cell on the worker or holds more than its cells.
func (c *cycle) canPreemptForWide(i, k int, j *Pending, limits PreemptionLimits) bool {
	a := &c.snap.Attempts[k]
	if !a.Checkpoint || a.Urgent || a.Ran < limits.MinRunSeconds {
		return false
	}
	if c.rank(j.Spec.Account, j.Waited, j.Estimate) < limits.MinRankRatio*c.attemptRank(k) {
		return false
	}
	own := c.snap.Workers[i].Reserved.Of(a.Account)
	return own == api.Resources{} || cells.Excess(c.held[i].Of(a.Account), own) != api.Resources{}
}

// attemptRank returns the rank that attempt k would have in the queue.
func (c *cycle) attemptRank(k int) float64 {
	if math.IsNaN(c.attemptRanks[k]) {
		a := &c.snap.Attempts[k]
		c.attemptRanks[k] = c.rank(a.Account, a.Waited, a.Remaining)
	}
	return c.attemptRanks[k]
}
