package frontdoor

import (
	"errors"
	"net/http"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ingress"
)

// smallAnswerBytes is the size of an answer up to which it lies within what a connection counts
// for.
const smallAnswerBytes = 4 << 10

// answerWriter is the ResponseWriter of a request whose answer counts against what callers may
// hold.
type answerWriter struct {
	http.ResponseWriter
	gate    *ingress.Gate
	request *http.Request
}

// boundAnswers makes the answers of h count while callers have not read them.
func (s *Service) boundAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&answerWriter{w, s.Ingress, r}, r)
	})
}

// hold asks for an answer of the given size in bytes. A request that may have changed something
// is answered in any case.
func hold(w http.ResponseWriter, bytes int) error {
	a, ok := w.(*answerWriter)
	if !ok || bytes <= smallAnswerBytes || a.request.Method != http.MethodGet {
		return nil
	}
	return a.gate.Hold(a.request, int64(bytes))
}

// readBody reads a request body for a client account, which may be empty. It returns an error if
// the body exceeds limit bytes, or if callers hold as much as they may. The caller must close the
// Body.
func (s *Service) readBody(r *http.Request, account string, limit int) (*ingress.Body, error) {
	body, err := s.Ingress.ReadBody(r, account, int64(limit))
	var tooLarge *ingress.TooLargeError
	var refused *api.Error
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &refused):
		return nil, refused
	case errors.As(err, &tooLarge):
		return nil, api.FieldErrorf("body", "is over the limit of %d bytes", limit)
	}
	return nil, api.FieldErrorf("body", "cannot be read: %v", err)
}

// heldPerByte is how many bytes of a decoded document are counted for a byte of its text until it
// has been written to the log: the document, and its record.
const heldPerByte = 2

// decodeBody reads a request body as readBody does and decodes it.
func (s *Service) decodeBody(r *http.Request, limit int, decode func([]byte) error) (*ingress.Body, error) {
	body, err := s.readBody(r, "", limit)
	if err != nil {
		return nil, err
	}
	err = body.Decode(r.Context(), func(data []byte) (int64, error) {
		return int64(heldPerByte * len(data)), decode(data)
	})
	if err != nil {
		body.Close()
		return nil, err
	}
	return body, nil
}
