package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Quota is the limit on what a client account may have running, over all workers, and what
// it has. Units and running tasks of one account share a Quota.
type Quota struct {
	// Limit is the limit of each resource; 0 means none.
	Limit workload.Resources
	// Used is what the account has running or reserved, including Releasing, which is what
	// is being stopped.
	Used, Releasing workload.Resources
	// held is kept for units of the account that come before others and do not fit yet.
	held workload.Resources
}

// fitting returns how many further tasks with the given need the limit allows. A nil Quota
// has no limit.
func (q *Quota) fitting(need workload.Resources) int {
	if q == nil {
		return math.MaxInt
	}
	n, used := math.MaxInt, q.Used.Add(q.held)
	for _, d := range [...]struct{ limit, used, need int }{
		{q.Limit.MilliCores, used.MilliCores, need.MilliCores},
		{q.Limit.MemoryMB, used.MemoryMB, need.MemoryMB},
		{q.Limit.Accelerators, used.Accelerators, need.Accelerators},
	} {
		if d.limit > 0 && d.need > 0 {
			n = min(n, max(0, d.limit-d.used)/d.need)
		}
	}
	return n
}

// take counts a start of a task with the given need.
func (q *Quota) take(need workload.Resources) {
	if q != nil {
		q.Used = q.Used.Add(need)
	}
}

// hold keeps the limit's room for tasks with the given need: without it, less urgent tasks of
// the account would take what is released bit by bit.
func (q *Quota) hold(need workload.Resources, tasks int) {
	for range tasks {
		q.held = q.held.Add(need)
	}
}

// Exceeded reports whether the account has more running than its limit.
func (q *Quota) Exceeded() bool {
	return q != nil && (q.Limit.MilliCores > 0 && q.Used.MilliCores > q.Limit.MilliCores ||
		q.Limit.MemoryMB > 0 && q.Used.MemoryMB > q.Limit.MemoryMB ||
		q.Limit.Accelerators > 0 && q.Used.Accelerators > q.Limit.Accelerators)
}

// preemptWithinQuota stops less urgent tasks of the unit's own account, those of least cost
// first, so that the account's limit allows the unit's tasks. Nothing is reserved: the unit
// is placed by a later plan, before the account's other units.
func (p *planner) preemptWithinQuota(u *Unit, tasks int) {
	// What is being stopped will not count any more.
	after := &Quota{Limit: u.Quota.Limit, Used: u.Quota.Used.Sub(u.Quota.Releasing), held: u.Quota.held}
	var candidates []candidate
	seen := map[workload.UnitID]bool{}
	for _, w := range p.workers {
		for _, run := range w.Running {
			lessUrgent := run.Priority > u.Priority || u.Guaranteed && run.Priority == u.Priority
			if run.Quota != u.Quota || !lessUrgent || run.Guaranteed || run.LongRunning || run.Gang && seen[run.Unit] {
				continue
			}
			c := candidate{members: []member{{run, w}}, cost: stopCost(u, run)}
			if run.Gang {
				seen[run.Unit] = true
				c = candidate{members: p.gangMembers()[run.Unit]}
				for _, m := range c.members {
					c.cost += stopCost(u, m.RunningTask)
				}
			}
			if c.state = p.stateOf(c.members[0].id()); !c.state.stopped {
				candidates = append(candidates, c)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	cost, n := 0.0, 0
	for n < len(candidates) && after.fitting(u.Step.Need) < tasks {
		cost += candidates[n].cost
		for _, m := range candidates[n].members {
			after.Used = after.Used.Sub(m.Need)
		}
		n++
	}
	// A guaranteed unit may have to wait for a second stop once its limit allows it, so that
	// it does not wait for cheap work to stop first.
	if after.fitting(u.Step.Need) < tasks || cost > u.PreemptionCostLimit() && !u.Guaranteed {
		return
	}
	for _, c := range candidates[:n] {
		c.state.stopped = true
		for _, m := range c.members {
			m.worker.Releasing = m.worker.Releasing.Add(m.Need)
			u.Quota.Releasing = u.Quota.Releasing.Add(m.Need)
			if !m.Ending {
				p.plan.Stop = append(p.plan.Stop, m.id())
			}
		}
	}
}
