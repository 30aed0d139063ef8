package intake

import (
	"context"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// heldForwarder is a writing node that answers when the test says so. What it stores is read at
// once.
type heldForwarder struct {
	replica *ledger.Replica
	asked   chan occupancy.Claim
	answer  chan error
}

func (f *heldForwarder) StoreAtWriter(_ context.Context, r backend.KeyedRecord, c occupancy.Claim) error {
	f.asked <- c
	err := <-f.answer
	if err == nil {
		f.replica.Apply([]backend.KeyedRecord{r})
	}
	return err
}

func (f *heldForwarder) Store(context.Context, backend.KeyedRecord, occupancy.Claim) error {
	return api.Errorf(api.CodeUnavailable, "no other node")
}

func (f *heldForwarder) Phase(context.Context, string) (ledger.Phase, error) { return "", nil }

// currentFollower is a follower that is current, of a log that cannot be written.
type currentFollower struct{}

func (currentFollower) ConfirmedAt() (time.Duration, bool) { return time.Second, true }
func (currentFollower) LastReadFailed() bool               { return true }
func (currentFollower) Refresh(context.Context) error      { return nil }
func (currentFollower) NextOffset() int64                  { return 0 }

func newTestService(limit int64) (*Service, *heldForwarder) {
	forwarder := &heldForwarder{asked: make(chan occupancy.Claim, 10), answer: make(chan error, 10)}
	now := func() time.Duration { return time.Second }
	replica := ledger.NewReplica(ledger.Listener{OnJobChange: func(string, ledger.JobEntry) {}, OnLeaderRecord: func(int64) {}, OnListing: func() {}, OnRead: func(time.Duration) {}}, ledger.Holding{Limit: limit, Accounts: func() int { return 2 }})
	forwarder.replica = replica
	writer := ledger.NewAppender(nil, ledger.AppenderSettings{LogLatency: func() time.Duration { return 0 }, CheckLatency: func() {}, Now: now})
	s := New(replica, nil, writer, func() *ledger.Appender { return nil }, func(backend.KeyedRecord) {}, func() {}, forwarder, func() int { return 0 }, now, func() int64 { return 1 })
	s.follower = currentFollower{}
	return s, forwarder
}

func smallJob() *workload.Job {
	return &workload.Job{ID: "1111111111111111", Queue: "q", Account: "x", Steps: []workload.Step{{Count: 1}}}
}

// A job that the nodes cannot hold is refused before anything is written, with a time to come back;
// neither is it written in another way after the writing node has refused it.
func TestJobsBeyondTheLimitAreRefused(t *testing.T) {
	s, forwarder := newTestService(1 << 20)
	if ok, _ := s.replica.Reserve(occupancy.Claim{Job: "held", Account: "x", Bytes: 700 << 10}, time.Second); !ok {
		t.Fatal("not reserved")
	}
	err := s.Submit(t.Context(), &workload.Job{ID: "1111111111111111", Queue: "q", Account: "x", Steps: []workload.Step{{Count: 500}}})
	e := api.AsError(err, api.MayHaveRun)
	if err == nil || e.Verdict != api.NotRun || e.Code != api.CodeOverloaded || e.RetryAfter <= 0 {
		t.Errorf("%+v, want a refusal with a time to come back", err)
	}
	if len(forwarder.asked) != 0 {
		t.Error("the writing node was asked")
	}
	forwarder.answer <- OccupiedError(3 * time.Second)
	other := smallJob()
	other.Account = "y"
	if e := api.AsError(s.Submit(t.Context(), other), api.MayHaveRun); e == nil || e.Code != api.CodeOverloaded || e.RetryAfter != 3*time.Second {
		t.Errorf("%+v, want the refusal of the writing node", e)
	}
	if c := <-forwarder.asked; c.Account != "y" || c.Job != other.ID || c.Bytes == 0 {
		t.Errorf("the writing node was asked for %+v", c)
	}
	// Cancellations of jobs that are known need nothing; others count like jobs.
	if _, err := s.Cancel(t.Context(), "3333333333333333", "x"); err == nil {
		t.Error("a cancellation of an unknown job is accepted beyond the limit")
	}
}
