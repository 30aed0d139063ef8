package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/client"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/crowd"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

// The crowd tests run a node as a process, with low limits in its settings, against clients
// that send much and finish little. Nothing that they check depends on the machine's speed.
const (
	// crowdMemoryMB and crowdMaxFDs are the limits in the node's environment.
	crowdMemoryMB = 64
	crowdMaxFDs   = 400
	// reservedFDs are the descriptors that are reserved for files.
	reservedFDs = 200
	// jobsBesideCrowd is the number of ordinary jobs that are submitted beside a crowd.
	jobsBesideCrowd = 5
	// crowdTimeout limits each wait; it is far longer than any wait takes.
	crowdTimeout = 90 * time.Second
	// attemptTimeout is how long the ordinary caller waits for the answer to one attempt.
	attemptTimeout = 5 * time.Second
)

const crowdConfig = `{
  "accounts": [{"name": "crowd", "weight": 1}, {"name": "calm", "weight": 1}],
  "zones": [{"name": "howrah", "region": "bengal"}],
  "services": [{"name": "desk", "classes": [{"name": "check", "timeout_ms": 2000, "max_queued": 100}]}],
  "presets": [{"name": "ordinary", "guarantees": []}],
  "initial_preset": "ordinary"
}`

// crowdHosts counts the loopback addresses that crowd tests have used.
var crowdHosts atomic.Int32

// serveOn serves a handler on a free port until the test ends and returns the address.
func serveOn(t *testing.T, host string, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.Serve(l, h)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// crowdNode is a node that runs as a process.
type crowdNode struct {
	address string
	process *os.Process
	monitor *crowd.Monitor
	jobs    int
}

func startCrowdNode(t *testing.T, program string) *crowdNode {
	t.Helper()
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>8&0x7f), byte(pid), byte(crowdHosts.Add(1))).String()
	// Both ports lie below the ephemeral range.
	n := &crowdNode{address: host + ":7400"}
	shape := standin.CurrentFleetShape("desk", []string{"howrah"})
	shape.Workers, shape.Upstreams = 2, 2
	vms := shape.VMs("", "")
	workers, upstreams := serveOn(t, host, standin.WorkersHandler(vms)), serveOn(t, host, standin.UpstreamsHandler(vms, 20*time.Millisecond))
	vms = append(shape.VMs("http://"+workers, "http://"+upstreams), backend.VM{ID: "entry", Kind: backend.KindEntry, Zone: "howrah", Address: host + ":7401"})
	log := serveOn(t, host, standin.NewLog(0).Handler())
	list := serveOn(t, host, standin.NewVMList(0, vms...).Handler())
	command := exec.Command(program, "--id", "entry", "--zone", "howrah", "--http", n.address, "--peer", host+":7401", "--log", "http://"+log, "--vms", "http://"+list)
	command.Env = append(os.Environ(), fmt.Sprint("SHALLOTPIN_MEMORY_MB=", crowdMemoryMB), fmt.Sprint("SHALLOTPIN_MAX_FDS=", crowdMaxFDs))
	var output bytes.Buffer
	command.Stderr = &output
	stdout, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			t.Logf("end of the node's log:\n%s", output.Bytes()[max(0, output.Len()-8<<10):])
		}
	})
	if line, err := bufio.NewReader(stdout).ReadString('\n'); err != nil || !strings.HasPrefix(line, "ready ") {
		t.Fatalf("the node is not ready: %q, %v", line, err)
	}
	n.process, n.monitor = command.Process, crowd.NewMonitor(command.Process.Pid)
	t.Cleanup(n.monitor.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTimeout)
	defer cancel()
	c := client.New("http://" + n.address)
	if _, err := c.PublishConfig(ctx, []byte(crowdConfig), nil); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return n
}

// jobBody returns a job with a payload of the given size.
func jobBody(account string, payload int) []byte {
	return fmt.Appendf(nil, `{"account":%q,"class":"appraisal","tasks":2,"per_task":{"cores":1},"payload":"%s"}`, account, strings.Repeat("x", payload))
}

// submit submits a job until the node accepts it. The node may refuse it or close the
// connection meanwhile.
func (n *crowdNode) submit(t *testing.T, when, account string, body []byte) {
	t.Helper()
	n.jobs++
	key := fmt.Sprint(account, "-", n.jobs)
	c := client.NewWithHTTPClient("http://"+n.address, &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}})
	var last error
	for deadline := time.Now().Add(crowdTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if _, last = c.SubmitJob(t.Context(), body, key); last == nil {
			return
		}
		if _, err := n.monitor.Usage(); err != nil {
			break
		}
	}
	t.Errorf("%s: a job was not accepted; last attempt: %v", when, last)
}

// check checks what the node has held so far, and that it lives.
func (n *crowdNode) check(t *testing.T) {
	t.Helper()
	usage, err := n.monitor.Usage()
	t.Logf("peak of memory %.1f MB, of bytes received and not read %.1f MB, of sockets and pipes %d", float64(usage.MemoryKB)/1024, float64(usage.ReceivedKB)/1024, usage.Conns)
	if err != nil {
		t.Errorf("the node ended: %v", err)
	}
	if usage.MemoryKB > crowdMemoryMB<<10 {
		t.Errorf("the node held %.1f MB, its limit is %d MB", float64(usage.MemoryKB)/1024, crowdMemoryMB)
	}
	if usage.Conns > crowdMaxFDs-reservedFDs {
		t.Errorf("the node held %d sockets and pipes, its limit is %d", usage.Conns, crowdMaxFDs-reservedFDs)
	}
}

// TestCrowd runs each pattern against a node of its own. An ordinary job must be accepted
// while the clients hold their connections, and after they have closed them.
func TestCrowd(t *testing.T) {
	program := filepath.Join(t.TempDir(), "shallotpind")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	const headers = " HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\n"
	job := crowd.Request{Head: "POST /v1/jobs" + headers, Body: jobBody("crowd", api.MaxJobBytes-200)}
	short := crowd.Request{Head: "POST /v1/services/desk/requests" + headers + api.HeaderAccount + ": crowd\r\n" + api.HeaderClass + ": check\r\n", Body: bytes.Repeat([]byte("x"), api.MaxRequestBytes)}
	large := func(i int) crowd.Request {
		// The jobs are valid but for an unknown field: what is accepted lasts in the log.
		unknown := crowd.Request{Head: job.Head, Body: bytes.Replace(job.Body, []byte(`"payload"`), []byte(`"padding"`), 1)}
		return []crowd.Request{unknown, short}[i%2]
	}
	tiny := func(i int) crowd.Request {
		return crowd.Request{Head: short.Head, Body: short.Body[:api.MaxJobBytes]}
	}
	const parts = `{"accounts":[`
	manyParts := crowd.Request{Head: "PUT /v1/config" + headers, Body: []byte(parts + strings.Repeat("{},", (config.MaxBytes-len(parts)-4)/3) + "{}]}")}
	get := func(path string) func(int) crowd.Request {
		return func(int) crowd.Request { return crowd.Request{Head: "GET " + path + headers} }
	}
	for _, c := range []struct {
		name    string
		clients int
		pattern crowd.Pattern
		request func(i int) crowd.Request
		// jobs is the number of jobs with large payloads that exist beforehand.
		jobs int
	}{
		{"LargeBodiesWhole", 300, crowd.Whole, large, 0},
		{"LargeBodiesByThePiece", 300, crowd.Pieces, large, 0},
		{"LargeBodiesUnfinished", 300, crowd.Unfinished, large, 0},
		{"LargeChunksUnfinished", 300, crowd.LargeChunks, large, 0},
		{"TinyChunksUnfinished", 300, crowd.TinyChunks, tiny, 0},
		{"BodiesOfManyParts", 8, crowd.Whole, func(int) crowd.Request { return manyParts }, 0},
		{"HeadersByThePiece", 300, crowd.Headers, get("/v1/jobs"), 0},
		{"SilentConnections", 300, crowd.Silent, get("/v1/jobs"), 0},
		{"AnswersNotRead", 300, crowd.Unread, get("/v1/jobs"), 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startCrowdNode(t, program)
			n.submit(t, "before the crowd", "calm", jobBody("calm", 20))
			for range c.jobs {
				n.submit(t, "large payload", "crowd", jobBody("crowd", 32<<10))
			}
			clients := crowd.Start(n.address, c.clients, c.pattern, c.request)
			if !clients.AwaitArrival(crowdTimeout) {
				t.Log("not all clients have sent what they were to send")
			}
			for range jobsBesideCrowd {
				n.submit(t, "beside the crowd", "calm", jobBody("calm", 20))
			}
			clients.Close()
			n.submit(t, "after the crowd", "calm", jobBody("calm", 20))
			n.submit(t, "after the crowd, the crowd's account", "crowd", jobBody("crowd", 20))
			n.check(t)
		})
	}
}

// TestCrowdBeforeTheNodeReads sends large bodies from many more clients than the node has connections
// for, while it gets no processor time. What the kernel has received counts towards its memory.
func TestCrowdBeforeTheNodeReads(t *testing.T) {
	program := filepath.Join(t.TempDir(), "shallotpind")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	n := startCrowdNode(t, program)
	n.submit(t, "before the crowd", "calm", jobBody("calm", 20))
	head := "POST /v1/services/desk/requests HTTP/1.1\r\nHost: crowd\r\n" + api.HeaderAccount + ": crowd\r\n" + api.HeaderClass + ": check\r\n"
	request := crowd.Request{Head: head, Body: bytes.Repeat([]byte("x"), api.MaxRequestBytes)}
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	clients := crowd.Start(n.address, 1200, crowd.Unfinished, func(int) crowd.Request { return request })
	if !n.monitor.AwaitReceived(crowdTimeout) {
		t.Error("the kernel goes on receiving")
	}
	if err := n.process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range jobsBesideCrowd {
		n.submit(t, "beside the crowd", "calm", jobBody("calm", 20))
	}
	clients.Close()
	n.submit(t, "after the crowd", "calm", jobBody("calm", 20))
	n.check(t)
}

// TestCrowdOfOne checks that a single request within the limits is accepted, however large it
// is.
func TestCrowdOfOne(t *testing.T) {
	program := filepath.Join(t.TempDir(), "shallotpind")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	n := startCrowdNode(t, program)
	n.submit(t, "large job", "calm", jobBody("calm", api.MaxJobBytes-200))
	c := client.New("http://" + n.address)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTimeout)
	defer cancel()
	answer, err := c.Request(ctx, &api.Request{Account: "calm", Service: "desk", Class: "check", Body: bytes.Repeat([]byte("x"), api.MaxRequestBytes)})
	if err != nil || answer.Verdict != api.Ran {
		t.Errorf("large short request: %v, %v", answer.Verdict, err)
	}
	n.check(t)
}

// TestCrowdUnknownService checks that a short request that names no service or no account is
// answered although its body does not end.
func TestCrowdUnknownService(t *testing.T) {
	program := filepath.Join(t.TempDir(), "shallotpind")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	n := startCrowdNode(t, program)
	for _, head := range []string{
		"POST /v1/services/other/requests HTTP/1.1\r\nHost: crowd\r\n" + api.HeaderAccount + ": calm\r\n",
		"POST /v1/services/desk/requests HTTP/1.1\r\nHost: crowd\r\n" + api.HeaderAccount + ": unknown\r\n",
	} {
		conn, err := net.Dial("tcp", n.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := fmt.Fprintf(conn, "%sContent-Length: 200000\r\n\r\nx", head); err != nil {
			t.Fatal(err)
		}
		const want = "HTTP/1.1 400"
		answer := make([]byte, len(want))
		conn.SetReadDeadline(time.Now().Add(crowdTimeout / 3))
		if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != want {
			t.Errorf("%q: got %q, %v; want %s", head, answer, err, want)
		}
	}
	n.check(t)
}
