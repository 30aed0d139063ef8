package estimate

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// History holds the times at which one node observed jobs waiting, running and
// ending, and workers failing. The log carries no times, so each node keeps its
// own history by its own clock. A node that started after such an event observes it
// later than it happened, so its waits and run times are shorter.
type History struct {
	Estimator *Runtimes

	firstSeen map[string]time.Time
	running   map[string]attempt
	// checkpointed is the run time of ended attempts preserved by checkpoints, in
	// seconds.
	checkpointed map[string]float64
	// failing is when a worker without a success since was first observed with a
	// failed job.
	failing map[string]time.Time
}

// attempt is a current attempt and the time at which it was first observed.
type attempt struct {
	token int64
	since time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		Estimator: NewRuntimes(), firstSeen: map[string]time.Time{}, running: map[string]attempt{},
		checkpointed: map[string]float64{}, failing: map[string]time.Time{},
	}
}

// Observe records the changes of the state since the last call, at the time now.
func (h *History) Observe(s *state.State, now time.Time) {
	for id, a := range h.running {
		if j := s.Jobs[id]; j == nil || j.Token != a.token || len(j.Placements) == 0 {
			h.observeEnd(j, id, a, now)
		}
	}
	for id := range h.firstSeen {
		if j := s.Jobs[id]; j == nil || j.Phase.Ended() {
			delete(h.firstSeen, id)
			delete(h.checkpointed, id)
		}
	}
	for id, j := range s.Jobs {
		if j.Phase.Ended() {
			continue
		}
		if _, known := h.firstSeen[id]; !known {
			h.firstSeen[id] = now
		}
		if _, known := h.running[id]; !known && len(j.Placements) > 0 {
			h.running[id] = attempt{j.Token, now}
		}
	}
	h.observeFailures(s, now)
}

// observeEnd records the end of an attempt: the run time of a job that is done
// goes to the estimator, and that of a job with checkpoints is added to
// checkpointed.
func (h *History) observeEnd(j *state.Job, id string, a attempt, now time.Time) {
	delete(h.running, id)
	if j == nil {
		return
	}
	ran := now.Sub(a.since).Seconds()
	switch {
	case j.Phase == api.PhaseDone:
		h.Estimator.Observe(j.Spec.Account, j.Spec.Class, j.Spec.ExpectedSeconds, h.checkpointed[id]+ran)
	case len(j.Checkpoints) > 0:
		h.checkpointed[id] += ran
	}
}

func (h *History) observeFailures(s *state.State, now time.Time) {
	for id := range h.failing {
		if w := s.Workers[id]; w == nil || len(w.FailedJobs) == 0 {
			delete(h.failing, id)
		}
	}
	for id, w := range s.Workers {
		if _, known := h.failing[id]; !known && len(w.FailedJobs) > 0 {
			h.failing[id] = now
		}
	}
}

// Waited returns the time in seconds since the job was first observed, or 0 if
// it was not.
func (h *History) Waited(id string, now time.Time) float64 {
	if since, ok := h.firstSeen[id]; ok {
		return now.Sub(since).Seconds()
	}
	return 0
}

// Ran returns the run time so far of the job's current attempt in seconds, or 0 if
// there is none.
func (h *History) Ran(id string, now time.Time) float64 {
	if a, ok := h.running[id]; ok {
		return now.Sub(a.since).Seconds()
	}
	return 0
}

// FailingFor returns the time in seconds since a job was first observed to have
// failed on the worker after the last success there, or 0 if none has.
func (h *History) FailingFor(worker string, now time.Time) float64 {
	if since, ok := h.failing[worker]; ok {
		return now.Sub(since).Seconds()
	}
	return 0
}

// overrunRatio is the ratio of the expected remaining run time to the run time so
// far for a job that has exceeded its estimate.
const overrunRatio = 0.5

// Remaining returns the expected remaining run time of the job in seconds.
func (h *History) Remaining(j *state.Job, now time.Time) float64 {
	ran := h.checkpointed[j.ID] + h.Ran(j.ID, now)
	estimate := h.Estimator.Estimate(j.Spec.Account, j.Spec.Class, j.Spec.ExpectedSeconds)
	return max(estimate-ran, ran*overrunRatio, minEstimateSeconds)
}
