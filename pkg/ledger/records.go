// Package ledger holds the state that must survive the loss of all nodes: the jobs, the
// progress of each, the workers on which its tasks may run, the addresses of the nodes,
// and the leader's term. The state is stored as the records of a keyed log topic; nodes
// write to it with an Appender and replay it into a Replica. Replaying does no I/O and
// reads no clock, so all nodes get the same State from the same records.
package ledger

import (
	"encoding/json"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/performance"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Keys, and prefixes of keys, of the topic's records.
const (
	jobPrefix      = "j/"
	cancelPrefix   = "c/"
	progressPrefix = "p/"
	nodePrefix     = "n/"
	// candidatePrefix marks the nodes that have enough CPU to lead.
	candidatePrefix = "l/"
	// limitPrefix marks how many bytes of accepted jobs each node can hold.
	limitPrefix = "b/"
	// learnedPrefix marks what a leader has learned of the site, for later ones.
	learnedPrefix = "k/"
	termKey       = "term"
	// speedsKey is that of the leader's estimates of the workers' speeds.
	speedsKey = "speeds"
)

// Phase is the phase of a job.
type Phase string

const (
	// Queued means that no task has started.
	Queued Phase = "queued"
	// Running means that a task has started.
	Running Phase = "running"
	// Completed means that every task is done.
	Completed Phase = "completed"
	// Failed means that a task has failed workload.Policy.MaxAttempts times, or has crashed
	// several workers.
	Failed Phase = "failed"
	// Cancelled means that the caller cancelled the job.
	Cancelled Phase = "cancelled"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == Failed || p == Cancelled }

// Progress is what the leader has recorded about a job.
type Progress struct {
	// Term is the number of the term in which the record was written.
	Term  int64 `json:"t"`
	Phase Phase `json:"s"`
	// Done is the set of the TaskNumbers of completed tasks.
	Done Bitmap `json:"d,omitempty"`
	// Failures lists the numbers of the failed runs by TaskNumber; those of a gang are
	// listed under its first task.
	Failures map[int][]int64 `json:"f,omitempty"`
	// Crashes counts the crashes of workers that tasks may have caused, by TaskNumber, since
	// the task, or its whole gang, last ran for a while.
	Crashes map[int]CrashCount `json:"x,omitempty"`
	// Checkpoints holds the newest checkpoints, by TaskNumber, of tasks that are not
	// running.
	Checkpoints map[int]string `json:"c,omitempty"`
	// Workers are the workers on which tasks of the job may run. They are written
	// before the tasks are started there.
	Workers []string `json:"w,omitempty"`
	// WorkerTasks are the TaskNumbers of the tasks that may run on each of Workers, in
	// its order. Records of earlier versions lack it: any task may run on each worker.
	WorkerTasks []Bitmap `json:"wt,omitempty"`
	// EndedMS is when the job ended, in Unix milliseconds.
	EndedMS int64 `json:"e,omitempty"`
}

// CrashCount counts crashes of workers.
type CrashCount struct {
	// Total counts all crashes. Alone counts those that nothing else can have caused while the task is
	// known to have begun, Likely those in which it is only likely to have.
	Total  int `json:"t"`
	Alone  int `json:"a,omitempty"`
	Likely int `json:"l,omitempty"`
}

// Term is the numbered period for which one leader leads.
type Term struct {
	// Number increases by one with each leader; workers refuse requests of lower terms.
	Number int64  `json:"n"`
	Leader string `json:"l"`
	// Address is where other nodes reach the leader.
	Address string `json:"a,omitempty"`
	// Resigned means that the leader has stopped sending requests to workers and that no
	// node leads.
	Resigned bool `json:"r,omitempty"`
}

// JobRecord returns the record that stores a submission.
func JobRecord(job *workload.Job) backend.KeyedRecord { return record(jobPrefix+job.ID, job) }

// JobRecordWithin returns the record that stores a submission, key and value of at most maxBytes
// together; 0 means no limit. One that is larger as it is has a compressed value, which earlier versions
// cannot read. It reports false if the record is too large even so.
func JobRecordWithin(job *workload.Job, maxBytes int) (backend.KeyedRecord, bool) {
	r := JobRecord(job)
	if maxBytes == 0 || len(r.Key)+len(r.Value) <= maxBytes {
		return r, true
	}
	r.Value = compress(r.Value)
	return r, len(r.Key)+len(r.Value) <= maxBytes
}

// cancellation is the value of a job's cancellation.
type cancellation struct {
	// AtMS is when a node accepted the cancellation, in Unix milliseconds.
	AtMS int64 `json:"at"`
	// Account is the client account that cancelled a job that was not submitted.
	Account string `json:"a,omitempty"`
}

// CancelRecord returns the record that stores a cancellation at atMS, in Unix milliseconds. The
// job need not have been submitted; account is then the client account of the caller, else empty.
func CancelRecord(id string, atMS int64, account string) backend.KeyedRecord {
	return record(cancelPrefix+id, cancellation{atMS, account})
}

// ProgressRecord returns the record that stores a job's progress.
func ProgressRecord(id string, p *Progress) backend.KeyedRecord { return record(progressPrefix+id, p) }

// ProgressRecordWithin returns the record that stores a job's progress, key and value of at most
// maxBytes together; 0 means no limit. If need be, it leaves out what a later leader can do
// without, and reports true: first which tasks may run on which worker, so that any may run on
// each, then the checkpoints.
func ProgressRecordWithin(id string, p *Progress, maxBytes int) (r backend.KeyedRecord, shortened bool) {
	short := *p
	for _, leaveOut := range []func(){func() {}, func() { short.WorkerTasks = nil }, func() { short.Checkpoints = nil }} {
		leaveOut()
		r = ProgressRecord(id, &short)
		if maxBytes == 0 || len(r.Key)+len(r.Value) <= maxBytes {
			return r, shortened
		}
		shortened = true
	}
	return r, shortened
}

// TermRecord returns the record that stores the current term.
func TermRecord(t Term) backend.KeyedRecord { return record(termKey, t) }

// SpeedsRecord returns the record that stores the leader's estimates of the workers' speeds.
func SpeedsRecord(r performance.Record) backend.KeyedRecord { return record(speedsKey, r) }

// EndJob returns the records that store a job's end and delete its submission and
// cancellation, so that starting nodes have little to read.
func EndJob(id string, p *Progress) []backend.KeyedRecord {
	end := &Progress{Term: p.Term, Phase: p.Phase, EndedMS: p.EndedMS}
	return []backend.KeyedRecord{ProgressRecord(id, end), {Key: jobPrefix + id}, {Key: cancelPrefix + id}}
}

// DeleteJob returns the records that delete an ended job.
func DeleteJob(id string) []backend.KeyedRecord {
	return []backend.KeyedRecord{{Key: jobPrefix + id}, {Key: cancelPrefix + id}, {Key: progressPrefix + id}}
}

// NodeRecords returns the records that store the address at which other nodes reach a
// node, whether it is a candidate for leadership, and how many bytes of accepted jobs it can
// hold.
func NodeRecords(name, address string, candidate bool, limit int64) []backend.KeyedRecord {
	records := []backend.KeyedRecord{{Key: nodePrefix + name, Value: []byte(address)}, {Key: candidatePrefix + name}, record(limitPrefix+name, limit)}
	if candidate {
		records[1].Value = []byte(address)
	}
	return records
}

// LearnedRecord returns the record that stores what a leader has learned under a name. It must be
// small: each node keeps it.
func LearnedRecord(name string, value any) backend.KeyedRecord {
	return record(learnedPrefix+name, value)
}

// record encodes a value of one of the types above, all of which can be encoded.
func record(key string, value any) backend.KeyedRecord {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return backend.KeyedRecord{Key: key, Value: data}
}

// JobEntry is what the ledger holds about one job. Its parts come from separate records,
// which may arrive in any order.
type JobEntry struct {
	// Job is nil before the submission is read and after the job has ended.
	Job *workload.Job
	// SubmitOffset is the log offset of the first submission read.
	SubmitOffset int64
	Cancelled    bool
	// CancelledMS is when the job was cancelled, in Unix milliseconds; 0 if unknown.
	CancelledMS int64
	Progress    Progress

	// account and bytes are what the State has added to its occupancy for the entry.
	account string
	bytes   int64
}

// WasSubmitted reports whether a submission of the job has ever been read.
func (e *JobEntry) WasSubmitted() bool { return e.Job != nil || e.Progress.Phase != "" }

// Phase returns the job's phase as shown to callers: a cancellation counts at once, also
// before the leader has stopped the tasks, but not after another end.
func (e *JobEntry) Phase() Phase {
	switch {
	case e.Progress.Phase.Ended():
		return e.Progress.Phase
	case e.Cancelled:
		return Cancelled
	case e.Progress.Phase == "":
		return Queued
	default:
		return e.Progress.Phase
	}
}

// State is the result of replaying the topic up to an offset. It is not safe for
// concurrent use.
type State struct {
	Jobs map[string]*JobEntry
	Term Term
	// Nodes maps the names of entry VMs to the addresses at which other nodes reach them.
	Nodes map[string]string
	// Candidates are the names of the entry VMs that have enough CPU to lead.
	Candidates map[string]bool
	// Learned is what leaders have learned, by name, as the JSON text that they wrote.
	Learned map[string][]byte
	// Speeds is nil if no leader has recorded any. It must not be changed.
	Speeds *performance.Record
	// Limits is how many bytes of accepted jobs each node can hold, by its name.
	Limits map[string]int64

	// occupancy is what Jobs take.
	occupancy *occupancy.Table
	// prepared holds decoded submissions, by job, that have been stored and not been read.
	prepared map[string]preparedJob
}

// preparedJob is a decoded submission.
type preparedJob struct {
	// sum is a hash of the record's value.
	sum uint64
	job *workload.Job
}

var preparedSeed = maphash.MakeSeed()

// NewState returns the state of an empty topic.
func NewState() *State {
	return &State{Jobs: map[string]*JobEntry{}, Nodes: map[string]string{}, Candidates: map[string]bool{}, Learned: map[string][]byte{}, Limits: map[string]int64{}, occupancy: occupancy.NewTable(), prepared: map[string]preparedJob{}}
}

// Change is the effect of a record on the State.
type Change struct {
	// Job is the ID of the job that changed, if any.
	Job string
	// FromLeader means that the leader of the current term wrote the record.
	FromLeader bool
}

// Apply applies one record. Applying records again, in the same order, is harmless. An
// error means that the record was invalid and was not applied.
func (s *State) Apply(r backend.KeyedRecord) (Change, error) {
	kind, id, _ := strings.Cut(r.Key, "/")
	if r.Key != termKey && r.Key != speedsKey {
		kind += "/"
	}
	if len(r.Value) == 0 {
		return s.applyDeletion(kind, id), nil
	}
	switch kind {
	case jobPrefix:
		return s.applyJob(id, r)
	case cancelPrefix:
		// Records of earlier versions have no time.
		var c cancellation
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return Change{}, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		e := s.entry(id)
		e.Cancelled, e.CancelledMS = true, c.AtMS
		if c.Account != "" && !e.WasSubmitted() {
			s.occupy(e, c.Account, occupancy.EntryBytes)
		}
		return Change{Job: id}, nil
	case progressPrefix:
		var p Progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return Change{}, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		s.entry(id).Progress = p
		return Change{Job: id, FromLeader: p.Term == s.Term.Number}, nil
	case nodePrefix:
		s.Nodes[id] = string(r.Value)
		return Change{}, nil
	case candidatePrefix:
		s.Candidates[id] = true
		return Change{}, nil
	case limitPrefix:
		var limit int64
		if err := json.Unmarshal(r.Value, &limit); err != nil {
			return Change{}, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		s.Limits[id] = limit
		return Change{}, nil
	case learnedPrefix:
		s.Learned[id] = r.Value
		return Change{}, nil
	case speedsKey:
		var speeds performance.Record
		if err := json.Unmarshal(r.Value, &speeds); err != nil {
			return Change{}, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		s.Speeds = &speeds
		return Change{FromLeader: speeds.Term == s.Term.Number}, nil
	case termKey:
		var t Term
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return Change{}, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		if t.Number >= s.Term.Number {
			s.Term = t
		}
		return Change{FromLeader: t.Number == s.Term.Number}, nil
	}
	return Change{}, fmt.Errorf("ledger: unknown key %q at offset %d", r.Key, r.Offset)
}

// applyJob keeps the first submission of a job and ignores repeated ones.
func (s *State) applyJob(id string, r backend.KeyedRecord) (Change, error) {
	if e := s.Jobs[id]; e != nil && e.Job != nil {
		return Change{}, nil
	}
	prepared, found := s.prepared[id]
	delete(s.prepared, id)
	job := prepared.job
	if !found || prepared.sum != maphash.Bytes(preparedSeed, r.Value) {
		var err error
		if job, err = decodeJob(id, r); err != nil {
			return Change{}, err
		}
	}
	e := s.entry(id)
	e.Job, e.SubmitOffset = job, r.Offset
	s.occupy(e, job.Account, occupancy.JobBytes(job, len(r.Value)))
	return Change{Job: id}, nil
}

// decodeJob decodes the submission of a job.
func decodeJob(id string, r backend.KeyedRecord) (*workload.Job, error) {
	value, err := decompress(r.Value)
	if err != nil {
		return nil, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	var job workload.Job
	if err := json.Unmarshal(value, &job); err != nil {
		return nil, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	if job.ID != id {
		return nil, fmt.Errorf("ledger: record %q at offset %d is of job %q", r.Key, r.Offset, job.ID)
	}
	if err := job.Validate(); err != nil {
		return nil, fmt.Errorf("ledger: record %q at offset %d: %w", r.Key, r.Offset, err)
	}
	return &job, nil
}

// applyDeletion applies the deletion of a record. That of a cancellation has no effect: it
// is deleted when its job ends, and an ended phase takes precedence over a cancellation.
func (s *State) applyDeletion(kind, id string) Change {
	switch kind {
	case progressPrefix:
		if e := s.Jobs[id]; e != nil {
			s.occupy(e, e.account, 0)
			delete(s.Jobs, id)
		}
		return Change{Job: id}
	case jobPrefix:
		delete(s.prepared, id)
		if e := s.Jobs[id]; e != nil {
			e.Job = nil
			s.occupy(e, e.account, occupancy.EntryBytes)
		}
	case nodePrefix:
		delete(s.Nodes, id)
	case candidatePrefix:
		delete(s.Candidates, id)
	case limitPrefix:
		delete(s.Limits, id)
	case learnedPrefix:
		delete(s.Learned, id)
	case speedsKey:
		s.Speeds = nil
	}
	return Change{}
}

func (s *State) entry(id string) *JobEntry {
	e := s.Jobs[id]
	if e == nil {
		e = &JobEntry{}
		s.Jobs[id] = e
		s.occupy(e, "", occupancy.EntryBytes)
	}
	return e
}

// occupy sets what an entry takes, and the client account that owns it.
func (s *State) occupy(e *JobEntry, account string, bytes int64) {
	if more := bytes - e.bytes; account != e.account {
		s.occupancy.Add(e.account, -e.bytes)
		s.occupancy.Add(account, bytes)
	} else if more >= 0 {
		s.occupancy.Add(account, more)
	} else {
		s.occupancy.Free(account, -more)
	}
	e.account, e.bytes = account, bytes
}

// TaskNumber returns the number of a task within its job, counting from 0 round by round
// and step by step.
func TaskNumber(job *workload.Job, id workload.TaskID) int {
	perRound, before := 0, 0
	for i := range job.Steps {
		if i < id.Step {
			before += job.Steps[i].Count
		}
		perRound += job.Steps[i].Count
	}
	return id.Round*perRound + before + id.Index
}

// TasksByWorker returns the TaskNumbers of the tasks that may run on each worker; a nil
// set stands for all tasks.
func (p *Progress) TasksByWorker() map[string]Bitmap {
	tasks := make(map[string]Bitmap, len(p.Workers))
	for i, key := range p.Workers {
		tasks[key] = nil
		if len(p.WorkerTasks) == len(p.Workers) {
			tasks[key] = p.WorkerTasks[i]
		}
	}
	return tasks
}

// SetTasksByWorker is the inverse of TasksByWorker.
func (p *Progress) SetTasksByWorker(tasks map[string]Bitmap) {
	p.Workers, p.WorkerTasks = slices.Sorted(maps.Keys(tasks)), nil
	for _, key := range p.Workers {
		if tasks[key] == nil {
			// The format cannot tell all tasks of one worker from none.
			p.WorkerTasks = nil
			return
		}
		p.WorkerTasks = append(p.WorkerTasks, tasks[key])
	}
}

// Bitmap is a set of small non-negative numbers.
type Bitmap []byte

// Has reports whether n is in the set.
func (b Bitmap) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// With returns the set with n added; it may share memory with b.
func (b Bitmap) With(n int) Bitmap {
	for len(b) <= n/8 {
		b = append(b, 0)
	}
	b[n/8] |= 1 << (n % 8)
	return b
}
