package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Workers that were out of reach until their leases had ended must get work again within two
// seconds of their return: here they are the only ones that the job may use.
func TestWorkersThatWereOutOfReachGetWorkAgain(t *testing.T) {
	for name, workers := range map[string]int{"one worker": 1, "a zone": 4, "all workers": 12} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 12, func(s *site) {
				cutOff := func(is bool) {
					s.fleet.Update(func() {
						for _, w := range s.workers[:workers] {
							w.CutOff = is
						}
					})
				}
				s.fleet.Update(func() {
					for _, w := range s.workers[:workers] {
						w.Info.Labels = append(w.Info.Labels, "special")
					}
				})
				time.Sleep(2 * time.Second)
				step := workload.Step{Count: workers, Need: task(8), EstimateMS: 12000, Label: "special"}
				job := s.submit(normalQueue, uniform(task(8), 12*time.Second, 0), step)
				time.Sleep(2 * time.Second)
				cutOff(true)
				time.Sleep(15 * time.Second)
				cutOff(false)
				time.Sleep(2 * time.Second)
				running := 0
				s.fleet.Update(func() {
					for i := range workers {
						for _, w := range s.workers[:workers] {
							if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}, Index: i}) {
								running++
							}
						}
					}
				})
				if running != workers {
					t.Errorf("%d tasks run 2s after the return of %d workers", running, workers)
				}
				s.awaitPhase(job, ledger.Completed, 13*time.Second)
			})
		})
	}
}

// A task that ended as done on a worker that was out of reach must not be started again once
// that has been listed, and its job must complete.
func TestEndOutOfReachCompletesTheJob(t *testing.T) {
	runSite(t, 3, 4, func(s *site) {
		job := s.submit(normalQueue, func(int) simsite.Behaviour { return simsite.Behaviour{Resources: task(8), Work: 3 * time.Second} }, workload.Step{Count: 4, Need: task(8), EstimateMS: 3000})
		time.Sleep(2500 * time.Millisecond)
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.CutOff = true
			}
		})
		time.Sleep(12 * time.Second)
		starts := s.fleet.Starts()
		s.fleet.Update(func() {
			for _, w := range s.workers {
				w.CutOff = false
			}
		})
		s.awaitPhase(job, ledger.Completed, 2*time.Second)
		if got := s.fleet.Starts(); got != starts {
			t.Errorf("%d tasks started again", got-starts)
		}
	})
}
