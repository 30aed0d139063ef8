package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/platform"
)

const settingsText = `
NodeName: node
Zone: z
Listen: {Front: "10.0.0.1:80", Ready: "10.0.0.1:81"}
Bounds: {HoldMaxMs: 6000, GangMs: 3000, StopMs: 900, SaveS: 2, status_s: 120, ContactMs: 3000, GraceS: 6}
platform: {Addr: "10.0.0.9:80", CallBytes: 2097152}
`

// A change of the settings file is applied with or without SIGHUP, also after a check that
// found the file truncated in the middle of a write.
func TestChangedSettingsAreAdopted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	first, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	var applied []time.Duration
	w := &settingsWatcher{path: path, current: *first, apply: func(s *platform.Settings) { applied = append(applied, dispatchSettings(s, "").MaxStopTime) }}
	for _, step := range []struct {
		text, cause string
		want        []time.Duration
	}{
		{settingsText, "poll", nil},
		{settingsText, "SIGHUP", nil},
		{settingsText[:40], "poll", nil},
		{strings.Replace(settingsText, "StopMs: 900", "StopMs: 400", 1), "poll", []time.Duration{400 * time.Millisecond}},
		{strings.Replace(settingsText, "StopMs: 900", "StopMs: 300", 1), "SIGHUP", []time.Duration{400 * time.Millisecond, 300 * time.Millisecond}},
	} {
		write(step.text)
		w.check(step.cause)
		if len(applied) != len(step.want) || len(applied) > 0 && applied[len(applied)-1] != step.want[len(step.want)-1] {
			t.Fatalf("after a check by %s of %d bytes: applied %v, want %v", step.cause, len(step.text), applied, step.want)
		}
	}
}

// Guards against a lease that a later leader does not wait for: a later incarnation of a worker may
// carry out a start at the end of the start window, and then holds the longest lease.
func TestLeaseWindowCoversStartsOnLaterIncarnations(t *testing.T) {
	for _, c := range []struct{ contactMS, holdMaxMS int64 }{{3000, 6000}, {4000, 6000}, {5000, 10_000}, {3000, 30_000}} {
		var s platform.Settings
		s.Bounds.ContactMS, s.Bounds.HoldMaxMS = c.contactMS, c.holdMaxMS
		d := dispatchSettings(&s, "")
		if least := d.Election.StartWindow + d.LeaseDuration; d.LeaseWindow < least {
			t.Errorf("contact %d ms, longest lease %d ms: lease window %s, want at least %s", c.contactMS, c.holdMaxMS, d.LeaseWindow, least)
		}
	}
}

// Stops are weighed where tasks save their progress often and the settings say what stops cost, unless the operator says otherwise.
func TestStopsAreWeighedWhereTheirCostIsKnown(t *testing.T) {
	for _, c := range []struct {
		saveS     float64
		restoreMS int64
		overrides string
		want      bool
	}{{0.5, 600, "", true}, {1, 600, "", false}, {0, 600, "", false}, {0.5, 0, "", false}, {0.5, 600, "stops=off", false}, {2, 0, "stops=on", true}} {
		var s platform.Settings
		s.Bounds.SaveS, s.Bounds.RestoreMS = c.saveS, c.restoreMS
		if got := dispatchSettings(&s, c.overrides).Features.Stops; got != c.want {
			t.Errorf("SaveS %v, RestoreMs %d, overrides %q: stops %v, want %v", c.saveS, c.restoreMS, c.overrides, got, c.want)
		}
	}
}
