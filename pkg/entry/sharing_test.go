package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// latencyTarget is the objective of the latency-sensitive tasks, in milliseconds.
const latencyTarget = 100

// latencySensitive returns the behaviour of latency-sensitive tasks whose latency in
// milliseconds is base plus perFill for each percent at which best-effort tasks run on
// the same worker.
func latencySensitive(base, perFill float64) func(int) simsite.Behaviour {
	return func(int) simsite.Behaviour {
		return simsite.Behaviour{Resources: task(1), LongRunning: true, Latency: func(fills int) float64 { return base + perFill*float64(fills) }}
	}
}

// bestEffort returns the behaviour of best-effort tasks.
func bestEffort(work time.Duration) func(int) simsite.Behaviour {
	need := task(1)
	need.MilliCores = 0
	return func(int) simsite.Behaviour { return simsite.Behaviour{Resources: need, Work: work, BestEffort: true} }
}

var latencySensitiveStep = workload.Step{Count: 2, Need: task(1), LongRunning: true, LatencyTargetMS: latencyTarget, MaxUnavailable: 1, MaxPerWorker: 1}

// Best-effort tasks raise the latency of latency-sensitive tasks on the same workers above
// its objective. They must be throttled within the 4 s that the platform tolerates, and must
// still complete unless the objective is violated even at a few percent of their speed.
func TestBestEffortTasksAreThrottledForLatencySensitiveOnes(t *testing.T) {
	const maxViolation = 4 * time.Second
	for name, c := range map[string]struct {
		perFill float64
		work    time.Duration
		// completes means that the best-effort job must complete.
		completes bool
	}{
		"harmless":   {0, 2 * time.Second, true},
		"disturbing": {0.4, 2 * time.Second, true},
		"harmful":    {10, 6 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 2, func(s *site) {
				s.submit(normalQueue, latencySensitive(40, c.perFill), latencySensitiveStep)
				time.Sleep(time.Second)
				job := s.submit(bulkQueue, bestEffort(c.work), workload.Step{Count: 6, Need: task(1), BestEffort: true, EstimateMS: 2000})
				var violation, worst time.Duration
				for range 400 {
					time.Sleep(50 * time.Millisecond)
					violation += 50 * time.Millisecond
					if max(s.workers[0].WorstLatency(), s.workers[1].WorstLatency()) <= latencyTarget {
						violation = 0
					}
					worst = max(worst, violation)
				}
				if worst >= maxViolation {
					t.Errorf("latency over the objective for %s, want less than %s", worst, maxViolation)
				}
				if phase := s.phase(job); (phase == ledger.Completed) != c.completes {
					t.Errorf("the best-effort job is %s; want it completed: %v", phase, c.completes)
				}
			})
		})
	}
}

// Best-effort tasks must start on workers that run no latency-sensitive tasks while such
// workers have free capacity.
func TestBestEffortTasksStartApartFromLatencySensitiveOnes(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		s.submit(normalQueue, latencySensitive(40, 10), latencySensitiveStep)
		time.Sleep(time.Second)
		job := s.submit(bulkQueue, bestEffort(2*time.Second), workload.Step{Count: 8, Need: task(1), BestEffort: true, EstimateMS: 2000})
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, w := range s.workers {
				if tail := w.WorstLatency(); tail > latencyTarget {
					s.t.Fatalf("latency %v ms on %s is over the objective of %d ms", tail, w.Info.ID, latencyTarget)
				}
			}
		}
		s.awaitPhase(job, ledger.Completed, 3*time.Second)
	})
}

// A new leader does not know how far its predecessor throttled a task. It must send the
// throttle percent again, or the task stays throttled without a reason.
func TestThrottlingIsUpdatedAfterLeaderChange(t *testing.T) {
	runSite(t, 3, 2, func(s *site) {
		latencySensitiveJob := s.submit(normalQueue, latencySensitive(40, 10), latencySensitiveStep)
		time.Sleep(time.Second)
		job := s.submit(bulkQueue, bestEffort(2*time.Second), workload.Step{Count: 2, Need: task(1), BestEffort: true, EstimateMS: 2000})
		time.Sleep(3 * time.Second)
		s.killLeader()
		if _, err := s.leader().Intake.Cancel(s.ctx, latencySensitiveJob, ""); err != nil {
			s.t.Fatal(err)
		}
		s.awaitPhase(job, ledger.Completed, 10*time.Second)
	})
}

// A long-running task must start within seconds although all workers are fully used, and
// start again within seconds of a crash of its worker.
func TestLongRunningTasksGetCapacity(t *testing.T) {
	const maxStart = 6 * time.Second
	runSite(t, 3, 4, func(s *site) {
		s.submit(normalQueue, uniform(task(8), time.Minute, 0), workload.Step{Count: 12, Need: task(8), EstimateMS: 60000})
		time.Sleep(time.Second)
		job := s.submit(bulkQueue, latencySensitive(40, 0), latencySensitiveStep)
		s.awaitPhase(job, ledger.Running, maxStart)
		workerOfTask := func() *simsite.Worker {
			var found *simsite.Worker
			s.fleet.Update(func() {
				for _, w := range s.workers {
					if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}}) {
						found = w
					}
				}
			})
			return found
		}
		time.Sleep(time.Second)
		w := workerOfTask()
		if w == nil {
			s.t.Fatal("no worker runs the long-running task")
		}
		w.Restart()
		for waited := time.Duration(0); ; waited += 100 * time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			if workerOfTask() != nil {
				return
			}
			if waited > maxStart {
				s.t.Fatalf("the task does not run %s after its worker crashed", waited)
			}
		}
	})
}
