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

// All of these times except refusedAfter are lengthened like helloInterval, see
// roster.scaleInterval.
const (
	// forgetAfter is how long a VM must be missing from the VM list, after it was
	// listed, until it counts as gone.
	forgetAfter = 3 * time.Second
	// refusedAfter is how long a VM must refuse connections until its slots go to
	// other nodes.
	refusedAfter = 3 * time.Second
	// lapseAfter is how long after its last round of hellos a node may use its
	// slots. It is no longer than forgetAfter and startTimeout, after which other
	// nodes may use them, so that a node that was paused does not use them too.
	lapseAfter = 3 * time.Second
	// startTimeout is how long a starting node waits for nodes that do not answer.
	startTimeout = 4 * time.Second
	// reachableFor is how long a node counts as reachable after the last contact.
	reachableFor = 4 * time.Second
)

// roster is a node's record of the other entry VMs: which of them are not known to
// be gone, and which have agreed on the view that divides the upstreams' slots. It
// is safe for concurrent use.
type roster struct {
	self    membership.Member
	started time.Time

	mu    sync.Mutex
	nodes map[string]*rosterNode
	// target is the view that is being agreed on. activeViews are the views since
	// the last agreement: only slots that are this node's in all of them may be used.
	target      routing.View
	activeViews []routing.View
	agreed      bool
	// sharesAssigned reports whether the node has agreed with the others since it
	// started or its slots lapsed; before, it has no slots.
	sharesAssigned bool
	// round counts the rounds of agreement.
	round int
	// lastHelloRound is when the last round of hellos ended.
	lastHelloRound time.Time
	// acked are the nodes that have agreed on the target in this round.
	acked map[string]bool
	// joined reports whether this node may claim keys, see Service.tryJoin.
	joined bool
	// draining reports whether the node is about to stop and accepts no forwarded
	// requests without a key.
	draining bool
	// shares caches how many slots of each upstream this node may use.
	shares map[string]int
}

// rosterNode is the record of one other entry VM.
type rosterNode struct {
	member membership.Member
	// listed reports whether the VM has ever been on the VM list.
	listed bool
	// missingSince and refusedSince are when the VM was first found off the VM list,
	// or refusing connections; zero if it is not.
	missingSince, refusedSince time.Time
	lastContact                time.Time
	// handshakeDone reports whether the node has answered a hello of this one when
	// it had no keys left to write to the log.
	handshakeDone bool
	// stopped reports whether the node has ended its last request and uses no slot.
	stopped bool
	// joined and hasLog are from the node's last HelloReply; refusalMark is the
	// highest mark in any of them.
	joined, hasLog bool
	refusalMark    uint64
}

func newRoster(self membership.Member, now time.Time) *roster {
	return &roster{self: self, started: now, nodes: map[string]*rosterNode{}, lastHelloRound: now, acked: map[string]bool{}, shares: map[string]int{}}
}

// applyVMList adds the listed VMs, and removes those that have been off the list
// for forgetAfter.
func (r *roster) applyVMList(vms []backend.VM, now time.Time) {
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
		n.listed, n.missingSince = true, time.Time{}
	}
	for id, n := range r.nodes {
		switch {
		case seen[id] || !n.listed:
		case n.missingSince.IsZero():
			n.missingSince = now
		case now.Sub(n.missingSince) >= r.scaleIntervalLocked(forgetAfter):
			delete(r.nodes, id)
		}
	}
	r.updateTarget(now)
}

// recordContact records that a node called or answered.
func (r *roster) recordContact(m membership.Member, now time.Time) {
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
		n.handshakeDone, n.joined, n.stopped, n.refusalMark = false, false, false, 0
	}
	n.member, n.lastContact, n.refusedSince = m, now, time.Time{}
	r.updateTarget(now)
}

// recordStopped records that a node has ended its last request.
func (r *roster) recordStopped(m membership.Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.nodes[m.ID]; n != nil && n.member.Incarnation == m.Incarnation {
		n.stopped = true
		r.updateTarget(now)
	}
}

// recordCallFailure records a call that got no answer.
func (r *roster) recordCallFailure(id string, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[id]
	if n == nil {
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		n.refusedSince = time.Time{}
	} else if n.refusedSince.IsZero() {
		n.refusedSince = now
	}
	r.updateTarget(now)
}

// updateTarget begins a new round of agreement if the set of nodes has changed. It
// must be called with mu held.
func (r *roster) updateTarget(now time.Time) {
	view := routing.View{r.self.ID}
	for id, n := range r.nodes {
		if n.stopped || (!n.refusedSince.IsZero() && now.Sub(n.refusedSince) >= refusedAfter) {
			continue
		}
		view = append(view, id)
	}
	slices.Sort(view)
	if slices.Equal(view, r.target) {
		return
	}
	// Slots that this node gave up in an earlier round stay given up until all agree.
	if r.sharesAssigned && !slices.ContainsFunc(r.activeViews, func(v routing.View) bool { return slices.Equal(v, view) }) {
		r.activeViews = append(r.activeViews, view)
	}
	r.target, r.agreed = view, false
	r.round++
	r.acked = map[string]bool{}
	clear(r.shares)
}

// recordHelloRound records the end of a round of hellos. A node whose slots have lapsed
// has to agree on them again, like one that starts.
func (r *roster) recordHelloRound(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsedLocked(now) {
		r.activeViews, r.agreed, r.sharesAssigned, r.started = nil, false, false, now
		r.round++
		r.acked = map[string]bool{}
		clear(r.shares)
	}
	r.lastHelloRound = now
}

// lapsed reports whether this node has completed no round of hellos for lapseAfter,
// for example since it was paused, so that others may have taken its slots.
func (r *roster) lapsed(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lapsedLocked(now)
}

func (r *roster) lapsedLocked(now time.Time) bool {
	return now.Sub(r.lastHelloRound) >= r.scaleIntervalLocked(lapseAfter)
}

// tryAgree makes the target the only active view once every other node in it has
// agreed. A starting node takes its share without the agreement of silent nodes
// after startTimeout: otherwise one silent VM would keep a whole site from starting.
func (r *roster) tryAgree(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == nil || r.agreed {
		return
	}
	for _, id := range r.target {
		if n := r.nodes[id]; n != nil && !r.acked[id] && !r.canStartWithout(n, now) {
			return
		}
	}
	r.activeViews, r.agreed, r.sharesAssigned = []routing.View{r.target}, true, true
	clear(r.shares)
}

// canStartWithout reports whether this node, if it has no share yet, need not wait
// for n: no process listens there, or n does not answer. It must be called with mu
// held.
func (r *roster) canStartWithout(n *rosterNode, now time.Time) bool {
	if r.sharesAssigned {
		return false
	}
	timeout := r.scaleIntervalLocked(startTimeout)
	silent := now.Sub(r.started) >= timeout && now.Sub(n.lastContact) >= timeout
	return silent || !n.refusedSince.IsZero()
}

// hasShare reports whether this node has agreed on its slots with the others.
func (r *roster) hasShare() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharesAssigned
}

// isAgreed reports whether all nodes have agreed on the target.
func (r *roster) isAgreed() bool {
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

// countShare counts this node's slots of an upstream: none before the first
// agreement, when there is no active view. It must be called with mu held.
func (r *roster) countShare(vm backend.VM) int {
	return routing.Share(r.activeViews, r.self.ID, vm.ID, vm.Slots)
}

// view returns the hash of the target view and the round of agreement on it.
func (r *roster) view() (hash uint64, round int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target.Hash(), r.round
}

// recordHello records the reply to a hello that was sent in the given round of
// agreement.
func (r *roster) recordHello(reply *HelloReply, round int, now time.Time) {
	r.recordContact(reply.From, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nodes[reply.From.ID]
	if n == nil || n.member.Incarnation != reply.From.Incarnation {
		return
	}
	n.handshakeDone = n.handshakeDone || reply.Unlogged == 0
	n.joined, n.hasLog = reply.Joined, reply.HasLog
	n.refusalMark = max(n.refusalMark, reply.Mark)
	if r.round == round && reply.Drained && reply.View == r.target.Hash() {
		r.acked[reply.From.ID] = true
	}
}

// helloProgress is the progress of the agreement on the slots.
type helloProgress struct{ round, acked, handshakes int }

// progress returns the progress of the agreement on the target.
func (r *roster) progress() helloProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := helloProgress{round: r.round, acked: len(r.acked)}
	for _, n := range r.nodes {
		if n.handshakeDone {
			p.handshakes++
		}
	}
	return p
}

// allHandshakesDone reports whether every other running node has answered a hello
// of this one when it had no keys left to write to the log.
func (r *roster) allHandshakesDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if !n.handshakeDone && n.refusedSince.IsZero() {
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
	return r.joined && !r.draining
}

func (r *roster) setDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

func (r *roster) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// others returns the nodes that are not known to be gone, sorted by ID.
func (r *roster) others() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.collect(func(*rosterNode) bool { return true })
}

// reachable returns the nodes with a contact within reachableFor that pass the filter.
func (r *roster) reachable(now time.Time, filter func(*rosterNode) bool) []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	within := r.scaleIntervalLocked(reachableFor)
	return r.collect(func(n *rosterNode) bool { return now.Sub(n.lastContact) < within && filter(n) })
}

// intervalFactorLocked returns the factor by which helloInterval is lengthened.
func (r *roster) intervalFactorLocked() int { return intervalFactor(len(r.nodes)) }

// scaleInterval multiplies d by the factor by which helloInterval is lengthened.
func (r *roster) scaleInterval(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scaleIntervalLocked(d)
}

func (r *roster) scaleIntervalLocked(d time.Duration) time.Duration {
	return time.Duration(r.intervalFactorLocked()) * d
}

// collect returns the nodes that pass the filter, sorted by ID. It must be called with
// mu held.
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

// refusalMarks returns the refusal marks of the other nodes by incarnation.
func (r *roster) refusalMarks() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint64, len(r.nodes))
	for _, n := range r.nodes {
		out[n.member.Incarnation] = n.refusalMark
	}
	return out
}

// byIncarnation returns the node with the given incarnation.
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
