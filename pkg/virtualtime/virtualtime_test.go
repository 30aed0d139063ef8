package virtualtime

import (
	"testing"
	"time"
)

// TestRun waits for a day of virtual time, in two goroutines.
func TestRun(t *testing.T) {
	const day = 24 * time.Hour
	var passed time.Duration
	Run(func() {
		began, done := time.Now(), make(chan struct{})
		time.AfterFunc(day, func() { close(done) })
		<-done
		passed = time.Since(began)
	})
	if passed != day {
		t.Errorf("%s passed, want %s", passed, day)
	}
}
