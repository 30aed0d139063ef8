// Package workload defines batch jobs as callers submit them: steps of tasks with
// dependencies, gangs, locality and scheduled occurrences. It validates jobs but does
// not schedule them.
package workload

import (
	"fmt"
	"time"
	"unsafe"
)

// Resources is what a task needs or a worker offers.
type Resources struct {
	MilliCores   int `json:"c,omitempty"`
	MemoryMB     int `json:"m,omitempty"`
	Accelerators int `json:"g,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Count returns how many times r fits into free, at most 1<<20.
func (r Resources) Count(free Resources) int {
	if !r.Fits(free) {
		return 0
	}
	count := 1 << 20
	for _, dimension := range [...][2]int{{r.MilliCores, free.MilliCores}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators}} {
		if dimension[0] > 0 {
			count = min(count, dimension[1]/dimension[0])
		}
	}
	return count
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// EstimateMS is the caller's estimate of a task's run time, in milliseconds.
	EstimateMS int `json:"e,omitempty"`
	// DependsOn lists the indexes of earlier steps whose tasks must all be done first.
	DependsOn []int `json:"d,omitempty"`
	// SavesProgress means that a stopped task can resume from a checkpoint.
	SavesProgress bool `json:"s,omitempty"`
	// Gang means that the tasks start all at once or not at all.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow unless they share a rack.
	SameRack bool `json:"rack,omitempty"`
	// Label is a label that workers must have; empty means any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data; empty means no preference.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"most,omitempty"`
	// Speculative means that copies of a task may run in parallel.
	Speculative bool `json:"spec,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"long,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler's own actions
	// may keep from running at once.
	MaxUnavailable int `json:"miss,omitempty"`
	// Image names the program that the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTargetMS is the tail latency objective of a latency-sensitive task, in
	// milliseconds; 0 means that the task is not latency-sensitive.
	LatencyTargetMS int `json:"target,omitempty"`
	// BestEffort means that the tasks use leftover CPU: their cores are not counted
	// against the worker's capacity, and they can be throttled.
	BestEffort bool `json:"fills,omitempty"`
}

// Demand returns the resources that a task of the step takes from a worker's capacity.
func (s *Step) Demand() Resources {
	demand := s.Need
	if s.BestEffort {
		demand.MilliCores = 0
	}
	return demand
}

// Policy is how jobs of a queue are scheduled.
type Policy struct {
	// Service names the group of workers that run the tasks.
	Service string `json:"svc"`
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int `json:"pri,omitempty"`
	// MaxAttempts is the number of failures of one task that fail its job.
	MaxAttempts int `json:"tries,omitempty"`
	// Stretch and Slack set the objective for a job's completion time: Stretch times
	// its expected run time, plus Slack.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Advised means that only the workers that the adviser names for a step may be used.
	Advised bool `json:"advised,omitempty"`
}

// Job is a submitted job.
type Job struct {
	// ID is chosen by the caller, 16 hexadecimal digits.
	ID string `json:"id"`
	// Queue names the queue that the job was submitted to.
	Queue string `json:"q"`
	// Policy is that of the queue at the time of submission.
	Policy
	// Account is the client account that owns the job.
	Account string `json:"a,omitempty"`
	// Payload is passed to every task unchanged.
	Payload string `json:"p"`
	Steps   []Step `json:"steps"`
	// Occurrences is how many times the steps run on a schedule; 0 means once, as soon as
	// possible.
	Occurrences int `json:"times,omitempty"`
	// FirstDueMS is when the first occurrence is due, in Unix milliseconds.
	FirstDueMS int64 `json:"first,omitempty"`
	// IntervalMS is the time between two occurrences, in milliseconds.
	IntervalMS int64 `json:"every,omitempty"`
	// SubmittedMS is when a node accepted the submission, in Unix milliseconds.
	SubmittedMS int64 `json:"at"`
}

// Rounds returns the number of rounds, which is how many times the steps run: once, or once
// per scheduled occurrence. Rounds are numbered from 0.
func (j *Job) Rounds() int { return max(1, j.Occurrences) }

// Due returns the earliest start of a round, in Unix milliseconds; 0 means at once.
func (j *Job) Due(round int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstDueMS + int64(round)*j.IntervalMS
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// UnitID identifies a unit: one step in one round of a job.
type UnitID struct {
	Job   string
	Round int
	Step  int
}

// TaskID identifies one task of a unit.
type TaskID struct {
	UnitID
	Index int
}

// String returns the ID as job.round.step.
func (u UnitID) String() string { return fmt.Sprintf("%s.%d.%d", u.Job, u.Round, u.Step) }

// Limits on what a job may contain.
const (
	maxPayloadBytes = 4000
	// MaxSteps limits the steps, and the steps that one depends on.
	MaxSteps  = 256
	maxTasks  = 20_000
	maxRounds = 10_000
	// maxRoundTasks limits the tasks of all rounds together, each of which takes memory of
	// the leader.
	maxRoundTasks = 100_000
)

// MemoryBytes returns about how much memory the job takes.
func (j *Job) MemoryBytes() int64 {
	size := int64(unsafe.Sizeof(*j)) + int64(len(j.Payload)) + int64(cap(j.Steps))*int64(unsafe.Sizeof(Step{}))
	for i := range j.Steps {
		s := &j.Steps[i]
		size += int64(cap(s.DependsOn))*int64(unsafe.Sizeof(0)) + int64(len(s.Label)+len(s.DataRack)+len(s.Image))
	}
	return size
}

// Validate returns an error that describes the first invalid field of the job. Its text
// is shown to callers.
func (j *Job) Validate() error {
	switch {
	case !IsJobID(j.ID):
		return fmt.Errorf("the job ID %q is not 16 hexadecimal digits", j.ID)
	case len(j.Payload) > maxPayloadBytes:
		return fmt.Errorf("the payload has %d bytes, the limit is %d", len(j.Payload), maxPayloadBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps are not between 1 and %d", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.Occurrences > maxRounds || j.IntervalMS < 0:
		return fmt.Errorf("the schedule of %d occurrences, %d ms apart, is out of bounds", j.Occurrences, j.IntervalMS)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		// Checked for each step, since the sum of all could overflow.
		if j.Steps[i].Count > maxTasks-tasks {
			return fmt.Errorf("the tasks of the first %d steps are more than %d", i+1, maxTasks)
		}
		tasks += j.Steps[i].Count
	}
	if total := j.Rounds() * tasks; total > maxRoundTasks {
		return fmt.Errorf("%d occurrences of %d tasks are more than %d tasks", j.Rounds(), tasks, maxRoundTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 {
		return fmt.Errorf("a count of %d is not positive", s.Count)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("a negative amount")
	}
	if len(s.DependsOn) > MaxSteps {
		return fmt.Errorf("depends on %d steps, the limit is %d", len(s.DependsOn), MaxSteps)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// IsJobID reports whether a text has the form of a job's ID: 16 hexadecimal digits.
func IsJobID(text string) bool { return len(text) == 16 && isHex(text) }

func isHex(text string) bool {
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Estimate returns the caller's estimate of a task's run time.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }
