package lifecycle

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// gatherTime is how long a renewal waits for others of the same worker.
const gatherTime = 5 * time.Millisecond

// errStale says that this node's view of the log is too old to renew leases.
var errStale = api.Errorf(api.CodeUnavailable, "the view of the log is too old to renew leases")

// renewals joins the renewals of one worker's tasks into one call, with at most
// one call of a worker on its way at a time.
type renewals struct {
	timeout time.Duration
	// permit is asked right before each call.
	permit func(now time.Time) bool

	mu    sync.Mutex
	queue map[string]*workerQueue
	wg    sync.WaitGroup
}

// wait returns once no call is on its way. Nothing may be renewed afterwards.
func (r *renewals) wait() { r.wg.Wait() }

// workerQueue holds the renewals that wait for the next call of a worker.
type workerQueue struct {
	waiting []*renewal
	busy    bool
}

// renewal is the renewal of one gang's tasks on one worker.
type renewal struct {
	tasks []backend.TaskID
	ttl   time.Duration
	done  chan renewed
}

type renewed struct {
	statuses []backend.TaskStatus
	err      error
}

func newRenewals(timeout time.Duration, permit func(time.Time) bool) *renewals {
	return &renewals{timeout: timeout, permit: permit, queue: map[string]*workerQueue{}}
}

// renew renews tasks of one worker, together with what others ask of it.
func (r *renewals) renew(ctx context.Context, address string, w backend.Worker, tasks []backend.TaskID, ttl time.Duration) ([]backend.TaskStatus, error) {
	item := &renewal{tasks: tasks, ttl: ttl, done: make(chan renewed, 1)}
	r.mu.Lock()
	q := r.queue[address]
	if q == nil {
		q = &workerQueue{}
		r.queue[address] = q
	}
	q.waiting = append(q.waiting, item)
	if !q.busy {
		q.busy = true
		r.wg.Go(func() { r.drain(address, q, w) })
	}
	r.mu.Unlock()
	select {
	case out := <-item.done:
		return out.statuses, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// drain makes calls until nothing waits.
func (r *renewals) drain(address string, q *workerQueue, w backend.Worker) {
	for {
		time.Sleep(gatherTime)
		r.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.busy = false
			delete(r.queue, address)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.call(w, batch)
	}
}

// compareTasks orders tasks by attempt and index.
func compareTasks(a, b backend.TaskID) int {
	return cmp.Or(cmp.Compare(a.Token, b.Token), cmp.Compare(a.Index, b.Index))
}

func (r *renewals) call(w backend.Worker, batch []*renewal) {
	// The same tasks are named in the same order each time, so that the worker's
	// client can tell that it has renewed them before.
	slices.SortFunc(batch, func(a, b *renewal) int { return compareTasks(a.tasks[0], b.tasks[0]) })
	var ids []backend.TaskID
	for _, item := range batch {
		ids = append(ids, item.tasks...)
	}
	out := renewed{err: errStale}
	if r.permit(time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
		out.statuses, out.err = w.Renew(ctx, ids, batch[0].ttl)
		cancel()
	}
	if out.err == nil && len(out.statuses) != len(ids) {
		out.err = api.Errorf(api.CodeUnavailable, "the worker answered for %d of %d tasks", len(out.statuses), len(ids))
	}
	for _, item := range batch {
		if out.err != nil {
			item.done <- renewed{err: out.err}
			continue
		}
		item.done <- renewed{statuses: out.statuses[:len(item.tasks)]}
		out.statuses = out.statuses[len(item.tasks):]
	}
}
