package relay

import (
	"fmt"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/state"
)

const (
	// maxPullBytes bounds the data of one reply to a pull.
	maxPullBytes = 128 << 10
	// servedStateTTL is the age up to which an encoded state is reused when another
	// peer begins to fetch one.
	servedStateTTL = 20 * time.Second
)

// PullCall is the argument of Relay.Pull: it asks for the entries from offset From on.
type PullCall struct{ From int64 }

// PullReply is the reply of Relay.Pull.
type PullReply struct {
	Entries []backend.Entry
	// Offset is the offset of the node's state. Age, if Known is set, is the time for
	// which that state may have been behind the log when the reply was composed.
	Offset int64
	Age    time.Duration
	Known  bool
	// TooOld is set if the node no longer keeps the requested entries. The caller
	// should fetch the state by Relay.State instead.
	TooOld bool
}

// StateCall is the argument of Relay.State: it asks for one chunk of the node's
// state. The first call has an empty ID.
type StateCall struct {
	ID    string
	Index int
}

// StateReply is the reply of Relay.State.
type StateReply struct{ Chunk state.SnapshotChunk }

// servedState is an encoded state that peers fetch.
type servedState struct {
	chunks []state.SnapshotChunk
	at     time.Time
}

type handler struct{ s *Service }

// Pull is the RPC handler that returns log entries that this node has applied.
func (h *handler) Pull(call *PullCall, reply *PullReply) error {
	j := h.s.journal
	// The age is taken first: entries applied between the two calls only make the
	// state newer than the age says.
	age, known := j.Age(time.Now())
	entries, next, ok := j.EntriesFrom(call.From, maxPullBytes)
	*reply = PullReply{Entries: entries, Offset: next, Age: age, Known: known, TooOld: !ok}
	return nil
}

// State is the RPC handler that returns one chunk of this node's state.
func (h *handler) State(call *StateCall, reply *StateReply) error {
	chunks, err := h.s.servedChunks(call.ID == "")
	if err != nil {
		return err
	}
	if call.Index < 0 || call.Index >= len(chunks) || (call.ID != "" && call.ID != chunks[call.Index].ID) {
		return fmt.Errorf("chunk %d of state %q is not served any more", call.Index, call.ID)
	}
	reply.Chunk = chunks[call.Index]
	return nil
}

// servedChunks returns the chunks of the encoded state. With begin, it first encodes
// the present state if there is no encoded one or it is older than servedStateTTL.
func (s *Service) servedChunks(begin bool) ([]state.SnapshotChunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begin && (s.servedState.chunks == nil || time.Since(s.servedState.at) > servedStateTTL) {
		chunks, err := s.encodeState()
		if err != nil {
			return nil, err
		}
		s.servedState = servedState{chunks, time.Now()}
	}
	return s.servedState.chunks, nil
}

// encodeState returns the chunks of the present state.
func (s *Service) encodeState() ([]state.SnapshotChunk, error) {
	var data []byte
	var err error
	var offset int64
	s.journal.View(func(st *state.State) {
		offset = st.Offset
		data, err = st.Encode()
	})
	if err != nil {
		return nil, err
	}
	return state.SplitSnapshot(fmt.Sprintf("%s@%d", s.journal.Writer(), offset), offset, data), nil
}
