package placement

import (
	"cmp"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// maxSearches limits the searches for a preemption in one plan, which go to the first units in order.
const maxSearches = 8

// MaxDueSearches is how many units with SearchDue a plan may have. They are searched for besides: the
// units before them may be ones for which no stops make room.
const MaxDueSearches = 4

// An urgent unit that need not start yet preempts others only while the lost work, in
// core-seconds, is worth less than completing late: the larger of
// minPreemptionCostLimit and preemptionCostPerAccelerator for each accelerator that it
// needs. Both follow from the value that users assign to an urgent job and to lost work.
const (
	minPreemptionCostLimit       = 600
	preemptionCostPerAccelerator = 60
)

// PreemptionCostLimit returns the cost, in core-seconds of lost work, up to which others
// are stopped for the unit before it must start.
func (u *Unit) PreemptionCostLimit() float64 {
	if u.MaxStopLoss > 0 {
		return u.MaxStopLoss
	}
	return max(minPreemptionCostLimit, float64(preemptionCostPerAccelerator*len(u.Waiting)*u.Step.Need.Accelerators))
}

// samePriorityCost is added to the cost of stopping a task of the unit's own priority, in
// core-seconds, so that less urgent tasks are stopped first.
const samePriorityCost = 100_000

// member is a running task with its worker.
type member struct {
	RunningTask
	worker *Worker
}

func (m *member) id() workload.TaskID { return workload.TaskID{UnitID: m.Unit, Index: m.Index} }

// candidate is a task on a worker, or a gang with members there, that can be stopped.
type candidate struct {
	members []member
	cost    float64
	// frees is the capacity that becomes free on the worker itself.
	frees workload.Resources
	state *candidateState
}

// candidateState is shared by all candidates of one task or gang.
type candidateState struct {
	// stopped means that the plan stops the candidate.
	stopped bool
	// chosenIn is the number of the last search that has chosen it.
	chosenIn int
}

// usableFor reports whether the candidate may be stopped for the unit in a search. A unit
// preempts neither tasks of its own job nor tasks that are stopped already.
func (c *candidate) usableFor(u *Unit, search int) bool {
	return !c.state.stopped && c.state.chosenIn != search && c.members[0].Unit.Job != u.ID.Job
}

// preemption is a set of stops after which a unit's tasks fit on the targets.
type preemption struct {
	cost    float64
	targets []*Worker
	victims []candidate
}

// preempt stops the tasks of least cost so that a unit can start, and reserves the
// workers. It serves, for example, accounts that claim their guaranteed shape while other
// work fills the racks. Tasks that are costly to stop are left to end by themselves until
// the unit must start.
func (p *planner) preempt(u *Unit, waiting []int, pools [][]*Worker) {
	if p.searches >= maxSearches && !u.SearchDue {
		p.plan.Unsearched = append(p.plan.Unsearched, u.ID)
		return
	}
	p.searches++
	waiting = waiting[:min(len(waiting), u.Quota.fitting(u.Step.Need))]
	limit := u.PreemptionCostLimit()
	if u.MustStart && (u.Guaranteed || u.LongRunning) {
		// In practice, no preemption costs as much.
		limit = float64(len(waiting)) * 1000 * samePriorityCost
	}
	var cheapest *preemption
	for _, pool := range pools {
		if found := p.findPreemption(u, len(waiting), pool, limit); found != nil {
			cheapest, limit = found, found.cost
		}
	}
	if cheapest == nil {
		return
	}
	for _, c := range cheapest.victims {
		c.state.stopped = true
		for _, m := range c.members {
			m.worker.Releasing = m.worker.Releasing.Add(m.Need)
			if !m.Ending {
				p.plan.Stop = append(p.plan.Stop, m.id())
			}
		}
	}
	for i, w := range cheapest.targets {
		w.Free = w.Free.Sub(u.Step.Demand())
		u.Quota.take(u.Step.Need)
		u.PerWorker[w.ID]++
		p.plan.Reserve = append(p.plan.Reserve, Assignment{Task: workload.TaskID{UnitID: u.ID, Index: waiting[i]}, Worker: w.ID})
	}
}

// searchState is the state of a worker in a search for a preemption.
type searchState struct {
	worker *Worker
	free   workload.Resources
	placed int
	// feasible means that one more task fits once those of stops that are usable in the
	// search have ended, which costs cost core-seconds.
	stops    []candidate
	cost     float64
	feasible bool
}

// findPreemption returns low-cost stops in one pool after which count tasks fit, or nil
// if they would cost more than limit. The search is greedy, one task at a time.
func (p *planner) findPreemption(u *Unit, count int, pool []*Worker, limit float64) *preemption {
	var states []*searchState
	byWorker := map[*Worker]*searchState{}
	for _, w := range pool {
		if mayStartNow(u, w) {
			s := &searchState{worker: w, free: w.Free.Add(w.Releasing)}
			states = append(states, s)
			byWorker[w] = s
		}
	}
	found := &preemption{}
	p.searchNumber++
	for _, s := range states {
		p.evaluate(u, s)
	}
	for len(found.targets) < count {
		var target *searchState
		for _, s := range states {
			if s.feasible && (target == nil || s.cost < target.cost || s.cost == target.cost && s.worker.Penalty < target.worker.Penalty) {
				target = s
			}
		}
		if target == nil || found.cost+target.cost > limit {
			return nil
		}
		found.cost += target.cost
		found.targets = append(found.targets, target.worker)
		changed := []*searchState{target}
		for i := range target.stops {
			c := &target.stops[i]
			if !c.usableFor(u, p.searchNumber) {
				continue
			}
			found.victims = append(found.victims, *c)
			c.state.chosenIn = p.searchNumber
			for _, m := range c.members {
				if s := byWorker[m.worker]; s != nil {
					s.free = s.free.Add(m.Need)
					changed = append(changed, s)
				}
			}
		}
		target.free = target.free.Sub(u.Step.Demand())
		target.placed++
		for _, s := range changed {
			p.evaluate(u, s)
		}
	}
	return found
}

// evaluate finds the stops after which one more task fits on the worker: the cheapest
// single candidate that suffices, or the cheapest ones in order if they cost less together.
func (p *planner) evaluate(u *Unit, s *searchState) {
	s.stops, s.cost, s.feasible = nil, 0, false
	w, need := s.worker, u.Step.Demand()
	if u.Step.MaxPerWorker > 0 && u.PerWorker[w.ID]+s.placed >= u.Step.MaxPerWorker {
		return
	}
	if need.Fits(s.free) {
		s.feasible = true
		return
	}
	free := s.free
	candidates := p.candidatesOf(u, w)
	for i := range candidates {
		if c := &candidates[i]; c.usableFor(u, p.searchNumber) && need.Fits(s.free.Add(c.frees)) {
			s.stops, s.cost, s.feasible = candidates[i:i+1], c.cost, true
			break
		}
	}
	total := 0.0
	for i := range candidates {
		c := &candidates[i]
		if !c.usableFor(u, p.searchNumber) {
			continue
		}
		if total += c.cost; s.feasible && total >= s.cost {
			return
		}
		if free = free.Add(c.frees); need.Fits(free) {
			s.stops, s.cost, s.feasible = candidates[:i+1], total, true
			return
		}
	}
}

// candidatesOf returns what may be stopped on a worker for the unit, the cheapest
// first. The result is cached, as it is the same for all units with one candidatesKey.
func (p *planner) candidatesOf(u *Unit, w *Worker) []candidate {
	key := candidatesKey{w, u.Priority, u.Guaranteed, u.LongRunning}
	if candidates, known := p.candidates[key]; known {
		return candidates
	}
	gangs := p.gangMembers()
	var candidates []candidate
	seen := map[workload.UnitID]bool{}
	for _, run := range w.Running {
		if !isPreemptible(u, run) || run.Gang && seen[run.Unit] {
			continue
		}
		c := candidate{members: []member{{run, w}}, cost: stopCost(u, run), frees: run.Need}
		if run.Gang {
			seen[run.Unit] = true
			c = candidate{members: gangs[run.Unit]}
			for _, m := range c.members {
				c.cost += stopCost(u, m.RunningTask)
				if m.worker == w {
					c.frees = c.frees.Add(m.Need)
				}
			}
		}
		c.state = p.stateOf(c.members[0].id())
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	p.candidates[key] = candidates
	return candidates
}

// stateOf returns the state of the candidates whose first member is the task.
func (p *planner) stateOf(id workload.TaskID) *candidateState {
	state := p.states[id]
	if state == nil {
		state = &candidateState{}
		p.states[id] = state
	}
	return state
}

// candidatesKey identifies a worker and the units that share its candidates.
type candidatesKey struct {
	worker      *Worker
	priority    int
	guaranteed  bool
	longRunning bool
}

// gangMembers returns the members of each running gang.
func (p *planner) gangMembers() map[workload.UnitID][]member {
	if p.gangs == nil {
		p.gangs = map[workload.UnitID][]member{}
		for _, w := range p.workers {
			for _, run := range w.Running {
				if run.Gang {
					p.gangs[run.Unit] = append(p.gangs[run.Unit], member{run, w})
				}
			}
		}
	}
	return p.gangs
}

// isPreemptible reports whether a running task may be stopped, or waited for, in favour
// of the unit.
func isPreemptible(u *Unit, run RunningTask) bool {
	if run.Ending {
		return true
	}
	if run.Guaranteed || run.LongRunning {
		return false
	}
	// Long-running tasks have to run again within seconds, however full the workers are.
	return run.Priority > u.Priority || u.LongRunning || u.Guaranteed && run.Priority == u.Priority
}

// stopCost returns the cost of stopping a running task for the unit, in core-seconds.
func stopCost(u *Unit, run RunningTask) float64 {
	if run.Ending {
		return 0
	}
	if run.Priority == u.Priority {
		return run.LostWork + samePriorityCost
	}
	return run.LostWork
}
