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
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// site is a small deployment: three nodes as processes, and stand-ins in this process.
type site struct {
	dir     string
	record  *os.File
	trouble bool
	store   *store
	// crashDown is how long an executor is away after a crash.
	crashDown time.Duration
	behave    func(task string) (takes, crashesIn time.Duration)

	subnet    string
	storeAddr string
	nodes     []*node
	executors []*executor

	mu      sync.Mutex
	began   time.Time
	running map[string]map[string]bool
	runs    []*runRecord
	broken  []string
}

// runRecord is one run as the executors saw it.
type runRecord struct {
	task, executor string
	number, fence  int64
	began          time.Time
	ended          time.Time
	how            string
	// noted means that SeenUpto has reached the end, with no lapse of the lease in between.
	noted bool
}

type node struct {
	site                *site
	name, zone          string
	host                string
	front, ready, metrx string
	settings            string
	cmd                 *exec.Cmd
	log                 *os.File
}

func newSite(caseDir string) *site {
	s := &site{trouble: os.Getenv("TROUBLE") != "0", store: newStore(), crashDown: 2 * time.Second, began: time.Now(), running: map[string]map[string]bool{}}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	s.record = record
	if s.dir, err = os.MkdirTemp("", "case"); err != nil {
		s.cannotRun("temporary folder: %v", err)
	}
	// A network of loopback addresses of this run's own.
	s.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250)
	s.behave = func(string) (time.Duration, time.Duration) { return time.Second, 0 }
	s.note("trouble %v", s.trouble)
	return s
}

func (s *site) host(n int) string { return fmt.Sprintf("%s.%d", s.subnet, n) }

func (s *site) behaviour(task string) (time.Duration, time.Duration) { return s.behave(task) }

// note writes a line to the record, with the time since the start of the case.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) cannotRun(format string, args ...any) {
	s.note("cannot run: "+format, args...)
	s.finish(cannotRun)
}

// breaks records that the rule is broken.
func (s *site) breaks(format string, args ...any) {
	s.note("BROKEN: "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// startedRun records a start at an executor. It is called with the executor's lock held.
func (s *site) startedRun(e *executor, task string, number int64, spec string, fence int64) {
	s.note("start %s run %d on %s, fence %d, spec %q", task, number, e.id, fence, spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, &runRecord{task: task, executor: e.id, number: number, fence: fence, began: time.Now()})
}

func (s *site) ended(e *executor, task string, number int64, how string) {
	s.note("end %s run %d on %s: %s", task, number, e.id, how)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.task == task && r.number == number && r.executor == e.id && r.ended.IsZero() {
			r.ended, r.how = time.Now(), how
		}
	}
}

// noted records that SeenUpto has reached an end. It is called with the executor's lock held.
func (s *site) noted(e *executor, seenUpto int64, end []any) {
	task, number := end[1].(string), end[2].(int64)
	lapsed := false
	s.mu.Lock()
	for _, r := range s.runs {
		if r.task == task && r.number == number && r.executor == e.id && !r.ended.IsZero() {
			lapsed = e.lapsedAt.After(r.ended)
			r.noted = !lapsed
		}
	}
	s.mu.Unlock()
	s.note("SeenUpto %d reaches end %v of %s run %d on %s; lease lapsed in between: %v", seenUpto, end[0], task, number, e.id, lapsed)
}

// capacity returns how many executors that are up have at least the given GPUs free, by the runs
// that they have, and whether under half of all GPUs are in use.
func (s *site) capacity(gpus int, need func(task string) int) (room int, underHalf bool) {
	used, total := 0, 0
	for _, e := range s.executors {
		e.mu.Lock()
		if e.up && !e.cut {
			free := 8
			for task := range e.runs {
				free -= need(task)
			}
			used, total = used+8-free, total+8
			if free >= gpus {
				room++
			}
		}
		e.mu.Unlock()
	}
	return room, 2*used < total
}

// runsOf returns copies of the runs of a job's tasks.
func (s *site) runsOf(job string) []runRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []runRecord
	for _, r := range s.runs {
		if jobOf(r.task) == job {
			out = append(out, *r)
		}
	}
	return out
}

func freePort(host string) string {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	return port
}

const settingsText = `NodeName: "%[1]s"
Role: "entry"
MachineClass: "front"
Serves: ["front"]
Ip: "%[2]s"
Zone: "%[3]s"
Region: "bengal"
Zones: {howrah: "bengal", salt-lake: "bengal", barasat: "bengal"}
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

// start writes the configuration, starts three nodes and waits until they are ready.
func (s *site) start() {
	ln, err := net.Listen("tcp", s.host(99)+":0")
	if err != nil {
		s.cannotRun("listen for the store: %v", err)
	}
	s.storeAddr = ln.Addr().String()
	go (&http.Server{Handler: s.store}).Serve(ln)
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"Name": name, "Host": "desk.example", "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": priority, "Service": "svc1", "Attempts": 3, "Stretch": 3.0, "Public": false}
	}
	s.store.put("keyed.op", "config", map[string]any{"Version": 7, "Routes": []any{route("r-1", "/appraise/", 1), route("r-2", "/grade/", 2)},
		"Services": []any{map[string]any{"Name": "svc1", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "coopers", "ApiKeys": []string{"key-1"}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 8}}}})
	for i, zone := range []string{"howrah", "salt-lake", "barasat"} {
		n := &node{site: s, name: fmt.Sprintf("front-%s-1", zone), zone: zone, host: s.host(i + 1)}
		n.front, n.ready, n.metrx = n.host+":"+freePort(n.host), n.host+":"+freePort(n.host), n.host+":"+freePort(n.host)
		n.settings = filepath.Join(s.dir, n.name+".yaml")
		if err := os.WriteFile(n.settings, fmt.Appendf(nil, settingsText, n.name, n.host, zone, n.front, n.ready, s.storeAddr), 0o600); err != nil {
			s.cannotRun("%v", err)
		}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	go s.lapse()
	s.await("all nodes are ready", 15*time.Second, func() bool {
		for _, n := range s.nodes {
			response, err := http.Get("http://" + n.ready + "/api/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.await("a node leads and sees the executors", 15*time.Second, func() bool { return s.leader() != nil })
}

// lapse removes the entries of executors that have been silent for three heartbeats.
func (s *site) lapse() {
	for {
		time.Sleep(50 * time.Millisecond)
		for _, e := range s.executors {
			e.mu.Lock()
			if !e.lastPut.IsZero() && time.Since(e.lastPut) > 3*heartbeat && s.store.value("keyed.servers", e.id) != "" {
				s.store.put("keyed.servers", e.id, nil)
			}
			e.mu.Unlock()
		}
	}
}

// start starts the node with the command of the deploy file.
func (n *node) start() {
	s := n.site
	program, err := filepath.Abs("target/shallotpin-entry")
	if err != nil {
		s.cannotRun("%v", err)
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(s.dir, n.name+".log")); err != nil {
			s.cannotRun("%v", err)
		}
	}
	n.cmd = exec.Command(program)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "SHALLOTPIN_NODE_FILE=" + n.settings, "SHALLOTPIN_METRICS=" + n.metrx}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		s.cannotRun("start of %s: %v", n.name, err)
	}
	s.note("node %s started", n.name)
}

func (n *node) signal(sig syscall.Signal) {
	n.site.note("node %s gets signal %d (%s)", n.name, sig, sig)
	_ = n.cmd.Process.Signal(sig)
}

// leader returns the node that leads by the term record in the store, nil if none does.
func (s *site) leader() *node {
	var term struct {
		Leader   string `json:"l"`
		Resigned bool   `json:"r"`
	}
	if json.Unmarshal([]byte(s.store.value("keyed.shallotpin", "term")), &term) != nil || term.Resigned {
		return nil
	}
	for _, n := range s.nodes {
		if strings.HasPrefix(term.Leader, n.name+"/") {
			return n
		}
	}
	return nil
}

func (s *site) await(what string, timeout time.Duration, done func() bool) bool {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(20 * time.Millisecond) {
		if done() {
			s.note("%s", what)
			return true
		}
	}
	s.cannotRun("not in %s: %s", timeout, what)
	return false
}

// call makes a client's call to a node and returns status and body; status 0 means no answer.
func (s *site) call(n *node, method, path string, body any) (int, string) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(data))
	if err != nil {
		s.cannotRun("%v", err)
	}
	request.Host = "desk.example"
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Shallotpin-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.note("%s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	s.note("%s %s at %s: %d %s", method, path, n.name, response.StatusCode, strings.TrimSpace(string(answer)))
	return response.StatusCode, string(answer)
}

type step struct {
	Count         int
	Cpu           int
	MemMb         int
	Gpu           int
	EstMs         int
	DependsOn     []int  `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
}

// submit hands a job in at a live node, with retries, and fails the case if none takes it.
func (s *site) submit(prefix, id, spec string, steps ...step) {
	for attempt := range 8 {
		status, _ := s.call(s.nodes[attempt%len(s.nodes)], http.MethodPost, prefix+id, map[string]any{"Spec": spec, "Steps": steps})
		if status/100 == 2 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.cannotRun("job %s was not accepted", id)
}

// state returns a job's state as a node shows it.
func (s *site) state(n *node, prefix, id string) string {
	status, body := s.call(n, http.MethodGet, prefix+id, nil)
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// finish ends the nodes and the case.
func (s *site) finish(code int) {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	s.note("result %d", code)
	s.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
	os.Exit(code)
}

// verdict ends the case with the result.
func (s *site) verdict() {
	if len(s.broken) > 0 {
		s.finish(broken)
	}
	s.finish(held)
}
