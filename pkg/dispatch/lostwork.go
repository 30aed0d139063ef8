package dispatch

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// stopReason is why the engine stops a run.
type stopReason struct {
	// cause is the label of the metrics of lost work, text the reason in logs.
	cause, text string
}

var (
	stopPreempted      = stopReason{"preempted", "preempted for another job"}
	stopJobEnded       = stopReason{"job-ended", "the job ended"}
	stopTaskDone       = stopReason{"task-done", "an earlier run has completed the task"}
	stopDraining       = stopReason{"draining", "its worker is draining"}
	stopGangDraining   = stopReason{"draining", "gang: the worker of a member is draining"}
	stopStalled        = stopReason{"stalled", "no progress"}
	stopGangStalled    = stopReason{"stalled", "gang: a member makes no progress"}
	stopGangRemainder  = stopReason{"gang-remainder", "gang: only part of the gang has ended"}
	stopGangIncomplete = stopReason{"gang-incomplete", "gang: not all members run"}
	stopUnconfirmed    = stopReason{"start-unconfirmed", "the start was not confirmed"}
	stopNotCarriedOut  = stopReason{"start-unconfirmed", "the start was not carried out"}
)

// workerLostPrefix begins the reason for which runs of a worker that is given up end.
const workerLostPrefix = "worker lost: "

// endCause returns the label of the metrics of lost work for a run that ends for the given
// reason, or "" if nothing is lost.
func (r *run) endCause(why string) string {
	switch {
	case why == string(backend.OutcomeDone), r.phase == runPlanned, r.task.done:
		return ""
	case r.phase == runStopping:
		return r.stopReason.cause
	case why == string(backend.OutcomeFailed):
		return "failed"
	case why == string(backend.OutcomeGangBroken):
		return "gang-broken"
	case why == string(backend.OutcomeLeaseExpired):
		return "lease-expired"
	case strings.HasPrefix(why, workerLostPrefix):
		return "worker-lost"
	default:
		return "other"
	}
}

// recordLostWork counts the work that is lost with a run that ends for the given reason,
// and returns it with its cause, in core-seconds.
func (e *Engine) recordLostWork(r *run, why string, now time.Duration) (cause string, lost float64) {
	if cause = r.endCause(why); cause == "" {
		return "", 0
	}
	lost = e.lostWork(r, now)
	metrics.GetOrCreateCounter(`shallotpin_runs_lost_total{cause="` + cause + `"}`).Inc()
	metrics.GetOrCreateFloatCounter(`shallotpin_lost_work_core_seconds_total{cause="` + cause + `"}`).Add(lost)
	return cause, lost
}
