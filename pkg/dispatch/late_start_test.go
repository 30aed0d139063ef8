package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// testDrift is the largest fraction by which the clocks of driftingWorkers run slow.
const testDrift = 0.02

// driftingWorker is a worker with a clock of its own.
type driftingWorker struct {
	// rates are the rates of its clock, each for rateSpan, over and over.
	rates []float64
	// publishesFor is for how long after its first answer the worker writes its clock into its records.
	publishesFor time.Duration
	// restarts is how often the worker has started again, bornAt when it last has, on the engine's
	// clock.
	restarts int64
	bornAt   time.Duration
	// unnoticed means that the worker has written no record yet since it started.
	unnoticed bool
	// silent workers answer no order, silentToStarts ones none once they have received a start.
	silent, silentToStarts bool
	// lastLeaseMS is the latest end of a lease in any order, on its clock.
	lastLeaseMS int64
	// startLeaseMS is the end of the lease in its first start order.
	startLeaseMS int64
}

const rateSpan = 20 * time.Second

// recordDelay is how old a worker's record is when it arrives.
const recordDelay = 20 * time.Millisecond

// clockMS returns the reading of the worker's clock at a time on the engine's clock.
func (w *driftingWorker) clockMS(at time.Duration) int64 {
	if len(w.rates) == 1 {
		return int64((at - w.bornAt).Seconds() * w.rates[0] * 1000)
	}
	reading, from := 0.0, w.bornAt
	for i := 0; from < at; i++ {
		span := min(rateSpan, at-from)
		reading += span.Seconds() * w.rates[i%len(w.rates)]
		from += span
	}
	return int64(reading * 1000)
}

// born returns the start time of the worker's incarnation, in the form of its listings.
func (w *driftingWorker) born() int64 { return 1 + w.restarts }

// whenReads returns the first time on the engine's clock, in steps of 1 ms from a given one, at
// which the worker's clock is at ms or later.
func (w *driftingWorker) whenReads(ms int64, from time.Duration) time.Duration {
	at := from
	for w.clockMS(at) < ms {
		at += time.Millisecond
	}
	return at
}

// driftingWorkers are the workers of a manualSite. They carry out no order: a test decides when.
type driftingWorkers struct {
	backend.Orders
	now func() time.Duration

	mu      sync.Mutex
	workers map[string]*driftingWorker
	calls   int
}

func (d *driftingWorkers) order(ref backend.WorkerRef, leaseMS int64) (*driftingWorker, error) {
	w := d.workers[ref.ID]
	w.lastLeaseMS = max(w.lastLeaseMS, leaseMS)
	d.calls++
	if w.silent {
		return w, &backend.OrderError{Kind: backend.OrderUnanswered}
	}
	return w, nil
}

func (d *driftingWorkers) Start(_ context.Context, ref backend.WorkerRef, o backend.StartOrder) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[ref.ID]; w.silentToStarts {
		w.silent = true
	}
	w, err := d.order(ref, o.LeaseUntilMS)
	w.startLeaseMS = o.LeaseUntilMS
	return w.clockMS(d.now()), err
}

func (d *driftingWorkers) Stop(_ context.Context, ref backend.WorkerRef, _ backend.RunID, _ int64) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, err := d.order(ref, 0)
	return w.clockMS(d.now()), err
}

func (d *driftingWorkers) Renew(_ context.Context, ref backend.WorkerRef, o backend.RenewOrder) (backend.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, err := d.order(ref, o.LeaseUntilMS)
	return backend.Listing{ClockMS: w.clockMS(d.now()), IncarnationStartMS: w.born()}, err
}

// driftSite is a manualSite with drifting workers.
type driftSite struct {
	*manualSite
	drifting *driftingWorkers
	began    time.Duration
}

func newDriftSite(t *testing.T, workers ...*driftingWorker) *driftSite {
	s := &driftSite{manualSite: newManualSite(t, len(workers))}
	s.Settings.ClockDrift = testDrift
	s.drifting = &driftingWorkers{Orders: s.orders, now: func() time.Duration { return s.now }, workers: map[string]*driftingWorker{}}
	for i, w := range workers {
		s.drifting.workers[fmt.Sprintf("w%d", i)] = w
	}
	s.Orders = s.drifting
	for _, w := range s.workers {
		w.fenced, w.clock = false, workerClock{}
	}
	s.began = s.now
	return s
}

// step advances the time and lets the engine work. With logUp, the log confirms a write and passes on
// the records of the workers.
func (s *driftSite) step(by time.Duration, logUp bool) {
	s.now += by
	if logUp {
		s.lease.Confirm(s.now)
		for id, w := range s.drifting.workers {
			if w.unnoticed {
				continue
			}
			s.setRecord(id, func(info *catalog.Worker) {
				info.StartedMS, info.ClockMS, info.ReceivedAt = w.born(), 0, s.now
				if s.now-s.began <= w.publishesFor {
					info.ClockMS = max(1, w.clockMS(s.now-recordDelay))
				}
			})
		}
	}
	s.updateView()
	s.checkWorkers(s.now)
	s.checkRuns(s.now)
	synctest.Wait()
	for {
		select {
		case event := <-s.events:
			event()
		default:
			return
		}
	}
}

// Guards against a second run of a task that is started late on a worker with a slow clock: no start
// may be carried out once the engine has taken its lease for ended, nor may what it starts run on
// then, or after the wait of a later leader.
func TestLateStartEndsWithinItsLease(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLateStart(t, rand.New(rand.NewPCG(seed, 14))) })
		})
	}
}

func playLateStart(t *testing.T, rng *rand.Rand) {
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	var workers []*driftingWorker
	for range 1 + rng.IntN(3) {
		w := &driftingWorker{rates: [][]float64{{1 - testDrift}, {1}, {1, 1 - testDrift}, {1 - testDrift, 1}, {1 - testDrift*rng.Float64()}}[rng.IntN(5)]}
		w.publishesFor = []time.Duration{0, 2 * time.Hour, draw(0, time.Hour)}[rng.IntN(3)]
		workers = append(workers, w)
	}
	s := newDriftSite(t, workers...)
	idle := time.Duration(float64(time.Second) * math.Pow(3600, rng.Float64()))
	outage := []time.Duration{0, draw(0, 11*time.Second)}[rng.IntN(2)]
	outage = min(outage, idle)
	s.step(0, true)
	for end := s.now + idle - outage; s.now < end; {
		s.step(min(1500*time.Millisecond, end-s.now), true)
	}
	for end := s.now + outage; s.now < end; {
		s.step(min(500*time.Millisecond, end-s.now), false)
	}
	u := s.job("u", workload.Step{Count: len(workers), Gang: len(workers) > 1})
	targets := map[int]*worker{}
	for i := range workers {
		w := s.workers[fmt.Sprintf("w%d", i)]
		if !s.isSchedulable(w, s.now) {
			t.Fatalf("worker %s is not offered after %s", w.info.ID, idle)
		}
		targets[i] = w
	}
	began := s.now
	for _, w := range workers {
		w.silent = true
	}
	s.startUnit(u, targets, began)
	var runs []*run
	for _, task := range u.tasks {
		runs = append(runs, task.run)
		s.startRun(task.run, began)
	}
	synctest.Wait()
	for i, r := range runs {
		w := workers[i]
		if length := w.startLeaseMS - w.clockMS(began); length < s.Settings.LeaseDuration.Milliseconds()*3/4 && outage == 0 {
			t.Errorf("lease of %d ms on worker %d, want at least three quarters of %s", length, i, s.Settings.LeaseDuration)
		}
		for r.isCurrent() {
			s.step(checkInterval, false)
			if s.now-began > time.Minute {
				t.Fatalf("the run on worker %d is not given up", i)
			}
		}
	}
	ended := s.now
	for i, w := range workers {
		late := began + draw(2*time.Second, 12*time.Second)
		if late > ended && w.clockMS(late) < w.startLeaseMS {
			t.Errorf("worker %d, rates %v, idle for %s: start carried out %s late, run given up after %s", i, w.rates, idle, late-began, ended-began)
		}
		if until := w.whenReads(w.lastLeaseMS, began); until > ended {
			t.Errorf("worker %d, rates %v, idle for %s: lease lasts until %s after the start, run given up after %s", i, w.rates, idle, until-began, ended-began)
		} else if inherited := s.lease.ConfirmedAt() + s.Settings.LeaseWindow + s.maxLeaseError(); until > inherited {
			t.Errorf("worker %d, rates %v, idle for %s: lease lasts until %s after the start, a later leader waits until %s", i, w.rates, idle, until-began, inherited-began)
		}
	}
}

// idle lets time pass in steps of a heartbeat.
func (s *driftSite) idle(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step(min(1500*time.Millisecond, end-s.now), true)
	}
}

// Guards against leases that end too late for a start that is carried out late, on the paths by which a
// worker's clock becomes known anew, or not for long.
func TestLateStartOnEachPath(t *testing.T) {
	paths := map[string]func(s *driftSite, w *driftingWorker){
		"idle": func(s *driftSite, _ *driftingWorker) { s.idle(10 * time.Minute) },
		"a short task in between": func(s *driftSite, _ *driftingWorker) {
			s.idle(5 * time.Minute)
			u := s.job("short", workload.Step{Count: 1})
			s.startUnit(u, map[int]*worker{0: s.latest["w0"]}, s.now)
			s.startRun(u.tasks[0].run, s.now)
			s.idle(5 * time.Minute)
			if u.tasks[0].run != nil {
				s.t.Fatal("the short task has not ended")
			}
		},
		"born again while idle": func(s *driftSite, w *driftingWorker) {
			s.idle(5 * time.Minute)
			w.restarts, w.bornAt = 1, s.now
			s.idle(5 * time.Minute)
		},
		"born again while idle, just now": func(s *driftSite, w *driftingWorker) {
			s.idle(5 * time.Minute)
			w.restarts, w.bornAt = 1, s.now
			s.step(100*time.Millisecond, true)
			s.step(100*time.Millisecond, true)
		},
		"first order of a new leader": func(s *driftSite, w *driftingWorker) {
			s.idle(5 * time.Minute)
			// All that is known of the worker is what its record says, from before a pause.
			s.Engine.workers, s.latest = map[string]*worker{}, map[string]*worker{}
			s.now += 3 * time.Second
			s.lease.Confirm(s.now)
			s.updateView()
			if s.isSchedulable(s.latest["w0"], s.now) {
				s.t.Error("the worker is offered before it has answered the new leader")
			}
			s.step(checkInterval, true)
		},
		"after a pause of the leader": func(s *driftSite, w *driftingWorker) {
			s.idle(time.Minute)
			s.now += 20 * time.Second
			s.lease.Confirm(s.now)
		},
	}
	for name, path := range paths {
		for _, rate := range []float64{1 - testDrift, 1 - testDrift/2, 1} {
			for _, publishes := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/rate %g/records for %s", name, rate, publishes), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := &driftingWorker{rates: []float64{rate}, publishesFor: publishes}
						s := newDriftSite(t, w)
						s.step(0, true)
						path(s, w)
						s.expectLateStartEnds(w)
					})
				})
			}
		}
	}
}

// expectLateStartEnds starts a task on w0, which is silent from then on, and fails the test unless its
// leases have ended on its clock when the run is given up.
func (s *driftSite) expectLateStartEnds(w *driftingWorker) {
	s.t.Helper()
	if !s.isSchedulable(s.latest["w0"], s.now) {
		s.t.Fatal("the worker is not offered")
	}
	w.silent, w.lastLeaseMS = true, 0
	u, began := s.job("late", workload.Step{Count: 1}), s.now
	s.startUnit(u, map[int]*worker{0: s.latest["w0"]}, s.now)
	r := u.tasks[0].run
	s.startRun(r, s.now)
	synctest.Wait()
	if length := time.Duration(w.startLeaseMS-w.clockMS(began)) * time.Millisecond; length < s.Settings.LeaseDuration*3/4 {
		s.t.Errorf("lease of %s, want at least three quarters of %s", length, s.Settings.LeaseDuration)
	}
	for r.isCurrent() && s.now-began < time.Minute {
		s.step(checkInterval, false)
	}
	if until := w.whenReads(w.lastLeaseMS, began); until > s.now {
		s.t.Errorf("lease lasts until %s after the start, run given up after %s", until-began, s.now-began)
	}
}

// Guards against a second run of a task whose start was sent to a worker that had just started again, which
// the leader does not know yet. The clock of the later incarnation is behind, so that a start that it
// carries out late, up to maxOrderDelay, runs for as long as leases may last.
func TestLateStartOnAWorkerBornAgainUnnoticed(t *testing.T) {
	const downTime, maxOrderDelay = 2 * time.Second, 12 * time.Second
	for _, noticedAfter := range []time.Duration{300 * time.Millisecond, time.Second, time.Minute} {
		t.Run(fmt.Sprintf("noticed after %s", noticedAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &driftingWorker{rates: []float64{1}, publishesFor: time.Hour}
				s := newDriftSite(t, w)
				s.Settings.RecordInterval = 1500 * time.Millisecond
				s.step(0, true)
				s.idle(30 * time.Second)
				w.unnoticed, w.restarts, w.bornAt = true, 1, s.now+downTime
				s.step(downTime+200*time.Millisecond, true)
				w.silentToStarts = true
				u, began := s.job("late", workload.Step{Count: 1}), s.now
				s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
				r := u.tasks[0].run
				s.startPlanned([]*run{r})
				for r.isCurrent() && s.now-began < 2*time.Minute {
					s.step(checkInterval, true)
					w.unnoticed = s.now-began < noticedAfter
				}
				if w.startLeaseMS == 0 {
					return
				}
				carriedOut := min(began+maxOrderDelay, w.whenReads(w.startLeaseMS, began))
				if until := carriedOut + s.Settings.LeaseDuration; until > s.now {
					t.Errorf("the run may last until %s after the start, it was given up after %s", until-began, s.now-began)
				}
			})
		})
	}
}

// The starts of a gang wait together for the workers that may have started again: either all members are
// started or none. Workers that have written their records in time are not asked.
func TestGangWaitsForOverdueWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		overdue, answers, starts bool
	}{
		"records in time":        {false, false, true},
		"overdue, all answer":    {true, true, true},
		"overdue, one is silent": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := []*driftingWorker{{rates: []float64{1}, publishesFor: time.Hour}, {rates: []float64{1}, publishesFor: time.Hour}}
				s := newDriftSite(t, workers...)
				s.Settings.RecordInterval = 1500 * time.Millisecond
				s.step(0, true)
				s.idle(10 * time.Second)
				if c.overdue {
					workers[1].unnoticed = true
					s.step(2*time.Second, true)
				}
				workers[1].silent = !c.answers
				calls := s.drifting.calls
				u := s.job("gang", workload.Step{Count: 2, Gang: true})
				s.startUnit(u, map[int]*worker{0: s.workers["w0"], 1: s.workers["w1"]}, s.now)
				runs := []*run{u.tasks[0].run, u.tasks[1].run}
				s.startPlanned(runs)
				// Another record of the job is written meanwhile.
				s.startPlanned(runs)
				if asks := runs[0].phase == runPlanned; asks != c.overdue {
					t.Errorf("the gang waits: %v, want %v", asks, c.overdue)
				}
				synctest.Wait()
				if asked := s.drifting.calls - calls; c.overdue && asked != 1 {
					t.Errorf("%d calls before the starts, want 1", asked)
				}
				s.step(0, false)
				for i, r := range runs {
					if started := r.phase != runPlanned; started != c.starts || r.isCurrent() != c.starts {
						t.Errorf("member %d started: %v, kept: %v, want %v", i, started, r.isCurrent(), c.starts)
					}
				}
			})
		})
	}
}
