package scheduler

// consolidate makes room for a wide gang at once by stopping smaller gangs with
// a checkpoint, which resume in holes that the wide gang cannot use. It takes
// the group in which the least work is lost, and never stops more than
// MoveShare of what the gang needs.
func (c *cycle) consolidate(j *Pending) bool {
	if !c.wide(j) {
		return false
	}
	allowed := int(c.policy.MoveShare * float64(j.Spec.Total().Accelerators))
	var best *reservation
	for _, group := range c.spans(j.Spec.Within) {
		found := c.drainIn(group, j, 0, c.policy.Move)
		if found == nil || c.accelerators(found.victims) > allowed {
			continue
		}
		if best == nil || found.cost < best.cost {
			best = found
		}
	}
	if best == nil {
		return false
	}
	c.displace(best.victims, j)
	c.hold(best)
	return true
}

// accelerators returns how many accelerators attempts hold together.
func (c *cycle) accelerators(attempts []int) int {
	sum := 0
	for _, k := range attempts {
		sum += c.snap.Attempts[k].accelerators()
	}
	return sum
}
