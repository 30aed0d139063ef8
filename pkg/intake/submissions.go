package intake

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// submissions are the submissions that a node has under way, by job. A repeated one shares the
// outcome of the first: that it has not run would not be true while the first may still be stored.
type submissions struct {
	mu       sync.Mutex
	underWay map[string]*submission
	// unsettled holds until when submissions of unknown outcome may still be stored.
	unsettled map[string]time.Duration
}

const (
	// unsettledTime is how long after its end a submission of unknown outcome may still be stored:
	// longer than records wait for the log, unless it fails meanwhile.
	unsettledTime = 10 * time.Second
	// maxUnsettled bounds the submissions of unknown outcome that are remembered.
	maxUnsettled = 4096
)

type submission struct {
	done chan struct{}
	// err is set before done is closed.
	err error
}

// begin registers a submission of a job and returns nil, or returns the one that is under way.
func (s *submissions) begin(id string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier := s.underWay[id]; earlier != nil {
		return earlier
	}
	if s.underWay == nil {
		s.underWay = map[string]*submission{}
	}
	s.underWay[id] = &submission{done: make(chan struct{})}
	return nil
}

// end gives the outcome of a submission to those that share it.
func (s *submissions) end(id string, err error, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.underWay[id]
	delete(s.underWay, id)
	ended.err = err
	close(ended.done)
	if err == nil || !mayBeStored(err) {
		return
	}
	maps.DeleteFunc(s.unsettled, func(_ string, until time.Duration) bool { return now >= until })
	if len(s.unsettled) >= maxUnsettled {
		klog.InfoS("intake: too many submissions of unknown outcome to remember", "job", id, "remembered", len(s.unsettled))
		return
	}
	if s.unsettled == nil {
		s.unsettled = map[string]time.Duration{}
	}
	s.unsettled[id] = now + unsettledTime
}

// earlier returns the submission of a job that is under way, nil if there is none, and whether one
// of unknown outcome may still be stored.
func (s *submissions) earlier(id string, now time.Duration) (underWay *submission, unsettled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.unsettled[id]
	return s.underWay[id], found && now < until
}

// await returns the outcome of a submission: nil if it is stored, and an error with the verdict
// not-run only if it certainly is not.
func (s *submission) await(ctx context.Context) error {
	select {
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return errEarlier
	}
}

// errEarlier means that an earlier submission of the job may be stored.
var errEarlier = &api.Error{Code: api.CodeTimeout, Message: "an earlier submission of the job may be stored", Verdict: api.MayHaveRun, RetryAfter: minRetryAfter}

// mayBeStored reports whether the outcome of a submission is that the job is or may be stored.
func mayBeStored(err error) bool {
	return err == nil || api.AsError(err, api.MayHaveRun).Verdict != api.NotRun
}

// Refuse returns what to tell the caller of a submission that is refused: nil if an earlier one of
// the same job has been stored, and the refusal only if none may have been, as far as this node
// and the log know. An earlier one that another node has under way is not known.
func (s *Service) Refuse(ctx context.Context, id string, refusal error) error {
	underWay, _ := s.submissions.earlier(id, s.now())
	if underWay != nil {
		if err := underWay.await(ctx); mayBeStored(err) {
			return err
		}
	}
	return s.confirmRefusal(ctx, id, refusal)
}

// confirmRefusal returns nil instead of a refusal if the ledger has a submission of the job, and
// errEarlier if it may still get one through this node.
func (s *Service) confirmRefusal(ctx context.Context, id string, refusal error) error {
	if confirmedAt, ready := s.follower.ConfirmedAt(); !ready || s.now()-confirmedAt > maxReplicaAge {
		ctx, cancel := s.withTimeout(ctx, readTimeout)
		defer cancel()
		// While the log cannot be read, the refusal rests on what has been read.
		_ = s.follower.Refresh(ctx)
	}
	if s.Accepted(id) {
		return nil
	}
	if _, unsettled := s.submissions.earlier(id, s.now()); unsettled {
		return errEarlier
	}
	return refusal
}
