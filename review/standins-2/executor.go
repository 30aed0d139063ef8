package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
)

// executor is a stand-in for an executor with the orders that PROTOCOL.md describes. Its
// tasks neither form gangs nor save their progress.
type executor struct {
	site            *site
	id, zone, label string
	rack            string
	addr            string
	answerDelay     time.Duration
	stopTime        time.Duration

	mu sync.Mutex
	// up is false while the process is down, cut while no network path leads to it.
	up, cut bool
	born    int64
	started time.Time
	fence   int64
	runs    map[string]*execRun
	// floor is the highest run that was stopped or has ended here, by task.
	floor   map[string]int64
	ended   [][]any
	lastEnd int
	leaseMS int64
	seq     int
	changed chan struct{}
	lastPut time.Time
	// lapsedAt is when the lease was last found to have lapsed.
	lapsedAt time.Time
	// requests counts the orders that were carried out or refused.
	requests int
	// draining is set once the executor has said that it will leave.
	draining bool
	// loseEnd loses the answer of the next hold that lists an end.
	loseEnd bool
	conns   map[net.Conn]bool
}

type execRun struct {
	task      string
	number    int64
	began     time.Time
	takes     time.Duration
	stopping  bool
	stopEnds  time.Time
	crashesIn time.Duration
}

// newExecutor starts an executor in process; the site's record has its starts and ends.
func newExecutor(s *site, id, zone, label, rack string) *executor {
	e := &executor{site: s, id: id, zone: zone, label: label, rack: rack, stopTime: 300 * time.Millisecond, conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", s.host(100)+":0")
	if err != nil {
		s.cannotRun("listen for executor %s: %v", id, err)
	}
	e.addr = ln.Addr().String()
	e.boot()
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(e.conns, c)
		} else {
			e.conns[c] = true
		}
	}}
	go server.Serve(&gate{ln, e})
	go e.work()
	s.executors = append(s.executors, e)
	return e
}

// gate refuses connections while the executor is down or cut off.
type gate struct {
	net.Listener
	e *executor
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.e.mu.Lock()
		up, cut := g.e.up, g.e.cut
		g.e.mu.Unlock()
		switch {
		case cut:
			// A cut is silent: nothing is answered and nothing is closed.
			go func() {
				time.Sleep(15 * time.Second)
				c.Close()
			}()
		case !up:
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		default:
			return c, nil
		}
	}
}

// boot begins a new incarnation, which knows nothing of the one before.
func (e *executor) boot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.started, e.born = true, time.Now(), time.Now().UnixMilli()
	e.fence, e.runs, e.floor, e.ended, e.lastEnd, e.leaseMS, e.seq = 0, map[string]*execRun{}, map[string]int64{}, nil, 0, 0, 0
	e.changed = make(chan struct{})
}

// crash ends the incarnation; all that runs is gone. The connections are reset, unless the
// executor is cut off.
func (e *executor) crash() { e.down("crash") }

// down ends the incarnation, and all its runs as given.
func (e *executor) down(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = false
	for task, r := range e.runs {
		e.site.ended(e, task, r.number, how)
	}
	e.runs = map[string]*execRun{}
	if !e.cut {
		for c := range e.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				tcp.SetLinger(0)
			}
			c.Close()
		}
	}
}

func (e *executor) clockMS() int64 { return time.Since(e.started).Milliseconds() + 100_000 }

// work carries out what is due: ends of runs and stops, lapsed leases, crashes, heartbeats.
func (e *executor) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		now := time.Now()
		crash := false
		if e.up {
			e.checkLease()
			for task, r := range e.runs {
				switch {
				case e.clockMS() > e.leaseMS:
					e.end(task, "lapsed")
				case r.stopping && now.After(r.stopEnds):
					e.end(task, "stopped")
				case !r.stopping && r.crashesIn > 0 && now.Sub(r.began) >= r.crashesIn:
					crash = true
				case !r.stopping && now.Sub(r.began) >= r.takes:
					e.end(task, "done")
				}
			}
			if !e.cut && now.Sub(e.lastPut) >= heartbeat {
				e.lastPut = now
				e.put()
			}
		}
		e.mu.Unlock()
		if crash {
			e.site.note("executor %s crashes under its task", e.id)
			e.crash()
			go func() {
				time.Sleep(e.site.crashDown)
				e.boot()
				e.site.note("executor %s is back with the same id, born %d", e.id, e.born)
				e.mu.Lock()
				e.lastPut = time.Now()
				e.put()
				e.mu.Unlock()
			}()
		}
	}
}

// checkLease records a lapse of the lease. It must be called with mu held.
func (e *executor) checkLease() {
	if e.leaseMS > 0 && e.clockMS() > e.leaseMS {
		e.lapsedAt = time.Now()
	}
}

// put writes the executor's entry. It must be called with mu held.
func (e *executor) put() {
	e.seq++
	entry := map[string]any{"Service": "svc1", "Addr": e.addr, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": 64000, "MemMb": 262144, "Gpu": 8}, "Labels": []string{e.label, e.rack}, "ClockMs": e.clockMS(), "Seq": e.seq, "born": e.born}
	if e.draining {
		entry["State"], entry["RemainingMs"] = "draining", 2000
	}
	e.site.store.put("keyed.servers", e.id, entry)
}

// leave empties the executor and takes it away, after DrainMs and a little more.
func (e *executor) leave() {
	e.mu.Lock()
	e.draining, e.lastPut = true, time.Now()
	e.put()
	e.mu.Unlock()
	e.site.note("executor %s is draining", e.id)
	time.Sleep(2500 * time.Millisecond)
	e.down("left")
	e.site.store.put("keyed.servers", e.id, nil)
	e.site.note("executor %s has left", e.id)
}

// end ends a run and lists its end. It must be called with mu held.
func (e *executor) end(task, how string) {
	r := e.runs[task]
	delete(e.runs, task)
	e.floor[task] = max(e.floor[task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, r.number, how, ""})
	e.site.ended(e, task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task     string
	Run      int64
	Spec     string
	UntilMs  int64
	Fence    int64
	SeenUpto int64
	WaitMs   int64
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{})
		return
	}
	time.Sleep(e.answerDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.cut {
		// No answer: the connection ends with the process, or stays silent.
		e.mu.Unlock()
		time.Sleep(15 * time.Second)
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Shallotpin-Expect-Instance") != e.id {
		reply(w, http.StatusMisdirectedRequest, map[string]int64{"ClockMs": e.clockMS()})
		return
	}
	refuse := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"ClockMs": e.clockMS(), "Reason": reason})
	}
	if o.Fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = o.Fence
	e.requests++
	e.checkLease()
	grant := func() { e.leaseMS = max(e.leaseMS, min(o.UntilMs, e.clockMS()+holdMax.Milliseconds())) }
	switch r.URL.Path {
	case "/api/run-start":
		if o.UntilMs <= e.clockMS() {
			refuse("late")
			return
		}
		grant()
		if run := e.runs[o.Task]; run != nil && run.number == o.Run {
			break
		}
		if o.Run <= e.floor[o.Task] || e.runs[o.Task] != nil {
			refuse("old")
			return
		}
		takes, crashes := e.site.behaviour(o.Task)
		e.runs[o.Task] = &execRun{task: o.Task, number: o.Run, began: time.Now(), takes: takes, crashesIn: crashes}
		e.site.startedRun(e, o.Task, o.Run, o.Spec, o.Fence)
	case "/api/run-stop":
		e.floor[o.Task] = max(e.floor[o.Task], o.Run)
		if run := e.runs[o.Task]; run != nil && run.number == o.Run && !run.stopping {
			run.stopping, run.stopEnds = true, time.Now().Add(e.stopTime)
			e.site.note("executor %s is told to stop %s run %d", e.id, o.Task, o.Run)
		}
	case "/api/pace":
	case "/api/hold":
		if o.UntilMs > 0 {
			grant()
		}
		for len(e.ended) > 0 && int64(e.ended[0][0].(int)) <= o.SeenUpto {
			e.site.noted(e, o.SeenUpto, e.ended[0])
			e.ended = e.ended[1:]
		}
		deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		born := e.born
		for len(e.ended) == 0 && time.Now().Before(deadline) {
			changed := e.changed
			e.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			case <-r.Context().Done():
			}
			e.mu.Lock()
			if r.Context().Err() != nil || !e.up || e.cut || e.born != born {
				panic(http.ErrAbortHandler)
			}
		}
		running := [][]any{}
		for _, run := range e.runs {
			percent := int(min(99, 100*time.Since(run.began)/run.takes))
			running = append(running, []any{run.task, run.number, "", percent, 7500})
		}
		sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
		ended := e.ended[:min(len(e.ended), 500)]
		if ended == nil {
			ended = [][]any{}
		}
		if e.loseEnd && len(ended) > 0 {
			e.loseEnd = false
			e.site.note("the answer of executor %s to a hold is lost", e.id)
			panic(http.ErrAbortHandler)
		}
		reply(w, http.StatusOK, map[string]any{"ClockMs": e.clockMS(), "born": e.born, "Running": running, "Ended": ended})
		return
	default:
		reply(w, http.StatusNotFound, map[string]string{})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ClockMs": e.clockMS()})
}

// jobOf returns the job's ID in a task's name.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (e *executor) String() string { return fmt.Sprintf("%s (%s)", e.id, e.addr) }
