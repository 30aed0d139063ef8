package memnet

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLossyDelays wants the delays within their bounds and the share of losses
// near the one asked for.
func TestLossyDelays(t *testing.T) {
	const draws = 20_000
	l := Lossy{Delay: 4 * time.Millisecond, Jitter: 6 * time.Millisecond, Loss: 0.1, Retransmit: 200 * time.Millisecond}
	link := l.Link(rand.New(rand.NewPCG(1, 1)))
	lost := 0
	for range draws {
		switch d := link("a", "b"); {
		case d >= l.Delay+l.Retransmit:
			lost++
		case d < l.Delay || d >= l.Delay+l.Jitter:
			t.Fatalf("a delay of %v", d)
		}
	}
	if share := float64(lost) / draws; share < 0.09 || share > 0.11 {
		t.Errorf("%.3f of the packets were lost, want about 0.1", share)
	}
}
