// Package peer carries calls between the nodes over net/rpc. net/rpc has no
// timeouts of its own, so every call here takes a context, and a connection on
// which a call timed out is closed and replaced: it may have gone silent for good.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the peer service in the kernel.
const ServiceName = "peer"

// Service listens for calls of other nodes and calls them.
type Service struct {
	network transport.Network
	address string
	server  *rpc.Server

	listener net.Listener
	mu       sync.Mutex
	clients  map[string]*rpc.Client
	accepted map[net.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// New returns a peer service that listens on address.
func New(network transport.Network, address string) *Service {
	return &Service{
		network: network, address: address, server: rpc.NewServer(),
		clients: map[string]*rpc.Client{}, accepted: map[net.Conn]struct{}{},
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

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.closed = true
	for _, c := range s.clients {
		c.Close()
	}
	for c := range s.accepted {
		c.Close()
	}
	s.mu.Unlock()
	err := s.listener.Close()
	s.wg.Wait()
	return err
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
		s.wg.Go(func() {
			s.server.ServeConn(conn)
			s.untrack(conn)
		})
	}
}

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

// Call invokes a method of the node at address. If ctx ends first, the call
// may still take effect there.
func (s *Service) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := s.client(ctx, address)
	if err != nil {
		return err
	}
	// Go blocks while the connection takes no data, so it must not run here.
	done := make(chan *rpc.Call, 1)
	s.wg.Go(func() { client.Go(method, args, reply, done) })
	select {
	case call := <-done:
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			s.drop(address, client)
		}
		return call.Error
	case <-ctx.Done():
		s.drop(address, client)
		klog.V(1).Infof("peer: %s at %s did not answer in time", method, address)
		return ctx.Err()
	}
}

func (s *Service) client(ctx context.Context, address string) (*rpc.Client, error) {
	s.mu.Lock()
	c := s.clients[address]
	s.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := s.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.clients[address]; existing != nil || s.closed {
		conn.Close()
		if s.closed {
			return nil, net.ErrClosed
		}
		return existing, nil
	}
	c = rpc.NewClient(conn)
	s.clients[address] = c
	return c, nil
}

func (s *Service) drop(address string, client *rpc.Client) {
	s.mu.Lock()
	if s.clients[address] == client {
		delete(s.clients, address)
	}
	s.mu.Unlock()
	client.Close()
}
