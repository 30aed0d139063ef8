package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Guards against sound long tasks in a queue of short ones that are stopped as stalled without an
// end, and workers that are quarantined for them: a task of 150 s needs 1.5 s for a percent.
func TestLongTasksAmongShortOnesComplete(t *testing.T) {
	const (
		tasks = 4
		work  = 150 * time.Second
	)
	for name, c := range map[string]struct {
		estimateMS int
		// maxStarts is how often the tasks may start: an estimate that is far too low may cost
		// each of them a start.
		maxStarts int
	}{"its estimate is right": {150_000, tasks}, "its estimate is far too low": {2500, 2 * tasks}} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				for range 6 {
					job := s.submit(normalQueue, uniform(task(2), 2500*time.Millisecond, 0), workload.Step{Count: 1, Need: task(2), EstimateMS: 2500})
					s.awaitPhase(job, ledger.Completed, 5*time.Second)
				}
				earlier := s.fleet.Starts()
				job := s.submit(normalQueue, uniform(task(2), work, 0), workload.Step{Count: tasks, Need: task(2), EstimateMS: c.estimateMS})
				time.Sleep(work)
				s.awaitPhase(job, ledger.Completed, 15*time.Second)
				if got := s.fleet.Starts() - earlier; got > c.maxStarts {
					t.Errorf("%d starts of %d tasks, want at most %d", got, tasks, c.maxStarts)
				}
			})
		})
	}
}
