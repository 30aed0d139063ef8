// Package loglimit bounds the log lines of events that others can cause at any rate.
package loglimit

import (
	"sync"
	"time"
)

// linesPerSecond limits the log lines of a Limiter.
const linesPerSecond = 5

// Limiter lets a few log lines through each second and counts the others. Its zero value is ready,
// and it is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// second is the second of the last lines, lines their number, and leftOut the lines left out
	// since the last one.
	second         time.Time
	lines, leftOut int
}

// Allow reports whether a line may be written now, and how many were left out since the last one.
func (l *Limiter) Allow(now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(l.second) {
		l.second, l.lines = second, 0
	}
	if l.lines == linesPerSecond {
		l.leftOut++
		return false, 0
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}
