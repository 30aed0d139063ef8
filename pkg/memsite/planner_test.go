package memsite

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// urgentWithin is the target's bound on the start of urgent work.
const urgentWithin = 8700 * time.Millisecond

// TestJobsRunWhileOneNodeCannotReachTheLog cuts each node off from the log in
// turn, so that the preferred planner and coordinators are among them. The
// nodes that reach the log must place and run jobs in its stead.
func TestJobsRunWhileOneNodeCannotReachTheLog(t *testing.T) {
	for cut := range 3 {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t, nil)
			s.CutPlatform(cut, PlatformCut{Log: true})
			time.Sleep(urgentWithin)
			c := s.Client((cut + 1) % 3)
			for range 5 {
				job, err := c.SubmitJob(testCtx(t, urgentWithin), gangSpec(t, 4, 1), "")
				if err != nil {
					t.Fatal(err)
				}
				// The job itself takes a second.
				time.Sleep(urgentWithin + time.Second)
				status, err := c.Job(testCtx(t, urgentWithin), job.ID)
				if err != nil || status.Phase != api.PhaseDone {
					t.Errorf("entry VM %d is cut off: job %s is %s, %v", cut, job.ID, status.Phase, err)
				}
			}
		})
	}
}
