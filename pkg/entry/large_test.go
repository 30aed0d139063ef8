package entry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// The records of large jobs, with many tasks on many workers or many checkpoints, must not exceed
// what the log takes at once: each leader's term would end at the refused write, and nothing would
// start any more. Later leaders read the shortened records.
func TestLargeJobsDoNotEndTheLeadersTerm(t *testing.T) {
	settings := testSettings()
	settings.MaxRecordBytes, settings.MaxWriteBytes = 1500, 1600
	runSiteWith(t, settings, 4, 24, func(s *site) {
		leader := s.leader()
		s.ledgerTopic.SetLimits(settings.MaxRecordBytes, settings.MaxWriteBytes)
		need := workload.Resources{MilliCores: 1000, MemoryMB: 1000}
		var large []string
		for range 3 {
			large = append(large, s.submit(bulkQueue, uniform(need, 4*time.Second, 0), workload.Step{Count: 24, Need: need, MaxPerWorker: 1, EstimateMS: 4000},
				workload.Step{Count: 1200, Need: need, EstimateMS: 500}))
		}
		time.Sleep(3 * time.Second)
		gang := s.submit(urgentQueue, uniform(task(8), time.Second, 4), workload.Step{Count: 4, Need: task(8), Gang: true, EstimateMS: 1000})
		s.awaitPhase(gang, ledger.Completed, 10*time.Second)
		if s.leader() != leader {
			t.Error("the leader's term has ended")
		}
		s.killLeader()
		for _, job := range large {
			s.awaitPhase(job, ledger.Completed, time.Minute)
		}
	})
}

// Guards against jobs that a caller may submit and whose records are larger than the log takes as
// they are: the log would refuse them with all records of the same write, which ends the leader's term.
func TestJobsLargerThanARecordDisturbNoOther(t *testing.T) {
	settings := testSettings()
	settings.MaxRecordBytes, settings.MaxWriteBytes = 1500, 6000
	runSiteWith(t, settings, 3, 8, func(s *site) {
		leader := s.leader()
		s.ledgerTopic.SetLimits(settings.MaxRecordBytes, settings.MaxWriteBytes)
		step := workload.Step{Count: 1, Need: task(1), EstimateMS: 1000, Image: strings.Repeat("<image>", 300)}
		rng := rand.New(rand.NewPCG(11, 11))
		digits := make([]byte, 4000)
		for i := range digits {
			digits[i] = "0123456789abcdef"[rng.IntN(16)]
		}
		var jobs []string
		for range 5 {
			jobs = append(jobs, s.submit(normalQueue, uniform(task(1), time.Second, 0), step))
			jobs = append(jobs, s.submit(normalQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 1000}))
			tooLarge := s.newJob(normalQueue, uniform(task(1), time.Second, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 1000})
			tooLarge.Payload = string(digits)
			var refusal *api.Error
			if err := s.follower().Intake.Submit(s.ctx, tooLarge); !errors.As(err, &refusal) || refusal.Code != api.CodeTooLarge || refusal.Verdict != api.NotRun {
				t.Errorf("submission of a job that no record holds: %v, want a lasting refusal", err)
			}
		}
		// A node that starts reads the records anew.
		late := s.addNode(fmt.Sprintf("node-%d", len(s.nodes)))
		for _, job := range jobs {
			s.awaitPhase(job, ledger.Completed, 10*time.Second)
			if phase, err := late.Intake.Phase(s.ctx, job); err != nil || phase != ledger.Completed {
				t.Errorf("job %s is %q on a node that has started, error %v", job, phase, err)
			}
		}
		if s.leader() != leader {
			t.Error("the leader's term has ended")
		}
	})
}
