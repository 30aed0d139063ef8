package dispatch

import "time"

// workerClock bounds the clock of one incarnation of a worker, which is steady and may run slow by a
// known fraction. The end of a lease is a time on that clock and may reach the worker late, so that it
// must not lie further ahead than the lease is long: it is computed from the lower bound, as if the
// clock had run as slowly as it may since it was last read.
type workerClock struct {
	known bool
	// readingMS was read no later than readBefore, on the engine's clock.
	readingMS  int64
	readBefore time.Duration
	// answeredMS was read no earlier than readAfter: the upper bound. Only answers of the worker
	// itself show it.
	answeredMS int64
	readAfter  time.Duration
	// comparedAt is when the bound was last compared with a recent reading.
	comparedAt time.Duration
}

// recordTolerance is by how much the clock in a worker's record may be ahead of what the worker's
// answers allow, or behind the bound: a record is older by the time that it takes to arrive.
const recordTolerance = 100 * time.Millisecond

// lower returns the least that the clock may read at a time on the engine's clock, in milliseconds, if
// it runs slow by at most drift, a fraction.
func (c *workerClock) lower(at time.Duration, drift float64) float64 {
	elapsed := milliseconds(at - c.readBefore)
	if elapsed > 0 {
		elapsed *= 1 - drift
	}
	return float64(c.readingMS) + elapsed
}

// uncertainty returns by how much the clock may have gained on its lower bound since both were last
// compared.
func (c *workerClock) uncertainty(now time.Duration, drift float64) time.Duration {
	return time.Duration(float64(now-c.comparedAt) * drift)
}

// noteAnswer takes over a reading from the worker's answer to a call.
func (c *workerClock) noteAnswer(readingMS int64, sent, received time.Duration, drift float64) {
	// It was read at some moment of the call. If it is behind the bound at the first one, the clock has
	// gone back.
	wentBack := float64(readingMS) < c.lower(sent, drift)
	if !c.known || wentBack || float64(readingMS) > c.lower(received, drift) {
		c.readingMS, c.readBefore = readingMS, received
	}
	c.known = true
	c.answeredMS, c.readAfter, c.comparedAt = readingMS, sent, received
}

// notePublished takes over a reading from the worker's record, which any writer may have made: it
// counts only beside an answer of the worker, and at most for what the clock may read according to
// that. It reports false if the reading contradicts the answer.
func (c *workerClock) notePublished(readingMS int64, received time.Duration, drift float64) bool {
	if !c.known || received <= c.readBefore {
		return true
	}
	upper := c.answeredMS + (received - c.readAfter).Milliseconds()
	if readingMS > upper+recordTolerance.Milliseconds() {
		return false
	}
	reading := min(readingMS, upper)
	lower := c.lower(received, drift)
	if float64(reading) > lower {
		c.readingMS, c.readBefore = reading, received
	}
	if float64(reading) > lower-milliseconds(recordTolerance) {
		c.comparedAt = received
	}
	return true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
