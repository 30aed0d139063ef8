package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// A write must take as many changed jobs as fit and leave the rest for the next one: the log
// refuses a larger one, which would end the leader's term.
func TestWriteTakesAsManyJobsAsFit(t *testing.T) {
	for name, c := range map[string]struct {
		limit int
		want  []int
	}{"no limit": {0, []int{5}}, "two at a time": {2, []int{2, 2, 1}}, "one at a time, though larger": {-1, []int{1, 1, 1, 1, 1}}} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			for i := range 5 {
				u := s.job(fmt.Sprint("job", i), workload.Step{Count: 1})
				s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
			}
			size := sizeOf(s.recordsOf(s.jobs["job0"]))
			s.Settings.MaxWriteBytes = max(c.limit*size, -c.limit)
			for i, want := range c.want {
				records, planned, complete := s.takeChanges()
				if len(records) != want || len(planned) != want || complete != (i == len(c.want)-1) {
					t.Errorf("write %d: %d records, %d planned runs, complete %v; want %d of each", i, len(records), len(planned), complete, want)
				}
			}
			if records, _, complete := s.takeChanges(); len(records) != 0 || !complete {
				t.Errorf("%d records after all were written", len(records))
			}
		})
	}
}

// Ends may be acknowledged only with a write after which all jobs that they have changed are in
// the ledger.
func TestEndsAreNotAcknowledgedWithPartOfTheJobs(t *testing.T) {
	for _, partial := range []bool{true, false} {
		s := newManualSite(t, 1)
		for i := range 2 {
			s.job(fmt.Sprint("job", i), workload.Step{Count: 1}).job.unsaved = true
		}
		if partial {
			s.Settings.MaxWriteBytes = 1
		}
		w := s.workers["w0"]
		w.endsHandled = 7
		log := simsite.NewLog()
		s.Writer = ledger.NewAppender(log.Client(), ledger.AppenderSettings{Producer: "p", Epoch: 1, NextSequence: 1, CallTimeout: time.Second, RetryDelay: 10 * time.Millisecond, MaxBatchBytes: 1 << 20, LogLatency: func() time.Duration { return 0 }, CheckLatency: func() {}, Now: s.Now})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Writer.Run(ctx)
		s.writeInFlight = false
		s.flush()
		(<-s.events)()
		cancel()
		if acknowledged := w.endsRecorded == 7; acknowledged == partial {
			t.Errorf("partial write %v: ends up to %d count as recorded", partial, w.endsRecorded)
		}
	}
}

// That a job runs is written along with what has to be written anyway, once, and as far as it fits.
func TestPhasesAreWrittenAlong(t *testing.T) {
	s := newManualSite(t, 1)
	var size int
	for i := range 3 {
		u := s.job(fmt.Sprint("job", i), workload.Step{Count: 1})
		s.start(u, 0, "w0")
		u.job.unsaved = false
		size = sizeOf(s.recordsOf(u.job))
	}
	if records, _, _ := s.takeChanges(); len(records) != 0 {
		t.Errorf("%d jobs cause a write for their phase", len(records))
	}
	s.Settings.MaxWriteBytes = 3 * size
	for i, want := range []int{2, 1, 0} {
		if got := len(s.takePhases(size)); got != want {
			t.Errorf("write %d: %d phases, want %d", i, got, want)
		}
	}
}
