package cells

import (
	"cmp"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// Worker is a worker to which cells can be bound.
type Worker struct {
	ID       string
	Zone     string
	Rack     string
	Capacity api.Resources
	// NonPreemptible is what attempts that must not be preempted hold on the worker.
	NonPreemptible ByAccount

	reserved ByAccount
}

// Shape is one guaranteed shape of an account: PerWorker resources on each of
// Workers workers, all of them in one group of adjacency Within.
type Shape struct {
	Account   string        `json:"account"`
	Workers   int           `json:"workers"`
	PerWorker api.Resources `json:"per_worker"`
	Within    api.Adjacency `json:"within"`
}

// Cell is a shape bound to concrete workers.
type Cell struct {
	Shape     Shape    `json:"shape"`
	WorkerIDs []string `json:"bound"`
}

// Binding is the result of binding the guaranteed shapes of a preset.
type Binding struct {
	Cells []Cell `json:"cells,omitempty"`
	// Unfit are the shapes for which no cell was found.
	Unfit []Shape `json:"unfit,omitempty"`
}

// Shapes returns the shapes of all guarantees, Count for each, with those that
// are hardest to place first.
func Shapes(guarantees []config.Guarantee) []Shape {
	var shapes []Shape
	for _, g := range guarantees {
		for range g.Count {
			shapes = append(shapes, Shape{g.Account, g.Workers, g.PerWorker, g.Within})
		}
	}
	slices.SortStableFunc(shapes, func(a, b Shape) int {
		return cmp.Or(
			cmp.Compare(b.PerWorker.Accelerators, a.PerWorker.Accelerators),
			cmp.Compare(b.Workers, a.Workers),
			cmp.Compare(adjacencyWidth(a.Within), adjacencyWidth(b.Within)),
		)
	})
	return shapes
}

func adjacencyWidth(a api.Adjacency) int {
	switch a {
	case api.WithinWorker:
		return 0
	case api.WithinRack:
		return 1
	default:
		return 2
	}
}

// Bind binds shapes to workers, which must be sorted by zone, rack and ID. The
// cells of previous stay on their workers if these can still hold them. If a
// shape does not fit next to them, Bind binds all shapes anew and returns that
// result if it leaves fewer shapes unfit and none that fitted before.
func Bind(workers []Worker, shapes []Shape, previous []Cell) Binding {
	kept := bind(workers, shapes, previous)
	if len(kept.Unfit) == 0 || len(previous) == 0 {
		return kept
	}
	moved := bind(workers, shapes, nil)
	if len(moved.Unfit) < len(kept.Unfit) && noNewUnfit(moved.Unfit, kept.Unfit) {
		return moved
	}
	return kept
}

// noNewUnfit reports whether every shape of now is in before at least as often.
func noNewUnfit(now, before []Shape) bool { return FirstNewUnfit(now, before) == nil }

// FirstNewUnfit returns the first shape that occurs more often in now than in
// before, or nil if there is none.
func FirstNewUnfit(now, before []Shape) *Shape {
	count := map[Shape]int{}
	for _, s := range before {
		count[s]++
	}
	for i, s := range now {
		if count[s]--; count[s] < 0 {
			return &now[i]
		}
	}
	return nil
}

type binder struct {
	workers []Worker
	index   map[string]int
	// candidates is scratch space of choose.
	candidates []candidate
}

// candidate is a worker that can hold one worker's part of a shape.
type candidate struct {
	worker int
	// cost is how many unreserved accelerators the part takes.
	cost int
	// left is how many unreserved accelerators remain on the worker.
	left int
}

func bind(workers []Worker, shapes []Shape, previous []Cell) Binding {
	b := &binder{workers: slices.Clone(workers), index: make(map[string]int, len(workers))}
	for i := range b.workers {
		b.workers[i].reserved = nil
		b.index[b.workers[i].ID] = i
	}
	wanted := map[Shape]int{}
	for _, s := range shapes {
		wanted[s]++
	}
	var out Binding
	for _, c := range previous {
		if wanted[c.Shape] > 0 && b.keep(c) {
			wanted[c.Shape]--
			out.Cells = append(out.Cells, c)
		}
	}
	for _, s := range shapes {
		if wanted[s] == 0 {
			continue
		}
		wanted[s]--
		if bound := b.place(s); bound != nil {
			out.Cells = append(out.Cells, Cell{s, bound})
		} else {
			out.Unfit = append(out.Unfit, s)
		}
	}
	return out
}

// accepts reports whether worker i can hold one worker's part of s, and returns
// the candidate if so.
func (b *binder) accepts(i int, s Shape) (candidate, bool) {
	w := &b.workers[i]
	before := Unreserved(w.Capacity, w.reserved, w.NonPreemptible)
	after := Unreserved(w.Capacity, w.reserved.Add(s.Account, s.PerWorker), w.NonPreemptible)
	if !(api.Resources{}).Fits(after) {
		return candidate{}, false
	}
	return candidate{i, before.Accelerators - after.Accelerators, after.Accelerators}, true
}

// keep binds a cell of the previous binding to the same workers. It reports false
// if they can no longer hold it.
func (b *binder) keep(c Cell) bool {
	if len(c.WorkerIDs) != c.Shape.Workers {
		return false
	}
	chosen := make([]int, 0, len(c.WorkerIDs))
	for _, id := range c.WorkerIDs {
		i, ok := b.index[id]
		if !ok {
			return false
		}
		if _, ok := b.accepts(i, c.Shape); !ok || !sameGroup(&b.workers[i], &b.workers[b.index[c.WorkerIDs[0]]], c.Shape.Within) {
			return false
		}
		chosen = append(chosen, i)
	}
	b.reserve(chosen, c.Shape)
	return true
}

func (b *binder) reserve(chosen []int, s Shape) {
	for _, i := range chosen {
		b.workers[i].reserved = b.workers[i].reserved.Add(s.Account, s.PerWorker)
	}
}

// place binds s to the group in which it takes the fewest unreserved
// accelerators and leaves the fewest, as a buddy allocator takes the smallest
// block that fits. It returns the worker IDs, or nil if s does not fit.
func (b *binder) place(s Shape) []string {
	var best []int
	bestCost := [2]int{}
	for start := 0; start < len(b.workers); {
		end := start + 1
		for end < len(b.workers) && sameGroup(&b.workers[start], &b.workers[end], s.Within) {
			end++
		}
		chosen, cost := b.choose(start, end, s)
		if chosen != nil && (best == nil || slices.Compare(cost[:], bestCost[:]) < 0) {
			best, bestCost = chosen, cost
		}
		start = end
	}
	if best == nil {
		return nil
	}
	b.reserve(best, s)
	ids := make([]string, len(best))
	for i, w := range best {
		ids[i] = b.workers[w].ID
	}
	return ids
}

// choose returns the workers for s within one group, or nil if it does not fit.
// The cost is the number of unreserved accelerators that s takes, and then the
// number of those left on the workers that can hold a part of s.
func (b *binder) choose(start, end int, s Shape) ([]int, [2]int) {
	b.candidates = b.candidates[:0]
	unreserved := 0
	for i := start; i < end; i++ {
		if c, ok := b.accepts(i, s); ok {
			b.candidates = append(b.candidates, c)
			unreserved += c.left + c.cost
		}
	}
	if len(b.candidates) < s.Workers {
		return nil, [2]int{}
	}
	slices.SortStableFunc(b.candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.left, y.left))
	})
	chosen := make([]int, s.Workers)
	taken := 0
	for k := range chosen {
		chosen[k] = b.candidates[k].worker
		taken += b.candidates[k].cost
	}
	return chosen, [2]int{taken, unreserved - taken}
}

func sameGroup(a, b *Worker, within api.Adjacency) bool {
	return within.Together(a.location(), b.location())
}

func (w *Worker) location() api.Location {
	return api.Location{Worker: w.ID, Rack: w.Rack, Zone: w.Zone}
}
