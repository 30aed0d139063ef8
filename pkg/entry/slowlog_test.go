package entry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// A log that answers slowly processes few appends a second, and refuses those that would
// wait long. With one append for each submission of many nodes, or with every node claiming
// leadership, it refuses most of them, so that the whole site stops.

const leaderProducer = "leader"

// slowLinkRate is the rate of a slow link, in bytes per second.
const slowLinkRate = 250_000

// submitEverywhere submits a job through another node every interval for a while, each in
// a goroutine, and returns the number of submissions and the errors.
func (s *site) submitEverywhere(interval, during time.Duration) (jobs []string, errs []error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range int(during / interval) {
		time.Sleep(interval)
		n := s.nodes[i*7%len(s.nodes)]
		job := s.newJob(normalQueue, uniform(task(1), 500*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 500})
		jobs = append(jobs, job.ID)
		wg.Go(func() {
			if err := n.Intake.Submit(s.ctx, job); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wg.Wait()
	return jobs, errs
}

// A slow log must neither refuse submissions nor cost the leader its leadership.
func TestSlowLogServesSubmissions(t *testing.T) {
	for _, slowdown := range []int{20, 66, 150} {
		t.Run(fmt.Sprint(slowdown), func(t *testing.T) {
			runSite(t, 40, 40, func(s *site) {
				time.Sleep(time.Second)
				leader, claims := s.leader(), s.ledgerTopic.EpochsBegun(leaderProducer)
				for _, l := range s.logs() {
					l.SetSlowdown(slowdown)
				}
				jobs, errs := s.submitEverywhere(50*time.Millisecond, 6*time.Second)
				if len(errs) > 0 {
					t.Errorf("%d of %d submissions failed, the first with: %v", len(errs), len(jobs), errs[0])
				}
				if s.leader() != leader || s.ledgerTopic.EpochsBegun(leaderProducer) != claims {
					t.Errorf("the leader changed, or %d claims were made", s.ledgerTopic.EpochsBegun(leaderProducer)-claims)
				}
				for _, l := range s.logs() {
					l.SetSlowdown(1)
				}
				for _, job := range jobs {
					s.awaitPhase(job, ledger.Completed, 4*time.Second)
				}
			})
		})
	}
}

// The cost of a leader change must not grow with the number of nodes.
func TestFewNodesClaimLeadership(t *testing.T) {
	for _, c := range []struct {
		nodes, slowdown, maxClaims int
		maxTime                    time.Duration
	}{
		{100, 1, 3, 1500 * time.Millisecond},
		{300, 1, 3, 1500 * time.Millisecond},
		{100, 66, 6, 6 * time.Second},
		{300, 66, 6, 6 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d nodes, log %d times slower", c.nodes, c.slowdown), func(t *testing.T) {
			runSite(t, c.nodes, 8, func(s *site) {
				time.Sleep(2 * time.Second)
				s.leader()
				for _, l := range s.logs() {
					l.SetSlowdown(c.slowdown)
				}
				time.Sleep(3 * time.Second)
				claims := s.ledgerTopic.EpochsBegun(leaderProducer)
				s.killLeader()
				started := time.Now()
				s.leader()
				if took := time.Since(started); took > c.maxTime {
					t.Errorf("leadership was acquired after %s, want at most %s", took, c.maxTime)
				}
				time.Sleep(3 * time.Second)
				if got := s.ledgerTopic.EpochsBegun(leaderProducer) - claims; got > c.maxClaims {
					t.Errorf("%d claims, want at most %d", got, c.maxClaims)
				}
			})
		})
	}
}

// While no node leads and the log is slow, records must still go through one node.
func TestSlowLogWithoutLeaderServesSubmissions(t *testing.T) {
	runSite(t, 40, 40, func(s *site) {
		for _, l := range s.logs() {
			l.SetSlowdown(66)
		}
		time.Sleep(2500 * time.Millisecond)
		s.killLeader()
		jobs, errs := s.submitEverywhere(50*time.Millisecond, 6*time.Second)
		// Until the loss is noticed, submissions are sent to the former leader.
		if len(errs)*5 > len(jobs) {
			t.Errorf("%d of %d submissions failed, the first with: %v", len(errs), len(jobs), errs[0])
		}
	})
}

// A node that restarts under its address must not write it to the ledger again: during a
// rolling restart of many nodes these appends would crowd out the others.
func TestRestartedNodeDoesNotWriteItsAddress(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		n := s.follower()
		n.kill()
		n.Wait()
		s.nodes = remove(s.nodes, n)
		var before int
		count := func() int { return s.ledgerTopic.Written("n/" + n.settings.Name) }
		before = count()
		s.addNode(n.settings.Name)
		time.Sleep(time.Second)
		if got := count(); got != before {
			t.Errorf("the address was written %d times, want %d", got, before)
		}
	})
}

// Only the operators' topic cannot be read. Work must go on while its view of the zones is
// young enough, and must not start any more once it is not.
func TestStartsWithoutTheOperatorsTopic(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		time.Sleep(time.Second)
		s.leader()
		for _, n := range s.nodes {
			n.clients[1].SetFault(simsite.LogSilent)
		}
		step := workload.Step{Count: 1, Need: task(1), EstimateMS: 300}
		time.Sleep(2 * time.Second)
		early := s.submit(normalQueue, uniform(task(1), 300*time.Millisecond, 0), step)
		s.awaitPhase(early, ledger.Completed, time.Second)
		time.Sleep(testSettings().MaxConfigAge)
		late := s.submit(normalQueue, uniform(task(1), 300*time.Millisecond, 0), step)
		time.Sleep(2 * time.Second)
		if got := s.phase(late); got != ledger.Queued {
			t.Errorf("with an old view of the zones, the job is %q, want %q", got, ledger.Queued)
		}
		for _, n := range s.nodes {
			n.clients[1].SetFault(simsite.LogHealthy)
		}
		s.awaitPhase(late, ledger.Completed, 2*time.Second)
	})
}

// The leader cannot read the ledger for two seconds, while it can write. Jobs whose submissions
// it has written itself must start.
func TestLeaderStartsJobsThatItHasStored(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		time.Sleep(time.Second)
		leader := s.leader()
		leader.clients[0].SetReadFault(simsite.LogSilent)
		// The read in flight ends.
		time.Sleep(1100 * time.Millisecond)
		job := s.submit(normalQueue, uniform(task(1), 300*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 300})
		s.awaitPhase(job, ledger.Completed, 800*time.Millisecond)
		leader.clients[0].SetReadFault(simsite.LogHealthy)
	})
}

// The node that writes for all does not answer calls. A node must not wait long for it, and
// not again for the next record.
func TestSilentWritingNodeIsReplaced(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		time.Sleep(time.Second)
		leader := s.leader()
		n := s.follower()
		s.network.SetBothLinks(n.settings.Name, leader.settings.Name, memnet.Cut)
		for i, limit := range []time.Duration{400 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond} {
			job := s.newJob(normalQueue, uniform(task(1), 300*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 300})
			began := time.Now()
			if err := n.Intake.Submit(s.ctx, job); err != nil {
				t.Fatalf("submission %d: %v", i, err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("submission %d took %s, want at most %s", i, took, limit)
			}
		}
	})
}

// The log is slow, and refuses the calls of the leader. A submission to another node must
// reach the log through a third one.
func TestRefusalOfTheWritingNodeIsNotFinal(t *testing.T) {
	runSite(t, 6, 8, func(s *site) {
		for _, l := range s.logs() {
			l.SetSlowdown(66)
		}
		time.Sleep(2500 * time.Millisecond)
		leader := s.leader()
		var n *testNode
		for _, other := range s.nodes {
			if addresses := other.leader.WriterAddresses(); len(addresses) > 2 {
				n = other
			}
		}
		leader.setFault(simsite.LogRefuses)
		time.Sleep(500 * time.Millisecond)
		job := s.newJob(normalQueue, uniform(task(1), 300*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 300})
		if err := n.Intake.Submit(s.ctx, job); err != nil {
			t.Errorf("submission: %v", err)
		}
	})
}

// A node whose reads of the log hang must show a job's end that others know, and soon.
func TestPhaseIsShownByNodeWithHangingReads(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		time.Sleep(time.Second)
		n := s.follower()
		n.setFault(simsite.LogSilent)
		job := s.submitTo(s.leader(), normalQueue, uniform(task(1), 200*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 200})
		time.Sleep(700 * time.Millisecond)
		began := time.Now()
		phase, err := n.Intake.Phase(s.ctx, job)
		if took := time.Since(began); err != nil || phase != ledger.Completed || took > 150*time.Millisecond {
			t.Errorf("phase %q, error %v after %s; want %q within 150ms", phase, err, took, ledger.Completed)
		}
	})
}

// More records than fit in one page lie between a node's replica and the end of the log. The
// node must not say that a job does not exist before it has read them all.
func TestUnknownJobIsSoughtInAllPages(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		n := s.follower()
		s.ledgerTopic.SetPageSize(5)
		for i := range 40 {
			s.ledgerTopic.Put(ledger.CancelRecord(fmt.Sprintf("%016x", 1<<40+i), time.Now().UnixMilli(), ""))
		}
		job := s.newJob(normalQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 1000})
		s.ledgerTopic.Put(ledger.JobRecord(job))
		if phase, err := n.Intake.LocalPhase(s.ctx, job.ID); err != nil || phase == "" {
			t.Errorf("phase %q, error %v; want one of a known job", phase, err)
		}
	})
}

// The log was slow while the site started, and is not any more. When the leader is gone,
// nodes must write by themselves, and not take the log for slow.
func TestSlowStartOfTheLogIsForgotten(t *testing.T) {
	runSite(t, 10, 8, func(s *site) {
		for _, l := range s.logs() {
			l.SetSlowdown(66)
		}
		// Each node writes once.
		s.submitEverywhere(20*time.Millisecond, 200*time.Millisecond)
		for _, n := range s.nodes {
			if _, err := n.writer.Write(s.ctx, ledger.CancelRecord("00000000000000ff", 1, "")); err != nil {
				t.Fatal(err)
			}
		}
		for _, l := range s.logs() {
			l.SetSlowdown(1)
		}
		time.Sleep(6 * time.Second)
		s.killLeader()
		if jobs, errs := s.submitEverywhere(20*time.Millisecond, time.Second); len(errs) > 0 {
			t.Errorf("%d of %d submissions failed, the first with: %v", len(errs), len(jobs), errs[0])
		}
	})
}

// A burst of submissions must get through links that take seconds for all of them: what is
// sent in one call must arrive within the time that the call has.
func TestBurstOfSubmissionsOverSlowLinks(t *testing.T) {
	runSite(t, 4, 8, func(s *site) {
		s.linkRate = slowLinkRate
		for _, n := range slices.Clone(s.nodes) {
			n.kill()
			n.Wait()
			s.nodes = remove(s.nodes, n)
			s.addNode(n.settings.Name)
		}
		leader := s.leader()
		time.Sleep(time.Second)
		const jobs, payload = 60, 4000
		began := time.Now()
		var stored []string
		var wg sync.WaitGroup
		for range jobs {
			job := s.newJob(normalQueue, uniform(task(1), 100*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 100})
			job.Payload = strings.Repeat("x", payload)
			stored = append(stored, job.ID)
			wg.Go(func() {
				if err := leader.Intake.Submit(s.ctx, job); err != nil {
					t.Errorf("submission: %v", err)
				}
			})
		}
		wg.Wait()
		if took, atLeast := time.Since(began), jobs*payload*time.Second/slowLinkRate; took > 2*atLeast {
			t.Errorf("took %s, want at most twice the %s that the link needs", took, atLeast)
		}
		if s.leader() != leader {
			t.Error("the leader changed")
		}
		for _, job := range stored {
			s.awaitPhase(job, ledger.Completed, 30*time.Second)
		}
	})
}
