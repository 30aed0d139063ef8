package memsite

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

// PlatformCut says which parts of the platform an entry VM cannot reach.
type PlatformCut struct {
	Log     bool
	VMList  bool
	Workers bool
}

// gate stands between one node and the platform. A call of a paused process
// waits and then takes effect late, even if its context has ended meanwhile.
type gate struct {
	host *memnet.Host
	mu   sync.Mutex
	cut  PlatformCut
	dead bool
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

// pass waits while the process is paused and reports whether the call may go out.
func (g *gate) pass(isCut func(PlatformCut) bool) error {
	if !g.host.Wait() {
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

// after waits while the process is paused, and then lets the answer in.
func (g *gate) after(err error) error {
	if !g.host.Wait() {
		return net.ErrClosed
	}
	return err
}

func cutLog(c PlatformCut) bool     { return c.Log }
func cutVMList(c PlatformCut) bool  { return c.VMList }
func cutWorkers(c PlatformCut) bool { return c.Workers }

type gatedLog struct {
	gate *gate
	log  *standin.Log
}

func (l *gatedLog) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.gate.pass(cutLog); err != nil {
		return 0, err
	}
	offset, err := l.log.Append(context.WithoutCancel(ctx), data)
	return offset, l.gate.after(err)
}

func (l *gatedLog) Read(ctx context.Context, from int64, wait time.Duration) (platform.Page, error) {
	if err := l.gate.pass(cutLog); err != nil {
		return platform.Page{}, err
	}
	page, err := l.log.Read(ctx, from, wait)
	return page, l.gate.after(err)
}

type gatedVMs struct {
	gate *gate
	vms  *standin.VMList
}

func (v *gatedVMs) List(ctx context.Context) ([]platform.VM, error) {
	if err := v.gate.pass(cutVMList); err != nil {
		return nil, err
	}
	vms, err := v.vms.List(ctx)
	return vms, v.gate.after(err)
}

type gatedWorkers struct {
	gate    *gate
	workers map[string]*standin.Worker
}

// workerAddressPrefix precedes the ID of a worker in its address.
const workerAddressPrefix = "worker/"

func (w *gatedWorkers) Worker(address string) platform.Worker {
	id := ""
	if len(address) > len(workerAddressPrefix) {
		id = address[len(workerAddressPrefix):]
	}
	return &gatedWorker{w.gate, standin.LocalWorkers(w.workers).Worker(id)}
}

type gatedWorker struct {
	gate   *gate
	worker platform.Worker
}

func (w *gatedWorker) Reserve(ctx context.Context, r platform.Reservation) error {
	if err := w.gate.pass(cutWorkers); err != nil {
		return err
	}
	return w.gate.after(w.worker.Reserve(context.WithoutCancel(ctx), r))
}

func (w *gatedWorker) Start(ctx context.Context, id platform.TaskID) error {
	if err := w.gate.pass(cutWorkers); err != nil {
		return err
	}
	return w.gate.after(w.worker.Start(context.WithoutCancel(ctx), id))
}

func (w *gatedWorker) Renew(ctx context.Context, ids []platform.TaskID, ttl time.Duration) ([]platform.TaskStatus, error) {
	if err := w.gate.pass(cutWorkers); err != nil {
		return nil, err
	}
	out, err := w.worker.Renew(context.WithoutCancel(ctx), ids, ttl)
	return out, w.gate.after(err)
}

func (w *gatedWorker) Stop(ctx context.Context, id platform.TaskID, checkpoint bool) (platform.TaskStatus, error) {
	if err := w.gate.pass(cutWorkers); err != nil {
		return platform.TaskStatus{}, err
	}
	out, err := w.worker.Stop(context.WithoutCancel(ctx), id, checkpoint)
	return out, w.gate.after(err)
}

func (w *gatedWorker) Throttle(ctx context.Context, id platform.TaskID, percent int) error {
	if err := w.gate.pass(cutWorkers); err != nil {
		return err
	}
	return w.gate.after(w.worker.Throttle(context.WithoutCancel(ctx), id, percent))
}

func encodeConfig(c *config.Config) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("memsite: a configuration cannot fail to encode: " + err.Error())
	}
	return data
}
