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

// rpcName is the net/rpc service name of this package.
const rpcName = "Fleet"

// ageMargin is added to the ages in a peer's reply, to allow for the drift between
// the two clocks over a few seconds.
const ageMargin = 50 * time.Millisecond

// CopyCall requests a peer's copy of the upstreams, if it is newer than the caller's.
type CopyCall struct {
	// Age bounds how far the caller's copy may be behind the list.
	Age time.Duration
}

// CopyReply holds a copy of the upstreams. Only these have to be current, since an
// upstream that is leaving must get no new work: workers are known from the log, and
// entry VMs from heartbeats.
type CopyReply struct {
	Newer     bool
	Upstreams []backend.VM
	// Age bounds how far the copy may be behind the list.
	Age time.Duration
	// Words holds confirmations: for other entry VMs, by ID, how long ago the VM was
	// last known to have no newer copy than the node that replies. Thus two nodes that
	// cannot reach each other can rely on a third that reaches both.
	Words map[string]time.Duration
}

type handler struct{ s *Service }

// Copy implements the rpc method Fleet.Copy.
func (h *handler) Copy(args *CopyCall, reply *CopyReply) error {
	*reply = h.s.copyReply(time.Now(), args.Age)
	return nil
}

// copyReply returns the copy of the upstreams, if it is newer than one of the given
// age, and the confirmations that are still valid. Both are read under one lock: a
// confirmation means that a peer has no newer copy than the one that this node had at
// that time.
func (s *Service) copyReply(now time.Time, age time.Duration) CopyReply {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := CopyReply{Words: map[string]time.Duration{}}
	for id, at := range s.confirmedAt {
		if age := now.Sub(at) + ageMargin; age <= confirmationTTL {
			out.Words[id] = age
		}
	}
	upstreams := s.copies[backend.KindUpstream]
	if own := now.Sub(upstreams.asOf); !upstreams.asOf.IsZero() && own+ageMargin < age {
		out.Newer, out.Upstreams, out.Age = true, upstreams.vms, own
	}
	return out
}

// fetchFromPeers starts a call for a newer copy to every peer that has none in flight.
// The calls run concurrently, so a peer that does not answer delays no other.
func (s *Service) fetchFromPeers(ctx context.Context) {
	others := s.otherEntries()
	s.forgetUnlistedPeers(others)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range others {
		if s.pendingCalls[vm.ID] {
			continue
		}
		s.pendingCalls[vm.ID] = true
		s.loops.Go(func() {
			s.fetchFromPeer(ctx, vm)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.pendingCalls, vm.ID)
		})
	}
}

// otherEntries returns the listed entry VMs except this one.
func (s *Service) otherEntries() []backend.VM {
	entries, _ := s.VMs(backend.KindEntry)
	return slices.DeleteFunc(slices.Clone(entries), func(vm backend.VM) bool { return vm.ID == s.self })
}

// forgetUnlistedPeers drops what was recorded about nodes that are not in peers, the
// listed entry VMs.
func (s *Service) forgetUnlistedPeers(peers []backend.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlisted := func(id string, _ time.Time) bool {
		return !containsVM(peers, id)
	}
	maps.DeleteFunc(s.confirmedAt, unlisted)
	maps.DeleteFunc(s.unansweredSince, unlisted)
}

// fetchFromPeer calls a peer, stores its copy if that is newer, and records its
// confirmations.
func (s *Service) fetchFromPeer(ctx context.Context, vm backend.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	age, _ := s.ageOf(backend.KindUpstream, sent)
	var reply CopyReply
	if err := s.peers.Call(ctx, vm.Address, rpcName+".Copy", &CopyCall{Age: age}, &reply); err != nil {
		klog.V(1).Infof("fleet: call to a peer for its copy of the VM list failed: %v", err)
		s.recordUnanswered(vm.ID, sent, err)
		return
	}
	if reply.Newer {
		// The reply was made after the call was sent, so the copy was current at
		// the time of sending less its age, or later.
		s.replaceIfNewer(backend.KindUpstream, vmCopy{reply.Upstreams, sent.Add(-reply.Age - ageMargin)})
	}
	s.recordReply(vm.ID, sent, reply.Words)
}

// recordReply records that a peer replied to a call sent at the given time. As its
// copy has been stored if it was newer, the peer had no newer one then.
// confirmations are the CopyReply.Words of the reply.
func (s *Service) recordReply(id string, sent time.Time, confirmations map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unansweredSince, id)
	s.recordConfirmation(id, sent)
	for other, age := range confirmations {
		s.recordConfirmation(other, sent.Add(-age))
	}
}

// recordUnanswered records that a call to a peer failed. A peer that refuses the
// connection does not run, and one that has not answered for peerLostAfter is lost.
// Neither can have a newer copy, so both count as confirmations.
func (s *Service) recordUnanswered(id string, sent time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredSince[id].IsZero() {
		s.unansweredSince[id] = sent
	}
	if errors.Is(err, syscall.ECONNREFUSED) || sent.Sub(s.unansweredSince[id]) >= peerLostAfter {
		s.recordConfirmation(id, sent)
	}
}

// recordConfirmation records that a peer had no newer copy at a time. It must be
// called with mu held.
func (s *Service) recordConfirmation(id string, at time.Time) {
	if at.After(s.confirmedAt[id]) {
		s.confirmedAt[id] = at
	}
}
