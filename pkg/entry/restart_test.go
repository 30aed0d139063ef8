package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// awaitWorkerRecords waits until just after the workers have published their records.
func (s *site) awaitWorkerRecords() {
	time.Sleep(workerRecordInterval - time.Duration(time.Now().UnixNano())%workerRecordInterval + time.Millisecond)
}

// restart restarts workers at once, which the platform's list does not show before their next
// records, and makes them lose answers for a second.
func (s *site) restart(workers []*simsite.Worker, losesStartReplies, losesListings bool) {
	for _, w := range workers {
		w.Restart()
	}
	lose := func(starts, listings bool) {
		s.fleet.Update(func() {
			for _, w := range workers {
				w.LosesStartReplies, w.LosesListings = starts, listings
			}
		})
	}
	lose(losesStartReplies, losesListings)
	time.AfterFunc(time.Second, func() { lose(false, false) })
}

// awaitRun waits until a worker runs a job's first task, and returns it.
func (s *site) awaitRun(job string) *simsite.Worker {
	s.t.Helper()
	var found *simsite.Worker
	for range 100 {
		s.fleet.Update(func() {
			for _, w := range s.workers {
				if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}}) {
					found = w
				}
			}
		})
		if found != nil {
			return found
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("job %s does not run", job)
	return nil
}

// A worker restarts, and carries out a start that was meant for its earlier incarnation. Whatever
// answer is lost then, and whenever the leader changes, the task must run once at a time and not
// again after its end was acknowledged.
func TestStartOnALaterIncarnation(t *testing.T) {
	const noChange = -1
	for _, work := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second} {
		for _, lost := range []string{"no answer", "starts", "listings"} {
			for _, change := range []time.Duration{noChange, 0, 20 * time.Millisecond, 200 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				for _, restartsAgain := range []bool{false, true} {
					name := fmt.Sprintf("%s, lost %s, leader changes after %s, restarts again %v", work, lost, change, restartsAgain)
					t.Run(name, func(t *testing.T) {
						runSite(t, 3, 3, func(s *site) {
							step := workload.Step{Count: 3, Need: task(8), EstimateMS: 600}
							earlier := s.submit(normalQueue, uniform(step.Need, 600*time.Millisecond, 0), step)
							s.awaitPhase(earlier, ledger.Completed, 5*time.Second)
							s.awaitWorkerRecords()
							// The one worker that does not restart is soon free.
							step.Count = 1
							other := s.submit(normalQueue, uniform(step.Need, 100*time.Millisecond, 0), step)
							free := s.awaitRun(other)
							restarted := slices.DeleteFunc(slices.Clone(s.workers), func(w *simsite.Worker) bool { return w == free })
							s.restart(restarted, lost == "starts", lost == "listings")
							job := s.submit(normalQueue, uniform(step.Need, work, 0), step)
							s.awaitRun(job)
							time.Sleep(max(0, change))
							if change != noChange {
								s.killLeader()
							}
							if restartsAgain {
								time.Sleep(100 * time.Millisecond)
								s.restart(restarted, lost == "starts", lost == "listings")
							}
							s.awaitPhase(job, ledger.Completed, 30*time.Second)
						})
					})
				}
			}
		}
	}
}
