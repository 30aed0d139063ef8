package dispatch

import (
	"context"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// unansweredStarts is unansweredOrders for starts, too.
type unansweredStarts struct{ *unansweredOrders }

func (o unansweredStarts) Start(context.Context, backend.WorkerRef, backend.StartOrder) (int64, error) {
	return 0, &backend.OrderError{Kind: backend.OrderUnanswered}
}

// setCapacity changes the number of accelerators in a worker's record.
func (s *manualSite) setCapacity(worker string, accelerators int) {
	s.setRecord(worker, func(info *catalog.Worker) { info.Capacity.Accelerators = accelerators })
}

// A worker may shrink while the record of a plan is being written: only as much of the plan as
// fits may start, and a gang as a whole or not at all.
func TestPlanIsCheckedAgainstShrunkWorkers(t *testing.T) {
	s := newManualSite(t, 2)
	s.Orders = unansweredStarts{s.orders}
	old, single, gang := s.job("old", workload.Step{Count: 2}), s.job("single", workload.Step{Count: 3}), s.job("gang", workload.Step{Count: 2, Gang: true})
	s.start(old, 0, "w0")
	s.startUnit(single, map[int]*worker{0: s.workers["w0"], 1: s.workers["w0"], 2: s.workers["w0"]}, s.now)
	s.startUnit(gang, map[int]*worker{0: s.workers["w0"], 1: s.workers["w1"]}, s.now)
	var planned []*run
	for _, u := range []*unit{single, gang} {
		for _, task := range u.tasks {
			planned = append(planned, task.run)
		}
	}
	s.setCapacity("w0", 2)
	s.startPlanned(planned)
	if got := s.workers["w0"].used.Accelerators; got > 2 {
		t.Errorf("%d accelerators used on a worker of 2", got)
	}
	started := 0
	for _, task := range single.tasks {
		if task.run != nil {
			started++
		}
	}
	if started != 1 {
		t.Errorf("%d tasks started, want the 1 that fits", started)
	}
	if gang.tasks[0].run != nil || gang.tasks[1].run != nil {
		t.Error("part of a gang started that does not fit")
	}
}

// The engine must learn of a capacity within a tick, although the signal that the view has
// changed may be lost. What is being stopped counts until its end is listed.
func TestTickTakesOverTheCapacityOfWorkers(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 4})
	for i := range 3 {
		s.start(u, i, "w0")
	}
	u.tasks[0].run.phase = runStopping
	for _, accelerators := range []int{2, 9} {
		s.setCapacity("w0", accelerators)
		s.onTick()
		pool, _ := s.snapshotWorkers(s.now, nil)
		if got, want := pool[0].Free.Accelerators, accelerators-3; got != want {
			t.Errorf("%d accelerators free on a worker of %d that runs 2 tasks and stops 1, want %d", got, accelerators, want)
		}
	}
}
