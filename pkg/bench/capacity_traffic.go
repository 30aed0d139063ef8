package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/node"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/platform"
	"github.com/shallotpin/shallotpin/pkg/relay"
	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/state"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

const (
	// settleTime lets the node start its gangs, and write or read the first
	// snapshot, before the window opens.
	settleTime = 45 * time.Second
	// windowTime is how long the node is measured at the target size.
	windowTime = 30 * time.Second
	bytesPerMB = 1 << 20
	loopback   = "127.0.0.1:0"
)

// targetSite is one whole node at the target size over loopback, with stand-ins
// for the platform and light nodes that only answer and send heartbeats.
type targetSite struct {
	log     *standin.Log
	vms     []platform.VM
	network *transport.Reserving
	traffic *countingNetwork
	node    *node.Node
	light   []*kernel.Kernel
	servers []*standin.Server
}

// measureTarget holds one node at the target size, and measures its control
// traffic by counterpart, the processor time and the memory of the process.
// Processor time and memory include the stand-ins' side of every call.
func measureTarget(ctx context.Context, workers int, figures map[string]float64) (err error) {
	network := transport.NewReserving(transport.TCP{})
	s := &targetSite{network: network, traffic: &countingNetwork{network: network, classes: map[string]string{}}}
	defer func() { err = errors.Join(err, s.stop(context.WithoutCancel(ctx))) }()
	if err := s.start(ctx, workers, figures); err != nil {
		return err
	}
	if err := sleepFor(ctx, settleTime); err != nil {
		return err
	}
	before, cpu, began := s.traffic.totals(), processorTime(), time.Now()
	if err := s.drive(ctx); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	figures["control_cpu_share_at_target"] = (processorTime() - cpu).Seconds() / seconds
	for class, after := range s.traffic.totals() {
		figures["control_bytes_per_s_"+class] = float64(after.bytes-before[class].bytes) / seconds
		figures["control_writes_per_s_"+class] = float64(after.writes-before[class].writes) / seconds
		figures["control_bytes_per_node_per_s_at_target"] += float64(after.bytes-before[class].bytes) / seconds
	}
	figures["rss_mb_at_target"], err = residentMB()
	var encodeErr error
	s.node.Journal.View(func(st *state.State) {
		for _, j := range st.Jobs {
			if j.Coordinator == s.node.Journal.Writer() {
				figures["tasks_coordinated_by_node"] += float64(len(j.Placements))
			}
		}
		figures["workers_at_target"] = float64(len(st.Workers))
		var snapshot []byte
		if snapshot, encodeErr = st.Encode(); encodeErr == nil {
			figures["snapshot_bytes_at_target"] = float64(len(snapshot))
		}
	})
	return errors.Join(err, encodeErr)
}

// start builds the site; the node that is measured is also the preferred planner.
func (s *targetSite) start(ctx context.Context, workers int, figures map[string]float64) error {
	if err := s.startWorkers(workers); err != nil {
		return err
	}
	entries, err := s.entryVMs()
	if err != nil {
		return err
	}
	s.log = standin.NewLog(0)
	vmList := standin.NewVMList(0, append(append([]platform.VM(nil), s.vms...), entries...)...)
	logURL, err := s.serve("log", s.log)
	if err != nil {
		return err
	}
	vmsURL, err := s.serve("vm_list", vmList)
	if err != nil {
		return err
	}
	measured := preferredPlanner(entries)
	for _, vm := range entries {
		if vm.ID == measured.ID {
			continue
		}
		if err := s.startLight(ctx, vm, entries); err != nil {
			return err
		}
	}
	if figures["rss_mb_stand_ins"], err = residentMB(); err != nil {
		return err
	}
	return s.startNode(ctx, measured, entries, logURL, vmsURL)
}

func (s *targetSite) startNode(ctx context.Context, vm platform.VM, entries []platform.VM, logURL, vmsURL string) error {
	set := node.Settings{
		ID: vm.ID, Zone: vm.Zone, HTTP: loopback, Peer: vm.Address, Log: logURL, VMs: vmsURL,
		DrainTimeout: 30 * time.Second, LeaseTTL: 10 * time.Second, StartWithin: 3 * time.Second, ClockDrift: 0.01,
		SnapshotInterval: relay.DefaultSettings.SnapshotInterval,
	}
	var err error
	s.node, err = node.New(set, s.traffic, node.HTTPPlatform(set, s.traffic), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	r := &recorder{writer: targetWriter}
	coordinator := func(i int) string {
		// The sizes repeat every len(gangSizes) gangs; the sum spreads them evenly.
		vm := entries[(i/len(gangSizes)+i)%len(entries)]
		if vm.ID == set.ID {
			return s.node.Journal.Writer()
		}
		return lightIncarnation(vm.ID)
	}
	if err := r.addTarget(targetAccounts, min(targetTasks, len(s.vms)*tasksPerWorker), s.vms, coordinator); err != nil {
		return err
	}
	if err := s.node.Start(ctx); err != nil {
		return err
	}
	// The node hears of the others first: it would claim what they coordinate.
	if err := s.awaitMembers(ctx, len(entries)); err != nil {
		return err
	}
	for _, data := range r.entries {
		if _, err := s.log.Append(ctx, data); err != nil {
			return err
		}
	}
	return nil
}

// awaitMembers waits until the node has heard of n nodes, itself included.
func (s *targetSite) awaitMembers(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for len(s.node.Members.Live(time.Now())) < n {
		if err := sleepFor(ctx, membership.HeartbeatInterval/10); err != nil {
			return err
		}
	}
	return nil
}

// startWorkers serves each worker on its own address, as in a real fleet.
func (s *targetSite) startWorkers(n int) error {
	s.vms = fleetVMs(n, "")
	for i := range s.vms {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		s.vms[i].Address = "http://" + l.Addr().String()
		s.traffic.classes[l.Addr().String()] = "workers"
		s.servers = append(s.servers, standin.Serve(l, standin.NewWorker(s.vms[i], nil).Handler()))
	}
	return nil
}

// serve serves a stand-in and returns its URL; traffic to it counts as class.
func (s *targetSite) serve(class string, standIn interface{ Handler() http.Handler }) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	s.traffic.classes[l.Addr().String()] = class
	s.servers = append(s.servers, standin.Serve(l, standIn.Handler()))
	return "http://" + l.Addr().String(), nil
}

// entryVMs lists the entry VMs, each with a reserved loopback address.
func (s *targetSite) entryVMs() ([]platform.VM, error) {
	vms := make([]platform.VM, targetNodes)
	for i := range vms {
		address, err := s.network.Reserve("127.0.0.1")
		if err != nil {
			return nil, err
		}
		vms[i] = platform.VM{
			ID: fmt.Sprintf("entry-%02d", i), Kind: platform.KindEntry,
			Zone: targetZones[i%len(targetZones)], Address: address,
		}
	}
	return vms, nil
}

func preferredPlanner(entries []platform.VM) platform.VM {
	members := make([]membership.Member, len(entries))
	for i, vm := range entries {
		members[i] = membership.Member{ID: vm.ID}
	}
	best := membership.Rendezvous(members, "planner")
	for _, vm := range entries {
		if vm.ID == best.ID {
			return vm
		}
	}
	return entries[0]
}

func lightIncarnation(id string) string { return id + "/light" }

// startLight starts a node that takes part in membership only.
func (s *targetSite) startLight(ctx context.Context, vm platform.VM, entries []platform.VM) error {
	peers := peer.New(s.network, vm.Address)
	members, err := membership.New(membership.Member{ID: vm.ID, Incarnation: lightIncarnation(vm.ID), Zone: vm.Zone, Address: vm.Address}, peers)
	if err != nil {
		return err
	}
	vms, err := fleet.New(standin.NewVMList(0, entries...), vm.ID, peers)
	if err != nil {
		return err
	}
	k := kernel.New()
	for _, service := range []kernel.Service{vms, peers, members} {
		if err := k.Register(service); err != nil {
			return err
		}
	}
	s.light = append(s.light, k)
	return k.Start(ctx)
}

// drive publishes configuration and submits jobs at the target's rates for one window.
func (s *targetSite) drive(ctx context.Context) error {
	changes := time.Duration(secondsPerDay*float64(time.Second)) / targetChanges
	jobs := time.Duration(secondsPerDay*float64(time.Second)) / targetJobsDay
	r := &recorder{writer: "capacity/drive"}
	for at, version, job := time.Duration(0), uint64(1), 0; at < windowTime; at += time.Second {
		if at >= time.Duration(version-1)*changes {
			if err := s.append(ctx, r, state.Record{Publish: &state.Publish{Base: version, Config: accountConfig(targetAccounts)}}); err != nil {
				return err
			}
			version++
		}
		if at >= time.Duration(job)*jobs {
			submit := &state.SubmitJob{ID: fmt.Sprintf("driven-%d", job), Spec: smallJob(job)}
			if err := s.append(ctx, r, state.Record{Submit: submit}); err != nil {
				return err
			}
			job++
		}
		if err := sleepFor(ctx, time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *targetSite) append(ctx context.Context, r *recorder, rec state.Record) error {
	if err := r.add(rec); err != nil {
		return err
	}
	_, err := s.log.Append(ctx, r.entries[len(r.entries)-1])
	return err
}

func (s *targetSite) stop(ctx context.Context) error {
	var errs []error
	if s.node != nil {
		errs = append(errs, s.node.Stop(ctx))
	}
	for _, k := range s.light {
		errs = append(errs, k.Stop(ctx))
	}
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	errs = append(errs, s.network.Close())
	return errors.Join(errs...)
}

func sleepFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// residentMB returns the memory that the process holds, after a collection.
func residentMB() (float64, error) {
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / bytesPerMB, err
}

// countingNetwork counts the bytes of each connection by class. Addresses that
// are not in classes belong to the other nodes.
type countingNetwork struct {
	network transport.Network
	classes map[string]string

	mu     sync.Mutex
	counts map[string]*traffic
}

type traffic struct{ bytes, writes atomic.Int64 }

type trafficTotal struct{ bytes, writes int64 }

const classNodes = "nodes"

func (n *countingNetwork) of(class string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts = map[string]*traffic{}
	}
	if n.counts[class] == nil {
		n.counts[class] = &traffic{}
	}
	return n.counts[class]
}

func (n *countingNetwork) totals() map[string]trafficTotal {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string]trafficTotal{}
	for class, t := range n.counts {
		out[class] = trafficTotal{t.bytes.Load(), t.writes.Load()}
	}
	return out
}

// Dial implements transport.Network.
func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	class := n.classes[address]
	if class == "" {
		class = classNodes
	}
	return &countingConn{conn, n.of(class)}, nil
}

// Listen implements transport.Network.
func (n *countingNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.network.Listen(address)
	return &countingListener{l, n.of(classNodes)}, err
}

type countingListener struct {
	net.Listener
	traffic *traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}
