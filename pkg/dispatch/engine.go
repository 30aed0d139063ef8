package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/performance"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// View is the state that the engine reads from outside the ledger.
type View struct {
	Config *catalog.Config
	// ZonesOut are the availability zones that are out of service.
	ZonesOut map[string]bool
	// Workers are the workers that the platform lists, by ID.
	Workers map[string]catalog.Worker
	// ConfigAt, WorkersAt and LedgerAt are when the configuration with the zones, the list
	// of workers, and the jobs were last known to be up to date, on the clock of Inputs.Now.
	ConfigAt, WorkersAt, LedgerAt time.Duration
}

// age returns the age of the oldest part of the view.
func (v *View) age(now time.Duration) time.Duration {
	return now - min(v.ConfigAt, v.WorkersAt, v.LedgerAt)
}

// isRecent reports whether tasks may be started on the basis of the view.
func (v *View) isRecent(now time.Duration, s *Settings) bool {
	return v.Config != nil && now-v.ConfigAt <= s.MaxConfigAge && now-v.WorkersAt <= s.MaxWorkersAge && now-v.LedgerAt <= s.MaxLedgerAge
}

// Inputs are the dependencies of an Engine.
type Inputs struct {
	Settings Settings
	Orders   backend.Orders
	// Adviser is nil if no queue is advised.
	Adviser backend.Adviser
	Writer  *ledger.Appender
	// Now is a monotonic clock, UnixMS the time of day.
	Now    func() time.Duration
	UnixMS func() int64
	// View returns the newest view.
	View func() View
	Term ledger.Term
	// ClaimedAt is the send time of the leadership claim.
	ClaimedAt time.Duration
	// EarlierWritesAt is a time by which every confirmed write of earlier leaders had been
	// sent.
	EarlierWritesAt time.Duration
}

// Engine is the leader's state of every job and worker during one term. The state
// belongs to the goroutine of Run; other goroutines may call JobChanged, ViewChanged
// and UpdateSettings.
type Engine struct {
	Inputs
	ctx    context.Context
	events chan func()
	lease  *election.Lease
	jobs   map[string]*job
	// endedAt is when jobs that have ended were removed from jobs. A submission that
	// arrives late must not start them again.
	endedAt map[string]time.Duration
	// workers are the known incarnations of workers by their keys, latest the one of each ID that
	// started last.
	workers, latest map[string]*worker
	view            View
	// foreignRecords are the services of the records under workers' IDs that no worker has made.
	foreignRecords map[string]string
	// lastJobAt is when the last new job arrived, or the term began.
	lastJobAt time.Duration
	// inheritedLeasesEnd is when every lease that an earlier leader granted has ended.
	inheritedLeasesEnd time.Duration
	// settled means that all listed workers have answered in this term; see isSettled.
	settled bool
	// firstCallSlotsUsed counts the recent calls to workers that have not answered in
	// this term; see maxFirstCalls.
	firstCallSlotsUsed int
	// runCount is the number of runs planned in this term.
	runCount  int64
	needsPlan bool
	// lastPlanAt is when the last plan was completed.
	lastPlanAt       time.Duration
	lastPlanDuration time.Duration
	planDurations    *metrics.Histogram
	writeInFlight    bool
	lastWriteAt      time.Duration
	runTimes         map[string]*runTime
	// performance estimates the speeds of workers and the work of tasks; speedClasses are the
	// classes of the workers, classifiedWorkers of them, as of classifiedAt.
	performance       *performance.Model
	speedClasses      []performance.Class
	classifiedAt      time.Duration
	classifiedWorkers int
	// recordedSpeeds is the last record of the estimates, speedsCheckedAt when it was last compared with
	// the present ones.
	recordedSpeeds  performance.Record
	speedsCheckedAt time.Duration
	// crashes are the crashes of workers within crashMemory, by address, and silenced the workers that
	// may have crashed, by ID.
	crashes  map[string]crashTimes
	silenced map[string]silencedWorker
	// adviceInFlight means that a call to the adviser is in flight.
	adviceInFlight bool
	// urgentDemand is the decayed demand of urgent jobs as of urgentDemandAt, in
	// accelerators.
	urgentDemand   float64
	urgentDemandAt time.Duration
	// rackBeyondHeadroom is how many accelerators of a rack the headroom leaves, on
	// average.
	rackBeyondHeadroom int
	// explaining means that Where uses the decisions of a plan, so that nothing may be called or
	// recorded. explainedAt is when it last did.
	explaining  bool
	explainedAt time.Duration
	// interference is what is known of tasks that slow each other down.
	interference *interferenceWatch
	termErr      error
	startWaits   *metrics.Histogram
}

// New returns an engine for one term.
func New(in Inputs) *Engine {
	return &Engine{Inputs: in, events: make(chan func(), eventQueueSize), jobs: map[string]*job{}, endedAt: map[string]time.Duration{}, workers: map[string]*worker{}, latest: map[string]*worker{}, foreignRecords: map[string]string{},
		lease: election.NewLease(in.Settings.Election, in.ClaimedAt), lastWriteAt: in.ClaimedAt, runTimes: map[string]*runTime{}, crashes: map[string]crashTimes{}, silenced: map[string]silencedWorker{}, interference: newInterferenceWatch(), performance: performance.New(),
		planDurations: metrics.GetOrCreateHistogram("shallotpin_plan_seconds"),
		startWaits:    metrics.GetOrCreateHistogram("shallotpin_start_wait_seconds")}
}

// Load initializes the engine from the ledger's state. It must be called once, before
// Run.
func (e *Engine) Load(state *ledger.State) {
	now := e.Now()
	e.view = e.View()
	e.lastJobAt = now
	e.inheritedLeasesEnd = e.EarlierWritesAt + e.Settings.LeaseWindow + e.maxLeaseError()
	e.inheritInterference(state.Learned[InterferenceKey])
	for id, entry := range state.Jobs {
		if entry.Job != nil {
			e.recordUrgentDemand(entry.Job, now)
		}
		e.applyEntry(id, entry, true)
	}
	e.restoreSpeeds(state.Speeds)
	e.dropForeignRecords()
	e.syncWorkers()
}

// maxLeaseError is how much longer than granted a lease may last on the engine's clock, since the
// worker's may run slow.
func (e *Engine) maxLeaseError() time.Duration {
	drift := e.Settings.ClockDrift
	return time.Duration(float64(e.Settings.LeaseDuration)*drift/(1-drift)) + leaseSlack
}

// grantEnd returns until when leases may be granted now, on the engine's clock.
func (e *Engine) grantEnd(now time.Duration) time.Duration {
	return min(now+e.Settings.LeaseDuration, e.lease.ConfirmedAt()+e.Settings.LeaseWindow)
}

// Run schedules jobs until ctx is done or the term ends, and returns the reason.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var planTimer <-chan time.Time
	e.onTick()
	for e.termErr == nil {
		if e.needsPlan && planTimer == nil {
			wait := e.lastPlanAt + max(minPlanInterval, planIdleFactor*e.lastPlanDuration) - e.Now()
			planTimer = time.After(max(0, wait))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-e.events:
			event()
		case <-ticker.C:
			e.onTick()
		case <-planTimer:
			planTimer = nil
			e.planNow()
			e.flush()
		}
	}
	return e.termErr
}

// planNow makes a plan and carries it out.
func (e *Engine) planNow() {
	e.needsPlan = false
	began := e.Now()
	e.plan()
	e.lastPlanAt = e.Now()
	e.lastPlanDuration = e.lastPlanAt - began
	e.planDurations.Update(e.lastPlanDuration.Seconds())
}

// post queues f to run on the engine's goroutine. It blocks while the event queue is
// full, and drops f once the term has ended.
func (e *Engine) post(f func()) {
	select {
	case e.events <- f:
	case <-e.ctx.Done():
	}
}

// JobChanged passes the ledger's newest entry of a job to the engine. The caller must
// not modify the entry's maps and slices afterwards. It blocks while the event queue is full.
func (e *Engine) JobChanged(ctx context.Context, id string, entry ledger.JobEntry) {
	select {
	case e.events <- func() { e.applyEntry(id, &entry, false) }:
	case <-ctx.Done():
	}
}

// ViewChanged makes the engine read the view again. It never blocks: the signal is
// dropped if the event queue is full.
func (e *Engine) ViewChanged() {
	select {
	case e.events <- func() { e.updateView(); e.needsPlan = true }:
	default:
	}
}

// UpdateSettings applies changed settings. Leases and reservations that exist already
// keep their end times. It blocks while the event queue is full.
func (e *Engine) UpdateSettings(ctx context.Context, s Settings) {
	select {
	case e.events <- func() { e.Settings = s; e.lease.UpdateSettings(s.Election) }:
	case <-ctx.Done():
	}
}

// updateView takes over the newest view and its workers.
func (e *Engine) updateView() {
	e.view = e.View()
	e.dropForeignRecords()
	e.syncWorkers()
}

// onTick checks the timeouts.
func (e *Engine) onTick() {
	now := e.Now()
	e.updateView()
	e.checkWorkers(now)
	e.checkSilenced(now)
	e.checkRuns(now)
	e.classifyWorkers(now)
	maps.DeleteFunc(e.crashes, func(_ string, c crashTimes) bool { return now-c.at > crashMemory })
	maps.DeleteFunc(e.endedAt, func(_ string, at time.Duration) bool { return now-at > lateSubmissionTime })
	e.needsPlan = true
	e.flush()
}

// applyEntry updates a job from its ledger entry. inherited is set for jobs that an
// earlier leader may have started.
func (e *Engine) applyEntry(id string, entry *ledger.JobEntry, inherited bool) {
	j := e.jobs[id]
	if entry.Job == nil && j == nil {
		return
	}
	if j == nil {
		if _, ended := e.endedAt[id]; ended || entry.Progress.Phase.Ended() {
			return
		}
		j = e.newJob(entry, inherited)
		e.jobs[id] = j
		if !inherited {
			e.lastJobAt = e.Now()
			e.recordUrgentDemand(j.spec, e.lastJobAt)
		}
		klog.InfoS("dispatch: job taken", "job", id, "queue", j.spec.Queue, "account", j.spec.Account, "steps", len(j.spec.Steps), "inherited_from", j.inherited, "term", e.Term.Number)
	}
	if entry.Progress.Phase.Ended() {
		j.endRecorded = true
	}
	if entry.Cancelled && !j.cancelled {
		j.cancelled = true
		klog.InfoS("dispatch: job cancelled", "job", id)
		e.endJob(j, ledger.Cancelled, "cancelled by the caller")
	}
	e.needsPlan = true
}

// newJob returns the engine's state of a job that has not ended.
func (e *Engine) newJob(entry *ledger.JobEntry, inherited bool) *job {
	spec := entry.Job
	j := &job{spec: spec, progress: entry.Progress, policy: spec.Policy}
	if inherited {
		j.inherited = entry.Progress.TasksByWorker()
	}
	// The engine changes its copy before the change is written to the ledger.
	j.progress.Done = slices.Clone(j.progress.Done)
	j.progress.Checkpoints = map[int]string{}
	maps.Copy(j.progress.Checkpoints, entry.Progress.Checkpoints)
	j.progress.Failures = map[int][]int64{}
	for n, runs := range entry.Progress.Failures {
		j.progress.Failures[n] = slices.Clone(runs)
	}
	j.progress.Crashes = maps.Clone(entry.Progress.Crashes)
	for round := range spec.Rounds() {
		for step := range spec.Steps {
			u := &unit{id: workload.UnitID{Job: spec.ID, Round: round, Step: step}, job: j, step: &spec.Steps[step], avoid: map[string]bool{}}
			for index := range u.step.Count {
				id := workload.TaskID{UnitID: u.id, Index: index}
				n := ledger.TaskNumber(spec, id)
				t := &task{unit: u, id: id, number: n, done: j.progress.Done.Has(n), checkpoint: j.progress.Checkpoints[n]}
				u.tasks = append(u.tasks, t)
				if t.checkpoint != "" {
					u.checkpoint = t.checkpoint
				}
			}
			j.units = append(j.units, u)
		}
	}
	return j
}

// refreshPolicy updates the job's policy from its queue, if the queue still exists.
func (e *Engine) refreshPolicy(j *job) {
	if e.view.Config == nil {
		return
	}
	if q := e.view.Config.Queue(j.spec.Queue); q != nil {
		j.policy = q.Policy
		j.policy.MaxAttempts = max(1, q.MaxAttempts)
	}
}

// endJob sets the job's final phase and stops its remaining runs.
func (e *Engine) endJob(j *job, phase ledger.Phase, why string) {
	if j.progress.Phase.Ended() {
		return
	}
	klog.InfoS("dispatch: job ended", "job", j.spec.ID, "phase", phase, "why", why, "age_ms", e.UnixMS()-j.spec.SubmittedMS)
	metrics.GetOrCreateCounter(`shallotpin_jobs_ended_total{phase="` + string(phase) + `"}`).Inc()
	j.progress.Phase, j.progress.EndedMS, j.unsaved = phase, e.UnixMS(), true
	j.progress.Checkpoints, j.progress.Failures, j.progress.Crashes = nil, nil, nil
	for _, u := range j.units {
		e.performance.EndUnit(u.id)
		u.reserved = nil
		for _, t := range u.tasks {
			// The members of a completed gang end by themselves.
			if t.run != nil && !t.done {
				e.stopRun(t.run, stopJobEnded)
			}
		}
	}
	e.needsPlan = true
}

// flush writes changed jobs to the ledger, or a heartbeat if one is due, one write at
// a time. Once the write is confirmed, the planned runs whose workers it names start.
// flush also deletes jobs whose end is recorded and that have no runs left.
func (e *Engine) flush() {
	if e.writeInFlight || e.ctx == nil {
		return
	}
	now := e.Now()
	for id, j := range e.jobs {
		if !j.unsaved && j.endRecorded && !j.hasRuns() {
			delete(e.jobs, id)
			e.endedAt[id] = now
		}
	}
	records, planned, complete := e.takeChanges()
	if len(records) == 0 && now-e.lastWriteAt < e.Settings.Election.HeartbeatInterval {
		return
	}
	records = append(records, e.takePhases(sizeOf(records))...)
	if len(records) == 0 {
		records = append(records, ledger.TermRecord(e.Term))
	}
	records = append(records, e.interferenceRecords(sizeOf(records), now)...)
	records = append(records, e.takeSpeeds(sizeOf(records), now)...)
	// Ends are recorded once all jobs that they have changed are.
	handled := map[*worker]int64{}
	if complete {
		handled = e.handledEnds()
	}
	e.writeInFlight, e.lastWriteAt = true, now
	go func() {
		sent, err := e.Writer.Write(e.ctx, records...)
		e.post(func() {
			e.writeInFlight = false
			if err != nil {
				e.endTerm(fmt.Errorf("write the leader's records to the ledger: %w", err))
				return
			}
			e.lease.Confirm(sent)
			for w, n := range handled {
				w.endsRecorded = max(w.endsRecorded, n)
				e.renewNow(w)
			}
			e.startPlanned(planned)
			e.needsPlan = true
			if e.Now()-sent > slowWriteTime {
				// The next write takes long, too, so it should have what is planned now.
				e.planNow()
			}
			e.flush()
		})
	}()
}

// takeChanges returns the records of the jobs that differ from the ledger, as many as fit into one
// write but at least those of one job, and the planned runs of these jobs. It reports whether
// none is left.
func (e *Engine) takeChanges() (records []backend.KeyedRecord, planned []*run, complete bool) {
	size, complete := 0, true
	for _, j := range e.jobs {
		if !j.unsaved {
			continue
		}
		changed := e.recordsOf(j)
		if !e.fitsWrite(size, sizeOf(changed)) {
			complete = false
			continue
		}
		j.unsaved, j.phaseUnsaved = false, false
		records, size = append(records, changed...), size+sizeOf(changed)
		planned = j.appendPlanned(planned)
	}
	return records, planned, complete
}

// takePhases returns the records of the jobs of which only the phase differs from the ledger, as
// many as fit into a write that has size bytes already.
func (e *Engine) takePhases(size int) (records []backend.KeyedRecord) {
	for _, j := range e.jobs {
		if !j.phaseUnsaved || j.unsaved {
			continue
		}
		if changed := e.recordsOf(j); e.fitsWrite(size, sizeOf(changed)) {
			j.phaseUnsaved = false
			records, size = append(records, changed...), size+sizeOf(changed)
		}
	}
	return records
}

// fitsWrite reports whether records of the given size may be added to a write that has size bytes
// already.
func (e *Engine) fitsWrite(size, added int) bool {
	limit := e.Settings.MaxWriteBytes
	return limit == 0 || size == 0 || size+added <= limit
}

// sizeOf returns the size of records, in bytes.
func sizeOf(records []backend.KeyedRecord) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// handledEnds returns the number of the last handled end of each worker of which not all are
// recorded.
func (e *Engine) handledEnds() map[*worker]int64 {
	handled := map[*worker]int64{}
	for _, w := range e.workers {
		if w.endsRecorded < w.endsHandled {
			handled[w] = w.endsHandled
		}
	}
	return handled
}

// recordsOf returns the records that store the job's present state.
func (e *Engine) recordsOf(j *job) []backend.KeyedRecord {
	p := j.progress
	p.Term = e.Term.Number
	p.SetTasksByWorker(j.tasksByWorker())
	if p.Phase.Ended() {
		return ledger.EndJob(j.spec.ID, &p)
	}
	r, shortened := ledger.ProgressRecordWithin(j.spec.ID, &p, e.Settings.MaxRecordBytes)
	if shortened && !j.shortenedLogged {
		j.shortenedLogged = true
		klog.InfoS("dispatch: record of a job shortened", "job", j.spec.ID, "bytes", len(r.Value), "limit", e.Settings.MaxRecordBytes, "workers", len(p.Workers), "checkpoints", len(p.Checkpoints))
	}
	return []backend.KeyedRecord{r}
}

// tasksByWorker returns the workers on which the job has runs, including planned and
// possible inherited ones, with the numbers of their tasks; a nil set stands for all.
func (j *job) tasksByWorker() map[string]ledger.Bitmap {
	tasks := map[string]ledger.Bitmap{}
	for key, numbers := range j.inherited {
		tasks[key] = slices.Clone(numbers)
	}
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.run == nil {
				continue
			}
			key := t.run.worker.key
			if numbers, known := tasks[key]; !known || numbers != nil {
				tasks[key] = numbers.With(t.number)
			}
		}
	}
	return tasks
}

// appendPlanned appends the job's planned runs to a list.
func (j *job) appendPlanned(planned []*run) []*run {
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.run != nil && t.run.phase == runPlanned {
				planned = append(planned, t.run)
			}
		}
	}
	return planned
}

func (j *job) hasRuns() bool {
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}

// endTerm makes Run return err, or an earlier error.
func (e *Engine) endTerm(err error) {
	if e.termErr == nil {
		e.termErr = err
	}
}

// errFenced ends a term once a worker has accepted a call of a later leader.
var errFenced = errors.New("a worker has seen a higher term")

// syncWorkers updates the workers from the platform's list.
func (e *Engine) syncWorkers() {
	listed := map[string]bool{}
	for _, info := range e.view.Workers {
		key := workerKey(info)
		listed[key] = true
		w := e.workers[key]
		if w == nil {
			w = e.addWorker(key, info)
		}
		if w.info.Draining != info.Draining {
			klog.InfoS("dispatch: worker draining state changed", "worker", info.ID, "draining", info.Draining, "remaining", info.Remaining, "runs", len(w.runs))
		}
		if w.info.Capacity != info.Capacity {
			klog.InfoS("dispatch: worker capacity changed", "worker", info.ID, "from", w.info.Capacity, "to", info.Capacity, "used", w.used)
		}
		w.info, w.listed = e.ownRecord(w, info), true
		e.notePublishedClock(w)
		if e.ctx != nil && !w.fenced {
			e.renewIfDue(w, e.Now())
		}
	}
	for key, w := range e.workers {
		if listed[key] || !w.listed {
			continue
		}
		w.listed = false
		klog.InfoS("dispatch: worker no longer listed", "worker", w.info.ID, "draining", w.info.Draining, "runs", len(w.runs))
	}
	e.recordReplaced()
	e.replaceEarlier(e.Now())
}
