// Package lifecycle runs the attempts of jobs that the planner has placed. The
// coordinator of an attempt reserves every task of the gang on its worker, starts
// them, renews their leases, and records the end of the attempt once no task can
// still run. All tasks of a gang run, or none.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the lifecycle service in the kernel.
const ServiceName = "lifecycle"

// Settings holds the time limits of the protocol between coordinators and workers.
type Settings struct {
	// LeaseTTL is how long a task keeps running without a renewal.
	LeaseTTL time.Duration
	// RenewInterval is the time between two renewals of a task's lease.
	RenewInterval time.Duration
	// StartWithin bounds the time from reservation to start, on the worker's clock.
	// It also bounds how long after a zone is taken out a task may still start there.
	StartWithin time.Duration
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	// MaxStaleness is the age of a node's view of the log up to which the node
	// renews leases. It does not apply while the log is unreachable for every node.
	MaxStaleness time.Duration
	// ClockDrift is the greatest relative drift assumed between the clocks of two
	// VMs, as a fraction.
	ClockDrift float64
}

// DefaultSettings are the default settings of a daemon.
var DefaultSettings = Settings{
	LeaseTTL: 10 * time.Second, RenewInterval: 2 * time.Second, StartWithin: 3 * time.Second,
	CallTimeout: time.Second, MaxStaleness: 30 * time.Second, ClockDrift: 0.01,
}

// UnreachableWait is how long a task on an unreachable worker may keep running
// after its attempt began to stop: a node with a stale view may renew the lease
// for MaxStaleness; a renewal that is in flight then may arrive just before the
// lease expires, one LeaseTTL later, and extend it by another LeaseTTL.
func (s *Settings) UnreachableWait() time.Duration {
	return time.Duration(float64(s.MaxStaleness+2*s.LeaseTTL) * (1 + s.ClockDrift))
}

// MaxPartialGangTime is the longest time for which members of a gang may run
// after another member was lost, if no coordinator is paused during a renewal.
// The other members are renewed for the last time in the round that finds the
// loss, one RenewInterval after the last full round.
func (s *Settings) MaxPartialGangTime() time.Duration {
	return time.Duration(float64(s.LeaseTTL+s.RenewInterval+s.CallTimeout) * (1 + s.ClockDrift))
}

// MaxPartialGangTimeAfterPause is MaxPartialGangTime if a coordinator is paused
// while its renewals are in flight: each may extend a lease that is about to
// expire by another LeaseTTL.
func (s *Settings) MaxPartialGangTimeAfterPause() time.Duration {
	return time.Duration(float64(2*s.LeaseTTL+s.RenewInterval+s.CallTimeout) * (1 + s.ClockDrift))
}

// TakeoverMargin is the least time left of a lease when another node first renews
// it in place of a silent coordinator. At worst, the silence begins one RenewInterval
// after the coordinator's last renewal, the coordinator counts as late lateAfter later,
// and the other node needs one more poll and two calls.
func (s *Settings) TakeoverMargin(lateAfter time.Duration) time.Duration {
	return s.LeaseTTL - s.RenewInterval - lateAfter - pollInterval - 2*s.CallTimeout
}

// Service coordinates the attempts assigned to this node. It also keeps attempts
// of lost coordinators alive until a node claims them.
type Service struct {
	settings  Settings
	workers   backend.Workers
	journal   *journal.Journal
	members   *membership.Service
	staleness *staleness
	renewals  *renewalBatcher

	started time.Time
	// mu guards coordinated, keptAlive and claiming, which are keyed by the attempt's
	// token. coordinated and keptAlive hold the cancel functions of the attempts that
	// this node coordinates and of those that it keeps alive for a lost coordinator.
	mu          sync.Mutex
	coordinated map[int64]context.CancelFunc
	keptAlive   map[int64]context.CancelFunc
	claiming    map[int64]bool
	// lostSince is when the coordinator was first seen to be lost or cut off from
	// the log. This and the fields down to begun are used only by loop.
	lostSince map[orphanedAttempt]time.Time
	// vmListSince is when a poll first found the VM list to be known.
	vmListSince time.Time
	// noQuorumClaims counts this node's claims of an attempt without a quorum, by token.
	noQuorumClaims map[int64]int
	// begun holds the tokens of placed attempts with an accepted begin record.
	begun  map[int64]bool
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a lifecycle service that calls the given workers, and registers its RPC
// handler with peers.
func New(settings Settings, workers backend.Workers, peers *peer.Service) (*Service, error) {
	s := &Service{
		settings: settings, workers: workers,
		coordinated: map[int64]context.CancelFunc{}, keptAlive: map[int64]context.CancelFunc{},
		claiming: map[int64]bool{}, lostSince: map[orphanedAttempt]time.Time{},
	}
	s.staleness = newStaleness(settings.MaxStaleness, peers)
	s.renewals = newRenewalBatcher(settings.CallTimeout, s.staleness.canRenew)
	return s, peers.Handle(rpcName, &handler{s.staleness})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName, fleet.ServiceName, peer.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
	vms, err := kernel.Lookup[*fleet.Service](k, fleet.ServiceName)
	if err != nil {
		return err
	}
	s.staleness.attach(s.journal, vms, s.members.Self().ID)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.started = cancel, time.Now()
	s.wg.Go(func() { s.staleness.loop(ctx) })
	s.wg.Go(func() { s.loop(ctx) })
	return nil
}

// Stop implements kernel.Service. It hands this node's attempts over to other
// live nodes; the tasks keep running.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.wg.Wait()
	s.renewals.wait()
	s.handOver(ctx)
	return nil
}

// pollInterval is the longest time between two scans of the state for attempts
// to coordinate, back up or keep alive.
const pollInterval = 500 * time.Millisecond

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.journal.Changed()
		s.coordinateAssigned(ctx)
		s.backUpStarts(ctx)
		s.handleOrphanedAttempts(ctx)
		select {
		case <-changed:
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// coordinateAssigned starts to coordinate the attempts whose coordinator is this
// node, and stops coordinating those that have another one.
func (s *Service) coordinateAssigned(ctx context.Context) {
	assigned := map[int64]*state.Job{}
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if inForce(j) && j.Coordinator == s.journal.Writer() {
				copied := *j
				assigned[j.Token] = &copied
			}
		}
	})
	s.reconcile(ctx, s.coordinated, assigned, (*gang).run)
}

// reconcile runs work for every attempt in wanted that is not active yet, and
// cancels it for active attempts that are not in wanted.
func (s *Service) reconcile(ctx context.Context, active map[int64]context.CancelFunc, wanted map[int64]*state.Job, work func(*gang, context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for token, cancel := range active {
		if wanted[token] == nil {
			cancel()
		}
	}
	for token, j := range wanted {
		if active[token] != nil {
			continue
		}
		gangCtx, cancel := context.WithCancel(ctx)
		active[token] = cancel
		s.wg.Go(func() {
			work(newGang(s, j), gangCtx)
			cancel()
			s.mu.Lock()
			delete(active, token)
			s.mu.Unlock()
		})
	}
}

// proposeTimeout bounds the wait for the outcome of one record.
const proposeTimeout = 5 * time.Second

func (s *Service) propose(ctx context.Context, rec state.Record) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.journal.Propose(ctx, rec)
}
