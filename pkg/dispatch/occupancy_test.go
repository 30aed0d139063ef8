package dispatch

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// What accepted jobs are charged covers what a leader holds of them: the entries of its ledger,
// and its jobs, units and tasks.
func TestChargeCoversWhatTheLeaderHolds(t *testing.T) {
	for _, c := range []struct {
		name                      string
		jobs, steps, tasks, times int
	}{
		{"SmallJobs", 4000, 1, 1, 0},
		{"ManyTasks", 20, 1, 20_000, 0},
		{"ManySteps", 100, 256, 1, 0},
		{"ManyOccurrences", 20, 1, 1, 10_000},
		{"ManyOfAll", 20, 10, 10, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine, replica := &Engine{jobs: map[string]*job{}}, ledger.NewReplica(ledger.Listener{OnJobChange: func(string, ledger.JobEntry) {}, OnListing: func() {}}, ledger.Holding{Limit: 1 << 40, Accounts: func() int { return 1 }})
			before := heapBytes()
			for i := range c.jobs {
				spec := &workload.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Payload: "x", Occurrences: c.times, Steps: make([]workload.Step, c.steps)}
				for s := range spec.Steps {
					spec.Steps[s].Count = c.tasks
				}
				r := ledger.JobRecord(spec)
				id, decoded, err := replica.Prepare(r)
				if err != nil {
					t.Fatal(err)
				}
				engine.jobs[id] = engine.newJob(&ledger.JobEntry{Job: decoded}, false)
				replica.Apply([]backend.KeyedRecord{r})
			}
			held := heapBytes() - before
			charged, _ := replica.OccupiedBytes()
			t.Logf("%d bytes held, %d charged", held, charged)
			if held > charged {
				t.Errorf("%d bytes are held, %d are charged", held, charged)
			}
			if least := int64(c.jobs) * occupancy.EntryBytes; charged < least {
				t.Errorf("%d bytes are charged, want at least %d", charged, least)
			}
			runtime.KeepAlive(engine)
			runtime.KeepAlive(replica)
		})
	}
}
