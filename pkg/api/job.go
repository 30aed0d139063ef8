package api

import (
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"
)

// Adjacency is how close together the tasks of a gang must be placed.
type Adjacency string

const (
	// WithinWorker places all tasks on one worker.
	WithinWorker Adjacency = "worker"
	// WithinRack places all tasks in one rack.
	WithinRack Adjacency = "rack"
	// WithinZone places all tasks in one availability zone.
	WithinZone Adjacency = "zone"
)

// Valid reports whether a is a known adjacency.
func (a Adjacency) Valid() bool {
	return a == WithinWorker || a == WithinRack || a == WithinZone
}

// Location is the position of a worker.
type Location struct{ Worker, Rack, Zone string }

// Together reports whether workers at x and y satisfy a. A rack name is unique only
// within its zone.
func (a Adjacency) Together(x, y Location) bool {
	switch a {
	case WithinWorker:
		return x.Worker == y.Worker
	case WithinRack:
		return x.Zone == y.Zone && x.Rack == y.Rack
	default:
		return x.Zone == y.Zone
	}
}

// Limits on job specifications and short requests.
const (
	// MaxGangTasks is the maximum of JobSpec.Tasks.
	MaxGangTasks = 64
	// MaxJobBytes is the maximum size of a job specification.
	MaxJobBytes = 64 << 10
	// MaxRequestBytes is the maximum size of the body of a short request.
	MaxRequestBytes = 1 << 20
	// MaxAttemptsCeiling is the maximum of JobSpec.MaxAttempts.
	MaxAttemptsCeiling = 100
)

// Resources is an amount of the resources of a worker.
type Resources struct {
	Cores        int `json:"cores"`
	MemoryGB     int `json:"memory_gb"`
	Accelerators int `json:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.MemoryGB + o.MemoryGB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.MemoryGB - o.MemoryGB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores && r.MemoryGB <= free.MemoryGB && r.Accelerators <= free.Accelerators
}

// JobSpec is a gang job as a caller submits it.
type JobSpec struct {
	Account string `json:"account"`
	Class   string `json:"class"`
	// Tasks is the gang size: all tasks start together or none does.
	Tasks int `json:"tasks"`
	// PerTask is the resource request of each task.
	PerTask Resources `json:"per_task"`
	Within  Adjacency `json:"within"`
	// ExpectedSeconds is the run time that the caller expects; a hint, not a limit.
	ExpectedSeconds float64 `json:"expected_seconds,omitempty"`
	// MaxAttempts limits how often the gang may be started; 1 means run at most once,
	// and 0 means the default of 3.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Checkpoint means that a stopped task can resume from a checkpoint.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Urgent means that the job starts ahead of other work, by reclaiming the
	// account's guaranteed shape if necessary.
	Urgent bool `json:"urgent,omitempty"`
	// Payload is passed to every task unchanged.
	Payload string `json:"payload,omitempty"`
}

// Total returns the resource request of the whole gang.
func (s *JobSpec) Total() Resources {
	n := s.Tasks
	return Resources{s.PerTask.Cores * n, s.PerTask.MemoryGB * n, s.PerTask.Accelerators * n}
}

// Preemptible reports whether the gang can be stopped and started again later.
// A gang that may run only once and cannot checkpoint is not.
func (s *JobSpec) Preemptible() bool { return s.Checkpoint || s.MaxAttempts > 1 }

// DecodeJobSpec parses a job specification, sets the defaults and validates it. It
// rejects unknown fields, invalid UTF-8 and values out of range, naming the field.
func DecodeJobSpec(data []byte) (JobSpec, error) {
	var s JobSpec
	if err := DecodeStrict(data, MaxJobBytes, &s); err != nil {
		return s, err
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = 3
	}
	if s.Within == "" {
		s.Within = WithinZone
	}
	return s, s.Validate()
}

// Validate checks what does not depend on the configuration. Its error names every
// invalid field.
func (s *JobSpec) Validate() error {
	var p Problems
	r := s.PerTask
	p.Require(s.Account != "", "account", "must be set")
	p.Require(s.Class != "", "class", "must be set")
	p.Require(s.Tasks >= 1 && s.Tasks <= MaxGangTasks, "tasks", "%d is not between 1 and %d", s.Tasks, MaxGangTasks)
	p.Require(r.Cores >= 0 && r.MemoryGB >= 0 && r.Accelerators >= 0, "per_task", "must not be negative")
	p.Require(r != Resources{}, "per_task", "must ask for at least one core, GB or accelerator")
	p.Require(s.Within.Valid(), "within", "%q is not worker, rack or zone", s.Within)
	p.Require(s.MaxAttempts >= 1 && s.MaxAttempts <= MaxAttemptsCeiling, "max_attempts", "%d is not between 1 and %d", s.MaxAttempts, MaxAttemptsCeiling)
	p.Require(s.ExpectedSeconds >= 0, "expected_seconds", "must not be negative")
	return p.Err()
}

// minBytesPerPart is the least number of bytes of a document for each list, object and further
// member in it: the shortest object of any document is {"cores":1}. It limits the memory of a
// decoded document, whose parts take much more than the text of an empty one.
const minBytesPerPart = 5

// partsAllowance is the number of parts that a document of any size may have.
const partsAllowance = 64

// hasTooManyParts reports whether a document has more parts than a valid one of its size.
func hasTooManyParts(data []byte) bool {
	parts, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && (c == '[' || c == '{' || c == ','):
			parts++
		}
	}
	return parts > partsAllowance+len(data)/minBytesPerPart
}

// DecodeStrict parses one JSON document into out. It rejects documents over
// limit bytes, invalid UTF-8, unknown fields, trailing data, and documents with more
// parts than a valid one can have.
func DecodeStrict(data []byte, limit int, out any) error {
	if len(data) > limit {
		return FieldErrorf("body", "%d bytes is over the limit of %d bytes", len(data), limit)
	}
	if !utf8.Valid(data) {
		return FieldErrorf("body", "is not valid UTF-8")
	}
	if hasTooManyParts(data) {
		return FieldErrorf("body", "has more lists, objects and members than a valid document of its size")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return FieldErrorf("body", "%v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return FieldErrorf("body", "has data after the JSON document")
	}
	return nil
}

// Phase is the state of a job.
type Phase string

const (
	// PhasePending means that the job was accepted and waits for a placement.
	PhasePending Phase = "pending"
	// PhasePlaced means that an attempt holds a placement; its tasks may be running.
	PhasePlaced Phase = "placed"
	// PhaseStopping means that the current attempt is being stopped.
	PhaseStopping Phase = "stopping"
	// PhaseDone means that every task finished and the result is known.
	PhaseDone Phase = "done"
	// PhaseFailed means that the job ended without a result.
	PhaseFailed Phase = "failed"
	// PhaseCancelled means that the caller's cancellation ended the job.
	PhaseCancelled Phase = "cancelled"
)

// Ended reports whether p is final.
func (p Phase) Ended() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseCancelled
}

// JobStatus is the state of a job as reported to callers.
type JobStatus struct {
	ID       string   `json:"id"`
	Spec     JobSpec  `json:"spec"`
	Phase    Phase    `json:"phase"`
	Verdict  Verdict  `json:"verdict"`
	Attempts int      `json:"attempts"`
	Workers  []string `json:"workers,omitempty"`
	Results  []string `json:"results,omitempty"`
	Reason   string   `json:"reason,omitempty"`
}
