package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// UpstreamFaults are the faults injected into an upstream. The zero value has none.
type UpstreamFaults struct {
	// FailFast makes every request count as run and fail without taking time.
	FailFast bool `json:"fail_fast,omitempty"`
	// Refuse rejects every request before it runs.
	Refuse bool `json:"refuse,omitempty"`
	// CrossAnswers makes each answer carry the ID of another request.
	CrossAnswers bool `json:"cross_answers,omitempty"`
	// Truncate cuts each answer to half its length.
	Truncate bool `json:"truncate,omitempty"`
	// CutAfterRun closes the connection after the request ran, without an answer.
	CutAfterRun bool `json:"cut_after_run,omitempty"`
	// ServiceTime, if positive, replaces the time that a request takes.
	ServiceTime time.Duration `json:"service_time_ns,omitempty"`
}

// Execution records one request that an upstream ran.
type Execution struct {
	At        time.Time
	Upstream  string
	RequestID string
	Body      string
}

// Upstream is a fake upstream. It answers the request "x" with "answer to x".
type Upstream struct {
	vm          backend.VM
	serviceTime time.Duration

	mu         sync.Mutex
	faults     UpstreamFaults
	draining   bool
	running    int
	maxRunning int
	executions []Execution
}

// NewUpstream returns an upstream whose requests take serviceTime.
func NewUpstream(vm backend.VM, serviceTime time.Duration) *Upstream {
	return &Upstream{vm: vm, serviceTime: serviceTime}
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// SetDraining sets whether answers announce that the upstream is draining.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// Executions returns the requests that the upstream ran, in order.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// MaxRunning returns the highest number of requests that ran concurrently.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// begin records an execution, unless requests are refused, and returns the faults
// that apply to the request.
func (u *Upstream) begin(id, body string) UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Refuse {
		return u.faults
	}
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	u.executions = append(u.executions, Execution{time.Now(), u.vm.ID, id, body})
	return u.faults
}

func (u *Upstream) finish() (draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	return u.draining
}

// Handler serves POST /run and POST /faults.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.run)
	handle(mux, "POST /faults", func(_ context.Context, f UpstreamFaults) (struct{}, error) {
		u.SetFaults(f)
		return struct{}{}, nil
	})
	return mux
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		return
	}
	id := r.Header.Get(api.HeaderRequestID)
	faults := u.begin(id, string(body))
	if faults.Refuse {
		w.Header().Set(api.HeaderRequestID, id)
		w.Header().Set(api.HeaderUpstreamRefused, api.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !faults.FailFast {
		u.work(r, faults)
	}
	if u.finish() {
		w.Header().Set(api.HeaderDraining, "true")
	}
	u.answer(w, id, "answer to "+string(body), faults)
}

// work waits for the service time, or until the request is cancelled.
func (u *Upstream) work(r *http.Request, faults UpstreamFaults) {
	d := u.serviceTime
	if faults.ServiceTime > 0 {
		d = faults.ServiceTime
	}
	_ = sleepContext(r.Context(), d)
}

func (u *Upstream) answer(w http.ResponseWriter, id, text string, faults UpstreamFaults) {
	sum := sha256.Sum256([]byte(text))
	switch {
	case faults.CutAfterRun:
		panic(http.ErrAbortHandler)
	case faults.CrossAnswers:
		id += "-other"
	case faults.Truncate:
		text = text[:len(text)/2]
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set(api.HeaderAnswerDigest, hex.EncodeToString(sum[:]))
	if faults.FailFast {
		w.WriteHeader(http.StatusInternalServerError)
	}
	io.WriteString(w, text)
}

// Server serves HTTP/1.1 and unencrypted HTTP/2 on a listener until it is closed.
type Server struct {
	http *http.Server
}

// Serve serves h on l in the background.
func Serve(l net.Listener, h http.Handler) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{&http.Server{Handler: h, Protocols: &protocols}}
	go s.http.Serve(l)
	return s
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
