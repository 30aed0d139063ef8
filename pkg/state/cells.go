package state

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// nonPreemptibleWaitReason is the reason shown for a pending gang whose next attempt must
// not be preempted.
const nonPreemptibleWaitReason = "waiting: this attempt cannot be stopped and resumed, so it starts only in cells of its own account or outside all cells"

// acceptsTasks reports whether new tasks may be placed on w.
func (s *State) acceptsTasks(w *Worker) bool {
	return !w.Gone && !w.Leaving && !s.ZoneOut(w.Zone)
}

// NonPreemptible reports whether the current attempt, or the next one if there is none,
// must not be preempted: the job cannot checkpoint and this is its last attempt, so its
// work would be lost and it could not start again.
func (j *Job) NonPreemptible() bool {
	if j.Spec.Checkpoint {
		return false
	}
	left := j.Spec.MaxAttempts - j.Attempts
	if j.Phase == api.PhasePlaced || j.Phase == api.PhaseStopping {
		return left <= 0
	}
	return left <= 1
}

// cellWorkers returns the workers that can be part of cells under configuration c,
// sorted by zone, rack and ID.
func (s *State) cellWorkers(c *config.Config) []cells.Worker {
	out := make([]cells.Worker, 0, len(s.Workers))
	for _, w := range s.Workers {
		zone := s.Zones[w.Zone]
		isOut := zone != nil && zone.Out
		if !w.Gone && !w.Leaving && !isOut && c.Zone(w.Zone) != nil {
			out = append(out, cells.Worker{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity, NonPreemptible: w.NonPreemptible})
		}
	}
	slices.SortFunc(out, func(a, b cells.Worker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// rebindCells binds the guarantees in force to the present workers.
func (s *State) rebindCells() {
	if s.Config == nil {
		return
	}
	s.Cells = cells.Bind(s.cellWorkers(s.Config), cells.Shapes(s.Guarantees()), s.Cells.Cells)
	for _, w := range s.Workers {
		w.Reserved = nil
	}
	for _, c := range s.Cells.Cells {
		for _, id := range c.WorkerIDs {
			w := s.Workers[id]
			w.Reserved = w.Reserved.Add(c.Shape.Account, c.Shape.PerWorker)
		}
	}
}

// checkGuarantees returns an error if the guarantees of a preset do not fit the fleet
// together. Shapes that do not fit under the guarantees in force either, because
// workers were lost, are no reason to refuse. Before any worker is known, every preset
// is accepted.
func (s *State) checkGuarantees(c *config.Config, preset string) *api.Error {
	guarantees := c.Preset(preset).Guarantees
	if len(s.Workers) == 0 || slices.Equal(guarantees, s.Guarantees()) {
		return nil
	}
	workers := s.cellWorkers(c)
	binding := cells.Bind(workers, cells.Shapes(guarantees), s.Cells.Cells)
	unfit := cells.FirstNewUnfit(binding.Unfit, s.Cells.Unfit)
	if unfit == nil {
		return nil
	}
	return api.FieldErrorf("presets", "preset %q does not fit the fleet: no cell for account %s, %d workers of %d accelerators within one %s%s",
		preset, unfit.Account, unfit.Workers, unfit.PerWorker.Accelerators, unfit.Within, s.nonPreemptibleConflict(workers, guarantees))
}

// nonPreemptibleConflict returns the end of the message of checkGuarantees. It says that
// the guarantees do not fit together, or else names the oldest job that must not be
// preempted. It clears NonPreemptible in workers.
func (s *State) nonPreemptibleConflict(workers []cells.Worker, guarantees []config.Guarantee) string {
	for i := range workers {
		workers[i].NonPreemptible = nil
	}
	if len(cells.Bind(workers, cells.Shapes(guarantees), nil).Unfit) > 0 {
		return " beside the other guarantees"
	}
	var first *Job
	for _, j := range s.Jobs {
		if len(j.Placements) > 0 && j.NonPreemptible() && (first == nil || j.Order < first.Order) {
			first = j
		}
	}
	if first == nil {
		return ""
	}
	return fmt.Sprintf(", because work that cannot be stopped is in the way, such as job %s of account %s", first.ID, first.Spec.Account)
}

// checkReclaimable returns an error if a gang of account that must not be preempted would
// keep another account from reclaiming its cell on w. gangUse is what the gang would
// hold on w.
func checkReclaimable(w *Worker, account string, gangUse api.Resources) *api.Error {
	if cells.Reclaimable(w.Capacity, w.Reserved, w.NonPreemptible.Add(account, gangUse)) {
		return nil
	}
	return api.Errorf(api.CodeConflict, "worker %s holds a cell of another account, in which this gang could not be stopped", w.ID)
}

// allocate adds the resources of one task of j to those held on w.
func (w *Worker) allocate(j *Job) {
	w.Used = w.Used.Add(j.Spec.PerTask)
	if j.NonPreemptible() {
		w.NonPreemptible = w.NonPreemptible.Add(j.Spec.Account, j.Spec.PerTask)
	}
}

// deallocate subtracts the resources of one task of j from those held on w.
// j.NonPreemptible must return what it returned at allocate.
func (w *Worker) deallocate(j *Job) {
	w.Used = w.Used.Sub(j.Spec.PerTask)
	if j.NonPreemptible() {
		w.NonPreemptible = w.NonPreemptible.Sub(j.Spec.Account, j.Spec.PerTask)
	}
}

// rebindUnfit binds the guarantees again if some shape does not fit. It is called when
// a non-preemptible attempt has ended.
func (s *State) rebindUnfit() {
	if len(s.Cells.Unfit) > 0 {
		s.rebindCells()
	}
}

// reviewPending fails a job that has become pending but can never fit. If the next
// attempt must not be preempted, it sets an empty reason to nonPreemptibleWaitReason.
func (s *State) reviewPending(j *Job) {
	switch {
	case !s.canEverFit(&j.Spec):
		s.finishJob(j, api.PhaseFailed, neverFitsError(&j.Spec).Message)
	case j.NonPreemptible() && j.Reason == "":
		j.Reason = nonPreemptibleWaitReason
	}
}

func sortByOrder(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
}
