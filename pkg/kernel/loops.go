package kernel

import (
	"context"
	"sync"
)

// Loops runs the goroutines of a service from its start to its stop. The zero
// value is ready to use.
type Loops struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start runs each loop in a goroutine of its own, with a context that ends at Stop.
func (l *Loops) Start(loops ...func(context.Context)) {
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	for _, loop := range loops {
		l.wg.Go(func() { loop(ctx) })
	}
}

// Go runs fn in a goroutine that Stop waits for. It must be called by a loop, or
// by what another Go runs.
func (l *Loops) Go(fn func()) { l.wg.Go(fn) }

// Stop ends the context of the loops and waits for every goroutine.
func (l *Loops) Stop() {
	l.cancel()
	l.wg.Wait()
}
