package dispatch

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// quarantine keeps new tasks off a worker for a while after a failure there, longer
// after each failure until a task completes there. A worker that fails everything it
// starts would otherwise take the next task at once and use up its attempts.
func (e *Engine) quarantine(w *worker, now time.Duration) {
	w.failures = min(w.failures+1, maxQuarantineFactor)
	w.quarantinedUntil = max(w.quarantinedUntil, now+quarantineTime*time.Duration(w.failures))
	klog.InfoS("dispatch: worker closed after trouble", "worker", w.info.ID, "strikes", w.failures, "for", w.quarantinedUntil-now)
}

// quarantineSilent quarantines a worker that has left a start unanswered, once in each silence.
func (e *Engine) quarantineSilent(w *worker, now time.Duration) {
	if w.unansweredSince != 0 && w.silence.since == w.unansweredSince {
		return
	}
	w.silence = silence{since: w.unansweredSince, quarantinedBefore: w.quarantinedUntil, failuresBefore: w.failures}
	e.quarantine(w, now)
}

// endSilence ends the quarantine of a worker that did not answer at all, and answers again:
// nothing is known to be wrong with it.
func (w *worker) endSilence() {
	if w.silence.since == w.unansweredSince {
		w.quarantinedUntil, w.failures = w.silence.quarantinedBefore, w.silence.failuresBefore
	}
}

// failedElsewhere reports whether the unit has failed on a worker other than w.
func (u *unit) failedElsewhere(w *worker) bool {
	for id := range u.avoid {
		if id != w.info.ID {
			return true
		}
	}
	return false
}

// isStalled reports whether a run has shown no progress for too long.
func (e *Engine) isStalled(r *run, now time.Duration) bool {
	// At 100 percent, a gang's member may be waiting for the others.
	if r.percent >= 100 || r.task.unit.step.LongRunning || r.throttlePercent < fullSpeedPercent || r.worker.isUnresponsive(now) {
		return false
	}
	limit := max(stallTimeout, stallPercent*max(e.expectedRunTime(r.task.unit), r.task.unit.step.Estimate())/100) << min(r.stalledTask().stalls, maxStallDoublings)
	if r.resumed || r.percent == 0 && !r.gangWorks() {
		// The task may still read its checkpoint, or wait for its gang.
		limit += startupAllowance
	}
	// The newest listing must be recent enough to show the lack of progress.
	return now-r.percentAt > limit && r.worker.listingAt-r.percentAt > limit*3/4
}

// stalledTask returns the task that counts the stalled runs: the run's, or the first one of its gang.
func (r *run) stalledTask() *task {
	if r.task.unit.step.Gang {
		return r.task.unit.tasks[0]
	}
	return r.task
}

// stopStalledRun stops a run without progress. The worker is quarantined only if the task has not
// stalled elsewhere: otherwise the task, or the limit for it, is the likely cause, and each further
// run has twice the time.
func (e *Engine) stopStalledRun(r *run, now time.Duration) {
	t := r.stalledTask()
	if t.stalls == 0 {
		e.quarantine(r.worker, now)
	}
	t.stalls++
	e.stopSlowRun(r)
}

// stopSlowRun stops a run, and its gang, so that it starts on another worker.
func (e *Engine) stopSlowRun(r *run) {
	u := r.task.unit
	u.avoid[r.worker.info.ID] = true
	e.stopRun(r, stopStalled)
	if u.step.Gang && !u.aborting {
		e.abortGang(u, stopGangStalled)
	}
}

// gangWorks reports whether another member of the run's gang has made progress, so that the
// gang is complete and no member waits for others.
func (r *run) gangWorks() bool {
	if !r.task.unit.step.Gang {
		return false
	}
	return slices.ContainsFunc(r.task.unit.tasks, func(t *task) bool {
		return t.run != nil && t.run.id.Number == r.id.Number && t.run.percent > 0 && !t.run.resumed && !t.run.inherited
	})
}

// recordProgress updates a run's progress and progress rate from a listing.
func (e *Engine) recordProgress(r *run, percent int, now time.Duration) {
	if percent == r.percent {
		return
	}
	if r.resumed && r.percent == 0 {
		r.basePercent, r.baseAt = percent, now
	}
	if span := now - r.percentAt; r.percent > 0 && span >= minRateSpan {
		rate := float64(percent-r.percent) / span.Seconds()
		switch {
		case r.bestRate > 0 && rate < slowRateFactor*r.bestRate:
			r.slow = true
		case rate > r.bestRate:
			r.bestRate, r.slow = rate, false
		}
		r.lastRate = rate
	}
	r.percent, r.percentAt = percent, now
	e.observeProgress(r, now)
	if percent >= speedSamplePercent && !r.speedSampled && !r.slow {
		r.speedSampled = true
		e.sampleWorkerSpeed(r)
	}
}

// sampleWorkerSpeed updates a worker's speed by comparing the progress rate of a run
// with the mean of its unit's tasks, which are alike.
func (e *Engine) sampleWorkerSpeed(r *run) {
	worked := r.percentAt - r.activeAt
	if worked <= 0 || !r.isRepresentative() {
		return
	}
	u, w := r.task.unit, r.worker
	rate := float64(r.percent) / worked.Seconds()
	if u.rateCount >= minRateSamples {
		ratio := rate / (u.rateSum / float64(u.rateCount))
		w.speedSamples++
		w.speed += max(minSpeedWeight, 1/float64(w.speedSamples+1)) * (ratio - w.speed)
	}
	u.rateSum += rate
	u.rateCount++
}

// restartIsFaster reports whether a run has become so slow that a new run elsewhere
// would complete sooner. It handles workers that turn slow while they run tasks.
func (e *Engine) restartIsFaster(r *run) bool {
	if !r.slow || r.lastRate <= 0 || r.bestRate <= 0 || r.task.unit.step.LongRunning {
		return false
	}
	left := float64(100-r.percent) / r.lastRate
	restarted := 100/r.bestRate + e.Settings.MaxStopTime.Seconds()
	return left > restartGain*restarted
}
