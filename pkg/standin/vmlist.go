package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// VMList is a fake of the platform's VM list, where each change becomes visible
// after a lag. It implements backend.VMList.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	visible []backend.VM
	pending []pendingList
	down    bool
}

type pendingList struct {
	visibleAt time.Time
	vms       []backend.VM
}

// NewVMList returns a list that holds vms. Later changes become visible after lag.
func NewVMList(lag time.Duration, vms ...backend.VM) *VMList {
	return &VMList{lag: lag, visible: vms}
}

// Set replaces the list after the lag.
func (l *VMList) Set(vms []backend.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingList{time.Now().Add(l.lag), append([]backend.VM(nil), vms...)})
}

// Update replaces the list after the lag by the result of fn, which gets a copy of
// the latest list, visible or not.
func (l *VMList) Update(fn func([]backend.VM) []backend.VM) {
	l.mu.Lock()
	latest := l.visible
	if n := len(l.pending); n > 0 {
		latest = l.pending[n-1].vms
	}
	l.mu.Unlock()
	l.Set(fn(append([]backend.VM(nil), latest...)))
}

// SetDown sets whether the list is unreachable.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List implements backend.VMList.
func (l *VMList) List(ctx context.Context) ([]backend.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errUnavailable
	}
	for len(l.pending) > 0 && !time.Now().Before(l.pending[0].visibleAt) {
		l.visible, l.pending = l.pending[0].vms, l.pending[1:]
	}
	return append([]backend.VM(nil), l.visible...), ctx.Err()
}

// Handler serves the list over HTTP: GET /vms and PUT /vms.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.get)
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []backend.VM
		if err := decode(r, &vms); err != nil {
			reply(w, nil, err)
			return
		}
		l.Set(vms)
		reply(w, struct{}{}, nil)
	})
	return mux
}

// get replies with the list, or with 304 if its ETag matches If-None-Match.
func (l *VMList) get(w http.ResponseWriter, r *http.Request) {
	vms, err := l.List(r.Context())
	if err != nil {
		reply(w, nil, err)
		return
	}
	data, err := json.Marshal(vms)
	if err != nil {
		reply(w, nil, err)
		return
	}
	etag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}
