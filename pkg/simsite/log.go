// Package simsite provides in-memory fakes of the platform for tests of entry
// nodes: the keyed log and a fleet of workers, both with fault injection. It uses
// package time, so that a testing/synctest bubble controls its clocks.
package simsite

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// LogFault selects how the calls of a client to the log fail.
type LogFault int

const (
	// LogHealthy executes calls and replies.
	LogHealthy LogFault = iota
	// LogRefuses rejects calls with the verdict not-run.
	LogRefuses
	// LogSilent neither executes calls nor replies.
	LogSilent
	// LogLosesReplies executes appends but does not reply to them.
	LogLosesReplies
)

const (
	// callLatency is the duration of a call to the log, without a slowdown.
	callLatency = 4 * time.Millisecond
	// appendTime is how long an append occupies the log, without a slowdown: appends are
	// processed one at a time.
	appendTime = 2 * time.Millisecond
	// maxAppendWait is how long an append may wait for others; further ones are refused.
	maxAppendWait = 2 * time.Second
	// maxPageWait is how long a page may wait for others; further ones are refused.
	maxPageWait = 2 * time.Second
)

// Log is an in-memory keyed log. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	records   []backend.KeyedRecord
	first     int64
	newest    map[string]backend.KeyedRecord
	epochs    map[string]int64
	sequences map[string]int64
	changed   chan struct{}
	// pageSize limits the records of a page that Read returns; 0 means no limit.
	pageSize int
	// slowdown is the factor by which calls take longer; 0 means 1.
	slowdown int
	// busyUntil is when the appends received so far will have been processed.
	busyUntil time.Time
	// readRate is the rate of all pages together in bytes per second, 0 for no limit, and
	// readsBusyUntil when the pages asked for so far will have been read.
	readRate       int
	readsBusyUntil time.Time
	// claims counts the received appends that begin an epoch of a producer, by the
	// producer's name.
	claims map[string]int
	// maxRecordBytes and maxCallBytes limit a record and the records of one append; 0 means no
	// limit.
	maxRecordBytes, maxCallBytes int
	// RefusedReads is the number of reads and listings refused because too many waited.
	RefusedReads int
	// Appends is the number of executed appends, without repeats of a producer's sequence number.
	Appends int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{newest: map[string]backend.KeyedRecord{}, epochs: map[string]int64{}, sequences: map[string]int64{}, claims: map[string]int{}, changed: make(chan struct{})}
}

// SetSlowdown sets the factor by which calls take longer from now on.
func (l *Log) SetSlowdown(factor int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowdown = factor
}

// SetReadRate sets the rate in bytes per second that the pages of all clients share. Pages are
// read one after the other, also those that their client does not wait for any more.
func (l *Log) SetReadRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readRate = bytesPerSecond
}

// waitForPage waits until a page of the given records has been read.
func (l *Log) waitForPage(ctx context.Context, records []backend.KeyedRecord) error {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	l.mu.Lock()
	if l.readRate == 0 {
		l.mu.Unlock()
		return nil
	}
	now := time.Now()
	if l.readsBusyUntil.Sub(now) > maxPageWait {
		l.RefusedReads++
		l.mu.Unlock()
		return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: errors.New("too many reads wait")}
	}
	if l.readsBusyUntil.Before(now) {
		l.readsBusyUntil = now
	}
	l.readsBusyUntil = l.readsBusyUntil.Add(time.Duration(size) * time.Second / time.Duration(l.readRate))
	end := l.readsBusyUntil
	l.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
		return nil
	case <-ctx.Done():
		return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
	}
}

// SetPageSize limits the records of each page that Read returns.
func (l *Log) SetPageSize(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pageSize = records
}

// SetLimits limits the size of each record, with its key, and of the records of one append.
func (l *Log) SetLimits(record, call int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRecordBytes, l.maxCallBytes = record, call
}

// tooLarge reports whether an append exceeds the limits. It must be called with mu held.
func (l *Log) tooLarge(records []backend.KeyedRecord) bool {
	sum := 0
	for _, r := range records {
		size := len(r.Key) + len(r.Value)
		sum += size
		if l.maxRecordBytes > 0 && size > l.maxRecordBytes {
			return true
		}
	}
	return l.maxCallBytes > 0 && sum > l.maxCallBytes
}

func (l *Log) slowed(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d * time.Duration(max(1, l.slowdown))
}

// EpochsBegun returns how many appends that begin an epoch of the producer the log has
// received, with refused and repeated ones.
func (l *Log) EpochsBegun(producer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims[producer]
}

// waitForTurn waits until an append is processed. It returns false if too many wait.
func (l *Log) waitForTurn() bool {
	took := l.slowed(appendTime)
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Sub(now) > maxAppendWait {
		l.mu.Unlock()
		return false
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(took)
	end := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(end))
	return true
}

// Client is one node's connection to a log, with its own fault. It implements
// backend.KeyedLog.
type Client struct {
	log   *Log
	mu    sync.Mutex
	fault LogFault
	// readFault is the fault of reads, in place of fault, unless it is LogHealthy.
	readFault LogFault
	// linkRate is the rate of the client's link in each direction, in bytes per second; 0
	// means no limit. sending and receiving are the numbers of calls that share it.
	linkRate           int
	sending, receiving int
}

// Client returns a new connection to the log without faults.
func (l *Log) Client() *Client { return &Client{log: l} }

// SetFault sets the fault of later calls of the client.
func (c *Client) SetFault(f LogFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetReadFault sets the fault of later reads of the client; LogHealthy leaves them to
// SetFault.
func (c *Client) SetReadFault(f LogFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFault = f
}

// SetLinkRate sets the rate at which later records are sent and later pages arrive, in bytes
// per second for each direction. Concurrent calls share it.
func (c *Client) SetLinkRate(bytesPerSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkRate = bytesPerSecond
}

// transferInterval is the time between two parts of a transfer on a link of limited rate.
const transferInterval = 50 * time.Millisecond

// transfer takes the time that records take over the client's link, in the direction whose
// calls sharing counts.
func (c *Client) transfer(ctx context.Context, sharing *int, records []backend.KeyedRecord, progress backend.Progress) error {
	if progress != nil {
		progress(0)
	}
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	c.mu.Lock()
	rate := c.linkRate
	*sharing++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		*sharing--
	}()
	for rate > 0 && size > 0 {
		c.mu.Lock()
		share := rate / *sharing
		c.mu.Unlock()
		part := min(size, max(1, share*int(transferInterval.Milliseconds())/1000))
		select {
		case <-time.After(time.Duration(part) * time.Second / time.Duration(max(1, share))):
		case <-ctx.Done():
			return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
		}
		size -= part
		if progress != nil {
			progress(part)
		}
	}
	return nil
}

// Put appends records unconditionally, as writers of the platform do.
func (l *Log) Put(records ...backend.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(records)
}

// Trim drops all records but the newest of each key.
func (l *Log) Trim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = l.end()
	l.records = nil
}

// Newest returns the newest value of a key, or nil if there is none.
func (l *Log) Newest(key string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest[key].Value
}

// Written returns how often a key has been written since the last Trim.
func (l *Log) Written(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if r.Key == key {
			n++
		}
	}
	return n
}

func (l *Log) end() int64 { return l.first + int64(len(l.records)) }

// add appends records. It must be called with mu held.
func (l *Log) add(records []backend.KeyedRecord) {
	for _, r := range records {
		r.Offset = l.end()
		l.records = append(l.records, r)
		if len(r.Value) == 0 {
			delete(l.newest, r.Key)
		} else {
			l.newest[r.Key] = r
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// beginCall waits for the latency of a call and applies the client's fault.
func (c *Client) beginCall(ctx context.Context, read bool) (LogFault, error) {
	c.mu.Lock()
	f := c.fault
	if read && c.readFault != LogHealthy {
		f = c.readFault
	}
	c.mu.Unlock()
	switch f {
	case LogSilent:
		<-ctx.Done()
		return f, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
	case LogRefuses:
		time.Sleep(c.log.slowed(callLatency))
		return f, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: errors.New("log refused the call")}
	}
	time.Sleep(c.log.slowed(callLatency))
	return f, nil
}

// Append implements backend.KeyedLog.
func (c *Client) Append(ctx context.Context, a backend.KeyedAppend) (int64, error) {
	f, err := c.beginCall(ctx, false)
	if err != nil {
		return 0, err
	}
	if err := c.transfer(ctx, &c.sending, a.Records, nil); err != nil {
		return 0, err
	}
	if !c.log.waitForTurn() {
		return 0, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: errors.New("too many appends wait")}
	}
	end, err := c.log.append(a)
	if ctx.Err() != nil {
		return 0, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
	}
	if f == LogLosesReplies {
		<-ctx.Done()
		return 0, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
	}
	return end, err
}

func (l *Log) append(a backend.KeyedAppend) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tooLarge(a.Records) {
		return 0, &backend.LogError{Kind: backend.LogInvalid, Verdict: api.NotRun, Cause: errors.New("too large")}
	}
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != l.end() {
		return l.end(), &backend.LogError{Kind: backend.LogEndMismatch, Verdict: api.NotRun}
	}
	if a.Producer != "" {
		epoch, known := l.epochs[a.Producer]
		if a.Sequence == 1 {
			l.claims[a.Producer]++
		}
		switch {
		case known && a.Epoch < epoch:
			return 0, &backend.LogError{Kind: backend.LogFenced, Verdict: api.NotRun}
		case known && a.Epoch == epoch && a.Sequence == l.sequences[a.Producer]:
			return l.end(), nil
		case known && a.Epoch == epoch && a.Sequence != l.sequences[a.Producer]+1:
			return 0, &backend.LogError{Kind: backend.LogWrongSequence, Verdict: api.NotRun, ExpectedSequence: l.sequences[a.Producer] + 1}
		}
		l.epochs[a.Producer], l.sequences[a.Producer] = a.Epoch, a.Sequence
	}
	l.Appends++
	l.add(a.Records)
	return l.end(), nil
}

// Read implements backend.KeyedLog.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration, progress backend.Progress) (backend.KeyedPage, error) {
	if _, err := c.beginCall(ctx, true); err != nil {
		return backend.KeyedPage{}, err
	}
	deadline := time.After(wait)
	l := c.log
	for {
		l.mu.Lock()
		if from < l.first {
			l.mu.Unlock()
			return backend.KeyedPage{}, &backend.LogError{Kind: backend.LogTrimmed}
		}
		page := backend.KeyedPage{End: l.end()}
		if from < l.end() {
			page.Records = append(page.Records, l.records[from-l.first:]...)
			if l.pageSize > 0 && len(page.Records) > l.pageSize {
				page.Records = page.Records[:l.pageSize]
			}
			page.Records = firstPage(page.Records)
		}
		changed := l.changed
		l.mu.Unlock()
		if len(page.Records) > 0 || wait == 0 {
			if err := l.waitForPage(ctx, page.Records); err != nil {
				return backend.KeyedPage{}, err
			}
			return page, c.transfer(ctx, &c.receiving, page.Records, progress)
		}
		select {
		case <-changed:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return backend.KeyedPage{}, &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: ctx.Err()}
		}
	}
}

const (
	// pageBytes bounds the keys and values of a page, and listedRecords the records of a page of a
	// listing.
	pageBytes     = 1 << 20
	listedRecords = 500
)

// firstPage returns as many records as a page has, at least one.
func firstPage(records []backend.KeyedRecord) []backend.KeyedRecord {
	size := 0
	for i, r := range records {
		if size += len(r.Key) + len(r.Value); size > pageBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// Newest implements backend.KeyedLog.
func (c *Client) Newest(ctx context.Context, after string, progress backend.Progress) (backend.KeyedPage, error) {
	if _, err := c.beginCall(ctx, true); err != nil {
		return backend.KeyedPage{}, err
	}
	l := c.log
	l.mu.Lock()
	page := backend.KeyedPage{End: l.end()}
	for key, r := range l.newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	l.mu.Unlock()
	slices.SortFunc(page.Records, func(a, b backend.KeyedRecord) int { return strings.Compare(a.Key, b.Key) })
	listed := firstPage(page.Records[:min(len(page.Records), listedRecords)])
	page.Records, page.HasMore = listed, len(listed) < len(page.Records)
	if err := l.waitForPage(ctx, page.Records); err != nil {
		return backend.KeyedPage{}, err
	}
	return page, c.transfer(ctx, &c.receiving, page.Records, progress)
}
