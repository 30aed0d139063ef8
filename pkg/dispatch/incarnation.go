package dispatch

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
)

// An order is addressed to the ID of a worker, which all of its incarnations share: the one that
// receives the order carries it out, and only a listing shows which one that was. This file has
// the conclusions that the engine draws for one incarnation from what is known of another.

// workerKey returns the key of an incarnation of a worker: the ID, which all its
// incarnations share, and the start time.
func workerKey(w catalog.Worker) string { return w.ID + "@" + strconv.FormatInt(w.StartedMS, 10) }

// workerID returns the ID in a worker key. The ID may contain any character.
func workerID(key string) string { return key[:max(0, strings.LastIndex(key, "@"))] }

// incarnationStartMS returns the start time in a worker key, in Unix milliseconds; 0 if
// the platform did not report it.
func incarnationStartMS(key string) int64 {
	// The conversion cannot fail, since workerKey makes all keys.
	n, _ := strconv.ParseInt(key[strings.LastIndex(key, "@")+1:], 10, 64)
	return n
}

// dropForeignRecords removes the records of services that nothing names from the view, which no worker
// has made: what they say of an incarnation holds for none. The worker in whose place such a record is gets
// no new work until it writes its own again, and its runs go on.
func (e *Engine) dropForeignRecords() {
	foreign := map[string]string{}
	for id, info := range e.view.Workers {
		if !e.isNamed(info.Service) {
			foreign[id] = info.Service
		}
	}
	for id, service := range foreign {
		if e.foreignRecords[id] != service {
			klog.InfoS("dispatch: worker's record is of a service that nothing names; not used", "worker", id, "service", service, "age", e.Now()-e.view.Workers[id].ReceivedAt)
		}
	}
	e.foreignRecords = foreign
	if len(foreign) > 0 {
		// The view is shared.
		e.view.Workers = maps.Clone(e.view.Workers)
		maps.DeleteFunc(e.view.Workers, func(id string, _ catalog.Worker) bool { _, drop := foreign[id]; return drop })
	}
}

// isNamed reports whether the configuration or a job names the service. Jobs of queues that have
// been deleted still run.
func (e *Engine) isNamed(service string) bool {
	if e.view.Config == nil || e.view.Config.HasService(service) {
		return true
	}
	for _, j := range e.jobs {
		if j.policy.Service == service {
			return true
		}
	}
	return false
}

// addWorker adds an incarnation of a worker. By its start time it is the latest one or not; an answer
// may show otherwise, see onRenewalReply.
func (e *Engine) addWorker(key string, info catalog.Worker) *worker {
	w := newWorker(key, info, e.Now())
	e.workers[key] = w
	if e.Settings.Features.Speeds {
		e.performance.AddWorker(key)
	}
	if latest := e.latest[info.ID]; latest == nil || latest.startMS() < w.startMS() {
		e.latest[info.ID] = w
	}
	return w
}

// deleteWorker forgets an incarnation of a worker.
func (e *Engine) deleteWorker(w *worker) {
	delete(e.workers, w.key)
	if e.latest[w.info.ID] == w {
		delete(e.latest, w.info.ID)
	}
}

func (w *worker) startMS() int64 { return incarnationStartMS(w.key) }

// awaitsListing reports whether the worker is the latest incarnation, and the platform still lists
// another one in its place.
func (e *Engine) awaitsListing(w *worker) bool {
	listed, known := e.view.Workers[w.info.ID]
	return known && e.latest[w.info.ID] == w && workerKey(listed) != w.key
}

// isAccounted reports whether all runs are known that earlier leaders may have started on the
// incarnation with the given key or, under the same ID, on a later one. The listing of the latest
// known incarnation shows so, since an earlier one has ended with all that it ran. That a later
// incarnation exists does not: it may have carried out starts that were meant for the earlier one.
func (e *Engine) isAccounted(key string) bool {
	latest := e.latest[workerID(key)]
	return latest != nil && latest.startMS() >= incarnationStartMS(key) && latest.fenced
}

// accountInherited removes from j.inherited the workers whose runs are known by now, and all once
// the leases that earlier leaders granted have ended.
func (e *Engine) accountInherited(j *job, now time.Duration) {
	leasesEnded := now > e.inheritedLeasesEnd
	for key := range j.inherited {
		if leasesEnded || e.isAccounted(key) {
			klog.V(1).InfoS("dispatch: tasks of an earlier leader accounted for", "job", j.spec.ID, "worker", key, "leases_ended", leasesEnded)
			delete(j.inherited, key)
		}
	}
}

// seenUpTo returns the number up to which the worker may forget its ends, 0 if a call is not to
// acknowledge any. A later incarnation that receives the call numbers its ends anew, so that it
// could forget one that nobody has seen: no acknowledgement is sent a second time, nor while a run
// of the worker may be on a later incarnation.
func (w *worker) seenUpTo() int64 {
	if w.endsAcknowledged >= w.endsRecorded || w.withholdsAcknowledgement() {
		return 0
	}
	return w.endsRecorded
}

// withholdsAcknowledgement reports whether the acknowledgement of ends waits for the worker to
// list all of its runs. A worker that may have more ends lists them only once these are acknowledged.
func (w *worker) withholdsAcknowledgement() bool {
	return w.endsAcknowledged < w.endsRecorded && !w.moreEnds && w.hasRun(func(r *run) bool { return !r.listed })
}

// mayBeOnLaterIncarnation reports whether the run, if it was started, may be on a later incarnation
// than that of its worker.
func (r *run) mayBeOnLaterIncarnation() bool { return r.phase != runPlanned && !r.listed }

// awaitsStart reports whether the start of the run is planned or not answered yet.
func (r *run) awaitsStart() bool { return r.phase == runPlanned || r.phase == runStarting }

// hasRun reports whether a run of the worker meets a condition.
func (w *worker) hasRun(condition func(*run) bool) bool {
	for _, r := range w.runs {
		if condition(r) {
			return true
		}
	}
	return false
}

// mayGrantLease reports whether a lease may be granted to the worker now. A later incarnation
// has a clock that is behind, so that an order gives it the longest lease, whatever time is in the
// order; that must not outlast the lease window, for which later leaders wait.
func (e *Engine) mayGrantLease(w *worker, now time.Duration) bool {
	return now+e.Settings.LeaseDuration <= e.lease.ConfirmedAt()+e.Settings.LeaseWindow || !w.hasRun((*run).mayBeOnLaterIncarnation)
}

// longestLeaseEnd returns until when a lease may last that a worker of any incarnation has been
// granted up to now.
func (e *Engine) longestLeaseEnd(now time.Duration) time.Duration {
	return now + e.Settings.LeaseDuration + e.maxLeaseError()
}

// onClockWentBack handles an answer to a start with a clock behind that of a listing before the
// start: only a later incarnation, which the platform may not list yet, can have answered. It is
// asked at once for its runs and its start time; until then, no task starts on it.
func (e *Engine) onClockWentBack(w *worker, r *run, clockMS int64) {
	klog.InfoS("dispatch: worker's clock went back", "worker", w.info.ID, "born", w.startMS(), "clock", clockMS, "before", r.clockBeforeStartMS, "job", r.task.id.Job, "task", r.task.unit.id.String(), "index", r.task.id.Index, "run", r.id.Number)
	w.clockWentBack = true
	e.requestListing(w)
}

// replaceEarlier gives up the incarnations of which later ones are listed. A record alone does not show
// that one has ended, since any writer may have made it: either the later one has answered, or the
// earlier one leaves calls unanswered that are sent once the later one is known.
func (e *Engine) replaceEarlier(now time.Duration) {
	for _, w := range e.workers {
		latest := e.latest[w.info.ID]
		switch {
		case latest == nil || latest.startMS() <= w.startMS():
		case latest.clock.known || w.isSilentSince(latest.knownAt, now):
			e.supersede(w, latest.startMS(), "a later incarnation of the worker is listed")
		case now > latest.knownAt:
			e.requestListing(w)
		}
	}
}

// isOverdue reports whether the worker has neither listed its runs nor written a record within the time
// between two records, so that it may have started again without notice. A later incarnation would
// carry a start out whose lease ends on the clock of the earlier one, and so lasts for the longest time
// from whenever that is.
func (e *Engine) isOverdue(w *worker, now time.Duration) bool {
	interval := e.Settings.RecordInterval
	return interval != 0 && now-max(w.listingAt, w.info.ReceivedAt) > interval+recordDelayAllowed
}

// isSilentSince reports whether the worker has answered no call from a given time on for as long as
// a renewal may take.
func (w *worker) isSilentSince(since, now time.Duration) bool {
	return w.unansweredSince != 0 && now-max(w.unansweredSince, since) > renewalStopTimeout
}

// ownRecord returns what a record says of the incarnation. One that has answered stays at its address:
// a record with another one is not its own in that.
func (e *Engine) ownRecord(w *worker, info catalog.Worker) catalog.Worker {
	if !w.clock.known || info.Address == w.info.Address {
		return info
	}
	if !w.contradictionLogged {
		w.contradictionLogged = true
		klog.InfoS("dispatch: worker's record has another address than the one at which it answers; record's address not used", "worker", w.info.ID, "record", info.Address, "answers_at", w.info.Address)
	}
	info.Address = w.info.Address
	return info
}

// supersede gives up an incarnation of a worker, since another one, started at startMS, is known to
// have taken its place, and returns the latest that is known.
func (e *Engine) supersede(w *worker, startMS int64, why string) *worker {
	info := w.info
	info.StartedMS, info.Draining, info.Remaining = startMS, false, 0
	next := e.workers[workerKey(info)]
	if next == nil {
		next = e.addWorker(workerKey(info), info)
	}
	if latest := e.latest[info.ID]; latest == w {
		e.latest[info.ID] = next
	} else {
		next = latest
	}
	e.recordCrash(w)
	e.transferRuns(w, next)
	e.loseWorker(w, why)
	return next
}

// markDisplaced gives up a worker at whose address a worker with another ID has answered: nothing
// runs there under the ID, and no order to it will be carried out.
func (e *Engine) markDisplaced(w *worker) {
	w.replaced = true
	e.recordCrash(w)
	e.loseWorker(w, "another worker answered in its place")
	w.fenced = true
}

// transferRuns moves the runs of an incarnation that may have started on a later one to that one:
// all that the earlier one has not listed.
func (e *Engine) transferRuns(w, next *worker) {
	now := e.Now()
	for _, r := range w.runs {
		if !r.mayBeOnLaterIncarnation() {
			continue
		}
		klog.InfoS("dispatch: run may be on another incarnation", "job", r.task.id.Job, "task", r.task.unit.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", w.info.ID, "born", next.startMS(), "phase", r.phase)
		delete(w.runs, r.task.id)
		w.used = w.used.Sub(r.need)
		r.worker, next.runs[r.task.id] = next, r
		next.used = next.used.Add(r.need)
		next.leaseEnd = max(next.leaseEnd, w.leaseEnd, e.longestLeaseEnd(now))
		if r.phase != runStopping {
			r.phase, r.orderedAt = runUnresolved, now
		}
		// What the earlier incarnation has confirmed does not hold for the later one.
		r.transferred = true
		r.stopConfirmedAt = 0
		r.throttlePercent, r.throttleConfirmed = fullSpeedPercent, false
		r.firstSeenClockMS, r.survived = 0, false
		e.requestListing(next)
	}
}

// onLateListing handles a listing of an incarnation that a later one has superseded. What it has
// listed, active or ended, is not on the later one.
func (e *Engine) onLateListing(w *worker, reply backend.Listing) {
	latest := e.latest[w.info.ID]
	remove := func(id backend.RunID, hadEnded bool, why string) {
		if r := latest.runs[id.Task]; r != nil && r.id == id && !r.listed {
			if hadEnded {
				// It cannot have caused the crash of the incarnation.
				r.crash = nil
			}
			e.removeRun(r, why)
		}
	}
	klog.InfoS("dispatch: listing of an earlier incarnation", "worker", w.info.ID, "born", w.startMS(), "active", len(reply.Active), "ended", len(reply.Ended))
	for _, end := range reply.Ended {
		if end.Number > w.endsHandled {
			e.onRunEnded(w, end)
			remove(end.Run, true, string(end.Outcome))
		}
	}
	for _, end := range reply.Ended {
		w.endsHandled = max(w.endsHandled, end.Number)
	}
	w.endsRecorded, w.endsAcknowledged = w.endsHandled, w.endsHandled
	for _, a := range reply.Active {
		remove(a.Run, false, workerLostPrefix+"an earlier incarnation had it")
	}
	e.needsPlan = true
}

// loseWorker gives up an incarnation of a worker for good.
func (e *Engine) loseWorker(w *worker, why string) {
	e.loseRuns(w, why)
	w.endsRecorded, w.endsAcknowledged = w.endsHandled, w.endsHandled
	if current, known := e.view.Workers[w.info.ID]; !known || workerKey(current) != w.key {
		w.listed = false
	}
}
