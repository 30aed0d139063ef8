package dispatch

import "github.com/shallotpin/shallotpin/pkg/ledger"

// This file decides, without state or a clock, what counts as evidence that a task crashes its workers.
//
//	the start of the run           the crash                               strength
//	listed, or answered            nothing else can have caused it         strong
//	unanswered, worker in touch    nothing else can have caused it         weak
//	unanswered, worker not heard   -                                       none
//	any                            other runs were as new                  none
//	any                            the worker crashes by itself (excused)  none
//
// A crash without strength still shows that the task is suspected, so that it starts apart.

const (
	// maxCrashes is after how many crashes in a row a task is given up, if there is strong evidence
	// for minCrashesAlone of them. The platform allows it after two crashes and forbids the third
	// start after three, so that two more may go unnoticed while leaders change.
	maxCrashes      = 3
	minCrashesAlone = 2
	// maxCrashesUnanswered is the same limit if answers to starts are lost, and so weak evidence counts,
	// too, in all but one: the last crash that the platform allows. A sound task does not get that far
	// for starts that its workers have not carried out.
	maxCrashesUnanswered = 5
	minCrashesEvident    = maxCrashesUnanswered - 1
	// maxExcusedCrashes is how many crashes in a row are not put down to a task because its
	// worker crashes by itself: after an outage, that may be true of every worker.
	maxExcusedCrashes = 2
)

// arrival is what is known of the arrival of a start that its worker has not refused.
type arrival int

const (
	// arrivalUnknown starts were not answered by a worker that was not in touch.
	arrivalUnknown arrival = iota
	// arrivalLikely starts were not answered, but the worker had answered another call just before.
	arrivalLikely
	// arrivalShown starts were answered, or the run was listed.
	arrivalShown
)

// crashEvidence is what was known of a run when its worker was found to have crashed.
type crashEvidence struct {
	arrival arrival
	// alone means that the run was the only suspect, byItself that the worker had crashed without
	// one shortly before.
	alone, byItself bool
}

// addTo returns the count of a task's crashes with one more, of which this is the evidence.
func (c *crashEvidence) addTo(count ledger.CrashCount) ledger.CrashCount {
	count.Total++
	if !c.alone || c.byItself && count.Total <= maxExcusedCrashes {
		return count
	}
	switch c.arrival {
	case arrivalShown:
		count.Alone++
	case arrivalLikely:
		count.Likely++
	}
	return count
}

// isGivenUp reports whether a task with the given crashes in a row is not started again.
func isGivenUp(count ledger.CrashCount) bool {
	return count.Total >= maxCrashes && count.Alone >= minCrashesAlone || count.Total >= maxCrashesUnanswered && count.Alone+count.Likely >= minCrashesEvident
}
