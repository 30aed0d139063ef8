package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// MaxChunkBytes bounds the data of one chunk of a snapshot.
	MaxChunkBytes = 128 << 10
	// maxPartialSnapshots bounds the incomplete snapshots that are tracked.
	maxPartialSnapshots = 8
	// maxSnapshotBytes bounds the uncompressed size of a snapshot.
	maxSnapshotBytes = 256 << 20
)

// SnapshotChunk is a part of an encoded state. The chunks of one snapshot are in order
// in the log, but other records may lie between them.
type SnapshotChunk struct {
	// ID is unique to one snapshot.
	ID string `json:"id"`
	// Offset is the offset of the state, that is, of the next entry to apply to it.
	Offset int64 `json:"offset"`
	Index  int   `json:"index"`
	Count  int   `json:"count"`
	// Data is a part of the compressed state.
	Data []byte `json:"data"`
}

// SnapshotMark is the position and size of a snapshot in the log.
type SnapshotMark struct {
	// Offset is the offset of the state that the snapshot holds.
	Offset int64 `json:"offset"`
	// Start is the offset of the entry with its first chunk.
	Start int64 `json:"start"`
	// End is the offset after the entry with its last chunk.
	End int64 `json:"end"`
	// Bytes is the size of the encoded state.
	Bytes int64 `json:"bytes"`
}

// PartialSnapshot is a snapshot of which the first Seen chunks have been applied.
type PartialSnapshot struct {
	ID   string       `json:"id"`
	Seen int          `json:"seen"`
	Mark SnapshotMark `json:"mark"`
}

// Encode returns the state as compressed JSON.
func (s *State) Encode() ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(s); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decode is the inverse of Encode. Its error is a *NewerFormatError if a newer program
// encoded the state.
func Decode(data []byte) (*State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(zip, maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	s := New()
	if err := json.Unmarshal(plain, s); err != nil {
		return nil, fmt.Errorf("state: snapshot: %w", err)
	}
	if s.Format > Format {
		return nil, &NewerFormatError{s.Format}
	}
	s.Format = FormatFull
	return s, nil
}

// SplitSnapshot splits an encoded state into chunks. offset is the offset of the
// state, and id must be unique to the snapshot.
func SplitSnapshot(id string, offset int64, data []byte) []SnapshotChunk {
	count := max(1, (len(data)+MaxChunkBytes-1)/MaxChunkBytes)
	chunks := make([]SnapshotChunk, count)
	for i := range chunks {
		part := data[i*MaxChunkBytes : min((i+1)*MaxChunkBytes, len(data))]
		chunks[i] = SnapshotChunk{ID: id, Offset: offset, Index: i, Count: count, Data: part}
	}
	return chunks
}

// applySnapshot tracks the newest complete snapshot in the log. Chunks out of order are
// ignored.
func (s *State) applySnapshot(c *SnapshotChunk) Outcome {
	entry := s.Offset - 1
	i := s.partialIndex(c, entry)
	if i < 0 {
		return Outcome{}
	}
	p := &s.PartialSnapshots[i]
	p.Seen++
	p.Mark.Bytes += int64(len(c.Data))
	if p.Seen < c.Count {
		return Outcome{}
	}
	p.Mark.End = entry + 1
	if p.Mark.Offset >= s.Snapshot.Offset {
		s.Snapshot = p.Mark
	}
	s.PartialSnapshots = append(s.PartialSnapshots[:i:i], s.PartialSnapshots[i+1:]...)
	return Outcome{}
}

// partialIndex returns the index in PartialSnapshots of the snapshot that the chunk
// continues or begins, or -1 if the chunk is out of order.
func (s *State) partialIndex(c *SnapshotChunk, entry int64) int {
	for i, p := range s.PartialSnapshots {
		if p.ID == c.ID {
			if p.Seen != c.Index || p.Mark.Offset != c.Offset {
				return -1
			}
			return i
		}
	}
	if c.Index != 0 || c.Offset > entry {
		return -1
	}
	if len(s.PartialSnapshots) == maxPartialSnapshots {
		s.PartialSnapshots = append([]PartialSnapshot(nil), s.PartialSnapshots[1:]...)
	}
	s.PartialSnapshots = append(s.PartialSnapshots, PartialSnapshot{ID: c.ID, Mark: SnapshotMark{Offset: c.Offset, Start: entry}})
	return len(s.PartialSnapshots) - 1
}

// SnapshotAssembler reassembles states from snapshot chunks. The zero value is ready
// to use.
type SnapshotAssembler struct {
	parts map[string][]SnapshotChunk
	order []string
}

// Add adds the next chunk in log order. It returns the state if the chunk completes a
// snapshot, and nil otherwise. A repeated chunk is ignored.
func (a *SnapshotAssembler) Add(c *SnapshotChunk) (*State, error) {
	if a.parts == nil {
		a.parts = map[string][]SnapshotChunk{}
	}
	got := a.parts[c.ID]
	if len(got) != c.Index {
		return nil, nil
	}
	if c.Index == 0 {
		a.begin(c.ID)
	}
	got = append(got, *c)
	a.parts[c.ID] = got
	if len(got) < c.Count {
		return nil, nil
	}
	delete(a.parts, c.ID)
	var data []byte
	for _, part := range got {
		data = append(data, part.Data...)
	}
	s, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if s.Offset != c.Offset {
		return nil, fmt.Errorf("state: snapshot %s holds the state of offset %d, want %d", c.ID, s.Offset, c.Offset)
	}
	return s, nil
}

// begin starts to track a snapshot, and drops the oldest if there are too many.
func (a *SnapshotAssembler) begin(id string) {
	a.order = append(a.order, id)
	if len(a.order) > maxPartialSnapshots {
		delete(a.parts, a.order[0])
		a.order = a.order[1:]
	}
}
