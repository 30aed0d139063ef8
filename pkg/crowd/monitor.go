package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// Monitor samples what a process holds, from /proc.
type Monitor struct {
	pid  int
	done chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	usage Usage
}

// Usage is the most that a process has held.
type Usage struct {
	// MemoryKB is the peak of the resident memory, in KiB, since the start of the process.
	MemoryKB int
	// Conns is the greatest number of open sockets and pipes in any sample.
	Conns int
}

// NewMonitor starts to sample a process. Stop must be called.
func NewMonitor(pid int) *Monitor {
	m := &Monitor{pid: pid, done: make(chan struct{})}
	m.wg.Go(func() {
		for {
			m.sample()
			select {
			case <-m.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return m
}

// Stop ends the sampling.
func (m *Monitor) Stop() {
	close(m.done)
	m.wg.Wait()
}

// Usage takes a sample and returns the peaks so far; an error means that the process does not
// live.
func (m *Monitor) Usage() (Usage, error) {
	err := m.sample()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage, err
}

func (m *Monitor) sample() error {
	memory, err := peakMemoryKB(m.pid)
	if err != nil {
		return err
	}
	conns := countConns(m.pid)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.MemoryKB, m.usage.Conns = max(m.usage.MemoryKB, memory), max(m.usage.Conns, conns)
	return nil
}

// peakMemoryKB returns the peak of a process's resident memory, or its resident memory where
// the system has no such figure.
func peakMemoryKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, field := range []string{"VmHWM:", "VmRSS:"} {
		if _, rest, found := strings.Cut(string(status), field); found {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	// A process that has ended and was not waited for has no memory.
	return 0, fmt.Errorf("process %d has no memory: it has ended", pid)
}

// countConns returns the number of a process's open sockets and pipes.
func countConns(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}
