// Package logsink buffers log lines so that logging never blocks on a slow output. Lines
// that exceed the buffer are dropped, counted, and reported in the log.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxBufferedBytes limits the buffer; it holds one second of the busiest node's lines.
	maxBufferedBytes = 1 << 20
	// maxWriteBytes is the largest atomic write to a pipe: PIPE_BUF on Linux.
	maxWriteBytes = 4096
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

var droppedLines = metrics.GetOrCreateCounter("shallotpin_log_lines_dropped_total")

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer; p is one line, including the newline. It never blocks on the
// output and never returns an error, even if the line is dropped.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.buffer.Len()+len(p) > maxBufferedBytes {
		s.dropped++
		droppedLines.Inc()
	} else {
		s.buffer.Write(p)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close writes the buffered lines and stops the Sink. It blocks until the output has
// accepted them. Lines that are written to the Sink afterwards are lost.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var batch bytes.Buffer
	for range s.wake {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		s.mu.Lock()
		batch.Reset()
		s.buffer, batch = batch, s.buffer
		dropped := s.dropped
		s.dropped = 0
		closed = s.closed
		s.mu.Unlock()
		if dropped > 0 {
			fmt.Fprintf(&batch, "logsink: dropped %d lines\n", dropped)
		}
		s.writeLines(batch.Bytes())
		if closed {
			return
		}
	}
}

// writeLines writes whole lines in pieces that a pipe accepts atomically, so that lines of
// several processes that share a pipe do not mix.
func (s *Sink) writeLines(data []byte) {
	for len(data) > 0 {
		end := len(data)
		if end > maxWriteBytes {
			end = maxWriteBytes
			if last := bytes.LastIndexByte(data[:end], '\n'); last >= 0 {
				end = last + 1
			}
		}
		// A failed write of the log cannot be reported anywhere.
		_, _ = s.out.Write(data[:end])
		data = data[end:]
	}
}
