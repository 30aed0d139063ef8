package dispatch

import (
	"testing"

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
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			s.Orders = unansweredStarts{s.orders}
			u := s.job("u", workload.Step{Count: 1})
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
