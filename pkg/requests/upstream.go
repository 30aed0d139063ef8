package requests

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// maxAnswerBytes bounds the body of an upstream's answer.
const maxAnswerBytes = 8 << 20

// upstreamClient sends requests to upstreams and checks their answers.
type upstreamClient struct {
	http *http.Client
}

func newUpstreamClient(network transport.Network) *upstreamClient {
	return &upstreamClient{http: transport.HTTPClient(network, 0)}
}

func (c *upstreamClient) close() { c.http.CloseIdleConnections() }

// do sends one request once. Until a connection has been obtained, nothing can
// have reached the upstream.
func (c *upstreamClient) do(ctx context.Context, vm platform.VM, r *api.Request) api.Answer {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, vm.Address+"/run", bytes.NewReader(r.Body))
	if err != nil {
		return refuse(r, err)
	}
	// Without GetBody, net/http never sends the request a second time by itself.
	req.GetBody = nil
	req.Header.Set(api.HeaderRequestID, r.ID)
	req.Header.Set(api.HeaderClass, r.Class)
	resp, err := c.http.Do(req)
	if err != nil {
		verdict := api.NotRun
		if connected.Load() {
			verdict = api.MayHaveRun
		}
		return failed(r, vm, verdict, api.CodeUnavailable, err.Error())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failed(r, vm, api.MayHaveRun, api.CodeUnavailable, err.Error())
	}
	return checkAnswer(r, vm, resp, body)
}

// checkAnswer accepts a body only if it is the whole answer to this request.
func checkAnswer(r *api.Request, vm platform.VM, resp *http.Response, body []byte) api.Answer {
	if resp.Header.Get(api.HeaderUpstreamRefused) == api.NotRun.String() {
		return failed(r, vm, api.NotRun, api.CodeUnavailable, "the upstream refused the request")
	}
	sum := sha256.Sum256(body)
	if resp.Header.Get(api.HeaderRequestID) != r.ID || resp.Header.Get(api.HeaderAnswerDigest) != hex.EncodeToString(sum[:]) {
		return failed(r, vm, api.MayHaveRun, api.CodeUnavailable, "the answer is not the whole answer to this request")
	}
	if resp.StatusCode != http.StatusOK {
		return failed(r, vm, api.Ran, api.CodeFailed, "the upstream answered with status "+resp.Status)
	}
	return api.Answer{RequestID: r.ID, Verdict: api.Ran, Body: string(body), Upstream: vm.ID}
}

func failed(r *api.Request, vm platform.VM, verdict api.Verdict, code api.Code, message string) api.Answer {
	return api.Answer{
		RequestID: r.ID, Verdict: verdict, Upstream: vm.ID,
		Error: &api.Error{Code: code, Message: message, Verdict: verdict},
	}
}
