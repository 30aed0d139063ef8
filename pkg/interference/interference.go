// Package interference learns which tasks slow each other down on one worker, from how fast they
// were beside which others. It answers the load in which tasks fit beside each other by their
// declared needs, but share what nobody declares: caches, memory bandwidth, the link. It does no
// I/O, and the caller passes in the time. docs/design/interference.md has what was weighed.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// Kind names tasks that behave alike: those of one image, or of one step of a queue.
type Kind string

// Sample is how fast one run was during a span in which the kinds beside it stayed the same.
type Sample struct {
	Subject Kind
	// Group names runs of the same work, such as those of one step of a job. Samples without a group
	// are independent of all others.
	Group string
	// Others are the kinds that worked beside the run, without repetitions.
	Others []Kind
	// SpeedClass is the class of the worker's speed: only samples of one class are compared.
	SpeedClass int
	// Slowdown is the run's time, or its latency, as a multiple of what is usual for its kind.
	Slowdown float64
	At       time.Duration
}

const (
	// maxSubjects and maxSamples limit the memory: some 30 KB for each subject.
	maxSubjects = 64
	maxSamples  = 512
	// maxOthers limits the kinds that a sample may have beside it: with more, hardly any two
	// samples differ in one kind alone.
	maxOthers = 6
	// maxKinds is how many kinds can be told apart beside one kind: the bits of a set.
	maxKinds = 64
	// MaxAge is how long a sample counts, and what an earlier leader has concluded.
	MaxAge = 10 * time.Minute
	// MinObservations is how many pairs of samples, one with the other kind and one without, a
	// conclusion needs.
	MinObservations = 16
	// samplesPerEvaluation is how many samples of a kind are taken between two evaluations.
	samplesPerEvaluation = 24
	// minHarm is the slowdown from which a pair is kept apart, as a fraction: less does not show
	// beside the usual differences between tasks.
	minHarm = 0.1
	// minScore is the least standard score of a new conclusion. The kinds of a site make some
	// hundred pairs, each of which is evaluated many times, and none should be concluded by chance.
	minScore = 4.5
	// maxLearned limits what Learned returns.
	maxLearned = 32
)

// Estimate is how much one kind slows another down.
type Estimate struct {
	// Subject is slowed down by Other.
	Subject, Other Kind
	// Harm is by which fraction of its usual time Subject takes longer beside Other.
	Harm float64
	// Observations is the number of compared pairs of samples.
	Observations int
	// At is when the newest sample was taken.
	At time.Duration
}

type pair struct{ subject, other Kind }

// subject holds the samples of one kind.
type subject struct {
	// others are the kinds that were seen beside it; sets of them have a bit for each.
	others  []Kind
	samples []sample
	// unevaluated counts the samples since the last evaluation.
	unevaluated int
}

// sample is a Sample in the form in which it is kept.
type sample struct {
	group       string
	others      uint64
	speedClass  int
	logSlowdown float64
	at          time.Duration
}

// bit returns the set that holds one kind, or 0 if no further kind can be told apart.
func (s *subject) bit(other Kind) uint64 {
	i := slices.Index(s.others, other)
	if i < 0 {
		if i = len(s.others); i >= maxKinds {
			return 0
		}
		s.others = append(s.others, other)
	}
	return 1 << i
}

// Table holds the samples and what follows from them. It is not safe for concurrent use.
type Table struct {
	subjects map[Kind]*subject
	// harmful are the pairs that slow each other down: those concluded from samples, and those
	// of an earlier leader of which too few samples are known.
	harmful map[pair]Estimate
}

// NewTable returns a table without samples.
func NewTable() *Table { return &Table{subjects: map[Kind]*subject{}, harmful: map[pair]Estimate{}} }

// Observe adds a sample and returns the pairs of its subject that are now known to be harmful and
// were not before, and those for which the reverse holds.
func (t *Table) Observe(s Sample) (found, cleared []Estimate) {
	if s.Subject == "" || len(s.Others) > maxOthers || s.Slowdown <= 0 || math.IsInf(s.Slowdown, 0) || math.IsNaN(s.Slowdown) {
		return nil, nil
	}
	subj := t.subjects[s.Subject]
	if subj == nil {
		if len(t.subjects) >= maxSubjects {
			t.forgetOldest()
		}
		subj = &subject{}
		t.subjects[s.Subject] = subj
	}
	kept := sample{group: s.Group, speedClass: s.SpeedClass, logSlowdown: math.Log(s.Slowdown), at: s.At}
	for _, other := range s.Others {
		bit := subj.bit(other)
		if bit == 0 {
			// So many kinds were seen since the process began that the earliest do not matter.
			delete(t.subjects, s.Subject)
			return nil, nil
		}
		kept.others |= bit
	}
	if len(subj.samples) >= maxSamples {
		subj.samples = slices.Delete(subj.samples, 0, 1)
	}
	subj.samples = append(subj.samples, kept)
	if subj.unevaluated++; subj.unevaluated < samplesPerEvaluation {
		return nil, nil
	}
	subj.unevaluated = 0
	subj.samples = slices.DeleteFunc(subj.samples, func(old sample) bool { return s.At-old.at > MaxAge })
	for i, other := range subj.others {
		f, c := t.conclude(pair{s.Subject, other}, subj.samples, 1<<i, s.At)
		found, cleared = append(found, f...), append(cleared, c...)
	}
	return found, cleared
}

// forgetOldest removes the subject whose newest sample is the oldest.
func (t *Table) forgetOldest() {
	newest := func(kind Kind) time.Duration {
		samples := t.subjects[kind].samples
		return samples[len(samples)-1].at
	}
	delete(t.subjects, slices.MinFunc(slices.Sorted(maps.Keys(t.subjects)), func(a, b Kind) int { return cmp.Compare(newest(a), newest(b)) }))
}

// conclude compares the samples of a pair, whose other kind has the given bit, and updates harmful.
func (t *Table) conclude(p pair, samples []sample, bit uint64, now time.Duration) (found, cleared []Estimate) {
	effect, score, observations := compare(samples, bit)
	if observations < MinObservations {
		return nil, nil
	}
	_, known := t.harmful[p]
	e := Estimate{Subject: p.subject, Other: p.other, Harm: math.Expm1(effect), Observations: observations, At: now}
	// A known pair is cleared only if it is likely not to be one, so that it does not change with
	// each sample.
	switch harmful := e.Harm > minHarm; {
	case harmful && (known || score > minScore):
		t.harmful[p] = e
		if !known {
			return []Estimate{e}, nil
		}
	case known:
		delete(t.harmful, p)
		return nil, []Estimate{e}
	}
	return nil, nil
}

// comparison accumulates differences between samples with a kind beside them and without.
type comparison struct {
	differences       []float64
	rankSum, variance float64
	// observations is the number of compared pairs.
	observations int
}

// sides are the logarithms of slowdowns with a kind beside and without it, all else being equal.
type sides struct{ with, without []float64 }

// add compares all values of one side with all of the other.
func (c *comparison) add(s *sides) {
	with, without := len(s.with), len(s.without)
	if with == 0 || without == 0 {
		return
	}
	greater := 0.0
	for _, a := range s.with {
		for _, b := range s.without {
			c.differences = append(c.differences, a-b)
			greater += float64(cmp.Compare(a, b)+1) / 2
		}
	}
	c.observations += min(with, without)
	// The weights are those of van Elteren's stratified rank sum test.
	total := float64(with + without + 1)
	c.rankSum += (greater - float64(with*without)/2) / total
	c.variance += float64(with*without) / total / 12
}

// compare returns the effect of the kind with the given bit on the logarithm of the slowdown, the
// standard score of the hypothesis that it has one, and the number of compared pairs of samples.
//
// Samples are compared only with those that differ in this kind alone: a kind that is always
// beside a harmful one, or on slow workers, is not taken for harmful itself. Runs of one group are
// compared with each other, since the work of two groups may differ by more than a neighbour
// harms; a group of which no run can be compared so counts as one sample beside other groups. The
// median of all differences (Hodges and Lehmann) and ranks keep tasks that take many times as long
// as others from deciding.
func compare(samples []sample, bit uint64) (effect, score float64, observations int) {
	type conditions struct {
		others     uint64
		speedClass int
	}
	type cell struct {
		group string
		conditions
	}
	within, between := map[cell]*sides{}, map[conditions]*sides{}
	for i, s := range samples {
		c := cell{s.group, conditions{s.others &^ bit, s.speedClass}}
		if s.group == "" {
			c.group = independentGroup + strconv.Itoa(i)
		}
		if within[c] == nil {
			within[c] = &sides{}
		}
		within[c].put(s.others&bit != 0, s.logSlowdown)
	}
	var total comparison
	for c, s := range within {
		if len(s.with) > 0 && len(s.without) > 0 {
			total.add(s)
			continue
		}
		if between[c.conditions] == nil {
			between[c.conditions] = &sides{}
		}
		between[c.conditions].put(len(s.with) > 0, mean(s.with, s.without))
	}
	for _, s := range between {
		total.add(s)
	}
	if total.observations == 0 {
		return 0, 0, 0
	}
	slices.Sort(total.differences)
	return median(total.differences), total.rankSum / math.Sqrt(total.variance), total.observations
}

// independentGroup begins the names of groups of one sample; no other group begins so.
const independentGroup = "\x00"

func (s *sides) put(with bool, value float64) {
	if with {
		s.with = append(s.with, value)
	} else {
		s.without = append(s.without, value)
	}
}

// mean returns the mean of the values of both lists.
func mean(a, b []float64) float64 {
	sum := 0.0
	for _, values := range [...][]float64{a, b} {
		for _, v := range values {
			sum += v
		}
	}
	return sum / float64(len(a)+len(b))
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Harm returns by which fraction the subject takes longer beside the other kind; 0 if that is not
// known.
func (t *Table) Harm(subject, other Kind) float64 { return t.harmful[pair{subject, other}].Harm }

// HarmBeside returns, for each kind that should be kept apart from the given one, how much the two
// slow each other down together. It is nil if there is none.
func (t *Table) HarmBeside(kind Kind) map[string]float64 {
	var harm map[string]float64
	for p, e := range t.harmful {
		other := p.other
		if p.subject != kind {
			if p.other != kind {
				continue
			}
			other = p.subject
		}
		if harm == nil {
			harm = map[string]float64{}
		}
		harm[string(other)] += e.Harm
	}
	return harm
}

// Learned returns what is known, the greatest harm first, for operators and a later leader.
func (t *Table) Learned() []Estimate {
	learned := slices.Collect(maps.Values(t.harmful))
	slices.SortFunc(learned, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(b.Harm, a.Harm), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Other, b.Other))
	})
	return learned[:min(len(learned), maxLearned)]
}

// Inherit adds what an earlier leader has concluded. It holds until own samples are sufficient, or
// for MaxAge.
func (t *Table) Inherit(learned []Estimate) {
	for _, e := range learned[:min(len(learned), maxLearned)] {
		p := pair{e.Subject, e.Other}
		if _, known := t.harmful[p]; !known && e.Harm >= minHarm && e.Harm <= maxInheritedHarm {
			t.harmful[p] = e
		}
	}
}

// maxInheritedHarm limits what is taken over: a record may have been written by another version.
const maxInheritedHarm = 100

// Expire removes what has not been observed for MaxAge and returns it.
func (t *Table) Expire(now time.Duration) []Estimate {
	var expired []Estimate
	for p, e := range t.harmful {
		if now-e.At > MaxAge {
			delete(t.harmful, p)
			expired = append(expired, e)
		}
	}
	return expired
}
