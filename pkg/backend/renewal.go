package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// HeaderRenewalHandles carries the handles that a worker gives to the tasks of a
// renewal, in their order and separated by commas. A handle is of letters and digits. It stands for a task and
// the state that was answered: a later renewal may name handles in place of the
// tasks, and is answered with 204 if all states are still the same. A worker that
// does not know one of the handles answers 404 and renews nothing.
const HeaderRenewalHandles = "Renewal-Handles"

// AltSvcHTTP2 begins the offer of HTTP/2 without TLS in the header Alt-Svc of a
// worker's answer. HTTP/2 sends headers that repeat as one byte each.
const AltSvcHTTP2 = "h2c="

// maxHeldRenewals bounds the handles that a client holds in each generation.
const maxHeldRenewals = 4096

// heldRenewal is a worker's last word on a task, and the handle for it.
type heldRenewal struct {
	handle string
	// http2 says that the worker offers HTTP/2.
	http2  bool
	status TaskStatus
}

// heldKey names a task at a worker.
type heldKey struct {
	worker string
	task   TaskID
}

// heldRenewals holds the handles in use. Those that are not used any more go
// after two generations.
type heldRenewals struct {
	mu         sync.Mutex
	young, old map[heldKey]heldRenewal
}

// get returns what is held of each task, or false unless all are held.
func (h *heldRenewals) get(worker string, ids []TaskID) ([]heldRenewal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]heldRenewal, len(ids))
	for i, id := range ids {
		key := heldKey{worker, id}
		r, ok := h.young[key]
		if !ok {
			if r, ok = h.old[key]; !ok {
				return nil, false
			}
			h.putLocked(key, r)
		}
		out[i] = r
	}
	return out, len(ids) > 0
}

func (h *heldRenewals) put(key heldKey, r heldRenewal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.putLocked(key, r)
}

func (h *heldRenewals) putLocked(key heldKey, r heldRenewal) {
	if h.young == nil || len(h.young) >= maxHeldRenewals {
		h.old, h.young = h.young, map[heldKey]heldRenewal{}
	}
	h.young[key] = r
}

func (h *heldRenewals) drop(worker string, ids []TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		delete(h.young, heldKey{worker, id})
		delete(h.old, heldKey{worker, id})
	}
}

// Renew implements Worker. Tasks that were renewed before go by their handles.
func (w *httpWorker) Renew(ctx context.Context, ids []TaskID, ttl time.Duration) ([]TaskStatus, error) {
	if held, ok := w.held.get(w.base, ids); ok {
		statuses, known, err := w.renewHeld(ctx, ids, held, ttl)
		if known || err != nil {
			return statuses, err
		}
	}
	body, err := json.Marshal(RenewCall{ids, ttl})
	if err != nil {
		return nil, err
	}
	reply, err := send(ctx, w.client, http.MethodPost, w.base+"/renew", body)
	if err != nil {
		return nil, err
	}
	return w.hold(reply)
}

// renewHeld renews by handles; known is false if the worker does not know one.
// After an error the next renewal names the tasks again, on another connection.
func (w *httpWorker) renewHeld(ctx context.Context, ids []TaskID, held []heldRenewal, ttl time.Duration) (statuses []TaskStatus, known bool, err error) {
	client, handles := w.client, make([]string, len(held))
	if held[0].http2 && w.http2 != nil {
		client = w.http2
	}
	for i, h := range held {
		handles[i] = h.handle
		statuses = append(statuses, h.status)
	}
	reply, err := send(ctx, client, http.MethodPost, w.base+renewHandlesPath(handles, ttl), nil)
	switch {
	case err != nil:
		w.held.drop(w.base, ids)
		return nil, false, err
	case reply.status == http.StatusNoContent:
		return statuses, true, nil
	case reply.status == http.StatusNotFound:
		w.held.drop(w.base, ids)
		return nil, false, nil
	}
	statuses, err = w.hold(reply)
	return statuses, true, err
}

// hold returns the states in a reply, and keeps them if the worker gave handles.
func (w *httpWorker) hold(reply *httpReply) ([]TaskStatus, error) {
	var statuses []TaskStatus
	if err := reply.decode(&statuses); err != nil {
		return nil, err
	}
	handles := strings.Split(reply.header.Get(HeaderRenewalHandles), ",")
	if len(handles) != len(statuses) || handles[0] == "" {
		return statuses, nil
	}
	http2 := strings.Contains(reply.header.Get("Alt-Svc"), AltSvcHTTP2)
	for i, s := range statuses {
		w.held.put(heldKey{w.base, s.Task}, heldRenewal{handles[i], http2, s})
	}
	return statuses, nil
}

// renewHandlesPath returns the path of a renewal by handles.
func renewHandlesPath(handles []string, ttl time.Duration) string {
	return "/renew?handles=" + url.QueryEscape(strings.Join(handles, "-")) + "&ttl=" + ttl.String()
}
