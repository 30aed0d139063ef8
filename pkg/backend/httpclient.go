package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// maxReplyBytes limits the size of a reply body; the rest is not read.
const maxReplyBytes = 64 << 20

// HTTPLog is a client of the log service's HTTP protocol; it implements Log.
type HTTPLog struct {
	// Base is the URL of the service, such as http://127.0.0.1:7300.
	Base   string
	Client *http.Client
}

// AppendReply is the response body of a successful append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (int64, error) {
	var reply AppendReply
	err := call(ctx, l.Client, http.MethodPost, l.Base+"/append", data, &reply)
	return reply.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	url := l.Base + "/read?from=" + strconv.FormatInt(from, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var page Page
	err := call(ctx, l.Client, http.MethodGet, url, nil, &page)
	return page, err
}

// HTTPWorkers implements Workers over HTTP; the address of a worker is its base URL.
type HTTPWorkers struct {
	Client *http.Client
	// HTTP2, if set, is the client for renewals by workers that offer HTTP/2.
	HTTP2 *http.Client

	renewals renewalCache
}

// Worker implements Workers.
func (w *HTTPWorkers) Worker(address string) Worker {
	return &httpWorker{base: address, client: w.Client, http2: w.HTTP2, renewals: &w.renewals}
}

type httpWorker struct {
	base     string
	client   *http.Client
	http2    *http.Client
	renewals *renewalCache
}

// RenewCall is the request body of a renewal.
type RenewCall struct {
	Tasks []TaskID      `json:"tasks"`
	TTL   time.Duration `json:"ttl_ns"`
}

// StopCall is the request body of a stop.
type StopCall struct {
	Task       TaskID `json:"task"`
	Checkpoint bool   `json:"checkpoint"`
}

// ThrottleCall is the request body of a throttle.
type ThrottleCall struct {
	Task    TaskID `json:"task"`
	Percent int    `json:"percent"`
}

func (w *httpWorker) Reserve(ctx context.Context, r Reservation) error {
	return w.post(ctx, "/reserve", r, nil)
}

func (w *httpWorker) Start(ctx context.Context, id TaskID) error {
	return w.post(ctx, "/start", id, nil)
}

func (w *httpWorker) Stop(ctx context.Context, id TaskID, checkpoint bool) (TaskStatus, error) {
	var out TaskStatus
	err := w.post(ctx, "/stop", StopCall{id, checkpoint}, &out)
	return out, err
}

func (w *httpWorker) Throttle(ctx context.Context, id TaskID, percent int) error {
	return w.post(ctx, "/throttle", ThrottleCall{id, percent}, nil)
}

func (w *httpWorker) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return call(ctx, w.client, http.MethodPost, w.base+path, body, out)
}

// call sends one HTTP request and decodes the JSON reply into out, unless out is
// nil. A status other than 2xx is returned as an *api.Error; see httpReply.decode.
func call(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	reply, err := send(ctx, client, method, url, body)
	if err != nil {
		return err
	}
	return reply.decode(out)
}

// httpReply is the reply to one HTTP request.
type httpReply struct {
	status int
	header http.Header
	data   []byte
}

// send sends one HTTP request and reads the reply, up to maxReplyBytes.
func send(ctx context.Context, client *http.Client, method, url string, body []byte) (*httpReply, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// An empty value omits the header, which would make up a third of a renewal request.
	req.Header.Set("User-Agent", "")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return &httpReply{resp.StatusCode, resp.Header, data}, err
}

// decode decodes the JSON body into out, unless out is nil. For a status other than
// 2xx it returns the *api.Error in the body, or CodeUnavailable with verdict
// may-have-run if the body holds none.
func (r *httpReply) decode(out any) error {
	if r.status/100 != 2 {
		e := &api.Error{}
		if json.Unmarshal(r.data, e) != nil || e.Code == "" {
			status := strconv.Itoa(r.status) + " " + http.StatusText(r.status)
			e = &api.Error{Code: api.CodeUnavailable, Message: "status " + status, Verdict: api.MayHaveRun}
		}
		return e
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(r.data, out)
}
