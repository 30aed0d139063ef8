package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// TooLargeError means that a body exceeds the limit.
type TooLargeError struct{ Limit int64 }

// Error implements the error interface.
func (e *TooLargeError) Error() string { return "http: request body too large" }

// Body is a body that has been read, and the memory that its request holds.
type Body struct {
	Bytes []byte

	gate   *Gate
	holder *holder
	// alone means that the request came without a connection of the gate.
	alone bool
	// header is what the request's header holds beyond connBytes.
	header int64
}

const (
	// firstBuffer is the size of a body's first buffer, in bytes, which ordinary bodies fit in.
	firstBuffer = 4 << 10
	// bufferGrowth is by how much a full buffer grows. The buffers of a body together have no more
	// than twice its size, or firstBuffer.
	bufferGrowth = 2
	// soleDecodeBytes is the size in bytes from which bodies are decoded one by one. Smaller ones
	// are decoded before another goroutine runs.
	soleDecodeBytes = 8 << 10
)

// ReadBody reads a request's body of at most limit bytes for a client account, as long as the
// account's share permits. The caller must close the Body. The error is a *TooLargeError, an
// *api.Error with the verdict not-run, or one of the connection. A nil Gate only limits the size.
func (g *Gate) ReadBody(r *http.Request, account string, limit int64) (*Body, error) {
	b := &Body{gate: g}
	if g != nil {
		g.begin(b, r, account)
	}
	err := b.read(r.Body, r.ContentLength, limit)
	if g == nil {
		return b, err
	}
	if err != nil {
		err = g.bodyError(b.holder, err)
		b.Close()
		return nil, err
	}
	if c := connOf(r); c != nil {
		c.bodyRead = true
	}
	if err := g.enterServing(b.holder); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// enterServing puts a holder whose body has arrived into phaseServing, unless it was told to leave.
func (g *Gate) enterServing(h *holder) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.phase, h.since = phaseServing, g.now()
	if h.leaving {
		return g.refuse(h.cause, h)
	}
	return nil
}

// begin gives a body its holder: that of its connection.
func (g *Gate) begin(b *Body, r *http.Request, account string) {
	c := connOf(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if c != nil {
		b.holder, b.header = &c.holder, headerFactor*int64(c.charged)
	} else {
		b.alone, b.holder = true, &holder{}
		g.budget.numbers++
		b.holder.number = g.budget.numbers
		g.budget.holders[b.holder] = struct{}{}
	}
	h := b.holder
	g.budget.setAccount(h, account)
	h.phase, h.since, h.deadline = phaseBody, now, now+g.options.BodyTimeout
	h.progress.Store(int64(now))
	if deadline, ok := r.Context().Deadline(); ok {
		h.deadline = min(h.deadline, deadline.Sub(g.started))
	}
}

// bodyError returns the error for the caller of a body that could not be read.
func (g *Gate) bodyError(h *holder, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h.phase = phaseServing
	var apiErr *api.Error
	if h.leaving && !errors.As(err, &apiErr) {
		return g.refuse(h.cause, h)
	}
	return err
}

// read reads a body into a buffer that grows with what arrives.
func (b *Body) read(body io.Reader, stated, limit int64) error {
	if stated > limit {
		return &TooLargeError{limit}
	}
	most := limit
	if stated >= 0 {
		most = stated
	}
	for size := min(firstBuffer, most); ; size = min(bufferGrowth*size, most) {
		if err := b.grow(size); err != nil {
			return err
		}
		for len(b.Bytes) < cap(b.Bytes) {
			n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
			b.Bytes = b.Bytes[:len(b.Bytes)+n]
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
		if size == most {
			return expectEnd(body, limit)
		}
	}
}

// expectEnd returns a *TooLargeError unless a body has ended.
func expectEnd(body io.Reader, limit int64) error {
	for {
		n, err := body.Read(make([]byte, 1))
		switch {
		case n > 0:
			return &TooLargeError{limit}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow replaces the buffer by one of the given size, once it has been granted. The old one counts
// until the body is dropped: it is held until the garbage collector runs.
func (b *Body) grow(size int64) error {
	if b.gate != nil {
		if err := b.gate.grow(b.holder, size); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// Decode calls decode with the body and then drops it. Large bodies are decoded one by one, since
// a decoder may hold a multiple of what it reads. decode returns how many bytes the decoded form
// holds, which count until Close.
func (b *Body) Decode(ctx context.Context, decode func([]byte) (int64, error)) error {
	if b.gate != nil && len(b.Bytes) >= soleDecodeBytes {
		select {
		case b.gate.decoder <- struct{}{}:
			defer func() { <-b.gate.decoder }()
		case <-ctx.Done():
			return &api.Error{Code: api.CodeUnavailable, Message: "the request's time ended before it was decoded", Verdict: api.NotRun, RetryAfter: minRetryAfter}
		}
	}
	held, err := decode(b.Bytes)
	b.Bytes = nil
	if b.gate == nil {
		return err
	}
	b.gate.release(b.holder, b.base())
	if err != nil {
		return err
	}
	return b.gate.grow(b.holder, held)
}

// base is what the holder holds beside the body: its connection, and the header, which lives until
// the request ends.
func (b *Body) base() int64 {
	if b.alone {
		return 0
	}
	return connBytes + b.header
}

// Close frees what the request holds. It may be called repeatedly.
func (b *Body) Close() {
	b.Bytes = nil
	if b.gate == nil {
		return
	}
	if b.alone {
		b.gate.remove(b.holder)
	} else {
		b.gate.release(b.holder, b.base())
	}
}
