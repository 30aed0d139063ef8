package routing

import "time"

const (
	// ejectAfter is how many consecutive failures eject an upstream.
	ejectAfter = 3
	// firstEjection and maxEjection bound how long an upstream stays ejected.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probationSuccesses is how many consecutive answers end the probation.
	probationSuccesses = 3
	// latencyWeight is the weight of a new sample in the average latency.
	latencyWeight = 0.2
	// recoveryRamp is the time over which the limit of an upstream that is available
	// again rises to its full share.
	recoveryRamp = 3 * time.Second
)

// Health is a node's record of one upstream: consecutive failures, ejection,
// probation and latency. The zero value is a healthy upstream. It is not safe for
// concurrent use.
type Health struct {
	// failures counts the consecutive failures since the last ejection, ejections the
	// ejections since the last completed probation.
	failures  int
	ejections int
	// ejectedUntil is when the ejection ends and probation begins.
	ejectedUntil time.Time
	// probationLeft is how many more answers end the probation, zero if there is none.
	probationLeft int
	latency       time.Duration
	// availableSince is when the upstream was last available again, zero if it has
	// always been.
	availableSince time.Time
	unavailable    bool
}

// RecordSuccess records an answer with latency d.
func (h *Health) RecordSuccess(d time.Duration) {
	h.failures = 0
	if h.latency == 0 {
		h.latency = d
	}
	h.latency += time.Duration(latencyWeight * float64(d-h.latency))
	if h.probationLeft > 0 {
		if h.probationLeft--; h.probationLeft == 0 {
			h.ejections = 0
		}
	}
}

// RecordFailure records a failed attempt. After ejectAfter consecutive failures, or
// one on probation, it ejects the upstream if canEject is true, that is if enough
// other upstreams are left. Each consecutive ejection lasts twice as long as the
// previous one, up to maxEjection.
func (h *Health) RecordFailure(now time.Time, canEject bool) {
	h.failures++
	if !canEject || (h.failures < ejectAfter && h.probationLeft == 0) {
		return
	}
	d := min(maxEjection, firstEjection<<min(h.ejections, 10))
	h.ejections++
	h.failures = 0
	h.ejectedUntil, h.probationLeft = now.Add(d), probationSuccesses
}

// Ejected reports whether the upstream is ejected for its failures.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Latency returns the moving average of the latency, zero if unknown.
func (h *Health) Latency() time.Duration { return h.latency }

// MarkUnavailable records that the upstream gets no work, for example since its
// zone is out. The next call of Limit ends this state.
func (h *Health) MarkUnavailable() { h.unavailable = true }

// Limit returns how many of the node's share of slots may be used now: none during
// an ejection, one on probation, and a rising number during recoveryRamp after the
// upstream was unavailable. It must be called only for an available upstream.
func (h *Health) Limit(share int, now time.Time) int {
	if h.unavailable {
		h.unavailable, h.availableSince = false, now
	}
	if h.Ejected(now) {
		return 0
	}
	if h.probationLeft > 0 {
		return min(share, 1)
	}
	if elapsed := now.Sub(h.availableSince); !h.availableSince.IsZero() && elapsed < recoveryRamp && share > 0 {
		return max(1, int(float64(share)*float64(elapsed)/float64(recoveryRamp)))
	}
	return share
}
