package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// tier is the primary sort key of the queue; lower tiers go first.
type tier int

const (
	tierHasPreemptedUrgent tier = iota
	tierUrgent
	tierHasPreempted
	tierGuaranteed
	tierWaitedLong
	tierOther
)

// minShareFactor and maxShareFactor bound the effect of an account's fair share
// on the rank of its jobs.
const (
	minShareFactor = 0.7
	maxShareFactor = 1.4
)

// ranked is a waiting job with its sort keys in the queue.
type ranked struct {
	job  *Pending
	tier tier
	// rank orders the jobs of a tier, highest first.
	rank float64
}

// queue returns the waiting jobs in the order in which they are scheduled:
// urgent gangs for which others were stopped, other urgent work within its
// account's guarantee, other gangs for which others were stopped, other work
// within a guarantee, wide gangs that have waited long, and the rest. Within a
// tier, jobs are ordered by the wait relative to the expected run time, weighted
// by fair share, so that short jobs go first and no job starves.
func (c *cycle) queue() []*Pending {
	counted := map[string]int{}
	order := make([]ranked, len(c.snap.Pending))
	for i := range c.snap.Pending {
		j := &c.snap.Pending[i]
		order[i] = ranked{j, c.tierOf(j, counted), c.rank(j.Spec.Account, j.Waited, j.Estimate)}
	}
	slices.SortStableFunc(order, compareRanked)
	c.promote(order)
	out := make([]*Pending, len(order))
	for i := range order {
		out[i] = order[i].job
	}
	return out
}

// promote moves up to MaxReservations wide gangs that have waited long ahead of
// other work outside the guarantees, since smaller gangs would otherwise always
// take the free capacity first.
func (c *cycle) promote(order []ranked) {
	left := c.policy.MaxReservations
	for i := range order {
		if order[i].tier == tierOther && left > 0 && c.waitedLong(order[i].job) {
			order[i].tier, order[i].rank = tierWaitedLong, order[i].job.Waited
			left--
		}
	}
	slices.SortStableFunc(order, compareRanked)
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.rank, a.rank))
}

// waitedLong reports whether j is a wide gang that has waited long enough for a
// reservation.
func (c *cycle) waitedLong(j *Pending) bool {
	return j.Waited >= max(c.policy.ReserveAfterSeconds, c.policy.ReserveWaitRatio*j.Estimate) && c.isWide(j)
}

// rank returns the rank of a job of account within its tier, higher for jobs
// that go first. waited is how long it has waited, and remaining is its expected
// remaining run time, both in seconds.
func (c *cycle) rank(account string, waited, remaining float64) float64 {
	ageing := c.policy.AgeingSeconds
	return (waited + ageing) / math.Pow(remaining+ageing, c.policy.ShortJobExponent) * c.shareFactor[account]
}

// tierOf returns the tier of j. counted holds, for each account, the accelerators
// of its waiting jobs that were already counted against its guarantee; tierOf adds
// those of j if j goes into tierGuaranteed.
func (c *cycle) tierOf(j *Pending, counted map[string]int) tier {
	account, need := j.Spec.Account, j.Spec.Total().Accelerators
	if j.HasPreempted && j.Spec.Urgent {
		return tierHasPreemptedUrgent
	}
	if j.Spec.Urgent && need <= c.guaranteed[account] {
		return tierUrgent
	}
	if j.HasPreempted {
		return tierHasPreempted
	}
	if c.inUse[account]+counted[account]+need > c.guaranteed[account] {
		return tierOther
	}
	counted[account] += need
	return tierGuaranteed
}

// shareFactors returns the ratio of each account's fair share of the
// accelerators in use to what it uses, within minShareFactor and maxShareFactor.
func (c *cycle) shareFactors() map[string]float64 {
	weights, using := 0, 0
	for account, w := range c.snap.Weights {
		weights += w
		using += c.inUse[account]
	}
	factors := map[string]float64{}
	for account, w := range c.snap.Weights {
		fair := float64(w) / float64(weights) * float64(using)
		factors[account] = min(maxShareFactor, max(minShareFactor, (fair+1)/(float64(c.inUse[account])+1)))
	}
	return factors
}
