// Package journal reads the log, folds it into the node's state, and writes
// the node's own records in batches. The outcome of a record is learnt by
// reading it back, so an append whose answer was lost is never guessed at.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the journal in the kernel.
const ServiceName = "journal"

// Journal is the node's view of the log.
type Journal struct {
	log    backend.Log
	writer string

	mu      sync.RWMutex
	st      *state.State
	changed chan struct{}
	recent  recentEntries
	extent  Extent

	// What follows is read within View too, so it must not need mu.
	offset atomic.Int64
	fmu    sync.Mutex
	fresh  time.Time
	// zoneWritten is when this node last tried to write a change of a zone.
	zoneWritten time.Time

	pmu     sync.Mutex
	seq     uint64
	queue   []*proposal
	pending map[uint64]*proposal
	wake    chan struct{}
	nodes   int

	reach reach
	loops kernel.Loops
}

// New returns a journal over log that writes as writer, the node's incarnation.
func New(log backend.Log, writer string) *Journal {
	return &Journal{
		log: log, writer: writer, st: state.New(), changed: make(chan struct{}),
		pending: map[uint64]*proposal{}, wake: make(chan struct{}, 1), nodes: 1,
	}
}

// Name implements kernel.Service.
func (j *Journal) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (j *Journal) DependsOn() []string { return nil }

// Start implements kernel.Service.
func (j *Journal) Start(context.Context, *kernel.Kernel) error {
	j.loops.Start(j.readLoop, j.writeLoop)
	return nil
}

// Stop implements kernel.Service.
func (j *Journal) Stop(context.Context) error {
	j.loops.Stop()
	return nil
}

// Writer returns the incarnation under which this node writes.
func (j *Journal) Writer() string { return j.writer }

// View calls fn with the state; fn must neither keep nor change it. fn may call
// Offset, Age, FreshWithin and UnconfirmedZone.
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

// Offset returns the offset of the next entry to apply.
func (j *Journal) Offset() int64 { return j.offset.Load() }

// Age returns for how long the state may be behind the log. ok is false if the
// state has never been known to hold everything that the log held.
func (j *Journal) Age(now time.Time) (age time.Duration, ok bool) {
	j.fmu.Lock()
	defer j.fmu.Unlock()
	return now.Sub(j.fresh), !j.fresh.IsZero()
}

// FreshWithin reports whether the state held, at most d ago, everything that
// the log held. A process that was paused is not fresh when it resumes.
func (j *Journal) FreshWithin(now time.Time, d time.Duration) bool {
	age, ok := j.Age(now)
	return ok && age <= d
}

// Confirm records that the log held nothing beyond offset at the time at. It
// has no effect until the state holds everything before offset.
func (j *Journal) Confirm(offset int64, at time.Time) {
	j.fmu.Lock()
	defer j.fmu.Unlock()
	if j.Offset() >= offset && at.After(j.fresh) {
		j.fresh = at
	}
}

// Sync returns once the state holds everything that the log held when Sync was called.
func (j *Journal) Sync(ctx context.Context) error {
	page, err := j.log.Read(ctx, j.Offset(), 0)
	if err != nil {
		return api.AsError(err, api.NotRun)
	}
	for {
		changed := j.Changed()
		if j.Offset() >= page.Next {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return api.AsError(ctx.Err(), api.NotRun)
		}
	}
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
