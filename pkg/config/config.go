// Package config holds the configuration that operators publish: client
// accounts, availability zones, services and presets. It is pure; the state
// package decides in log order which configuration is in force.
package config

import (
	"fmt"

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

// Decode parses and validates a document. It names the path of the first bad field.
func Decode(data []byte) (*Config, error) {
	c := &Config{}
	if err := api.DecodeStrict(data, MaxBytes, c); err != nil {
		return nil, err
	}
	return c, c.Validate()
}

// Validate checks the document as one whole.
func (c *Config) Validate() error {
	if c.Objective == "" {
		c.Objective = ObjectiveCompletion
	}
	if c.Objective != ObjectiveCompletion && c.Objective != ObjectiveZoneWork {
		return api.FieldErrorf("objective", "%q is not %s or %s", c.Objective, ObjectiveCompletion, ObjectiveZoneWork)
	}
	for _, check := range []func() error{c.validateAccounts, c.validateZones, c.validateServices, c.validatePresets} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateAccounts() error {
	names := nameSet{}
	for i, a := range c.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		if err := names.add(path, a.Name); err != nil {
			return err
		}
		if a.Weight < 1 {
			return api.FieldErrorf(path+".weight", "%d is below 1", a.Weight)
		}
		if a.MaxQueued < 0 {
			return api.FieldErrorf(path+".max_queued", "%d is negative", a.MaxQueued)
		}
	}
	return nil
}

func (c *Config) validateZones() error {
	if len(c.Zones) == 0 {
		return api.FieldErrorf("zones", "must name at least one availability zone")
	}
	names := nameSet{}
	for i, z := range c.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		if err := names.add(path, z.Name); err != nil {
			return err
		}
		if z.Region == "" {
			return api.FieldErrorf(path+".region", "must be set")
		}
	}
	return nil
}

func (c *Config) validateServices() error {
	names := nameSet{}
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		if err := names.add(path, s.Name); err != nil {
			return err
		}
		classes := nameSet{}
		for j, k := range s.Classes {
			classPath := fmt.Sprintf("%s.classes[%d]", path, j)
			if err := classes.add(classPath, k.Name); err != nil {
				return err
			}
			if k.TimeoutMS < 1 {
				return api.FieldErrorf(classPath+".timeout_ms", "%d is below 1", k.TimeoutMS)
			}
			if k.MaxQueued < 1 {
				return api.FieldErrorf(classPath+".max_queued", "%d is below 1", k.MaxQueued)
			}
		}
		if len(s.Classes) == 0 {
			return api.FieldErrorf(path+".classes", "must name at least one class")
		}
	}
	return nil
}

func (c *Config) validatePresets() error {
	names := nameSet{}
	for i, p := range c.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		if err := names.add(path, p.Name); err != nil {
			return err
		}
		for j, g := range p.Guarantees {
			if err := c.validateGuarantee(fmt.Sprintf("%s.guarantees[%d]", path, j), g); err != nil {
				return err
			}
		}
	}
	if !names[c.InitialPreset] {
		return api.FieldErrorf("initial_preset", "%q is not the name of a preset", c.InitialPreset)
	}
	return nil
}

func (c *Config) validateGuarantee(path string, g Guarantee) error {
	switch {
	case c.Account(g.Account) == nil:
		return api.FieldErrorf(path+".account", "%q is not an account", g.Account)
	case g.Count < 1:
		return api.FieldErrorf(path+".count", "%d is below 1", g.Count)
	case g.Workers < 1 || g.Workers > api.MaxGangTasks:
		return api.FieldErrorf(path+".workers", "%d is not between 1 and %d", g.Workers, api.MaxGangTasks)
	case g.PerWorker.Cores < 0 || g.PerWorker.MemoryGB < 0 || g.PerWorker.Accelerators < 1:
		return api.FieldErrorf(path+".per_worker", "must ask for at least 1 accelerator and nothing negative")
	case !g.Within.Valid():
		return api.FieldErrorf(path+".within", "%q is not worker, rack or zone", g.Within)
	case g.Within == api.WithinWorker && g.Workers > 1:
		return api.FieldErrorf(path+".within", "%d workers cannot be adjacent within one worker", g.Workers)
	}
	return nil
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

type nameSet map[string]bool

func (n nameSet) add(path, name string) error {
	if name == "" {
		return api.FieldErrorf(path+".name", "must be set")
	}
	if n[name] {
		return api.FieldErrorf(path+".name", "%q is used twice", name)
	}
	n[name] = true
	return nil
}
