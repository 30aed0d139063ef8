package journal

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// TestNewerFormatIsNotFolded checks that a node whose program is older than a
// record in the log stops before it, and neither guesses at it nor passes it over.
func TestNewerFormatIsNotFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(0)
		j := New(log, "old/1")
		if err := j.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		defer j.Stop(t.Context())
		publish := func(format int, writer string, base uint64) {
			t.Helper()
			data, err := json.Marshal(map[string]any{
				"format":  format,
				"records": []state.Record{{Writer: writer, Seq: 1, Publish: &state.Publish{Base: base, Config: testConfig(1)}}},
			})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := log.Append(t.Context(), data); err != nil {
				t.Fatal(err)
			}
		}
		publish(state.Format, "current/1", 0)
		publish(state.Format+1, "newer/1", 1)
		publish(state.Format, "current/2", 2)
		time.Sleep(10 * time.Second)
		j.View(func(st *state.State) {
			if st.ConfigVersion != 1 || st.Offset != 1 {
				t.Errorf("the node went on to offset %d and version %d, past a record that it does not know", st.Offset, st.ConfigVersion)
			}
		})
		if j.FreshWithin(time.Now(), 3*time.Second) {
			t.Error("a node that cannot read on takes its view for fresh")
		}
	})
}
