package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// A changed capacity must be reported at once: starts depend on it.
func TestChangedCapacityIsReported(t *testing.T) {
	reports := 0
	workers := NewWorkers(func(r backend.KeyedRecord) (w Worker, err error) { return w, json.Unmarshal(r.Value, &w) },
		func() time.Duration { return 0 }, func() { reports++ })
	for _, c := range []struct{ accelerators, want int }{{8, 1}, {8, 1}, {4, 2}, {4, 2}, {8, 3}} {
		value, err := json.Marshal(Worker{ID: "w", Capacity: workload.Resources{Accelerators: c.accelerators}})
		if err != nil {
			t.Fatal(err)
		}
		workers.Apply([]backend.KeyedRecord{{Key: "w", Value: value}})
		if reports != c.want {
			t.Errorf("%d changes reported at a capacity of %d, want %d", reports, c.accelerators, c.want)
		}
	}
}
