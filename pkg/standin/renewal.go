package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// maxHandles bounds the number of handles that a worker keeps.
const maxHandles = 256

// renewalHandles assigns a handle to each task status in a worker's replies to
// renewals. A client renews by handles instead of task IDs, and gets a full
// reply only if a status differs from the one that its handle stands for.
type renewalHandles struct {
	mu sync.Mutex
	// next is the next handle. It starts at random, so that handles of an earlier
	// incarnation of the worker are unknown.
	next   uint64
	states map[string]backend.TaskStatus
	order  []string // handles, oldest first
}

func newRenewalHandles() *renewalHandles {
	return &renewalHandles{next: rand.Uint64(), states: map[string]backend.TaskStatus{}}
}

// assign returns new handles for the statuses in a reply. A handle never changes its
// meaning: after a lost reply, the client still holds the handles of an earlier one,
// and the next renewal by them finds the difference and replies in full.
func (r *renewalHandles) assign(statuses []backend.TaskStatus) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	handles := make([]string, len(statuses))
	for i, s := range statuses {
		handles[i] = strconv.FormatUint(r.next, 36)
		r.next++
		r.states[handles[i]] = s
		r.order = append(r.order, handles[i])
	}
	for len(r.order) > maxHandles {
		delete(r.states, r.order[0])
		r.order = r.order[1:]
	}
	return handles
}

// lookup returns the statuses that handles stand for, or false if one is unknown.
func (r *renewalHandles) lookup(handles []string) ([]backend.TaskStatus, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]backend.TaskStatus, len(handles))
	for i, h := range handles {
		s, ok := r.states[h]
		if !ok {
			return nil, false
		}
		out[i] = s
	}
	return out, true
}

// serveRenew serves renewals by tasks or by handles. It replies 404 to an unknown
// handle, and 204 if the statuses are still those of the handles.
func (w *Worker) serveRenew(known *renewalHandles) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var call backend.RenewCall
		var lastReply []backend.TaskStatus
		var err error
		if handles := r.URL.Query().Get("handles"); handles != "" {
			var ok bool
			if lastReply, ok = known.lookup(strings.Split(handles, "-")); !ok {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			for _, s := range lastReply {
				call.Tasks = append(call.Tasks, s.Task)
			}
			if call.TTL, err = time.ParseDuration(r.URL.Query().Get("ttl")); err != nil {
				err = api.FieldErrorf("ttl", "%v", err)
			}
		} else {
			err = decode(r, &call)
		}
		var statuses []backend.TaskStatus
		if err == nil {
			statuses, err = w.Renew(r.Context(), call.Tasks, call.TTL)
		}
		switch {
		case err != nil:
			reply(rw, nil, err)
		case lastReply != nil && slices.Equal(statuses, lastReply):
			rw.WriteHeader(http.StatusNoContent)
		default:
			rw.Header().Set(backend.HeaderRenewalHandles, strings.Join(known.assign(statuses), ","))
			if _, port, err := net.SplitHostPort(r.Host); err == nil {
				rw.Header().Set("Alt-Svc", backend.AltSvcHTTP2+strconv.Quote(":"+port))
			}
			reply(rw, statuses, nil)
		}
	}
}
