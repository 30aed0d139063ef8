package transport

import (
	"context"
	"net"
	"time"
)

const (
	// handshakeTimeout is how long a listener stays open for TCP handshakes that have
	// begun. It covers the retransmission of one lost segment (minimum timeout
	// 200 ms), and it is shorter than the 1 s after which a client repeats a dropped
	// SYN, so that the repeated SYN is refused.
	handshakeTimeout = 500 * time.Millisecond
	// queuePollInterval is the time between checks of a listener's accept queue.
	queuePollInterval = 5 * time.Millisecond
)

// CloseListener closes l without resetting connections that are established for
// the client but not yet returned by Accept; Close alone resets them. It drops new
// connections, waits until those in progress have left the accept queue, and then
// closes l. Another goroutine must keep calling Accept meanwhile. Connections may
// still be reset if ctx ends early or if the system cannot drop new connections, see
// dropNewConns.
func CloseListener(ctx context.Context, l net.Listener) error {
	queued := dropNewConns(l)
	select {
	case <-time.After(handshakeTimeout):
	case <-ctx.Done():
	}
	for ctx.Err() == nil && queued() > 0 {
		time.Sleep(queuePollInterval)
	}
	return l.Close()
}
