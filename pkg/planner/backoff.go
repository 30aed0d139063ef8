package planner

import (
	"math/rand/v2"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/scheduler"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// firstBackoff bounds the retry delay of a job after its first plan that starts
	// no task. Each further such plan in a row doubles the bound up to maxBackoff,
	// which is well below the time within which urgent work has to start.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// backoff delays new plans for jobs whose plans start no task, for example because
// workers refuse the reservations. Otherwise such jobs would flood the log and
// keep other jobs from being planned. Its results depend only on the states and
// times passed to observe and on the random source. It is not safe for concurrent
// use.
type backoff struct {
	rng  *rand.Rand
	jobs map[string]jobBackoff
}

// jobBackoff is the backoff state of one job.
type jobBackoff struct {
	// plans is the number of plans of the job at the last observation.
	plans int
	// failedPlans is the number of consecutive plans that started no task.
	failedPlans int
	// until is when the job may be planned again.
	until time.Time
}

func newBackoff(rng *rand.Rand) *backoff {
	return &backoff{rng: rng, jobs: map[string]jobBackoff{}}
}

// observe updates the backoff of every job from a state at the time now.
func (b *backoff) observe(st *state.State, now time.Time) {
	for id, j := range st.Jobs {
		r, known := b.jobs[id]
		switch {
		case j.Phase == api.PhasePending && known && j.Plans > r.plans:
			r.failedPlans++
			r.until = now.Add(b.delay(r.failedPlans))
			r.plans = j.Plans
		case j.Phase == api.PhasePending && !known:
			r.plans = j.Plans
		case j.Started:
			// The plan started a task, so it did not fail, however it ends.
			r = jobBackoff{plans: j.Plans}
		}
		b.jobs[id] = r
	}
	for id := range b.jobs {
		if j := st.Jobs[id]; j == nil || j.Phase.Ended() {
			delete(b.jobs, id)
		}
	}
}

// delay returns the retry delay after n consecutive plans that started no task.
// It is a random value between half of the bound and the bound, so that jobs are
// not all planned again at the same time.
func (b *backoff) delay(n int) time.Duration {
	bound := firstBackoff
	for ; n > 1 && bound < maxBackoff; n-- {
		bound *= 2
	}
	bound = min(bound, maxBackoff)
	return bound/2 + time.Duration(b.rng.Int64N(int64(bound/2)+1))
}

// due returns the jobs of pending whose retry delay has passed. It reuses the
// array of pending.
func (b *backoff) due(pending []scheduler.Pending, now time.Time) []scheduler.Pending {
	out := pending[:0]
	for i := range pending {
		if !b.jobs[pending[i].ID].until.After(now) {
			out = append(out, pending[i])
		}
	}
	return out
}
