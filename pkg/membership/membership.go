// Package membership tracks by heartbeats which nodes are live and what they report
// about their views of the log, and picks a preferred node for a piece of work by
// rendezvous hashing. The choice only avoids duplicate work: nodes whose views differ
// may choose differently, and the log decides between them.
package membership

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/peer"
)

// ServiceName is the name of the membership service in the kernel.
const ServiceName = "membership"

const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = time.Second
	// staleHeartbeatInterval is used instead while this node's view of the log is
	// stale, so that it quickly learns whether the others are cut off too.
	staleHeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds the calls of one heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// SuspectAfter is the time without a sign of a node after which it no longer
	// counts as live. With more than maxFullMesh other nodes, signs take several
	// rounds to spread, and suspectAfterLarge applies.
	SuspectAfter      = 4 * time.Second
	suspectAfterLarge = 8 * time.Second
	// LateAfter is the time without a sign of a node after which it counts as late.
	// With more than maxFullMesh other nodes, LateAfterLarge applies: by then, a
	// node that is close to being suspected has been sent a heartbeat directly.
	LateAfter      = 2500 * time.Millisecond
	LateAfterLarge = 5 * time.Second
	// maxFullMesh is the largest number of other nodes to which every round sends a
	// heartbeat. If there are more, a round goes to fanOut of them.
	maxFullMesh = 8
	fanOut      = 3
	// maxSuspectTargets bounds the additional heartbeats of a round to nodes that
	// are close to being suspected.
	maxSuspectTargets = 2
	// forgetAfter is the time without a sign after which a node that the VM list
	// never showed is considered gone.
	forgetAfter = time.Minute
)

// Member is one node. Incarnation identifies one run of the node's process.
type Member struct {
	ID          string
	Incarnation string
	Zone        string
	Address     string
	// Started is when the process started, in nanoseconds of the node's wall clock.
	// It orders the incarnations of a node.
	Started int64
	// Format is the newest record format that the node's program reads, or zero if
	// the program is too old to report it.
	Format int
}

// Status is what a node reports about its view of the log.
type Status struct {
	// Stale is set if the view is not known to be up to date.
	Stale bool
	// Unconfirmed is set if the log may hold a zone change that the node has not
	// read.
	Unconfirmed bool
	// Detached is set if the node itself cannot read or append to the log. Its view
	// may still be up to date by way of other nodes.
	Detached bool
	// Offset is the offset of the next entry that the node will apply.
	Offset int64
}

// Report is the latest information on a member.
type Report struct {
	Member Member
	// Heard is the latest time at which the member is known to have been alive.
	Heard time.Time
	// Reported is the earliest time at which Status may have been composed, or zero
	// if there is no status.
	Reported time.Time
	Status   Status
	// UnconfirmedAt is the latest such time of a status with Unconfirmed set.
	UnconfirmedAt time.Time
}

// Service sends heartbeats and keeps a report on every other node. It is safe for
// concurrent use after Start.
type Service struct {
	self   Member
	peers  *peer.Service
	fleet  *fleet.Service
	status func() Status

	// mu guards the fields down to rng. reports and everListed are keyed by node ID,
	// idByHash by the hash of an incarnation. targetOrder holds the nodes still to be
	// sent a heartbeat in the present random order.
	mu          sync.Mutex
	reports     map[string]*Report
	idByHash    map[uint32]string
	everListed  map[string]bool
	targetOrder []string
	rng         *rand.Rand
	loops       kernel.Loops
}

// New returns a membership service for the node self, and registers its RPC handler
// with peers.
func New(self Member, peers *peer.Service) (*Service, error) {
	seed := xxhash.Sum64String(self.Incarnation)
	s := &Service{
		self: self, peers: peers, status: func() Status { return Status{Stale: true} },
		reports: map[string]*Report{}, idByHash: map[uint32]string{}, everListed: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
	return s, peers.Handle("Membership", &handler{s})
}

// SetStatusFunc sets the function that returns what this node reports about itself.
// It must be called before Start.
func (s *Service) SetStatusFunc(fn func() Status) { s.status = fn }

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
	s.loops.Start(s.loop)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.loops.Stop()
	return nil
}

// Self returns this node.
func (s *Service) Self() Member { return s.self }

// Live returns the nodes that are not suspected, including this one, sorted by ID.
func (s *Service) Live(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aliveWithin(now, s.suspectAfter())
}

// aliveWithin returns this node and those known to have been alive within the last d,
// sorted by ID. The caller must hold mu.
func (s *Service) aliveWithin(now time.Time, d time.Duration) []Member {
	alive := []Member{s.self}
	for _, r := range s.reports {
		if now.Sub(r.Heard) < d {
			alive = append(alive, r.Member)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	return alive
}

// OnTime returns the attached nodes that are not late. Work that may safely be done
// twice can be taken from a late node before it is suspected. OnTime calls the status
// function, with the restriction given at Preferred.
func (s *Service) OnTime(now time.Time) []Member {
	s.mu.Lock()
	late := LateAfter
	if len(s.reports) > maxFullMesh {
		late = LateAfterLarge
	}
	onTime := s.aliveWithin(now, late)
	s.mu.Unlock()
	return s.filterAttached(onTime)
}

// suspectAfter returns the time without a sign after which a node is suspected. The
// caller must hold mu.
func (s *Service) suspectAfter() time.Duration {
	if len(s.reports) > maxFullMesh {
		return suspectAfterLarge
	}
	return SuspectAfter
}

// Preferred returns the node that rendezvous hashing picks for key among the attached
// nodes. It calls the function given to SetStatusFunc, so it must not be called under
// a lock that the function needs, such as within journal.View.
func (s *Service) Preferred(now time.Time, key string) Member {
	return Rendezvous(s.Attached(now), key)
}

// Attached returns the live nodes that are not known to be cut off from the log, or
// all live nodes if every one is. It calls the status function, with the restriction
// given at Preferred.
func (s *Service) Attached(now time.Time) []Member {
	return s.filterAttached(s.Live(now))
}

// filterAttached returns those of live that are not known to be cut off from the log,
// or live if every one is.
func (s *Service) filterAttached(live []Member) []Member {
	self := s.status()
	s.mu.Lock()
	defer s.mu.Unlock()
	var attached []Member
	for _, m := range live {
		status := self
		if r := s.reports[m.ID]; r != nil && m.ID != s.self.ID {
			status = r.Status
		}
		if !status.Detached {
			attached = append(attached, m)
		}
	}
	if len(attached) == 0 {
		return live
	}
	return attached
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

// Others returns a report on every other node that is not known to be gone. complete
// is false while the VM list has not been read, in which case there may be more
// nodes. The report on a listed node that has never shown a sign holds only its ID.
func (s *Service) Others(now time.Time) (reports []Report, complete bool) {
	vms, complete := s.fleet.VMs(backend.KindEntry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordListed(vms)
	current := map[string]bool{s.self.ID: true}
	for _, vm := range vms {
		if current[vm.ID] {
			continue
		}
		current[vm.ID] = true
		if r := s.reports[vm.ID]; r != nil {
			reports = append(reports, *r)
		} else {
			reports = append(reports, Report{Member: Member{ID: vm.ID}})
		}
	}
	for id, r := range s.reports {
		if !current[id] && !s.isGone(id, now) {
			reports = append(reports, *r)
		}
	}
	return reports, complete
}

// recordListed records that vms have been on the VM list. The caller must hold mu.
func (s *Service) recordListed(vms []backend.VM) {
	for _, vm := range vms {
		s.everListed[vm.ID] = true
	}
}

// isGone reports whether a node that is not listed now is known to be gone: it was
// listed before and is suspected, or was never listed and has shown no sign for
// forgetAfter. The caller must hold mu.
func (s *Service) isGone(id string, now time.Time) bool {
	limit := forgetAfter
	if s.everListed[id] {
		limit = s.suspectAfter()
	}
	return now.Sub(s.reports[id].Heard) >= limit
}

// LastUnconfirmed returns the latest time at which any node, live or not, may have
// reported Unconfirmed; zero if none has.
func (s *Service) LastUnconfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest time.Time
	for _, r := range s.reports {
		if r.UnconfirmedAt.After(latest) {
			latest = r.UnconfirmedAt
		}
	}
	return latest
}
