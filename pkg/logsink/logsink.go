// Package logsink writes log lines without ever blocking their writers: lines
// beyond a bound are dropped, counted, and reported.
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
	// maxBuffered bounds the lines that wait, in bytes: a second of the busiest node.
	maxBuffered = 1 << 20
	// maxWrite is how many bytes a pipe takes at once: PIPE_BUF on Linux.
	maxWrite = 4096
	// flushInterval batches lines into one write.
	flushInterval = 100 * time.Millisecond
)

var droppedLines = metrics.GetOrCreateCounter("shallotpin_log_lines_dropped_total")

// Sink is a writer for log lines.
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

// Write implements io.Writer; p is one line. It never blocks on the output.
func (s *Sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.buffer.Len()+len(p) > maxBuffered {
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

// Close writes what is left.
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

// writeLines writes whole lines in pieces that a pipe takes at once, so that
// readers of several processes see no line cut.
func (s *Sink) writeLines(data []byte) {
	for len(data) > 0 {
		end := len(data)
		if end > maxWrite {
			end = maxWrite
			if last := bytes.LastIndexByte(data[:end], '\n'); last >= 0 {
				end = last + 1
			}
		}
		// There is nowhere left to report a failed write to.
		_, _ = s.out.Write(data[:end])
		data = data[end:]
	}
}
