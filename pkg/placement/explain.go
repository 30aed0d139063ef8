package placement

import (
	"slices"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// maxOptions limits the options of an Explanation.
const maxOptions = 5

// Explanation is how a plan places one unit, and why.
type Explanation struct {
	Unit workload.UnitID
	// Ahead is the number of units that are placed before it.
	Ahead int
	// Filters are the conditions on workers in the order in which they are applied.
	Filters []Filter
	// Options are the best workers for one task, the best first. Gangs are scored as a whole, so
	// that a gang may be placed on others.
	Options []Option
	// Start, Reserve and Stop are the unit's parts of the plan; see Plan.
	Start, Reserve []Assignment
	Stop           []workload.TaskID
	// Unplaced means that not all tasks can start, OverQuota that the limit of the account holds
	// them back, Unsearched that the plan has made no search for others to stop.
	Unplaced, OverQuota, Unsearched bool
}

// Filter is a condition on workers and how many it leaves.
type Filter struct {
	Name string
	Left int
}

// Option is a worker on which a task may start, with the terms by which it is ranked in the order
// in which they count: those with lower ones come first, but for Class and Speed.
type Option struct {
	Worker, Rack string
	// Avoided means that tasks of the unit have failed there.
	Avoided bool
	Penalty int
	// Harm is by which fraction of their time the task and others there slow each other down.
	Harm float64
	// Mixes means that best-effort and latency-sensitive tasks would be beside each other.
	Mixes bool
	// Class and Speed are those of the worker.
	Class int
	Speed float64
	// Free is what is free before the start.
	Free workload.Resources
}

// Explain decides as Decide does, and explains how it places the units of a job. It changes its
// arguments as Decide does.
func Explain(workers []*Worker, units []*Unit, headroom int, job string) []Explanation {
	p := newPlanner(workers, headroom)
	slices.SortStableFunc(units, CompareUnits)
	var explanations []Explanation
	for i, u := range units {
		if u.ID.Job != job {
			p.place(u)
			continue
		}
		x := Explanation{Unit: u.ID, Ahead: i, Filters: p.filters(u), Options: p.options(u)}
		before := p.plan
		p.place(u)
		x.Start, x.Reserve, x.Stop = p.plan.Start[len(before.Start):], p.plan.Reserve[len(before.Reserve):], p.plan.Stop[len(before.Stop):]
		x.Unplaced, x.OverQuota, x.Unsearched = len(p.plan.Unplaced) > len(before.Unplaced), len(p.plan.OverQuota) > len(before.OverQuota), len(p.plan.Unsearched) > len(before.Unsearched)
		explanations = append(explanations, x)
	}
	return explanations
}

// filters counts the workers that remain after each condition on those for one task of the unit.
func (p *planner) filters(u *Unit) []Filter {
	rack := p.neededRack(u)
	conditions := []struct {
		name  string
		holds func(*Worker) bool
	}{
		{"workers of the service", func(*Worker) bool { return true }},
		{"take new tasks", func(w *Worker) bool { return w.Schedulable }},
		{"allowed by the adviser", func(w *Worker) bool { return u.AllowedWorkers == nil || u.AllowedWorkers[w.ID] }},
		{"have the label", func(w *Worker) bool { return u.Step.Label == "" || w.hasLabel(u.Step.Label) }},
		{"are large enough", func(w *Worker) bool { return u.Step.Demand().Fits(w.Capacity) }},
		{"have not failed lately", func(w *Worker) bool { return mayStartNow(u, w) }},
		{"are in the rack that is needed", func(w *Worker) bool { return rack == "" || w.Rack == rack }},
		{"have room now", func(w *Worker) bool { return slots(u, w, w.Free) > 0 }},
		{"leave room for urgent work", func(w *Worker) bool { return p.leavesHeadroom(u, w, 0) }},
	}
	left := p.workers
	var filters []Filter
	for _, c := range conditions {
		var next []*Worker
		for _, w := range left {
			if c.holds(w) {
				next = append(next, w)
			}
		}
		left = next
		filters = append(filters, Filter{c.name, len(left)})
	}
	return filters
}

// neededRack returns the rack that the unit's tasks have to use now, or "".
func (p *planner) neededRack(u *Unit) string {
	if u.RequiredRack != "" {
		return u.RequiredRack
	}
	if rack := p.localRack(u); rack != "" && (!u.Step.Gang || p.fitsWhenEmpty(u, p.byRack[rack])) {
		return rack
	}
	return ""
}

// options returns the best workers for one task of the unit.
func (p *planner) options(u *Unit) []Option {
	pool := p.workers
	if rack := p.neededRack(u); rack != "" {
		pool = p.byRack[rack]
	}
	var fitting []*Worker
	for _, w := range pool {
		if mayStartNow(u, w) && slots(u, w, w.Free) > 0 && p.leavesHeadroom(u, w, 0) {
			fitting = append(fitting, w)
		}
	}
	slices.SortFunc(fitting, func(a, b *Worker) int { return compareFit(u, a, b) })
	var options []Option
	for _, w := range fitting[:min(len(fitting), maxOptions)] {
		options = append(options, Option{w.ID, w.Rack, u.Avoid[w.ID], w.Penalty, harmOn(u, w), wouldMix(u, w), w.Class, w.Speed, w.Free})
	}
	return options
}
