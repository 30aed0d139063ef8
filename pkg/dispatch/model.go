package dispatch

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// job is a job that has not ended.
type job struct {
	spec *workload.Job
	// inherited are the workers on which an earlier leader may have started tasks.
	inherited []string
	cancelled bool
	progress  ledger.Progress
	// complained says that the wait for inherited was logged.
	complained bool
	// recorded says that the ledger is known to hold the job's end.
	recorded bool
	// unsaved says that progress differs from the ledger.
	unsaved bool
	units   []*unit
	// policy is that of the newest configuration that has the queue, or of the
	// submission.
	policy workload.Policy
	// guaranteed jobs lie within their account's guarantee.
	guaranteed bool
}

// unit is one step of one round of a job.
type unit struct {
	id    workload.UnitID
	job   *job
	step  *workload.Step
	tasks []*task
	// checkpoint is the newest one of a gang's members.
	checkpoint string
	notBefore  time.Duration
	avoid      map[string]bool
	// ampleSince is since when the unit waits beside ample room, 0 if it does not.
	ampleSince time.Duration
	// reserved maps task indices to the workers on which room is awaited.
	reserved      map[int]*worker
	reservedUntil time.Duration
	// aborting says that the gang's present run is being given up.
	aborting  bool
	abortedAt time.Duration
	// gangRun is the number of the gang's present run, and gangSince when its
	// starts were sent.
	gangRun   int64
	gangSince time.Duration
	// tickets are the adviser's, by worker ID, and hold until ticketsUntil; asked are
	// the workers that it was asked about since.
	tickets      map[string]string
	ticketsUntil time.Duration
	asked        map[string]bool
	// paceSum and paces are the paces of the unit's runs, in hundredths a second.
	paceSum float64
	paces   int
}

// task is one task of a unit.
type task struct {
	unit       *unit
	id         workload.TaskID
	number     int
	done       bool
	checkpoint string
	run        *run
}

type runPhase string

const (
	// runPlanned runs hold room until the ledger names their workers.
	runPlanned runPhase = "planned"
	// runStarting runs have an order under way.
	runStarting runPhase = "starting"
	// runActive runs are known to have started.
	runActive runPhase = "active"
	// runUnresolved runs had an order without an answer.
	runUnresolved runPhase = "unresolved"
	// runStopping runs are being stopped.
	runStopping runPhase = "stopping"
)

// run is one start of a task on a worker. It takes room until its end is known.
type run struct {
	id     backend.RunID
	task   *task
	worker *worker
	need   workload.Resources
	phase  runPhase
	// ordered is when the start was sent, active when it was known to run.
	ordered, active time.Duration
	// began is when the work began, estimated for runs of an earlier leader.
	began time.Duration
	// stopConfirmed is when the worker answered a stop; 0 means not yet.
	stopConfirmed time.Duration
	stopCalling   bool
	stopReason    string
	percent       int
	percentSince  time.Duration
	// basePercent and baseSince are the progress from which the run's pace is
	// measured: its start, or the first one seen of a run that was taken over or
	// resumed at a checkpoint.
	basePercent int
	baseSince   time.Duration
	// pace is the best progress seen, slowPace the last one, in hundredths a second;
	// slow says that the last one was much lower.
	pace, slowPace float64
	slow           bool
	// share is the share of its pace, in hundredths, at which the run works; shareKnown
	// says that the worker has confirmed it, shared that it was ever below the whole.
	share      int
	shareKnown bool
	shared     bool
	pacing     bool
	// load is the newest figure of the run's load: see backend.ActiveRun.
	load float64
	// sampled says that the run has told of its worker's speed.
	sampled bool
	// resumed says that the run began at a checkpoint, inherited that an earlier
	// leader started it.
	resumed, inherited bool
}

// whole says whether the run was seen from the start of its task's work, at full pace.
func (r *run) whole() bool { return !r.resumed && !r.inherited && !r.shared }

// activate notes that the run works, with a part of it done already.
func (r *run) activate(percent int, now time.Duration) {
	r.phase, r.active = runActive, now
	r.percent, r.percentSince = percent, now
	r.basePercent, r.baseSince = percent, now
}

// worker is one incarnation of a worker.
type worker struct {
	key  string
	info catalog.Worker
	// listed says that the platform's list has the worker.
	listed bool
	// fenced says that the worker has answered in this term: orders of earlier
	// leaders have no effect there any more, and what runs there is known.
	fenced bool
	// replaced says that another incarnation has answered in the worker's place,
	// though the platform may list the old one for a while.
	replaced bool
	runs     map[workload.TaskID]*run
	used     workload.Resources
	// clock is the worker's clock less the engine's, in milliseconds, a lower bound.
	clock      int64
	clockKnown bool
	// answered is when the worker last answered a call.
	answered time.Duration
	// asked is when the first call was sent that is unanswered, 0 if there is none.
	asked time.Duration
	// leaseEnd is when everything that was ordered has ended unless it was renewed.
	leaseEnd time.Duration
	holding  bool
	looking  bool
	// slot says that a call to the worker counts against maxFirstCalls.
	slot    bool
	holdDue time.Duration
	// seen is the last end handled, noted the last one in the ledger, told the
	// last one that the worker knows to be noted.
	seen, noted, told int64
	closedUntil       time.Duration
	strikes           int
	speed             float64
	samples           int
	// strays are the runs that the worker listed last and that belong to no task.
	strays map[backend.RunID]bool
	// listedClock is the worker's clock in the newest listing.
	listedClock int64
	// listedAt is when the newest listing arrived.
	listedAt time.Duration
}

// current says whether the run is the present one of its task.
func (r *run) current() bool { return r.worker.runs[r.task.id] == r }

// ask notes that a call is sent.
func (w *worker) ask(now time.Duration) {
	if w.asked == 0 {
		w.asked = now
	}
}

// answer notes that the worker has answered a call.
func (w *worker) answer(now time.Duration) { w.answered, w.asked = now, 0 }

// silent says whether the worker leaves calls unanswered.
func (w *worker) silent(now time.Duration) bool { return w.asked != 0 && now-w.asked > contactBound }

func (w *worker) ref() backend.WorkerRef {
	return backend.WorkerRef{ID: w.info.ID, Address: w.info.Address}
}
