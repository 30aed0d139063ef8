package ledger

import (
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// Listener holds the callbacks of a Replica. They are called without its lock.
type Listener struct {
	// OnJobChange is called after a job has changed.
	OnJobChange func(id string, e JobEntry)
	// OnLeaderRecord is called after each page of new records for each term that was
	// current when one of its leader's records was read.
	OnLeaderRecord func(term int64)
	// OnListing is called after the state has been replaced by a listing, which does not
	// tell when its records were written.
	OnListing func()
	// OnRead is called after each listing and each read that reached the end of the topic,
	// with the time as of which the replica is current.
	OnRead func(at time.Duration)
}

// Replica is a node's copy of the State, kept current by a feed.Follower whose Sink it is.
// It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	state    *State
	listener Listener
	holding  Holding
}

// NewReplica returns the replica of an empty ledger on a node that can hold h.
func NewReplica(l Listener, h Holding) *Replica {
	return &Replica{state: NewState(), listener: l, holding: h}
}

// Replace implements feed.Sink.
func (r *Replica) Replace(records []backend.KeyedRecord) {
	// A listing does not say how old the leader's last record is, so it is no sign of
	// the leader.
	r.apply(records, true)
	r.listener.OnListing()
}

// Apply implements feed.Sink.
func (r *Replica) Apply(records []backend.KeyedRecord) {
	for _, term := range r.apply(records, false) {
		r.listener.OnLeaderRecord(term)
	}
}

// apply applies records, to an empty state if replace is set and else to the present one,
// and returns the terms whose leaders, while they were current, wrote any of them.
func (r *Replica) apply(records []backend.KeyedRecord, replace bool) []int64 {
	r.mu.Lock()
	if replace {
		table := r.state.occupancy
		table.Restart()
		r.state = NewState()
		r.state.occupancy = table
	}
	jobs := map[string]JobEntry{}
	var terms []int64
	for i, record := range records {
		if replace {
			// A listing may be as large as all jobs: it is not held beside their decoded form.
			records[i] = backend.KeyedRecord{}
		}
		change, err := r.state.Apply(record)
		if err != nil {
			klog.InfoS("ledger: invalid record ignored", "err", err)
			continue
		}
		if number := r.state.Term.Number; change.FromLeader && !slices.Contains(terms, number) {
			terms = append(terms, number)
		}
		if e := r.state.Jobs[change.Job]; e != nil {
			if e.WasSubmitted() {
				r.state.occupancy.Release(change.Job)
			} else {
				r.state.occupancy.Settle(change.Job, e.bytes)
			}
			jobs[change.Job] = *e
		}
	}
	r.mu.Unlock()
	for id, e := range jobs {
		r.listener.OnJobChange(id, e)
	}
	return terms
}

// Prepare decodes a submission that has been stored, before it is read from the log, and returns
// the job with its ID; nil if the record is none, or of a job that the ledger has. The record is
// not decoded again when it is read, so that a leader holds one copy of the job.
func (r *Replica) Prepare(record backend.KeyedRecord) (id string, job *workload.Job, err error) {
	id, found := strings.CutPrefix(record.Key, jobPrefix)
	if _, known := r.Job(id); !found || known {
		return id, nil, nil
	}
	if job, err = decodeJob(id, record); err != nil {
		return id, nil, err
	}
	sum := maphash.Bytes(preparedSeed, record.Value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Jobs[id] != nil {
		return id, nil, nil
	}
	r.state.prepared[id] = preparedJob{sum, job}
	return id, job, nil
}

// Confirmed implements feed.Sink.
func (r *Replica) Confirmed(at time.Duration) {
	r.mu.Lock()
	r.state.occupancy.Observe(at)
	r.mu.Unlock()
	r.listener.OnRead(at)
}

// Job returns what the ledger holds about a job, and false if it holds nothing.
func (r *Replica) Job(id string) (JobEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.state.Jobs[id]
	if !known {
		return JobEntry{}, false
	}
	return *e, true
}

// Term returns the current term.
func (r *Replica) Term() Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Term
}

// Nodes returns the sorted addresses of the entry VMs other than self.
func (r *Replica) Nodes(self string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for name, address := range r.state.Nodes {
		if name != self {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// NodeNames returns the names of the entry VMs that have enough CPU to lead, and of the
// others.
func (r *Replica) NodeNames() (candidates, others []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.state.Nodes {
		if r.state.Candidates[name] {
			candidates = append(candidates, name)
		} else {
			others = append(others, name)
		}
	}
	return candidates, others
}

// NodeAddress returns the address of an entry VM, or "" if none is known.
func (r *Replica) NodeAddress(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Nodes[name]
}

// HasNode reports whether the state has a node with its address, as a candidate for leadership
// or not, and with what it can hold of accepted jobs, as given.
func (r *Replica) HasNode(name, address string, candidate bool, limit int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Nodes[name] == address && r.state.Candidates[name] == candidate && r.state.Limits[name] == limit
}

// Learned returns what leaders have learned under a name, as the JSON text that they wrote; nil if
// nothing.
func (r *Replica) Learned(name string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Learned[name]
}

// Pending returns the number of a queue's jobs of which no task has started. Jobs with
// scheduled occurrences are not counted.
func (r *Replica) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.state.Jobs {
		if e.Job != nil && e.Job.Queue == queue && e.Job.Occurrences == 0 && e.Phase() == Queued {
			n++
		}
	}
	return n
}

// EndedBefore returns the IDs of the jobs that ended before a time, in Unix milliseconds,
// and of those that were cancelled before it and never submitted.
func (r *Replica) EndedBefore(before int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, e := range r.state.Jobs {
		neverSubmitted := e.Cancelled && !e.WasSubmitted() && e.CancelledMS < before
		if neverSubmitted || e.Progress.Phase.Ended() && e.Progress.EndedMS < before {
			ids = append(ids, id)
		}
	}
	return ids
}

// State returns a copy of the jobs, the term and what leaders have learned. The workload.Jobs and
// the texts of Learned are shared and must not be changed.
func (r *Replica) State() *State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &State{occupancy: occupancy.NewTable(), Jobs: map[string]*JobEntry{}, Term: r.state.Term, Speeds: r.state.Speeds, Learned: maps.Clone(r.state.Learned)}
	for id, e := range r.state.Jobs {
		c := *e
		s.Jobs[id] = &c
	}
	return s
}
