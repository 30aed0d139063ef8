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
	// MemoryKB is the peak in KiB of what the process holds: of its resident memory since its
	// start, or of that and what the kernel has received for it in any sample.
	MemoryKB int
	// ReceivedKB is the greatest number of KiB, in any sample, that the kernel had received for
	// the process's TCP connections, also those that it has not accepted yet, and that the
	// process had not read.
	ReceivedKB int
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

// settleTime is how long the received bytes must not rise before they count as settled.
const settleTime = time.Second

// AwaitReceived waits until the kernel has received bytes for the process and receives no more. It
// returns false after the timeout.
func (m *Monitor) AwaitReceived(timeout time.Duration) bool {
	last, since := 0, time.Now()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(settleTime / 10) {
		usage, _ := m.Usage()
		if usage.ReceivedKB != last {
			last, since = usage.ReceivedKB, time.Now()
		} else if last > 0 && time.Since(since) > settleTime {
			return true
		}
	}
	return false
}

func (m *Monitor) sample() error {
	peak, present, err := memoryKB(m.pid)
	if err != nil {
		return err
	}
	sockets, conns := openSockets(m.pid)
	received := receivedBytes(sockets) >> 10
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.MemoryKB, m.usage.ReceivedKB, m.usage.Conns = max(m.usage.MemoryKB, peak, present+received), max(m.usage.ReceivedKB, received), max(m.usage.Conns, conns)
	return nil
}

// memoryKB returns the peak of a process's resident memory, or its resident memory where the
// system has no such figure, and its resident memory, in KiB.
func memoryKB(pid int) (peak, present int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	field := func(name string) int {
		_, rest, found := strings.Cut(string(status), name)
		if !found {
			return 0
		}
		n, _ := strconv.Atoi(strings.Fields(rest)[0])
		return n
	}
	if present = field("VmRSS:"); present == 0 {
		// A process that has ended and was not waited for has no memory.
		return 0, 0, fmt.Errorf("process %d has no memory: it has ended", pid)
	}
	return max(field("VmHWM:"), present), present, nil
}

// openSockets returns the inodes of a process's open sockets, and the number of its open sockets
// and pipes.
func openSockets(pid int) (inodes map[string]bool, conns int) {
	inodes = map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return inodes, 0
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			inodes[strings.TrimSuffix(inode, "]")] = true
			conns++
		} else if strings.HasPrefix(target, "pipe:") {
			conns++
		}
	}
	return inodes, conns
}

// Columns of /proc/net/tcp, and the state of a listener there.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
	// noInode is the inode of a connection that its process has not accepted.
	noInode = "0"
)

// receivedBytes returns how many bytes the kernel has received for TCP sockets with the given
// inodes, and for connections to the listeners among them, that nobody has read.
func receivedBytes(inodes map[string]bool) int {
	var rows [][]string
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(table), "\n") {
			if columns := strings.Fields(line); len(columns) > columnInode {
				rows = append(rows, columns)
			}
		}
	}
	listeners := map[string]bool{}
	for _, r := range rows {
		if r[columnState] == stateListen && inodes[r[columnInode]] {
			listeners[r[columnLocal]] = true
		}
	}
	total := 0
	for _, r := range rows {
		// The receive queue of a listener is a number of connections.
		if r[columnState] == stateListen || !inodes[r[columnInode]] && !(r[columnInode] == noInode && listeners[r[columnLocal]]) {
			continue
		}
		_, received, _ := strings.Cut(r[columnQueues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			total += int(n)
		}
	}
	return total
}
