package entry

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// These tests cover how long a new leader waits for tasks that an earlier one started on
// workers that do not answer: as long as they may run, and not longer.

// silence makes the workers that run a task of the job's first step stop answering, and
// returns them.
func (s *site) silence(job string, index int) []*simsite.Worker {
	var silent []*simsite.Worker
	s.fleet.Update(func() {
		for _, w := range s.workers {
			if w.IsRunning(workload.TaskID{UnitID: workload.UnitID{Job: job}, Index: index}) {
				w.Silent = true
				silent = append(silent, w)
			}
		}
	})
	return silent
}

// A task is preempted, and the worker on which it ran stops answering. The next leader must
// not wait for that worker: the job's record no longer names it.
func TestEndedRunsAreNotWaitedFor(t *testing.T) {
	runSite(t, 4, 4, func(s *site) {
		var jobs []string
		for range 4 {
			jobs = append(jobs, s.submit(bulkQueue, uniform(task(8), 5*time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 5000}))
		}
		time.Sleep(time.Second)
		urgent := s.submit(urgentQueue, uniform(task(8), 20*time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 20000})
		time.Sleep(1500 * time.Millisecond)
		if len(s.silence(urgent, 0)) != 1 {
			t.Fatal("the urgent job does not run")
		}
		s.killLeader()
		// 3 s until the other jobs end and 5 s of work; the leases end later than that.
		time.Sleep(8500 * time.Millisecond)
		for _, job := range jobs {
			if !s.fleet.Done(workload.TaskID{UnitID: workload.UnitID{Job: job}}) {
				t.Errorf("job %s is not done", job)
			}
		}
	})
}

// A worker with one of a job's tasks stops answering, and the leader changes. Only that
// task may run unseen, so that the others must start as workers become free.
func TestOnlyTasksOfTheSilentWorkerAreWaitedFor(t *testing.T) {
	runSite(t, 4, 4, func(s *site) {
		job := s.submit(normalQueue, func(index int) simsite.Behaviour {
			work := time.Second
			if index == 0 {
				work = 20 * time.Second
			}
			return simsite.Behaviour{Resources: task(8), Work: work}
		}, workload.Step{Count: 7, Need: task(8), EstimateMS: 1000})
		time.Sleep(500 * time.Millisecond)
		if len(s.silence(job, 0)) != 1 {
			t.Fatal("task 0 does not run")
		}
		s.killLeader()
		time.Sleep(5500 * time.Millisecond)
		for index := 1; index < 7; index++ {
			if !s.fleet.Done(workload.TaskID{UnitID: workload.UnitID{Job: job}, Index: index}) {
				t.Errorf("task %d is not done 5.5s after the loss of the leader", index)
			}
		}
	})
}

// A job must not wait for a silent worker longer than the lease window after the last write
// of the leader that is gone, also where leases are long.
func TestWaitForSilentWorkersIsBounded(t *testing.T) {
	settings := testSettings()
	settings.LeaseDuration, settings.Election.RenewWindow = 10*time.Second, 10*time.Second
	runSiteWith(t, settings, 4, 4, func(s *site) {
		job := s.submit(normalQueue, uniform(task(8), time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 1000})
		time.Sleep(500 * time.Millisecond)
		if len(s.silence(job, 0)) != 1 {
			t.Fatal("the task does not run")
		}
		s.killLeader()
		maxTime := settings.LeaseWindow + time.Second + 1500*time.Millisecond // work, start
		s.awaitPhase(job, ledger.Completed, maxTime)
	})
}

// No node can reach the log, and the leader renews leases for a while. A later leader must
// not start the task of a worker that does not answer it while these leases may last, and
// the leases must not outlast the lease window.
func TestLeasesGrantedWithoutTheLogAreWaitedFor(t *testing.T) {
	settings := testSettings()
	settings.LeaseDuration, settings.Election.RenewWindow = 10*time.Second, 10*time.Second
	runSiteWith(t, settings, 4, 4, func(s *site) {
		job := s.submit(normalQueue, uniform(task(8), 30*time.Second, 0), workload.Step{Count: 1, Need: task(8), EstimateMS: 30000})
		time.Sleep(500 * time.Millisecond)
		for _, n := range s.nodes {
			n.setFault(simsite.LogRefuses)
		}
		time.Sleep(9 * time.Second)
		if len(s.silence(job, 0)) != 1 {
			t.Fatal("the task does not run")
		}
		s.killLeader()
		for _, n := range s.nodes {
			n.setFault(simsite.LogHealthy)
		}
		time.Sleep(40 * time.Second)
		if got := s.fleet.Starts(); got != 2 {
			t.Errorf("%d starts, want 2", got)
		}
	})
}
