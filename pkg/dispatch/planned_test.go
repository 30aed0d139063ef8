package dispatch

import (
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// What has changed while the record of a plan was being written must be respected by its
// starts.
func TestPlannedRunDoesNotStartOnceItMayNot(t *testing.T) {
	for name, change := range map[string]func(s *manualSite, u *unit){
		"nothing":            func(*manualSite, *unit) {},
		"task done":          func(_ *manualSite, u *unit) { u.tasks[0].done = true },
		"gang aborting":      func(_ *manualSite, u *unit) { u.aborting = true },
		"job ended":          func(_ *manualSite, u *unit) { u.job.progress.Phase = ledger.Cancelled },
		"worker draining":    func(s *manualSite, _ *unit) { s.setRecord("w0", func(info *catalog.Worker) { info.Draining = true }) },
		"worker quarantined": func(s *manualSite, _ *unit) { s.workers["w0"].quarantinedUntil = s.now + 1 },
		"zone out":           func(s *manualSite, _ *unit) { s.zonesOut["z"] = true },
		"limit has fallen":   func(s *manualSite, _ *unit) { s.config.Accounts[0].Limit.Accelerators = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = unansweredStarts{s.orders}
			s.config.Accounts = []catalog.Account{{Name: "a", Limit: workload.Resources{Accelerators: 2}}}
			other, u := s.job("other", workload.Step{Count: 1}), s.job("u", workload.Step{Count: 1})
			other.job.spec.Account, u.job.spec.Account = "a", "a"
			s.start(other, 0, "w0")
			s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
			r := u.tasks[0].run
			change(s, u)
			s.startPlanned([]*run{r})
			if started := r.phase != runPlanned; started != (name == "nothing") {
				t.Errorf("started: %v", started)
			}
			if kept := u.tasks[0].run == r; kept != (name == "nothing") {
				t.Errorf("the planned run holds its capacity: %v", kept)
			}
		})
	}
}

// A worker lists an end until its leader has seen it in the ledger, so that a next leader may
// get it again. A failed run must count once.
func TestFailureThatIsListedAgainCountsOnce(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	u.job.policy.MaxAttempts = 2
	u.job.progress.Failures[0] = []int64{7}
	end := backend.EndedRun{Number: 1, Run: backend.RunID{Task: u.tasks[0].id, Number: 7}, Outcome: backend.OutcomeFailed}
	s.onRunEnded(s.workers["w0"], end)
	if got := u.job.progress.Failures[0]; len(got) != 1 || u.job.progress.Phase.Ended() {
		t.Errorf("failures %v, phase %q; want the one failure and no end", got, u.job.progress.Phase)
	}
	end.Run.Number = 8
	s.onRunEnded(s.workers["w0"], end)
	if u.job.progress.Phase != ledger.Failed {
		t.Errorf("phase %q after two failed runs of two allowed, want failed", u.job.progress.Phase)
	}
}

// The urgent jobs of an account are guaranteed, oldest first, as far as its guarantee goes.
func TestOldestUrgentJobsAreGuaranteed(t *testing.T) {
	s := newManualSite(t, 1)
	s.config.Accounts = []catalog.Account{{Name: "a", GuaranteedAccelerators: 5}}
	var jobs []*job
	for i, count := range []int{3, 3, 2} {
		u := s.job(string(rune('a'+i)), workload.Step{Count: count})
		u.job.spec.Account, u.job.spec.SubmittedMS = "a", int64(i)
		jobs = append(jobs, u.job)
	}
	lessUrgent := s.job("z", workload.Step{Count: 1})
	lessUrgent.job.spec.Account, lessUrgent.job.policy.Priority = "a", 1
	s.markGuaranteed()
	for i, want := range []bool{true, false, true} {
		if jobs[i].guaranteed != want {
			t.Errorf("job %d is guaranteed: %v, want %v", i, jobs[i].guaranteed, want)
		}
	}
	if lessUrgent.job.guaranteed {
		t.Error("a job that is not urgent is guaranteed")
	}
}
