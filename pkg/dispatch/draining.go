package dispatch

import (
	"time"
)

// drainMargin is how much earlier than announced a draining worker may be gone: the age
// of its announcement.
const drainMargin = 400 * time.Millisecond

// evacuateDraining stops runs that a draining worker will not stay long enough to
// finish, so that they restart elsewhere at once and not only when the worker's leases
// have ended. It matters for workers that are withdrawn at short notice.
func (e *Engine) evacuateDraining(w *worker, now time.Duration) {
	if !w.info.Draining || w.info.Remaining == 0 {
		return
	}
	untilGone := w.info.ReceivedAt + w.info.Remaining - drainMargin - now
	for _, r := range w.runs {
		u := r.task.unit
		if r.phase != runActive || u.step.LongRunning || u.aborting || r.task.done || !e.outlastsWorker(r, untilGone, now) {
			continue
		}
		e.stopRun(r, stopDraining)
		if u.step.Gang {
			e.abortGang(u, stopGangDraining)
		}
	}
}

// outlastsWorker reports whether a run, or another member of its gang, is likely to run
// for longer than its worker stays and has to be stopped now. Tasks that save their
// progress run on until just the time for a stop is left.
func (e *Engine) outlastsWorker(r *run, untilGone, now time.Duration) bool {
	u := r.task.unit
	if e.Settings.Features.Stops {
		return e.mustLeave(r, untilGone, now)
	}
	if u.step.SavesProgress && untilGone > e.Settings.MaxStopTime {
		return false
	}
	if !u.step.Gang {
		return e.expectedRemaining(r, now) > untilGone
	}
	for _, t := range u.tasks {
		if t.run != nil && e.expectedRemaining(t.run, now) > untilGone {
			return true
		}
	}
	return false
}

// expectedRemaining estimates the remaining time of a run: by its progress rate, or by
// the usual run time of its queue's tasks while too little progress was seen.
func (e *Engine) expectedRemaining(r *run, now time.Duration) time.Duration {
	if left := r.remaining(now); left != unknownTime {
		return left
	}
	return e.runTimeThere(r) * time.Duration(100-r.percent) / 100
}
