// Package memsite runs entry nodes in one process, over the in-memory network of
// package memnet and against the fakes of package standin, with faults injected
// between them. Tests under virtual time and benchmarks use it.
package memsite

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/client"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/node"
	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// Options configure a site.
type Options struct {
	// Entries is the number of entry VMs.
	Entries int
	// Config, if not nil, is published once the nodes are ready.
	Config *config.Config
	Shape  standin.FleetShape
	Seed   uint64
	// Delay is the one-way network delay between two hosts.
	Delay time.Duration
	// LinkDelay, if not nil, replaces Delay. It returns the one-way delay of each
	// write and must be safe for concurrent use.
	LinkDelay func(from, to string) time.Duration
	// VMListLag is the lag of the VM list.
	VMListLag time.Duration
	// Retain is the number of entries that the log keeps; zero keeps all.
	Retain int
	// UpstreamTime is the service time of a short request.
	UpstreamTime time.Duration
	// HTTP makes the nodes call the log and the VM list by HTTP over the network,
	// so that the bytes count as traffic of the nodes.
	HTTP bool
	// Settings, if not nil, changes the settings of each node before it starts.
	Settings func(*node.Settings)
	// WrapPlatform, if not nil, wraps the platform that each node calls.
	WrapPlatform func(p node.Platform) node.Platform
	// Observe, if not nil, is called with each change of a task on a worker.
	Observe func(standin.TaskEvent)
	// OnCall, if not nil, is called before and after each append, reserve, start,
	// renew and stop call of a node. A test can freeze or kill the node in it, and so
	// at an exact step.
	OnCall func(Call)
}

// Site is a set of entry nodes and the fakes that they call.
type Site struct {
	Net       *memnet.Network
	Log       *standin.Log
	VMs       *standin.VMList
	Workers   map[string]*standin.Worker
	Upstreams map[string]*standin.Upstream
	Entries   []*Entry

	opts    Options
	servers []*standin.Server
	rng     *rand.Rand
	// mu guards clients, since Client may be called concurrently.
	mu      sync.Mutex
	clients []idleConnCloser
}

type idleConnCloser interface{ CloseIdleConnections() }

// Entry is one entry VM with its node.
type Entry struct {
	Node     *node.Node
	Host     *memnet.Host
	Settings node.Settings
	gate     *gate
	killed   bool
}

// callerHost is the host from which clients call the entry VMs.
const callerHost = "caller"

// New starts a site, publishes the configuration and waits until the workers are
// known.
func New(ctx context.Context, opts Options) (*Site, error) {
	delay := opts.LinkDelay
	if delay == nil {
		delay = func(string, string) time.Duration { return opts.Delay }
	}
	s := &Site{
		Net: memnet.New(delay), Log: standin.NewLog(opts.Retain),
		Workers: map[string]*standin.Worker{}, Upstreams: map[string]*standin.Upstream{},
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	vms := opts.Shape.VMs("worker", "http://10.1.0.0")
	for i := range vms {
		if err := s.addVM(&vms[i], i); err != nil {
			return nil, err
		}
	}
	for i := range opts.Entries {
		set := s.entrySettings(i, 0)
		vms = append(vms, backend.VM{ID: set.ID, Kind: backend.KindEntry, Zone: set.Zone, Address: set.Peer})
		s.Entries = append(s.Entries, &Entry{Settings: set})
	}
	s.VMs = standin.NewVMList(opts.VMListLag, vms...)
	if opts.HTTP {
		if err := s.servePlatform(); err != nil {
			return nil, err
		}
	}
	for i := range s.Entries {
		if err := s.startEntry(ctx, i); err != nil {
			return nil, errors.Join(err, s.Close(ctx))
		}
	}
	if opts.Config == nil {
		return s, nil
	}
	return s, s.publish(ctx)
}

func (s *Site) addVM(vm *backend.VM, i int) error {
	switch vm.Kind {
	case backend.KindWorker:
		s.Workers[vm.ID] = standin.NewWorker(*vm, s.opts.Observe)
	case backend.KindUpstream:
		address := fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		vm.Address = "http://" + address
		u := standin.NewUpstream(*vm, s.opts.UpstreamTime)
		l, err := s.Net.Host(vm.ID).Listen(address)
		if err != nil {
			return err
		}
		s.Upstreams[vm.ID] = u
		s.servers = append(s.servers, standin.Serve(l, u.Handler()))
	}
	return nil
}

// entrySettings returns the settings of entry VM i, or of its replacement with the
// given generation if that is not zero.
func (s *Site) entrySettings(i, generation int) node.Settings {
	id := fmt.Sprintf("entry-%d", i)
	if generation > 0 {
		id = fmt.Sprintf("entry-%d-%d", i, generation)
	}
	ip := fmt.Sprintf("10.0.%d.%d", generation, i+1)
	set := node.Settings{
		ID: id, Zone: s.opts.Shape.Zones[i%len(s.opts.Shape.Zones)],
		HTTP: net.JoinHostPort(ip, "7400"), Peer: net.JoinHostPort(ip, "7401"),
		Log: "http://10.2.0.1:80", VMs: "http://10.2.0.2:80",
		DrainTimeout: 30 * time.Second, LeaseTTL: 10 * time.Second, StartWithin: 3 * time.Second, ClockDrift: 0.01,
		SnapshotInterval: 10 * time.Minute,
	}
	if s.opts.Settings != nil {
		s.opts.Settings(&set)
	}
	return set
}

func (s *Site) startEntry(ctx context.Context, i int) error {
	e := s.Entries[i]
	if problems := e.Settings.Problems(); len(problems) > 0 {
		return errors.New(problems[0])
	}
	e.Host = s.Net.Host(e.Settings.ID)
	e.gate = &gate{host: e.Host, id: e.Settings.ID, onCall: s.opts.OnCall}
	log, vms := s.platformOf(e.Host)
	p := node.Platform{
		Log: &gatedLog{e.gate, log}, VMs: &gatedVMs{e.gate, vms},
		Workers: &gatedWorkers{e.gate, s.Workers}, NewID: s.newIDs(),
	}
	if s.opts.WrapPlatform != nil {
		p = s.opts.WrapPlatform(p)
	}
	var err error
	e.Node, err = node.New(e.Settings, e.Host, p, rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i))))
	if err != nil {
		return err
	}
	return e.Node.Start(ctx)
}

// newIDs returns a generator of IDs that depend on the seed alone, since job IDs
// decide which node coordinates a job.
func (s *Site) newIDs() func() string {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	}
}

const (
	// logAddress and vmsAddress are the listen addresses of the log and the VM list
	// if Options.HTTP is set.
	logAddress = "10.2.0.1:80"
	vmsAddress = "10.2.0.2:80"
)

// platformOf returns the log and the VM list for the node on a host.
func (s *Site) platformOf(h *memnet.Host) (backend.Log, backend.VMList) {
	if !s.opts.HTTP {
		return s.Log, s.VMs
	}
	c := transport.HTTPClient(h, 0)
	s.clients = append(s.clients, c)
	return &backend.HTTPLog{Base: "http://" + logAddress, Client: c}, &backend.HTTPVMList{Base: "http://" + vmsAddress, Client: c}
}

// servePlatform serves the log and the VM list by HTTP.
func (s *Site) servePlatform() error {
	for address, handler := range map[string]http.Handler{logAddress: s.Log.Handler(), vmsAddress: s.VMs.Handler()} {
		l, err := s.Net.Host("platform").Listen(address)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, standin.Serve(l, handler))
	}
	return nil
}

func (s *Site) publish(ctx context.Context) error {
	c := s.Client(0)
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := c.PublishConfig(ctx, encodeConfig(s.opts.Config), nil); err != nil {
		return err
	}
	return c.WaitWorkers(ctx)
}

// Client returns an HTTP client of entry VM i.
func (s *Site) Client(i int) *client.Client {
	h := transport.HTTPClient(s.Net.Host(callerHost), 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients = append(s.clients, h)
	return client.NewWithHTTPClient("http://"+s.Entries[i].Settings.HTTP, h)
}

// Kill ends the process of entry VM i at once, as SIGKILL does. The VM stays on the
// VM list.
func (s *Site) Kill(i int) {
	e := s.Entries[i]
	if e.killed {
		return
	}
	e.killed = true
	e.gate.kill()
	e.Host.Kill()
	stopCtx, cancel := context.WithCancel(context.Background())
	cancel()
	// Stop lets the goroutines of the killed node end. Their calls have no effect.
	go e.Node.Stop(stopCtx)
}

// Shutdown removes entry VM i from the VM list and stops it gracefully, as SIGTERM
// does.
func (s *Site) Shutdown(ctx context.Context, i int) error {
	e := s.Entries[i]
	e.killed = true
	s.removeFromVMList(e.Settings.ID)
	err := e.Node.Stop(ctx)
	e.gate.kill()
	e.Host.Kill()
	return err
}

// LoseEntry kills entry VM i and removes it from the VM list.
func (s *Site) LoseEntry(i int) {
	s.Kill(i)
	s.removeFromVMList(s.Entries[i].Settings.ID)
}

// Retire marks entry VM i as leaving, stops it gracefully and removes it from the VM
// list.
func (s *Site) Retire(ctx context.Context, i int) error {
	e := s.Entries[i]
	s.VMs.Update(func(vms []backend.VM) []backend.VM {
		for k := range vms {
			vms[k].Leaving = vms[k].Leaving || vms[k].ID == e.Settings.ID
		}
		return vms
	})
	err := e.Node.Stop(ctx)
	e.killed = true
	e.Host.Kill()
	s.removeFromVMList(e.Settings.ID)
	return err
}

func (s *Site) removeFromVMList(id string) {
	s.VMs.Update(func(vms []backend.VM) []backend.VM {
		kept := vms[:0]
		for _, vm := range vms {
			if vm.ID != id {
				kept = append(kept, vm)
			}
		}
		return kept
	})
}

// Replace starts a new VM in place of entry VM i, which must have ended. generation
// numbers the replacements of an entry VM from 1, and is part of the new ID.
func (s *Site) Replace(ctx context.Context, i, generation int) error {
	set := s.entrySettings(i, generation)
	s.Entries[i] = &Entry{Settings: set}
	s.VMs.Update(func(vms []backend.VM) []backend.VM {
		return append(vms, backend.VM{ID: set.ID, Kind: backend.KindEntry, Zone: set.Zone, Address: set.Peer})
	})
	return s.startEntry(ctx, i)
}

// Freeze pauses the process of entry VM i, as SIGSTOP does, until Thaw.
func (s *Site) Freeze(i int) { s.Entries[i].Host.Freeze() }

// Thaw resumes the process of entry VM i.
func (s *Site) Thaw(i int) { s.Entries[i].Host.Thaw() }

// CutPlatform makes exactly the given parts of the platform unreachable for entry
// VM i.
func (s *Site) CutPlatform(i int, cut PlatformCut) { s.Entries[i].gate.set(cut) }

// LoseWorker kills a worker and removes it from the VM list.
func (s *Site) LoseWorker(id string) {
	s.Workers[id].Kill()
	s.removeFromVMList(id)
}

// Stop stops entry VM i gracefully, as SIGTERM does. The VM stays on the VM list.
func (s *Site) Stop(ctx context.Context, i int) error {
	e := s.Entries[i]
	e.killed = true
	err := e.Node.Stop(ctx)
	e.gate.kill()
	e.Host.Kill()
	return err
}

// Settle brings the tasks of all workers up to date, so that Options.Observe has been
// called for every change until now.
func (s *Site) Settle() {
	for _, w := range s.Workers {
		w.Running()
	}
}

// Close stops the running nodes and then the fakes.
func (s *Site) Close(ctx context.Context) error {
	var errs []error
	for _, c := range s.clients {
		c.CloseIdleConnections()
	}
	for _, e := range s.Entries {
		if e.Node != nil && !e.killed {
			e.Host.Thaw()
			errs = append(errs, e.Node.Stop(ctx))
		}
	}
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}
