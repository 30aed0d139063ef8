package memsite

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

// PlatformCut selects the parts of the platform that an entry VM cannot reach.
type PlatformCut struct {
	Log     bool
	VMList  bool
	Workers bool
	// WorkerIDs are single unreachable workers.
	WorkerIDs []string
}

// Op is the kind of a call of a node to the platform.
type Op string

// The kinds of calls that Options.OnCall is called for.
const (
	OpAppend  Op = "append"
	OpReserve Op = "reserve"
	OpStart   Op = "start"
	OpRenew   Op = "renew"
	OpStop    Op = "stop"
)

// Call is one call of a node to the platform.
type Call struct {
	// Entry is the ID of the entry VM that makes the call.
	Entry string
	Op    Op
	// Worker is the ID of the called worker, empty for calls to the log.
	Worker string
	// Answered is false before the call is sent, and true after it has taken effect
	// and before the node gets the reply.
	Answered bool
}

// gate controls the calls of one node to the platform. A call of a paused process is
// sent when the process resumes, even if its context has ended meanwhile.
type gate struct {
	host   *memnet.Host
	id     string
	onCall func(Call)
	mu     sync.Mutex
	cut    PlatformCut
	dead   bool
}

func (g *gate) set(cut PlatformCut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

// observe passes a call to onCall.
func (g *gate) observe(op Op, worker string, answered bool) {
	if g.onCall != nil {
		g.onCall(Call{Entry: g.id, Op: op, Worker: worker, Answered: answered})
	}
}

// beforeCall waits while the process is paused. It returns an error if the process has
// ended or the called part of the platform is unreachable.
func (g *gate) beforeCall(isCut func(PlatformCut) bool) error {
	if !g.host.WaitRunning() {
		return net.ErrClosed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return net.ErrClosed
	}
	if isCut(g.cut) {
		return api.Errorf(api.CodeUnavailable, "the platform cannot be reached")
	}
	return nil
}

// afterCall waits while the process is paused. It returns err, the result of the call,
// unless the process or ctx has ended.
func (g *gate) afterCall(ctx context.Context, err error) error {
	if !g.host.WaitRunning() {
		return net.ErrClosed
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func cutLog(c PlatformCut) bool    { return c.Log }
func cutVMList(c PlatformCut) bool { return c.VMList }

func (w *gatedWorker) isCut(c PlatformCut) bool {
	return c.Workers || slices.Contains(c.WorkerIDs, w.id)
}

// beforeWorkerCall precedes each observed call to the worker.
func (w *gatedWorker) beforeWorkerCall(op Op) error {
	w.gate.observe(op, w.id, false)
	return w.gate.beforeCall(w.isCut)
}

// afterWorkerCall follows each observed call to the worker.
func (w *gatedWorker) afterWorkerCall(ctx context.Context, op Op, err error) error {
	w.gate.observe(op, w.id, true)
	return w.gate.afterCall(ctx, err)
}

type gatedLog struct {
	gate *gate
	log  backend.Log
}

func (l *gatedLog) Append(ctx context.Context, data []byte) (int64, error) {
	l.gate.observe(OpAppend, "", false)
	if err := l.gate.beforeCall(cutLog); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(context.WithoutCancel(ctx), data)
	l.gate.observe(OpAppend, "", true)
	return offset, l.gate.afterCall(ctx, err)
}

func (l *gatedLog) Read(ctx context.Context, from int64, wait time.Duration) (backend.Page, error) {
	if err := l.gate.beforeCall(cutLog); err != nil {
		return backend.Page{}, err
	}
	page, err := l.log.Read(ctx, from, wait)
	return page, l.gate.afterCall(ctx, err)
}

type gatedVMs struct {
	gate *gate
	vms  backend.VMList
}

func (v *gatedVMs) List(ctx context.Context) ([]backend.VM, error) {
	if err := v.gate.beforeCall(cutVMList); err != nil {
		return nil, err
	}
	vms, err := v.vms.List(ctx)
	return vms, v.gate.afterCall(ctx, err)
}

type gatedWorkers struct {
	gate    *gate
	workers map[string]*standin.Worker
}

// workerAddressPrefix precedes the ID of a worker in its address.
const workerAddressPrefix = "worker/"

func (w *gatedWorkers) Worker(address string) backend.Worker {
	id := ""
	if len(address) > len(workerAddressPrefix) {
		id = address[len(workerAddressPrefix):]
	}
	return &gatedWorker{w.gate, id, standin.LocalWorkers(w.workers).Worker(id)}
}

type gatedWorker struct {
	gate   *gate
	id     string
	worker backend.Worker
}

func (w *gatedWorker) Reserve(ctx context.Context, r backend.Reservation) error {
	if err := w.beforeWorkerCall(OpReserve); err != nil {
		return err
	}
	return w.afterWorkerCall(ctx, OpReserve, w.worker.Reserve(context.WithoutCancel(ctx), r))
}

func (w *gatedWorker) Start(ctx context.Context, id backend.TaskID) error {
	if err := w.beforeWorkerCall(OpStart); err != nil {
		return err
	}
	return w.afterWorkerCall(ctx, OpStart, w.worker.Start(context.WithoutCancel(ctx), id))
}

func (w *gatedWorker) Renew(ctx context.Context, ids []backend.TaskID, ttl time.Duration) ([]backend.TaskStatus, error) {
	if err := w.beforeWorkerCall(OpRenew); err != nil {
		return nil, err
	}
	out, err := w.worker.Renew(context.WithoutCancel(ctx), ids, ttl)
	return out, w.afterWorkerCall(ctx, OpRenew, err)
}

func (w *gatedWorker) Stop(ctx context.Context, id backend.TaskID, checkpoint bool) (backend.TaskStatus, error) {
	if err := w.beforeWorkerCall(OpStop); err != nil {
		return backend.TaskStatus{}, err
	}
	out, err := w.worker.Stop(context.WithoutCancel(ctx), id, checkpoint)
	return out, w.afterWorkerCall(ctx, OpStop, err)
}

func (w *gatedWorker) Throttle(ctx context.Context, id backend.TaskID, percent int) error {
	if err := w.gate.beforeCall(w.isCut); err != nil {
		return err
	}
	return w.gate.afterCall(ctx, w.worker.Throttle(context.WithoutCancel(ctx), id, percent))
}

func encodeConfig(c *config.Config) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("memsite: cannot encode the configuration: " + err.Error())
	}
	return data
}
