package feed

import (
	"context"
	"time"
)

// maxLatency limits the estimate of the log's latency: a log that is slower counts as
// unreachable anyway.
const maxLatency = time.Second

// latencyEstimator estimates the latency of the log from reads. A read that held no record
// until the end of its wait shows the latency exactly, one that returned records after a
// wait only an upper bound. It is not safe for concurrent use.
type latencyEstimator struct {
	estimate time.Duration
	// tail and check are the reads in flight: the one that follows the topic, and one
	// made by CheckLatency. Each is nil if there is none.
	tail, check *timedRead
	// failing means that the last read failed. The log or the path to it may then be down,
	// so that a read in flight shows nothing.
	failing bool
}

// timedRead is a read in flight, sent at sentAt with the given wait. Its reply began to
// arrive at begunAt, 0 if it has not; the time that a page takes over the link says nothing
// of the log.
type timedRead struct{ sentAt, wait, begunAt time.Duration }

// begin records that the reply has begun. It does nothing if r is nil.
func (r *timedRead) begin(now time.Duration) {
	if r != nil {
		r.begunAt = now
	}
}

// overdue returns for how long an answer was due, or has been: the latency is at least that.
func (r *timedRead) overdue(now time.Duration) time.Duration {
	if r == nil {
		return 0
	}
	if r.begunAt != 0 {
		now = r.begunAt
	}
	return min(max(0, now-r.sentAt-r.wait), maxLatency)
}

// answered records the end of a successful read.
func (e *latencyEstimator) answered(r *timedRead, now time.Duration, records bool) {
	e.failing = false
	if records && r.wait > 0 {
		if r.begunAt != 0 {
			now = r.begunAt
		}
		e.estimate = min(e.estimate, now-r.sentAt)
		return
	}
	sample := r.overdue(now)
	// The estimate follows a rise at once and a fall within two or three reads.
	e.estimate = max(sample, (e.estimate+3*sample)/4)
}

// at returns the estimate as of now. It counts reads that are overdue.
func (e *latencyEstimator) at(now time.Duration) time.Duration {
	if e.failing {
		return e.estimate
	}
	return max(e.estimate, e.tail.overdue(now), e.check.overdue(now))
}

// Latency returns an estimate of the log's latency, at most maxLatency. It is exact for
// topics that change rarely, and may be too low for others.
func (f *Follower) Latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latency.at(f.settings.Now())
}

// CheckLatency makes the follower measure the log's latency now, by a read without a wait
// in addition to Run, unless such a read is in flight. It does not wait for the result.
func (f *Follower) CheckLatency(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready || f.reads.Refusing() || f.latency.check != nil || f.latency.tail != nil && f.latency.tail.begunAt != 0 {
		// A page that is arriving has shown the latency already.
		return
	}
	read := &timedRead{sentAt: f.settings.Now()}
	f.latency.check = read
	from := f.nextOffset
	go func() {
		_, err := f.read(ctx, from, 0, read)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.latency.check = nil
		if err != nil {
			f.latency.failing = true
			return
		}
		f.latency.answered(read, f.settings.Now(), false)
	}()
}
