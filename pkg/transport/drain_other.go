//go:build !linux

package transport

import "net"

// dropNewConns does nothing on this system: new connections are accepted until the
// listener closes.
func dropNewConns(net.Listener) (queued func() int) { return func() int { return 0 } }
