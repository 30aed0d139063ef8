package feed

import (
	"bytes"
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/simsite"
)

// versions is a Sink that keeps the newest version of one key, and when it came.
type versions struct {
	version   int
	appliedAt time.Time
}

func (v *versions) Replace(records []backend.KeyedRecord) { v.Apply(records) }

func (v *versions) Apply(records []backend.KeyedRecord) {
	for _, r := range records {
		number, _, _ := bytes.Cut(r.Value, []byte(" "))
		if n, err := strconv.Atoi(string(number)); err == nil && n > v.version {
			v.version, v.appliedAt = n, time.Now()
		}
	}
}

func (v *versions) Confirmed(time.Duration) {}

// version returns a record of the given size.
func version(n, size int) backend.KeyedRecord {
	value := append([]byte(strconv.Itoa(n)+" "), make([]byte, size)...)
	return backend.KeyedRecord{Key: "config", Value: value}
}

// testSettings are the settings of the operators' topic in package entry.
func testSettings() Settings {
	started := time.Now()
	return Settings{Name: "test", Wait: time.Second, CallTimeout: 700 * time.Millisecond, MaxCallTimeout: 1500 * time.Millisecond, ListTimeout: 5 * time.Second, StallTimeout: time.Second,
		RetryDelay: 100 * time.Millisecond, ReadDelay: func() time.Duration { return 0 }, Now: func() time.Duration { return time.Since(started) }}
}

// A read whose page takes longer than a call's time limit to arrive, since several large
// records wait behind a slow link, must not be ended and sent again for ever: the node would
// never get a newer configuration.
func TestFollowerCatchesUpOverSlowLink(t *testing.T) {
	for name, linkRate := range map[string]int{"half of 10 Mbit/s": 625_000, "2 Mbit/s": 250_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				log := simsite.NewLog()
				client := log.Client()
				client.SetLinkRate(linkRate)
				const size = 400_000
				// The log returns at most 1 MB at once.
				log.SetPageSize(2)
				log.Put(version(1, size))
				sink := &versions{}
				f := New(client, testSettings(), sink)
				go f.Run(ctx)
				time.Sleep(3 * time.Second)
				client.SetFault(simsite.LogSilent)
				for n := 2; n <= 4; n++ {
					log.Put(version(n, size))
					time.Sleep(time.Second)
				}
				client.SetFault(simsite.LogHealthy)
				back := time.Now()
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				// One read may have to end first, then all records arrive.
				limit := 2*time.Second + time.Duration(3*size)*time.Second/time.Duration(linkRate)
				if took := sink.appliedAt.Sub(back); sink.version != 4 || took > limit {
					t.Errorf("version %d after %s, want version 4 within %s", sink.version, took, limit)
				}
			})
		})
	}
}

// A link that goes silent in the middle of a page must be noticed, and the page read again.
func TestPageThatStopsArrivingIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := simsite.NewLog()
		client := log.Client()
		log.Put(version(1, 10))
		sink := &versions{}
		f := New(client, testSettings(), sink)
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		client.SetLinkRate(1)
		log.Put(version(2, 1000))
		time.Sleep(100 * time.Millisecond)
		client.SetLinkRate(0)
		silent := time.Now()
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if took := sink.appliedAt.Sub(silent); sink.version != 2 || took > 2500*time.Millisecond {
			t.Errorf("version %d after %s, want version 2 within 2.5s", sink.version, took)
		}
	})
}

// countingLog counts the reads that are sent to a log.
type countingLog struct {
	backend.KeyedLog
	reads atomic.Int32
}

func (c *countingLog) Read(ctx context.Context, from int64, wait time.Duration, progress backend.Progress) (backend.KeyedPage, error) {
	c.reads.Add(1)
	return c.KeyedLog.Read(ctx, from, wait, progress)
}

// Requests that wait for the newest records must not ask for them again while they are
// arriving: over a slow link, that would delay them.
func TestArrivingPageIsNotReadTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := simsite.NewLog()
		client := log.Client()
		log.Put(version(1, 10))
		counting := &countingLog{KeyedLog: client}
		f := New(counting, testSettings(), &versions{})
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		client.SetLinkRate(250_000)
		log.Put(version(2, 400_000))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		reads := counting.reads.Load()
		for range 3 {
			waitCtx, done := context.WithTimeout(ctx, 400*time.Millisecond)
			if err := f.AwaitConfirmed(waitCtx, f.settings.Now()); err == nil {
				t.Error("confirmed before the page has arrived")
			}
			done()
		}
		synctest.Wait()
		if counting.reads.Load() != reads {
			t.Errorf("%d further reads while a page arrives, want none", counting.reads.Load()-reads)
		}
		waitCtx, done := context.WithTimeout(ctx, 2*time.Second)
		defer done()
		if err := f.AwaitConfirmed(waitCtx, f.settings.Now()); err != nil {
			t.Errorf("not confirmed after the page has arrived: %v", err)
		}
		cancel()
	})
}

// Calls that wait for the same records must share their reads: a node that resumes has many
// requests waiting.
func TestWaitingRequestsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := simsite.NewLog()
		client := log.Client()
		log.Put(version(1, 10))
		counting := &countingLog{KeyedLog: client}
		f := New(counting, testSettings(), &versions{})
		go f.Run(ctx)
		time.Sleep(3100 * time.Millisecond)
		synctest.Wait()
		reads, at := counting.reads.Load(), f.settings.Now()
		for range 50 {
			go func() {
				if err := f.AwaitConfirmed(ctx, at); err != nil {
					t.Errorf("not confirmed: %v", err)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if got := counting.reads.Load() - reads; got != 1 {
			t.Errorf("%d reads for 50 requests, want 1", got)
		}
	})
}

// More records than fit in a page are new. A claim of leadership, and the answer that there is
// no such job, rest on Refresh, which must not return before the last of them is applied.
func TestRefreshReadsAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := simsite.NewLog()
		log.Put(version(1, 10))
		sink := &versions{}
		settings := testSettings()
		// Run reads nothing beside Refresh.
		settings.ReadDelay = func() time.Duration { return time.Hour }
		f := New(log.Client(), settings, sink)
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		log.SetPageSize(3)
		const last = 20
		for n := 2; n <= last; n++ {
			log.Put(version(n, 10))
		}
		if err := f.Refresh(ctx); err != nil || sink.version != last {
			t.Errorf("version %d, error %v after Refresh; want version %d", sink.version, err, last)
		}
	})
}
