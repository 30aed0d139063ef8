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

// What one wrong record, valid in every field and of the worker's service, does to a run at work, and what
// it takes for the run to be given up.
func TestWrongRecordInPlaceOfAWorkersOwn(t *testing.T) {
	restarted := func(info *catalog.Worker) { info.StartedMS = 9 }
	answers := func(s *manualSite, w *worker, r *run) { s.answer(w, w.startMS(), r.id) }
	silent := func(*manualSite, *worker, *run) {}
	for name, c := range map[string]struct {
		record func(info *catalog.Worker)
		// call happens in each interval in which the worker has been called.
		call  func(s *manualSite, w *worker, r *run)
		keeps bool
	}{
		"later start time, the worker answers":     {restarted, answers, true},
		"later start time, the worker is silent":   {restarted, silent, false},
		"later start time, the later one answers":  {restarted, func(s *manualSite, _ *worker, _ *run) { s.answer(s.Engine.workers["w0@9"], 9) }, false},
		"earlier start time, the worker answers":   {func(info *catalog.Worker) { info.StartedMS = 0 }, answers, true},
		"earlier start time, the worker is silent": {func(info *catalog.Worker) { info.StartedMS = 0 }, silent, true},
		"another address":                          {func(info *catalog.Worker) { info.Address = "a1" }, answers, true},
		"another service":                          {func(info *catalog.Worker) { info.Service = "t" }, answers, true},
		"another zone":                             {func(info *catalog.Worker) { info.Zone = "y" }, answers, true},
		"no capacity":                              {func(info *catalog.Worker) { info.Capacity = workload.Resources{} }, answers, true},
		"more capacity":                            {func(info *catalog.Worker) { info.Capacity.Accelerators = 99 }, answers, true},
		"an older one of its own":                  {func(info *catalog.Worker) { info.ClockMS, info.ReceivedAt = 1, time.Second }, answers, true},
		"none":                                     {func(info *catalog.Worker) { *info = catalog.Worker{} }, answers, true},
		"it leaves soon":                           {func(info *catalog.Worker) { info.Draining = true }, answers, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 1)
			u := s.job("u", workload.Step{Count: 1})
			r := s.start(u, 0, "w0")
			s.list("w0", s.now)
			w, own := s.workers["w0"], s.view.Workers["w0"]
			w.noteAnswer(s.now)
			s.setRecord("w0", c.record)
			if workers := s.View().Workers; workers["w0"].ID == "" {
				delete(workers, "w0")
			}
			for end := s.now + renewalStopTimeout + 4*checkInterval; s.now < end; s.now += checkInterval {
				s.updateView()
				s.checkWorkers(s.now)
				if w.listingInFlight || w.renewalInFlight {
					w.listingInFlight, w.renewalInFlight = false, false
					c.call(s, w, r)
				}
			}
			if keeps := u.tasks[0].run == r && r.worker == w; keeps != c.keeps {
				t.Errorf("the run is kept: %v, want %v", keeps, c.keeps)
			}
			if !c.keeps {
				return
			}
			if s.latest["w0"] != w || w.info.Address != own.Address {
				t.Errorf("the latest incarnation is %s at %s, want %s at %s", s.latest["w0"].key, w.info.Address, w.key, own.Address)
			}
			s.answer(w, 1, r.id)
			s.setRecord("w0", func(info *catalog.Worker) { *info = own })
			s.updateView()
			if !s.offers("w0") {
				t.Error("the worker gets no work, although its own record is back")
			}
		})
	}
}

// A record of another worker at the address of one at work is no evidence that the latter has crashed,
// as long as it answers.
func TestRecordAtTheAddressOfAWorkerIsNoCrash(t *testing.T) {
	for _, silent := range []bool{false, true} {
		s := newManualSite(t, 2)
		u := s.job("u", workload.Step{Count: 1})
		s.start(u, 0, "w0")
		s.list("w0", s.now)
		s.setRecord("w1", func(info *catalog.Worker) { info.Address, info.StartedMS = "a0", 9 })
		w := s.workers["w0"]
		s.now += renewalStopTimeout + checkInterval
		if !silent {
			w.noteAnswer(s.now)
		}
		s.updateView()
		if w.crashed != silent {
			t.Errorf("silent %v: the worker counts as crashed: %v", silent, w.crashed)
		}
	}
}
