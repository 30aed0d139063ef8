package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shallotpin/shallotpin/pkg/config"
)

// Setting of the zone move scenario.
const (
	zoneLength = 3 * time.Hour
	// zoneOutAt and zoneInAt are when operators take the zone out and back in.
	zoneOutAt, zoneInAt = time.Hour, 2 * time.Hour
	// zoneDark is the time from taking the zone out until its VMs stop.
	zoneDark = 10 * time.Minute
	// zoneLoad keeps more work waiting than the fleet can do.
	zoneLoad = 1.3
	// refilled is the share of the other zones' use at which a zone counts as full.
	refilled = 0.9
)

// zoneRun is the outcome of one run with or without a zone move.
type zoneRun struct {
	w *world
	// progress is the work done at each sample.
	progress []float64
	refill   time.Duration
}

// zoneSample is the time between two samples of the work done.
const zoneSample = 10 * time.Second

// zoneMove takes one zone out and back in under full load and compares the
// work done with the same run without the move, scaled to the capacity left.
func zoneMove(_ context.Context, o Options) (map[string]float64, error) {
	c, err := config.Decode(lima.document)
	if err != nil {
		return nil, err
	}
	figures := map[string]float64{}
	run := runZone(o, c, ours, true)
	figures["work_done_ratio"] = run.ratio(runZone(o, c, ours, false))
	figures["refill_s"] = run.refill.Seconds()
	figures["late_starts"] = float64(run.w.lateStarts)
	figures["guarantee_violations"] = float64(run.w.violations)
	figures["partial_gangs"] = float64(run.w.partial)
	figures["lost_work_share"] = run.w.lostWork / run.w.ranWork
	other := *c
	other.Objective = config.ObjectiveCompletion
	figures["completion_objective_work_done_ratio"] = runZone(o, &other, ours, true).ratio(runZone(o, &other, ours, false))
	none := withoutGuarantees(c)
	base := runZone(o, none, backfill, true)
	figures["baseline_work_done_ratio"] = base.ratio(runZone(o, none, backfill, false))
	figures["baseline_refill_s"] = base.refill.Seconds()
	figures["work_done_over_baseline"] = run.done() / base.done()
	return figures, nil
}

func runZone(o Options, c *config.Config, decide decider, move bool) *zoneRun {
	w := newWorld(o.Seed, decide)
	vms := lima.fleet(o.Workers)
	w.setUp(c, vms)
	arrivals := lima.stream
	arrivals.length, arrivals.load, arrivals.cancelled, arrivals.failing = zoneLength, zoneLoad, 0, 0
	for _, a := range arrivals.arrivals(rand.New(rand.NewPCG(o.Seed, 4)), acceleratorsOf(vms)) {
		w.at(a.at, func() { w.submit(a.job) })
	}
	run := &zoneRun{w: w}
	for at := time.Duration(0); at <= zoneLength; at += zoneSample {
		w.at(at, func() { run.progress = append(run.progress, w.progress()) })
	}
	if move {
		run.schedule(lima.zones[0])
	}
	w.tick()
	for w.step(zoneLength) {
	}
	return run
}

// schedule takes a zone out, stops its VMs, and brings both back.
func (r *zoneRun) schedule(zone string) {
	w := r.w
	inZone := func(id string) bool { return w.s.Workers[id] != nil && w.s.Workers[id].Zone == zone }
	w.at(zoneOutAt, func() { w.setZone(zone, true) })
	w.at(zoneOutAt+zoneDark, func() {
		w.crashOn(inZone)
		for id := range w.s.Workers {
			w.dead[id] = inZone(id)
		}
	})
	w.at(zoneInAt, func() {
		clear(w.dead)
		w.setZone(zone, false)
		r.watchRefill(zone)
	})
}

// watchRefill notes when the zone is as full as the others.
func (r *zoneRun) watchRefill(zone string) {
	used, all := 0, 0
	usedElsewhere, allElsewhere := 0, 0
	for _, worker := range r.w.s.Workers {
		if worker.Zone == zone {
			used += worker.Used.Accelerators
			all += worker.Capacity.Accelerators
		} else {
			usedElsewhere += worker.Used.Accelerators
			allElsewhere += worker.Capacity.Accelerators
		}
	}
	if float64(used)/float64(all) >= refilled*float64(usedElsewhere)/float64(allElsewhere) {
		r.refill = r.w.now - zoneInAt
		return
	}
	r.refill = zoneLength - zoneInAt
	r.w.after(time.Second, func() { r.watchRefill(zone) })
}

// done returns the work done from the moment the zone was taken out.
func (r *zoneRun) done() float64 {
	return r.progress[len(r.progress)-1] - r.progress[int(zoneOutAt/zoneSample)]
}

// ratio compares the work done with that of a run without a move, scaled at
// each moment to the capacity left.
func (r *zoneRun) ratio(still *zoneRun) float64 {
	left := 1 - 1/float64(len(lima.zones))
	expected := 0.0
	for i := int(zoneOutAt / zoneSample); i+1 < len(still.progress); i++ {
		share := 1.0
		if i < int(zoneInAt/zoneSample) {
			share = left
		}
		expected += share * (still.progress[i+1] - still.progress[i])
	}
	return r.done() / expected
}
