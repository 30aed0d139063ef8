// Package membership knows which nodes answer heartbeats, and picks a
// preferred node for a piece of work by rendezvous hashing. The choice only
// avoids wasted work: the log decides between nodes whose views differ.
package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/platform"
)

// ServiceName is the name of the membership service in the kernel.
const ServiceName = "membership"

const (
	// HeartbeatInterval is the time between two heartbeats to a node.
	HeartbeatInterval = time.Second
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// SuspectAfter is the silence after which a node counts as not live.
	SuspectAfter = 4 * time.Second
)

// Member is one node. Incarnation differs between two runs of a node.
type Member struct {
	ID          string
	Incarnation string
	Zone        string
	Address     string
}

// Heartbeat is the argument and the reply of a heartbeat.
type Heartbeat struct{ From Member }

// Service sends heartbeats and keeps the view.
type Service struct {
	self  Member
	peers *peer.Service
	fleet *fleet.Service

	mu     sync.Mutex
	seen   map[string]observed
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type observed struct {
	member Member
	at     time.Time
}

// New returns a membership service for the node self. Its heartbeat handler is
// registered with peers.
func New(self Member, peers *peer.Service) (*Service, error) {
	s := &Service{self: self, peers: peers, seen: map[string]observed{}}
	return s, peers.Handle("Membership", &handler{s})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string { return []string{peer.ServiceName, fleet.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.fleet, err = kernel.Lookup[*fleet.Service](k, fleet.ServiceName); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.loop(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Self returns this node.
func (s *Service) Self() Member { return s.self }

// Live returns the nodes heard of lately, this one among them, sorted by ID.
func (s *Service) Live(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := []Member{s.self}
	for _, o := range s.seen {
		if now.Sub(o.at) < SuspectAfter {
			live = append(live, o.member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Preferred returns the live node that rendezvous hashing picks for key.
func (s *Service) Preferred(now time.Time, key string) Member {
	return Rendezvous(s.Live(now), key)
}

// Rendezvous picks one of members for key; members must not be empty.
func Rendezvous(members []Member, key string) Member {
	best, bestScore := members[0], uint64(0)
	for i, m := range members {
		score := xxhash.Sum64String(m.ID + "\x00" + key)
		if i == 0 || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		s.round(ctx)
		select {
		case <-time.After(HeartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// round sends one heartbeat to every listed entry VM.
func (s *Service) round(ctx context.Context) {
	vms, _ := s.fleet.VMs(platform.KindEntry)
	for _, vm := range vms {
		if vm.ID == s.self.ID {
			continue
		}
		s.wg.Go(func() { s.beat(ctx, vm.Address) })
	}
}

func (s *Service) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply Heartbeat
	if err := s.peers.Call(ctx, address, "Membership.Beat", &Heartbeat{s.self}, &reply); err == nil {
		s.observe(reply.From)
	}
}

func (s *Service) observe(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[m.ID] = observed{m, time.Now()}
}

type handler struct{ s *Service }

// Beat answers a heartbeat.
func (h *handler) Beat(args *Heartbeat, reply *Heartbeat) error {
	h.s.observe(args.From)
	reply.From = h.s.self
	return nil
}
