package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// adviceTimeout limits a call to the adviser, which takes time for each worker
	// in the request and serves one caller at a time.
	adviceTimeout = 5 * time.Second
	// maxWorkersPerAdvice limits the workers in one call, since each adds to its
	// duration.
	maxWorkersPerAdvice = 30
	// ticketMargin is the validity that a ticket must have left for the plan and the start.
	ticketMargin = 300 * time.Millisecond
)

// ensureTickets reports whether the unit has valid tickets, and requests some if not.
func (e *Engine) ensureTickets(u *unit, now time.Duration) bool {
	if len(u.tickets) > 0 && now+ticketMargin < u.ticketsUntil {
		return true
	}
	if now+ticketMargin >= u.ticketsUntil && !e.explaining {
		u.tickets, u.advisedWorkers = nil, nil
	}
	e.requestAdvice(u, now)
	return false
}

// ticketKeys returns the keys of the workers for which the unit has tickets.
func (u *unit) ticketKeys() map[string]bool {
	keys := map[string]bool{}
	for key := range u.tickets {
		keys[key] = true
	}
	return keys
}

// adviseUnplaced requests tickets for further workers for advised units that could not be
// placed.
func (e *Engine) adviseUnplaced(unplaced []workload.UnitID) {
	for _, id := range unplaced {
		if u := e.unitOf(id); u.job.policy.Advised {
			e.requestAdvice(u, e.Now())
		}
	}
}

// requestAdvice asks the adviser which workers may run the unit: first those beside its
// data, then those with the most free accelerators. Only one call is in flight at a time.
func (e *Engine) requestAdvice(u *unit, now time.Duration) {
	if e.adviceInFlight || e.Adviser == nil || e.explaining {
		return
	}
	var candidates []*worker
	for _, w := range e.workers {
		if w.info.Service == u.job.policy.Service && !u.advisedWorkers[w.key] && e.isSchedulable(w, now) && u.step.Demand().Fits(w.info.Capacity) &&
			(u.step.Label == "" || w.info.HasLabel(u.step.Label)) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		if u.advisedWorkers != nil {
			// The adviser was asked about all of them; it is asked again once the
			// tickets expire.
			u.notBefore = now + retryDelay
		}
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(u.dataDistance(a), u.dataDistance(b)),
			cmp.Compare(b.info.Capacity.Sub(b.used).Accelerators, a.info.Capacity.Sub(a.used).Accelerators),
			cmp.Compare(a.key, b.key))
	})
	candidates = candidates[:min(len(candidates), maxWorkersPerAdvice)]
	var ids []string
	for _, w := range candidates {
		ids = append(ids, w.info.ID)
	}
	e.adviceInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		defer cancel()
		advice, err := e.Adviser.Advise(ctx, u.id, ids)
		e.post(func() { e.onAdvice(u, candidates, advice, err) })
	}()
}

// dataDistance returns 0 for workers in the rack of the unit's data and 1 for others.
func (u *unit) dataDistance(w *worker) int {
	if u.step.DataRack == "" || w.info.Rack == u.step.DataRack {
		return 0
	}
	return 1
}

// onAdvice stores the tickets of the adviser's answer. A ticket holds for the incarnation that was
// there when the adviser was asked.
func (e *Engine) onAdvice(u *unit, asked []*worker, advice backend.Advice, err error) {
	now := e.Now()
	e.adviceInFlight, e.needsPlan = false, true
	klog.InfoS("dispatch: advice", "job", u.id.Job, "task", u.id.String(), "asked", len(asked), "good", len(advice.Tickets), "valid", advice.ValidFor, "err", err)
	if err != nil {
		u.notBefore = now + retryDelay
		return
	}
	if u.advisedWorkers == nil {
		u.advisedWorkers, u.tickets = map[string]bool{}, map[string]string{}
		u.ticketsUntil = now + advice.ValidFor
	}
	u.ticketsUntil = min(u.ticketsUntil, now+advice.ValidFor)
	for _, w := range asked {
		u.advisedWorkers[w.key] = true
		if ticket := advice.Tickets[w.info.ID]; ticket != "" {
			u.tickets[w.key] = ticket
		}
	}
}
