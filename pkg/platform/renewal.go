package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// HeaderRenewalHandle carries the handle that a worker gives to a renewal. The
// handle stands for the tasks that were renewed and the states that were
// answered: a later renewal may name it in place of the tasks, and is answered
// with 204 if the states are still the same. A worker that does not know a
// handle answers 404 and renews nothing.
const HeaderRenewalHandle = "Renewal-Handle"

// AltSvcHTTP2 begins the offer of HTTP/2 without TLS in the header Alt-Svc of a
// worker's answer. HTTP/2 sends headers that repeat as one byte each.
const AltSvcHTTP2 = "h2c="

// maxHeldRenewals bounds the handles that a client holds in each generation.
const maxHeldRenewals = 1024

// heldRenewal is a worker's last answer to a renewal, and the handle for it.
type heldRenewal struct {
	handle string
	// http2 says that the worker offers HTTP/2.
	http2    bool
	statuses []TaskStatus
}

// heldRenewals holds the handles in use by worker and tasks. Those that are not
// used any more go after two generations.
type heldRenewals struct {
	mu         sync.Mutex
	young, old map[string]heldRenewal
}

func (h *heldRenewals) get(key string) (heldRenewal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.young[key]; ok {
		return r, true
	}
	r, ok := h.old[key]
	if ok {
		h.putLocked(key, r)
	}
	return r, ok
}

func (h *heldRenewals) put(key string, r heldRenewal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.putLocked(key, r)
}

func (h *heldRenewals) putLocked(key string, r heldRenewal) {
	if h.young == nil || len(h.young) >= maxHeldRenewals {
		h.old, h.young = h.young, map[string]heldRenewal{}
	}
	h.young[key] = r
}

func (h *heldRenewals) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.young, key)
	delete(h.old, key)
}

// Renew implements Worker. Tasks that were renewed before go by their handle.
func (w *httpWorker) Renew(ctx context.Context, ids []TaskID, ttl time.Duration) ([]TaskStatus, error) {
	names, err := json.Marshal(ids)
	if err != nil {
		return nil, err
	}
	key := w.base + string(names)
	if held, ok := w.held.get(key); ok {
		statuses, known, err := w.renewHeld(ctx, key, held, ttl)
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
	return w.hold(key, reply)
}

// renewHeld renews by handle; known is false if the worker does not know it.
// After an error the next renewal names the tasks again, on another connection.
func (w *httpWorker) renewHeld(ctx context.Context, key string, held heldRenewal, ttl time.Duration) (statuses []TaskStatus, known bool, err error) {
	client := w.client
	if held.http2 && w.http2 != nil {
		client = w.http2
	}
	reply, err := send(ctx, client, http.MethodPost, w.base+RenewHandlePath(held.handle, ttl), nil)
	switch {
	case err != nil:
		w.held.drop(key)
		return nil, false, err
	case reply.status == http.StatusNoContent:
		return slices.Clone(held.statuses), true, nil
	case reply.status == http.StatusNotFound:
		w.held.drop(key)
		return nil, false, nil
	}
	statuses, err = w.hold(key, reply)
	return statuses, true, err
}

// hold returns the states in a reply, and keeps them if the worker gave a handle.
func (w *httpWorker) hold(key string, reply *httpReply) ([]TaskStatus, error) {
	var statuses []TaskStatus
	if err := reply.decode(&statuses); err != nil {
		return nil, err
	}
	if handle := reply.header.Get(HeaderRenewalHandle); handle != "" {
		http2 := strings.Contains(reply.header.Get("Alt-Svc"), AltSvcHTTP2)
		w.held.put(key, heldRenewal{handle, http2, slices.Clone(statuses)})
	}
	return statuses, nil
}

// RenewHandlePath returns the path of a renewal by handle.
func RenewHandlePath(handle string, ttl time.Duration) string {
	return "/renew?handle=" + url.QueryEscape(handle) + "&ttl=" + ttl.String()
}
