package state

import "github.com/shallotpin/shallotpin/pkg/api"

func (s *State) applySubmit(r *SubmitJob) Outcome {
	if r.Key != "" {
		if id, ok := s.JobKeys[r.Key]; ok {
			return Outcome{JobID: id}
		}
	}
	if s.Jobs[r.ID] != nil {
		return Outcome{JobID: r.ID}
	}
	if err := s.checkSubmit(&r.Spec); err != nil {
		return refusal(err)
	}
	s.Submitted++
	s.Jobs[r.ID] = &Job{ID: r.ID, Key: r.Key, Spec: r.Spec, Order: s.Submitted, Phase: api.PhasePending}
	s.reviewPending(s.Jobs[r.ID])
	if r.Key != "" {
		s.JobKeys[r.Key] = r.ID
	}
	return Outcome{JobID: r.ID}
}

func (s *State) checkSubmit(spec *api.JobSpec) *api.Error {
	if s.Config == nil {
		return api.Errorf(api.CodeUnavailable, "no configuration has been published")
	}
	account := s.Config.Account(spec.Account)
	if account == nil {
		return api.FieldErrorf("account", "%q is not a client account", spec.Account)
	}
	if err := spec.Validate(); err != nil {
		return api.AsError(err, api.NotRun)
	}
	if account.MaxQueued > 0 && s.countPending(account.Name) >= account.MaxQueued {
		return api.Errorf(api.CodeOverloaded, "account %s has %d jobs waiting, its limit", account.Name, account.MaxQueued)
	}
	if !s.canEverFit(spec) {
		return neverFitsError(spec)
	}
	return nil
}

func (s *State) countPending(account string) int {
	n := 0
	for _, j := range s.Jobs {
		if j.Phase == api.PhasePending && j.Spec.Account == account {
			n++
		}
	}
	return n
}

func (s *State) applyCancel(r *CancelJob) Outcome {
	j := s.Jobs[r.Job]
	if j == nil {
		return refusal(api.Errorf(api.CodeNotFound, "no job %q", r.Job))
	}
	switch j.Phase {
	case api.PhasePending:
		j.Cancelled = true
		s.finishJob(j, api.PhaseCancelled, "cancelled by the caller")
	case api.PhasePlaced:
		j.Cancelled = true
		j.Phase = api.PhaseStopping
	case api.PhaseStopping:
		j.Cancelled = true
	}
	return Outcome{JobID: j.ID}
}

func (s *State) applyPlan(r *PlanJob) Outcome {
	j := s.Jobs[r.Job]
	if j == nil {
		return refusal(api.Errorf(api.CodeNotFound, "no job %q", r.Job))
	}
	if j.Phase != api.PhasePending || j.Plans != r.Attempt {
		return refusal(api.Errorf(api.CodeConflict, "job %s is %s with %d plans; the plan was based on %d", j.ID, j.Phase, j.Plans, r.Attempt))
	}
	if err := s.checkPlacements(j, r.Placements); err != nil {
		return refusal(err)
	}
	s.LastToken++
	j.Phase, j.Token, j.Coordinator = api.PhasePlaced, s.LastToken, r.Coordinator
	j.Placements = r.Placements
	j.Plans++
	j.Attempts++
	j.Verdict = api.MayHaveRun
	j.Reason, j.PreemptedFor, j.HasPreempted = "", "", false
	for _, p := range r.Placements {
		s.Workers[p.Worker].allocate(j)
	}
	return Outcome{JobID: j.ID, Token: j.Token}
}

// checkPlacements checks a plan against the present state, since the planner may have
// worked from an older one.
func (s *State) checkPlacements(j *Job, placements []Placement) *api.Error {
	if len(placements) != j.Spec.Tasks {
		return api.Errorf(api.CodeInvalid, "plan places %d of %d tasks", len(placements), j.Spec.Tasks)
	}
	extra := map[string]api.Resources{}
	var first *Worker
	for _, p := range placements {
		w := s.Workers[p.Worker]
		if w == nil || !s.acceptsTasks(w) {
			return api.Errorf(api.CodeConflict, "worker %s takes no new tasks", p.Worker)
		}
		if first == nil {
			first = w
		}
		if !adjacent(first, w, j.Spec.Within) {
			return api.Errorf(api.CodeInvalid, "workers %s and %s are not within one %s", first.ID, w.ID, j.Spec.Within)
		}
		extra[w.ID] = extra[w.ID].Add(j.Spec.PerTask)
		if !extra[w.ID].Fits(w.Free()) {
			return api.Errorf(api.CodeConflict, "worker %s has too little free capacity", w.ID)
		}
		if !j.NonPreemptible() {
			continue
		}
		if err := checkReclaimable(w, j.Spec.Account, extra[w.ID]); err != nil {
			return err
		}
	}
	return nil
}

func adjacent(a, b *Worker, within api.Adjacency) bool {
	return within.Together(a.location(), b.location())
}

func (w *Worker) location() api.Location {
	return api.Location{Worker: w.ID, Rack: w.Rack, Zone: w.Zone}
}

func (s *State) applyPreempt(r *PreemptJob) Outcome {
	j, out := s.currentAttempt(r.Job, r.Token)
	if j == nil {
		return out
	}
	if j.NonPreemptible() {
		return refusal(api.Errorf(api.CodeConflict, "job %s cannot be stopped and started again", j.ID))
	}
	if j.Phase == api.PhasePlaced {
		j.Phase = api.PhaseStopping
		j.Reason, j.PreemptedFor = r.Reason, r.For
		if beneficiary := s.Jobs[r.For]; beneficiary != nil && beneficiary.Phase == api.PhasePending {
			beneficiary.HasPreempted = true
		}
	}
	return Outcome{JobID: j.ID}
}

func (s *State) applyClaim(r *ClaimJob) Outcome {
	j, out := s.currentAttempt(r.Job, r.Token)
	if j == nil {
		return out
	}
	if j.Coordinator != r.From {
		return refusal(api.Errorf(api.CodeConflict, "job %s is coordinated by %s, not %s", j.ID, j.Coordinator, r.From))
	}
	j.Coordinator = r.To
	return Outcome{JobID: j.ID, Token: j.Token}
}

func (s *State) applyBegin(r *BeginAttempt) Outcome {
	j, out := s.currentAttempt(r.Job, r.Token)
	if j == nil {
		return out
	}
	if err := s.checkStartable(j, r.Coordinator); err != nil {
		return refusal(err)
	}
	j.Started = true
	return Outcome{JobID: j.ID, Token: j.Token}
}

func (s *State) applyStop(r *StopAttempt) Outcome {
	j, out := s.currentAttempt(r.Job, r.Token)
	if j == nil {
		return out
	}
	if j.Coordinator != r.Coordinator {
		return refusal(api.Errorf(api.CodeConflict, "job %s is coordinated by %s, not %s", j.ID, j.Coordinator, r.Coordinator))
	}
	if j.Phase == api.PhasePlaced {
		j.Phase, j.Reason = api.PhaseStopping, r.Reason
	}
	return Outcome{JobID: j.ID}
}

// checkStartable returns an error unless the current attempt of j may start its tasks
// under the given coordinator.
func (s *State) checkStartable(j *Job, coordinator string) *api.Error {
	if j.Phase != api.PhasePlaced {
		return api.Errorf(api.CodeConflict, "job %s is %s", j.ID, j.Phase)
	}
	if j.Coordinator != coordinator {
		return api.Errorf(api.CodeConflict, "job %s is coordinated by %s, not %s", j.ID, j.Coordinator, coordinator)
	}
	for _, p := range j.Placements {
		w := s.Workers[p.Worker]
		if w == nil || w.Gone || s.ZoneOut(w.Zone) {
			return api.Errorf(api.CodeConflict, "worker %s takes no new tasks", p.Worker)
		}
	}
	return nil
}

// currentAttempt returns the job if its current attempt has the given token, or else
// nil and the refusal.
func (s *State) currentAttempt(id string, token int64) (*Job, Outcome) {
	j := s.Jobs[id]
	if j == nil {
		return nil, refusal(api.Errorf(api.CodeNotFound, "no job %q", id))
	}
	if j.Token != token || (j.Phase != api.PhasePlaced && j.Phase != api.PhaseStopping) {
		return nil, refusal(api.Errorf(api.CodeConflict, "job %s has no attempt %d in force", id, token))
	}
	return j, Outcome{}
}

func (s *State) applyEnd(r *EndAttempt) Outcome {
	j, out := s.currentAttempt(r.Job, r.Token)
	if j == nil {
		return out
	}
	if r.Coordinator != "" && j.Coordinator != r.Coordinator {
		return refusal(api.Errorf(api.CodeConflict, "job %s is coordinated by %s, not %s", j.ID, j.Coordinator, r.Coordinator))
	}
	nonPreemptible := j.NonPreemptible()
	s.recordFailures(j, r)
	s.release(j)
	s.settleAttempt(j, r)
	if nonPreemptible {
		s.rebindUnfit()
	}
	return Outcome{JobID: j.ID}
}

// release frees the resources that the attempt held on its workers.
func (s *State) release(j *Job) {
	for _, p := range j.Placements {
		if w := s.Workers[p.Worker]; w != nil {
			w.deallocate(j)
			s.deleteIfUnused(w)
		}
	}
	j.Placements = nil
	j.Coordinator = ""
	j.Started = false
}

// settleAttempt updates the job after its attempt has ended: the job ends or becomes
// pending again.
func (s *State) settleAttempt(j *Job, r *EndAttempt) {
	if len(r.Checkpoints) > 0 {
		j.Checkpoints = r.Checkpoints
	}
	switch r.Outcome {
	case OutcomeDone:
		j.Verdict = api.Ran
		j.Results = r.Results
		s.finishJob(j, api.PhaseDone, "")
		return
	case OutcomeNeverStarted:
		j.Attempts--
		// A checkpoint shows that an earlier attempt ran, although it does not count
		// in Attempts.
		if j.Attempts == 0 && len(j.Checkpoints) == 0 {
			j.Verdict = api.NotRun
		}
	case OutcomeStopped:
		if j.Spec.Checkpoint && len(r.Checkpoints) > 0 {
			j.Attempts--
		}
	}
	switch {
	case j.Cancelled:
		s.finishJob(j, api.PhaseCancelled, "cancelled by the caller")
	case j.Attempts >= j.Spec.MaxAttempts:
		s.finishJob(j, api.PhaseFailed, r.Reason)
	default:
		j.Phase = api.PhasePending
		j.Reason = r.Reason
		s.reviewPending(j)
	}
}

// finishJob ends a job. If more than maxEndedJobs have ended, the one that ended first
// is deleted.
func (s *State) finishJob(j *Job, phase api.Phase, reason string) {
	j.Phase, j.Reason = phase, reason
	s.Ended = append(s.Ended, j.ID)
	if len(s.Ended) > maxEndedJobs {
		s.deleteJob(s.Ended[0])
		s.Ended = append([]string(nil), s.Ended[1:]...)
	}
}

func (s *State) deleteJob(id string) {
	if j := s.Jobs[id]; j != nil {
		delete(s.JobKeys, j.Key)
		delete(s.Jobs, id)
	}
}
