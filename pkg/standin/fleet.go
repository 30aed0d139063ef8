package standin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// FleetShape describes a fleet of workers and upstreams spread evenly over zones.
type FleetShape struct {
	Zones   []string
	Service string
	// Workers and Upstreams are totals over all zones.
	Workers, Upstreams int
	// RackSize is the number of workers in a rack.
	RackSize int
	Capacity api.Resources
	// Slots and Connections are the limits of each upstream.
	Slots, Connections int
}

// CurrentFleetShape returns the shape of the fleet of one deployment as it is now.
func CurrentFleetShape(service string, zones []string) FleetShape {
	return FleetShape{
		Zones: zones, Service: service, Workers: 48, Upstreams: 48, RackSize: 8,
		Capacity: api.Resources{Cores: 64, MemoryGB: 256, Accelerators: 8}, Slots: 8, Connections: 64,
	}
}

// VMs returns the VMs of the fleet. Their addresses are the VM IDs below workerBase
// and upstreamBase.
func (f FleetShape) VMs(workerBase, upstreamBase string) []backend.VM {
	var vms []backend.VM
	inZone := map[string]int{}
	for i := range f.Workers {
		zone := f.Zones[i%len(f.Zones)]
		index := inZone[zone]
		inZone[zone]++
		id := fmt.Sprintf("w-%s-%d", zone, index)
		vms = append(vms, backend.VM{
			ID: id, Kind: backend.KindWorker, Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, index/f.RackSize),
			Address: workerBase + "/" + id, Capacity: f.Capacity,
		})
	}
	for i := range f.Upstreams {
		zone := f.Zones[i%len(f.Zones)]
		id := fmt.Sprintf("u-%s-%d", zone, i/len(f.Zones))
		vms = append(vms, backend.VM{
			ID: id, Kind: backend.KindUpstream, Zone: zone, Address: upstreamBase + "/" + id,
			Service: f.Service, Slots: f.Slots, Connections: f.Connections,
		})
	}
	return vms
}

// WorkersHandler serves each worker among vms below /ID.
func WorkersHandler(vms []backend.VM) http.Handler {
	mux := http.NewServeMux()
	for _, vm := range vms {
		if vm.Kind == backend.KindWorker {
			mux.Handle("/"+vm.ID+"/", http.StripPrefix("/"+vm.ID, NewWorker(vm, nil).Handler()))
		}
	}
	return mux
}

// UpstreamsHandler serves each upstream among vms below /ID. Requests take
// serviceTime.
func UpstreamsHandler(vms []backend.VM, serviceTime time.Duration) http.Handler {
	mux := http.NewServeMux()
	for _, vm := range vms {
		if vm.Kind == backend.KindUpstream {
			mux.Handle("/"+vm.ID+"/", http.StripPrefix("/"+vm.ID, NewUpstream(vm, serviceTime).Handler()))
		}
	}
	return mux
}
