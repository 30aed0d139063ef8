// Package routing chooses the upstream for a short request, and divides the
// upstreams' slots among the nodes; an upstream has a slot for each request that
// it can run at a time. The package does no I/O and reads no clock: the candidates,
// their load, the time and the random source are passed in.
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
	// Limit is the maximum number of requests of this node in flight on the upstream.
	Limit int
	// Latency is the average time that the upstream takes to answer this node.
	Latency time.Duration
}

// cost increases with the latency and with the share of the limit in use.
func (c *Candidate) cost() float64 {
	return float64(c.Latency+time.Millisecond) * float64(c.InFlight+1) / float64(c.Limit)
}

// Choose returns the index of the cheaper of two random candidates below their
// limit, or -1 if there is none.
func Choose(candidates []Candidate, rng *rand.Rand) int {
	var eligible []int
	for i, c := range candidates {
		if c.InFlight < c.Limit {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return -1
	}
	a, b := eligible[rng.IntN(len(eligible))], eligible[rng.IntN(len(eligible))]
	if candidates[b].cost() < candidates[a].cost() {
		return b
	}
	return a
}
