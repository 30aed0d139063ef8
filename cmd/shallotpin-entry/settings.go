package main

import (
	"bytes"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/platform"
)

// settingsInterval is how often the settings file is read for changes that no signal
// announces: a half of the shortest bound for a change.
const settingsInterval = time.Second

// watchedSettings follows the settings file.
type watchedSettings struct {
	path    string
	current platform.Settings
	// adopt puts changed bounds and limits into force.
	adopt func(*platform.Settings)
	// read is the file as it was read last, missing that it could not be read.
	read    []byte
	missing bool
}

// check reads the file and puts its changes into force. A file that cannot be used
// changes nothing. Names and addresses hold for the life of a process.
func (w *watchedSettings) check(cause string) {
	data, err := os.ReadFile(w.path)
	same := bytes.Equal(data, w.read) && (err != nil) == w.missing
	w.read, w.missing = data, err != nil
	if same && cause == "poll" {
		return
	}
	var read *platform.Settings
	if err == nil {
		read, err = platform.ParseSettings(data)
	}
	if err != nil {
		klog.InfoS("shallotpin-entry: settings not reloaded", "file", w.path, "cause", cause, "err", err)
		return
	}
	if *read == w.current {
		if cause != "poll" {
			klog.InfoS("shallotpin-entry: settings unchanged", "file", w.path, "cause", cause)
		}
		return
	}
	old := w.current
	w.current = *read
	restart := old.NodeName != read.NodeName || old.Zone != read.Zone || old.Listen != read.Listen || old.Limits != read.Limits || old.Advice != read.Advice || old.Store != read.Store
	klog.InfoS("shallotpin-entry: settings reloaded", "file", w.path, "cause", cause, "bounds", read.Bounds, "rest_at_next_start", restart)
	w.adopt(read)
}
