package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// checkWorkers renews leases that are due, ends the runs of unresponsive workers whose leases
// have ended, and deletes workers that are gone.
func (e *Engine) checkWorkers(now time.Duration) {
	for _, w := range e.workers {
		if w.isUnresponsive(now) && !w.silenceLogged {
			w.silenceLogged = true
			klog.InfoS("dispatch: worker does not answer", "worker", w.info.ID, "address", w.info.Address, "silent", now-w.answeredAt, "runs", len(w.runs), "err", w.lastError)
		}
		if len(w.runs) > 0 && now > w.leaseEnd && w.isUnresponsive(now) {
			e.noteSilenced(w, now)
			e.loseRuns(w, "its leases have ended and it does not answer")
		}
		e.renewIfDue(w, now)
		if !w.listed && !e.awaitsListing(w) && len(w.runs) == 0 && (w.endsAcknowledged >= w.endsHandled || w.isUnresponsive(now)) {
			e.deleteWorker(w)
		}
	}
}

// unseenOn returns a worker on which the task, started by an earlier leader, may run
// without having been listed. It reports false if there is none.
func (j *job) unseenOn(t *task) (string, bool) {
	for key, numbers := range j.inherited {
		if numbers == nil || numbers.Has(t.number) {
			return key, true
		}
	}
	return "", false
}

// unseenTask returns a task of the unit that may run without having been listed, and the
// worker. It reports false if there is none.
func (u *unit) unseenTask() (*task, string, bool) {
	for _, t := range u.tasks {
		if key, unseen := u.job.unseenOn(t); unseen {
			return t, key, true
		}
	}
	return nil, "", false
}

// needsRenewal reports whether the engine has to renew the worker's leases, or needs its
// listing or its clock.
func (e *Engine) needsRenewal(w *worker, now time.Duration) bool {
	return len(w.runs) > 0 || len(w.orphans) > 0 || w.endsAcknowledged < w.endsHandled || w.listed && !w.replaced && (!w.fenced || w.mayReturn() || e.isClockUncertain(w, now))
}

// isClockUncertain reports whether the worker's clock is not known, or a lease would be too short for
// what the clock may have gained on its bound. Records with the clock keep an idle worker from being
// called for that.
func (e *Engine) isClockUncertain(w *worker, now time.Duration) bool {
	return now-w.listingAt > renewalWait && (!w.clock.known || w.clock.uncertainty(now, e.Settings.ClockDrift) > e.Settings.LeaseDuration/minLeaseParts)
}

// mayReturn reports whether the worker has no runs and has left a call unanswered: it gets no
// work until it answers one.
func (w *worker) mayReturn() bool { return len(w.runs) == 0 && w.unansweredSince != 0 }

// renewNow sends a renewal, due or not, if none is in flight.
func (e *Engine) renewNow(w *worker) {
	now := e.Now()
	w.renewalDue = min(w.renewalDue, now)
	e.renewIfDue(w, now)
}

// renewIfDue sends a renewal if one is due and none is in flight.
func (e *Engine) renewIfDue(w *worker, now time.Duration) {
	if w.renewalInFlight || now < w.renewalDue || !e.needsRenewal(w, now) || !e.lease.MayRenew(now) {
		return
	}
	if w.withholdsAcknowledgement() && w.hasRun((*run).awaitsStart) && now < w.listingAt+renewalRetryDelay {
		// The worker would list the same again. The answer to the start makes the renewal due.
		w.renewalDue = w.listingAt + renewalRetryDelay
		return
	}
	isFirstCall := !w.fenced && len(w.runs) == 0
	if isFirstCall && e.firstCallSlotsUsed >= maxFirstCalls {
		return
	}
	if isFirstCall {
		e.takeFirstCallSlot(w)
	}
	order := backend.RenewOrder{Term: e.Term.Number, SeenUpTo: w.seenUpTo(), Wait: renewalWait}
	unanswered := w.unansweredSince != 0 && now-w.unansweredSince > renewalStopTimeout
	w.noteCall(now)
	// The worker answers at once if the call is to learn its clock, whether it responds, or
	// which runs it has. It does so, too, while it has ends that are not acknowledged.
	if !w.clock.known || unanswered || len(w.runs) == 0 || w.hasOnlyUnresolved() || w.withholdsAcknowledgement() {
		order.Wait = 0
	}
	if order.Wait > 0 && w.isMixed() {
		order.Wait = mixedRenewalWait
	}
	if w.clock.known && len(w.runs) > 0 && !unanswered && e.mayGrantLease(w, now) {
		order.LeaseUntilMS = e.extendLease(w, now)
	}
	w.renewalInFlight = true
	go e.sendRenewal(w, w.ref(), order, now)
}

// takeFirstCallSlot counts a first call to a worker, for at most firstCallSlotTime: calls
// to workers that are gone must not delay those to the others, for example after the
// loss of a zone together with the leader.
func (e *Engine) takeFirstCallSlot(w *worker) {
	w.hasFirstCallSlot = true
	e.firstCallSlotsUsed++
	time.AfterFunc(firstCallSlotTime, func() { e.post(func() { e.releaseFirstCallSlot(w) }) })
}

func (e *Engine) releaseFirstCallSlot(w *worker) {
	if w.hasFirstCallSlot {
		w.hasFirstCallSlot = false
		e.firstCallSlotsUsed--
		e.callNextWorkers()
	}
}

// hasOnlyUnresolved reports whether the worker has no runs other than unresolved ones.
func (w *worker) hasOnlyUnresolved() bool {
	for _, r := range w.runs {
		if r.phase != runUnresolved {
			return false
		}
	}
	return true
}

// extendLease returns the end of a new lease on the worker's clock, in milliseconds, and
// sets leaseEnd to the time on the engine's clock until which the tasks may then run, however late
// the order is carried out.
func (e *Engine) extendLease(w *worker, now time.Duration) int64 {
	end := e.grantEnd(now)
	w.leaseEnd = max(w.leaseEnd, end+e.maxLeaseError())
	return int64(w.clock.lower(now, e.Settings.ClockDrift) + milliseconds(end-now))
}

// sendRenewal makes a renewal call and posts the answer to the engine.
func (e *Engine) sendRenewal(w *worker, ref backend.WorkerRef, order backend.RenewOrder, sent time.Duration) {
	ctx, cancel := context.WithTimeout(e.ctx, order.Wait+orderTimeout)
	defer cancel()
	reply, err := e.Orders.Renew(ctx, ref, order)
	e.post(func() {
		w.renewalInFlight = false
		e.onRenewalReply(w, order, sent, reply, err)
		e.releaseFirstCallSlot(w)
	})
}

// callNextWorkers makes first calls to further workers, up to maxFirstCalls. Calls to all
// workers at once would use up the processor in the first second of a term.
func (e *Engine) callNextWorkers() {
	now := e.Now()
	for _, w := range e.workers {
		if e.firstCallSlotsUsed >= maxFirstCalls {
			return
		}
		if !w.fenced && !w.renewalInFlight {
			e.renewIfDue(w, now)
		}
	}
}

// requestListing requests a listing of the worker's runs at once, without renewing its
// leases.
func (e *Engine) requestListing(w *worker) {
	if w.listingInFlight || !e.lease.MayRenew(e.Now()) {
		return
	}
	w.listingInFlight = true
	e.sendListing(w, orderTimeout, func(time.Duration, error) { w.listingInFlight = false })
}

// sendListing makes a call for a listing of the worker's runs. It handles the answer, and
// then calls done with the time at which the call was sent.
func (e *Engine) sendListing(w *worker, timeout time.Duration, done func(sent time.Duration, err error)) {
	order := backend.RenewOrder{Term: e.Term.Number, SeenUpTo: w.seenUpTo()}
	sent := e.Now()
	w.noteCall(sent)
	ref := w.ref()
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, timeout)
		defer cancel()
		reply, err := e.Orders.Renew(ctx, ref, order)
		e.post(func() {
			e.onRenewalReply(w, order, sent, reply, err)
			done(sent, err)
		})
	}()
}

// onRenewalReply handles a worker's answer to a renewal or a listing request.
func (e *Engine) onRenewalReply(w *worker, order backend.RenewOrder, sent time.Duration, reply backend.Listing, err error) {
	now := e.Now()
	if e.workers[w.key] != w {
		return
	}
	if err != nil {
		w.renewalDue = now + renewalRetryDelay
		if w.fenced && w.mayReturn() {
			w.renewalDue = max(w.renewalDue, sent+returnCallInterval)
		}
		e.onOrderError(w, err)
		return
	}
	if startMS := reply.IncarnationStartMS; startMS != 0 && w.startMS() != 0 && startMS != w.startMS() {
		w.replaced = true
		if next := e.supersede(w, startMS, "another incarnation answered in its place"); next.startMS() == startMS {
			// The acknowledged ends were those of the earlier incarnation.
			order.SeenUpTo = 0
			e.onRenewalReply(next, order, sent, reply, nil)
		}
		return
	}
	if latest := e.latest[w.info.ID]; latest != w {
		if sent <= latest.knownAt {
			e.onLateListing(w, reply)
			return
		}
		// It has answered a call that was sent when the other one was known, so it is the later one:
		// the time of day, from which start times are taken, may have been set back, or another writer has
		// made the record of the other one.
		latest.replaced = true
		e.supersede(latest, w.startMS(), "an incarnation with an earlier start time answered in its place")
	}
	if w.isUnresponsive(now) {
		klog.InfoS("dispatch: worker answers again", "worker", w.info.ID, "silent", now-w.answeredAt)
		w.endSilence()
	}
	w.noteAnswer(now)
	e.noteClock(w, reply.ClockMS, sent)
	w.endsAcknowledged = max(w.endsAcknowledged, order.SeenUpTo)
	w.renewalDue = now
	listed := map[backend.RunID]bool{}
	// Listings may arrive out of order; an older one does not show what runs now.
	isNewest := reply.ClockMS >= w.listingClockMS
	if isNewest {
		w.listingClockMS, w.listingAt, w.moreEnds = reply.ClockMS, now, reply.MoreEnds
		w.clockWentBack = false
		clear(w.orphans)
	}
	for _, a := range reply.Active {
		listed[a.Run] = true
		if isNewest {
			e.onActiveRun(w, a)
		}
	}
	for _, end := range reply.Ended {
		listed[end.Run] = true
		if end.Number > w.endsHandled {
			e.onRunEnded(w, end)
		}
	}
	if isNewest {
		if !reply.MoreEnds {
			e.checkMissing(w, listed, sent)
		}
		e.throttleBestEffort(w)
		e.observeInterference(w, now)
	}
	if reply.MoreEnds {
		klog.InfoS("dispatch: worker may have more ends to list", "worker", w.info.ID, "active", len(reply.Active), "ended", len(reply.Ended), "runs", len(w.runs))
	}
	if !w.fenced && !reply.MoreEnds {
		w.fenced = true
		klog.V(1).InfoS("dispatch: worker answered in this term", "worker", w.info.ID, "active", len(reply.Active), "ended", len(reply.Ended))
	}
	for _, end := range reply.Ended {
		w.endsHandled = max(w.endsHandled, end.Number)
	}
	if w.endsRecorded < w.endsHandled {
		w.renewalDue = now + renewalRetryDelay
		e.flush()
	} else if w.withholdsAcknowledgement() || order.Wait == 0 && (len(w.runs) > 0 || len(w.orphans) > 0) && w.hasOnlyUnresolved() {
		w.renewalDue = now + renewalRetryDelay
	}
	e.needsPlan = true
	e.renewIfDue(w, now)
}

// checkMissing resolves runs that are missing from a listing with all ends, requested at sent,
// although the worker would list them.
func (e *Engine) checkMissing(w *worker, listed map[backend.RunID]bool, sent time.Duration) {
	for _, r := range w.runs {
		if listed[r.id] {
			continue
		}
		switch {
		case r.stopConfirmedAt != 0 && r.stopConfirmedAt < sent:
			e.removeRun(r, "never started or ended unseen")
		case r.phase == runUnresolved && sent > r.orderedAt+startTimeout:
			e.stopRun(r, stopNotCarriedOut)
		case r.phase == runActive && r.activeAt < sent:
			e.removeRun(r, "the worker no longer lists it")
		}
	}
}

// noteClock takes over the worker's clock from the answer to a call that was sent then.
func (e *Engine) noteClock(w *worker, clockMS int64, sent time.Duration) {
	if clockMS != 0 {
		w.clock.noteAnswer(clockMS, sent, e.Now(), e.Settings.ClockDrift)
	}
}

// notePublishedClock takes over the worker's clock from its record.
func (e *Engine) notePublishedClock(w *worker) {
	if w.info.ClockMS == 0 || w.clock.notePublished(w.info.ClockMS, w.info.ReceivedAt, e.Settings.ClockDrift) || w.contradictionLogged {
		return
	}
	w.contradictionLogged = true
	klog.InfoS("dispatch: the clock in a worker's record is ahead of the one in its answers; record's clock not used", "worker", w.info.ID, "record", w.info.ClockMS, "answered", w.clock.answeredMS, "answer_age", w.info.ReceivedAt-w.clock.readAfter)
}

// onOrderError handles what a failed call means for the worker as a whole, or the term.
func (e *Engine) onOrderError(w *worker, err error) {
	var orderErr *backend.OrderError
	if !errors.As(err, &orderErr) {
		return
	}
	if orderErr.Kind != backend.OrderWrongIncarnation {
		w.noteError(orderErr, e.Now())
	}
	metrics.GetOrCreateCounter(`shallotpin_order_errors_total{kind="` + string(orderErr.Kind) + `"}`).Inc()
	switch orderErr.Kind {
	case backend.OrderFenced:
		klog.InfoS("dispatch: worker has accepted a later term", "worker", w.info.ID, "term", e.Term.Number)
		e.endTerm(errFenced)
	case backend.OrderWrongIncarnation:
		e.markDisplaced(w)
	case backend.OrderUnhealthy:
		w.quarantinedUntil = max(w.quarantinedUntil, e.Now()+quarantineTime)
	}
}

// loseRuns treats all runs of a worker as ended. The worker may still be there: what it lists
// once it answers counts.
func (e *Engine) loseRuns(w *worker, why string) {
	if len(w.runs) > 0 || w.listed {
		klog.InfoS("dispatch: worker lost", "worker", w.info.ID, "why", why, "runs", len(w.runs), "silent", e.Now()-w.answeredAt)
	}
	for _, r := range w.runs {
		e.removeRun(r, workerLostPrefix+why)
	}
	e.needsPlan = true
}

// removeRun releases the resources of a run that has ended or never began.
func (e *Engine) removeRun(r *run, why string) {
	w, t := r.worker, r.task
	if w.runs[t.id] != r {
		return
	}
	cause, lost := e.recordLostWork(r, why, e.Now())
	delete(w.runs, t.id)
	e.takeSamples(e.interference.recorder.Ended(r.id))
	w.used = w.used.Sub(r.need)
	if t.run == r {
		t.run = nil
	}
	klog.InfoS("dispatch: run ended", "job", t.id.Job, "task", t.id.UnitID.String(), "index", t.id.Index, "run", r.id.Number, "worker", w.info.ID, "why", why, "ran", e.Now()-r.orderedAt, "cause", cause, "lost_core_s", int(lost))
	u := t.unit
	if u.step.Gang && !t.done && !u.aborting && (r.activeAt != 0 || e.Now()-u.gangStartedAt > e.gangAbortTimeout()) {
		// The other members end by themselves; checkGang stops those that do not.
		u.aborting, u.abortedAt = true, e.Now()
	}
	if u.idle() {
		u.aborting = false
	}
	e.countCrash(r)
	if r.phase != runPlanned {
		// The job's record must not name the worker any longer than needed: a later leader
		// would wait for it.
		u.job.unsaved = u.job.unsaved || !u.job.progress.Phase.Ended()
	}
	e.needsPlan = true
}

// idle reports whether no task of the unit has a run.
func (u *unit) idle() bool {
	for _, t := range u.tasks {
		if t.run != nil {
			return false
		}
	}
	return true
}

// abortGang stops all members of a gang, since a gang cannot run in part.
func (e *Engine) abortGang(u *unit, why stopReason) {
	u.aborting, u.abortedAt = true, e.Now()
	for _, t := range u.tasks {
		if t.run != nil {
			e.stopRun(t.run, why)
		}
	}
}

// taskOf returns the task of a job that has not ended, or nil.
func (e *Engine) taskOf(id workload.TaskID) *task {
	j := e.jobs[id.Job]
	if j == nil || id.Round < 0 || id.Step < 0 || id.Index < 0 || id.Round >= j.spec.Rounds() || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	return j.units[id.Round*len(j.spec.Steps)+id.Step].tasks[id.Index]
}
