package ledger

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// AppenderSettings configure an Appender.
type AppenderSettings struct {
	// Producer and Epoch identify the writer to the log, which fences the epochs of a
	// producer below the highest one.
	Producer string
	Epoch    int64
	// NextSequence is the sequence number of the first append.
	NextSequence int64
	// CallTimeout bounds one call to the log, including the repeats sent in parallel.
	CallTimeout time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// BatchDelay is how long to wait for further records before a call.
	BatchDelay time.Duration
	// MaxBatchBytes bounds the records of one call; a larger Write has a call of its own.
	MaxBatchBytes int
	// LinkRate is the rate of the link to the log in bytes per second, 0 if unknown. It
	// bounds the records of one call further, so that they arrive in time.
	LinkRate int
	// LogLatency returns an estimate of the log's latency from other calls than the
	// Appender's, for example from reads.
	LogLatency func() time.Duration
	// CheckLatency makes LogLatency soon show the present latency. It is called while the
	// answer to a call is late: from it follows whether the log is slow or has lost the
	// answer.
	CheckLatency func()
	// Now is a monotonic clock that also advances while the process is suspended.
	Now func() time.Duration
}

// linkTimeDivisor is the part of the call timeout that sending a batch may take: the link is
// shared with repeats and with what others send.
const linkTimeDivisor = 4

// maxBatch returns the bound on the records of one call in bytes.
func (s *AppenderSettings) maxBatch() int {
	if s.LinkRate <= 0 {
		return s.MaxBatchBytes
	}
	return min(s.MaxBatchBytes, int(int64(s.LinkRate)*s.CallTimeout.Milliseconds()/1000/linkTimeDivisor))
}

// sendTime returns how long sending records takes if nothing else uses the link.
func (s *AppenderSettings) sendTime(records []backend.KeyedRecord) time.Duration {
	if s.LinkRate <= 0 {
		return 0
	}
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return time.Duration(size) * time.Second / time.Duration(s.LinkRate)
}

var repeatsTotal = metrics.GetOrCreateCounter("shallotpin_log_repeats_total")

// Appender writes records to a keyed log in order, batching them into calls. A call whose
// outcome is unknown is repeated under its sequence number until the outcome is known, so
// that its records are added exactly once. An Appender is safe for concurrent use.
type Appender struct {
	log      backend.KeyedLog
	settings AppenderSettings
	wake     chan struct{}

	mu    sync.Mutex
	queue []*pendingWrite
	// failed is the error of all writes once Run has ended, else nil.
	failed error
	// failingSince is when the first of the latest consecutive failed calls was sent, 0
	// if the last call succeeded.
	failingSince time.Duration
	// inFlightSince is when the call in flight was sent, 0 if there is none.
	inFlightSince time.Duration
	// lastCallEnd is when the last call ended.
	lastCallEnd time.Duration
	// latency is the typical latency of successful calls.
	latency time.Duration
}

// pendingWrite is a call to Write whose records have not been added yet.
type pendingWrite struct {
	records []backend.KeyedRecord
	bytes   int
	done    chan struct{}
	err     error
	sent    time.Duration
	// mayBeAdded means that a call with these records is in flight or has an unknown
	// outcome.
	mayBeAdded bool
	// unsettledBefore means that mayBeAdded was set before the present call.
	unsettledBefore bool
	withdrawn       bool
	// maxBatch is the number of writes with which the log may be given this one, 0 if it has not
	// refused them as invalid.
	maxBatch int
}

// mayJoin reports whether the write may be added to a batch that begins with first and has n writes.
func (w *pendingWrite) mayJoin(first *pendingWrite, n int) bool {
	return w.maxBatch == first.maxBatch && (w.maxBatch == 0 || n < w.maxBatch)
}

// NewAppender returns an Appender. Writes wait until Run is called.
func NewAppender(log backend.KeyedLog, s AppenderSettings) *Appender {
	return &Appender{log: log, settings: s, wake: make(chan struct{}, 1)}
}

// Write adds records and returns the time at which the call that added them was sent. An
// error is or wraps a *backend.LogError, whose verdict says whether the records may have
// been added or, if Write returned because ctx ended, may still be added.
func (a *Appender) Write(ctx context.Context, records ...backend.KeyedRecord) (time.Duration, error) {
	w := &pendingWrite{records: records, done: make(chan struct{})}
	for _, r := range records {
		w.bytes += len(r.Key) + len(r.Value)
	}
	a.mu.Lock()
	if a.failed != nil {
		defer a.mu.Unlock()
		return 0, a.failed
	}
	a.queue = append(a.queue, w)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
		return w.sent, w.err
	case <-ctx.Done():
		return 0, a.withdraw(w, ctx.Err())
	}
}

// withdraw removes a write whose caller has given up, unless a call with its records is
// in flight or has an unknown outcome. It returns the error for the caller.
func (a *Appender) withdraw(w *pendingWrite, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	default:
	}
	if w.mayBeAdded {
		return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: cause}
	}
	w.withdrawn = true
	return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: cause}
}

// OutageDuration returns for how long calls to the log have failed or stayed unanswered; 0
// means that a write is worth trying. timeout is how long a call may be in flight before
// it counts as unanswered, and how long after the last failed call a write is worth trying
// again. It is raised for a log whose typical latency is high.
func (a *Appender) OutageDuration(timeout time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	// A slow log is not an outage.
	timeout = max(timeout, repeatLatencyFactor*a.typicalLatency())
	switch {
	case a.failingSince != 0 && (a.inFlightSince != 0 || len(a.queue) > 0 || now-a.lastCallEnd < timeout):
		return now - a.failingSince
	case a.inFlightSince != 0 && now-a.inFlightSince > timeout:
		return now - a.inFlightSince
	}
	return 0
}

// Run writes until ctx ends or the log rejects the producer's epoch or sequence number.
// All pending and later writes then fail.
func (a *Appender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return a.fail(ctx.Err())
		case <-a.wake:
		}
		if !sleep(ctx, a.settings.BatchDelay) {
			return a.fail(ctx.Err())
		}
		if err := a.drain(ctx); err != nil {
			return a.fail(err)
		}
	}
}

// drain writes the queued records until the queue is empty.
func (a *Appender) drain(ctx context.Context) error {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		for {
			if batch = a.claim(batch); len(batch) == 0 {
				break
			}
			repeat, err := a.call(ctx, batch)
			if err == nil && repeat && !sleep(ctx, a.settings.RetryDelay) {
				err = ctx.Err()
			}
			if err != nil {
				a.finish(batch, 0, abandonedError(batch, err))
				return err
			}
			if !repeat {
				// Writes that follow from this one join the next batch.
				if !sleep(ctx, min(a.TypicalLatency()/joinLatencyDivisor, maxJoinDelay)) {
					return ctx.Err()
				}
				break
			}
			// Nothing of the batch was added, so withdrawn writes may be left out and
			// later ones included.
			if !mayBeAdded(batch) {
				a.requeue(batch)
				if batch = a.nextBatch(); len(batch) == 0 {
					return nil
				}
			}
		}
	}
}

// abandonedError returns the error of a batch that is not repeated any more.
func abandonedError(batch []*pendingWrite, cause error) error {
	e := &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: cause}
	if mayBeAdded(batch) {
		e.Verdict = api.MayHaveRun
	}
	return e
}

// mayBeAdded reports whether the outcome of a call with the batch is unknown. That is the
// same for all writes of a batch, since only a batch with no such call is changed.
func mayBeAdded(batch []*pendingWrite) bool { return batch[0].mayBeAdded }

// claim removes the withdrawn writes of a batch that is about to be sent: their callers have
// been told that nothing was added. The others cannot be withdrawn any more, unless the log
// refuses them. A batch that may have been added is sent again as it was.
func (a *Appender) claim(batch []*pendingWrite) []*pendingWrite {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !mayBeAdded(batch) {
		batch = slices.DeleteFunc(batch, func(w *pendingWrite) bool { return w.withdrawn })
	}
	for _, w := range batch {
		w.unsettledBefore = w.mayBeAdded
		w.mayBeAdded = true
	}
	return batch
}

// call sends a batch under the next sequence number and reports whether it must be sent
// again. An error means that the Appender cannot go on.
func (a *Appender) call(ctx context.Context, batch []*pendingWrite) (repeat bool, err error) {
	write := backend.KeyedAppend{Producer: a.settings.Producer, Epoch: a.settings.Epoch, Sequence: a.settings.NextSequence, ExpectedEnd: -1}
	a.mu.Lock()
	mayBeAddedBefore := batch[0].unsettledBefore
	for _, w := range batch {
		write.Records = append(write.Records, w.records...)
	}
	sent := a.settings.Now()
	a.inFlightSince = sent
	a.mu.Unlock()
	latency, err := a.send(ctx, write)
	var logErr *backend.LogError
	errors.As(err, &logErr)
	a.recordCall(sent, latency, len(write.Records), err)
	switch {
	case err == nil:
		a.settings.NextSequence++
		a.finish(batch, sent, nil)
		return false, nil
	case ctx.Err() != nil:
		return false, ctx.Err()
	case logErr != nil && (logErr.Kind == backend.LogFenced || logErr.Kind == backend.LogWrongSequence):
		return false, err
	case logErr != nil && logErr.Kind == backend.LogInvalid && !mayBeAddedBefore && len(batch) > 1:
		a.split(batch)
		return false, nil
	case logErr != nil && logErr.Kind == backend.LogInvalid && !mayBeAddedBefore:
		a.logInvalid(batch[0], err)
		a.finish(batch, sent, err)
		return false, nil
	case logErr != nil && logErr.Verdict == api.NotRun && !mayBeAddedBefore:
		a.mu.Lock()
		for _, w := range batch {
			w.mayBeAdded = false
		}
		a.mu.Unlock()
	}
	return true, nil
}

// split queues the writes of a batch that the log has refused as invalid again, in two batches: one
// invalid write must not fail the others.
func (a *Appender) split(batch []*pendingWrite) {
	klog.InfoS("ledger: records refused as invalid, written in parts", "producer", a.settings.Producer, "writes", len(batch))
	a.mu.Lock()
	for _, w := range batch {
		w.mayBeAdded, w.maxBatch = false, (len(batch)+1)/2
	}
	a.mu.Unlock()
	a.requeue(batch)
}

var invalidWrites = metrics.NewCounter("shallotpin_log_invalid_writes_total")

// logInvalid records that the log has refused a write as invalid.
func (a *Appender) logInvalid(w *pendingWrite, err error) {
	invalidWrites.Inc()
	largest := slices.MaxFunc(w.records, func(x, y backend.KeyedRecord) int {
		return cmp.Compare(len(x.Key)+len(x.Value), len(y.Key)+len(y.Value))
	})
	klog.InfoS("ledger: write refused as invalid", "producer", a.settings.Producer, "records", len(w.records), "bytes", w.bytes, "largest_key", largest.Key[:min(len(largest.Key), maxLoggedKey)], "key_bytes", len(largest.Key), "value_bytes", len(largest.Value), "err", err)
}

// maxLoggedKey limits what is logged of a key, in bytes.
const maxLoggedKey = 64

const (
	// After a call, the next one waits for a share of the latency, 1/joinLatencyDivisor and
	// at most maxJoinDelay, so that writes that follow from the result need not wait for
	// the end of another call.
	joinLatencyDivisor = 8
	maxJoinDelay       = 30 * time.Millisecond
	// minRepeatDelay is the shortest time without an answer after which a call is
	// repeated: some ten times the usual latency of the log.
	minRepeatDelay = 100 * time.Millisecond
	// lateAnswerDelay is the time without an answer after which the log's latency is
	// checked, to tell a slow log from a lost answer.
	lateAnswerDelay = 25 * time.Millisecond
	// repeatLatencyFactor raises that time to a multiple of the log's typical latency.
	repeatLatencyFactor = 4
	// latencyDecay sets how slowly the typical latency falls: each faster call lowers it
	// by 1/latencyDecay of the difference.
	latencyDecay = 8
	// maxLatencyAge is how long after the last call its latency counts as typical.
	maxLatencyAge = 3 * time.Second
	// maxRepeats bounds how often a call is repeated within its timeout; the delay
	// doubles each time.
	maxRepeats = 4
	// maxTimeoutFactor limits the timeout of a call to a slow log, as a multiple of
	// AppenderSettings.CallTimeout.
	maxTimeoutFactor = 2
)

// send makes a call and, while there is no answer, sends repeats of it in parallel. It
// returns the first answer that settles the outcome, and its latency. Repeats get an
// answer from a log that loses answers; leaving the first call in flight gets the earliest
// answer from a slow log.
func (a *Appender) send(ctx context.Context, write backend.KeyedAppend) (time.Duration, error) {
	repeatDelay := repeatLatencyFactor * a.TypicalLatency()
	ctx, cancel := context.WithTimeout(ctx, max(a.settings.CallTimeout, min(repeatDelay, maxTimeoutFactor*a.settings.CallTimeout)))
	defer cancel()
	type answer struct {
		latency time.Duration
		err     error
	}
	answers := make(chan answer, maxRepeats+1)
	sent, inFlight := 0, 0
	call := func() {
		sent, inFlight = sent+1, inFlight+1
		began := a.settings.Now()
		go func() {
			_, err := a.log.Append(ctx, write)
			answers <- answer{a.settings.Now() - began, err}
		}()
	}
	delay := max(minRepeatDelay, repeatDelay) + 2*a.settings.sendTime(write.Records)
	repeat := time.NewTimer(delay)
	defer repeat.Stop()
	late := time.AfterFunc(lateAnswerDelay, a.settings.CheckLatency)
	defer late.Stop()
	began := a.settings.Now()
	call()
	var unsettled error
	for {
		select {
		case got := <-answers:
			inFlight--
			var e *backend.LogError
			if got.err == nil || errors.As(got.err, &e) && (e.Kind == backend.LogFenced || e.Kind == backend.LogWrongSequence) {
				return got.latency, got.err
			}
			// One call without a known outcome leaves the outcome of all unknown.
			if unsettled == nil || e == nil || e.Verdict != api.NotRun {
				unsettled = got.err
			}
			if inFlight == 0 {
				return 0, unsettled
			}
		case <-repeat.C:
			if wait := repeatLatencyFactor*a.TypicalLatency() - (a.settings.Now() - began); wait > 0 {
				// The log has turned out to be slow.
				repeat.Reset(max(wait, lateAnswerDelay))
			} else if sent <= maxRepeats {
				repeatsTotal.Inc()
				call()
				delay *= 2
				repeat.Reset(delay)
			}
		}
	}
}

// TypicalLatency returns an estimate of the log's latency. It follows a rise at once and
// a fall gradually.
func (a *Appender) TypicalLatency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.typicalLatency()
}

// typicalLatency is TypicalLatency; it must be called with mu held.
func (a *Appender) typicalLatency() time.Duration {
	if a.settings.Now()-a.lastCallEnd > maxLatencyAge {
		// The last call may have been made under another load, for example while the site
		// started.
		return a.settings.LogLatency()
	}
	return max(a.latency, a.settings.LogLatency())
}

// recordCall records the end of a call, and its latency if it succeeded. It logs the first
// failure and the first success after failures.
func (a *Appender) recordCall(sent, latency time.Duration, records int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlightSince = 0
	a.lastCallEnd = a.settings.Now()
	if err == nil {
		if a.failingSince != 0 {
			klog.InfoS("ledger: writes succeed again", "producer", a.settings.Producer, "failing", a.lastCallEnd-a.failingSince, "latency", latency, "records", records)
		}
		a.latency, a.failingSince = max(latency, a.latency+(latency-a.latency)/latencyDecay), 0
		return
	}
	if a.failingSince == 0 {
		a.failingSince = sent
		klog.InfoS("ledger: writes fail", "producer", a.settings.Producer, "took", a.lastCallEnd-sent, "latency", a.typicalLatency(), "records", records, "err", err)
	}
}

func (a *Appender) finish(batch []*pendingWrite, sent time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range batch {
		w.sent, w.err = sent, err
		close(w.done)
	}
}

// nextBatch removes the next batch from the queue, leaving out withdrawn writes.
func (a *Appender) nextBatch() []*pendingWrite {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*pendingWrite
	size, used := 0, 0
	for _, w := range a.queue {
		if len(batch) > 0 && (size+w.bytes > a.settings.maxBatch() || !w.mayJoin(batch[0], len(batch))) {
			break
		}
		used++
		if w.withdrawn {
			continue
		}
		size += w.bytes
		batch = append(batch, w)
	}
	a.queue = a.queue[used:]
	return batch
}

func (a *Appender) requeue(batch []*pendingWrite) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(append([]*pendingWrite(nil), batch...), a.queue...)
}

// fail fails all queued and later writes with err.
func (a *Appender) fail(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: err}
	var logErr *backend.LogError
	if errors.As(err, &logErr) {
		a.failed = logErr
	}
	for _, w := range a.queue {
		if !w.withdrawn {
			w.err = a.failed
			close(w.done)
		}
	}
	a.queue = nil
	return err
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
