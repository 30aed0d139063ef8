package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// The bound of a worker's clock after readings of one kind or another, where the drift is 0.02.
func TestWorkerClockBound(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		readings func(c *workerClock)
		at       time.Duration
		want     float64
	}{
		"an answer is as old as its arrival": {func(c *workerClock) {}, 100 * second, 50_000},
		"the clock may run slow":             {func(c *workerClock) {}, 200 * second, 148_000},
		"a record is newer": {func(c *workerClock) {
			c.notePublished(149_900, 200*second, testDrift)
		}, 200 * second, 149_900},
		"a record is older than the bound": {func(c *workerClock) {
			c.notePublished(140_000, 200*second, testDrift)
		}, 200 * second, 148_000},
		"a record arrived before the answer": {func(c *workerClock) {
			c.notePublished(49_995, 99*second, testDrift)
		}, 100 * second, 50_000},
		"a record is ahead by less than the tolerance": {func(c *workerClock) {
			c.notePublished(150_050, 200*second, testDrift)
		}, 200 * second, 150_010},
		"a record contradicts the answer": {func(c *workerClock) {
			c.notePublished(170_000, 200*second, testDrift)
		}, 200 * second, 148_000},
		"a slow answer is worse than the bound": {func(c *workerClock) {
			c.noteAnswer(148_000, 200*second, 203*second, testDrift)
		}, 203 * second, 150_940},
		"an answer shows that the clock went back": {func(c *workerClock) {
			c.noteAnswer(1_000, 200*second, 201*second, testDrift)
		}, 201 * second, 1_000},
		"an answer shows that the clock jumped ahead": {func(c *workerClock) {
			c.noteAnswer(900_000, 200*second, 201*second, testDrift)
		}, 201 * second, 900_000},
	} {
		t.Run(name, func(t *testing.T) {
			var clock workerClock
			clock.noteAnswer(50_000, 100*second-10*time.Millisecond, 100*second, testDrift)
			c.readings(&clock)
			if got := clock.lower(c.at, testDrift); got != c.want {
				t.Errorf("the clock reads at least %v ms, want %v", got, c.want)
			}
		})
	}
}

// Idle workers that write their clocks into their records are not called for them; the others are called
// so often that a lease is never much shorter than it may be.
func TestIdleWorkersAreCalledForTheirClocks(t *testing.T) {
	for name, c := range map[string]struct {
		worker   driftingWorker
		min, max int
	}{
		"the record has the clock":                {driftingWorker{rates: []float64{1}, publishesFor: 2 * time.Hour}, 1, 1},
		"the record has the clock, which is slow": {driftingWorker{rates: []float64{1 - testDrift}, publishesFor: 2 * time.Hour}, 1, 1},
		"no record has the clock":                 {driftingWorker{rates: []float64{1}}, 100, 130},
		"no record has the clock, which is slow":  {driftingWorker{rates: []float64{1 - testDrift}}, 100, 130},
		"no answer has the clock":                 {driftingWorker{rates: []float64{0}}, 2000, 3600},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDriftSite(t, &c.worker)
				for end := s.now + time.Hour; s.now < end; {
					s.step(500*time.Millisecond, true)
				}
				if calls := s.drifting.calls; calls < c.min || calls > c.max {
					t.Errorf("%d calls in an hour to an idle worker, want %d to %d", calls, c.min, c.max)
				}
			})
		})
	}
}

// Guards against leases that end on an arbitrary time: a record of another writer with the clock of no
// worker must not make a lease longer.
func TestForeignRecordDoesNotLengthenLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &driftingWorker{rates: []float64{1}}
		s := newDriftSite(t, w)
		s.step(0, true)
		s.step(10*time.Second, true)
		s.setRecord("w0", func(info *catalog.Worker) { info.ClockMS, info.ReceivedAt = w.clockMS(s.now)+60_000, s.now })
		s.step(time.Second, true)
		u := s.job("u", workload.Step{Count: 1})
		s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
		s.startRun(u.tasks[0].run, s.now)
		synctest.Wait()
		if length := time.Duration(w.startLeaseMS-w.clockMS(s.now)) * time.Millisecond; length > s.Settings.LeaseDuration || length < s.Settings.LeaseDuration*3/4 {
			t.Errorf("lease of %s, want at most %s and not much less", length, s.Settings.LeaseDuration)
		}
	})
}

// A start that is refused as late shows that the bound of the clock is too low: the worker is asked for
// its clock, so that the next start does not end the same way.
func TestLateRefusalMakesTheWorkerTellItsClock(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	w := s.workers["w0"]
	s.startUnit(u, map[int]*worker{0: w}, s.now)
	r := u.tasks[0].run
	r.phase = runStarting
	s.onStartReply(r, 0, &backend.OrderError{Kind: backend.OrderLeaseExpired})
	if u.tasks[0].run != nil {
		t.Error("the refused run is kept")
	}
	if !w.listingInFlight {
		t.Error("the worker is not asked for its clock")
	}
}
