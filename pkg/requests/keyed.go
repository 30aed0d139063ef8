package requests

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/claims"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// logUnreachableAfter is the age of the state from which the log counts as
	// unreachable.
	logUnreachableAfter = 2 * time.Second
	// claimTimeout bounds one claim in the log. After it, the log counts as
	// unreachable for appends.
	claimTimeout = time.Second
	// grantRetryDelay is the time between two rounds of grant requests for a key.
	grantRetryDelay = 200 * time.Millisecond
	// noteTargets is how many nodes are asked first to note a claim. One node must
	// confirm it.
	noteTargets = 2
	// maxHops bounds how often a request is forwarded.
	maxHops = 3
)

// mayHaveRun returns the answer to a request of which an attempt may have run.
func mayHaveRun(r *api.Request, message string) api.Answer {
	return refuse(r, &api.Error{Code: api.CodeUnavailable, Message: message, Verdict: api.MayHaveRun})
}

// withoutNotRun replaces the verdict not-run of a keyed request by may-have-run:
// another attempt with the key may run elsewhere.
func withoutNotRun(r *api.Request, a api.Answer) api.Answer {
	if r.Key == "" || a.Verdict != api.NotRun {
		return a
	}
	e := *a.Error
	e.Verdict = api.MayHaveRun
	a.Verdict, a.Error = e.Verdict, &e
	return a
}

// refusalMarks show which not-run verdicts are older than a keyed request. They are
// the refusal marks (see claims.Table.RefusalMark) that were known when the request
// reached its first entry VM: self is of the node that now handles the request,
// others are by incarnation.
type refusalMarks struct {
	self   uint64
	others map[string]uint64
}

// refusalMarks returns the marks of a request that arrives now.
func (s *Service) refusalMarks(r *api.Request) refusalMarks {
	if r.Key == "" {
		return refusalMarks{}
	}
	return refusalMarks{s.table.RefusalMark(), s.roster.refusalMarks()}
}

// logUnreachable reports whether this node cannot use the log for claims, since
// its state is too old or the last append was not confirmed in time.
func (s *Service) logUnreachable(now time.Time) bool {
	age, ok := s.journal.Age(now)
	return !ok || age >= logUnreachableAfter || s.appendsFailing.Load()
}

// loggedClaim returns the claim of a key in the log, zero if there is none.
func (s *Service) loggedClaim(key string) (claim state.KeyClaim) {
	s.journal.View(func(st *state.State) { claim = st.Keys[key] })
	return claim
}

// runKeyed runs a request at most once for its key, no matter which nodes get it.
func (s *Service) runKeyed(ctx context.Context, r *api.Request, hops int, marks refusalMarks) api.Answer {
	if hops > maxHops {
		return mayHaveRun(r, "the request was handed over too often")
	}
	key, body := claims.KeyDigest(r), claims.BodyDigest(r)
	for {
		logged := s.loggedClaim(key)
		decision := s.table.BeginRequest(key, body, logged.Owner, logged.Body, marks.self)
		switch {
		case decision.Reused:
			return refuse(r, api.FieldErrorf(api.HeaderIdempotencyKey, "was used for another request; this one was not run"))
		case decision.Uncertain:
			return mayHaveRun(r, "an earlier attempt with the key may be under way; try again")
		case decision.Answer != nil:
			decision.Answer.RequestID = r.ID
			return *decision.Answer
		case decision.Owner != "":
			return s.forwardToOwner(ctx, r, decision.Owner, hops, marks)
		case decision.Proceed:
			answer, done := s.claimAndRun(ctx, r, key, body, decision.Owned, hops)
			s.table.EndRequest(key)
			if done {
				return answer
			}
		default:
			select {
			case <-decision.Wait:
			case <-ctx.Done():
				return mayHaveRun(r, "another request with the key is still under way")
			}
		}
	}
}

// claimAndRun claims the key, unless this node owns it already, and runs the
// request. A node that has not joined forwards the request instead. done is false if
// another node turned out to own the key.
func (s *Service) claimAndRun(ctx context.Context, r *api.Request, key string, body uint64, owned bool, hops int) (answer api.Answer, done bool) {
	if !owned {
		if !s.roster.isJoined() {
			return s.forward(ctx, r, hops, func(n *rosterNode) bool { return n.joined }), true
		}
		if owner, err := s.claim(ctx, key, body); err != nil {
			return mayHaveRun(r, err.Error()), true
		} else if owner != s.members.Self().Incarnation {
			return api.Answer{}, false
		}
	}
	if answer = s.run(ctx, r, &keyGuard{s.table, key}); answer.Verdict == api.NotRun && !s.table.TryRefuse(key) {
		answer = withoutNotRun(r, answer)
	}
	return answer, true
}

// claim claims the key for this node, in the log or by the grants of all other
// nodes. It returns the incarnation that owns the key, or an empty string if this
// node has granted it to another node in the meantime.
func (s *Service) claim(ctx context.Context, key string, body uint64) (owner string, err error) {
	if !s.logUnreachable(time.Now()) {
		if owner, err = s.claimInLog(ctx, key, body); err == nil || ctx.Err() != nil {
			return owner, err
		}
	}
	return s.claimByGrants(ctx, key, body)
}

// claimInLog claims the key in the log. In parallel another node notes the claim:
// if this node dies after it has sent the request, and a log outage begins before
// the others have read the claim, a surviving node still knows it.
func (s *Service) claimInLog(ctx context.Context, key string, body uint64) (string, error) {
	noted := make(chan bool, 1)
	go func() { noted <- s.noteClaim(key, body) }()
	self := s.members.Self().Incarnation
	outcome := make(chan state.Outcome, 1)
	s.wg.Go(func() {
		out, err := s.journal.Propose(s.runCtx, state.Record{ClaimKey: &state.ClaimKey{Key: key, Body: body, Owner: self}})
		if err == nil {
			s.appendsFailing.Store(false)
			outcome <- out
		}
	})
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case out := <-outcome:
		if out.Key.Owner == self && !<-noted {
			return "", api.Errorf(api.CodeUnavailable, "no other entry VM confirmed the claim")
		}
		return s.recordOwner(key, out.Key.Owner, false), nil
	case <-timer.C:
		s.appendsFailing.Store(true)
		return "", api.Errorf(api.CodeUnavailable, "the log did not confirm the claim")
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// recordOwner records the key's owner and returns it, or an empty string if it is
// this node and the key has been granted to another node in the meantime. unlogged
// reports whether the owner claimed the key without the log.
func (s *Service) recordOwner(key, owner string, unlogged bool) string {
	mine := s.table.SetOwner(key, owner, unlogged)
	if owner == s.members.Self().Incarnation && !mine {
		return ""
	}
	return owner
}

// noteClaim asks other nodes to note the claim. It reports whether one did, or none
// is running.
func (s *Service) noteClaim(key string, body uint64) bool {
	others := s.roster.others()
	if len(others) == 0 {
		return true
	}
	call := &KeyCall{s.members.Self(), key, body}
	var first []membership.Member
	if live := s.roster.reachable(time.Now(), func(*rosterNode) bool { return true }); len(live) > 0 {
		for range min(noteTargets, len(live)) {
			w := membership.Rendezvous(live, key)
			first = append(first, w)
			live = slices.DeleteFunc(live, func(m membership.Member) bool { return m.ID == w.ID })
		}
	}
	if noted, _ := s.noteAt(first, call); noted {
		return true
	}
	noted, noneRunning := s.noteAt(others, call)
	return noted || noneRunning
}

// noteAt asks nodes to note a claim. noneRunning means that each of them refused
// the connection, so that no process is listening there.
func (s *Service) noteAt(nodes []membership.Member, call *KeyCall) (noted, noneRunning bool) {
	// Not the caller's context: cancelling a call would close the connection to
	// the node.
	ctx, cancel := context.WithTimeout(s.runCtx, keyCallTimeout)
	defer cancel()
	type result struct {
		noted bool
		err   error
	}
	results := make(chan result, len(nodes))
	for _, m := range nodes {
		go func() {
			var reply NoteReply
			err := s.peers.Call(ctx, m.Address, "Requests.Note", call, &reply)
			results <- result{reply.Noted, err}
		}()
	}
	noneRunning = true
	for range nodes {
		got := <-results
		if got.noted {
			return true, false
		}
		noneRunning = noneRunning && connectionRefused(got.err)
	}
	return false, noneRunning
}

// claimByGrants claims the key without the log: every other node that is not known
// to be gone must grant it. Nodes that do not answer are asked again until the
// request's deadline.
func (s *Service) claimByGrants(ctx context.Context, key string, body uint64) (string, error) {
	self := s.members.Self().Incarnation
	for {
		if noted := s.table.NotedOwner(key); noted != "" && noted != self {
			return s.recordOwner(key, noted, true), nil
		}
		owner, missing, err := s.requestGrants(key, body)
		switch {
		case err != nil:
			return "", err
		case owner != "":
			return s.recordOwner(key, owner, false), nil
		case len(missing) == 0:
			return s.recordOwner(key, self, true), nil
		}
		select {
		case <-time.After(grantRetryDelay):
		case <-ctx.Done():
			return "", api.Errorf(api.CodeUnavailable, "the log is unreachable and %s did not answer", missing[0])
		}
	}
}

// requestGrants asks every other node to grant the key, and the nodes that those
// know. The first in ID order is asked before all others, so that of several
// nodes that compete for the key only one continues. It returns the key's owner
// if that is another node, or the IDs of the nodes that did not answer; both are
// empty if all nodes granted the key.
func (s *Service) requestGrants(key string, body uint64) (owner string, missing []string, err error) {
	asked := map[string]bool{s.members.Self().ID: true}
	pending := s.roster.others()
	if len(pending) > 0 && pending[0].ID < s.members.Self().ID {
		first := s.requestGrantsFrom(pending[:1], &KeyCall{s.members.Self(), key, body})[0]
		switch {
		case first == nil:
			return "", []string{pending[0].ID}, nil
		case !first.Grant.Granted && !first.Grant.Reused:
			return first.Grant.Owner, nil, nil
		}
	}
	if !s.table.RecordFirstGrant(key) {
		return s.table.Owner(key), nil, nil
	}
	for len(pending) > 0 {
		for _, m := range pending {
			asked[m.ID] = true
		}
		replies := s.requestGrantsFrom(pending, &KeyCall{s.members.Self(), key, body})
		var next []membership.Member
		for i, reply := range replies {
			switch {
			case reply == nil:
				missing = append(missing, pending[i].ID)
				continue
			case reply.Grant.Reused:
				return "", nil, api.Errorf(api.CodeInvalid, "the key was used for another request")
			case !reply.Grant.Granted:
				return reply.Grant.Owner, nil, nil
			}
			for _, m := range reply.Others {
				if !asked[m.ID] && !slices.ContainsFunc(next, func(n membership.Member) bool { return n.ID == m.ID }) {
					next = append(next, m)
				}
			}
		}
		pending = next
	}
	return "", missing, nil
}

// requestGrantsFrom asks nodes in parallel to grant a key. The replies are in the
// order of nodes, nil for those without an answer.
func (s *Service) requestGrantsFrom(nodes []membership.Member, call *KeyCall) []*AskReply {
	// Not the caller's context: cancelling a call would close the connection to
	// the node.
	ctx, cancel := context.WithTimeout(s.runCtx, keyCallTimeout)
	defer cancel()
	replies := make([]*AskReply, len(nodes))
	var wg sync.WaitGroup
	for i, m := range nodes {
		wg.Go(func() {
			var reply AskReply
			if err := s.peers.Call(ctx, m.Address, "Requests.Ask", call, &reply); err == nil {
				s.roster.recordContact(reply.From, time.Now())
				replies[i] = &reply
			}
		})
	}
	wg.Wait()
	return replies
}

// forwardToOwner forwards a request to the incarnation that owns its key.
func (s *Service) forwardToOwner(ctx context.Context, r *api.Request, owner string, hops int, marks refusalMarks) api.Answer {
	m, ok := s.roster.byIncarnation(owner)
	if !ok {
		return mayHaveRun(r, "the entry VM that held the key is gone, an earlier attempt may have run")
	}
	return s.forwardTo(ctx, r, m, owner, hops, marks.others[owner])
}

// maxForwardTargets bounds the nodes that a request is forwarded to, one after the
// other.
const maxForwardTargets = 3

// forward forwards a request to a reachable node that passes the filter. If that
// node is stopping or gone, an unkeyed request is forwarded to another one; so is
// an idempotent one if the connection turned out to be silent.
func (s *Service) forward(ctx context.Context, r *api.Request, hops int, filter func(*rosterNode) bool) api.Answer {
	answer := mayHaveRun(r, "this entry VM has not joined the others yet")
	tried := map[string]bool{}
	for range maxForwardTargets {
		nodes := s.roster.reachable(time.Now(), func(n *rosterNode) bool { return filter(n) && !tried[n.member.ID] })
		if len(nodes) == 0 || hops >= maxHops {
			break
		}
		m := membership.Rendezvous(nodes, r.ID)
		tried[m.ID] = true
		next := s.forwardTo(ctx, r, m, "", hops, 0)
		if len(tried) > 1 {
			next = joinVerdicts(answer, next)
		}
		if answer = next; r.Key != "" || !canForwardAgain(r, answer) {
			break
		}
	}
	return answer
}

// canForwardAgain reports whether a request that got answer a from one node may be
// forwarded to another: the first was unavailable and did not run it, or the first
// did not answer and the request is idempotent.
func canForwardAgain(r *api.Request, a api.Answer) bool {
	safe := a.Verdict == api.NotRun || (r.Idempotent && a.Verdict == api.MayHaveRun && a.Upstream == "")
	return safe && a.Error != nil && a.Error.Code == api.CodeUnavailable
}

// forwardTo makes node m run the request. Its timeout there is 90 % of the time
// left, so that the answer arrives before the deadline. to is the incarnation that
// must run it, empty for any, and mark is that node's refusal mark.
func (s *Service) forwardTo(ctx context.Context, r *api.Request, m membership.Member, to string, hops int, mark uint64) api.Answer {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	call := &RunCall{Request: *r, Timeout: left * 9 / 10, Hops: hops + 1, To: to, Mark: mark}
	answer := make(chan api.Answer, 1)
	s.wg.Go(func() {
		callCtx, cancel := context.WithTimeout(s.runCtx, left)
		defer cancel()
		var reply RunReply
		if err := s.peers.Call(callCtx, m.Address, "Requests.Run", call, &reply); err != nil {
			reply.Answer = forwardFailed(r, err)
		}
		answer <- reply.Answer
	})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return mayHaveRun(r, "the entry VM that took the request over has not answered")
	}
}

// forwardFailed returns the answer to a forwarded request that got no reply. If no
// connection was opened, the request did not run, but an earlier one with its key
// may have.
func forwardFailed(r *api.Request, err error) api.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && r.Key == "" {
		return refuse(r, api.Errorf(api.CodeUnavailable, "the entry VM that was to take the request over is gone"))
	}
	return mayHaveRun(r, "the entry VM that took the request over does not answer")
}

// keyGuard permits an attempt only while this node owns the key and no attempt is
// in flight or has ended. A nil guard permits every attempt.
type keyGuard struct {
	table *claims.Table
	key   string
}

func (g *keyGuard) begin() bool { return g == nil || g.table.BeginAttempt(g.key) }
func (g *keyGuard) end(answer api.Answer) {
	if g != nil {
		g.table.EndAttempt(g.key, answer)
	}
}
