// Package pause detects that the process did not run for a while: it was stopped, its VM
// was suspended, or it got no processor time. What the process knew before a pause may be
// outdated, although nothing has told it so yet.
package pause

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 50 * time.Millisecond
	// minPause is the time between two checks from which the process counts as paused.
	minPause = 150 * time.Millisecond
	// minLoggedPause keeps the short pauses of a busy processor out of the log.
	minLoggedPause = time.Second
)

// Detector detects pauses of at least 150 ms while Run runs. It is safe for concurrent use.
type Detector struct {
	now func() time.Duration

	mu sync.Mutex
	// checkedAt is when the clock was last checked, resumedAt when the last pause was
	// found to have ended.
	checkedAt, resumedAt time.Duration
}

// NewDetector returns a Detector. now is a monotonic clock that also advances while the
// process is paused.
func NewDetector(now func() time.Duration) *Detector {
	return &Detector{now: now, checkedAt: now()}
}

// Run checks the clock until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.LastResume()
		}
	}
}

// LastResume returns when the process last resumed after a pause, 0 if it has not paused.
// It detects a pause that has ended just now, before any other goroutine has run.
func (d *Detector) LastResume() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if paused := now - d.checkedAt; paused >= minPause {
		d.resumedAt = now
		if paused >= minLoggedPause {
			klog.InfoS("pause: the process resumed", "paused", paused)
		}
	}
	d.checkedAt = now
	return d.resumedAt
}
