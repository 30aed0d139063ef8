// Package coordination chooses the node that coordinates an attempt, and so renews
// its leases, when the attempt is planned or handed over. A node renews all its
// tasks on one worker in one call, so the gangs on a worker are given to one node,
// as long as no node gets too many tasks. The package does no I/O, and the same
// input gives the same choice.
package coordination

import (
	"cmp"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// overloadFactor limits the tasks of a node that is chosen to save calls, as a
// multiple of the mean number of tasks per node.
const overloadFactor = 1.25

// Balancer balances attempts over nodes. It counts the tasks that each node coordinates
// and the workers that it calls. It is not safe for concurrent use.
type Balancer struct {
	members []membership.Member
	zoneOf  func(worker string) string
	// total counts the tasks of all attempts, including those of lost coordinators.
	total int
	// loads holds the load of each member, by incarnation.
	loads map[string]*load
}

// load is the tasks that one node coordinates and the workers that they are on.
type load struct {
	tasks   int
	workers map[string]bool
}

// New returns a balancer of members that coordinate nothing yet; members must not be
// empty.
func New(members []membership.Member, zoneOf func(worker string) string) *Balancer {
	b := &Balancer{members: members, zoneOf: zoneOf, loads: map[string]*load{}}
	for _, m := range members {
		b.loads[m.Incarnation] = &load{workers: map[string]bool{}}
	}
	return b
}

// FromState returns a balancer of members that coordinate the attempts in force in st.
// It reads st, so it must not be used once st may have changed.
func FromState(st *state.State, members []membership.Member) *Balancer {
	b := New(members, func(worker string) string {
		if w := st.Workers[worker]; w != nil {
			return w.Zone
		}
		return ""
	})
	for _, j := range st.Jobs {
		if j.Phase == api.PhasePlaced || j.Phase == api.PhaseStopping {
			b.add(j.Coordinator, j.Placements)
		}
	}
	return b
}

// Choose returns the node that should coordinate an attempt with the given
// placements, and adds the attempt to its load.
func (b *Balancer) Choose(placements []state.Placement) membership.Member {
	mean := float64(b.total+len(placements)) / float64(len(b.members))
	// An idle node may get a gang of any size.
	limit := max(overloadFactor*mean, float64(len(placements)))
	best, bestScore := b.members[0], score{}
	for i, m := range b.members {
		if s := b.score(m, placements, limit); i == 0 || s.compare(bestScore) > 0 {
			best, bestScore = m, s
		}
	}
	b.add(best.Incarnation, placements)
	return best
}

func (b *Balancer) add(coordinator string, placements []state.Placement) {
	b.total += len(placements)
	l := b.loads[coordinator]
	if l == nil {
		return
	}
	l.tasks += len(placements)
	for _, p := range placements {
		l.workers[p.Worker] = true
	}
}

// score is how well a node suits an attempt, the most important criterion first.
type score struct {
	// sameZone is set if the node is in the availability zone of the first worker.
	sameZone bool
	// knownWorkers counts the placements on workers that the node calls already.
	knownWorkers int
	tasks        int
}

func (b *Balancer) score(m membership.Member, placements []state.Placement, limit float64) score {
	l := b.loads[m.Incarnation]
	s := score{tasks: l.tasks}
	if float64(l.tasks+len(placements)) > limit {
		// Nodes above the limit are compared by their number of tasks only.
		return s
	}
	s.sameZone = len(placements) > 0 && m.Zone == b.zoneOf(placements[0].Worker)
	for _, p := range placements {
		if l.workers[p.Worker] {
			s.knownWorkers++
		}
	}
	return s
}

// compare returns a positive number if s is better than other.
func (s score) compare(other score) int {
	return cmp.Or(
		compareBool(s.sameZone, other.sameZone),
		cmp.Compare(s.knownWorkers, other.knownWorkers), cmp.Compare(other.tasks, s.tasks),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
