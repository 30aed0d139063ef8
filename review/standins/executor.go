package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings of a small deployment.
const (
	holdMax   = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
	stopTime  = 300 * time.Millisecond
)

// executor is a stand-in for one worker machine. Its incarnations differ in id.
type executor struct {
	site           *site
	name           string
	zone, rack     string
	kind           string
	cpu, mem, gpu  int
	addr           string
	mu             sync.Mutex
	up             bool
	id             string
	incarnation    int
	born           time.Time
	seq            int64
	lastBeat       time.Time
	fence          int64
	leaseUntil     int64
	lapsedAt       time.Time
	runs           map[string]*run
	closedRuns     map[string]int64
	ended          []endRow
	endCount       int64
	changed        chan struct{}
	lastLongHoldAt time.Time
	unhealthyUntil time.Time
	leavesAt       time.Time
	listener       net.Listener
	// cut is non-nil while the executor is cut off from the system's machines, and closed
	// when that ends.
	cut   chan struct{}
	conns map[net.Conn]bool
}

type run struct {
	task    string
	number  int64
	begun   time.Time
	work    time.Duration
	crash   time.Duration
	stopAt  time.Time
	percent int
}

type endRow struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
}

// clock is the executor's steady clock, in milliseconds since the start of the incarnation.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// start begins a new incarnation, with the lock held.
func (e *executor) start() error {
	address := e.addr
	if address == "" {
		address = e.site.host(e.site.nextHost()) + ":0"
	}
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.addr = ln.Addr().String()
	e.listener = &cutListener{ln, e}
	e.startAgain()
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = server.Serve(e.listener) }()
	return nil
}

// startAgain begins a new incarnation behind the present listener, with the lock held.
func (e *executor) startAgain() {
	e.incarnation++
	e.id = fmt.Sprintf("i-%s%02d", e.name, e.incarnation)
	e.up, e.born, e.seq, e.fence, e.leaseUntil, e.endCount = true, time.Now(), 0, 0, 0, 0
	e.lapsedAt = time.Time{}
	e.runs, e.closedRuns, e.ended = map[string]*run{}, map[string]int64{}, nil
	e.changed = make(chan struct{})
	e.beat()
	e.site.rec.log("executor %s (%s) is up at %s, kind %s", e.name, e.id, e.addr, e.kind)
}

// beat writes the executor's entry, with the lock held.
func (e *executor) beat() {
	e.seq++
	e.lastBeat = time.Now()
	state := "ready"
	if !e.leavesAt.IsZero() {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{"Service": serviceName, "Addr": e.addr, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "RemainingMs": max(0, time.Until(e.leavesAt).Milliseconds()),
		"Capacity": map[string]int{"Cpu": e.cpu, "MemMb": e.mem, "Gpu": e.gpu}, "Labels": []string{e.kind, e.rack}, "ClockMs": e.clock(), "Seq": e.seq, "born": e.born.UnixMilli()})
	if err != nil {
		panic(err)
	}
	e.site.store.put("keyed.servers", e.id, value)
}

// tend runs the executor's timers until the site ends.
func (e *executor) tend() {
	for !e.site.ending() {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if e.up {
			e.tick(time.Now())
		}
		e.mu.Unlock()
	}
}

func (e *executor) tick(now time.Time) {
	if now.Sub(e.lastBeat) >= heartbeat {
		e.beat()
	}
	lapsed := e.clock() >= e.leaseUntil
	if lapsed {
		e.lapsedAt = now
	}
	for _, r := range e.runs {
		age := now.Sub(r.begun)
		r.percent = min(100, int(100*age/r.work))
		switch {
		case r.crash > 0 && age >= r.crash:
			e.crash(r)
			return
		case lapsed:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case r.stopAt.IsZero() && age >= r.work:
			e.end(r, "done")
		}
	}
}

// end ends a run, with the lock held.
func (e *executor) end(r *run, how string) {
	delete(e.runs, r.task)
	e.closedRuns[r.task] = max(e.closedRuns[r.task], r.number)
	e.endCount++
	e.ended = append(e.ended, endRow{e.endCount, r.task, r.number, how, time.Now()})
	close(e.changed)
	e.changed = make(chan struct{})
	e.site.rec.ended(e, r, how)
}

// crash ends the incarnation under a run; the next one comes after crashPause.
func (e *executor) crash(cause *run) {
	e.up = false
	e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*cutConn).Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	var lost []string
	for _, r := range e.runs {
		lost = append(lost, r.task)
	}
	e.site.rec.crashed(e, cause, lost)
	id := e.id
	go func() {
		time.Sleep(crashPause)
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.site.ending() {
			if err := e.start(); err != nil {
				e.site.rec.log("executor %s cannot start again: %v", e.name, err)
			}
		}
	}()
	// Its entry is removed after three intervals of silence.
	time.AfterFunc(3*heartbeat, func() { e.site.store.put("keyed.servers", id, nil) })
}

const crashPause = 3 * time.Second

// cutOff cuts the executor off from the system's machines for a while. It runs on, and
// still reaches the store.
func (e *executor) cutOff(d time.Duration) {
	e.mu.Lock()
	cut := make(chan struct{})
	e.cut = cut
	e.mu.Unlock()
	e.site.rec.log("executor %s is cut off", e.name)
	time.Sleep(d)
	e.mu.Lock()
	e.cut = nil
	// What was held up is lost with its connections.
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	close(cut)
	e.site.rec.log("executor %s is reached again", e.name)
}

type order struct {
	Task     string
	Run      int64
	Spec     string
	UntilMs  int64
	Fence    int64
	SeenUpto int64
	WaitMs   int64
	Percent  int
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, body := e.obey(r, o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

// obey carries out one order. Status 0 means that the incarnation has ended.
func (e *executor) obey(r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return 0, nil
	}
	if r.Header.Get("Shallotpin-Expect-Instance") != e.id {
		return e.answer(http.StatusMisdirectedRequest, "")
	}
	if time.Now().Before(e.unhealthyUntil) && r.URL.Path == "/api/run-start" {
		e.site.rec.log("executor %s is unhealthy and rejects %s run %d with 503", e.name, o.Task, o.Run)
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if o.Fence < e.fence {
		return e.answer(http.StatusConflict, "fence")
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		return e.answer(e.startRun(o))
	case "/api/run-stop":
		if active := e.runs[o.Task]; active != nil && active.number == o.Run {
			if active.stopAt.IsZero() {
				active.stopAt = time.Now().Add(stopTime)
				e.site.rec.log("stop of %s run %d on %s", o.Task, o.Run, e.name)
			}
		} else {
			e.closedRuns[o.Task] = max(e.closedRuns[o.Task], o.Run)
		}
		return e.answer(http.StatusOK, "")
	case "/api/pace":
		return e.answer(http.StatusOK, "")
	case "/api/hold":
		return e.hold(r, o)
	}
	return http.StatusNotFound, map[string]any{}
}

func (e *executor) answer(status int, reason string) (int, map[string]any) {
	body := map[string]any{"ClockMs": e.clock()}
	if reason != "" {
		body["Reason"] = reason
	}
	return status, body
}

// extend extends the lease of all that runs on the executor; it never shortens it.
func (e *executor) extend(until int64) {
	e.leaseUntil = max(e.leaseUntil, min(until, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) startRun(o order) (int, string) {
	if o.UntilMs <= e.clock() {
		return http.StatusConflict, "late"
	}
	active := e.runs[o.Task]
	if o.Run <= e.closedRuns[o.Task] || active != nil && active.number != o.Run {
		e.extend(o.UntilMs)
		return http.StatusConflict, "old"
	}
	e.extend(o.UntilMs)
	if active == nil {
		work, crash := e.site.workOf(o.Task)
		active = &run{task: o.Task, number: o.Run, begun: time.Now(), work: work, crash: crash}
		e.runs[o.Task] = active
		e.site.rec.started(e, active)
	}
	return http.StatusOK, ""
}

// hold answers a hold; it gives up the lock while it waits for an end.
func (e *executor) hold(r *http.Request, o order) (int, map[string]any) {
	if o.UntilMs > 0 {
		e.extend(o.UntilMs)
	}
	for len(e.ended) > 0 && e.ended[0].number <= o.SeenUpto {
		// A lapse of the lease between the end and its note excuses a further start.
		if end := e.ended[0]; e.lapsedAt.Before(end.at) {
			e.site.rec.noted(end.task, end.run)
		}
		e.ended = e.ended[1:]
	}
	if o.WaitMs >= 1000 {
		e.lastLongHoldAt = time.Now()
	}
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed, incarnation := e.changed, e.incarnation
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
		if e.incarnation != incarnation || !e.up {
			return 0, nil
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range e.runs {
		running = append(running, []any{a.task, a.number, "", a.percent, 1000})
	}
	for _, end := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	return http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born.UnixMilli(), "Running": running, "Ended": ended}
}

// cutListener and cutConn hold up all bytes while their executor is cut off.
type cutListener struct {
	net.Listener
	e *executor
}

func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cutConn{conn, l.e}
	l.e.mu.Lock()
	l.e.conns[c] = true
	l.e.mu.Unlock()
	return c, nil
}

type cutConn struct {
	net.Conn
	e *executor
}

func (c *cutConn) blocked() bool {
	c.e.mu.Lock()
	cut := c.e.cut
	c.e.mu.Unlock()
	if cut == nil {
		return false
	}
	<-cut
	return true
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	go func() {
		c.e.mu.Lock()
		delete(c.e.conns, c)
		c.e.mu.Unlock()
	}()
	return c.Conn.Close()
}

// leave drains the executor, which then leaves for good.
func (e *executor) leave(after time.Duration) {
	e.mu.Lock()
	e.leavesAt = time.Now().Add(after)
	e.beat()
	e.mu.Unlock()
	e.site.rec.log("executor %s is draining", e.name)
	time.Sleep(after)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		e.site.rec.ended(e, r, "terminated")
	}
	e.up = false
	e.runs = map[string]*run{}
	e.listener.Close()
	for c := range e.conns {
		c.Close()
	}
	e.site.store.put("keyed.servers", e.id, nil)
	e.site.rec.log("executor %s has left", e.name)
}

// restartBehindCut cuts the executor off for a while; it crashes behind the cut and starts
// again there.
func (e *executor) restartBehindCut(d time.Duration) {
	e.mu.Lock()
	cut := make(chan struct{})
	e.cut = cut
	e.mu.Unlock()
	e.site.rec.log("executor %s is cut off", e.name)
	begun := time.Now()
	time.Sleep(700 * time.Millisecond)
	e.mu.Lock()
	e.up = false
	for c := range e.conns {
		c.Close()
	}
	e.conns = map[net.Conn]bool{}
	id, runs := e.id, len(e.runs)
	e.mu.Unlock()
	e.site.rec.log("executor %s crashes behind the cut, with %d runs", e.name, runs)
	time.Sleep(3 * time.Second)
	e.mu.Lock()
	e.startAgain()
	e.mu.Unlock()
	time.AfterFunc(3*heartbeat-3*time.Second, func() { e.site.store.put("keyed.servers", id, nil) })
	time.Sleep(time.Until(begun.Add(d)))
	e.mu.Lock()
	e.cut = nil
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	close(cut)
	e.site.rec.log("executor %s is reached again", e.name)
}
