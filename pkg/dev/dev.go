// Package dev runs entry nodes and the fakes of package standin in one process, over
// TCP on one host, for local trials of the scheduler.
package dev

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/client"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/node"
	"github.com/shallotpin/shallotpin/pkg/standin"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

const (
	// vmListLag is the time until a change of the fake VM list becomes visible.
	vmListLag = 2 * time.Second
	// upstreamTime is the service time of a short request on a fake upstream.
	upstreamTime = 20 * time.Millisecond
	// readyTimeout bounds the time until the nodes are ready, the configuration is
	// published and the workers are known.
	readyTimeout = 30 * time.Second
)

// Site is a set of entry nodes and the fakes that they call.
type Site struct {
	servers []*standin.Server
	nodes   []*node.Node
	network *transport.ReservingNetwork
}

// Start starts a site with the given number of entry nodes and publishes the
// configuration document. The first node serves HTTP on listen.
func Start(ctx context.Context, listen string, entries int, document []byte) (*Site, error) {
	c, err := config.Decode(document)
	if err != nil {
		return nil, err
	}
	s := &Site{network: transport.NewReservingNetwork(transport.TCP{})}
	if err := s.start(ctx, listen, entries, c, document); err != nil {
		return nil, errors.Join(err, s.Stop(ctx))
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, listen string, entries int, c *config.Config, document []byte) error {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return err
	}
	listeners, err := listenAll(host, 4)
	if err != nil {
		return err
	}
	base := func(i int) string { return "http://" + listeners[i].Addr().String() }
	vms := shapeOf(c).VMs(base(2), base(3))
	settings := make([]node.Settings, entries)
	for i := range settings {
		if settings[i], err = s.entrySettings(i, host, listen, c, base(0), base(1)); err != nil {
			return err
		}
		vms = append(vms, backend.VM{ID: settings[i].ID, Kind: backend.KindEntry, Zone: settings[i].Zone, Address: settings[i].Peer})
	}
	s.servers = []*standin.Server{
		standin.Serve(listeners[0], standin.NewLog(0).Handler()),
		standin.Serve(listeners[1], standin.NewVMList(vmListLag, vms...).Handler()),
		standin.Serve(listeners[2], standin.WorkersHandler(vms)),
		standin.Serve(listeners[3], standin.UpstreamsHandler(vms, upstreamTime)),
	}
	for _, set := range settings {
		if err := s.startNode(ctx, set); err != nil {
			return err
		}
	}
	return publish(ctx, s.Address(), document)
}

func shapeOf(c *config.Config) standin.FleetShape {
	var zones []string
	for _, z := range c.Zones {
		zones = append(zones, z.Name)
	}
	service := ""
	if len(c.Services) > 0 {
		service = c.Services[0].Name
	}
	return standin.CurrentFleetShape(service, zones)
}

func (s *Site) entrySettings(i int, host, listen string, c *config.Config, log, vms string) (node.Settings, error) {
	peer, err := s.network.Reserve(host)
	if err != nil {
		return node.Settings{}, err
	}
	set := node.Settings{
		ID: fmt.Sprintf("entry-%d", i), Zone: c.Zones[i%len(c.Zones)].Name,
		HTTP: net.JoinHostPort(host, "0"), Peer: peer, Log: log, VMs: vms,
		DrainTimeout: 30 * time.Second, LeaseTTL: 10 * time.Second, StartWithin: 3 * time.Second, ClockDrift: 0.01,
		SnapshotInterval: 10 * time.Minute,
	}
	if i == 0 {
		set.HTTP = listen
	}
	return set, nil
}

func (s *Site) startNode(ctx context.Context, set node.Settings) error {
	if problems := set.Problems(); len(problems) > 0 {
		return errors.New(problems[0])
	}
	n, err := node.New(set, s.network, node.HTTPPlatform(set, s.network), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return nil
}

func publish(ctx context.Context, address string, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := client.New("http://" + address)
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	if _, err := c.PublishConfig(ctx, document, nil); err != nil {
		return err
	}
	return c.WaitWorkers(ctx)
}

// listenAll returns n TCP listeners on free ports of host.
func listenAll(host string, n int) ([]net.Listener, error) {
	out := make([]net.Listener, n)
	for i := range out {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		out[i] = l
	}
	return out, nil
}

// Address returns the HTTP address of the first node.
func (s *Site) Address() string { return s.nodes[0].Address() }

// Stop stops the nodes gracefully, then the fakes.
func (s *Site) Stop(ctx context.Context) error {
	var errs []error
	for _, n := range s.nodes {
		errs = append(errs, n.Stop(ctx))
	}
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	errs = append(errs, s.network.Close())
	return errors.Join(errs...)
}
