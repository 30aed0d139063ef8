package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// resize sets the capacity of workers to a number of eighths of the whole.
func (s *site) resize(eighths int, workers ...int) {
	s.fleet.Update(func() {
		for _, i := range workers {
			s.workers[i].SetCapacity(workload.Resources{MilliCores: wholeWorker.MilliCores * eighths / 8, MemoryMB: wholeWorker.MemoryMB * eighths / 8, Accelerators: wholeWorker.Accelerators * eighths / 8})
		}
	})
}

// A worker that shrinks while it runs tasks must not be filled up to its former capacity, and
// one that grows must be used. runSite checks each start.
func TestStartsFollowTheCapacityOfWorkers(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		s.leader()
		step := workload.Step{Count: 64, Need: task(1), EstimateMS: 2000}
		job := s.submit(normalQueue, uniform(task(1), 2*time.Second, 0), step)
		time.Sleep(3 * time.Second)
		s.resize(2, 0, 1, 2, 3)
		time.Sleep(12 * time.Second)
		running := func() (n int) {
			for _, w := range s.workers {
				n += w.Running()
			}
			return n
		}
		second := s.submit(normalQueue, uniform(task(1), 20*time.Second, 0), workload.Step{Count: 32, Need: task(1), EstimateMS: 20000})
		time.Sleep(8 * time.Second)
		if got := running(); got != 8 {
			t.Errorf("%d tasks run on 4 workers that have shrunk to 2 accelerators each, want 8", got)
		}
		s.resize(8, 0, 1, 2, 3)
		time.Sleep(4 * time.Second)
		if got := running(); got != 32 {
			t.Errorf("%d tasks run on 4 workers that have grown to 8 accelerators each, want 32", got)
		}
		s.awaitPhase(job, ledger.Completed, time.Minute)
		s.awaitPhase(second, ledger.Completed, time.Minute)
	})
}

// Workers shrink and grow at random under tasks, gangs and urgent work, while leaders are
// killed and replies to starts are lost.
func TestCapacityChangesOverRandomSites(t *testing.T) {
	for seed := range uint64(8) {
		runSite(t, 4, 12, func(s *site) {
			random := rand.New(rand.NewPCG(seed, 0))
			var jobs []string
			for i := range 60 {
				count, need, work := 1+random.IntN(8), 1+random.IntN(4), time.Duration(300+random.IntN(4000))*time.Millisecond
				step := workload.Step{Count: count, Need: task(need), EstimateMS: int(work.Milliseconds()), Gang: random.IntN(3) == 0}
				gang := 0
				if step.Gang {
					gang = count
				}
				queue := []string{urgentQueue, normalQueue, bulkQueue}[random.IntN(3)]
				jobs = append(jobs, s.submit(queue, uniform(step.Need, work, gang), step))
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				s.resize(1+random.IntN(8), random.IntN(12), random.IntN(12))
				s.fleet.Update(func() { s.workers[random.IntN(12)].LosesStartReplies = random.IntN(3) == 0 })
				if i%25 == 24 {
					s.killLeader()
				}
			}
			s.fleet.Update(func() {
				for _, w := range s.workers {
					w.LosesStartReplies = false
				}
			})
			for i := range 12 {
				s.resize(8, i)
			}
			for _, job := range jobs {
				s.awaitPhase(job, ledger.Completed, 3*time.Minute)
			}
		})
	}
}
