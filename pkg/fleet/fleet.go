// Package fleet polls the platform's list of VMs and offers the latest copy. A
// node that cannot reach the list takes the copy of another node instead.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/platform"
)

// ServiceName is the name of the fleet service in the kernel.
const ServiceName = "fleet"

const (
	// pollInterval is the time between two reads of the VM list.
	pollInterval = time.Second
	// callTimeout bounds one read of the VM list, or of a peer's copy.
	callTimeout = time.Second
	// staleAfter is the age of the copy at which peers are asked for theirs.
	staleAfter = 2 * time.Second
	// currentWithin is the age up to which a copy may be acted on.
	currentWithin = 4 * time.Second
	// noNewsWithin is for how long the word of peers counts that they have no
	// newer copy either.
	noNewsWithin = 3 * time.Second
)

// Service holds the latest copy of the VM list.
type Service struct {
	list  platform.VMList
	peers *peer.Service
	self  string
	rng   *rand.Rand

	mu     sync.RWMutex
	copies map[platform.VMKind]listed
	// noNews is when peers were last asked and had no newer copy.
	noNews time.Time
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// listed holds the VMs of one kind, as the list had them at some time after at.
type listed struct {
	vms []platform.VM
	at  time.Time
}

// New returns a fleet service over list for the entry VM called self. Its calls
// between nodes are registered with peers. rng picks the peers to ask.
func New(list platform.VMList, self string, peers *peer.Service, rng *rand.Rand) (*Service, error) {
	s := &Service{list: list, self: self, peers: peers, rng: rng, copies: map[platform.VMKind]listed{}}
	return s, peers.Handle(rpcName, &handler{s})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string { return []string{peer.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.poll(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// VMs returns the VMs of one kind as last listed; the caller must not change
// them. ok is false if the list has never been read.
func (s *Service) VMs(kind platform.VMKind) (vms []platform.VM, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := s.copies[kind]
	return l.vms, !l.at.IsZero()
}

// Age returns for how long the copy of the entry VMs may be behind the list. ok
// is false if the list has never been read.
func (s *Service) Age(now time.Time) (age time.Duration, ok bool) {
	return s.ageOf(platform.KindEntry, now)
}

func (s *Service) ageOf(kind platform.VMKind, now time.Time) (age time.Duration, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l := s.copies[kind]
	return now.Sub(l.at), !l.at.IsZero()
}

// Current reports whether the copy of the upstreams may be acted on: it is
// recent, or no peer has a newer one, since the list is out of reach for all. A
// process that was paused finds its copy not current until it has looked again.
func (s *Service) Current(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now.Sub(s.copies[platform.KindUpstream].at) <= currentWithin || now.Sub(s.noNews) <= noNewsWithin
}

func (s *Service) poll(ctx context.Context) {
	for ctx.Err() == nil {
		s.readOnce(ctx)
		if age, ok := s.ageOf(platform.KindUpstream, time.Now()); ok && age > staleAfter {
			s.askPeers(ctx)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// What changes while the answer is under way may be missing from it.
	began := time.Now()
	vms, err := s.list.List(ctx)
	if err != nil {
		klog.V(1).Infof("fleet: cannot read the VM list: %v", err)
		return
	}
	byKind := map[platform.VMKind][]platform.VM{}
	for _, vm := range vms {
		byKind[vm.Kind] = append(byKind[vm.Kind], vm)
	}
	for _, kind := range []platform.VMKind{platform.KindEntry, platform.KindWorker, platform.KindUpstream} {
		s.adopt(kind, listed{byKind[kind], began})
	}
}

// adopt replaces a copy by a newer one.
func (s *Service) adopt(kind platform.VMKind, l listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.at.After(s.copies[kind].at) {
		s.copies[kind] = l
	}
}
