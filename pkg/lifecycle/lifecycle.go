// Package lifecycle coordinates the attempts of jobs: it reserves leases on
// every worker of a gang, starts the gang, renews the leases, and ends the
// attempt once no task runs any more. A gang runs whole or not at all.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the lifecycle service in the kernel.
const ServiceName = "lifecycle"

// Settings bounds the protocol between a coordinator and the workers.
type Settings struct {
	// LeaseTTL is how long a task runs on without a renewal.
	LeaseTTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// StartWithin bounds, on the worker's clock, the time from reservation to
	// start. It bounds how late a task may start in a zone that was taken out.
	StartWithin time.Duration
	// CallTimeout bounds one call of a worker.
	CallTimeout time.Duration
	// ClockDrift is the assumed bound on the relative drift between the clocks
	// of two VMs, as a fraction.
	ClockDrift float64
}

// DefaultSettings are the settings of a daemon that sets none.
var DefaultSettings = Settings{
	LeaseTTL: 10 * time.Second, RenewInterval: 2 * time.Second, StartWithin: 3 * time.Second,
	CallTimeout: time.Second, ClockDrift: 0.01,
}

// Service coordinates the attempts that name this node.
type Service struct {
	settings Settings
	workers  platform.Workers
	journal  *journal.Journal
	members  *membership.Service

	mu      sync.Mutex
	running map[int64]context.CancelFunc
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a lifecycle service that reaches workers through workers.
func New(settings Settings, workers platform.Workers) *Service {
	return &Service{settings: settings, workers: workers, running: map[int64]context.CancelFunc{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.loop(ctx) })
	return nil
}

// Stop implements kernel.Service. Tasks keep running under their leases until
// another node has claimed their attempts.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// takeoverInterval is the time between two looks for lost coordinators.
const takeoverInterval = time.Second

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.journal.Changed()
		s.adopt(ctx)
		s.claimOrphans(ctx)
		select {
		case <-changed:
		case <-time.After(takeoverInterval):
		case <-ctx.Done():
		}
	}
}

// adopt begins to coordinate the attempts that name this node, and lets go of
// those that no longer do.
func (s *Service) adopt(ctx context.Context) {
	own := map[int64]*state.Job{}
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if inForce(j) && j.Coordinator == s.journal.Writer() {
				copied := *j
				own[j.Token] = &copied
			}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for token, cancel := range s.running {
		if own[token] == nil {
			cancel()
		}
	}
	for token, j := range own {
		if s.running[token] != nil {
			continue
		}
		gangCtx, cancel := context.WithCancel(ctx)
		s.running[token] = cancel
		s.wg.Go(func() {
			newGang(s, j).run(gangCtx)
			cancel()
			s.mu.Lock()
			delete(s.running, token)
			s.mu.Unlock()
		})
	}
}

func inForce(j *state.Job) bool {
	return j.Phase == api.PhasePlaced || j.Phase == api.PhaseStopping
}

// claimOrphans claims the attempts whose coordinator answers no heartbeats, if
// this node is the preferred one for the job.
func (s *Service) claimOrphans(ctx context.Context) {
	now := time.Now()
	live := map[string]bool{}
	for _, m := range s.members.Live(now) {
		live[m.Incarnation] = true
	}
	var claims []state.ClaimJob
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if !inForce(j) || live[j.Coordinator] || s.members.Preferred(now, j.ID).ID != s.members.Self().ID {
				continue
			}
			claims = append(claims, state.ClaimJob{Job: j.ID, Token: j.Token, From: j.Coordinator, To: s.journal.Writer()})
		}
	})
	for _, c := range claims {
		s.propose(ctx, state.Record{Claim: &c})
	}
}

// proposeTimeout bounds the wait for the fold's verdict on one record.
const proposeTimeout = 5 * time.Second

func (s *Service) propose(ctx context.Context, rec state.Record) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.journal.Propose(ctx, rec)
}
