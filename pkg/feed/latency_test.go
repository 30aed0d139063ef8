package feed

import (
	"testing"
	"time"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// The estimate follows reads that waited in vain exactly, counts overdue reads at once, and
// takes nothing from reads that may have waited for their records.
func TestLatencyEstimate(t *testing.T) {
	var e latencyEstimator
	expect := func(now, want time.Duration, when string) {
		t.Helper()
		if got := e.at(now); got != want {
			t.Errorf("%s: %s, want %s", when, got, want)
		}
	}
	read := &timedRead{sentAt: ms(1000), wait: ms(1000)}
	e.tail = read
	expect(ms(1900), 0, "while a read waits")
	expect(ms(2200), ms(200), "with an overdue read")
	expect(ms(9000), maxLatency, "with a read overdue for long")
	e.tail = nil
	e.answered(read, ms(2264), false)
	expect(ms(9000), ms(264), "after a slow read")
	e.answered(&timedRead{sentAt: ms(3000), wait: ms(1000)}, ms(3900), true)
	expect(ms(9000), ms(264), "after a read that may have waited for its records")
	e.answered(&timedRead{sentAt: ms(3000), wait: ms(1000)}, ms(3100), true)
	expect(ms(9000), ms(100), "after a read that was answered faster")
	for range 3 {
		e.answered(&timedRead{sentAt: ms(4000)}, ms(4004), true)
	}
	if got := e.at(ms(9000)); got > ms(8) {
		t.Errorf("%s after three fast reads, want at most 8ms", got)
	}
	e.check = &timedRead{sentAt: ms(5000)}
	expect(ms(5070), ms(70), "with a check in flight")
	e.failing = true
	if got := e.at(ms(9000)); got > ms(8) {
		t.Errorf("%s with a read in flight after a failed one, want at most 8ms: an outage is not a slow log", got)
	}
}
