// Package backend declares the interfaces through which the scheduler uses the platform
// below it. There are two sets. The daemon shallotpind uses Log, Workers and VMList; their
// HTTP clients are in this package, and package standin has fake servers for them. The
// daemon shallotpin-entry uses KeyedLog, Orders and Adviser; package platform implements
// them for the users' platform.
package backend

import (
	"context"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// Log is the append-only log service.
type Log interface {
	// Append adds one entry and returns its offset. After an error other than
	// *api.Error with verdict not-run, the entry may have been added.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns entries from offset from on. It waits up to wait for the
	// first one. An empty page after wait proves that the log was reachable
	// and held nothing newer when the call returned.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
}

// Entry is one record of the log.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read of the log.
type Page struct {
	Entries []Entry `json:"entries"`
	// First is the lowest offset still retained.
	First int64 `json:"first"`
	// Next is the offset that the next append will return.
	Next int64 `json:"next"`
}

// VMKind is the role of a VM.
type VMKind string

const (
	// KindEntry is an entry VM, which runs shallotpin.
	KindEntry VMKind = "entry"
	// KindWorker is a worker, which runs tasks under leases.
	KindWorker VMKind = "worker"
	// KindUpstream is an upstream, which answers short requests.
	KindUpstream VMKind = "upstream"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID      string `json:"id"`
	Kind    VMKind `json:"kind"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack,omitempty"`
	Address string `json:"address"`
	// Leaving means that the VM is about to be removed and gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is the total capacity of a worker.
	Capacity api.Resources `json:"capacity,omitzero"`
	// Service, Slots and Connections describe an upstream: the service that it provides,
	// how many requests it runs at once, and how many connections it accepts.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

// VMList is the platform's list of live and leaving VMs, which lags behind the actual
// state. A VM that disappears from the list never returns.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// TaskID identifies one task of one attempt of a job in calls to a Worker; Orders uses
// RunID instead. Token is the log offset of the plan that created the attempt; a higher
// token fences a lower one.
type TaskID struct {
	Job   string `json:"job"`
	Token int64  `json:"token"`
	Index int    `json:"index"`
}

// Reservation is a request to a worker to reserve resources for a task.
type Reservation struct {
	Task    TaskID        `json:"task"`
	Request api.Resources `json:"request"`
	Payload string        `json:"payload,omitempty"`
	// Resume is the checkpoint from which the task resumes; if empty, it starts from the
	// beginning.
	Resume   string        `json:"resume,omitempty"`
	LeaseTTL time.Duration `json:"lease_ttl_ns"`
	// StartWithin bounds, on the worker's own clock, how long after the
	// reservation a start is accepted.
	StartWithin time.Duration `json:"start_within_ns"`
}

// TaskPhase is the state of a task on its worker.
type TaskPhase string

const (
	// TaskReserved means that resources are reserved and the task has not started.
	TaskReserved TaskPhase = "reserved"
	// TaskRunning means that the task runs under its lease.
	TaskRunning TaskPhase = "running"
	// TaskDone means that the task finished and its result is known.
	TaskDone TaskPhase = "done"
	// TaskFailed means that the task ran and failed.
	TaskFailed TaskPhase = "failed"
	// TaskStopped means that the task ran and was stopped.
	TaskStopped TaskPhase = "stopped"
	// TaskUnknown means that the worker never had the task, or has discarded its state.
	TaskUnknown TaskPhase = "unknown"
)

// TaskStatus is the state of one task as its worker reports it.
type TaskStatus struct {
	Task  TaskID    `json:"task"`
	Phase TaskPhase `json:"phase"`
	// Ran reports whether the task was ever started.
	Ran    bool   `json:"ran"`
	Result string `json:"result,omitempty"`
	// Checkpoint is the handle from which a later attempt resumes.
	Checkpoint string        `json:"checkpoint,omitempty"`
	Usage      api.Resources `json:"usage,omitzero"`
}

// Worker runs tasks under leases. All calls are idempotent.
type Worker interface {
	// Reserve reserves resources until the lease ends or the task is started.
	Reserve(ctx context.Context, r Reservation) error
	// Start runs a reserved task. It is refused once StartWithin has passed.
	Start(ctx context.Context, id TaskID) error
	// Renew extends the leases of tasks and returns the state of each. It
	// never shortens a lease; with a ttl of zero it only returns the state.
	Renew(ctx context.Context, ids []TaskID, ttl time.Duration) ([]TaskStatus, error)
	// Stop ends a task, after a checkpoint if checkpoint is set, and fences the job:
	// no task of the job with this token or a lower one starts afterwards.
	Stop(ctx context.Context, id TaskID, checkpoint bool) (TaskStatus, error)
	// Throttle slows a task to percent of its full speed.
	Throttle(ctx context.Context, id TaskID, percent int) error
}

// Workers returns the client of a worker by address.
type Workers interface {
	Worker(address string) Worker
}
