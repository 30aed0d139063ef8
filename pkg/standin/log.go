// Package standin provides in-memory fakes of the platform and the upstreams, with
// fault injection: the append-only log, the VM list, the workers and the upstreams.
// Tests, the walkthrough and the benchmarks run entry nodes against them, in the
// same process or over HTTP.
package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// maxEntryBytes bounds one entry of the log and any other request body.
const maxEntryBytes = 16 << 20

// maxPageEntries bounds the number of entries that one read returns.
const maxPageEntries = 1000

// LogFaults are the faults injected into a log. The zero value has none.
type LogFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down,omitempty"`
	// AppendsDown and ReadsDown make only appends or only reads fail.
	AppendsDown bool `json:"appends_down,omitempty"`
	ReadsDown   bool `json:"reads_down,omitempty"`
	// LoseAcks makes appends take effect and then return an error.
	LoseAcks bool `json:"lose_acks,omitempty"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns,omitempty"`
}

// Log is an in-memory append-only log. It implements backend.Log.
type Log struct {
	mu      sync.Mutex
	first   int64
	entries []backend.Entry
	retain  int
	faults  LogFaults
	changed chan struct{}
	appends int64
}

// NewLog returns a log that keeps the newest retain entries; zero keeps all.
func NewLog(retain int) *Log { return &Log{retain: retain, changed: make(chan struct{})} }

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	// Wake waiting reads, so that an outage fails them too.
	l.wake()
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim drops all but the newest keep entries, as expired retention does.
func (l *Log) Trim(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut := len(l.entries) - keep; cut > 0 {
		l.entries = append([]backend.Entry(nil), l.entries[cut:]...)
		l.first += int64(cut)
	}
}

// wake wakes all waiting reads. It must be called with mu held.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

var errUnavailable = &api.Error{Code: api.CodeUnavailable, Message: "the log is down", Verdict: api.MayHaveRun}

// sleepContext waits for d, or returns the error of ctx if that ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements backend.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	if err := sleepContext(ctx, l.currentFaults().Delay); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.AppendsDown {
		return 0, errUnavailable
	}
	offset := l.first + int64(len(l.entries))
	l.entries = append(l.entries, backend.Entry{Offset: offset, Data: append([]byte(nil), data...)})
	l.appends++
	if cut := len(l.entries) - l.retain; l.retain > 0 && cut > 0 {
		l.entries = append([]backend.Entry(nil), l.entries[cut:]...)
		l.first += int64(cut)
	}
	l.wake()
	if l.faults.LoseAcks {
		return 0, errUnavailable
	}
	return offset, nil
}

// Read implements backend.Log.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (backend.Page, error) {
	if err := sleepContext(ctx, l.currentFaults().Delay); err != nil {
		return backend.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := wait <= 0; ; {
		page, changed, err := l.page(from)
		if err != nil || len(page.Entries) > 0 || page.First > from || timedOut {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return backend.Page{}, ctx.Err()
		}
	}
}

// page returns the entries from offset from on that exist now, and a channel that is
// closed when the log changes.
func (l *Log) page(from int64) (backend.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.ReadsDown {
		return backend.Page{}, nil, errUnavailable
	}
	page := backend.Page{First: l.first, Next: l.first + int64(len(l.entries))}
	if start := from - l.first; start >= 0 && start < int64(len(l.entries)) {
		end := min(start+maxPageEntries, int64(len(l.entries)))
		page.Entries = append([]backend.Entry(nil), l.entries[start:end]...)
	}
	return page, l.changed, nil
}

// Handler serves the log over HTTP: POST /append, GET /read and POST /faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /append", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
		if err != nil {
			reply(w, nil, api.FieldErrorf("body", "%v", err))
			return
		}
		offset, err := l.Append(r.Context(), data)
		reply(w, backend.AppendReply{Offset: offset}, err)
	})
	mux.HandleFunc("GET /read", func(w http.ResponseWriter, r *http.Request) {
		from, err1 := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		waitMS, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		if err1 != nil || err2 != nil {
			reply(w, nil, api.FieldErrorf("from, wait_ms", "must be whole numbers"))
			return
		}
		page, err := l.Read(r.Context(), from, time.Duration(waitMS)*time.Millisecond)
		reply(w, page, err)
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f LogFaults
		if err := decode(r, &f); err != nil {
			reply(w, nil, err)
			return
		}
		l.SetFaults(f)
		reply(w, struct{}{}, nil)
	})
	return mux
}
