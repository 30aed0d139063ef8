// Package eviction decides when sound work is stopped: for a job that waits for its room, or to
// run again on another worker. The leader's dispatch engine calls it with what it knows of the
// work; the decisions depend on nothing else.
package eviction

import (
	"slices"
	"time"
)

// Costs are the times that a stop costs besides the work that it throws away.
type Costs struct {
	// StopTime is the longest time that a stop takes.
	StopTime time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint. If it is 0, that is not
	// known, and half of CheckpointInterval is taken.
	RestoreTime, CheckpointInterval time.Duration
}

// resumeTime returns how long work takes to resume from a checkpoint. A stop writes one, so that
// nothing else is lost.
func (c Costs) resumeTime() time.Duration {
	if c.RestoreTime > 0 {
		return c.RestoreTime
	}
	return c.CheckpointInterval / 2
}

// Run is a run that a stop would end.
type Run struct {
	// Cores is what the run takes, with accelerators counted as cores.
	Cores float64
	// Ran is how long it has run since it began or resumed.
	Ran           time.Duration
	SavesProgress bool
	// EarlierStops is how many runs of the same task were stopped for other jobs before.
	EarlierStops int
	// Members is the size of the run's gang, 1 without one, and Seen of how many of them a run is
	// known. The others may run under the leases of an earlier leader, and end with the gang.
	Members, Seen int
	// Expected is the usual run time of the task.
	Expected time.Duration
}

// Loss returns what stopping the run for another job costs, in core-seconds. The runs of a gang
// that are not known are divided among those that are, and taken to be near their end: the first
// listings of a new leader show a few members of gangs that are all but done. Work that was
// stopped before costs more each time, so that a surge of urgent jobs does not stop the same
// work again and again.
func (c Costs) Loss(r Run) float64 {
	lost := r.Ran
	unseen := max(r.Ran, r.Expected)
	if r.SavesProgress {
		lost, unseen = min(lost, c.resumeTime()), min(unseen, c.resumeTime())
	}
	share := float64(r.Members-r.Seen) / float64(max(1, r.Seen))
	return (lost.Seconds() + share*unseen.Seconds()) * r.Cores * float64(1+r.EarlierStops)
}

// Waiter is a unit of work for which others may be stopped.
type Waiter struct {
	// Guaranteed units have to start within a limit, and DueNow is set once they can't wait any
	// longer. LongRunning units come before work that ends.
	Guaranteed, LongRunning, DueNow bool
	// Settled means that the leader knows what runs on the workers, SinceClaim is for how long it
	// has led.
	Settled    bool
	SinceClaim time.Duration
	// Slack is how much later than now the unit may start and complete in time.
	Slack time.Duration
	// Work is what the unit is going to do, in core-seconds.
	Work float64
	// UsualLimit is the loss that completing in time is worth, in core-seconds.
	UsualLimit float64
}

// Verdict says whether others may be stopped for a unit.
type Verdict struct {
	// Allowed is false if the unit has to wait for room to come free.
	Allowed bool
	// Limit is the largest loss, in core-seconds. It does not bind units that must start.
	Limit float64
	// Reason is for logs.
	Reason string
}

// Reasons of a Verdict.
const (
	ReasonGuarantee = "guarantee"
	ReasonUnsettled = "unsettled"
	ReasonInTime    = "in time"
	ReasonLate      = "late"
)

// firstAnswersTime is how long a new leader waits for answers of the workers before it stops
// others even for units that must start: time for one call that outlasts a lost packet, out of
// the margin that such units have for the plan, its record and the starts.
const firstAnswersTime = 300 * time.Millisecond

// Judge decides whether others may be stopped for a unit. The loads that it answers: a new
// leader finds a queue of urgent jobs while most workers have not answered, so that free room is
// not known, nor what the runs that it knows are part of; and in a shortage, the urgent jobs that
// have waited for too long come first and would stop work that they gain nothing by. For these,
// no more is thrown away than they do themselves.
func (c Costs) Judge(w Waiter) Verdict {
	switch {
	case !w.Settled && !(w.DueNow && w.Guaranteed && w.SinceClaim >= firstAnswersTime):
		return Verdict{Reason: ReasonUnsettled}
	case w.Guaranteed || w.LongRunning:
		return Verdict{true, w.UsualLimit, ReasonGuarantee}
	case w.Slack < c.StopTime:
		return Verdict{true, min(w.UsualLimit, w.Work), ReasonLate}
	default:
		return Verdict{true, w.UsualLimit, ReasonInTime}
	}
}

// Leaving is a run on a worker that is going to be withdrawn.
type Leaving struct {
	// UntilGone is how long the worker stays, Left how much longer the run, or the slowest member
	// of its gang, is expected to take. Measured means that this follows from its progress.
	UntilGone, Left time.Duration
	Measured        bool
	SavesProgress   bool
	// Ran is how long the run has worked.
	Ran time.Duration
}

// doubtfulShare is the share of an expected remaining time that is not measured in which a run may
// yet end: callers' estimates are off by up to nine tenths, and usual run times mix short tasks
// with long ones.
const doubtfulShare = 0.5

// MustLeave decides whether a run is stopped now since its worker is going to be withdrawn. What
// saves its progress runs on until just the time for a stop is left. What doesn't is lost in any
// case unless it ends in time: it runs on if it may, and the wait costs less than its work.
func (c Costs) MustLeave(l Leaving) bool {
	switch {
	case l.SavesProgress:
		return l.UntilGone <= c.StopTime && l.Left > l.UntilGone
	case l.Measured || l.Ran < l.UntilGone:
		return l.Left > l.UntilGone
	default:
		return time.Duration(doubtfulShare*float64(l.Left)) > l.UntilGone
	}
}

// Progress is what is known of the progress of a run.
type Progress struct {
	Cores float64
	// Percent is the progress, and Gained the part of it that was made within Span, the time from
	// the first progress seen to the newest. Idle is the time since then.
	Percent, Gained int
	Span, Idle      time.Duration
	SavesProgress   bool
	// Best is the shortest time for the whole task by the best rate seen, 0 if it is not known.
	Best time.Duration
}

// minGainedPercent is the least progress from which a rate is taken; listings give whole percents.
const minGainedPercent = 5

// wholeTime returns the time for the whole task by the progress made, or 0.
func (p *Progress) wholeTime() time.Duration {
	if p.Gained < minGainedPercent {
		return 0
	}
	return p.Span * 100 / time.Duration(p.Gained)
}

// Move is the decision whether to stop a run without sufficient progress, and its gang, so that it
// starts on other workers.
type Move struct {
	Pays bool
	// Behind is the time by which the run is behind what is usual, and Lost the mean time of
	// work that the move would throw away.
	Behind, Lost time.Duration
	// Usual is the usual time of the whole task.
	Usual time.Duration
}

const (
	// WatchTime is how long a slow run is watched before a move: some percents of progress of a
	// task of ten seconds, and a small part of the time that it has been slow for.
	WatchTime = 500 * time.Millisecond
	// recoveredShare is the share of the usual rate from which a run counts as recovered. Ordinary
	// interference costs less than the rest.
	recoveredShare = 0.4
)

// HasRecovered reports whether a run that was slow has gained as much within span as one that is
// not slow.
func HasRecovered(gained int, span, usual time.Duration) bool {
	return gained > 0 && float64(gained)*usual.Seconds() >= 100*recoveredShare*span.Seconds()
}

// JudgeMove decides whether to move slow, one of members; expected is the usual run time of such
// tasks. Nobody knows for how long a worker stays slow, or a task stands still. Waiting until the
// delay is as long as the work that the move throws away costs at most twice as much as the best
// decision in hindsight. Nothing is lost with work that has not progressed, so that it moves at
// once. The load that it answers: many workers are slow for some seconds, so that every wide gang
// has one of them, and would have one again after the move.
func (c Costs) JudgeMove(slow Progress, members []Progress, expected time.Duration) Move {
	usual := usualTime(slow, members, expected)
	m := Move{Usual: usual}
	gained := usual * time.Duration(slow.Gained) / 100
	m.Behind = slow.Span + slow.Idle - gained
	var lost, cores float64
	for _, p := range members {
		work := usual * time.Duration(p.Percent) / 100
		if p.SavesProgress {
			work = min(work, c.resumeTime())
		}
		lost += (work + c.StopTime).Seconds() * p.Cores
		cores += p.Cores
	}
	if cores > 0 {
		m.Lost = time.Duration(lost / cores * float64(time.Second))
	}
	m.Pays = m.Behind >= m.Lost
	return m
}

// minComparable is the least number of members with a known rate whose median is the usual one.
const minComparable = 3

// usualTime returns the usual time of the whole task: for a gang, the median of its members,
// which have like work and may all be slow by their nature; else by the best rate of the run
// itself.
func usualTime(slow Progress, members []Progress, expected time.Duration) time.Duration {
	var times []time.Duration
	for i := range members {
		if t := members[i].wholeTime(); t > 0 {
			times = append(times, t)
		}
	}
	if len(times) >= minComparable {
		slices.Sort(times)
		return times[len(times)/2]
	}
	if slow.Best > 0 {
		return slow.Best
	}
	if own := slow.wholeTime(); own > 0 {
		return own
	}
	return expected
}
