package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/estimate"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// Worker is a worker that may take new tasks.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity api.Resources
	Free     api.Resources
	// Reserved is what the cells on the worker reserve, and NonPreemptible is what
	// its non-preemptible attempts hold.
	Reserved       cells.ByAccount
	NonPreemptible cells.ByAccount
	// FailedJobs is the number of different jobs that have failed on the worker
	// since one last succeeded, and FailingSeconds is the time since the first of
	// these failures was observed.
	FailedJobs     int
	FailingSeconds float64

	quarantined bool
}

// Pending is a job in api.PhasePending, which waits to be placed.
type Pending struct {
	state.Job
	// Waited is the time since the submission was observed, in seconds.
	Waited float64
	// Estimate is the expected remaining run time, in seconds.
	Estimate float64
	// NonPreemptible reports whether the next attempt must not be stopped, since it
	// could not be restarted.
	NonPreemptible bool
}

// Attempt is the current attempt of a job.
type Attempt struct {
	Job string
	// Token is the fencing token of the attempt.
	Token      int64
	Account    string
	PerTask    api.Resources
	Tasks      int
	Within     api.Adjacency
	Placements []state.Placement
	Urgent     bool
	Checkpoint bool
	// NonPreemptible reports whether the attempt must not be stopped, since it
	// could not be restarted.
	NonPreemptible bool
	// Stopping reports whether the attempt is being stopped already.
	Stopping bool
	// PreemptedFor is the job for which the attempt is being stopped, if any.
	PreemptedFor string
	// Ran is the run time so far and Remaining the expected remaining run time, in
	// seconds.
	Ran       float64
	Remaining float64
	// Waited is the time since the submission was observed minus Ran, in seconds.
	Waited float64
	// ZoneOut reports whether the attempt runs in an availability zone that is out
	// of service.
	ZoneOut bool
}

// accelerators returns how many accelerators the whole attempt holds.
func (a *Attempt) accelerators() int { return a.PerTask.Accelerators * a.Tasks }

// Snapshot is the input of Decide.
type Snapshot struct {
	// Workers are sorted by zone, rack and ID.
	Workers []Worker
	// Pending are the waiting jobs, in order of submission.
	Pending []Pending
	// Attempts are the current attempts, sorted by token.
	Attempts []Attempt
	// Weights are the relative fair-share weights of the client accounts.
	Weights   map[string]int
	Objective config.Objective
}

// NewSnapshot returns a snapshot of the state with times and estimates from
// history. The snapshot shares slices with s, which neither it nor Decide
// modifies. Workers that are gone, leaving or in a zone that is out are left out.
func NewSnapshot(s *state.State, history *estimate.History, now time.Time) *Snapshot {
	snap := &Snapshot{Weights: map[string]int{}, Workers: make([]Worker, 0, len(s.Workers))}
	if s.Config != nil {
		snap.Objective = s.Config.Objective
		for _, a := range s.Config.Accounts {
			snap.Weights[a.Name] = a.Weight
		}
	}
	for _, w := range s.Workers {
		if w.Gone || w.Leaving || s.ZoneOut(w.Zone) {
			continue
		}
		snap.Workers = append(snap.Workers, Worker{
			ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity, Free: w.Free(),
			Reserved: w.Reserved, NonPreemptible: w.NonPreemptible, FailedJobs: len(w.FailedJobs), FailingSeconds: history.FailingFor(w.ID, now),
		})
	}
	slices.SortFunc(snap.Workers, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	pending, placed := liveJobs(s)
	for _, j := range pending {
		snap.Pending = append(snap.Pending, Pending{*j, history.Waited(j.ID, now), history.Remaining(j, now), j.NonPreemptible()})
	}
	for _, j := range placed {
		snap.Attempts = append(snap.Attempts, newAttempt(s, j, history, now))
	}
	return snap
}

// liveJobs returns the waiting jobs in order of submission, and the jobs with a
// current attempt sorted by token.
func liveJobs(s *state.State) (pending, placed []*state.Job) {
	for _, j := range s.Jobs {
		switch {
		case j.Phase == api.PhasePending:
			pending = append(pending, j)
		case len(j.Placements) > 0:
			placed = append(placed, j)
		}
	}
	slices.SortFunc(pending, func(a, b *state.Job) int { return cmp.Compare(a.Order, b.Order) })
	slices.SortFunc(placed, func(a, b *state.Job) int { return cmp.Compare(a.Token, b.Token) })
	return pending, placed
}

func newAttempt(s *state.State, j *state.Job, history *estimate.History, now time.Time) Attempt {
	a := Attempt{
		Job: j.ID, Token: j.Token, Account: j.Spec.Account, PerTask: j.Spec.PerTask, Tasks: j.Spec.Tasks,
		Within: j.Spec.Within, Placements: j.Placements, Urgent: j.Spec.Urgent, Checkpoint: j.Spec.Checkpoint,
		NonPreemptible: j.NonPreemptible(), Stopping: j.Phase == api.PhaseStopping, PreemptedFor: j.PreemptedFor,
		Ran: history.Ran(j.ID, now), Remaining: history.Remaining(j, now),
	}
	a.Waited = max(0, history.Waited(j.ID, now)-a.Ran)
	if w := s.Workers[j.Placements[0].Worker]; w != nil {
		a.ZoneOut = s.ZoneOut(w.Zone)
	}
	return a
}
