package placement

import (
	"reflect"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// An explanation must say what the plan does, and count what each condition leaves.
func TestExplanationIsOfThePlan(t *testing.T) {
	site := func() ([]*Worker, []*Unit) {
		workers := racks(2)
		workers[0].Schedulable = false
		occupy(workers[1], "other", 0, need(8), 1, 1, false)
		occupy(workers[2], "other", 1, need(4), 1, 1, false)
		first := unit("first", 1, workload.Step{Need: need(2)}, 0)
		// The urgent gang fits only if others are stopped.
		return workers, []*Unit{unit("bulk", 3, workload.Step{Need: need(8)}, 2), first, unit("gang", 7, gang(8), 0), unit("bulk", 1, workload.Step{Need: need(8)}, 2)}
	}
	workers, units := site()
	plan := Decide(workers, units, 0)
	for _, job := range []string{"first", "gang", "bulk"} {
		workers, units := site()
		explained := Explain(workers, units, 0, job)
		var start, reserve []Assignment
		for _, x := range explained {
			start, reserve = append(start, x.Start...), append(reserve, x.Reserve...)
		}
		var wantStart, wantReserve []Assignment
		for _, a := range plan.Start {
			if a.Task.Job == job {
				wantStart = append(wantStart, a)
			}
		}
		for _, a := range plan.Reserve {
			if a.Task.Job == job {
				wantReserve = append(wantReserve, a)
			}
		}
		if !reflect.DeepEqual(start, wantStart) || !reflect.DeepEqual(reserve, wantReserve) {
			t.Errorf("%s: starts %v and reserves %v, the plan %v and %v", job, start, reserve, wantStart, wantReserve)
		}
	}
	workers, units = site()
	x := Explain(workers, units, 0, "first")[0]
	left := map[string]int{}
	for _, f := range x.Filters {
		left[f.Name] = f.Left
	}
	if left["workers of the service"] != 8 || left["take new tasks"] != 7 || left["have room now"] != 6 || x.Ahead != 0 {
		t.Errorf("filters %v, %d ahead", x.Filters, x.Ahead)
	}
	if len(x.Options) != maxOptions || x.Options[0].Worker != x.Start[0].Worker {
		t.Errorf("options %v, start %v", x.Options, x.Start)
	}
}
