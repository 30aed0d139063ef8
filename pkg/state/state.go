package state

import (
	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/cells"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// maxEndedJobs bounds the number of ended jobs that the state keeps.
const maxEndedJobs = 4096

// State is the result of applying the log's records up to Offset. It is not safe for
// concurrent use.
type State struct {
	// Format is the format of the state itself. It stays FormatFull although records
	// have newer formats: the state holds full documents only, so older programs can
	// read it.
	Format int `json:"format"`
	// Offset is the offset of the next entry to apply.
	Offset int64 `json:"offset"`

	Config        *config.Config        `json:"config,omitempty"`
	ConfigVersion uint64                `json:"config_version"`
	Preset        string                `json:"preset"`
	PresetVersion uint64                `json:"preset_version"`
	Zones         map[string]*ZoneState `json:"zones"`

	Workers map[string]*Worker `json:"workers"`
	// Cells is the binding of the guarantees in force to workers.
	Cells cells.Binding   `json:"cells"`
	Jobs  map[string]*Job `json:"jobs"`
	// JobKeys maps the idempotency keys of submissions to job IDs.
	JobKeys map[string]string `json:"job_keys"`
	// Ended lists ended jobs, oldest first.
	Ended []string `json:"ended"`
	// LastToken is the fencing token of the newest plan.
	LastToken int64 `json:"last_token"`
	// Submitted is the number of jobs accepted so far.
	Submitted int64 `json:"submitted"`
	// Keys holds the key claims by key digest; KeyOrder lists the digests, oldest
	// claim first.
	Keys     map[string]KeyClaim `json:"keys,omitempty"`
	KeyOrder []string            `json:"key_order,omitempty"`
	// Writers holds the last record applied of each writer, by writer.
	Writers map[string]WriterMark `json:"writers"`
	// Snapshot is the newest complete snapshot in the log.
	Snapshot SnapshotMark `json:"snapshot,omitzero"`
	// PartialSnapshots are the snapshots that are not complete yet, oldest first.
	PartialSnapshots []PartialSnapshot `json:"partial_snapshots,omitempty"`
}

// ZoneState is the state of an availability zone. Version counts its changes.
type ZoneState struct {
	Out     bool   `json:"out"`
	Version uint64 `json:"version"`
}

// Worker is a worker and the resources that current attempts hold on it.
type Worker struct {
	ID       string        `json:"id"`
	Zone     string        `json:"zone"`
	Rack     string        `json:"rack"`
	Address  string        `json:"address"`
	Capacity api.Resources `json:"capacity"`
	Used     api.Resources `json:"used"`
	Leaving  bool          `json:"leaving,omitempty"`
	// Reserved is the capacity that cells reserve on the worker, by account.
	// NonPreemptible is the capacity held by attempts that must not be preempted, by
	// account.
	Reserved       cells.ByAccount `json:"reserved,omitempty"`
	NonPreemptible cells.ByAccount `json:"pinned,omitempty"`
	// FailedJobs are the jobs that failed on the worker since a job last succeeded there.
	FailedJobs []string `json:"blamed,omitempty"`
	// Gone is set for a lost worker on which current attempts still hold resources.
	Gone bool `json:"gone,omitempty"`
}

// Free returns the capacity that no attempt holds.
func (w *Worker) Free() api.Resources { return w.Capacity.Sub(w.Used) }

// Job is an accepted job.
type Job struct {
	ID   string      `json:"id"`
	Key  string      `json:"key,omitempty"`
	Spec api.JobSpec `json:"spec"`
	// Order is the job's position in the order of submission, starting at 1.
	Order int64     `json:"order"`
	Phase api.Phase `json:"phase"`
	// Plans counts the accepted plans. Attempts counts those that may have
	// started, except attempts that were stopped with a checkpoint.
	Plans    int `json:"plans"`
	Attempts int `json:"attempts"`
	// Token is the fencing token of the latest attempt. Coordinator, the incarnation of
	// a node, and Placements are set only while there is a current attempt.
	Token       int64       `json:"token,omitempty"`
	Coordinator string      `json:"coordinator,omitempty"`
	Placements  []Placement `json:"placements,omitempty"`
	// Started is set if a task of the current attempt may have been started.
	Started     bool        `json:"started,omitempty"`
	Cancelled   bool        `json:"cancelled,omitempty"`
	Verdict     api.Verdict `json:"verdict"`
	Results     []string    `json:"results,omitempty"`
	Checkpoints []string    `json:"checkpoints,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	// PreemptedFor is the job for which the current attempt is being preempted.
	PreemptedFor string `json:"yields_to,omitempty"`
	// HasPreempted is set if attempts were preempted for the job since it was last
	// placed.
	HasPreempted bool `json:"owed,omitempty"`
	// FailedOn lists the workers on which attempts of the job failed since one
	// succeeded.
	FailedOn []string `json:"failed_on,omitempty"`
}

// Status returns the job's status as reported to callers.
func (j *Job) Status() api.JobStatus {
	st := api.JobStatus{
		ID: j.ID, Spec: j.Spec, Phase: j.Phase, Verdict: j.Verdict,
		Attempts: j.Attempts, Results: j.Results, Reason: j.Reason,
	}
	for _, p := range j.Placements {
		st.Workers = append(st.Workers, p.Worker)
	}
	return st
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Format: FormatFull,
		Zones:  map[string]*ZoneState{}, Workers: map[string]*Worker{}, Jobs: map[string]*Job{},
		JobKeys: map[string]string{}, Writers: map[string]WriterMark{},
	}
}

// ZoneOut reports whether an availability zone is out of service or unknown.
func (s *State) ZoneOut(name string) bool {
	z := s.Zones[name]
	return z == nil || z.Out
}

// Guarantees returns the guarantees of the preset in force.
func (s *State) Guarantees() []config.Guarantee {
	if s.Config == nil {
		return nil
	}
	if p := s.Config.Preset(s.Preset); p != nil {
		return p.Guarantees
	}
	return nil
}
