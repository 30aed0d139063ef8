package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/platform"
)

// maxRenewalSets bounds the handles that a worker remembers.
const maxRenewalSets = 64

// renewalSets are the renewals that a worker has given handles to.
type renewalSets struct {
	mu sync.Mutex
	// next is the next handle. It starts at random, so that handles of an earlier
	// run of the worker stand for nothing.
	next  uint64
	sets  map[string][]platform.TaskStatus
	order []string
}

func newRenewalSets() *renewalSets {
	return &renewalSets{next: rand.Uint64(), sets: map[string][]platform.TaskStatus{}}
}

// remember returns a handle for an answer. A handle never changes its meaning,
// so that an answer that was lost is given again.
func (r *renewalSets) remember(statuses []platform.TaskStatus) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	handle := strconv.FormatUint(r.next, 36)
	r.next++
	r.sets[handle] = statuses
	r.order = append(r.order, handle)
	if len(r.order) > maxRenewalSets {
		delete(r.sets, r.order[0])
		r.order = r.order[1:]
	}
	return handle
}

func (r *renewalSets) get(handle string) ([]platform.TaskStatus, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses, ok := r.sets[handle]
	return statuses, ok
}

// serveRenew serves renewals, by tasks or by handle.
func (w *Worker) serveRenew(sets *renewalSets) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var call platform.RenewCall
		var known []platform.TaskStatus
		var err error
		if handle := r.URL.Query().Get("handle"); handle != "" {
			var ok bool
			if known, ok = sets.get(handle); !ok {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			for _, s := range known {
				call.Tasks = append(call.Tasks, s.Task)
			}
			if call.TTL, err = time.ParseDuration(r.URL.Query().Get("ttl")); err != nil {
				err = api.FieldErrorf("ttl", "%v", err)
			}
		} else {
			err = decode(r, &call)
		}
		var statuses []platform.TaskStatus
		if err == nil {
			statuses, err = w.Renew(r.Context(), call.Tasks, call.TTL)
		}
		switch {
		case err != nil:
			reply(rw, nil, err)
		case known != nil && slices.Equal(statuses, known):
			rw.WriteHeader(http.StatusNoContent)
		default:
			rw.Header().Set(platform.HeaderRenewalHandle, sets.remember(statuses))
			if _, port, err := net.SplitHostPort(r.Host); err == nil {
				rw.Header().Set("Alt-Svc", platform.AltSvcHTTP2+strconv.Quote(":"+port))
			}
			reply(rw, statuses, nil)
		}
	}
}
