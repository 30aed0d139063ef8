// Package outage decides when a node reads the log again, what it reads and for how long it waits
// for an answer, while the log refuses calls or does not answer in time, and in the seconds after.
// It does no I/O and reads no clock; see docs/design/outages.md. Its types are not safe for
// concurrent use.
package outage

import (
	"hash/fnv"
	"time"
)

const (
	// maxRefusedDelay is the longest typical delay after a refused read, unless the nodes are too
	// many for it: callers are to be served 1 s after the log is back.
	maxRefusedDelay = 500 * time.Millisecond
	// acceptedTimeout is how long a log that refuses calls may take to answer one that it has
	// accepted: it lets calls wait for 2 s before it refuses further ones.
	acceptedTimeout = 2500 * time.Millisecond
	// overloadMemory is how long after a refusal the log still counts as overloaded: its queue of
	// 2 s, and an answer.
	overloadMemory = 5 * time.Second
	// retryShare is the share of the log's rate of reads that the retries of all nodes together may
	// use, and followersPerNode the number of topics that each node follows.
	retryShare       = 0.25
	followersPerNode = 2
	// maxRetryFloor limits the delay for any rate: within it, the log may be back for everybody.
	maxRetryFloor = 2 * time.Second
)

// Outcome is the outcome of a read.
type Outcome int

const (
	// Answered means that the read succeeded.
	Answered Outcome = iota
	// Refused means that the log certainly did not carry it out, and said so.
	Refused
	// Failed means that no answer, or only a part of one, arrived in time.
	Failed
)

// Reads decides when a follower of a topic reads again after a failed read, and for how long it
// waits for an answer. It answers many followers that fall behind at once: they ask for more than
// the log can read in time, it refuses what would wait for long, and a read that is given up
// before its turn still takes the log's time. Followers that read again after a short, fixed
// delay and give up early would keep the log busy for ever with pages that nobody waits for.
type Reads struct {
	// refusals counts the refused reads since the last answer.
	refusals int
	// refusedAt is the time of the last refusal, if hasRefused.
	refusedAt  time.Duration
	hasRefused bool
	// unanswered means that the last read was not answered in time.
	unanswered bool
}

// Observe records the outcome of a read.
func (r *Reads) Observe(now time.Duration, o Outcome) {
	r.unanswered = o == Failed
	switch o {
	case Answered:
		r.refusals = 0
	case Refused:
		r.refusals, r.refusedAt, r.hasRefused = r.refusals+1, now, true
	}
}

// Refusing reports whether the log has answered no read since it refused one. Reads in addition
// to those that probe it would only add to its load.
func (r *Reads) Refusing() bool { return r.refusals > 0 }

// Overloaded reports whether the log has refused a read lately.
func (r *Reads) Overloaded(now time.Duration) bool {
	return r.hasRefused && now-r.refusedAt < overloadMemory
}

// Delay returns the delay after a failed read, which doubles from base with each further refusal.
// floor is the shortest typical delay after a refusal; see RetryFloor. jitter, from 0 to 1,
// spreads the nodes.
func (r *Reads) Delay(base, floor time.Duration, jitter float64) time.Duration {
	if r.refusals == 0 {
		return base
	}
	typical := base
	for i := 1; i < r.refusals && typical < maxRefusedDelay; i++ {
		typical *= 2
	}
	typical = max(min(typical, max(base, maxRefusedDelay)), floor)
	return typical/2 + time.Duration(jitter*float64(typical))
}

// AnswerTimeout returns the time until the reply to a read must begin. timeout is that for a log
// that does not refuse reads.
func (r *Reads) AnswerTimeout(now, timeout time.Duration) time.Duration {
	if r.Overloaded(now) {
		return max(timeout, acceptedTimeout)
	}
	return timeout
}

// ListTimeout returns the time until the reply to a call for a page of a listing must begin.
// timeout is that for a log that answers. It answers the start of all nodes at once: a log with
// less than 2 s of listings before it refuses none, so that one that was not answered in time may
// only have waited for its turn, or the log may be silent. Half of the nodes, those that are
// patient, then take it for the first, and the others for the second.
func (r *Reads) ListTimeout(now, timeout time.Duration, patient bool) time.Duration {
	if patient && r.unanswered {
		return max(timeout, acceptedTimeout)
	}
	return r.AnswerTimeout(now, timeout)
}

// Patient reports whether a node is one of the patient half of all nodes, by its name.
func Patient(node string) bool {
	h := fnv.New32a()
	h.Write([]byte(node))
	return h.Sum32()%2 == 0
}

// RetryFloor returns the typical delay between retries with which that many nodes stay within
// their share of the log's rate, in reads per second; 0 if the rate is not known.
func RetryFloor(nodes int, readsPerSecond float64) time.Duration {
	if !(readsPerSecond > 0) {
		return 0
	}
	seconds := float64(nodes*followersPerNode) / (readsPerSecond * retryShare)
	return time.Duration(min(seconds, maxRetryFloor.Seconds()) * float64(time.Second))
}
