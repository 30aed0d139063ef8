package proof

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// seedsVariable sets the number of seeds of the long run.
	seedsVariable = "SHALLOTPIN_PROOF_SEEDS"
	// firstVariable sets the first seed of the long run.
	firstVariable = "SHALLOTPIN_PROOF_FIRST"
	// shortSeeds is the number of seeds of the short run.
	shortSeeds = 4
)

// play runs callers, submitters, operators and readers against the nodes, under
// the seeded faults, and returns what was seen.
func play(t *testing.T, opts options) (*history, *run) {
	t.Helper()
	r := start(t, opts)
	ctx, stop := context.WithTimeout(t.Context(), opts.load)
	defer stop()
	for i := range 6 {
		r.wg.Go(func() { r.caller(ctx, i) })
	}
	for i := range 3 {
		r.wg.Go(func() { r.submitter(ctx, i) })
	}
	for i := range 2 {
		r.wg.Go(func() { r.operator(ctx, i) })
	}
	for i := range entries {
		r.wg.Go(func() { r.reader(ctx, i) })
	}
	if opts.faults {
		r.wg.Go(func() { r.disturb(ctx) })
	}
	if opts.also != nil {
		r.wg.Go(func() { opts.also(r, ctx) })
	}
	<-ctx.Done()
	return r.finish(t, stop), r
}

// playSeed runs one seed under virtual time and reports every violation.
func playSeed(t *testing.T, opts options) (r *run) {
	synctest.Test(t, func(t *testing.T) {
		var h *history
		h, r = play(t, opts)
		for _, v := range h.violations() {
			t.Errorf("seed %d: %s", opts.seed, v)
		}
		t.Logf("seed %d: %d steps, %d requests, %d executions, %d jobs, %d changes and reads",
			opts.seed, r.steps, len(h.calls), len(h.executions), len(h.final), len(h.ops))
	})
	return r
}

// TestPromisesWithoutFaults checks the histories of an undisturbed run.
func TestPromisesWithoutFaults(t *testing.T) {
	playSeed(t, options{seed: 1, load: 30 * time.Second})
}

// TestPromises checks the histories of a few seeds.
func TestPromises(t *testing.T) { playShort(t, false) }

// TestKeyedPromises checks the same with callers that retry with a key.
func TestKeyedPromises(t *testing.T) { playShort(t, true) }

func playShort(t *testing.T, keyed bool) {
	for seed := range uint64(shortSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			playSeed(t, options{seed: seed, load: time.Minute, faults: true, keyed: keyed})
		})
	}
}

// TestLong checks as many seeds as the environment asks for.
func TestLong(t *testing.T) { playLong(t, false) }

// TestLongKeyed checks as many seeds with callers that retry with a key.
func TestLongKeyed(t *testing.T) { playLong(t, true) }

func playLong(t *testing.T, keyed bool) {
	seeds, _ := strconv.Atoi(os.Getenv(seedsVariable))
	first, _ := strconv.Atoi(os.Getenv(firstVariable))
	if seeds == 0 {
		t.Skipf("%s is not set", seedsVariable)
	}
	steps, failed, counts := 0, 0, map[string]int{}
	for seed := first; seed < first+seeds; seed++ {
		passed := t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			r := playSeed(t, options{seed: uint64(seed), load: 2 * time.Minute, faults: true, keyed: keyed})
			steps += r.steps
			for name, n := range r.counts {
				counts[name] += n
			}
		})
		if !passed {
			failed++
		}
	}
	t.Logf("%d seeds, %d with violations, %d steps", seeds, failed, steps)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[name], name)
	}
}
