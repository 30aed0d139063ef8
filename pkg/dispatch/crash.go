package dispatch

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/ledger"
)

// A task may crash each worker that starts it. The leader sees only that another incarnation
// answers in a worker's place, so it infers the cause: the suspects are the runs that had
// started shortly before. Suspects start apart from other new runs, which tells the cause of
// a further crash, and whoever survives is cleared. A job ends as failed after a few crashes
// in a row; a task that is only often beside such a task, or on workers that crash by
// themselves, does not get that far. Nor does one whose starts may not have arrived: an
// unanswered start is evidence only if its worker had answered another call just before.

const (
	// crashWindow is how long a run must have been active before a crash of its worker is
	// not put down to it: a task that crashes workers does so soon after its start.
	crashWindow = 2 * time.Second
	// crashMemory is for how long a crash counts against the worker: a suspected task starts
	// elsewhere, and if there was no suspect, further crashes are excused.
	crashMemory = time.Minute
	// suspectInterval is the least time between two attempts to place a suspected task of
	// a unit while others of its tasks wait.
	suspectInterval = 500 * time.Millisecond
	// recentAnswer is the age of a worker's last answer up to which a start that was sent then
	// is taken to have arrived, though it was not answered.
	recentAnswer = startTimeout
)

// isSuspected reports whether the task, or another of its gang, may have crashed a worker and
// has not been cleared.
func (t *task) isSuspected() bool {
	if t.unit.step.Gang {
		return slices.ContainsFunc(t.unit.tasks, func(m *task) bool { return t.unit.job.progress.Crashes[m.number].Total > 0 })
	}
	return t.unit.job.progress.Crashes[t.number].Total > 0
}

// noteReported records that the worker has reported the run as active at clockMS, and whether
// the run has survived. The clock is the worker's: a report may reach a leader that was paused
// long after it was made.
func (e *Engine) noteReported(r *run, clockMS int64) {
	e.markRunning(r.task.unit.job)
	if r.firstSeenClockMS == 0 {
		r.firstSeenClockMS = clockMS
	}
	if r.survived || clockMS-r.firstSeenClockMS < crashWindow.Milliseconds() {
		return
	}
	r.survived = true
	if !r.task.unit.step.Gang || r.task.unit.hasSurvived() {
		r.task.clearSuspicion()
	}
}

// hasSurvivedElsewhere reports whether the task, of which a run has been given up, has been done since or
// has a run that has survived crashWindow.
func (t *task) hasSurvivedElsewhere() bool { return t.done || t.run != nil && t.run.survived }

// clearSuspicion forgets the crashes that the task, or its gang, may have caused, since it
// has run without one.
func (t *task) clearSuspicion() {
	if !t.isSuspected() {
		return
	}
	u := t.unit
	u.suspectSurvived = true
	for _, m := range u.tasks {
		if m == t || u.step.Gang {
			delete(u.job.progress.Crashes, m.number)
		}
	}
	u.job.unsaved = true
	klog.InfoS("dispatch: suspected task cleared", "job", u.job.spec.ID, "task", u.id.String(), "index", t.id.Index)
}

// hasSurvived reports whether the runs of all tasks have survived crashWindow.
func (u *unit) hasSurvived() bool {
	for _, t := range u.tasks {
		if t.run == nil || !t.run.survived {
			return false
		}
	}
	return true
}

// isNew reports whether the run has started and has not survived crashWindow yet.
func (r *run) isNew() bool { return r.phase != runPlanned && !r.survived }

// awaitsSurvival reports whether a listing is due that clears a suspected task.
func (r *run) awaitsSurvival(now time.Duration) bool {
	return !r.survived && now-r.activeAt > crashWindow && r.task.isSuspected()
}

// hasNewRuns reports whether the worker has new or planned runs.
func (w *worker) hasNewRuns() bool {
	for _, r := range w.runs {
		if !r.survived {
			return true
		}
	}
	return false
}

// suspects returns the runs that may be the cause of the worker's crash: the new ones that
// had been ordered when its connections broke, if that is known.
func (w *worker) suspects() []*run {
	var suspects []*run
	for _, r := range w.runs {
		if r.isNew() && (w.brokenAt == 0 || r.orderedAt <= w.brokenAt && w.brokenAt-r.orderedAt < crashWindow) {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// arrival returns what is known of the arrival of the run's start.
func (r *run) arrival() arrival {
	switch {
	case r.firstSeenClockMS != 0:
		return arrivalShown
	case r.stopReason != stopNotCarriedOut && r.orderedAt-r.worker.answeredAt <= recentAnswer:
		return arrivalLikely
	}
	return arrivalUnknown
}

// areOneCause reports whether the runs are one run, or members of one gang.
func areOneCause(runs []*run) bool {
	for _, r := range runs {
		if u := r.task.unit; u != runs[0].task.unit || !u.step.Gang && len(runs) > 1 {
			return false
		}
	}
	return len(runs) > 0
}

// recordCrash handles the end of a worker incarnation in whose place another one has
// appeared. A worker that was draining has left as announced; one that is only silent may
// run on. Neither counts as crashed.
func (e *Engine) recordCrash(w *worker) {
	if w.crashed || w.info.Draining {
		return
	}
	w.crashed = true
	now := e.Now()
	suspects := w.suspects()
	givenUp := e.takeSilenced(w)
	alone, byItself := areOneCause(suspects), e.crashesByItself(w, now)
	metrics.GetOrCreateCounter("shallotpin_worker_crashes_total").Inc()
	klog.InfoS("dispatch: worker crashed", "worker", w.info.ID, "address", w.info.Address, "runs", len(w.runs), "suspects", len(suspects), "suspects_given_up", len(givenUp), "crashes_by_itself", byItself, "silent", now-w.answeredAt)
	if w.fenced {
		c := e.crashes[w.info.Address]
		c.at = now
		if len(suspects)+len(givenUp) == 0 {
			c.withoutSuspectAt = now
		}
		e.crashes[w.info.Address] = c
	}
	for r, evidence := range givenUp {
		if !r.task.hasSurvivedElsewhere() {
			r.crash = evidence
			e.countCrash(r)
		}
	}
	for _, r := range suspects {
		r.crash = &crashEvidence{arrival: r.arrival(), alone: alone, byItself: byItself}
		if r.listed {
			e.countCrash(r)
		}
	}
}

// silencedWorker is a worker whose runs were given up with their leases, since it did not answer. It may
// have crashed, or be out of reach.
type silencedWorker struct {
	worker *worker
	at     time.Duration
	// evidence is what was known of the runs that may have caused its crash, if it has crashed.
	evidence map[*run]*crashEvidence
}

// noteSilenced keeps the suspects of a silent worker whose runs are about to be given up: if another
// incarnation answers later, the crash counts then.
func (e *Engine) noteSilenced(w *worker, now time.Duration) {
	suspects := w.suspects()
	if w.crashed || w.info.Draining || len(suspects) == 0 {
		return
	}
	alone, byItself := areOneCause(suspects), e.crashesByItself(w, now)
	s := silencedWorker{w, now, map[*run]*crashEvidence{}}
	for _, r := range suspects {
		s.evidence[r] = &crashEvidence{arrival: r.arrival(), alone: alone, byItself: byItself}
	}
	e.silenced[w.info.ID] = s
}

// takeSilenced returns what noteSilenced has kept of the worker, and forgets it.
func (e *Engine) takeSilenced(w *worker) map[*run]*crashEvidence {
	s, found := e.silenced[w.info.ID]
	if !found || s.worker != w {
		return nil
	}
	delete(e.silenced, w.info.ID)
	if w.answeredAt > s.at {
		return nil
	}
	return s.evidence
}

// checkSilenced records the crashes of silenced workers in whose place another incarnation, or a worker
// with another ID at the same address, has answered, and forgets those that answer themselves.
func (e *Engine) checkSilenced(now time.Duration) {
	if len(e.silenced) == 0 {
		return
	}
	newest := map[string]int64{}
	for _, w := range e.workers {
		if w.clock.known {
			newest[w.info.Address] = max(newest[w.info.Address], w.startMS())
		}
	}
	for id, s := range e.silenced {
		latest := e.latest[id]
		switch {
		case latest != nil && latest.clock.known && latest.startMS() > s.worker.startMS() || newest[s.worker.info.Address] > s.worker.startMS():
			e.recordCrash(s.worker)
		case now-s.at > crashMemory || s.worker.answeredAt > s.at:
			delete(e.silenced, id)
		}
	}
}

// crashTimes are the times of the last crashes of the workers at one address: of any, and
// of one without a suspect, 0 if there was none.
type crashTimes struct{ at, withoutSuspectAt time.Duration }

// hasCrashed reports whether the worker or an earlier one at its address has crashed lately.
func (e *Engine) hasCrashed(w *worker, now time.Duration) bool {
	c := e.crashes[w.info.Address]
	return c.at != 0 && now-c.at < crashMemory
}

// crashesByItself reports whether the worker, or an earlier one at its address, has crashed
// without a suspect lately.
func (e *Engine) crashesByItself(w *worker, now time.Duration) bool {
	c := e.crashes[w.info.Address]
	return c.withoutSuspectAt != 0 && now-c.withoutSuspectAt < crashMemory
}

// recordReplaced records the crashes of workers at whose addresses the platform lists
// workers that have started later. Nothing else may call an idle worker and notice. One with runs is
// called: as long as it answers, the list is wrong.
func (e *Engine) recordReplaced() {
	now := e.Now()
	newest := map[string]int64{}
	for _, info := range e.view.Workers {
		newest[info.Address] = max(newest[info.Address], info.StartedMS)
	}
	for key, w := range e.workers {
		if !w.crashed && incarnationStartMS(key) < newest[w.info.Address] && (len(w.runs) == 0 || w.isSilentSince(w.answeredAt, now)) {
			e.recordCrash(w)
		}
	}
}

// countCrash counts a crash that the run may have caused, and ends the job as failed after too
// many of one task. A run counts once, though it may be on a further incarnation of its
// worker. A run that may never have begun is not the only possible cause. One that the crashed
// incarnation has not listed may have started on a later one: it is counted once it is known not to
// be there, see removeRun.
func (e *Engine) countCrash(r *run) {
	u, j, evidence := r.task.unit, r.task.unit.job, r.crash
	r.crash = nil
	if evidence == nil || j.progress.Phase.Ended() || r.crashCounted {
		return
	}
	r.crashCounted = true
	if j.progress.Crashes == nil {
		j.progress.Crashes = map[int]ledger.CrashCount{}
	}
	count := evidence.addTo(j.progress.Crashes[r.task.number])
	j.progress.Crashes[r.task.number] = count
	j.unsaved = true
	klog.InfoS("dispatch: task may have crashed its worker", "job", j.spec.ID, "task", u.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", r.worker.info.ID, "begun", evidence.arrival == arrivalShown, "begun_likely", evidence.arrival == arrivalLikely, "alone", evidence.alone, "excused", evidence.byItself, "crashes", count.Total, "crashes_alone", count.Alone, "crashes_likely", count.Likely)
	if isGivenUp(count) {
		e.endJob(j, ledger.Failed, "a task crashed each worker that started it")
	}
}

// onProbation reports whether the worker has just started a suspected task, or is about to.
// Nothing else starts there until the task has survived.
func (w *worker) onProbation() bool {
	for _, r := range w.runs {
		if !r.survived && r.task.isSuspected() {
			return true
		}
	}
	return false
}

// mayStartBeside reports whether a planned run may start beside the new runs on its worker:
// a suspected task starts apart from them, except for members of its own gang.
func (r *run) mayStartBeside() bool {
	for _, other := range r.worker.runs {
		sameGang := other.task.unit == r.task.unit && r.task.unit.step.Gang
		if other != r && !sameGang && other.isNew() && (r.task.isSuspected() || other.task.isSuspected()) {
			return false
		}
	}
	return true
}

// mustAnswerFirst reports whether the run's worker has to answer a request for a listing before the
// start: a start of a suspected task that reaches no worker must not be taken for one under which the
// worker crashed, and one that reaches a later incarnation must not be taken for one on the worker.
func (e *Engine) mustAnswerFirst(r *run, now time.Duration) bool {
	return r.task.isSuspected() || e.isOverdue(r.worker, now)
}

// startOnceAnswered starts planned runs that start as a whole, once the workers that have to answer first
// have done so. It removes them if one of these does not.
func (e *Engine) startOnceAnswered(runs []*run, now time.Duration) {
	ask := map[*worker]bool{}
	for _, r := range runs {
		if e.mustAnswerFirst(r, now) {
			ask[r.worker] = true
		}
	}
	if len(ask) == 0 {
		e.startAll(runs, now)
		return
	}
	for _, r := range runs {
		r.awaitsAnswer = true
	}
	unanswered, silent := len(ask), false
	for w := range ask {
		klog.V(1).InfoS("dispatch: worker asked before a start", "worker", w.info.ID, "listing_age", now-w.listingAt, "record_age", now-w.info.ReceivedAt, "runs", len(runs))
		e.sendListing(w, startTimeout, func(sent time.Duration, err error) {
			now := e.Now()
			if err != nil || now-sent > recentAnswer {
				silent = true
				e.quarantineSilent(w, now)
			}
			if unanswered--; unanswered > 0 {
				return
			}
			if silent {
				e.removePlanned(runs, "a worker did not answer before the start")
			} else {
				e.startAll(runs, now)
			}
		})
	}
}

// startAll starts planned runs that start as a whole, or removes them if one of them may not start.
func (e *Engine) startAll(runs []*run, now time.Duration) {
	for _, r := range runs {
		if !r.isCurrent() || r.phase != runPlanned || !e.canStart(r, now) {
			e.removePlanned(runs, planOutdated)
			return
		}
	}
	for _, r := range runs {
		e.startRun(r, now)
	}
}

func (e *Engine) removePlanned(runs []*run, why string) {
	for _, r := range runs {
		if r.isCurrent() && r.phase == runPlanned {
			e.removeRun(r, why)
		}
	}
}

// splitSuspects selects which of the waiting tasks of a unit to place now: either one
// suspected task, or those that are not suspected. A unit of which no suspected task has
// survived yet has only one of them running at a time, so that a wide job whose tasks all
// crash their workers does not take down many at once. It reports whether the result is
// suspected; a gang is placed as a whole.
func (e *Engine) splitSuspects(u *unit, waiting []int, now time.Duration) ([]int, bool) {
	if len(u.job.progress.Crashes) == 0 {
		return waiting, false
	}
	if u.step.Gang {
		return waiting, u.tasks[0].isSuspected()
	}
	var clear []int
	worst, worstTotal := -1, 0
	for _, i := range waiting {
		total := u.job.progress.Crashes[u.tasks[i].number].Total
		if total == 0 {
			clear = append(clear, i)
		} else if total > worstTotal {
			worst, worstTotal = i, total
		}
	}
	if worst < 0 || len(clear) > 0 && now < u.nextSuspectAt || !u.suspectSurvived && u.hasSuspectStarted() {
		return clear, false
	}
	if !e.explaining {
		u.nextSuspectAt = now + suspectInterval
	}
	return []int{worst}, true
}

// hasSuspectStarted reports whether a suspected task of the unit has a run that has not
// survived yet.
func (u *unit) hasSuspectStarted() bool {
	for _, t := range u.tasks {
		if t.run != nil && !t.run.survived && t.isSuspected() {
			return true
		}
	}
	return false
}

// workersForSuspect returns the keys of the workers on which a suspected unit may start,
// out of allowed, where nil means all: those without new runs, preferably ones that have not
// crashed lately, where a crash tells most, and of these idle ones, where nothing else is
// lost with a crash. If those that have not crashed lately are in use, it does not wait for them.
func (e *Engine) workersForSuspect(u *unit, allowed map[string]bool, now time.Duration) map[string]bool {
	var apart, sound, idle map[string]bool
	soundRoom := false
	for key, w := range e.workers {
		if allowed != nil && !allowed[key] || w.hasNewRuns() || !e.isSchedulable(w, now) || !u.step.Demand().Fits(w.info.Capacity) || u.step.Label != "" && !w.info.HasLabel(u.step.Label) {
			continue
		}
		apart = withKey(apart, key)
		if e.hasCrashed(w, now) {
			continue
		}
		soundRoom = soundRoom || u.hasRoomOn(w)
		sound = withKey(sound, key)
		if len(w.runs) == 0 {
			idle = withKey(idle, key)
		}
	}
	switch {
	case len(idle) > 0 && !u.step.Gang:
		return idle
	case soundRoom && !u.step.Gang:
		return sound
	case len(apart) > 0:
		return apart
	}
	return allowed
}

// hasRoomOn reports whether a further task of the unit may start on the worker beside what is there.
func (u *unit) hasRoomOn(w *worker) bool {
	if !u.step.Demand().Fits(w.info.Capacity.Sub(w.used)) {
		return false
	}
	limit, count := u.step.MaxPerWorker, 0
	for _, t := range u.tasks {
		if t.run != nil && t.run.worker == w {
			count++
		}
	}
	return limit == 0 || count < limit
}

// addCrashedWorkers returns keys with those of the workers that have crashed lately. Gangs
// use these last: whole racks may have none that has not crashed.
func (e *Engine) addCrashedWorkers(keys map[string]bool, now time.Duration) map[string]bool {
	for key, w := range e.workers {
		if e.hasCrashed(w, now) {
			keys = withKey(keys, key)
		}
	}
	return keys
}

func withKey(keys map[string]bool, key string) map[string]bool {
	if keys == nil {
		keys = map[string]bool{}
	}
	keys[key] = true
	return keys
}
