package dispatch

import (
	"fmt"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Guards against units that are never searched for a preemption, since as many before them as a
// plan has searches for fit nowhere.
func TestUnitsBehindHopelessOnesPreempt(t *testing.T) {
	const hopeless, hopeful = 20, 3
	s := newManualSite(t, 4)
	s.Orders = unansweredStarts{s.orders}
	s.settled = true
	filler := s.job("filler", workload.Step{Count: 32})
	for i := range filler.tasks {
		s.start(filler, i, fmt.Sprintf("w%d", i/8))
	}
	filler.job.policy.Priority = 2
	for i := range hopeless {
		u := s.job(fmt.Sprintf("a%02d", i), workload.Step{Count: 1, LongRunning: true})
		u.step.Need.Accelerators = 9
	}
	var units []*unit
	for i := range hopeful {
		units = append(units, s.job(fmt.Sprintf("b%02d", i), workload.Step{Count: 1, LongRunning: true}))
		units[i].job.spec.SubmittedMS = s.UnixMS() - 10_000
	}
	for range (hopeless+hopeful)/4 + 1 {
		s.now += minPlanInterval
		s.plan()
	}
	for _, u := range units {
		if u.reserved == nil {
			t.Errorf("nothing is stopped for unit %s", u.id)
		}
	}
}
