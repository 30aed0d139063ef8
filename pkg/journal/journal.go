// Package journal reads the log, folds it into the node's state, and writes
// the node's own records in batches. The outcome of a record is learnt by
// reading it back, so an append whose answer was lost is never guessed at.
package journal

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the journal in the kernel.
const ServiceName = "journal"

const (
	// pollWait is how long one read waits for the next entry.
	pollWait = 500 * time.Millisecond
	// callTimeout bounds one call of the log service.
	callTimeout = 3 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = 100 * time.Millisecond
	// batchPause is the least time between two appends of this node.
	batchPause = 10 * time.Millisecond
	// maxBatch bounds the records of one append.
	maxBatch = 256
)

// Journal is the node's view of the log.
type Journal struct {
	log    platform.Log
	writer string

	mu      sync.RWMutex
	st      *state.State
	fresh   time.Time
	changed chan struct{}

	pmu     sync.Mutex
	seq     uint64
	queue   []*proposal
	pending map[uint64]*proposal
	wake    chan struct{}

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type proposal struct {
	rec       state.Record
	attempted bool
	done      chan state.Outcome
}

// New returns a journal over log that writes as writer, the node's incarnation.
func New(log platform.Log, writer string) *Journal {
	return &Journal{
		log: log, writer: writer, st: state.New(), changed: make(chan struct{}),
		pending: map[uint64]*proposal{}, wake: make(chan struct{}, 1),
	}
}

// Name implements kernel.Service.
func (j *Journal) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (j *Journal) DependsOn() []string { return nil }

// Start implements kernel.Service.
func (j *Journal) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	j.cancel = cancel
	j.wg.Go(func() { j.readLoop(ctx) })
	j.wg.Go(func() { j.writeLoop(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (j *Journal) Stop(context.Context) error {
	j.cancel()
	j.wg.Wait()
	return nil
}

// Writer returns the incarnation under which this node writes.
func (j *Journal) Writer() string { return j.writer }

// View calls fn with the state; fn must neither keep nor change it.
func (j *Journal) View(fn func(*state.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	fn(j.st)
}

// Changed returns a channel that is closed when the state changes next.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// Age returns for how long the state may be behind the log. ok is false if no
// read has succeeded yet.
func (j *Journal) Age(now time.Time) (age time.Duration, ok bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return now.Sub(j.fresh), !j.fresh.IsZero()
}

// Sync returns once the state holds everything that the log held when Sync was called.
func (j *Journal) Sync(ctx context.Context) error {
	var from int64
	j.View(func(s *state.State) { from = s.Offset })
	page, err := j.log.Read(ctx, from, 0)
	if err != nil {
		return api.AsError(err, api.NotRun)
	}
	for {
		changed := j.Changed()
		j.View(func(s *state.State) { from = s.Offset })
		if from >= page.Next {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Propose writes a record and returns the fold's verdict on it. After an error
// the record may still take effect, unless the *api.Error says not-run.
func (j *Journal) Propose(ctx context.Context, rec state.Record) (state.Outcome, error) {
	p := &proposal{rec: rec, done: make(chan state.Outcome, 1)}
	j.pmu.Lock()
	j.queue = append(j.queue, p)
	j.pmu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	select {
	case out := <-p.done:
		return out, nil
	case <-ctx.Done():
		return state.Outcome{}, j.abandon(p)
	}
}

// abandon withdraws a proposal. It is truly withdrawn only if no append held it yet.
func (j *Journal) abandon(p *proposal) error {
	j.pmu.Lock()
	defer j.pmu.Unlock()
	if p.attempted {
		return &api.Error{Code: api.CodeTimeout, Message: "the log has not confirmed the record", Verdict: api.MayHaveRun}
	}
	for i, q := range j.queue {
		if q == p {
			j.queue = append(j.queue[:i], j.queue[i+1:]...)
			break
		}
	}
	return &api.Error{Code: api.CodeUnavailable, Message: "the log takes no records", Verdict: api.NotRun}
}

func (j *Journal) writeLoop(ctx context.Context) {
	for {
		select {
		case <-j.wake:
		case <-ctx.Done():
			return
		}
		for batch := j.nextBatch(); len(batch) > 0; batch = j.nextBatch() {
			j.appendBatch(ctx, batch)
			if !sleep(ctx, batchPause) {
				return
			}
		}
	}
}

// nextBatch takes queued proposals and numbers them.
func (j *Journal) nextBatch() []*proposal {
	j.pmu.Lock()
	defer j.pmu.Unlock()
	n := min(len(j.queue), maxBatch)
	batch := append([]*proposal(nil), j.queue[:n]...)
	j.queue = append([]*proposal(nil), j.queue[n:]...)
	for _, p := range batch {
		j.seq++
		p.rec.Writer, p.rec.Seq, p.attempted = j.writer, j.seq, true
		j.pending[j.seq] = p
	}
	return batch
}

// appendBatch repeats the append until it is confirmed or every record of it
// has been read back. Records keep their numbers, so repeats apply once.
func (j *Journal) appendBatch(ctx context.Context, batch []*proposal) {
	records := make([]state.Record, len(batch))
	for i, p := range batch {
		records[i] = p.rec
	}
	data, err := state.EncodeBatch(records)
	if err != nil {
		klog.Errorf("journal: cannot encode a batch: %v", err)
		return
	}
	for !j.resolved(batch) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := j.log.Append(callCtx, data)
		cancel()
		if err == nil {
			return
		}
		klog.V(1).Infof("journal: append failed, trying again: %v", err)
		if !sleep(ctx, retryPause) {
			return
		}
	}
}

func (j *Journal) resolved(batch []*proposal) bool {
	j.pmu.Lock()
	defer j.pmu.Unlock()
	for _, p := range batch {
		if j.pending[p.rec.Seq] != nil {
			return false
		}
	}
	return true
}

func (j *Journal) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := j.readOnce(ctx); err != nil {
			klog.V(1).Infof("journal: read failed: %v", err)
			sleep(ctx, retryPause)
		}
	}
}

func (j *Journal) readOnce(ctx context.Context) error {
	var from int64
	j.View(func(s *state.State) { from = s.Offset })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	page, err := j.log.Read(callCtx, from, pollWait)
	if err != nil {
		return err
	}
	if page.First > from {
		return api.Errorf(api.CodeUnavailable, "the log starts at offset %d, this node has read up to %d", page.First, from)
	}
	j.apply(page.Entries)
	j.mu.Lock()
	if j.st.Offset >= page.Next {
		j.fresh = began
	}
	j.mu.Unlock()
	return nil
}

// apply folds entries and wakes those who wait for them.
func (j *Journal) apply(entries []platform.Entry) {
	if len(entries) == 0 {
		return
	}
	type result struct {
		seq uint64
		out state.Outcome
	}
	var own []result
	j.mu.Lock()
	for _, e := range entries {
		if e.Offset != j.st.Offset {
			continue
		}
		j.st.Offset++
		batch, err := state.DecodeBatch(e.Data)
		if err != nil {
			klog.Errorf("journal: entry %d cannot be decoded and is passed over: %v", e.Offset, err)
			continue
		}
		for i := range batch.Records {
			r := &batch.Records[i]
			out := j.st.Apply(r)
			if r.Writer == j.writer && !out.Duplicate {
				own = append(own, result{r.Seq, out})
			}
		}
	}
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()

	j.pmu.Lock()
	defer j.pmu.Unlock()
	for _, r := range own {
		if p := j.pending[r.seq]; p != nil {
			delete(j.pending, r.seq)
			p.done <- r.out
		}
	}
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
