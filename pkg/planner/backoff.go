package planner

import (
	"math/rand/v2"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/scheduler"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// firstBackoff is the longest wait before a job is planned again after its
	// first plan came to nothing; each further one doubles it up to maxBackoff,
	// which is well below the time in which urgent work has to start.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// backoff keeps jobs whose plans come to nothing, such as on workers that refuse
// reservations, from being planned again at once, so that they neither flood the
// log nor stand before other jobs. It follows from the states that it was shown,
// the times at which it was, and the random source.
type backoff struct {
	rng  *rand.Rand
	jobs map[string]retry
}

// retry is what is known of one job.
type retry struct {
	// plans counts the plans of the job that were seen.
	plans int
	// unstarted counts those in a row that started no task.
	unstarted int
	// until is when the job may be planned again.
	until time.Time
}

func newBackoff(rng *rand.Rand) *backoff {
	return &backoff{rng: rng, jobs: map[string]retry{}}
}

// observe takes in a state as of now.
func (b *backoff) observe(st *state.State, now time.Time) {
	for id, j := range st.Jobs {
		r, known := b.jobs[id]
		switch {
		case j.Phase == api.PhasePending && known && j.Plans > r.plans:
			r.unstarted++
			r.until = now.Add(b.delay(r.unstarted))
			r.plans = j.Plans
		case j.Phase == api.PhasePending && !known:
			r.plans = j.Plans
		case j.Started:
			// Whatever ends this plan, it did not come to nothing.
			r = retry{plans: j.Plans}
		}
		b.jobs[id] = r
	}
	for id := range b.jobs {
		if j := st.Jobs[id]; j == nil || j.Phase.Ended() {
			delete(b.jobs, id)
		}
	}
}

// delay returns the wait after n plans in a row that came to nothing: between
// half of the bound and the whole, so that jobs do not come back all at once.
func (b *backoff) delay(n int) time.Duration {
	bound := firstBackoff
	for ; n > 1 && bound < maxBackoff; n-- {
		bound *= 2
	}
	bound = min(bound, maxBackoff)
	return bound/2 + time.Duration(b.rng.Int64N(int64(bound/2)+1))
}

// due returns the waiting jobs that may be planned now.
func (b *backoff) due(pending []scheduler.Pending, now time.Time) []scheduler.Pending {
	out := pending[:0]
	for i := range pending {
		if !b.jobs[pending[i].ID].until.After(now) {
			out = append(out, pending[i])
		}
	}
	return out
}
