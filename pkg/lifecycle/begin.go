package lifecycle

import (
	"context"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// retryPause is the wait before a failed call of a worker is repeated.
const retryPause = 100 * time.Millisecond

// begin reserves every task, confirms in the log that the attempt is still
// wanted, and starts every task.
func (g *gang) begin(ctx context.Context) error {
	reserved := time.Now()
	if err := g.untilAccepted(ctx, reserved.Add(g.s.settings.StartWithin), g.reserve); err != nil {
		return err
	}
	err := g.confirmAndStart(ctx, reserved)
	if err == nil || g.runsWhole(ctx) {
		// If this process was paused in between, its deputy has sent the starts.
		return nil
	}
	return err
}

func (g *gang) confirmAndStart(ctx context.Context, reserved time.Time) error {
	if err := g.confirm(ctx); err != nil {
		return err
	}
	// Leave some of the time to the starts: a gang that starts on some
	// workers and is refused on others is worse than one that starts later.
	if time.Since(reserved) >= g.s.settings.StartWithin*4/5 {
		return api.Errorf(api.CodeUnavailable, "the log is too slow to confirm a start within %s", g.s.settings.StartWithin)
	}
	return g.start(ctx, reserved)
}

func (g *gang) start(ctx context.Context, reserved time.Time) error {
	err := g.untilAccepted(ctx, reserved.Add(g.s.settings.StartWithin), func(ctx context.Context, m *member) error {
		return m.worker.Start(ctx, m.task)
	})
	// The leases run from the reservation.
	g.since, g.lastWhole = time.Now(), reserved
	for i := range g.members {
		g.members[i].doubtful = false
		g.members[i].status = backend.TaskStatus{}
	}
	return err
}

func (g *gang) reserve(ctx context.Context, m *member) error {
	r := backend.Reservation{
		Task: m.task, Request: g.job.Spec.PerTask, Payload: g.job.Spec.Payload,
		LeaseTTL: g.s.settings.LeaseTTL, StartWithin: g.s.settings.StartWithin,
	}
	if m.task.Index < len(g.job.Checkpoints) {
		r.Resume = g.job.Checkpoints[m.task.Index]
	}
	return m.worker.Reserve(ctx, r)
}

// untilAccepted repeats a call on each member until the worker has accepted or
// refused it, since the answer of a call that took effect may be lost.
func (g *gang) untilAccepted(ctx context.Context, deadline time.Time, call func(context.Context, *member) error) error {
	accepted, refused := make([]bool, len(g.members)), make([]bool, len(g.members))
	for {
		err := g.each(ctx, func(ctx context.Context, m *member) error {
			i := m.task.Index
			if accepted[i] {
				return nil
			}
			err := call(ctx, m)
			accepted[i], m.blamed = err == nil, err != nil
			refused[i] = err != nil && isRefusal(err)
			return err
		})
		if err == nil {
			return nil
		}
		if anyTrue(refused) || time.Now().Add(retryPause).After(deadline) || !waitFor(ctx, nil, retryPause) {
			return err
		}
	}
}

// isRefusal reports whether a worker answered that it did not do what it was asked.
func isRefusal(err error) bool {
	e := api.AsError(err, api.MayHaveRun)
	return e.Verdict == api.NotRun && (e.Code == api.CodeConflict || e.Code == api.CodeNotFound || e.Code == api.CodeInvalid)
}

// confirm asks the log, after the reservations were made, whether the attempt
// is still wanted. An availability zone that is in then was in when the
// reservations began, so a start that the workers accept, within StartWithin
// of them, is no later than that after the zone was taken out. The confirmation
// is a record, so that the log tells attempts that may have started tasks from
// those that have not.
func (g *gang) confirm(ctx context.Context) error {
	out, err := g.s.propose(ctx, state.Record{Begin: &state.BeginAttempt{
		Job: g.job.ID, Token: g.job.Token, Coordinator: g.s.journal.Writer(),
	}})
	if err != nil {
		return err
	}
	if out.Err != nil {
		return out.Err
	}
	g.job.Started = true
	return nil
}
