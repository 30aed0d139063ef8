package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// countingOrders counts the starts and renewals that are sent.
type countingOrders struct {
	backend.Orders
	starts, renewals chan struct{}
}

func (o *countingOrders) Start(context.Context, backend.WorkerRef, backend.StartOrder) (int64, error) {
	o.starts <- struct{}{}
	return 0, nil
}

func (o *countingOrders) Renew(context.Context, backend.WorkerRef, backend.RenewOrder) (backend.Listing, error) {
	o.renewals <- struct{}{}
	return backend.Listing{}, nil
}

// A leader is paused between the confirmed write of a plan and the starts that it permits.
// What happens then depends on for how long: after the start window, or with an old view,
// another leader may have planned the task, and the zone or the job may be gone.
func TestPausedLeaderDoesNotUseAnOldPermission(t *testing.T) {
	settings := Settings{LeaseDuration: 6 * time.Second, LeaseWindow: 12 * time.Second, MaxConfigAge: 3 * time.Second, MaxWorkersAge: 3 * time.Second, MaxLedgerAge: 3 * time.Second,
		Election: election.Settings{StartWindow: 2 * time.Second, RenewWindow: 6 * time.Second}}
	for _, c := range []struct {
		paused            time.Duration
		viewIsOld, starts bool
		renews            bool
	}{
		{100 * time.Millisecond, false, true, true},
		{2500 * time.Millisecond, false, false, true},
		{7 * time.Second, false, false, false},
		{100 * time.Millisecond, true, false, true},
	} {
		now := time.Hour
		info := catalog.Worker{ID: "w", StartedMS: 1, Service: "s", Zone: "z", Capacity: workload.Resources{Accelerators: 8}}
		view := View{Config: &catalog.Config{}, Workers: map[string]catalog.Worker{"w": info}, ConfigAt: now, WorkersAt: now, LedgerAt: now}
		orders := &countingOrders{starts: make(chan struct{}, 1), renewals: make(chan struct{}, 1)}
		e := New(Inputs{Settings: settings, Orders: orders, Now: func() time.Duration { return now }, UnixMS: func() int64 { return 0 }, View: func() View { return view }, Term: ledger.Term{Number: 1}, ClaimedAt: now})
		ctx, cancel := context.WithCancel(t.Context())
		e.ctx, e.view = ctx, view
		w := e.addWorker(workerKey(info), info)
		w.listed, w.fenced, w.clock.known = true, true, true
		spec := &workload.Job{ID: "0123456789abcdef", Steps: []workload.Step{{Count: 1, Need: workload.Resources{Accelerators: 1}}}}
		e.applyEntry(spec.ID, &ledger.JobEntry{Job: spec}, false)
		u := e.jobs[spec.ID].units[0]
		e.startUnit(u, map[int]*worker{0: w}, now)
		r := u.tasks[0].run

		now += c.paused
		if !c.viewIsOld {
			view.ConfigAt, view.WorkersAt, view.LedgerAt = now, now, now
		} else {
			view.ConfigAt = now - 4*time.Second
		}
		e.startPlanned([]*run{r})
		if started := r.phase == runStarting; started != c.starts {
			t.Errorf("paused for %s, old view %v: started %v, want %v", c.paused, c.viewIsOld, started, c.starts)
		}
		if !c.starts && u.tasks[0].run != nil {
			t.Errorf("paused for %s, old view %v: the plan is kept", c.paused, c.viewIsOld)
		}
		w.runs[u.tasks[0].id] = r
		e.renewNow(w)
		if w.renewalInFlight != c.renews {
			t.Errorf("paused for %s: lease renewed %v, want %v", c.paused, w.renewalInFlight, c.renews)
		}
		cancel()
	}
}
