package journal

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// retryDelay is the delay after a failed call. For appends it doubles up to
	// maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// minBatchInterval is the shortest time between two appends of this node.
	minBatchInterval = 10 * time.Millisecond
	// maxAppendsPerSecond bounds the appends of all nodes together.
	maxAppendsPerSecond = 300
	// maxBatchRecords and maxBatchBytes bound the number and size of the records in one
	// append.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// maxRecordBytes bounds the size of one record.
	maxRecordBytes = 4 << 20
)

// proposal is a record that is to be appended to the log. Its fields are guarded by
// proposalMu.
type proposal struct {
	rec  state.Record
	size int
	// mayBeAppended is set once an append may have contained the record.
	mayBeAppended bool
	done          chan result
}

type result struct {
	out state.Outcome
	err error
}

// SetNodeCount sets the number of nodes that share the append rate of the log.
func (j *Journal) SetNodeCount(n int) {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	j.nodeCount = max(1, n)
}

func (j *Journal) batchInterval() time.Duration {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	return max(minBatchInterval, time.Duration(j.nodeCount)*time.Second/maxAppendsPerSecond)
}

// Propose appends a record and returns its outcome once it has been read back. Propose
// sets the record's Writer and Seq. Its errors are *api.Error: after an error, the
// record may still take effect unless the error's verdict is not-run.
func (j *Journal) Propose(ctx context.Context, rec state.Record) (state.Outcome, error) {
	data, err := json.Marshal(&rec)
	if err != nil {
		return state.Outcome{}, api.Errorf(api.CodeInvalid, "the record cannot be encoded: %v", err)
	}
	if len(data) > maxRecordBytes {
		return state.Outcome{}, api.Errorf(api.CodeInvalid, "the record has %d bytes, the limit is %d", len(data), maxRecordBytes)
	}
	p := &proposal{rec: rec, size: len(data), done: make(chan result, 1)}
	j.proposalMu.Lock()
	j.queue = append(j.queue, p)
	j.proposalMu.Unlock()
	select {
	case j.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-p.done:
		return r.out, r.err
	case <-ctx.Done():
		return j.abandon(p)
	}
}

// abandon withdraws a proposal whose caller gave up, so that it is not appended again.
// Only if no append has contained the record is it certain to have no effect.
func (j *Journal) abandon(p *proposal) (state.Outcome, error) {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	select {
	case r := <-p.done:
		return r.out, r.err
	default:
	}
	if p.mayBeAppended {
		delete(j.pending, p.rec.Seq)
		return state.Outcome{}, errUnconfirmed()
	}
	for i, q := range j.queue {
		if q == p {
			j.queue = append(j.queue[:i:i], j.queue[i+1:]...)
			break
		}
	}
	return state.Outcome{}, api.Errorf(api.CodeUnavailable, "the log takes no records")
}

func errUnconfirmed() error {
	return &api.Error{Code: api.CodeTimeout, Message: "the log has not confirmed the record", Verdict: api.MayHaveRun}
}

// HasUnconfirmedZoneChange reports whether the log may hold a zone change that this
// node tried to append and has not read the log since.
func (j *Journal) HasUnconfirmedZoneChange() bool {
	j.freshMu.Lock()
	defer j.freshMu.Unlock()
	return !j.zoneWriteAt.IsZero() && !j.confirmedAt.After(j.zoneWriteAt)
}

// recordZoneWrite records that an append of records with a zone change may just have
// reached the log.
func (j *Journal) recordZoneWrite(records []state.Record) {
	for i := range records {
		if records[i].Zone != nil {
			j.freshMu.Lock()
			j.zoneWriteAt = time.Now()
			j.freshMu.Unlock()
			return
		}
	}
}

func (j *Journal) writeLoop(ctx context.Context) {
	for {
		select {
		case <-j.wake:
		case <-ctx.Done():
			return
		}
		for batch := j.nextBatch(); len(batch) > 0; batch = j.nextBatch() {
			j.appendBatch(ctx, batch)
			if !sleep(ctx, j.batchInterval()) {
				return
			}
		}
	}
}

// nextBatch removes the next batch of proposals from the queue and numbers them.
func (j *Journal) nextBatch() []*proposal {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	n, size := 0, 0
	for n < len(j.queue) && n < maxBatchRecords && (n == 0 || size+j.queue[n].size <= maxBatchBytes) {
		size += j.queue[n].size
		n++
	}
	batch := append([]*proposal(nil), j.queue[:n]...)
	j.queue = append([]*proposal(nil), j.queue[n:]...)
	for _, p := range batch {
		j.seq++
		p.rec.Writer, p.rec.Seq, p.mayBeAppended = j.writer, j.seq, true
		j.pending[j.seq] = p
	}
	return batch
}

// appendBatch repeats the append until it is confirmed, or every record of it has been
// read back or abandoned. Records keep their numbers, so a repeated record is applied
// once, and a delayed append that arrives after later records is not applied.
func (j *Journal) appendBatch(ctx context.Context, batch []*proposal) {
	delay := retryDelay
	for {
		records := j.unresolved(batch)
		if len(records) == 0 {
			return
		}
		err := j.appendOnce(ctx, records)
		j.reachability.recordAppend(time.Now(), err)
		if err == nil {
			return
		}
		klog.V(1).Infof("journal: append of %d records failed, retrying in %s: %v", len(records), delay, err)
		if !sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (j *Journal) appendOnce(ctx context.Context, records []state.Record) error {
	data, err := state.EncodeBatch(records)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	j.recordZoneWrite(records)
	_, err = j.log.Append(ctx, data)
	j.recordZoneWrite(records)
	return err
}

// unresolved returns the records of a batch whose callers still wait for the outcome.
func (j *Journal) unresolved(batch []*proposal) []state.Record {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	var records []state.Record
	for _, p := range batch {
		if j.pending[p.rec.Seq] != nil {
			records = append(records, p.rec)
		}
	}
	return records
}

// resolve delivers outcomes to the callers that wait for them.
func (j *Journal) resolve(own []ownOutcome) {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	for _, r := range own {
		if p := j.pending[r.seq]; p != nil {
			delete(j.pending, r.seq)
			p.done <- result{out: r.out}
		}
	}
}

// resolveUnknown fails the pending proposals up to seq: their outcomes are in a part of
// the log that this node has skipped by installing a state.
func (j *Journal) resolveUnknown(seq uint64) {
	j.proposalMu.Lock()
	defer j.proposalMu.Unlock()
	for s, p := range j.pending {
		if s <= seq {
			delete(j.pending, s)
			p.done <- result{err: errUnconfirmed()}
		}
	}
}
