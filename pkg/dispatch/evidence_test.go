package dispatch

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

func TestEvidenceOfACrash(t *testing.T) {
	for name, c := range map[string]struct {
		evidence crashEvidence
		before   ledger.CrashCount
		want     ledger.CrashCount
	}{
		"the start was answered":               {crashEvidence{arrival: arrivalShown, alone: true}, ledger.CrashCount{}, ledger.CrashCount{Total: 1, Alone: 1}},
		"not answered, the worker was there":   {crashEvidence{arrival: arrivalLikely, alone: true}, ledger.CrashCount{}, ledger.CrashCount{Total: 1, Likely: 1}},
		"not answered by a silent worker":      {crashEvidence{alone: true}, ledger.CrashCount{}, ledger.CrashCount{Total: 1}},
		"beside other new runs":                {crashEvidence{arrival: arrivalShown}, ledger.CrashCount{}, ledger.CrashCount{Total: 1}},
		"the worker crashes by itself":         {crashEvidence{arrival: arrivalShown, alone: true, byItself: true}, ledger.CrashCount{Total: 1}, ledger.CrashCount{Total: 2}},
		"the third one of such a worker":       {crashEvidence{arrival: arrivalShown, alone: true, byItself: true}, ledger.CrashCount{Total: 2}, ledger.CrashCount{Total: 3, Alone: 1}},
		"the same, not answered":               {crashEvidence{arrival: arrivalLikely, alone: true, byItself: true}, ledger.CrashCount{Total: 2}, ledger.CrashCount{Total: 3, Likely: 1}},
		"weak evidence does not become strong": {crashEvidence{arrival: arrivalLikely, alone: true}, ledger.CrashCount{Total: 3, Alone: 1, Likely: 2}, ledger.CrashCount{Total: 4, Alone: 1, Likely: 3}},
	} {
		if got := c.evidence.addTo(c.before); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

func TestWhenATaskIsGivenUp(t *testing.T) {
	for count, want := range map[ledger.CrashCount]bool{
		{Total: 2, Alone: 2}:            false,
		{Total: 3, Alone: 2}:            true,
		{Total: 3, Alone: 1, Likely: 2}: false,
		{Total: 3, Likely: 3}:           false,
		{Total: 4, Likely: 4}:           false,
		{Total: 5, Likely: 4}:           true,
		{Total: 5, Alone: 1, Likely: 3}: true,
		{Total: 5, Likely: 3}:           false,
		{Total: 6, Alone: 1}:            false,
	} {
		if got := isGivenUp(count); got != want {
			t.Errorf("%+v: given up %v, want %v", count, got, want)
		}
	}
}

// Guards against a job that is shown as failed though its task never began: its starts were left
// unanswered by workers that had answered just before, and that went down then.
func TestUnansweredStartsOnAnsweringWorkersEndNoJob(t *testing.T) {
	s := newManualSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	crash := func() {
		s.now += 10 * time.Second
		s.list("w0", s.now)
		s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
		u.tasks[0].run.phase = runUnresolved
		s.now += 2 * time.Second
		s.crash("w0")
	}
	for i := range maxCrashesUnanswered - 1 {
		crash()
		s.expectCrashes(u, 0, ledger.CrashCount{Total: i + 1, Likely: i + 1})
		if u.job.progress.Phase.Ended() {
			t.Fatalf("the job is %q after %d starts that were not answered", u.job.progress.Phase, i+1)
		}
	}
	// A task that crashes its workers while all answers are lost must not be started without an end.
	crash()
	if u.job.progress.Phase != ledger.Failed {
		t.Errorf("the job is %q after %d crashes, want failed", u.job.progress.Phase, maxCrashesUnanswered)
	}
}
