// Package replies bounds what the replies of other services make this process hold. A service
// may be faulty, or another program may answer at its address: then a reply has no end, or many
// arrive at once.
package replies

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/loglimit"
)

const (
	// ownAllowance is the size of a reply, in bytes, up to which it is always read: more than
	// orders, starts of runs and listings of 500 ends have, so that large replies of one service do
	// not delay the ordinary ones of another.
	ownAllowance = 64 << 10
	// MinBudget is the least that all replies of a kind of service may hold, in bytes: four pages
	// of 1 MiB of the store. The three kinds and what callers may hold fit into 144 MB together.
	MinBudget = 24 << 20
	// memoryShare is the part of the process's memory that all replies of a kind of service may
	// hold where that is more.
	memoryShare = 8
)

var (
	// ErrTooLarge means that a reply exceeds its limit.
	ErrTooLarge = errors.New("reply too large")
	// ErrBusy means that the replies being read hold as much as they may.
	ErrBusy = errors.New("too many large replies at once")
)

// Budget bounds what the replies of one kind of service hold together. It is safe for concurrent
// use; a nil Budget only limits each reply.
type Budget struct {
	source      string
	max         int64
	heldPerByte int64

	lines loglimit.Limiter

	mu   sync.Mutex
	held int64
}

// NewBudget returns a budget for a process of the given memory in bytes. source names the services
// in logs and metrics; a byte of their replies takes heldPerByte bytes of memory until it is
// decoded.
func NewBudget(source string, memory, heldPerByte int64) *Budget {
	return &Budget{source: source, max: max(MinBudget, memory/memoryShare), heldPerByte: heldPerByte}
}

// Reader reads one reply. It fails with ErrTooLarge or ErrBusy.
type Reader struct {
	budget *Budget
	reply  io.Reader
	// call and from describe the reply in logs.
	call, from  string
	limit, read int64
	charged     int64
	failed      error
}

// Reader returns a reader of a reply of at most limit bytes. Close must be called once the reply
// has been decoded.
func (b *Budget) Reader(reply io.Reader, limit int64, call, from string) *Reader {
	return &Reader{budget: b, reply: reply, limit: limit, call: call, from: from}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	room := r.limit - r.read
	if room == 0 {
		// A reply of exactly the limit ends here.
		n, err := r.reply.Read(make([]byte, 1))
		if n > 0 {
			return 0, r.fail(ErrTooLarge, "too-large")
		}
		return 0, err
	}
	n, err := r.reply.Read(p[:min(int64(len(p)), room)])
	r.read += int64(n)
	if !r.charge() {
		return 0, r.fail(ErrBusy, "busy")
	}
	return n, err
}

// charge counts what the reply holds; it returns false if there is no room for it.
func (r *Reader) charge() bool {
	b := r.budget
	if b == nil || r.read <= ownAllowance {
		return true
	}
	want := (r.read-ownAllowance)*b.heldPerByte - r.charged
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+want > b.max {
		return false
	}
	b.held += want
	r.charged += want
	return true
}

// Close frees what the reply held.
func (r *Reader) Close() {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= r.charged
	r.charged = 0
}

func (r *Reader) fail(err error, reason string) error {
	r.failed = fmt.Errorf("%w: %s of %s, %d bytes read, the limit is %d", err, r.call, r.from, r.read, r.limit)
	b := r.budget
	if b == nil {
		return r.failed
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("shallotpin_replies_cut_total{source=%q,reason=%q}", b.source, reason)).Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok, leftOut := b.lines.Allow(time.Now()); ok {
		klog.InfoS("replies: reply cut off", "source", b.source, "reason", reason, "call", r.call, "from", r.from, "read", r.read, "limit", r.limit, "held", b.held, "budget", b.max, "lines_left_out", leftOut)
	}
	return r.failed
}
