// Package routing chooses the upstream for a short request. It is pure: the
// candidates, their load and the random source are passed in.
package routing

import "math/rand/v2"

// Candidate is an upstream that may take the request.
type Candidate struct {
	ID       string
	Zone     string
	InFlight int
	// Limit is how many requests this node may run on the upstream at once.
	Limit int
}

// Choose picks the less loaded of two random candidates with room. It returns
// the index, or -1 if none has room.
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
	if candidates[b].InFlight*candidates[a].Limit < candidates[a].InFlight*candidates[b].Limit {
		return b
	}
	return a
}
