// Package intake accepts submissions and cancellations of jobs from callers and returns
// the phases of jobs, on any node. It is the first step in the path of a job: the leader
// schedules what intake has stored in the ledger.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/feed"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// storeTimeout bounds storing a record, including forwarding it: well within the
	// time that callers wait for an answer. A record for a slow log may take
	// slowStoreTimeout, if its caller waits as long.
	storeTimeout     = 1800 * time.Millisecond
	slowStoreTimeout = 2700 * time.Millisecond
	// writerTimeout is how long the writing node may take to store a record before this
	// node writes to the log, too.
	writerTimeout = 250 * time.Millisecond
	// slowLogLatency is the latency from which the log counts as slow, a dozen times the
	// usual one. A slow log takes few appends a second, so that each record is then given
	// to one node only, which batches it with others.
	slowLogLatency = 50 * time.Millisecond
	// lateAnswerDelay is how long the writing node may take before the log's latency is
	// checked, and slowLogCheckInterval the time between two looks at the result.
	lateAnswerDelay      = 100 * time.Millisecond
	slowLogCheckInterval = 200 * time.Millisecond
	// localTimeout bounds this node's write to a log that is not slow, before the record
	// is forwarded: many times the usual latency of the log.
	localTimeout = 600 * time.Millisecond
	// readTimeout bounds a refresh of the replica for a caller, unless the log is slow.
	readTimeout = 500 * time.Millisecond
	// phaseHedgeDelay is how long a refresh may take before other nodes are asked, too: a
	// dozen times the usual latency of the log.
	phaseHedgeDelay = 50 * time.Millisecond
	// maxReplicaAge is the age up to which the replica may answer queries for jobs that
	// are unknown or have not ended. The phase of an ended job is final at any age.
	maxReplicaAge = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay that rejected callers are asked to
	// keep before they retry.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// outageTimeout is how long a write to the log may take before the log counts as
	// unreachable: a hundred times its usual latency.
	outageTimeout = 400 * time.Millisecond
)

// Forwarder forwards records to the node that writes for all, and requests to other nodes
// while this one cannot reach the log.
type Forwarder interface {
	// StoreAtWriter is Store through the one node that writes the records of all nodes
	// while it works. It fails with ErrNoWriter if that is this node or none, and with the code
	// api.CodeOverloaded if the nodes cannot hold the claim.
	StoreAtWriter(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error
	// Store makes another node add a record to the log, which makes each node hold c. An
	// *api.Error says by its verdict whether one may have done so.
	Store(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error
	// Phase returns a job's phase, empty if there is no such job.
	Phase(ctx context.Context, id string) (ledger.Phase, error)
}

// ErrNoWriter means that no other node writes records for this one.
var ErrNoWriter = api.Errorf(api.CodeUnavailable, "no other node writes for this one")

// follower is what the intake uses of a feed.Follower.
type follower interface {
	ConfirmedAt() (time.Duration, bool)
	LastReadFailed() bool
	NextOffset() int64
	Refresh(ctx context.Context) error
}

// Service is the intake of a node. It is safe for concurrent use.
type Service struct {
	forwarder Forwarder
	replica   *ledger.Replica
	follower  follower
	// writer is this node's own. leaderWriter returns that of the leader's term while this
	// node leads, else nil: a node has one append at a time for all of its records.
	writer       *ledger.Appender
	leaderWriter func() *ledger.Appender
	// stored is called with each record that leaderWriter has added.
	stored func(backend.KeyedRecord)
	// checkLatency makes the writer's estimate of the log's latency show the present one.
	checkLatency func()
	submissions  submissions
	now          func() time.Duration
	unixMS       func() int64
	// maxRecordBytes returns the log's limit of a record, 0 if it has none.
	maxRecordBytes func() int
	// latency is that of successful writes, in seconds.
	latency *metrics.Histogram
}

// New returns the intake of a node, whose replica is kept current by f.
func New(replica *ledger.Replica, f *feed.Follower, writer *ledger.Appender, leaderWriter func() *ledger.Appender, stored func(backend.KeyedRecord), checkLatency func(), forwarder Forwarder, maxRecordBytes func() int, now func() time.Duration, unixMS func() int64) *Service {
	return &Service{forwarder: forwarder, maxRecordBytes: maxRecordBytes, replica: replica, follower: f, writer: writer, leaderWriter: leaderWriter, stored: stored, checkLatency: checkLatency, now: now, unixMS: unixMS, latency: metrics.GetOrCreateHistogram("shallotpin_intake_write_seconds")}
}

// tooLarge counts the jobs that were refused for the size of their records.
var tooLarge = metrics.NewCounter("shallotpin_jobs_too_large_total")

// Submit stores a job. The verdict of an *api.Error says whether the job may have been, or
// may still be, stored. Repeating a submission is harmless.
func (s *Service) Submit(ctx context.Context, job *workload.Job) error {
	if err := job.Validate(); err != nil {
		return api.Errorf(api.CodeInvalid, "%v", err)
	}
	for {
		if s.Accepted(job.ID) {
			return nil
		}
		earlier := s.submissions.begin(job.ID)
		if earlier == nil {
			break
		}
		if err := earlier.await(ctx); mayBeStored(err) {
			return err
		}
	}
	err := s.store(ctx, job)
	s.submissions.end(job.ID, err, s.now())
	s.logOutcome("submission", job.ID, err)
	return err
}

// store adds a job to the ledger. The verdict of an error is that of Submit.
func (s *Service) store(ctx context.Context, job *workload.Job) error {
	limit := s.maxRecordBytes()
	r, fits := ledger.JobRecordWithin(job, limit)
	if !fits {
		klog.InfoS("intake: job refused, its record is too large for the log", "job", job.ID, "account", job.Account, "steps", len(job.Steps), "compressed", len(r.Value), "limit", limit)
		tooLarge.Inc()
		return &api.Error{Code: api.CodeTooLarge, Message: "the job is too large to be stored", Verdict: api.NotRun}
	}
	err := s.write(ctx, r, occupancy.Claim{Job: job.ID, Account: job.Account, Bytes: occupancy.JobBytes(job, len(r.Value))})
	if isOccupied(err) {
		err = s.confirmRefusal(ctx, job.ID, err)
	} else if _, unsettled := s.submissions.earlier(job.ID, s.now()); unsettled && !mayBeStored(err) {
		err = errEarlier
	}
	return err
}

// CanAccept returns an error for the caller if not even the smallest job of a client account can be
// accepted.
func (s *Service) CanAccept(id, account string) error {
	c := occupancy.Claim{Job: id, Account: account, Bytes: occupancy.EntryBytes}
	if ok, occupied := s.replica.Admits(c, s.now()); !ok {
		return refuseOccupied(c, occupied)
	}
	return nil
}

// Accepted reports whether the ledger, as far as it is known here, has a submission of the job; a
// further one changes nothing.
func (s *Service) Accepted(id string) bool {
	e, known := s.replica.Job(id)
	if !known || !e.WasSubmitted() {
		return false
	}
	klog.InfoS("intake: submission repeated", "job", id, "phase", e.Phase())
	return true
}

// Cancel stores a job's cancellation by a client account, unless the job has ended, and reports
// whether the job is known.
func (s *Service) Cancel(ctx context.Context, id, account string) (bool, error) {
	if !workload.IsJobID(id) {
		// No job can have it, and a record of it may exceed the log's limit of a key.
		klog.V(1).InfoS("intake: cancellation of an invalid job ID", "bytes", len(id), "account", account)
		return false, nil
	}
	phase, err := s.Phase(ctx, id)
	if err != nil {
		return false, err
	}
	if phase.Ended() {
		return true, nil
	}
	if phase != "" {
		err = s.write(ctx, ledger.CancelRecord(id, s.unixMS(), ""), occupancy.Claim{})
	} else {
		// The submission of an unknown job may still arrive; the job must not run then.
		err = s.write(ctx, ledger.CancelRecord(id, s.unixMS(), account), occupancy.Claim{Job: id, Account: account, Bytes: occupancy.EntryBytes})
	}
	s.logOutcome("cancellation", id, err)
	return phase != "", err
}

// Phase returns a job's phase, or an empty one if no such job exists. A node that cannot
// read the log, or not at once, asks others, since its own replica would show a job as
// running long after its end. If no node can read the log, the last phase read is returned.
func (s *Service) Phase(ctx context.Context, id string) (ledger.Phase, error) {
	if phase, fresh := s.freshPhase(id); fresh {
		return phase, nil
	}
	type answer struct {
		phase ledger.Phase
		err   error
	}
	local, others := make(chan answer, 1), make(chan answer, 1)
	go func() {
		phase, err := s.LocalPhase(ctx, id)
		local <- answer{phase, err}
	}()
	askOthers := func(cause error) {
		go func() {
			phase, err := s.forwarder.Phase(ctx, id)
			klog.InfoS("intake: asked another node for a job's phase", "job", id, "phase", phase, "cause", cause, "err", err)
			others <- answer{phase, err}
		}()
	}
	hedge := time.NewTimer(phaseHedgeDelay)
	defer hedge.Stop()
	for waiting, asked := 1, false; waiting > 0; {
		select {
		case a := <-local:
			if a.err == nil {
				return a.phase, nil
			}
			if waiting--; !asked {
				asked, waiting = true, waiting+1
				askOthers(a.err)
			}
		case a := <-others:
			if a.err == nil {
				return a.phase, nil
			}
			waiting--
		case <-hedge.C:
			if !asked {
				asked, waiting = true, waiting+1
				askOthers(errReadLate)
			}
		case <-ctx.Done():
			waiting = 0
		}
	}
	if e, known := s.replica.Job(id); known && e.WasSubmitted() {
		// Phases only advance, so the job has at least reached the last one read.
		return e.Phase(), nil
	}
	return "", &api.Error{Code: api.CodeUnavailable, Message: "the log cannot be read", RetryAfter: minRetryAfter}
}

var (
	errStale    = errors.New("the replica of the ledger is out of date: the last read of the log failed")
	errReadLate = errors.New("the replica of the ledger is out of date: a read of the log takes long")
)

// freshPhase returns a job's phase if the replica is recent enough to tell it.
func (s *Service) freshPhase(id string) (ledger.Phase, bool) {
	// The replica is looked at last: a listing or a page that is applied between the two makes
	// it newer than confirmedAt, never older.
	confirmedAt, ready := s.follower.ConfirmedAt()
	e, known := s.replica.Job(id)
	known = known && e.WasSubmitted()
	if !ready || s.now()-confirmedAt > maxReplicaAge && !(known && e.Phase().Ended()) {
		return "", false
	}
	if !known {
		return "", true
	}
	return e.Phase(), true
}

// LocalPhase is Phase without asking other nodes. It refreshes the replica if needed and
// returns an error if the log cannot be read.
func (s *Service) LocalPhase(ctx context.Context, id string) (ledger.Phase, error) {
	if phase, fresh := s.freshPhase(id); fresh {
		return phase, nil
	}
	if s.follower.LastReadFailed() {
		return "", errStale
	}
	ctx, cancel := s.withTimeout(ctx, readTimeout)
	defer cancel()
	if err := s.follower.Refresh(ctx); err != nil {
		return "", err
	}
	if e, known := s.replica.Job(id); known && e.WasSubmitted() {
		return e.Phase(), nil
	}
	return "", nil
}

// Pending returns the number of a queue's jobs of which no task has started, as
// ledger.Replica.Pending.
func (s *Service) Pending(queue string) int { return s.replica.Pending(queue) }

// write stores a record through the writing node, which batches the records of all nodes,
// since the log takes one append after the other. If that node fails to, or takes long, the
// record is stored through this node or, if that fails, through another one.
// A record whose claim the nodes cannot hold is refused.
func (s *Service) write(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error {
	started := s.now()
	if ok, occupied := s.replica.Admits(c, started); !ok {
		return refuseOccupied(c, occupied)
	}
	ctx, cancel := s.withTimeout(ctx, storeTimeout)
	defer cancel()
	byWriter := make(chan error, 1)
	go func() {
		// Calls to a node share a connection, which ends with a cancelled call, so that
		// the call goes on when the record has been stored otherwise.
		ctx, cancel := s.withTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer cancel()
		byWriter <- s.forwarder.StoreAtWriter(ctx, r, c)
	}()
	err := s.awaitWriter(ctx, r, c, byWriter)
	if err == nil {
		s.latency.Update((s.now() - started).Seconds())
		return nil
	}
	if isOccupied(err) {
		return err
	}
	if e := api.AsError(err, api.MayHaveRun); e.Verdict != api.NotRun {
		return &api.Error{Code: api.CodeTimeout, Message: "it is not known whether the log took the record", Verdict: api.MayHaveRun, RetryAfter: minRetryAfter}
	}
	return &api.Error{Code: api.CodeUnavailable, Message: "the log does not take the record", Verdict: api.NotRun, RetryAfter: s.retryAfter()}
}

// awaitWriter waits for the result of the writing node, and stores the record directly if
// that node fails or, unless the log is slow, takes longer than writerTimeout.
func (s *Service) awaitWriter(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim, byWriter <-chan error) error {
	late := time.AfterFunc(lateAnswerDelay, s.checkLatency)
	defer late.Stop()
	timeout := time.NewTimer(writerTimeout)
	defer timeout.Stop()
	for {
		select {
		case err := <-byWriter:
			if err == nil || isOccupied(err) {
				return err
			}
			return leastCertain(err, s.writeDirectly(ctx, r, c, err))
		case <-ctx.Done():
			return errWriterSlow
		case <-timeout.C:
			if s.isLogSlow() {
				timeout.Reset(slowLogCheckInterval)
				continue
			}
			err := s.writeDirectly(ctx, r, c, errWriterSlow)
			if err == nil {
				return nil
			}
			select {
			case writerErr := <-byWriter:
				return leastCertain(writerErr, err)
			case <-ctx.Done():
				return leastCertain(errWriterSlow, err)
			}
		}
	}
}

// withTimeout returns a context that ends after the timeout or, if the log turns out to be
// slow by then, after slowStoreTimeout.
func (s *Service) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, slowStoreTimeout)
	timer := time.AfterFunc(timeout, func() {
		if !s.isLogSlow() {
			cancel()
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// isLogSlow reports whether the log answers, but slowly.
func (s *Service) isLogSlow() bool { return s.writer.TypicalLatency() >= slowLogLatency }

// errWriterSlow is the result of a call to the writing node that is not answered yet.
var errWriterSlow = &api.Error{Code: api.CodeTimeout, Message: "the writing node has not answered yet", Verdict: api.MayHaveRun}

// leastCertain returns the result of two attempts to store a record: nil if any succeeded,
// and an error with the verdict not-run only if neither may have added the record.
func leastCertain(a, b error) error {
	if a == nil || b == nil {
		return nil
	}
	if api.AsError(a, api.MayHaveRun).Verdict != api.NotRun {
		return a
	}
	return b
}

// writeDirectly stores a record through this node or, if that fails, through another one.
// cause is why the writing node has not stored it.
func (s *Service) writeDirectly(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim, cause error) error {
	if cause != ErrNoWriter {
		klog.InfoS("intake: record not stored by the writing node", "key", r.Key, "err", cause)
		if s.isLogSlow() {
			return errNotSent
		}
	}
	err := s.writeLocally(ctx, r, c)
	if err == nil || s.isLogSlow() || isOccupied(err) {
		return err
	}
	// Both nodes may add the record; applying it twice is harmless.
	forwardErr := s.forwarder.Store(ctx, r, c)
	klog.InfoS("intake: passed a record to another node", "key", r.Key, "cause", err, "err", forwardErr)
	return leastCertain(err, forwardErr)
}

// errNotSent means that this node has not sent a record to the log.
var errNotSent = api.Errorf(api.CodeUnavailable, "the log is slow, and the writing node has not stored the record")

// retryAfter returns the delay after which rejected callers may retry. During a log outage
// it is as long as the outage has lasted so far, since the outage is likely to last as long
// again; callers that retry sooner would use up their few retries before its end.
func (s *Service) retryAfter() time.Duration {
	return min(max(minRetryAfter, s.localWriter().OutageDuration(outageTimeout)), maxRetryAfter)
}

// StoreLocally adds a record that another node has forwarded.
func (s *Service) StoreLocally(r backend.KeyedRecord, c occupancy.Claim) error {
	return s.writeLocally(context.Background(), r, c)
}

// localWriter returns the writer for records that this node adds to the log.
func (s *Service) localWriter() *ledger.Appender {
	if w := s.leaderWriter(); w != nil {
		return w
	}
	return s.writer
}

// writeLocally adds a record to the log from this node.
func (s *Service) writeLocally(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error {
	writer := s.localWriter()
	if outage := writer.OutageDuration(outageTimeout); outage > 0 || s.follower.LastReadFailed() {
		// A write would only wait, so none is sent and the verdict is certain.
		return &api.Error{Code: api.CodeUnavailable, Message: fmt.Sprintf("the log is unreachable: the last read failed, or writes have been failing (for %s)", outage), Verdict: api.NotRun}
	}
	if ok, occupied := s.replica.Reserve(c, s.now()); !ok {
		return refuseOccupied(c, occupied)
	}
	ctx, cancel := s.withTimeout(ctx, localTimeout)
	defer cancel()
	_, err := writer.Write(ctx, r)
	if err == nil {
		if writer != s.writer {
			s.stored(r)
		}
		return nil
	}
	var logErr *backend.LogError
	if errors.As(err, &logErr) && logErr.Verdict == api.NotRun {
		s.replica.CancelReservation(c.Job)
		return &api.Error{Code: api.CodeUnavailable, Message: logErr.Error(), Verdict: api.NotRun}
	}
	return &api.Error{Code: api.CodeTimeout, Message: err.Error(), Verdict: api.MayHaveRun}
}

func (s *Service) logOutcome(what, id string, err error) {
	if err == nil {
		klog.InfoS("intake: stored", "what", what, "job", id, "offset", s.follower.NextOffset())
		return
	}
	if isOccupied(err) {
		// refuseOccupied has logged it, or the writing node has.
		return
	}
	confirmedAt, _ := s.follower.ConfirmedAt()
	klog.InfoS("intake: not stored", "what", what, "job", id, "err", err, "verdict", api.AsError(err, api.MayHaveRun).Verdict, "log_age", s.now()-confirmedAt)
}
