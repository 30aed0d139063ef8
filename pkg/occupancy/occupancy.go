// Package occupancy bounds the memory that accepted jobs take on each node. Every node holds all
// jobs, so a job that one node accepts counts on all of them, from its acceptance until its status
// is no longer shown. A Table says whether a further job may be accepted; it does no I/O and reads
// no clock. See docs/design/accepted-jobs.md.
package occupancy

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

const (
	// EntryBytes is what each job takes until its status is no longer shown, and each cancellation
	// of a job that was not submitted: its entry in the tables of the ledger and of the leader.
	EntryBytes = 1 << 10
	// unitBytes is what the leader holds for a step in one round, and taskBytes for a task, with
	// the task's part of the job's progress.
	unitBytes = 640
	taskBytes = 192
	// calmShare is the part of the limit up to which accepted jobs leave room for a further one of
	// any size, and that larger first jobs of an account leave free.
	calmShare = 8
	// reservationTimeout is how long a reservation counts whose outcome does not become known. A
	// write to the log takes less, unless the log fails meanwhile.
	reservationTimeout = 30 * time.Second
	// rateWindow is the time over which the rate of freed bytes is measured.
	rateWindow = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to try
	// again.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// JobBytes returns about how many bytes a job takes at most on a node, given the size of its record
// in the log: decoded, or as the record that a starting node reads, and the leader's units and
// tasks.
func JobBytes(job *workload.Job, recordBytes int) int64 {
	tasks := 0
	for i := range job.Steps {
		tasks += job.Steps[i].Count
	}
	rounds := int64(job.Rounds())
	return EntryBytes + max(job.MemoryBytes(), int64(recordBytes)) + rounds*(int64(len(job.Steps))*unitBytes+int64(tasks)*taskBytes)
}

// Claim is what a record makes each node hold.
type Claim struct {
	// Job is the ID of the job.
	Job string
	// Account is the client account that owns it; empty if it is not known.
	Account string
	// Bytes is what it takes; 0 means nothing that counts.
	Bytes int64
}

// Table is the sum of what all jobs take, by client account, and of what has been granted to
// submissions on their way to the log. It answers the load of callers who submit valid jobs without
// end, faster than workers run them: they share the limit with the others, and a caller of an
// account that holds little is served beside them. A Table is not safe for concurrent use.
type Table struct {
	total    int64
	accounts map[string]int64
	reserved map[string]reservation
	// freed counts all bytes that jobs have freed, and samples holds earlier values of it, at most
	// one for each second of rateWindow.
	freed   int64
	samples []sample
}

type reservation struct {
	claim   Claim
	expires time.Duration
}

type sample struct {
	at    time.Duration
	freed int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{accounts: map[string]int64{}, reserved: map[string]reservation{}}
}

// Total returns the bytes that all jobs take, and those that are reserved.
func (t *Table) Total() int64 { return t.total }

// Held returns the part of Total of an account.
func (t *Table) Held(account string) int64 { return t.accounts[account] }

// Add adds what a job takes that the ledger holds.
func (t *Table) Add(account string, bytes int64) {
	t.total += bytes
	if t.accounts[account] += bytes; t.accounts[account] == 0 {
		delete(t.accounts, account)
	}
}

// Free takes back what Add has added.
func (t *Table) Free(account string, bytes int64) {
	t.Add(account, -bytes)
	t.freed += bytes
}

// Bounds are what a Table admits by.
type Bounds struct {
	// Limit is how many bytes all jobs may take.
	Limit int64
	// Accounts is the number of client accounts that share it.
	Accounts int
}

// share is what each account may hold whatever the others do: together the accounts have half of
// the limit that way. The other half is for all.
func (b Bounds) share() int64 { return b.Limit / 2 / int64(max(1, b.Accounts)) }

// Admits reports whether a claim fits. An account may hold its share, and beyond that as much as
// is free of the half for all, so that several accounts that ask for more divide it. One that
// holds nothing may take a larger job at once, and while hardly anything is held a job of any size
// is admitted.
func (t *Table) Admits(c Claim, b Bounds) bool {
	if r, found := t.reserved[c.Job]; found && c.Bytes <= r.claim.Bytes || c.Bytes == 0 || t.total <= b.Limit/calmShare {
		return true
	}
	return t.lacking(c, b) <= 0
}

// lacking returns how many bytes have to be freed before a claim fits.
func (t *Table) lacking(c Claim, b Bounds) int64 {
	free, held, share := b.Limit-t.total, t.accounts[c.Account], b.share()
	if held == 0 && c.Bytes <= free-b.Limit/calmShare {
		return 0
	}
	if held+c.Bytes <= share {
		return c.Bytes - free
	}
	pool := b.Limit / 2
	for _, bytes := range t.accounts {
		pool -= max(0, bytes-share)
	}
	return max(c.Bytes-free, held+c.Bytes-share-max(0, pool))
}

// Reserve grants a claim, if it fits, until Release is called for its job.
func (t *Table) Reserve(c Claim, b Bounds, now time.Duration) bool {
	for id, r := range t.reserved {
		if now >= r.expires {
			t.Release(id)
		}
	}
	if !t.Admits(c, b) {
		return false
	}
	if c.Bytes > t.reserved[c.Job].claim.Bytes {
		t.Release(c.Job)
		t.reserved[c.Job] = reservation{c, now + reservationTimeout}
		t.Add(c.Account, c.Bytes)
	}
	return true
}

// Settle is Release if the reservation is for no more than the given bytes, which the ledger now
// holds for the job.
func (t *Table) Settle(job string, bytes int64) {
	if t.reserved[job].claim.Bytes <= bytes {
		t.Release(job)
	}
}

// Release takes back the reservation of a job, if there is one: the ledger does not get the job, or
// has it.
func (t *Table) Release(job string) {
	if r, found := t.reserved[job]; found {
		delete(t.reserved, job)
		t.Add(r.claim.Account, -r.claim.Bytes)
	}
}

// Restart takes back all but the reservations: the ledger is read anew.
func (t *Table) Restart() {
	t.total, t.accounts, t.freed, t.samples = 0, map[string]int64{}, 0, nil
	for _, r := range t.reserved {
		t.Add(r.claim.Account, r.claim.Bytes)
	}
}

// Observe notes the time up to which the ledger has been read, from which the rate of freed bytes
// follows.
func (t *Table) Observe(now time.Duration) {
	if n := len(t.samples); n > 0 && now-t.samples[n-1].at < time.Second {
		return
	}
	t.samples = append(t.samples, sample{now, t.freed})
	for len(t.samples) > 1 && now-t.samples[1].at >= rateWindow {
		t.samples = t.samples[1:]
	}
}

// RetryAfter returns the time after which a claim that is refused now will fit, if jobs go on to
// end at the rate of late, and maxRetryAfter if none end.
func (t *Table) RetryAfter(c Claim, b Bounds, now time.Duration) time.Duration {
	if len(t.samples) == 0 || t.freed == t.samples[0].freed || now <= t.samples[0].at {
		return maxRetryAfter
	}
	rate := float64(t.freed-t.samples[0].freed) / (now - t.samples[0].at).Seconds()
	seconds := min(float64(max(t.lacking(c, b), 0))/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}
