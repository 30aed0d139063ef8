package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// The log is silent for 4 s while callers come to all nodes, who each wait up to 3 s for an
// answer. Those who come while the outage is known get one soon; from 1 s after the return of the
// log on, all are accepted, also if the leader is killed meanwhile. What was refused never runs.
func TestCallersAroundASilentLog(t *testing.T) {
	for _, killLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader killed %v", killLeader), func(t *testing.T) {
			settings := testSettings()
			runSiteWith(t, settings, 5, 8, func(s *site) {
				const outage = 4 * time.Second
				began := time.Now()
				var answers sync.WaitGroup
				var mu sync.Mutex
				refused := map[string]bool{}
				step := workload.Step{Count: 1, Need: task(1), EstimateMS: 100}
				for _, n := range s.nodes {
					n.setFault(simsite.LogSilent)
				}
				for i := range 80 {
					if i == 40 && killLeader {
						s.killLeader()
					}
					if time.Since(began) >= outage && time.Since(began) < outage+50*time.Millisecond {
						for _, n := range s.nodes {
							n.setFault(simsite.LogHealthy)
						}
					}
					n, job := s.nodes[i%len(s.nodes)], s.newJob(bulkQueue, uniform(task(1), 100*time.Millisecond, 0), step)
					at := time.Since(began)
					answers.Go(func() {
						ctx, done := context.WithTimeout(s.ctx, 3*time.Second)
						defer done()
						err := n.Intake.Submit(ctx, job)
						took := time.Since(began) - at
						var e *api.Error
						switch {
						case errors.As(err, &e) && e.Verdict == api.NotRun:
							mu.Lock()
							defer mu.Unlock()
							refused[job.ID] = true
							if e.RetryAfter < time.Second {
								t.Errorf("caller at %s is asked to return after %s", at, e.RetryAfter)
							}
						}
						if at > 2*time.Second && at < outage-500*time.Millisecond && took > time.Second {
							t.Errorf("caller at %s, with the outage known, waits for %s", at, took)
						}
						if at > outage+time.Second && err != nil {
							t.Errorf("caller at %s, after the return of the log: %v", at, err)
						}
					})
					time.Sleep(80 * time.Millisecond)
				}
				answers.Wait()
				time.Sleep(3 * time.Second)
				for id := range refused {
					if phase := s.phase(id); phase != ledger.Phase("") {
						t.Errorf("job %s, rejected as not run, is %s", id, phase)
					}
				}
				if len(refused) == 0 {
					t.Error("no caller was refused")
				}
			})
		})
	}
}
