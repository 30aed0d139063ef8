package main

import (
	"bytes"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/platform"
)

// settingsPollInterval is how often the settings file is checked for changes without
// SIGHUP: half of the platform's shortest limit for applying a change.
const settingsPollInterval = time.Second

// settingsWatcher detects and applies changes of the settings file. It must not be used
// concurrently.
type settingsWatcher struct {
	path    string
	current platform.Settings
	// apply applies changed settings to the running node.
	apply func(*platform.Settings)
	// data is the file's content at the last check; unreadable reports whether it could
	// not be read then.
	data       []byte
	unreadable bool
}

// check reads the file and applies its changes. An unreadable or invalid file changes
// nothing. Changed names, addresses and limits take effect only at the next start of the
// process. The cause of the check is "poll" or the name of a signal; a poll logs nothing
// unless the file has changed.
func (w *settingsWatcher) check(cause string) {
	data, err := os.ReadFile(w.path)
	same := bytes.Equal(data, w.data) && (err != nil) == w.unreadable
	w.data, w.unreadable = data, err != nil
	if same && cause == "poll" {
		return
	}
	var parsed *platform.Settings
	if err == nil {
		parsed, err = platform.ParseSettings(data)
	}
	if err != nil {
		klog.InfoS("shallotpin-entry: settings not reloaded", "file", w.path, "cause", cause, "err", err)
		return
	}
	if *parsed == w.current {
		if cause != "poll" {
			klog.InfoS("shallotpin-entry: settings unchanged", "file", w.path, "cause", cause)
		}
		return
	}
	old := w.current
	w.current = *parsed
	restart := old.NodeName != parsed.NodeName || old.Zone != parsed.Zone || old.Listen != parsed.Listen || old.Limits != parsed.Limits || old.Advice != parsed.Advice || old.Store != parsed.Store
	klog.InfoS("shallotpin-entry: settings reloaded", "file", w.path, "cause", cause, "bounds", parsed.Bounds, "rest_at_next_start", restart)
	w.apply(parsed)
}
