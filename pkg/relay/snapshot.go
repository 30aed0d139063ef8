package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// snapshotCheckInterval is the time between two checks whether a snapshot is due.
	snapshotCheckInterval = time.Second
	// snapshotTimeout bounds the write of one chunk.
	snapshotTimeout = 5 * time.Second
	// A snapshot is due once the log holds, since the last one, snapshotMinEntries
	// entries, or as many bytes as the larger of snapshotMinBytes and
	// snapshotGrowthFactor times the size of the last snapshot.
	snapshotMinEntries   = 2000
	snapshotMinBytes     = 256 << 10
	snapshotGrowthFactor = 4
	// overdueAfter is how long a snapshot must have been due before a node other
	// than the preferred one writes it.
	overdueAfter = 15 * time.Second
)

// snapshotDue reports whether a new snapshot has to be written. mark is the newest
// snapshot in the log, offset the offset of the state, and age the time since this
// node learnt of the newest snapshot.
func snapshotDue(mark state.SnapshotMark, extent journal.Extent, offset int64, age, interval time.Duration) bool {
	if !extent.Known || offset == 0 {
		return false
	}
	since := offset - mark.End
	switch {
	case extent.First > mark.Offset:
		// The log holds no usable snapshot.
		return true
	case extent.First > 0 && mark.Offset-extent.First < (extent.Next-extent.First)/2:
		// The log drops old entries, and the snapshot is in the older half.
		return since > 0
	case since >= snapshotMinEntries, extent.Bytes >= max(snapshotMinBytes, snapshotGrowthFactor*mark.Bytes):
		return true
	}
	return age >= interval
}

// snapshotLoop writes snapshots when they are due.
func (s *Service) snapshotLoop(ctx context.Context) {
	var last state.SnapshotMark
	learntAt, dueSince := time.Now(), time.Time{}
	for sleep(ctx, snapshotCheckInterval) {
		now := time.Now()
		var mark state.SnapshotMark
		var offset int64
		s.journal.View(func(st *state.State) { mark, offset = st.Snapshot, st.Offset })
		if mark != last {
			last, learntAt = mark, now
		}
		due := s.journal.FreshWithin(now, MaxFreshAge) &&
			snapshotDue(mark, s.journal.Extent(), offset, now.Sub(learntAt), s.settings.SnapshotInterval)
		if !due {
			dueSince = time.Time{}
			continue
		}
		if dueSince.IsZero() {
			dueSince = now
		}
		if s.members.Preferred(now, "snapshot").ID == s.members.Self().ID || now.Sub(dueSince) >= overdueAfter {
			s.writeSnapshot(ctx)
		}
	}
}

// writeSnapshot writes the present state to the log. Readers ignore a snapshot that is
// left incomplete.
func (s *Service) writeSnapshot(ctx context.Context) {
	chunks, err := s.encodeState()
	if err != nil {
		klog.Errorf("relay: cannot encode the state for a snapshot: %v", err)
		return
	}
	for i := range chunks {
		if err := s.writeChunk(ctx, &chunks[i]); err != nil {
			klog.Warningf("relay: snapshot of offset %d was not written, chunk %d of %d failed: %v", chunks[0].Offset, i+1, len(chunks), err)
			return
		}
	}
	klog.V(1).Infof("relay: wrote a snapshot of offset %d in %d chunks", chunks[0].Offset, len(chunks))
}

func (s *Service) writeChunk(ctx context.Context, c *state.SnapshotChunk) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, err := s.journal.Propose(ctx, state.Record{Snapshot: c})
	return err
}
