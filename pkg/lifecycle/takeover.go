package lifecycle

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/coordination"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// noQuorumClaimAfter is how long a coordinator must have been lost before a
	// node without a quorum claims its attempts. It doubles with each such claim of
	// an attempt by the same node.
	noQuorumClaimAfter = 30 * time.Second
	// maxNoQuorumDoublings bounds how often noQuorumClaimAfter doubles, to about an
	// hour.
	maxNoQuorumDoublings = 7
	// detachedClaimAfter is how long a live coordinator must report that it is cut
	// off from the log before its attempts are claimed. When a log outage ends, each
	// node notices its own recovery at once but that of the others only by a later
	// heartbeat.
	detachedClaimAfter = 3 * membership.HeartbeatInterval
)

// claimView is what a node knows about an orphaned attempt when it decides whether
// to claim it.
type claimView struct {
	// live means that the coordinator is live but cut off from the log.
	live bool
	// quorum means that this node sees a quorum of the entry VMs as live.
	quorum bool
	// replaced means that the coordinator's VM is gone or runs another incarnation.
	replaced bool
	// lostFor is how long the coordinator has been lost or cut off from the log.
	lostFor time.Duration
	// noQuorumClaims is how often this node claimed the attempt without a quorum.
	noQuorumClaims int
}

// isDue reports whether the node should claim the attempt now. The waits are needed
// because the log accepts every claim that names the current coordinator: nodes
// that each see the other as lost would otherwise claim an attempt back and forth
// as fast as the log allows.
func (v claimView) isDue() bool {
	if v.live {
		return v.lostFor >= detachedClaimAfter
	}
	return v.quorum || v.replaced || v.lostFor >= noQuorumClaimAfter<<min(v.noQuorumClaims, maxNoQuorumDoublings)
}

// orphanedAttempt identifies an attempt whose coordinator is lost or cut off from
// the log.
type orphanedAttempt struct {
	token       int64
	coordinator string
}

// inForce reports whether j has an attempt that has not ended.
func inForce(j *state.Job) bool {
	return j.Phase == api.PhasePlaced || j.Phase == api.PhaseStopping
}

// handleOrphanedAttempts claims the attempts whose coordinator is lost and for
// whose job this node is preferred, and keeps attempts alive until they have a
// working coordinator.
func (s *Service) handleOrphanedAttempts(ctx context.Context) {
	now := time.Now()
	orphanedJobs := s.orphanedJobs(now)
	s.reconcile(ctx, s.keptAlive, s.jobsToKeepAlive(now), (*gang).keepAlive)
	if !s.staleness.isFresh(now) {
		return
	}
	s.claimDue(ctx, now, orphanedJobs)
}

// claimDue claims the orphaned attempts whose claim is due.
func (s *Service) claimDue(ctx context.Context, now time.Time, orphanedJobs []*state.Job) {
	settled := s.isMembershipSettled(now)
	quorum := settled && s.hasQuorum(now)
	noQuorumClaims := map[int64]int{}
	for _, j := range orphanedJobs {
		v := claimView{
			live: s.isLive(now, j.Coordinator), quorum: quorum, replaced: settled && s.isReplaced(now, j),
			lostFor: s.lostFor(now, j), noQuorumClaims: s.noQuorumClaims[j.Token],
		}
		if noQuorumClaims[j.Token] = v.noQuorumClaims; !v.isDue() {
			continue
		}
		if s.claim(ctx, j) && !v.live && !v.quorum && !v.replaced {
			noQuorumClaims[j.Token]++
		}
	}
	s.noQuorumClaims = noQuorumClaims
}

// isMembershipSettled reports whether this node has known the VM list for long
// enough to have heard from every live node. Before that, a node whose answer to
// the first heartbeat is still outstanding looks lost.
func (s *Service) isMembershipSettled(now time.Time) bool {
	if len(s.staleness.entryVMs()) == 0 {
		return false
	}
	if s.vmListSince.IsZero() {
		s.vmListSince = now
	}
	return now.Sub(s.vmListSince) >= membership.SuspectAfter
}

// isLive reports whether the node with the coordinator's incarnation is live.
func (s *Service) isLive(now time.Time, coordinator string) bool {
	return slices.ContainsFunc(s.members.Live(now), func(m membership.Member) bool { return m.Incarnation == coordinator })
}

// jobsToKeepAlive returns copies of the running jobs, by token, whose coordinator
// is late or cut off from the log and for which this node is preferred. A renewal
// decides nothing, so it need not wait until the coordinator is suspected.
func (s *Service) jobsToKeepAlive(now time.Time) map[int64]*state.Job {
	// A node that has just started has not heard from the others yet.
	if now.Sub(s.started) < membership.SuspectAfter {
		return nil
	}
	onTimeNodes := s.members.OnTime(now)
	onTime := map[string]bool{}
	for _, m := range onTimeNodes {
		onTime[m.Incarnation] = true
	}
	out := map[int64]*state.Job{}
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			// Before the begin record nothing runs, and the leases of a stopping
			// attempt may expire.
			if j.Started && j.Phase == api.PhasePlaced && !onTime[j.Coordinator] &&
				membership.Rendezvous(onTimeNodes, j.ID).ID == s.members.Self().ID {
				copied := *j
				out[j.Token] = &copied
			}
		}
	})
	return out
}

// orphanedJobs returns copies of the jobs whose coordinator is not live, or is cut
// off from the log and so cannot end an attempt, and for which this node is
// preferred. It updates lostSince.
func (s *Service) orphanedJobs(now time.Time) []*state.Job {
	// A node that has just started has not heard from the others yet.
	if now.Sub(s.started) < membership.SuspectAfter {
		return nil
	}
	attached := map[string]bool{}
	for _, m := range s.members.Attached(now) {
		attached[m.Incarnation] = true
	}
	var out []*state.Job
	lostSince := map[orphanedAttempt]time.Time{}
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if !inForce(j) || attached[j.Coordinator] {
				continue
			}
			key := orphanedAttempt{j.Token, j.Coordinator}
			if lostSince[key] = s.lostSince[key]; lostSince[key].IsZero() {
				lostSince[key] = now
			}
			copied := *j
			out = append(out, &copied)
		}
	})
	s.lostSince = lostSince
	// The preference depends on the journal, whose lock View holds.
	return slices.DeleteFunc(out, func(j *state.Job) bool {
		return s.members.Preferred(now, j.ID).ID != s.members.Self().ID
	})
}

func (s *Service) lostFor(now time.Time, j *state.Job) time.Duration {
	return now.Sub(s.lostSince[orphanedAttempt{j.Token, j.Coordinator}])
}

// hasQuorum reports whether more than half of the listed entry VMs are live, or
// exactly half including the one with the lowest ID. Of two sides of a partition
// at most one has a quorum. This only avoids claims back and forth: the log decides
// which claim is accepted.
func (s *Service) hasQuorum(now time.Time) bool {
	listed := s.staleness.entryVMs()
	live := map[string]bool{}
	for _, m := range s.members.Live(now) {
		live[m.ID] = true
	}
	liveListed, first := 0, ""
	for _, id := range listed {
		if live[id] {
			liveListed++
		}
		if first == "" || id < first {
			first = id
		}
	}
	return 2*liveListed > len(listed) || (2*liveListed == len(listed) && live[first])
}

// isReplaced reports whether the VM of j's coordinator is no longer listed or is
// live, which for a lost coordinator means under another incarnation. It returns
// false for an unlisted VM while the VM list is not known.
func (s *Service) isReplaced(now time.Time, j *state.Job) bool {
	vm, _, _ := strings.Cut(j.Coordinator, "/")
	for _, m := range s.members.Live(now) {
		if m.ID == vm {
			return true
		}
	}
	listed := s.staleness.entryVMs()
	return len(listed) > 0 && !slices.Contains(listed, vm)
}

// claim proposes a claim in the background, one at a time for each attempt, and
// reports whether it began one. It renews the leases first: if this node is lost as
// well, the next node has a full LeaseTTL to notice.
func (s *Service) claim(ctx context.Context, j *state.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claiming[j.Token] {
		return false
	}
	s.claiming[j.Token] = true
	c := state.ClaimJob{Job: j.ID, Token: j.Token, From: j.Coordinator, To: s.journal.Writer()}
	s.wg.Go(func() {
		if j.Started && j.Phase == api.PhasePlaced {
			_ = newGang(s, j).renewAll(ctx)
		}
		out, err := s.propose(ctx, state.Record{Claim: &c})
		if err == nil && out.Err == nil {
			klog.Infof("lifecycle: took job %s over from %s", c.Job, c.From)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.claiming, c.Token)
	})
	return true
}

// handOver transfers this node's attempts to other live nodes. It is best effort:
// nodes claim the attempts that remain once this node is lost.
func (s *Service) handOver(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	var others []membership.Member
	for _, m := range s.members.Live(time.Now()) {
		if m.ID != s.members.Self().ID {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	var claims []state.ClaimJob
	s.journal.View(func(st *state.State) {
		balancer := coordination.FromState(st, others)
		for _, j := range st.Jobs {
			if inForce(j) && j.Coordinator == s.journal.Writer() {
				to := balancer.Choose(j.Placements)
				claims = append(claims, state.ClaimJob{Job: j.ID, Token: j.Token, From: j.Coordinator, To: to.Incarnation})
			}
		}
	})
	var wg sync.WaitGroup
	for _, c := range claims {
		wg.Go(func() {
			if out, err := s.propose(ctx, state.Record{Claim: &c}); err != nil || out.Err != nil {
				klog.Infof("lifecycle: job %s was not handed over: error %v, refusal %v", c.Job, err, out.Err)
			}
		})
	}
	wg.Wait()
}
