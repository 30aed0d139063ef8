package journal

import (
	"sync"
	"time"
)

const (
	// detachedAfter is for how long calls must fail before a node counts as cut
	// off from the log. It is shorter than the time in which urgent work must start.
	detachedAfter = 2 * time.Second
	// forgetFailureAfter is how long a failure counts if no call follows it.
	forgetFailureAfter = 10 * time.Second
)

// reach knows whether this node's own calls reach the log.
type reach struct {
	mu           sync.Mutex
	read, append failures
}

// failures holds when calls of one kind began to fail, and last failed.
type failures struct{ since, last time.Time }

// noteRead records the outcome of a read.
func (r *reach) noteRead(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read.note(now, err)
}

// noteAppend records the outcome of an append.
func (r *reach) noteAppend(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.append.note(now, err)
}

func (f *failures) note(now time.Time, err error) {
	switch {
	case err == nil:
		*f = failures{}
	case now.Sub(f.last) > forgetFailureAfter:
		*f = failures{now, now}
	default:
		f.last = now
	}
}

func (f *failures) lasting(now time.Time) bool {
	return f.last.Sub(f.since) >= detachedAfter && now.Sub(f.last) <= forgetFailureAfter
}

// Detached reports whether the node's own reads or appends have been failing
// for a while.
func (j *Journal) Detached(now time.Time) bool {
	j.reach.mu.Lock()
	defer j.reach.mu.Unlock()
	return j.reach.read.lasting(now) || j.reach.append.lasting(now)
}
