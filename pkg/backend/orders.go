package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// RunID identifies one run, that is one start of a task on a worker. Number increases
// with each start of the task.
type RunID struct {
	Task   workload.TaskID
	Number int64
}

// WorkerRef addresses one incarnation of a worker.
type WorkerRef struct {
	ID      string
	Address string
}

// StartOrder asks a worker to start a task.
type StartOrder struct {
	Run     RunID
	Payload string
	// LeaseUntilMS is the end of the worker's lease, on the worker's clock in
	// milliseconds: all runs on the worker end then unless it is renewed.
	LeaseUntilMS int64
	// Term fences earlier leaders: the worker refuses a term lower than one that it has seen.
	Term int64
	// Checkpoint is where the task resumes; if empty, it starts from the beginning.
	Checkpoint string
	// Ticket is the adviser's permission to use the worker; empty if none is required.
	Ticket string
}

// RenewOrder is a long-poll renewal: it extends the leases on a worker and requests the
// list of its runs.
type RenewOrder struct {
	// Term is as in StartOrder.
	Term int64
	// SeenUpTo acknowledges EndedRuns: the worker may discard those with a Number up to it.
	SeenUpTo int64
	// LeaseUntilMS is as in StartOrder; 0 renews nothing.
	LeaseUntilMS int64
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
}

// ActiveRun is a run in progress on a worker.
type ActiveRun struct {
	Run        RunID
	Checkpoint string
	// Percent is the completed share of its work; 100 for a long-running task that is
	// serving.
	Percent int
	// Load is an estimate over the last half second: for a latency-sensitive task, its
	// tail latency in milliseconds; for any other task, its CPU use in thousandths of a
	// core.
	Load float64
}

// Outcome is how a run ended.
type Outcome string

const (
	// OutcomeDone means that the task finished.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the task or its worker failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means that a stop order ended the task.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired means that the lease ended without renewal.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete means that not all members of the gang started in time.
	OutcomeGangIncomplete Outcome = "alone"
)

// EndedRun describes how one run ended.
type EndedRun struct {
	// Number counts the ended runs of the worker's incarnation, from 1.
	Number     int64
	Run        RunID
	Outcome    Outcome
	Checkpoint string
}

// Listing is a worker's reply to a renewal: its clock and its runs.
type Listing struct {
	// ClockMS is a reading of the worker's clock in milliseconds.
	ClockMS int64
	// IncarnationStartMS is the start of the incarnation, in Unix milliseconds; 0 if
	// the worker did not report it. It distinguishes incarnations with the same ID.
	IncarnationStartMS int64
	Active             []ActiveRun
	// Ended holds the ended runs that no renewal has acknowledged yet, or the first of them.
	Ended []EndedRun
	// MoreEnds means that there may be further ended runs, which the worker reports once these
	// are acknowledged: a run in neither list may have ended.
	MoreEnds bool
}

// OrderErrorKind classifies failures of orders.
type OrderErrorKind string

const (
	// OrderUnanswered means that the outcome is unknown: the worker may have carried out
	// the order, or may do so later.
	OrderUnanswered OrderErrorKind = "unanswered"
	// OrderFenced means that the worker has seen a higher term.
	OrderFenced OrderErrorKind = "fenced"
	// OrderStale means that the run number is not higher than one that ended there.
	OrderStale OrderErrorKind = "stale"
	// OrderLeaseExpired means that the order arrived after the end of its lease.
	OrderLeaseExpired OrderErrorKind = "late"
	// OrderNoCapacity means that the worker lacks free capacity.
	OrderNoCapacity OrderErrorKind = "no-room"
	// OrderNoTicket means that the ticket is missing or not valid for the worker.
	OrderNoTicket OrderErrorKind = "no-ticket"
	// OrderWrongIncarnation means that another incarnation of the worker received the order.
	OrderWrongIncarnation OrderErrorKind = "replaced"
	// OrderUnhealthy means that the worker accepts no work at present.
	OrderUnhealthy OrderErrorKind = "unhealthy"
	// OrderInvalid means that the worker rejected the order as malformed or unknown.
	OrderInvalid OrderErrorKind = "invalid"
)

// OrderError is a failed order. Unless Kind is OrderUnanswered, the worker has not
// carried out the order.
type OrderError struct {
	Kind OrderErrorKind
	// Broken means that the worker closed the connection without an answer, or refused it:
	// its process may have ended.
	Broken bool
	Cause  error
}

// Error implements the error interface.
func (e *OrderError) Error() string {
	if e.Cause == nil {
		return "order: " + string(e.Kind)
	}
	return fmt.Sprintf("order: %s: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.Cause }

// Advice lists the workers that may run a unit.
type Advice struct {
	// Tickets maps worker IDs to the tickets for the unit's starts there.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// Adviser decides which workers may run the units of an advised queue. It must not be
// called concurrently.
type Adviser interface {
	// Advise returns which of the given workers may run a unit.
	Advise(ctx context.Context, unit workload.UnitID, workers []string) (Advice, error)
}

// Orders sends orders to workers. Each successful call returns a reading of the worker's
// clock in milliseconds. Term fences as in StartOrder. Errors are of type *OrderError.
type Orders interface {
	Start(ctx context.Context, w WorkerRef, o StartOrder) (clockMS int64, err error)
	// Stop asks the worker to end a run; a later Listing reports the end.
	Stop(ctx context.Context, w WorkerRef, run RunID, term int64) (clockMS int64, err error)
	// Throttle slows a run to percent of its full speed.
	Throttle(ctx context.Context, w WorkerRef, run RunID, percent int, term int64) (clockMS int64, err error)
	// Renew renews the leases on a worker and returns the list of its runs.
	Renew(ctx context.Context, w WorkerRef, o RenewOrder) (Listing, error)
}
