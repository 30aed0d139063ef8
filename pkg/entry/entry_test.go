package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

func TestJobsOfAllKindsComplete(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		gang := s.submit(normalQueue, uniform(task(4), 3*time.Second, 4), workload.Step{Count: 4, Need: task(4), Gang: true, SameRack: true, EstimateMS: 3000})
		chain := s.submit(bulkQueue, uniform(task(1), 2*time.Second, 0), workload.Step{Count: 6, Need: task(1), EstimateMS: 2000},
			workload.Step{Count: 3, Need: task(1), EstimateMS: 2000, DependsOn: []int{0}})
		s.awaitPhase(gang, ledger.Completed, 5*time.Second)
		s.awaitPhase(chain, ledger.Completed, 6*time.Second)
		if got := s.fleet.Starts(); got != 13 {
			t.Errorf("%d starts, want 13", got)
		}
	})
}

// A gang member that has finished its share of the work reports no progress until the
// slowest member has finished. It must not be taken for stalled and stopped.
func TestGangWithUnevenMembersIsNotStopped(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		job := s.submit(normalQueue, func(index int) simsite.Behaviour {
			return simsite.Behaviour{Resources: task(4), Work: time.Duration(2+4*index) * time.Second, Gang: 3}
		}, workload.Step{Count: 3, Need: task(4), Gang: true, EstimateMS: 5000})
		s.awaitPhase(job, ledger.Completed, 12*time.Second)
		if got := s.fleet.Starts(); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
	})
}

func TestRunsOutliveTheirLeader(t *testing.T) {
	for name, stop := range map[string]func(s *site, n *testNode){
		"killed":                 func(s *site, n *testNode) { n.kill() },
		"resigned":               func(s *site, n *testNode) { n.Resign() },
		"no answer from the log": func(s *site, n *testNode) { n.setFault(simsite.LogSilent) },
		"refused by the log":     func(s *site, n *testNode) { n.setFault(simsite.LogRefuses) },
		"log answers are lost":   func(s *site, n *testNode) { n.setFault(simsite.LogLosesReplies) },
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				leader := s.leader()
				job := s.submit(normalQueue, uniform(task(4), 8*time.Second, 4), workload.Step{Count: 4, Need: task(4), Gang: true, EstimateMS: 8000})
				singles := s.submit(bulkQueue, uniform(task(1), 8*time.Second, 0), workload.Step{Count: 6, Need: task(1), EstimateMS: 8000})
				time.Sleep(time.Second)
				stop(s, leader)
				time.Sleep(4 * time.Second)
				for i, n := range s.nodes {
					if n == leader {
						s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
						defer func() { n.kill(); n.Wait() }()
						break
					}
				}
				s.awaitPhase(job, ledger.Completed, 6*time.Second)
				s.awaitPhase(singles, ledger.Completed, 6*time.Second)
				if got := s.fleet.Starts(); got != 10 {
					t.Errorf("%d starts, want 10: tasks must keep running across the change of leader", got)
				}
			})
		})
	}
}

// Orphan runs, here of a job that ended before the leader's term, must count against the
// capacity of their worker until they have stopped.
func TestCapacityOfOrphanRunsIsNotUsed(t *testing.T) {
	runSite(t, 3, 1, func(s *site) {
		job := s.submit(normalQueue, uniform(task(8), time.Minute, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 60000})
		time.Sleep(time.Second)
		leader := s.leader()
		leader.setFault(simsite.LogSilent)
		next := s.submit(normalQueue, uniform(task(8), time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 1000})
		// The ledger holds the end of the job; its run goes on.
		s.ledgerTopic.Put(ledger.ProgressRecord(job, &ledger.Progress{Phase: ledger.Cancelled, EndedMS: time.Now().UnixMilli()}))
		time.Sleep(2 * time.Second)
		leader.kill()
		leader.Wait()
		s.nodes = remove(s.nodes, leader)
		s.awaitPhase(next, ledger.Completed, 8*time.Second)
	})
}

func remove(nodes []*testNode, gone *testNode) []*testNode {
	var left []*testNode
	for _, n := range nodes {
		if n != gone {
			left = append(left, n)
		}
	}
	return left
}

func TestTasksOfFaultyWorkersRunElsewhere(t *testing.T) {
	for name, setFault := range map[string]func(w *simsite.Worker){
		"silent": func(w *simsite.Worker) { w.Silent = true },
		"hangs":  func(w *simsite.Worker) { w.TasksHang = true },
		"fails":  func(w *simsite.Worker) { w.TasksFail = true },
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				s.fleet.Update(func() { setFault(s.workers[0]) })
				var jobs []string
				for range 4 {
					jobs = append(jobs, s.submit(normalQueue, uniform(task(4), 2*time.Second, 4), workload.Step{Count: 4, Need: task(4), Gang: true, EstimateMS: 2000}))
				}
				for _, job := range jobs {
					s.awaitPhase(job, ledger.Completed, 20*time.Second)
				}
			})
		})
	}
}

// Workers become slow while they run tasks. A gang that would complete sooner if started
// again on other workers must be moved there.
func TestRunsAreMovedFromSlowWorkers(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		gang := s.submit(normalQueue, uniform(task(8), 6*time.Second, 3), workload.Step{Count: 3, Need: task(8), Gang: true, SameRack: true, EstimateMS: 6000})
		time.Sleep(2500 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: gang}, Index: 0}) {
					w.Slowdown = 10
				}
			}
		})
		// Without a move the gang would complete after 37.5 s; a new start takes 6 s.
		s.awaitPhase(gang, ledger.Completed, 14*time.Second)
	})
}

// Starts on a worker follow each other closely. Their replies do not include the progress
// of the worker's other runs, which only the next listing shows. Those runs must not be
// taken for stalled.
func TestTasksBesideNewStartsAreNotTakenForStalled(t *testing.T) {
	runSite(t, 3, 1, func(s *site) {
		var jobs []string
		for range 8 {
			jobs = append(jobs, s.submit(normalQueue, uniform(task(1), 5*time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 5000}))
			time.Sleep(230 * time.Millisecond)
		}
		for _, job := range jobs {
			s.awaitPhase(job, ledger.Completed, 8*time.Second)
		}
		if got := s.fleet.Starts(); got != 8 {
			t.Errorf("%d starts, want 8", got)
		}
	})
}

// A start whose reply was lost must be found in the worker's listing and kept.
func TestStartsWithLostAnswersAreKept(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		s.fleet.Update(func() { s.workers[0].LosesStartReplies = true })
		job := s.submit(normalQueue, uniform(task(4), 4*time.Second, 8), workload.Step{Count: 8, Need: task(4), Gang: true, EstimateMS: 4000})
		s.awaitPhase(job, ledger.Completed, 8*time.Second)
		if got := s.fleet.Starts(); got != 8 {
			t.Errorf("%d starts, want 8", got)
		}
	})
}

func TestGuaranteeIsReclaimed(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		for range 2 {
			s.submit(bulkQueue, uniform(task(1), time.Minute, 0), workload.Step{Count: 32, Need: task(1), EstimateMS: 60000})
		}
		time.Sleep(2 * time.Second)
		job := s.submit(urgentQueue, uniform(task(8), time.Second, 3), workload.Step{Count: 3, Need: task(8), Gang: true, SameRack: true, EstimateMS: 1000})
		// MaxReclaimTime and 1 s of work.
		s.awaitPhase(job, ledger.Completed, 3400*time.Millisecond+time.Second)
	})
}

func TestCancelledJobStops(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		job := s.submit(bulkQueue, uniform(task(1), time.Minute, 0), workload.Step{Count: 8, Need: task(1), EstimateMS: 60000})
		time.Sleep(time.Second)
		if known, err := s.follower().Intake.Cancel(s.ctx, job, ""); err != nil || !known {
			s.t.Fatalf("cancel: known %v, error %v", known, err)
		}
		s.awaitPhase(job, ledger.Cancelled, 100*time.Millisecond)
		time.Sleep(3*time.Second + 900*time.Millisecond)
		for _, w := range s.workers {
			if n := w.Running(); n != 0 {
				t.Errorf("%d runs on %s after the cancellation, want none", n, w.Info.ID)
			}
		}
	})
}

// A job that was cancelled before its submission arrived must never run.
func TestCancelledBeforeItsSubmission(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		id := "00000000000000ff"
		if known, err := s.follower().Intake.Cancel(s.ctx, id, ""); err != nil || known {
			s.t.Fatalf("cancel: known %v, error %v", known, err)
		}
		job := &workload.Job{ID: id, Queue: normalQueue, Policy: workload.Policy{Service: "desk"}, Steps: []workload.Step{{Count: 1, Need: task(1)}}}
		if err := s.follower().Intake.Submit(s.ctx, job); err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(time.Second)
		if s.fleet.Starts() != 0 {
			t.Error("the job ran although it was cancelled before its submission")
		}
	})
}

// After the loss of all nodes at once, new nodes must complete every accepted job.
func TestAllNodesReplaced(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		job := s.submit(normalQueue, uniform(task(4), 9*time.Second, 4), workload.Step{Count: 4, Need: task(4), Gang: true, EstimateMS: 9000})
		waiting := s.submit(bulkQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 80, Need: task(1), EstimateMS: 1000})
		for _, n := range s.nodes {
			n.kill()
			n.Wait()
		}
		s.nodes = nil
		s.ledgerTopic.Trim()
		time.Sleep(time.Second)
		for _, name := range []string{"new-0", "new-1"} {
			s.addNode(name)
		}
		s.awaitPhase(job, ledger.Completed, 14*time.Second)
		s.awaitPhase(waiting, ledger.Completed, 14*time.Second)
	})
}

func TestZoneThatIsOutGetsNothing(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		s.operatorTopic.Put(keyedRecord("zone-rack-0", "{}"))
		time.Sleep(time.Second)
		job := s.submit(bulkQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 40, Need: task(1), EstimateMS: 1000})
		for range 20 {
			for _, w := range s.workers[:testRackSize] {
				if w.Running() > 0 {
					s.t.Fatalf("a task runs on %s", w.Info.ID)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.operatorTopic.Put(keyedRecord("zone-rack-0", ""))
		s.awaitPhase(job, ledger.Completed, 5*time.Second)
	})
}

// The queue allows only the workers that the adviser names, which are two of forty.
func TestAdvisedJobRunsOnAdvisedWorkers(t *testing.T) {
	runSite(t, 3, 40, func(s *site) {
		job := s.newJob(advisedQueue, uniform(task(8), 6*time.Second, 0), workload.Step{Count: 4, Need: task(8), EstimateMS: 6000})
		s.fleet.Update(func() {
			s.fleet.Tickets = map[workload.UnitID]map[string]string{{Job: job.ID}: {"w07": "t7", "w39": "t39"}}
		})
		if err := s.follower().Intake.Submit(s.ctx, job); err != nil {
			s.t.Fatal(err)
		}
		s.awaitPhase(job.ID, ledger.Completed, 20*time.Second)
	})
}

// A worker that has crashed and restarted is still listed as its former incarnation for
// seconds. A gang whose start fails on it must not be placed there again: its starts would
// keep failing until the scheduler gives the gang up.
func TestReplacedWorkerIsNotTriedAgain(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		s.fleet.Update(func() { s.workers[0].Replaced = true })
		started := time.Now()
		job := s.submit(normalQueue, uniform(task(8), time.Second, 3), workload.Step{Count: 3, Need: task(8), Gang: true, SameRack: true, EstimateMS: 1000})
		s.awaitPhase(job, ledger.Completed, 2*time.Second)
		if got := s.fleet.Starts(); got != 3 {
			t.Errorf("%d starts in %s, want 3", got, time.Since(started))
		}
	})
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	runSite(t, 3, 2, func(s *site) {
		s.fleet.Update(func() { s.workers[0].Info.Draining = true })
		time.Sleep(2 * time.Second)
		job := s.submit(bulkQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 16, Need: task(1), EstimateMS: 1000})
		for range 20 {
			if s.workers[0].Running() > 0 {
				s.t.Fatal("a task runs on the draining worker")
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.awaitPhase(job, ledger.Completed, 2*time.Second)
	})
}

// A worker that stops answering may run its task until the task's lease ends. The task
// must not start elsewhere before that.
func TestTaskOfSilentWorkerWaitsForItsLease(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		job := s.submit(normalQueue, uniform(task(8), 9*time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 9000})
		time.Sleep(time.Second)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}})
			}
		})
		s.awaitPhase(job, ledger.Completed, 20*time.Second)
		if got := s.fleet.Starts(); got != 2 {
			t.Errorf("%d starts, want 2", got)
		}
	})
}

// A failed run that is also reported to the next leader must count as one failure.
func TestFailureCountsOnceAcrossLeaders(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		starts := 0
		job := s.submit(normalQueue, func(int) simsite.Behaviour {
			starts++
			return simsite.Behaviour{Resources: task(8), Work: 500 * time.Millisecond, Fails: starts <= 2}
		}, workload.Step{Count: 1, Need: task(8), EstimateMS: 500})
		leader := s.leader()
		for !strings.Contains(string(s.ledgerTopic.Newest("p/"+job)), `"f":{"0":[1]}`) {
			time.Sleep(time.Millisecond)
		}
		leader.kill()
		leader.Wait()
		s.nodes = remove(s.nodes, leader)
		s.awaitPhase(job, ledger.Completed, 20*time.Second)
	})
}

// Every rack runs a task that lasts for long, so no rack has enough capacity for a gang
// that asks for a single rack. The gang must start within the time that the platform
// allows, since most of the site is idle.
func TestGangStartsWhileMostOfTheSiteIsIdle(t *testing.T) {
	const maxWait = 7 * time.Second // half of the time after the last submission within which all jobs must have run
	runSite(t, 3, 12, func(s *site) {
		for rack := range 3 {
			s.submit(bulkQueue, uniform(task(8), time.Minute, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 60000, Label: fmt.Sprintf("rack-%d", rack)})
		}
		time.Sleep(time.Second)
		job := s.submit(normalQueue, uniform(task(8), time.Second, 4), workload.Step{Count: 4, Need: task(8), Gang: true, SameRack: true, EstimateMS: 1000})
		s.awaitPhase(job, ledger.Running, maxWait)
	})
}

// Workers are removed at short notice. Runs that they cannot finish in time must be moved
// at once, not after the end of their leases; the run that can finish must be left.
func TestRunsOfDrainingWorkersAreMoved(t *testing.T) {
	const (
		notice  = 2 * time.Second
		work    = 4 * time.Second
		maxTime = work + 2500*time.Millisecond // 0.9 s for the stop, 1.6 s for worker records, ledger records and requests
	)
	runSite(t, 3, 12, func(s *site) {
		gang := s.submit(urgentQueue, uniform(task(8), work, 2), workload.Step{Count: 2, Need: task(8), Gang: true, SameRack: true, EstimateMS: int(work.Milliseconds())})
		single := s.submit(bulkQueue, uniform(task(8), work, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: int(work.Milliseconds())})
		short := s.submit(bulkQueue, uniform(task(8), 1500*time.Millisecond, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 1500})
		time.Sleep(time.Second)
		starts := s.fleet.Starts()
		var draining []*simsite.Worker
		s.fleet.Update(func() {
			for _, w := range s.workers {
				for _, id := range []string{gang, single, short} {
					if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: id}}) {
						w.Info.Draining, w.Info.Remaining = true, notice
						draining = append(draining, w)
						s.workerTopic.Put(w.KeyedRecord())
					}
				}
			}
		})
		time.AfterFunc(notice, func() {
			s.fleet.Update(func() {
				for _, w := range draining {
					w.Silent = true
				}
			})
		})
		s.awaitPhase(short, ledger.Completed, notice)
		s.awaitPhase(gang, ledger.Completed, maxTime)
		s.awaitPhase(single, ledger.Completed, maxTime)
		if got := s.fleet.Starts() - starts; got != 3 {
			t.Errorf("%d starts after the notice, want 3", got)
		}
	})
}

// A changed lease duration must apply to leases given later in the present term.
func TestChangedSettingsApplyInThePresentTerm(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		s.submit(bulkQueue, uniform(task(1), time.Minute, 0), workload.Step{Count: 4, Need: task(1), EstimateMS: 60000})
		changed := testSettings()
		changed.LeaseDuration = 2 * time.Second
		for _, n := range s.nodes {
			n.UpdateSettings(changed)
		}
		// Leases given before the change end.
		time.Sleep(7 * time.Second)
		for _, n := range s.nodes {
			n.kill()
			n.Wait()
		}
		time.Sleep(changed.LeaseDuration + 200*time.Millisecond)
		for _, w := range s.workers {
			if n := w.Running(); n > 0 {
				t.Errorf("%d runs on %s after the end of their leases", n, w.Info.ID)
			}
		}
	})
}

// Workers restart under their old IDs, and one gets a task before the platform's list
// shows its new incarnation. The task runs on the new incarnation, which does not answer
// for a while; meanwhile the task must not start elsewhere.
func TestStartOnAWorkerThatHasJustRestarted(t *testing.T) {
	runSite(t, 3, 3, func(s *site) {
		warm := s.submit(normalQueue, uniform(task(1), 500*time.Millisecond, 0), workload.Step{Count: 3, Need: task(8), EstimateMS: 500})
		s.awaitPhase(warm, ledger.Completed, 3*time.Second)
		// The next records of the workers are written a second later.
		time.Sleep(2 * time.Second)
		for _, w := range s.workers {
			w.Restart()
		}
		job := s.submit(normalQueue, uniform(task(8), 4*time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 4000})
		time.Sleep(100 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}})
				s.workerTopic.Put(w.KeyedRecord())
			}
		})
		time.Sleep(600 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = false
			}
		})
		s.awaitPhase(job, ledger.Completed, 8*time.Second)
		if got := s.fleet.Starts(); got != 4 {
			t.Errorf("%d starts, want 4", got)
		}
	})
}
