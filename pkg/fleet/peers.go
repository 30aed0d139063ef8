package fleet

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/platform"
)

// rpcName is the name of this package's calls between nodes.
const rpcName = "Fleet"

// ageMargin is added to the age of a peer's copy, for the drift between the two
// clocks over the few seconds that matter.
const ageMargin = 50 * time.Millisecond

// maxAsked bounds the peers that are asked at once.
const maxAsked = 8

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
	Upstreams []platform.VM
	// Age is for how long the copy may have been behind the list.
	Age time.Duration
}

type handler struct{ s *Service }

// Copy answers with this node's copy of the upstreams, if it is newer.
func (h *handler) Copy(args *CopyCall, reply *CopyReply) error {
	upstreams, known := h.s.VMs(platform.KindUpstream)
	age, _ := h.s.ageOf(platform.KindUpstream, time.Now())
	if known && age+ageMargin < args.Age {
		*reply = CopyReply{Newer: true, Upstreams: upstreams, Age: age}
	}
	return nil
}

// askPeers takes the newest copy of some random peers if it is newer than this node's.
func (s *Service) askPeers(ctx context.Context) {
	began := time.Now()
	others := s.others()
	s.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxAsked)]
	answers := make([]answer, len(others))
	var wg sync.WaitGroup
	for i, address := range others {
		wg.Go(func() { answers[i] = s.askPeer(ctx, address) })
	}
	wg.Wait()
	answered, newer := len(others) == 0, false
	for _, a := range answers {
		answered = answered || a.answered
		newer = newer || a.newer
	}
	if answered && !newer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.noNews = began
	}
}

// others returns the addresses of the other entry VMs.
func (s *Service) others() []string {
	entries, _ := s.VMs(platform.KindEntry)
	var out []string
	for _, vm := range entries {
		if vm.ID != s.self {
			out = append(out, vm.Address)
		}
	}
	return out
}

// answer says what came of asking one peer.
type answer struct{ answered, newer bool }

func (s *Service) askPeer(ctx context.Context, address string) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	age, _ := s.ageOf(platform.KindUpstream, sent)
	var reply CopyReply
	if err := s.peers.Call(ctx, address, rpcName+".Copy", &CopyCall{Age: age}, &reply); err != nil {
		klog.V(1).Infof("fleet: a peer gave no copy of the VM list: %v", err)
		return answer{}
	}
	if reply.Newer {
		// The answer was composed after the call was sent, so the copy is at
		// least as recent as its age before that.
		s.adopt(platform.KindUpstream, listed{reply.Upstreams, sent.Add(-reply.Age - ageMargin)})
	}
	return answer{answered: true, newer: reply.Newer}
}
