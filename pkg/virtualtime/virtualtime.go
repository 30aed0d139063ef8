// Package virtualtime runs code under the virtual clock of testing/synctest outside of
// tests, so that benchmarks of long scenarios take seconds.
package virtualtime

import (
	"testing"
	"testing/synctest"
)

// Run calls f with a virtual clock, which advances whenever f and all goroutines that
// it has started are blocked. These goroutines must end before f returns, and f must
// not wait for anything outside, such as a context of the caller.
func Run(f func()) {
	// synctest uses only the name and the parent of its testing.T. A zero testing.T
	// has neither, which suffices outside of tests.
	synctest.Test(&testing.T{}, func(*testing.T) { f() })
}
