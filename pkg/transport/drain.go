package transport

import (
	"context"
	"net"
	"time"
)

const (
	// handshakeTime is how long handshakes that have begun get to complete before
	// a listener closes. It outlasts one lost segment of a caller whose shortest
	// retransmission timeout is 200 ms, and ends before a new caller repeats, after
	// 1 s, the SYN that was dropped: it is refused then.
	handshakeTime = 500 * time.Millisecond
	// queuePoll is the wait between two looks at the queue of a listener.
	queuePoll = 5 * time.Millisecond
)

// CloseListener closes l without cutting a connection that its peer takes for
// open: first it turns new connections away, then it lets those under way reach
// Accept, which must go on being called meanwhile, and then it closes. Otherwise
// the kernel resets what it has accepted itself. The system must support it, see
// refuseNew; if not, or if ctx ends first, the queue may still hold some.
func CloseListener(ctx context.Context, l net.Listener) error {
	queued := refuseNew(l)
	select {
	case <-time.After(handshakeTime):
	case <-ctx.Done():
	}
	for ctx.Err() == nil && queued() > 0 {
		time.Sleep(queuePoll)
	}
	return l.Close()
}
