package requests

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/claims"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// helloInterval is the time between two hellos to each other node, for up to
	// fullRateNodes of them. With more nodes it rises, so that the number of
	// hellos per second does not.
	helloInterval = time.Second
	fullRateNodes = 8
	// minHelloInterval replaces helloInterval until the node has joined and has its
	// slots. It doubles, up to the usual interval, while the agreement makes no
	// progress.
	minHelloInterval = 100 * time.Millisecond
	// vmListReadInterval is the time between two reads of the copy of the VM list.
	vmListReadInterval = 200 * time.Millisecond
	// helloTimeout bounds one hello, and sending the leave notices; keyCallTimeout
	// bounds one Ask or Note call for a key.
	helloTimeout   = 800 * time.Millisecond
	keyCallTimeout = 500 * time.Millisecond
	// logKeysBatch bounds the keys that are written to the log in parallel.
	logKeysBatch = 256
	// logTimeout bounds one write of keys to the log, and one read of the log
	// before joining.
	logTimeout = 5 * time.Second
)

// HelloInterval returns the time between two hellos of a node to each of others
// nodes, once they have agreed on their slots.
func HelloInterval(others int) time.Duration {
	return time.Duration(intervalFactor(others)) * helloInterval
}

// intervalFactor returns the factor by which helloInterval is lengthened with
// others nodes.
func intervalFactor(others int) int { return max(1, (others+fullRateNodes-1)/fullRateNodes) }

// Hello is the periodic call between entry VMs, by which they exchange their state
// and agree on their slots. The handshake of a node with another one is complete
// when the other one has replied with no unlogged keys.
type Hello struct{ From membership.Member }

// Goodbye is the leave notice of a node that stops: it uses no slot any more.
type Goodbye struct{ From membership.Member }

// GoodbyeReply is the reply to Goodbye.
type GoodbyeReply struct{}

// HelloReply is the reply to Hello.
type HelloReply struct {
	From membership.Member
	// View is the hash of the node's target view. Drained reports whether it uses
	// no slot that belongs to another node in that view.
	View    uint64
	Drained bool
	// Unlogged counts the keys that the node must still write to the log.
	Unlogged int
	// Joined reports whether the node may claim keys, HasLog whether it can use
	// the log for claims.
	Joined, HasLog bool
	// Draining lists the IDs of the draining upstreams.
	Draining []string
	// Mark is the node's refusal mark, see claims.Table.RefusalMark.
	Mark uint64
}

// KeyCall is the argument of Ask, which requests the grant of a key, and of Note,
// which notes a claim that is being written to the log. Key and Body are the results
// of claims.KeyDigest and claims.BodyDigest.
type KeyCall struct {
	From membership.Member
	Key  string
	Body uint64
}

// AskReply is the reply to Ask.
type AskReply struct {
	From  membership.Member
	Grant claims.Grant
	// Others are the other nodes that the node knows; their grants are needed too.
	Others []membership.Member
}

// NoteReply is the reply to Note.
type NoteReply struct{ Noted bool }

// RunCall forwards a request to another node.
type RunCall struct {
	Request api.Request
	// Timeout is the time left. It is relative since the nodes' clocks may differ.
	Timeout time.Duration
	// Hops counts how often the request was forwarded.
	Hops int
	// To is the incarnation that must run the request, empty for any. Mark is its
	// refusal mark as known when the request arrived at the first node.
	To   string
	Mark uint64
}

// RunReply is the reply to Run.
type RunReply struct{ Answer api.Answer }

// handler serves the RPCs of other nodes.
type handler struct{ s *Service }

// Hello returns this node's state.
func (h *handler) Hello(args *Hello, reply *HelloReply) error {
	s := h.s
	s.roster.recordContact(args.From, time.Now())
	s.fleet.RecordCaller(args.From.ID, time.Now())
	_, unlogged := s.table.UnloggedKeys(0)
	reply.From, reply.Unlogged = s.members.Self(), unlogged
	reply.View, _ = s.roster.view()
	reply.Drained, reply.Draining = s.withinShares(), s.drainingUpstreams()
	reply.Joined, reply.HasLog = s.roster.isJoined(), !s.logUnreachable(time.Now())
	reply.Mark = s.table.RefusalMark()
	return nil
}

// Goodbye records that a node uses no slot any more.
func (h *handler) Goodbye(args *Goodbye, _ *GoodbyeReply) error {
	h.s.roster.recordStopped(args.From, time.Now())
	return nil
}

// Ask decides whether this node grants a key to a node that claims it without the
// log.
func (h *handler) Ask(args *KeyCall, reply *AskReply) error {
	s := h.s
	now := time.Now()
	s.roster.recordContact(args.From, now)
	reply.From, reply.Others = s.members.Self(), s.roster.others()
	logged := s.loggedClaim(args.Key)
	reply.Grant = s.table.DecideGrant(args.Key, args.Body, args.From.Incarnation, logged.Owner, s.logUnreachable(now))
	return nil
}

// Note notes a claim that is being written to the log.
func (h *handler) Note(args *KeyCall, reply *NoteReply) error {
	h.s.roster.recordContact(args.From, time.Now())
	reply.Noted = h.s.table.NoteClaim(args.Key, args.Body, args.From.Incarnation)
	return nil
}

// Run runs a request that another node forwarded.
func (h *handler) Run(args *RunCall, reply *RunReply) error {
	if args.To != "" && args.To != h.s.members.Self().Incarnation {
		reply.Answer = mayHaveRun(&args.Request, "the entry VM that held the key was replaced")
		return nil
	}
	if h.s.roster.isDraining() && args.To == "" && args.Request.Key == "" {
		reply.Answer = refuse(&args.Request, api.Errorf(api.CodeUnavailable, "the entry VM is stopping"))
		return nil
	}
	h.s.servingPeers.Add(1)
	defer h.s.servingPeers.Done()
	ctx, cancel := context.WithTimeout(h.s.runCtx, args.Timeout)
	defer cancel()
	reply.Answer = h.s.route(ctx, &args.Request, args.Hops, refusalMarks{self: args.Mark})
	return nil
}

// helloLoop sends hellos and keeps the roster up to date until ctx is done.
func (s *Service) helloLoop(ctx context.Context) {
	var backoff helloBackoff
	for ctx.Err() == nil {
		s.helloRound(ctx)
		s.tryJoin(ctx)
		usual := s.roster.scaleInterval(helloInterval)
		s.awaitNextRound(ctx, backoff.next(s.isSettled(), s.roster.progress(), usual))
	}
}

// isSettled reports whether the node has joined or is draining, and has agreed on
// its slots, so that hellos are sent at the usual interval.
func (s *Service) isSettled() bool {
	return (s.roster.isJoined() || s.roster.isDraining()) && s.roster.isAgreed()
}

// awaitNextRound waits until the next round of hellos is due: after interval, or
// at once if a change of the VM list makes a new agreement necessary.
func (s *Service) awaitNextRound(ctx context.Context, interval time.Duration) {
	settled := s.isSettled()
	for ended := time.Now(); ctx.Err() == nil; {
		left := interval - time.Since(ended)
		if left <= 0 || (settled && !s.isSettled()) {
			return
		}
		select {
		case <-time.After(min(left, vmListReadInterval)):
		case <-ctx.Done():
		}
		s.readVMList()
	}
}

// readVMList updates the roster from the copy of the VM list.
func (s *Service) readVMList() {
	if vms, ok := s.fleet.VMs(backend.KindEntry); ok {
		s.roster.applyVMList(vms, time.Now())
	}
}

// helloBackoff computes the time to the next round of hellos. Without it, nodes
// that cannot be reached or do not agree would be called ten times a second
// indefinitely.
type helloBackoff struct {
	interval time.Duration
	last     helloProgress
}

// next returns the time to the next round: usual once the node is settled. Until
// then it is minHelloInterval after each round that made progress, and doubles
// otherwise.
func (b *helloBackoff) next(settled bool, now helloProgress, usual time.Duration) time.Duration {
	progressed := now != b.last
	b.last = now
	switch {
	case settled:
		b.interval = 0
		return usual
	case progressed || b.interval == 0:
		b.interval = minHelloInterval
	default:
		b.interval = min(2*b.interval, usual)
	}
	return b.interval
}

// helloRound sends a hello to every other node and updates the agreement on the slots.
func (s *Service) helloRound(ctx context.Context) {
	s.readVMList()
	var wg sync.WaitGroup
	for _, m := range s.roster.others() {
		wg.Go(func() { s.sendHello(ctx, m) })
	}
	wg.Wait()
	s.roster.recordHelloRound(time.Now())
	s.roster.tryAgree(time.Now())
	s.dispatchAll()
}

func (s *Service) sendHello(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	_, round := s.roster.view()
	var reply HelloReply
	if err := s.peers.Call(ctx, m.Address, "Requests.Hello", &Hello{s.members.Self()}, &reply); err != nil {
		s.roster.recordCallFailure(m.ID, err, time.Now())
		return
	}
	s.roster.recordHello(&reply, round, time.Now())
	s.markDraining(reply.Draining)
}

// sendLeaveNotices tells the other nodes that this one uses no slot any more, so
// that they need not detect it. It must be called after the last hello.
func (s *Service) sendLeaveNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if !s.awaitIdle(ctx) {
		return
	}
	var wg sync.WaitGroup
	for _, m := range s.roster.others() {
		wg.Go(func() {
			_ = s.peers.Call(ctx, m.Address, "Requests.Goodbye", &Goodbye{s.members.Self()}, &GoodbyeReply{})
		})
	}
	wg.Wait()
}

// awaitIdle waits until no slot is in use, and reports whether that came before ctx
// was done. Slots of attempts without an answer stay in use for abandonedSlotDelay.
func (s *Service) awaitIdle(ctx context.Context) bool {
	for !s.isIdle() {
		select {
		case <-time.After(abandonedSlotDelay / 5):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// tryJoin lets the node claim keys, once every other node has answered a hello
// without keys left to write to the log, and the log has been read since.
func (s *Service) tryJoin(ctx context.Context) {
	if s.roster.isJoined() || s.roster.isDraining() || !s.roster.allHandshakesDone() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if err := s.journal.Sync(ctx); err != nil {
		return
	}
	s.roster.setJoined()
	klog.V(1).Info("requests: joined; this node now claims idempotency keys")
}

// logKeysLoop writes keys that were granted without the log to it, whenever it is
// reachable.
func (s *Service) logKeysLoop(ctx context.Context) {
	for ctx.Err() == nil {
		keys, _ := s.table.UnloggedKeys(logKeysBatch)
		if age, ok := s.journal.Age(time.Now()); ok && age < logUnreachableAfter {
			s.logKeys(ctx, keys)
		}
		select {
		case <-time.After(helloInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) logKeys(ctx context.Context, keys []claims.UnloggedKey) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, k := range keys {
		wg.Go(func() {
			if _, err := s.journal.Propose(ctx, state.Record{ClaimKey: &state.ClaimKey{Key: k.Key, Body: k.Body, Owner: k.Owner}}); err == nil {
				s.table.MarkLogged(k.Key)
			}
		})
	}
	wg.Wait()
}

// connectionRefused reports whether err means that no process listens at the address.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
