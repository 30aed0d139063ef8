package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// ask asks a node until the leader answers with a recent view.
func ask(s *site, n *testNode, job *workload.Job) (a *dispatch.WhereAnswer, err error) {
	for range 5 {
		time.Sleep(1300 * time.Millisecond)
		if a, err = n.Where(s.ctx, dispatch.WhereQuestion{Job: job}); err == nil && a.Note == "" {
			break
		}
	}
	return a, err
}

// On a quiet site, each node must name the workers on which a job then starts, and neither the
// log nor the workers may notice the question.
func TestWhereEqualsWhatThenHappens(t *testing.T) {
	runSite(t, 3, 8, func(s *site) {
		for _, step := range []workload.Step{{Count: 3, Need: task(2), EstimateMS: 1000}, {Count: 4, Need: task(8), EstimateMS: 1000, Gang: true, SameRack: true}} {
			started := []string{}
			s.fleet.Update(func() {
				s.fleet.OnStart = func(w *simsite.Worker, _ workload.TaskID) { started = append(started, w.Info.ID) }
			})
			var named []string
			for i, n := range s.nodes {
				job := &workload.Job{ID: "00000000000000ff", Queue: normalQueue, Steps: []workload.Step{step}}
				a, err := ask(s, n, job)
				if err != nil || len(a.Steps) != 1 || a.Steps[0].Placement == nil {
					t.Fatalf("node %d: %+v, %v", i, a, err)
				}
				named = named[:0]
				for _, start := range a.Steps[0].Placement.Start {
					named = append(named, start.Worker)
				}
				if s.ledgerTopic.Written("j/"+job.ID)+s.ledgerTopic.Written("p/"+job.ID) > 0 {
					t.Errorf("node %d: the question was recorded", i)
				}
				if s.fleet.Update(func() {}); len(started) != 0 {
					t.Fatalf("node %d: the question started tasks on %v", i, started)
				}
			}
			gang := 0
			if step.Gang {
				gang = step.Count
			}
			id := s.submit(normalQueue, uniform(step.Need, time.Second, gang), step)
			s.awaitPhase(id, "completed", 10*time.Second)
			s.fleet.Update(func() { s.fleet.OnStart = nil })
			slices.Sort(named)
			slices.Sort(started)
			if !slices.Equal(named, started) {
				t.Errorf("%d tasks: named %v, started on %v", step.Count, named, started)
			}
			if a, err := s.nodes[1].Where(s.ctx, dispatch.WhereQuestion{ID: id}); err == nil && a.Note == "" {
				t.Errorf("the ended job is described: %+v", a)
			}
		}
	})
}
