package dispatch

import (
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// listEnds delivers a listing without active runs in which the given ends may not be all.
func (s *manualSite) listEnds(worker string, more bool, ends ...backend.EndedRun) {
	reply := backend.Listing{ClockMS: s.now.Milliseconds(), IncarnationStartMS: 1, Ended: ends, MoreEnds: more}
	s.onRenewalReply(s.workers[worker], backend.RenewOrder{}, s.now, reply, nil)
}

// A run that is missing from a listing whose ends are not all listed may have ended as done: its
// task must not be started again.
func TestListingWithoutAllEndsEndsNoOtherRun(t *testing.T) {
	for name, prepare := range map[string]func(s *manualSite, r *run){
		"active":         func(_ *manualSite, r *run) { r.activeAt-- },
		"start unknown":  func(s *manualSite, r *run) { r.phase, r.orderedAt = runUnresolved, s.now-2*startTimeout },
		"stop confirmed": func(s *manualSite, r *run) { r.phase, r.stopConfirmedAt = runStopping, s.now-1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			u := s.job("u", workload.Step{Count: 2})
			first, second := s.start(u, 0, "w0"), s.start(u, 1, "w0")
			prepare(s, second)
			phase := second.phase
			s.listEnds("w0", true, backend.EndedRun{Number: 1, Run: first.id, Outcome: backend.OutcomeDone})
			if !u.tasks[0].done || u.tasks[0].run != nil {
				t.Error("the end that is listed does not count")
			}
			if u.tasks[1].run != second || second.phase != phase {
				t.Fatalf("run %v of the other task, phase %q, want it unchanged", u.tasks[1].run, second.phase)
			}
			s.listEnds("w0", false, backend.EndedRun{Number: 2, Run: second.id, Outcome: backend.OutcomeDone})
			if !u.tasks[1].done || u.job.progress.Phase != ledger.Completed {
				t.Errorf("job %q after the last ends, want completed", u.job.progress.Phase)
			}
		})
	}
}

// The answer to a start says nothing of what else the worker has: here it comes from the next
// incarnation of the worker, to which the run was transferred.
func TestAnswerToStartIsNoListing(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
	r := u.tasks[0].run
	r.phase = runStarting
	s.supersede(s.workers["w0"], 2, "it has crashed")
	s.onStartReply(r, s.now.Milliseconds(), nil)
	if r.worker.fenced {
		t.Error("the runs of the new incarnation count as known without a listing")
	}
	if r.firstSeenClockMS != 0 {
		t.Error("the run's survival is measured on a clock that may be the old incarnation's")
	}
}

// A new leader must not take a worker's runs for known, nor start anything there, before it has
// seen all ends that the worker keeps.
func TestNewLeaderWaitsForAllEnds(t *testing.T) {
	s := newManualSite(t, 2)
	u := s.job("u", workload.Step{Count: 2})
	w := s.workers["w0"]
	w.fenced = false
	u.job.inherited = map[string]ledger.Bitmap{w.key: nil}
	s.inheritedLeasesEnd = s.now + 6e9
	end := func(number int64, index int) backend.EndedRun {
		return backend.EndedRun{Number: number, Run: backend.RunID{Task: u.tasks[index].id, Number: 7}, Outcome: backend.OutcomeDone}
	}
	s.listEnds("w0", true, end(1, 0))
	s.accountInherited(u.job, s.now)
	if waiting := s.startable(u, s.now); len(waiting) != 0 {
		t.Errorf("tasks %v may start, although their ends may not be listed yet", waiting)
	}
	if s.offers("w0") {
		t.Error("the worker is offered before all its ends are known")
	}
	s.listEnds("w0", false, end(2, 1))
	if u.job.progress.Phase != ledger.Completed || !s.offers("w0") {
		t.Errorf("job %q, worker offered %v; want completed, true", u.job.progress.Phase, s.offers("w0"))
	}
}
