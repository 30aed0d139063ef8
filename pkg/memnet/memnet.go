// Package memnet is an in-memory network between named hosts, with delays and fault
// injection. Tests and benchmarks run entry nodes over it, also under virtual time: its
// connections block only on channels and timers.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shallotpin/shallotpin/pkg/transport"
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]*Host
	links     map[link]Fault
	delay     func(from, to string) time.Duration
	nextPort  int
}

type link struct{ from, to string }

// Fault is the state of the link from one host to another.
type Fault uint8

const (
	// Healthy delivers everything.
	Healthy Fault = iota
	// Silent drops all data without an error, but lets new connections open. It models
	// a device on the path that has lost its connection state.
	Silent
	// Cut drops all data without an error, and lets no connection open in either
	// direction.
	Cut
)

// New returns a network. delay returns the one-way delay of a write between two hosts;
// nil means none. It must be safe for concurrent use.
func New(delay func(from, to string) time.Duration) *Network {
	if delay == nil {
		delay = func(string, string) time.Duration { return 0 }
	}
	return &Network{
		listeners: map[string]*listener{}, hosts: map[string]*Host{}, links: map[link]Fault{},
		delay: delay, nextPort: 20000,
	}
}

// Host returns the host called name, which it creates on first use.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		h = &Host{name: name, net: n, thawed: make(chan struct{}), conns: map[*conn]struct{}{}}
		close(h.thawed)
		n.hosts[name] = h
	}
	return h
}

// SetLink sets the fault of the link from one host to another.
func (n *Network) SetLink(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[link{from, to}] = f
}

// SetBothLinks sets the fault of the links between two hosts in both directions.
func (n *Network) SetBothLinks(a, b string, f Fault) {
	n.SetLink(a, b, f)
	n.SetLink(b, a, f)
}

// SilenceOpenConns makes the connections that are open between two hosts drop all later
// data in both directions, while new connections work. It models a device on the path
// that has lost the state of its open connections.
func (n *Network) SilenceOpenConns(a, b string) {
	n.Host(a).silence(b)
	n.Host(b).silence(a)
}

// silence makes the connections to a peer drop all data that h sends.
func (h *Host) silence(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		if c.peer.name == peer {
			c.silenced.Store(true)
		}
	}
}

func (n *Network) fault(from, to string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[link{from, to}]
}

// Host is one VM on the network, with one process. It implements transport.Network.
type Host struct {
	name string
	net  *Network

	sent, received atomic.Int64

	mu     sync.Mutex
	dead   bool
	frozen bool
	thawed chan struct{} // closed unless frozen
	conns  map[*conn]struct{}
	// heldWrites are the writes of a paused process, executed when it resumes. They do
	// not block the writer until then, since a goroutine that waits for a mutex held by
	// a blocked writer would stop virtual time.
	heldWrites []func()
}

var _ transport.Network = (*Host)(nil)

// Traffic returns the numbers of bytes that the host has sent and received so far,
// without data dropped by faults.
func (h *Host) Traffic() (sent, received int64) { return h.sent.Load(), h.received.Load() }

// Freeze pauses the host's process: its input and output wait until Thaw, while its
// kernel still accepts connections and data.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.frozen {
		h.frozen, h.thawed = true, make(chan struct{})
	}
}

// Thaw resumes a paused process and executes its held writes.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.frozen {
		return
	}
	h.frozen = false
	close(h.thawed)
	for _, write := range h.heldWrites {
		if !h.dead {
			write()
		}
	}
	h.heldWrites = nil
}

// holdWrite queues a write and returns true if the process is paused. Otherwise it
// returns false.
func (h *Host) holdWrite(write func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen && !h.dead {
		h.heldWrites = append(h.heldWrites, write)
	}
	return h.frozen && !h.dead
}

// Kill ends the host's process permanently: its listeners and connections close, and
// held writes of a paused process are dropped.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	conns := h.conns
	h.conns = map[*conn]struct{}{}
	h.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	h.net.dropListeners(h)
	h.Thaw()
}

// WaitRunning blocks while the process is paused. It returns false if the process has
// been killed.
func (h *Host) WaitRunning() bool {
	for {
		h.mu.Lock()
		frozen, dead, thawed := h.frozen, h.dead, h.thawed
		h.mu.Unlock()
		if dead {
			return false
		}
		if !frozen {
			return true
		}
		<-thawed
	}
}

func (n *Network) dropListeners(h *Host) {
	n.mu.Lock()
	var dropped []*listener
	for _, l := range n.listeners {
		if l.host == h {
			dropped = append(dropped, l)
		}
	}
	n.mu.Unlock()
	for _, l := range dropped {
		l.Close()
	}
}

// Listen implements transport.Network. Port 0 picks a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.nextPort++
		address = fmt.Sprintf("%s:%d", host, n.nextPort)
	}
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("memnet: listen %s: address in use", address)
	}
	l := &listener{host: h, address: addr(address), backlog: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// acceptBacklog bounds the connections of a listener that wait to be accepted.
const acceptBacklog = 4096

// Dial implements transport.Network. If the link is cut in either direction, it blocks
// until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !h.WaitRunning() {
		return nil, net.ErrClosed
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	if h.net.fault(h.name, l.host.name) == Cut || h.net.fault(l.host.name, h.name) == Cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: ctx.Err()}
	}
	client, server := h.net.pipe(h, l.host, l.address)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		client.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

type listener struct {
	host    *Host
	address addr
	backlog chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mu.Lock()
		delete(l.host.net.listeners, string(l.address))
		l.host.net.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
