package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// TaskPayload is what the stand-in understands of a job's payload.
type TaskPayload struct {
	// WorkSeconds is how long the task takes at full speed.
	WorkSeconds float64 `json:"work_seconds"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
}

// WorkerFaults are the faults of a worker. The zero value has none.
type WorkerFaults struct {
	// Unreachable makes every call fail; tasks keep running until their leases lapse.
	Unreachable bool `json:"unreachable,omitempty"`
	// FailTasks makes every task fail as soon as it starts.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// LoseReplies makes every call fail after it has taken effect.
	LoseReplies bool `json:"lose_replies,omitempty"`
	// LateStarts makes the worker accept starts after StartWithin, against its
	// contract. Tests prove with it that a late start is found.
	LateStarts bool `json:"late_starts,omitempty"`
}

// TaskEvent is one change of a task, for the checks of a test.
type TaskEvent struct {
	At     time.Time
	Worker string
	Task   backend.TaskID
	Phase  backend.TaskPhase
}

// Worker runs tasks under leases. It implements backend.Worker.
type Worker struct {
	vm backend.VM
	// observe, if set, is called with each change of a task, under the lock.
	observe func(TaskEvent)

	mu     sync.Mutex
	tasks  map[backend.TaskID]*task
	fences map[string]int64
	faults WorkerFaults
	dead   bool
	used   api.Resources
	// clockRate is how fast the worker's clock runs against true time.
	clockRate float64
}

type task struct {
	reservation backend.Reservation
	status      backend.TaskStatus
	payload     TaskPayload
	startBy     time.Time
	lease       time.Time
	// done and since give the work done up to since, in seconds.
	done  float64
	since time.Time
	speed float64
}

// NewWorker returns a worker. observe may be nil.
func NewWorker(vm backend.VM, observe func(TaskEvent)) *Worker {
	if observe == nil {
		observe = func(TaskEvent) {}
	}
	return &Worker{vm: vm, observe: observe, tasks: map[backend.TaskID]*task{}, fences: map[string]int64{}, clockRate: 1}
}

// SetClockRate sets how fast the worker's clock runs against true time: at 1.01
// it runs fast, and a lease of 10 s lapses after 9.9 s. Leases granted before
// stay as they are.
func (w *Worker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockRate = rate
}

// onClock returns the true time that passes while the worker's clock counts d.
func (w *Worker) onClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

// SetFaults puts faults in force.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Kill ends the worker for good: its tasks stop, and no call is answered.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	for _, t := range w.tasks {
		if t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning {
			w.setPhase(t, backend.TaskStopped, now)
		}
	}
	w.dead = true
}

// Used returns what live tasks hold on the worker.
func (w *Worker) Used() api.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	return w.used
}

// Running returns the tasks that run now.
func (w *Worker) Running() []backend.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	var out []backend.TaskID
	for id, t := range w.tasks {
		if t.status.Phase == backend.TaskRunning {
			out = append(out, id)
		}
	}
	return out
}

func unreachable() error {
	return &api.Error{Code: api.CodeUnavailable, Message: "the worker does not answer", Verdict: api.MayHaveRun}
}

// enter begins a call: it fails if the worker is unreachable, and settles what
// time has brought about.
func (w *Worker) enter(ctx context.Context) (time.Time, error) {
	if w.faults.Unreachable || w.dead {
		return time.Time{}, unreachable()
	}
	now := time.Now()
	w.settle(now)
	return now, ctx.Err()
}

// leave ends a call that took effect.
func (w *Worker) leave() error {
	if w.faults.LoseReplies {
		return unreachable()
	}
	return nil
}

// settle brings every task up to now: work finishes and leases lapse.
func (w *Worker) settle(now time.Time) {
	for _, t := range w.tasks {
		w.settleTask(t, now)
	}
}

func (w *Worker) settleTask(t *task, now time.Time) {
	if t.status.Phase == backend.TaskReserved && now.After(t.lease) {
		w.setPhase(t, backend.TaskStopped, t.lease)
	}
	if t.status.Phase != backend.TaskRunning {
		return
	}
	until := now
	if t.lease.Before(until) {
		until = t.lease
	}
	left := (t.payload.WorkSeconds - t.done) / t.speed
	finish := t.since.Add(time.Duration(left * float64(time.Second)))
	if !finish.After(until) {
		t.done, t.since = t.payload.WorkSeconds, finish
		w.finish(t, finish)
		return
	}
	t.done += until.Sub(t.since).Seconds() * t.speed
	t.since = until
	if until.Equal(t.lease) && now.After(t.lease) {
		w.setPhase(t, backend.TaskStopped, until)
	}
}

func (w *Worker) finish(t *task, at time.Time) {
	if t.payload.Fail || w.faults.FailTasks {
		w.setPhase(t, backend.TaskFailed, at)
		return
	}
	t.status.Result = fmt.Sprintf("task %d done on %s", t.status.Task.Index, w.vm.ID)
	w.setPhase(t, backend.TaskDone, at)
}

// setPhase changes a task's phase and gives back its resources at its end.
func (w *Worker) setPhase(t *task, phase backend.TaskPhase, at time.Time) {
	wasLive := t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning
	if wasLive && phase != backend.TaskRunning {
		w.used = w.used.Sub(t.reservation.Request)
	}
	t.status.Phase = phase
	w.observe(TaskEvent{at, w.vm.ID, t.status.Task, phase})
}

// Reserve implements backend.Worker.
func (w *Worker) Reserve(ctx context.Context, r backend.Reservation) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(ctx)
	if err != nil {
		return err
	}
	if err := w.checkFence(r.Task); err != nil {
		return err
	}
	if t := w.tasks[r.Task]; t != nil && t.status.Phase != backend.TaskReserved {
		return api.Errorf(api.CodeConflict, "task %v is %s", r.Task, t.status.Phase)
	} else if t == nil {
		if !w.used.Add(r.Request).Fits(w.vm.Capacity) {
			return api.Errorf(api.CodeConflict, "worker %s has too little free", w.vm.ID)
		}
		w.reserve(r, now)
	}
	t := w.tasks[r.Task]
	t.startBy, t.lease = now.Add(w.onClock(r.StartWithin)), now.Add(w.onClock(r.LeaseTTL))
	return w.leave()
}

func (w *Worker) reserve(r backend.Reservation, now time.Time) {
	t := &task{reservation: r, speed: 1}
	t.status = backend.TaskStatus{Task: r.Task, Phase: backend.TaskReserved}
	// A payload that is no JSON object of ours is work of no length.
	_ = json.Unmarshal([]byte(r.Payload), &t.payload)
	if r.Resume != "" {
		fmt.Sscanf(r.Resume, "done=%g", &t.done)
	}
	w.tasks[r.Task] = t
	w.used = w.used.Add(r.Request)
	w.observe(TaskEvent{now, w.vm.ID, r.Task, backend.TaskReserved})
}

// checkFence refuses a task that a stop or a newer attempt has fenced.
func (w *Worker) checkFence(id backend.TaskID) error {
	if fence := w.fences[id.Job]; id.Token <= fence {
		return api.Errorf(api.CodeConflict, "job %s is fenced at token %d", id.Job, fence)
	}
	return nil
}

// Start implements backend.Worker.
func (w *Worker) Start(ctx context.Context, id backend.TaskID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(ctx)
	if err != nil {
		return err
	}
	t := w.tasks[id]
	switch {
	case t == nil:
		return api.Errorf(api.CodeNotFound, "task %v is not reserved", id)
	case t.status.Phase == backend.TaskRunning || t.status.Phase == backend.TaskDone:
		return w.leave()
	case t.status.Phase != backend.TaskReserved:
		return api.Errorf(api.CodeConflict, "task %v is %s", id, t.status.Phase)
	case now.After(t.startBy) && !w.faults.LateStarts:
		return api.Errorf(api.CodeConflict, "task %v was reserved too long ago", id)
	}
	t.status.Ran, t.since = true, now
	w.setPhase(t, backend.TaskRunning, now)
	if w.faults.FailTasks {
		w.finish(t, now)
	}
	return w.leave()
}

// Renew implements backend.Worker.
func (w *Worker) Renew(ctx context.Context, ids []backend.TaskID, ttl time.Duration) ([]backend.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]backend.TaskStatus, len(ids))
	for i, id := range ids {
		t := w.tasks[id]
		if t == nil {
			out[i] = backend.TaskStatus{Task: id, Phase: backend.TaskUnknown}
			continue
		}
		if t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning {
			t.extend(now.Add(w.onClock(ttl)))
		}
		out[i] = t.status
	}
	return out, w.leave()
}

// extend puts off the end of the lease; it never brings it forward.
func (t *task) extend(until time.Time) {
	if until.After(t.lease) {
		t.lease = until
	}
}

// Stop implements backend.Worker.
func (w *Worker) Stop(ctx context.Context, id backend.TaskID, checkpoint bool) (backend.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.enter(ctx)
	if err != nil {
		return backend.TaskStatus{}, err
	}
	w.fences[id.Job] = max(w.fences[id.Job], id.Token)
	t := w.tasks[id]
	if t == nil {
		return backend.TaskStatus{Task: id, Phase: backend.TaskUnknown}, w.leave()
	}
	if t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning {
		w.setPhase(t, backend.TaskStopped, now)
	}
	if checkpoint && t.status.Checkpoint == "" && t.status.Phase == backend.TaskStopped {
		t.status.Checkpoint = fmt.Sprintf("done=%g", t.done)
	}
	return t.status, w.leave()
}

// Throttle implements backend.Worker.
func (w *Worker) Throttle(ctx context.Context, id backend.TaskID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.enter(ctx); err != nil {
		return err
	}
	t := w.tasks[id]
	if t == nil {
		return api.Errorf(api.CodeNotFound, "task %v is unknown", id)
	}
	if percent < 1 || percent > 100 {
		return api.FieldErrorf("percent", "%d is not between 1 and 100", percent)
	}
	t.speed = float64(percent) / 100
	return w.leave()
}

// Handler serves the worker over HTTP, and POST /faults.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, "POST /reserve", func(ctx context.Context, r backend.Reservation) (struct{}, error) {
		return struct{}{}, w.Reserve(ctx, r)
	})
	handle(mux, "POST /start", func(ctx context.Context, id backend.TaskID) (struct{}, error) {
		return struct{}{}, w.Start(ctx, id)
	})
	mux.HandleFunc("POST /renew", w.serveRenew(newRenewalHandles()))
	handle(mux, "POST /stop", func(ctx context.Context, c backend.StopCall) (backend.TaskStatus, error) {
		return w.Stop(ctx, c.Task, c.Checkpoint)
	})
	handle(mux, "POST /throttle", func(ctx context.Context, c backend.ThrottleCall) (struct{}, error) {
		return struct{}{}, w.Throttle(ctx, c.Task, c.Percent)
	})
	handle(mux, "POST /faults", func(_ context.Context, f WorkerFaults) (struct{}, error) {
		w.SetFaults(f)
		return struct{}{}, nil
	})
	return mux
}

// handle serves fn at pattern with JSON bodies.
func handle[In, Out any](mux *http.ServeMux, pattern string, fn func(context.Context, In) (Out, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decode(r, &in); err != nil {
			reply(w, nil, err)
			return
		}
		out, err := fn(r.Context(), in)
		reply(w, out, err)
	})
}

// LocalWorkers returns workers in this process by address. It implements backend.Workers.
type LocalWorkers map[string]*Worker

// Worker implements backend.Workers. An unknown address gives an unreachable worker.
func (l LocalWorkers) Worker(address string) backend.Worker {
	if w := l[address]; w != nil {
		return w
	}
	w := NewWorker(backend.VM{}, nil)
	w.SetFaults(WorkerFaults{Unreachable: true})
	return w
}
