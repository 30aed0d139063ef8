package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
)

// span is the half-open range [start, end) of indexes into Snapshot.Workers.
type span struct{ start, end int }

// cycle is the working state of one call of Decide. It modifies the workers and
// attempts of the snapshot as it places and stops gangs.
type cycle struct {
	snap   *Snapshot
	policy Policy
	plan   Plan

	// index gives the position of each worker by ID.
	index        map[string]int
	racks, zones []span
	// rackOf is the index of the rack of each worker.
	rackOf []int
	// rackUnusable caches the expected unusable accelerators of each rack; NaN
	// marks a value that has to be computed.
	rackUnusable []float64
	// rackBusySeconds is the time until the attempts on each rack that cannot
	// checkpoint are expected to end.
	rackBusySeconds []float64
	mix             GangMix

	// onWorker lists the attempts on each worker, each of them once.
	onWorker [][]int
	// held is what each account holds on each worker, without attempts that are being
	// stopped. It is complete only for workers that have cells.
	held []cells.ByAccount
	// releasing is what attempts that are being stopped still hold on each worker.
	releasing []api.Resources
	// maxEstimate is the longest estimate, in seconds, with which a gang may
	// start on each worker; it is infinite for workers without a reservation. It does
	// not limit accounts that have a cell on the worker.
	maxEstimate  []float64
	reservations int

	// guaranteed and inUse are the accelerators in the cells of each account and in
	// use by it. shareFactor is the result of shareFactors.
	guaranteed  map[string]int
	inUse       map[string]int
	shareFactor map[string]float64
	// unplaced holds, for each key, the shortest estimate of the gangs that were not
	// placed. unconsolidated holds, for each key, the highest rank of the gangs for
	// which consolidate found no group.
	unplaced       map[gangKey]float64
	unconsolidated map[gangKey]float64
	// attemptRanks caches the ranks of attempts; NaN marks a rank that has to be
	// computed.
	attemptRanks []float64
	// maxWorkerAccelerators is the capacity of the largest worker.
	maxWorkerAccelerators int
	searches              int
	candidates            []candidate
}

func newCycle(snap *Snapshot, policy Policy) *cycle {
	n := len(snap.Workers)
	c := &cycle{
		snap: snap, policy: policy, rackOf: make([]int, n), onWorker: make([][]int, n), held: make([]cells.ByAccount, n),
		releasing: make([]api.Resources, n), maxEstimate: make([]float64, n),
		guaranteed: map[string]int{}, inUse: map[string]int{}, unplaced: map[gangKey]float64{},
		unconsolidated: map[gangKey]float64{}, attemptRanks: slices.Repeat([]float64{math.NaN()}, len(snap.Attempts)),
	}
	c.indexGroups()
	c.indexAttempts()
	for i := range snap.Workers {
		c.maxEstimate[i] = math.Inf(1)
		c.maxWorkerAccelerators = max(c.maxWorkerAccelerators, snap.Workers[i].Capacity.Accelerators)
		for _, amount := range snap.Workers[i].Reserved {
			c.guaranteed[amount.Account] += amount.Resources.Accelerators
		}
	}
	c.quarantine()
	c.shareFactor = c.shareFactors()
	c.mix = currentMix(snap)
	return c
}

// indexGroups finds the racks and zones of the sorted workers.
func (c *cycle) indexGroups() {
	workers := c.snap.Workers
	for i := range workers {
		if i == 0 || workers[i].Zone != workers[i-1].Zone {
			c.zones = append(c.zones, span{i, i})
		}
		if i == 0 || workers[i].Zone != workers[i-1].Zone || workers[i].Rack != workers[i-1].Rack {
			c.racks = append(c.racks, span{i, i})
		}
		c.zones[len(c.zones)-1].end = i + 1
		c.racks[len(c.racks)-1].end = i + 1
		c.rackOf[i] = len(c.racks) - 1
	}
	c.rackBusySeconds = make([]float64, len(c.racks))
	c.rackUnusable = make([]float64, len(c.racks))
	for r := range c.rackUnusable {
		c.rackUnusable[r] = math.NaN()
	}
}

// indexAttempts records what each attempt and account holds on each worker.
func (c *cycle) indexAttempts() {
	c.index = make(map[string]int, len(c.snap.Workers))
	for i := range c.snap.Workers {
		c.index[c.snap.Workers[i].ID] = i
	}
	for k := range c.snap.Attempts {
		a := &c.snap.Attempts[k]
		c.inUse[a.Account] += a.accelerators()
		for _, p := range a.Placements {
			i, ok := c.index[p.Worker]
			if !ok {
				continue
			}
			if on := c.onWorker[i]; len(on) == 0 || on[len(on)-1] != k {
				c.onWorker[i] = append(on, k)
			}
			if !a.Checkpoint {
				c.rackBusySeconds[c.rackOf[i]] = max(c.rackBusySeconds[c.rackOf[i]], a.Remaining)
			}
			if a.Stopping {
				c.releasing[i] = c.releasing[i].Add(a.PerTask)
			} else if len(c.snap.Workers[i].Reserved) > 0 {
				c.held[i] = c.held[i].Add(a.Account, a.PerTask)
			}
		}
	}
}

// tasksOn returns how many tasks of an attempt run on worker i.
func (c *cycle) tasksOn(a *Attempt, i int) int {
	n := 0
	for _, p := range a.Placements {
		if p.Worker == c.snap.Workers[i].ID {
			n++
		}
	}
	return n
}

// quarantine marks the workers on which at least QuarantineFailures different
// jobs have failed since one last succeeded. Workers with the most failed jobs
// come first, up to MaxQuarantineShare of the accelerators of the fleet.
func (c *cycle) quarantine() {
	total := 0
	var failing []int
	for i := range c.snap.Workers {
		total += c.snap.Workers[i].Capacity.Accelerators
		if c.snap.Workers[i].FailedJobs >= c.policy.QuarantineFailures {
			failing = append(failing, i)
		}
	}
	slices.SortStableFunc(failing, func(x, y int) int {
		return cmp.Compare(c.snap.Workers[y].FailedJobs, c.snap.Workers[x].FailedJobs)
	})
	allowed := int(c.policy.MaxQuarantineShare * float64(total))
	for _, i := range failing {
		allowed -= c.snap.Workers[i].Capacity.Accelerators
		if allowed < 0 {
			return
		}
		c.snap.Workers[i].quarantined = true
	}
}

// spans returns the groups of workers that are adjacent as within requires. A gang
// must be placed within one of them.
func (c *cycle) spans(within api.Adjacency) []span {
	switch within {
	case api.WithinRack:
		return c.racks
	case api.WithinZone:
		return c.zones
	}
	single := make([]span, len(c.snap.Workers))
	for i := range single {
		single[i] = span{i, i + 1}
	}
	return single
}
