// Package feed follows a keyed topic of the platform's log and passes its records to a
// Sink. It first lists the newest record of each key and then tails the topic. Nodes use it
// to keep their replica of the ledger and their catalog of configuration and workers
// current.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/outage"
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
	// begins, unless the log refuses reads.
	ListTimeout time.Duration
	// Patient means that a listing after an unanswered one is awaited for longer; see
	// outage.Patient.
	Patient bool
	// StallTimeout is how long no more of a page may arrive. The whole page may take
	// longer: the largest one takes seconds over a slow link.
	StallTimeout time.Duration
	// RetryDelay is the delay after a failed call; it grows while the log refuses reads.
	RetryDelay time.Duration
	// RetryFloor returns the shortest typical delay after a refused call; nil means none.
	RetryFloor func() time.Duration
	// Superseding means that the newest record of each key is all that the sink needs, and that
	// records may be large: a follower that has fallen behind lists the topic if that is shorter.
	Superseding bool
	// ReadDelay returns the delay between two reads, which batches records.
	ReadDelay func() time.Duration
	// Now is a monotonic clock that also advances while the process is suspended.
	Now func() time.Duration
}

// Sink receives the records of a topic in log order. Its methods are not called
// concurrently.
type Sink interface {
	// Replace replaces all earlier records by a listing of the newest of each key. It may change
	// the slice.
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
	// reads and backlog decide how the follower goes on after failed reads.
	reads   outage.Reads
	backlog outage.Backlog
	// behind means that the last page did not reach the end of the topic.
	behind bool
	// listing means that Run lists the topic.
	listing bool
	// shared is the newest read made for callers of Refresh and AwaitConfirmed, nil if there is
	// none in flight, and sharing the number of those in flight.
	shared  *sharedRead
	sharing int

	failures, refusals, listings *metrics.Counter
}

// New returns a Follower. It reads nothing before Run is called.
func New(log backend.KeyedLog, s Settings, sink Sink) *Follower {
	return &Follower{log: log, settings: s, sink: sink, wake: make(chan struct{}, 1),
		failures: metrics.GetOrCreateCounter(`shallotpin_feed_failures_total{topic="` + s.Name + `"}`),
		refusals: metrics.GetOrCreateCounter(`shallotpin_feed_refusals_total{topic="` + s.Name + `"}`),
		listings: metrics.GetOrCreateCounter(`shallotpin_feed_listings_total{topic="` + s.Name + `"}`)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() == nil {
			f.recordOutcome(err)
		}
		delay := f.settings.ReadDelay()
		if err != nil {
			delay = f.retryDelay()
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

// retryDelay returns the delay after a failed read.
func (f *Follower) retryDelay() time.Duration {
	floor := time.Duration(0)
	if f.settings.RetryFloor != nil {
		floor = f.settings.RetryFloor()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads.Delay(f.settings.RetryDelay, floor, rand.Float64())
}

// outcome returns the outcome of a read that ended with err.
func outcome(err error) outage.Outcome {
	var logErr *backend.LogError
	var opErr *net.OpError
	switch {
	case err == nil:
		return outage.Answered
	case errors.As(err, &logErr) && logErr.Kind == backend.LogUnavailable && logErr.Verdict == api.NotRun && !errors.As(err, &opErr):
		return outage.Refused
	default:
		return outage.Failed
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
	backlog, age := f.backlog.Expected(f.confirmedAt, now), now-f.confirmedAt
	skip := ready && f.settings.Superseding && f.lastReadFailed && f.backlog.ListingIsShorter(backlog)
	list := !ready || skip
	read := &timedRead{sentAt: now, wait: wait}
	if !list {
		f.latency.tail = read
	}
	f.mu.Unlock()
	if skip {
		klog.InfoS("feed: listing the topic, which is shorter than what has not been read", "topic", f.settings.Name, "backlog_bytes", backlog, "age", age, "offset", from)
	}
	if list {
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
	timeout := max(f.settings.CallTimeout, min(callTimeoutFactor*f.latency.estimate, f.settings.MaxCallTimeout))
	return f.reads.AnswerTimeout(f.settings.Now(), timeout)
}

// listTimeout bounds the time until the reply to a call for one page of a listing begins.
func (f *Follower) listTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads.ListTimeout(f.settings.Now(), f.settings.ListTimeout, f.settings.Patient)
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
		f.recordGrowth(fresh)
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
	f.nextOffset, f.behind = next, !complete
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
	f.setListing(true)
	defer f.setListing(false)
	var records []backend.KeyedRecord
	sent, end, after := f.settings.Now(), int64(-1), ""
	for {
		callCtx, t := newTransfer(ctx, f.listTimeout(), f.settings.StallTimeout, nil)
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
	if _, ready := f.ConfirmedAt(); ready && f.NextOffset() > end {
		// A read beside the listing has applied newer records.
		return nil
	}
	f.recordListing(records)
	f.sink.Replace(records)
	f.advance(end, true, sent)
	return nil
}

func (f *Follower) setListing(listing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listing = listing
}

// recordGrowth records the sizes of records that have been read.
func (f *Follower) recordGrowth(records []backend.KeyedRecord) {
	if !f.settings.Superseding {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.settings.Now()
	for _, r := range records {
		f.backlog.Add(now, r.Key, len(r.Key)+len(r.Value))
	}
}

// recordListing records the sizes of the newest record of each key.
func (f *Follower) recordListing(records []backend.KeyedRecord) {
	f.listings.Inc()
	if !f.settings.Superseding {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backlog.Reset()
	for _, r := range records {
		f.backlog.List(r.Key, len(r.Key)+len(r.Value))
	}
}

// recordOutcome counts failed reads and logs the first failure and the first success
// after failures.
func (f *Follower) recordOutcome(err error) {
	o := outcome(err)
	if err != nil {
		f.failures.Inc()
	}
	if o == outage.Refused {
		f.refusals.Inc()
	}
	f.mu.Lock()
	f.reads.Observe(f.settings.Now(), o)
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
