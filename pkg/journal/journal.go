// Package journal is a node's access to the log. It reads the log, applies its records
// to the node's state, and appends the node's own records in batches. The outcome of a
// record is determined by reading it back, so it is certain even if the answer to the
// append was lost.
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

// Journal is a node's view of the log and its writer. It is safe for concurrent use.
type Journal struct {
	log    backend.Log
	writer string

	// mu guards st, changed, recent and extent.
	mu      sync.RWMutex
	st      *state.State
	changed chan struct{}
	recent  recentEntries
	extent  Extent

	// The fields down to zoneWriteAt are also read within View, so they must not be
	// guarded by mu. offset is a copy of the state's offset.
	offset atomic.Int64
	// freshMu guards confirmedAt and zoneWriteAt.
	freshMu sync.Mutex
	// confirmedAt is the latest time at which the state is known to have held
	// everything that the log held.
	confirmedAt time.Time
	// zoneWriteAt is when this node last tried to append a zone change.
	zoneWriteAt time.Time

	// proposalMu guards seq, queue, pending and nodeCount.
	proposalMu sync.Mutex
	// seq is the number of this node's last record that was put into a batch.
	seq   uint64
	queue []*proposal
	// pending holds the proposals in batches whose outcomes are not known, by Seq.
	pending   map[uint64]*proposal
	wake      chan struct{}
	nodeCount int

	reachability reachability
	loops        kernel.Loops
}

// New returns a journal over log. writer is the node's incarnation and identifies its
// records.
func New(log backend.Log, writer string) *Journal {
	return &Journal{
		log: log, writer: writer, st: state.New(), changed: make(chan struct{}),
		pending: map[uint64]*proposal{}, wake: make(chan struct{}, 1), nodeCount: 1,
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
// Offset, Age, FreshWithin and HasUnconfirmedZoneChange.
func (j *Journal) View(fn func(*state.State)) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	fn(j.st)
}

// Changed returns a channel that is closed at the next change of the state.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// Offset returns the offset of the next entry to apply.
func (j *Journal) Offset() int64 { return j.offset.Load() }

// Age returns the time since the state was last known to hold everything that the log
// held. ok is false if that has never been the case.
func (j *Journal) Age(now time.Time) (age time.Duration, ok bool) {
	j.freshMu.Lock()
	defer j.freshMu.Unlock()
	return now.Sub(j.confirmedAt), !j.confirmedAt.IsZero()
}

// FreshWithin reports whether the state is known to have held, at most d ago,
// everything that the log held. The state of a process that was paused for longer than
// d is not fresh when the process resumes.
func (j *Journal) FreshWithin(now time.Time, d time.Duration) bool {
	age, ok := j.Age(now)
	return ok && age <= d
}

// Confirm records that the log held nothing beyond offset at the time at. It has no
// effect if the state does not hold everything before offset, or if at is not later
// than the last confirmation.
func (j *Journal) Confirm(offset int64, at time.Time) {
	j.freshMu.Lock()
	defer j.freshMu.Unlock()
	if j.Offset() >= offset && at.After(j.confirmedAt) {
		j.confirmedAt = at
	}
}

// Sync waits until the state holds everything that the log held when Sync was called.
// Its errors are *api.Error.
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
