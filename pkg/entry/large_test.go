package entry

import (
	"testing"
	"time"

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
