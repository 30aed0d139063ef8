package placement

import (
	"slices"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Tasks that slow each other down go to different workers while there is room, and share those
// that suffer least where there is none: no task waits for it.
func TestTasksThatHarmEachOtherAreKeptApart(t *testing.T) {
	harm := map[string]map[string]float64{"a": {"b": 0.8, "c": 0.3}, "b": {"a": 0.8}, "c": {"a": 0.3}}
	units := func(kinds ...string) []*Unit {
		var units []*Unit
		for _, kind := range kinds {
			u := unit(kind, 1, workload.Step{Need: need(2)}, 1)
			u.Kind, u.Harm = kind, harm[kind]
			units = append(units, u)
		}
		return units
	}
	for name, c := range map[string]struct {
		running [2]string
		full    [2]int
		units   []*Unit
		want    []string
	}{
		"ample room":                          {running: [2]string{"b", ""}, units: units("a"), want: []string{"w01"}},
		"the least harm":                      {running: [2]string{"b", "c"}, units: units("a"), want: []string{"w01"}},
		"only beside the harmful one":         {running: [2]string{"b", ""}, full: [2]int{0, 8}, units: units("a"), want: []string{"w00"}},
		"harmless tasks share":                {running: [2]string{"b", ""}, units: units("c"), want: []string{"w00"}},
		"both start in one plan":              {units: units("a", "b"), want: []string{"w00", "w01"}},
		"gangs take workers without harm":     {running: [2]string{"b", ""}, units: []*Unit{harmedGang(harm["a"])}, want: []string{"w01", "w01"}},
		"gangs start beside harm, if need be": {running: [2]string{"b", "b"}, units: []*Unit{harmedGang(harm["a"])}, want: []string{"w00", "w00"}},
	} {
		t.Run(name, func(t *testing.T) {
			workers := racks(1)[:2]
			for i, w := range workers {
				if c.running[i] != "" {
					occupy(w, "running-"+c.running[i], i, need(2), 1, 1, false)
					w.Running[0].Kind = c.running[i]
				}
				if c.full[i] > 0 {
					occupy(w, "full", i, need(c.full[i]), 1, 1, false)
				}
			}
			var got []string
			for _, a := range Decide(workers, c.units, 0).Start {
				got = append(got, a.Worker)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("starts on %v, want %v", got, c.want)
			}
		})
	}
}

func harmedGang(harm map[string]float64) *Unit {
	u := unit("a", 2, gang(2), 1)
	u.Kind, u.Harm = "a", harm
	return u
}
