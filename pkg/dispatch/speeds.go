package dispatch

import (
	"fmt"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/performance"
)

const (
	// speedSampleGain is the progress, in percent, from which a run counts as a sample of its worker's
	// speed: percentages are whole numbers, so the rate is off by a fifteenth at most.
	speedSampleGain = 15
	// secondSampleGain is the progress from which it counts a second time.
	secondSampleGain = 50
	// minSampleSpan is the least time over which a sample is taken: many times the delay of an answer.
	minSampleSpan = 300 * time.Millisecond
	// classifyInterval is the time between two divisions of the workers into classes.
	classifyInterval = time.Second
	// speedsRecordInterval is the least time between two records of the estimates: they change slowly,
	// and every node reads them.
	speedsRecordInterval = 5 * time.Second
)

// observeProgress adds the progress of a run to the estimates of its worker and its kind.
func (e *Engine) observeProgress(r *run, now time.Duration) {
	u := r.task.unit
	if !e.Settings.Features.Speeds || r.slow || r.throttlePercent < fullSpeedPercent || r.percent >= 100 || u.step.LongRunning || u.step.BestEffort {
		return
	}
	base := r.baseAt
	if u.step.Gang && r.basePercent == 0 {
		began, complete := u.gangActiveAt(r)
		if !complete {
			return
		}
		base = max(base, began)
	}
	gained, span := r.percent-r.basePercent, now-base
	if least := []int{speedSampleGain, secondSampleGain}; r.speedSamples >= len(least) || gained < least[r.speedSamples] || span < minSampleSpan {
		return
	}
	r.speedSamples++
	if gained >= secondSampleGain {
		r.speedSamples = 2
	}
	sample := performance.Sample{Worker: r.worker.key, Kind: u.job.spec.Queue, Unit: u.id, Rate: float64(gained) / span.Seconds()}
	verdict := e.performance.Observe(sample, now)
	metrics.GetOrCreateCounter(`shallotpin_speed_samples_total{verdict="` + string(verdict) + `"}`).Inc()
	level := klog.Level(0)
	if verdict == performance.Outlier {
		level = 1
	}
	if speed, samples := e.performance.Speed(r.worker.key); verdict != performance.Usual {
		klog.V(level).InfoS("dispatch: unexpected progress rate", "job", r.task.id.Job, "task", u.id.String(), "index", r.task.id.Index, "worker", r.worker.info.ID, "percent_per_s", sample.Rate, "verdict", verdict, "speed", speed, "samples", samples)
	}
}

// gangActiveAt returns when the last member of the gang's present run was known to be active. It
// reports false if some member is not.
func (u *unit) gangActiveAt(r *run) (at time.Duration, complete bool) {
	for _, t := range u.tasks {
		if t.run == nil || t.run.phase != runActive || t.run.id.Number != r.id.Number {
			return 0, false
		}
		at = max(at, t.run.activeAt)
	}
	return at, true
}

// classifyWorkers divides the workers into classes of like speed.
func (e *Engine) classifyWorkers(now time.Duration) {
	// A new leader has the recorded speeds of the workers as soon as these are listed.
	if !e.Settings.Features.Speeds || now-e.classifiedAt < classifyInterval && len(e.workers) == e.classifiedWorkers {
		return
	}
	e.classifiedAt, e.classifiedWorkers = now, len(e.workers)
	e.performance.KeepWorkers(func(key string) bool { return e.workers[key] != nil })
	before := len(e.speedClasses)
	e.speedClasses = e.performance.Classify(len(e.workers), now)
	for i, c := range e.speedClasses {
		metrics.GetOrCreateGauge(fmt.Sprintf(`shallotpin_speed_class_workers{class="%d"}`, i), nil).Set(float64(c.Workers))
	}
	metrics.GetOrCreateGauge("shallotpin_long_units", nil).Set(float64(e.performance.Tails()))
	if len(e.speedClasses) != before {
		klog.InfoS("dispatch: worker speed classes", "classes", e.speedClasses, "workers", len(e.workers), "term", e.Term.Number, "after", now-e.ClaimedAt, "long_units", e.performance.Tails())
	}
}

// noteClasses counts the starts of a unit by the speed classes of the workers, and logs a gang whose
// workers are of several.
func (e *Engine) noteClasses(u *unit, chosen map[int]*worker) {
	if len(e.speedClasses) < 2 {
		return
	}
	counts, used := make([]int, len(e.speedClasses)), 0
	for _, w := range chosen {
		class, _ := e.speedOf(w)
		if counts[class] == 0 {
			used++
		}
		counts[class]++
	}
	for class, n := range counts {
		metrics.GetOrCreateCounter(fmt.Sprintf(`shallotpin_starts_by_speed_total{class="%d",urgent="%t"}`, class, u.job.policy.Priority == 0)).Add(n)
	}
	if u.step.Gang && used > 1 {
		metrics.GetOrCreateCounter("shallotpin_mixed_gangs_total").Inc()
		klog.InfoS("dispatch: gang on workers of several speeds", "job", u.id.Job, "task", u.id.String(), "starts_by_class", counts, "classes", e.speedClasses)
	}
}

// speedOf returns the speed class and the speed of a worker for placement.
func (e *Engine) speedOf(w *worker) (class int, speed float64) {
	if len(e.speedClasses) < 2 {
		return 0, w.speed
	}
	return e.performance.ClassOf(w.key)
}

// learnedRunTime returns the run time of a task of the unit on a worker of mean speed, and false if it is
// not known or speeds are alike.
func (e *Engine) learnedRunTime(u *unit) (time.Duration, bool) {
	if len(e.speedClasses) < 2 {
		return 0, false
	}
	return e.performance.RunTime(u.job.spec.Queue, u.id)
}

// takeSpeeds returns the record of the estimates if it is due, has changed and fits into a write that
// has size bytes already.
func (e *Engine) takeSpeeds(size int, now time.Duration) []backend.KeyedRecord {
	// Classes that are gone are withdrawn: a later leader would place by them.
	withdrawn := len(e.speedClasses) < 2 && len(e.recordedSpeeds.Classes) > 0 && e.isSettled(now) && now-e.ClaimedAt >= speedsRecordInterval
	if !e.Settings.Features.Speeds || len(e.speedClasses) < 2 && !withdrawn || e.speedsCheckedAt != 0 && now-e.speedsCheckedAt < speedsRecordInterval {
		return nil
	}
	e.speedsCheckedAt = now
	current, found := e.performance.Record()
	if current.Term = e.Term.Number; !found && !withdrawn || reflect.DeepEqual(current.Classes, e.recordedSpeeds.Classes) {
		return nil
	}
	record := ledger.SpeedsRecord(current)
	recordSize := len(record.Key) + len(record.Value)
	if limit := e.Settings.MaxRecordBytes; limit > 0 && recordSize > limit || !e.fitsWrite(size, recordSize) {
		klog.InfoS("dispatch: worker speeds not recorded", "bytes", recordSize, "record_limit", limit, "write_limit", e.Settings.MaxWriteBytes, "write_bytes", size)
		return nil
	}
	e.recordedSpeeds = current
	return []backend.KeyedRecord{record}
}

// restoreSpeeds starts the estimates with the record of an earlier leader.
func (e *Engine) restoreSpeeds(recorded *performance.Record) {
	if !e.Settings.Features.Speeds || recorded == nil {
		return
	}
	e.recordedSpeeds = *recorded
	e.performance.Restore(*recorded)
	listed := 0
	for _, c := range recorded.Classes {
		listed += len(c.Workers)
	}
	klog.InfoS("dispatch: worker speeds of an earlier leader", "classes", len(recorded.Classes), "workers", listed, "kinds", len(recorded.Kinds), "of_term", recorded.Term, "term", e.Term.Number)
}

// runTimeThere returns the expected run time of a run's task on its worker, or in a gang on the
// slowest of its workers.
func (e *Engine) runTimeThere(r *run) time.Duration {
	mean := e.expectedRunTime(r.task.unit)
	if len(e.speedClasses) < 2 {
		return mean
	}
	class, _ := e.speedOf(r.worker)
	if r.task.unit.step.Gang {
		for _, t := range r.task.unit.tasks {
			if t.run != nil {
				other, _ := e.speedOf(t.run.worker)
				class = min(class, other)
			}
		}
	}
	return e.performance.RunTimeIn(class, mean)
}

// needsFastWorkers reports whether a unit can complete within the time left on the fastest workers, and
// not on the slowest.
func (e *Engine) needsFastWorkers(u *unit, left time.Duration) bool {
	if len(e.speedClasses) < 2 {
		return false
	}
	mean := e.expectedRunTime(u)
	return e.performance.RunTimeIn(0, mean) > left && e.performance.RunTimeIn(len(e.speedClasses)-1, mean) <= left
}
