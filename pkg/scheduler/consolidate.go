package scheduler

// consolidate frees capacity for a wide gang at once by stopping attempts with
// a checkpoint; they resume in gaps that the wide gang cannot use. It chooses
// the group in which the least work is lost. The attempts that it stops hold at
// most MaxConsolidationShare of the accelerators that the gang needs. It
// reports whether it found a group.
func (c *cycle) consolidate(j *Pending) bool {
	if !c.isWide(j) {
		return false
	}
	// Free capacity only shrinks within a cycle, so the search is skipped for a
	// gang with the same key as one that found no group, unless it ranks higher.
	key, rank := keyOf(j), c.rank(j.Spec.Account, j.Waited, j.Estimate)
	if highest, found := c.unconsolidated[key]; found && rank <= highest {
		return false
	}
	allowed := int(c.policy.MaxConsolidationShare * float64(j.Spec.Total().Accelerators))
	var best *reservation
	for _, group := range c.spans(j.Spec.Within) {
		if c.idleAccelerators(group) < j.Spec.Total().Accelerators-allowed {
			continue
		}
		found := c.reservationIn(group, j, 0, c.policy.ConsolidationLimits)
		if found == nil || c.accelerators(found.victims) > allowed {
			continue
		}
		if best == nil || found.cost < best.cost {
			best = found
		}
	}
	if best == nil {
		c.unconsolidated[key] = rank
		return false
	}
	c.preemptForWide(best.victims, j)
	c.reserveWorkers(best)
	return true
}

// accelerators returns the total number of accelerators that attempts hold.
func (c *cycle) accelerators(attempts []int) int {
	sum := 0
	for _, k := range attempts {
		sum += c.snap.Attempts[k].accelerators()
	}
	return sum
}

// idleAccelerators returns how many accelerators of a group are free or held by
// attempts that are being stopped.
func (c *cycle) idleAccelerators(group span) int {
	sum := 0
	for i := group.start; i < group.end; i++ {
		sum += max(0, c.snap.Workers[i].Free.Accelerators+c.releasing[i].Accelerators)
	}
	return sum
}
