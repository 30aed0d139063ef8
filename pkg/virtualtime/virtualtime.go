// Package virtualtime runs code under the virtual clock of testing/synctest
// outside of tests, so that the bench measures long scenarios in seconds.
package virtualtime

import (
	"testing"
	"testing/synctest"
)

// Run calls f with a virtual clock, which moves on whenever every goroutine
// that f has started is blocked. These goroutines must end before f returns,
// and f may wait for nothing from outside, such as a context of the caller.
func Run(f func()) {
	// synctest takes from its test only the name and the place in the tree of
	// tests. A zero test has neither, which is all that a program needs.
	synctest.Test(&testing.T{}, func(*testing.T) { f() })
}
