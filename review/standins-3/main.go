//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes: the rule held, it was broken, the case could not run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: a store, executors, and entry nodes as processes.
type site struct {
	dir     string
	program string
	record  *record
	store   *store
	fleet   *fleet
	address string
	nodes   []*node
}

// node is an entry node.
type node struct {
	site                       *site
	name, zone                 string
	front, ready, port         string
	metrics, settings, storeAt string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// current is the site of the case; fatal ends its processes.
var current *site

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.stopNodes()
	}
	os.Exit(exitCannot)
}

// The size of the deployment.
const (
	executors = 12
	// manyExecutors is how many the small deployments of SYSTEM.md have.
	manyExecutors = 48
	nodes         = 3
)

const (
	host = "desk.example"
	key  = "key-of-tenant-a"
)

// local is the loopback address of this play, so that plays beside each other share no ports.
var local = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/62500%250, 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// lastPort is the last port of a node. They are below those that the kernel gives away.
var lastPort = 7099

// freePort returns a port of local that nothing listens on.
func freePort() string {
	for {
		lastPort++
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", local, lastPort)); err == nil {
			l.Close()
			return strconv.Itoa(lastPort)
		}
	}
}

func newSite(program, folder string, executorCount, nodeCount int) *site {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	s := &site{dir: dir, program: program, record: &record{file: file, began: time.Now()}, store: newStore()}
	current = s
	l, err := net.Listen("tcp", local+":0")
	if err != nil {
		fatal("%v", err)
	}
	s.address = l.Addr().String()
	go http.Serve(l, s.store)
	s.configure(1)
	s.fleet = newFleet(s.store, s.record, executorCount)
	for i := range nodeCount {
		n := &node{site: s, name: fmt.Sprintf("front-zone-%c-1", 'a'+i), zone: fmt.Sprintf("zone-%c", 'a'+i), front: local + ":" + freePort(), ready: local + ":" + freePort(), port: freePort(), metrics: local + ":" + freePort()}
		n.settings = filepath.Join(dir, n.name+".yaml")
		text := fmt.Sprintf("NodeName: %q\nRole: \"entry\"\nZone: \"zone-%c\"\nListen:\n  Front: %q\n  Ready: %q\nLimits:\n  CpuShare: 0.4\n  Cores: 1\n  MemoryMb: 284\n  MaxFds: 4100\n  LinkMbps: 1000.0\nHeartbeatMs: 1500\n"+
			"Bounds:\n  ContactMs: 3000\n  AckMs: 4000\n  DrainMs: 2000\n  GraceS: 6\n  ConfigMs: 2000\n  EvacuateMs: 5000\n  HoldMaxMs: 6000\n  StopMs: 900\n  GangMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  status_s: 120\n  SaveS: 2\n  RestoreMs: 600\n  ReclaimMs: 3400\nOrders: \"rpc\"\n"+
			"platform:\n  Addr: %q\n  form: \"log\"\n  WritesPerS: 600\n  ReadsPerS: 2000\n  RecordBytes: 262144\n  CallBytes: 2097152\n", n.name, 'a'+i, n.front, n.ready, s.address)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			fatal("%v", err)
		}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	until := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				fatal("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.line("all nodes are ready")
	return s
}

// configure writes a version of the configuration, with one queue.
func (s *site) configure(version int) {
	s.store.put(opTopic, "config", map[string]any{"Version": version,
		"Routes":   []map[string]any{{"Name": "r-1", "Host": host, "PathPrefix": "/jobs/", "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0, "Service": "desk", "Attempts": 4, "Stretch": 1.5, "Public": false}},
		"Services": []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "a", "ApiKeys": []string{key}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 24}}}})
}

func (n *node) start() {
	c := exec.Command(n.site.program, "--metrics", n.metrics, "--peer-port", n.port)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SHALLOTPIN_NODE_FILE=" + n.settings}
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		fatal("%v", err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = c, ended
	n.mu.Unlock()
	go func() {
		_ = c.Wait()
		log.Close()
		close(ended)
	}()
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, ended := n.command, n.ended
	n.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

func (s *site) stopNodes() {
	for _, n := range s.nodes {
		if n.command != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the node that the ledger names as the leader, or nil.
func (s *site) leader() *node {
	var term struct {
		Leader   string `json:"l"`
		Resigned bool   `json:"r"`
	}
	if json.Unmarshal(s.store.logs[ledgerTopic].Newest("term"), &term) != nil || term.Resigned {
		return nil
	}
	for _, n := range s.nodes {
		if len(term.Leader) > len(n.name) && term.Leader[:len(n.name)] == n.name {
			return n
		}
	}
	return nil
}

// encode returns a body as JSON, with each character as it is.
func encode(body any) *bytes.Buffer {
	data := &bytes.Buffer{}
	encoder := json.NewEncoder(data)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
	return data
}

// call sends a client's request to a node and records it; it returns status 0 without an answer.
func (n *node) call(method, id string, body any) (int, string) {
	data := &bytes.Buffer{}
	if body != nil {
		data = encode(body)
	}
	request, err := http.NewRequest(method, "http://"+n.front+"/jobs/"+id, data)
	if err != nil {
		fatal("%v", err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Shallotpin-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		n.site.record.line("client: %s %s at %s: no answer: %v", method, id, n.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	n.site.record.line("client: %s %s at %s: %d %s", method, id, n.name, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// submit hands a job in until it is accepted.
func (s *site) submit(id string, b behaviour, steps ...map[string]any) {
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = b
	s.fleet.mu.Unlock()
	for try := range 20 {
		if status, _ := s.nodes[try%len(s.nodes)].call(http.MethodPost, id, map[string]any{"Spec": "work of " + id, "Steps": steps}); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fatal("job %s is not accepted", id)
}

// await waits until a condition on the executors holds; it ends the case if that takes too long.
func (s *site) await(what string, timeout time.Duration, holds func() bool) {
	for until := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		s.fleet.mu.Lock()
		ok := holds()
		s.fleet.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(until) {
			fatal("not within %v: %s", timeout, what)
		}
	}
}

// runningOf returns how many runs of a job are at work. fleet.mu must be held.
func (f *fleet) runningOf(job string) int {
	n := 0
	for _, e := range f.executors {
		for task := range e.runs {
			if e.up && jobOf(task) == job {
				n++
			}
		}
	}
	return n
}

var cases = map[string]func(s *site, trouble bool) bool{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE PROGRAM FOLDER")
		os.Exit(exitCannot)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fatal("no case %q", os.Args[1])
	}
	// A case that is told to end ends its processes, too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		fatal("told to end")
	}()
	count := executors
	if os.Args[1] == "large-job" {
		count = manyExecutors
	}
	s := newSite(os.Args[2], os.Args[3], count, nodes)
	held := play(s, os.Getenv("TROUBLE") != "0")
	s.record.line("the rule held: %v", held)
	s.stopNodes()
	fmt.Printf("%s: the rule held: %v\n", os.Args[1], held)
	if !held {
		os.Exit(exitBroken)
	}
}
