package state

import "github.com/shallotpin/shallotpin/pkg/api"

// groupKey identifies a group of adjacent workers: one worker, rack or zone.
type groupKey struct{ zone, rack, worker string }

func groupOf(w *Worker, within api.Adjacency) groupKey {
	switch within {
	case api.WithinWorker:
		return groupKey{w.Zone, w.Rack, w.ID}
	case api.WithinRack:
		return groupKey{w.Zone, w.Rack, ""}
	default:
		return groupKey{w.Zone, "", ""}
	}
}

// TaskSlots returns how many tasks that need perTask each fit into free, at most
// api.MaxGangTasks.
func TaskSlots(free, perTask api.Resources) int {
	n := api.MaxGangTasks
	for _, r := range [...][2]int{{free.Cores, perTask.Cores}, {free.MemoryGB, perTask.MemoryGB}, {free.Accelerators, perTask.Accelerators}} {
		if r[1] > 0 {
			n = min(n, r[0]/r[1])
		}
	}
	return max(n, 0)
}

// canEverFit reports whether the gang would fit if every worker that is not lost were
// in service and empty. It returns true before any worker is known.
func (s *State) canEverFit(spec *api.JobSpec) bool {
	if len(s.Workers) == 0 {
		return true
	}
	slots := map[groupKey]int{}
	for _, w := range s.Workers {
		if w.Gone {
			continue
		}
		key := groupOf(w, spec.Within)
		slots[key] += TaskSlots(w.Capacity, spec.PerTask)
		if slots[key] >= spec.Tasks {
			return true
		}
	}
	return false
}

// neverFitsError returns the error for a gang that can never run.
func neverFitsError(spec *api.JobSpec) *api.Error {
	return api.Errorf(api.CodeInvalid, "%d tasks of %d cores, %d GB and %d accelerators within one %s fit nowhere, even if every worker left were empty",
		spec.Tasks, spec.PerTask.Cores, spec.PerTask.MemoryGB, spec.PerTask.Accelerators, spec.Within)
}

// gangShape holds the parts of a job spec that decide whether the gang can ever fit.
type gangShape struct {
	tasks   int
	perTask api.Resources
	within  api.Adjacency
}

// failImpossibleJobs fails the pending jobs that can never run. It is called when
// workers were lost.
func (s *State) failImpossibleJobs() {
	fits := map[gangShape]bool{}
	var failed []*Job
	for _, j := range s.Jobs {
		if j.Phase != api.PhasePending {
			continue
		}
		key := gangShape{j.Spec.Tasks, j.Spec.PerTask, j.Spec.Within}
		if _, ok := fits[key]; !ok {
			fits[key] = s.canEverFit(&j.Spec)
		}
		if !fits[key] {
			failed = append(failed, j)
		}
	}
	sortByOrder(failed)
	for _, j := range failed {
		s.finishJob(j, api.PhaseFailed, neverFitsError(&j.Spec).Message)
	}
}
