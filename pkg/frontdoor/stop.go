package frontdoor

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/transport"
)

// connPollInterval is the time between checks for open connections during shutdown.
const connPollInterval = 10 * time.Millisecond

// openConns is the set of connections that are not idle: those that have not sent
// their first request yet, and those with a request being read or answered.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track is the http.Server's ConnState hook.
func (o *openConns) track(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		o.conns[c] = struct{}{}
	} else {
		delete(o.conns, c)
	}
}

func (o *openConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns)
}

// Stop implements kernel.Service. It first reports not ready for the drain delay,
// still serving the callers that the load balancer sends; then it closes the
// listener and completes the requests in flight. It returns an error if ctx ends
// before they are complete.
func (s *Service) Stop(ctx context.Context) error {
	s.Drain()
	if s.requests != nil {
		s.requests.BeginDrain()
	}
	select {
	case <-time.After(s.drainDelay):
	case <-ctx.Done():
	}
	s.drainConnections(ctx)
	defer s.stopIngress()
	if err := s.server.Shutdown(ctx); err != nil {
		s.server.Close()
		return fmt.Errorf("requests in flight were aborted: %w", err)
	}
	return nil
}

// drainConnections closes the listener and waits until every open connection is
// answered. http.Server.Shutdown alone would abort some: it resets connections that
// only the operating system has accepted, and it does not answer the first request
// of a connection if the request arrives after shutdown began.
func (s *Service) drainConnections(ctx context.Context) {
	transport.CloseListener(ctx, s.listener)
	// After Serve has returned, s.open holds every accepted connection.
	<-s.serveDone
	for ctx.Err() == nil && s.open.count() > 0 {
		time.Sleep(connPollInterval)
	}
}
