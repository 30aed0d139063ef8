package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// expectCount checks the crashes counted for a task, none of which is only likely to be its own.
func (s *manualSite) expectCount(u *unit, index, total, alone int) {
	s.t.Helper()
	s.expectCrashes(u, index, ledger.CrashCount{Total: total, Alone: alone})
}

// expectCrashes checks the crashes counted for a task.
func (s *manualSite) expectCrashes(u *unit, index int, want ledger.CrashCount) {
	s.t.Helper()
	if got := u.job.progress.Crashes[u.tasks[index].number]; got != want {
		s.t.Fatalf("crashes of %s.%d: %+v, want %+v", u.id, index, got, want)
	}
}

// Only what started shortly before a crash may have caused it.
func TestCrashDoesNotCountForWhatHasRunForLong(t *testing.T) {
	s := newManualSite(t, 1)
	old, fresh := s.job("old", workload.Step{Count: 1}), s.job("new", workload.Step{Count: 1})
	s.start(old, 0, "w0")
	s.now += 3 * time.Second
	s.list("w0", s.now)
	s.start(fresh, 0, "w0")
	s.crash("w0")
	s.expectCount(old, 0, 0, 0)
	s.expectCount(fresh, 0, 1, 1)
}

// A crash with several possible causes must end no job, however often it
// happens; members of one gang are one cause.
func TestCrashesWithSeveralSuspectsEndNoJob(t *testing.T) {
	s := newManualSite(t, 1)
	a, b := s.job("a", workload.Step{Count: 1}), s.job("b", workload.Step{Count: 1})
	for i := range 6 {
		s.start(a, 0, "w0")
		s.start(b, 0, "w0")
		s.crash("w0")
		s.expectCount(a, 0, i+1, 0)
		s.expectCount(b, 0, i+1, 0)
	}
	if a.job.progress.Phase.Ended() || b.job.progress.Phase.Ended() {
		t.Error("a job ended though nothing shows that it caused a crash")
	}
	gang := s.job("gang", workload.Step{Count: 2, Gang: true})
	s.start(gang, 0, "w0")
	s.start(gang, 1, "w0")
	s.crash("w0")
	s.expectCount(gang, 0, 1, 1)
	s.expectCount(gang, 1, 1, 1)
}

// Crashes under different members must not end the job of a gang: one that is on many workers is
// often on some that crash.
func TestGangIsNotGivenUpForCrashesUnderDifferentMembers(t *testing.T) {
	s := newManualSite(t, 2)
	gang := s.job("gang", workload.Step{Count: 6, Gang: true})
	for i := range 6 {
		s.start(gang, i, "w0")
		s.start(gang, (i+1)%6, "w1")
		s.crash("w0")
		s.expectCount(gang, i, 1, 1)
		s.removeRun(gang.tasks[(i+1)%6].run, string(backend.OutcomeGangBroken))
	}
	if gang.job.progress.Phase.Ended() {
		t.Error("the gang was given up")
	}
	for range 2 {
		s.start(gang, 3, "w0")
		s.crash("w0")
	}
	if gang.job.progress.Phase != ledger.Failed {
		t.Errorf("the job is %q after 3 crashes under one member, want failed", gang.job.progress.Phase)
	}
}

// What was ordered after a worker's connections broke cannot have crashed it.
func TestCrashDoesNotCountForWhatWasOrderedAfterIt(t *testing.T) {
	s := newManualSite(t, 1)
	cause, late, early := s.job("cause", workload.Step{Count: 1}), s.job("late", workload.Step{Count: 1}), s.job("early", workload.Step{Count: 1})
	s.start(early, 0, "w0")
	s.now += 3 * time.Second
	s.start(cause, 0, "w0")
	s.now += 10 * time.Millisecond
	s.workers["w0"].noteError(&backend.OrderError{Kind: backend.OrderUnanswered, Broken: true}, s.now)
	s.now += 500 * time.Millisecond
	s.startUnit(late, map[int]*worker{0: s.workers["w0"]}, s.now)
	late.tasks[0].run.phase = runUnresolved
	s.workers["w0"].noteError(&backend.OrderError{Kind: backend.OrderUnanswered, Broken: true}, s.now)
	s.crash("w0")
	s.expectCount(cause, 0, 1, 1)
	s.expectCount(late, 0, 0, 0)
	// It had been started long before, though no listing has shown so.
	s.expectCount(early, 0, 0, 0)
}

// A worker that answers again after a broken connection has not crashed: a later crash may
// have been caused by what was ordered since.
func TestBrokenConnectionIsForgottenWithTheNextAnswer(t *testing.T) {
	s := newManualSite(t, 1)
	s.workers["w0"].noteError(&backend.OrderError{Kind: backend.OrderUnanswered, Broken: true}, s.now)
	s.now += time.Second
	s.list("w0", s.now)
	u := s.job("u", workload.Step{Count: 1})
	s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
	u.tasks[0].run.phase = runUnresolved
	s.crash("w0")
	s.expectCrashes(u, 0, ledger.CrashCount{Total: 1, Likely: 1})
}

// Starts that reach no worker, as each is cut off and restarted, must not end the job as failed:
// nothing shows that its task ever began.
func TestStartsThatReachNoWorkerEndNoJob(t *testing.T) {
	for name, unanswered := range map[string]func(s *manualSite, r *run){
		"unanswered":    func(_ *manualSite, r *run) { r.phase = runUnresolved },
		"in flight":     func(_ *manualSite, r *run) { r.phase = runStarting },
		"being stopped": func(_ *manualSite, r *run) { r.phase = runStopping },
		"not listed since": func(s *manualSite, r *run) {
			r.phase = runUnresolved
			s.now += 2 * startTimeout
			s.onRenewalReply(r.worker, backend.RenewOrder{}, s.now, backend.Listing{ClockMS: s.now.Milliseconds(), IncarnationStartMS: r.worker.startMS()}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			u := s.job("u", workload.Step{Count: 1})
			for i := range 6 {
				s.now += 10 * time.Second
				s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
				unanswered(s, u.tasks[0].run)
				s.now += 4 * time.Second
				s.crash("w0")
				s.expectCount(u, 0, i+1, 0)
			}
			if u.job.progress.Phase.Ended() {
				t.Errorf("the job is %q though its task never began", u.job.progress.Phase)
			}
			// Crashes under runs that a worker has reported count as before.
			for range 2 {
				s.start(u, 0, "w0")
				s.crash("w0")
			}
			if u.job.progress.Phase != ledger.Failed {
				t.Errorf("the job is %q after 2 crashes under its task, want failed", u.job.progress.Phase)
			}
		})
	}
}

// The answer to a start may come after the stop of the run was decided: it shows that the run
// began.
func TestAnsweredStartOfStoppingRunCountsAsBegun(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	s.now += 10 * time.Second
	s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
	r := u.tasks[0].run
	r.phase = runStopping
	s.onStartReply(r, s.now.Milliseconds(), nil)
	s.crash("w0")
	s.expectCount(u, 0, 1, 1)
}

// A suspected task must be sent only to a worker that has just answered: then a crash counts as likely
// though the answer to the start is lost, and a worker that is gone costs no attempt.
func TestSuspectStartsOnlyOnAnsweringWorker(t *testing.T) {
	for _, answers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) { testSuspectStart(t, answers) })
	}
}

func testSuspectStart(t *testing.T, answers bool) {
	s := newManualSite(t, 2)
	orders := listingOrders{unansweredStarts{s.orders}, answers, make(chan struct{}, 9)}
	s.Orders = orders
	u := s.job("u", workload.Step{Count: 1})
	s.start(u, 0, "w0")
	s.crash("w0")
	s.now += 10 * time.Second
	s.startUnit(u, map[int]*worker{0: s.workers["w1"]}, s.now)
	r := u.tasks[0].run
	s.startPlanned([]*run{r})
	if r.phase != runPlanned {
		t.Fatalf("answers %v: the suspected task is %s before its worker has answered", answers, r.phase)
	}
	// Another record of the job is written meanwhile.
	s.startPlanned([]*run{r})
	synctest.Wait()
	if got := len(orders.calls); got != 1 {
		t.Errorf("answers %v: %d requests for a listing before the start, want 1", answers, got)
	}
	(<-s.events)()
	if started := r.phase != runPlanned; started != answers {
		t.Errorf("answers %v: started %v", answers, started)
	}
	if !answers {
		if u.tasks[0].run != nil || s.workers["w1"].quarantinedUntil <= s.now {
			t.Error("the worker that does not answer keeps the task, or is offered again at once")
		}
		return
	}
	s.now += startTimeout
	s.onStartReply(r, 0, &backend.OrderError{Kind: backend.OrderUnanswered})
	s.now += 3 * time.Second
	s.crash("w1")
	s.expectCrashes(u, 0, ledger.CrashCount{Total: 2, Alone: 1, Likely: 1})
}

// A leader that was paused while the worker answered must not rely on that answer.
func TestSuspectDoesNotStartOnOldAnswer(t *testing.T) {
	s := newManualSite(t, 2)
	s.Orders = listingOrders{unansweredStarts{s.orders}, true, make(chan struct{}, 9)}
	u := s.job("u", workload.Step{Count: 1})
	s.start(u, 0, "w0")
	s.crash("w0")
	s.startUnit(u, map[int]*worker{0: s.workers["w1"]}, s.now)
	s.startPlanned([]*run{u.tasks[0].run})
	answered := <-s.events
	s.now += 2 * startTimeout
	answered()
	if u.tasks[0].run != nil {
		t.Error("the task started on an answer to a call of long ago")
	}
}

// listingOrders answers requests for listings of w1, with no runs, if answers is set. Calls to
// other workers get no answer.
type listingOrders struct {
	unansweredStarts
	answers bool
	// calls receives a value for each call for w1.
	calls chan struct{}
}

func (o listingOrders) Renew(ctx context.Context, w backend.WorkerRef, _ backend.RenewOrder) (backend.Listing, error) {
	if w.ID != "w1" {
		<-ctx.Done()
	}
	if w.ID == "w1" {
		o.calls <- struct{}{}
	}
	if w.ID != "w1" || !o.answers {
		return backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered}
	}
	return backend.Listing{IncarnationStartMS: 1}, nil
}

// A worker that leaves after it has drained, or falls silent until its leases have ended,
// has not crashed.
func TestLeavingOrSilentWorkerIsNotACrash(t *testing.T) {
	s := newManualSite(t, 2)
	u, v := s.job("u", workload.Step{Count: 1}), s.job("v", workload.Step{Count: 1})
	s.start(u, 0, "w0")
	s.workers["w0"].info.Draining = true
	s.crash("w0")
	s.expectCount(u, 0, 0, 0)
	s.start(v, 0, "w1")
	w := s.workers["w1"]
	w.noteCall(s.now)
	s.now += time.Minute
	s.checkWorkers(s.now)
	if v.tasks[0].run != nil {
		t.Fatal("the silent worker was not given up")
	}
	s.expectCount(v, 0, 0, 0)
}

// The crashes of workers that crash by themselves are excused, but not for ever: after an
// outage that is true of every worker.
func TestCrashesOfWorkersThatCrashByThemselvesAreExcusedTwice(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	crash := func(total, alone int) {
		t.Helper()
		s.now += time.Second
		s.start(u, 0, "w0")
		s.crash("w0")
		s.expectCount(u, 0, total, alone)
	}
	s.crash("w0")
	crash(1, 0)
	crash(2, 0)
	crash(3, 1)
	if u.job.progress.Phase.Ended() {
		t.Error("the job ended after one crash that is not excused")
	}
	s.now += time.Second
	s.start(u, 0, "w0")
	s.crash("w0")
	if u.job.progress.Phase != ledger.Failed {
		t.Errorf("the job is %q, want failed", u.job.progress.Phase)
	}
	v := s.job("v", workload.Step{Count: 1})
	s.now += 2 * crashMemory
	s.onTick()
	if len(s.crashes) != 0 {
		t.Error("crashes are remembered for ever")
	}
	s.start(v, 0, "w0")
	s.crash("w0")
	s.expectCount(v, 0, 1, 1)
}

// A task must be cleared once it has run for a while, by the worker's clock: a listing that
// reaches a paused leader late says nothing of the time since it was made.
func TestSuspectIsClearedWhenItSurvives(t *testing.T) {
	s := newManualSite(t, 2)
	u := s.job("u", workload.Step{Count: 1})
	s.start(u, 0, "w0")
	s.crash("w0")
	began := s.now
	s.start(u, 0, "w1")
	s.now += 10 * time.Second
	s.list("w1", began+time.Second)
	s.expectCount(u, 0, 1, 1)
	for len(s.orders.listings) > 0 {
		<-s.orders.listings
	}
	s.workers["w1"].listingAt = began
	s.checkRuns(s.now)
	if got := <-s.orders.listings; got != "w1" {
		t.Errorf("listing of %s requested, want one of w1, which may clear the task", got)
	}
	s.list("w1", began+crashWindow)
	s.expectCount(u, 0, 0, 0)
	s.crash("w1")
	s.expectCount(u, 0, 0, 0)
}

// A suspected task must not start beside other new runs, nor they beside it, until it has
// survived; members of one gang may.
func TestSuspectStartsApart(t *testing.T) {
	s := newManualSite(t, 3)
	suspect, other, gang := s.job("suspect", workload.Step{Count: 1}), s.job("other", workload.Step{Count: 1}), s.job("gang", workload.Step{Count: 2, Gang: true})
	s.start(suspect, 0, "w0")
	s.crash("w0")
	plan := func(u *unit, index int, on string) bool {
		s.startUnit(u, map[int]*worker{index: s.workers[on]}, s.now)
		r := u.tasks[index].run
		defer s.removeRun(r, "test")
		return s.canStart(r, s.now)
	}
	s.start(other, 0, "w1")
	if plan(suspect, 0, "w1") {
		t.Error("suspected task may start beside a new run")
	}
	s.now += 3 * time.Second
	s.list("w1", s.now)
	if !plan(suspect, 0, "w1") {
		t.Error("suspected task may not start beside a run that has run for long")
	}
	s.start(suspect, 0, "w2")
	second := s.job("second", workload.Step{Count: 1})
	if plan(second, 0, "w2") || s.offers("w2") {
		t.Error("a task may start beside a suspected one")
	}
	s.now += 3 * time.Second
	s.list("w2", s.now)
	if !plan(second, 0, "w2") || !s.offers("w2") {
		t.Error("no task may start beside a cleared one")
	}
	s.start(gang, 0, "w0")
	s.start(gang, 1, "w0")
	s.crash("w0")
	s.start(gang, 0, "w0")
	s.startUnit(gang, map[int]*worker{1: s.workers["w0"]}, s.now)
	if !s.canStart(gang.tasks[1].run, s.now) {
		t.Error("a member of a suspected gang may not join its gang")
	}
}

// A suspected task starts where a crash tells most and costs least: on idle workers that have
// not crashed, else on ones without new runs.
func TestSuspectPrefersIdleSoundWorkers(t *testing.T) {
	s := newManualSite(t, 4)
	u, old, fresh := s.job("u", workload.Step{Count: 1}), s.job("old", workload.Step{Count: 1}), s.job("fresh", workload.Step{Count: 1})
	s.start(u, 0, "w0")
	s.crash("w0")
	s.start(old, 0, "w1")
	s.now += 3 * time.Second
	s.list("w1", s.now)
	s.start(fresh, 0, "w2")
	expect := func(want ...string) {
		t.Helper()
		var got []string
		for key := range s.workersForSuspect(u, nil, s.now) {
			got = append(got, workerID(key))
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("workers %v, want %v", got, want)
		}
	}
	expect("w3")
	s.workers["w3"].info.Draining = true
	expect("w1")
	s.workers["w1"].info.Draining = true
	expect("w0")
	s.workers["w0"].info.Draining = true
	allowed := map[string]bool{s.workers["w2"].key: true}
	if got := s.workersForSuspect(u, allowed, s.now); !maps.Equal(got, allowed) {
		t.Errorf("workers %v, want all that are allowed, so that the task can start at all", got)
	}
}

// A suspected task must start where nothing else is new, and must not stop others' work to get
// there before it has to start.
func TestSuspectStopsNoOthers(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	if pu := s.waitingUnit(u); pu.StartsApart || pu.MayNotPreempt {
		t.Errorf("unit without crashes: starts apart %v, may not preempt %v", pu.StartsApart, pu.MayNotPreempt)
	}
	u.job.spec.SubmittedMS = s.UnixMS()
	s.start(u, 0, "w0")
	s.crash("w0")
	if pu := s.waitingUnit(u); !pu.StartsApart || !pu.MayNotPreempt {
		t.Errorf("suspected unit: starts apart %v, may not preempt %v", pu.StartsApart, pu.MayNotPreempt)
	}
	if pu := s.waitingUnit(u); !pu.Avoid[s.workers["w0"].key] {
		t.Error("suspected unit does not avoid a worker that has crashed")
	}
	s.now += s.maxReclaimWait()
	if pu := s.waitingUnit(u); !pu.StartsApart || pu.MayNotPreempt {
		t.Errorf("suspected unit that must start: starts apart %v, may not preempt %v", pu.StartsApart, pu.MayNotPreempt)
	}
}

// A gang is cleared by the survival of all its members: any of them may be the cause.
func TestGangIsClearedAsAWhole(t *testing.T) {
	s := newManualSite(t, 3)
	u := s.job("u", workload.Step{Count: 2, Gang: true})
	s.start(u, 0, "w0")
	s.crash("w0")
	s.start(u, 0, "w1")
	s.start(u, 1, "w2")
	s.now += 3 * time.Second
	s.list("w2", s.now)
	s.expectCount(u, 0, 1, 1)
	s.list("w1", s.now)
	s.expectCount(u, 0, 0, 0)
}

// Of a unit with suspected tasks, one may run at a time until one has run without a crash;
// the others of the unit go on meanwhile.
func TestOneSuspectOfAUnitRunsAtATime(t *testing.T) {
	s := newManualSite(t, 6)
	u := s.job("u", workload.Step{Count: 6})
	for i := range 3 {
		on := fmt.Sprintf("w%d", i)
		s.start(u, i, on)
		s.crash(on)
	}
	expect := func(want []int, wantSuspected bool) {
		t.Helper()
		s.now += suspectInterval
		got, suspected := s.splitSuspects(u, u.waiting(), s.now)
		if !slices.Equal(got, want) || suspected != wantSuspected {
			t.Errorf("tasks %v, suspected %v; want %v, %v", got, suspected, want, wantSuspected)
		}
	}
	expect([]int{0}, true)
	if got, suspected := s.splitSuspects(u, u.waiting(), s.now); suspected || !slices.Equal(got, []int{3, 4, 5}) {
		t.Errorf("tasks %v right after a suspect, want the others", got)
	}
	s.start(u, 0, "w0")
	expect([]int{3, 4, 5}, false)
	s.taskDone(u.tasks[0], u.tasks[0].run)
	s.removeRun(u.tasks[0].run, string(backend.OutcomeDone))
	expect([]int{1}, true)
	s.start(u, 1, "w1")
	expect([]int{2}, true)
}

// The crash of an idle worker, which nothing calls, must be noticed when another incarnation
// is listed at its address, also under another ID.
func TestCrashOfIdleWorkerIsNoticed(t *testing.T) {
	s := newManualSite(t, 2)
	next := s.workers["w0"].info
	next.ID, next.StartedMS = "other", 2
	s.view.Workers[next.ID] = next
	s.syncWorkers()
	if !s.crashesByItself(s.workers["w0"], s.now) || s.crashesByItself(s.workers["w1"], s.now) {
		t.Error("want a crash of w0 alone")
	}
}

// A run that may be on the next incarnation of its worker must survive there anew before a
// crash of that one is not put down to it.
func TestTransferredRunHasNotSurvived(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	r := s.start(u, 0, "w0")
	r.survived, r.phase = true, runUnresolved
	s.supersede(s.workers["w0"], 2, "it has crashed")
	if r.survived || r.firstSeenClockMS != 0 {
		t.Error("the run counts as having survived on the new incarnation")
	}
}

// A run that started on the next incarnation of its worker has not caused the crash of the one
// before; one that is not there has been on the one before, or was never carried out.
func TestRunOnALaterIncarnationIsNoSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(s *manualSite, r *run)
		count   int
	}{
		"it is listed": {func(s *manualSite, r *run) {
			s.answer(r.worker, 2, r.id)
		}, 0},
		"its end is listed": {func(s *manualSite, r *run) {
			s.onRenewalReply(r.worker, backend.RenewOrder{}, s.now, backend.Listing{ClockMS: 1, IncarnationStartMS: 2, Ended: []backend.EndedRun{{Number: 1, Run: r.id, Outcome: backend.OutcomeStopped}}}, nil)
		}, 0},
		"its start was refused": {func(s *manualSite, r *run) {
			s.onStartReply(r, 0, &backend.OrderError{Kind: backend.OrderNoCapacity})
		}, 0},
		"it had ended before the crash": {func(s *manualSite, r *run) {
			s.onRenewalReply(s.workers["w0"], backend.RenewOrder{}, s.now, backend.Listing{ClockMS: 1, IncarnationStartMS: 1, Ended: []backend.EndedRun{{Number: 1, Run: r.id, Outcome: backend.OutcomeStopped}}}, nil)
		}, 0},
		"the crashed incarnation had listed it": {func(s *manualSite, r *run) {
			s.onRenewalReply(s.workers["w0"], backend.RenewOrder{}, s.now, backend.Listing{ClockMS: 1, IncarnationStartMS: 1, Active: []backend.ActiveRun{{Run: r.id}}}, nil)
		}, 1},
		"it is not there": {func(s *manualSite, r *run) {
			s.onStopReply(r, r.worker, nil)
			s.now++
			s.answer(r.worker, 2)
		}, 1},
		"the next incarnation is lost before it answers": {func(s *manualSite, r *run) {
			s.loseRuns(r.worker, "test")
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = unansweredStarts{s.orders}
			u := s.job("u", workload.Step{Count: 1})
			r := s.start(u, 0, "w0")
			s.relist("w0", 2)
			s.expectCount(u, 0, 0, 0)
			c.happens(s, r)
			s.expectCount(u, 0, c.count, c.count)
		})
	}
}

// Guards against a suspected task that waits, beside idle workers that have crashed lately, for one
// that has not and is in use: it must start where there is room.
func TestSuspectStartsWhereThereIsRoom(t *testing.T) {
	s := newManualSite(t, 2)
	u, others := s.job("u", workload.Step{Count: 1}), s.job("others", workload.Step{Count: 8})
	for i := range others.tasks {
		s.start(others, i, "w1")
	}
	s.now += 3 * time.Second
	s.list("w1", s.now)
	s.start(u, 0, "w0")
	s.crash("w0")
	allowed := s.workersForSuspect(u, nil, s.now)
	if !allowed[s.workers["w0"].key] {
		t.Errorf("workers %v, want w0 among them, the only one with room", allowed)
	}
	s.removeRun(others.tasks[0].run, string(backend.OutcomeDone))
	if allowed := s.workersForSuspect(u, nil, s.now); len(allowed) != 1 || !allowed[s.workers["w1"].key] {
		t.Errorf("workers %v, want only w1, which has not crashed and has room", allowed)
	}
}

// Guards against a task that crashes its workers and is started without an end, since they are down for
// longer than its lease: the crash counts once another incarnation has answered. A worker that was only
// out of reach has not crashed, and a task that has survived elsewhere since has not caused it.
func TestCrashCountsOnceItBecomesKnown(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(s *manualSite, u *unit)
		count   int
	}{
		"another incarnation answers": {func(s *manualSite, _ *unit) {
			s.relist("w0", 2)
			s.answer(s.latest["w0"], 2)
		}, 1},
		"another incarnation is listed": {func(s *manualSite, _ *unit) {
			s.relist("w0", 2)
		}, 1},
		"another incarnation answers after the first is forgotten": {func(s *manualSite, _ *unit) {
			delete(s.View().Workers, "w0")
			s.updateView()
			s.checkWorkers(s.now)
			if s.latest["w0"] != nil {
				s.t.Fatal("the worker is not forgotten")
			}
			s.now += time.Second
			info := s.workers["w0"].info
			info.StartedMS = 2
			s.View().Workers["w0"] = info
			s.updateView()
			s.answer(s.latest["w0"], 2)
		}, 1},
		"a worker with another ID answers at its address": {func(s *manualSite, _ *unit) {
			s.setRecord("w1", func(info *catalog.Worker) { info.Address, info.StartedMS = "a0", 9 })
			s.updateView()
			s.answer(s.Engine.workers["w1@9"], 9)
		}, 1},
		"it was out of reach": {func(s *manualSite, _ *unit) {
			s.now += time.Second
			s.answer(s.workers["w0"], 1)
			s.relist("w0", 2)
			s.answer(s.latest["w0"], 2)
		}, 0},
		"the task survives elsewhere": {func(s *manualSite, u *unit) {
			s.start(u, 0, "w1")
			s.now += crashWindow
			s.list("w1", s.now)
			s.relist("w0", 2)
			s.answer(s.latest["w0"], 2)
		}, 0},
		"long after": {func(s *manualSite, _ *unit) {
			s.now += crashMemory + 1
			s.checkSilenced(s.now)
			s.relist("w0", 2)
			s.answer(s.latest["w0"], 2)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 2)
			s.Orders = unansweredStarts{s.orders}
			u := s.job("u", workload.Step{Count: 1})
			s.start(u, 0, "w0")
			s.silence("w0")
			s.expectCount(u, 0, 0, 0)
			c.happens(s, u)
			s.checkSilenced(s.now)
			s.expectCount(u, 0, c.count, c.count)
		})
	}
}
