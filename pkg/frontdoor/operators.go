package frontdoor

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/state"
)

// proposeTimeout bounds the wait for a record to be written to the log and applied.
const proposeTimeout = 10 * time.Second

// ConfigBody is the configuration in force.
type ConfigBody struct {
	Version       uint64         `json:"version"`
	Preset        string         `json:"preset"`
	PresetVersion uint64         `json:"preset_version"`
	Config        *config.Config `json:"config"`
}

// ChangeBody confirms a change of configuration.
type ChangeBody struct {
	Verdict api.Verdict `json:"verdict"`
	Version uint64      `json:"version"`
}

// PresetCall is the body of a request to switch the preset. Base, if set, must be
// the current preset version, or the switch fails with a conflict; the default is
// the version that the node knows.
type PresetCall struct {
	Preset string  `json:"preset"`
	Base   *uint64 `json:"base,omitempty"`
}

// ZoneCall is the body of a request to take an availability zone out of use or
// back into use. Base, if set, must be the zone's current version, or the change
// fails with a conflict; the default is the version that the node knows.
type ZoneCall struct {
	Out  bool    `json:"out"`
	Base *uint64 `json:"base,omitempty"`
}

func (s *Service) getConfig(w http.ResponseWriter, _ *http.Request) {
	var body ConfigBody
	s.journal.View(func(st *state.State) {
		body = ConfigBody{st.ConfigVersion, st.Preset, st.PresetVersion, st.Config}
	})
	if body.Config == nil {
		writeError(w, api.Errorf(api.CodeNotFound, "no configuration has been published"))
		return
	}
	writeJSON(w, http.StatusOK, api.Ran, body)
}

func (s *Service) putConfig(w http.ResponseWriter, r *http.Request) {
	var c *config.Config
	body, err := s.decodeBody(r, config.MaxBytes, func(data []byte) (err error) {
		c, err = config.Decode(data)
		return err
	})
	if err != nil {
		writeError(w, err)
		return
	}
	defer body.Close()
	base, err := baseParam(r)
	if err != nil {
		writeError(w, err)
		return
	}
	rec := &state.Publish{Config: c}
	diff := s.allNodesSupport(state.FormatDiff)
	s.proposeChange(w, r, base, state.Record{Publish: rec}, &rec.Base, func(st *state.State) uint64 {
		if base == nil || *base == st.ConfigVersion {
			*rec = *st.NewPublish(c, diff)
		}
		return st.ConfigVersion
	})
}

// allNodesSupport reports whether every live node can read records of this format.
func (s *Service) allNodesSupport(format int) bool {
	for _, m := range s.members.Live(time.Now()) {
		if m.Format < format {
			return false
		}
	}
	return true
}

func (s *Service) putPreset(w http.ResponseWriter, r *http.Request) {
	var call PresetCall
	if err := s.decodeCall(r, &call); err != nil {
		writeError(w, err)
		return
	}
	rec := &state.SwitchPreset{Preset: call.Preset}
	s.proposeChange(w, r, call.Base, state.Record{Preset: rec}, &rec.Base, func(st *state.State) uint64 { return st.PresetVersion })
}

func (s *Service) putZone(w http.ResponseWriter, r *http.Request) {
	var call ZoneCall
	if err := s.decodeCall(r, &call); err != nil {
		writeError(w, err)
		return
	}
	rec := &state.SetZone{Zone: r.PathValue("zone"), Out: call.Out}
	s.proposeChange(w, r, call.Base, state.Record{Zone: rec}, &rec.Base, func(st *state.State) uint64 {
		if z := st.Zones[rec.Zone]; z != nil {
			return z.Version
		}
		return 0
	})
}

// proposeChange writes a configuration change to the log and replies with the
// result of applying it. It sets *base, a field of rec, to given or, if that is
// nil, to the version that current returns.
func (s *Service) proposeChange(w http.ResponseWriter, r *http.Request, given *uint64, rec state.Record, base *uint64, current func(*state.State) uint64) {
	if err := s.waitCaughtUp(r.Context()); err != nil {
		writeError(w, err)
		return
	}
	s.journal.View(func(st *state.State) { *base = current(st) })
	if given != nil {
		*base = *given
	}
	out, err := s.propose(r.Context(), rec)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.Ran, ChangeBody{api.Ran, out.Version})
}

// catchUpTimeout bounds how long a change waits until a node that has just started is
// up to date with the log.
const catchUpTimeout = 2 * time.Second

// waitCaughtUp waits until the node's state is up to date with the log, which a
// change requires. After catchUpTimeout it returns why a change is refused.
func (s *Service) waitCaughtUp(ctx context.Context) error {
	refusal := s.relay.CheckChange(time.Now())
	if refusal == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if s.journal.Sync(ctx) != nil {
		return refusal
	}
	return nil
}

// propose writes a record to the log and waits until it is applied. It returns an
// error if the write failed or the record was rejected when applied.
func (s *Service) propose(ctx context.Context, rec state.Record) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := s.journal.Propose(ctx, rec)
	if err != nil {
		return out, err
	}
	if out.Err != nil {
		return out, out.Err
	}
	return out, nil
}

// StatusBody is a summary of the system for operators.
type StatusBody struct {
	Preset        string            `json:"preset"`
	ConfigVersion uint64            `json:"config_version"`
	Accounts      []AccountStatus   `json:"accounts"`
	Zones         []ZoneStatus      `json:"zones"`
	Nodes         []string          `json:"nodes"`
	Jobs          map[api.Phase]int `json:"jobs"`
	// LogAgeMS bounds how far the node's state may be behind the log, in
	// milliseconds; -1 means that the log has not been read yet.
	LogAgeMS int64 `json:"log_age_ms"`
	// Offset is the offset of the next log entry that the node applies.
	Offset int64 `json:"offset"`
}

// AccountStatus is an account with its guarantees and its numbers of jobs.
type AccountStatus struct {
	Name       string             `json:"name"`
	Guarantees []config.Guarantee `json:"guarantees"`
	// Unfit lists the guaranteed shapes that do not fit on the available workers.
	Unfit   []cells.Shape `json:"unfit,omitempty"`
	Pending int           `json:"pending"`
	// Placed counts the jobs that have a placement, including those being stopped.
	Placed int `json:"placed"`
}

// ZoneStatus is an availability zone with its machines and resources.
type ZoneStatus struct {
	Name      string        `json:"name"`
	Out       bool          `json:"out"`
	Workers   int           `json:"workers"`
	Upstreams int           `json:"upstreams"`
	Capacity  api.Resources `json:"capacity"`
	Used      api.Resources `json:"used"`
}

func (s *Service) getStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	body := StatusBody{Jobs: map[api.Phase]int{}, LogAgeMS: -1}
	if age, ok := s.journal.Age(now); ok {
		body.LogAgeMS = age.Milliseconds()
	}
	for _, m := range s.members.Live(now) {
		body.Nodes = append(body.Nodes, m.ID)
	}
	upstreams, _ := s.fleet.VMs(backend.KindUpstream)
	s.journal.View(func(st *state.State) { fillStatus(&body, st, upstreams) })
	writeJSON(w, http.StatusOK, api.Ran, body)
}

func fillStatus(body *StatusBody, st *state.State, upstreams []backend.VM) {
	body.Preset, body.ConfigVersion, body.Offset = st.Preset, st.ConfigVersion, st.Offset
	body.Zones = zoneStatuses(st, upstreams)
	body.Accounts = accountStatuses(st)
	for _, j := range st.Jobs {
		body.Jobs[j.Phase]++
	}
}

// zoneStatuses returns the status of each availability zone of the configuration, of a
// worker or of an upstream, sorted by name.
func zoneStatuses(st *state.State, upstreams []backend.VM) []ZoneStatus {
	zones := map[string]*ZoneStatus{}
	zone := func(name string) *ZoneStatus {
		if zones[name] == nil {
			zones[name] = &ZoneStatus{Name: name, Out: st.ZoneOut(name)}
		}
		return zones[name]
	}
	for name := range st.Zones {
		zone(name)
	}
	for _, worker := range st.Workers {
		z := zone(worker.Zone)
		z.Workers++
		z.Capacity = z.Capacity.Add(worker.Capacity)
		z.Used = z.Used.Add(worker.Used)
	}
	for _, vm := range upstreams {
		zone(vm.Zone).Upstreams++
	}
	out := make([]ZoneStatus, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, *zones[name])
	}
	return out
}

func accountStatuses(st *state.State) []AccountStatus {
	if st.Config == nil {
		return nil
	}
	out := make([]AccountStatus, len(st.Config.Accounts))
	index := map[string]*AccountStatus{}
	for i, a := range st.Config.Accounts {
		out[i].Name = a.Name
		index[a.Name] = &out[i]
	}
	for _, g := range st.Guarantees() {
		index[g.Account].Guarantees = append(index[g.Account].Guarantees, g)
	}
	for _, shape := range st.Cells.Unfit {
		if a := index[shape.Account]; a != nil {
			a.Unfit = append(a.Unfit, shape)
		}
	}
	for _, j := range st.Jobs {
		a := index[j.Spec.Account]
		switch {
		case a == nil:
		case j.Phase == api.PhasePending:
			a.Pending++
		case !j.Phase.Ended():
			a.Placed++
		}
	}
	return out
}
