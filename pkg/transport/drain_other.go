//go:build !linux

package transport

import "net"

// refuseNew does nothing: new connections are taken until the listener closes.
func refuseNew(net.Listener) (queued func() int) { return func() int { return 0 } }
