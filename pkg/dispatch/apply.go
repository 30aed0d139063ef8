package dispatch

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// unitOf returns a unit; its job must not have ended.
func (e *Engine) unitOf(id workload.UnitID) *unit {
	j := e.jobs[id.Job]
	return j.units[id.Round*len(j.spec.Steps)+id.Step]
}

// apply carries out a plan. The plan is still valid, since the engine has handled no
// event since it was made.
func (e *Engine) apply(p placement.Plan, byID map[string]*worker, now time.Duration) {
	for _, id := range p.Stop {
		if t := e.taskOf(id); t != nil && t.run != nil {
			if t.unit.step.Gang {
				t.unit.aborting = true
			}
			t.preemptions++
			e.stopRun(t.run, stopPreempted)
		}
	}
	for _, a := range p.Reserve {
		u := e.unitOf(a.Task.UnitID)
		if u.reserved == nil {
			u.reserved = map[int]*worker{}
		}
		u.reserved[a.Task.Index] = byID[a.Worker]
		u.reservedUntil = now + e.Settings.MaxStopTime + reservationMargin
		klog.InfoS("dispatch: room awaited", "job", a.Task.Job, "task", a.Task.UnitID.String(), "index", a.Task.Index, "worker", byID[a.Worker].info.ID)
	}
	starts := map[*unit]map[int]*worker{}
	for _, a := range p.Start {
		u := e.unitOf(a.Task.UnitID)
		if starts[u] == nil {
			starts[u] = map[int]*worker{}
		}
		starts[u][a.Task.Index] = byID[a.Worker]
	}
	for u, targets := range starts {
		e.startUnit(u, targets, now)
	}
}

// startReserved starts the units whose reserved capacity has become free, and cancels
// reservations that cannot be met or have timed out.
func (e *Engine) startReserved(now time.Duration) {
	for _, j := range e.jobs {
		for _, u := range j.units {
			if u.reserved == nil {
				continue
			}
			fitsNow, willFit := e.checkReservation(u, now)
			if fitsNow {
				targets := u.reserved
				u.reserved = nil
				e.startUnit(u, targets, now)
			} else if !willFit || now > u.reservedUntil {
				klog.InfoS("dispatch: room given up", "job", j.spec.ID, "task", u.id.String(), "in_time", willFit)
				u.reserved = nil
			}
		}
	}
}

// checkReservation reports whether a unit fits on its reserved workers now, and
// whether it will once their stopping and ending runs are gone.
func (e *Engine) checkReservation(u *unit, now time.Duration) (fitsNow, willFit bool) {
	needs := map[*worker]workload.Resources{}
	for _, w := range u.reserved {
		needs[w] = needs[w].Add(u.step.Demand())
	}
	fitsNow, willFit = true, true
	for w, need := range needs {
		if e.workers[w.key] != w || !e.isSchedulable(w, now) {
			return false, false
		}
		free := w.info.Capacity.Sub(w.used)
		fitsNow = fitsNow && need.Fits(free)
		willFit = willFit && need.Fits(free.Add(e.releasing(w, now)))
	}
	return fitsNow, willFit
}

// releasing returns the resources of the worker's runs that are stopping or about to end.
func (e *Engine) releasing(w *worker, now time.Duration) workload.Resources {
	var sum workload.Resources
	for _, r := range w.runs {
		if r.phase == runStopping || e.isEnding(r, now) {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// startUnit plans the starts of tasks of a unit. The start calls follow once the
// ledger names their workers, so that a later leader can find the runs.
func (e *Engine) startUnit(u *unit, targets map[int]*worker, now time.Duration) {
	number := u.gangRun
	if !u.gangInProgress() {
		number = e.nextRunNumber()
		u.aborting = false
		u.gangRun, u.gangStartedAt = number, now
	}
	for _, i := range slices.Sorted(maps.Keys(targets)) {
		t, w := u.tasks[i], targets[i]
		r := &run{id: backend.RunID{Task: t.id, Number: number}, task: t, worker: w, need: u.step.Demand(), phase: runPlanned, orderedAt: now, throttlePercent: fullSpeedPercent, throttleConfirmed: true}
		t.run = r
		w.runs[t.id] = r
		w.used = w.used.Add(r.need)
	}
	u.job.unsaved = true
	e.noteClasses(u, targets)
}

// markRunning sets the job's phase once a worker has reported a run of it. A plan may come to
// nothing.
func (e *Engine) markRunning(j *job) {
	if j.progress.Phase != "" && j.progress.Phase != ledger.Queued {
		return
	}
	j.progress.Phase, j.phaseUnsaved = ledger.Running, true
	e.startWaits.Update(float64(e.UnixMS()-j.spec.SubmittedMS) / 1000)
}

const planOutdated = "the plan is out of date"

// startPlanned starts planned runs, or removes those that may no longer start. A
// gang starts only if all of its planned members may.
func (e *Engine) startPlanned(planned []*run) {
	now := e.Now()
	e.updateView()
	var quotas map[string]*placement.Quota
	if e.view.Config != nil {
		quotas = e.quotas()
	}
	blocked := map[*unit]bool{}
	for _, r := range planned {
		if r.isCurrent() && r.phase == runPlanned && !e.canStart(r, now) && r.task.unit.step.Gang {
			blocked[r.task.unit] = true
		}
		// The limit may have fallen since the plan was made.
		blocked[r.task.unit] = blocked[r.task.unit] || quotas[r.task.unit.job.spec.Account].Exceeded()
	}
	// What is removed first leaves its room to the rest.
	for _, r := range planned {
		if r.isCurrent() && r.phase == runPlanned && blocked[r.task.unit] {
			e.removeRun(r, planOutdated)
		}
	}
	var ready []*run
	for _, r := range planned {
		switch {
		case !r.isCurrent() || r.phase != runPlanned:
		case !e.canStart(r, now):
			e.removeRun(r, planOutdated)
		case !r.awaitsAnswer:
			ready = append(ready, r)
		}
	}
	for _, together := range startedTogether(ready) {
		e.startOnceAnswered(together, now)
	}
}

// startedTogether groups runs by what starts as a whole: the members of a gang, and each other run.
func startedTogether(runs []*run) [][]*run {
	var groups [][]*run
	gangs := map[*unit]int{}
	for _, r := range runs {
		u := r.task.unit
		if i, found := gangs[u]; found {
			groups[i] = append(groups[i], r)
			continue
		}
		if u.step.Gang {
			gangs[u] = len(groups)
		}
		groups = append(groups, []*run{r})
	}
	return groups
}

// canStart reports whether a planned run may start under the present view.
func (e *Engine) canStart(r *run, now time.Duration) bool {
	j := r.task.unit.job
	return !j.progress.Phase.Ended() && !r.task.done && !r.task.unit.aborting && e.lease.MayStart(now) &&
		e.view.isRecent(now, &e.Settings) && e.workers[r.worker.key] == r.worker && e.isSchedulable(r.worker, now) && r.worker.used.Fits(r.worker.info.Capacity) && r.mayStartBeside()
}
