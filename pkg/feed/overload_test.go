package feed

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/simsite"
)

// The followers of a topic of large records fall behind while the log is silent, and requests
// wait for newer records at all of them when it is back. What they ask for is more than the log
// reads in time; it refuses what would wait for more than 2 s. All followers must have the
// newest record soon: the log must not be kept busy with pages that nobody waits for any more.
func TestFollowersOfAnOverloadedLogCatchUp(t *testing.T) {
	for name, superseding := range map[string]bool{"all records": false, "newest records": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					followers  = 97
					recordSize = 500_000
					// The log reads one record for all followers in 0.6 s.
					readRate = 80_000_000
					// A page has at most 1 MB.
					pageSize = 2
					// interval is the time between two records.
					interval = 1700 * time.Millisecond
				)
				ctx, cancel := context.WithCancel(t.Context())
				log := simsite.NewLog()
				log.SetReadRate(readRate)
				log.SetPageSize(pageSize)
				log.Put(version(1, recordSize))
				var running sync.WaitGroup
				sinks, clients := make([]*versions, followers), make([]*simsite.Client, followers)
				for i := range followers {
					sinks[i], clients[i] = &versions{}, log.Client()
					clients[i].SetLinkRate(2_500_000)
					s := testSettings()
					s.Superseding = superseding
					f := New(clients[i], s, sinks[i])
					running.Go(func() { f.Run(ctx) })
					running.Go(func() {
						for {
							select {
							case <-time.After(200 * time.Millisecond):
							case <-ctx.Done():
								return
							}
							if at, ready := f.ConfirmedAt(); ready && s.Now()-at > 1250*time.Millisecond && !f.LastReadFailed() {
								wait, done := context.WithTimeout(ctx, 500*time.Millisecond)
								_ = f.AwaitConfirmed(wait, s.Now()-1250*time.Millisecond)
								done()
							}
						}
					})
				}
				time.Sleep(3 * time.Second)
				for n := 2; n <= 12; n++ {
					for _, client := range clients {
						switch n {
						case 3:
							client.SetFault(simsite.LogSilent)
						case 7:
							client.SetFault(simsite.LogHealthy)
						}
					}
					log.Put(version(n, recordSize))
					time.Sleep(interval)
				}
				last := time.Now().Add(-interval)
				time.Sleep(30 * time.Second)
				cancel()
				running.Wait()
				// Up to 2 s of pages wait already, and the newest record takes 0.6 s for all.
				// A follower may be refused, and come back after its delay.
				const limit = 5 * time.Second
				late := 0
				for _, sink := range sinks {
					if sink.version != 12 || sink.appliedAt.Sub(last) > limit {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d of %d followers do not have the newest record %s after it was written; the log has refused %d reads", late, followers, limit, log.RefusedReads)
				}
			})
		})
	}
}

// All nodes of a large site start at once and list a topic of 600 KB. The log reads that for all
// of them in 2.25 s, and refuses what would wait for more than 2 s. A listing is given up after
// 1 s without an answer, since a silent log must be noticed.
func TestColdStartOfManyFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			followers = 300
			size      = 600_000
			readRate  = 80_000_000
		)
		ctx, cancel := context.WithCancel(t.Context())
		log := simsite.NewLog()
		log.SetReadRate(readRate)
		log.Put(version(1, size))
		var running sync.WaitGroup
		sinks := make([]*versions, followers)
		began := time.Now()
		for i := range followers {
			sinks[i] = &versions{}
			s := testSettings()
			s.ListTimeout, s.Patient = time.Second, i%2 == 0
			running.Go(func() { New(log.Client(), s, sinks[i]).Run(ctx) })
		}
		time.Sleep(30 * time.Second)
		cancel()
		running.Wait()
		// The listings take 2.25 s; up to 2 s of those that were given up come before them.
		const limit = 5 * time.Second
		late := 0
		for _, sink := range sinks {
			if sink.version != 1 || sink.appliedAt.Sub(began) > limit {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of %d followers have not listed the topic within %s", late, followers, limit)
		}
	})
}
