// Package claims decides which node may run a request that has an idempotency
// key, so that the request runs at most once. A node owns a key if the log has its
// claim, or, while the log is unreachable, if every other node not known to be gone
// has granted it the key. The package records the keys that this node has granted to
// other nodes and the outcomes of the requests it ran itself. It does no I/O: package
// requests reads and writes the log and calls other nodes.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
)

const (
	// maxEntries bounds the keys in a Table.
	maxEntries = 32768
	// maxKeptAnswerBytes bounds the answer bodies that are kept for repeated requests.
	maxKeptAnswerBytes = 8 << 20
)

// KeyDigest returns the digest of an idempotency key, its account and its service.
func KeyDigest(r *api.Request) string {
	sum := sha256.Sum256([]byte(strings.Join([]string{r.Account, r.Service, r.Key}, "\x00")))
	return hex.EncodeToString(sum[:16])
}

// BodyDigest returns the digest of a request's class and body. A key that comes
// again with another digest is reused for another request, not a retry.
func BodyDigest(r *api.Request) uint64 { return xxhash.Sum64String(r.Class + "\x00" + string(r.Body)) }

// phase is this node's progress with a key that it owns or is claiming.
type phase uint8

const (
	// unsent means that this node has sent no attempt, or that all were not-run.
	unsent phase = iota
	// sent means that an attempt is in flight.
	sent
	// ended means that the request ran or may have run; it is never sent again.
	ended
)

// entry is the state of one key.
type entry struct {
	// body is the digest of the request body, see BodyDigest.
	body uint64
	// owner is the only incarnation that may run the request; empty if unclaimed.
	owner string
	// notedOwner is another incarnation that may have claimed the key in the log.
	notedOwner string
	phase      phase
	// active reports whether a request on this node is claiming or running the
	// key; done is closed when it stops.
	active bool
	// hadWaiters reports whether another request waited for the active one.
	hadWaiters bool
	// lastRefusal is the number of the key's last refusal with the verdict not-run,
	// see Table.refusalCount.
	lastRefusal uint64
	// firstGranted reports whether the active request has the grant of the first
	// node in ID order, or runs on that node.
	firstGranted bool
	done         chan struct{}
	answer       api.Answer
	// answerKept reports whether answer still has its body.
	answerKept bool
	// unlogged reports whether the owner got the key without the log, and the key
	// is not yet written to it.
	unlogged bool
}

// Table holds the idempotency keys that a node knows. It is safe for concurrent use.
type Table struct {
	self string

	mu      sync.Mutex
	entries map[string]*entry
	// order lists the keys, oldest first; answerOrder those with a kept answer.
	order       []string
	answerOrder []string
	answerBytes int
	// refusalCount counts, and so numbers, the refusals with the verdict not-run.
	refusalCount uint64
}

// NewTable returns an empty table for the node with incarnation self.
func NewTable(self string) *Table { return &Table{self: self, entries: map[string]*entry{}} }

// Decision is what a request with a key has to do next. Exactly one of Reused,
// Uncertain, Owner, Answer, Wait and Proceed is set.
type Decision struct {
	// Reused means that the key belongs to another request body.
	Reused bool
	// Uncertain means that the request must not run now, and that another
	// request with its key may have run.
	Uncertain bool
	// Owner is the incarnation of the other node that owns the key.
	Owner string
	// Answer is the outcome, if the request has ended.
	Answer *api.Answer
	// Wait is closed when the active request with the key ends on this node.
	Wait <-chan struct{}
	// Proceed means that the caller is now the key's active request, and must
	// call EndRequest.
	Proceed bool
	// Owned means that this node owns the key already.
	Owned bool
}

// entryFor returns the entry of a key, created if missing. It must be called with mu held.
func (t *Table) entryFor(key string, body uint64) *entry {
	e := t.entries[key]
	if e == nil {
		e = &entry{body: body}
		t.entries[key] = e
		t.order = append(t.order, key)
		t.evict()
	}
	return e
}

// evict removes the oldest keys beyond maxEntries, except those in use and those
// not yet written to the log. It must be called with mu held.
func (t *Table) evict() {
	for n := len(t.order); n > 0 && len(t.order) > maxEntries; n-- {
		key := t.order[0]
		t.order = t.order[1:]
		e := t.entries[key]
		if e.active || e.unlogged || e.phase == sent {
			t.order = append(t.order, key)
			continue
		}
		if e.answerKept {
			t.answerBytes -= len(e.answer.Body)
		}
		delete(t.entries, key)
	}
}

// isFull reports whether no further key can be granted until the log is reachable
// again: unlogged keys are not evicted. It must be called with mu held.
func (t *Table) isFull() bool { return len(t.entries) > 2*maxEntries }

// RefusalMark returns the number of this node's last refusal that was answered
// with not-run. A request that arrives later is newer than that refusal.
func (t *Table) RefusalMark() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusalCount
}

// TryRefuse reports whether the active request, if it has sent nothing, may be
// answered with not-run: only if no other request waits for it. From then on the
// key runs only for requests that arrived after this refusal: older ones may still
// be in transit between nodes, and must not run after the not-run verdict.
func (t *Table) TryRefuse(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if e == nil || e.owner != t.self || e.phase != unsent || e.hadWaiters {
		return false
	}
	t.refusalCount++
	e.lastRefusal = t.refusalCount
	return true
}

// BeginRequest begins a request. logged is the owner of the key in the log, if
// any, and loggedBody its body digest. mark is a RefusalMark of this node from
// before the request arrived at an entry VM.
func (t *Table) BeginRequest(key string, body uint64, logged string, loggedBody uint64, mark uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if logged != "" && loggedBody != body {
		return Decision{Reused: true}
	}
	_, known := t.entries[key]
	e := t.entryFor(key, body)
	switch {
	case e.body == body:
	case e.owner == "" && logged != "" && !e.active:
		// The claim noted for the other body lost: the log has this one.
		e.body = body
	case e.owner == "":
		// The key is being claimed for another body, and that claim may lose.
		return Decision{Uncertain: true}
	default:
		return Decision{Reused: true}
	}
	if logged == t.self && !known {
		// This node owned the key before and has evicted the outcome.
		e.owner, e.phase = t.self, ended
		e.answer = api.Answer{Verdict: api.MayHaveRun, Error: &api.Error{Code: api.CodeUnavailable, Message: "the outcome is no longer kept", Verdict: api.MayHaveRun}}
	}
	if e.owner == "" && logged != t.self {
		e.owner = logged
	}
	switch {
	case e.owner != "" && e.owner != t.self:
		return Decision{Owner: e.owner}
	case e.phase == ended:
		answer := e.answer
		return Decision{Answer: &answer}
	case e.active:
		e.hadWaiters = true
		return Decision{Wait: e.done}
	case mark < e.lastRefusal:
		return Decision{Uncertain: true}
	}
	e.active, e.hadWaiters, e.done = true, false, make(chan struct{})
	return Decision{Proceed: true, Owned: e.owner == t.self}
}

// EndRequest ends the active request and wakes those that wait for it.
func (t *Table) EndRequest(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil && e.active {
		e.active, e.firstGranted = false, false
		close(e.done)
	}
}

// RecordFirstGrant records that the active request has the grant of the first
// node in ID order, or runs on that node. It returns false if this node has
// granted the key to another node in the meantime.
func (t *Table) RecordFirstGrant(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if e == nil || (e.owner != "" && e.owner != t.self) {
		return false
	}
	e.firstGranted = true
	return true
}

// SetOwner records owner as the key's owner, unless it has one already. unlogged
// reports whether it got the key without the log. SetOwner reports whether this
// node may run the request: never after it has granted the key to another node.
func (t *Table) SetOwner(key string, owner string, unlogged bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if e == nil {
		return false
	}
	if e.owner == "" {
		e.owner, e.unlogged = owner, unlogged
	}
	if e.owner == t.self {
		e.notedOwner = ""
	}
	return e.owner == t.self
}

// Owner returns the incarnation that owns the key, empty if unknown.
func (t *Table) Owner(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.owner
	}
	return ""
}

// NotedOwner returns the incarnation of another node that may have claimed the
// key in the log, empty if none was noted.
func (t *Table) NotedOwner(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		return e.notedOwner
	}
	return ""
}

// BeginAttempt reports whether this node may send the request now, and records
// the attempt as sent if so.
func (t *Table) BeginAttempt(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if e == nil || e.owner != t.self || e.phase != unsent {
		return false
	}
	e.phase = sent
	return true
}

// EndAttempt records the outcome of an attempt. After not-run the request may be
// sent again.
func (t *Table) EndAttempt(key string, answer api.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key]
	if answer.Verdict == api.NotRun {
		e.phase = unsent
		return
	}
	e.phase, e.answer, e.answerKept = ended, answer, true
	t.answerOrder = append(t.answerOrder, key)
	t.answerBytes += len(answer.Body)
	for len(t.answerOrder) > 1 && (t.answerBytes > maxKeptAnswerBytes || !t.keepsAnswer(t.answerOrder[0])) {
		t.dropAnswer(t.answerOrder[0])
		t.answerOrder = t.answerOrder[1:]
	}
}

// keepsAnswer reports whether the answer of a key is kept. It must be called with mu held.
func (t *Table) keepsAnswer(key string) bool {
	e := t.entries[key]
	return e != nil && e.answerKept
}

// dropAnswer drops the body of an answer but keeps its verdict. It must be called with
// mu held.
func (t *Table) dropAnswer(key string) {
	if !t.keepsAnswer(key) {
		return
	}
	e := t.entries[key]
	t.answerBytes -= len(e.answer.Body)
	verdict, known := e.answer.Verdict, "the request ran"
	if verdict == api.MayHaveRun {
		known = "the request may have run"
	}
	e.answerKept = false
	e.answer.Body = ""
	e.answer.Error = &api.Error{Code: api.CodeUnavailable, Message: known + "; its answer is no longer kept", Verdict: verdict}
}

// Grant is the reply to a node that claims a key without the log.
type Grant struct {
	Granted bool
	// Owner is the incarnation to forward the request to, if the key is not granted.
	Owner string
	// Reused means that the key belongs to another request body.
	Reused bool
}

// DecideGrant decides whether the node from may own the key without the log. A
// node that grants a key never runs the request itself. logged is the owner in
// the log, if any; logUnreachable reports whether this node cannot use the log
// either. If it can use the log, or its table is full, it grants no further key and
// returns itself as the owner. Nodes that compete for a key ask the first node in ID
// order before all others, so that one of them succeeds.
func (t *Table) DecideGrant(key string, body uint64, from string, logged string, logUnreachable bool) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[key]
	switch {
	case known && e.body != body:
		return Grant{Reused: true}
	case known && e.owner == from:
		return Grant{Granted: true}
	case known && e.owner != "":
		return Grant{Owner: e.owner}
	case logged != "" && logged != from:
		return Grant{Owner: logged}
	case !logUnreachable, !known && t.isFull():
		return Grant{Owner: t.self}
	case known && e.notedOwner != "" && e.notedOwner != from:
		return Grant{Owner: e.notedOwner}
	case known && e.active && e.firstGranted:
		return Grant{Owner: t.self}
	}
	e = t.entryFor(key, body)
	e.owner, e.unlogged = from, true
	return Grant{Granted: true}
}

// NoteClaim records that the node from is claiming the key in the log, so that the
// claim is known even if that node dies before others have read the log. It
// returns false if another node owns the key, or if it is used for another body.
func (t *Table) NoteClaim(key string, body uint64, from string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryFor(key, body)
	if e.body != body || (e.owner != "" && e.owner != from) {
		return false
	}
	e.notedOwner = from
	return true
}

// UnloggedKey is a key that was granted without the log and is not yet written to it.
type UnloggedKey struct {
	Key   string
	Body  uint64
	Owner string
}

// UnloggedKeys returns up to limit keys that are still to be written to the log;
// total counts all of them.
func (t *Table) UnloggedKeys(limit int) (keys []UnloggedKey, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range t.order {
		if e := t.entries[key]; e != nil && e.unlogged {
			if total++; total <= limit {
				keys = append(keys, UnloggedKey{key, e.body, e.owner})
			}
		}
	}
	return keys, total
}

// MarkLogged records that the key has been written to the log.
func (t *Table) MarkLogged(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		e.unlogged = false
	}
}
