package requests

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/shallotpin/shallotpin/pkg/transport"
)

// trackedNetwork opens connections that know when bytes were handed to the kernel.
type trackedNetwork struct{ transport.Network }

// Dial implements transport.Network.
func (n trackedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c}, nil
}

// trackedConn counts the writes that were begun. Once sealed it begins no
// other one, so that the count is final.
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

func (c *trackedConn) begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal ends writing for good and returns how many writes were begun.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// handover follows one attempt and knows whether a byte of it may have
// reached the kernel. net/http may take a second connection if the first one
// turned out to be closed, so every connection of the attempt is kept.
type handover struct {
	mu    sync.Mutex
	conns []connMark
}

type connMark struct {
	conn *trackedConn
	// before is the number of writes of earlier requests on the connection.
	before int
	// reused says that earlier requests used the connection.
	reused bool
}

// trace returns the hooks that follow the attempt.
func (h *handover) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.conns = append(h.conns, connMark{c, c.begun(), info.Reused})
		}
	}}
}

// onlyReused reports whether every connection of the attempt had been used before.
func (h *handover) onlyReused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.conns {
		if !m.reused {
			return false
		}
	}
	return len(h.conns) > 0
}

// abandon ends the attempt after a failure: no byte of it is written from now
// on. It reports whether a write had begun.
func (h *handover) abandon() (begun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.conns {
		if m.conn.seal() > m.before {
			begun = true
		}
	}
	return begun
}
