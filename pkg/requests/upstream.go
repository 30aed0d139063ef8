package requests

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

const (
	// maxAnswerBytes bounds the body of an upstream's answer.
	maxAnswerBytes = 8 << 20
	// maxConnsPerUpstream bounds this node's connections to one upstream. Eight
	// nodes share the 64 connections that an upstream takes.
	maxConnsPerUpstream = 8
	// upstreamIdleTimeout bounds how long a connection is kept idle, since an idle
	// one may become silent unnoticed.
	upstreamIdleTimeout = 5 * time.Second
	// closeIdleInterval is the minimum time between two calls that close all idle
	// connections.
	closeIdleInterval = time.Second
)

// upstreamClient sends requests to upstreams and checks their answers. Each
// upstream has its own http.Client, so that its connections can be closed together.
// A connection may become silent, for example when a network device restarts: what
// is sent on it is lost without an error, while new connections work.
type upstreamClient struct {
	network transport.Network
	mu      sync.Mutex
	clients map[string]*http.Client
	// lastCloseIdle is when the idle connections to all upstreams were last closed.
	lastCloseIdle time.Time
}

// attemptResult is the result of one attempt at one upstream.
type attemptResult struct {
	answer api.Answer
	// draining means that the upstream asked for no new work.
	draining bool
	// refused means that the upstream refused before it started the work.
	refused bool
	// abandoned means that the upstream may still be working on the attempt.
	abandoned bool
	// silent means that no answer came in time on a reused connection. It does not
	// count as a failure of the upstream, since the connection may be at fault.
	silent bool
	// canceled means that the caller gave up. It does not count as a failure either.
	canceled bool
}

func newUpstreamClient(network transport.Network) *upstreamClient {
	return &upstreamClient{network: trackedNetwork{network}, clients: map[string]*http.Client{}}
}

func (c *upstreamClient) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[address]
	if h == nil {
		h = transport.HTTPClient(c.network, maxConnsPerUpstream)
		h.Transport.(*http.Transport).IdleConnTimeout = upstreamIdleTimeout
		c.clients[address] = h
	}
	return h
}

// retainOnly closes the idle connections to upstreams not in addresses and drops
// their clients.
func (c *upstreamClient) retainOnly(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, h := range c.clients {
		if !addresses[address] {
			h.CloseIdleConnections()
			delete(c.clients, address)
		}
	}
}

// closeIdle closes the idle connections to all upstreams, at most once per
// closeIdleInterval: the fault that silenced one connection may affect all of them.
func (c *upstreamClient) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastCloseIdle) < closeIdleInterval {
		return
	}
	c.lastCloseIdle = now
	for _, h := range c.clients {
		h.CloseIdleConnections()
	}
}

func (c *upstreamClient) close() { c.retainOnly(nil) }

// do makes one attempt with the request ID id. The verdict is not-run only if no
// byte of the request was handed to the kernel, or if the upstream refused this
// attempt. Without an answer for silentAfter on a reused connection, all idle
// connections are closed, since they may be silent too; the attempt itself keeps
// waiting.
func (c *upstreamClient) do(ctx context.Context, vm backend.VM, r *api.Request, id string, silentAfter time.Duration) attemptResult {
	var writes writeTracker
	silenceTimer := time.AfterFunc(silentAfter, func() {
		if writes.onlyReused() {
			c.closeIdle(time.Now())
		}
	})
	defer silenceTimer.Stop()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, writes.trace()), http.MethodPost, vm.Address+"/run", bytes.NewReader(r.Body))
	if err != nil {
		return attemptResult{answer: refuse(r, err)}
	}
	// Without GetBody, net/http does not resend the request on its own.
	req.GetBody = nil
	req.Header.Set(api.HeaderRequestID, id)
	req.Header.Set(api.HeaderClass, r.Class)
	client := c.client(vm.Address)
	resp, err := client.Do(req)
	if err != nil {
		return c.abandonAttempt(client, r, vm, &writes, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.abandonAttempt(client, r, vm, &writes, err)
	}
	return checkAnswer(r, vm, id, resp, body)
}

// abandonAttempt ends an attempt that got no complete answer. The other idle
// connections to the upstream may be broken or silent too, so they are closed.
func (c *upstreamClient) abandonAttempt(client *http.Client, r *api.Request, vm backend.VM, writes *writeTracker, err error) attemptResult {
	verdict := api.NotRun
	begun := writes.sealAll()
	if begun {
		verdict = api.MayHaveRun
	}
	client.CloseIdleConnections()
	silent := begun && writes.onlyReused() && errors.Is(err, context.DeadlineExceeded)
	if silent {
		c.closeIdle(time.Now())
	}
	return attemptResult{answer: failedAnswer(r, vm, verdict, api.CodeUnavailable, err.Error()), abandoned: begun, silent: silent,
		canceled: errors.Is(err, context.Canceled)}
}

// checkAnswer accepts a reply only if it is the complete reply to this attempt.
func checkAnswer(r *api.Request, vm backend.VM, id string, resp *http.Response, body []byte) attemptResult {
	result := attemptResult{draining: resp.Header.Get(api.HeaderDraining) != ""}
	sum := sha256.Sum256(body)
	switch {
	case resp.Header.Get(api.HeaderRequestID) != id:
		result.answer = failedAnswer(r, vm, api.MayHaveRun, api.CodeUnavailable, "the answer is not the answer to this request")
	case resp.Header.Get(api.HeaderUpstreamRefused) == api.NotRun.String():
		result.refused = true
		result.answer = failedAnswer(r, vm, api.NotRun, api.CodeUnavailable, "the upstream refused the request")
	case resp.Header.Get(api.HeaderAnswerDigest) != hex.EncodeToString(sum[:]):
		result.answer = failedAnswer(r, vm, api.MayHaveRun, api.CodeUnavailable, "the answer does not match its digest")
	case resp.StatusCode != http.StatusOK:
		result.answer = failedAnswer(r, vm, api.Ran, api.CodeFailed, "the upstream answered with status "+resp.Status)
	default:
		result.answer = api.Answer{RequestID: r.ID, Verdict: api.Ran, Body: string(body), Upstream: vm.ID}
	}
	return result
}

func failedAnswer(r *api.Request, vm backend.VM, verdict api.Verdict, code api.Code, message string) api.Answer {
	return api.Answer{
		RequestID: r.ID, Verdict: verdict, Upstream: vm.ID,
		Error: &api.Error{Code: code, Message: message, Verdict: verdict},
	}
}
