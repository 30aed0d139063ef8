// Package entry assembles the node that runs on an entry VM and keeps its state in a keyed
// log: the log followers, the replica of the ledger, the intake of jobs, and the
// participant in leader election, which schedules jobs while the node leads.
package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/feed"
	"github.com/shallotpin/shallotpin/pkg/intake"
	"github.com/shallotpin/shallotpin/pkg/leader"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/outage"
	"github.com/shallotpin/shallotpin/pkg/pause"
)

const (
	// readWait is how long the log may hold a read until there is a record: half of the
	// shortest time within which a change must be in force.
	readWait = time.Second
	// readTimeout bounds the time until the reply to a read begins, in addition to the
	// read's wait: many times the usual latency of the log, and short enough to detect a
	// dead connection in time. maxReadTimeout bounds that of a read of a slow log.
	readTimeout    = 700 * time.Millisecond
	maxReadTimeout = 1500 * time.Millisecond
	// listTimeout bounds the time until the reply to a call for one page of a listing
	// begins: more than a slow log takes.
	listTimeout = time.Second
	// stallTimeout is how long no more of a page may arrive before its connection counts as
	// dead: several retransmissions of a lost packet.
	stallTimeout = time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// workerReadDelay is the delay between reads of the worker topic, which batches the
	// workers' records.
	workerReadDelay = 300 * time.Millisecond
	// followerReadDelay is the delay between reads of the ledger on nodes that do not
	// lead, which batches records. The leader reads without a delay.
	followerReadDelay = 250 * time.Millisecond
	// writeTimeout bounds a call of this node's writer, that of intake, to the log.
	writeTimeout = time.Second
	// writeRetryDelay is the delay after a failed call of the writer.
	writeRetryDelay = 50 * time.Millisecond
	// batchDelay is how long the writer waits for further records.
	batchDelay = 2 * time.Millisecond
	// maxReadyAge is the age of the replica of the ledger up to which a node is ready.
	maxReadyAge = 2500 * time.Millisecond
)

// MaxReadDuration is the longest that a successful read of the log can take, unless the log
// is slow.
const MaxReadDuration = readWait + readTimeout

// Platform is the node's access to the platform and to other nodes.
type Platform struct {
	// Ledger, OperatorConfig and Workers are topics of the log.
	Ledger, OperatorConfig, Workers backend.KeyedLog
	Orders                          backend.Orders
	// Adviser is nil if the platform has none.
	Adviser backend.Adviser
	// DecodeOperator and DecodeWorker decode records of the topics OperatorConfig and
	// Workers.
	DecodeOperator func(backend.KeyedRecord) (catalog.Change, error)
	DecodeWorker   func(backend.KeyedRecord) (catalog.Worker, error)
	// Peers must be started after New, which registers the node's RPC methods with it.
	Peers Peers
}

// Settings configure a Node.
type Settings struct {
	// Name is the name of the VM. Incarnation is the unique name of this incarnation among
	// those of all nodes. Address is where other nodes reach this one.
	Name, Incarnation, Address string
	Dispatch                   dispatch.Settings
	// MaxBatchBytes bounds the records of one call to the log. LinkRate is the rate of the
	// node's link in bytes per second, 0 if unknown.
	MaxBatchBytes, LinkRate int
	// LogReadsPerSecond is how many reads the log takes of all nodes together, 0 if unknown.
	LogReadsPerSecond float64
	// Cores and MemoryMB are the node's capacity.
	Cores    float64
	MemoryMB int
	// JobBytes is how many bytes of accepted jobs the node can hold; 0 means by its memory.
	JobBytes int64
	// Now is a monotonic clock that also advances while the process is suspended.
	Now    func() time.Duration
	UnixMS func() int64
}

// Node is the node of an entry VM. Its methods are safe for concurrent use.
type Node struct {
	Intake         *intake.Service
	OperatorConfig *catalog.OperatorConfig

	settings       Settings
	leader         *leader.Service
	ledgerFollower *feed.Follower
	configFollower *feed.Follower
	replica        *ledger.Replica
	pauses         *pause.Detector
	// writer writes for intake; the leader has a writer of its own for each term.
	writer  *ledger.Appender
	peers   Peers
	running sync.WaitGroup
}

// New assembles a node and registers its RPC methods. The node does nothing before Start.
func New(s Settings, p Platform) (*Node, error) {
	n := &Node{settings: s, peers: p.Peers, pauses: pause.NewDetector(s.Now)}
	n.leader = leader.New(leader.Settings{Name: s.Name, Incarnation: s.Incarnation, Address: s.Address, Call: p.Peers.Call, Dispatch: s.Dispatch, MaxBatchBytes: s.MaxBatchBytes, LinkRate: s.LinkRate, LogLatency: n.logLatency, CheckLatency: n.checkLatency, Now: s.Now, UnixMS: s.UnixMS}, p.Ledger, p.Orders, p.Adviser)
	replica := ledger.NewReplica(n.leader.Listener(), ledger.Holding{Limit: n.occupancyLimit(), Accounts: n.accounts})
	n.replica = replica
	settings := func(name string, readDelay func() time.Duration) feed.Settings {
		return feed.Settings{Name: name, Wait: readWait, CallTimeout: readTimeout, MaxCallTimeout: maxReadTimeout, ListTimeout: listTimeout, Patient: outage.Patient(s.Name), StallTimeout: stallTimeout, RetryDelay: readRetryDelay, RetryFloor: n.retryFloor, ReadDelay: readDelay, Now: s.Now}
	}
	n.ledgerFollower = feed.New(p.Ledger, settings("ledger", func() time.Duration {
		if n.leader.Leading() {
			return 0
		}
		return followerReadDelay
	}), replica)
	n.OperatorConfig = catalog.NewOperatorConfig(p.DecodeOperator, n.leader.ViewChanged)
	operatorSettings := settings("operators", func() time.Duration { return 0 })
	operatorSettings.Superseding = true
	n.configFollower = feed.New(p.OperatorConfig, operatorSettings, n.OperatorConfig)
	workers := catalog.NewWorkers(p.DecodeWorker, s.Now, n.leader.ViewChanged)
	n.leader.Bind(replica, n.ledgerFollower, n.OperatorConfig, workers, func() *feed.Follower {
		return feed.New(p.Workers, settings("workers", func() time.Duration { return workerReadDelay }), workers)
	})
	n.writer = ledger.NewAppender(p.Ledger, ledger.AppenderSettings{Producer: s.Incarnation, Epoch: 1, NextSequence: 1, CallTimeout: writeTimeout, RetryDelay: writeRetryDelay,
		BatchDelay: batchDelay, MaxBatchBytes: s.MaxBatchBytes, LinkRate: s.LinkRate, LogLatency: n.logLatency, CheckLatency: n.checkLatency, Now: s.Now})
	n.Intake = intake.New(replica, n.ledgerFollower, n.writer, n.leader.Writer, n.leader.JobStored, n.checkLatency, &forwarder{peers: p.Peers, replica: replica, leader: n.leader, self: s.Name, logLatency: n.logLatency, now: s.Now, failedAt: map[string]time.Duration{}}, n.leader.MaxRecordBytes, s.Now, s.UnixMS)
	return n, p.Peers.Handle(receiverName, &receiver{n, n.leader})
}

// Start starts the node's goroutines, which end after ctx does.
func (n *Node) Start(ctx context.Context) {
	for _, run := range []func(context.Context){
		n.ledgerFollower.Run, n.configFollower.Run, n.leader.Run, n.publishAddress, n.pauses.Run,
		func(ctx context.Context) {
			if err := n.writer.Run(ctx); err != nil && ctx.Err() == nil {
				klog.InfoS("entry: ledger writer stopped", "err", err)
			}
		},
	} {
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			run(ctx)
		}()
	}
}

// occupancyLimit is how many bytes of accepted jobs the node can hold.
func (n *Node) occupancyLimit() int64 {
	if n.settings.JobBytes > 0 {
		return n.settings.JobBytes
	}
	return (&occupancy.Options{}).Limit(int64(n.settings.MemoryMB) << 20)
}

// OccupiedBytes returns what the accepted jobs take on each node, and what they may take.
func (n *Node) OccupiedBytes() (bytes, limit int64) { return n.replica.OccupiedBytes() }

// accounts is the number of client accounts, 0 before the first configuration.
func (n *Node) accounts() int {
	config, _, _ := n.OperatorConfig.Current()
	if config == nil {
		return 0
	}
	return len(config.Accounts)
}

// publishAddress writes the node's address, and what it can hold, to the ledger for the other
// nodes, unless the ledger has it from an earlier incarnation.
func (n *Node) publishAddress(ctx context.Context) {
	candidate := leader.IsCandidate(n.settings.Cores, n.settings.MemoryMB)
	for {
		if _, read := n.ledgerFollower.ConfirmedAt(); read {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(readRetryDelay):
		}
	}
	if n.replica.HasNode(n.settings.Name, n.settings.Address, candidate, n.occupancyLimit()) {
		return
	}
	if _, err := n.writer.Write(ctx, ledger.NodeRecords(n.settings.Name, n.settings.Address, candidate, n.occupancyLimit())...); err != nil && ctx.Err() == nil {
		klog.InfoS("entry: address not published to the ledger", "err", err)
	}
}

// retryFloor is the shortest typical delay between reads that the log refuses.
func (n *Node) retryFloor() time.Duration {
	candidates, others := n.replica.NodeNames()
	return outage.RetryFloor(len(candidates)+len(others), n.settings.LogReadsPerSecond)
}

// logLatency estimates the log's latency from reads of the operators' topic, which changes
// rarely.
func (n *Node) logLatency() time.Duration { return n.configFollower.Latency() }

// checkLatency makes logLatency soon show the present latency.
func (n *Node) checkLatency() { n.configFollower.CheckLatency(context.Background()) }

// Wait returns when the goroutines started by Start have ended.
func (n *Node) Wait() { n.running.Wait() }

// Ready reports whether the node can serve callers: it has a configuration and a recent
// replica of the ledger.
func (n *Node) Ready() bool {
	config, _, _ := n.OperatorConfig.Current()
	confirmedAt, ready := n.ledgerFollower.ConfirmedAt()
	return config != nil && ready && n.settings.Now()-confirmedAt < maxReadyAge
}

// Resign makes the node give up leadership and never claim it again. It does not wait.
func (n *Node) Resign() { n.leader.Resign() }

// UpdateSettings replaces the dispatch settings, also for the present term.
func (n *Node) UpdateSettings(d dispatch.Settings) { n.leader.UpdateSettings(d) }

// Leading reports whether the node leads.
func (n *Node) Leading() bool { return n.leader.Leading() }

// Interference returns the pairs of tasks that slow each other down, as the leader has last
// recorded them. Any node has them.
func (n *Node) Interference() ([]dispatch.LearnedPair, error) {
	return dispatch.DecodeInterference(n.replica.Learned(dispatch.InterferenceKey))
}
