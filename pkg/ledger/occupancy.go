package ledger

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/occupancy"
)

// Occupancy is what the accepted jobs take on each node.
type Occupancy struct {
	// Bytes is what they take, Limit what they may take, AccountBytes what those of the account
	// in question do.
	Bytes, Limit, AccountBytes int64
	// RetryAfter is when a claim that does not fit now may be tried again.
	RetryAfter time.Duration
}

// Holding is what a node can hold of accepted jobs.
type Holding struct {
	// Limit is its size in bytes.
	Limit int64
	// Accounts returns the number of client accounts.
	Accounts func() int
}

// lockBounds locks the replica and returns what bounds the accepted jobs: the smallest node, since
// each holds them all.
func (r *Replica) lockBounds() occupancy.Bounds {
	b := occupancy.Bounds{Limit: r.holding.Limit, Accounts: r.holding.Accounts()}
	r.mu.Lock()
	for _, other := range r.state.Limits {
		if other > 0 {
			b.Limit = min(b.Limit, other)
		}
	}
	return b
}

// Admits reports whether all nodes can hold a claim beside the jobs in the ledger, and, if not,
// what holds their place at the given time.
func (r *Replica) Admits(c occupancy.Claim, now time.Duration) (bool, Occupancy) {
	b := r.lockBounds()
	defer r.mu.Unlock()
	if r.holds(c) || r.state.occupancy.Admits(c, b) {
		return true, Occupancy{}
	}
	return false, r.occupied(c, b, now)
}

// Reserve is Admits that also counts the claim until the replica has read the job or
// CancelReservation is called.
func (r *Replica) Reserve(c occupancy.Claim, now time.Duration) (bool, Occupancy) {
	b := r.lockBounds()
	defer r.mu.Unlock()
	if r.holds(c) || r.state.occupancy.Reserve(c, b, now) {
		return true, Occupancy{}
	}
	return false, r.occupied(c, b, now)
}

// holds reports whether the ledger has what a claim is for. It must be called with mu held.
func (r *Replica) holds(c occupancy.Claim) bool {
	e := r.state.Jobs[c.Job]
	return e != nil && (e.WasSubmitted() || c.Bytes <= e.bytes)
}

// CancelReservation takes back a reservation: the ledger certainly does not get the record.
func (r *Replica) CancelReservation(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.occupancy.Release(job)
}

func (r *Replica) occupied(c occupancy.Claim, b occupancy.Bounds, now time.Duration) Occupancy {
	t := r.state.occupancy
	return Occupancy{Bytes: t.Total(), Limit: b.Limit, AccountBytes: t.Held(c.Account), RetryAfter: t.RetryAfter(c, b, now)}
}

// OccupiedBytes returns what accepted jobs take, and what they may take.
func (r *Replica) OccupiedBytes() (bytes, limit int64) {
	b := r.lockBounds()
	defer r.mu.Unlock()
	return r.state.occupancy.Total(), b.Limit
}
