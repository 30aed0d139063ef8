package dispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

const (
	// fullSpeedPercent is the throttle percent of a task that is not throttled.
	fullSpeedPercent = 100
	// minThrottlePercent is the least throttle percent above 0. A task that would get
	// less is suspended, since its work would not be worth the interference.
	minThrottlePercent = 5
	// throttleStep is added to the throttle percent of a task per listing under low load:
	// a suspended task is back at full speed after ten listings, 3 s.
	throttleStep = 10
	// highLoad and lowLoad are fractions of a latency objective. Above highLoad,
	// best-effort tasks beside the latency-sensitive one are slowed down; below lowLoad,
	// sped up. The latency figures are rough, so some distance to the objective is kept.
	highLoad = 0.85
	lowLoad  = 0.65
	// mixedRenewalWait replaces renewalWait for workers that run both latency-sensitive and
	// best-effort tasks: it is shorter than the half second that a load figure covers.
	mixedRenewalWait = 300 * time.Millisecond
)

// nextThrottlePercent returns the next throttle percent of a best-effort task, from its
// present one and the worst load of the latency-sensitive tasks on the worker, as a
// fraction of their objective. The interference changes within seconds, so a missed
// objective suspends the task at once.
func nextThrottlePercent(percent int, load float64) int {
	switch {
	case load > 1:
		return 0
	case load > highLoad:
		if percent /= 2; percent < minThrottlePercent {
			return 0
		}
		return percent
	case load < lowLoad:
		return min(fullSpeedPercent, percent+throttleStep)
	default:
		return percent
	}
}

// isLatencySensitive reports whether the run's task has a latency objective.
func (r *run) isLatencySensitive() bool { return r.task.unit.step.LatencyTargetMS > 0 }

// isBestEffort reports whether the run's task uses leftover capacity.
func (r *run) isBestEffort() bool { return r.task.unit.step.BestEffort }

// isMixed reports whether the worker runs both latency-sensitive and best-effort tasks.
func (w *worker) isMixed() bool {
	latencySensitive, bestEffort := false, false
	for _, r := range w.runs {
		latencySensitive, bestEffort = latencySensitive || r.isLatencySensitive(), bestEffort || r.isBestEffort()
	}
	return latencySensitive && bestEffort
}

// throttleBestEffort adjusts the throttle percent of a worker's best-effort tasks to the
// load in its newest listing.
func (e *Engine) throttleBestEffort(w *worker) {
	load := 0.0
	for _, r := range w.runs {
		if r.isLatencySensitive() && r.phase == runActive {
			load = max(load, r.load/float64(r.task.unit.step.LatencyTargetMS))
		}
	}
	load = e.expectedLoad(w, load, e.Now())
	for _, r := range w.runs {
		if !r.isBestEffort() || r.phase != runActive || r.throttleInFlight {
			continue
		}
		if percent := nextThrottlePercent(r.throttlePercent, load); percent != r.throttlePercent || !r.throttleConfirmed {
			e.throttleRun(r, percent, load)
		}
	}
}

// throttleRun asks a worker to run a task at a percentage of its full speed.
func (e *Engine) throttleRun(r *run, percent int, load float64) {
	r.throttleInFlight = true
	w, ref := r.worker, r.worker.ref()
	klog.InfoS("dispatch: pace", "job", r.task.id.Job, "task", r.task.unit.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", r.worker.info.ID, "from", r.throttlePercent, "to", percent, "load", load)
	metrics.GetOrCreateCounter("shallotpin_pace_orders_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, startTimeout)
		defer cancel()
		_, err := e.Orders.Throttle(ctx, ref, r.id, percent, e.Term.Number)
		e.post(func() {
			r.throttleInFlight = false
			if err != nil {
				// The present throttle percent is unknown; the next listing sets it again.
				klog.InfoS("dispatch: throttle not confirmed", "job", r.task.id.Job, "run", r.id.Number, "worker", w.info.ID, "err", err)
				r.throttleConfirmed = false
				e.onOrderError(w, err)
				return
			}
			if r.worker != w {
				return
			}
			r.throttlePercent, r.throttleConfirmed = percent, true
			r.wasThrottled = r.wasThrottled || percent < fullSpeedPercent
			// The progress rate is measured anew under the new throttle.
			now := e.Now()
			r.basePercent, r.baseAt, r.percentAt, r.bestRate, r.slow = r.percent, now, now, 0, false
		})
	}()
}
