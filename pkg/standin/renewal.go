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

// maxHandles bounds the handles that a worker remembers.
const maxHandles = 256

// renewalHandles are the states of tasks that a worker has given handles to.
type renewalHandles struct {
	mu sync.Mutex
	// next is the next handle. It starts at random, so that handles of an earlier
	// run of the worker stand for nothing.
	next   uint64
	states map[string]backend.TaskStatus
	order  []string
}

func newRenewalHandles() *renewalHandles {
	return &renewalHandles{next: rand.Uint64(), states: map[string]backend.TaskStatus{}}
}

// remember returns handles for the states in an answer. A handle never changes
// its meaning, so that an answer that was lost is given again.
func (r *renewalHandles) remember(statuses []backend.TaskStatus) []string {
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

// get returns the states that handles stand for, or false if one is not known.
func (r *renewalHandles) get(handles []string) ([]backend.TaskStatus, bool) {
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

// serveRenew serves renewals, by tasks or by handles.
func (w *Worker) serveRenew(known *renewalHandles) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var call backend.RenewCall
		var told []backend.TaskStatus
		var err error
		if handles := r.URL.Query().Get("handles"); handles != "" {
			var ok bool
			if told, ok = known.get(strings.Split(handles, "-")); !ok {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			for _, s := range told {
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
		case told != nil && slices.Equal(statuses, told):
			rw.WriteHeader(http.StatusNoContent)
		default:
			rw.Header().Set(backend.HeaderRenewalHandles, strings.Join(known.remember(statuses), ","))
			if _, port, err := net.SplitHostPort(r.Host); err == nil {
				rw.Header().Set("Alt-Svc", backend.AltSvcHTTP2+strconv.Quote(":"+port))
			}
			reply(rw, statuses, nil)
		}
	}
}
