package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/peer"
)

const (
	// maxFreshAge is the greatest age of a view of the log that counts as fresh.
	maxFreshAge = 5 * time.Second
	// queryInterval is the time between two rounds of queries to other nodes while
	// this node's view is not fresh.
	queryInterval = time.Second
	// queryTimeout bounds one query to another node.
	queryTimeout = 800 * time.Millisecond
	// rpcName is the name of the RPC service between nodes.
	rpcName = "Lifecycle"
)

// ViewAgeCall is the argument of Lifecycle.ViewAge.
type ViewAgeCall struct{}

// ViewAge is the reply of Lifecycle.ViewAge: the age of a node's view of the log.
// Known is false if the node has not read the log yet.
type ViewAge struct {
	Age   time.Duration
	Known bool
}

// staleness decides whether this node may still act on its view of the log. A
// node that alone is cut off from the log must let its leases expire, since other
// nodes may have ended its attempts. If the log is unreachable for every node, no
// node can have ended them.
type staleness struct {
	maxStaleness time.Duration
	peers        *peer.Service
	journal      *journal.Journal
	fleet        *fleet.Service
	self         string

	mu sync.Mutex
	// staleAt holds, by VM ID, the nodes whose last reply said that their view is not
	// fresh, with the time at which the query was sent.
	staleAt map[string]time.Time
}

func newStaleness(maxStaleness time.Duration, peers *peer.Service) *staleness {
	return &staleness{maxStaleness: maxStaleness, peers: peers, staleAt: map[string]time.Time{}}
}

func (s *staleness) attach(j *journal.Journal, f *fleet.Service, self string) {
	s.journal, s.fleet, s.self = j, f, self
}

func (s *staleness) isFresh(now time.Time) bool {
	age, ok := s.journal.Age(now)
	return ok && age <= maxFreshAge
}

// canRenew reports whether leases may be renewed: this node's view is at most
// maxStaleness old, or the log is unreachable for every node.
func (s *staleness) canRenew(now time.Time) bool {
	age, ok := s.journal.Age(now)
	return ok && (age <= s.maxStaleness || s.isLogUnreachableForAll(now))
}

// isLogUnreachableForAll reports whether the VM list is at most maxStaleness old, and
// every other entry VM on it replied to a query within maxStaleness that its view is
// not fresh.
func (s *staleness) isLogUnreachableForAll(now time.Time) bool {
	if age, ok := s.fleet.EntryListAge(now); !ok || age > s.maxStaleness {
		return false
	}
	listed := s.entryVMs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range listed {
		at, ok := s.staleAt[id]
		if id != s.self && (!ok || now.Sub(at) > s.maxStaleness) {
			return false
		}
	}
	return true
}

// entryVMs returns the IDs of the listed entry VMs.
func (s *staleness) entryVMs() []string {
	vms, _ := s.fleet.VMs(backend.KindEntry)
	ids := make([]string, len(vms))
	for i := range vms {
		ids[i] = vms[i].ID
	}
	return ids
}

// loop queries the other nodes for the ages of their views while this node's view
// is not fresh.
func (s *staleness) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.isFresh(time.Now()) {
			s.reset()
		} else {
			s.queryAll(ctx)
		}
		waitFor(ctx, nil, queryInterval)
	}
}

func (s *staleness) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.staleAt)
}

func (s *staleness) queryAll(ctx context.Context) {
	vms, _ := s.fleet.VMs(backend.KindEntry)
	var wg sync.WaitGroup
	for _, vm := range vms {
		if vm.ID != s.self {
			wg.Go(func() { s.query(ctx, vm) })
		}
	}
	wg.Wait()
}

func (s *staleness) query(ctx context.Context, vm backend.VM) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	began := time.Now()
	var reply ViewAge
	if err := s.peers.Call(ctx, vm.Address, rpcName+".ViewAge", &ViewAgeCall{}, &reply); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Known && reply.Age <= maxFreshAge {
		delete(s.staleAt, vm.ID)
	} else {
		s.staleAt[vm.ID] = began
	}
}

type handler struct{ s *staleness }

// ViewAge is the RPC handler that returns the age of this node's view of the log.
func (h *handler) ViewAge(_ *ViewAgeCall, reply *ViewAge) error {
	if h.s.journal != nil {
		reply.Age, reply.Known = h.s.journal.Age(time.Now())
	}
	return nil
}
