package memnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Lossy describes a link with jitter and packet loss. Data of a connection stays in
// order, as with TCP: a lost packet arrives after its retransmission and delays all
// later data.
type Lossy struct {
	// Delay is the minimum one-way delay.
	Delay time.Duration
	// Jitter is the upper limit of the random delay added to Delay.
	Jitter time.Duration
	// Loss is the probability that a packet is lost; it must be below 1.
	Loss float64
	// Retransmit is the retransmission timeout. It doubles with each further loss of
	// the same packet.
	Retransmit time.Duration
}

// Link returns a function that draws delays of l from rng, for New. It is safe for
// concurrent use.
func (l Lossy) Link(rng *rand.Rand) func(from, to string) time.Duration {
	var mu sync.Mutex
	return func(string, string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return l.draw(rng)
	}
}

func (l Lossy) draw(rng *rand.Rand) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(rng.Int64N(int64(l.Jitter)))
	}
	for timeout := l.Retransmit; rng.Float64() < l.Loss; timeout *= 2 {
		d += timeout
	}
	return d
}
