// Package fleet keeps a copy of the platform's list of VMs, which it polls. A node
// that cannot reach the list fetches the copies of other nodes instead. The copy of
// the upstreams decides where short requests are sent.
package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/peer"
)

// ServiceName is the name of the fleet service in the kernel.
const ServiceName = "fleet"

const (
	// pollInterval is the time between reads of the VM list.
	pollInterval = time.Second
	// callTimeout bounds one read of the VM list, or of a peer's copy.
	callTimeout = time.Second
	// askPeersAfter is the age of the copy of the upstreams above which a node also
	// asks its peers for theirs.
	askPeersAfter = 2 * time.Second
	// maxCopyAge is the age up to which a copy is current without confirmation by
	// the peers.
	maxCopyAge = 4 * time.Second
	// confirmationTTL is how long a peer's confirmation that it has no newer copy
	// remains valid.
	confirmationTTL = 3 * time.Second
	// peerLostAfter is the time without an answer after which a peer is considered
	// lost while the list is unreachable. Partitions between regions last for minutes.
	peerLostAfter = 10 * time.Minute
	// maxReplacementTime is the time within which the platform starts and lists a VM
	// that replaces a removed one.
	maxReplacementTime = 30 * time.Second
)

// Service holds the latest copy of the VM list.
type Service struct {
	list  backend.VMList
	peers *peer.Service
	self  string

	mu     sync.RWMutex
	copies map[backend.VMKind]vmCopy
	// confirmedAt is when each peer, by ID, was last known to have no newer copy of
	// the upstreams than this node.
	confirmedAt map[string]time.Time
	// unansweredSince is when the first of the consecutive unanswered calls to a
	// peer, by ID, was sent.
	unansweredSince map[string]time.Time
	// pendingCalls holds the IDs of the peers with a call in flight.
	pendingCalls map[string]bool
	// entryRemovedAt is when an entry VM was last found to be removed from the list.
	entryRemovedAt time.Time
	// unlisted holds when each entry VM, by ID, that the copy does not name last called this
	// node.
	unlisted map[string]time.Time
	loops    kernel.Loops
}

// vmCopy holds the VMs of one kind, as listed at some time not before asOf.
type vmCopy struct {
	vms  []backend.VM
	asOf time.Time
}

// New returns a fleet service over list for the entry VM called self. Its calls
// between nodes are registered with peers.
func New(list backend.VMList, self string, peers *peer.Service) (*Service, error) {
	s := &Service{
		list: list, self: self, peers: peers, copies: map[backend.VMKind]vmCopy{},
		confirmedAt: map[string]time.Time{}, unansweredSince: map[string]time.Time{}, pendingCalls: map[string]bool{}, unlisted: map[string]time.Time{},
	}
	return s, peers.Handle(rpcName, &handler{s})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string { return []string{peer.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.loops.Start(s.poll)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.loops.Stop()
	return nil
}

// VMs returns the VMs of one kind as last listed; the caller must not change
// them. ok is false if the list has never been read.
func (s *Service) VMs(kind backend.VMKind) (vms []backend.VM, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.copies[kind]
	return c.vms, !c.asOf.IsZero()
}

// EntryListAge returns the age of the copy of the entry VMs, which bounds how far it
// may be behind the list. ok is false if the list has never been read.
func (s *Service) EntryListAge(now time.Time) (age time.Duration, ok bool) {
	return s.ageOf(backend.KindEntry, now)
}

func (s *Service) ageOf(kind backend.VMKind, now time.Time) (age time.Duration, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.copies[kind]
	return now.Sub(c.asOf), !c.asOf.IsZero()
}

// UpstreamsCurrent reports whether the copy of the upstreams is current: either it
// is recent, or every other entry VM has confirmed that it has no newer one, because
// the list is unreachable for all. A peer that does not answer may have a newer
// copy, and so may the not yet listed replacement of a lost one. After a pause of
// the process, the copy is not current until the list or the peers are read again.
func (s *Service) UpstreamsCurrent(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if now.Sub(s.copies[backend.KindUpstream].asOf) <= maxCopyAge {
		return true
	}
	entries := s.copies[backend.KindEntry]
	if entries.asOf.Sub(s.entryRemovedAt) <= maxReplacementTime && now.Sub(entries.asOf) < peerLostAfter {
		return false
	}
	for id, at := range s.unlisted {
		if !containsVM(entries.vms, id) && entries.asOf.Sub(at) <= maxReplacementTime && now.Sub(at) < peerLostAfter {
			return false
		}
	}
	for _, vm := range entries.vms {
		if vm.ID != s.self && now.Sub(s.confirmedAt[vm.ID]) > confirmationTTL {
			return false
		}
	}
	return !entries.asOf.IsZero()
}

// RecordCaller records that an entry VM has called this node. It may be able to read the VM
// list although this node's copy does not name it.
func (s *Service) RecordCaller(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.self && !containsVM(s.copies[backend.KindEntry].vms, id) {
		s.unlisted[id] = now
	}
}

func (s *Service) poll(ctx context.Context) {
	for ctx.Err() == nil {
		s.readList(ctx)
		if age, ok := s.ageOf(backend.KindUpstream, time.Now()); ok && age > askPeersAfter {
			s.fetchFromPeers(ctx)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Changes made while the call is in flight may be missing from the reply.
	began := time.Now()
	vms, err := s.list.List(ctx)
	if err != nil {
		klog.V(1).Infof("fleet: cannot read the VM list: %v", err)
		return
	}
	byKind := map[backend.VMKind][]backend.VM{}
	for _, vm := range vms {
		byKind[vm.Kind] = append(byKind[vm.Kind], vm)
	}
	for _, kind := range []backend.VMKind{backend.KindEntry, backend.KindWorker, backend.KindUpstream} {
		s.replaceIfNewer(kind, vmCopy{byKind[kind], began})
	}
}

// replaceIfNewer replaces the copy of the VMs of one kind with c if c is newer.
func (s *Service) replaceIfNewer(kind backend.VMKind, c vmCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.copies[kind]
	if !c.asOf.After(old.asOf) {
		return
	}
	s.copies[kind] = c
	if kind == backend.KindEntry {
		maps.DeleteFunc(s.unlisted, func(id string, at time.Time) bool {
			return containsVM(c.vms, id) || c.asOf.Sub(at) > maxReplacementTime
		})
	}
	if kind == backend.KindEntry && slices.ContainsFunc(old.vms, func(vm backend.VM) bool { return !containsVM(c.vms, vm.ID) }) {
		s.entryRemovedAt = c.asOf
	}
}

// containsVM reports whether vms contains the VM with the given ID.
func containsVM(vms []backend.VM, id string) bool {
	return slices.ContainsFunc(vms, func(vm backend.VM) bool { return vm.ID == id })
}
