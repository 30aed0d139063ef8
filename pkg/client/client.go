// Package client is the HTTP client for the API of a node, package frontdoor.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

const (
	// maxReplyBytes is the maximum size of a reply; the rest is not read.
	maxReplyBytes = 64 << 20
	// pollInterval is the time between polls of a node that is starting.
	pollInterval = 50 * time.Millisecond
	// jobWait is the long-poll time of one call that waits for a job to end.
	jobWait = 30 * time.Second
)

// Client calls one node. Its methods, except WaitReady and WaitWorkers, return errors of
// type *api.Error, which hold the verdict.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the node at base, such as http://127.0.0.1:7400.
func New(base string) *Client {
	return &Client{base: base, http: transport.HTTPClient(transport.TCP{}, 0)}
}

// NewWithHTTPClient is like New but uses c instead of a default HTTP client.
func NewWithHTTPClient(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// call sends one request and decodes the reply into out. A failure before a
// connection was obtained has the verdict not-run. After that, without a complete
// reply, the verdict is may-have-run.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return api.FieldErrorf("server", "%v", err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.http.Do(req)
	if err != nil {
		verdict := api.NotRun
		if connected.Load() {
			verdict = api.MayHaveRun
		}
		return &api.Error{Code: api.CodeUnavailable, Message: err.Error(), Verdict: verdict}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return truncatedReplyError(err)
	}
	if resp.StatusCode/100 != 2 {
		return replyError(resp, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return truncatedReplyError(err)
	}
	return nil
}

func truncatedReplyError(err error) error {
	return &api.Error{Code: api.CodeUnavailable, Message: "the reply is cut short: " + err.Error(), Verdict: api.MayHaveRun}
}

func replyError(resp *http.Response, data []byte) error {
	var body frontdoor.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		return body.Error
	}
	return &api.Error{Code: api.CodeUnavailable, Message: "status " + resp.Status, Verdict: api.MayHaveRun}
}

// WaitReady waits until /readyz reports that the node is ready, or ctx ends.
func (c *Client) WaitReady(ctx context.Context) error {
	return poll(ctx, func() bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/readyz", nil)
		if err != nil {
			return false
		}
		resp, err := c.http.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// WaitWorkers waits until the node's status shows at least one worker, or ctx ends.
func (c *Client) WaitWorkers(ctx context.Context) error {
	return poll(ctx, func() bool {
		st, err := c.Status(ctx)
		if err != nil {
			return false
		}
		for _, z := range st.Zones {
			if z.Workers > 0 {
				return true
			}
		}
		return false
	})
}

func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// PublishConfig publishes a configuration document. If base is not nil, it must be
// the current version, or the call fails with api.CodeConflict.
func (c *Client) PublishConfig(ctx context.Context, document []byte, base *uint64) (out frontdoor.ChangeBody, err error) {
	path := "/v1/config"
	if base != nil {
		path += "?base=" + strconv.FormatUint(*base, 10)
	}
	return out, c.call(ctx, http.MethodPut, path, nil, document, &out)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (out frontdoor.ConfigBody, err error) {
	return out, c.call(ctx, http.MethodGet, "/v1/config", nil, nil, &out)
}

// SwitchPreset puts a preset in force.
func (c *Client) SwitchPreset(ctx context.Context, call frontdoor.PresetCall) (out frontdoor.ChangeBody, err error) {
	return out, c.call(ctx, http.MethodPut, "/v1/preset", nil, encode(call), &out)
}

// SetZone takes an availability zone out of use or back into use.
func (c *Client) SetZone(ctx context.Context, zone string, call frontdoor.ZoneCall) (out frontdoor.ChangeBody, err error) {
	return out, c.call(ctx, http.MethodPut, "/v1/zones/"+url.PathEscape(zone), nil, encode(call), &out)
}

// Status returns the node's summary.
func (c *Client) Status(ctx context.Context) (out frontdoor.StatusBody, err error) {
	return out, c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &out)
}

// SubmitJob submits a job specification in JSON. A non-empty key is the idempotency
// key: a retry with the same key does not submit a second job.
func (c *Client) SubmitJob(ctx context.Context, spec []byte, key string) (out api.JobStatus, err error) {
	header := http.Header{}
	if key != "" {
		header.Set(api.HeaderIdempotencyKey, key)
	}
	return out, c.call(ctx, http.MethodPost, "/v1/jobs", header, spec, &out)
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (out api.JobStatus, err error) {
	return out, c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &out)
}

// WaitJob waits until a job has ended and returns its status.
func (c *Client) WaitJob(ctx context.Context, id string) (api.JobStatus, error) {
	for {
		var out api.JobStatus
		path := fmt.Sprintf("/v1/jobs/%s?wait=%s", url.PathEscape(id), jobWait)
		if err := c.call(ctx, http.MethodGet, path, nil, nil, &out); err != nil || out.Phase.Ended() {
			return out, err
		}
	}
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) (out []api.JobStatus, err error) {
	return out, c.call(ctx, http.MethodGet, "/v1/jobs", nil, nil, &out)
}

// CancelJob requests the cancellation of a job. It returns the job's status, which
// need not be final yet.
func (c *Client) CancelJob(ctx context.Context, id string) (out api.JobStatus, err error) {
	return out, c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &out)
}

// Request runs one short request.
func (c *Client) Request(ctx context.Context, r *api.Request) (out api.Answer, err error) {
	header := http.Header{}
	header.Set(api.HeaderAccount, r.Account)
	header.Set(api.HeaderClass, r.Class)
	header.Set(api.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if r.Key != "" {
		header.Set(api.HeaderIdempotencyKey, r.Key)
	}
	if r.Timeout > 0 {
		header.Set(api.HeaderDeadline, r.Timeout.String())
	}
	return out, c.call(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(r.Service)+"/requests", header, r.Body, &out)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// Cannot happen: the bodies have only plain fields.
		panic("client: encode request body: " + err.Error())
	}
	return data
}
