// Package node assembles the services of the node that runs on an entry VM, and
// defines its settings.
package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/lifecycle"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/planner"
	"github.com/shallotpin/shallotpin/pkg/relay"
	"github.com/shallotpin/shallotpin/pkg/requests"
	"github.com/shallotpin/shallotpin/pkg/state"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// Settings are the settings of a node, given as flags or environment variables.
type Settings struct {
	ID   string `long:"id" env:"SHALLOTPIN_ID" required:"true" description:"name of this VM in the platform's VM list"`
	Zone string `long:"zone" env:"SHALLOTPIN_ZONE" required:"true" description:"availability zone of this VM"`
	HTTP string `long:"http" env:"SHALLOTPIN_HTTP" default:"127.0.0.1:7400" description:"IP:port that callers and operators reach"`
	Peer string `long:"peer" env:"SHALLOTPIN_PEER" default:"127.0.0.1:7401" description:"IP:port that other nodes reach"`
	Log  string `long:"log" env:"SHALLOTPIN_LOG" default:"http://127.0.0.1:7300" description:"URL of the platform's log service, with an IP number"`
	VMs  string `long:"vms" env:"SHALLOTPIN_VMS" default:"http://127.0.0.1:7301" description:"URL of the platform's VM list, with an IP number"`

	DrainDelay       time.Duration `long:"drain-delay" env:"SHALLOTPIN_DRAIN_DELAY" default:"2s" description:"how long a planned stop goes on taking requests while /readyz says no, 0s to 1m"`
	DrainTimeout     time.Duration `long:"drain-timeout" env:"SHALLOTPIN_DRAIN_TIMEOUT" default:"30s" description:"longest time that a planned stop waits for requests in flight, 1s to 10m"`
	LeaseTTL         time.Duration `long:"lease-ttl" env:"SHALLOTPIN_LEASE_TTL" default:"10s" description:"how long a task runs on without a renewal, 7s to 5m"`
	StartWithin      time.Duration `long:"start-within" env:"SHALLOTPIN_START_WITHIN" default:"3s" description:"longest time from reservation to start on a worker's clock, 500ms to 4s"`
	SnapshotInterval time.Duration `long:"snapshot-interval" env:"SHALLOTPIN_SNAPSHOT_INTERVAL" default:"10m" description:"greatest age of the newest snapshot in the log, under half of the log's retention, 10s to 24h"`
	ClockDrift       float64       `long:"clock-drift" env:"SHALLOTPIN_CLOCK_DRIFT" default:"0.01" description:"assumed bound on the relative drift between two VMs' clocks, 0 to 0.2"`

	MemoryMB int `long:"memory" env:"SHALLOTPIN_MEMORY_MB" default:"0" description:"memory that the process may use, in MB, 32 or more; 0: not known"`
	MaxFDs   int `long:"max-fds" env:"SHALLOTPIN_MAX_FDS" default:"0" description:"descriptors that the process may open, 256 or more; 0: not known"`
	// Options bound what callers hold; the zero value means ingress.DefaultOptions.
	ingress.Options
}

// The least memory, in MB, and the fewest descriptors with which a node serves.
const (
	minMemoryMB = 32
	minFDs      = 256
)

// Problems validates the settings. It returns one message for each invalid setting.
func (s *Settings) Problems() []string {
	var problems []string
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if s.ID == "" {
		add("--id: must be set")
	}
	if s.Zone == "" {
		add("--zone: must be set")
	}
	checkAddress := func(flag, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			add("%s: %q is not an IP number and a port, such as 127.0.0.1:7400", flag, value)
		}
	}
	checkAddress("--http", s.HTTP)
	checkAddress("--peer", s.Peer)
	checkURL := func(flag, value string) {
		host, found := strings.CutPrefix(value, "http://")
		if _, err := netip.ParseAddrPort(host); !found || err != nil {
			add("%s: %q is not a URL of an IP number and a port, such as http://127.0.0.1:7300", flag, value)
		}
	}
	checkURL("--log", s.Log)
	checkURL("--vms", s.VMs)
	checkRange := func(flag string, value, low, high time.Duration) {
		if value < low || value > high {
			add("%s: %s is not between %s and %s", flag, value, low, high)
		}
	}
	checkRange("--drain-delay", s.DrainDelay, 0, time.Minute)
	checkRange("--drain-timeout", s.DrainTimeout, time.Second, 10*time.Minute)
	checkRange("--lease-ttl", s.LeaseTTL, minLeaseTTL, 5*time.Minute)
	checkRange("--start-within", s.StartWithin, 500*time.Millisecond, 4*time.Second)
	checkRange("--snapshot-interval", s.SnapshotInterval, 10*time.Second, 24*time.Hour)
	if s.ClockDrift < 0 || s.ClockDrift > 0.2 {
		add("--clock-drift: %g is not between 0 and 0.2", s.ClockDrift)
	}
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		add("--memory: %d is neither 0 nor at least %d", s.MemoryMB, minMemoryMB)
	}
	if s.MaxFDs != 0 && s.MaxFDs < minFDs {
		add("--max-fds: %d is neither 0 nor at least %d", s.MaxFDs, minFDs)
	}
	if s.Options != (ingress.Options{}) {
		problems = append(problems, s.Options.Problems()...)
	}
	return problems
}

// gate returns the bounds on what callers hold.
func (s *Settings) gate(set *metrics.Set) *ingress.Gate {
	options := s.Options
	if options == (ingress.Options{}) {
		options = ingress.DefaultOptions()
	}
	g := ingress.New(options, ingress.Machine{MemoryBytes: int64(s.MemoryMB) << 20, Descriptors: s.MaxFDs})
	g.RegisterMetrics(set)
	return g
}

// minLeaseTTL is the shortest lease for which, in a site of a few nodes, another node
// renews in time when a coordinator stops renewing (see lifecycle.TakeoverMargin).
const minLeaseTTL = 7 * time.Second

// renewInterval returns the time between renewals of a lease.
func renewInterval(lease time.Duration) time.Duration { return lease / 5 }

// Platform holds the clients of the platform's services.
type Platform struct {
	Log     backend.Log
	VMs     backend.VMList
	Workers backend.Workers
	// NewID generates the globally unique IDs of the node's incarnation and of the
	// jobs that it accepts; nil means random UUIDs.
	NewID func() string
}

// HTTPPlatform returns HTTP clients for the platform at the URLs in the settings.
func HTTPPlatform(s Settings, network transport.Network) Platform {
	client := transport.HTTPClient(network, 0)
	return Platform{
		Log:     &backend.HTTPLog{Base: s.Log, Client: client},
		VMs:     &backend.HTTPVMList{Base: s.VMs, Client: client},
		Workers: &backend.HTTPWorkers{Client: client, HTTP2: transport.HTTP2Client(network)},
	}
}

// Node is the scheduler node of an entry VM.
type Node struct {
	kernel *kernel.Kernel
	front  *frontdoor.Service
	// Journal is the node's view of the log.
	Journal *journal.Journal
	// Relay replicates the log between nodes and reports how recent this node's view
	// of it is.
	Relay *relay.Service
	// Members is the node's view of the other nodes.
	Members  *membership.Service
	Requests *requests.Service
	settings Settings
}

// New assembles a node without starting it. rng is the source of its random choices.
func New(s Settings, network transport.Network, p Platform, rng *rand.Rand) (*Node, error) {
	if p.NewID == nil {
		p.NewID = uuid.NewString
	}
	incarnation := s.ID + "/" + p.NewID()
	set := metrics.NewSet()
	peers := peer.New(network, s.Peer)
	vms, err := fleet.New(p.VMs, s.ID, peers)
	if err != nil {
		return nil, err
	}
	members, err := membership.New(membership.Member{ID: s.ID, Incarnation: incarnation, Zone: s.Zone, Address: s.Peer, Started: time.Now().UnixNano(), Format: state.Format}, peers)
	if err != nil {
		return nil, err
	}
	lifecycleSettings := lifecycle.DefaultSettings
	lifecycleSettings.LeaseTTL, lifecycleSettings.StartWithin, lifecycleSettings.ClockDrift = s.LeaseTTL, s.StartWithin, s.ClockDrift
	lifecycleSettings.RenewInterval = renewInterval(s.LeaseTTL)
	jobs, err := lifecycle.New(lifecycleSettings, p.Workers, peers)
	if err != nil {
		return nil, err
	}
	log := journal.New(p.Log, incarnation)
	relays, err := relay.New(relay.Settings{SnapshotInterval: s.SnapshotInterval, ClockDrift: s.ClockDrift}, log, members, peers, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
	if err != nil {
		return nil, err
	}
	n := &Node{
		kernel: kernel.New(), settings: s, Members: members,
		Journal: log, Relay: relays,
		Requests: requests.New(network, rng, set),
		front:    frontdoor.New(network, s.HTTP, s.DrainDelay, set, p.NewID),
	}
	n.front.Ingress = s.gate(set)
	services := []kernel.Service{
		n.Journal, vms, peers, members, relays,
		planner.New(rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))), jobs, n.Requests, n.front,
	}
	for _, service := range services {
		if err := n.kernel.Register(service); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts every service. It returns once the node serves the HTTP API.
func (n *Node) Start(ctx context.Context) error { return n.kernel.Start(ctx) }

// Address returns the address of the front door.
func (n *Node) Address() string { return n.front.Address() }

// Stop shuts the node down gracefully within the drain timeout: it reports not ready,
// then accepts no new work, and then completes what is in flight.
func (n *Node) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	return n.kernel.Stop(ctx)
}
