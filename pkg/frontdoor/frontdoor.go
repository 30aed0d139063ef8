// Package frontdoor is the HTTP API of a node: callers submit jobs and short
// requests to it, operators change the configuration, and load balancers and
// monitoring probe it. It validates input and passes it to the journal (jobs and
// configuration) or to the requests service (short requests).
package frontdoor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/lifecycle"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/planner"
	"github.com/shallotpin/shallotpin/pkg/relay"
	"github.com/shallotpin/shallotpin/pkg/requests"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the front door in the kernel.
const ServiceName = "frontdoor"

// readHeaderTimeout bounds the time for reading the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Service is the HTTP server of a node.
type Service struct {
	network transport.Network
	address string
	newID   func() string
	metrics *metrics.Set
	// Ingress bounds what callers hold; nil means that nothing does. It must be set before Start.
	Ingress *ingress.Gate
	// stopIngress ends the goroutine that closes connections whose time is up.
	stopIngress context.CancelFunc

	journal  *journal.Journal
	members  *membership.Service
	fleet    *fleet.Service
	relay    *relay.Service
	requests *requests.Service

	server   *http.Server
	listener net.Listener
	open     openConns
	// serveDone is closed when the server has stopped accepting connections.
	serveDone    chan struct{}
	boundAddress string
	drainDelay   time.Duration
	drainOnce    sync.Once
	draining     chan struct{}
}

// New returns a front door that listens on address and exposes set at /metrics.
// When it stops, it reports not ready but still accepts requests for drainDelay.
// newID generates the IDs of submitted jobs.
func New(network transport.Network, address string, drainDelay time.Duration, set *metrics.Set, newID func() string) *Service {
	return &Service{
		network: network, address: address, metrics: set, newID: newID,
		drainDelay: drainDelay, draining: make(chan struct{}),
		serveDone: make(chan struct{}), open: openConns{conns: map[net.Conn]struct{}{}},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service. The front door starts last and stops
// first, so that the work it accepted can finish.
func (s *Service) DependsOn() []string {
	return []string{
		journal.ServiceName, membership.ServiceName, fleet.ServiceName,
		relay.ServiceName, requests.ServiceName, lifecycle.ServiceName, planner.ServiceName,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[*fleet.Service](k, fleet.ServiceName); err != nil {
		return err
	}
	if s.relay, err = kernel.Lookup[*relay.Service](k, relay.ServiceName); err != nil {
		return err
	}
	if s.requests, err = kernel.Lookup[*requests.Service](k, requests.ServiceName); err != nil {
		return err
	}
	return s.listen(s.boundAnswers(s.routes()))
}

// listen opens the listener and serves h in the background.
func (s *Service) listen(h http.Handler) error {
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	s.listener, s.boundAddress = l, l.Addr().String()
	s.server = &http.Server{Handler: s.closeWhileDraining(h), ReadHeaderTimeout: readHeaderTimeout, ConnState: s.open.track}
	ctx, cancel := context.WithCancel(context.Background())
	s.stopIngress = cancel
	if s.Ingress != nil {
		s.Ingress.Prepare(s.server)
		go s.Ingress.Run(ctx)
		l = s.Ingress.Listener(l)
	}
	go func() {
		defer close(s.serveDone)
		if err := s.server.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("frontdoor: stopped serving: %v", err)
		}
	}()
	return nil
}

// closeWhileDraining disables keep-alive while the server drains. Otherwise a
// caller could send its next request on an idle connection just as shutdown
// closes it.
func (s *Service) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Address returns the address that the front door listens on.
func (s *Service) Address() string { return s.boundAddress }

// Drain makes /readyz report not ready, so that the load balancer stops sending
// callers here, and ends long polls for a job's end. It may be called repeatedly.
func (s *Service) Drain() { s.drainOnce.Do(func() { close(s.draining) }) }

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.getHealth)
	mux.HandleFunc("GET /readyz", s.getReady)
	mux.HandleFunc("GET /metrics", s.getMetrics)
	mux.HandleFunc("GET /v1/config", s.getConfig)
	mux.HandleFunc("PUT /v1/config", s.putConfig)
	mux.HandleFunc("PUT /v1/preset", s.putPreset)
	mux.HandleFunc("PUT /v1/zones/{zone}", s.putZone)
	mux.HandleFunc("POST /v1/jobs", s.postJob)
	mux.HandleFunc("GET /v1/jobs", s.listJobs)
	mux.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.deleteJob)
	mux.HandleFunc("POST /v1/services/{service}/requests", s.postRequest)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	return mux
}

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

func (s *Service) getReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func (s *Service) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// notReady returns why the node is not ready, or "" if it is.
func (s *Service) notReady() string {
	if s.isDraining() {
		return "draining"
	}
	if _, read := s.journal.Age(time.Now()); !read {
		return "the log has not been read yet"
	}
	if err := s.relay.CheckServe(time.Now()); err != nil {
		return err.Message
	}
	if !s.requests.Ready() {
		return "the entry VMs have not shared out the upstreams' slots yet"
	}
	return ""
}
