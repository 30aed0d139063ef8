package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/interference"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// InterferenceKey names the ledger's record of which tasks slow each other down.
	InterferenceKey = "interference"
	// learnedWriteInterval is the least time between two writes of the record, which go along with
	// other records of the leader. A new leader lacks at most what was learned in it.
	learnedWriteInterval = 5 * time.Second
	// learnedRefreshInterval is the time after which the record is written although no pair was found
	// or cleared: a new leader drops pairs that were last observed interference.MaxAge ago.
	learnedRefreshInterval = interference.MaxAge / 4
	// speedClassRatio is the ratio of the speeds of two neighbouring classes of workers within which
	// tasks are compared: the estimates of workers of one kind differ by less.
	speedClassRatio = 1.5
	// loadFigureSpan is the time that a load figure covers: what has just started does not show
	// in it yet.
	loadFigureSpan = 500 * time.Millisecond
)

// interferenceWatch learns which tasks slow each other down.
type interferenceWatch struct {
	table    *interference.Table
	recorder *interference.Recorder[backend.RunID]
	// unsaved means that the table differs from the ledger's record, written at writtenAt.
	unsaved   bool
	writtenAt time.Duration
}

// LearnedPair is an interference.Estimate in the ledger: tasks of the kind Subject take longer by
// the fraction Harm beside one of the kind Other.
type LearnedPair struct {
	Subject string  `json:"s"`
	Other   string  `json:"o"`
	Harm    float64 `json:"h"`
	// Observations is the number of compared pairs of runs.
	Observations int `json:"n"`
	// AtMS is when it was last observed, in Unix milliseconds.
	AtMS int64 `json:"at"`
}

// DecodeInterference decodes the ledger's record of the pairs; an empty one has none.
func DecodeInterference(record []byte) (pairs []LearnedPair, err error) {
	if len(record) > 0 {
		err = json.Unmarshal(record, &pairs)
	}
	return pairs, err
}

func newInterferenceWatch() *interferenceWatch {
	return &interferenceWatch{table: interference.NewTable(), recorder: interference.NewRecorder[backend.RunID]()}
}

// inheritInterference takes over what an earlier leader has recorded.
func (e *Engine) inheritInterference(learned []byte) {
	if len(learned) == 0 {
		return
	}
	pairs, err := DecodeInterference(learned)
	if err != nil {
		klog.InfoS("dispatch: record of what earlier leaders learned ignored", "record", InterferenceKey, "err", err)
		return
	}
	now, unixMS := e.Now(), e.UnixMS()
	var estimates []interference.Estimate
	for _, p := range pairs {
		if age := time.Duration(max(0, unixMS-p.AtMS)) * time.Millisecond; age < interference.MaxAge {
			estimates = append(estimates, interference.Estimate{Subject: interference.Kind(p.Subject), Other: interference.Kind(p.Other), Harm: p.Harm, Observations: p.Observations, At: now - age})
		}
	}
	e.interference.table.Inherit(estimates)
	klog.InfoS("dispatch: pairs of tasks that slow each other down taken over", "pairs", len(estimates), "recorded", len(pairs))
}

// maxImageBytes limits the images that name a kind: callers choose them, and each node keeps the
// record.
const maxImageBytes = 128

// kindOf returns the kind of a unit's tasks: their image, or else their queue and step.
func kindOf(u *unit) interference.Kind {
	if u.step.Image != "" && len(u.step.Image) <= maxImageBytes {
		return interference.Kind(u.step.Image)
	}
	return interference.Kind(fmt.Sprintf("%s/%d", u.job.spec.Queue, u.id.Step))
}

// observeInterference takes a worker's newest listing.
func (e *Engine) observeInterference(w *worker, now time.Duration) {
	if !e.Settings.Features.Interference {
		return
	}
	var running []interference.Running[backend.RunID]
	for _, r := range w.runs {
		u := r.task.unit
		seen := interference.Running[backend.RunID]{ID: r.id, Kind: kindOf(u), Group: u.id.String(), Usual: e.expectedRunTime(u), Percent: r.percent, Throttle: r.throttlePercent,
			Incomparable: r.phase != runActive || u.step.Gang || u.step.DataRack != "" && w.info.Rack != u.step.DataRack}
		if r.phase == runPlanned || r.phase == runStarting {
			// It disturbs nobody yet.
			seen.Throttle = 0
		}
		if r.isLatencySensitive() {
			// Its samples are of different times, in which its load differs.
			seen.Group = ""
			seen.Latency = r.load / float64(u.step.LatencyTargetMS)
		}
		running = append(running, seen)
	}
	e.takeSamples(e.interference.recorder.Listing(running, speedClass(w.speed), now))
}

// speedClass returns the class of a worker's relative speed; that of the usual speed is 0.
func speedClass(speed float64) int {
	return int(math.Round(math.Log(max(speed, minSpeed)) / math.Log(speedClassRatio)))
}

// minSpeed is the least relative speed that is told apart from others.
const minSpeed = 0.05

// takeSamples adds samples to the table.
func (e *Engine) takeSamples(samples []interference.Sample) {
	for _, s := range samples {
		metrics.GetOrCreateCounter("shallotpin_interference_samples_total").Inc()
		found, cleared := e.interference.table.Observe(s)
		for _, p := range found {
			e.interference.unsaved = true
			metrics.GetOrCreateCounter("shallotpin_interference_pairs_found_total").Inc()
			klog.InfoS("dispatch: tasks slow each other down", "kind", p.Subject, "beside", p.Other, "harm", p.Harm, "observations", p.Observations)
		}
		e.logCleared(cleared)
	}
}

func (e *Engine) logCleared(cleared []interference.Estimate) {
	for _, p := range cleared {
		e.interference.unsaved = true
		klog.InfoS("dispatch: tasks no longer kept apart", "kind", p.Subject, "beside", p.Other, "harm", p.Harm, "observations", p.Observations)
	}
}

// interferenceRecords returns the record of what was learned, if it is due to be written and fits
// into a write that has size bytes already, and counts it as written.
func (e *Engine) interferenceRecords(size int, now time.Duration) []backend.KeyedRecord {
	watch := e.interference
	if !e.Settings.Features.Interference {
		return nil
	}
	e.logCleared(watch.table.Expire(now))
	learned := watch.table.Learned()
	changed := watch.unsaved && (watch.writtenAt == 0 || now-watch.writtenAt >= learnedWriteInterval)
	if outdated := len(learned) > 0 && now-watch.writtenAt >= learnedRefreshInterval; !changed && !outdated {
		return nil
	}
	watch.unsaved, watch.writtenAt = false, now
	pairs := []LearnedPair{}
	for _, p := range learned {
		pairs = append(pairs, LearnedPair{string(p.Subject), string(p.Other), p.Harm, p.Observations, e.UnixMS() - (now - p.At).Milliseconds()})
	}
	record := ledger.LearnedRecord(InterferenceKey, pairs)
	bytes := len(record.Key) + len(record.Value)
	if limit := e.Settings.MaxRecordBytes; limit > 0 && bytes > limit || !e.fitsWrite(size, bytes) {
		watch.unsaved = true
		klog.InfoS("dispatch: pairs of tasks not recorded", "bytes", bytes, "record_limit", limit, "write_bytes", size)
		return nil
	}
	return []backend.KeyedRecord{record}
}

// kindForPlan returns the kind of a unit's running tasks, empty if kinds are not told apart.
func (e *Engine) kindForPlan(u *unit) string {
	if !e.Settings.Features.Interference {
		return ""
	}
	return string(kindOf(u))
}

// markInterference sets the kind of a unit to place, and which kinds harm it or are harmed by it.
func (e *Engine) markInterference(pu *placement.Unit, u *unit) {
	if e.Settings.Features.Interference {
		kind := kindOf(u)
		pu.Kind, pu.Harm = string(kind), e.interference.table.HarmBeside(kind)
	}
}

// logInterference counts the planned starts of tasks that harm others, or are harmed by them, by
// whether they were kept apart, and logs those that were not.
func (e *Engine) logInterference(plan placement.Plan, waiting []*placement.Unit) {
	harmed := map[workload.UnitID]bool{}
	for _, u := range waiting {
		if len(u.Harm) > 0 {
			harmed[u.ID] = true
		}
	}
	for _, a := range plan.Start {
		if !harmed[a.Task.UnitID] {
			continue
		}
		outcome := "apart"
		if a.Harm > 0 {
			outcome = "shared"
			klog.InfoS("dispatch: no room to keep tasks apart", "job", a.Task.Job, "task", a.Task.UnitID.String(), "index", a.Task.Index, "worker", a.Worker, "harm", a.Harm)
		}
		metrics.GetOrCreateCounter(`shallotpin_interference_starts_total{outcome="` + outcome + `"}`).Inc()
	}
}

// expectedLoad returns the worst load of the latency-sensitive tasks on a worker as it will be once
// best-effort tasks that have just started show in it, as far as their harm is known.
func (e *Engine) expectedLoad(w *worker, load float64, now time.Duration) float64 {
	if !e.Settings.Features.Interference {
		return load
	}
	worst := load
	for _, r := range w.runs {
		if !r.isLatencySensitive() || r.phase != runActive {
			continue
		}
		factor := 1.0
		for _, other := range w.runs {
			if other.isBestEffort() && other.phase == runActive && now-other.activeAt < loadFigureSpan && !other.wasThrottled {
				factor += e.interference.table.Harm(kindOf(r.task.unit), kindOf(other.task.unit))
			}
		}
		worst = max(worst, factor*r.load/float64(r.task.unit.step.LatencyTargetMS))
	}
	return worst
}
