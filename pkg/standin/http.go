package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// decode decodes the JSON body of a request into out.
func decode(r *http.Request, out any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxEntryBytes))
	if err != nil {
		return api.FieldErrorf("body", "%v", err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return api.FieldErrorf("body", "%v", err)
	}
	return nil
}

// reply writes body as JSON, or err if it is not nil.
func reply(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		e := api.AsError(err, api.MayHaveRun)
		status := http.StatusServiceUnavailable
		if e.Code == api.CodeInvalid {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		body = e
	}
	json.NewEncoder(w).Encode(body)
}
