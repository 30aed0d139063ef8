package lifecycle

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// gang is one attempt of a job that this node coordinates or keeps alive. Its
// methods must be called from one goroutine at a time.
type gang struct {
	s       *Service
	job     *state.Job
	members []member
	// runningSince is when this node took on the attempt, started its tasks, or last
	// marked all members unverified.
	runningSince time.Time
	// lastFullRenewal is when the last round that renewed every member began;
	// lastRoundBegan is when the last round began, successful or not.
	lastFullRenewal, lastRoundBegan time.Time
	// unrenewedSince is when this node, with a fresh view, first saw the attempt
	// stopping; zero if the attempt is not stopping or the view is not fresh.
	unrenewedSince time.Time
}

// member is one task of a gang on its worker.
type member struct {
	workerID string
	address  string
	worker   backend.Worker
	task     backend.TaskID
	// status is the last status that the worker reported for the task.
	status backend.TaskStatus
	// unverified is set until the worker answers a query, and again when a
	// renewal fails. No member is renewed while one is unverified.
	unverified bool
	// workerFailed is set if the worker refused, failed or lost the task.
	workerFailed bool
}

func newGang(s *Service, j *state.Job) *gang {
	g := &gang{s: s, job: j, members: make([]member, len(j.Placements))}
	s.journal.View(func(st *state.State) {
		for i, p := range j.Placements {
			address := ""
			if w := st.Workers[p.Worker]; w != nil {
				address = w.Address
			}
			g.members[i] = member{
				workerID: p.Worker, address: address, worker: s.workers.Worker(address),
				task: backend.TaskID{Job: j.ID, Token: j.Token, Index: i},
			}
		}
	})
	g.markAllUnverified()
	return g
}

// markAllUnverified makes the next round query every member before it renews any.
// The workers have one LeaseTTL to answer.
func (g *gang) markAllUnverified() {
	g.runningSince = time.Now()
	g.lastFullRenewal = g.runningSince
	for i := range g.members {
		g.members[i].unverified = true
	}
}

// run coordinates the attempt from its current phase to its end.
func (g *gang) run(ctx context.Context) {
	if !g.job.Started && g.phase() == api.PhasePlaced {
		// A graceful shutdown must not interrupt a start, which would leave the gang
		// running in part.
		if err := g.reserveAndStart(context.WithoutCancel(ctx)); err != nil {
			klog.V(1).Infof("lifecycle: job %s did not start: %v", g.job.ID, err)
			g.stop(ctx, state.OutcomeFailed, err.Error())
			return
		}
	}
	g.renewUntilEnd(ctx)
}

// keepAlive renews the leases of an attempt whose coordinator was lost until ctx
// is cancelled or a task is found not to run. It never ends the attempt.
func (g *gang) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.renewAll(ctx); err == nil && !g.allInPhase(backend.TaskRunning, backend.TaskDone) {
			return
		}
		waitFor(ctx, nil, g.nextRoundDelay(time.Now()))
	}
}

// renewUntilEnd renews the leases until every task is done, one is lost, the
// attempt is to be stopped, or this node no longer coordinates it.
func (g *gang) renewUntilEnd(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		changed := g.s.journal.Changed()
		switch g.phase() {
		case api.PhasePlaced:
		case api.PhaseStopping:
			g.stop(ctx, state.OutcomeStopped, g.stopReason())
			return
		default:
			return
		}
		if !time.Now().Before(next) {
			if g.endIfOver(ctx, g.renewAll(ctx)) {
				return
			}
			now := time.Now()
			next = now.Add(g.nextRoundDelay(now))
		}
		waitFor(ctx, changed, time.Until(next))
	}
}

// endIfOver ends the attempt if the last round, which returned err, shows that it
// is over. It reports whether this node is finished with the attempt.
func (g *gang) endIfOver(ctx context.Context, err error) (over bool) {
	switch {
	case ctx.Err() != nil:
		return true
	case g.allInPhase(backend.TaskDone):
		g.end(ctx, state.EndAttempt{Outcome: state.OutcomeDone, Results: g.results()})
	case g.hasLostMember():
		g.stop(ctx, state.OutcomeFailed, "a task failed or was lost")
	case !g.s.staleness.canRenew(time.Now()):
		// Another node may have claimed the attempt: neither renew nor stop it.
		g.markAllUnverified()
		return false
	case err != nil && g.lastRoundBegan.Sub(g.lastFullRenewal) > g.s.settings.LeaseTTL:
		// The comparison uses the round's beginning, not the present: if this
		// process was paused during a round, that round may fail although another
		// node kept the gang alive meanwhile.
		g.markUnverifiedFailed()
		g.stop(ctx, state.OutcomeFailed, "a worker was lost: "+err.Error())
	default:
		return false
	}
	return true
}

// phase returns the phase of the attempt, or PhaseCancelled if the attempt is no
// longer the job's current one or this node no longer coordinates it.
func (g *gang) phase() api.Phase {
	phase := api.PhaseCancelled
	g.s.journal.View(func(st *state.State) {
		j := st.Jobs[g.job.ID]
		if j != nil && j.Token == g.job.Token && j.Coordinator == g.s.journal.Writer() {
			phase = j.Phase
		}
	})
	return phase
}

// stopReason returns the recorded reason for which the attempt is stopping.
func (g *gang) stopReason() string {
	reason := ""
	g.s.journal.View(func(st *state.State) {
		if j := st.Jobs[g.job.ID]; j != nil && j.Token == g.job.Token {
			reason = j.Reason
		}
	})
	if reason == "" {
		return "the attempt was stopped on request"
	}
	return reason
}

// renewAll runs one renewal round: it renews the leases of all members, or of
// none if an unverified member cannot be confirmed to be running or done.
func (g *gang) renewAll(ctx context.Context) error {
	began := time.Now()
	g.lastRoundBegan = began
	if g.anyUnverified() {
		err := g.queryUnverified(ctx)
		if err != nil || !g.allInPhase(backend.TaskRunning, backend.TaskDone) {
			return err
		}
	}
	err := g.forEachMember(ctx, func(ctx context.Context, m *member) error {
		if m.status.Phase == backend.TaskDone {
			return nil
		}
		out, err := g.s.renewals.renew(ctx, m.address, m.worker, []backend.TaskID{m.task}, g.s.settings.LeaseTTL)
		m.unverified = err != nil
		if err == nil {
			m.status = out[0]
		}
		return err
	})
	if err == nil {
		g.lastFullRenewal = began
	}
	return err
}

// queryUnverified fetches the status of unverified members without renewing
// their leases.
func (g *gang) queryUnverified(ctx context.Context) error {
	return g.forEachMember(ctx, func(ctx context.Context, m *member) error {
		if !m.unverified || m.status.Phase == backend.TaskDone {
			return nil
		}
		out, err := m.worker.Renew(ctx, []backend.TaskID{m.task}, 0)
		if err == nil && len(out) == 1 {
			m.status, m.unverified = out[0], false
		}
		return err
	})
}

const (
	// minPollDelay is the delay between the first rounds after a start.
	minPollDelay = 100 * time.Millisecond
	// pollDivisor sets the delay of early rounds to the gang's running time so far
	// divided by pollDivisor, so that the end of a short job is noticed quickly.
	pollDivisor = 8
)

// nextRoundDelay returns the time until the next round. Rounds that are a full
// RenewInterval apart are aligned across gangs, so that renewals of tasks on one
// worker share a call.
func (g *gang) nextRoundDelay(now time.Time) time.Duration {
	interval := g.s.settings.RenewInterval
	if g.anyUnverified() {
		return min(interval, g.s.settings.CallTimeout)
	}
	if wait := max(minPollDelay, now.Sub(g.runningSince)/pollDivisor); wait < interval {
		return wait
	}
	return interval - now.Sub(g.s.started)%interval
}

func (g *gang) anyUnverified() bool {
	for i := range g.members {
		if g.members[i].unverified && g.members[i].status.Phase != backend.TaskDone {
			return true
		}
	}
	return false
}

// allInPhase reports whether the last known phase of every member is one of phases.
func (g *gang) allInPhase(phases ...backend.TaskPhase) bool {
	for i := range g.members {
		if !slices.Contains(phases, g.members[i].status.Phase) {
			return false
		}
	}
	return true
}

// hasLostMember reports whether a member is known to be neither running nor done,
// and marks the workers of failed tasks.
func (g *gang) hasLostMember() bool {
	lost := false
	for i := range g.members {
		m := &g.members[i]
		if m.status.Phase != "" && m.status.Phase != backend.TaskRunning && m.status.Phase != backend.TaskDone {
			m.workerFailed = m.workerFailed || m.status.Phase == backend.TaskFailed
			lost = true
		}
	}
	return lost
}

func (g *gang) markUnverifiedFailed() {
	for i := range g.members {
		g.members[i].workerFailed = g.members[i].workerFailed || g.members[i].unverified
	}
}

func (g *gang) results() []string {
	out := make([]string, len(g.members))
	for i := range g.members {
		out[i] = g.members[i].status.Result
	}
	return out
}

// forEachMember calls fn concurrently for every member, with CallTimeout as the
// limit, and returns one of the errors, preferably one that is not a timeout.
func (g *gang) forEachMember(ctx context.Context, fn func(ctx context.Context, m *member) error) error {
	ctx, cancel := context.WithTimeout(ctx, g.s.settings.CallTimeout)
	defer cancel()
	errs := make([]error, len(g.members))
	var wg sync.WaitGroup
	for i := range g.members {
		wg.Go(func() { errs[i] = fn(ctx, &g.members[i]) })
	}
	wg.Wait()
	for _, err := range errs {
		// A worker's own error says more than a timeout.
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	return errors.Join(errs...)
}

// waitFor waits until changed is closed, d has passed or ctx is done, and reports
// whether ctx is still valid.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
