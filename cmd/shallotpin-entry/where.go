package main

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/entry"
	"github.com/shallotpin/shallotpin/platform"
)

// maxQuestionBytes limits a job of which is asked where it would go.
const maxQuestionBytes = 256 << 10

// answerWhere answers where a job's tasks would go now: GET with the parameter job, the ID of an
// accepted job, or POST with a body as callers submit it and the parameters queue and account.
func answerWhere(w http.ResponseWriter, r *http.Request, node *entry.Node) {
	q := dispatch.WhereQuestion{ID: r.URL.Query().Get("job")}
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if q.Job, err = platform.DecodeJob(body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		id := uuid.New()
		q.Job.ID, q.Job.Queue, q.Job.Account = hex.EncodeToString(id[:8]), r.URL.Query().Get("queue"), r.URL.Query().Get("account")
	} else if q.ID == "" {
		http.Error(w, "the parameter job is missing", http.StatusBadRequest)
		return
	}
	answer, err := node.Where(r.Context(), q)
	if err != nil {
		writeWhereError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		klog.V(1).InfoS("shallotpin-entry: answer not written", "err", err)
	}
}

func writeWhereError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	var e *api.Error
	if errors.As(err, &e) {
		switch e.Code {
		case api.CodeInvalid:
			status = http.StatusBadRequest
		case api.CodeOverloaded:
			status = http.StatusTooManyRequests
		}
		if e.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
		}
	}
	http.Error(w, err.Error(), status)
}
