package journal

import (
	"sync"
	"time"
)

const (
	// detachedMinDuration is how long calls must have been failing before a node
	// counts as cut off from the log. It is shorter than the time within which urgent
	// work must start.
	detachedMinDuration = 2 * time.Second
	// failureTTL is how long a failure counts if no further call is made.
	failureTTL = 10 * time.Second
)

// reachability tracks whether this node's own calls reach the log.
type reachability struct {
	mu           sync.Mutex
	read, append failureSpan
}

// failureSpan holds when calls of one kind began to fail and when they last failed; it is
// zero after a success.
type failureSpan struct{ since, last time.Time }

// recordRead records the outcome of a read.
func (r *reachability) recordRead(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read.record(now, err)
}

// recordAppend records the outcome of an append.
func (r *reachability) recordAppend(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.append.record(now, err)
}

func (f *failureSpan) record(now time.Time, err error) {
	switch {
	case err == nil:
		*f = failureSpan{}
	case now.Sub(f.last) > failureTTL:
		*f = failureSpan{now, now}
	default:
		f.last = now
	}
}

// isLasting reports whether calls have been failing for at least detachedMinDuration,
// the last one no longer than failureTTL ago.
func (f *failureSpan) isLasting(now time.Time) bool {
	return f.last.Sub(f.since) >= detachedMinDuration && now.Sub(f.last) <= failureTTL
}

// Detached reports whether this node's own reads or appends have been failing for at
// least detachedMinDuration, that is, whether the node is cut off from the log.
func (j *Journal) Detached(now time.Time) bool {
	j.reachability.mu.Lock()
	defer j.reachability.mu.Unlock()
	return j.reachability.read.isLasting(now) || j.reachability.append.isLasting(now)
}
