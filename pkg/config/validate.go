package config

import (
	"fmt"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// Validate sets the default objective and checks the document. Its error, an
// *api.Error, names the path of every invalid field.
func (c *Config) Validate() error {
	if c.Objective == "" {
		c.Objective = ObjectiveCompletion
	}
	v := &validator{config: c}
	v.Require(c.Objective == ObjectiveCompletion || c.Objective == ObjectiveZoneWork,
		"objective", "%q is not %s or %s", c.Objective, ObjectiveCompletion, ObjectiveZoneWork)
	v.accounts()
	v.zones()
	v.services()
	v.presets()
	return v.Err()
}

// validator collects the invalid fields of one document.
type validator struct {
	api.Problems
	config *Config
}

func (v *validator) accounts() {
	names := nameSet{}
	for i, a := range v.config.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		v.name(names, path, a.Name)
		v.Require(a.Weight >= 1, path+".weight", "%d is below 1", a.Weight)
		v.Require(a.MaxQueued >= 0, path+".max_queued", "%d is negative", a.MaxQueued)
	}
}

func (v *validator) zones() {
	v.Require(len(v.config.Zones) > 0, "zones", "must name at least one availability zone")
	names := nameSet{}
	for i, z := range v.config.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		v.name(names, path, z.Name)
		v.Require(z.Region != "", path+".region", "must be set")
	}
}

func (v *validator) services() {
	names := nameSet{}
	for i, s := range v.config.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.name(names, path, s.Name)
		v.Require(len(s.Classes) > 0, path+".classes", "must name at least one class")
		classes := nameSet{}
		for j, k := range s.Classes {
			classPath := fmt.Sprintf("%s.classes[%d]", path, j)
			v.name(classes, classPath, k.Name)
			v.Require(k.TimeoutMS >= 1, classPath+".timeout_ms", "%d is below 1", k.TimeoutMS)
			v.Require(k.MaxQueued >= 1, classPath+".max_queued", "%d is below 1", k.MaxQueued)
		}
	}
}

func (v *validator) presets() {
	names := nameSet{}
	for i, p := range v.config.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		v.name(names, path, p.Name)
		for j, g := range p.Guarantees {
			v.guarantee(fmt.Sprintf("%s.guarantees[%d]", path, j), g)
		}
	}
	v.Require(names[v.config.InitialPreset], "initial_preset", "%q is not the name of a preset", v.config.InitialPreset)
}

func (v *validator) guarantee(path string, g Guarantee) {
	r := g.PerWorker
	v.Require(v.config.Account(g.Account) != nil, path+".account", "%q is not an account", g.Account)
	v.Require(g.Count >= 1, path+".count", "%d is below 1", g.Count)
	v.Require(g.Workers >= 1 && g.Workers <= api.MaxGangTasks, path+".workers", "%d is not between 1 and %d", g.Workers, api.MaxGangTasks)
	v.Require(r.Cores >= 0 && r.MemoryGB >= 0 && r.Accelerators >= 1, path+".per_worker", "must ask for at least 1 accelerator and nothing negative")
	v.Require(g.Within.Valid(), path+".within", "%q is not worker, rack or zone", g.Within)
	v.Require(g.Within != api.WithinWorker || g.Workers <= 1, path+".within", "%d workers cannot be adjacent within one worker", g.Workers)
}

type nameSet map[string]bool

// name checks that the name of a list element is set and not in seen, and adds it.
func (v *validator) name(seen nameSet, path, name string) {
	v.Require(name != "", path+".name", "must be set")
	v.Require(name == "" || !seen[name], path+".name", "%q is used twice", name)
	seen[name] = true
}
