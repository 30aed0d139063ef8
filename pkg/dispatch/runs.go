package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
)

// nextRunNumber returns a run number above all that earlier leaders used.
func (e *Engine) nextRunNumber() int64 {
	e.runCount++
	return (e.Term.Number-1)*maxRunsPerTerm + e.runCount
}

// maxRunsPerTerm limits the starts of one leader: each term has a range of as many run
// numbers.
const maxRunsPerTerm = 1_000_000

// startRun asks the run's worker to start the task.
func (e *Engine) startRun(r *run, now time.Duration) {
	t, w := r.task, r.worker
	u := t.unit
	r.phase, r.orderedAt, r.beganAt = runStarting, now, now
	r.clockBeforeStartMS = w.listingClockMS
	w.noteCall(now)
	if !u.step.Gang || u.isFirstStart(r) {
		u.gangStartedAt = now
	}
	order := backend.StartOrder{Run: r.id, Payload: u.job.spec.Payload, LeaseUntilMS: e.extendLease(w, now), Term: e.Term.Number, Checkpoint: t.checkpoint}
	if u.step.Gang {
		order.Checkpoint = u.checkpoint
	}
	if u.job.policy.Advised {
		order.Ticket = u.tickets[w.key]
	}
	r.resumed = order.Checkpoint != ""
	klog.InfoS("dispatch: start", "job", t.id.Job, "task", u.id.String(), "index", t.id.Index, "run", r.id.Number, "worker", w.info.ID, "zone", w.info.Zone, "rack", w.info.Rack,
		"view_age", e.view.age(now), "worker_age", now-w.answeredAt, "clock_age", now-w.clock.readBefore, "lease_until_ms", order.LeaseUntilMS, "resumes", order.Checkpoint != "")
	ref := w.ref()
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, startTimeout)
		defer cancel()
		clockMS, err := e.Orders.Start(ctx, ref, order)
		e.post(func() { e.onStartReply(r, clockMS, err) })
	}()
}

// isFirstStart reports whether no start has been sent to any member other than r.
func (u *unit) isFirstStart(r *run) bool {
	for _, t := range u.tasks {
		if t.run != nil && t.run != r && t.run.phase != runPlanned {
			return false
		}
	}
	return true
}

// onStartReply handles the answer to a start call.
func (e *Engine) onStartReply(r *run, clockMS int64, err error) {
	w, now := r.worker, e.Now()
	e.needsPlan = true
	if !r.isCurrent() {
		return
	}
	if err == nil {
		if r.transferred {
			// The answer may come from the earlier incarnation.
			e.requestListing(w)
			return
		}
		if clockMS != 0 && clockMS < r.clockBeforeStartMS {
			e.onClockWentBack(w, r, clockMS)
		}
		w.noteAnswer(now)
		e.noteClock(w, clockMS, r.orderedAt)
		w.leaseEnd = max(w.leaseEnd, e.longestLeaseEnd(now))
		if r.phase == runStarting {
			r.activate(0, now)
		}
		e.noteReported(r, clockMS)
		e.renewNow(w)
		return
	}
	kind := backend.OrderUnanswered
	var orderErr *backend.OrderError
	if errors.As(err, &orderErr) {
		kind = orderErr.Kind
	}
	klog.InfoS("dispatch: start not confirmed", "job", r.task.id.Job, "task", r.task.unit.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", w.info.ID, "err", err)
	if kind == backend.OrderUnanswered {
		if orderErr != nil && !r.transferred {
			w.noteError(orderErr, now)
		}
		if r.phase == runStarting {
			r.phase = runUnresolved
			e.quarantineSilent(w, now)
			e.requestListing(w)
		}
		return
	}
	r.task.unit.notBefore = now + retryDelay
	if kind == backend.OrderNoTicket {
		delete(r.task.unit.tickets, w.key)
	}
	if kind != backend.OrderWrongIncarnation {
		w.quarantinedUntil = max(w.quarantinedUntil, now+retryDelay)
	}
	if kind == backend.OrderLeaseExpired {
		// The bound of the worker's clock is too low.
		e.requestListing(w)
	}
	r.crash = nil
	e.removeRun(r, "start refused: "+string(kind))
	e.onOrderError(w, err)
}

// stopRun asks a worker to stop a run. checkRuns repeats the call until it is confirmed.
func (e *Engine) stopRun(r *run, why stopReason) {
	if r.phase == runPlanned {
		e.removeRun(r, why.text)
		return
	}
	if r.phase != runStopping {
		klog.InfoS("dispatch: stop", "job", r.task.id.Job, "task", r.task.unit.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", r.worker.info.ID, "why", why.text, "percent", r.percent, "percent_age", e.Now()-r.percentAt, "listing_age", e.Now()-r.worker.listingAt)
	}
	if r.phase != runStopping {
		r.phase, r.stopReason = runStopping, why
	}
	if r.stopInFlight || r.stopConfirmedAt != 0 {
		return
	}
	r.stopInFlight = true
	w, ref := r.worker, r.worker.ref()
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
		defer cancel()
		_, err := e.Orders.Stop(ctx, ref, r.id, e.Term.Number)
		e.post(func() { e.onStopReply(r, w, err) })
	}()
}

// onStopReply handles the answer to a stop call that was sent while the run was taken to be on w.
func (e *Engine) onStopReply(r *run, w *worker, err error) {
	r.stopInFlight = false
	if !r.isCurrent() {
		return
	}
	var orderErr *backend.OrderError
	// OrderStale confirms the stop: the run has ended or can no longer start.
	if err != nil && (!errors.As(err, &orderErr) || orderErr.Kind != backend.OrderStale) {
		e.onOrderError(w, err)
		return
	}
	if r.worker != w {
		return
	}
	r.stopConfirmedAt = e.Now()
	e.requestListing(r.worker)
}

// onActiveRun handles a run that a worker lists as active. A run of an earlier leader
// becomes its task's run if the task has none.
func (e *Engine) onActiveRun(w *worker, a backend.ActiveRun) {
	t := e.taskOf(a.Run.Task)
	r := w.runs[a.Run.Task]
	now := e.Now()
	if r != nil && r.id == a.Run {
		if r.phase == runUnresolved || r.phase == runStarting {
			r.activate(0, now)
		}
		e.noteReported(r, w.listingClockMS)
		r.listed, r.crash = true, nil
		r.load = a.Load
		e.recordProgress(r, a.Percent, now)
		e.noteCheckpoint(r.task, a.Checkpoint)
		return
	}
	if r != nil && r.id.Number > a.Run.Number {
		// The listing is older than the start in progress.
		return
	}
	if t == nil || t.done || t.run != nil || t.unit.job.progress.Phase.Ended() {
		e.stopOrphan(w, a.Run)
		return
	}
	r = &run{id: a.Run, task: t, worker: w, need: t.unit.step.Demand(), orderedAt: now, inherited: true, listed: true, throttlePercent: fullSpeedPercent}
	r.beganAt = now - e.expectedRunTime(t.unit)*time.Duration(a.Percent)/100
	r.activate(a.Percent, now)
	e.noteReported(r, w.listingClockMS)
	t.run = r
	w.runs[t.id] = r
	w.used = w.used.Add(r.need)
	w.leaseEnd = max(w.leaseEnd, min(e.longestLeaseEnd(now), e.inheritedLeasesEnd))
	t.unit.gangRun, t.unit.gangStartedAt = a.Run.Number, now
	e.noteCheckpoint(t, a.Checkpoint)
	klog.InfoS("dispatch: run inherited", "job", t.id.Job, "task", t.unit.id.String(), "index", t.id.Index, "run", a.Run.Number, "worker", w.info.ID, "percent", a.Percent)
}

// stopOrphan stops a run that belongs to no task. Nothing starts on the worker until it
// no longer lists the run, since the run's resources are not known.
func (e *Engine) stopOrphan(w *worker, id backend.RunID) {
	klog.InfoS("dispatch: stopping an orphan run", "job", id.Task.Job, "task", id.Task.UnitID.String(), "index", id.Task.Index, "run", id.Number, "worker", w.info.ID)
	w.orphans[id] = true
	ref := w.ref()
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
		defer cancel()
		if _, err := e.Orders.Stop(ctx, ref, id, e.Term.Number); err != nil {
			klog.InfoS("dispatch: orphan run not stopped", "job", id.Task.Job, "run", id.Number, "worker", ref.ID, "err", err)
		}
	}()
}

func (e *Engine) noteCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	t.checkpoint = checkpoint
	t.unit.checkpoint = checkpoint
}

// onRunEnded handles a run that a worker lists as ended.
func (e *Engine) onRunEnded(w *worker, end backend.EndedRun) {
	r := w.runs[end.Run.Task]
	if r != nil && r.id != end.Run {
		r = nil
	}
	t := e.taskOf(end.Run.Task)
	klog.InfoS("dispatch: end listed", "job", end.Run.Task.Job, "task", end.Run.Task.UnitID.String(), "index", end.Run.Task.Index, "run", end.Run.Number, "worker", w.info.ID, "outcome", end.Outcome, "known", r != nil)
	metrics.GetOrCreateCounter(`shallotpin_run_ends_total{outcome="` + string(end.Outcome) + `"}`).Inc()
	if t != nil {
		e.markRunning(t.unit.job)
		e.noteCheckpoint(t, end.Checkpoint)
		switch end.Outcome {
		case backend.OutcomeDone:
			e.taskDone(t, r)
			e.stopOtherRuns(t, end.Run.Number)
		case backend.OutcomeFailed:
			e.taskFailed(t, w, end.Run.Number)
		}
	}
	if r != nil {
		r.crash = nil
		e.removeRun(r, string(end.Outcome))
	}
	if t != nil && t.checkpoint != "" && !t.done && !t.unit.job.progress.Phase.Ended() {
		t.unit.job.progress.Checkpoints[t.number] = t.checkpoint
		t.unit.job.unsaved = true
	}
}

// stopOtherRuns stops the runs of a task that is done, and of its gang, other than the run with
// the given number, which has completed it: they were started while that one was out of reach.
func (e *Engine) stopOtherRuns(t *task, number int64) {
	if !t.done {
		return
	}
	tasks := []*task{t}
	if t.unit.step.Gang {
		tasks = t.unit.tasks
	}
	for _, other := range tasks {
		if other.run != nil && other.run.id.Number != number {
			e.stopRun(other.run, stopTaskDone)
		}
	}
}

// taskDone records that a task has completed. A gang is complete as soon as one of its
// members is.
func (e *Engine) taskDone(t *task, r *run) {
	u, j := t.unit, t.unit.job
	if u.step.LongRunning || j.progress.Phase.Ended() {
		return
	}
	if r != nil {
		r.worker.failures = 0
		if r.isRepresentative() {
			e.recordRunTime(u, e.Now()-r.orderedAt)
		}
	}
	finished := []*task{t}
	if u.step.Gang {
		finished = u.tasks
	}
	t.clearSuspicion()
	for _, f := range finished {
		if !f.done {
			f.done = true
			j.progress.Done = j.progress.Done.With(f.number)
			delete(j.progress.Checkpoints, f.number)
			j.unsaved = true
		}
	}
	for _, other := range j.units {
		if !other.done() {
			return
		}
	}
	e.endJob(j, ledger.Completed, "every task is done")
}

func (u *unit) done() bool {
	for _, t := range u.tasks {
		if !t.done {
			return false
		}
	}
	return true
}

// taskFailed counts a failed run, once per run number, and ends the job as failed when
// the limit of attempts is reached.
func (e *Engine) taskFailed(t *task, w *worker, number int64) {
	u, j := t.unit, t.unit.job
	now := e.Now()
	// A unit that has failed on several workers is itself the likely cause.
	if !u.failedElsewhere(w) {
		e.quarantine(w, now)
	}
	u.avoid[w.info.ID] = true
	if u.step.LongRunning || j.progress.Phase.Ended() {
		return
	}
	n := t.number
	if u.step.Gang {
		n = u.tasks[0].number
	}
	if slices.Contains(j.progress.Failures[n], number) {
		return
	}
	j.progress.Failures[n] = append(j.progress.Failures[n], number)
	j.unsaved = true
	e.refreshPolicy(j)
	// Without a limit in the job's record, the job can fail only once the configuration
	// has one.
	if failures, allowed := len(j.progress.Failures[n]), j.policy.MaxAttempts; allowed > 0 && failures >= allowed {
		klog.InfoS("dispatch: task failed as often as allowed", "job", j.spec.ID, "task", u.id.String(), "index", t.id.Index, "failures", failures, "allowed", allowed)
		e.endJob(j, ledger.Failed, "a task failed as often as allowed")
	}
}

// checkRuns handles unresolved starts, unconfirmed stops, stalled or slow runs, and
// incomplete gangs.
func (e *Engine) checkRuns(now time.Duration) {
	for _, w := range e.workers {
		e.evacuateDraining(w, now)
		for _, r := range w.runs {
			switch {
			case r.phase == runStopping && r.stopConfirmedAt == 0:
				e.stopRun(r, r.stopReason)
			case r.phase == runStopping && now-r.stopConfirmedAt > e.Settings.MaxStopTime:
				e.requestListing(w)
			case r.phase == runUnresolved && now-r.orderedAt > 2*orderTimeout:
				e.stopRun(r, stopUnconfirmed)
			case r.phase == runActive && r.awaitsSurvival(now) && now-w.listingAt > renewalRetryDelay:
				e.requestListing(w)
			case r.phase == runActive && e.isStalled(r, now) && e.mayMove(r, true, now):
				e.stopStalledRun(r, now)
			case r.phase == runActive && e.restartIsFaster(r) && e.mayMove(r, false, now):
				e.quarantine(w, now)
				e.stopSlowRun(r)
			}
		}
	}
	for _, j := range e.jobs {
		for _, u := range j.units {
			e.checkGang(u, now)
		}
	}
}

// gangAbortTimeout returns how long a gang may lack a member: at most half of the time
// that the platform lets members wait.
func (e *Engine) gangAbortTimeout() time.Duration {
	return min(maxGangAbortTimeout, e.Settings.GangStartTimeout/2)
}

// checkGang aborts a gang of which only some members run.
func (e *Engine) checkGang(u *unit, now time.Duration) {
	if !u.step.Gang || u.idle() {
		return
	}
	if _, _, unseen := u.unseenTask(); unseen {
		return
	}
	if u.aborting {
		if now-u.abortedAt > orderTimeout {
			e.abortGang(u, stopGangRemainder)
		}
		return
	}
	if u.tasks[0].done || now-u.gangStartedAt < e.gangAbortTimeout() {
		return
	}
	ordered, active := 0, 0
	for _, t := range u.tasks {
		if t.run == nil || t.run.phase == runPlanned {
			continue
		}
		ordered++
		if t.run.phase == runActive && t.run.id.Number == u.gangRun {
			active++
		}
	}
	if ordered > 0 && active < len(u.tasks) {
		e.abortGang(u, stopGangIncomplete)
	}
}
