package scheduler

import (
	"cmp"
	"slices"
)

// tier orders the queue before anything else.
type tier int

const (
	tierUrgent tier = iota
	tierGuaranteed
	tierOther
)

// minShareFactor and maxShareFactor bound how far an account's fair share can
// move its jobs in the queue.
const (
	minShareFactor = 0.5
	maxShareFactor = 2
)

// ranked is a waiting job and its place in the queue.
type ranked struct {
	job  *Pending
	tier tier
	// value is higher for jobs that go first within a tier.
	value float64
}

// queue returns the waiting jobs in the order in which they get room: urgent
// work within its account's guarantee, other work within it, and then the
// rest. Within these, the wait relative to the expected run time decides, so
// that short jobs go first and none waits for ever, weighted by fair share.
func (c *cycle) queue() []*Pending {
	share := c.shareFactors()
	claimed := map[string]int{}
	order := make([]ranked, len(c.snap.Pending))
	for i := range c.snap.Pending {
		j := &c.snap.Pending[i]
		value := (j.Waited + c.policy.AgeingSeconds) / (j.Estimate + c.policy.AgeingSeconds)
		order[i] = ranked{j, c.tierOf(j, claimed), value * share[j.Spec.Account]}
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.value, a.value))
	})
	out := make([]*Pending, len(order))
	for i := range order {
		out[i] = order[i].job
	}
	return out
}

// tierOf counts the waiting work of an account against its guarantee.
func (c *cycle) tierOf(j *Pending, claimed map[string]int) tier {
	account, need := j.Spec.Account, j.Spec.Total().Accelerators
	if j.Spec.Urgent && need <= c.guaranteed[account] {
		return tierUrgent
	}
	if c.using[account]+claimed[account]+need > c.guaranteed[account] {
		return tierOther
	}
	claimed[account] += need
	return tierGuaranteed
}

// shareFactors returns how far each account is below its fair share of the
// accelerators in use, within bounds.
func (c *cycle) shareFactors() map[string]float64 {
	weights, using := 0, 0
	for account, w := range c.snap.Weights {
		weights += w
		using += c.using[account]
	}
	factors := map[string]float64{}
	for account, w := range c.snap.Weights {
		fair := float64(w) / float64(weights) * float64(using)
		factors[account] = min(maxShareFactor, max(minShareFactor, (fair+1)/(float64(c.using[account])+1)))
	}
	return factors
}
