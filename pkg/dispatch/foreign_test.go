package dispatch

import (
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Guards against a second run of a task whose worker is at work while a record of another writer, of a
// service that nothing names, is in the place of the worker's own.
func TestRecordOfAnUnnamedServiceEndsNothing(t *testing.T) {
	for name, foreign := range map[string]func(info *catalog.Worker){
		"later start time":    func(info *catalog.Worker) { info.StartedMS = 9 },
		"earlier start time":  func(info *catalog.Worker) { info.StartedMS = 0 },
		"another address":     func(info *catalog.Worker) { info.Address = "a1" },
		"less capacity":       func(info *catalog.Worker) { info.Capacity = workload.Resources{} },
		"leaves":              func(info *catalog.Worker) { info.Draining, info.Remaining = true, time.Millisecond },
		"a zone out of order": func(info *catalog.Worker) { info.Zone = "out" },
		"a clock far ahead":   func(info *catalog.Worker) { info.ClockMS, info.ReceivedAt = 1<<50, time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 2)
			s.config.Queues = []catalog.Queue{{Name: "q", Policy: workload.Policy{Service: "s"}}}
			s.config.Index()
			u := s.job("u", workload.Step{Count: 1})
			r := s.start(u, 0, "w0")
			s.list("w0", s.now)
			own := s.view.Workers["w0"]
			s.setRecord("w0", func(info *catalog.Worker) { info.Service = "another"; foreign(info) })
			for range 15 {
				s.now += checkInterval
				s.updateView()
				s.checkWorkers(s.now)
				s.checkRuns(s.now)
			}
			if u.tasks[0].run != r || r.phase != runActive {
				t.Fatalf("run %+v of the task, want the one at work", u.tasks[0].run)
			}
			if w := s.latest["w0"]; w != s.workers["w0"] || w.info.Address != own.Address {
				t.Errorf("the latest incarnation is %s at %s, want the one at work at %s", w.key, w.info.Address, own.Address)
			}
			if !s.offers("w1") {
				t.Error("another worker is not offered")
			}
			s.setRecord("w0", func(info *catalog.Worker) { *info = own })
			s.updateView()
			if !s.offers("w0") {
				t.Error("the worker gets no work, although its own record is back")
			}
		})
	}
}

// Workers of a service that only a job names, since its queue has been deleted, are used for it.
func TestWorkersOfAJobsServiceAreKept(t *testing.T) {
	s := newManualSite(t, 1)
	s.job("u", workload.Step{Count: 1})
	s.config.Queues = []catalog.Queue{{Name: "q", Policy: workload.Policy{Service: "t"}}}
	s.config.Index()
	s.updateView()
	if !s.offers("w0") {
		t.Error("the worker of the job's service is not offered")
	}
	s.jobs = map[string]*job{}
	s.updateView()
	if _, listed := s.view.Workers["w0"]; listed {
		t.Error("the worker of a service that nothing names is in the view")
	}
}
