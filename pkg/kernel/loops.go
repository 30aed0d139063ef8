package kernel

import (
	"context"
	"sync"
)

// Loops manages the background goroutines of a service. The zero value is ready to
// use.
type Loops struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start runs each loop in its own goroutine, with a context that Stop cancels.
func (l *Loops) Start(loops ...func(context.Context)) {
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(context.Background())
	for _, loop := range loops {
		l.wg.Go(func() { loop(ctx) })
	}
}

// Go runs fn in a goroutine that Stop waits for. It must be called from a goroutine
// that Start or Go began.
func (l *Loops) Go(fn func()) { l.wg.Go(fn) }

// Stop cancels the context of the loops and waits for every goroutine. It must not be
// called before Start.
func (l *Loops) Stop() {
	l.cancel()
	l.wg.Wait()
}
