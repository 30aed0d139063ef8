package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

func replay(t *testing.T, records ...backend.KeyedRecord) *State {
	t.Helper()
	s := NewState()
	for i, r := range records {
		r.Offset = int64(i)
		if _, err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

var job = &workload.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Payload: "text", Steps: []workload.Step{{Count: 3}}}

func TestPhases(t *testing.T) {
	running := ProgressRecord(job.ID, &Progress{Phase: Running})
	for name, c := range map[string]struct {
		records   []backend.KeyedRecord
		want      Phase
		submitted bool
	}{
		"submitted":                     {[]backend.KeyedRecord{JobRecord(job)}, Queued, true},
		"running":                       {[]backend.KeyedRecord{JobRecord(job), running}, Running, true},
		"progress before submission":    {[]backend.KeyedRecord{running, JobRecord(job)}, Running, true},
		"cancelled":                     {[]backend.KeyedRecord{JobRecord(job), running, CancelRecord(job.ID, 1000, "")}, Cancelled, true},
		"cancelled before submission":   {[]backend.KeyedRecord{CancelRecord(job.ID, 1000, "")}, Cancelled, false},
		"cancelled after its end":       {append(append([]backend.KeyedRecord{JobRecord(job)}, EndJob(job.ID, &Progress{Phase: Completed})...), CancelRecord(job.ID, 1000, "")), Completed, true},
		"submitted again after its end": {append(append([]backend.KeyedRecord{JobRecord(job)}, EndJob(job.ID, &Progress{Phase: Failed})...), JobRecord(job)), Failed, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := replay(t, c.records...).Jobs[job.ID]
			if e.Phase() != c.want || e.WasSubmitted() != c.submitted {
				t.Errorf("phase %q, submitted %v; want %q, %v", e.Phase(), e.WasSubmitted(), c.want, c.submitted)
			}
		})
	}
}

// Starting nodes must not have to read the submissions of ended jobs.
func TestEndDeletesSubmission(t *testing.T) {
	s := replay(t, append([]backend.KeyedRecord{JobRecord(job), CancelRecord(job.ID, 1000, "")}, EndJob(job.ID, &Progress{Phase: Cancelled, Done: Bitmap{1}, Workers: []string{"w"}})...)...)
	e := s.Jobs[job.ID]
	if e.Job != nil || e.Progress.Done != nil || e.Progress.Workers != nil {
		t.Errorf("entry after the end: %+v, want no submission, done tasks or workers", e)
	}
	if s = replay(t, append(EndJob(job.ID, &Progress{Phase: Failed}), DeleteJob(job.ID)...)...); len(s.Jobs) != 0 {
		t.Errorf("%d jobs after deletion, want none", len(s.Jobs))
	}
}

func TestTermsOnlyIncrease(t *testing.T) {
	s := replay(t, TermRecord(Term{Number: 2, Leader: "b"}), TermRecord(Term{Number: 1, Leader: "a"}))
	if s.Term.Leader != "b" {
		t.Errorf("leader %q, want b, of the higher term", s.Term.Leader)
	}
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	for _, r := range []backend.KeyedRecord{{Key: "j/x", Value: []byte("{")}, {Key: "p/x", Value: []byte("[]")}, {Key: "term", Value: []byte("1")}, {Key: "other", Value: []byte("1")}} {
		if _, err := NewState().Apply(r); err == nil {
			t.Errorf("record %q was accepted", r.Key)
		}
	}
}

func TestTaskNumbersDiffer(t *testing.T) {
	j := &workload.Job{Occurrences: 3, Steps: []workload.Step{{Count: 2}, {Count: 5}}}
	seen := map[int]bool{}
	var done Bitmap
	for round := range j.Rounds() {
		for step := range j.Steps {
			for index := range j.Steps[step].Count {
				n := TaskNumber(j, workload.TaskID{UnitID: workload.UnitID{Round: round, Step: step}, Index: index})
				if seen[n] || done.Has(n) {
					t.Fatalf("number %d is used twice", n)
				}
				seen[n] = true
				done = done.With(n)
			}
		}
	}
	if len(seen) != 21 {
		t.Errorf("%d numbers, want 21", len(seen))
	}
}

// Cancellations of jobs that are never submitted must be listed for deletion, or they
// would stay in the ledger forever.
func TestEndedBeforeListsCancellationsWithoutJob(t *testing.T) {
	r := NewReplica(Listener{OnJobChange: func(string, JobEntry) {}, OnLeaderRecord: func(int64) {}, OnListing: func() {}}, Holding{Limit: 64 << 20, Accounts: func() int { return 1 }})
	r.Apply([]backend.KeyedRecord{CancelRecord("0000000000000001", 1000, ""), CancelRecord("0000000000000002", 3000, ""), JobRecord(job), CancelRecord(job.ID, 1000, "")})
	if got := r.EndedBefore(2000); len(got) != 1 || got[0] != "0000000000000001" {
		t.Errorf("ended before 2000: %v, want only 0000000000000001", got)
	}
}

// A leader of this version reads which tasks may run on each worker; records without that,
// of earlier versions, stand for all tasks of the job.
func TestTasksByWorkerSurvivesEncoding(t *testing.T) {
	for name, tasks := range map[string]map[string]Bitmap{
		"none":            {},
		"known":           {"a": Bitmap(nil).With(0).With(9), "b": Bitmap(nil).With(3)},
		"all of a worker": {"a": nil, "b": Bitmap(nil).With(3)},
	} {
		t.Run(name, func(t *testing.T) {
			var written, read Progress
			written.SetTasksByWorker(tasks)
			data, err := json.Marshal(written)
			if err == nil {
				err = json.Unmarshal(data, &read)
			}
			if err != nil {
				t.Fatal(err)
			}
			got := read.TasksByWorker()
			if len(got) != len(tasks) {
				t.Fatalf("workers %v, want those of %v", got, tasks)
			}
			for key, numbers := range tasks {
				for n := range 12 {
					if want := numbers == nil || numbers.Has(n); want && got[key] != nil && !got[key].Has(n) {
						t.Errorf("task %d is not listed for worker %s", n, key)
					} else if name == "known" && !want && got[key].Has(n) {
						t.Errorf("task %d is listed for worker %s", n, key)
					}
				}
			}
		})
	}
	if got := (&Progress{Workers: []string{"a"}}).TasksByWorker(); got["a"] != nil || len(got) != 1 {
		t.Errorf("record of an earlier version: %v, want all tasks on worker a", got)
	}
}

// A job that no node would have accepted must be ignored: its steps would be used as they
// are, by every node.
func TestInvalidJobRecordIsIgnored(t *testing.T) {
	for name, value := range map[string]string{
		"depends on a step that does not exist": `{"id":"0123456789abcdef","steps":[{"n":1,"d":[7]}]}`,
		"no steps":                              `{"id":"0123456789abcdef"}`,
		"another ID":                            `{"id":"fedcba9876543210","steps":[{"n":1}]}`,
		"not JSON":                              `{`,
	} {
		s := NewState()
		if _, err := s.Apply(backend.KeyedRecord{Key: "j/0123456789abcdef", Value: []byte(value)}); err == nil || len(s.Jobs) != 0 {
			t.Errorf("%s: error %v, %d jobs; want an error and none", name, err, len(s.Jobs))
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add("j/0123456789abcdef", []byte(`{"id":"0123456789abcdef","steps":[{"n":1}]}`))
	f.Add("p/0123456789abcdef", []byte(`{"t":1,"s":"running","d":"AQ==","w":["a"],"wt":["AQ==","AQ=="]}`))
	f.Add("term", []byte(`{"n":3,"l":"a"}`))
	f.Add("n/x", []byte("a"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		s := NewState()
		// Without an error, applying the record again must be harmless.
		for range 2 {
			if _, err := s.Apply(backend.KeyedRecord{Key: key, Value: value}); err != nil {
				return
			}
		}
		for _, e := range s.Jobs {
			e.Phase()
			for _, numbers := range e.Progress.TasksByWorker() {
				numbers.Has(3)
			}
		}
	})
}

// A record that is too large must lose what a later leader can do without, and no more.
func TestProgressRecordIsShortenedToTheLimit(t *testing.T) {
	p := &Progress{Term: 1, Phase: Running, Done: Bitmap(nil).With(3), Failures: map[int][]int64{1: {7}}, Crashes: map[int]CrashCount{2: {Total: 1}}, Checkpoints: map[int]string{}}
	tasks := map[string]Bitmap{}
	for i := range 40 {
		tasks[fmt.Sprintf("worker-%d@1", i)] = Bitmap(nil).With(500 + i)
		p.Checkpoints[i] = "0123456789abcdef"
	}
	p.SetTasksByWorker(tasks)
	whole, shortened := ProgressRecordWithin("id", p, 0)
	if shortened || !bytes.Equal(whole.Value, ProgressRecord("id", p).Value) {
		t.Error("the record is shortened without a limit")
	}
	size := len(whole.Key) + len(whole.Value)
	for _, c := range []struct {
		limit                    int
		workerTasks, checkpoints bool
	}{{size, true, true}, {size - 1, false, true}, {1900, false, true}, {1500, false, false}} {
		r, shortened := ProgressRecordWithin("id", p, c.limit)
		var got Progress
		if err := json.Unmarshal(r.Value, &got); err != nil {
			t.Fatal(err)
		}
		if len(r.Key)+len(r.Value) > c.limit || shortened == c.workerTasks || got.WorkerTasks != nil != c.workerTasks || got.Checkpoints != nil != c.checkpoints {
			t.Errorf("limit %d: %d bytes, shortened %v, tasks of workers %v, checkpoints %v", c.limit, len(r.Key)+len(r.Value), shortened, got.WorkerTasks != nil, got.Checkpoints != nil)
		}
		if len(got.Workers) != 40 || !got.Done.Has(3) || len(got.Failures) != 1 || len(got.Crashes) != 1 {
			t.Errorf("limit %d: the record lacks workers, ends, failures or crashes: %+v", c.limit, got)
		}
	}
	if p.WorkerTasks == nil || p.Checkpoints == nil {
		t.Error("the job's own progress has changed")
	}
}

// A leader decodes a submission that it has stored, and holds the same job once it reads the record;
// the record of another submission of the job is not taken for it.
func TestStoredSubmissionIsDecodedOnce(t *testing.T) {
	job := &workload.Job{ID: "00000000000000aa", Queue: "q", Payload: "x", Steps: []workload.Step{{Count: 1}}}
	other := *job
	other.Payload = "y"
	replica := func() *Replica {
		return NewReplica(Listener{OnJobChange: func(string, JobEntry) {}, OnLeaderRecord: func(int64) {}, OnListing: func() {}}, Holding{Limit: 64 << 20, Accounts: func() int { return 1 }})
	}
	r := replica()
	id, prepared, err := r.Prepare(JobRecord(job))
	if err != nil || id != job.ID || prepared == nil {
		t.Fatalf("prepared %q, %v, %v", id, prepared, err)
	}
	r.Apply([]backend.KeyedRecord{JobRecord(job)})
	if e, _ := r.Job(id); e.Job != prepared {
		t.Error("the job is held twice")
	}
	if _, again, err := r.Prepare(JobRecord(job)); again != nil || err != nil {
		t.Errorf("a job that the ledger has is prepared: %v, %v", again, err)
	}
	r = replica()
	if _, prepared, _ = r.Prepare(JobRecord(job)); prepared == nil {
		t.Fatal("not prepared")
	}
	r.Apply([]backend.KeyedRecord{JobRecord(&other)})
	if e, _ := r.Job(id); e.Job == prepared || e.Job.Payload != "y" {
		t.Errorf("the ledger has %+v, want the first submission that was read", e.Job)
	}
	if _, _, err := r.Prepare(backend.KeyedRecord{Key: jobPrefix + id + "b", Value: []byte("{")}); err == nil {
		t.Error("a malformed submission is prepared")
	}
}

// What jobs take follows from the records alone, whatever their order, and is nothing once they
// are deleted.
func TestOccupancyFollowsTheRecords(t *testing.T) {
	job := &workload.Job{ID: "00000000000000aa", Account: "x", Steps: []workload.Step{{Count: 5}}}
	full := occupancy.JobBytes(job, len(JobRecord(job).Value))
	end := EndJob(job.ID, &Progress{Phase: Completed})
	for _, c := range []struct {
		name    string
		records []backend.KeyedRecord
		want    int64
		account string
	}{
		{"submitted", []backend.KeyedRecord{JobRecord(job)}, full, "x"},
		{"submitted twice", []backend.KeyedRecord{JobRecord(job), JobRecord(job)}, full, "x"},
		{"progress first", []backend.KeyedRecord{ProgressRecord(job.ID, &Progress{Phase: Running}), JobRecord(job)}, full, "x"},
		{"ended", append([]backend.KeyedRecord{JobRecord(job)}, end...), occupancy.EntryBytes, "x"},
		{"only the end read", end, occupancy.EntryBytes, ""},
		{"cancelled, not submitted", []backend.KeyedRecord{CancelRecord(job.ID, 1, "y")}, occupancy.EntryBytes, "y"},
		{"submitted after its cancellation", []backend.KeyedRecord{CancelRecord(job.ID, 1, "y"), JobRecord(job)}, full, "x"},
		{"deleted", append(append([]backend.KeyedRecord{JobRecord(job)}, end...), DeleteJob(job.ID)...), 0, ""},
	} {
		s := NewState()
		for _, r := range c.records {
			if _, err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if total, held := s.occupancy.Total(), s.occupancy.Held(c.account); total != c.want || held != c.want {
			t.Errorf("%s: %d bytes, %d of account %q; want %d", c.name, total, held, c.account, c.want)
		}
	}
}

// The smallest node bounds what all accept, also a node that was removed.
func TestSmallestNodeBoundsAcceptedJobs(t *testing.T) {
	r := NewReplica(Listener{OnJobChange: func(string, JobEntry) {}, OnLeaderRecord: func(int64) {}, OnListing: func() {}}, Holding{Limit: 64 << 20, Accounts: func() int { return 1 }})
	r.Apply(NodeRecords("large", "a:1", true, 100<<20))
	if _, limit := r.OccupiedBytes(); limit != 64<<20 {
		t.Errorf("limit %d, want this node's", limit)
	}
	r.Apply(NodeRecords("small", "a:2", false, 8<<20))
	if _, limit := r.OccupiedBytes(); limit != 8<<20 {
		t.Errorf("limit %d, want that of the smallest node", limit)
	}
	c := occupancy.Claim{Job: "a", Account: "x", Bytes: 3 << 20}
	for _, job := range []string{"a", "b"} {
		if c.Job = job; job == "b" {
			c.Bytes = 6 << 20
		}
		if ok, o := r.Reserve(c, 0); ok != (job == "a") {
			t.Errorf("job %s of %d bytes is admitted: %v; %+v", job, c.Bytes, ok, o)
		}
	}
	r.CancelReservation("a")
	if bytes, _ := r.OccupiedBytes(); bytes != 0 {
		t.Errorf("%d bytes are reserved after the reservation was cancelled", bytes)
	}
}
