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

// HeaderRenewalHandles is the response header with the handles that a worker assigns
// to the tasks of a renewal, in the order of the tasks and separated by commas. A
// handle consists of letters and digits and identifies a task together with the state
// in that response. A later renewal may list handles instead of tasks and is answered
// with 204 if no state has changed. A worker that does not know one of the handles
// answers 404 and renews nothing.
const HeaderRenewalHandles = "Renewal-Handles"

// AltSvcHTTP2 is the prefix of an Alt-Svc header value with which a worker offers
// HTTP/2 without TLS. HTTP/2 sends a repeated header as one byte.
const AltSvcHTTP2 = "h2c="

// maxCachedRenewals is the number of handles in each generation of a renewalCache.
const maxCachedRenewals = 4096

// cachedRenewal is the last status of a task that a worker returned, with its handle.
type cachedRenewal struct {
	handle string
	// offersHTTP2 reports whether the worker offers HTTP/2 without TLS.
	offersHTTP2 bool
	status      TaskStatus
}

// renewalKey identifies a task on a worker, by the worker's base URL.
type renewalKey struct {
	worker string
	task   TaskID
}

// renewalCache holds the handles in use, in two generations. When the current generation
// is full, it becomes the previous one; the former previous one is dropped, with all of its
// handles that were not used in the meantime.
type renewalCache struct {
	mu                sync.Mutex
	current, previous map[renewalKey]cachedRenewal
}

// get returns the cached renewal of each task, or false if ids is empty or any
// task has none.
func (c *renewalCache) get(worker string, ids []TaskID) ([]cachedRenewal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]cachedRenewal, len(ids))
	for i, id := range ids {
		key := renewalKey{worker, id}
		r, ok := c.current[key]
		if !ok {
			if r, ok = c.previous[key]; !ok {
				return nil, false
			}
			c.putLocked(key, r)
		}
		out[i] = r
	}
	return out, len(ids) > 0
}

func (c *renewalCache) put(key renewalKey, r cachedRenewal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putLocked(key, r)
}

// putLocked must be called with mu held.
func (c *renewalCache) putLocked(key renewalKey, r cachedRenewal) {
	if c.current == nil || len(c.current) >= maxCachedRenewals {
		c.previous, c.current = c.current, map[renewalKey]cachedRenewal{}
	}
	c.current[key] = r
}

func (c *renewalCache) drop(worker string, ids []TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		delete(c.current, renewalKey{worker, id})
		delete(c.previous, renewalKey{worker, id})
	}
}

// Renew implements Worker. It sends handles instead of tasks if all tasks have one.
func (w *httpWorker) Renew(ctx context.Context, ids []TaskID, ttl time.Duration) ([]TaskStatus, error) {
	if cached, ok := w.renewals.get(w.base, ids); ok {
		statuses, known, err := w.renewByHandles(ctx, ids, cached, ttl)
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
	return w.cacheReply(reply)
}

// renewByHandles renews tasks by their handles; known is false if the worker does not
// know one of them. After an error the handles are dropped, so that the next renewal
// lists the tasks, on another connection.
func (w *httpWorker) renewByHandles(ctx context.Context, ids []TaskID, cached []cachedRenewal, ttl time.Duration) (statuses []TaskStatus, known bool, err error) {
	client, handles := w.client, make([]string, len(cached))
	if cached[0].offersHTTP2 && w.http2 != nil {
		client = w.http2
	}
	for i, c := range cached {
		handles[i] = c.handle
		statuses = append(statuses, c.status)
	}
	reply, err := send(ctx, client, http.MethodPost, w.base+renewHandlesPath(handles, ttl), nil)
	switch {
	case err != nil:
		w.renewals.drop(w.base, ids)
		return nil, false, err
	case reply.status == http.StatusNoContent:
		return statuses, true, nil
	case reply.status == http.StatusNotFound:
		w.renewals.drop(w.base, ids)
		return nil, false, nil
	}
	statuses, err = w.cacheReply(reply)
	return statuses, true, err
}

// cacheReply returns the statuses in a reply, and caches them if the reply has a handle
// for each.
func (w *httpWorker) cacheReply(reply *httpReply) ([]TaskStatus, error) {
	var statuses []TaskStatus
	if err := reply.decode(&statuses); err != nil {
		return nil, err
	}
	handles := strings.Split(reply.header.Get(HeaderRenewalHandles), ",")
	if len(handles) != len(statuses) || handles[0] == "" {
		return statuses, nil
	}
	offersHTTP2 := strings.Contains(reply.header.Get("Alt-Svc"), AltSvcHTTP2)
	for i, s := range statuses {
		w.renewals.put(renewalKey{w.base, s.Task}, cachedRenewal{handles[i], offersHTTP2, s})
	}
	return statuses, nil
}

// renewHandlesPath returns the path of a renewal by handles.
func renewHandlesPath(handles []string, ttl time.Duration) string {
	return "/renew?handles=" + url.QueryEscape(strings.Join(handles, "-")) + "&ttl=" + ttl.String()
}
