// Package dispatch runs jobs on workers. It is the leader's part of a job's path
// after admission: the Engine tracks the state of every task and worker, carries out
// the decisions of package placement by calls to workers, and records in the ledger
// what a later leader needs.
package dispatch

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/features"
)

// Settings are the engine's time limits and optional parts. All but Features and Election are
// limits of the platform.
type Settings struct {
	// LeaseDuration is how long a worker keeps running tasks without a renewal: the
	// longest lease that the platform grants.
	LeaseDuration time.Duration
	// LeaseWindow is how long after the leader sent its last confirmed write to the log
	// leases may last. It is the longest log outage that running tasks survive, and
	// bounds how long a later leader waits for tasks that it cannot see. It is at least
	// Election.StartWindow and LeaseDuration together: a later incarnation of a worker takes a
	// start for one with the longest lease.
	LeaseWindow time.Duration
	// ClockDrift is the largest fraction by which a worker's clock may run slow.
	ClockDrift float64
	// GangStartTimeout is how long the started members of a gang wait for the others.
	GangStartTimeout time.Duration
	// MaxStopTime is the longest time that stopping a task takes.
	MaxStopTime time.Duration
	// MaxReclaimTime is the longest time until a guaranteed job must have started.
	MaxReclaimTime time.Duration
	// RecordInterval is the time between two records of a worker, 0 if it is not known.
	RecordInterval time.Duration
	// CheckpointInterval is the time between two checkpoints of a task that saves its
	// progress.
	CheckpointInterval time.Duration
	// MaxConfigAge, MaxWorkersAge and MaxLedgerAge are the greatest ages of the parts of
	// the view at which tasks are started. They are less than the times within which
	// nothing more may start in a zone out of service, on a draining worker, or for a
	// cancelled job.
	MaxConfigAge, MaxWorkersAge, MaxLedgerAge time.Duration
	// MaxRecordBytes limits a record of the ledger, MaxWriteBytes the records of one write; 0
	// means no limit.
	MaxRecordBytes, MaxWriteBytes int
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint; 0 means unknown.
	RestoreTime time.Duration
	// Features are the optional parts in use.
	Features features.Set
	// Election configures the leader lease.
	Election election.Settings
}

const (
	// orderTimeout limits a call to a worker: about a hundred round trips within a
	// region, and a fifth of the time that a gang's members wait for each other.
	orderTimeout = 600 * time.Millisecond
	// recordDelayAllowed is how late a worker's record may be before the worker counts as overdue: less
	// than a restart takes.
	recordDelayAllowed = 200 * time.Millisecond
	// startTimeout limits a start or throttle call; it outlasts one lost packet. An
	// unanswered start is resolved by a listing of the worker's runs.
	startTimeout = 300 * time.Millisecond
	// maxGangAbortTimeout limits how long a gang may lack a member before it is
	// aborted: half of the usual time that members wait, which leaves time for the
	// stops.
	maxGangAbortTimeout = 1500 * time.Millisecond
	// renewalWait is how long a worker may hold a renewal open (long poll): a sixth
	// of the lease, so that several renewals may be lost.
	renewalWait = time.Second
	// maxFirstCalls limits the concurrent calls to workers that have not answered in
	// this term. A call counts for at most firstCallSlotTime, about five round trips
	// within a region.
	maxFirstCalls     = 24
	firstCallSlotTime = 50 * time.Millisecond
	// unresponsiveTimeout is how long a call may be unanswered before nothing new
	// starts on the worker: two renewals.
	unresponsiveTimeout = 2 * time.Second
	// renewalStopTimeout is how long a call may be unanswered before the worker's
	// lease is no longer renewed until it answers: one renewal. Every renewal that may
	// have arrived postpones the time at which the tasks may start elsewhere.
	renewalStopTimeout = renewalWait + 100*time.Millisecond
	// renewalRetryDelay is the wait before the next renewal in three cases: the last one
	// failed; only unresolved starts are left; or ended runs are not recorded in the
	// ledger yet, and the worker would list them again at once.
	renewalRetryDelay = 300 * time.Millisecond
	// returnCallInterval is the time between two calls to a worker that has no runs and does
	// not answer: it gets work again within two seconds of its return, and the calls to many
	// such workers cost less than renewals.
	returnCallInterval = 1300 * time.Millisecond
	// minPlanInterval is the least time between two plans, so that events are batched.
	minPlanInterval = 15 * time.Millisecond
	// planIdleFactor is the least time between two plans as a multiple of the last
	// plan's duration, so that planning takes at most a quarter of a processor.
	planIdleFactor = 3
	// eventQueueSize is the capacity of the engine's event queue: the answers of all
	// workers of a large site.
	eventQueueSize = 1024
	// slowWriteTime is the time of a write from which the next one is made after a plan.
	slowWriteTime = 50 * time.Millisecond
	// lateSubmissionTime is how long after its end a job's submission may still arrive:
	// many times as long as a write can take.
	lateSubmissionTime = time.Minute
	// takeoverSettleTime is how long after its claim a leader stops others only for units
	// that must start, while some workers have not answered yet: workers that are gone do
	// not answer at all.
	takeoverSettleTime = 1200 * time.Millisecond
	// checkInterval is how often timeouts are checked.
	checkInterval = 100 * time.Millisecond
	// stallTimeout is how long a run may show no progress: a little more than the
	// time between two renewals.
	stallTimeout = 1100 * time.Millisecond
	// stallPercent is the same limit for longer tasks, in percent of the expected run
	// time. Tasks outside the rack of their data take three times as long.
	stallPercent = 8
	// maxStallDoublings limits the time without progress of tasks that have stalled before: to
	// 35 s for short ones.
	maxStallDoublings = 5
	// startupAllowance extends the stall limit while a run may still wait for its gang
	// or read its checkpoint.
	startupAllowance = 1500 * time.Millisecond
	// minRateSpan is the least time over which a progress rate is measured.
	minRateSpan = 700 * time.Millisecond
	// speedSamplePercent is the progress from which a run counts as a sample of its
	// worker's speed.
	speedSamplePercent = 40
	// minRateSamples is how many runs of a unit are needed for a mean progress rate.
	minRateSamples = 2
	// minSpeedWeight is the least weight of a new sample in the average of a worker's
	// speed.
	minSpeedWeight = 0.15
	// slowRateFactor is the fraction of its best progress rate below which a run
	// counts as slow. Ordinary interference costs less.
	slowRateFactor = 0.4
	// restartGain is the least ratio of a slow run's remaining time to the time of a
	// new run, stop included, at which the run is restarted.
	restartGain = 1.3
	// quarantineTime is how long a worker is quarantined after a first failure:
	// about the run time of the shortest tasks.
	quarantineTime = 3 * time.Second
	// maxQuarantineFactor limits a quarantine to a multiple of quarantineTime: 12 s,
	// which outlasts most faults.
	maxQuarantineFactor = 4
	// urgentTimeConstant is the time constant of the average demand of urgent jobs.
	urgentTimeConstant = 6 * time.Second
	// headroomFactor is the headroom for bursts, as a multiple of the mean demand of
	// urgent jobs during a stop.
	headroomFactor = 4.0
	// maxHeadroomShare limits the headroom, as a fraction of all accelerators.
	maxHeadroomShare = 0.35
	// reclaimMargin is the part of MaxReclaimTime left for the plan, its record and the
	// starts.
	reclaimMargin = 700 * time.Millisecond
	// minArrivalGap is the time without a new job after which free capacity elsewhere is
	// preferred to waiting for a rack: many times the time between two jobs of a busy
	// site.
	minArrivalGap = 4 * time.Second
	// maxLocalityWait limits the wait for free capacity in one rack, or beside the
	// job's data, while most of the site is idle: less than the 3 s that the platform
	// allows.
	maxLocalityWait = 2 * time.Second
	// retryDelay is the wait before a unit is tried again after a refused start or failed
	// advice.
	retryDelay = 100 * time.Millisecond
	// reservationMargin is how long a reservation outlasts MaxStopTime.
	reservationMargin = time.Second
	// minLeaseParts limits how much shorter a lease is for what the worker's clock may be ahead of its
	// bound: to a tenth, so that renewals may still be lost.
	minLeaseParts = 10
	// leaseSlack is added to the end of a lease for late timers.
	leaseSlack = 150 * time.Millisecond
)
