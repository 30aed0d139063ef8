package ingress

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseHeader lasts from the accept, or from the first byte of a further request, until the
	// handler runs.
	phaseHeader phase = iota
	// phaseBody lasts while a handler reads the body.
	phaseBody
	// phaseServing is the rest of a handler's run, and the answer. Unless the caller does not read
	// the answer, it ends by itself soon, and what the connection holds cannot be freed sooner.
	phaseServing
	// phaseDiscard lasts while a body that the handler did not read is passed over, and while its
	// connection ends.
	phaseDiscard
	// phaseIdle is the time between two requests.
	phaseIdle
)

func (p phase) String() string { return [...]string{"header", "body", "serving", "discard", "idle"}[p] }

// holder is a connection, or a request that came without one, as the budget sees it. All times
// are on the gate's clock.
type holder struct {
	// account owns the last request; empty if it is not known (yet).
	account string
	// bytes is what the holder holds, as far as it has been granted.
	bytes int64
	// number rises with each holder.
	number uint64
	phase  phase
	// since is the start of the phase, and deadline the latest end of phaseBody.
	since, deadline time.Duration
	// progress is when bytes last arrived. It is written without the lock of the gate.
	progress atomic.Int64
	// writing is when the write began that the connection is in; 0 if it is in none. It is written
	// without the lock of the gate.
	writing atomic.Int64
	// leaving means that the holder has been told to free what it holds.
	leaving bool
	// closed means that its connection has been closed, and only its memory is left to free.
	closed bool
	// cause is why it was told so.
	cause reason
}

// budget bounds the bytes and the number of all holders, and decides who has to give way when
// they are used up. It answers the load of clients that hold as much as they can for as long as
// they can: bodies that stop just short of their end, headers that arrive byte by byte, idle
// connections. A holder is granted bytes as it grows. Beyond the limit
// the account that holds most gives way, in it the largest holders, and among those of about the
// same size the one for which nothing has arrived for longest, so that a caller who sends an
// ordinary request is served beside a crowd, also beside one of its own account.
type budget struct {
	maxBytes int64
	// maxHolders limits the holders; 0 means no limit.
	maxHolders int

	total, leaving int64
	// leavingCount is the number of the holders that are leaving, and closedCount that of those
	// whose connection has been closed.
	leavingCount, closedCount int
	numbers                   uint64
	holders                   map[*holder]struct{}
	// shares is the total of each account, without what is leaving.
	shares map[string]int64
}

func newBudget(maxBytes int64, maxHolders int) *budget {
	return &budget{maxBytes: maxBytes, maxHolders: maxHolders, holders: map[*holder]struct{}{}, shares: map[string]int64{}}
}

// verdict is the budget's answer to a holder that asks for bytes.
type verdict int

const (
	// granted means that the bytes are the holder's.
	granted verdict = iota
	// refused means that the holder itself has to give way.
	refused
	// await means that enough will be free once the holders that are leaving have left.
	await
	// evict means that the returned holder has to be told to leave; then ask again.
	evict
)

// writeTimeout is how long a caller may leave a part of an answer unread.
const writeTimeout = 10 * time.Second

// overshoot is the part of the budget by which new connections may exceed it while others leave:
// an accept must not wait.
const overshoot = 8

// admit adds a holder of the given size. Its verdict is never await.
func (b *budget) admit(h *holder, bytes int64, now time.Duration) (verdict, *holder) {
	h.since = now
	h.progress.Store(int64(now))
	if b.total+bytes > b.maxBytes+b.maxBytes/overshoot || b.maxHolders > 0 && len(b.holders)-b.closedCount >= b.maxHolders+b.maxHolders/overshoot {
		return refused, nil
	}
	over := b.total-b.leaving+bytes > b.maxBytes || b.maxHolders > 0 && len(b.holders)-b.leavingCount >= b.maxHolders
	if over {
		return b.makeRoom(h, bytes)
	}
	b.numbers++
	h.number = b.numbers
	b.holders[h] = struct{}{}
	b.charge(h, bytes)
	return granted, nil
}

// ask grants a holder further bytes, or says who has to give way.
func (b *budget) ask(h *holder, bytes int64) (verdict, *holder) {
	switch {
	case h.leaving:
		return refused, nil
	case b.total+bytes <= b.maxBytes:
		b.charge(h, bytes)
		return granted, nil
	case b.total-b.leaving+bytes <= b.maxBytes:
		return await, nil
	}
	return b.makeRoom(h, bytes)
}

// makeRoom chooses the holder that gives way so that h can get bytes, and marks it as leaving.
func (b *budget) makeRoom(h *holder, bytes int64) (verdict, *holder) {
	victim := b.victim(h, bytes)
	if victim == h {
		return refused, nil
	}
	b.expel(victim, reasonBudget)
	return evict, victim
}

// sizeClass groups holders of about the same size. Those that hold no more than ordinary requests
// do are all in class 0.
func sizeClass(bytes int64) int { return bits.Len64(uint64(bytes / ordinaryBytes)) }

// ordinaryBytes is the size of a connection with an ordinary request: its buffers and a body of
// some KB. The largest class of ordinary bodies has 4.8 KB.
const ordinaryBytes = connBytes + 24<<10

// victim returns the holder that gives way if h gets bytes; it may be h itself.
func (b *budget) victim(h *holder, bytes int64) *holder {
	type rank struct {
		share    int64
		class    int
		progress int64
		number   uint64
	}
	own := b.shares[h.account] + bytes
	rankOf := func(o *holder, extra int64) rank {
		share := b.shares[o.account]
		if o.account == h.account {
			share = own
		}
		return rank{share, sizeClass(o.bytes + extra), o.progress.Load(), o.number}
	}
	worse := func(a, b rank) bool {
		switch {
		case a.share != b.share:
			return a.share > b.share
		case a.class != b.class:
			return a.class > b.class
		case a.progress != b.progress:
			return a.progress < b.progress
		}
		return a.number < b.number
	}
	victim, worst := h, rankOf(h, bytes)
	if h.number == 0 {
		// A new holder comes after all others of its progress.
		worst.number = b.numbers + 1
	}
	for o := range b.holders {
		if o == h || o.leaving || o.phase == phaseServing && o.writing.Load() == 0 {
			continue
		}
		if r := rankOf(o, 0); worse(r, worst) {
			victim, worst = o, r
		}
	}
	return victim
}

func (b *budget) charge(h *holder, bytes int64) {
	h.bytes += bytes
	b.total += bytes
	if h.leaving {
		b.leaving += bytes
	} else {
		b.addShare(h.account, bytes)
	}
}

func (b *budget) addShare(account string, bytes int64) {
	if b.shares[account] += bytes; b.shares[account] == 0 {
		delete(b.shares, account)
	}
}

// free takes back all but the given bytes of a holder.
func (b *budget) free(h *holder, keep int64) {
	if h.bytes > keep {
		b.charge(h, keep-h.bytes)
	}
}

// setAccount moves a holder to the account that owns its present request.
func (b *budget) setAccount(h *holder, account string) {
	if !h.leaving && h.account != account {
		b.addShare(h.account, -h.bytes)
		b.addShare(account, h.bytes)
	}
	h.account = account
}

// expel marks a holder as leaving. Its bytes count until it is removed.
func (b *budget) expel(h *holder, cause reason) {
	if h.leaving {
		return
	}
	b.addShare(h.account, -h.bytes)
	h.leaving, h.cause = true, cause
	b.leaving += h.bytes
	b.leavingCount++
}

// markClosed notes that the connection of a holder that is leaving has been closed.
func (b *budget) markClosed(h *holder) {
	if !h.closed {
		h.closed = true
		b.closedCount++
	}
}

// remove removes a holder and frees what it holds.
func (b *budget) remove(h *holder) {
	if _, known := b.holders[h]; !known {
		return
	}
	b.free(h, 0)
	if h.leaving {
		b.leavingCount--
	}
	if h.closed {
		b.closedCount--
	}
	delete(b.holders, h)
}

// expire marks the holders as leaving whose time is up, and returns them. It answers connections
// that are held open without use: a header or a body that does not end, idle ones, and answers
// that are not read.
func (b *budget) expire(now time.Duration, l Limits) []*holder {
	var expired []*holder
	for h := range b.holders {
		if h.leaving {
			continue
		}
		var cause reason
		switch {
		case h.phase == phaseHeader && now-h.since > l.HeaderTimeout:
			cause = reasonSlowHeader
		case h.phase == phaseIdle && now-h.since > l.IdleTimeout:
			cause = reasonIdle
		case h.phase == phaseBody && now > h.deadline:
			cause = reasonSlowBody
		case h.writing.Load() != 0 && now-time.Duration(h.writing.Load()) > writeTimeout:
			cause = reasonUnread
		default:
			continue
		}
		b.expel(h, cause)
		expired = append(expired, h)
	}
	return expired
}
