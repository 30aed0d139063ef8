package dispatch

import (
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// quotas returns the quotas of the accounts that have a limit in the newest configuration.
// What counts as used is everything that may run: runs until their end is known, also those
// that are only planned or are being stopped, reservations, and tasks that an earlier leader
// started on workers that have not answered.
func (e *Engine) quotas() map[string]*placement.Quota {
	quotas := map[string]*placement.Quota{}
	for i := range e.view.Config.Accounts {
		if a := &e.view.Config.Accounts[i]; a.Limit != (workload.Resources{}) {
			quotas[a.Name] = &placement.Quota{Limit: a.Limit}
		}
	}
	if len(quotas) == 0 {
		return quotas
	}
	for _, j := range e.jobs {
		q := quotas[j.spec.Account]
		if q == nil {
			continue
		}
		for _, u := range j.units {
			for i, t := range u.tasks {
				if t.run != nil {
					q.Used = q.Used.Add(u.step.Need)
					if t.run.phase == runStopping {
						q.Releasing = q.Releasing.Add(u.step.Need)
					}
					continue
				}
				_, unseen := j.unseenOn(t)
				if _, reserved := u.reserved[i]; reserved || unseen && !t.done {
					q.Used = q.Used.Add(u.step.Need)
				}
			}
		}
	}
	return quotas
}

// logOverQuota logs, once for each job, that the limit of its account holds a unit back.
func (e *Engine) logOverQuota(units []workload.UnitID, quotas map[string]*placement.Quota) {
	for _, id := range units {
		j := e.jobs[id.Job]
		if j.overQuotaLogged {
			continue
		}
		j.overQuotaLogged = true
		q := quotas[j.spec.Account]
		klog.InfoS("dispatch: held back by the limit of its account", "job", id.Job, "task", id.String(), "account", j.spec.Account, "config", e.view.Config.Version, "used", q.Used, "limit", q.Limit)
	}
}
