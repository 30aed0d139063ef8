package dispatch

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// job is the engine's state of a job that has not ended, or whose end is not yet
// recorded.
type job struct {
	spec *workload.Job
	// inherited are the workers on which tasks that an earlier leader started may run
	// unseen, with the numbers of these tasks; a nil set stands for all of the job.
	inherited map[string]ledger.Bitmap
	cancelled bool
	progress  ledger.Progress
	// waitLogged is set once the wait for the inherited workers has been logged.
	waitLogged bool
	// overQuotaLogged is set once it has been logged that the account's limit holds the job
	// back.
	overQuotaLogged bool
	// shortenedLogged is set once it has been logged that the job's record is shortened.
	shortenedLogged bool
	// endRecorded means that the ledger is known to hold the job's end.
	endRecorded bool
	// unsaved means that progress differs from the ledger.
	unsaved bool
	// phaseUnsaved means that at least the phase differs from the ledger. It is added to the next
	// write, and needs none of its own: a write would delay that of the next plan.
	phaseUnsaved bool
	units        []*unit
	// policy is the queue's in the newest configuration that has the queue, or else
	// that of the submission.
	policy workload.Policy
	// guaranteed jobs fit within their account's guarantee.
	guaranteed bool
}

// unit is one step of one round of a job.
type unit struct {
	id    workload.UnitID
	job   *job
	step  *workload.Step
	tasks []*task
	// checkpoint is the newest one of any of the unit's tasks; gangs resume from it.
	checkpoint string
	notBefore  time.Duration
	// avoid are the IDs of workers on which the unit's tasks failed or stalled.
	avoid map[string]bool
	// ampleCapacitySince is when the unit began to wait although free capacity is ample;
	// 0 if it does not.
	ampleCapacitySince time.Duration
	// passedOverSince is since when plans have made no search for a preemption for the unit, 0 if
	// the last one did or needed none.
	passedOverSince time.Duration
	// stopVerdict is the last logged reason of the verdict on stops for the unit.
	stopVerdict string
	// reserved maps task indices to the workers whose capacity is reserved for them.
	reserved      map[int]*worker
	reservedUntil time.Duration
	// aborting means that the members of the gang's present run are being stopped.
	aborting  bool
	abortedAt time.Duration
	// gangRun is the number of the gang's present run, and gangStartedAt when its
	// starts were sent.
	gangRun       int64
	gangStartedAt time.Duration
	// suspectSurvived means that a suspected task of the unit was cleared, nextSuspectAt is
	// when a suspected task may be placed again before others.
	suspectSurvived bool
	nextSuspectAt   time.Duration
	// tickets are the adviser's, by worker key, and valid until ticketsUntil.
	// advisedWorkers are the workers that it was asked about for this set of tickets.
	tickets        map[string]string
	ticketsUntil   time.Duration
	advisedWorkers map[string]bool
	// rateSum is the sum of the progress rates of rateCount runs of the unit, in percent
	// per second.
	rateSum   float64
	rateCount int
}

// task is one task of a unit.
type task struct {
	unit       *unit
	id         workload.TaskID
	number     int
	done       bool
	checkpoint string
	run        *run
	// preemptions is how many runs of the task were stopped for other jobs in this term.
	preemptions int
	// stalls is how many runs of the task, or of its gang, were stopped as stalled.
	stalls int
}

type runPhase string

const (
	// runPlanned runs hold resources until the ledger names their workers.
	runPlanned runPhase = "planned"
	// runStarting runs have a start call in flight.
	runStarting runPhase = "starting"
	// runActive runs are known to have started.
	runActive runPhase = "active"
	// runUnresolved runs may have started: their start call was not answered.
	runUnresolved runPhase = "unresolved"
	// runStopping runs are being stopped.
	runStopping runPhase = "stopping"
)

// run is one start of a task on a worker. It holds resources until its end is known.
type run struct {
	id     backend.RunID
	task   *task
	worker *worker
	need   workload.Resources
	phase  runPhase
	// orderedAt is when the start was planned or sent, activeAt when the run was first
	// known to be active.
	orderedAt, activeAt time.Duration
	// beganAt is when the work began, estimated for inherited runs.
	beganAt time.Duration
	// stopConfirmedAt is when the worker confirmed a stop; 0 means not yet.
	stopConfirmedAt time.Duration
	stopInFlight    bool
	stopReason      stopReason
	// percent is the newest known progress, and percentAt when it last changed or its
	// measurement began anew.
	percent   int
	percentAt time.Duration
	// basePercent at baseAt is the progress from which the run's remaining time is
	// estimated: its start, the first progress seen of an inherited or resumed run, or
	// the progress at the last change of its throttle.
	basePercent int
	baseAt      time.Duration
	// bestRate is the best progress rate seen, lastRate the last one, in percent per
	// second. slow means that a rate was much lower than bestRate, and none has
	// exceeded bestRate since.
	bestRate, lastRate float64
	slow               bool
	// moveHeld means that a move to another worker would throw away too much so far.
	moveHeld bool
	// watchedAt is since when the run is watched before a move, 0 if it is not, and
	// watchedPercent was its progress then.
	watchedAt      time.Duration
	watchedPercent int
	// throttlePercent is the percentage of full speed at which the run works.
	// throttleConfirmed means that the worker has confirmed it, wasThrottled that it was
	// ever below 100.
	throttlePercent   int
	throttleConfirmed bool
	wasThrottled      bool
	throttleInFlight  bool
	// load is the run's newest load figure; see backend.ActiveRun.
	load float64
	// speedSampled means that the run has been counted in its worker's speed.
	speedSampled bool
	// speedSamples is how many samples of the speed the run has given to package performance.
	speedSamples int
	// resumed means that the run began at a checkpoint, inherited that an earlier
	// leader started it.
	resumed, inherited bool
	// firstSeenClockMS is the worker's clock when it first reported the run, 0 if it has
	// not. survived means that it still did crashWindow later.
	firstSeenClockMS int64
	survived         bool
	// listed means that the worker, which is one incarnation, has listed the run as active. The
	// answer to a start does not tell which incarnation has carried it out.
	listed bool
	// transferred means that the start was sent when an earlier incarnation of the worker was
	// thought to be there.
	transferred bool
	// awaitsAnswer means that the start waits for an answer of the worker.
	awaitsAnswer bool
	// clockBeforeStartMS is the worker's clock in its newest listing when the start was sent.
	clockBeforeStartMS int64
	// crash is the evidence of a crash that is not counted yet, nil if there is none.
	crash *crashEvidence
	// crashCounted means that a crash has been counted for the run.
	crashCounted bool
}

// isRepresentative reports whether the run covers its task's work from the start, at
// full speed, so that its times can be compared with those of other runs.
func (r *run) isRepresentative() bool { return !r.resumed && !r.inherited && !r.wasThrottled }

// activate marks the run as active with percent of its work done.
func (r *run) activate(percent int, now time.Duration) {
	r.phase, r.activeAt = runActive, now
	r.percent, r.percentAt = percent, now
	r.basePercent, r.baseAt = percent, now
}

// worker is one incarnation of a worker.
type worker struct {
	key  string
	info catalog.Worker
	// knownAt is when the incarnation became known, by the platform's list or by an answer.
	knownAt time.Duration
	// listed means that the platform's list has the worker.
	listed bool
	// fenced means that the worker has answered in this term and listed all that it has: it
	// rejects calls of earlier leaders, and its runs and ends are known.
	fenced bool
	// replaced means that another incarnation, or a worker with another ID, has answered in the
	// worker's place. The platform may list the old one for a while.
	replaced bool
	// clockWentBack means that the clock in an answer to a start was behind that of an earlier
	// listing, so that a later incarnation must have answered.
	clockWentBack bool
	// crashed means that recordCrash has handled the end of the incarnation.
	crashed bool
	runs    map[workload.TaskID]*run
	used    workload.Resources
	clock   workerClock
	// contradictionLogged means that a record that contradicts the worker's answers has been logged.
	contradictionLogged bool
	// answeredAt is when the worker last answered a call.
	answeredAt time.Duration
	// unansweredSince is when the earliest unanswered call was sent, 0 if there is none.
	unansweredSince time.Duration
	// lastError is the error of the newest call that was not answered, nil after an answer.
	// silenceLogged means that the silence has been logged.
	lastError     error
	silenceLogged bool
	// brokenAt is when a call first failed since the last answer because the worker closed
	// or refused the connection, 0 if none has.
	brokenAt time.Duration
	// leaseEnd is when the leases of all runs will have ended unless renewed.
	leaseEnd        time.Duration
	renewalInFlight bool
	listingInFlight bool
	// hasFirstCallSlot means that a call to the worker counts against maxFirstCalls.
	hasFirstCallSlot bool
	renewalDue       time.Duration
	// The worker numbers its ended runs: endsHandled is the last one handled,
	// endsRecorded the last one in the ledger, endsAcknowledged the last one that the
	// worker may forget.
	endsHandled, endsRecorded, endsAcknowledged int64
	// moreEnds means that the newest listing may lack some ends; see backend.Listing.
	moreEnds bool
	// quarantinedUntil is when new tasks may start on the worker again. failures counts
	// the failures since a task last completed there, up to maxQuarantineFactor.
	quarantinedUntil time.Duration
	failures         int
	// silence is the present one if the worker was quarantined for it.
	silence silence
	// speed is the worker's relative speed, where 1 is usual: the moving average of
	// speedSamples samples.
	speed        float64
	speedSamples int
	// orphans are the runs in the worker's newest listing that belong to no task.
	orphans map[backend.RunID]bool
	// listingClockMS is the worker's clock in the newest listing.
	listingClockMS int64
	// listingAt is when the newest listing arrived.
	listingAt time.Duration
}

// newWorker returns an incarnation that becomes known now.
func newWorker(key string, info catalog.Worker, now time.Duration) *worker {
	return &worker{key: key, info: info, knownAt: now, runs: map[workload.TaskID]*run{}, orphans: map[backend.RunID]bool{}, speed: 1, answeredAt: now}
}

// silence is a time in which a worker answers no call.
type silence struct {
	// since is the worker's unansweredSince.
	since time.Duration
	// quarantinedBefore and failuresBefore are the worker's quarantinedUntil and failures before
	// the silence.
	quarantinedBefore time.Duration
	failuresBefore    int
}

// isCurrent reports whether the run is still the one recorded for its task on its worker.
func (r *run) isCurrent() bool { return r.worker.runs[r.task.id] == r }

// noteCall records that a call is sent.
func (w *worker) noteCall(now time.Duration) {
	if w.unansweredSince == 0 {
		w.unansweredSince = now
	}
}

// noteAnswer records that the worker has answered a call.
func (w *worker) noteAnswer(now time.Duration) {
	w.answeredAt, w.unansweredSince, w.brokenAt = now, 0, 0
	w.silence, w.lastError, w.silenceLogged = silence{}, nil, false
}

// noteError records a failed call.
func (w *worker) noteError(err *backend.OrderError, now time.Duration) {
	if err.Kind != backend.OrderUnanswered {
		w.noteAnswer(now)
		return
	}
	w.lastError = err
	if err.Broken && w.brokenAt == 0 {
		w.brokenAt = now
	}
}

// isUnresponsive reports whether a call has been unanswered for longer than
// unresponsiveTimeout.
func (w *worker) isUnresponsive(now time.Duration) bool {
	return w.unansweredSince != 0 && now-w.unansweredSince > unresponsiveTimeout
}

func (w *worker) ref() backend.WorkerRef {
	return backend.WorkerRef{ID: w.info.ID, Address: w.info.Address}
}
