package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// Diff is the difference between a base document and a new one. Applied to the same
// base, it yields the new document.
type Diff struct {
	Accounts []Splice[Account] `json:"accounts,omitempty"`
	Zones    []Splice[Zone]    `json:"zones,omitempty"`
	Services []Splice[Service] `json:"services,omitempty"`
	// Presets replaces whole presets. It is empty if the names and the order of the
	// presets are unchanged; then Guarantees holds the changes within them.
	Presets       []Splice[Preset] `json:"presets,omitempty"`
	Guarantees    []GuaranteesDiff `json:"guarantees,omitempty"`
	Objective     *Objective       `json:"objective,omitempty"`
	InitialPreset *string          `json:"initial_preset,omitempty"`
}

// Splice replaces Delete elements of a list, starting at index At of the base, with
// Insert. The splices of a list are in ascending order and do not overlap.
type Splice[T any] struct {
	At     int `json:"at"`
	Delete int `json:"del,omitempty"`
	Insert []T `json:"ins,omitempty"`
}

// GuaranteesDiff changes the guarantees of the preset at index Preset.
type GuaranteesDiff struct {
	Preset  int                 `json:"preset"`
	Splices []Splice[Guarantee] `json:"splices"`
}

// NewDiff returns the difference that turns from into to.
func NewDiff(from, to *Config) *Diff {
	d := &Diff{
		Accounts: splices(from.Accounts, to.Accounts, equal),
		Zones:    splices(from.Zones, to.Zones, equal),
		Services: splices(from.Services, to.Services, sameService),
	}
	if slices.EqualFunc(from.Presets, to.Presets, func(a, b Preset) bool { return a.Name == b.Name }) {
		for i := range from.Presets {
			if s := splices(from.Presets[i].Guarantees, to.Presets[i].Guarantees, equal); len(s) > 0 {
				d.Guarantees = append(d.Guarantees, GuaranteesDiff{i, s})
			}
		}
	} else {
		d.Presets = splices(from.Presets, to.Presets, samePreset)
	}
	if from.Objective != to.Objective {
		d.Objective = &to.Objective
	}
	if from.InitialPreset != to.InitialPreset {
		d.InitialPreset = &to.InitialPreset
	}
	return d
}

// Apply returns the document that results from applying d to base, without changing
// base or validating the result. It fails if d does not fit base.
func (d *Diff) Apply(base *Config) (*Config, error) {
	c := *base
	var problems api.Problems
	c.Accounts = splice(&problems, "accounts", c.Accounts, d.Accounts)
	c.Zones = splice(&problems, "zones", c.Zones, d.Zones)
	c.Services = splice(&problems, "services", c.Services, d.Services)
	c.Presets = slices.Clone(splice(&problems, "presets", c.Presets, d.Presets))
	for _, g := range d.Guarantees {
		if g.Preset < 0 || g.Preset >= len(c.Presets) {
			problems.Require(false, "guarantees", "there is no preset %d in the base", g.Preset)
			continue
		}
		p := &c.Presets[g.Preset]
		p.Guarantees = splice(&problems, "guarantees", p.Guarantees, g.Splices)
	}
	if d.Objective != nil {
		c.Objective = *d.Objective
	}
	if d.InitialPreset != nil {
		c.InitialPreset = *d.InitialPreset
	}
	return &c, problems.Err()
}

// Equal reports whether two documents have the same JSON encoding.
func Equal(a, b *Config) bool {
	left, leftErr := json.Marshal(a)
	right, rightErr := json.Marshal(b)
	return leftErr == nil && rightErr == nil && bytes.Equal(left, right)
}

func equal[T comparable](a, b T) bool { return a == b }

func sameService(a, b Service) bool { return a.Name == b.Name && slices.Equal(a.Classes, b.Classes) }

func samePreset(a, b Preset) bool {
	return a.Name == b.Name && slices.Equal(a.Guarantees, b.Guarantees)
}

// splices returns the changes that turn from into to. Lists of equal length are
// compared element by element, so that scattered changes give a small diff;
// otherwise one splice covers everything between the first and the last change.
func splices[T any](from, to []T, same func(a, b T) bool) []Splice[T] {
	if len(from) == len(to) {
		return replacements(from, to, same)
	}
	start := 0
	for start < min(len(from), len(to)) && same(from[start], to[start]) {
		start++
	}
	end := 0
	for end < min(len(from), len(to))-start && same(from[len(from)-1-end], to[len(to)-1-end]) {
		end++
	}
	return []Splice[T]{{start, len(from) - end - start, to[start : len(to)-end]}}
}

// replacements returns one splice for each run of elements that differ.
func replacements[T any](from, to []T, same func(a, b T) bool) []Splice[T] {
	var out []Splice[T]
	for i := 0; i < len(from); i++ {
		start := i
		for i < len(from) && !same(from[i], to[i]) {
			i++
		}
		if i > start {
			out = append(out, Splice[T]{start, i - start, to[start:i]})
		}
	}
	return out
}

// splice applies changes to a copy of list and records in problems a change that
// does not fit. Without changes it returns list itself.
func splice[T any](problems *api.Problems, path string, list []T, changes []Splice[T]) []T {
	if len(changes) == 0 {
		return list
	}
	out := make([]T, 0, len(list))
	done := 0
	for _, s := range changes {
		if s.At < done || s.Delete < 0 || s.At > len(list) || s.Delete > len(list)-s.At {
			problems.Require(false, path, "elements %d to %d cannot be replaced in the base, which has %d", s.At, s.At+s.Delete, len(list))
			return list
		}
		out = append(append(out, list[done:s.At]...), s.Insert...)
		done = s.At + s.Delete
	}
	return append(out, list[done:]...)
}
