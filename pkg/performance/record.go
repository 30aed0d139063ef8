package performance

import (
	"maps"
	"math"
	"slices"
)

// maxRecordWorkers and maxRecordKinds limit a Record: it takes some 12 kB.
const (
	maxRecordWorkers = 400
	maxRecordKinds   = 64
)

// Record is the part of a Model that the next leader starts with.
type Record struct {
	// Term is the number of the term in which the record was written.
	Term int64 `json:"t"`
	// Classes are the speed classes. That with the most workers lists none of them: it is that of all
	// others.
	Classes []RecordedClass `json:"c,omitempty"`
	// Kinds holds the usual work of the kinds of task.
	Kinds map[string]RecordedKind `json:"k,omitempty"`
}

// RecordedClass is a class of workers.
type RecordedClass struct {
	Speed   float64  `json:"s"`
	Workers []string `json:"w,omitempty"`
}

// RecordedKind is the usual work of a kind of task.
type RecordedKind struct {
	// Seconds is the run time of a task on a usual worker, Samples the number of units.
	Seconds float64 `json:"s"`
	Samples int     `json:"n"`
}

// Record returns what the next leader starts with: the classes as of the last Classify, and the kinds.
// It reports false if there are no classes.
func (m *Model) Record() (Record, bool) {
	if len(m.classes) < 2 {
		return Record{}, false
	}
	r := Record{Kinds: map[string]RecordedKind{}}
	common := m.commonClass()
	for _, c := range m.classes {
		r.Classes = append(r.Classes, RecordedClass{Speed: rounded(c.Speed)})
	}
	listed := 0
	for _, key := range slices.Sorted(maps.Keys(m.workers)) {
		if w := m.workers[key]; w.class != common && w.isKnown() && listed < maxRecordWorkers {
			listed++
			r.Classes[w.class].Workers = append(r.Classes[w.class].Workers, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.kinds)) {
		if k := m.kinds[name]; k.samples >= minKindSamples && len(r.Kinds) < maxRecordKinds {
			r.Kinds[name] = RecordedKind{rounded(math.Exp(k.mean)), k.samples}
		}
	}
	return r, true
}

// rounded returns a positive number to two significant digits or more.
func rounded(x float64) float64 { return math.Round(x*100) / 100 }

// Restore starts the model with a record of an earlier leader. A worker that the record lists has the
// speed of its class until its own samples outweigh that; others are taken to be of the class that
// lists none. It must be called before AddWorker.
func (m *Model) Restore(r Record) {
	if len(r.Classes) < 2 || slices.ContainsFunc(r.Classes, func(c RecordedClass) bool { return c.Speed <= 0 }) {
		return
	}
	m.recorded = map[string]float64{}
	for _, c := range r.Classes {
		if len(c.Workers) == 0 {
			m.recordedUsual = math.Log(c.Speed)
		}
		for _, key := range c.Workers {
			m.recorded[key] = math.Log(c.Speed)
		}
	}
	for name, k := range r.Kinds {
		if k.Seconds > 0 {
			m.kinds[name] = &kind{math.Log(k.Seconds), min(k.Samples, kindMemory)}
		}
	}
}

// AddWorker adds a worker that the site has.
func (m *Model) AddWorker(key string) { m.worker(key) }

// worker returns the state of a worker.
func (m *Model) worker(key string) *worker {
	w := m.workers[key]
	if w == nil {
		w = &worker{class: m.commonClass()}
		m.workers[key] = w
		if m.recorded != nil {
			speed, listed := m.recorded[key]
			if !listed {
				speed = m.recordedUsual
			}
			w.speed, w.prior, m.changed = speed, &speed, true
		}
	}
	return w
}
