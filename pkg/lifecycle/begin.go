package lifecycle

import (
	"context"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// retryDelay is the delay before a failed worker call or log write is retried.
const retryDelay = 100 * time.Millisecond

// reserveAndStart reserves every task, confirms in the log that the attempt is
// still wanted, and starts every task.
func (g *gang) reserveAndStart(ctx context.Context) error {
	reserved := time.Now()
	if err := g.untilAccepted(ctx, reserved.Add(g.s.settings.StartWithin), g.reserve); err != nil {
		return err
	}
	err := g.confirmAndStart(ctx, reserved)
	if err == nil || g.allRunning(ctx) {
		// If this process was paused in between, the backup coordinator has sent
		// the starts.
		return nil
	}
	return err
}

func (g *gang) confirmAndStart(ctx context.Context, reserved time.Time) error {
	if err := g.confirm(ctx); err != nil {
		return err
	}
	// Keep a fifth of StartWithin for the starts. If it is already used up, fail
	// now: a gang that some workers start and others refuse is worse than a gang
	// that starts later.
	if time.Since(reserved) >= g.s.settings.StartWithin*4/5 {
		return api.Errorf(api.CodeUnavailable, "the log is too slow to confirm a start within %s", g.s.settings.StartWithin)
	}
	return g.start(ctx, reserved)
}

func (g *gang) start(ctx context.Context, reserved time.Time) error {
	err := g.untilAccepted(ctx, reserved.Add(g.s.settings.StartWithin), func(ctx context.Context, m *member) error {
		return m.worker.Start(ctx, m.task)
	})
	// The workers count the leases from the reservation.
	g.runningSince, g.lastFullRenewal = time.Now(), reserved
	for i := range g.members {
		g.members[i].unverified = false
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

// untilAccepted retries call for each member until its worker accepts it, any
// worker refuses it, or the deadline is near. Retries are needed because a call
// may take effect although its reply is lost.
func (g *gang) untilAccepted(ctx context.Context, deadline time.Time, call func(context.Context, *member) error) error {
	accepted, refused := make([]bool, len(g.members)), make([]bool, len(g.members))
	for {
		err := g.forEachMember(ctx, func(ctx context.Context, m *member) error {
			i := m.task.Index
			if accepted[i] {
				return nil
			}
			err := call(ctx, m)
			accepted[i], m.workerFailed = err == nil, err != nil
			refused[i] = err != nil && isRefusal(err)
			return err
		})
		if err == nil {
			return nil
		}
		if anyTrue(refused) || time.Now().Add(retryDelay).After(deadline) || !waitFor(ctx, nil, retryDelay) {
			return err
		}
	}
}

// isRefusal reports whether err is a worker's reply that it refused the call, which
// therefore had no effect.
func isRefusal(err error) bool {
	e := api.AsError(err, api.MayHaveRun)
	return e.Verdict == api.NotRun && (e.Code == api.CodeConflict || e.Code == api.CodeNotFound || e.Code == api.CodeInvalid)
}

// confirm writes a begin record to check, after all tasks are reserved, that the
// attempt is still wanted. The record is refused if an availability zone of the
// attempt is out. If it is accepted, every zone was in when the reservations were
// made; since workers accept a start only within StartWithin of the reservation,
// no task starts later than StartWithin after its zone is taken out. The record
// also tells attempts that may have started tasks from those that have not.
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
