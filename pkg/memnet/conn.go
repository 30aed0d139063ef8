package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// pipe returns the two ends of a new connection from a host to a listener.
func (n *Network) pipe(from, to *Host, address addr) (client, server *conn) {
	up, down := newStream(), newStream()
	client = &conn{host: from, peer: to, in: down, out: up, local: addr(from.name), remote: address}
	server = &conn{host: to, peer: from, in: up, out: down, local: address, remote: addr(from.name)}
	from.track(client)
	to.track(server)
	return client, server
}

func (h *Host) track(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = struct{}{}
}

func (h *Host) untrack(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// conn is one end of a connection.
type conn struct {
	host, peer    *Host
	in, out       *stream
	local, remote addr
	once          sync.Once
	// silenced drops all later writes on this end without an error.
	silenced atomic.Bool
}

// dropsWrites reports whether data written on this end is lost.
func (c *conn) dropsWrites() bool {
	return c.silenced.Load() || c.host.net.fault(c.host.name, c.peer.name) != Healthy
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.host.WaitRunning() {
		return 0, net.ErrClosed
	}
	n, err := c.in.read(p)
	if !c.host.WaitRunning() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It never blocks on the reader. Data on a faulty link is
// lost without an error. On a paused host, it returns at once and the data is sent when
// the host resumes.
func (c *conn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	if c.host.holdWrite(func() { _, _ = c.send(data) }) {
		return len(p), nil
	}
	if !c.host.WaitRunning() {
		return 0, net.ErrClosed
	}
	return c.send(data)
}

func (c *conn) send(p []byte) (int, error) {
	if c.dropsWrites() {
		return len(p), nil
	}
	c.host.sent.Add(int64(len(p)))
	c.peer.received.Add(int64(len(p)))
	return c.out.write(p, time.Now().Add(c.host.net.delay(c.host.name, c.peer.name)))
}

// Close implements net.Conn. On a faulty link, the peer does not get the end of the
// stream.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.in.close(net.ErrClosed)
		if !c.dropsWrites() {
			c.out.close(io.EOF)
		}
		c.host.untrack(c)
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn. It does nothing, since writes do not wait for
// the reader.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection. Writes never block.
type stream struct {
	mu       sync.Mutex
	chunks   []chunk
	err      error // set once closed: io.EOF by the writer, net.ErrClosed by the reader
	deadline time.Time
	changed  chan struct{}
}

// chunk is the data of one write and the time from which it can be read.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write appends a chunk that can be read from deliverAt on, but never before the chunks
// written earlier.
func (s *stream) write(p []byte, deliverAt time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, io.ErrClosedPipe
	}
	if n := len(s.chunks); n > 0 && deliverAt.Before(s.chunks[n-1].deliverAt) {
		deliverAt = s.chunks[n-1].deliverAt
	}
	s.chunks = append(s.chunks, chunk{p, deliverAt})
	s.wake()
	return len(p), nil
}

func (s *stream) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil || err == net.ErrClosed {
		s.err = err
		s.wake()
	}
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.wake()
}

func (s *stream) read(p []byte) (int, error) {
	for {
		n, wait, changed, err := s.poll(p, time.Now())
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		waitFor(changed, wait)
	}
}

// poll reads the data that has arrived. If there is none, it returns a channel that is
// closed at the next change of the stream, and how long to wait for it at most; a wait
// of 0 has no limit.
func (s *stream) poll(p []byte, now time.Time) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == net.ErrClosed {
		return 0, 0, nil, net.ErrClosed
	}
	if !s.deadline.IsZero() && !now.Before(s.deadline) {
		return 0, 0, nil, os.ErrDeadlineExceeded
	}
	if len(s.chunks) > 0 && !now.Before(s.chunks[0].deliverAt) {
		n = copy(p, s.chunks[0].data)
		if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return n, 0, nil, nil
	}
	if len(s.chunks) == 0 && s.err != nil {
		return 0, 0, nil, s.err
	}
	if len(s.chunks) > 0 {
		wait = s.chunks[0].deliverAt.Sub(now)
	}
	if !s.deadline.IsZero() && (wait == 0 || s.deadline.Sub(now) < wait) {
		wait = s.deadline.Sub(now)
	}
	return 0, wait, s.changed, nil
}

// waitFor waits until changed is closed, or at most for d if d is positive.
func waitFor(changed <-chan struct{}, d time.Duration) {
	if d <= 0 {
		<-changed
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
