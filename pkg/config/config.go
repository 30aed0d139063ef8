// Package config defines the configuration document that operators publish:
// client accounts, availability zones, services and presets. It parses, validates
// and compares documents; package state determines, from the log, which one is in
// force.
package config

import (
	"github.com/shallotpin/shallotpin/pkg/api"
)

// MaxBytes is the maximum size of a configuration document.
const MaxBytes = 1 << 20

// Objective selects the measure that the placement policy gives priority.
type Objective string

const (
	// ObjectiveCompletion gives priority to the completion time of jobs.
	ObjectiveCompletion Objective = "completion"
	// ObjectiveZoneWork gives priority to the work done while an availability zone
	// is taken out of use or back into use.
	ObjectiveZoneWork Objective = "zone-work"
)

// Config is a configuration document.
type Config struct {
	Accounts []Account `json:"accounts"`
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
	Presets  []Preset  `json:"presets"`
	// Objective defaults to ObjectiveCompletion.
	Objective Objective `json:"objective"`
	// InitialPreset is the preset in force after the first document is published.
	// Later documents do not change the preset in force, so that publishing never
	// reverts a preset switch.
	InitialPreset string `json:"initial_preset"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Weight is the account's relative weight in fair sharing, at least 1.
	Weight int `json:"weight"`
	// MaxQueued limits the account's pending jobs; zero means no limit.
	MaxQueued int `json:"max_queued,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Service is a kind of short request, served by upstreams.
type Service struct {
	Name    string  `json:"name"`
	Classes []Class `json:"classes"`
}

// Class is a class of short requests within a service.
type Class struct {
	Name string `json:"name"`
	// TimeoutMS is the default timeout of a request, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// MaxQueued limits the queued requests of one account on one node.
	MaxQueued int `json:"max_queued"`
}

// Preset is a named set of guarantees; exactly one preset is in force.
type Preset struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees"`
}

// Guarantee is an account's guaranteed shape: Count groups of Workers workers each.
// The workers of a group are adjacent as Within requires, and each provides
// PerWorker resources.
type Guarantee struct {
	Account   string        `json:"account"`
	Count     int           `json:"count"`
	Workers   int           `json:"workers"`
	PerWorker api.Resources `json:"per_worker"`
	Within    api.Adjacency `json:"within"`
}

// Decode parses and validates a document. Its error, an *api.Error, names the path
// of every invalid field.
func Decode(data []byte) (*Config, error) {
	c := &Config{}
	if err := api.DecodeStrict(data, MaxBytes, c); err != nil {
		return nil, err
	}
	return c, c.Validate()
}

// Account returns the account called name, or nil.
func (c *Config) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// Zone returns the availability zone called name, or nil.
func (c *Config) Zone(name string) *Zone {
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			return &c.Zones[i]
		}
	}
	return nil
}

// Service returns the service called name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Preset returns the preset called name, or nil.
func (c *Config) Preset(name string) *Preset {
	for i := range c.Presets {
		if c.Presets[i].Name == name {
			return &c.Presets[i]
		}
	}
	return nil
}

// Class returns the class called name, or nil.
func (s *Service) Class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}
