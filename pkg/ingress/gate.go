package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

const (
	// sweepInterval is the time between two checks for connections whose time is up.
	sweepInterval = time.Second
	// awaitTimeout is how long a body waits for others to leave. It takes them no more than to be
	// scheduled.
	awaitTimeout = time.Second
	// discardTimeout is how long the rest of a body that nobody reads may take to arrive.
	discardTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the delay asked of refused callers: those who were
	// refused together are not to return together.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Gate bounds what the callers of an HTTP server can make the process hold. It is safe for
// concurrent use.
type Gate struct {
	options Options
	// backlog is the number of connections that may wait to be accepted.
	backlog int
	// started is when the gate's clock began.
	started time.Time
	limits  atomic.Pointer[Limits]
	decoder chan struct{}
	report  *reporter

	mu     sync.Mutex
	budget *budget
	conns  map[*holder]*conn
	// left is closed when bytes are freed while somebody waits for that; waiting counts those.
	left    chan struct{}
	waiting int
}

// New returns a gate for a process that may use m.
func New(o Options, m Machine) *Gate {
	g := &Gate{options: o, backlog: maxBacklog(m), started: time.Now(), decoder: make(chan struct{}, decoders), budget: newBudget(o.maxBytes(m), o.maxHolders(m)), conns: map[*holder]*conn{}, left: make(chan struct{})}
	g.report = newReporter(g)
	g.SetLimits(Limits{})
	return g
}

// SetLimits puts limits of a configuration in force, also for connections that are open.
func (g *Gate) SetLimits(l Limits) {
	l = g.options.limits(l)
	if old := g.limits.Swap(&l); old != nil && *old != l {
		g.report.limitsChanged(l)
	}
}

func (g *Gate) now() time.Duration { return time.Since(g.started) }

// Run closes connections whose time is up until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Sweep()
		}
	}
}

// Sweep closes connections whose time is up. It must be called about once a second, unless Run
// is.
func (g *Gate) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.budget.expire(g.now(), *g.limits.Load()) {
		g.dismiss(h)
	}
}

// dismiss makes a holder leave that the budget has marked. It must be called with mu held.
func (g *Gate) dismiss(h *holder) {
	g.report.dismissed(h)
	c := g.conns[h]
	if c == nil {
		return
	}
	if h.phase == phaseBody {
		// The handler's read fails, and it answers.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		return
	}
	// net/http may take half a second to notice. The descriptor is free at once.
	_ = c.Conn.Close()
	g.budget.markClosed(h)
}

// admit adds a connection, for which others may be closed.
func (g *Gate) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		v, victim := g.budget.admit(&c.holder, connBytes, g.now())
		switch v {
		case granted:
			g.conns[&c.holder] = c
			return true
		case evict:
			g.dismiss(victim)
		default:
			g.report.refused(reasonConnections, &c.holder)
			return false
		}
	}
}

// grow asks for further bytes of a holder and waits for others to leave if need be.
func (g *Gate) grow(h *holder, bytes int64) error {
	var timeout <-chan time.Time
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		v, victim := g.budget.ask(h, bytes)
		switch v {
		case granted:
			return nil
		case evict:
			g.dismiss(victim)
		case await:
			if timeout == nil {
				timer := time.NewTimer(awaitTimeout)
				defer timer.Stop()
				timeout = timer.C
			}
			if !g.awaitLeft(timeout) {
				return g.refuse(reasonBudget, h)
			}
		default:
			cause := reasonBudget
			if h.leaving {
				cause = h.cause
			}
			return g.refuse(cause, h)
		}
	}
}

// awaitLeft waits until bytes are freed, and reports whether that was before the timeout. It must
// be called with mu held, which it gives up meanwhile.
func (g *Gate) awaitLeft(timeout <-chan time.Time) bool {
	left := g.left
	g.waiting++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waiting--
	}()
	select {
	case <-left:
		return true
	case <-timeout:
		return false
	}
}

// refuse returns the error for a request that is not served for the given reason. It must be
// called with mu held.
func (g *Gate) refuse(cause reason, h *holder) error {
	if !h.leaving {
		// That a holder was told to leave has been reported.
		g.report.refused(cause, h)
	}
	return &api.Error{Code: api.CodeUnavailable, Message: cause.message(), Verdict: api.NotRun, RetryAfter: minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)}
}

// release frees all but the given bytes of a holder.
func (g *Gate) release(h *holder, keep int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.free(h, keep)
	g.signal()
}

// signal wakes those who wait for others to leave. It must be called with mu held.
func (g *Gate) signal() {
	if g.waiting > 0 {
		close(g.left)
		g.left = make(chan struct{})
	}
}

// remove removes a holder.
func (g *Gate) remove(h *holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.remove(h)
	delete(g.conns, h)
	g.signal()
}

// enter puts a holder into a phase.
func (g *Gate) enter(h *holder, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.phase, h.since = p, g.now()
}

// becomeIdle frees what the request of a connection held.
func (g *Gate) becomeIdle(c *conn) {
	c.idle.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &c.holder
	h.phase, h.since = phaseIdle, g.now()
	g.budget.free(h, connBytes)
	g.signal()
	if h.leaving {
		// The request ended before it was told to leave.
		_ = c.Conn.Close()
	}
}

// Listener returns a listener that bounds the connections it accepts from l, what is read from
// them, and what the kernel holds for them.
func (g *Gate) Listener(l net.Listener) net.Listener {
	limitKernel(l, g.backlog)
	return &listener{l, g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, gate: l.gate}
		c.inHeader.Store(true)
		if l.gate.admit(c) {
			return c, nil
		}
		accepted.Close()
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	gate   *Gate
	holder holder
	// header counts the bytes that were read in phaseHeader, and charged those of them that were
	// asked for.
	header, charged int
	// idle and inHeader mirror the phase. Like the counts, they are used by the server's goroutine
	// only, or by a read that it waits for.
	idle, inHeader atomic.Bool
	// bodyRead means that the body of the present request has been read to its end.
	bodyRead bool
	removed  atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.holder.progress.Store(int64(c.gate.now()))
	if c.idle.CompareAndSwap(true, false) {
		c.header, c.charged = 0, 0
		c.inHeader.Store(true)
		c.gate.enter(&c.holder, phaseHeader)
	}
	if !c.inHeader.Load() {
		return n, err
	}
	if c.header += n; c.header > headerAllowance && !c.takeHeader() {
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.holder.writing.Store(int64(c.gate.now()))
	defer c.holder.writing.Store(0)
	return c.Conn.Write(p)
}

// takeHeader asks for the bytes of a large header. If it returns false, the caller has been
// answered and the connection must end.
func (c *conn) takeHeader() bool {
	// The last read may hold the beginning of a body.
	if c.header > c.gate.limits.Load().HeaderBytes+headerAllowance {
		c.gate.mu.Lock()
		c.gate.report.refused(reasonLargeHeader, &c.holder)
		c.gate.mu.Unlock()
		c.respond(http.StatusRequestHeaderFieldsTooLarge, 0)
		return false
	}
	more := c.header - headerAllowance - c.charged
	if err := c.gate.grow(&c.holder, headerFactor*int64(more)); err != nil {
		c.respond(http.StatusServiceUnavailable, api.AsError(err, api.NotRun).RetryAfter)
		return false
	}
	c.charged += more
	return true
}

// respond answers a request whose header has not been read.
func (c *conn) respond(status int, retryAfter time.Duration) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if retryAfter > 0 {
		text += fmt.Sprintf("Retry-After: %d\r\n", (retryAfter+time.Second-1)/time.Second)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(discardTimeout))
	_, _ = io.WriteString(c.Conn, text+"\r\n")
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.removed.Swap(true) {
		c.gate.remove(&c.holder)
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end a connection without a reset while unread data arrives.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it came without one of a gate.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Prepare makes a server use the gate; it must serve a listener of Listener. It must be called
// once, before the server serves, and replaces its time limits for headers and idle connections.
func (g *Gate) Prepare(s *http.Server) {
	s.Handler = g.handler(s.Handler)
	// Sweep closes connections earlier, by the limits in force.
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 2*maxHeaderTimeout, 2*maxIdleTimeout, maxHeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			g.becomeIdle(c)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// handler wraps a handler so that the rest of a body that it does not read is not awaited for
// long.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.idle.Store(false)
		c.inHeader.Store(false)
		c.bodyRead = r.ContentLength == 0
		g.enter(&c.holder, phaseServing)
		if !c.bodyRead && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
			// Nobody reads such a body, and net/http awaits it before it sends a long answer.
			g.limitDiscard(c)
			c.bodyRead = true
		}
		next.ServeHTTP(w, r)
		if !c.bodyRead {
			g.limitDiscard(c)
		}
	})
}

// limitDiscard limits the time for which net/http reads the rest of a body, and lets the connection
// give way meanwhile. If it is to leave, its reads fail already.
func (g *Gate) limitDiscard(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &c.holder
	if h.leaving {
		return
	}
	h.phase, h.since = phaseDiscard, g.now()
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
}
