// Package planner runs package scheduler on the node that rendezvous hashing picks
// and writes its plans to the log. A submitted job is pending until such a plan
// places it; package lifecycle then runs the attempt. Package planner also records
// changes of the VM list in the log. Two nodes may plan at the same time: of
// conflicting records, the one that is first in the log is accepted.
package planner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/coordination"
	"github.com/shallotpin/shallotpin/pkg/estimate"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/scheduler"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// ServiceName is the name of the planner in the kernel.
const ServiceName = "planner"

const (
	// maxPlanInterval bounds the time between two decisions. A change of the state
	// starts one earlier.
	maxPlanInterval = 500 * time.Millisecond
	// proposeTimeout bounds the wait for the outcome of a proposed record. After it,
	// the record may still be accepted.
	proposeTimeout = 5 * time.Second
)

// Service is the planner.
type Service struct {
	journal *journal.Journal
	members *membership.Service
	fleet   *fleet.Service
	// history and backoff are updated on every node, so that they are up to date
	// when the node becomes the preferred one.
	history *estimate.History
	backoff *backoff
	loops   kernel.Loops
}

// New returns a planner. rng is the source of the random part of retry delays.
func New(rng *rand.Rand) *Service {
	return &Service{history: estimate.NewHistory(), backoff: newBackoff(rng)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName, fleet.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
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

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.journal.Changed()
		s.journal.View(func(st *state.State) {
			now := time.Now()
			s.history.Observe(st, now)
			s.backoff.observe(st, now)
		})
		if s.members.Preferred(time.Now(), "planner").ID == s.members.Self().ID {
			s.recordFleet(ctx)
			s.plan(ctx)
		}
		select {
		case <-changed:
		case <-time.After(maxPlanInterval):
		case <-ctx.Done():
		}
	}
}

// recordFleet writes a record of the difference between the VM list and the
// state, if there is one.
func (s *Service) recordFleet(ctx context.Context) {
	vms, ok := s.fleet.VMs(backend.KindWorker)
	if !ok {
		return
	}
	var change state.ChangeFleet
	s.journal.View(func(st *state.State) { change = fleetChange(st, vms) })
	if len(change.Seen)+len(change.Gone) == 0 {
		return
	}
	s.propose(ctx, state.Record{Fleet: &change})
}

// fleetChange returns the workers of the VM list that are new or changed and
// those of the state that are no longer listed.
func fleetChange(st *state.State, vms []backend.VM) state.ChangeFleet {
	var change state.ChangeFleet
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		w := st.Workers[vm.ID]
		if w == nil || (!w.Gone && (w.Leaving != vm.Leaving || w.Address != vm.Address || w.Capacity != vm.Capacity)) {
			change.Seen = append(change.Seen, vm)
		}
	}
	for id, w := range st.Workers {
		if !listed[id] && !w.Gone {
			change.Gone = append(change.Gone, id)
		}
	}
	return change
}

// plan makes one decision and proposes the records of the plan concurrently.
func (s *Service) plan(ctx context.Context) {
	now := time.Now()
	var snap *scheduler.Snapshot
	s.journal.View(func(st *state.State) {
		s.backoff.observe(st, now)
		snap = scheduler.NewSnapshot(st, s.history, now)
	})
	snap.Pending = s.backoff.due(snap.Pending, now)
	plan := scheduler.Decide(snap, scheduler.DefaultPolicy(snap.Objective))
	var wg sync.WaitGroup
	for _, rec := range s.records(&plan, now) {
		wg.Go(func() { s.propose(ctx, rec) })
	}
	wg.Wait()
}

// records returns the records of a plan with a coordinator for each attempt.
func (s *Service) records(plan *scheduler.Plan, now time.Time) (records []state.Record) {
	// Attached must not be called within View: the members' status function needs the
	// lock that View holds.
	members := s.members.Attached(now)
	s.journal.View(func(st *state.State) {
		balancer := coordination.FromState(st, members)
		records = plan.Records(func(p []state.Placement) string { return balancer.Choose(p).Incarnation })
	})
	return records
}

func (s *Service) propose(ctx context.Context, rec state.Record) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := s.journal.Propose(ctx, rec)
	if err != nil {
		klog.V(1).Infof("planner: proposed record not confirmed (timeout %s): %v", proposeTimeout, err)
	} else if out.Err != nil {
		klog.V(1).Infof("planner: proposed record refused: %v", out.Err)
	}
}
