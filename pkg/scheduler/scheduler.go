// Package scheduler decides where gangs run. It is pure: a snapshot goes in, a
// plan comes out; the fold of the log re-checks every plan before it counts.
package scheduler

import (
	"sort"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// Worker is a worker that may take new tasks.
type Worker struct {
	ID   string
	Zone string
	Rack string
	Free api.Resources
}

// Snapshot is what a decision is made from.
type Snapshot struct {
	// Workers are sorted by zone, rack and ID.
	Workers []Worker
	// Pending are the waiting jobs, in order of submission.
	Pending []*state.Job
}

// Allocation places the tasks of one job.
type Allocation struct {
	Job        string
	Attempt    int
	Placements []state.Placement
}

// Plan is a decision.
type Plan struct {
	Allocations []Allocation
}

// Take returns a snapshot of the state. The jobs in it must not be changed.
func Take(s *state.State) *Snapshot {
	snap := &Snapshot{}
	for _, w := range s.Workers {
		if w.Gone || w.Leaving || s.ZoneOut(w.Zone) {
			continue
		}
		snap.Workers = append(snap.Workers, Worker{w.ID, w.Zone, w.Rack, w.Free()})
	}
	sort.Slice(snap.Workers, func(i, j int) bool {
		a, b := &snap.Workers[i], &snap.Workers[j]
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
	for _, j := range s.Jobs {
		if j.Phase == api.PhasePending {
			copied := *j
			snap.Pending = append(snap.Pending, &copied)
		}
	}
	sort.Slice(snap.Pending, func(i, j int) bool { return snap.Pending[i].Order < snap.Pending[j].Order })
	return snap
}

// Decide places what fits, in order of submission, on the first workers that fit.
func Decide(snap *Snapshot) Plan {
	var plan Plan
	for _, j := range snap.Pending {
		if placements := firstFit(snap.Workers, j); placements != nil {
			plan.Allocations = append(plan.Allocations, Allocation{j.ID, j.Plans, placements})
		}
	}
	return plan
}

// firstFit places j within the first group of adjacent workers that holds it,
// and takes what it occupies from their free resources.
func firstFit(workers []Worker, j *state.Job) []state.Placement {
	for start := 0; start < len(workers); {
		end := start + 1
		for end < len(workers) && sameGroup(&workers[start], &workers[end], j.Spec.Within) {
			end++
		}
		if placements := fill(workers[start:end], j); placements != nil {
			return placements
		}
		start = end
	}
	return nil
}

func sameGroup(a, b *Worker, within api.Adjacency) bool {
	switch within {
	case api.WithinWorker:
		return a.ID == b.ID
	case api.WithinRack:
		return a.Zone == b.Zone && a.Rack == b.Rack
	default:
		return a.Zone == b.Zone
	}
}

func fill(group []Worker, j *state.Job) []state.Placement {
	var placements []state.Placement
	free := make([]api.Resources, len(group))
	for i := range group {
		free[i] = group[i].Free
		for len(placements) < j.Spec.Tasks && j.Spec.PerTask.Fits(free[i]) {
			free[i] = free[i].Sub(j.Spec.PerTask)
			placements = append(placements, state.Placement{Worker: group[i].ID})
		}
	}
	if len(placements) < j.Spec.Tasks {
		return nil
	}
	for i := range group {
		group[i].Free = free[i]
	}
	return placements
}
