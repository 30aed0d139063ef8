package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// crashWindow is how long a run must have been active before a crash of its worker is not
// put down to it: a task that crashes workers does so soon after its start.
const crashWindow = 2 * time.Second

// noteSurvival records that the worker has reported the run as active at clockMS on its own
// clock: a report may reach a leader that was paused long after it was made.
func (r *run) noteSurvival(clockMS int64) {
	if r.firstSeenClockMS == 0 {
		r.firstSeenClockMS = clockMS
	}
	r.survived = r.survived || clockMS-r.firstSeenClockMS >= crashWindow.Milliseconds()
}

// isSuspect reports whether the run may be the cause of a crash of its worker.
func (r *run) isSuspect() bool { return r.phase != runPlanned && !r.survived }

// recordCrash handles the end of a worker incarnation in whose place another one has
// appeared. A worker that was draining has left as announced; one that is only silent may
// run on. Neither counts as crashed.
func (e *Engine) recordCrash(w *worker) {
	if w.crashed || w.info.Draining {
		return
	}
	w.crashed = true
	var suspects []string
	for _, r := range w.runs {
		if r.isSuspect() {
			suspects = append(suspects, r.task.id.String())
		}
	}
	metrics.GetOrCreateCounter("shallotpin_worker_crashes_total").Inc()
	klog.InfoS("dispatch: worker crashed", "worker", w.info.ID, "address", w.info.Address, "runs", len(w.runs), "suspects", suspects, "silent", e.Now()-w.answeredAt)
}
