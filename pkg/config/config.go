// Package config holds the configuration that operators publish: client
// accounts, availability zones, services and presets. It is pure; the state
// package decides in log order which configuration is in force.
package config

import (
	"github.com/shallotpin/shallotpin/pkg/api"
)

// MaxBytes bounds the size of a configuration document in bytes.
const MaxBytes = 1 << 20

// Objective says which measure the placement policy puts first.
type Objective string

const (
	// ObjectiveCompletion weighs the completion time of jobs more.
	ObjectiveCompletion Objective = "completion"
	// ObjectiveZoneWork weighs the work done during availability zone moves more.
	ObjectiveZoneWork Objective = "zone-work"
)

// Config is one whole configuration document.
type Config struct {
	Accounts  []Account `json:"accounts"`
	Zones     []Zone    `json:"zones"`
	Services  []Service `json:"services"`
	Presets   []Preset  `json:"presets"`
	Objective Objective `json:"objective"`
	// InitialPreset is put in force by the first document only; afterwards
	// preset switches alone decide, so that publishing never reverts a switch.
	InitialPreset string `json:"initial_preset"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Weight is the account's fair share relative to the others, at least 1.
	Weight int `json:"weight"`
	// MaxQueued bounds the account's waiting jobs; zero means no bound.
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
	// TimeoutMS is the deadline of a request that names none, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// MaxQueued bounds the waiting requests of one account on one node.
	MaxQueued int `json:"max_queued"`
}

// Preset is a set of guarantees; exactly one preset is in force.
type Preset struct {
	Name       string      `json:"name"`
	Guarantees []Guarantee `json:"guarantees"`
}

// Guarantee is an account's guaranteed shape: Count groups of Workers workers
// each, adjacent within Within, with PerWorker resources on each worker.
type Guarantee struct {
	Account   string        `json:"account"`
	Count     int           `json:"count"`
	Workers   int           `json:"workers"`
	PerWorker api.Resources `json:"per_worker"`
	Within    api.Adjacency `json:"within"`
}

// Decode parses and validates a document. Its error names the
// path of every bad field.
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
