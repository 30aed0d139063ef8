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

// UpstreamFaults are the faults of an upstream. The zero value has none.
type UpstreamFaults struct {
	// FailFast makes every request fail at once, after it counted as run.
	FailFast bool `json:"fail_fast,omitempty"`
	// Refuse makes every request be refused before it runs.
	Refuse bool `json:"refuse,omitempty"`
	// CrossAnswers makes each answer carry the identity of another request.
	CrossAnswers bool `json:"cross_answers,omitempty"`
	// Truncate cuts each answer short.
	Truncate bool `json:"truncate,omitempty"`
	// CutAfterRun closes the connection after the request ran, with no answer.
	CutAfterRun bool `json:"cut_after_run,omitempty"`
	// ServiceTime replaces the time that a request takes, if positive.
	ServiceTime time.Duration `json:"service_time_ns,omitempty"`
}

// Execution is one request that an upstream ran, for the checks of a test.
type Execution struct {
	At        time.Time
	Upstream  string
	RequestID string
	Body      string
}

// Upstream answers short requests: its answer to "x" is "answer to x".
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

// SetFaults puts faults in force.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// SetDraining makes the upstream ask for no new work.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// Executions returns the requests that ran here.
func (u *Upstream) Executions() []Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Execution(nil), u.executions...)
}

// MaxRunning returns the most requests that ever ran at once.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// begin records an execution and returns the faults that apply to it.
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

func (u *Upstream) work(r *http.Request, faults UpstreamFaults) {
	d := u.serviceTime
	if faults.ServiceTime > 0 {
		d = faults.ServiceTime
	}
	_ = pause(r.Context(), d)
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

// Server serves a handler on a listener until it is closed.
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

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }
