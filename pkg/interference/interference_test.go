package interference

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a site of workers of uneven speed, on which tasks of some kinds run beside others.
type fleet struct {
	rng   *rand.Rand
	kinds []Kind
	// harm is by how much a kind really slows another down.
	harm map[pair]float64
	// speedsKnown means that the samples tell the speeds of the workers.
	speedsKnown bool
	// units are the steps of which tasks run, by kind: tasks of one take about as long as each other.
	units map[Kind]*unit
	// avoided is a kind that runs on slow workers only.
	avoided Kind
	// together are kinds of which the second only runs beside the first.
	together [2]Kind
	now      time.Duration
}

// tailShare and tailFactor are how many tasks take many times as long as the others.
const (
	tailShare  = 0.03
	tailFactor = 7
)

// unit is a step of a job with some tasks left, whose work is a multiple of the usual one.
type unit struct {
	name string
	left int
	work float64
}

// unitOf returns the unit of the next task of a kind.
func (f *fleet) unitOf(kind Kind) *unit {
	u := f.units[kind]
	if u == nil || u.left == 0 {
		u = &unit{fmt.Sprint(kind, f.now), 4 + f.rng.IntN(30), math.Exp(0.5 * f.rng.NormFloat64())}
		if f.rng.Float64() < tailShare {
			u.work *= tailFactor
		}
		f.units[kind] = u
	}
	u.left--
	return u
}

func newFleet(seed uint64, kinds int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), harm: map[pair]float64{}, units: map[Kind]*unit{}, speedsKnown: true}
	for i := range kinds {
		f.kinds = append(f.kinds, Kind(fmt.Sprintf("k%d", i)))
	}
	return f
}

// sample returns a run of a random kind beside up to two others.
func (f *fleet) sample() Sample {
	f.now += 50 * time.Millisecond
	s := Sample{Subject: f.kinds[f.rng.IntN(len(f.kinds))], At: f.now}
	slow := f.rng.IntN(4) == 0
	for range f.rng.IntN(3) {
		other := f.kinds[f.rng.IntN(len(f.kinds))]
		if !slices.Contains(s.Others, other) {
			s.Others = append(s.Others, other)
		}
	}
	if f.together[1] != "" {
		s.Others = slices.DeleteFunc(s.Others, func(k Kind) bool { return k == f.together[1] })
		if slices.Contains(s.Others, f.together[0]) {
			s.Others = append(s.Others, f.together[1])
		}
	}
	if f.avoided != "" {
		slow = slices.Contains(s.Others, f.avoided)
	}
	speed := 1.2
	if slow {
		speed = 0.55
	}
	u := f.unitOf(s.Subject)
	s.Group, s.Slowdown = u.name, u.work*math.Exp(0.2*f.rng.NormFloat64())
	if f.rng.Float64() < tailShare {
		s.Slowdown *= tailFactor
	}
	if f.speedsKnown {
		s.SpeedClass = int(speed / 0.15)
	} else {
		s.Slowdown /= speed
	}
	for _, other := range s.Others {
		s.Slowdown *= 1 + f.harm[pair{s.Subject, other}]
	}
	return s
}

// run observes samples and returns after how many each pair was found; found pairs that are
// cleared again are removed.
func (f *fleet) run(t *Table, samples int) map[pair]int {
	foundAfter := map[pair]int{}
	for i := range samples {
		found, cleared := t.Observe(f.sample())
		for _, e := range found {
			foundAfter[pair{e.Subject, e.Other}] = i + 1
		}
		for _, e := range cleared {
			delete(foundAfter, pair{e.Subject, e.Other})
		}
	}
	return foundAfter
}

// Harmful pairs must be found within samplesPerPair samples for each pair of kinds, and no other
// pair, also on workers of uneven speed, known or not, and with tasks that take many times as long.
func TestHarmfulPairsAreFoundAndNoOthers(t *testing.T) {
	const kinds, samplesPerPair = 4, 150
	for seed := range uint64(40) {
		for _, speedsKnown := range []bool{true, false} {
			f := newFleet(seed, kinds)
			f.speedsKnown = speedsKnown
			f.harm[pair{"k0", "k1"}], f.harm[pair{"k2", "k3"}] = 0.8, 1.5
			found := f.run(NewTable(), kinds*kinds*samplesPerPair)
			for p := range found {
				if f.harm[p] == 0 {
					t.Errorf("seed %d, speeds known %v: innocent pair %v", seed, speedsKnown, p)
				}
			}
			for p := range f.harm {
				if found[p] == 0 && speedsKnown {
					t.Errorf("seed %d: harmful pair %v was not found", seed, p)
				}
			}
		}
	}
}

// A kind that only runs on slow workers, or beside a harmful one, is not harmful itself.
func TestCompanionsOfHarmAreInnocent(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 4)
		f.avoided = "k3"
		for p := range f.run(NewTable(), 2400) {
			t.Errorf("seed %d: %v, where one kind runs on slow workers only", seed, p)
		}
		f = newFleet(seed, 4)
		f.harm[pair{"k0", "k1"}] = 1
		f.together = [2]Kind{"k1", "k2"}
		for p := range f.run(NewTable(), 2400) {
			if p != (pair{"k0", "k1"}) {
				t.Errorf("seed %d: %v, where one kind is only beside a harmful one", seed, p)
			}
		}
	}
}

// Few samples, or samples that differ in more than one kind, show nothing.
func TestNothingIsConcludedFromFewSamples(t *testing.T) {
	table := NewTable()
	for i := range MinObservations - 1 {
		table.Observe(Sample{Subject: "a", Slowdown: 1})
		table.Observe(Sample{Subject: "a", Others: []Kind{"b"}, Slowdown: 5})
		if table.Harm("a", "b") != 0 {
			t.Fatalf("concluded from %d pairs", i+1)
		}
	}
	for range samplesPerEvaluation {
		table.Observe(Sample{Subject: "a", Slowdown: 1})
		table.Observe(Sample{Subject: "a", Others: []Kind{"b"}, Slowdown: 5})
	}
	if math.Abs(table.Harm("a", "b")-4) > 0.01 {
		t.Errorf("harm %v after %d pairs, want 4", table.Harm("a", "b"), MinObservations-1+samplesPerEvaluation)
	}
	for range 100 {
		table.Observe(Sample{Subject: "c", Slowdown: 1})
		table.Observe(Sample{Subject: "c", Others: []Kind{"b", "d"}, Slowdown: 5})
	}
	if table.HarmBeside("c") != nil {
		t.Error("samples that differ in two kinds were compared")
	}
}

// A pair whose harm ends is cleared, and one that begins to be harmful is found, within as many
// samples as are kept of a kind.
func TestPairThatChanges(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 2)
		f.harm[pair{"k0", "k1"}] = 1
		table := NewTable()
		f.run(table, 600)
		if table.Harm("k0", "k1") == 0 {
			t.Fatalf("seed %d: not found", seed)
		}
		f.harm = map[pair]float64{{"k1", "k0"}: 1}
		f.run(table, 4*maxSamples)
		if table.Harm("k0", "k1") != 0 || table.Harm("k1", "k0") == 0 {
			t.Errorf("seed %d: after the change, harm is %v and %v", seed, table.Harm("k0", "k1"), table.Harm("k1", "k0"))
		}
	}
}

// A new leader keeps pairs apart from the start, and drops what its own samples contradict or what
// has not been seen for MaxAge.
func TestNewLeaderInherits(t *testing.T) {
	f := newFleet(1, 4)
	f.harm[pair{"k0", "k1"}] = 1
	before := NewTable()
	f.run(before, 2400)
	learned := before.Learned()
	if len(learned) != 1 || learned[0].Observations < MinObservations {
		t.Fatalf("learned %v", learned)
	}
	after := NewTable()
	after.Inherit(append(learned, Estimate{Subject: "k2", Other: "k3", Harm: 2, At: f.now}, Estimate{Subject: "x", Other: "y", Harm: math.Inf(1)}))
	if want := map[string]float64{"k0": learned[0].Harm}; !maps.Equal(after.HarmBeside("k1"), want) || after.HarmBeside("x") != nil {
		t.Errorf("harm beside k1 %v, want %v", after.HarmBeside("k1"), want)
	}
	f.run(after, 2400)
	if after.Harm("k0", "k1") == 0 || after.Harm("k2", "k3") != 0 {
		t.Errorf("harm %v of the harmful pair, %v of the other", after.Harm("k0", "k1"), after.Harm("k2", "k3"))
	}
	if expired := after.Expire(f.now + 2*MaxAge); len(expired) != 1 || after.HarmBeside("k1") != nil {
		t.Errorf("expired %v", expired)
	}
}

// The memory stays bounded whatever names tasks have.
func TestTableIsBounded(t *testing.T) {
	f := newFleet(1, 3*maxSubjects)
	table := NewTable()
	f.run(table, 50_000)
	if len(table.subjects) > maxSubjects {
		t.Errorf("%d subjects", len(table.subjects))
	}
	for kind, s := range table.subjects {
		if len(s.samples) > maxSamples {
			t.Errorf("%d samples of %s", len(s.samples), kind)
		}
	}
}
