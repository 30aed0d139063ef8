package feed

import (
	"context"
	"errors"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// maxSharedReads is how many reads for callers may be in flight: one that was sent before a
// caller asked, and one that shows it what it asks for.
const maxSharedReads = 2

// sharedRead is a read for all callers that ask for records no newer than those at sentAt. It
// goes on when they have given up: what has arrived of a page would be lost.
type sharedRead struct {
	timedRead
	done chan struct{}
	// err is set before done is closed.
	err error
}

var (
	errArriving = errors.New("a page is arriving")
	errRefusing = &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.NotRun, Cause: errors.New("the log refuses reads")}
	errNotReady = &backend.LogError{Kind: backend.LogUnavailable, Cause: errors.New("the topic has not been listed")}
)

// Refresh reads without waiting, in addition to Run, until the sink has every record that
// the topic held when Refresh was called. Concurrent calls share their reads. Before the first
// listing, and while the log refuses reads, it fails with a *backend.LogError.
func (f *Follower) Refresh(ctx context.Context) error {
	at := f.settings.Now()
	for {
		read, err := f.readFor(at)
		if err == nil && read == nil {
			return nil
		}
		if err != nil && !errors.Is(err, errArriving) {
			return err
		}
		if err := f.await(ctx, read); err != nil {
			return err
		}
		if read != nil && read.err != nil {
			return read.err
		}
	}
}

// AwaitConfirmed reads without waiting, in addition to Run, until the sink has every record
// that the topic held at the given time. Concurrent calls share their reads. Failed reads
// are repeated until ctx ends.
func (f *Follower) AwaitConfirmed(ctx context.Context, at time.Duration) error {
	for {
		read, err := f.readFor(at)
		if err == nil && read == nil {
			return nil
		}
		if awaitErr := f.await(ctx, read); awaitErr != nil {
			return errors.Join(err, awaitErr)
		}
		if read != nil && read.err != nil {
			if err := f.await(ctx, nil); err != nil {
				return errors.Join(read.err, err)
			}
		}
	}
}

// await waits for the end of a shared read or, if that is nil, for pollInterval.
func (f *Follower) await(ctx context.Context, read *sharedRead) error {
	if read == nil {
		timer := time.NewTimer(f.settings.RetryDelay / awaitPolls)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-read.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitPolls is how often within a retry delay a caller looks for the end of a read that Run or
// others make.
const awaitPolls = 5

// readFor returns a read to wait for on the way to every record that the topic held at the given
// time, or neither a read nor an error if the sink has them. It starts one if none in flight can
// show them, unless it would only delay others: while a page arrives, further ones are to be read
// before the newest, or the log is overloaded.
func (f *Follower) readFor(at time.Duration) (*sharedRead, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.ready:
		return nil, errNotReady
	case f.confirmedAt >= at:
		return nil, nil
	case f.reads.Refusing():
		return nil, errRefusing
	case f.shared != nil && (f.shared.sentAt >= at || f.shared.begunAt != 0 || f.sharing >= maxSharedReads):
		return f.shared, nil
	case f.listing, f.latency.tail != nil && f.latency.tail.begunAt != 0:
		return nil, errArriving
	case f.behind:
		if !f.lastReadFailed {
			f.ReadNow()
		}
		return nil, errArriving
	case f.latency.tail != nil && f.latency.tail.wait == 0 && f.reads.Overloaded(f.settings.Now()):
		return nil, errArriving
	}
	read := &sharedRead{timedRead: timedRead{sentAt: f.settings.Now()}, done: make(chan struct{})}
	f.shared = read
	f.sharing++
	from := f.nextOffset
	go f.makeShared(read, from)
	return read, nil
}

// makeShared makes a shared read.
func (f *Follower) makeShared(read *sharedRead, from int64) {
	records, err := f.read(context.Background(), from, 0, &read.timedRead)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && records > 0 && f.nextOffset == from {
		// The page does not continue at the requested offset.
		err = &backend.LogError{Kind: backend.LogUnavailable, Cause: errors.New("read makes no progress")}
	}
	if f.sharing--; f.shared == read {
		f.shared = nil
	}
	read.err = err
	close(read.done)
}
