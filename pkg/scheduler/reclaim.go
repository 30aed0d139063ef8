package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// checkpointLoss is the work lost by a preemption with a checkpoint, in seconds
// on each accelerator of the attempt.
const checkpointLoss = 5

// gangPlan is a set of workers that can take a gang once the victims, if any,
// are stopped.
type gangPlan struct {
	// chosen has one worker for each task; a worker may occur several times.
	chosen []int
	// victims are the attempts to stop.
	victims []int
	// loss is the work lost by stopping victims, in accelerator seconds, less
	// ongoingPreemptionBonus for each task on a worker that has it.
	loss float64
}

// reclaim frees the cells of j's account for j by stopping the work of other
// accounts there and, if j is urgent, other work of its own account. It chooses
// the group in which the least work is lost. If j fits at once, it is placed;
// otherwise the capacity is reserved for j, again in each cycle until j can be
// placed. It reports whether it found a group.
func (c *cycle) reclaim(j *Pending) bool {
	if c.guaranteed[j.Spec.Account] == 0 {
		return false
	}
	var best *gangPlan
	for _, group := range c.spans(j.Spec.Within) {
		if found := c.reclaimIn(group, j); found != nil && (best == nil || found.loss < best.loss) {
			best = found
		}
	}
	if best == nil {
		return false
	}
	for _, k := range best.victims {
		c.preempt(k, j.ID, fmt.Sprintf("stopped to make room for job %s in a cell of account %s", j.ID, j.Spec.Account))
	}
	if len(best.victims) == 0 && c.fitsNow(best.chosen, j) {
		c.allocate(j, best.chosen)
		return true
	}
	for _, i := range best.chosen {
		c.assign(j, i)
	}
	return true
}

// fitsNow reports whether the tasks of j fit on the chosen workers now.
func (c *cycle) fitsNow(chosen []int, j *Pending) bool {
	need := map[int]int{}
	for _, i := range chosen {
		need[i]++
	}
	for i, n := range need {
		if state.TaskSlots(c.snap.Workers[i].Free, j.Spec.PerTask) < n {
			return false
		}
	}
	return true
}

// preempt adds the preemption of attempt k to the plan and counts the resources
// of the attempt as releasing. beneficiary is the job that needs them, if any.
func (c *cycle) preempt(k int, beneficiary, reason string) {
	a := &c.snap.Attempts[k]
	a.Stopping = true
	c.plan.Preemptions = append(c.plan.Preemptions, Preemption{a.Job, a.Token, reason, beneficiary})
	for _, p := range a.Placements {
		i, ok := c.index[p.Worker]
		if !ok {
			continue
		}
		c.releasing[i] = c.releasing[i].Add(a.PerTask)
		if len(c.snap.Workers[i].Reserved) > 0 {
			c.held[i] = c.held[i].Sub(a.Account, a.PerTask)
		}
	}
}

// entitlement returns the resources of worker i that are guaranteed to j: the
// cells of its account, less what the account uses already. What urgent work may
// preempt from its own account counts as unused.
func (c *cycle) entitlement(i int, j *Pending) api.Resources {
	w := &c.snap.Workers[i]
	used := c.held[i].Of(j.Spec.Account)
	if j.Spec.Urgent {
		for _, k := range c.onWorker[i] {
			if a := &c.snap.Attempts[k]; c.canPreemptOwn(a, j) {
				used = used.Sub(times(a.PerTask, c.tasksOn(a, i)))
			}
		}
	}
	return cells.Excess(w.Reserved.Of(j.Spec.Account), used)
}

// canPreemptOwn reports whether j is urgent and a is an attempt of its own
// account that may be stopped for it.
func (c *cycle) canPreemptOwn(a *Attempt, j *Pending) bool {
	return j.Spec.Urgent && a.Account == j.Spec.Account && !a.Urgent && !a.NonPreemptible && !a.Stopping
}

func times(r api.Resources, n int) api.Resources {
	return api.Resources{Cores: r.Cores * n, MemoryGB: r.MemoryGB * n, Accelerators: r.Accelerators * n}
}

// reclaimIn returns a plan for j within one group that stops the attempts in the
// way, or nil if there is none.
func (c *cycle) reclaimIn(group span, j *Pending) *gangPlan {
	type option struct {
		worker, slots int
		loss          float64
	}
	var options []option
	total := 0
	for i := group.start; i < group.end; i++ {
		if !c.isEligible(i, j) {
			continue
		}
		n := max(c.slotsOutsideForeignCells(i, j), state.TaskSlots(c.entitlement(i, j), j.Spec.PerTask))
		n = min(n, j.Spec.Tasks)
		if n > 0 {
			victims, ok := c.victims(i, times(j.Spec.PerTask, n), j, nil)
			if !ok {
				continue
			}
			loss := c.lossOf(victims) / float64(n)
			if c.hasPreemptionFor(i, j) {
				loss -= ongoingPreemptionBonus
			}
			options = append(options, option{i, n, loss})
			total += n
		}
	}
	if total < j.Spec.Tasks {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.slots, a.slots))
	})
	out := &gangPlan{}
	for _, o := range options {
		n := min(o.slots, j.Spec.Tasks-len(out.chosen))
		if n == 0 {
			break
		}
		victims, ok := c.victims(o.worker, times(j.Spec.PerTask, n), j, out.victims)
		if !ok {
			continue
		}
		out.victims = victims
		for range n {
			out.chosen = append(out.chosen, o.worker)
		}
	}
	if len(out.chosen) < j.Spec.Tasks {
		return nil
	}
	out.loss = c.lossOf(out.victims)
	for _, i := range out.chosen {
		if c.hasPreemptionFor(i, j) {
			out.loss -= ongoingPreemptionBonus
		}
	}
	return out
}

// ongoingPreemptionBonus is subtracted from the loss for a worker on which
// attempts are already being stopped for the gang. It is large, so that the gang
// keeps to these workers.
const ongoingPreemptionBonus = 1e6

// hasPreemptionFor reports whether an attempt on worker i is being stopped for j.
func (c *cycle) hasPreemptionFor(i int, j *Pending) bool {
	for _, k := range c.onWorker[i] {
		if a := &c.snap.Attempts[k]; a.Stopping && a.PreemptedFor == j.ID {
			return true
		}
	}
	return false
}

// victims returns chosen and the further attempts that must be stopped so that
// need fits on worker i. ok is false if it does not fit even when everything
// that may be stopped is.
func (c *cycle) victims(i int, need api.Resources, j *Pending, chosen []int) (all []int, ok bool) {
	w := &c.snap.Workers[i]
	free := w.Free.Add(c.releasing[i])
	for _, k := range chosen {
		free = free.Add(times(c.snap.Attempts[k].PerTask, c.tasksOn(&c.snap.Attempts[k], i)))
	}
	if need.Fits(free) {
		return chosen, true
	}
	var possible []int
	for _, k := range c.onWorker[i] {
		if !slices.Contains(chosen, k) && c.canPreempt(i, k, j) {
			possible = append(possible, k)
		}
	}
	slices.SortStableFunc(possible, func(a, b int) int { return cmp.Compare(c.lossDensity(a), c.lossDensity(b)) })
	all = slices.Clone(chosen)
	for _, k := range possible {
		a := &c.snap.Attempts[k]
		free = free.Add(times(a.PerTask, c.tasksOn(a, i)))
		all = append(all, k)
		if need.Fits(free) {
			return c.prune(i, need, free, all, len(chosen)), true
		}
	}
	return nil, false
}

// prune removes the victims at index from and later without which need still
// fits on worker i.
func (c *cycle) prune(i int, need, free api.Resources, all []int, from int) []int {
	for x := len(all) - 1; x >= from; x-- {
		a := &c.snap.Attempts[all[x]]
		without := free.Sub(times(a.PerTask, c.tasksOn(a, i)))
		if need.Fits(without) {
			free = without
			all = slices.Delete(all, x, x+1)
		}
	}
	return all
}

// canPreempt reports whether attempt k on worker i may be stopped for j: it can
// be restarted, and its account holds more on the worker than its own cells. For
// attempts of j's own account, see canPreemptOwn.
func (c *cycle) canPreempt(i, k int, j *Pending) bool {
	a := &c.snap.Attempts[k]
	if a.Stopping || a.NonPreemptible {
		return false
	}
	if a.Account == j.Spec.Account {
		return c.canPreemptOwn(a, j)
	}
	over := cells.Excess(c.held[i].Of(a.Account), c.snap.Workers[i].Reserved.Of(a.Account))
	return over != api.Resources{}
}

// lossDensity returns the work lost by stopping attempt k, in seconds on each of
// its accelerators.
func (c *cycle) lossDensity(k int) float64 {
	a := &c.snap.Attempts[k]
	if a.Checkpoint {
		return checkpointLoss
	}
	return checkpointLoss + a.Ran
}

// lossOf returns the work lost by stopping victims, in accelerator seconds.
func (c *cycle) lossOf(victims []int) float64 {
	sum := 0.0
	for _, k := range victims {
		sum += c.lossDensity(k) * float64(max(1, c.snap.Attempts[k].accelerators()))
	}
	return sum
}
