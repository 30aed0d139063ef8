package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// While a worker is out of reach, more tasks end there than one listing holds. None of them may
// be started again, whether the listing is full to the last row or followed by many more, more
// tasks end meanwhile, or the leader changes. runSite checks that nothing starts once it is done.
func TestTasksWhoseEndsFillListingsRunOnce(t *testing.T) {
	for name, c := range map[string]struct {
		tasks   int
		spread  time.Duration
		newLead bool
	}{
		"one full listing":    {tasks: 4},
		"several":             {tasks: 9},
		"many":                {tasks: 240},
		"more while reading":  {tasks: 240, spread: 4 * time.Second},
		"read by new leaders": {tasks: 240, newLead: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 4, 1, func(s *site) {
				need := workload.Resources{MilliCores: 200, MemoryMB: 500}
				s.fleet.Update(func() { s.fleet.EndsPerListing = 4 })
				behaviour := func(index int) simsite.Behaviour {
					return simsite.Behaviour{Resources: need, Work: 3*time.Second + c.spread*time.Duration(index)/time.Duration(c.tasks)}
				}
				job := s.submit(normalQueue, behaviour, workload.Step{Count: c.tasks, Need: need, EstimateMS: 3000})
				time.Sleep(2 * time.Second)
				s.fleet.Update(func() { s.workers[0].CutOff = true })
				time.Sleep(3500 * time.Millisecond)
				if c.newLead {
					s.killLeader()
				}
				s.fleet.Update(func() { s.workers[0].CutOff = false })
				if c.newLead {
					time.Sleep(2 * time.Second)
					s.killLeader()
				}
				s.awaitPhase(job, ledger.Completed, 20*time.Second)
				if got := s.fleet.Starts(); got != c.tasks {
					t.Errorf("%d starts of %d tasks", got, c.tasks)
				}
			})
		})
	}
}
