package outage

import "time"

const (
	// maxHold is how long a caller is held while the log cannot be read: a tenth of the 3 s that
	// callers of the shortest deadline wait, so that their retries remain of use.
	maxHold = 300 * time.Millisecond
	// storeTime is the time that a held record needs once the log is back: many times the usual
	// latency of the log, and a call to the node that writes for all.
	storeTime = 150 * time.Millisecond
	// settleTime is how long after the first successful read records are written although the last
	// write failed: a write that was sent before ends within it.
	settleTime = 500 * time.Millisecond
	// MaxHeld limits the callers that a node holds at once: 1 MB of memory with records of usual
	// size on the smallest VM.
	MaxHeld = 256
	// minRetryAfter and maxRetryAfter bound the delay asked of callers: the unit of the header, and
	// an outage of usual length.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// LogState is what a node knows of the log.
type LogState struct {
	// Readable means that the last read succeeded, and ReadableFor for how long that has been so
	// since a failed read.
	Readable    bool
	ReadableFor time.Duration
	// WritesFailFor is for how long writes have failed or stayed unanswered, 0 if none does.
	WritesFailFor time.Duration
}

// Action is what to do with a record that a caller wants to have stored.
type Action int

const (
	// Write sends the record to the log.
	Write Action = iota
	// Hold waits for the log to be readable and decides again.
	Hold
	// Refuse tells the caller that the record has not been sent.
	Refuse
)

// Admit decides about a record that has not been sent, and for how long to hold it. remaining is
// how long its caller still waits for an answer, held how many callers are held already, and
// wasHeld whether this one has been. It answers callers who come while the log is unreachable and
// have few retries: those of the last moments before its return are held and served, those after
// it are not refused because a write that was sent before has not ended, and all others are
// refused soon, since their record certainly was not sent.
func Admit(s LogState, remaining time.Duration, held int, wasHeld bool) (Action, time.Duration) {
	switch {
	case s.Readable && (s.WritesFailFor == 0 || s.ReadableFor < settleTime):
		return Write, 0
	case s.Readable || wasHeld || held >= MaxHeld || remaining <= storeTime:
		return Refuse, 0
	}
	return Hold, min(maxHold, remaining-storeTime)
}

// RetryAfter returns the delay asked of a caller that is refused after the log has been
// unreachable for the given time. An outage is likely to last as long again; jitter, from 0 to 1,
// spreads the callers over half of that time, so that they do not return at one moment.
func RetryAfter(unreachable time.Duration, jitter float64) time.Duration {
	typical := float64(unreachable) * (0.75 + jitter/2)
	return min(max(minRetryAfter, time.Duration(typical)), maxRetryAfter)
}
