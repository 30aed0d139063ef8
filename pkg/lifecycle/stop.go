package lifecycle

import (
	"context"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// stop stops every task and then records the end of the attempt. A task counts as
// ended once its worker has acknowledged the stop, which fences the attempt there;
// once its worker is permanently gone; or once its last lease must have expired.
//
// The log must record first that the attempt is stopping: a stop call may be
// delayed for any time, and must not reach a gang that another node has since
// claimed and keeps alive.
func (g *gang) stop(ctx context.Context, outcome state.AttemptOutcome, reason string) {
	if !g.markStopping(ctx, reason) {
		return
	}
	mayRun := g.mayHaveStarted()
	ended := make([]bool, len(g.members))
	g.unrenewedSince = time.Time{}
	for {
		g.stopOnce(ctx, ended)
		if !anyFalse(ended) || !mayRun || g.unrenewedFor() >= g.s.settings.UnreachableWait() {
			break
		}
		if !waitFor(ctx, nil, g.s.settings.RenewInterval) {
			return
		}
	}
	for i := range g.members {
		if !ended[i] {
			g.members[i].status = backend.TaskStatus{Phase: backend.TaskUnknown}
		}
	}
	g.end(ctx, g.endRecord(outcome, reason))
}

// markStopping records in the log that the attempt is stopping, and retries until
// the log accepts it. It returns false if ctx ends or this node no longer
// coordinates the attempt. Leases are not renewed meanwhile, so the tasks end by
// themselves if the log stays unreachable.
func (g *gang) markStopping(ctx context.Context, reason string) bool {
	for ctx.Err() == nil {
		switch g.phase() {
		case api.PhaseStopping:
			return true
		case api.PhasePlaced:
		default:
			return false
		}
		_, err := g.s.propose(ctx, state.Record{Stop: &state.StopAttempt{
			Job: g.job.ID, Token: g.job.Token, Coordinator: g.s.journal.Writer(), Reason: reason,
		}})
		if err != nil {
			waitFor(ctx, nil, retryDelay)
		}
	}
	return false
}

// mayHaveStarted reports whether a task of a stopping attempt may have been
// started. No start is sent before the log has accepted the begin record, and the
// log refuses a begin record for an attempt that is stopping.
func (g *gang) mayHaveStarted() bool {
	started := g.job.Started
	g.s.journal.View(func(st *state.State) {
		if j := st.Jobs[g.job.ID]; j != nil && j.Token == g.job.Token {
			started = j.Started
		}
	})
	return started
}

// stopOnce sends one stop to the worker of each task that has not ended, and marks
// in ended the tasks that have.
func (g *gang) stopOnce(ctx context.Context, ended []bool) {
	gone := g.goneWorkers()
	_ = g.forEachMember(ctx, func(ctx context.Context, m *member) error {
		i := m.task.Index
		if ended[i] || gone[m.workerID] {
			if !ended[i] {
				m.status, ended[i] = backend.TaskStatus{Phase: backend.TaskUnknown}, true
			}
			return nil
		}
		st, err := m.worker.Stop(ctx, m.task, g.job.Spec.Checkpoint)
		if err == nil {
			m.status, ended[i] = st, true
		}
		return err
	})
}

// goneWorkers returns the members' workers that are permanently gone.
func (g *gang) goneWorkers() map[string]bool {
	gone := map[string]bool{}
	g.s.journal.View(func(st *state.State) {
		for i := range g.members {
			w := st.Workers[g.members[i].workerID]
			gone[g.members[i].workerID] = w == nil || w.Gone
		}
	})
	return gone
}

// unrenewedFor returns for how long no lease of the attempt can have been renewed,
// apart from the renewals that UnreachableWait allows for. It counts from when the
// log shows that the attempt is stopping, since until then a node that considers
// the coordinator lost may keep the attempt alive. It counts only while this
// node's view is fresh: meanwhile no node can find the log unreachable for every
// node and renew for that reason.
func (g *gang) unrenewedFor() time.Duration {
	now := time.Now()
	switch {
	case !g.s.staleness.isFresh(now) || g.phase() != api.PhaseStopping:
		g.unrenewedSince = time.Time{}
		return 0
	case g.unrenewedSince.IsZero():
		g.unrenewedSince = now
	}
	return now.Sub(g.unrenewedSince)
}

// endRecord returns the record of the attempt's end. Its outcome is done if every task
// is done, never-started if no task can have run, and otherwise the given one. It
// holds checkpoints only if every task has one.
func (g *gang) endRecord(outcome state.AttemptOutcome, reason string) state.EndAttempt {
	if g.allInPhase(backend.TaskDone) {
		return state.EndAttempt{Outcome: state.OutcomeDone, Results: g.results()}
	}
	end := state.EndAttempt{Outcome: state.OutcomeNeverStarted, Reason: reason, FailedWorkers: g.failedWorkers()}
	if g.mayHaveStarted() && g.mayHaveRun() {
		end.Outcome = outcome
	}
	for i := range g.members {
		if g.members[i].status.Checkpoint == "" {
			return end
		}
	}
	for i := range g.members {
		end.Checkpoints = append(end.Checkpoints, g.members[i].status.Checkpoint)
	}
	return end
}

// mayHaveRun reports whether a task ran, or is not known to have been stopped
// before it ran.
func (g *gang) mayHaveRun() bool {
	for i := range g.members {
		if st := &g.members[i].status; st.Ran || st.Phase != backend.TaskStopped {
			return true
		}
	}
	return false
}

func (g *gang) failedWorkers() []string {
	var out []string
	for i := range g.members {
		if g.members[i].workerFailed {
			out = append(out, g.members[i].workerID)
		}
	}
	return out
}

// end records the end of the attempt, and retries until the log has accepted or
// refused the record.
func (g *gang) end(ctx context.Context, e state.EndAttempt) {
	e.Job, e.Token, e.Coordinator = g.job.ID, g.job.Token, g.s.journal.Writer()
	for ctx.Err() == nil {
		if _, err := g.s.propose(ctx, state.Record{End: &e}); err == nil {
			return
		}
	}
}

func anyTrue(values []bool) bool { return slices.Contains(values, true) }

func anyFalse(values []bool) bool { return slices.Contains(values, false) }
