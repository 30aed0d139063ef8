package feed

import (
	"context"
	"errors"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

var (
	errUnanswered = errors.New("the log did not answer in time")
	errStalled    = errors.New("the page stopped arriving")
)

// transfer is a call for a page, which may be large and the link slow: its context ends if
// the reply does not begin in time or no more of it arrives, however long the page takes.
type transfer struct {
	timer        *time.Timer
	end          context.CancelCauseFunc
	stallTimeout time.Duration
	// began is called when the reply begins; it may be nil.
	began func()
	// received is how much of the page has arrived, in bytes.
	received int
}

// newTransfer returns a transfer and its context. The reply must begin within
// answerTimeout. The caller must call close.
func newTransfer(ctx context.Context, answerTimeout, stallTimeout time.Duration, began func()) (context.Context, *transfer) {
	ctx, end := context.WithCancelCause(ctx)
	return ctx, &transfer{timer: time.AfterFunc(answerTimeout, func() { end(errUnanswered) }), end: end, stallTimeout: stallTimeout, began: began}
}

// progress is the backend.Progress of the call.
func (t *transfer) progress(bytes int) {
	if !t.timer.Stop() {
		return
	}
	if t.began != nil {
		t.began()
		t.began = nil
	}
	t.received += bytes
	t.timer = time.AfterFunc(t.stallTimeout, func() { t.end(errStalled) })
}

// explain returns the reason for which the transfer ended the call, or err if it did not.
func (t *transfer) explain(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errUnanswered) || errors.Is(cause, errStalled) {
		return &backend.LogError{Kind: backend.LogUnavailable, Verdict: api.MayHaveRun, Cause: cause}
	}
	return err
}

func (t *transfer) close() {
	t.timer.Stop()
	t.end(nil)
}
