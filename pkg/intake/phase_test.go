package intake

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// listingFollower is a follower whose first listing ends while it is asked for its state.
type listingFollower struct {
	replica *ledger.Replica
	records []backend.KeyedRecord
}

func (f *listingFollower) ConfirmedAt() (time.Duration, bool) {
	f.replica.Replace(slices.Clone(f.records))
	return time.Second, true
}

func (f *listingFollower) LastReadFailed() bool          { return false }
func (f *listingFollower) Refresh(context.Context) error { return nil }
func (f *listingFollower) NextOffset() int64             { return int64(len(f.records)) }

// A node has its first listing between two looks, one at the replica and one at whether it can
// be relied on. It must not say that a job does not exist because the replica was empty before.
func TestJobListedDuringTheQueryIsKnown(t *testing.T) {
	replica := ledger.NewReplica(ledger.Listener{OnJobChange: func(string, ledger.JobEntry) {}, OnLeaderRecord: func(int64) {}, OnListing: func() {}, OnRead: func(time.Duration) {}}, ledger.Holding{Limit: 64 << 20, Accounts: func() int { return 1 }})
	job := &workload.Job{ID: "1111111111111111", Queue: "q", Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCores: 1}, EstimateMS: 1000}}}
	s := &Service{replica: replica, follower: &listingFollower{replica, []backend.KeyedRecord{ledger.JobRecord(job)}}, now: func() time.Duration { return time.Second }}
	if phase, err := s.Phase(t.Context(), job.ID); err != nil || phase != ledger.Queued {
		t.Errorf("phase %q, error %v; want %q", phase, err, ledger.Queued)
	}
}
