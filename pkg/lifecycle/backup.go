package lifecycle

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// backupDelay is the delay between a begin record and the backup
	// coordinator's probe of the coordinator.
	backupDelay = 500 * time.Millisecond
	// backupProbeTimeout bounds that probe. Together with backupDelay it leaves
	// more than half of the default StartWithin for the starts.
	backupProbeTimeout = 500 * time.Millisecond
)

// backUpStarts acts as backup coordinator for attempts of other nodes whose begin
// record has appeared in the log. A coordinator that is paused between two starts
// leaves a partly started gang. By the time another node could claim the attempt,
// the workers no longer accept a start, so the gang would run in part until its
// leases expire, and its job would fail if it may run only once.
func (s *Service) backUpStarts(ctx context.Context) {
	now := time.Now()
	live := s.members.Live(now)
	begun := map[int64]bool{}
	var newlyBegun []*state.Job
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if !j.Started || j.Phase != api.PhasePlaced {
				continue
			}
			begun[j.Token] = true
			if !s.begun[j.Token] {
				copied := *j
				newlyBegun = append(newlyBegun, &copied)
			}
		}
	})
	// Attempts found on the first call may have begun long ago.
	first := s.begun == nil
	s.begun = begun
	if first {
		return
	}
	for _, j := range newlyBegun {
		if backupCoordinator(live, j) == s.members.Self().Incarnation {
			s.wg.Go(func() { s.startAsBackup(ctx, j, now) })
		}
	}
}

// backupCoordinator returns the incarnation of the live node that backs up the
// start of j's attempt, or "" if no node but the coordinator is live.
func backupCoordinator(live []membership.Member, j *state.Job) string {
	var others []membership.Member
	for _, m := range live {
		if m.Incarnation != j.Coordinator {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return membership.Rendezvous(others, j.ID).Incarnation
}

// startAsBackup starts the tasks of an attempt whose begin record was seen at the
// time seen, unless its coordinator answers a probe. This is safe: starts are
// idempotent, workers refuse a start that is late or follows a stop, and the
// accepted begin record shows that the zones were in after the reservations.
func (s *Service) startAsBackup(ctx context.Context, j *state.Job, seen time.Time) {
	if !waitFor(ctx, nil, backupDelay) || s.isReachable(ctx, j.Coordinator) {
		return
	}
	g := newGang(s, j)
	if time.Since(seen) > s.settings.StartWithin || !s.staleness.isFresh(time.Now()) || !g.isCoordinatorUnchanged() {
		return
	}
	err := g.untilAccepted(ctx, seen.Add(s.settings.StartWithin), func(ctx context.Context, m *member) error {
		return m.worker.Start(ctx, m.task)
	})
	klog.Infof("lifecycle: started job %s as backup for coordinator %s, which does not answer: error %v", j.ID, j.Coordinator, err)
}

// isReachable reports whether the live node with this incarnation answers a call
// within backupProbeTimeout.
func (s *Service) isReachable(ctx context.Context, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, backupProbeTimeout)
	defer cancel()
	for _, m := range s.members.Live(time.Now()) {
		if m.Incarnation == incarnation {
			var reply ViewAge
			return s.staleness.peers.Call(ctx, m.Address, rpcName+".ViewAge", &ViewAgeCall{}, &reply) == nil
		}
	}
	return false
}

// isCoordinatorUnchanged reports whether the attempt is still placed under the
// coordinator that g.job names.
func (g *gang) isCoordinatorUnchanged() bool {
	ok := false
	g.s.journal.View(func(st *state.State) {
		j := st.Jobs[g.job.ID]
		ok = j != nil && j.Token == g.job.Token && j.Phase == api.PhasePlaced && j.Coordinator == g.job.Coordinator
	})
	return ok
}

// allRunning queries every worker and reports whether every task runs or is
// done, whichever node started it.
func (g *gang) allRunning(ctx context.Context) bool {
	g.markAllUnverified()
	return g.queryUnverified(ctx) == nil && g.allInPhase(backend.TaskRunning, backend.TaskDone)
}
