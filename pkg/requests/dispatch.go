package requests

import (
	"context"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/admission"
	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/routing"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// refusedBackoff is how long an upstream that refused a request gets no work.
	refusedBackoff = 2 * time.Second
	// abandonedSlotDelay is how long a slot stays in use after an attempt without an
	// answer: the upstream may still be working on it.
	abandonedSlotDelay = 250 * time.Millisecond
	// initialServiceTime is the average service time before the first answer.
	initialServiceTime = 10 * time.Millisecond
	// usableThroughputPercent is the part of the slots' nominal throughput that
	// admission assumes: some slots are lost to failures and to attempts without
	// an answer.
	usableThroughputPercent = 60
	// minServiceTimePercent is the part of the average service time that must be
	// left before the deadline when a request is sent.
	minServiceTimePercent = 80
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.05
	// maxEjectedShare is the largest share of a service's upstreams that may be ejected.
	maxEjectedShare = 0.5
)

// pool is this node's state of one service: the queue, the average service time
// and the retry budget.
type pool struct {
	queue       *admission.Queue
	budget      admission.RetryBudget
	serviceTime time.Duration
	// slots is how many slots this node could use when the last request arrived.
	slots int
}

// upstreamState is this node's record of one upstream.
type upstreamState struct {
	inFlight int
	health   routing.Health
	// backoffUntil is when an upstream that refused a request gets new work again.
	backoffUntil time.Time
	// draining means that the upstream announced, to this node or to another one,
	// that it is draining. It stays set until the VM is off the VM list.
	draining bool
}

// waiter is a queued request; slot receives its upstream, or a zero VM if the
// request can no longer meet its deadline.
type waiter struct {
	slot chan backend.VM
	// avoid is the upstream of the previous attempt.
	avoid string
}

// pool returns the pool of a service, created if missing. It must be called with mu held.
func (s *Service) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{queue: admission.New(), serviceTime: initialServiceTime}
		s.pools[service] = p
	}
	return p
}

// acquire waits for a slot on an upstream, other than avoid if possible.
func (s *Service) acquire(ctx context.Context, r *api.Request, class config.Class, avoid string) (backend.VM, *api.Error) {
	vms := s.availableUpstreams(r.Service)
	if len(vms) == 0 {
		return backend.VM{}, api.Errorf(api.CodeUnavailable, "no upstream serves %s", r.Service)
	}
	deadline, _ := ctx.Deadline()
	now := time.Now()
	wt := &waiter{slot: make(chan backend.VM, 1), avoid: avoid}
	it := &admission.Item{Account: r.Account, Class: r.Class, Weight: s.weight(r.Account), Deadline: deadline, Value: wt}
	s.mu.Lock()
	p := s.pool(r.Service)
	err := p.queue.Push(it, class.MaxQueued, s.throughput(p, vms, now), now)
	if err == nil {
		s.dispatch(r.Service, vms, now)
	}
	s.mu.Unlock()
	if err != nil {
		return backend.VM{}, err
	}
	select {
	case vm := <-wt.slot:
		if vm.ID == "" {
			return vm, noSlotError(r.Service)
		}
		return vm, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := p.queue.Remove(it)
	s.mu.Unlock()
	if !waiting {
		if vm := <-wt.slot; vm.ID != "" {
			s.release(r.Service, vm, 0)
		}
	}
	return backend.VM{}, noSlotError(r.Service)
}

func noSlotError(service string) *api.Error {
	return api.Errorf(api.CodeOverloaded, "no upstream of %s had a free slot before the deadline", service)
}

// weight returns the account's weight in fair queueing, at least 1.
func (s *Service) weight(account string) (weight int) {
	s.journal.View(func(st *state.State) {
		if a := st.Config.Account(account); a != nil {
			weight = a.Weight
		}
	})
	return max(1, weight)
}

// throughput estimates the throughput of this node's slots, and updates p.slots. It
// must be called with mu held.
func (s *Service) throughput(p *pool, vms []backend.VM, now time.Time) admission.Throughput {
	slots := 0
	for _, vm := range vms {
		slots += s.upstreamState(vm.ID).health.Limit(s.roster.share(vm, now), now)
	}
	p.slots = slots
	perSecond := float64(slots) / p.serviceTime.Seconds()
	return admission.Throughput{PerSecond: perSecond * usableThroughputPercent / 100, ServiceTime: p.serviceTime}
}

// upstreamState returns the state of an upstream, created if missing. It must be
// called with mu held.
func (s *Service) upstreamState(id string) *upstreamState {
	u := s.upstreams[id]
	if u == nil {
		u = &upstreamState{}
		s.upstreams[id] = u
	}
	return u
}

// availableUpstreams returns the upstreams of a service that may take new work, and
// marks those that are leaving or in a zone that is out as unavailable. It must be
// called without mu held.
func (s *Service) availableUpstreams(service string) []backend.VM {
	all, _ := s.fleet.VMs(backend.KindUpstream)
	var available, unavailable []backend.VM
	s.journal.View(func(st *state.State) {
		for _, vm := range all {
			switch {
			case vm.Service != service:
			case vm.Leaving || st.ZoneOut(vm.Zone):
				unavailable = append(unavailable, vm)
			default:
				available = append(available, vm)
			}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range unavailable {
		s.upstreamState(vm.ID).health.MarkUnavailable()
	}
	return available
}

// isAvailable reports whether an upstream may still take new work.
func (s *Service) isAvailable(vm backend.VM) (available bool) {
	all, _ := s.fleet.VMs(backend.KindUpstream)
	i := slices.IndexFunc(all, func(listed backend.VM) bool { return listed.ID == vm.ID })
	if i < 0 || all[i].Leaving {
		return false
	}
	s.journal.View(func(st *state.State) { available = !st.ZoneOut(all[i].Zone) })
	return available
}

// dispatch assigns free slots to waiting requests. It must be called with mu held.
func (s *Service) dispatch(service string, vms []backend.VM, now time.Time) {
	p := s.pool(service)
	candidates := s.candidates(p, vms, now)
	for p.queue.Len() > 0 {
		i := routing.Choose(candidates, s.rng)
		if i < 0 {
			return
		}
		it := p.queue.Pop()
		wt := it.Value.(*waiter)
		if it.Deadline.Sub(now) < p.serviceTime*minServiceTimePercent/100 {
			// It would time out at the upstream, and waste the slot.
			wt.slot <- backend.VM{}
			continue
		}
		if candidates[i].ID == wt.avoid {
			i = s.chooseOther(candidates, i)
		}
		candidates[i].InFlight++
		s.upstreamState(vms[i].ID).inFlight++
		wt.slot <- vms[i]
	}
}

// chooseOther chooses a candidate other than i, or i if no other one has a free slot.
func (s *Service) chooseOther(candidates []routing.Candidate, i int) int {
	rest := slices.Clone(candidates)
	rest[i].Limit = 0
	if k := routing.Choose(rest, s.rng); k >= 0 {
		return k
	}
	return i
}

// candidates returns the routing candidates for vms, in the same order. It must be
// called with mu held.
func (s *Service) candidates(p *pool, vms []backend.VM, now time.Time) []routing.Candidate {
	out := make([]routing.Candidate, len(vms))
	for i, vm := range vms {
		u := s.upstreamState(vm.ID)
		out[i] = routing.Candidate{ID: vm.ID, Zone: vm.Zone, InFlight: u.inFlight, Latency: u.health.Latency()}
		if out[i].Latency == 0 {
			out[i].Latency = p.serviceTime
		}
		if !u.draining && !now.Before(u.backoffUntil) {
			out[i].Limit = u.health.Limit(s.roster.share(vm, now), now)
		}
	}
	return out
}

// release frees a slot and assigns it to a waiting request. It does so after delay
// if the upstream may still be working. It must be called without mu held.
func (s *Service) release(service string, vm backend.VM, delay time.Duration) {
	if delay > 0 {
		time.AfterFunc(delay, func() { s.release(service, vm, 0) })
		return
	}
	vms := s.availableUpstreams(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamState(vm.ID).inFlight--
	s.dispatch(service, vms, time.Now())
}

// lacksSlots reports whether a request must be forwarded: this node has no slot of
// the service, for example because it has not yet agreed with the other nodes, and
// another node that has joined is reachable.
func (s *Service) lacksSlots(service string) bool {
	vms, now := s.availableUpstreams(service), time.Now()
	for _, vm := range vms {
		if s.roster.share(vm, now) > 0 {
			return false
		}
	}
	others := s.roster.reachable(now, func(n *rosterNode) bool { return n.joined })
	return len(vms) > 0 && len(others) > 0
}

// dispatchAll assigns free slots of every service, since the view, the fleet or
// the zones may have changed. It also prunes the state of upstreams.
func (s *Service) dispatchAll() {
	s.mu.Lock()
	var services []string
	for name := range s.pools {
		services = append(services, name)
	}
	s.mu.Unlock()
	for _, name := range services {
		vms := s.availableUpstreams(name)
		s.mu.Lock()
		s.dispatch(name, vms, time.Now())
		s.mu.Unlock()
	}
	s.pruneUpstreams()
}

// pruneUpstreams drops the state of upstreams that are off the VM list.
func (s *Service) pruneUpstreams() {
	all, ok := s.fleet.VMs(backend.KindUpstream)
	if !ok {
		return
	}
	listed, addresses := map[string]bool{}, map[string]bool{}
	for _, vm := range all {
		listed[vm.ID], addresses[vm.Address] = true, true
	}
	s.upstreamClient.retainOnly(addresses)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.upstreams {
		if !listed[id] && u.inFlight == 0 {
			delete(s.upstreams, id)
		}
	}
}

// withinShares reports whether this node uses no more slots of any upstream than
// it has in every view since the last agreement.
func (s *Service) withinShares() bool {
	all, _ := s.fleet.VMs(backend.KindUpstream)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range all {
		if u := s.upstreams[vm.ID]; u != nil && u.inFlight > s.roster.share(vm, now) {
			return false
		}
	}
	return true
}

// isIdle reports whether this node uses no slot.
func (s *Service) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if u.inFlight > 0 {
			return false
		}
	}
	return true
}

// recordResult updates the upstream's health and the average service time with
// the result of an attempt; took is its duration.
func (s *Service) recordResult(service string, vm backend.VM, got attemptResult, took time.Duration) {
	now := time.Now()
	vms := s.availableUpstreams(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreamState(vm.ID)
	u.draining = u.draining || got.draining
	if got.refused {
		u.backoffUntil = now.Add(refusedBackoff)
	}
	switch {
	case got.refused, got.silent, got.canceled:
	case got.answer.Error == nil:
		u.health.RecordSuccess(took)
		p := s.pool(service)
		p.serviceTime += time.Duration(serviceTimeWeight * float64(took-p.serviceTime))
	default:
		if got.abandoned {
			// The attempt timeout depends on the average service time. If timeouts did
			// not raise it, all attempts at a service that has become slow would time out.
			p := s.pool(service)
			p.serviceTime += time.Duration(serviceTimeWeight * float64(max(took, p.serviceTime)-p.serviceTime))
		}
		u.health.RecordFailure(now, s.canEject(vms, now))
	}
}

// drainingUpstreams returns the IDs of the draining upstreams.
func (s *Service) drainingUpstreams() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, u := range s.upstreams {
		if u.draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// markDraining marks the upstreams that another node knows to be draining.
func (s *Service) markDraining(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.upstreamState(id).draining = true
	}
}

// canEject reports whether another upstream may be ejected. It must be called with
// mu held.
func (s *Service) canEject(vms []backend.VM, now time.Time) bool {
	ejected := 0
	for _, vm := range vms {
		if s.upstreamState(vm.ID).health.Ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(vms))
}
