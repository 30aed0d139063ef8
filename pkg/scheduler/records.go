package scheduler

import "github.com/shallotpin/shallotpin/pkg/state"

// Records returns the log records that carry out the plan, preemptions first.
// coordinator returns the coordinator of an attempt with the given placements.
func (p *Plan) Records(coordinator func([]state.Placement) string) []state.Record {
	out := make([]state.Record, 0, len(p.Preemptions)+len(p.Allocations))
	for _, x := range p.Preemptions {
		out = append(out, state.Record{Preempt: &state.PreemptJob{Job: x.Job, Token: x.Token, Reason: x.Reason, For: x.ForJob}})
	}
	for _, a := range p.Allocations {
		out = append(out, state.Record{Plan: &state.PlanJob{
			Job: a.Job, Attempt: a.Attempt, Coordinator: coordinator(a.Placements), Placements: a.Placements,
		}})
	}
	return out
}
