// Package peer carries the calls between nodes over net/rpc. As net/rpc has no
// timeouts, every call takes a context. A connection on which a call timed out is
// closed and replaced, since it may never deliver data again.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the peer service in the kernel.
const ServiceName = "peer"

// Service calls other nodes and serves their calls. It is safe for concurrent use.
type Service struct {
	network transport.Network
	address string
	server  *rpc.Server

	listener net.Listener
	mu       sync.Mutex
	// clients holds the connections to other nodes, by address.
	clients map[string]*client
	// accepted holds the open connections from other nodes.
	accepted map[net.Conn]struct{}
	closed   bool
	// servedConns lets Stop wait until the connections from other nodes have ended.
	servedConns sync.WaitGroup
	wg          sync.WaitGroup
}

// New returns a peer service that listens on address.
func New(network transport.Network, address string) *Service {
	return &Service{
		network: network, address: address, server: rpc.NewServer(),
		clients: map[string]*client{}, accepted: map[net.Conn]struct{}{},
	}
}

// Handle registers the exported methods of receiver under name. It must be
// called before Start.
func (s *Service) Handle(name string, receiver any) error {
	return s.server.RegisterName(name, receiver)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	s.listener = l
	s.wg.Go(s.acceptLoop)
	return nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.listener.Addr().String() }

// replyTimeout bounds how long Stop waits for the calls in flight to be answered.
const replyTimeout = 2 * time.Second

// Stop implements kernel.Service. It reads no new calls and waits, for at most
// replyTimeout, until those in flight are answered.
func (s *Service) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.accepted {
		c.SetReadDeadline(time.Now())
	}
	s.mu.Unlock()
	s.waitForReplies(ctx)
	s.mu.Lock()
	for _, c := range s.clients {
		c.dropped.Store(true)
		c.Close()
	}
	// Later calls fail as ones that could not connect.
	clear(s.clients)
	for c := range s.accepted {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}

// waitForReplies waits until every connection has sent its replies. When reading
// from a connection fails, net/rpc sends all pending replies before it closes it.
func (s *Service) waitForReplies(ctx context.Context) {
	answered := make(chan struct{})
	s.wg.Go(func() {
		s.servedConns.Wait()
		close(answered)
	})
	select {
	case <-answered:
	case <-time.After(replyTimeout):
	case <-ctx.Done():
	}
}

func (s *Service) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			conn.Close()
			return
		}
		s.servedConns.Go(func() {
			s.server.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

// track records a connection from another node. It returns false if the service is
// stopping.
func (s *Service) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.accepted[conn] = struct{}{}
	return true
}

func (s *Service) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepted, conn)
}

// maxAttempts limits how often a call that has not been sent is made on a new connection.
const maxAttempts = 3

// Call invokes a method of the node at address. If ctx ends first, the call may
// still take effect there. *reply is set only if there is no error.
func (s *Service) Call(ctx context.Context, address, method string, args, reply any) error {
	for attempt := 1; ; attempt++ {
		c, err := s.client(ctx, address)
		if err != nil {
			return err
		}
		// The node may have closed the connection since the last call, for example by a
		// restart. The call has not been sent then, and is made on a new connection.
		if err = s.callOn(ctx, c, address, method, args, reply); !errors.Is(err, rpc.ErrShutdown) || c.dropped.Load() || attempt == maxAttempts {
			return err
		}
	}
}

// callOn is Call on one connection. The error is rpc.ErrShutdown, while the connection has
// not been dropped, only if the call was not sent.
func (s *Service) callOn(ctx context.Context, c *client, address, method string, args, reply any) error {
	// net/rpc may decode a late reply after Call has returned, so it gets a separate
	// value.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call, err := c.send(ctx, method, args, answer.Interface())
	if err == nil {
		select {
		case <-call.Done:
			if call.Error == nil {
				reflect.ValueOf(reply).Elem().Set(answer.Elem())
				return nil
			}
			var remote rpc.ServerError
			switch {
			case errors.Is(call.Error, rpc.ErrShutdown) && !c.dropped.Load():
				s.forget(address, c)
			case !errors.As(call.Error, &remote):
				s.drop(address, c)
			}
			return call.Error
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.drop(address, c)
	klog.V(1).Infof("peer: %s at %s did not answer in time", method, address)
	return err
}

// client is a connection to another node. Calls are sent one at a time, but may be
// outstanding concurrently.
type client struct {
	*rpc.Client
	sending chan struct{}
	// dropped is set before this node closes the connection. Calls in flight then end with
	// rpc.ErrShutdown, too.
	dropped atomic.Bool
}

// send starts a call. net/rpc writes while holding a lock and blocks as long as the
// peer does not read, so send stops waiting when ctx ends.
func (c *client) send(ctx context.Context, method string, args, reply any) (*rpc.Call, error) {
	select {
	case c.sending <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	started := make(chan *rpc.Call, 1)
	go func() {
		started <- c.Go(method, args, reply, make(chan *rpc.Call, 1))
		<-c.sending
	}()
	select {
	case call := <-started:
		return call, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// client returns the connection to address, which it opens if there is none.
func (s *Service) client(ctx context.Context, address string) (*client, error) {
	s.mu.Lock()
	c, closed := s.clients[address], s.closed
	s.mu.Unlock()
	if c != nil {
		return c, nil
	}
	if closed {
		return nil, dialError(net.ErrClosed)
	}
	conn, err := s.network.Dial(ctx, address)
	if err != nil {
		return nil, dialError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.clients[address]; existing != nil || s.closed {
		conn.Close()
		if s.closed {
			return nil, dialError(net.ErrClosed)
		}
		return existing, nil
	}
	c = &client{Client: rpc.NewClient(conn), sending: make(chan struct{}, 1)}
	s.clients[address] = c
	return c, nil
}

// dialError returns err as an error of the dial, by which callers know that the call was not
// sent.
func dialError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return err
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// drop closes c, so that its pending calls fail and the next call opens a new one.
func (s *Service) drop(address string, c *client) {
	s.forget(address, c)
	c.dropped.Store(true)
	c.Close()
}

// forget makes the next call open a new connection. c is closed already.
func (s *Service) forget(address string, c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients[address] == c {
		delete(s.clients, address)
	}
}
