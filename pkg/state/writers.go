package state

// maxWriters bounds the writers that the state keeps. A record that is
// delayed until this many other node incarnations have written more recently is
// assumed never to arrive.
const maxWriters = 2048

// WriterMark is the last record applied of one writer.
type WriterMark struct {
	Seq uint64 `json:"seq"`
	// Offset is the state's offset when the record was applied.
	Offset int64 `json:"offset"`
}

// recordWriter marks a record as applied, and drops the writer whose last record is the
// oldest if there are too many.
func (s *State) recordWriter(writer string, seq uint64) {
	s.Writers[writer] = WriterMark{seq, s.Offset}
	if len(s.Writers) <= maxWriters {
		return
	}
	oldest := writer
	for name, mark := range s.Writers {
		best := s.Writers[oldest]
		if mark.Offset < best.Offset || (mark.Offset == best.Offset && name < oldest) {
			oldest = name
		}
	}
	delete(s.Writers, oldest)
}
