package state

import (
	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// Outcome is the result of applying one record.
type Outcome struct {
	// Err is the reason why the record was refused, or nil if it was accepted.
	Err *api.Error
	// Duplicate is set if the record had been applied before.
	Duplicate bool
	// Version is the version that an accepted change of the configuration, preset or
	// zone created.
	Version uint64
	// JobID is the job that the record concerns; for a submission, the job that it
	// created or found by its key.
	JobID string
	// Token is the fencing token of the attempt that an accepted plan, claim or begin
	// record concerns.
	Token int64
	// Key is the key claim in force after a ClaimKey record.
	Key KeyClaim
}

// Apply applies one record to the state. A record that the state has applied before
// has no effect.
func (s *State) Apply(r *Record) Outcome {
	if r.Seq <= s.Writers[r.Writer].Seq {
		return Outcome{Duplicate: true}
	}
	s.recordWriter(r.Writer, r.Seq)
	switch {
	case r.Publish != nil:
		return s.applyPublish(r.Publish)
	case r.Preset != nil:
		return s.applyPreset(r.Preset)
	case r.Zone != nil:
		return s.applyZone(r.Zone)
	case r.Fleet != nil:
		return s.applyFleet(r.Fleet)
	case r.Submit != nil:
		return s.applySubmit(r.Submit)
	case r.Cancel != nil:
		return s.applyCancel(r.Cancel)
	case r.Plan != nil:
		return s.applyPlan(r.Plan)
	case r.Preempt != nil:
		return s.applyPreempt(r.Preempt)
	case r.Claim != nil:
		return s.applyClaim(r.Claim)
	case r.Begin != nil:
		return s.applyBegin(r.Begin)
	case r.Stop != nil:
		return s.applyStop(r.Stop)
	case r.End != nil:
		return s.applyEnd(r.End)
	case r.ClaimKey != nil:
		return s.applyClaimKey(r.ClaimKey)
	case r.Snapshot != nil:
		return s.applySnapshot(r.Snapshot)
	}
	return refusal(api.Errorf(api.CodeInvalid, "record has no known kind"))
}

func refusal(e *api.Error) Outcome { return Outcome{Err: e} }

func versionConflict(what string, base, current uint64) Outcome {
	return refusal(api.Errorf(api.CodeConflict, "%s is at version %d, the change was based on version %d; nothing was changed", what, current, base))
}

func (s *State) applyPublish(p *Publish) Outcome {
	if p.Base != s.ConfigVersion {
		return versionConflict("the configuration", p.Base, s.ConfigVersion)
	}
	c, err := s.publishedConfig(p)
	if err != nil {
		return refusal(api.AsError(err, api.NotRun))
	}
	preset := s.Preset
	if s.Config == nil {
		preset = c.InitialPreset
	}
	if c.Preset(preset) == nil {
		return refusal(api.FieldErrorf("presets", "preset %q is in force and must not be removed", preset))
	}
	if err := s.checkGuarantees(c, preset); err != nil {
		return refusal(err)
	}
	s.Config, s.Preset = c, preset
	s.ConfigVersion++
	s.addZones(c)
	s.rebindCells()
	return Outcome{Version: s.ConfigVersion}
}

// publishedConfig returns the full document that a publication gives, and an error if it
// is invalid.
func (s *State) publishedConfig(p *Publish) (*config.Config, error) {
	c := p.Config
	if p.Diff != nil && s.Config != nil {
		var err error
		if c, err = p.Diff.Apply(s.Config); err != nil {
			return nil, err
		}
	}
	if c == nil {
		return nil, api.FieldErrorf("config", "must be set")
	}
	return c, c.Validate()
}

// addZones adds the availability zones of c that are new; the others keep their state.
func (s *State) addZones(c *config.Config) {
	for _, z := range c.Zones {
		if s.Zones[z.Name] == nil {
			s.Zones[z.Name] = &ZoneState{}
		}
	}
}

func (s *State) applyPreset(p *SwitchPreset) Outcome {
	if p.Base != s.PresetVersion {
		return versionConflict("the preset", p.Base, s.PresetVersion)
	}
	if s.Config == nil || s.Config.Preset(p.Preset) == nil {
		return refusal(api.FieldErrorf("preset", "%q is not the name of a preset", p.Preset))
	}
	if err := s.checkGuarantees(s.Config, p.Preset); err != nil {
		return refusal(err)
	}
	s.Preset = p.Preset
	s.PresetVersion++
	s.rebindCells()
	return Outcome{Version: s.PresetVersion}
}

func (s *State) applyZone(z *SetZone) Outcome {
	zone := s.Zones[z.Zone]
	if zone == nil {
		return refusal(api.FieldErrorf("zone", "%q is not the name of an availability zone", z.Zone))
	}
	if z.Base != zone.Version {
		return versionConflict("availability zone "+z.Zone, z.Base, zone.Version)
	}
	zone.Out = z.Out
	zone.Version++
	s.rebindCells()
	return Outcome{Version: zone.Version}
}

func (s *State) applyFleet(f *ChangeFleet) Outcome {
	for _, vm := range f.Seen {
		w := s.Workers[vm.ID]
		if w == nil {
			w = &Worker{ID: vm.ID}
			s.Workers[vm.ID] = w
		}
		if w.Gone {
			continue
		}
		w.Zone, w.Rack, w.Address, w.Capacity, w.Leaving = vm.Zone, vm.Rack, vm.Address, vm.Capacity, vm.Leaving
	}
	for _, id := range f.Gone {
		if w := s.Workers[id]; w != nil {
			w.Gone = true
			s.deleteIfUnused(w)
		}
	}
	s.rebindCells()
	if len(f.Gone) > 0 {
		s.failImpossibleJobs()
	}
	return Outcome{}
}

func (s *State) deleteIfUnused(w *Worker) {
	if w.Gone && w.Used == (api.Resources{}) {
		delete(s.Workers, w.ID)
	}
}
