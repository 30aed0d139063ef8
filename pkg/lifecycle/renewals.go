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

// coalesceDelay is how long a renewal waits for others of the same worker, to
// share a call.
const coalesceDelay = 5 * time.Millisecond

var errStale = api.Errorf(api.CodeUnavailable, "the view of the log is too old to renew leases")

// renewalBatcher combines the renewals of tasks on one worker into one call. At
// most one renewal call to a worker is in flight. It is safe for concurrent use.
type renewalBatcher struct {
	timeout time.Duration
	// canRenew is checked right before each call.
	canRenew func(now time.Time) bool

	mu     sync.Mutex
	queues map[string]*workerQueue
	wg     sync.WaitGroup
}

// wait returns once no call is in flight. renew must not be called afterwards.
func (r *renewalBatcher) wait() { r.wg.Wait() }

// workerQueue holds the renewals that wait for the next call to a worker. It is
// busy while a goroutine sends its calls.
type workerQueue struct {
	waiting []*renewal
	busy    bool
}

// renewal is a request to renew one gang's tasks on one worker.
type renewal struct {
	tasks []backend.TaskID
	ttl   time.Duration
	done  chan renewalResult
}

type renewalResult struct {
	statuses []backend.TaskStatus
	err      error
}

func newRenewalBatcher(timeout time.Duration, canRenew func(time.Time) bool) *renewalBatcher {
	return &renewalBatcher{timeout: timeout, canRenew: canRenew, queues: map[string]*workerQueue{}}
}

// renew renews the leases of tasks on the worker at address, batched with other
// renewals for that worker, and returns one status for each task in order. If ctx
// ends first, the renewal may still be sent.
func (r *renewalBatcher) renew(ctx context.Context, address string, w backend.Worker, tasks []backend.TaskID, ttl time.Duration) ([]backend.TaskStatus, error) {
	item := &renewal{tasks: tasks, ttl: ttl, done: make(chan renewalResult, 1)}
	r.mu.Lock()
	q := r.queues[address]
	if q == nil {
		q = &workerQueue{}
		r.queues[address] = q
	}
	q.waiting = append(q.waiting, item)
	if !q.busy {
		q.busy = true
		r.wg.Go(func() { r.sendBatches(address, q, w) })
	}
	r.mu.Unlock()
	select {
	case out := <-item.done:
		return out.statuses, out.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendBatches sends queued renewals until the queue is empty.
func (r *renewalBatcher) sendBatches(address string, q *workerQueue, w backend.Worker) {
	for {
		time.Sleep(coalesceDelay)
		r.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.busy = false
			delete(r.queues, address)
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

func (r *renewalBatcher) call(w backend.Worker, batch []*renewal) {
	// A stable order lets the worker's client recognise a set of tasks that it has
	// renewed before.
	slices.SortFunc(batch, func(a, b *renewal) int { return compareTasks(a.tasks[0], b.tasks[0]) })
	var ids []backend.TaskID
	for _, item := range batch {
		ids = append(ids, item.tasks...)
	}
	out := renewalResult{err: errStale}
	if r.canRenew(time.Now()) {
		ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
		out.statuses, out.err = w.Renew(ctx, ids, batch[0].ttl)
		cancel()
	}
	if out.err == nil && len(out.statuses) != len(ids) {
		out.err = api.Errorf(api.CodeUnavailable, "the worker answered for %d of %d tasks", len(out.statuses), len(ids))
	}
	for _, item := range batch {
		if out.err != nil {
			item.done <- renewalResult{err: out.err}
			continue
		}
		item.done <- renewalResult{statuses: out.statuses[:len(item.tasks)]}
		out.statuses = out.statuses[len(item.tasks):]
	}
}
