package memnet

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Lossy describes a link whose delay varies and which loses packets. What a
// connection carries stays in order, as TCP keeps it: a lost packet arrives
// after it is sent again, and holds up all that follows it.
type Lossy struct {
	// Delay is the least one-way delay.
	Delay time.Duration
	// Jitter is the most that varies on top of it.
	Jitter time.Duration
	// Loss is the share of packets lost, below 1.
	Loss float64
	// Retransmit is the time until a lost packet is sent again; it doubles with
	// each further loss of the same packet.
	Retransmit time.Duration
}

// Link returns the delays of l, drawn from rng. The function may be called by
// many goroutines.
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
	for again := l.Retransmit; rng.Float64() < l.Loss; again *= 2 {
		d += again
	}
	return d
}
