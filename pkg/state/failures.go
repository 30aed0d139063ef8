package state

import "slices"

// maxRecordedFailures bounds the failed jobs kept for a worker, and the workers kept
// for a job.
const maxRecordedFailures = 8

// recordFailures records the workers on which an attempt failed, or clears the
// failures of the workers on which it succeeded. A job that has failed on two workers
// counts against neither: the job itself may be at fault.
func (s *State) recordFailures(j *Job, r *EndAttempt) {
	switch r.Outcome {
	case OutcomeDone:
		for _, p := range j.Placements {
			if w := s.Workers[p.Worker]; w != nil {
				w.FailedJobs = nil
			}
		}
		j.FailedOn = nil
	case OutcomeFailed:
		for _, id := range failedWorkers(j, r) {
			s.recordFailure(j, id)
		}
	}
}

// failedWorkers returns the workers that the coordinator named, or else the worker of
// an attempt that ran on a single one.
func failedWorkers(j *Job, r *EndAttempt) []string {
	if len(r.FailedWorkers) > 0 {
		return r.FailedWorkers
	}
	for _, p := range j.Placements {
		if p.Worker != j.Placements[0].Worker {
			return nil
		}
	}
	if len(j.Placements) == 0 {
		return nil
	}
	return []string{j.Placements[0].Worker}
}

// recordFailure records that j failed on a worker. When j fails on a second worker,
// its failure on the first one is removed.
func (s *State) recordFailure(j *Job, id string) {
	if slices.Contains(j.FailedOn, id) || len(j.FailedOn) >= maxRecordedFailures {
		return
	}
	j.FailedOn = append(slices.Clone(j.FailedOn), id)
	if len(j.FailedOn) > 1 {
		if first := s.Workers[j.FailedOn[0]]; first != nil {
			first.FailedJobs = slices.DeleteFunc(slices.Clone(first.FailedJobs), func(job string) bool { return job == j.ID })
		}
		return
	}
	if w := s.Workers[id]; w != nil && len(w.FailedJobs) < maxRecordedFailures {
		w.FailedJobs = append(slices.Clone(w.FailedJobs), j.ID)
	}
}
