// Package state defines the records of the log and applies them to the scheduler's
// replicated state: configuration, zones, workers, jobs and their attempts. It is
// deterministic: the same records in the same order give the same state, and the same
// outcome of each record, on every node.
package state

import (
	"encoding/json"
	"fmt"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// Record is one record of the log. Exactly one of the pointers is set. Writer and Seq
// identify it, so that an append that was repeated because its answer was lost is
// applied once.
type Record struct {
	// Writer is the incarnation of the node that wrote the record.
	Writer string `json:"w"`
	// Seq numbers the records of a writer, starting at 1.
	Seq uint64 `json:"s"`

	Publish  *Publish      `json:"publish,omitempty"`
	Preset   *SwitchPreset `json:"preset,omitempty"`
	Zone     *SetZone      `json:"zone,omitempty"`
	Fleet    *ChangeFleet  `json:"fleet,omitempty"`
	Submit   *SubmitJob    `json:"submit,omitempty"`
	Cancel   *CancelJob    `json:"cancel,omitempty"`
	Plan     *PlanJob      `json:"plan,omitempty"`
	Preempt  *PreemptJob   `json:"preempt,omitempty"`
	Claim    *ClaimJob     `json:"claim,omitempty"`
	Begin    *BeginAttempt `json:"begin,omitempty"`
	Stop     *StopAttempt  `json:"stop,omitempty"`
	End      *EndAttempt   `json:"end,omitempty"`
	ClaimKey *ClaimKey     `json:"claim_key,omitempty"`

	Snapshot *SnapshotChunk `json:"snapshot,omitempty"`
}

// Format is the newest record format that this program reads. It is raised with every
// change of the records, or of how they are applied, that an older program would apply
// differently, since all nodes must compute the same state.
const Format = FormatDiff

const (
	// FormatFull is the first format: a publication holds the full document.
	FormatFull = 1
	// FormatDiff adds publications that hold the difference to their base document,
	// and StopAttempt records.
	FormatDiff = 2
)

// Batch is the payload of one log entry.
type Batch struct {
	Format  int      `json:"format"`
	Records []Record `json:"records"`
}

// EncodeBatch returns the log entry for records. It uses the oldest format that can
// hold them, so that older programs can keep reading the log as long as possible.
func EncodeBatch(records []Record) ([]byte, error) {
	format := FormatFull
	for i := range records {
		if p := records[i].Publish; records[i].Stop != nil || (p != nil && p.Diff != nil) {
			format = FormatDiff
		}
	}
	return json.Marshal(Batch{format, records})
}

// NewerFormatError reports a log entry or snapshot that a newer program wrote. A node
// must not apply the entry or any later one.
type NewerFormatError struct{ Format int }

// Error implements the error interface.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("the log holds records of format %d, this program reads formats up to %d", e.Format, Format)
}

// DecodeBatch parses a log entry. Its error is a *NewerFormatError if a newer
// program wrote the entry.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	err := json.Unmarshal(data, &b)
	if b.Format > Format {
		return b, &NewerFormatError{b.Format}
	}
	return b, err
}

// Publish replaces the configuration document. It is refused unless Base is the version
// of the document in force. Either Config is the new document, or Diff is its
// difference to the one in force. In both cases the full new document is validated.
type Publish struct {
	Base   uint64         `json:"base"`
	Config *config.Config `json:"config,omitempty"`
	Diff   *config.Diff   `json:"diff,omitempty"`
}

// NewPublish returns the publication of c based on the document in force. With diff, it
// holds only the difference, provided that applying it gives the same document.
func (s *State) NewPublish(c *config.Config, diff bool) *Publish {
	p := &Publish{Base: s.ConfigVersion, Config: c}
	if !diff || s.Config == nil {
		return p
	}
	d := config.NewDiff(s.Config, c)
	if got, err := d.Apply(s.Config); err != nil || !config.Equal(got, c) {
		return p
	}
	return &Publish{Base: s.ConfigVersion, Diff: d}
}

// SwitchPreset puts another preset in force. It is refused unless Base is the
// version of the last switch.
type SwitchPreset struct {
	Base   uint64 `json:"base"`
	Preset string `json:"preset"`
}

// SetZone takes an availability zone out of service or puts it back in service. It
// is refused unless Base is the version of that zone.
type SetZone struct {
	Base uint64 `json:"base"`
	Zone string `json:"zone"`
	Out  bool   `json:"out"`
}

// ChangeFleet records changes of the VM list: Seen are workers that are new or changed,
// Gone the IDs of workers that are no longer listed, which are permanently lost.
type ChangeFleet struct {
	Seen []backend.VM `json:"seen,omitempty"`
	Gone []string     `json:"gone,omitempty"`
}

// SubmitJob accepts a job. Key, if set, makes the submission idempotent.
type SubmitJob struct {
	ID   string      `json:"id"`
	Key  string      `json:"key,omitempty"`
	Spec api.JobSpec `json:"spec"`
}

// CancelJob cancels a job. If it has an attempt, the attempt is stopped first.
type CancelJob struct {
	Job string `json:"job"`
}

// Placement puts one task of a gang on a worker.
type Placement struct {
	Worker string `json:"worker"`
}

// PlanJob creates an attempt of a pending job. It is refused unless the job is pending,
// has had exactly Attempt accepted plans before, and every placement still fits.
type PlanJob struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	// Coordinator is the incarnation of the node that coordinates the attempt.
	Coordinator string      `json:"coordinator"`
	Placements  []Placement `json:"placements"`
}

// PreemptJob makes the coordinator of an attempt stop it, so that the job can be placed
// again later. It is refused for an attempt that must not be preempted.
type PreemptJob struct {
	Job    string `json:"job"`
	Token  int64  `json:"token"`
	Reason string `json:"reason"`
	// For is the job for which capacity is freed, if any.
	For string `json:"for,omitempty"`
}

// ClaimJob makes another node the coordinator of an attempt.
type ClaimJob struct {
	Job   string `json:"job"`
	Token int64  `json:"token"`
	// From is the incarnation of the coordinator that the claim replaces. The claim
	// is refused if another node coordinates the attempt.
	From string `json:"from"`
	To   string `json:"to"`
}

// BeginAttempt is written by the coordinator after it has reserved every task and
// before it starts the first one. It is refused if, at its place in the log, the
// attempt is no longer placed under this coordinator, or one of its workers is gone or in
// a zone that is out. So a coordinator that was replaced starts nothing, and an attempt
// without an accepted BeginAttempt has started nothing.
type BeginAttempt struct {
	Job         string `json:"job"`
	Token       int64  `json:"token"`
	Coordinator string `json:"coordinator"`
}

// StopAttempt is written by the coordinator of a failed attempt before it stops the
// first task. It is refused unless, at its place in the log, Coordinator coordinates
// the attempt. So a coordinator that was replaced stops nothing.
type StopAttempt struct {
	Job         string `json:"job"`
	Token       int64  `json:"token"`
	Coordinator string `json:"coordinator"`
	Reason      string `json:"reason"`
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome string

const (
	// OutcomeDone means that every task finished.
	OutcomeDone AttemptOutcome = "done"
	// OutcomeNeverStarted means that no task started.
	OutcomeNeverStarted AttemptOutcome = "never-started"
	// OutcomeStopped means that the attempt was stopped on request.
	OutcomeStopped AttemptOutcome = "stopped"
	// OutcomeFailed means that a task failed or a worker was lost.
	OutcomeFailed AttemptOutcome = "failed"
)

// EndAttempt ends an attempt once no task of it can still run. It is refused unless
// Coordinator, if set, coordinates the attempt: a coordinator that was replaced does
// not know which tasks its successor has kept alive.
type EndAttempt struct {
	Job         string         `json:"job"`
	Token       int64          `json:"token"`
	Coordinator string         `json:"coordinator,omitempty"`
	Outcome     AttemptOutcome `json:"outcome"`
	Results     []string       `json:"results,omitempty"`
	Checkpoints []string       `json:"checkpoints,omitempty"`
	Reason      string         `json:"reason,omitempty"`
	// FailedWorkers lists the workers that refused, failed or lost a task of the attempt.
	FailedWorkers []string `json:"blame,omitempty"`
}
