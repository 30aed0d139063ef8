package platform

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

// maxReplyBytes bounds what is read of one reply of the platform.
const maxReplyBytes = 64 << 20

// HTTPLog is a Log over the log service's HTTP protocol.
type HTTPLog struct {
	// Base is the URL of the service, such as http://127.0.0.1:7300.
	Base   string
	Client *http.Client
}

// AppendReply is the body of a successful append.
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

// HTTPWorkers returns HTTP clients of workers; the address of a worker is its base URL.
type HTTPWorkers struct {
	Client *http.Client
}

// Worker implements Workers.
func (w *HTTPWorkers) Worker(address string) Worker {
	return &httpWorker{base: address, client: w.Client}
}

type httpWorker struct {
	base   string
	client *http.Client
}

// RenewCall is the body of a renewal.
type RenewCall struct {
	Tasks []TaskID      `json:"tasks"`
	TTL   time.Duration `json:"ttl_ns"`
}

// StopCall is the body of a stop.
type StopCall struct {
	Task       TaskID `json:"task"`
	Checkpoint bool   `json:"checkpoint"`
}

// ThrottleCall is the body of a throttle.
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

func (w *httpWorker) Renew(ctx context.Context, ids []TaskID, ttl time.Duration) ([]TaskStatus, error) {
	var out []TaskStatus
	err := w.post(ctx, "/renew", RenewCall{ids, ttl}, &out)
	return out, err
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

// call sends one HTTP request and decodes the JSON reply into out. A reply
// that is not 2xx becomes the *api.Error in its body.
func call(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		e := &api.Error{}
		if json.Unmarshal(data, e) != nil || e.Code == "" {
			e = &api.Error{Code: api.CodeUnavailable, Message: "status " + resp.Status, Verdict: api.MayHaveRun}
		}
		return e
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
