package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/platform"
)

// rpcName is the name of this package's calls between nodes.
const rpcName = "Fleet"

// ageMargin is added to the age of a peer's copy, for the drift between the two
// clocks over the few seconds that matter.
const ageMargin = 50 * time.Millisecond

// CopyCall asks a peer for its copy of the upstreams.
type CopyCall struct{}

// CopyReply holds a copy of the upstreams, which alone must not be out of date:
// a leaving one gets no new work. Workers are known from the log, and entry VMs
// from heartbeats.
type CopyReply struct {
	Known     bool
	Upstreams []platform.VM
	// Age is for how long the copy may have been behind the list.
	Age time.Duration
}

type handler struct{ s *Service }

// Copy answers with this node's copy of the upstreams.
func (h *handler) Copy(_ *CopyCall, reply *CopyReply) error {
	reply.Upstreams, reply.Known = h.s.VMs(platform.KindUpstream)
	reply.Age, _ = h.s.ageOf(platform.KindUpstream, time.Now())
	return nil
}

// askPeer takes the copy of one random peer if it is newer.
func (s *Service) askPeer(ctx context.Context) {
	entries, _ := s.VMs(platform.KindEntry)
	var others []string
	for _, vm := range entries {
		if vm.ID != s.self {
			others = append(others, vm.Address)
		}
	}
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var reply CopyReply
	if err := s.peers.Call(ctx, others[s.rng.IntN(len(others))], rpcName+".Copy", &CopyCall{}, &reply); err != nil {
		klog.V(1).Infof("fleet: a peer gave no copy of the VM list: %v", err)
		return
	}
	if reply.Known {
		// The answer was composed after the call was sent, so the copy is at
		// least as recent as its age before that.
		s.adopt(platform.KindUpstream, listed{reply.Upstreams, sent.Add(-reply.Age - ageMargin)})
	}
}
