package frontdoor

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// ErrorBody is the JSON body of every error response, except that of a short
// request, which is an api.Answer.
type ErrorBody struct {
	Verdict api.Verdict `json:"verdict"`
	Error   *api.Error  `json:"error"`
}

var statusOf = map[api.Code]int{
	api.CodeInvalid:     http.StatusBadRequest,
	api.CodeNotFound:    http.StatusNotFound,
	api.CodeConflict:    http.StatusConflict,
	api.CodeUnavailable: http.StatusServiceUnavailable,
	api.CodeOverloaded:  http.StatusTooManyRequests,
	api.CodeTimeout:     http.StatusGatewayTimeout,
	api.CodeFailed:      http.StatusBadGateway,
}

func writeHeader(w http.ResponseWriter, status int, verdict api.Verdict) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderVerdict, verdict.String())
	w.WriteHeader(status)
}

// writeJSON answers with body. If the answer is large and callers hold as much as they may, a
// request that changes nothing is refused instead.
func writeJSON(w http.ResponseWriter, status int, verdict api.Verdict, body any) {
	data, err := json.Marshal(body)
	if err == nil && len(data) > smallAnswerBytes {
		size := len(data)
		// While this waits for room, the answer is not held.
		data = nil
		if err := hold(w, size); err != nil {
			writeError(w, err)
			return
		}
		data, err = json.Marshal(body)
	}
	if err != nil {
		klog.Errorf("frontdoor: cannot encode an answer: %v", err)
	}
	writeHeader(w, status, verdict)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, err error) {
	e := api.AsError(err, api.MayHaveRun)
	setRetryAfter(w, e)
	writeJSON(w, errorStatus(e), e.Verdict, ErrorBody{e.Verdict, e})
}

func errorStatus(e *api.Error) int {
	if status, ok := statusOf[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// setRetryAfter sets the Retry-After header, in whole seconds and at least 1, on
// errors for which a retry may help.
func setRetryAfter(w http.ResponseWriter, e *api.Error) {
	if e.Code != api.CodeUnavailable && e.Code != api.CodeOverloaded {
		return
	}
	seconds := max(1, int(math.Ceil(e.RetryAfter.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
}
