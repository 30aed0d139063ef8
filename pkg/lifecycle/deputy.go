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
	// deputyDelay is the time from a begin until the deputy asks whether the
	// coordinator lives.
	deputyDelay = 500 * time.Millisecond
	// deputyTimeout bounds that question. Both together leave more than half of
	// the default StartWithin for the starts.
	deputyTimeout = 500 * time.Millisecond
)

// backUpStarts watches, as their deputy, over the attempts of other nodes that
// the log shows to have begun. A coordinator that is paused between two starts
// would leave a gang that runs in part until its leases lapse, and is lost if it
// may run only once: a claim comes too late for the workers to accept a start.
func (s *Service) backUpStarts(ctx context.Context) {
	now := time.Now()
	live := s.members.Live(now)
	begun := map[int64]bool{}
	var fresh []*state.Job
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if !j.Started || j.Phase != api.PhasePlaced {
				continue
			}
			begun[j.Token] = true
			if !s.begun[j.Token] {
				copied := *j
				fresh = append(fresh, &copied)
			}
		}
	})
	// What a node finds when it starts may have begun long ago.
	first := s.begun == nil
	s.begun = begun
	if first {
		return
	}
	for _, j := range fresh {
		if deputy(live, j) == s.members.Self().Incarnation {
			s.wg.Go(func() { s.backUpStart(ctx, j, now) })
		}
	}
}

// deputy returns the live node that watches over the start of an attempt.
func deputy(live []membership.Member, j *state.Job) string {
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

// backUpStart starts the tasks of an attempt that was seen to begin, unless its
// coordinator answers. A start may be repeated, and the workers refuse one that
// is late or comes after a stop. The accepted begin has shown, after the
// reservations, that the zones were in.
func (s *Service) backUpStart(ctx context.Context, j *state.Job, seen time.Time) {
	if !waitFor(ctx, nil, deputyDelay) || s.answers(ctx, j.Coordinator) {
		return
	}
	g := newGang(s, j)
	if time.Since(seen) > s.settings.StartWithin || !s.staleness.fresh(time.Now()) || !g.stillBegun() {
		return
	}
	err := g.untilAccepted(ctx, seen.Add(s.settings.StartWithin), func(ctx context.Context, m *member) error {
		return m.worker.Start(ctx, m.task)
	})
	klog.Infof("lifecycle: sent the starts of job %s for %s, which does not answer: error %v", j.ID, j.Coordinator, err)
}

// answers reports whether a node answers a call.
func (s *Service) answers(ctx context.Context, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, deputyTimeout)
	defer cancel()
	for _, m := range s.members.Live(time.Now()) {
		if m.Incarnation == incarnation {
			var reply ViewAge
			return s.staleness.peers.Call(ctx, m.Address, rpcName+".ViewAge", &ViewAgeCall{}, &reply) == nil
		}
	}
	return false
}

// stillBegun reports whether the attempt is in force under the coordinator that
// began it.
func (g *gang) stillBegun() bool {
	ok := false
	g.s.journal.View(func(st *state.State) {
		j := st.Jobs[g.job.ID]
		ok = j != nil && j.Token == g.job.Token && j.Phase == api.PhasePlaced && j.Coordinator == g.job.Coordinator
	})
	return ok
}

// runsWhole reports whether every task runs or is done, whoever started it.
func (g *gang) runsWhole(ctx context.Context) bool {
	g.doubtAll()
	return g.ask(ctx) == nil && g.allIn(backend.TaskRunning, backend.TaskDone)
}
