package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// unansweredOrders answers no order, and counts the requests for listings.
type unansweredOrders struct {
	backend.Orders
	listings chan string
}

func (o *unansweredOrders) Renew(_ context.Context, w backend.WorkerRef, order backend.RenewOrder) (backend.Listing, error) {
	if order.LeaseUntilMS == 0 {
		o.listings <- w.ID
	}
	return backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered}
}

func (o *unansweredOrders) Stop(context.Context, backend.WorkerRef, backend.RunID, int64) (int64, error) {
	return 0, &backend.OrderError{Kind: backend.OrderUnanswered}
}

// manualSite is an engine whose clock, workers and runs a test moves by hand.
type manualSite struct {
	*Engine
	t       *testing.T
	now     time.Duration
	workers map[string]*worker
	orders  *unansweredOrders
	// config and zonesOut are the configuration of the view and its zones that are out.
	config   *catalog.Config
	zonesOut map[string]bool
}

// newManualSite returns a site with workers w0, w1 and so on, each at its own address.
func newManualSite(t *testing.T, workers int) *manualSite {
	t.Helper()
	s := &manualSite{t: t, now: time.Hour, workers: map[string]*worker{}, config: &catalog.Config{}, zonesOut: map[string]bool{}, orders: &unansweredOrders{listings: make(chan string, 100)}}
	view := View{Config: s.config, Workers: map[string]catalog.Worker{}, ZonesOut: s.zonesOut}
	settings := Settings{LeaseDuration: 6 * time.Second, LeaseWindow: 12 * time.Second, MaxReclaimTime: 10 * time.Second, MaxConfigAge: time.Hour, MaxWorkersAge: time.Hour, MaxLedgerAge: time.Hour, GangStartTimeout: 3 * time.Second,
		Election: election.Settings{StartWindow: time.Hour, RenewWindow: time.Hour}}
	s.Engine = New(Inputs{Settings: settings, Orders: s.orders, Now: func() time.Duration { return s.now }, UnixMS: func() int64 { return s.now.Milliseconds() },
		View:      func() View { view.ConfigAt, view.WorkersAt, view.LedgerAt = s.now, s.now, s.now; return view },
		ClaimedAt: s.now, Term: ledger.Term{Number: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	// No write is made.
	s.ctx, s.writeInFlight, s.view = ctx, true, s.View()
	for i := range workers {
		info := catalog.Worker{ID: fmt.Sprintf("w%d", i), StartedMS: 1, Address: fmt.Sprintf("a%d", i), Service: "s", Zone: "z", Capacity: workload.Resources{Accelerators: 8}}
		view.Workers[info.ID] = info
		w := s.addWorker(workerKey(info), info)
		w.listed, w.fenced, w.clock.known = true, true, true
		s.workers[info.ID] = w
	}
	return s
}

// setRecord changes the record of a worker in the view, of which nothing tells the engine.
func (s *manualSite) setRecord(worker string, change func(*catalog.Worker)) {
	workers := s.View().Workers
	info := workers[worker]
	change(&info)
	workers[worker] = info
}

// job submits a job of one step and returns its unit.
func (s *manualSite) job(id string, step workload.Step) *unit {
	step.Need = workload.Resources{Accelerators: 1}
	s.applyEntry(id, &ledger.JobEntry{Job: &workload.Job{ID: id, Policy: workload.Policy{Service: "s"}, Steps: []workload.Step{step}}}, false)
	return s.jobs[id].units[0]
}

// start starts a task on a worker, which confirms it.
func (s *manualSite) start(u *unit, index int, on string) *run {
	w := s.workers[on]
	s.startUnit(u, map[int]*worker{index: w}, s.now)
	r := u.tasks[index].run
	r.phase = runStarting
	s.onStartReply(r, s.now.Milliseconds(), nil)
	w.renewalInFlight = false
	return r
}

// list delivers a listing of all runs of a worker, made when its clock read clock.
func (s *manualSite) list(worker string, clock time.Duration) {
	w := s.workers[worker]
	reply := backend.Listing{ClockMS: clock.Milliseconds(), IncarnationStartMS: w.startMS()}
	for _, r := range w.runs {
		reply.Active = append(reply.Active, backend.ActiveRun{Run: r.id})
	}
	s.onRenewalReply(w, backend.RenewOrder{}, s.now, reply, nil)
}

// crash replaces a worker by another incarnation.
func (s *manualSite) crash(worker string) {
	s.markDisplaced(s.workers[worker])
	info := s.workers[worker].info
	info.StartedMS++
	w := s.addWorker(workerKey(info), info)
	w.listed, w.fenced, w.clock.known = true, true, true
	s.workers[worker] = w
}

// offers reports whether placement may start new tasks on a worker.
func (s *manualSite) offers(worker string) bool {
	s.t.Helper()
	pool, _ := s.snapshotWorkers(s.now, nil)
	for _, w := range pool {
		if w.ID == s.workers[worker].key {
			return w.Schedulable
		}
	}
	s.t.Fatalf("placement does not know worker %s", worker)
	return false
}

// waitingUnit returns a unit in the form that placement takes.
func (s *manualSite) waitingUnit(u *unit) *placement.Unit {
	s.t.Helper()
	for _, pu := range s.waitingUnits(s.now) {
		if pu.ID == u.id {
			return pu
		}
	}
	s.t.Fatalf("unit %s does not wait", u.id)
	return nil
}
