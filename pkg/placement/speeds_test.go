package placement

import (
	"slices"
	"testing"
)

// mixedRacks returns idle workers in racks of four, the last of each of which is fast.
func mixedRacks(count int) []*Worker {
	workers := racks(count)
	for i, w := range workers {
		if i%4 == 3 {
			w.Class, w.Speed = 1, 2.2
		}
	}
	return workers
}

// classesOf returns how many of the plan's starts are on workers of each class.
func classesOf(workers []*Worker, plan Plan) [2]int {
	var classes [2]int
	for _, a := range plan.Start {
		i := slices.IndexFunc(workers, func(w *Worker) bool { return w.ID == a.Worker })
		classes[workers[i].Class]++
	}
	return classes
}

// Load: a quarter of the workers is fast. A gang works at the speed of its slowest member, so one of
// both classes holds fast workers for nothing. Work that can wait leaves the fast ones to urgent work.
func TestGangsTakeWorkersOfOneSpeedClass(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, accelerators, priority int
		needsFast                     bool
		occupied                      []int
		want                          [2]int
	}{
		"urgent, fits on the fast one":                {2, 4, 0, false, nil, [2]int{0, 2}},
		"urgent, fits on like slow ones only":         {3, 8, 0, false, nil, [2]int{3, 0}},
		"urgent, the fast ones are taken":             {2, 4, 0, false, []int{3, 7}, [2]int{2, 0}},
		"less urgent":                                 {2, 4, 1, false, nil, [2]int{2, 0}},
		"less urgent and late on slow ones":           {2, 4, 1, true, nil, [2]int{0, 2}},
		"less urgent, the slow ones are taken":        {2, 4, 1, false, []int{0, 1, 2, 4, 5, 6}, [2]int{0, 2}},
		"fits on both classes together only":          {4, 8, 1, false, nil, [2]int{3, 1}},
		"like ones in the second rack":                {2, 8, 1, false, []int{1, 2}, [2]int{2, 0}},
		"both classes only, with few fast ones":       {6, 4, 0, false, []int{0, 4}, [2]int{4, 2}},
		"urgent, one task, room on both":              {1, 1, 0, false, nil, [2]int{0, 1}},
		"less urgent, one task, room on both":         {1, 1, 1, false, nil, [2]int{1, 0}},
		"less urgent, one task, room on the fast one": {1, 8, 1, false, []int{0, 1, 2, 4, 5, 6, 7}, [2]int{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			workers := mixedRacks(2)
			for _, i := range c.occupied {
				occupy(workers[i], "other", i, need(8), 0, 0, false)
			}
			u := unit("j", c.tasks, gang(c.accelerators), c.priority)
			u.Step.Gang, u.NeedsFast = c.tasks > 1, c.needsFast
			if got := classesOf(workers, Decide(workers, []*Unit{u}, 0)); got != c.want {
				t.Errorf("%d starts on slow and %d on fast workers, want %v", got[0], got[1], c.want)
			}
		})
	}
}
