package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// watchLimit fails the test when more tasks run, as the workers see it, than max returns.
func (s *site) watchLimit(max func() int) {
	go func() {
		for s.ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			running := 0
			for _, w := range s.workers {
				running += w.Running()
			}
			if limit := max(); running > limit {
				s.t.Errorf("%d tasks run, the account's limit allows %d", running, limit)
				return
			}
		}
	}()
}

// An account must not have more running than its limit, as the workers see it: while the
// leader changes, while a worker is silent and may run its tasks on, and after the limit has
// fallen below what runs.
func TestAccountLimitIsKeptAcrossLeaders(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		s.limit = workload.Resources{Accelerators: 20}
		s.publishConfig()
		time.Sleep(500 * time.Millisecond)
		allowed := 10
		s.watchLimit(func() int { return allowed })
		job := s.submit(bulkQueue, uniform(task(2), 2*time.Second, 0), workload.Step{Count: 80, Need: task(2), EstimateMS: 2000})
		time.Sleep(time.Second)
		if len(s.silence(job, 0)) != 1 {
			t.Fatal("task 0 does not run")
		}
		s.killLeader()
		time.Sleep(4 * time.Second)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = false
			}
		})
		s.limit = workload.Resources{Accelerators: 8}
		s.publishConfig()
		// What runs already may end by itself.
		time.Sleep(3 * time.Second)
		allowed = 4
		s.killLeader()
		s.awaitPhase(job, ledger.Completed, 60*time.Second)
	})
}

// A gang that the limit allows starts whole, and an urgent job of an account at its limit
// does not wait for the account's bulk work.
func TestUrgentJobOfAnAccountAtItsLimit(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		s.limit = workload.Resources{Accelerators: 16}
		s.publishConfig()
		time.Sleep(500 * time.Millisecond)
		s.submit(bulkQueue, uniform(task(1), 60*time.Second, 0), workload.Step{Count: 32, Need: task(1), EstimateMS: 60000})
		time.Sleep(2 * time.Second)
		urgent := s.submit(urgentQueue, uniform(task(2), time.Second, 4), workload.Step{Count: 4, Need: task(2), Gang: true, EstimateMS: 1000})
		s.awaitPhase(urgent, ledger.Completed, 4*time.Second)
	})
}
