package requests

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/shallotpin/shallotpin/pkg/transport"
)

// trackedNetwork opens connections that record whether a write was begun.
type trackedNetwork struct{ transport.Network }

// Dial implements transport.Network.
func (n trackedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c}, nil
}

// trackedConn counts the writes that were begun. After seal it begins no further
// write, so that the count is final.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all further writes fail and returns how many were begun.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeTracker tracks whether a byte of one attempt may have reached the kernel.
// net/http may use a second connection if the first one turned out to be closed,
// so every connection of the attempt is recorded.
type writeTracker struct {
	mu    sync.Mutex
	conns []connUse
}

// connUse is the use of one connection by the attempt.
type connUse struct {
	conn *trackedConn
	// before is the number of writes of earlier requests on the connection.
	before int
	// reused reports whether earlier requests used the connection.
	reused bool
}

// trace returns the hooks that record the connections of the attempt.
func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conns = append(w.conns, connUse{c, c.writeCount(), info.Reused})
		}
	}}
}

// onlyReused reports whether every connection of the attempt had been used before.
func (w *writeTracker) onlyReused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.conns {
		if !u.reused {
			return false
		}
	}
	return len(w.conns) > 0
}

// sealAll seals every connection of a failed attempt, so that no byte of it is
// written from now on. It reports whether a write of the attempt had begun.
func (w *writeTracker) sealAll() (begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.conns {
		if u.conn.seal() > u.before {
			begun = true
		}
	}
	return begun
}
