package journal

import "github.com/shallotpin/shallotpin/pkg/backend"

const (
	// maxRecentEntries and maxRecentBytes bound the entries that are kept for peers.
	maxRecentEntries = 4096
	maxRecentBytes   = 2 << 20
)

// recentEntries holds the entries applied most recently, without gaps.
type recentEntries struct {
	entries []backend.Entry
	bytes   int
}

func (r *recentEntries) add(e backend.Entry) {
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data)
	for len(r.entries) > maxRecentEntries || (r.bytes > maxRecentBytes && len(r.entries) > 1) {
		r.bytes -= len(r.entries[0].Data)
		r.entries[0].Data = nil
		r.entries = r.entries[1:]
	}
}

func (r *recentEntries) clear() { *r = recentEntries{} }

// from returns entries from offset on, with at most limit bytes of data or a single
// larger entry. next is the offset after the newest entry. ok is false if the entry at
// offset is no longer kept.
func (r *recentEntries) from(offset, next int64, limit int) (entries []backend.Entry, ok bool) {
	if offset >= next {
		return nil, true
	}
	if len(r.entries) == 0 || offset < r.entries[0].Offset {
		return nil, false
	}
	rest := r.entries[offset-r.entries[0].Offset:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > limit {
			return append([]backend.Entry(nil), rest[:i]...), true
		}
	}
	return append([]backend.Entry(nil), rest...), true
}

// EntriesFrom returns applied entries from offset on, with at most limit bytes of data
// or a single larger entry, and the state's offset. ok is false if they are no longer
// kept.
func (j *Journal) EntriesFrom(offset int64, limit int) (entries []backend.Entry, next int64, ok bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	entries, ok = j.recent.from(offset, j.st.Offset, limit)
	return entries, j.st.Offset, ok
}
