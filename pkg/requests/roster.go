package requests

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/routing"
)

const (
	// goneAfter is how long a VM must be missing from the VM list, after it was
	// listed, until it counts as gone for good.
	goneAfter = 3 * time.Second
	// refusedAfter is how long a VM must refuse connections until it gets no slots.
	refusedAfter = 3 * time.Second
	// lapseAfter is how long after its last round of hellos a node may use its
	// slots. It is shorter than goneAfter and startPatience, after which others
	// may use them, so that a node that was paused does not use them too.
	lapseAfter = 3 * time.Second
	// startPatience is how long a node that starts waits for silent ones.
	startPatience = 4 * time.Second
	// liveFor is how long a node counts as reachable after it was heard of.
	liveFor = 4 * time.Second
)

// roster is what a node knows of the other entry VMs: which of them are not
// known to be gone, and which have agreed on the view that shares the slots.
type roster struct {
	self    membership.Member
	started time.Time

	mu    sync.Mutex
	nodes map[string]*rosterNode
	// target is the view that is being agreed on. held are the views since the
	// last agreement: only what is this node's in all of them may be used.
	target routing.View
	held   []routing.View
	agreed bool
	// everAgreed says that there was an agreement; before it, no slot is this node's.
	everAgreed bool
	round      int
	// greetedAt is when the last round of hellos ended.
	greetedAt time.Time
	acked     map[string]bool
	joined    bool
	// leaving says that the node is to be stopped and takes over no requests.
	leaving bool
	shares  map[string]int
}

type rosterNode struct {
	member membership.Member
	listed bool
	// missing and refused are since when the VM is off the list or refuses connections.
	missing, refused time.Time
	heard            time.Time
	// greeted says that the node knows this one and owed the log no keys.
	greeted bool
	// stopped says that the node has ended its last request and uses no slot.
	stopped bool
	// joined and hasLog are what the node said of itself last, and mark is the
	// highest mark of its keys that it told.
	joined, hasLog bool
	mark           uint64
}

func newRoster(self membership.Member, now time.Time) *roster {
	return &roster{self: self, started: now, nodes: map[string]*rosterNode{}, greetedAt: now, acked: map[string]bool{}, shares: map[string]int{}}
}

// list takes in a copy of the VM list.
func (r *roster) list(vms []backend.VM, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, vm := range vms {
		if vm.ID == r.self.ID {
			continue
		}
		seen[vm.ID] = true
		n := r.nodes[vm.ID]
		if n == nil {
			n = &rosterNode{member: membership.Member{ID: vm.ID, Zone: vm.Zone, Address: vm.Address}}
			r.nodes[vm.ID] = n
		}
		n.listed, n.missing = true, time.Time{}
	}
	for id, n := range r.nodes {
		switch {
		case seen[id] || !n.listed:
		case n.missing.IsZero():
			n.missing = now
		case now.Sub(n.missing) >= r.stretchLocked(goneAfter):
			delete(r.nodes, id)
		}
	}
	r.retarget(now)
}

// learn takes in a node that called or answered.
func (r *roster) learn(m membership.Member, now time.Time) {
	if m.ID == r.self.ID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[m.ID]
	if n == nil {
		n = &rosterNode{}
		r.nodes[m.ID] = n
	}
	if n.member.Incarnation != m.Incarnation {
		n.greeted, n.joined, n.stopped, n.mark = false, false, false, 0
	}
	n.member, n.heard, n.refused = m, now, time.Time{}
	r.retarget(now)
}

// stopped takes in that a node has ended its last request.
func (r *roster) stopped(m membership.Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.nodes[m.ID]; n != nil && n.member.Incarnation == m.Incarnation {
		n.stopped = true
		r.retarget(now)
	}
}

// failed takes in a call that got no answer.
func (r *roster) failed(id string, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[id]
	if n == nil {
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		n.refused = time.Time{}
	} else if n.refused.IsZero() {
		n.refused = now
	}
	r.retarget(now)
}

// retarget begins a new round of agreement if the set of nodes has changed. It
// must be called under mu.
func (r *roster) retarget(now time.Time) {
	view := routing.View{r.self.ID}
	for id, n := range r.nodes {
		if n.stopped || (!n.refused.IsZero() && now.Sub(n.refused) >= refusedAfter) {
			continue
		}
		view = append(view, id)
	}
	slices.Sort(view)
	if slices.Equal(view, r.target) {
		return
	}
	// What this node gave up in an earlier round stays given up until all agree.
	if r.everAgreed && !slices.ContainsFunc(r.held, func(v routing.View) bool { return slices.Equal(v, view) }) {
		r.held = append(r.held, view)
	}
	r.target, r.agreed = view, false
	r.round++
	r.acked = map[string]bool{}
	clear(r.shares)
}

// roundEnded takes in the end of a round of hellos. A node whose slots have
// lapsed agrees on them anew, as one that starts does.
func (r *roster) roundEnded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsedLocked(now) {
		r.held, r.agreed, r.everAgreed, r.started = nil, false, false, now
		r.round++
		r.acked = map[string]bool{}
		clear(r.shares)
	}
	r.greetedAt = now
}

// lapsed reports whether others may have taken this node's slots, since it was paused.
func (r *roster) lapsed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lapsedLocked(now)
}

func (r *roster) lapsedLocked(now time.Time) bool {
	return now.Sub(r.greetedAt) >= r.stretchLocked(lapseAfter)
}

// agree brings the target into force once every other node of it has agreed. A
// node that starts while others are silent takes its share without their word
// after startPatience: otherwise one silent VM would keep a whole site from starting.
func (r *roster) agree(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == nil || r.agreed {
		return
	}
	for _, id := range r.target {
		if n := r.nodes[id]; n != nil && !r.acked[id] && !r.startsWithout(n, now) {
			return
		}
	}
	r.held, r.agreed, r.everAgreed = []routing.View{r.target}, true, true
	clear(r.shares)
}

// startsWithout reports whether this node, which has no share yet, does not
// wait for n: no process runs there, or it stays silent.
func (r *roster) startsWithout(n *rosterNode, now time.Time) bool {
	if r.everAgreed {
		return false
	}
	patience := r.stretchLocked(startPatience)
	silent := now.Sub(r.started) >= patience && now.Sub(n.heard) >= patience
	return silent || !n.refused.IsZero()
}

// hasShare reports whether slots have ever been shared out to this node.
func (r *roster) hasShare() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.everAgreed
}

// inForce reports whether all nodes have agreed on the target.
func (r *roster) inForce() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agreed
}

// share returns how many slots of an upstream this node may use now.
func (r *roster) share(vm backend.VM, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsedLocked(now) {
		return 0
	}
	n, ok := r.shares[vm.ID]
	if !ok {
		n = r.countShare(vm)
		r.shares[vm.ID] = n
	}
	return n
}

// countShare counts the slots. There are none before the first agreement, when nothing is held.
func (r *roster) countShare(vm backend.VM) int {
	return routing.Share(r.held, r.self.ID, vm.ID, vm.Slots)
}

// view returns the hash of the target view and the round of agreement on it.
func (r *roster) view() (hash uint64, round int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target.Hash(), r.round
}

// heard takes in the answer to a hello that was sent in the given round.
func (r *roster) heard(reply *HelloReply, round int, now time.Time) {
	r.learn(reply.From, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[reply.From.ID]
	if n == nil || n.member.Incarnation != reply.From.Incarnation {
		return
	}
	n.greeted = n.greeted || reply.Unlogged == 0
	n.joined, n.hasLog = reply.Joined, reply.HasLog
	n.mark = max(n.mark, reply.Mark)
	if r.round == round && reply.Drained && reply.View == r.target.Hash() {
		r.acked[reply.From.ID] = true
	}
}

// helloProgress is how far the agreement of the nodes has come.
type helloProgress struct{ round, acked, greeted int }

// progress returns how far the agreement on the target has come.
func (r *roster) progress() helloProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := helloProgress{round: r.round, acked: len(r.acked)}
	for _, n := range r.nodes {
		if n.greeted {
			p.greeted++
		}
	}
	return p
}

// greetedByAll reports whether every other node that runs has answered a hello
// of this one while it owed the log no keys.
func (r *roster) greetedByAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if !n.greeted && n.refused.IsZero() {
			return false
		}
	}
	return r.target != nil
}

func (r *roster) setJoined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = true
}

func (r *roster) isJoined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.joined && !r.leaving
}

func (r *roster) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *roster) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// others returns the nodes that are not known to be gone, sorted by ID.
func (r *roster) others() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.collect(func(*rosterNode) bool { return true })
}

// reachable returns the nodes that answered lately and pass the filter.
func (r *roster) reachable(now time.Time, filter func(*rosterNode) bool) []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	within := r.stretchLocked(liveFor)
	return r.collect(func(n *rosterNode) bool { return now.Sub(n.heard) < within && filter(n) })
}

// spreadLocked returns by how much the time between hellos is stretched.
func (r *roster) spreadLocked() int { return spreadOf(len(r.nodes)) }

// stretch lengthens a time as the time between hellos is.
func (r *roster) stretch(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stretchLocked(d)
}

func (r *roster) stretchLocked(d time.Duration) time.Duration {
	return time.Duration(r.spreadLocked()) * d
}

func (r *roster) collect(filter func(*rosterNode) bool) []membership.Member {
	var out []membership.Member
	for _, n := range r.nodes {
		if filter(n) {
			out = append(out, n.member)
		}
	}
	slices.SortFunc(out, func(a, b membership.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// marks returns the marks of the other nodes by incarnation.
func (r *roster) marks() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint64, len(r.nodes))
	for _, n := range r.nodes {
		out[n.member.Incarnation] = n.mark
	}
	return out
}

// byIncarnation returns the node that runs under an incarnation.
func (r *roster) byIncarnation(incarnation string) (membership.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if n.member.Incarnation == incarnation {
			return n.member, true
		}
	}
	return membership.Member{}, false
}
