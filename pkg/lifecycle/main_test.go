package lifecycle_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow further between two collections: the trials make
// many short-lived sites, and collecting them took a third of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
