// Package performance estimates how fast workers are and how much work tasks have, from the
// progress that workers report. It answers loads in which workers differ in speed although nothing
// in the configuration says so, and in which declared run times are far off.
//
// The progress rate of a task is its worker's speed divided by its work. Tasks of one unit have
// about the same work, so rates within a unit tell its workers' speeds apart, and a unit that is
// long as a whole says nothing about its workers. Both quantities are kept as logarithms with a
// variance, so that each sample counts as much as it tells. The package does no I/O and reads no
// clock, and its types are not safe for concurrent use.
package performance

import (
	"math"
	"time"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// taskVariance is the variance of the logarithm of the work of one unit's tasks, and of the
	// disturbance by other tasks on the worker: a spread of a fifth.
	taskVariance = 0.2 * 0.2
	// speedVariance is that of the speeds of workers of which nothing is known. Two thirds of them
	// lie within a factor of 1.6 of the usual one.
	speedVariance = 0.5 * 0.5
	// minSpeedVariance limits the certainty about a worker: tasks beside each other disturb each
	// other, so that many samples of one worker are off in the same direction.
	minSpeedVariance = 0.05 * 0.05
	// ageingTime is how long it takes for a worker that is certain to become unknown again.
	ageingTime = 5 * time.Minute
	// unitVariance is the variance of the work of the units of a kind before it is known: the units
	// of a queue differ by a factor of 2.
	unitVariance = 0.7 * 0.7
	// unknownWorkVariance is that of a unit whose kind is not known at all.
	unknownWorkVariance = 3 * 3
	// kindMemory is how many units the estimate of a kind covers.
	kindMemory = 30
	// outlierDeviations and outlierFactor tell samples that are not believed at once: those that
	// deviate by more standard deviations, and by more than the factor.
	outlierDeviations = 3
	outlierFactor     = 1.8
	// confirmations is how many such samples in a row, of different units and in the same direction,
	// show that a worker has changed its speed.
	confirmations = 2
	// tailFactor times the usual work of its kind, a unit is a long one.
	tailFactor = 4
	// minKindSamples is how many units must be known for the estimate of a kind to be used.
	minKindSamples = 3
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
	// Outlier samples are far from what is known of their worker. They are not believed unless
	// samples of other units confirm them, since the task may be the cause.
	Outlier Verdict = "outlier"
	// Changed samples confirm outliers: the worker has changed its speed.
	Changed Verdict = "changed"
)

// normal is an estimate of a logarithm.
type normal struct{ mean, variance float64 }

// combine returns the estimate from two independent ones.
func (n normal) combine(o normal) normal {
	gain := n.variance / (n.variance + o.variance)
	return normal{n.mean + gain*(o.mean-n.mean), n.variance * (1 - gain)}
}

// worker is what is known of a worker.
type worker struct {
	speed normal
	at    time.Duration
	// samples counts the samples that were believed.
	samples int
	// outliers counts the last samples that were not, below minus zero and above plus; outlierUnit is
	// the unit of the newest.
	outliers    int
	outlierUnit workload.UnitID
	class       int
}

// unit is what is known of a unit with running tasks.
type unit struct {
	kind string
	// shares hold what the tasks on each worker tell about the work of one task. They are kept
	// apart, since those of a worker tell nothing about its own speed.
	shares map[string]normal
	// counted means that the unit has been counted as a long one.
	counted bool
}

// kind is what is known of a kind of task.
type kind struct {
	// mean and variance are of the logarithm of the seconds that a task has on a usual worker.
	mean, variance float64
	samples        int
}

// Model holds the estimates. The zero value is not usable; see New.
type Model struct {
	workers map[string]*worker
	units   map[workload.UnitID]*unit
	kinds   map[string]*kind
	classes []Class
	// reference is the logarithm of the speed of a usual worker.
	reference float64
	// tails counts the units that were much longer than usual.
	tails int
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{workers: map[string]*worker{}, units: map[workload.UnitID]*unit{}, kinds: map[string]*kind{}}
}

// worker returns the state of a worker with its variance as of now.
func (m *Model) worker(key string, now time.Duration) *worker {
	w := m.workers[key]
	if w == nil {
		w = &worker{speed: normal{m.reference, speedVariance}, at: now, class: m.commonClass()}
		m.workers[key] = w
	}
	w.speed.variance = min(speedVariance, w.speed.variance+speedVariance*max(0, now-w.at).Seconds()/ageingTime.Seconds())
	w.at = max(w.at, now)
	return w
}

// Observe adds a sample.
func (m *Model) Observe(s Sample, now time.Duration) Verdict {
	if s.Rate <= 0 {
		return Usual
	}
	w := m.worker(s.Worker, now)
	u := m.units[s.Unit]
	if u == nil {
		u = &unit{kind: s.Kind, shares: map[string]normal{}}
		m.units[s.Unit] = u
	}
	seconds := math.Log(100 / s.Rate)
	work := m.unitWork(u, s.Worker)
	observed := normal{work.mean - seconds, work.variance + taskVariance}
	verdict := w.observe(observed, s.Unit)
	if verdict == Outlier {
		// The task may be the cause, so that it must not count for its unit either.
		return verdict
	}
	share := normal{seconds + w.speed.mean, w.speed.variance + taskVariance}
	if earlier, known := u.shares[s.Worker]; known {
		// The error of the worker's speed is common to its samples.
		share = normal{(earlier.mean + share.mean) / 2, share.variance}
	}
	u.shares[s.Worker] = share
	m.countTail(u)
	return verdict
}

// observe adds a sample of the worker's speed.
func (w *worker) observe(o normal, id workload.UnitID) Verdict {
	deviation := o.mean - w.speed.mean
	limit := max(math.Log(outlierFactor), outlierDeviations*math.Sqrt(w.speed.variance+o.variance))
	if math.Abs(deviation) <= limit {
		w.outliers = 0
		w.speed = w.speed.combine(o)
		w.speed.variance = max(minSpeedVariance, w.speed.variance)
		w.samples++
		return Usual
	}
	direction := 1
	if deviation < 0 {
		direction = -1
	}
	switch {
	case w.outliers*direction <= 0:
		w.outliers = direction
	case w.outlierUnit != id:
		w.outliers += direction
	}
	w.outlierUnit = id
	if w.outliers*direction < confirmations {
		return Outlier
	}
	w.outliers, w.samples = 0, 1
	w.speed = normal{o.mean, min(speedVariance, o.variance)}
	return Changed
}

// unitWork returns the estimate of the work of a task of the unit by its kind and its tasks on
// workers other than the given one.
func (m *Model) unitWork(u *unit, without string) normal {
	work := m.kindWork(u.kind)
	for key, share := range u.shares {
		if key != without {
			work = work.combine(share)
		}
	}
	return work
}

// kindWork returns the estimate of the work of a task of the kind.
func (m *Model) kindWork(name string) normal {
	k := m.kinds[name]
	if k == nil || k.samples == 0 {
		return normal{0, unknownWorkVariance}
	}
	return normal{k.mean, k.variance + unitVariance/float64(k.samples)}
}

// EndUnit adds the work of a unit that has ended to that of its kind and forgets the unit.
func (m *Model) EndUnit(id workload.UnitID) {
	u := m.units[id]
	if u == nil {
		return
	}
	delete(m.units, id)
	if len(u.shares) == 0 {
		return
	}
	k := m.kinds[u.kind]
	if k == nil {
		k = &kind{variance: unitVariance}
		m.kinds[u.kind] = k
	}
	work := m.unitWork(&unit{kind: "", shares: u.shares}, "")
	k.samples++
	weight := 1 / float64(min(k.samples, kindMemory))
	deviation := work.mean - k.mean
	if limit := math.Log(tailFactor); k.samples > minKindSamples {
		// One long unit must not change what is expected of all others.
		deviation = max(-limit, min(limit, deviation))
	}
	k.mean += weight * deviation
	if k.samples > 1 {
		k.variance += weight * (deviation*deviation - k.variance)
	}
}

// countTail counts a unit whose work is much longer than that of its kind.
func (m *Model) countTail(u *unit) {
	k := m.kinds[u.kind]
	if u.counted || k == nil || k.samples < minKindSamples {
		return
	}
	if m.unitWork(&unit{shares: u.shares}, "").mean-k.mean > math.Log(tailFactor) {
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

// Speed returns the speed of a worker relative to a usual one, and of how many samples it is the
// estimate.
func (m *Model) Speed(key string) (speed float64, samples int) {
	w := m.workers[key]
	if w == nil {
		return 1, 0
	}
	return math.Exp(w.speed.mean - m.reference), w.samples
}

// RunTime returns the run time of a task of the unit on a worker of the given speed, by the progress
// of the unit's tasks or the usual run time of its kind. It reports false if neither is known.
func (m *Model) RunTime(name string, id workload.UnitID, speed float64) (time.Duration, bool) {
	work := m.kindWork(name)
	k := m.kinds[name]
	known := k != nil && k.samples >= minKindSamples
	if u := m.units[id]; u != nil && len(u.shares) > 0 {
		work, known = m.unitWork(u, ""), true
	}
	if !known || speed <= 0 {
		return 0, false
	}
	return time.Duration(math.Exp(work.mean-m.reference) / speed * float64(time.Second)), true
}
