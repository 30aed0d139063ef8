package memsite

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/deploy"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// publish publishes the sample document with another weight, and reports whether
// the log got it as a difference.
func publish(t *testing.T, s *Site, weight int) (diff bool) {
	t.Helper()
	c, err := config.Decode(deploy.StaveDesk)
	if err != nil {
		t.Fatal(err)
	}
	c.Accounts[0].Weight = weight
	if _, err := s.Client(0).PublishConfig(t.Context(), encodeConfig(c), nil); err != nil {
		t.Fatal(err)
	}
	page, err := s.Log.Read(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range page.Entries {
		var batch state.Batch
		if err := json.Unmarshal(e.Data, &batch); err != nil {
			t.Fatal(err)
		}
		for _, r := range batch.Records {
			if r.Publish != nil {
				diff = r.Publish.Diff != nil
			}
		}
	}
	return diff
}

// TestDiffsOnlyIfAllNodesReadThem publishes while all nodes read differences,
// and while one of an older program is among them.
func TestDiffsOnlyIfAllNodesReadThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		time.Sleep(5 * time.Second)
		if !publish(t, s, 7) {
			t.Error("all nodes read differences, and the change is a whole document")
		}
		old := peer.New(s.Net.Host("old"), "10.0.9.1:7401")
		if err := old.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		defer old.Stop(context.Background())
		beat := &membership.Heartbeat{From: membership.Member{ID: "old", Incarnation: "old/1", Address: "10.0.9.1:7401"}}
		for _, e := range s.Entries {
			if err := old.Call(t.Context(), e.Settings.Peer, "Membership.Beat", beat, &membership.HeartbeatReply{}); err != nil {
				t.Fatal(err)
			}
		}
		if publish(t, s, 8) {
			t.Error("a live node does not say that it reads differences, and the change is one")
		}
		for i, e := range s.Entries {
			e.Node.Journal.Sync(t.Context())
			e.Node.Journal.View(func(st *state.State) {
				if st.Config.Accounts[0].Weight != 8 {
					t.Errorf("node %d has the weight %d", i, st.Config.Accounts[0].Weight)
				}
			})
		}
	})
}
