package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

// gatedList is one node's way to the VM list, which can be cut.
type gatedList struct {
	platform.VMList
	cut atomic.Bool
}

func (l *gatedList) List(ctx context.Context) ([]platform.VM, error) {
	if l.cut.Load() {
		return nil, api.Errorf(api.CodeUnavailable, "cut off")
	}
	return l.VMList.List(ctx)
}

// TestCutOffNodeLearnsOfLeavingUpstream checks that a node which cannot reach
// the VM list learns within 5 s, beyond the list's lag, that an upstream is leaving.
func TestCutOffNodeLearnsOfLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		vms := []platform.VM{{ID: "u", Kind: platform.KindUpstream}}
		for i := range 3 {
			vms = append(vms, platform.VM{ID: fmt.Sprintf("e%d", i), Kind: platform.KindEntry, Address: fmt.Sprintf("10.0.0.%d:1", i)})
		}
		list := standin.NewVMList(0, vms...)
		var nodes []*Service
		var ways []*gatedList
		for _, vm := range vms[1:] {
			peers := peer.New(network.Host(vm.ID), vm.Address)
			way := &gatedList{VMList: list}
			ways = append(ways, way)
			s, err := New(way, vm.ID, peers, rand.New(rand.NewPCG(1, 1)))
			if err != nil {
				t.Fatal(err)
			}
			k := kernel.New()
			for _, service := range []kernel.Service{peers, s} {
				if err := k.Register(service); err != nil {
					t.Fatal(err)
				}
			}
			if err := k.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer k.Stop(context.Background())
			nodes = append(nodes, s)
		}
		time.Sleep(5 * time.Second)
		ways[0].cut.Store(true)
		list.Update(func(vms []platform.VM) []platform.VM {
			vms[0].Leaving = true
			return vms
		})
		time.Sleep(5 * time.Second)
		for i, s := range nodes {
			if vms, ok := s.VMs(platform.KindUpstream); !ok || len(vms) != 1 || !vms[0].Leaving {
				t.Errorf("node %d does not know that the upstream is leaving: %+v", i, vms)
			}
		}
	})
}
