package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Load: submissions go on while the log is out of reach of all nodes. They were
// held for 1.2 s each before they were refused. Now those that come while the
// outage is known are refused at once, truly, and taken once the log is back.
func TestOutageOfTheLogRefusesAtOnce(t *testing.T) {
	for name, fault := range map[string]simsite.LogFault{"refused": simsite.LogRefuses, "silent": simsite.LogSilent} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 3, 8, func(s *site) {
				for _, n := range s.nodes {
					n.setFault(fault)
				}
				refused := map[string]bool{}
				step := workload.Step{Count: 1, Need: task(1), EstimateMS: 500}
				for i := range 16 {
					job := s.newJob(usualQueue, usual(task(1), 500*time.Millisecond, 0), step)
					began := time.Now()
					err := s.nodes[i%len(s.nodes)].Intake.Submit(s.ctx, job)
					took := time.Since(began)
					var e *api.Error
					if !errors.As(err, &e) {
						s.t.Fatalf("submission %d: %v", i, err)
					}
					if e.Verdict == api.NotRun {
						refused[job.ID] = true
						if e.RetryAfter < time.Second {
							t.Errorf("submission %d: retry after %s", i, e.RetryAfter)
						}
					}
					if i >= len(s.nodes) && e.Verdict == api.NotRun && took > 700*time.Millisecond {
						t.Errorf("submission %d was held for %s", i, took)
					}
				}
				if len(refused) < 10 {
					t.Errorf("%d of 16 were refused as not run", len(refused))
				}
				for _, n := range s.nodes {
					n.setFault(simsite.LogHealthy)
				}
				time.Sleep(2 * time.Second)
				job := s.submit(usualQueue, usual(task(1), 500*time.Millisecond, 0), step)
				s.awaitPhase(job, ledger.Completed, 3*time.Second)
				for id := range refused {
					if phase := s.phase(id); phase != "" {
						t.Errorf("job %s, refused as not run, is %s", id, phase)
					}
				}
			})
		})
	}
}
