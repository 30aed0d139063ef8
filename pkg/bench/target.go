package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// Parameters of the target scenario.
const (
	targetWorkers  = 1500
	targetAccounts = 190
	// tasksPerWorker is the number of tasks on each worker.
	tasksPerWorker = 5
	smallWorkers   = 150
	largeWorkers   = 6000
	targetRackSize = 16
	// targetDecisions is how many single decisions are timed.
	targetDecisions = 300
	// targetBatch is how many jobs wait when one decision on all of them is timed.
	targetBatch = 200
)

// target measures how long decisions take at the target size, and how that grows
// with the number of workers.
func target(_ context.Context, o Options) (map[string]float64, error) {
	workers := targetWorkers
	if o.Workers > 0 {
		workers = o.Workers
	}
	figures := map[string]float64{}
	if err := measureDecisions(o.Seed, workers, figures); err != nil {
		return nil, err
	}
	times := map[int]float64{}
	for _, n := range []int{smallWorkers, targetWorkers, largeWorkers} {
		at := map[string]float64{}
		if err := measureDecisions(o.Seed, n, at); err != nil {
			return nil, err
		}
		times[n] = at["decision_p50_ms"]
		figures[fmt.Sprintf("decision_p50_ms_%d", n)] = at["decision_p50_ms"]
		figures[fmt.Sprintf("decision_p99_ms_%d", n)] = at["decision_p99_ms"]
	}
	// An exponent of 1 is linear growth.
	figures["slope_exponent"] = math.Log(times[largeWorkers]/times[smallWorkers]) / math.Log(largeWorkers/smallWorkers)
	figures["slope_exponent_150_1500"] = math.Log(times[targetWorkers]/times[smallWorkers]) / math.Log(targetWorkers/smallWorkers)
	figures["slope_exponent_1500_6000"] = math.Log(times[largeWorkers]/times[targetWorkers]) / math.Log(largeWorkers/targetWorkers)
	return figures, nil
}

func measureDecisions(seed uint64, workers int, figures map[string]float64) error {
	w := newWorld(seed, decideScheduler)
	w.setUp(targetConfig(workers), targetFleet(workers))
	rng := rand.New(rand.NewPCG(seed, 5))
	running := w.fillTarget(rng, workers*tasksPerWorker)
	figures["running_tasks"] = float64(running)
	figures["unfit_shapes"] = float64(len(w.state.Cells.Unfit))
	data, err := json.Marshal(w.state)
	if err != nil {
		return err
	}
	figures["state_bytes"] = float64(len(data))
	w.timeSingleDecisions(rng, figures)
	w.timeBatchDecision(rng, figures)
	w.timeRebind(figures)
	return nil
}

// targetFleet returns a fleet in 4 zones of 2 regions. 1,500 workers have 2,100
// accelerators.
func targetFleet(workers int) []backend.VM {
	vms := make([]backend.VM, workers)
	for i := range vms {
		zone := i % 4
		n := 1
		switch i % 20 {
		case 0, 7, 14:
			n = 4
		case 19:
			n = 0
		}
		vms[i] = backend.VM{
			ID: fmt.Sprintf("w%05d", i), Kind: backend.KindWorker, Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("z%d-r%d", zone, i/4/targetRackSize),
			Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Capacity: api.Resources{Cores: 64, MemoryGB: 256, Accelerators: n},
		}
	}
	return vms
}

func targetConfig(workers int) *config.Config {
	c := &config.Config{InitialPreset: "ordinary", Objective: config.ObjectiveCompletion}
	for z := range 4 {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprintf("z%d", z), Region: fmt.Sprintf("r%d", z/2)})
	}
	p := config.Preset{Name: "ordinary"}
	for a := range targetAccounts {
		name := fmt.Sprintf("team%03d", a)
		c.Accounts = append(c.Accounts, config.Account{Name: name, Weight: 1 + a%4})
		if a < workers/8 {
			p.Guarantees = append(p.Guarantees, config.Guarantee{
				Account: name, Count: 1, Workers: 1 + a%4, Within: api.WithinRack,
				PerWorker: api.Resources{Cores: 16, MemoryGB: 64, Accelerators: 1},
			})
		}
	}
	c.Presets = []config.Preset{p}
	return c
}

// drawTargetJob returns a random gang of 1 to 64 tasks.
func drawTargetJob(rng *rand.Rand, id string) *simJob {
	tasks := 1
	if rng.Float64() < 0.4 {
		tasks = 1 << rng.IntN(7)
	}
	n := 0
	if rng.Float64() < 0.2 {
		n = 1
	}
	spec := api.JobSpec{
		Account: fmt.Sprintf("team%03d", rng.IntN(targetAccounts)), Class: "batch", Tasks: tasks, Within: api.WithinZone, MaxAttempts: 3,
		PerTask: api.Resources{Cores: 4 + rng.IntN(5), MemoryGB: 8 + rng.IntN(16), Accelerators: n}, Checkpoint: rng.Float64() < 0.5,
		ExpectedSeconds: 3600 * (0.5 + 4*rng.Float64()), Urgent: tasks <= 2 && n == 1 && rng.Float64() < 0.1,
	}
	return &simJob{id: id, spec: spec, runSeconds: spec.ExpectedSeconds}
}

// fillTarget submits gangs until at least the given number of tasks run, or no more can
// be placed, and returns the number of running tasks.
func (w *world) fillTarget(rng *rand.Rand, tasks int) int {
	running := 0
	for n, idle := 0, 0; running < tasks && idle < 20; idle++ {
		for range 50 {
			n++
			w.submit(drawTargetJob(rng, fmt.Sprintf("j%06d", n)))
		}
		before := running
		w.decideNow()
		running = 0
		for _, j := range w.state.Jobs {
			running += len(j.Placements)
		}
		if running > before {
			idle = 0
		}
	}
	for id, j := range w.state.Jobs {
		if j.Phase == api.PhasePending {
			w.apply(state.Record{Cancel: &state.CancelJob{Job: id}})
		}
	}
	return running
}

// timeSingleDecisions times decisions on one new job each; one attempt ends before
// each.
func (w *world) timeSingleDecisions(rng *rand.Rand, figures map[string]float64) {
	w.decisions = nil
	for n := range targetDecisions {
		w.endOldest()
		w.now += time.Second
		w.submit(drawTargetJob(rng, fmt.Sprintf("s%06d", n)))
		w.decideNow()
	}
	ms := make([]float64, len(w.decisions))
	for i, d := range w.decisions {
		ms[i] = float64(d) / float64(time.Millisecond)
	}
	figures["decision_p50_ms"] = percentile(ms, 0.5)
	figures["decision_p99_ms"] = percentile(ms, 0.99)
}

// endOldest ends the oldest current attempt.
func (w *world) endOldest() {
	var oldest *state.Job
	for _, j := range w.state.Jobs {
		if len(j.Placements) > 0 && (oldest == nil || j.Token < oldest.Token) {
			oldest = j
		}
	}
	if oldest != nil {
		delete(w.running, oldest.Token)
		w.apply(state.Record{End: &state.EndAttempt{Job: oldest.ID, Token: oldest.Token, Outcome: state.OutcomeDone}})
	}
}

// timeBatchDecision times one decision on many waiting jobs, including applying the
// resulting records.
func (w *world) timeBatchDecision(rng *rand.Rand, figures map[string]float64) {
	for range targetBatch {
		w.endOldest()
	}
	for n := range targetBatch {
		w.submit(drawTargetJob(rng, fmt.Sprintf("b%06d", n)))
	}
	before := w.allocations
	began := time.Now()
	w.decideNow()
	took := time.Since(began).Seconds()
	figures["batch_placed"] = float64(w.allocations - before)
	figures["decisions_per_s"] = targetBatch / took
}

// rebindRuns is how many fleet changes are timed by timeRebind.
const rebindRuns = 20

// timeRebind times applying a fleet record, which binds all guarantees to workers
// again.
func (w *world) timeRebind(figures map[string]float64) {
	vms := targetFleet(len(w.state.Workers))
	began := time.Now()
	for range rebindRuns {
		vms[0].Leaving = !vms[0].Leaving
		w.apply(state.Record{Fleet: &state.ChangeFleet{Seen: vms[:1]}})
	}
	figures["rebind_ms"] = float64(time.Since(began)) / float64(time.Millisecond) / rebindRuns
}
