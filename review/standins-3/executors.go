//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment, as in the settings of DEPLOY.md.
const (
	holdMax  = 6 * time.Second
	stopTime = 300 * time.Millisecond
	gangTime = 3 * time.Second
	beat     = 1500 * time.Millisecond
	stepTime = 10 * time.Millisecond
	// lateBy is how late an executor carries out an order that it has left unanswered.
	lateBy = 5 * time.Second
)

// behaviour is how the tasks of a job run, by the job's ID.
type behaviour struct {
	work time.Duration
	// deadlyAfter, unless it is 0, is how long after their start the tasks crash their executor.
	deadlyAfter time.Duration
}

type run struct {
	task    string
	number  int64
	began   time.Time
	stopAt  time.Time
	percent int
}

// executor is one executor, through all of its lives. Its fields are guarded by fleet.mu.
type executor struct {
	fleet      *fleet
	id, zone   string
	rack, addr string
	listener   net.Listener
	server     *http.Server

	up        bool
	born      int64
	epoch     time.Time
	fence     int64
	runs      map[string]*run
	endedUpTo map[string]int64
	ended     [][]any
	endCount  int64
	leaseEnd  int64
	changed   chan struct{}
	// rate is that of the executor's clock.
	rate float64
	// lateUntil is until when the executor leaves orders unanswered and carries them out late.
	lateUntil time.Time
}

// fleet is all executors, and what they have seen.
type fleet struct {
	mu        sync.Mutex
	record    *record
	store     *store
	service   string
	executors []*executor
	jobs      map[string]behaviour
	// downTime is how long an executor is down after a crash.
	downTime time.Duration
	// lateJob is the job whose first start order makes its executor leave orders unanswered for
	// lateFor. ordered and unanswered count the orders to all executors in that time.
	lateJob             string
	lateFor             time.Duration
	lateUntil           time.Time
	ordered, unanswered int
	// answerTime is how long an order takes, and crossZone how much longer it does in other zones
	// than the leader's.
	answerTime, crossZone time.Duration
	// starts and crashes count by task; finished holds the tasks that have ended done.
	starts, crashes map[string]int
	// startsAfter counts the starts of a task after three executors have crashed under it.
	startsAfter map[string]int
	finished    map[string]bool
	// twice lists the starts of tasks that were at work on another executor.
	twice []string
	// leavesUnanswered, unless it is nil, is asked at each start order, with mu held, whether the
	// executor leaves it unanswered, to carry it out later.
	leavesUnanswered func(e *executor, o order) bool
}

func newFleet(s *store, rec *record, count int) *fleet {
	f := &fleet{store: s, record: rec, service: "desk", jobs: map[string]behaviour{}, downTime: 3 * time.Second, starts: map[string]int{}, crashes: map[string]int{}, startsAfter: map[string]int{}, finished: map[string]bool{}}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range count {
		e := &executor{fleet: f, id: fmt.Sprintf("i-%07d%c", i/26, 'a'+i%26), zone: zones[i%3], rack: fmt.Sprintf("r1-%d", 1+i/8), rate: 1}
		f.executors = append(f.executors, e)
		f.mu.Lock()
		e.begin(local + ":0")
		f.mu.Unlock()
	}
	go f.beats()
	go f.steps()
	return f
}

// begin starts a life of the executor at an address. fleet.mu must be held.
func (e *executor) begin(addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("executor: %v", err)
	}
	e.listener, e.addr = l, l.Addr().String()
	e.up, e.born, e.epoch = true, time.Now().UnixMilli(), time.Now()
	e.fence, e.runs, e.endedUpTo, e.ended, e.endCount, e.leaseEnd = 0, map[string]*run{}, map[string]int64{}, nil, 0, 0
	e.changed = make(chan struct{})
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	e.publish()
}

// crash ends the executor's life; it starts again under its ID after downTime. fleet.mu must be held.
func (e *executor) crash() {
	f := e.fleet
	for task := range e.runs {
		f.record.line("executor %s: run of %s ends with the crash", e.id, task)
	}
	e.up, e.runs = false, map[string]*run{}
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	go server.Close()
	time.AfterFunc(f.downTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.begin(e.addr)
		f.record.line("executor %s: starts again, born %d", e.id, e.born)
	})
	// The platform removes the entry after three beats of silence.
	born := e.born
	time.AfterFunc(3*beat, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !e.up && e.born == born {
			f.store.put(serversTopic, e.id, nil)
		}
	})
}

func (e *executor) clock() int64 {
	return 1000 + int64(e.rate*float64(time.Since(e.epoch).Milliseconds()))
}

// publish writes the executor's entry. fleet.mu must be held.
func (e *executor) publish() {
	e.fleet.store.put(serversTopic, e.id, map[string]any{"Service": e.fleet.service, "Addr": e.addr, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": 64000, "MemMb": 262144, "Gpu": 8}, "Labels": []string{"a", e.rack}, "ClockMs": e.clock(), "Seq": time.Since(e.epoch) / beat, "born": e.born})
}

func (f *fleet) beats() {
	for {
		time.Sleep(beat)
		f.mu.Lock()
		for _, e := range f.executors {
			if e.up {
				e.publish()
			}
		}
		f.mu.Unlock()
	}
}

func (f *fleet) steps() {
	for {
		time.Sleep(stepTime)
		f.mu.Lock()
		for _, e := range f.executors {
			if e.up {
				e.step(time.Now())
			}
		}
		f.mu.Unlock()
	}
}

func (e *executor) step(now time.Time) {
	f := e.fleet
	for _, r := range e.runs {
		b := f.jobs[jobOf(r.task)]
		r.percent = min(100, int(100*now.Sub(r.began)/max(b.work, 1)))
		switch {
		case b.deadlyAfter > 0 && now.Sub(r.began) >= b.deadlyAfter:
			f.crashes[r.task]++
			f.record.line("executor %s: crashes under %s, crash %d of the task", e.id, r.task, f.crashes[r.task])
			e.crash()
			return
		case e.clock() > e.leaseEnd:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.end(r, "stopped")
		case r.percent >= 100:
			f.finished[r.task] = true
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *run, how string) {
	e.fleet.record.line("executor %s: run %d of %s ends %s", e.id, r.number, r.task, how)
	delete(e.runs, r.task)
	e.endedUpTo[r.task] = max(e.endedUpTo[r.task], r.number)
	e.endCount++
	e.ended = append(e.ended, []any{e.endCount, r.task, r.number, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
}

func jobOf(task string) string { return task[:strings.Index(task, ".")] }

type order struct {
	Task, Spec               string
	Run, UntilMs, Fence      int64
	SeenUpto, WaitMs         int64
	Percent                  int
	Saved, Ticket, unusedEnd string
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	f := e.fleet
	time.Sleep(f.answerTime)
	if f.crossZone > 0 && current != nil {
		if n := current.leader(); n != nil && n.zone != e.zone {
			time.Sleep(f.crossZone)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Shallotpin-Expect-Instance") != e.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	now := time.Now()
	if r.URL.Path == "/api/run-start" && f.lateFor > 0 && jobOf(o.Task) == f.lateJob {
		f.lateUntil = now.Add(f.lateFor)
		e.lateUntil, f.lateFor = f.lateUntil, 0
	}
	if now.Before(f.lateUntil) {
		f.ordered++
	}
	if now.Before(e.lateUntil) {
		f.unanswered++
		e.carryOutLate(r.URL.Path, o)
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) {
		answer(w, http.StatusConflict, map[string]any{"ClockMs": e.clock(), "Reason": reason, "born": e.born})
	}
	if o.Fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		if f.leavesUnanswered != nil && f.leavesUnanswered(e, o) {
			f.record.line("executor %s: leaves the start order of run %d of %s unanswered", e.id, o.Run, o.Task)
			born := e.born
			f.mu.Unlock()
			time.Sleep(lateBy)
			f.mu.Lock()
			if e.up && e.born == born {
				f.record.line("executor %s: carries it out late: %q", e.id, e.start(o))
			}
			panic(http.ErrAbortHandler)
		}
		if reason := e.start(o); reason != "" {
			refuse(reason)
			return
		}
	case "/api/run-stop":
		e.stop(o)
	case "/api/pace":
	case "/api/hold":
		e.hold(o)
		if len(e.ended) == 0 && o.WaitMs > 0 {
			changed, born := e.changed, e.born
			f.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
			}
			f.mu.Lock()
			if !e.up || e.born != born {
				panic(http.ErrAbortHandler)
			}
		}
		running, ended := [][]any{}, [][]any{}
		for _, r := range e.runs {
			running = append(running, []any{r.task, r.number, "", r.percent, 1000})
		}
		ended = append(ended, e.ended...)
		answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born, "Running": running, "Ended": ended})
		return
	default:
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born})
}

// startLateBy and othersLateBy are how late orders are carried out that an executor leaves
// unanswered: 2 to 12 s.
const (
	startLateBy  = 6600 * time.Millisecond
	othersLateBy = 10 * time.Second
)

// carryOutLate carries an order out later, unless the executor has crashed by then. fleet.mu must
// be held.
func (e *executor) carryOutLate(path string, o order) {
	f, born, delay := e.fleet, e.born, othersLateBy
	if path == "/api/run-start" {
		delay = startLateBy
	}
	f.record.line("executor %s: leaves %s %s run %d unanswered", e.id, path, o.Task, o.Run)
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !e.up || e.born != born || o.Fence < e.fence {
			return
		}
		e.fence = o.Fence
		switch path {
		case "/api/run-start":
			reason := e.start(o)
			f.record.line("executor %s: carries out the start of run %d of %s %v late; UntilMs %d, its clock %d, refused: %q", e.id, o.Run, o.Task, delay, o.UntilMs, e.clock(), reason)
		case "/api/run-stop":
			e.stop(o)
		case "/api/hold":
			e.hold(o)
		}
	})
}

// stop stops a run, or keeps it from starting.
func (e *executor) stop(o order) {
	e.endedUpTo[o.Task] = max(e.endedUpTo[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		e.fleet.record.line("executor %s: told to stop run %d of %s", e.id, r.number, r.task)
	}
}

// hold extends the lease and forgets the ends that have been seen.
func (e *executor) hold(o order) {
	e.extend(o.UntilMs)
	for len(e.ended) > 0 && e.ended[0][0].(int64) <= o.SeenUpto {
		e.ended = e.ended[1:]
	}
}

// extend sets the end of the lease, which never shortens and is at most holdMax from now.
func (e *executor) extend(until int64) {
	e.leaseEnd = max(e.leaseEnd, min(until, e.clock()+holdMax.Milliseconds()))
}

// start starts a run; it returns the reason if it refuses to.
func (e *executor) start(o order) string {
	f := e.fleet
	if o.UntilMs <= e.clock() {
		return "late"
	}
	e.extend(o.UntilMs)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= e.endedUpTo[o.Task] {
		return "old"
	}
	f.starts[o.Task]++
	f.record.line("executor %s: starts run %d of %s, start %d of the task, epoch number %d", e.id, o.Run, o.Task, f.starts[o.Task], o.Fence)
	if f.crashes[o.Task] >= 3 {
		f.startsAfter[o.Task]++
	}
	for _, other := range f.executors {
		if r := other.runs[o.Task]; other != e && other.up && r != nil {
			f.twice = append(f.twice, o.Task)
			f.record.line("BROKEN: %s runs on %s (run %d, not told to stop: %v) and now on %s (run %d) too", o.Task, other.id, r.number, r.stopAt.IsZero(), e.id, o.Run)
		}
	}
	e.runs[o.Task] = &run{task: o.Task, number: o.Run, began: time.Now()}
	return ""
}
