package scheduler

import "github.com/shallotpin/shallotpin/pkg/config"

// evacuateZones stops the attempts in availability zones that are out of
// service, if they can checkpoint and so resume elsewhere. With the objective
// zone-work, all of them are stopped at once. With the objective completion, an
// attempt whose remaining time is less than the cost of a move finishes where it
// is.
func (c *cycle) evacuateZones() {
	for k := range c.snap.Attempts {
		a := &c.snap.Attempts[k]
		if !a.ZoneOut || a.Stopping || !a.Checkpoint {
			continue
		}
		if c.policy.Objective == config.ObjectiveCompletion && a.Remaining < c.policy.MoveCostSeconds {
			continue
		}
		c.preempt(k, "", "stopped with a checkpoint, since its availability zone is out")
	}
}
