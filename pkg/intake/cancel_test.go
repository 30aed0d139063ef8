package intake

import (
	"strings"
	"testing"
)

// Guards against cancellations whose keys the log refuses: they would be written, and fail the records of
// others in the same call.
func TestCancellationOfAnInvalidIDIsNotWritten(t *testing.T) {
	s, forwarder := newTestService(1 << 20)
	for _, id := range []string{"", "0123456789abcde", "0123456789abcdeg", "0123456789abcdef0", strings.Repeat("0", 300)} {
		known, err := s.Cancel(t.Context(), id, "account")
		if known || err != nil {
			t.Errorf("cancellation of %q: known %v, error %v; want that no such job exists", id, known, err)
		}
	}
	if len(forwarder.asked) > 0 {
		t.Errorf("%d cancellations were written", len(forwarder.asked))
	}
}
