package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// inherit makes a job one that an earlier leader may have started on the worker w0, from which
// this leader has no listing yet.
func (s *manualSite) inherit(u *unit) {
	w := s.workers["w0"]
	w.fenced = false
	u.job.inherited = map[string]ledger.Bitmap{w.key: nil}
	s.inheritedLeasesEnd = s.now + 12*time.Second
}

// waits reports whether all tasks of a unit are kept from being started.
func (s *manualSite) waits(u *unit) bool {
	s.accountInherited(u.job, s.now)
	return len(s.startable(u, s.now)) == 0
}

// relist makes the platform list another incarnation of a worker, of which the earlier ones are silent.
func (s *manualSite) relist(worker string, startMS int64) {
	s.setRecord(worker, func(info *catalog.Worker) { info.StartedMS = startMS })
	s.updateView()
	for _, w := range s.Engine.workers {
		if latest := s.latest[worker]; w.info.ID == worker && w.startMS() < latest.startMS() {
			s.supersede(w, latest.startMS(), "it is silent")
		}
	}
}

// answer delivers an answer of an incarnation of a worker to a call that was meant for another.
func (s *manualSite) answer(w *worker, startMS int64, active ...backend.RunID) {
	reply := backend.Listing{ClockMS: 1, IncarnationStartMS: startMS}
	for _, id := range active {
		reply.Active = append(reply.Active, backend.ActiveRun{Run: id})
	}
	s.onRenewalReply(w, backend.RenewOrder{}, s.now, reply, nil)
	w.renewalInFlight = false
}

// Guards against a second run of a task whose start was carried out by a later incarnation of its
// worker than the job's record names, while the leader changed.
func TestNewLeaderAsksTheIncarnationThatMayRunATask(t *testing.T) {
	for name, appears := range map[string]func(s *manualSite, active ...backend.RunID){
		"it answers in place of the earlier one": func(s *manualSite, active ...backend.RunID) {
			s.answer(s.workers["w0"], 2, active...)
		},
		"the platform lists it": func(s *manualSite, active ...backend.RunID) {
			s.relist("w0", 2)
			u := s.jobs["u"].units[0]
			if !s.waits(u) {
				s.t.Error("the task may start before the incarnation has been asked")
			}
			s.answer(s.Engine.workers["w0@2"], 2, active...)
		},
		"it answers, and restarts before it is asked again": func(s *manualSite, active ...backend.RunID) {
			s.relist("w0", 2)
			s.answer(s.Engine.workers["w0@2"], 3, active...)
		},
		"the first one has answered a call that has been lost": func(s *manualSite, active ...backend.RunID) {
			s.onRenewalReply(s.workers["w0"], backend.RenewOrder{}, s.now, backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered})
			s.answer(s.workers["w0"], 2, active...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, runs := range []bool{true, false} {
				s := newManualSite(t, 2)
				u := s.job("u", workload.Step{Count: 1})
				s.inherit(u)
				id := backend.RunID{Task: u.tasks[0].id, Number: 7}
				if !s.waits(u) {
					t.Fatal("the task may start before anything is known of the worker")
				}
				if runs {
					appears(s, id)
				} else {
					appears(s)
				}
				r := u.tasks[0].run
				if runs && (r == nil || r.id != id) {
					t.Errorf("run %+v of the task, want the one that the later incarnation lists", r)
				}
				if !runs && s.waits(u) {
					t.Error("the task waits, although the later incarnation has listed what it runs")
				}
			}
		})
	}
}

// A wait for an incarnation that does not answer must end with the leases.
func TestWaitForALaterIncarnationEnds(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	s.inherit(u)
	s.relist("w0", 2)
	s.now = s.inheritedLeasesEnd
	if !s.waits(u) {
		t.Error("the task may start before the leases have ended")
	}
	s.now++
	if s.waits(u) {
		t.Error("the task waits after the leases have ended")
	}
}

// The listing of an earlier incarnation than the record names accounts for nothing: the platform's
// list may be older than the record.
func TestEarlierIncarnationAccountsForNothing(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	s.inherit(u)
	u.job.inherited = map[string]ledger.Bitmap{"w0@2": nil}
	s.answer(s.workers["w0"], 1)
	if !s.waits(u) {
		t.Error("the task may start, although the incarnation that may run it has not answered")
	}
	s.answer(s.workers["w0"], 2)
	if s.waits(u) {
		t.Error("the task waits, although the incarnation has listed what it runs")
	}
}

// recordedRenewals answers no order, and passes on each renewal.
type recordedRenewals struct {
	unansweredStarts
	renewals chan backend.RenewOrder
}

func (o recordedRenewals) Renew(_ context.Context, _ backend.WorkerRef, order backend.RenewOrder) (backend.Listing, error) {
	o.renewals <- order
	return backend.Listing{}, &backend.OrderError{Kind: backend.OrderUnanswered}
}

// recordRenewals waits until earlier calls to the worker have been sent, and records the later ones.
func (s *manualSite) recordRenewals(w *worker) chan backend.RenewOrder {
	synctest.Wait()
	renewals := make(chan backend.RenewOrder, 1)
	s.Orders = recordedRenewals{unansweredStarts{s.orders}, renewals}
	w.renewalInFlight, w.listingInFlight, w.unansweredSince = false, false, 0
	return renewals
}

// Guards against a second start of a task that has ended as done on a later incarnation of its
// worker, which forgot the end on an acknowledgement that was meant for the earlier one.
func TestAcknowledgementIsNotForALaterIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		// happens may start the second task, after the first one has ended on the worker.
		happens func(s *manualSite, w *worker, u *unit)
		want    int64
	}{
		"the end is recorded": {func(*manualSite, *worker, *unit) {}, 1},
		"it has been acknowledged": {func(s *manualSite, w *worker, u *unit) {
			w.endsAcknowledged = 1
			s.start(u, 1, "w0")
			s.list("w0", s.now)
		}, 0},
		"a start is planned": {func(s *manualSite, w *worker, u *unit) {
			s.startUnit(u, map[int]*worker{1: w}, s.now)
		}, 0},
		"a start is not answered": {func(s *manualSite, _ *worker, u *unit) {
			s.unansweredStart(u, 1, "w0")
		}, 0},
		"a start is answered": {func(s *manualSite, _ *worker, u *unit) {
			s.start(u, 1, "w0")
		}, 0},
		"a stop is confirmed of a run that was not listed": {func(s *manualSite, _ *worker, u *unit) {
			s.unansweredStart(u, 1, "w0")
			u.tasks[1].run.phase = runStopping
			s.onStopReply(u.tasks[1].run, s.workers["w0"], nil)
		}, 0},
		"the run is listed": {func(s *manualSite, _ *worker, u *unit) {
			s.start(u, 1, "w0")
			s.list("w0", s.now)
		}, 1},
		"the worker may have more ends than it lists": {func(s *manualSite, w *worker, u *unit) {
			s.start(u, 1, "w0")
			s.listEnds("w0", true)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newManualSite(t, 1)
				u, w := s.job("u", workload.Step{Count: 2}), s.workers["w0"]
				s.start(u, 0, "w0")
				s.listEnds("w0", false, backend.EndedRun{Number: 1, Run: u.tasks[0].run.id, Outcome: backend.OutcomeDone})
				w.endsRecorded = 1
				c.happens(s, w, u)
				renewals := s.recordRenewals(w)
				// The next renewal is due.
				s.now += renewalRetryDelay
				for _, call := range []func(*worker){s.renewNow, s.requestListing} {
					if !s.needsRenewal(w, s.now) {
						continue
					}
					call(w)
					if got := (<-renewals).SeenUpTo; got != c.want {
						t.Errorf("ends up to %d are acknowledged, want %d", got, c.want)
					}
				}
			})
		})
	}
}

// A renewal that withholds an acknowledgement for a start waits for the start's answer, which makes
// it due: until then the worker would list the same again, and after it no end may go unnoticed.
func TestWithheldAcknowledgementFollowsTheStart(t *testing.T) {
	s := newManualSite(t, 1)
	s.Orders = unansweredStarts{s.orders}
	u, w := s.job("u", workload.Step{Count: 2}), s.workers["w0"]
	s.start(u, 0, "w0")
	s.listEnds("w0", false, backend.EndedRun{Number: 1, Run: u.tasks[0].run.id, Outcome: backend.OutcomeDone})
	w.endsRecorded, w.renewalInFlight = 1, false
	s.startUnit(u, map[int]*worker{1: w}, s.now)
	s.renewNow(w)
	if w.renewalInFlight {
		t.Error("a renewal is sent before the start")
	}
	s.now += 10 * time.Millisecond
	u.tasks[1].run.phase = runStarting
	s.onStartReply(u.tasks[1].run, s.now.Milliseconds(), nil)
	if !w.renewalInFlight {
		t.Error("no renewal is sent once the start is answered")
	}
}

// Guards against a second run of a task whose start may have been carried out by a later
// incarnation of its worker: until that one has listed its runs, only a listing of the earlier one
// shows that the run has ended with it.
func TestRunThatWasNotListedMayBeOnALaterIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(s *manualSite, u *unit)
		keeps   bool
	}{
		"its start is in flight": {func(s *manualSite, u *unit) {
			s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
			u.tasks[0].run.phase = runStarting
		}, true},
		"its start is not answered": {func(s *manualSite, u *unit) {
			s.unansweredStart(u, 0, "w0")
		}, true},
		"its start is not answered, and it is being stopped": {func(s *manualSite, u *unit) {
			s.unansweredStart(u, 0, "w0")
			s.stopRun(u.tasks[0].run, stopUnconfirmed)
		}, true},
		"its start is answered": {func(s *manualSite, u *unit) {
			s.start(u, 0, "w0")
		}, true},
		"a listing arrives that was made before its start": {func(s *manualSite, u *unit) {
			requested := s.now
			s.now++
			s.start(u, 0, "w0")
			s.now++
			s.onRenewalReply(s.workers["w0"], backend.RenewOrder{}, requested, backend.Listing{ClockMS: s.now.Milliseconds(), IncarnationStartMS: 1}, nil)
		}, true},
		"it is listed": {func(s *manualSite, u *unit) {
			s.start(u, 0, "w0")
			s.list("w0", s.now)
		}, false},
		"it is only planned": {func(s *manualSite, u *unit) {
			s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for seen, appears := range map[string]func(s *manualSite){
				"answers": func(s *manualSite) { s.answer(s.workers["w0"], 2) },
				"listed":  func(s *manualSite) { s.relist("w0", 2) },
			} {
				s := newManualSite(t, 1)
				s.Orders = unansweredStarts{s.orders}
				u := s.job("u", workload.Step{Count: 1})
				c.happens(s, u)
				appears(s)
				if got := u.tasks[0].run != nil; got != c.keeps {
					t.Errorf("%s: the task keeps its run: %v, want %v", seen, got, c.keeps)
				}
			}
		})
	}
}

// Guards against a run on a later incarnation that counts as stopped, or throttled, since the earlier
// one has confirmed it.
func TestAnswerOfAnEarlierIncarnationIsNotForALaterOne(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(s *manualSite, r *run, earlier *worker)
	}{
		"stop confirmed before": {before: func(s *manualSite, r *run, earlier *worker) { s.onStopReply(r, earlier, nil) }},
		"stop confirmed after":  {after: func(s *manualSite, r *run, earlier *worker) { s.onStopReply(r, earlier, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = unansweredStarts{s.orders}
			u := s.job("u", workload.Step{Count: 1})
			s.unansweredStart(u, 0, "w0")
			earlier, r := s.workers["w0"], u.tasks[0].run
			s.stopRun(r, stopUnconfirmed)
			if c.before != nil {
				c.before(s, r, earlier)
			}
			s.answer(earlier, 2)
			if c.after != nil {
				c.after(s, r, earlier)
			}
			if r.stopConfirmedAt != 0 {
				t.Error("the stop counts as confirmed by the later incarnation")
			}
			s.onStopReply(r, r.worker, nil)
			if r.stopConfirmedAt == 0 {
				t.Error("the stop does not count as confirmed")
			}
		})
	}
}

// throttledOrders confirms throttle orders and answers nothing else.
type throttledOrders struct{ unansweredStarts }

func (throttledOrders) Throttle(context.Context, backend.WorkerRef, backend.RunID, int, int64) (int64, error) {
	return 1, nil
}

// A throttle that the earlier incarnation has confirmed must not count for the later one, on which the
// task started at full speed, wherever the answer is when that one becomes known.
func TestThrottleOfAnEarlierIncarnationIsNotForALaterOne(t *testing.T) {
	for name, answeredBefore := range map[string]bool{"confirmed before": true, "confirmed after": false} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = throttledOrders{unansweredStarts{s.orders}}
			u := s.job("u", workload.Step{Count: 1})
			r, earlier := s.start(u, 0, "w0"), s.workers["w0"]
			s.throttleRun(r, 50, 1)
			confirm := func() {
				for r.throttleInFlight {
					(<-s.events)()
				}
			}
			if answeredBefore {
				confirm()
			}
			s.answer(earlier, 2)
			confirm()
			if r.throttlePercent != fullSpeedPercent || r.throttleConfirmed {
				t.Errorf("throttled to %d %%, confirmed %v; want full speed, not confirmed", r.throttlePercent, r.throttleConfirmed)
			}
		})
	}
}

// A listing may arrive after another incarnation has become known: what ran on the earlier one has
// ended with it, must not be stopped on the later one, and is not taken over.
func TestLateListingOfAnEarlierIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		listing func(id backend.RunID) backend.Listing
		done    bool
	}{
		"active": {func(id backend.RunID) backend.Listing {
			return backend.Listing{Active: []backend.ActiveRun{{Run: id}}}
		}, false},
		"ended as done": {func(id backend.RunID) backend.Listing {
			return backend.Listing{Ended: []backend.EndedRun{{Number: 1, Run: id, Outcome: backend.OutcomeDone}}}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, known := range []bool{true, false} {
				s := newManualSite(t, 1)
				s.Orders = unansweredStarts{s.orders}
				u, w := s.job("u", workload.Step{Count: 1}), s.workers["w0"]
				id := backend.RunID{Task: u.tasks[0].id, Number: 7}
				if known {
					s.unansweredStart(u, 0, "w0")
					id = u.tasks[0].run.id
				}
				s.relist("w0", 2)
				reply := c.listing(id)
				reply.ClockMS, reply.IncarnationStartMS = s.now.Milliseconds(), 1
				s.onRenewalReply(w, backend.RenewOrder{}, s.now, reply, nil)
				if r := u.tasks[0].run; r != nil {
					t.Errorf("run known %v: the task has a run on %s", known, r.worker.key)
				}
				if len(w.orphans) > 0 {
					t.Errorf("run known %v: a stop was sent to the later incarnation", known)
				}
				if u.tasks[0].done != c.done {
					t.Errorf("run known %v: the task is done: %v, want %v", known, u.tasks[0].done, c.done)
				}
			}
		})
	}
}

// The lease of a run on a later incarnation is the longest one, counted from when the start was
// carried out: a run that may be there is not given up before that has ended.
func TestLeaseOnALaterIncarnation(t *testing.T) {
	s := newManualSite(t, 1)
	s.Orders = unansweredStarts{s.orders}
	u := s.job("u", workload.Step{Count: 1})
	s.unansweredStart(u, 0, "w0")
	s.now += 3 * time.Second
	s.relist("w0", 2)
	w := u.tasks[0].run.worker
	w.noteCall(s.now)
	s.now += s.Settings.LeaseDuration
	s.checkWorkers(s.now)
	if u.tasks[0].run == nil {
		t.Fatal("the run was given up, although its lease may not have ended")
	}
	s.now += s.maxLeaseError() + 1
	s.checkWorkers(s.now)
	if u.tasks[0].run != nil {
		t.Error("the run was not given up after its lease")
	}
}

// A worker may start again with its time of day set back, and so with an earlier start time: it must
// get work again, and what ran on the earlier incarnation has ended.
func TestLaterIncarnationMayHaveAnEarlierStartTime(t *testing.T) {
	for name, appears := range map[string]func(s *manualSite){
		"it answers": func(s *manualSite) {
			s.answer(s.workers["w0"], 3)
			s.checkWorkers(s.now)
			s.relist("w0", 3)
		},
		"the platform lists it": func(s *manualSite) {
			s.relist("w0", 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = unansweredStarts{s.orders}
			s.relist("w0", 5)
			s.workers["w0"] = s.latest["w0"]
			s.workers["w0"].fenced = true
			u := s.job("u", workload.Step{Count: 2})
			s.start(u, 0, "w0")
			s.onRenewalReply(s.workers["w0"], backend.RenewOrder{}, s.now, backend.Listing{ClockMS: 1, IncarnationStartMS: 5, Active: []backend.ActiveRun{{Run: u.tasks[0].run.id}}}, nil)
			s.now += time.Second
			appears(s)
			s.now += time.Second
			s.answer(s.Engine.workers["w0@3"], 3)
			s.updateView()
			s.workers["w0"] = s.latest["w0"]
			if s.workers["w0"].key != "w0@3" || !s.offers("w0") {
				t.Errorf("the latest incarnation is %s, offered: %v", s.workers["w0"].key, s.offers("w0"))
			}
			if r := u.tasks[0].run; r != nil {
				t.Errorf("the task has a run on %s", r.worker.key)
			}
		})
	}
}

// While the log is out of reach, no lease may outlast the lease window: on a later incarnation it
// would last as long as leases may, whatever the order says.
func TestLeaseWindowHoldsOnALaterIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		outage         time.Duration
		listed, grants bool
	}{
		"listed, long outage":      {4 * time.Second, true, true},
		"not listed, short outage": {time.Second, false, true},
		"not listed, long outage":  {4 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newManualSite(t, 1)
				s.Settings.LeaseDuration = 10 * time.Second
				s.start(s.job("u", workload.Step{Count: 1}), 0, "w0")
				if c.listed {
					s.list("w0", s.now)
				}
				w := s.workers["w0"]
				renewals := s.recordRenewals(w)
				s.now += c.outage
				s.renewNow(w)
				if got := (<-renewals).LeaseUntilMS > 0; got != c.grants {
					t.Errorf("lease granted: %v, want %v", got, c.grants)
				}
			})
		})
	}
}

// A ticket holds for one incarnation of a worker: the next one needs another, and may get it.
func TestTicketIsForOneIncarnation(t *testing.T) {
	s := newManualSite(t, 1)
	s.Orders = unansweredStarts{s.orders}
	adviser := &countingAdviser{asked: make(chan []string, 10)}
	s.Adviser = adviser
	u := s.job("u", workload.Step{Count: 1})
	u.job.policy.Advised = true
	for range 2 {
		present := s.latest["w0"].key
		if u.ticketKeys()[present] {
			t.Fatalf("the unit has a ticket for %s before the adviser was asked", present)
		}
		s.adviseUnplaced([]workload.UnitID{u.id})
		if got := <-adviser.asked; len(got) != 1 || got[0] != "w0" {
			t.Fatalf("asked about %v, want w0", got)
		}
		for s.adviceInFlight {
			(<-s.events)()
		}
		if !u.ticketKeys()[present] {
			t.Errorf("no ticket for %s", present)
		}
		s.relist("w0", 2)
		s.latest["w0"].fenced, s.latest["w0"].clock.known = true, true
	}
}

// countingAdviser gives a ticket for each worker.
type countingAdviser struct{ asked chan []string }

func (a *countingAdviser) Advise(_ context.Context, _ workload.UnitID, workers []string) (backend.Advice, error) {
	a.asked <- workers
	advice := backend.Advice{Tickets: map[string]string{}, ValidFor: time.Minute}
	for _, id := range workers {
		advice.Tickets[id] = "ticket"
	}
	return advice, nil
}

// An answer with a clock behind that of an earlier listing is from a later incarnation: it must be
// asked for its runs at once, and get nothing else before it has listed them.
func TestClockThatWentBackShowsALaterIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		clock    time.Duration
		wentBack bool
	}{"ahead": {time.Second, false}, "behind": {-time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newManualSite(t, 1)
				s.Orders = unansweredStarts{s.orders}
				s.list("w0", s.now)
				u := s.job("u", workload.Step{Count: 2})
				s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
				r := u.tasks[0].run
				s.startRun(r, s.now)
				s.onStartReply(r, (s.now + c.clock).Milliseconds(), nil)
				synctest.Wait()
				if got := s.offers("w0"); got == c.wentBack {
					t.Errorf("the worker is offered: %v", got)
				}
				if got := s.workers["w0"].listingInFlight; got != c.wentBack {
					t.Errorf("a listing is requested: %v, want %v", got, c.wentBack)
				}
				s.answer(s.workers["w0"], 2, r.id)
				if r.worker.key != "w0@2" || r.phase != runActive {
					t.Errorf("the run is %s on %s, want active on w0@2", r.phase, r.worker.key)
				}
			})
		})
	}
}
