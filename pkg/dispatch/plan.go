package dispatch

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// runTime is the moving average of the run times of a queue's tasks, in seconds.
type runTime struct {
	mean    float64
	samples int
}

// minRunTimeWeight is the least weight of a new sample in the average run time: it covers
// about the last seven tasks.
const minRunTimeWeight = 0.15

// recordRunTime adds the run time of a task to its queue's average.
func (e *Engine) recordRunTime(u *unit, took time.Duration) {
	rt := e.runTimes[u.job.spec.Queue]
	if rt == nil {
		rt = &runTime{}
		e.runTimes[u.job.spec.Queue] = rt
	}
	rt.samples++
	weight := max(minRunTimeWeight, 1/float64(rt.samples))
	rt.mean += weight * (took.Seconds() - rt.mean)
}

// minRunTimeSamples is how many samples an average run time needs to be preferred to the
// job's own estimate.
const minRunTimeSamples = 5

// expectedRunTime returns the expected run time of a task of the unit.
func (e *Engine) expectedRunTime(u *unit) time.Duration {
	if learned, known := e.learnedRunTime(u); known {
		return learned
	}
	if rt := e.runTimes[u.job.spec.Queue]; rt != nil && rt.samples >= minRunTimeSamples {
		return time.Duration(rt.mean * float64(time.Second))
	}
	return u.step.Estimate()
}

// objective returns the time from submission within which the job should complete: its
// queue's stretch times the expected time of its longest chain of steps, plus slack.
func (e *Engine) objective(j *job) time.Duration {
	var chain time.Duration
	finish := make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		var begin time.Duration
		for _, d := range j.spec.Steps[i].DependsOn {
			begin = max(begin, finish[d])
		}
		finish[i] = begin + e.expectedRunTime(j.units[i])
		chain = max(chain, finish[i])
	}
	return time.Duration(j.policy.Stretch*float64(chain)) + j.policy.Slack
}

// expiryFactor times the objective is the age from which completing a job has no value,
// as set by the platform.
const expiryFactor = 3

// plan decides which tasks start and stop, for each service, and carries it out.
func (e *Engine) plan() {
	now := e.Now()
	if !e.lease.MayStart(now) || !e.view.isRecent(now, &e.Settings) {
		return
	}
	e.startReserved(now)
	loads, byID, quotas := e.serviceLoads(now)
	for _, l := range loads {
		verdicts := e.judgeStops(l.waiting, now)
		e.markSearchDue(l.waiting)
		plan := placement.Decide(l.pool, l.waiting, e.headroom(l.pool, now))
		e.logInterference(plan, l.waiting)
		e.noteSearches(l.waiting, plan, now)
		e.trackAmpleCapacity(l.pool, l.waiting, plan, now)
		e.adviseUnplaced(plan.Unplaced)
		e.logOverQuota(plan.OverQuota, quotas)
		e.noteVerdicts(verdicts, plan, now)
		e.apply(plan, byID, now)
	}
}

// serviceLoad is what a plan decides on for one service.
type serviceLoad struct {
	service string
	pool    []*placement.Worker
	waiting []*placement.Unit
}

// serviceLoads returns the waiting units and the workers of each service with waiting units, the
// workers by their keys, and the quotas of accounts.
func (e *Engine) serviceLoads(now time.Duration) (loads []serviceLoad, byID map[string]*worker, quotas map[string]*placement.Quota) {
	e.markGuaranteed()
	units := e.waitingUnits(now)
	if len(units) == 0 {
		return nil, nil, nil
	}
	quotas = e.quotas()
	for _, u := range units {
		u.Quota = quotas[e.jobs[u.ID.Job].spec.Account]
	}
	workers, byID := e.snapshotWorkers(now, quotas)
	for _, service := range e.servicesOf(units) {
		l := serviceLoad{service: service}
		for _, w := range workers {
			if byID[w.ID].info.Service == service {
				l.pool = append(l.pool, w)
			}
		}
		for _, u := range units {
			if e.jobs[u.ID.Job].policy.Service == service {
				l.waiting = append(l.waiting, u)
			}
		}
		loads = append(loads, l)
	}
	return loads, byID, quotas
}

// markSearchDue gives a search for a preemption to the units that earlier plans have passed over for
// longest.
func (e *Engine) markSearchDue(waiting []*placement.Unit) {
	var passedOver []*placement.Unit
	for _, pu := range waiting {
		if e.unitOf(pu.ID).passedOverSince != 0 {
			passedOver = append(passedOver, pu)
		}
	}
	slices.SortStableFunc(passedOver, func(a, b *placement.Unit) int {
		return cmp.Compare(e.unitOf(a.ID).passedOverSince, e.unitOf(b.ID).passedOverSince)
	})
	for _, pu := range passedOver[:min(len(passedOver), placement.MaxDueSearches)] {
		pu.SearchDue = true
	}
}

// noteSearches records which units the plan has passed over in the search for preemptions.
func (e *Engine) noteSearches(waiting []*placement.Unit, plan placement.Plan, now time.Duration) {
	for _, pu := range waiting {
		u := e.unitOf(pu.ID)
		switch {
		case !slices.Contains(plan.Unsearched, pu.ID):
			u.passedOverSince = 0
		case u.passedOverSince == 0:
			u.passedOverSince = now
			klog.V(1).InfoS("dispatch: no search for a preemption in this plan", "job", pu.ID.Job, "task", pu.ID.String(), "passed_over", len(plan.Unsearched))
		}
	}
}

// isSettled reports whether the engine knows what runs on the site: all listed workers have
// answered in this term, or it has lasted for takeoverSettleTime. Before that, room may be
// free that is not known, and what seems cheap to stop may be part of a gang whose other
// members have not been listed.
func (e *Engine) isSettled(now time.Duration) bool {
	if e.settled || now-e.ClaimedAt >= takeoverSettleTime {
		return true
	}
	for _, w := range e.workers {
		if w.listed && !w.fenced && !w.replaced {
			return false
		}
	}
	e.settled = len(e.workers) > 0
	return e.settled
}

// trackAmpleCapacity records since when units wait although free capacity is ample. It counts
// the time of units of jobs without any run, and not while jobs keep arriving, since a rack is
// then likely to come free sooner than a gang that spans racks would complete. Neither holds for
// long-running tasks: what keeps the rack from them may never end.
func (e *Engine) trackAmpleCapacity(pool []*placement.Worker, waiting []*placement.Unit, plan placement.Plan, now time.Duration) {
	for _, pu := range waiting {
		u := e.unitOf(pu.ID)
		mayWait := !pu.LongRunning && (now-e.lastJobAt < minArrivalGap || u.job.hasRuns())
		switch {
		case mayWait || !slices.Contains(plan.Unplaced, pu.ID) || slices.Contains(plan.OverQuota, pu.ID) || !placement.HasAmpleCapacity(pool, pu):
			u.ampleCapacitySince = 0
		case u.ampleCapacitySince == 0:
			u.ampleCapacitySince = now
		}
	}
}

// servicesOf lists the services that the units need.
func (e *Engine) servicesOf(units []*placement.Unit) []string {
	var services []string
	for _, u := range units {
		if s := e.jobs[u.ID.Job].policy.Service; !slices.Contains(services, s) {
			services = append(services, s)
		}
	}
	slices.Sort(services)
	return services
}

// snapshotWorkers returns the listed workers in the form that package placement takes.
func (e *Engine) snapshotWorkers(now time.Duration, quotas map[string]*placement.Quota) ([]*placement.Worker, map[string]*worker) {
	reserved := map[*worker]workload.Resources{}
	for _, j := range e.jobs {
		for _, u := range j.units {
			for _, w := range u.reserved {
				reserved[w] = reserved[w].Add(u.step.Demand())
			}
		}
	}
	byID := map[string]*worker{}
	var workers []*placement.Worker
	for key, w := range e.workers {
		if !w.listed {
			continue
		}
		pw := &placement.Worker{ID: key, Rack: w.info.Rack, Labels: w.info.Labels, Capacity: w.info.Capacity,
			Free: w.info.Capacity.Sub(w.used).Sub(reserved[w]), Schedulable: e.isSchedulable(w, now) && !w.onProbation()}
		pw.Penalty = w.failures + e.crashPenalty(w, now)
		pw.Doubtful = e.isDoubtful(w, now)
		pw.Class, pw.Speed = e.speedOf(w)
		for id, r := range w.runs {
			u := r.task.unit
			if r.phase == runStopping {
				pw.Releasing = pw.Releasing.Add(r.need)
				continue
			}
			pw.Running = append(pw.Running, placement.RunningTask{Unit: id.UnitID, Index: id.Index, Need: r.need,
				Priority: u.job.policy.Priority, Guaranteed: u.job.guaranteed || u.step.MaxUnavailable > 0 || e.isPartlyKnown(u, now), Gang: u.step.Gang, LostWork: e.stopLoss(r, now), Ending: e.isEnding(r, now),
				LongRunning: u.step.LongRunning, LatencySensitive: r.isLatencySensitive(), BestEffort: r.isBestEffort(), Quota: quotas[u.job.spec.Account], Kind: e.kindForPlan(u)})
		}
		slices.SortFunc(pw.Running, func(a, b placement.RunningTask) int {
			return cmp.Or(cmp.Compare(a.Unit.Job, b.Unit.Job), cmp.Compare(a.Unit.Step, b.Unit.Step), cmp.Compare(a.Index, b.Index))
		})
		workers = append(workers, pw)
		byID[key] = w
	}
	slices.SortFunc(workers, func(a, b *placement.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return workers, byID
}

// isSchedulable reports whether new tasks may start on the worker.
func (e *Engine) isSchedulable(w *worker, now time.Duration) bool {
	return w.listed && !w.replaced && !w.clockWentBack && !w.info.Draining && !e.view.ZonesOut[w.info.Zone] && len(w.orphans) == 0 && now >= w.quarantinedUntil &&
		w.fenced && w.clock.known && !w.isUnresponsive(now)
}

// isEnding reports whether a run is likely to end by itself within MaxStopTime. A gang
// ends with its slowest member.
func (e *Engine) isEnding(r *run, now time.Duration) bool {
	if r.task.done {
		return true
	}
	if !r.task.unit.step.Gang {
		return r.remaining(now) <= e.Settings.MaxStopTime
	}
	for _, t := range r.task.unit.tasks {
		if t.run == nil || t.run.remaining(now) > e.Settings.MaxStopTime {
			return false
		}
	}
	return true
}

// remaining estimates the remaining time of the run by its progress rate so far, or
// returns unknownTime.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.phase != runActive || r.task.unit.step.LongRunning {
		return unknownTime
	}
	if r.percent >= 100 {
		return 0
	}
	gained := r.percent - r.basePercent
	if gained < minEstimatePercent {
		return unknownTime
	}
	left := (r.percentAt-r.baseAt)*time.Duration(100-r.percent)/time.Duration(gained) - (now - r.percentAt)
	if left < -maxOverdue {
		// The estimate was wrong, or the task is stalled.
		return unknownTime
	}
	return left
}

const (
	// minEstimatePercent is the least observed progress from which a run's end is
	// estimated.
	minEstimatePercent = 20
	// maxOverdue is how far in the past an estimated end may lie: about two percent of a
	// task of 30 s.
	maxOverdue = 500 * time.Millisecond
	// unknownTime is longer than any run whose end matters.
	unknownTime = 24 * time.Hour
)

// acceleratorCores is how many cores an accelerator counts as in lost work, as set by
// the platform.
const acceleratorCores = 8

// lostWork returns the work that stopping the run would lose, in core-seconds.
func (e *Engine) lostWork(r *run, now time.Duration) float64 {
	u := r.task.unit
	lost := (now - r.beganAt).Seconds()
	if u.step.SavesProgress {
		lost = min(lost, e.Settings.CheckpointInterval.Seconds()/2)
	}
	return lost * coreEquivalents(r.need)
}

// markGuaranteed refreshes the policies of all jobs and marks the urgent jobs that fit
// within their accounts' guarantees, oldest first.
func (e *Engine) markGuaranteed() {
	var urgent []*job
	for _, j := range e.jobs {
		e.refreshPolicy(j)
		j.guaranteed = false
		if j.policy.Priority == 0 && !j.progress.Phase.Ended() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.spec.SubmittedMS, b.spec.SubmittedMS), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	used := map[string]int{}
	for _, j := range urgent {
		account := e.view.Config.Account(j.spec.Account)
		if account == nil {
			continue
		}
		need := 0
		for i := range j.spec.Steps {
			need += j.spec.Steps[i].Count * j.spec.Steps[i].Need.Accelerators
		}
		if used[account.Name]+need <= account.GuaranteedAccelerators {
			used[account.Name] += need
			j.guaranteed = true
		}
	}
}

// waitingUnits returns the units with tasks that may start now, in the form that package
// placement takes.
func (e *Engine) waitingUnits(now time.Duration) []*placement.Unit {
	unixMS := e.UnixMS()
	var units []*placement.Unit
	for _, j := range e.jobs {
		if j.progress.Phase.Ended() || j.cancelled {
			continue
		}
		e.accountInherited(j, now)
		objective := e.objective(j)
		for _, u := range j.units {
			if unixMS < j.spec.Due(u.id.Round) || now < u.notBefore || u.reserved != nil || !e.ready(u) {
				continue
			}
			waiting, suspected := e.splitSuspects(u, e.startable(u, now), now)
			if len(waiting) == 0 || j.policy.Advised && !e.ensureTickets(u, now) {
				continue
			}
			begin := max(j.spec.SubmittedMS, j.spec.Due(u.id.Round))
			pu := &placement.Unit{ID: u.id, Step: u.step, Waiting: waiting, Priority: j.policy.Priority, Guaranteed: j.guaranteed, LongRunning: u.step.LongRunning,
				DeadlineMS: begin + objective.Milliseconds(), Expired: unixMS > begin+expiryFactor*objective.Milliseconds(),
				PerWorker: map[string]int{}, Avoid: u.avoidKeys(e)}
			for _, t := range u.tasks {
				if t.run != nil {
					pu.PerWorker[t.run.worker.key]++
				}
			}
			pu.AnyRack = u.ampleCapacitySince != 0 && now-u.ampleCapacitySince > maxLocalityWait
			pu.MayUseHeadroom = unixMS > begin+objective.Milliseconds() || pu.AnyRack || e.blockedByHeadroom(u)
			if j.policy.Advised {
				pu.AllowedWorkers = u.ticketKeys()
			}
			e.markInterference(pu, u)
			pu.NeedsFast = e.needsFastWorkers(u, time.Duration(pu.DeadlineMS-unixMS)*time.Millisecond)
			pu.MustStart = unixMS-begin >= e.maxReclaimWait().Milliseconds()
			if suspected {
				pu.AllowedWorkers = e.workersForSuspect(u, pu.AllowedWorkers, now)
				pu.Avoid = e.addCrashedWorkers(pu.Avoid, now)
				pu.StartsApart, pu.MayNotPreempt = true, !pu.MustStart
			}
			if u.gangInProgress() {
				pu.Guaranteed = false
				pu.RequiredRack = u.rack()
			}
			units = append(units, pu)
		}
	}
	return units
}

// rack returns the rack of the unit's runs if all its tasks must share one, else "".
func (u *unit) rack() string {
	for _, t := range u.tasks {
		if t.run != nil && u.step.SameRack {
			return t.run.worker.info.Rack
		}
	}
	return ""
}

// avoidKeys returns the keys of the workers in u.avoid.
func (u *unit) avoidKeys(e *Engine) map[string]bool {
	if len(u.avoid) == 0 {
		return nil
	}
	keys := map[string]bool{}
	for key, w := range e.workers {
		if u.avoid[w.info.ID] {
			keys[key] = true
		}
	}
	return keys
}

// maxReclaimWait returns how long a guaranteed unit may wait for capacity to come free
// by itself before others are stopped for it.
func (e *Engine) maxReclaimWait() time.Duration {
	return max(0, e.Settings.MaxReclaimTime-e.Settings.MaxStopTime-reclaimMargin)
}

// ready reports whether all tasks that the unit depends on are done.
func (e *Engine) ready(u *unit) bool {
	first := u.id.Round * len(u.job.spec.Steps)
	for _, d := range u.step.DependsOn {
		if !u.job.units[first+d].done() {
			return false
		}
	}
	return true
}

// gangInProgress reports whether members of the gang have runs that are not being
// aborted. Members without a run join the gang's present run.
func (u *unit) gangInProgress() bool { return u.step.Gang && !u.aborting && !u.idle() }

// startable returns the indices of the tasks to place now: waiting ones that cannot run
// already, unseen, since an earlier term. A gang waits until that is known of all members.
func (e *Engine) startable(u *unit, now time.Duration) []int {
	waiting := u.waiting()
	if len(waiting) == 0 || len(u.job.inherited) == 0 {
		return waiting
	}
	t, key, unseen := u.unseenTask()
	if !unseen {
		return waiting
	}
	if !u.job.waitLogged {
		u.job.waitLogged = true
		klog.InfoS("dispatch: tasks of an earlier leader may run unseen", "job", u.job.spec.ID, "task", u.id.String(), "index", t.id.Index, "worker", key, "at_most", e.inheritedLeasesEnd-now)
	}
	if u.step.Gang {
		return nil
	}
	return slices.DeleteFunc(waiting, func(i int) bool {
		_, unseen := u.job.unseenOn(u.tasks[i])
		return unseen
	})
}

// waiting returns the indices of the tasks to place: those that are not done and have no
// run. While a gang is being aborted, none of its members is placed.
func (u *unit) waiting() []int {
	var indices []int
	if u.step.Gang && u.aborting && !u.idle() {
		return nil
	}
	for i, t := range u.tasks {
		if t.run == nil && !t.done {
			indices = append(indices, i)
		}
	}
	return indices
}
