package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// output is a writer that can be stuck.
type output struct {
	mu     sync.Mutex
	stuck  chan struct{}
	data   bytes.Buffer
	writes int
}

func (o *output) Write(p []byte) (int, error) {
	if o.stuck != nil {
		<-o.stuck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	if len(p) > maxWrite {
		return 0, fmt.Errorf("a write of %d bytes", len(p))
	}
	if !bytes.HasSuffix(p, []byte("\n")) {
		return 0, fmt.Errorf("a line is cut")
	}
	return o.data.Write(p)
}

func TestLinesAreWholeAndInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		s := New(out)
		for i := range 1000 {
			fmt.Fprintf(s, "line %d\n", i)
		}
		s.Close()
		lines := strings.Split(strings.TrimSpace(out.data.String()), "\n")
		if len(lines) != 1000 || lines[0] != "line 0" || lines[999] != "line 999" {
			t.Errorf("%d lines, from %q to %q", len(lines), lines[0], lines[len(lines)-1])
		}
	})
}

// An output that takes nothing holds up no writer; what does not fit is counted.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{stuck: make(chan struct{})}
		s := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3 * maxBuffered / len(line) {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Fatalf("Write: %d, %v", n, err)
			}
		}
		close(out.stuck)
		s.Close()
		if !strings.Contains(out.data.String(), "logsink: dropped") {
			t.Error("the lines that were dropped are not reported")
		}
	})
}
