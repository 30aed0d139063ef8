package frontdoor

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"
	"unicode/utf8"
	"unsafe"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/requests"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// maxWait is the maximum of the query parameter wait of GET /v1/jobs/{id}.
	maxWait = 60 * time.Second
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
	// maxCallBytes is the maximum size of the body of a preset or zone change.
	maxCallBytes = 4 << 10
)

func (s *Service) decodeCall(r *http.Request, out any) error {
	body, err := s.decodeBody(r, maxCallBytes, func(data []byte) error { return api.DecodeStrict(data, maxCallBytes, out) })
	if err == nil {
		body.Close()
	}
	return err
}

// baseParam returns the query parameter base, the version that a change is based
// on, or nil if it is not set.
func baseParam(r *http.Request) (*uint64, error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return nil, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, api.FieldErrorf("base", "%q is not a version number", text)
	}
	return &base, nil
}

func keyHeader(r *http.Request) (string, error) {
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes || !utf8.ValidString(key) {
		return "", api.FieldErrorf(api.HeaderIdempotencyKey, "must be valid UTF-8 of at most %d bytes", maxKeyBytes)
	}
	return key, nil
}

func (s *Service) postJob(w http.ResponseWriter, r *http.Request) {
	key, err := keyHeader(r)
	if err != nil {
		writeError(w, err)
		return
	}
	var spec api.JobSpec
	body, err := s.decodeBody(r, api.MaxJobBytes, func(data []byte) (err error) {
		spec, err = api.DecodeJobSpec(data)
		return err
	})
	if err != nil {
		writeError(w, unlessRepeated(err, key))
		return
	}
	defer body.Close()
	out, err := s.propose(r.Context(), state.Record{Submit: &state.SubmitJob{ID: s.newID(), Key: key, Spec: spec}})
	if err != nil {
		writeError(w, err)
		return
	}
	status, ok := s.job(out.JobID)
	if !ok {
		status = api.JobStatus{ID: out.JobID, Spec: spec, Phase: api.PhasePending}
	}
	writeJSON(w, http.StatusAccepted, status.Verdict, status)
}

// unlessRepeated returns the error for a job that was refused before its body was read. With a key,
// an earlier submission may have been accepted.
func unlessRepeated(err error, key string) error {
	e := api.AsError(err, api.NotRun)
	if key == "" || e.Code != api.CodeUnavailable {
		return e
	}
	repeated := *e
	repeated.Verdict = api.MayHaveRun
	return &repeated
}

func (s *Service) job(id string) (status api.JobStatus, ok bool) {
	s.journal.View(func(st *state.State) {
		if j := st.Jobs[id]; j != nil {
			status, ok = j.Status(), true
		}
	})
	return status, ok
}

// getJob replies with the status of a job. It first waits for the job to end, for
// at most the duration in the query parameter wait.
func (s *Service) getJob(w http.ResponseWriter, r *http.Request) {
	wait, err := waitParam(r)
	if err != nil {
		writeError(w, err)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.journal.Changed()
		status, ok := s.job(r.PathValue("id"))
		if !ok {
			if refusal := s.relay.CheckServe(time.Now()); refusal != nil {
				writeError(w, refusal)
				return
			}
			writeError(w, api.Errorf(api.CodeNotFound, "no job %q", r.PathValue("id")))
			return
		}
		if status.Phase.Ended() || !s.awaitChange(r, changed, timer) {
			writeJSON(w, http.StatusOK, status.Verdict, status)
			return
		}
	}
}

// awaitChange waits for a change of the state. It returns false if the timer
// fired, the caller disconnected or the server began to drain first.
func (s *Service) awaitChange(r *http.Request, changed <-chan struct{}, timer *time.Timer) bool {
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	case <-s.draining:
		return false
	}
}

func waitParam(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxWait {
		return 0, api.FieldErrorf("wait", "%q is not a duration between 0s and %s", text, maxWait)
	}
	return d, nil
}

// listJobs replies with all jobs, one by one: callers that do not read hold one encoded job each.
func (s *Service) listJobs(w http.ResponseWriter, _ *http.Request) {
	type ordered struct {
		order  int64
		status api.JobStatus
	}
	count, largest := 0, 0
	s.journal.View(func(st *state.State) {
		count = len(st.Jobs)
		for _, j := range st.Jobs {
			largest = max(largest, len(j.Spec.Payload))
		}
	})
	// The encoder's buffer has up to twice the size of a job.
	if err := hold(w, count*int(unsafe.Sizeof(ordered{}))+2*largest); err != nil {
		writeError(w, err)
		return
	}
	jobs := make([]ordered, 0, count)
	s.journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			jobs = append(jobs, ordered{j.Order, j.Status()})
		}
	})
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].order < jobs[k].order })
	writeHeader(w, http.StatusOK, api.Ran)
	enc := json.NewEncoder(w)
	// Escapes would make a job much larger than what was submitted.
	enc.SetEscapeHTML(false)
	separator := "["
	for i := range jobs {
		if _, err := io.WriteString(w, separator); err != nil || enc.Encode(&jobs[i].status) != nil {
			return
		}
		separator = ","
	}
	if len(jobs) == 0 {
		_, _ = io.WriteString(w, separator)
	}
	_, _ = io.WriteString(w, "]\n")
}

func (s *Service) deleteJob(w http.ResponseWriter, r *http.Request) {
	if _, err := s.propose(r.Context(), state.Record{Cancel: &state.CancelJob{Job: r.PathValue("id")}}); err != nil {
		writeError(w, err)
		return
	}
	status, _ := s.job(r.PathValue("id"))
	writeJSON(w, http.StatusOK, status.Verdict, status)
}

func (s *Service) postRequest(w http.ResponseWriter, r *http.Request) {
	req, err := requestHead(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if answer, refused := s.requests.Refuse(req); refused {
		writeAnswer(w, answer)
		return
	}
	body, err := s.readBody(r, req.Account, api.MaxRequestBytes)
	if err == nil && !utf8.Valid(body.Bytes) {
		body.Close()
		err = api.FieldErrorf("body", "is not valid UTF-8")
	}
	if err != nil {
		// With a key, an earlier attempt at the request may have run.
		writeAnswer(w, requests.RefuseUnread(req, err))
		return
	}
	defer body.Close()
	req.Body = body.Bytes
	writeAnswer(w, s.requests.Do(r.Context(), req))
}

func writeAnswer(w http.ResponseWriter, answer api.Answer) {
	status := http.StatusOK
	if answer.Error != nil {
		status = errorStatus(answer.Error)
		setRetryAfter(w, answer.Error)
	}
	writeJSON(w, status, answer.Verdict, answer)
}

// requestHead returns a short request without its body.
func requestHead(r *http.Request) (*api.Request, error) {
	key, err := keyHeader(r)
	if err != nil {
		return nil, err
	}
	req := &api.Request{
		Account: r.Header.Get(api.HeaderAccount), Service: r.PathValue("service"),
		Class: r.Header.Get(api.HeaderClass), Key: key,
	}
	if text := r.Header.Get(api.HeaderIdempotent); text != "" {
		if req.Idempotent, err = strconv.ParseBool(text); err != nil {
			return nil, api.FieldErrorf(api.HeaderIdempotent, "%q is not true or false", text)
		}
	}
	if text := r.Header.Get(api.HeaderDeadline); text != "" {
		if req.Timeout, err = time.ParseDuration(text); err != nil || req.Timeout <= 0 {
			return nil, api.FieldErrorf(api.HeaderDeadline, "%q is not a positive duration such as 2s", text)
		}
	}
	return req, nil
}
