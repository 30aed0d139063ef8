package requests_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

const (
	// outage is the length of the store outage that the issue names.
	outage = 10 * time.Minute
	// wantKeyed and wantUnkeyed are the aims of the issue.
	wantKeyed, wantUnkeyed = 0.95, 0.99
)

// TestStoreOutage measures the share of requests answered through an outage of
// the log in which one entry VM is lost. The balancer learns of the loss at once.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 6
		f := newFixture(t, entries, 7, 20*time.Millisecond)
		f.Log.SetFaults(standin.LogFaults{Down: true})
		rng := rand.New(rand.NewPCG(7, 7))
		var wg sync.WaitGroup
		var mu sync.Mutex
		sent, answered := map[bool]int{}, map[bool]int{}
		for n, began := 0, time.Now(); time.Since(began) < outage; n++ {
			time.Sleep(200 * time.Millisecond)
			if n == 1000 {
				f.Lose(entries - 1)
			}
			live := entries
			if n >= 1000 {
				live--
			}
			i, keyed := rng.IntN(live), n%2 == 0
			wg.Go(func() {
				ok := false
				if keyed {
					ok = f.quote(i, fmt.Sprintf("k%d", n)) == api.Ran
				} else {
					ok = f.price(i)
				}
				mu.Lock()
				defer mu.Unlock()
				sent[keyed]++
				if ok {
					answered[keyed]++
				}
			})
		}
		wg.Wait()
		f.Log.SetFaults(standin.LogFaults{})
		keyed, unkeyed := share(answered[true], sent[true]), share(answered[false], sent[false])
		t.Logf("keyed_answered_share %.4f of %d, unkeyed_answered_share %.4f of %d", keyed, sent[true], unkeyed, sent[false])
		if keyed < wantKeyed || unkeyed < wantUnkeyed {
			t.Errorf("keyed %.4f, want %.2f; unkeyed %.4f, want %.2f", keyed, wantKeyed, unkeyed, wantUnkeyed)
		}
		f.check()
	})
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func (f *fixture) price(i int) bool {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	_, err := f.Client(i).Request(ctx, &api.Request{Account: "yard-agents", Service: "stave-desk", Class: "price-check", Idempotent: true, Body: []byte("price")})
	return err == nil
}
