package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Guards against a second run of a task by a node that leads the term after its own one: the leases that it
// granted in the last term hold, as those of another leader do.
func TestNodeThatLeadsAgainWaitsForItsOwnLeases(t *testing.T) {
	runSite(t, 1, 8, func(s *site) {
		const work = 30 * time.Second
		jobs := []string{}
		for range 2 {
			jobs = append(jobs, s.submit(normalQueue, uniform(task(8), work, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: int(work.Milliseconds())}))
		}
		// Longer than any wait for the leases of leaders before the first term.
		time.Sleep(15 * time.Second)
		runs := func(w *simsite.Worker, job string) bool {
			return w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}})
		}
		var fencing *simsite.Worker
		for _, w := range s.workers {
			s.fleet.Update(func() {
				w.Silent = runs(w, jobs[0])
				if runs(w, jobs[1]) {
					fencing = w
				}
			})
		}
		// The leader's next call there ends its term.
		if _, err := s.fleet.Renew(s.ctx, backend.WorkerRef{ID: fencing.Info.ID}, backend.RenewOrder{Term: 2}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if !s.nodes[0].Leading() {
			t.Fatal("the node does not lead again")
		}
		for _, job := range jobs {
			s.awaitPhase(job, ledger.Completed, 2*work)
		}
	})
}
