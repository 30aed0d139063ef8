// Package bench runs measured scenarios over the real decision code.
package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// Options choose a scenario.
type Options struct {
	Scenario string
	// Seed drives every random choice.
	Seed uint64
	// Workers replaces the scenario's number of workers, if positive.
	Workers int
	// Site is the URL of a TargetSite in another process, for the capacity scenario.
	Site string
	// Profile is the file that gets a processor profile of the measured window of
	// the capacity scenario, if not empty.
	Profile string
}

// Result is the outcome of one run.
type Result struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Figures  map[string]float64 `json:"figures"`
}

// Text writes the figures for a person, one a line.
func (r *Result) Text(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(w, "%-40s %g\n", name, r.Figures[name])
	}
}

// Scenario measures figures.
type Scenario func(ctx context.Context, o Options) (map[string]float64, error)

// scenarios are the known scenarios by name.
var scenarios = map[string]Scenario{
	"config":       configScenario,
	"restart":      restartScenario,
	"capacity":     capacity,
	"failover":     runFailover,
	"mix-hooghly":  mixHooghly,
	"mix-lima":     mixLima,
	"reclaim":      reclaim,
	"zone-move":    zoneMove,
	"target":       target,
	"requests":     requestsScenario,
	"store-outage": storeOutageScenario,
}

// Run runs one scenario.
func Run(ctx context.Context, o Options) (*Result, error) {
	scenario, ok := scenarios[o.Scenario]
	if !ok {
		return nil, api.FieldErrorf("--scenario", "%q is not one of %v", o.Scenario, slices.Sorted(maps.Keys(scenarios)))
	}
	figures, err := scenario(ctx, o)
	if err != nil {
		return nil, err
	}
	return &Result{o.Scenario, o.Seed, figures}, nil
}
