// Package requests carries short requests from callers to upstreams and tells
// the truth about each one.
package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/relay"
	"github.com/shallotpin/shallotpin/pkg/routing"
	"github.com/shallotpin/shallotpin/pkg/state"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the request service in the kernel.
const ServiceName = "requests"

// queuePoll is the wait between two looks for a free slot.
const queuePoll = 5 * time.Millisecond

// Service routes short requests.
type Service struct {
	upstream *upstreamClient
	journal  *journal.Journal
	members  *membership.Service
	fleet    *fleet.Service
	relay    *relay.Service

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight map[string]int
}

// New returns a request service that reaches upstreams over network. rng
// drives the choice among upstreams.
func New(network transport.Network, rng *rand.Rand) *Service {
	return &Service{upstream: newUpstreamClient(network), rng: rng, inFlight: map[string]int{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName, fleet.ServiceName, relay.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
	if s.relay, err = kernel.Lookup[*relay.Service](k, relay.ServiceName); err != nil {
		return err
	}
	s.fleet, err = kernel.Lookup[*fleet.Service](k, fleet.ServiceName)
	return err
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.upstream.close()
	return nil
}

// Do runs one request and returns its outcome. The answer always carries a verdict.
func (s *Service) Do(ctx context.Context, r *api.Request) api.Answer {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if err := s.relay.CheckServe(time.Now()); err != nil {
		return refuse(r, err)
	}
	class, err := s.class(r)
	if err != nil {
		return refuse(r, err)
	}
	if r.Timeout <= 0 {
		r.Timeout = time.Duration(class.TimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	vm, err := s.acquire(ctx, r)
	if err != nil {
		return refuse(r, err)
	}
	defer s.release(vm.ID)
	return s.upstream.do(ctx, vm, r, r.ID).answer
}

func refuse(r *api.Request, err error) api.Answer {
	e := api.AsError(err, api.NotRun)
	return api.Answer{RequestID: r.ID, Verdict: e.Verdict, Error: e}
}

func (s *Service) class(r *api.Request) (class config.Class, err error) {
	s.journal.View(func(st *state.State) {
		if st.Config == nil {
			err = api.Errorf(api.CodeUnavailable, "no configuration has been read yet")
			return
		}
		service := st.Config.Service(r.Service)
		if service == nil {
			err = api.FieldErrorf("service", "%q is not a service", r.Service)
			return
		}
		if st.Config.Account(r.Account) == nil {
			err = api.FieldErrorf("account", "%q is not a client account", r.Account)
			return
		}
		if r.Class == "" {
			r.Class = service.Classes[0].Name
		}
		found := service.Class(r.Class)
		if found == nil {
			err = api.FieldErrorf("class", "%q is not a class of service %s", r.Class, r.Service)
			return
		}
		class = *found
	})
	return class, err
}

// acquire waits for a slot on an upstream.
func (s *Service) acquire(ctx context.Context, r *api.Request) (platform.VM, error) {
	for {
		vms := s.upstreams(r.Service)
		if len(vms) == 0 {
			return platform.VM{}, api.Errorf(api.CodeUnavailable, "no upstream serves %s", r.Service)
		}
		if vm, ok := s.tryAcquire(vms); ok {
			return vm, nil
		}
		select {
		case <-time.After(queuePoll):
		case <-ctx.Done():
			return platform.VM{}, api.Errorf(api.CodeOverloaded, "no upstream of %s had a free slot before the deadline", r.Service)
		}
	}
}

// upstreams lists the upstreams of a service that may take new work.
func (s *Service) upstreams(service string) []platform.VM {
	all, _ := s.fleet.VMs(platform.KindUpstream)
	var open []platform.VM
	s.journal.View(func(st *state.State) {
		for _, vm := range all {
			if vm.Service == service && !vm.Leaving && !st.ZoneOut(vm.Zone) {
				open = append(open, vm)
			}
		}
	})
	return open
}

func (s *Service) tryAcquire(vms []platform.VM) (platform.VM, bool) {
	nodes := len(s.members.Live(time.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]routing.Candidate, len(vms))
	for i, vm := range vms {
		candidates[i] = routing.Candidate{ID: vm.ID, Zone: vm.Zone, InFlight: s.inFlight[vm.ID], Limit: max(1, vm.Slots/nodes)}
	}
	i := routing.Choose(candidates, s.rng)
	if i < 0 {
		return platform.VM{}, false
	}
	s.inFlight[vms[i].ID]++
	return vms[i], true
}

func (s *Service) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id]--; s.inFlight[id] == 0 {
		delete(s.inFlight, id)
	}
}
