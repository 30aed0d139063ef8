// Package feed follows a keyed topic of the platform's log and passes its records to a
// Sink. It first lists the newest record of each key and then tails the topic. Nodes use it
// to keep their replica of the ledger and their catalog of configuration and workers
// current.
package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// Settings configure a Follower.
type Settings struct {
	// Name is the name of the topic in logs and metrics.
	Name string
	// Wait is how long the log may hold a read until there is a record. Reads of a slow
	// log wait less, so that the sink is confirmed as often.
	Wait time.Duration
	// CallTimeout bounds, in addition to the wait, the time until the reply to a read
	// begins, and MaxCallTimeout that of a read of a slow log.
	CallTimeout, MaxCallTimeout time.Duration
	// ListTimeout bounds the time until the reply to a call for one page of a listing
	// begins.
	ListTimeout time.Duration
	// StallTimeout is how long no more of a page may arrive. The whole page may take
	// longer: the largest one takes seconds over a slow link.
	StallTimeout time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// ReadDelay returns the delay between two reads, which batches records.
	ReadDelay func() time.Duration
	// Now is a monotonic clock that also advances while the process is suspended.
	Now func() time.Duration
}

// Sink receives the records of a topic in log order. Its methods are not called
// concurrently.
type Sink interface {
	// Replace replaces all earlier records by a listing of the newest of each key.
	Replace(records []backend.KeyedRecord)
	// Apply adds new records.
	Apply(records []backend.KeyedRecord)
	// Confirmed is called after each listing and each read that reached the end of the
	// topic: the sink has every record that the topic held at the given time.
	Confirmed(at time.Duration)
}

// Follower follows a topic for a Sink. It is safe for concurrent use.
type Follower struct {
	log      backend.KeyedLog
	settings Settings
	sink     Sink
	wake     chan struct{}
	// awaiting holds a value while a call of AwaitConfirmed reads.
	awaiting chan struct{}

	// sinkMu is held while the sink is called.
	sinkMu sync.Mutex
	// mu guards the fields below it, and is not held while the sink is called.
	mu sync.Mutex
	// nextOffset is the offset after the last record applied.
	nextOffset int64
	// ready means that the topic has been listed and need not be listed again.
	ready          bool
	confirmedAt    time.Duration
	lastReadFailed bool
	// latency estimates the latency of the log from the reads of Run.
	latency latencyEstimator

	failures *metrics.Counter
}

// New returns a Follower. It reads nothing before Run is called.
func New(log backend.KeyedLog, s Settings, sink Sink) *Follower {
	return &Follower{log: log, settings: s, sink: sink, wake: make(chan struct{}, 1), awaiting: make(chan struct{}, 1),
		failures: metrics.GetOrCreateCounter(`shallotpin_feed_failures_total{topic="` + s.Name + `"}`)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.settings.RetryDelay
		err := f.step(ctx)
		if err == nil {
			delay = f.settings.ReadDelay()
		}
		if ctx.Err() == nil {
			f.recordOutcome(err)
		}
		if delay <= 0 {
			continue
		}
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-f.wake:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// ReadNow cuts the delay before the next read short.
func (f *Follower) ReadNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// ConfirmedAt returns the latest time as of which the sink is known to have every record of
// the topic. It returns false before the first listing and during a new one.
func (f *Follower) ConfirmedAt() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt, f.ready
}

// LastReadFailed reports whether Run's last read or listing failed.
func (f *Follower) LastReadFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadFailed
}

// NextOffset returns the offset after the last record applied.
func (f *Follower) NextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset
}

// Refresh reads without waiting, in addition to Run, until the sink has every record that
// the topic held when Refresh was called. Before the first listing it fails with a
// *backend.LogError.
func (f *Follower) Refresh(ctx context.Context) error { return f.readUntil(ctx, f.settings.Now()) }

// AwaitConfirmed reads without waiting, in addition to Run, until the sink has every record
// that the topic held at the given time. Concurrent calls share their reads. Failed reads
// are repeated until ctx ends.
func (f *Follower) AwaitConfirmed(ctx context.Context, at time.Duration) error {
	select {
	case f.awaiting <- struct{}{}:
		defer func() { <-f.awaiting }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		err := errArriving
		if !f.pageArriving() {
			err = f.readUntil(ctx, at)
		}
		if err == nil {
			return nil
		}
		select {
		case <-time.After(f.settings.RetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

var errArriving = errors.New("a page is arriving")

// pageArriving reports whether a page of Run's read is arriving. A second read of the same
// records would only delay it.
func (f *Follower) pageArriving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latency.tail != nil && f.latency.tail.begunAt != 0
}

// readUntil reads until the sink is confirmed as of the given time.
func (f *Follower) readUntil(ctx context.Context, at time.Duration) error {
	for {
		f.mu.Lock()
		ready, from, confirmedAt := f.ready, f.nextOffset, f.confirmedAt
		f.mu.Unlock()
		if !ready {
			return &backend.LogError{Kind: backend.LogUnavailable}
		}
		if confirmedAt >= at {
			return nil
		}
		records, err := f.read(ctx, from, 0, nil)
		if err != nil {
			return err
		}
		if f.NextOffset() == from && records > 0 {
			// The page does not continue at the requested offset.
			return &backend.LogError{Kind: backend.LogUnavailable, Cause: errors.New("read makes no progress")}
		}
	}
}

const (
	// slowWaitFactor is by how many latencies a read's wait is shortened: the sink is
	// confirmed again two latencies and a wait after the last time.
	slowWaitFactor = 2
	// minWait is the shortest wait, so that reads of a very slow log do not become polls.
	minWait = 100 * time.Millisecond
	// callTimeoutFactor is the timeout of a read in latencies.
	callTimeoutFactor = 3
)

// step makes one read, or lists the topic if that is needed.
func (f *Follower) step(ctx context.Context) error {
	now := f.settings.Now()
	f.mu.Lock()
	ready, from, wait := f.ready, f.nextOffset, max(f.settings.Wait-slowWaitFactor*f.latency.at(now), min(minWait, f.settings.Wait))
	if f.lastReadFailed {
		// A read without a wait shows soonest that the topic is reachable again.
		wait = 0
	}
	read := &timedRead{sentAt: now, wait: wait}
	if ready {
		f.latency.tail = read
	}
	f.mu.Unlock()
	if !ready {
		return f.list(ctx)
	}
	records, err := f.read(ctx, from, wait, read)
	f.mu.Lock()
	f.latency.tail = nil
	if err != nil {
		f.latency.failing = true
	} else {
		f.latency.answered(read, f.settings.Now(), records > 0)
	}
	f.mu.Unlock()
	var logErr *backend.LogError
	if errors.As(err, &logErr) && logErr.Kind == backend.LogTrimmed {
		klog.InfoS("feed: records were trimmed before they were read; listing the topic again", "topic", f.settings.Name, "offset", from)
		f.mu.Lock()
		f.ready = false
		f.mu.Unlock()
		return f.list(ctx)
	}
	return err
}

// callTimeout bounds the time until the reply to a read begins, in addition to its wait.
func (f *Follower) callTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.settings.CallTimeout, min(callTimeoutFactor*f.latency.estimate, f.settings.MaxCallTimeout))
}

// read reads one page from an offset, applies the records that are new, and returns how
// many records the page has. It records in timed, unless that is nil, when the reply begins.
func (f *Follower) read(ctx context.Context, from int64, wait time.Duration, timed *timedRead) (int, error) {
	sent := f.settings.Now()
	callCtx, t := newTransfer(ctx, wait+f.callTimeout(), f.settings.StallTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		timed.begin(f.settings.Now())
	})
	defer t.close()
	page, err := f.log.Read(callCtx, from, wait, t.progress)
	if err != nil {
		err = t.explain(callCtx, err)
		if t.received > 0 {
			klog.InfoS("feed: page arrived only in part", "topic", f.settings.Name, "offset", from, "received", t.received, "took", f.settings.Now()-sent, "err", err)
		}
		return 0, err
	}
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	// Reads of Run and Refresh may overlap; only new records are applied.
	fresh, next := page.Records, f.NextOffset()
	for len(fresh) > 0 && fresh[0].Offset < next {
		fresh = fresh[1:]
	}
	if len(fresh) > 0 && fresh[0].Offset == next {
		f.sink.Apply(fresh)
		next = fresh[len(fresh)-1].Offset + 1
	}
	if len(page.Records) == 0 && f.settings.Now()-sent >= wait {
		// The log held no new record when the wait ended.
		sent += wait
	}
	f.advance(next, next >= page.End, sent)
	return len(page.Records), nil
}

// advance records the offset up to which records have been applied and, if that is the
// end of the topic, that the sink is current as of sent. It must be called with sinkMu
// held.
func (f *Follower) advance(next int64, complete bool, sent time.Duration) {
	f.mu.Lock()
	f.nextOffset = next
	if complete {
		f.ready = true
		f.confirmedAt = max(f.confirmedAt, sent)
	}
	confirmedAt := f.confirmedAt
	f.mu.Unlock()
	if complete {
		f.sink.Confirmed(confirmedAt)
	}
}

// list replaces the sink's records by the newest record of each key. The pages of a
// listing are not a snapshot, so reading goes on at the end offset of the first page.
func (f *Follower) list(ctx context.Context) error {
	var records []backend.KeyedRecord
	sent, end, after := f.settings.Now(), int64(-1), ""
	for {
		callCtx, t := newTransfer(ctx, f.settings.ListTimeout, f.settings.StallTimeout, nil)
		page, err := f.log.Newest(callCtx, after, t.progress)
		t.close()
		if err != nil {
			return t.explain(callCtx, err)
		}
		if end < 0 {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.HasMore || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	slices.SortFunc(records, func(a, b backend.KeyedRecord) int { return int(a.Offset - b.Offset) })
	f.sinkMu.Lock()
	defer f.sinkMu.Unlock()
	f.sink.Replace(records)
	f.advance(end, true, sent)
	return nil
}

// recordOutcome counts failed reads and logs the first failure and the first success
// after failures.
func (f *Follower) recordOutcome(err error) {
	if err != nil {
		f.failures.Inc()
	}
	f.mu.Lock()
	unchanged := (err != nil) == f.lastReadFailed
	f.lastReadFailed = err != nil
	f.mu.Unlock()
	if unchanged {
		return
	}
	confirmedAt, _ := f.ConfirmedAt()
	if err != nil {
		klog.InfoS("feed: lost the topic", "topic", f.settings.Name, "err", err, "age", f.settings.Now()-confirmedAt, "offset", f.NextOffset())
		return
	}
	klog.InfoS("feed: following the topic", "topic", f.settings.Name, "offset", f.NextOffset())
}
