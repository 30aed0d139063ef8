package journal

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// pollWait is how long one read waits for the next entry.
	pollWait = 500 * time.Millisecond
	// readTimeout bounds one read. It doubles up to maxReadTimeout while reads
	// time out, so that a slow log is still read.
	readTimeout    = 3 * time.Second
	maxReadTimeout = 24 * time.Second
	// newerFormatDelay is the delay after a read of a format that this program cannot
	// read.
	newerFormatDelay = 5 * time.Second
)

// Extent describes what the log retained when it was last read.
type Extent struct {
	// First is the lowest retained offset, Next the offset of the next append.
	First, Next int64
	// Known is set once a read has succeeded.
	Known bool
	// Bytes is the size of the entries applied since the newest snapshot was
	// completed.
	Bytes int64
}

// Extent returns what the log retained when it was last read.
func (j *Journal) Extent() Extent {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.extent
}

func (j *Journal) readLoop(ctx context.Context) {
	timeout := readTimeout
	for ctx.Err() == nil {
		err := j.readOnce(ctx, timeout)
		j.reachability.recordRead(time.Now(), err)
		if err == nil {
			timeout = readTimeout
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout = min(2*timeout, maxReadTimeout)
		}
		delay := retryDelay
		var newer *state.NewerFormatError
		if errors.As(err, &newer) {
			klog.Errorf("journal: this program is too old to read the log and must be upgraded: %v", err)
			delay = newerFormatDelay
		} else {
			klog.V(1).Infof("journal: read failed: %v", err)
		}
		sleep(ctx, delay)
	}
}

func (j *Journal) readOnce(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	from := j.Offset()
	// The state is confirmed as of the time before the read is sent: entries that are
	// appended while the answer is in flight may be missing from it.
	began := time.Now()
	page, err := j.log.Read(ctx, from, pollWait)
	if err != nil {
		return err
	}
	j.recordExtent(page)
	if page.First > from {
		return j.restore(ctx, from)
	}
	if err := j.ApplyEntries(page.Entries); err != nil {
		return err
	}
	j.Confirm(page.Next, began)
	return nil
}

func (j *Journal) recordExtent(page backend.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.extent.First, j.extent.Next, j.extent.Known = page.First, page.Next, true
}

// restore installs a snapshot from the log after the log has dropped entries that this
// node has not read. It uses the first snapshot that is newer than the state and whose
// following entries are all retained. read is the offset up to which this node has read.
func (j *Journal) restore(ctx context.Context, read int64) error {
	var chunks state.SnapshotAssembler
	for from := read; ; {
		page, err := j.log.Read(ctx, from, 0)
		if err != nil {
			return err
		}
		if page.First > from {
			chunks, from = state.SnapshotAssembler{}, page.First
			continue
		}
		st := findSnapshot(&chunks, page)
		if st != nil && j.Install(st) {
			klog.Infof("journal: restored from a snapshot of offset %d", st.Offset)
			return nil
		}
		from += int64(len(page.Entries))
		if len(page.Entries) == 0 || from >= page.Next {
			return api.Errorf(api.CodeUnavailable, "the log starts at offset %d, this node has read up to %d, and no snapshot closes the gap", page.First, read)
		}
	}
}

// findSnapshot returns the first usable snapshot that the page completes.
func findSnapshot(chunks *state.SnapshotAssembler, page backend.Page) *state.State {
	for _, e := range page.Entries {
		batch, err := state.DecodeBatch(e.Data)
		if err != nil {
			continue
		}
		for i := range batch.Records {
			c := batch.Records[i].Snapshot
			if c == nil {
				continue
			}
			st, err := chunks.Add(c)
			if err != nil {
				klog.Errorf("journal: snapshot %s cannot be used: %v", c.ID, err)
			}
			if st != nil && st.Offset >= page.First {
				return st
			}
		}
	}
	return nil
}

// Install replaces the state by st if st is newer, and reports whether it did. The
// journal owns st from then on.
func (j *Journal) Install(st *state.State) bool {
	j.mu.Lock()
	if st.Offset <= j.st.Offset {
		j.mu.Unlock()
		return false
	}
	j.st = st
	j.recent.clear()
	seq := st.Writers[j.writer].Seq
	j.notify()
	j.mu.Unlock()
	j.resolveUnknown(seq)
	return true
}

// notify publishes the new offset and wakes the goroutines that wait for a change. The
// caller must hold mu.
func (j *Journal) notify() {
	j.offset.Store(j.st.Offset)
	close(j.changed)
	j.changed = make(chan struct{})
}

// ownOutcome is the outcome of one of this node's own records.
type ownOutcome struct {
	seq uint64
	out state.Outcome
}

// ApplyEntries applies entries to the state and wakes the goroutines that wait for a
// change. It skips entries that the state already holds and entries after a gap. The
// error is a *state.NewerFormatError if this program is too old to apply an entry.
func (j *Journal) ApplyEntries(entries []backend.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	var own []ownOutcome
	var err error
	j.mu.Lock()
	for _, e := range entries {
		if e.Offset != j.st.Offset {
			continue
		}
		if own, err = j.applyEntry(e, own); err != nil {
			break
		}
	}
	j.notify()
	j.mu.Unlock()
	j.resolve(own)
	return err
}

// applyEntry applies one entry and appends the outcomes of this node's own records to
// own. An entry that a newer program wrote is not applied. The caller must hold mu.
func (j *Journal) applyEntry(e backend.Entry, own []ownOutcome) ([]ownOutcome, error) {
	batch, err := state.DecodeBatch(e.Data)
	var newer *state.NewerFormatError
	if errors.As(err, &newer) {
		return own, err
	}
	j.st.Offset++
	j.recent.add(e)
	j.extent.Bytes += int64(len(e.Data))
	if err != nil {
		klog.Errorf("journal: skipped entry %d, which cannot be decoded: %v", e.Offset, err)
		return own, nil
	}
	before := j.st.Snapshot
	for i := range batch.Records {
		r := &batch.Records[i]
		out := j.st.Apply(r)
		if r.Writer == j.writer && !out.Duplicate {
			own = append(own, ownOutcome{r.Seq, out})
		}
	}
	if j.st.Snapshot != before {
		j.extent.Bytes = 0
	}
	return own, nil
}
