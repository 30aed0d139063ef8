package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A pause must be visible to the first goroutine that runs after it, and a process that has
// merely been idle has not paused.
func TestPauseIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		found bool
	}{"none": {0, false}, "below the limit": {90 * time.Millisecond, false}, "250 ms": {250 * time.Millisecond, true}, "4 s": {4 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				started, paused := time.Now(), time.Duration(0)
				now := func() time.Duration { return time.Hour + time.Since(started) + paused }
				d := NewDetector(now)
				go d.Run(ctx)
				time.Sleep(10*time.Second + checkInterval/2)
				synctest.Wait()
				paused = c.pause
				want := time.Duration(0)
				if c.found {
					want = now()
				}
				if got := d.LastResume(); got != want {
					t.Errorf("last resume %s, want %s", got, want)
				}
			})
		})
	}
}
