package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// room is a way to make room for a unit.
type room struct {
	cost    float64
	targets []*Worker
	victims map[workload.TaskID]float64
}

// makeRoom stops what costs least so that a guaranteed unit can start, and
// reserves the workers. It answers the load in which other work fills the racks
// when an account asks for its guaranteed shape.
func (p *planner) makeRoom(u *Unit, waiting []int, pools [][]*Worker) {
	var cheapest *room
	for _, pool := range pools {
		r := p.clear(u, len(waiting), pool)
		if r != nil && (cheapest == nil || r.cost < cheapest.cost) {
			cheapest = r
		}
	}
	if cheapest == nil || !u.Guaranteed && cheapest.cost > MaxUrgentCost {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(cheapest.victims), compareTask) {
		p.stopped[id] = true
		p.plan.Stop = append(p.plan.Stop, id)
	}
	for i, w := range cheapest.targets {
		w.Free = w.Free.Sub(u.Step.Demand())
		u.PerWorker[w.ID]++
		p.plan.Reserve = append(p.plan.Reserve, Assignment{Task: workload.TaskID{UnitID: u.ID, Index: waiting[i]}, Worker: w.ID})
	}
	for _, w := range p.workers {
		for _, r := range w.Running {
			if _, chosen := cheapest.victims[workload.TaskID{UnitID: r.Unit, Index: r.Index}]; chosen {
				w.Leaving = w.Leaving.Add(r.Need)
			}
		}
	}
}

func compareTask(a, b workload.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// clear finds the cheapest stops in one pool that make room for count tasks, or nil.
func (p *planner) clear(u *Unit, count int, pool []*Worker) *room {
	gangs := p.gangMembers(u)
	free := map[*Worker]workload.Resources{}
	for _, w := range p.workers {
		free[w] = w.Free.Add(w.Leaving)
	}
	r := &room{victims: map[workload.TaskID]float64{}}
	used := map[*Worker]int{}
	for len(r.targets) < count {
		var target *Worker
		var stops []member
		cost := 0.0
		for _, w := range pool {
			if !eligible(u, w) || u.Step.MaxPerWorker > 0 && u.PerWorker[w.ID]+used[w] >= u.Step.MaxPerWorker {
				continue
			}
			s, c, ok := p.cheapestStops(u, w, free[w], gangs, r.victims)
			if ok && (target == nil || c < cost || c == cost && w.Penalty < target.Penalty) {
				target, stops, cost = w, s, c
			}
		}
		if target == nil {
			return nil
		}
		for _, m := range stops {
			id := workload.TaskID{UnitID: m.Unit, Index: m.Index}
			r.victims[id] = m.Cost
			free[m.worker] = free[m.worker].Add(m.Need)
		}
		free[target] = free[target].Sub(u.Step.Demand())
		used[target]++
		r.cost += cost
		r.targets = append(r.targets, target)
	}
	return r
}

// member is a running task with its worker.
type member struct {
	Running
	worker *Worker
}

// gangMembers lists the members of each running gang.
func (p *planner) gangMembers(u *Unit) map[workload.UnitID][]member {
	gangs := map[workload.UnitID][]member{}
	for _, w := range p.workers {
		for _, run := range w.Running {
			if run.Gang {
				gangs[run.Unit] = append(gangs[run.Unit], member{run, w})
			}
		}
	}
	return gangs
}

// cheapestStops returns the stops that free a worker for one more task.
func (p *planner) cheapestStops(u *Unit, w *Worker, free workload.Resources, gangs map[workload.UnitID][]member, chosen map[workload.TaskID]float64) ([]member, float64, bool) {
	need := u.Step.Demand()
	if need.Fits(free) {
		return nil, 0, true
	}
	type option struct {
		members []member
		cost    float64
		frees   workload.Resources
	}
	var options []option
	seen := map[workload.UnitID]bool{}
	for _, run := range w.Running {
		id := workload.TaskID{UnitID: run.Unit, Index: run.Index}
		if _, taken := chosen[id]; taken || p.stopped[id] || !mayStop(u, run) || run.Gang && seen[run.Unit] {
			continue
		}
		o := option{members: []member{{run, w}}, cost: stopCost(u, run), frees: run.Need}
		if run.Gang {
			seen[run.Unit] = true
			o = option{members: gangs[run.Unit]}
			for _, m := range o.members {
				o.cost += stopCost(u, m.Running)
				if m.worker == w {
					o.frees = o.frees.Add(m.Need)
				}
			}
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	for _, o := range options {
		if need.Fits(free.Add(o.frees)) {
			return o.members, o.cost, true
		}
	}
	var stops []member
	total := 0.0
	for _, o := range options {
		stops, total, free = append(stops, o.members...), total+o.cost, free.Add(o.frees)
		if need.Fits(free) {
			return stops, total, true
		}
	}
	return nil, 0, false
}

// mayStop says whether a running task may be stopped for the unit.
func mayStop(u *Unit, run Running) bool {
	if run.Unit.Job == u.ID.Job || run.Guaranteed {
		return false
	}
	return run.Priority > u.Priority || u.Guaranteed && run.Priority == u.Priority
}

// peerCost is what a stop of a task of the unit's own priority costs beyond its
// lost work, in core-seconds: it is as urgent as the unit itself, so that others
// go first.
const peerCost = 100_000

// MaxUrgentCost is the lost work, in core-seconds, up to which an urgent unit
// beyond its account's guarantee may stop others.
const MaxUrgentCost = 600

func stopCost(u *Unit, run Running) float64 {
	if run.Priority == u.Priority {
		return run.Cost + peerCost
	}
	return run.Cost
}
