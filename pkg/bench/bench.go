// Package bench runs scenarios that measure the scheduler: its decisions in a
// simulation, and complete nodes against fake platform services, in memory or over
// TCP. The command "shallotpin bench" runs them.
package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// Options select a scenario and its parameters.
type Options struct {
	Scenario string
	// Seed is the seed of every random choice.
	Seed uint64
	// Workers overrides the scenario's number of workers, if positive.
	Workers int
}

// Result is the outcome of one run of a scenario.
type Result struct {
	Scenario string             `json:"scenario"`
	Seed     uint64             `json:"seed"`
	Figures  map[string]float64 `json:"figures"`
}

// Text writes the figures as text, one per line, sorted by name.
func (r *Result) Text(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(w, "%-40s %g\n", name, r.Figures[name])
	}
}

// Scenario runs one scenario and returns its figures by name.
type Scenario func(ctx context.Context, o Options) (map[string]float64, error)

// scenarios are the known scenarios by name.
var scenarios = map[string]Scenario{
	"config":       configScenario,
	"restart":      restartScenario,
	"failover":     runFailover,
	"mix-hooghly":  mixHooghly,
	"mix-lima":     mixLima,
	"reclaim":      reclaim,
	"zone-move":    zoneMove,
	"target":       target,
	"requests":     requestsScenario,
	"store-outage": storeOutageScenario,
}

// Run runs the scenario o.Scenario. It returns an api.Error for the field --scenario
// if there is none of that name.
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
