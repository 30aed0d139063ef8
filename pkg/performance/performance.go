// Package performance estimates how fast workers are and how much work tasks have, from the
// progress that workers report. It answers loads in which workers differ in speed although nothing
// in the configuration says so, and in which declared run times are far off.
//
// The progress rate of a task is its worker's speed divided by its work. Tasks of one unit have
// about the same work, so rates within a unit tell its workers' speeds apart, and a unit that is
// long as a whole says nothing about its workers. Solve fits the speeds and the work of the recent
// units to the rates, all as logarithms; medians keep single tasks that are long, or that stand
// still, from counting. The package does no I/O and reads no clock, and its types are not safe for
// concurrent use.
package performance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// maxSamples is how many units the estimate of a worker covers.
	maxSamples = 5
	// maxUnits is how many units are kept: those of the last 20 s of a busy site.
	maxUnits = 256
	// sampleAge is the age from which a sample no longer counts.
	sampleAge = 5 * time.Minute
	// sweeps is how often Solve fits the speeds and the work in turn. It is called again soon, and
	// begins with the last result.
	sweeps = 4
	// outlierFactor is the factor by which a sample deviates that is not believed at once: tasks of one
	// unit differ by less, interference included.
	outlierFactor = 1.8
	// minComparisons is how many tasks on other workers a worker's tasks must have been compared with
	// for its speed to be known.
	minComparisons = 3
	// kindMemory is how many units the estimate of a kind covers.
	kindMemory = 30
	// minKindSamples is how many units must be known for the estimate of a kind to be used.
	minKindSamples = 3
	// tailFactor times the usual work of its kind, a unit is a long one.
	tailFactor = 4
)

// Sample is a progress rate of a task that works at full speed.
type Sample struct {
	// Worker is the key of the worker, Kind names a kind of task.
	Worker, Kind string
	Unit         workload.UnitID
	// Rate is in percent of the task per second.
	Rate float64
}

// Verdict says what a sample is taken to show.
type Verdict string

const (
	// Usual samples agree with what is known, or add to it.
	Usual Verdict = "usual"
	// Outlier samples are far from what is known of their worker. They do not count unless one of
	// another unit confirms them, since the task may be the cause.
	Outlier Verdict = "outlier"
	// Changed samples confirm an outlier: the worker has changed its speed.
	Changed Verdict = "changed"
)

// worker is what is known of a worker.
type worker struct {
	// speed is the logarithm of the speed relative to the usual worker.
	speed float64
	// samples are the newest ones, the oldest first.
	samples []*sample
	// prior is a speed known from elsewhere, nil if there is none.
	prior *float64
	class int
}

// sample is what the tasks of one unit on one worker have shown.
type sample struct {
	unit *unit
	// seconds is the logarithm of the run time of a task.
	seconds float64
	// work is the work of a task by this sample, others by those of the other workers.
	work, others float64
	at           time.Duration
}

// unit is what is known of a unit.
type unit struct {
	id   workload.UnitID
	kind string
	// samples are by worker.
	samples map[string]*sample
	// work is the logarithm of the seconds that a task takes on a usual worker.
	work float64
	// counted means that the unit has been counted as a long one.
	counted bool
}

// kind is what is known of the work of a kind of task.
type kind struct {
	mean    float64
	samples int
}

// Model holds the estimates. The zero value is not usable; see New.
type Model struct {
	workers map[string]*worker
	units   map[workload.UnitID]*unit
	// recent are the units, the oldest first.
	recent  []*unit
	kinds   map[string]*kind
	classes []Class
	tails   int
	// recorded holds the speeds in the record of an earlier leader, recordedUsual that of workers which
	// it does not list; nil if there is no record.
	recorded      map[string]float64
	recordedUsual float64
	// byWork is reused by fitWork.
	byWork []*sample
	// changed means that samples have come since the last Solve.
	changed bool
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{workers: map[string]*worker{}, units: map[workload.UnitID]*unit{}, kinds: map[string]*kind{}}
}

// Observe adds a sample.
func (m *Model) Observe(s Sample, now time.Duration) Verdict {
	if s.Rate <= 0 {
		return Usual
	}
	w := m.worker(s.Worker)
	u := m.units[s.Unit]
	if u == nil {
		u = &unit{id: s.Unit, kind: s.Kind, samples: map[string]*sample{}}
		m.units[s.Unit] = u
		if m.recent = append(m.recent, u); len(m.recent) > maxUnits {
			delete(m.units, m.recent[0].id)
			m.recent = slices.Delete(m.recent, 0, 1)
		}
	}
	m.changed = true
	seconds := math.Log(100 / s.Rate)
	if known := u.samples[s.Worker]; known != nil {
		known.seconds, known.at = (known.seconds+seconds)/2, now
	} else {
		added := &sample{unit: u, seconds: seconds, at: now}
		u.samples[s.Worker] = added
		if w.samples = append(w.samples, added); len(w.samples) > maxSamples {
			w.samples = slices.Delete(w.samples, 0, 1)
		}
	}
	m.fitWork(u)
	m.countTail(u)
	return w.verdict(u)
}

// verdict says what the sample of the unit, which is the worker's newest or among these, shows.
func (w *worker) verdict(u *unit) Verdict {
	i := slices.IndexFunc(w.samples, func(s *sample) bool { return s.unit == u })
	if i < 0 || !w.isKnown() {
		return Usual
	}
	direction := w.samples[i].outlier(w.speed)
	switch {
	case direction == 0:
		return Usual
	case i > 0 && w.samples[i-1].outlier(w.speed) == direction:
		return Changed
	default:
		return Outlier
	}
}

// outlier returns 1 if the sample shows a much higher speed, -1 if a much lower one, else 0. A unit
// on fewer than three workers does not tell which of them is off.
func (s *sample) outlier(speed float64) int {
	deviation := s.speed() - speed
	switch {
	case len(s.unit.samples) < 3 || math.Abs(deviation) < math.Log(outlierFactor):
		return 0
	case deviation < 0:
		return -1
	default:
		return 1
	}
}

// speed returns the speed of the worker by the sample alone, compared with those of other workers.
func (s *sample) speed() float64 { return s.others - s.seconds }

// comparisons returns with how many tasks on other workers the worker's have been compared.
func (w *worker) comparisons() int {
	n := 0
	for _, s := range w.samples {
		n += len(s.unit.samples) - 1
	}
	return n
}

// isKnown reports whether there is enough evidence for the worker's speed.
func (w *worker) isKnown() bool { return w.prior != nil || w.comparisons() >= minComparisons }

// Solve fits the speeds of the workers and the work of the recent units to the samples.
func (m *Model) Solve(now time.Duration) {
	for _, w := range m.workers {
		w.samples = slices.DeleteFunc(w.samples, func(s *sample) bool { return now-s.at > sampleAge })
	}
	if !m.changed {
		return
	}
	m.changed = false
	for range sweeps {
		for _, u := range m.recent {
			m.fitWork(u)
		}
		var speeds []float64
		for _, w := range m.workers {
			w.fit()
			if w.isKnown() {
				speeds = append(speeds, w.speed)
			}
		}
		// Only ratios are known: the usual worker has the speed 1.
		usual := median(speeds)
		for _, w := range m.workers {
			w.speed -= usual
		}
	}
}

// fit sets the worker's speed by its samples.
func (w *worker) fit() {
	var speeds []float64
	if w.prior != nil {
		speeds = append(speeds, *w.prior)
	}
	for _, s := range w.samples {
		if len(s.unit.samples) > 1 {
			speeds = append(speeds, s.speed())
		}
	}
	n := len(speeds)
	switch {
	case n == 0:
		w.speed = 0
	case n == 2 && math.Abs(speeds[1]-speeds[0]) > math.Log(outlierFactor):
		// A task can take much longer than others of its unit, not much less.
		w.speed = max(speeds[0], speeds[1])
	case n > 3 && w.hasChanged(speeds):
		w.prior = nil
		w.speed = (speeds[n-2] + speeds[n-1]) / 2
	default:
		w.speed = median(speeds)
	}
}

// hasChanged reports whether the newest two of the speeds that samples show are far from the earlier
// ones, and closer to each other than two thirds of that, which a single long task is not.
func (w *worker) hasChanged(speeds []float64) bool {
	n := len(speeds)
	before := median(slices.Clone(speeds[:n-2]))
	lower, higher := min(speeds[n-2], speeds[n-1])-before, max(speeds[n-2], speeds[n-1])-before
	far := higher < -math.Log(outlierFactor) || lower > math.Log(outlierFactor)
	return far && higher-lower < math.Abs(higher+lower)/3
}

// fitWork sets the work of a task of the unit by its samples.
func (m *Model) fitWork(u *unit) {
	sorted := m.byWork[:0]
	for key, s := range u.samples {
		s.work = s.seconds
		if w := m.workers[key]; w != nil {
			s.work += w.speed
		}
		sorted = append(sorted, s)
	}
	m.byWork = sorted
	slices.SortFunc(sorted, func(a, b *sample) int { return cmp.Compare(a.work, b.work) })
	n := len(sorted)
	at := func(i int) float64 { return sorted[i].work }
	u.work = (at((n-1)/2) + at(n/2)) / 2
	for i, s := range sorted {
		// The two in the middle of the others.
		low, high := (n-2)/2, (n-1)/2
		if i <= low {
			low++
		}
		if i <= high {
			high++
		}
		if n > 1 {
			s.others = (at(low) + at(high)) / 2
		}
	}
}

// median returns the median of values, 0 if there are none. It sorts them.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// EndUnit adds the work of a unit that has ended to that of its kind.
func (m *Model) EndUnit(id workload.UnitID) {
	u := m.units[id]
	if u == nil {
		return
	}
	k := m.kinds[u.kind]
	if k == nil {
		k = &kind{}
		m.kinds[u.kind] = k
	}
	m.fitWork(u)
	deviation := u.work - k.mean
	if limit := math.Log(tailFactor); k.samples >= minKindSamples {
		// One long unit must not change what is expected of all others.
		deviation = max(-limit, min(limit, deviation))
	}
	k.samples++
	k.mean += deviation / float64(min(k.samples, kindMemory))
}

// countTail counts a unit whose work is much longer than that of its kind.
func (m *Model) countTail(u *unit) {
	if k := m.kinds[u.kind]; !u.counted && k != nil && k.samples >= minKindSamples && u.work-k.mean > math.Log(tailFactor) {
		u.counted = true
		m.tails++
	}
}

// Tails returns how many units had more than tailFactor times the usual work of their kind.
func (m *Model) Tails() int { return m.tails }

// KeepWorkers forgets all workers for which keep returns false.
func (m *Model) KeepWorkers(keep func(key string) bool) {
	for key := range m.workers {
		if !keep(key) {
			delete(m.workers, key)
		}
	}
}

// Speed returns the speed of a worker relative to a usual one, and the number of units of which it is
// the estimate.
func (m *Model) Speed(key string) (speed float64, samples int) {
	w := m.workers[key]
	if w == nil {
		return 1, 0
	}
	return math.Exp(w.speed), len(w.samples)
}

// RunTime returns the run time of a task of the unit on a worker of mean speed, by the progress of the
// unit's tasks or the usual run time of its kind. It reports false if neither is known.
func (m *Model) RunTime(name string, id workload.UnitID) (time.Duration, bool) {
	work := 0.0
	if u := m.units[id]; u != nil {
		work = u.work
	} else if k := m.kinds[name]; k != nil && k.samples >= minKindSamples {
		work = k.mean
	} else {
		return 0, false
	}
	return time.Duration(math.Exp(work) / m.meanSpeed() * float64(time.Second)), true
}
