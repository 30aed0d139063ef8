package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/eviction"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// evictionCosts returns what stops cost on the platform.
func (e *Engine) evictionCosts() eviction.Costs {
	return eviction.Costs{StopTime: e.Settings.MaxStopTime, RestoreTime: e.Settings.RestoreTime, CheckpointInterval: e.Settings.CheckpointInterval}
}

// coreEquivalents returns resources as cores, with accelerators counted as acceleratorCores.
func coreEquivalents(r workload.Resources) float64 {
	return float64(r.MilliCores)/1000 + acceleratorCores*float64(r.Accelerators)
}

// stopLoss returns what stopping the run for another job costs, in core-seconds.
func (e *Engine) stopLoss(r *run, now time.Duration) float64 {
	if !e.Settings.Features.Stops {
		return e.lostWork(r, now)
	}
	u := r.task.unit
	stopped := eviction.Run{Cores: coreEquivalents(r.need), Ran: now - r.beganAt, SavesProgress: u.step.SavesProgress, EarlierStops: r.task.preemptions, Members: 1, Seen: 1}
	if u.step.Gang && len(u.job.inherited) > 0 {
		stopped.Members, stopped.Seen, stopped.Expected = len(u.tasks), u.seenMembers(), e.expectedRunTime(u)
	}
	return e.evictionCosts().Loss(stopped)
}

// seenMembers counts the tasks of a gang that are done or of which a run is known.
func (u *unit) seenMembers() int {
	seen := 0
	for _, t := range u.tasks {
		if t.run != nil || t.done {
			seen++
		}
	}
	return seen
}

// isPartlyKnown reports whether the unit is a gang of which a new leader has not seen all members
// yet: what seems cheap to stop there may be all but done.
func (e *Engine) isPartlyKnown(u *unit, now time.Duration) bool {
	return e.Settings.Features.Stops && u.step.Gang && !e.isSettled(now) && u.seenMembers() < len(u.tasks)
}

// isDoubtful reports whether gangs keep off the worker: it has failed since it last completed a
// task, and its quarantine has ended for less than it lasted.
func (e *Engine) isDoubtful(w *worker, now time.Duration) bool {
	return e.Settings.Features.Stops && w.failures > 0 && now < w.quarantinedUntil+quarantineTime*time.Duration(w.failures)
}

// recentCrashTime is for how long after a crash a worker ranks last: workers that go down and up by
// turns do so every few seconds.
const recentCrashTime = 6 * time.Second

// crashPenalty returns what is added to the penalty of a worker that has crashed lately.
func (e *Engine) crashPenalty(w *worker, now time.Duration) int {
	if c := e.crashes[w.info.Address]; e.Settings.Features.Stops && c.at != 0 && now-c.at < recentCrashTime {
		return 1
	}
	return 0
}

// judgeStops decides for which of the waiting units others may be stopped, and at what cost.
func (e *Engine) judgeStops(waiting []*placement.Unit, now time.Duration) map[workload.UnitID]eviction.Verdict {
	if !e.Settings.Features.Stops {
		if !e.isSettled(now) {
			for _, pu := range waiting {
				pu.MayNotPreempt = !pu.MustStart
			}
		}
		return nil
	}
	verdicts := map[workload.UnitID]eviction.Verdict{}
	unixMS := e.UnixMS()
	for _, pu := range waiting {
		if pu.MayNotPreempt || pu.Priority > 0 && !pu.Guaranteed && !pu.LongRunning {
			continue
		}
		u := e.unitOf(pu.ID)
		work := float64(len(pu.Waiting)) * coreEquivalents(u.step.Need) * e.expectedRunTime(u).Seconds()
		verdict := e.evictionCosts().Judge(eviction.Waiter{Guaranteed: pu.Guaranteed, LongRunning: pu.LongRunning, DueNow: pu.MustStart, Settled: e.isSettled(now), SinceClaim: now - e.ClaimedAt,
			Slack: time.Duration(pu.DeadlineMS-unixMS)*time.Millisecond - e.chainTime(u), Work: work, UsualLimit: pu.PreemptionCostLimit()})
		pu.MayNotPreempt, pu.MaxStopLoss = !verdict.Allowed || verdict.Limit <= 0, verdict.Limit
		verdicts[pu.ID] = verdict
	}
	return verdicts
}

// chainTime returns the expected time of the longest chain of steps that begins with the unit.
func (e *Engine) chainTime(u *unit) time.Duration {
	steps := u.job.spec.Steps
	first := u.id.Round * len(steps)
	// A step depends on earlier ones only.
	times := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= u.id.Step; i-- {
		times[i] += e.expectedRunTime(u.job.units[first+i])
		for _, d := range steps[i].DependsOn {
			times[d] = max(times[d], times[i])
		}
	}
	return times[u.id.Step]
}

// noteVerdicts logs the verdicts on units that had to wait, once until they change, and the stops
// that the plan makes.
func (e *Engine) noteVerdicts(verdicts map[workload.UnitID]eviction.Verdict, plan placement.Plan, now time.Duration) {
	if len(verdicts) == 0 {
		return
	}
	for _, id := range plan.Unplaced {
		verdict, judged := verdicts[id]
		u := e.unitOf(id)
		if !judged || u.stopVerdict == verdict.Reason {
			continue
		}
		u.stopVerdict = verdict.Reason
		metrics.GetOrCreateCounter(`shallotpin_stop_verdicts_total{reason="` + verdict.Reason + `"}`).Inc()
		klog.InfoS("dispatch: stops for a waiting unit judged", "job", id.Job, "task", id.String(), "allowed", verdict.Allowed, "reason", verdict.Reason, "limit_core_s", int(verdict.Limit), "waited_ms", e.UnixMS()-u.job.spec.SubmittedMS)
	}
	if len(plan.Stop) == 0 {
		return
	}
	loss := 0.0
	for _, id := range plan.Stop {
		if t := e.taskOf(id); t != nil && t.run != nil {
			loss += e.stopLoss(t.run, now)
		}
	}
	klog.InfoS("dispatch: stops decided", "runs", len(plan.Stop), "tasks_waiting", len(plan.Reserve), "loss_core_s", int(loss), "since_claim", now-e.ClaimedAt)
}

// mustLeave reports whether a run, or another member of its gang, has to be stopped since its
// worker is going to be withdrawn.
func (e *Engine) mustLeave(r *run, untilGone, now time.Duration) bool {
	u := r.task.unit
	tasks := []*task{r.task}
	if u.step.Gang {
		tasks = u.tasks
	}
	for _, t := range tasks {
		if t.run == nil {
			continue
		}
		l := eviction.Leaving{UntilGone: untilGone, Left: e.expectedRemaining(t.run, now), Measured: t.run.remaining(now) != unknownTime, SavesProgress: u.step.SavesProgress, Ran: now - t.run.beganAt}
		if e.evictionCosts().MustLeave(l) {
			klog.InfoS("dispatch: run leaves a draining worker", "job", r.task.id.Job, "task", u.id.String(), "index", r.task.id.Index, "worker", r.worker.info.ID, "until_gone", untilGone, "left", l.Left, "measured", l.Measured, "saves", l.SavesProgress)
			return true
		}
	}
	return false
}

// mayMove reports whether a run that stands still, or is slow, and its gang are to be stopped so
// that they start on other workers. A slow run is watched for a short time before: its worker may
// be as fast as the others again.
func (e *Engine) mayMove(r *run, standsStill bool, now time.Duration) bool {
	if !e.Settings.Features.Stops {
		return true
	}
	u := r.task.unit
	own := r.progress(now)
	members := []eviction.Progress{own}
	if u.step.Gang {
		members = nil
		for _, t := range u.tasks {
			if t.run != nil && t.run.phase == runActive {
				members = append(members, t.run.progress(now))
			}
		}
	}
	move := e.evictionCosts().JudgeMove(own, members, e.expectedRunTime(u))
	if move.Pays && !standsStill {
		if r.watchedAt == 0 {
			r.watchedAt, r.watchedPercent = now, r.percent
			return false
		}
		if r.worker.listingAt-r.watchedAt < eviction.WatchTime {
			if now-r.watchedAt >= eviction.WatchTime {
				e.requestListing(r.worker)
			}
			return false
		}
		if eviction.HasRecovered(r.percent-r.watchedPercent, r.worker.listingAt-r.watchedAt, move.Usual) {
			r.watchedAt, r.slow, move.Pays = 0, false, false
		}
	}
	if move.Pays || !r.moveHeld {
		decision := "moved"
		if !move.Pays {
			decision = "held"
		}
		metrics.GetOrCreateCounter(`shallotpin_move_verdicts_total{decision="` + decision + `"}`).Inc()
		klog.InfoS("dispatch: move of a slow run judged", "job", r.task.id.Job, "task", u.id.String(), "index", r.task.id.Index, "run", r.id.Number, "worker", r.worker.info.ID,
			"decision", decision, "percent", r.percent, "stands_still", standsStill, "behind", move.Behind, "lost", move.Lost, "usual", move.Usual, "members", len(members))
	}
	if !move.Pays && r.stalledTask().stalls == 0 {
		e.closeBeside(r, standsStill, now)
	}
	r.moveHeld = !move.Pays
	return move.Pays
}

// closeBeside keeps new tasks off the worker of a run that is kept though it is slow: for the time
// of a quarantine, and for as long as the run stands still.
func (e *Engine) closeBeside(r *run, standsStill bool, now time.Duration) {
	switch {
	case !r.moveHeld:
		e.quarantine(r.worker, now)
	case standsStill:
		r.worker.quarantinedUntil = max(r.worker.quarantinedUntil, now+2*checkInterval)
	}
}

// progress returns the run's progress in the form that package eviction takes.
func (r *run) progress(now time.Duration) eviction.Progress {
	p := eviction.Progress{Cores: coreEquivalents(r.need), Percent: r.percent, Gained: r.percent - r.basePercent, Span: r.percentAt - r.baseAt, Idle: now - r.percentAt, SavesProgress: r.task.unit.step.SavesProgress}
	// Progress is reported in whole percent, so that a rate may be too high by one percent within
	// its span. For long tasks that is all of it.
	if rate := max(r.bestRate-1/minRateSpan.Seconds(), r.bestRate/2); rate > 0 {
		p.Best = time.Duration(100 / rate * float64(time.Second))
	}
	if r.percent >= 100 {
		p.Idle = 0
	}
	return p
}
