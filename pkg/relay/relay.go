// Package relay replicates log entries and states between nodes, so that a node that
// cannot read the log still gets the current state and knows how fresh it is. It
// decides whether a node's view is fresh enough to start work or to change the
// configuration, and writes snapshots of the state to the log.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the relay in the kernel.
const ServiceName = "relay"

const (
	// pullCheckInterval is the time between two checks of the view's age.
	pullCheckInterval = 300 * time.Millisecond
	// pullMinAge is the age of the view above which peers are called. It is above the
	// age that a view reaches between two reads of a healthy log.
	pullMinAge = 1200 * time.Millisecond
	// pullFanOut is the number of peers called at a time.
	pullFanOut = 2
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
)

// Settings holds the settings of the relay.
type Settings struct {
	// SnapshotInterval is the age of the newest snapshot in the log at which a new one
	// is due.
	SnapshotInterval time.Duration
	// ClockDrift is the greatest relative drift assumed between the clocks of two
	// nodes, as a fraction.
	ClockDrift float64
}

// DefaultSettings are the default settings of a daemon.
var DefaultSettings = Settings{SnapshotInterval: 10 * time.Minute, ClockDrift: 0.01}

// Service pulls entries from peers while this node's view is old, serves them to
// peers, and writes snapshots.
type Service struct {
	settings Settings
	peers    *peer.Service
	members  *membership.Service
	journal  *journal.Journal

	mu          sync.Mutex
	rng         *rand.Rand
	servedState servedState

	loops kernel.Loops
}

// New returns a relay. It registers its RPC handler with peers, and reports the status
// of this node's view to other nodes through members. rng chooses the peers to call.
func New(settings Settings, j *journal.Journal, members *membership.Service, peers *peer.Service, rng *rand.Rand) (*Service, error) {
	s := &Service{settings: settings, peers: peers, members: members, journal: j, rng: rng}
	members.SetStatusFunc(s.status)
	return s, peers.Handle("Relay", &handler{s})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName, peer.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.loops.Start(s.pullLoop, s.snapshotLoop)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.loops.Stop()
	return nil
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) pullLoop(ctx context.Context) {
	for sleep(ctx, pullCheckInterval) {
		now := time.Now()
		s.journal.SetNodeCount(len(s.members.Live(now)))
		if s.journal.FreshWithin(now, pullMinAge) {
			continue
		}
		var wg sync.WaitGroup
		for _, m := range s.pickPeers(now) {
			wg.Go(func() {
				if err := s.pull(ctx, m.Address); err != nil {
					klog.V(1).Infof("relay: pull from %s failed: %v", m.ID, err)
				}
			})
		}
		wg.Wait()
	}
}

// pickPeers returns up to pullFanOut other live members, chosen at random.
func (s *Service) pickPeers(now time.Time) []membership.Member {
	live := s.members.Live(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var picked []membership.Member
	for _, m := range live {
		if m.ID != s.members.Self().ID && len(picked) < pullFanOut {
			picked = append(picked, m)
		}
	}
	return picked
}

// pull fetches and applies what the peer has read beyond this node's offset.
func (s *Service) pull(ctx context.Context, address string) error {
	for {
		sent := time.Now()
		var reply PullReply
		if err := s.call(ctx, address, "Relay.Pull", &PullCall{From: s.journal.Offset()}, &reply); err != nil {
			return err
		}
		if reply.TooOld {
			if err := s.fetchState(ctx, address); err != nil {
				return err
			}
			continue
		}
		if err := s.journal.ApplyEntries(reply.Entries); err != nil {
			return err
		}
		if reply.Known {
			// The reply was composed after the call was sent. So the peer confirmed
			// its view no earlier than Age before sent.
			age := time.Duration(float64(reply.Age) * (1 + s.settings.ClockDrift))
			s.journal.Confirm(reply.Offset, sent.Add(-age))
		}
		if len(reply.Entries) == 0 || s.journal.Offset() >= reply.Offset {
			return nil
		}
	}
}

func (s *Service) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Call(ctx, address, method, args, reply)
}

// fetchState fetches a peer's state chunk by chunk and installs it if it is newer than
// this node's state.
func (s *Service) fetchState(ctx context.Context, address string) error {
	var chunks state.SnapshotAssembler
	call := StateCall{}
	for {
		var reply StateReply
		if err := s.call(ctx, address, "Relay.State", &call, &reply); err != nil {
			return err
		}
		st, err := chunks.Add(&reply.Chunk)
		if err != nil {
			return err
		}
		if st != nil {
			if s.journal.Install(st) {
				klog.Infof("relay: installed the state of offset %d fetched from %s", st.Offset, address)
			}
			return nil
		}
		if reply.Chunk.Index != call.Index {
			return errors.New("the peer replaced its served state while it was being fetched")
		}
		call.ID, call.Index = reply.Chunk.ID, call.Index+1
	}
}
