package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// After a restart of all nodes, an urgent job must not wait for the failure timeout: the
// new process on the former leader's VM answers probes that it does not lead the term.
func TestLeadershipIsAcquiredAtOnceAfterAllNodesRestart(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		for _, n := range s.nodes {
			n.kill()
			n.Wait()
		}
		s.nodes = nil
		time.Sleep(1500 * time.Millisecond)
		for _, name := range []string{"node-0", "node-1", "node-2"} {
			s.addNode(name)
		}
		time.Sleep(100 * time.Millisecond)
		job := s.submitTo(s.nodes[0], urgentQueue, uniform(task(4), time.Second, 2), workload.Step{Count: 2, Need: task(4), Gang: true, EstimateMS: 1000})
		time.Sleep(1300 * time.Millisecond)
		for _, n := range s.nodes {
			if n.Leading() {
				s.awaitPhase(job, ledger.Completed, 500*time.Millisecond)
				return
			}
		}
		t.Error("no node leads")
	})
}

func TestDeadLeaderIsReplacedSoon(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		s.killLeader()
		started := time.Now()
		s.leader()
		if took := time.Since(started); took > 1500*time.Millisecond {
			t.Errorf("leadership was acquired after %s, want at most 1.5s", took)
		}
	})
}

// A node that cannot reach the log must forward submissions and queries to other nodes.
func TestNodeWithoutLogForwardsRequests(t *testing.T) {
	for name, fault := range map[string]simsite.LogFault{"refused": simsite.LogRefuses, "silent": simsite.LogSilent} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				time.Sleep(time.Second)
				n := s.follower()
				n.setFault(fault)
				time.Sleep(3 * time.Second)
				job := s.submitTo(n, normalQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 1000})
				time.Sleep(1500 * time.Millisecond)
				if phase, err := n.Intake.Phase(s.ctx, job); err != nil || phase != ledger.Completed {
					t.Errorf("phase %q, error %v; want %q and no error", phase, err, ledger.Completed)
				}
			})
		})
	}
}

// A new leader that has had no answer from a worker yet must keep the worker in the
// progress record of its job. Otherwise the leader after it would start the worker's task
// a second time.
func TestSilentWorkerIsRememberedAcrossLeaders(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		job := s.submit(normalQueue, func(index int) simsite.Behaviour {
			return simsite.Behaviour{Resources: task(8), Work: time.Duration(3+9*index) * time.Second}
		}, workload.Step{Count: 2, Need: task(8), EstimateMS: 3000})
		time.Sleep(time.Second)
		for _, w := range s.workers {
			w := w
			s.fleet.Update(func() { w.Silent = w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}, Index: 1}) })
		}
		for range 2 {
			s.killLeader()
			time.Sleep(2500 * time.Millisecond)
		}
		s.awaitPhase(job, ledger.Completed, 40*time.Second)
	})
}

// Other writers add a burst of records while no node leads. A record that the log adds just
// before a leadership claim must not make the claim fail, since the next claim would wait
// for another failure timeout: leadership must be acquired as soon as the burst ends.
func TestLeadershipIsAcquiredAfterBurstOfSubmissions(t *testing.T) {
	const (
		burst    = 1600 * time.Millisecond
		maxDelay = 300 * time.Millisecond
	)
	runSite(t, 4, 8, func(s *site) {
		s.killLeader()
		started := time.Now()
		for i := 0; time.Since(started) < burst; i++ {
			s.ledgerTopic.Put(ledger.CancelRecord(fmt.Sprintf("%016x", 1<<40+i), time.Now().UnixMilli(), ""))
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(maxDelay)
		for _, n := range s.nodes {
			if n.Leading() {
				return
			}
		}
		t.Error("no node leads")
	})
}

// All racks are full of inherited runs. Since the leader has not seen them start, their
// progress says nothing about their progress rate, and it must not wait for runs that seem
// about to end: it must stop some at once to free capacity for an urgent job.
func TestUrgentJobDoesNotWaitForInheritedRuns(t *testing.T) {
	const maxTime = 2500 * time.Millisecond // 1 s of work, 0.9 s for a stop, 0.6 s for records and requests to workers
	runSite(t, 3, 8, func(s *site) {
		s.submit(bulkQueue, uniform(task(8), 30*time.Second, 0), workload.Step{Count: 8, Need: task(8), EstimateMS: 30000, SavesProgress: true})
		time.Sleep(12 * time.Second)
		s.killLeader()
		s.leader()
		time.Sleep(1500 * time.Millisecond)
		job := s.submit(urgentQueue, uniform(task(8), time.Second, 2), workload.Step{Count: 2, Need: task(8), Gang: true, SameRack: true, EstimateMS: 1000})
		s.awaitPhase(job, ledger.Completed, maxTime)
	})
}

// A leader that cannot reach the log while others can must be replaced, by means of probes,
// before the failure timeout.
func TestLeaderWithoutLogIsReplacedSoon(t *testing.T) {
	const maxTime = 1600 * time.Millisecond // less than the failure timeout of 2 s
	for name, fault := range map[string]simsite.LogFault{"refused": simsite.LogRefuses, "silent": simsite.LogSilent} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				leader := s.leader()
				leader.setFault(fault)
				s.nodes = remove(s.nodes, leader)
				defer func() { leader.kill(); leader.Wait() }()
				started := time.Now()
				s.leader()
				if took := time.Since(started); took > maxTime {
					t.Errorf("leadership was acquired after %s, want at most %s", took, maxTime)
				}
			})
		})
	}
}

// After a log outage for all nodes the leader must be the same as before: another node could
// not have written either.
func TestLogOutageDoesNotChangeTheLeader(t *testing.T) {
	for name, fault := range map[string]simsite.LogFault{"refused": simsite.LogRefuses, "silent": simsite.LogSilent} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 4, 8, func(s *site) {
				leader := s.leader()
				for _, n := range s.nodes {
					n.setFault(fault)
				}
				time.Sleep(4 * time.Second)
				for _, n := range s.nodes {
					n.setFault(simsite.LogHealthy)
				}
				time.Sleep(3 * time.Second)
				if got := s.leader(); got != leader {
					t.Error("another node leads after the outage")
				}
			})
		})
	}
}

// A task fails while the leader has not read the configuration yet, or after its queue has
// been removed. The attempts that the queue allowed at the submission must count, so that
// the task is started again.
func TestFailureIsNotFinalBeforeTheConfigurationIsKnown(t *testing.T) {
	for name, removed := range map[string]bool{"not read yet": false, "queue removed": true} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				starts := 0
				job := s.submit(normalQueue, func(int) simsite.Behaviour {
					starts++
					return simsite.Behaviour{Resources: task(1), Work: 1500 * time.Millisecond, Fails: starts == 1}
				}, workload.Step{Count: 1, Need: task(1), EstimateMS: 1500})
				time.Sleep(500 * time.Millisecond)
				for _, n := range s.nodes {
					n.kill()
					n.Wait()
				}
				if removed {
					s.publishQueues(urgentQueue, bulkQueue)
				}
				n := s.addNode("node-new")
				s.nodes = []*testNode{n}
				if !removed {
					n.clients[1].SetFault(simsite.LogSilent)
				}
				time.Sleep(4 * time.Second)
				n.setFault(simsite.LogHealthy)
				s.awaitPhase(job, ledger.Completed, 10*time.Second)
			})
		})
	}
}

// Leadership must be acquired while other writers keep adding records to the log.
func TestLeadershipIsAcquiredDuringSubmissions(t *testing.T) {
	const maxTime = 1600 * time.Millisecond
	runSite(t, 4, 8, func(s *site) {
		s.killLeader()
		for started, i := time.Now(), 0; time.Since(started) < maxTime; i++ {
			s.ledgerTopic.Put(ledger.CancelRecord(fmt.Sprintf("%016x", 1<<41+i), time.Now().UnixMilli(), ""))
			time.Sleep(2 * time.Millisecond)
		}
		for _, n := range s.nodes {
			if n.Leading() {
				return
			}
		}
		t.Error("no node leads")
	})
}

// A node that cannot read the log must still report that a job has ended, which it learns
// from other nodes. If no node can read the log, it must report the last known phase.
func TestNodeWithoutLogReportsEndedJobs(t *testing.T) {
	for name, fault := range map[string]simsite.LogFault{"refused": simsite.LogRefuses, "silent": simsite.LogSilent} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				n := s.follower()
				job := s.submitTo(n, normalQueue, uniform(task(1), 3*time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 3000})
				time.Sleep(time.Second)
				n.setFault(fault)
				time.Sleep(4 * time.Second)
				if phase, err := n.Intake.Phase(s.ctx, job); err != nil || phase != ledger.Completed {
					t.Errorf("phase %q, error %v; want %q and no error", phase, err, ledger.Completed)
				}
				for _, other := range s.nodes {
					other.setFault(fault)
				}
				time.Sleep(3 * time.Second)
				if phase, err := n.Intake.Phase(s.ctx, job); err != nil || phase == "" {
					t.Errorf("during a log outage for all nodes: phase %q, error %v; want a known phase and no error", phase, err)
				}
			})
		})
	}
}

// An ended job stays ended, so that its phase needs no read of a slow log.
func TestEndedJobIsReportedAtOnceWithASlowLog(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		n := s.follower()
		job := s.submitTo(n, normalQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 1000})
		s.awaitPhase(job, ledger.Completed, 5*time.Second)
		time.Sleep(time.Second)
		s.ledgerTopic.SetSlowdown(100)
		for range 20 {
			time.Sleep(130 * time.Millisecond)
			began := time.Now()
			phase, err := n.Intake.Phase(s.ctx, job)
			if took := time.Since(began); err != nil || phase != ledger.Completed || took > 0 {
				t.Errorf("phase %q, error %v after %s; want %q at once", phase, err, took, ledger.Completed)
			}
		}
	})
}

// A node that has not completed its first read of the ledger does not know the leader. It
// must not take that for a vacancy and claim leadership.
func TestStartingNodeDoesNotClaimLeadership(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		leader := s.leader()
		for _, name := range []string{"node-3", "node-4", "node-5"} {
			n := s.addNode(name)
			n.setFault(simsite.LogRefuses)
			time.Sleep(300 * time.Millisecond)
			n.setFault(simsite.LogHealthy)
			time.Sleep(8 * time.Second)
			if got := s.leader(); got != leader {
				s.t.Fatalf("another node leads after the start of %s", name)
			}
		}
	})
}

// A zone is lost with the leader and most workers. The next leader must use the remaining
// workers at once, not after its calls to the lost ones have timed out.
func TestLostWorkersDoNotDelayOthers(t *testing.T) {
	const maxTime = 1200 * time.Millisecond // 0.5 s of work, 0.7 s for calls and records, counted from the change of leader
	runSite(t, 3, 240, func(s *site) {
		s.fleet.Update(func() {
			for _, w := range s.workers[:200] {
				w.Silent = true
			}
		})
		s.killLeader()
		job := s.submit(urgentQueue, uniform(task(8), 500*time.Millisecond, 0), workload.Step{Count: 40, Need: task(8), EstimateMS: 500})
		s.awaitPhase(job, ledger.Completed, maxTime)
	})
}

// Two workers run a gang when the leader changes; the others are idle, but answer the new
// leader late. An urgent job waits already. The new leader must not stop the gang before it
// knows what runs on the site.
func TestNewLeaderStopsNothingBeforeItKnowsTheSite(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		gang := s.submit(normalQueue, uniform(task(8), 9*time.Second, 2), workload.Step{Count: 2, Need: task(8), Gang: true, EstimateMS: 9000})
		time.Sleep(1500 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = true
				for index := range 2 {
					if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: gang}, Index: index}) {
						w.Silent = false
					}
				}
			}
		})
		s.killLeader()
		urgent := s.submitTo(s.nodes[0], urgentQueue, uniform(task(8), time.Second, 2), workload.Step{Count: 2, Need: task(8), Gang: true, EstimateMS: 1000})
		s.leader()
		time.Sleep(500 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.Silent = false
			}
		})
		s.awaitPhase(urgent, ledger.Completed, 3*time.Second)
		s.awaitPhase(gang, ledger.Completed, 8*time.Second)
		if got := s.fleet.Starts(); got != 4 {
			t.Errorf("%d starts, want 4: something was stopped", got)
		}
	})
}
