package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/deploy"
	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/memsite"
	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	secondsPerDay = 86400
	// changesPerDay is the rate of configuration changes at the target size.
	changesPerDay = 4300
	// warmUp lets the nodes discover one another after the start.
	warmUp = 5 * time.Second
	// idleWindow is how long traffic without changes is measured.
	idleWindow = 5 * time.Second
	// pacedChanges is the number of changes made pacedInterval apart. They come more
	// often than at the rate of changesPerDay, to keep a run short; the measured
	// traffic is scaled down to that rate.
	pacedChanges  = 10
	pacedInterval = 500 * time.Millisecond
	// burstOperators is the number of operators that make burstChanges each,
	// concurrently.
	burstOperators = 10
	burstChanges   = 5
	// settleTimeout bounds the wait until every node has applied the last change.
	settleTimeout = 15 * time.Second
	linkDelay     = 4 * time.Millisecond
)

// configScenario measures how long preset changes take to be in force on every node,
// and the traffic they cause.
func configScenario(ctx context.Context, o Options) (map[string]float64, error) {
	figures := map[string]float64{}
	var all []float64
	for _, nodes := range []int{7, 50} {
		run, err := runConfig(ctx, nodes, o.Seed)
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", nodes, err)
		}
		run.addFigures(figures, fmt.Sprintf("_%d_nodes", nodes))
		all = append(all, run.inForce...)
		figures["reverts"] += run.reverts
		figures["diverged"] += run.diverged
		figures["appends_per_s"] = max(figures["appends_per_s"], run.appendsPerS)
		figures["bytes_per_node_per_s"] = max(figures["bytes_per_node_per_s"], run.bytesPerNode)
	}
	figures["in_force_p99_s"], figures["in_force_max_s"] = quantile(all, 0.99), slices.Max(all)
	return figures, nil
}

// configRun holds the measurements at one number of nodes.
type configRun struct {
	inForce           []float64
	reverts, diverged float64
	appendsPerS       float64
	idleBytes         float64
	bytesPerNode      float64
}

func (r *configRun) addFigures(figures map[string]float64, suffix string) {
	figures["in_force_p99_s"+suffix] = quantile(r.inForce, 0.99)
	figures["in_force_max_s"+suffix] = slices.Max(r.inForce)
	figures["appends_per_s"+suffix] = r.appendsPerS
	figures["idle_bytes_per_node_per_s"+suffix] = r.idleBytes
	figures["bytes_per_node_per_s"+suffix] = r.bytesPerNode
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// versionWatch records when each version of the preset came into force on a node.
type versionWatch struct {
	mu      sync.Mutex
	seen    map[uint64]time.Time
	names   map[uint64]string
	last    uint64
	reverts int
}

func (w *versionWatch) run(ctx context.Context, j *journal.Journal) {
	for ctx.Err() == nil {
		changed := j.Changed()
		now := time.Now()
		j.View(func(st *state.State) { w.record(st.Preset, st.PresetVersion, now) })
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (w *versionWatch) record(name string, version uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.last {
		w.reverts++
	}
	// Versions skipped between two reads came into force with the later one.
	for v := w.last + 1; v <= version; v++ {
		w.seen[v] = now
	}
	w.names[version] = name
	w.last = max(w.last, version)
}

func (w *versionWatch) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// change is one accepted preset switch.
type change struct {
	version uint64
	preset  string
	called  time.Time
}

type configBench struct {
	site    *memsite.Site
	watches []*versionWatch
	mu      sync.Mutex
	changes []change
}

func runConfig(ctx context.Context, nodes int, seed uint64) (*configRun, error) {
	c, err := config.Decode(deploy.StaveDesk)
	if err != nil {
		return nil, err
	}
	site, err := memsite.New(ctx, memsite.Options{
		Entries: nodes, Config: c, Seed: seed, Delay: linkDelay, HTTP: true,
		Shape: standin.CurrentFleetShape("stave-desk", []string{"howrah", "salt-lake", "barasat"}),
	})
	if err != nil {
		return nil, err
	}
	b := &configBench{site: site}
	run, err := b.run(ctx)
	return run, errors.Join(err, site.Close(ctx))
}

func (b *configBench) run(ctx context.Context) (*configRun, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, e := range b.site.Entries {
		w := &versionWatch{seen: map[uint64]time.Time{}, names: map[uint64]string{}}
		b.watches = append(b.watches, w)
		wg.Go(func() { w.run(watchCtx, e.Node.Journal) })
	}
	time.Sleep(warmUp)
	r := &configRun{}
	r.idleBytes = b.measureBytes(func() { time.Sleep(idleWindow) })
	var err error
	pacedBytes := b.measureBytes(func() { err = b.paced(ctx) })
	if err != nil {
		return nil, err
	}
	pacedSeconds := (pacedChanges * pacedInterval).Seconds()
	perChange := max(0, (pacedBytes-r.idleBytes)*pacedSeconds/pacedChanges)
	r.bytesPerNode = r.idleBytes + perChange*changesPerDay/secondsPerDay
	appends, began := b.site.Log.Appends(), time.Now()
	if err := b.burst(ctx); err != nil {
		return nil, err
	}
	r.appendsPerS = float64(b.site.Log.Appends()-appends) / time.Since(began).Seconds()
	return r, b.evaluate(r)
}

// measureBytes returns the bytes that a node sent and received per second while fn ran.
func (b *configBench) measureBytes(fn func()) float64 {
	total := func() (n int64) {
		for _, e := range b.site.Entries {
			sent, received := e.Host.Traffic()
			n += sent + received
		}
		return n
	}
	before, began := total(), time.Now()
	fn()
	return float64(total()-before) / time.Since(began).Seconds() / float64(len(b.site.Entries))
}

// paced makes pacedChanges changes, each through the next node.
func (b *configBench) paced(ctx context.Context) error {
	for i := range pacedChanges {
		began := time.Now()
		if err := b.switchPreset(ctx, i%len(b.site.Entries), i); err != nil {
			return err
		}
		time.Sleep(pacedInterval - time.Since(began))
	}
	return nil
}

// burst makes changes by burstOperators concurrent operators.
func (b *configBench) burst(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make([]error, burstOperators)
	for op := range burstOperators {
		wg.Go(func() {
			for i := range burstChanges {
				errs[op] = errors.Join(errs[op], b.switchPreset(ctx, op%len(b.site.Entries), op+i))
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// switchPreset switches the preset through a node, and repeats the call on a version
// conflict with another change.
func (b *configBench) switchPreset(ctx context.Context, node, i int) error {
	name := []string{"ordinary", "peak"}[i%2]
	client := b.site.Client(node)
	for {
		called := time.Now()
		out, err := client.SwitchPreset(ctx, frontdoor.PresetCall{Preset: name})
		var refused *api.Error
		if errors.As(err, &refused) && refused.Code == api.CodeConflict {
			continue
		}
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.changes = append(b.changes, change{out.Version, name, called})
		b.mu.Unlock()
		return nil
	}
}

// evaluate waits until every node has applied the last change. It then adds the times
// until changes were in force, and counts nodes that returned to an older version or
// have another preset for a version.
func (b *configBench) evaluate(r *configRun) error {
	last := uint64(0)
	for _, c := range b.changes {
		last = max(last, c.version)
	}
	deadline := time.Now().Add(settleTimeout)
	for _, w := range b.watches {
		for w.version() < last {
			if time.Now().After(deadline) {
				return fmt.Errorf("a node is at preset version %d, want %d, after %s", w.version(), last, settleTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for _, w := range b.watches {
		w.mu.Lock()
		r.reverts += float64(w.reverts)
		for _, c := range b.changes {
			r.inForce = append(r.inForce, w.seen[c.version].Sub(c.called).Seconds())
			if name, seen := w.names[c.version]; seen && name != c.preset {
				r.diverged++
			}
		}
		w.mu.Unlock()
	}
	return nil
}
