package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// maxGangTypes bounds the number of gang types of a GangMix.
const maxGangTypes = 8

// gangType is one type of gang and its share of the accelerators in demand.
type gangType struct {
	tasks   int
	perTask api.Resources
	within  api.Adjacency
	weight  float64
}

// GangMix is the weighted set of gang types against which fragmentation is measured.
type GangMix struct{ types []gangType }

// NewGangMix returns the gang types in specs that request the most accelerators,
// each weighted by its share of them.
func NewGangMix(specs []api.JobSpec) GangMix {
	weights := map[gangType]float64{}
	for i := range specs {
		addWeight(weights, specs[i].Tasks, specs[i].PerTask, specs[i].Within)
	}
	return heaviestTypes(weights)
}

func addWeight(weights map[gangType]float64, tasks int, perTask api.Resources, within api.Adjacency) {
	if perTask.Accelerators > 0 {
		weights[gangType{tasks, perTask, within, 0}] += float64(tasks * perTask.Accelerators)
	}
}

// currentMix returns the mix of the waiting and the running gangs.
func currentMix(snap *Snapshot) GangMix {
	weights := map[gangType]float64{}
	for i := range snap.Pending {
		addWeight(weights, snap.Pending[i].Spec.Tasks, snap.Pending[i].Spec.PerTask, snap.Pending[i].Spec.Within)
	}
	for i := range snap.Attempts {
		addWeight(weights, snap.Attempts[i].Tasks, snap.Attempts[i].PerTask, snap.Attempts[i].Within)
	}
	return heaviestTypes(weights)
}

func heaviestTypes(weights map[gangType]float64) GangMix {
	mix := make([]gangType, 0, len(weights))
	for g, w := range weights {
		g.weight = w
		mix = append(mix, g)
	}
	slices.SortFunc(mix, compareGangTypes)
	mix = mix[:min(len(mix), maxGangTypes)]
	total := 0.0
	for _, g := range mix {
		total += g.weight
	}
	for i := range mix {
		mix[i].weight /= total
	}
	return GangMix{mix}
}

func compareGangTypes(a, b gangType) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.within, b.within),
		cmp.Compare(a.perTask.Accelerators, b.perTask.Accelerators), cmp.Compare(a.perTask.Cores, b.perTask.Cores),
		cmp.Compare(a.perTask.MemoryGB, b.perTask.MemoryGB),
	)
}

// unusable returns how many free accelerators of the workers gangs of this type
// cannot use.
func (g *gangType) unusable(workers []Worker) int {
	free, slots, gangs := 0, 0, 0
	for i := range workers {
		w := &workers[i]
		if w.Free.Accelerators <= 0 || w.quarantined {
			continue
		}
		free += w.Free.Accelerators
		n := state.TaskSlots(w.Free, g.perTask)
		slots += n
		gangs += n / g.tasks
	}
	switch g.within {
	case api.WithinWorker:
		slots = gangs * g.tasks
	case api.WithinRack:
		slots -= slots % g.tasks
	}
	return free - slots*g.perTask.Accelerators
}

// expectedUnusable returns the expected number of free accelerators of one rack
// that the next gang cannot use, given the mix. It is the fragmentation measure
// of Weng et al. (USENIX ATC 2023), computed over racks instead of single
// workers so that it covers gangs.
func (m *GangMix) expectedUnusable(workers []Worker) float64 {
	sum := 0.0
	for i := range m.types {
		sum += m.types[i].weight * float64(m.types[i].unusable(workers))
	}
	return sum
}

// Fragmentation returns the expected number of free accelerators that the next
// gang cannot use, over all racks of a snapshot.
func (m *GangMix) Fragmentation(snap *Snapshot) float64 {
	c := &cycle{snap: snap, rackOf: make([]int, len(snap.Workers))}
	c.indexGroups()
	sum := 0.0
	for _, r := range c.racks {
		sum += m.expectedUnusable(snap.Workers[r.start:r.end])
	}
	return sum
}

// fragmentGradient returns by how much the expected unusable accelerators of a
// rack increase if j is placed on the chosen workers.
func (c *cycle) fragmentGradient(rack int, j *Pending, chosen []int) float64 {
	workers := c.snap.Workers[c.racks[rack].start:c.racks[rack].end]
	if math.IsNaN(c.rackUnusable[rack]) {
		c.rackUnusable[rack] = c.mix.expectedUnusable(workers)
	}
	for _, i := range chosen {
		c.snap.Workers[i].Free = c.snap.Workers[i].Free.Sub(j.Spec.PerTask)
	}
	after := c.mix.expectedUnusable(workers)
	for _, i := range chosen {
		c.snap.Workers[i].Free = c.snap.Workers[i].Free.Add(j.Spec.PerTask)
	}
	return after - c.rackUnusable[rack]
}
