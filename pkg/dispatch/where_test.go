package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// state returns a text of what Where must not change.
func (s *manualSite) state() string {
	text := fmt.Sprint(len(s.jobs), s.runCount, s.adviceInFlight)
	for _, id := range []string{"w0", "w1"} {
		text += fmt.Sprint(" ", len(s.workers[id].runs), s.workers[id].used)
	}
	return text
}

// jobWith is job with tasks of the given number of accelerators.
func (s *manualSite) jobWith(accelerators int, id string, step workload.Step) *unit {
	u := s.job(id, step)
	u.step.Need = workload.Resources{Accelerators: accelerators}
	return u
}

// startWith starts the first task of such a job on w0.
func (s *manualSite) startWith(accelerators int, id string, step workload.Step) *run {
	return s.start(s.jobWith(accelerators, id, step), 0, "w0")
}

// Where must name the workers that the next plan takes, change nothing, and refuse while the leader
// is busy.
func TestWhereSaysWhatThePlanDoes(t *testing.T) {
	s := newManualSite(t, 2)
	s.Orders = unansweredStarts{s.orders}
	s.startWith(6, "running", workload.Step{Count: 1})
	s.list("w0", s.now)
	s.list("w1", s.now)
	waiting := s.jobWith(4, "waiting", workload.Step{Count: 1})
	before := s.state()
	a, err := s.where(WhereQuestion{ID: "waiting"})
	if err != nil || len(a.Steps) != 1 || a.Steps[0].State != "starts at once" || len(a.Steps[0].Placement.Start) != 1 {
		t.Fatalf("answer %+v, %v", a, err)
	}
	if after := s.state(); after != before {
		t.Errorf("state %q after the question, %q before", after, before)
	}
	said := a.Steps[0].Placement.Start[0].Worker
	s.plan()
	if r := waiting.tasks[0].run; r == nil || r.worker.info.ID != said {
		t.Errorf("the plan starts %+v, the answer names %s", r, said)
	}
	if _, err := s.where(WhereQuestion{ID: "waiting"}); !errors.Is(err, errTooBusy) {
		t.Errorf("a second question at once is answered: %v", err)
	}
	s.now += whereInterval
	s.lastPlanDuration = 2 * maxWherePlanTime
	if _, err := s.where(WhereQuestion{ID: "waiting"}); !errors.Is(err, errTooBusy) {
		t.Errorf("a busy leader answers: %v", err)
	}
}

// ask calls Where, and handles its event as Run does.
func (s *manualSite) ask(q WhereQuestion) (a *WhereAnswer, err error) {
	done := make(chan bool)
	go func() {
		a, err = s.Where(s.t.Context(), q)
		close(done)
	}()
	for {
		select {
		case event := <-s.events:
			event()
		case <-done:
			return a, err
		}
	}
}

// A job that is not submitted takes part in the decisions for the answer only.
func TestWhereOfAJobThatIsNotSubmitted(t *testing.T) {
	for name, c := range map[string]struct {
		need  int
		state string
	}{
		"room":        {8, "starts at once"},
		"no room":     {16, "waits for room"},
		"bad request": {0, ""},
		"too large":   {-1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualSite(t, 2)
			s.list("w0", s.now)
			s.list("w1", s.now)
			before := s.state()
			job := &workload.Job{ID: "5c0e7a21d94b36f8", Policy: workload.Policy{Service: "s"}, Steps: []workload.Step{{Count: 1, Need: workload.Resources{Accelerators: c.need}}}, SubmittedMS: s.UnixMS()}
			switch c.need {
			case 0:
				job.Steps = nil
			case -1:
				job.Steps[0].Need.Accelerators, job.Occurrences = 1, maxWhereUnits+1
			}
			a, err := s.ask(WhereQuestion{Job: job})
			var e *api.Error
			switch {
			case c.state == "" && (!errors.As(err, &e) || e.Code != api.CodeInvalid):
				t.Errorf("error %v, want one for bad input", err)
			case c.state != "" && (err != nil || a.Steps[0].State != c.state):
				t.Errorf("answer %+v, %v; want %q", a, err, c.state)
			}
			if after := s.state(); after != before || s.jobs[job.ID] != nil {
				t.Errorf("state %q after the question, %q before", after, before)
			}
		})
	}
}

// The forecast of room counts the ends that are expected soonest.
func TestForecastOfRoom(t *testing.T) {
	s := newManualSite(t, 1)
	s.Orders = unansweredStarts{s.orders}
	r := s.startWith(8, "running", workload.Step{Count: 1, EstimateMS: 10_000})
	s.list("w0", s.now)
	r.percent, r.basePercent = 40, 40
	s.jobWith(4, "waiting", workload.Step{Count: 1, EstimateMS: 2000})
	a, err := s.where(WhereQuestion{ID: "waiting"})
	if err != nil {
		t.Fatal(err)
	}
	if step := a.Steps[0]; step.State != "waits for room" || step.Start != 6*time.Second || step.Finish != 8*time.Second {
		t.Errorf("%s, starts in %s and ends in %s; want room in 6 s and the end in 8 s", step.State, step.Start, step.Finish)
	}
	s.now += whereInterval
	if a, err := s.where(WhereQuestion{ID: "unknown"}); err != nil || a.Note == "" || a.Phase != ledger.Phase("") {
		t.Errorf("unknown job: %+v, %v", a, err)
	}
}
