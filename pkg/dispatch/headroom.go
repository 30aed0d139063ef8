package dispatch

import (
	"math"
	"time"

	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// recordUrgentDemand adds the accelerators that an urgent job needs to the demand,
// discounted by the job's age.
func (e *Engine) recordUrgentDemand(spec *workload.Job, now time.Duration) {
	if e.view.Config == nil {
		return
	}
	if q := e.view.Config.Queue(spec.Queue); q == nil || q.Priority != 0 {
		return
	}
	need := 0
	for i := range spec.Steps {
		need += spec.Steps[i].Count * spec.Steps[i].Need.Accelerators
	}
	age := time.Duration(max(0, e.UnixMS()-spec.SubmittedMS)) * time.Millisecond
	e.urgentDemand = e.decayedUrgentDemand(now) + float64(need)*math.Exp(-age.Seconds()/urgentTimeConstant.Seconds())
	e.urgentDemandAt = now
}

// decayedUrgentDemand returns the sum of the accelerators that urgent jobs asked
// for, decayed exponentially: demand urgentTimeConstant ago counts about a third.
func (e *Engine) decayedUrgentDemand(now time.Duration) float64 {
	return e.urgentDemand * math.Exp(-(now-e.urgentDemandAt).Seconds()/urgentTimeConstant.Seconds())
}

// headroom returns how many accelerators of each rack to keep free: headroomFactor
// times the expected demand of urgent jobs in the time that a stop takes.
func (e *Engine) headroom(pool []*placement.Worker, now time.Duration) int {
	racks := map[string]bool{}
	total := 0
	for _, w := range pool {
		if !w.Schedulable {
			continue
		}
		racks[w.Rack] = true
		total += w.Capacity.Accelerators
	}
	if len(racks) == 0 {
		return 0
	}
	rate := e.decayedUrgentDemand(now) / urgentTimeConstant.Seconds()
	headroom := int(min(rate*e.Settings.MaxStopTime.Seconds()*headroomFactor, maxHeadroomShare*float64(total)) / float64(len(racks)))
	e.rackBeyondHeadroom = total/len(racks) - headroom
	return headroom
}

// blockedByHeadroom reports whether a gang needs more of one rack than the headroom of
// the last plan leaves, so that it would never start.
func (e *Engine) blockedByHeadroom(u *unit) bool {
	return u.step.Gang && u.step.SameRack && u.step.Count*u.step.Need.Accelerators > e.rackBeyondHeadroom
}
