package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	serviceName = "desk"
	queueHost   = "desk.example"
	queuePrefix = "/jobs/"
	apiKey      = "key-of-the-only-tenant"
)

// site is one installation: stand-ins for the platform, executors and clients in this
// process, and the project's program in a process for each entry VM.
type site struct {
	rec       *recorder
	store     *store
	dir       string
	prefix    string
	hosts     int
	executors []*executor
	nodes     []*node
	ended     atomic.Bool

	mu sync.Mutex
	// work and crash are how long the tasks of a job work, and how long after its start a
	// task crashes its executor (0: not at all), by job and step.
	work, crash map[string]time.Duration
}

type node struct {
	name, front, ready string
	process            *exec.Cmd
}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

func (s *site) ending() bool { return s.ended.Load() }

// host returns the loopback address with a number.
func (s *site) host(n int) string { return s.prefix + strconv.Itoa(n) }

func (s *site) nextHost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts++
	return s.hosts
}

func newSite(rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, store: newStore(), dir: dir, hosts: 1, work: map[string]time.Duration{}, crash: map[string]time.Duration{}}
	// A range of loopback addresses of its own keeps the ports of two runs apart.
	for range 20 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if ln, err := net.Listen("tcp", s.host(200)+":7002"); err == nil {
			ln.Close()
			break
		}
	}
	return s, nil
}

// setWork sets how long the tasks of a step work, and when they crash their executors.
func (s *site) setWork(job string, step int, work, crash time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := job + "." + strconv.Itoa(step)
	s.work[key], s.crash[key] = work, crash
}

func (s *site) workOf(task string) (work, crash time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return time.Second, 0
	}
	key := parts[0] + "." + parts[2]
	if s.work[key] == 0 {
		return time.Second, 0
	}
	return s.work[key], s.crash[key]
}

// addExecutor starts a worker of 64 cores and 8 accelerators.
func (s *site) addExecutor(kind string) (*executor, error) {
	n := len(s.executors)
	zones := []string{"z1", "z2", "z3"}
	e := &executor{site: s, name: fmt.Sprintf("w%d-", n), zone: zones[n%3], rack: fmt.Sprintf("r%d-%d", n%3, n/6), kind: kind, cpu: 64000, mem: 262144, gpu: 8, conns: map[net.Conn]bool{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.start(); err != nil {
		return nil, err
	}
	s.executors = append(s.executors, e)
	go e.tend()
	return e, nil
}

// serveStore starts the store and returns its address.
func (s *site) serveStore() (string, error) {
	ln, err := net.Listen("tcp", s.host(s.nextHost())+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// configure writes the operator's first configuration: one queue and one tenant.
func (s *site) configure(priority int) {
	value, err := json.Marshal(map[string]any{"Version": 1,
		"Routes": []any{map[string]any{"Name": "r-jobs", "Host": queueHost, "PathPrefix": queuePrefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 3000,
			"Priority": priority, "Service": serviceName, "Attempts": 4, "Stretch": 3.0, "Public": false}},
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0, "RejectsOverload": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "tenant", "ApiKeys": []string{apiKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 8}}}})
	if err != nil {
		panic(err)
	}
	s.store.put("keyed.op", "config", value)
}

const settingsTemplate = `NodeName: "%[1]s"
Role: "entry"
MachineClass: "front"
Serves: ["front"]
Ip: "%[2]s"
Zone: "%[3]s"
Region: "r"
Zones: {z1: "r", z2: "r", z3: "r"}
Listen: {Front: "%[4]s", Ready: "%[5]s"}
PortRange: [7000, 7015]
Seeds: []
Bootstrap: true
LossCounts: false
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform", "advice", "upkeep", "sharing"]
Tolerate: {Machines: 2, Zones: 1, Regions: 0}
Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 6, LossSlackMs: 200, ConfigMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000, StrictRevoke: false, RevokeMs: 5000, ColdExcess: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoveryS: 12, HoldMaxMs: 6000, StopMs: 900, GangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, FarX: 3, SaveS: 2, RestoreMs: 600, NoticeMs: 4500, MoveS: 1.5, UpkeepS: 2, RequireFencing: true, LeaseMs: 3000, ThawMs: 300, PaceMs: 100, HarmMs: 4000, ReclaimMs: 3400}
Orders: "rpc"
platform: {Addr: "%[6]s", form: "log", WritesPerS: 600, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, PartMbS: 20.0, ReadMbS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
`

// freePort returns a free port of a host.
func freePort(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startNodes starts the project's program on n entry VMs, with the command of the deploy
// file, and waits until all are ready.
func (s *site) startNodes(n int, storeAddr string) error {
	program, err := filepath.Abs("target/shallotpin-entry")
	if err != nil {
		return err
	}
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("build the deploy file first: %w", err)
	}
	for i := range n {
		host := s.host(200 + i)
		front, err := freePort(host)
		if err != nil {
			return err
		}
		ready, err := freePort(host)
		if err != nil {
			return err
		}
		nd := &node{name: fmt.Sprintf("front-z%d-1", i+1), front: front, ready: ready}
		file := filepath.Join(s.dir, nd.name+".yaml")
		text := fmt.Sprintf(settingsTemplate, nd.name, host, fmt.Sprintf("z%d", i%3+1), front, ready, storeAddr)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(s.dir, nd.name+".log"))
		if err != nil {
			return err
		}
		nd.process = exec.Command(program)
		nd.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "SHALLOTPIN_NODE_FILE=" + file, "SHALLOTPIN_METRICS=" + host + ":7001"}
		nd.process.Stdout, nd.process.Stderr = output, output
		if err := nd.process.Start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, nd)
		s.rec.log("node %s started, process %d", nd.name, nd.process.Process.Pid)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, nd := range s.nodes {
		for !nd.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", nd.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.log("all nodes are ready")
	return nil
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all that the site has started. It keeps the nodes' logs if KEEP is set.
func (s *site) close() {
	s.ended.Store(true)
	for _, nd := range s.nodes {
		_ = nd.process.Process.Signal(syscall.SIGKILL)
		_ = nd.process.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, nd := range s.nodes {
			if data, err := os.ReadFile(filepath.Join(s.dir, nd.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, nd.name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(s.dir)
}

// call makes one request of a client and returns the status, 0 if there was no answer.
func (s *site) call(nd *node, method, path string, body any) (int, map[string]any) {
	var data io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		data = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+nd.front+queuePrefix+path, data)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Shallotpin-Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

// submit hands a job in, at another node after no answer, a 502, a 503 or a 504. It returns
// whether the job was accepted.
func (s *site) submit(id string, job any) bool {
	for attempt := range 20 {
		nd := s.nodes[attempt%len(s.nodes)]
		status, _ := s.call(nd, http.MethodPost, id, job)
		s.rec.log("client: POST %s at %s: %d", id, nd.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks all nodes in turn for a job's state until one has answered.
func (s *site) state(id string) string {
	for _, nd := range s.nodes {
		status, answer := s.call(nd, http.MethodGet, id, nil)
		state, _ := answer["State"].(string)
		s.rec.log("client: GET %s at %s: %d %s", id, nd.name, status, state)
		if status == http.StatusOK {
			return state
		}
	}
	return ""
}
