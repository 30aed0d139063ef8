package dispatch

import (
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// A job must be shown as running only once a task has begun: callers count on it, and a plan may
// come to nothing.
func TestJobRunsOnceATaskHasBegun(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(s *manualSite, r *run)
		want    ledger.Phase
	}{
		"planned":    {func(*manualSite, *run) {}, ledger.Queued},
		"start sent": {func(_ *manualSite, r *run) { r.phase = runStarting }, ledger.Queued},
		"start refused": {func(s *manualSite, r *run) {
			r.phase = runStarting
			s.onStartReply(r, 0, &backend.OrderError{Kind: backend.OrderUnhealthy})
		}, ledger.Queued},
		"start not answered": {func(s *manualSite, r *run) {
			r.phase = runStarting
			s.onStartReply(r, 0, &backend.OrderError{Kind: backend.OrderUnanswered})
		}, ledger.Queued},
		"start confirmed": {func(s *manualSite, r *run) {
			r.phase = runStarting
			s.onStartReply(r, s.now.Milliseconds(), nil)
		}, ledger.Running},
		"start confirmed after a stop was decided": {func(s *manualSite, r *run) {
			r.phase = runStopping
			s.onStartReply(r, s.now.Milliseconds(), nil)
		}, ledger.Running},
		"listed": {func(s *manualSite, r *run) {
			r.phase = runUnresolved
			s.list("w0", s.now)
		}, ledger.Running},
		"listed as failed": {func(s *manualSite, r *run) {
			r.phase = runUnresolved
			s.listEnds("w0", false, backend.EndedRun{Number: 1, Run: r.id, Outcome: backend.OutcomeFailed})
		}, ledger.Running},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			u := s.job("u", workload.Step{Count: 2})
			u.job.policy.MaxAttempts = 3
			u.job.progress.Phase = ledger.Queued
			s.startUnit(u, map[int]*worker{0: s.workers["w0"]}, s.now)
			u.job.unsaved = false
			c.happens(s, u.tasks[0].run)
			if got := u.job.progress.Phase; got != c.want {
				t.Errorf("the job is %q, want %q", got, c.want)
			}
			if got := len(s.takePhases(0)) > 0; got != (c.want == ledger.Running) && !u.job.unsaved {
				t.Errorf("the next write has the job's phase: %v", got)
			}
		})
	}
}
