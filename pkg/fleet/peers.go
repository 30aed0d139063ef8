package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// rpcName is the name of this package's calls between nodes.
const rpcName = "Fleet"

// ageMargin is added to the age of a peer's copy, for the drift between the two
// clocks over the few seconds that matter.
const ageMargin = 50 * time.Millisecond

// CopyCall asks a peer for its copy of the upstreams, if it is newer.
type CopyCall struct {
	// Age is for how long the caller's copy may have been behind the list.
	Age time.Duration
}

// CopyReply holds a copy of the upstreams, which alone must not be out of date:
// a leaving one gets no new work. Workers are known from the log, and entry VMs
// from heartbeats.
type CopyReply struct {
	Newer     bool
	Upstreams []backend.VM
	// Age is for how long the copy may have been behind the list.
	Age time.Duration
	// Words holds for how long ago other entry VMs, by ID, had no newer copy than
	// the one that answers, so that nodes which cannot reach each other need not.
	Words map[string]time.Duration
}

type handler struct{ s *Service }

// Copy answers with this node's copy of the upstreams, if it is newer.
func (h *handler) Copy(args *CopyCall, reply *CopyReply) error {
	*reply = h.s.reply(time.Now(), args.Age)
	return nil
}

// reply returns the copy of the upstreams, if it is newer than one of the given
// age, and the words that still count. They must be of one moment: a word says
// that a peer has no newer copy than the one that this node held then.
func (s *Service) reply(now time.Time, age time.Duration) CopyReply {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := CopyReply{Words: map[string]time.Duration{}}
	for id, at := range s.words {
		if age := now.Sub(at) + ageMargin; age <= noNewsWithin {
			out.Words[id] = age
		}
	}
	upstreams := s.copies[backend.KindUpstream]
	if own := now.Sub(upstreams.at); !upstreams.at.IsZero() && own+ageMargin < age {
		out.Newer, out.Upstreams, out.Age = true, upstreams.vms, own
	}
	return out
}

// askPeers begins to ask the peers for newer copies. A peer that does not answer
// holds up the questions to no other.
func (s *Service) askPeers(ctx context.Context) {
	others := s.others()
	s.forgetExcept(others)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range others {
		if s.asking[vm.ID] {
			continue
		}
		s.asking[vm.ID] = true
		s.loops.Go(func() {
			s.askPeer(ctx, vm)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.asking, vm.ID)
		})
	}
}

// others returns the other entry VMs.
func (s *Service) others() []backend.VM {
	entries, _ := s.VMs(backend.KindEntry)
	return slices.DeleteFunc(slices.Clone(entries), func(vm backend.VM) bool { return vm.ID == s.self })
}

// forgetExcept forgets what was noted of peers that are listed no more.
func (s *Service) forgetExcept(peers []backend.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlisted := func(id string, _ time.Time) bool {
		return !lists(peers, id)
	}
	maps.DeleteFunc(s.words, unlisted)
	maps.DeleteFunc(s.silent, unlisted)
}

// askPeer takes a peer's copy if it is newer, and notes what the peer knows.
func (s *Service) askPeer(ctx context.Context, vm backend.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	age, _ := s.ageOf(backend.KindUpstream, sent)
	var reply CopyReply
	if err := s.peers.Call(ctx, vm.Address, rpcName+".Copy", &CopyCall{Age: age}, &reply); err != nil {
		klog.V(1).Infof("fleet: a peer gave no copy of the VM list: %v", err)
		s.noteUnanswered(vm.ID, sent, err)
		return
	}
	if reply.Newer {
		// The answer was composed after the call was sent, so the copy is at
		// least as recent as its age before that.
		s.adopt(backend.KindUpstream, listed{reply.Upstreams, sent.Add(-reply.Age - ageMargin)})
	}
	s.noteWords(vm.ID, sent, reply.Words)
}

// noteWords notes that a peer answered a call sent at the given time, so that it
// has no newer copy now, and what it knows of others.
func (s *Service) noteWords(id string, sent time.Time, words map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silent, id)
	s.word(id, sent)
	for other, age := range words {
		s.word(other, sent.Add(-age))
	}
}

// noteUnanswered notes that a peer did not answer. A process that does not run
// has no copy, nor has one that has been silent for so long that it is lost.
func (s *Service) noteUnanswered(id string, sent time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[id].IsZero() {
		s.silent[id] = sent
	}
	if errors.Is(err, syscall.ECONNREFUSED) || sent.Sub(s.silent[id]) >= lostAfter {
		s.word(id, sent)
	}
}

// word notes when a peer had no newer copy. The caller holds mu.
func (s *Service) word(id string, at time.Time) {
	if at.After(s.words[id]) {
		s.words[id] = at
	}
}
