package replies

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReplyOfTheLimitIsRead(t *testing.T) {
	b := NewBudget("test", 0, 1)
	for size, want := range map[int]error{99: nil, 100: nil, 101: ErrTooLarge} {
		r := b.Reader(bytes.NewReader(make([]byte, size)), 100, "call", "peer")
		data, err := io.ReadAll(r)
		if !errors.Is(err, want) || want == nil && len(data) != size {
			t.Errorf("reply of %d bytes: read %d, %v; want %v", size, len(data), err, want)
		}
		r.Close()
	}
}

// Large replies that do not end hold the budget. Ordinary replies are still read, and large ones
// again once the others have been closed.
func TestLargeRepliesShareTheBudget(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget("test", 0, MinBudget/limit/2)
	var open []*Reader
	busy := 0
	for range 10 {
		r := b.Reader(bytes.NewReader(make([]byte, limit)), limit, "call", "peer")
		if _, err := io.ReadAll(r); errors.Is(err, ErrBusy) {
			busy++
		}
		open = append(open, r)
	}
	if busy != 8 || b.held > b.max {
		t.Errorf("%d of 10 replies refused, %d bytes held; want 8, and at most %d", busy, b.held, b.max)
	}
	r := b.Reader(bytes.NewReader(make([]byte, ownAllowance)), limit, "call", "peer")
	if _, err := io.ReadAll(r); err != nil {
		t.Errorf("ordinary reply: %v", err)
	}
	for _, r := range append(open, r) {
		r.Close()
	}
	if b.held != 0 {
		t.Errorf("%d bytes held after all replies", b.held)
	}
}
