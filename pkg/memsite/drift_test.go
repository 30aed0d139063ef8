package memsite

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

// startsLateAfter is how long after a zone was taken out a task may still start there.
const startsLateAfter = 5 * time.Second

// takeZonesOut takes every zone out by way of another entry VM than paused.
// The others cannot reach the workers, so that they do not stop the attempt.
func takeZonesOut(t *testing.T, s *Site, paused string) {
	t.Helper()
	var other int
	for i, e := range s.Entries {
		if e.Settings.ID != paused {
			s.CutPlatform(i, PlatformCut{Workers: true})
			other = i
		}
	}
	for _, zone := range []string{"howrah", "salt-lake", "barasat"} {
		if _, err := s.Client(other).SetZone(testCtx(t, urgentWithin), zone, frontdoor.ZoneCall{Out: true}); err != nil {
			t.Fatal(err)
		}
	}
}

// lateStarts counts the tasks that start after the zone was taken out and
// startsLateAfter has passed, if workers' clocks run at rate. The coordinator is
// paused just as its first start goes out, and resumes once that start is late.
func lateStarts(t *testing.T, rate float64) (late, started int) {
	var (
		mu     sync.Mutex
		site   *Site
		paused = make(chan string, 1)
		out    time.Time
	)
	observe := func(e standin.TaskEvent) {
		mu.Lock()
		defer mu.Unlock()
		if e.Phase != backend.TaskRunning || out.IsZero() {
			return
		}
		if started++; e.At.Sub(out) > startsLateAfter {
			late++
		}
	}
	onCall := func(c Call) {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != OpStart || c.Answered || site == nil || !out.IsZero() {
			return
		}
		select {
		case paused <- c.Entry:
			site.Net.Host(c.Entry).Freeze()
		default:
		}
	}
	s := startSite(t, func(o *Options) { o.Observe, o.OnCall = observe, onCall })
	mu.Lock()
	site = s
	mu.Unlock()
	for _, w := range s.Workers {
		w.SetClockRate(rate)
	}
	if _, err := s.Client(0).SubmitJob(testCtx(t, urgentWithin), gangSpec(t, 1, 60), ""); err != nil {
		t.Fatal(err)
	}
	entry := <-paused
	takeZonesOut(t, s, entry)
	mu.Lock()
	out = time.Now()
	mu.Unlock()
	time.Sleep(startsLateAfter + 100*time.Millisecond)
	s.Net.Host(entry).Thaw()
	time.Sleep(startsLateAfter)
	mu.Lock()
	defer mu.Unlock()
	return late, started
}

// TestDriftingClocksStartNothingLate lets the clocks of the workers run fast and
// slow, by as much as the nodes are set to allow, while a start is on its way
// into a zone that is taken out.
func TestDriftingClocksStartNothingLate(t *testing.T) {
	for _, rate := range []float64{0.99, 1, 1.01} {
		synctest.Test(t, func(t *testing.T) {
			if late, started := lateStarts(t, rate); late > 0 {
				t.Errorf("clock rate %g: %d of %d starts were late", rate, late, started)
			}
		})
	}
}

// TestLateStartsAreSeen shows that the check sees a late start when a clock runs
// slower than the settings allow.
func TestLateStartsAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if late, _ := lateStarts(t, 0.5); late == 0 {
			t.Error("no late start was seen with a clock at half speed")
		}
	})
}
