package lifecycle

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// gang coordinates one attempt of a job.
type gang struct {
	s       *Service
	job     *state.Job
	workers []platform.Worker
	tasks   []platform.TaskID
	// lastRenewed is when the last complete renewal was sent.
	lastRenewed time.Time
}

func newGang(s *Service, j *state.Job) *gang {
	g := &gang{s: s, job: j}
	s.journal.View(func(st *state.State) {
		for i, p := range j.Placements {
			address := ""
			if w := st.Workers[p.Worker]; w != nil {
				address = w.Address
			}
			g.workers = append(g.workers, s.workers.Worker(address))
			g.tasks = append(g.tasks, platform.TaskID{Job: j.ID, Token: j.Token, Index: i})
		}
	})
	return g
}

// run takes the attempt from wherever it stands to its end.
func (g *gang) run(ctx context.Context) {
	statuses, err := g.renew(ctx)
	if err != nil || !allOf(statuses, platform.TaskRunning, platform.TaskDone) {
		if err := g.begin(ctx, statuses); err != nil {
			klog.V(1).Infof("lifecycle: job %s did not start: %v", g.job.ID, err)
			g.stop(ctx, state.OutcomeFailed, err.Error())
			return
		}
	}
	g.watch(ctx)
}

// begin reserves every task, confirms from the log that the attempt is still
// wanted, and starts every task.
func (g *gang) begin(ctx context.Context, statuses []platform.TaskStatus) error {
	for _, st := range statuses {
		if st.Ran {
			return api.Errorf(api.CodeFailed, "task %d is %s while others never started", st.Task.Index, st.Phase)
		}
	}
	if err := g.each(ctx, g.reserve); err != nil {
		return err
	}
	if err := g.confirm(ctx); err != nil {
		return err
	}
	g.lastRenewed = time.Now()
	return g.each(ctx, func(ctx context.Context, i int) error { return g.workers[i].Start(ctx, g.tasks[i]) })
}

func (g *gang) reserve(ctx context.Context, i int) error {
	r := platform.Reservation{
		Task: g.tasks[i], Request: g.job.Spec.PerTask, Payload: g.job.Spec.Payload,
		LeaseTTL: g.s.settings.LeaseTTL, StartWithin: g.s.settings.StartWithin,
	}
	if i < len(g.job.Checkpoints) {
		r.Resume = g.job.Checkpoints[i]
	}
	return g.workers[i].Reserve(ctx, r)
}

// confirm reads the log after the reservations were made. A zone that is still
// in now was in when the reservations began, so a start that the workers
// accept, within StartWithin of them, is not later than that after a zone out.
func (g *gang) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.s.settings.StartWithin)
	defer cancel()
	if err := g.s.journal.Sync(ctx); err != nil {
		return err
	}
	var err error
	g.s.journal.View(func(st *state.State) { err = g.checkWanted(st) })
	return err
}

func (g *gang) checkWanted(st *state.State) error {
	j := st.Jobs[g.job.ID]
	if j == nil || j.Token != g.job.Token || j.Phase != api.PhasePlaced || j.Coordinator != g.s.journal.Writer() {
		return api.Errorf(api.CodeConflict, "the attempt is no longer wanted")
	}
	for _, p := range j.Placements {
		w := st.Workers[p.Worker]
		if w == nil || w.Gone || st.ZoneOut(w.Zone) {
			return api.Errorf(api.CodeConflict, "worker %s takes no new tasks", p.Worker)
		}
	}
	return nil
}

// watch renews the leases until every task is done, one is lost, or the
// attempt is to be stopped.
func (g *gang) watch(ctx context.Context) {
	for {
		changed := g.s.journal.Changed()
		if g.phase() == api.PhaseStopping {
			g.stop(ctx, state.OutcomeStopped, "stopped on request")
			return
		}
		statuses, err := g.renew(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && allOf(statuses, platform.TaskDone):
			g.end(ctx, state.EndAttempt{Outcome: state.OutcomeDone, Results: results(statuses)})
			return
		case err == nil && !allOf(statuses, platform.TaskRunning, platform.TaskDone):
			g.stop(ctx, state.OutcomeFailed, "a task failed or was lost")
			return
		case err != nil && time.Since(g.lastRenewed) > g.s.settings.LeaseTTL:
			g.stop(ctx, state.OutcomeFailed, "a worker was lost: "+err.Error())
			return
		}
		if !waitFor(ctx, changed, g.s.settings.RenewInterval) {
			return
		}
	}
}

func (g *gang) phase() api.Phase {
	phase := api.PhaseCancelled
	g.s.journal.View(func(st *state.State) {
		if j := st.Jobs[g.job.ID]; j != nil && j.Token == g.job.Token {
			phase = j.Phase
		}
	})
	return phase
}

// renew extends the lease of every task and returns their states.
func (g *gang) renew(ctx context.Context) ([]platform.TaskStatus, error) {
	began := time.Now()
	statuses := make([]platform.TaskStatus, len(g.tasks))
	err := g.each(ctx, func(ctx context.Context, i int) error {
		out, err := g.workers[i].Renew(ctx, g.tasks[i:i+1], g.s.settings.LeaseTTL)
		if err == nil && len(out) == 1 {
			statuses[i] = out[0]
		}
		return err
	})
	if err == nil {
		g.lastRenewed = began
	}
	return statuses, err
}

// stop ends every task, and then the attempt. A task whose worker does not
// answer has ended once its lease has lapsed on the worker's clock.
func (g *gang) stop(ctx context.Context, outcome state.AttemptOutcome, reason string) {
	statuses := make([]platform.TaskStatus, len(g.tasks))
	stopped := make([]bool, len(g.tasks))
	began := time.Now()
	lapse := time.Duration(float64(g.s.settings.LeaseTTL+g.s.settings.StartWithin) * (1 + g.s.settings.ClockDrift))
	for {
		err := g.each(ctx, func(ctx context.Context, i int) error {
			if stopped[i] {
				return nil
			}
			st, err := g.workers[i].Stop(ctx, g.tasks[i], g.job.Spec.Checkpoint)
			if err == nil {
				statuses[i], stopped[i] = st, true
			}
			return err
		})
		if err == nil {
			break
		}
		if time.Since(began) > lapse {
			for i := range stopped {
				if !stopped[i] {
					statuses[i] = platform.TaskStatus{Task: g.tasks[i], Phase: platform.TaskUnknown, Ran: true}
				}
			}
			break
		}
		if !waitFor(ctx, nil, g.s.settings.RenewInterval) {
			return
		}
	}
	g.end(ctx, g.endAttempt(statuses, outcome, reason))
}

func (g *gang) endAttempt(statuses []platform.TaskStatus, outcome state.AttemptOutcome, reason string) state.EndAttempt {
	if allOf(statuses, platform.TaskDone) {
		return state.EndAttempt{Outcome: state.OutcomeDone, Results: results(statuses)}
	}
	end := state.EndAttempt{Outcome: state.OutcomeNeverStarted, Reason: reason}
	complete := true
	for _, st := range statuses {
		if st.Ran {
			end.Outcome = outcome
		}
		complete = complete && st.Checkpoint != ""
	}
	if complete {
		for _, st := range statuses {
			end.Checkpoints = append(end.Checkpoints, st.Checkpoint)
		}
	}
	return end
}

// end records the end of the attempt, trying until the log has a verdict.
func (g *gang) end(ctx context.Context, e state.EndAttempt) {
	e.Job, e.Token = g.job.ID, g.job.Token
	for ctx.Err() == nil {
		if _, err := g.s.propose(ctx, state.Record{End: &e}); err == nil {
			return
		}
	}
}

// each calls fn for every task at once and returns one of the errors.
func (g *gang) each(ctx context.Context, fn func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithTimeout(ctx, g.s.settings.CallTimeout)
	defer cancel()
	errs := make([]error, len(g.tasks))
	var wg sync.WaitGroup
	for i := range g.tasks {
		wg.Go(func() { errs[i] = fn(ctx, i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func allOf(statuses []platform.TaskStatus, phases ...platform.TaskPhase) bool {
	for _, st := range statuses {
		ok := false
		for _, p := range phases {
			ok = ok || st.Phase == p
		}
		if !ok {
			return false
		}
	}
	return true
}

func results(statuses []platform.TaskStatus) []string {
	out := make([]string, len(statuses))
	for i, st := range statuses {
		out[i] = st.Result
	}
	return out
}

// waitFor waits for a change or for d, and reports whether ctx is still valid.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	select {
	case <-changed:
	case <-time.After(d):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
