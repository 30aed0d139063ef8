// Package routing chooses the upstream for a short request, and says which of
// the upstreams' slots belong to which node. It is pure: the candidates, their
// load, the time and the random source are passed in.
package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is an upstream that may take the request.
type Candidate struct {
	ID       string
	Zone     string
	InFlight int
	// Limit is how many requests this node may run on the upstream at once.
	Limit int
	// Latency is how long the upstream takes to answer this node.
	Latency time.Duration
}

// cost grows with latency and with the share of the limit in use.
func (c *Candidate) cost() float64 {
	return float64(c.Latency+time.Millisecond) * float64(c.InFlight+1) / float64(c.Limit)
}

// Choose picks the cheaper of two random candidates with room. It returns the
// index, or -1 if none has room.
func Choose(candidates []Candidate, rng *rand.Rand) int {
	var open []int
	for i, c := range candidates {
		if c.InFlight < c.Limit {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	a, b := open[rng.IntN(len(open))], open[rng.IntN(len(open))]
	if candidates[b].cost() < candidates[a].cost() {
		return b
	}
	return a
}
