// Package frontdoor serves callers and operators over HTTP.
package frontdoor

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/lifecycle"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/planner"
	"github.com/shallotpin/shallotpin/pkg/requests"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the front door in the kernel.
const ServiceName = "frontdoor"

// readHeaderTimeout bounds the time a caller may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Service is the HTTP server of a node.
type Service struct {
	network transport.Network
	address string
	metrics *metrics.Set

	journal  *journal.Journal
	members  *membership.Service
	fleet    *fleet.Service
	requests *requests.Service

	server   *http.Server
	bound    string
	draining atomic.Bool
}

// New returns a front door that listens on address and exposes set at /metrics.
func New(network transport.Network, address string, set *metrics.Set) *Service {
	return &Service{network: network, address: address, metrics: set}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service. The front door starts last and stops
// first, so that the work it accepted can finish.
func (s *Service) DependsOn() []string {
	return []string{
		journal.ServiceName, membership.ServiceName, fleet.ServiceName,
		requests.ServiceName, lifecycle.ServiceName, planner.ServiceName,
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
	if s.requests, err = kernel.Lookup[*requests.Service](k, requests.ServiceName); err != nil {
		return err
	}
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	s.bound = l.Addr().String()
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("frontdoor: stopped serving: %v", err)
		}
	}()
	return nil
}

// Address returns the address that the front door listens on.
func (s *Service) Address() string { return s.bound }

// Drain makes the node not ready, so that the balancer sends no new callers.
func (s *Service) Drain() { s.draining.Store(true) }

// Stop implements kernel.Service: it takes no new requests and waits for those
// in flight, as long as ctx allows.
func (s *Service) Stop(ctx context.Context) error {
	s.Drain()
	return s.server.Shutdown(ctx)
}

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
	_, read := s.journal.Age(time.Now())
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case !read:
		http.Error(w, "the log has not been read yet", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ready\n"))
	}
}

func (s *Service) getMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
