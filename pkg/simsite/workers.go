package simsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Behaviour describes how a task runs on the fake workers.
type Behaviour struct {
	Resources workload.Resources
	// Work is the run time at full speed.
	Work time.Duration
	// Gang is the number of tasks in the gang, or 0 for a task outside a gang.
	Gang int
	// Fails makes the task fail once its work is complete.
	Fails bool
	// Crashes makes the task crash its worker crashDelay after each start.
	Crashes bool
	// LongRunning makes the task run until it is stopped.
	LongRunning bool
	// BestEffort makes the task count, with its throttle percent, as load on the
	// latency-sensitive tasks of its worker.
	BestEffort bool
	// Latency returns the latency of a latency-sensitive task in milliseconds, given
	// the sum of the throttle percents of the best-effort tasks on its worker. It is
	// nil for other tasks.
	Latency func(bestEffortPercent int) float64
	// SlowedBy returns by which fraction of its time the task takes longer beside another one; nil
	// means not at all.
	SlowedBy func(other workload.TaskID) float64
}

// Fleet is an in-memory set of workers. It implements backend.Orders and
// backend.Adviser, and records violations of the scheduler's guarantees. Its
// methods are safe for concurrent use.
type Fleet struct {
	// BehaviourOf returns the behaviour of a task.
	BehaviourOf func(id workload.TaskID) Behaviour
	// StopTime is the time from a stop order to the end of the run.
	StopTime time.Duration
	// GangStartTimeout bounds how long a run waits for the rest of its gang.
	GangStartTimeout time.Duration
	// EndsPerListing is how many ended runs a listing holds at most; 0 means no limit.
	EndsPerListing int
	// Prerequisites lists the tasks that must be done before a unit may start.
	Prerequisites map[workload.UnitID][]workload.TaskID
	// Tickets are the tickets that starts need, by unit and worker. Units without an
	// entry need none.
	Tickets map[workload.UnitID]map[string]string
	// OnStart, if not nil, is called for each start with the fleet's lock held, so
	// it must not call methods of the fleet or its workers.
	OnStart func(w *Worker, id workload.TaskID)
	// OnNewID, if not nil, makes crashed workers come back under a new ID at the same
	// address; orders to the old one are refused. It is called as OnStart.
	OnNewID func(old, new *Worker)

	mu      sync.Mutex
	workers map[string]*Worker
	gangs   map[gangKey][]*activeRun
	done    map[workload.TaskID]bool
	// unreportedDone holds finished tasks whose end may never reach a leader, since
	// the worker restarted or its lease ended before the end was acknowledged.
	unreportedDone map[workload.TaskID]bool
	violations     []string
	starts         int
	// crashes counts the workers that each task has crashed, startsBeyond its starts after
	// it had crashed maxCrashes workers.
	crashes, startsBeyond map[workload.TaskID]int
	// down is the number of crashed workers that are not back, maxDown the highest so far.
	down, maxDown int
}

type gangKey struct {
	unit workload.UnitID
	run  int64
}

// Worker is one worker of a fleet. Once the fleet is in use, its exported fields must
// be changed only within Fleet.Update. Its unexported methods, except clock, must be
// called with the fleet's lock held.
type Worker struct {
	Info catalog.Worker
	// Silent makes the worker neither execute orders nor reply.
	Silent bool
	// CutOff makes the worker unreachable for orders, while it still reaches the log; it
	// may crash and come back meanwhile.
	CutOff bool
	// TasksHang stops the progress of all runs; TasksFail makes all runs fail.
	TasksHang, TasksFail bool
	// Slowdown is the factor by which work takes longer; 0 means 1.
	Slowdown float64
	// Replaced makes another incarnation reply to orders, although the catalog still
	// lists the worker.
	Replaced bool
	// LosesStartReplies makes the worker execute starts without replying, LosesListings
	// renewals.
	LosesStartReplies, LosesListings bool
	// ListingDelay is by how much replies to renewals are late.
	ListingDelay time.Duration
	// backAt is when a crashed worker comes back; zero if it has not crashed.
	backAt time.Time
	// earlier are capacities that the worker has had lately.
	earlier []earlierCapacity

	fleet      *Fleet
	epoch      time.Time // zero of the worker's clock
	fence      int64     // highest term of an order
	runs       map[workload.TaskID]*activeRun
	endedUpTo  map[workload.TaskID]int64 // highest number of an ended or stopped run
	ended      []backend.EndedRun        // ends that no renewal has acknowledged
	endCount   int64
	leaseUntil int64         // in milliseconds on the worker's clock
	changed    chan struct{} // closed when a run ends
}

// earlierCapacity is a capacity that starts may still assume until a time.
type earlierCapacity struct {
	capacity workload.Resources
	until    time.Time
}

// capacityNoticeTime is for how long starts may assume the capacity that a worker had before
// it changed: the platform's contact time and one heartbeat interval.
const capacityNoticeTime = 4500 * time.Millisecond

// SetCapacity changes the worker's capacity; its runs go on even if they exceed it. It must
// be called within Fleet.Update.
func (w *Worker) SetCapacity(c workload.Resources) {
	w.earlier = append(w.earlier, earlierCapacity{w.Info.Capacity, time.Now().Add(capacityNoticeTime)})
	w.Info.Capacity = c
}

// fits reports whether the worker's capacity, or the largest of the last capacityNoticeTime,
// suffices for used.
func (w *Worker) fits(used workload.Resources) bool {
	limit, now := w.Info.Capacity, time.Now()
	for _, e := range w.earlier {
		if now.Before(e.until) {
			limit = workload.Resources{MilliCores: max(limit.MilliCores, e.capacity.MilliCores), MemoryMB: max(limit.MemoryMB, e.capacity.MemoryMB), Accelerators: max(limit.Accelerators, e.capacity.Accelerators)}
		}
	}
	return used.Fits(limit)
}

type activeRun struct {
	id              backend.RunID
	worker          *Worker
	behaviour       Behaviour
	orderedAt       time.Time
	startedAt       time.Time // reset when the last member of the gang starts
	working         bool
	workComplete    bool
	stopAt          time.Time
	workDone        time.Duration
	progressPercent int
	throttlePercent int
}

// tickInterval is the interval at which the state of all workers is advanced.
const tickInterval = 10 * time.Millisecond

// NewFleet returns a fleet without workers, whose runs advance until ctx ends.
func NewFleet(ctx context.Context, behaviourOf func(workload.TaskID) Behaviour) *Fleet {
	f := &Fleet{BehaviourOf: behaviourOf, StopTime: 900 * time.Millisecond, GangStartTimeout: 3 * time.Second, workers: map[string]*Worker{},
		Prerequisites: map[workload.UnitID][]workload.TaskID{}, gangs: map[gangKey][]*activeRun{}, crashes: map[workload.TaskID]int{}, startsBeyond: map[workload.TaskID]int{}, done: map[workload.TaskID]bool{}, unreportedDone: map[workload.TaskID]bool{}}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(tickInterval)
			f.advance()
		}
	}()
	return f
}

// Add adds a worker whose clock reads one hour.
func (f *Fleet) Add(info catalog.Worker) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{Info: info, fleet: f, epoch: time.Now().Add(-time.Hour), runs: map[workload.TaskID]*activeRun{}, endedUpTo: map[workload.TaskID]int64{}, changed: make(chan struct{})}
	f.workers[info.ID] = w
	return w
}

// Update calls change with the fleet's lock held, so that it can change workers.
func (f *Fleet) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Violations returns the violations of the scheduler's guarantees recorded so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns the number of runs started so far.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns the number of active runs on the worker.
func (w *Worker) Running() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.runs)
}

// KeyedRecord returns the record that the worker publishes about itself, with its
// clock. It panics if Info cannot be encoded.
func (w *Worker) KeyedRecord() backend.KeyedRecord {
	info := w.Info
	info.ClockMS = w.clock()
	data, err := json.Marshal(info)
	if err != nil {
		panic(err)
	}
	return backend.KeyedRecord{Key: info.ID, Value: data}
}

// DecodeWorker decodes what KeyedRecord encodes.
func DecodeWorker(r backend.KeyedRecord) (catalog.Worker, error) {
	var w catalog.Worker
	err := json.Unmarshal(r.Value, &w)
	return w, err
}

// Clock returns the reading of the worker's clock in milliseconds.
func (w *Worker) Clock() int64 { return w.clock() }

func (w *Worker) clock() int64 { return time.Since(w.epoch).Milliseconds() }

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// orderLatency is the duration of an order.
const orderLatency = 2 * time.Millisecond

var errNoReply = errors.New("worker did not reply")

// errCrashed is the result of calls to a worker that has crashed and is not back.
var errCrashed = &backend.OrderError{Kind: backend.OrderUnanswered, Broken: true, Cause: errors.New("connection refused")}

// beginOrder finds the worker that an order is for and checks the order's term. If
// it succeeds, it returns with mu held. For an unknown or silent worker, it blocks
// until ctx ends.
func (f *Fleet) beginOrder(ctx context.Context, ref backend.WorkerRef, term int64) (*Worker, error) {
	time.Sleep(orderLatency)
	f.mu.Lock()
	w := f.workers[ref.ID]
	if w != nil && !w.CutOff && !w.backAt.IsZero() {
		f.mu.Unlock()
		return nil, errCrashed
	}
	if w == nil || w.CutOff || w.Silent {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, &backend.OrderError{Kind: backend.OrderUnanswered, Cause: errNoReply}
	}
	if w.Replaced {
		f.mu.Unlock()
		return nil, &backend.OrderError{Kind: backend.OrderWrongIncarnation}
	}
	if term < w.fence {
		f.mu.Unlock()
		return nil, &backend.OrderError{Kind: backend.OrderFenced}
	}
	w.fence = term
	return w, nil
}

// Start implements backend.Orders.
func (f *Fleet) Start(ctx context.Context, ref backend.WorkerRef, o backend.StartOrder) (int64, error) {
	w, err := f.beginOrder(ctx, ref, o.Term)
	if err != nil {
		return 0, err
	}
	err = w.start(o)
	replyLost := w.LosesStartReplies
	clock := w.clock()
	f.mu.Unlock()
	if replyLost {
		<-ctx.Done()
		return 0, &backend.OrderError{Kind: backend.OrderUnanswered, Cause: errNoReply}
	}
	return clock, err
}

func (w *Worker) start(o backend.StartOrder) error {
	f, id := w.fleet, o.Run.Task
	if o.LeaseUntilMS <= w.clock() {
		return &backend.OrderError{Kind: backend.OrderLeaseExpired}
	}
	w.extend(o.LeaseUntilMS)
	if r := w.runs[id]; r != nil && r.id == o.Run {
		return nil
	}
	if tickets := f.Tickets[id.UnitID]; tickets != nil && (tickets[w.Info.ID] == "" || tickets[w.Info.ID] != o.Ticket) {
		f.recordViolation("task %v started on %s with the wrong ticket %q", id, w.Info.ID, o.Ticket)
		return &backend.OrderError{Kind: backend.OrderNoTicket}
	}
	if o.Run.Number <= w.endedUpTo[id] {
		return &backend.OrderError{Kind: backend.OrderStale}
	}
	b := f.BehaviourOf(id)
	used := b.Resources
	for _, r := range w.runs {
		used = used.Add(r.behaviour.Resources)
	}
	if !w.fits(used) {
		f.recordViolation("worker %s exceeds its capacity with task %v", w.Info.ID, id)
	}
	for _, other := range f.workers {
		if r := other.runs[id]; r != nil {
			f.recordViolation("task %v runs on both %s and %s", id, other.Info.ID, w.Info.ID)
		}
	}
	if f.done[id] && !f.unreportedDone[id] {
		f.recordViolation("task %v started again after it was done", id)
	}
	for _, prerequisite := range f.Prerequisites[id.UnitID] {
		if !f.done[prerequisite] {
			f.recordViolation("task %v started before its prerequisite %v was done", id, prerequisite)
		}
	}
	f.starts++
	if f.crashes[id] >= maxCrashes {
		if f.startsBeyond[id]++; f.startsBeyond[id] >= maxStartsBeyond {
			f.recordViolation("task %v started %d times after it had crashed %d workers", id, f.startsBeyond[id], maxCrashes)
		}
	}
	if f.OnStart != nil {
		f.OnStart(w, id)
	}
	r := &activeRun{id: o.Run, worker: w, behaviour: b, orderedAt: time.Now(), startedAt: time.Now(), working: b.Gang == 0, throttlePercent: 100}
	w.runs[id] = r
	if b.Gang > 0 {
		key := gangKey{id.UnitID, o.Run.Number}
		f.gangs[key] = append(f.gangs[key], r)
		if len(f.gangs[key]) == b.Gang {
			for _, m := range f.gangs[key] {
				m.working, m.startedAt = true, time.Now()
			}
		}
	}
	return nil
}

// Advise implements backend.Adviser.
func (f *Fleet) Advise(_ context.Context, unit workload.UnitID, workers []string) (backend.Advice, error) {
	time.Sleep(100 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	advice := backend.Advice{Tickets: map[string]string{}, ValidFor: 3 * time.Second}
	for _, id := range workers {
		if ticket := f.Tickets[unit][id]; ticket != "" {
			advice.Tickets[id] = ticket
		}
	}
	return advice, nil
}

// maxLease bounds how far ahead an order can set the end of a worker's lease.
const maxLease = 6 * time.Second

// extend sets the end of the lease to untilMS, but at most maxLease from now and
// never earlier than before.
func (w *Worker) extend(untilMS int64) {
	w.leaseUntil = max(w.leaseUntil, min(untilMS, w.clock()+maxLease.Milliseconds()))
}

// load returns the load that a listing reports for a run: the latency of a
// latency-sensitive task in milliseconds, the CPU request of any other.
func (w *Worker) load(r *activeRun) float64 {
	if r.behaviour.Latency == nil {
		return float64(r.behaviour.Resources.MilliCores)
	}
	bestEffortPercent := 0
	for _, other := range w.runs {
		if other.behaviour.BestEffort {
			bestEffortPercent += other.throttlePercent
		}
	}
	return r.behaviour.Latency(bestEffortPercent)
}

// WorstLatency returns the highest latency of the worker's latency-sensitive tasks
// in milliseconds, or 0 if there are none.
func (w *Worker) WorstLatency() float64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	worst := 0.0
	for _, r := range w.runs {
		if r.behaviour.Latency != nil {
			worst = max(worst, w.load(r))
		}
	}
	return worst
}

// Throttle implements backend.Orders.
func (f *Fleet) Throttle(ctx context.Context, ref backend.WorkerRef, run backend.RunID, percent int, term int64) (int64, error) {
	w, err := f.beginOrder(ctx, ref, term)
	if err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	if r := w.runs[run.Task]; r != nil && r.id == run {
		r.throttlePercent = percent
	}
	return w.clock(), nil
}

// Stop implements backend.Orders.
func (f *Fleet) Stop(ctx context.Context, ref backend.WorkerRef, run backend.RunID, term int64) (int64, error) {
	w, err := f.beginOrder(ctx, ref, term)
	if err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	w.endedUpTo[run.Task] = max(w.endedUpTo[run.Task], run.Number)
	if r := w.runs[run.Task]; r != nil && r.id.Number <= run.Number && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(f.StopTime)
	}
	return w.clock(), nil
}

// Renew implements backend.Orders.
func (f *Fleet) Renew(ctx context.Context, ref backend.WorkerRef, o backend.RenewOrder) (backend.Listing, error) {
	w, err := f.beginOrder(ctx, ref, o.Term)
	if err != nil {
		return backend.Listing{}, err
	}
	w.extend(o.LeaseUntilMS)
	w.ended = slices.DeleteFunc(w.ended, func(e backend.EndedRun) bool { return e.Number <= o.SeenUpTo })
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		}
		f.mu.Lock()
	}
	if !w.CutOff && !w.backAt.IsZero() {
		f.mu.Unlock()
		return backend.Listing{}, errCrashed
	}
	if w.CutOff || w.Silent || w.LosesListings {
		f.mu.Unlock()
		<-ctx.Done()
		return backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered, Cause: errNoReply}
	}
	reply := w.listing()
	delay := w.ListingDelay
	f.mu.Unlock()
	time.Sleep(delay)
	if err := ctx.Err(); err != nil {
		return backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered, Cause: err}
	}
	return reply, nil
}

// listing returns the worker's present listing.
func (w *Worker) listing() backend.Listing {
	f := w.fleet
	reply := backend.Listing{ClockMS: w.clock(), IncarnationStartMS: w.Info.StartedMS, Ended: slices.Clone(w.ended)}
	if limit := f.EndsPerListing; limit > 0 && len(reply.Ended) >= limit {
		reply.Ended, reply.MoreEnds = reply.Ended[:limit], true
	}
	for _, r := range w.runs {
		reply.Active = append(reply.Active, backend.ActiveRun{Run: r.id, Percent: r.progressPercent, Load: w.load(r)})
	}
	return reply
}

// advance applies one tick of progress to all runs, and ends those that are due.
func (f *Fleet) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, w := range f.workers {
		if !w.backAt.IsZero() && !now.Before(w.backAt) {
			w.comeBack()
		}
		if w.clock() > w.leaseUntil {
			w.markUnreported()
		}
		for _, r := range w.runs {
			if r.behaviour.LongRunning {
				r.progressPercent = 100
			} else if r.working && !w.TasksHang && r.behaviour.Work > 0 {
				r.workDone += time.Duration(float64(tickInterval) / max(1, w.Slowdown) * float64(r.throttlePercent) / 100 / w.disturbance(r))
				r.progressPercent = min(100, int(100*r.workDone/r.behaviour.Work))
			}
			switch {
			case r.behaviour.Crashes && now.Sub(r.orderedAt) >= crashDelay:
				f.crashes[r.id.Task]++
				w.crash()
			case w.clock() > w.leaseUntil:
				w.end(r, backend.OutcomeLeaseExpired)
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				w.end(r, backend.OutcomeStopped)
			case r.working && w.TasksFail, r.working && r.behaviour.Fails && r.progressPercent >= 100:
				w.end(r, backend.OutcomeFailed)
			case !r.working && now.Sub(r.startedAt) > f.GangStartTimeout:
				w.end(r, backend.OutcomeGangIncomplete)
				f.recordViolation("task %v waited for its gang for longer than the gang start timeout", r.id.Task)
			case r.behaviour.LongRunning:
			case r.working && r.progressPercent >= 100 && r.behaviour.Gang == 0:
				w.end(r, backend.OutcomeDone)
			case r.working && r.progressPercent >= 100 && !r.workComplete:
				r.workComplete = true
				f.finishGang(r)
			}
		}
	}
}

// disturbance returns the factor by which a run is slowed down by the others on its worker.
func (w *Worker) disturbance(r *activeRun) float64 {
	factor := 1.0
	if r.behaviour.SlowedBy != nil {
		for id, other := range w.runs {
			if other != r && other.working {
				factor += r.behaviour.SlowedBy(id)
			}
		}
	}
	return factor
}

// finishGang ends the runs of a gang as done if the work of all of them is complete.
func (f *Fleet) finishGang(r *activeRun) {
	members := f.gangs[gangKey{r.id.Task.UnitID, r.id.Number}]
	for _, m := range members {
		if !m.workComplete {
			return
		}
	}
	for _, m := range members {
		m.worker.end(m, backend.OutcomeDone)
	}
}

// end ends a run. Unless the run is done, this breaks its gang: the runs of all
// other members end too.
func (w *Worker) end(r *activeRun, outcome backend.Outcome) {
	id := r.id.Task
	if w.runs[id] != r {
		return
	}
	delete(w.runs, id)
	w.endedUpTo[id] = max(w.endedUpTo[id], r.id.Number)
	w.endCount++
	w.ended = append(w.ended, backend.EndedRun{Number: w.endCount, Run: r.id, Outcome: outcome})
	if outcome == backend.OutcomeDone {
		w.fleet.done[id] = true
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if r.behaviour.Gang > 0 && outcome != backend.OutcomeDone {
		for _, m := range w.fleet.gangs[gangKey{id.UnitID, r.id.Number}] {
			if m != r {
				m.worker.end(m, backend.OutcomeGangBroken)
			}
		}
	}
}

// Done reports whether a task has finished its work.
func (f *Fleet) Done(id workload.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[id]
}

// markUnreported notes that unacknowledged ends may never be reported, so that
// their tasks may start again.
func (w *Worker) markUnreported() {
	for _, e := range w.ended {
		w.fleet.unreportedDone[e.Run.Task] = true
	}
}

// Restart replaces the worker by a new incarnation under the same ID, without runs,
// unacknowledged ends, lease or fence, and with its clock at zero.
func (w *Worker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.restart()
}

func (w *Worker) restart() {
	w.markUnreported()
	w.runs, w.endedUpTo, w.ended, w.endCount, w.leaseUntil, w.fence = map[workload.TaskID]*activeRun{}, map[workload.TaskID]int64{}, nil, 0, 0, 0
	w.epoch = time.Now()
	w.Info.StartedMS++
}

const (
	// crashDelay is how long after its start a task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// crashDowntime is how long a crashed worker is down.
	crashDowntime = 3 * time.Second
	// maxCrashes is how many workers a task may crash, and maxStartsBeyond how many more
	// starts after that violate the platform's rule.
	maxCrashes      = 3
	maxStartsBeyond = 3
)

// Crash makes the worker lose its runs and fall silent; it comes back after crashDowntime as
// another incarnation. It must be called within Fleet.Update.
func (w *Worker) Crash() { w.crash() }

func (w *Worker) crash() {
	if !w.backAt.IsZero() {
		return
	}
	w.Silent, w.backAt = true, time.Now().Add(crashDowntime)
	w.fleet.down++
	w.fleet.maxDown = max(w.fleet.maxDown, w.fleet.down)
	for _, r := range w.runs {
		for _, m := range w.fleet.gangs[gangKey{r.id.Task.UnitID, r.id.Number}] {
			if m.worker != w {
				m.worker.end(m, backend.OutcomeGangBroken)
			}
		}
	}
	clear(w.runs)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) comeBack() {
	f := w.fleet
	f.down--
	w.Silent, w.backAt = false, time.Time{}
	if f.OnNewID == nil {
		w.restart()
		return
	}
	w.markUnreported()
	w.ended, w.Replaced = nil, true
	info := w.Info
	info.ID, info.StartedMS = info.ID+"'", info.StartedMS+1
	next := &Worker{Info: info, CutOff: w.CutOff, fleet: f, epoch: time.Now(), runs: map[workload.TaskID]*activeRun{}, endedUpTo: map[workload.TaskID]int64{}, changed: make(chan struct{})}
	f.workers[info.ID] = next
	f.OnNewID(w, next)
}

// MaxDown returns the highest number of crashed workers that were down at once since the
// last call.
func (f *Fleet) MaxDown() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := f.maxDown
	f.maxDown = f.down
	return most
}

// Crashes returns how many workers a task has crashed.
func (f *Fleet) Crashes(id workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[id]
}

// IsRunning reports whether the worker runs a task. It must be called within
// Fleet.Update.
func (w *Worker) IsRunning(id workload.TaskID) bool { return w.runs[id] != nil }

// Tasks returns the tasks that run on the worker. It must be called within Fleet.Update.
func (w *Worker) Tasks() []workload.TaskID { return slices.Collect(maps.Keys(w.runs)) }
