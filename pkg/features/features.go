// Package features switches the optional parts of the scheduler. A deployment's settings decide
// which parts it uses, and an operator can override each of them for a process.
package features

import (
	"fmt"
	"slices"
	"strings"
)

// Set says which optional parts are in use. Its zero value uses none.
type Set struct {
	// Stops weighs all stops of sound work in one place; see package eviction.
	Stops bool
	// Speeds places tasks by the learned speeds of workers and run times of tasks; see package
	// performance.
	Speeds bool
	// Interference keeps tasks apart that slow each other down; see package interference.
	Interference bool
}

// fields returns the fields of the set by the names that operators use.
func (s *Set) fields() map[string]*bool {
	return map[string]*bool{"stops": &s.Stops, "speeds": &s.Speeds, "interference": &s.Interference}
}

// Override returns the set with the changes in text, a comma-separated list of NAME=on and
// NAME=off. It returns an error that names the first entry that it cannot use.
func (s Set) Override(text string) (Set, error) {
	fields := s.fields()
	for entry := range strings.SplitSeq(text, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		name, value, _ := strings.Cut(entry, "=")
		field := fields[name]
		if field == nil || value != "on" && value != "off" {
			return Set{}, fmt.Errorf("features: %q is not NAME=on or NAME=off with a NAME of %s", entry, strings.Join(Names(), ", "))
		}
		*field = value == "on"
	}
	return s, nil
}

// Names returns the names of all parts, sorted.
func Names() []string {
	var names []string
	for name := range new(Set).fields() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// String returns the set in the form that Override takes.
func (s Set) String() string {
	fields := s.fields()
	var entries []string
	for _, name := range Names() {
		value := "off"
		if *fields[name] {
			value = "on"
		}
		entries = append(entries, name+"="+value)
	}
	return strings.Join(entries, ",")
}
