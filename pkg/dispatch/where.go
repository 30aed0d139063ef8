package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// WhereQuestion asks where the tasks of a job would go now: of one that was accepted, by its ID, or
// of Job, which is not submitted.
type WhereQuestion struct {
	ID  string
	Job *workload.Job
}

// WhereAnswer is the answer of the leader. Nothing is started, stopped, called or recorded for it.
type WhereAnswer struct {
	Job   string       `json:"job"`
	Phase ledger.Phase `json:"phase"`
	// Term is the leader's. ViewAge and LedgerAge are the ages of what it knows of the
	// configuration and the workers, and of the jobs; Settled means that all workers have answered it.
	Term      int64         `json:"term"`
	ViewAge   time.Duration `json:"view_age_ns"`
	LedgerAge time.Duration `json:"ledger_age_ns"`
	Settled   bool          `json:"settled"`
	// Note says why nothing is known of the steps; empty if it is.
	Note  string      `json:"note,omitempty"`
	Steps []WhereStep `json:"steps"`
}

// WhereStep is a step of one round of the job.
type WhereStep struct {
	Round int `json:"round"`
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// State is what the step waits for or does.
	State string `json:"state"`
	// Runs are the tasks that run, with their workers.
	Runs []WhereRun `json:"runs,omitempty"`
	// Placement is how the next plan would place the tasks that wait; nil if none do.
	Placement *placement.Explanation `json:"placement,omitempty"`
	// Stops are the tasks that would be stopped.
	Stops []WhereStop `json:"stops,omitempty"`
	// Start and Finish are forecasts, counted from now; negative if they are not known. Deadline is
	// when the job is late.
	Start    time.Duration `json:"start_ns"`
	Finish   time.Duration `json:"finish_ns"`
	Deadline time.Duration `json:"deadline_ns"`
}

// WhereRun is a running task.
type WhereRun struct {
	Index   int    `json:"index"`
	Worker  string `json:"worker"`
	Percent int    `json:"percent"`
	// Left is the expected remaining time.
	Left time.Duration `json:"left_ns"`
}

// WhereStop is a task that would be stopped, and the work that is lost with it.
type WhereStop struct {
	Task            string  `json:"task"`
	LostCoreSeconds float64 `json:"lost_core_s"`
}

const (
	// whereInterval is the least time between two answers: each costs about as much as a plan, of
	// which a busy leader makes some ten a second.
	whereInterval = time.Second
	// maxWherePlanTime is the duration of the last plan from which the leader is too busy.
	maxWherePlanTime = 50 * time.Millisecond
	// maxWhereQueue is how many events may wait at the leader.
	maxWhereQueue = eventQueueSize / 4
	// unknownForecast stands for a forecast that is not known.
	unknownForecast = -time.Second
	// maxWhereRuns limits the runs listed for a step, maxWhereUnits and maxWhereTasks the jobs that
	// are explained: the work on the leader's goroutine grows with both, and the answer, too.
	maxWhereRuns  = 100
	maxWhereUnits = 64
	maxWhereTasks = 2000
)

// Where answers a question by the decisions of a plan. It fails with an *api.Error, also if the
// leader is busy: real work comes first.
func (e *Engine) Where(ctx context.Context, q WhereQuestion) (*WhereAnswer, error) {
	if len(e.events) > maxWhereQueue {
		return nil, errTooBusy
	}
	if q.Job != nil {
		if err := q.Job.Validate(); err != nil {
			return nil, api.Errorf(api.CodeInvalid, "%v", err)
		}
		if units, tasks := sizeOfJob(q.Job); units > maxWhereUnits || tasks > maxWhereTasks {
			return nil, api.Errorf(api.CodeInvalid, "%d steps of all occurrences with %d tasks are too many to explain; the limits are %d and %d", units, tasks, maxWhereUnits, maxWhereTasks)
		}
	}
	type result struct {
		answer *WhereAnswer
		err    error
	}
	done := make(chan result, 1)
	event := func() {
		if ctx.Err() != nil {
			return
		}
		answer, err := e.where(q)
		done <- result{answer, err}
	}
	select {
	case e.events <- event:
	case <-ctx.Done():
		return nil, api.AsError(ctx.Err(), api.NotRun)
	}
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, api.AsError(ctx.Err(), api.NotRun)
	}
}

// sizeOfJob returns how many units and tasks a job has over all rounds.
func sizeOfJob(j *workload.Job) (units, tasks int) {
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return j.Rounds() * len(j.Steps), j.Rounds() * tasks
}

var errTooBusy = &api.Error{Code: api.CodeOverloaded, Message: "the leader is busy", Verdict: api.NotRun, RetryAfter: whereInterval}

// where answers a question on the engine's goroutine.
func (e *Engine) where(q WhereQuestion) (*WhereAnswer, error) {
	now := e.Now()
	if e.lastPlanDuration > maxWherePlanTime || e.explainedAt != 0 && now-e.explainedAt < whereInterval {
		return nil, errTooBusy
	}
	j := e.jobs[q.ID]
	if q.Job != nil {
		if e.jobs[q.Job.ID] != nil {
			return nil, api.Errorf(api.CodeInvalid, "the job %s is known; ask for it by its ID", q.Job.ID)
		}
		// The job takes part in the decisions as if it had just arrived, and is forgotten again.
		j = e.newJob(&ledger.JobEntry{Job: q.Job}, false)
		e.jobs[q.Job.ID] = j
		defer delete(e.jobs, q.Job.ID)
	}
	a := &WhereAnswer{Job: q.ID, Term: e.Term.Number, ViewAge: now - min(e.view.ConfigAt, e.view.WorkersAt), LedgerAge: now - e.view.LedgerAt}
	if j == nil || j.cancelled || j.progress.Phase.Ended() {
		a.Note = "the leader has no such job, or it has ended"
		return a, nil
	}
	if units, tasks := sizeOfJob(j.spec); units > maxWhereUnits || tasks > maxWhereTasks {
		a.Note = fmt.Sprintf("the job has too many steps or tasks to explain: %d and %d", units, tasks)
		return a, nil
	}
	a.Job, a.Phase = j.spec.ID, j.progress.Phase
	if !e.lease.MayStart(now) || !e.view.isRecent(now, &e.Settings) {
		a.Note = "the leader starts nothing now: its view is too old, or it cannot write to the log"
		return a, nil
	}
	e.explainedAt = now
	a.Settled = e.isSettled(now)
	e.explaining = true
	defer func() { e.explaining = false }()
	explained, stops, pool := e.explainJob(j, now)
	objective := e.objective(j)
	for _, u := range j.units {
		a.Steps = append(a.Steps, e.whereStep(u, explained[u.id], stops[u.id], pool, objective, now))
	}
	klog.InfoS("dispatch: explained where a job would go", "job", a.Job, "submitted", q.Job == nil, "took", e.Now()-now)
	return a, nil
}

// explainJob makes the plan of the job's service without carrying it out.
func (e *Engine) explainJob(j *job, now time.Duration) (explained map[workload.UnitID]*placement.Explanation, stops map[workload.UnitID][]WhereStop, pool []*placement.Worker) {
	explained, stops = map[workload.UnitID]*placement.Explanation{}, map[workload.UnitID][]WhereStop{}
	// The headroom of the last plan decides about gangs in the next one.
	beyondHeadroom := e.rackBeyondHeadroom
	defer func() { e.rackBeyondHeadroom = beyondHeadroom }()
	loads, byID, _ := e.serviceLoads(now)
	for _, l := range loads {
		if l.service != j.policy.Service {
			continue
		}
		e.judgeStops(l.waiting, now)
		e.markSearchDue(l.waiting)
		explanations := placement.Explain(l.pool, l.waiting, e.headroom(l.pool, now), j.spec.ID)
		for i := range explanations {
			x := &explanations[i]
			for _, id := range x.Stop {
				if t := e.taskOf(id); t != nil && t.run != nil {
					stops[x.Unit] = append(stops[x.Unit], WhereStop{fmt.Sprintf("%s.%d", id.UnitID.String(), id.Index), e.stopLoss(t.run, now)})
				}
			}
			nameWorkers(x, byID)
			explained[x.Unit] = x
		}
		pool = l.pool
	}
	return explained, stops, pool
}

// nameWorkers replaces the keys of incarnations by the IDs of workers.
func nameWorkers(x *placement.Explanation, byID map[string]*worker) {
	for i := range x.Options {
		x.Options[i].Worker = byID[x.Options[i].Worker].info.ID
	}
	for _, assignments := range [][]placement.Assignment{x.Start, x.Reserve} {
		for i := range assignments {
			assignments[i].Worker = byID[assignments[i].Worker].info.ID
		}
	}
}

// whereStep describes one unit.
func (e *Engine) whereStep(u *unit, x *placement.Explanation, stops []WhereStop, pool []*placement.Worker, objective, now time.Duration) WhereStep {
	begin := max(u.job.spec.SubmittedMS, u.job.spec.Due(u.id.Round))
	s := WhereStep{Round: u.id.Round, Step: u.id.Step, Tasks: u.step.Count, Placement: x, Stops: stops, Start: unknownForecast, Finish: unknownForecast,
		Deadline: time.Duration(begin-e.UnixMS())*time.Millisecond + objective}
	var longest time.Duration
	for _, t := range u.tasks {
		if t.run == nil {
			continue
		}
		left := e.expectedRemaining(t.run, now)
		longest = max(longest, left)
		if len(s.Runs) < maxWhereRuns {
			s.Runs = append(s.Runs, WhereRun{t.id.Index, t.run.worker.info.ID, t.run.percent, left})
		}
	}
	due := time.Duration(u.job.spec.Due(u.id.Round)-e.UnixMS()) * time.Millisecond
	switch {
	case u.done():
		s.State = "done"
	case u.job.spec.Due(u.id.Round) > 0 && due > 0:
		s.State, s.Start = "not due yet", due
	case !e.ready(u):
		s.State = "waits for the steps that it depends on"
	case u.reserved != nil:
		s.State, s.Start = "waits for tasks that are being stopped", e.Settings.MaxStopTime
	case x == nil && len(s.Runs) > 0:
		s.State, s.Finish = "runs", longest
	case x == nil && u.job.policy.Advised && len(u.tickets) == 0:
		s.State = "waits for the adviser"
	case x == nil && now < u.notBefore:
		s.State, s.Start = "waits after a refused start", u.notBefore-now
	case x == nil && len(u.job.inherited) > 0:
		s.State = "waits for tasks that an earlier leader may have started"
	case x == nil:
		s.State = "waits for tasks that are being stopped, or that may have crashed their workers"
	case len(x.Start) > 0 && !x.Unplaced:
		s.State, s.Start = "starts at once", 0
	case len(x.Reserve) > 0:
		s.State, s.Start = "starts once others are stopped", e.Settings.MaxStopTime
	case x.OverQuota:
		s.State = "waits for the limit of its account"
	default:
		s.State, s.Start = "waits for room", e.forecastRoom(u, x, pool, now)
	}
	if s.Start >= 0 && !u.step.LongRunning {
		s.Finish = s.Start + max(longest, e.expectedRunTime(u))
	}
	return s
}

// forecastRoom returns in what time at least there is room for the waiting tasks of a unit if nothing
// else starts, by the expected remaining times of what runs; unknownForecast if there never is.
func (e *Engine) forecastRoom(u *unit, x *placement.Explanation, pool []*placement.Worker, now time.Duration) time.Duration {
	missing := len(u.waiting()) - len(x.Start)
	type end struct {
		in time.Duration
		r  *run
	}
	var ends []end
	free := map[*worker]workload.Resources{}
	slots := map[*worker]int{}
	need := u.step.Demand()
	for _, pw := range pool {
		w := e.workers[pw.ID]
		if w == nil || !pw.Schedulable || u.step.Label != "" && !w.info.HasLabel(u.step.Label) {
			continue
		}
		free[w] = pw.Free
		slots[w] = need.Count(pw.Free)
		for _, r := range w.runs {
			ends = append(ends, end{e.expectedRemaining(r, now), r})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	for _, next := range ends {
		if next.r.task.unit.step.LongRunning {
			continue
		}
		w := next.r.worker
		free[w] = free[w].Add(next.r.need)
		before := slots[w]
		slots[w] = need.Count(free[w])
		if missing -= slots[w] - before; missing <= 0 {
			return max(0, next.in)
		}
	}
	return unknownForecast
}
