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

// answers is what happens to the answers of workers for answersAffected after a restart: until after
// the platform lists the later incarnations.
type answers struct {
	losesStarts, losesListings bool
	// lateBy delays listings.
	lateBy time.Duration
}

const answersAffected = workerRecordInterval + 500*time.Millisecond

// restart restarts workers at once, which the platform's list does not show before their next
// records.
func (s *site) restart(workers []*simsite.Worker, a answers) {
	for _, w := range workers {
		w.Restart()
	}
	apply := func(a answers) {
		s.fleet.Update(func() {
			for _, w := range workers {
				w.LosesStartReplies, w.LosesListings, w.ListingDelay = a.losesStarts, a.losesListings, a.lateBy
			}
		})
	}
	apply(a)
	time.AfterFunc(answersAffected, func() { apply(answers{}) })
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
// answer is lost or late then, whenever the leader changes, and at whichever step between the start
// and the recorded end the worker restarts once more, the task must run once at a time and not again
// after its end was acknowledged.
func TestStartOnALaterIncarnation(t *testing.T) {
	const never = -1
	for _, work := range []time.Duration{50 * time.Millisecond, 600 * time.Millisecond, 4 * time.Second} {
		for kind, a := range map[string]answers{"in time": {}, "to starts lost": {losesStarts: true}, "listings lost": {losesListings: true}, "listings late": {lateBy: 300 * time.Millisecond}} {
			for _, change := range []time.Duration{never, 0, 20 * time.Millisecond, 200 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				// The start is answered within 2 ms and listed within 4 ms. Its end is listed within
				// 10 ms, or a renewal, recorded 4 ms later and then acknowledged.
				for _, restart := range []time.Duration{never, 0, 3 * time.Millisecond, 6 * time.Millisecond, work - 5*time.Millisecond, work + 5*time.Millisecond, work + 12*time.Millisecond, work + 18*time.Millisecond, work + 400*time.Millisecond} {
					t.Run(fmt.Sprintf("%s/answers %s/leader changes after %s/restarts after %s", work, kind, change, restart), func(t *testing.T) {
						testStartOnALaterIncarnation(t, work, a, change, restart)
					})
				}
			}
		}
	}
}

// testStartOnALaterIncarnation runs one case. change and restart are counted from the start; negative
// ones do not happen.
func testStartOnALaterIncarnation(t *testing.T, work time.Duration, a answers, change, restart time.Duration) {
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
		s.restart(restarted, a)
		started := make(chan bool, 100)
		s.fleet.Update(func() { s.fleet.OnStart = func(*simsite.Worker, workload.TaskID) { started <- true } })
		job := s.submit(normalQueue, uniform(step.Need, work, 0), step)
		<-started
		if restart >= 0 {
			time.AfterFunc(restart, func() { s.restart(restarted, a) })
		}
		if change >= 0 {
			time.Sleep(change)
			s.killLeader()
		}
		s.awaitPhase(job, ledger.Completed, 30*time.Second)
	})
}
