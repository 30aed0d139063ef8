// Package scheduler decides where gangs run and which attempts are stopped to
// free capacity for others. Package planner calls it and writes the plan to the
// log. Decide does no I/O and reads no clock: it turns a snapshot into a plan.
// Every record of the plan is checked again when it is applied in log order.
//
// A wide gang is one that needs at least as many accelerators as the largest
// worker has. A cell is the capacity that a guaranteed shape of an account
// reserves on its workers (package cells); preemptible work of other accounts may
// use it until it is reclaimed.
//
// The steps of a decision are in files of their own: preemption in zones that
// are out (zones.go), queue order (queue.go), choice of workers (place.go) with
// the fragmentation measure (fragment.go), reclaim of guaranteed shapes
// (reclaim.go), consolidation for wide gangs (consolidate.go), and reservation
// for wide gangs that have waited long (reserve.go).
package scheduler

import (
	"math"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// Allocation starts an attempt of a job, with one placement for each task.
type Allocation struct {
	Job string
	// Attempt is the number of plans of the job that were accepted before.
	Attempt    int
	Placements []state.Placement
}

// Preemption stops an attempt.
type Preemption struct {
	Job string
	// Token is the fencing token of the attempt.
	Token  int64
	Reason string
	// ForJob is the job for which the attempt is stopped, if any.
	ForJob string
}

// Plan is the result of one decision.
type Plan struct {
	Allocations []Allocation
	Preemptions []Preemption
}

// Decide places the waiting gangs that fit and chooses the attempts to stop. It
// modifies snap.
func Decide(snap *Snapshot, policy Policy) Plan {
	c := newCycle(snap, policy)
	c.evacuateZones()
	for _, j := range c.queue() {
		if c.searches >= policy.MaxSearches {
			break
		}
		c.schedule(j)
	}
	return c.plan
}

// gangKey holds the properties of a gang that determine where it can be placed.
type gangKey struct {
	account        string
	urgent         bool
	nonPreemptible bool
	tasks          int
	perTask        api.Resources
	within         api.Adjacency
}

func keyOf(j *Pending) gangKey {
	return gangKey{j.Spec.Account, j.Spec.Urgent, j.NonPreemptible, j.Spec.Tasks, j.Spec.PerTask, j.Spec.Within}
}

// schedule places j, or else frees or reserves capacity for it. Free capacity
// only shrinks within a cycle, so a gang with the same key as one that did not
// fit is skipped unless its estimate is shorter.
func (c *cycle) schedule(j *Pending) {
	key := keyOf(j)
	if shortest, found := c.unplaced[key]; found && j.Estimate >= shortest {
		return
	}
	c.searches++
	// Urgent gangs and those that would lose work in a reclaim use the cells of
	// their own account before free capacity in the cells of others.
	avoidForeignCells := j.Spec.Urgent || !j.Spec.Checkpoint
	if chosen := c.place(j, avoidForeignCells); chosen != nil {
		c.allocate(j, chosen)
		return
	}
	if c.reclaim(j) {
		return
	}
	if chosen := c.place(j, false); avoidForeignCells && chosen != nil {
		c.allocate(j, chosen)
		return
	}
	if c.consolidate(j) {
		return
	}
	c.reserve(j)
	c.unplaced[key] = j.Estimate
}

// allocate adds the placement of j to the plan, with one task for each entry of
// chosen.
func (c *cycle) allocate(j *Pending, chosen []int) {
	placements := make([]state.Placement, len(chosen))
	for k, i := range chosen {
		placements[k] = state.Placement{Worker: c.snap.Workers[i].ID}
		c.assign(j, i)
	}
	c.plan.Allocations = append(c.plan.Allocations, Allocation{j.ID, j.Plans, placements})
}

// assign accounts for one task of j on worker i.
func (c *cycle) assign(j *Pending, i int) {
	w := &c.snap.Workers[i]
	w.Free = w.Free.Sub(j.Spec.PerTask)
	if j.NonPreemptible {
		w.NonPreemptible = w.NonPreemptible.Add(j.Spec.Account, j.Spec.PerTask)
	}
	c.held[i] = c.held[i].Add(j.Spec.Account, j.Spec.PerTask)
	c.rackUnusable[c.rackOf[i]] = math.NaN()
	if !j.Spec.Checkpoint {
		c.rackBusySeconds[c.rackOf[i]] = max(c.rackBusySeconds[c.rackOf[i]], j.Estimate)
	}
}

// Policy holds the parameters of Decide.
type Policy struct {
	Objective config.Objective
	// MaxSearches bounds the number of gangs that one decision tries to place.
	MaxSearches int
	// QuarantineFailures is how many different jobs must fail on a worker, with
	// none succeeding, before it is quarantined.
	QuarantineFailures int
	// MaxQuarantineShare bounds the share of all accelerators in quarantine.
	MaxQuarantineShare float64
	// ProbationSeconds is the time since the first of the failures after which a
	// quarantined worker takes one single-task gang at a time again.
	ProbationSeconds float64
	// ReserveAfterSeconds is the minimum wait before a wide gang may get a
	// reservation.
	ReserveAfterSeconds float64
	// ReserveWaitRatio is the minimum ratio of its wait to its expected run time for
	// that.
	ReserveWaitRatio float64
	// MaxReservations bounds the number of gangs with a reservation, and the number
	// of wide gangs that are moved up in the queue because they have waited long.
	MaxReservations int
	// ForeignCellPenalty and ForeignCellPenaltyNoCheckpoint weigh each accelerator
	// that a gang takes in a cell of another account: the first for a gang that can
	// checkpoint, the second for one that cannot.
	ForeignCellPenalty, ForeignCellPenaltyNoCheckpoint float64
	// AgeingSeconds is added to the wait and to the expected run time of a job when
	// it is ranked, so that differences well below it hardly affect the rank.
	AgeingSeconds float64
	// ShortJobExponent determines how much short jobs are preferred: 0 ranks jobs
	// by wait alone, 1 by the wait relative to the expected run time, and higher
	// values prefer short jobs more.
	ShortJobExponent float64
	// ReservationLimits limits which attempts are stopped for a reservation, and
	// ConsolidationLimits which are stopped to consolidate free capacity.
	ReservationLimits, ConsolidationLimits PreemptionLimits
	// MaxConsolidationShare bounds the accelerators of the attempts that are stopped
	// to consolidate free capacity, as a share of what the wide gang needs.
	MaxConsolidationShare float64
	// RackBusyWeight weighs the extra time for which a gang that cannot checkpoint
	// keeps its rack busy.
	RackBusyWeight float64
	// MoveCostSeconds is the expected time lost by stopping a gang and resuming it
	// in another zone.
	MoveCostSeconds float64
}

// PreemptionLimits limits which attempts may be stopped for a wide gang.
type PreemptionLimits struct {
	// MinRunSeconds is how long an attempt must have run.
	MinRunSeconds float64
	// MinRankRatio is the minimum ratio of the rank of the wide gang to that of the
	// attempt. Below 1, the gang may rank lower.
	MinRankRatio float64
}

// DefaultPolicy returns the default parameters with the given objective.
func DefaultPolicy(objective config.Objective) Policy {
	return Policy{
		Objective: objective, MaxSearches: 256,
		QuarantineFailures: 3, MaxQuarantineShare: 0.1, ProbationSeconds: 600,
		ReserveWaitRatio: 1, ReserveAfterSeconds: 3600, MaxReservations: 2,
		ForeignCellPenalty: 0.2, ForeignCellPenaltyNoCheckpoint: 0.5, AgeingSeconds: 200, ShortJobExponent: 1.2, MoveCostSeconds: 30,
		RackBusyWeight:      0.5,
		ReservationLimits:   PreemptionLimits{MinRunSeconds: 120, MinRankRatio: 1.5},
		ConsolidationLimits: PreemptionLimits{MinRunSeconds: 30, MinRankRatio: 0.7}, MaxConsolidationShare: 1,
	}
}
