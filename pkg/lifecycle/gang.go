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

// gang is one attempt of a job, as one node coordinates it or keeps it alive.
type gang struct {
	s       *Service
	job     *state.Job
	members []member
	// since is when this node took the attempt on, or started its tasks.
	since time.Time
	// lastWhole is when the last renewal began that reached every member, and
	// lastRound when the last round began, whether it reached them or not.
	lastWhole, lastRound time.Time
	// quietSince is since when the attempt has been stopping under a fresh view.
	quietSince time.Time
}

// member is one task of a gang on its worker.
type member struct {
	id      string
	address string
	worker  backend.Worker
	task    backend.TaskID
	// status is the worker's last word on the task.
	status backend.TaskStatus
	// doubtful says that the worker did not answer lately. No member is renewed
	// while one is doubtful.
	doubtful bool
	// blamed says that the worker refused, failed or lost the task.
	blamed bool
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
				id: p.Worker, address: address, worker: s.workers.Worker(address),
				task: backend.TaskID{Job: j.ID, Token: j.Token, Index: i},
			}
		}
	})
	g.doubtAll()
	return g
}

// doubtAll makes the next round ask every member before it renews one. The
// members get one lease's time to answer.
func (g *gang) doubtAll() {
	g.since = time.Now()
	g.lastWhole = g.since
	for i := range g.members {
		g.members[i].doubtful = true
	}
}

// run takes the attempt from wherever it stands to its end.
func (g *gang) run(ctx context.Context) {
	if !g.job.Started && g.phase() == api.PhasePlaced {
		// A planned stop of the node does not tear a start apart.
		if err := g.begin(context.WithoutCancel(ctx)); err != nil {
			klog.V(1).Infof("lifecycle: job %s did not start: %v", g.job.ID, err)
			g.stop(ctx, state.OutcomeFailed, err.Error())
			return
		}
	}
	g.watch(ctx)
}

// care renews the leases of an attempt whose coordinator was lost, until it can
// be claimed. It decides nothing.
func (g *gang) care(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.round(ctx); err == nil && !g.allIn(backend.TaskRunning, backend.TaskDone) {
			return
		}
		waitFor(ctx, nil, g.pause(time.Now()))
	}
}

// watch renews the leases until every task is done, one is lost, or the
// attempt is to be stopped.
func (g *gang) watch(ctx context.Context) {
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
			if g.judge(ctx, g.round(ctx)) {
				return
			}
			now := time.Now()
			next = now.Add(g.pause(now))
		}
		waitFor(ctx, changed, time.Until(next))
	}
}

// judge ends the attempt if a round shows that it is over.
func (g *gang) judge(ctx context.Context, err error) (over bool) {
	switch {
	case ctx.Err() != nil:
		return true
	case g.allIn(backend.TaskDone):
		g.end(ctx, state.EndAttempt{Outcome: state.OutcomeDone, Results: g.results()})
	case g.hasLost():
		g.stop(ctx, state.OutcomeFailed, "a task failed or was lost")
	case !g.s.staleness.mayRenew(time.Now()):
		// Another node may have claimed the attempt: neither renew nor stop.
		g.doubtAll()
		return false
	case err != nil && g.lastRound.Sub(g.lastWhole) > g.s.settings.LeaseTTL:
		// A round that began earlier may have failed because this process was
		// paused in it, while another node kept the gang alive.
		g.blameDoubtful()
		g.stop(ctx, state.OutcomeFailed, "a worker was lost: "+err.Error())
	default:
		return false
	}
	return true
}

// phase returns the phase of the attempt, or PhaseCancelled if it is no longer
// in force under this coordinator.
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

// stopReason returns why the attempt is stopping.
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

// round renews the leases of all members, or of none while one is in doubt.
func (g *gang) round(ctx context.Context) error {
	began := time.Now()
	g.lastRound = began
	if g.anyDoubtful() {
		err := g.ask(ctx)
		if err != nil || !g.allIn(backend.TaskRunning, backend.TaskDone) {
			return err
		}
	}
	err := g.each(ctx, func(ctx context.Context, m *member) error {
		if m.status.Phase == backend.TaskDone {
			return nil
		}
		out, err := g.s.renewals.renew(ctx, m.address, m.worker, []backend.TaskID{m.task}, g.s.settings.LeaseTTL)
		m.doubtful = err != nil
		if err == nil {
			m.status = out[0]
		}
		return err
	})
	if err == nil {
		g.lastWhole = began
	}
	return err
}

// ask learns the state of the doubtful members without renewing their leases.
func (g *gang) ask(ctx context.Context) error {
	return g.each(ctx, func(ctx context.Context, m *member) error {
		if !m.doubtful || m.status.Phase == backend.TaskDone {
			return nil
		}
		out, err := m.worker.Renew(ctx, []backend.TaskID{m.task}, 0)
		if err == nil && len(out) == 1 {
			m.status, m.doubtful = out[0], false
		}
		return err
	})
}

const (
	// firstPoll is the time between the first looks at a started gang.
	firstPoll = 100 * time.Millisecond
	// pollShare is the part of its run so far after which a gang is looked at
	// again, so that the end of a short job is seen soon.
	pollShare = 8
)

// pause returns the time until the next round. Rounds that are a full interval
// apart begin at the same moments for all gangs, so that the renewals of one
// worker's tasks join.
func (g *gang) pause(now time.Time) time.Duration {
	interval := g.s.settings.RenewInterval
	if g.anyDoubtful() {
		return min(interval, g.s.settings.CallTimeout)
	}
	if wait := max(firstPoll, now.Sub(g.since)/pollShare); wait < interval {
		return wait
	}
	return interval - now.Sub(g.s.started)%interval
}

func (g *gang) anyDoubtful() bool {
	for i := range g.members {
		if g.members[i].doubtful && g.members[i].status.Phase != backend.TaskDone {
			return true
		}
	}
	return false
}

// allIn reports whether the last known phase of every member is one of phases.
func (g *gang) allIn(phases ...backend.TaskPhase) bool {
	for i := range g.members {
		if !slices.Contains(phases, g.members[i].status.Phase) {
			return false
		}
	}
	return true
}

// hasLost reports whether a member is known to be neither running nor done.
func (g *gang) hasLost() bool {
	lost := false
	for i := range g.members {
		m := &g.members[i]
		if m.status.Phase != "" && m.status.Phase != backend.TaskRunning && m.status.Phase != backend.TaskDone {
			m.blamed = m.blamed || m.status.Phase == backend.TaskFailed
			lost = true
		}
	}
	return lost
}

func (g *gang) blameDoubtful() {
	for i := range g.members {
		g.members[i].blamed = g.members[i].blamed || g.members[i].doubtful
	}
}

func (g *gang) results() []string {
	out := make([]string, len(g.members))
	for i := range g.members {
		out[i] = g.members[i].status.Result
	}
	return out
}

// each calls fn for every member at once, bounded by the call timeout, and
// returns one of the errors.
func (g *gang) each(ctx context.Context, fn func(ctx context.Context, m *member) error) error {
	ctx, cancel := context.WithTimeout(ctx, g.s.settings.CallTimeout)
	defer cancel()
	errs := make([]error, len(g.members))
	var wg sync.WaitGroup
	for i := range g.members {
		wg.Go(func() { errs[i] = fn(ctx, &g.members[i]) })
	}
	wg.Wait()
	for _, err := range errs {
		// A worker's own word says more than a call that ran out of time.
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	return errors.Join(errs...)
}

// waitFor waits for a change or for d, and reports whether ctx is still valid.
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
