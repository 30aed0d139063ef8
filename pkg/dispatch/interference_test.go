package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/interference"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// A best-effort task that is known to harm a latency-sensitive one must be throttled before its
// harm shows in the latency.
func TestKnownHarmIsThrottledBeforeItShows(t *testing.T) {
	s := newManualSite(t, 1)
	s.Settings.Features.Interference = true
	s.interference.table.Inherit([]interference.Estimate{{Subject: "serving", Other: "filler", Harm: 1, At: s.now}})
	serving := s.start(s.job("serving", workload.Step{Count: 1, Image: "serving", LongRunning: true, LatencyTargetMS: 100}), 0, "w0")
	s.start(s.job("filler", workload.Step{Count: 1, Image: "filler", BestEffort: true}), 0, "w0")
	serving.load = 60
	w := s.workers["w0"]
	if got := s.expectedLoad(w, 0.6, s.now); got != 1.2 {
		t.Errorf("expected load %v, want 1.2", got)
	}
	if got := s.expectedLoad(w, 0.6, s.now+loadFigureSpan); got != 0.6 {
		t.Errorf("expected load %v once the figure shows the harm, want 0.6", got)
	}
	s.Settings.Features.Interference = false
	if got := s.expectedLoad(w, 0.6, s.now); got != 0.6 {
		t.Errorf("expected load %v with the part off, want 0.6", got)
	}
}

// What was learned is written at most each learnedWriteInterval, read by a later leader, and an odd
// record is ignored.
func TestInterferenceOutlivesTheLeader(t *testing.T) {
	s := newManualSite(t, 1)
	s.Settings.Features.Interference = true
	if len(s.interferenceRecords(0, s.now)) != 0 {
		t.Error("a record is written although nothing was learned")
	}
	s.interference.table.Inherit([]interference.Estimate{{Subject: "a", Other: "b", Harm: 0.5, Observations: 20, At: s.now}})
	s.interference.unsaved = true
	records := s.interferenceRecords(0, s.now)
	if s.interference.unsaved = true; len(records) != 1 || len(s.interferenceRecords(0, s.now+time.Second)) != 0 {
		t.Errorf("%d records, want one and none soon after", len(records))
	}
	s.interference.unsaved = false
	if len(s.interferenceRecords(0, s.now+learnedRefreshInterval-time.Second)) != 0 || len(s.interferenceRecords(0, s.now+learnedRefreshInterval)) != 1 {
		t.Error("a record without changes is not written again just before it is too old")
	}
	state := ledger.NewState()
	if _, err := state.Apply(records[0]); err != nil {
		t.Fatal(err)
	}
	later := newManualSite(t, 1)
	later.inheritInterference(state.Learned[InterferenceKey])
	if got := later.interference.table.Harm("a", "b"); got != 0.5 {
		t.Errorf("harm %v under the next leader, want 0.5", got)
	}
	later.inheritInterference([]byte("["))
}

// Callers choose images, which must not make the record large.
func TestLongImagesDoNotNameAKind(t *testing.T) {
	s := newManualSite(t, 1)
	if kind := kindOf(s.job("j", workload.Step{Count: 1, Image: strings.Repeat("x", maxImageBytes+1)})); len(kind) > maxImageBytes {
		t.Errorf("a kind has %d bytes", len(kind))
	}
}
