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

// TaskPayload is the part of a job's payload that fake workers interpret.
type TaskPayload struct {
	// WorkSeconds is the run time of the task at full speed.
	WorkSeconds float64 `json:"work_seconds"`
	// Fail makes the task fail once its work is complete.
	Fail bool `json:"fail,omitempty"`
}

// WorkerFaults are the faults injected into a worker. The zero value has none.
type WorkerFaults struct {
	// Unreachable makes every call fail; tasks keep running until their leases end.
	Unreachable bool `json:"unreachable,omitempty"`
	// FailTasks makes every task fail as soon as it starts.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// LoseReplies makes every call take effect and then return an error.
	LoseReplies bool `json:"lose_replies,omitempty"`
	// LateStarts makes the worker accept starts after StartWithin, against its
	// contract. Tests use it to show that their checks find a late start.
	LateStarts bool `json:"late_starts,omitempty"`
}

// TaskEvent records that a task entered a phase.
type TaskEvent struct {
	At     time.Time
	Worker string
	Task   backend.TaskID
	Phase  backend.TaskPhase
}

// Worker is a fake worker that runs tasks under leases. It implements
// backend.Worker.
type Worker struct {
	vm backend.VM
	// observe is called with each change of a task, with mu held.
	observe func(TaskEvent)

	mu     sync.Mutex
	tasks  map[backend.TaskID]*task
	fences map[string]int64 // by job: tasks with this or a lower token are refused
	faults WorkerFaults
	killed bool
	used   api.Resources
	// clockRate is the speed of the worker's clock relative to true time.
	clockRate float64
}

type task struct {
	reservation backend.Reservation
	status      backend.TaskStatus
	payload     TaskPayload
	startBy     time.Time
	leaseEnd    time.Time
	// workDone is the work done up to progressAt, in seconds.
	workDone   float64
	progressAt time.Time
	speed      float64
}

// NewWorker returns a worker. observe, if not nil, is called with each change of a
// task while the worker is locked; it must not call the worker.
func NewWorker(vm backend.VM, observe func(TaskEvent)) *Worker {
	if observe == nil {
		observe = func(TaskEvent) {}
	}
	return &Worker{vm: vm, observe: observe, tasks: map[backend.TaskID]*task{}, fences: map[string]int64{}, clockRate: 1}
}

// SetClockRate sets the speed of the worker's clock relative to true time: at 1.01,
// a lease of 10 s ends after 9.9 s. Leases granted before keep their end.
func (w *Worker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockRate = rate
}

// trueDuration returns the true time in which the worker's clock advances by d.
func (w *Worker) trueDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Kill stops the worker permanently: its tasks stop, and all later calls fail.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, t := range w.tasks {
		if t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning {
			w.setPhase(t, backend.TaskStopped, now)
		}
	}
	w.killed = true
}

// Used returns the resources of the reserved and running tasks.
func (w *Worker) Used() api.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	return w.used
}

// Running returns the tasks that are running.
func (w *Worker) Running() []backend.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	var out []backend.TaskID
	for id, t := range w.tasks {
		if t.status.Phase == backend.TaskRunning {
			out = append(out, id)
		}
	}
	return out
}

func unreachableError() error {
	return &api.Error{Code: api.CodeUnavailable, Message: "the worker does not answer", Verdict: api.MayHaveRun}
}

// beginCall fails if the worker is unreachable. Otherwise it advances all tasks and
// returns the current time. It must be called with mu held.
func (w *Worker) beginCall(ctx context.Context) (time.Time, error) {
	if w.faults.Unreachable || w.killed {
		return time.Time{}, unreachableError()
	}
	now := time.Now()
	w.advance(now)
	return now, ctx.Err()
}

// endCall returns the error of a call that took effect, which is not nil if replies
// are lost.
func (w *Worker) endCall() error {
	if w.faults.LoseReplies {
		return unreachableError()
	}
	return nil
}

// advance brings every task up to date: work completes and leases end. It must be called
// with mu held.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		w.advanceTask(t, now)
	}
}

func (w *Worker) advanceTask(t *task, now time.Time) {
	if t.status.Phase == backend.TaskReserved && now.After(t.leaseEnd) {
		w.setPhase(t, backend.TaskStopped, t.leaseEnd)
	}
	if t.status.Phase != backend.TaskRunning {
		return
	}
	until := now
	if t.leaseEnd.Before(until) {
		until = t.leaseEnd
	}
	remaining := (t.payload.WorkSeconds - t.workDone) / t.speed
	finish := t.progressAt.Add(time.Duration(remaining * float64(time.Second)))
	if !finish.After(until) {
		t.workDone, t.progressAt = t.payload.WorkSeconds, finish
		w.finish(t, finish)
		return
	}
	t.workDone += until.Sub(t.progressAt).Seconds() * t.speed
	t.progressAt = until
	if until.Equal(t.leaseEnd) && now.After(t.leaseEnd) {
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

// setPhase changes a task's phase, and releases its resources if it has ended. It must
// be called with mu held.
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
	now, err := w.beginCall(ctx)
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
	t.startBy, t.leaseEnd = now.Add(w.trueDuration(r.StartWithin)), now.Add(w.trueDuration(r.LeaseTTL))
	return w.endCall()
}

func (w *Worker) reserve(r backend.Reservation, now time.Time) {
	t := &task{reservation: r, speed: 1}
	t.status = backend.TaskStatus{Task: r.Task, Phase: backend.TaskReserved}
	// A payload that is not a JSON TaskPayload means no work.
	_ = json.Unmarshal([]byte(r.Payload), &t.payload)
	if r.Resume != "" {
		fmt.Sscanf(r.Resume, "done=%g", &t.workDone)
	}
	w.tasks[r.Task] = t
	w.used = w.used.Add(r.Request)
	w.observe(TaskEvent{now, w.vm.ID, r.Task, backend.TaskReserved})
}

// checkFence refuses a task whose token is not above the highest token for which a task
// of its job was stopped. It must be called with mu held.
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
	now, err := w.beginCall(ctx)
	if err != nil {
		return err
	}
	t := w.tasks[id]
	switch {
	case t == nil:
		return api.Errorf(api.CodeNotFound, "task %v is not reserved", id)
	case t.status.Phase == backend.TaskRunning || t.status.Phase == backend.TaskDone:
		return w.endCall()
	case t.status.Phase != backend.TaskReserved:
		return api.Errorf(api.CodeConflict, "task %v is %s", id, t.status.Phase)
	case now.After(t.startBy) && !w.faults.LateStarts:
		return api.Errorf(api.CodeConflict, "task %v was reserved too long ago", id)
	}
	t.status.Ran, t.progressAt = true, now
	w.setPhase(t, backend.TaskRunning, now)
	if w.faults.FailTasks {
		w.finish(t, now)
	}
	return w.endCall()
}

// Renew implements backend.Worker.
func (w *Worker) Renew(ctx context.Context, ids []backend.TaskID, ttl time.Duration) ([]backend.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall(ctx)
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
			t.extend(now.Add(w.trueDuration(ttl)))
		}
		out[i] = t.status
	}
	return out, w.endCall()
}

// extend moves the end of the lease to until, but never to an earlier time.
func (t *task) extend(until time.Time) {
	if until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
}

// Stop implements backend.Worker.
func (w *Worker) Stop(ctx context.Context, id backend.TaskID, checkpoint bool) (backend.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall(ctx)
	if err != nil {
		return backend.TaskStatus{}, err
	}
	w.fences[id.Job] = max(w.fences[id.Job], id.Token)
	t := w.tasks[id]
	if t == nil {
		return backend.TaskStatus{Task: id, Phase: backend.TaskUnknown}, w.endCall()
	}
	if t.status.Phase == backend.TaskReserved || t.status.Phase == backend.TaskRunning {
		w.setPhase(t, backend.TaskStopped, now)
	}
	if checkpoint && t.status.Checkpoint == "" && t.status.Phase == backend.TaskStopped {
		t.status.Checkpoint = fmt.Sprintf("done=%g", t.workDone)
	}
	return t.status, w.endCall()
}

// Throttle implements backend.Worker.
func (w *Worker) Throttle(ctx context.Context, id backend.TaskID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.beginCall(ctx); err != nil {
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
	return w.endCall()
}

// Handler serves the calls of backend.Worker over HTTP, and POST /faults.
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

// handle serves fn at pattern, with a JSON body in each direction.
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

// LocalWorkers are workers of this process by address. It implements
// backend.Workers.
type LocalWorkers map[string]*Worker

// Worker implements backend.Workers. It returns an unreachable worker for an unknown
// address.
func (l LocalWorkers) Worker(address string) backend.Worker {
	if w := l[address]; w != nil {
		return w
	}
	w := NewWorker(backend.VM{}, nil)
	w.SetFaults(WorkerFaults{Unreachable: true})
	return w
}
