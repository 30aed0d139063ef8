// Package admission queues short requests before they get an upstream: by weighted
// fair queueing among client accounts, and earliest deadline first within an
// account. It refuses at once a request that cannot meet its deadline. It does no
// I/O and reads no clock: the time and the throughput of the service are passed in.
package admission

import (
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

const (
	// activeFor is how long an account counts as active after a request.
	activeFor = time.Second
	// marginPercent is the time that a request is assumed to take beyond the
	// average service time, since slots free up unevenly.
	marginPercent = 50
)

// Item is one queued request.
type Item struct {
	Account string
	Class   string
	// Weight is the account's weight in fair queueing, at least 1.
	Weight   int
	Deadline time.Time
	// Queued is when Push added the request.
	Queued time.Time
	// Value is not used by the queue.
	Value any
	flow  *flow
}

// Throughput is the estimated performance of the service behind a queue.
type Throughput struct {
	// PerSecond is how many requests this node's slots finish per second.
	PerSecond float64
	// ServiceTime is the average time of one request.
	ServiceTime time.Duration
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	flows map[string]*flow
	// virtualTime is the virtual time of the account served last.
	virtualTime float64
	size        int
}

// flow is the queue of one account, earliest deadline first.
type flow struct {
	items []*Item
	// finish is the virtual finish time of the account's last served request.
	finish float64
	// weight and lastSeen are the weight and the time of the account's newest request.
	weight   int
	lastSeen time.Time
	// queued counts the waiting requests by class.
	queued map[string]int
}

// New returns an empty queue.
func New() *Queue { return &Queue{flows: map[string]*flow{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push adds a request. It returns an error with CodeOverloaded if the account has
// maxQueued requests of the class waiting, or if the request, or one already
// queued, would miss its deadline.
func (q *Queue) Push(it *Item, maxQueued int, throughput Throughput, now time.Time) *api.Error {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow{queued: map[string]int{}}
		q.flows[it.Account] = f
	}
	f.weight, f.lastSeen = it.Weight, now
	rate := q.share(it, now) * throughput.PerSecond
	if f.queued[it.Class] >= maxQueued {
		return overloaded(f, rate, "account %s has %d requests of class %s waiting here, the limit", it.Account, maxQueued, it.Class)
	}
	at, _ := slices.BinarySearchFunc(f.items, it.Deadline, func(o *Item, d time.Time) int {
		if o.Deadline.After(d) {
			return 1
		}
		return -1
	})
	if f.tooLate(it, at, rate, throughput.ServiceTime, now) {
		return overloaded(f, rate, "account %s has %d requests waiting here, the deadline cannot be met", it.Account, len(f.items))
	}
	if len(f.items) == 0 {
		f.finish = max(f.finish, q.virtualTime)
	}
	it.Queued, it.flow = now, f
	f.items = slices.Insert(f.items, at, it)
	f.queued[it.Class]++
	q.size++
	return nil
}

// share returns the account's share of the service among the active accounts.
// These include accounts with an empty queue that sent a request within activeFor,
// since they may fill it before this request is served.
func (q *Queue) share(it *Item, now time.Time) float64 {
	total := it.Weight
	for name, f := range q.flows {
		if name != it.Account && (len(f.items) > 0 || now.Sub(f.lastSeen) < activeFor) {
			total += f.weight
		}
	}
	return float64(it.Weight) / float64(total)
}

// tooLate reports whether it, inserted at position at, or a request behind it,
// would miss its deadline at the given rate in requests per second.
func (f *flow) tooLate(it *Item, at int, rate float64, serviceTime time.Duration, now time.Time) bool {
	done := func(position int) time.Time {
		wait := time.Duration(0)
		if rate > 0 {
			wait = time.Duration(float64(position) / rate * float64(time.Second))
		}
		return now.Add(wait + serviceTime*(100+marginPercent)/100)
	}
	if done(at).After(it.Deadline) {
		return true
	}
	for i := at; i < len(f.items); i++ {
		if done(i + 1).After(f.items[i].Deadline) {
			return true
		}
	}
	return false
}

// overloaded returns a refusal that advises to retry when the account's queue has
// been served at the given rate.
func overloaded(f *flow, rate float64, format string, args ...any) *api.Error {
	e := api.Errorf(api.CodeOverloaded, format, args...)
	if rate > 0 {
		e.RetryAfter = time.Duration(float64(len(f.items)) / rate * float64(time.Second))
	}
	return e
}

// Pop removes and returns the next request: the one with the earliest deadline of
// the account that has been served least relative to its weight. It returns nil if
// the queue is empty.
func (q *Queue) Pop() *Item {
	var best *flow
	var bestName string
	for name, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if best == nil || f.finish < best.finish || (f.finish == best.finish && name < bestName) {
			best, bestName = f, name
		}
	}
	if best == nil {
		return nil
	}
	it := best.items[0]
	q.virtualTime = best.finish
	best.finish += 1 / float64(max(1, it.Weight))
	q.remove(it, 0)
	return it
}

// Remove removes a request, for example if its caller has gone. It reports whether
// the request was still waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	at := slices.Index(it.flow.items, it)
	if at < 0 {
		return false
	}
	q.remove(it, at)
	return true
}

func (q *Queue) remove(it *Item, at int) {
	it.flow.items = slices.Delete(it.flow.items, at, at+1)
	it.flow.queued[it.Class]--
	q.size--
}
