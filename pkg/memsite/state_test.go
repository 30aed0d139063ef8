package memsite

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/client"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// maxChangeDelay is the documented bound on the time until a change is in force
	// on every node.
	maxChangeDelay = 7 * time.Second
	// maxZoneOutDelay is the documented bound on the time from taking a zone out to
	// the last start in it.
	maxZoneOutDelay = 5 * time.Second
)

func testCtx(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func requestQuote(c *client.Client, ctx context.Context) (api.Answer, error) {
	return c.Request(ctx, &api.Request{Account: "yard-agents", Service: "stave-desk", Body: []byte("oak")})
}

func ready(s *Site, i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return s.Client(i).WaitReady(ctx) == nil
}

func preset(s *Site, i int) (name string, version uint64) {
	s.Entries[i].Node.Journal.View(func(st *state.State) { name, version = st.Preset, st.PresetVersion })
	return name, version
}

func switchPreset(t *testing.T, s *Site, i int, name string) {
	t.Helper()
	if _, err := s.Client(i).SwitchPreset(testCtx(t, 10*time.Second), frontdoor.PresetCall{Preset: name}); err != nil {
		t.Fatal(err)
	}
}

func checkRefused(t *testing.T, what string, err error) {
	t.Helper()
	var e *api.Error
	if !errors.As(err, &e) || e.Verdict != api.NotRun {
		t.Errorf("%s: got error %v, want one with verdict not-run", what, err)
	}
}

func checkServed(t *testing.T, s *Site, i int) {
	t.Helper()
	if _, err := requestQuote(s.Client(i), testCtx(t, 10*time.Second)); err != nil {
		t.Errorf("entry VM %d: %v", i, err)
	}
}

// setPeerLinks sets a fault on all links between an entry VM and the others.
func setPeerLinks(s *Site, i int, f memnet.Fault) {
	for k, e := range s.Entries {
		if k != i {
			s.Net.SetBothLinks(s.Entries[i].Settings.ID, e.Settings.ID, f)
		}
	}
}

func TestNodeCutOffFromLogReplicatesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		s.CutPlatform(0, PlatformCut{Log: true})
		time.Sleep(time.Minute)
		switchPreset(t, s, 1, "peak")
		time.Sleep(maxChangeDelay)
		if name, _ := preset(s, 0); name != "peak" {
			t.Errorf("node cut off from the log has preset %q in force, want peak", name)
		}
		if !ready(s, 0) {
			t.Error("not ready, although peers confirm the view")
		}
		checkServed(t, s, 0)
	})
}

// TestIsolatedNodeRefuses cuts a node off from the log and from its peers, by silent
// and by cut links. It must refuse requests within the bound for a zone out.
func TestIsolatedNodeRefuses(t *testing.T) {
	for _, fault := range []memnet.Fault{memnet.Silent, memnet.Cut} {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t, nil)
			s.CutPlatform(0, PlatformCut{Log: true})
			setPeerLinks(s, 0, fault)
			time.Sleep(maxZoneOutDelay)
			_, err := requestQuote(s.Client(0), testCtx(t, 10*time.Second))
			checkRefused(t, "request", err)
			_, err = s.Client(0).SwitchPreset(testCtx(t, 10*time.Second), frontdoor.PresetCall{Preset: "peak"})
			checkRefused(t, "preset switch", err)
			if ready(s, 0) {
				t.Error("ready while isolated")
			}
			checkServed(t, s, 1)
			s.CutPlatform(0, PlatformCut{})
			setPeerLinks(s, 0, memnet.Healthy)
			time.Sleep(maxChangeDelay)
			checkServed(t, s, 0)
		})
	}
}

// TestOneWayCutBetweenNodes cuts single directions between nodes. All nodes must serve
// and apply changes, since the log confirms every view.
func TestOneWayCutBetweenNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		s.Net.SetLink("entry-0", "entry-1", memnet.Silent)
		s.Net.SetLink("entry-2", "entry-0", memnet.Cut)
		time.Sleep(time.Minute)
		switchPreset(t, s, 2, "peak")
		time.Sleep(maxChangeDelay)
		for i := range s.Entries {
			if name, _ := preset(s, i); name != "peak" {
				t.Errorf("entry VM %d has preset %q, want peak", i, name)
			}
			checkServed(t, s, i)
		}
	})
}

// TestLogOutageServesOnlyIfUnreachableForAll makes the log unreachable for all nodes,
// which must serve. It then makes the log reachable for one node that is cut off from
// the others. The others must refuse, since that node may change the state.
func TestLogOutageServesOnlyIfUnreachableForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		s.Log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(5 * time.Minute)
		for i := range s.Entries {
			checkServed(t, s, i)
			_, err := s.Client(i).SwitchPreset(testCtx(t, 10*time.Second), frontdoor.PresetCall{Preset: "peak"})
			checkRefused(t, "preset switch", err)
		}
		setPeerLinks(s, 2, memnet.Silent)
		for i := range 2 {
			s.CutPlatform(i, PlatformCut{Log: true})
		}
		s.Log.SetFaults(standin.LogFaults{})
		time.Sleep(maxZoneOutDelay)
		for i := range 2 {
			_, err := requestQuote(s.Client(i), testCtx(t, 10*time.Second))
			checkRefused(t, fmt.Sprintf("entry VM %d", i), err)
		}
		checkServed(t, s, 2)
	})
}

// TestZoneOutAppendedWhileReadsFail takes a zone out while the log accepts appends and
// fails reads. Nothing may be sent to the zone beyond the bound.
func TestZoneOutAppendedWhileReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		s.Log.SetFaults(standin.LogFaults{ReadsDown: true})
		_, err := s.Client(1).SetZone(testCtx(t, 30*time.Second), "howrah", frontdoor.ZoneCall{Out: true})
		var e *api.Error
		if !errors.As(err, &e) || e.Verdict != api.MayHaveRun {
			t.Fatalf("zone change returned %v, want verdict may-have-run", err)
		}
		// The node that appended the change is lost; the others have received it.
		s.LoseEntry(1)
		time.Sleep(time.Minute)
		for _, i := range []int{0, 2} {
			_, err := requestQuote(s.Client(i), testCtx(t, 10*time.Second))
			checkRefused(t, fmt.Sprintf("entry VM %d", i), err)
		}
		s.Log.SetFaults(standin.LogFaults{})
		time.Sleep(maxChangeDelay)
		checkServed(t, s, 0)
	})
}

// TestPausedNodeServesNothingStale pauses a node for longer than every staleness
// bound. After it resumes, it must not serve a request from the old view.
func TestPausedNodeServesNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		time.Sleep(5 * time.Second)
		// After the pause, the log and the peers are unreachable, but not the upstreams.
		s.Freeze(0)
		s.CutPlatform(0, PlatformCut{Log: true})
		setPeerLinks(s, 0, memnet.Silent)
		time.Sleep(time.Minute)
		s.Thaw(0)
		_, err := requestQuote(s.Client(0), testCtx(t, 10*time.Second))
		checkRefused(t, "request after the pause", err)
	})
}

// TestRetentionPassesPausedNode lets the log drop entries that a paused node has not
// read. After it resumes, with or without its peers, the node must reach the state of
// the others.
func TestRetentionPassesPausedNode(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t, func(o *Options) { o.Retain = 30 })
			s.Freeze(0)
			for i := range 40 {
				switchPreset(t, s, 1, []string{"peak", "ordinary"}[i%2])
				time.Sleep(2 * time.Second)
			}
			if isolated {
				setPeerLinks(s, 0, memnet.Silent)
			}
			s.Thaw(0)
			time.Sleep(maxChangeDelay)
			if _, version := preset(s, 0); version != 40 {
				t.Errorf("peers cut %t: resumed node has preset version %d, want 40", isolated, version)
			}
			checkServed(t, s, 0)
		})
	}
}

// TestSnapshotsOutliveAllNodes replaces all entry VMs at once after the log has dropped
// its first entries: the new nodes must restore the state from the snapshot in the log.
func TestSnapshotsOutliveAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, func(o *Options) { o.Retain = 30 })
		for i := range 41 {
			switchPreset(t, s, 1, []string{"peak", "ordinary"}[i%2])
			time.Sleep(2 * time.Second)
		}
		for i := range s.Entries {
			s.LoseEntry(i)
		}
		time.Sleep(time.Minute)
		for i := range s.Entries {
			if err := s.Replace(t.Context(), i, 1); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(maxChangeDelay)
		for i := range s.Entries {
			if name, version := preset(s, i); name != "peak" || version != 41 {
				t.Errorf("entry VM %d has preset %q at version %d, want peak at 41", i, name, version)
			}
		}
		checkServed(t, s, 0)
		// These nodes do not have the entries before the snapshot. A node that starts
		// while the log is down must copy their full state.
		s.Log.SetFaults(standin.LogFaults{Down: true})
		s.LoseEntry(0)
		if err := s.Replace(t.Context(), 0, 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if name, version := preset(s, 0); name != "peak" || version != 41 {
			t.Errorf("VM started during the log outage has preset %q at version %d, want peak at 41", name, version)
		}
		checkServed(t, s, 0)
	})
}

// TestHourLongLogOutageWithVMLosses loses all entry VMs but one during a log outage of
// an hour, in which the log also drops all its entries.
func TestHourLongLogOutageWithVMLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		switchPreset(t, s, 0, "peak")
		time.Sleep(5 * time.Second)
		s.Log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(20 * time.Minute)
		s.LoseEntry(0)
		if err := s.Replace(t.Context(), 0, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Minute)
		checkServed(t, s, 0)
		s.LoseEntry(1)
		s.LoseEntry(2)
		s.Log.Trim(0)
		time.Sleep(20 * time.Minute)
		checkServed(t, s, 0)
		s.Log.SetFaults(standin.LogFaults{})
		time.Sleep(maxChangeDelay)
		// The remaining node has written its state to the log, from which alone a new VM
		// restores it.
		s.LoseEntry(0)
		time.Sleep(time.Minute)
		if err := s.Replace(t.Context(), 0, 2); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxChangeDelay)
		if name, version := preset(s, 0); name != "peak" || version != 1 {
			t.Errorf("preset %q at version %d, want peak at 1", name, version)
		}
		checkServed(t, s, 0)
	})
}

// TestStartWithoutStateServesNothing starts a VM after the log has lost its first
// entries, with no peer to copy the state from.
func TestStartWithoutStateServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		for i := range s.Entries {
			s.LoseEntry(i)
		}
		s.Log.Trim(1)
		time.Sleep(10 * time.Second)
		if err := s.Replace(t.Context(), 0, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if ready(s, 0) {
			t.Error("ready without the state")
		}
		_, err := requestQuote(s.Client(0), testCtx(t, 10*time.Second))
		checkRefused(t, "request", err)
	})
}

// checkVersionsIncrease reports an error if the preset version in a journal decreases
// before ctx ends.
func checkVersionsIncrease(t *testing.T, wg *sync.WaitGroup, ctx context.Context, j *journal.Journal) {
	wg.Go(func() {
		last := uint64(0)
		for ctx.Err() == nil {
			changed := j.Changed()
			j.View(func(st *state.State) {
				if st.PresetVersion < last {
					t.Errorf("preset version decreased from %d to %d", last, st.PresetVersion)
				}
				last = st.PresetVersion
			})
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	})
}

// TestRollingReplacement replaces the entry VMs one after the other, while short
// requests and preset switches continue through the VMs that are up.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, func(o *Options) { o.Retain = 60 })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, e := range s.Entries {
			checkVersionsIncrease(t, &wg, ctx, e.Node.Journal)
		}
		switches := 0
		for i := range s.Entries {
			other := (i + 1) % len(s.Entries)
			wg.Go(func() {
				if err := s.Retire(ctx, i); err != nil {
					t.Errorf("stopping entry VM %d: %v", i, err)
				}
			})
			for range 10 {
				switchPreset(t, s, other, []string{"peak", "ordinary"}[switches%2])
				switches++
				checkServed(t, s, other)
				time.Sleep(time.Second)
			}
			if err := s.Replace(ctx, i, 1); err != nil {
				t.Fatal(err)
			}
			checkVersionsIncrease(t, &wg, ctx, s.Entries[i].Node.Journal)
			time.Sleep(maxChangeDelay)
			if _, version := preset(s, i); version != uint64(switches) {
				t.Errorf("new entry VM %d has preset version %d, want %d", i, version, switches)
			}
			checkServed(t, s, i)
		}
		cancel()
		wg.Wait()
	})
}

// A node that does not know the state of the log must not say that a job does not exist.
func TestNodeWithoutStateKnowsOfNoMissingJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		time.Sleep(5 * time.Second)
		job, err := s.Client(0).SubmitJob(testCtx(t, maxUrgentStartDelay), gangSpec(t, 1, 300), "")
		if err != nil {
			t.Fatal(err)
		}
		s.LoseEntry(2)
		s.Log.SetFaults(standin.LogFaults{Delay: time.Second})
		if err := s.Replace(t.Context(), 2, 1); err != nil {
			t.Fatal(err)
		}
		found := false
		for range 100 {
			_, err := s.Client(2).Job(testCtx(t, time.Second), job.ID)
			found = found || err == nil
			if err != nil && api.AsError(err, api.NotRun).Code != api.CodeUnavailable {
				t.Errorf("status of a job that exists: %v", err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !found {
			t.Error("the job was not shown within 5s")
		}
	})
}

// Nodes that start have no slots until they have agreed on them. If the only other node that
// has joined is stopping, its refusals say that a request did not run: it must be kept until
// there are slots. Which node joins first differs from start to start.
func TestStoppingNodeFailsNoRequestOfItsNeighbour(t *testing.T) {
	for range 25 {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t, nil)
			var wg sync.WaitGroup
			wg.Go(func() {
				if err := s.Retire(t.Context(), 0); err != nil {
					t.Error(err)
				}
			})
			for range 30 {
				wg.Go(func() { checkServed(t, s, 1) })
				time.Sleep(4 * time.Millisecond)
			}
			wg.Wait()
		})
	}
}

// TestChangesUnderLostAnswers loses the reply to every append, and checks that each
// accepted preset switch is in force on all nodes within the bound.
func TestChangesUnderLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		s.Log.SetFaults(standin.LogFaults{LoseAcks: true, Delay: 300 * time.Millisecond})
		for round := range 20 {
			name := []string{"peak", "ordinary"}[round%2]
			switchPreset(t, s, round%len(s.Entries), name)
			time.Sleep(maxChangeDelay)
			for i := range s.Entries {
				if got, version := preset(s, i); got != name || version != uint64(round+1) {
					t.Errorf("round %d: entry VM %d has preset %q at version %d, want %q at %d", round, i, got, version, name, round+1)
				}
			}
		}
	})
}

// TestLargeSiteDuringLogOutage makes the log unreachable for 20 nodes, which confirm
// their views to each other by digests. All must serve until one of them reaches the
// log again while cut off from the others: then only that one may.
func TestLargeSiteDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, func(o *Options) { o.Entries = 20 })
		time.Sleep(30 * time.Second)
		s.Log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(30 * time.Second)
		for i := range s.Entries {
			checkServed(t, s, i)
		}
		last := len(s.Entries) - 1
		setPeerLinks(s, last, memnet.Cut)
		for i := range last {
			s.CutPlatform(i, PlatformCut{Log: true})
		}
		s.Log.SetFaults(standin.LogFaults{})
		time.Sleep(maxZoneOutDelay)
		for i := range last {
			_, err := requestQuote(s.Client(i), testCtx(t, 10*time.Second))
			checkRefused(t, fmt.Sprintf("entry VM %d", i), err)
		}
		checkServed(t, s, last)
	})
}
