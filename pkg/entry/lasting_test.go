package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// lasting returns the behaviour of tasks that run until they are stopped.
func lasting(need workload.Resources) func(int) simsite.Behaviour {
	return func(int) simsite.Behaviour { return simsite.Behaviour{Resources: need, LongRunning: true} }
}

// runningTasks returns how many tasks of a job's first step run.
func (s *site) runningTasks(job string, count int) int {
	running := 0
	s.fleet.Update(func() {
		for i := range count {
			for _, w := range s.workers {
				if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}, Index: i}) {
					running++
				}
			}
		}
	})
	return running
}

// Long-running tasks whose data's rack has no room must run in another rack within a few seconds,
// although other tasks of their job run on and other jobs keep arriving.
func TestLongRunningTasksDoNotWaitForARack(t *testing.T) {
	const maxWait = 6 * time.Second // from a task's last run, by the platform's rule
	for name, c := range map[string]struct {
		count   int
		prepare func(s *site, job string)
	}{
		"a worker of the rack leaves": {count: 4, prepare: func(s *site, job string) {
			s.fleet.Update(func() {
				w := s.workers[0]
				w.Info.Draining, w.Info.Remaining = true, 2*time.Second
				s.workerTopic.Put(w.KeyedRecord())
			})
			time.Sleep(2 * time.Second)
			s.fleet.Update(func() { s.workers[0].Crash() })
			s.workers = s.workers[1:]
		}},
		"more tasks than the rack takes": {count: 6},
		"jobs keep arriving": {count: 6, prepare: func(s *site, _ string) {
			go func() {
				for range 5 {
					s.submit(bulkQueue, uniform(task(1), 200*time.Millisecond, 0), workload.Step{Count: 1, Need: task(1), EstimateMS: 200})
					time.Sleep(time.Second)
				}
			}()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 16, func(s *site) {
				job := s.submit(normalQueue, lasting(task(8)), workload.Step{Count: c.count, Need: task(8), LongRunning: true, DataRack: "rack-0", EstimateMS: 1000})
				time.Sleep(time.Second)
				if got := s.runningTasks(job, c.count); got != 4 {
					t.Fatalf("%d tasks run in the rack of their data, want 4", got)
				}
				if c.prepare != nil {
					c.prepare(s, job)
				}
				time.Sleep(maxWait)
				if got := s.runningTasks(job, c.count); got != c.count {
					t.Errorf("%d of %d tasks run", got, c.count)
				}
			})
		})
	}
}
