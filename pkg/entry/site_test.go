package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// site is a simulated site of nodes, log topics and workers in one synctest bubble.
type site struct {
	t             *testing.T
	ctx           context.Context
	cancel        context.CancelFunc
	ledgerTopic   *simsite.Log
	operatorTopic *simsite.Log
	workerTopic   *simsite.Log
	fleet         *simsite.Fleet
	network       *memnet.Network
	workers       []*simsite.Worker
	nodes         []*testNode
	configVersion int64
	behaviours    map[workload.UnitID]func(index int) simsite.Behaviour
	// settings are those of all nodes.
	settings dispatch.Settings
	// limit is that of the client account; zero means none.
	limit workload.Resources
	// linkRate is that of the links of nodes added later, in bytes per second; 0 means no
	// limit.
	linkRate int
}

// testNode is a node and its clients of the ledger, operator and worker topics, in this
// order.
type testNode struct {
	*Node
	kill    context.CancelFunc
	peers   *peer.Service
	clients []*simsite.Client
	// stopped is closed once the node no longer listens for other nodes.
	stopped chan struct{}
	// paused is for how long the node has been paused in all, in nanoseconds.
	paused atomic.Int64
}

// Wait waits for the end of a killed node, whose name may then be used again.
func (n *testNode) Wait() {
	n.Node.Wait()
	<-n.stopped
}

// pause makes the node's clock advance as if the node had been paused until now. Its timers
// do not advance, as those of a suspended VM.
func (n *testNode) pause(d time.Duration) { n.paused.Add(int64(d)) }

// logs returns the topics of the site.
func (s *site) logs() []*simsite.Log {
	return []*simsite.Log{s.ledgerTopic, s.operatorTopic, s.workerTopic}
}

// setFault sets the fault of all log topics as this node sees them.
func (n *testNode) setFault(f simsite.LogFault) {
	for _, c := range n.clients {
		c.SetFault(f)
	}
}

const (
	testRackSize = 4
	urgentQueue  = "urgent"
	normalQueue  = "usual"
	bulkQueue    = "bulk"
	advisedQueue = "advised"
)

var wholeWorker = workload.Resources{MilliCores: 64000, MemoryMB: 262144, Accelerators: 8}

// testSettings returns the settings of the users' sites.
func testSettings() dispatch.Settings {
	failAfter := 2 * time.Second
	return dispatch.Settings{LeaseDuration: 6 * time.Second, LeaseWindow: 12 * time.Second, MaxConfigAge: 3750 * time.Millisecond, MaxWorkersAge: 1500 * time.Millisecond, MaxLedgerAge: 2250 * time.Millisecond, ClockDrift: 0.02, GangStartTimeout: 3 * time.Second, MaxStopTime: 900 * time.Millisecond, MaxReclaimTime: 3400 * time.Millisecond, CheckpointInterval: 2 * time.Second,
		EndedJobRetention: 2 * time.Minute, Election: election.Settings{FailAfter: failAfter, MaxReadGap: MaxReadDuration, Stagger: failAfter / 50, SuspectAfter: failAfter / 5, LogSettleTime: failAfter * 3 / 4, StartWindow: failAfter, RenewWindow: 3 * failAfter, HeartbeatInterval: failAfter / 4}}
}

// runSite runs a test with a site of the given number of nodes and workers. At its end it
// fails the test for each scheduling rule that the simulated workers saw violated.
func runSite(t *testing.T, nodes, workers int, test func(s *site)) {
	t.Helper()
	runSiteWith(t, testSettings(), nodes, workers, test)
}

// runSiteWith is runSite with other settings than those of testSettings.
func runSiteWith(t *testing.T, settings dispatch.Settings, nodes, workers int, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &site{t: t, ctx: ctx, cancel: cancel, settings: settings, network: memnet.New(nil), ledgerTopic: simsite.NewLog(), operatorTopic: simsite.NewLog(), workerTopic: simsite.NewLog(), behaviours: map[workload.UnitID]func(int) simsite.Behaviour{}}
		s.fleet = simsite.NewFleet(ctx, func(id workload.TaskID) simsite.Behaviour { return s.behaviours[id.UnitID](id.Index) })
		for i := range workers {
			rack := fmt.Sprintf("rack-%d", i/testRackSize)
			s.workers = append(s.workers, s.fleet.Add(catalog.Worker{ID: fmt.Sprintf("w%02d", i), StartedMS: 1, Service: "desk", Address: fmt.Sprintf("a%02d", i), Zone: "zone-" + rack, Rack: rack,
				Labels: []string{rack}, Capacity: wholeWorker}))
		}
		s.publishConfig()
		go s.publishWorkers()
		for i := range nodes {
			s.addNode(fmt.Sprintf("node-%d", i))
		}
		time.Sleep(time.Second)
		defer s.close()
		test(s)
		for _, violation := range s.fleet.Violations() {
			t.Error(violation)
		}
	})
}

// close stops the site.
func (s *site) close() {
	s.cancel()
	// Goroutines see the end of the context only after their current wait.
	time.Sleep(5 * time.Second)
}

// workerRecordInterval is the time between two records of a worker.
const workerRecordInterval = 1500 * time.Millisecond

// publishWorkers writes the records of the workers periodically, without those of workers
// that do not answer.
func (s *site) publishWorkers() {
	for s.ctx.Err() == nil {
		var records []backend.KeyedRecord
		s.fleet.Update(func() {
			for _, w := range s.workers {
				if !w.Silent {
					records = append(records, w.KeyedRecord())
				}
			}
		})
		s.workerTopic.Put(records...)
		time.Sleep(workerRecordInterval)
	}
}

// publishConfig writes the next version of the configuration, with all queues.
func (s *site) publishConfig() { s.publishQueues(urgentQueue, normalQueue, bulkQueue) }

// publishQueues writes the next version of the configuration, with the named queues and
// the advised one.
func (s *site) publishQueues(names ...string) {
	s.configVersion++
	c := catalog.Config{Version: s.configVersion, Accounts: []catalog.Account{{Name: "coopers", Keys: []string{"key"}, GuaranteedAccelerators: 32, Limit: s.limit}}}
	for priority, name := range []string{urgentQueue, normalQueue, bulkQueue} {
		if !slices.Contains(names, name) {
			continue
		}
		c.Queues = append(c.Queues, catalog.Queue{Name: name, Host: "host", PathPrefix: "/" + name + "/", Policy: workload.Policy{Service: "desk", Priority: priority, MaxAttempts: 3, Stretch: 3, Slack: time.Second}})
	}
	c.Queues = append(c.Queues, catalog.Queue{Name: advisedQueue, Host: "host", PathPrefix: "/advised/", Policy: workload.Policy{Service: "desk", Priority: 1, MaxAttempts: 3, Stretch: 3, Advised: true}})
	data, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.operatorTopic.Put(backend.KeyedRecord{Key: "config", Value: data})
}

func decodeOperator(r backend.KeyedRecord) (catalog.Change, error) {
	switch {
	case r.Key == "config":
		var c catalog.Config
		err := json.Unmarshal(r.Value, &c)
		c.Index()
		return catalog.Change{Config: &c}, err
	case len(r.Value) == 0:
		return catalog.Change{ZoneIn: r.Key}, nil
	default:
		return catalog.Change{ZoneOut: r.Key}, nil
	}
}

// addNode starts a node on a new VM with the given name.
func (s *site) addNode(name string) *testNode {
	ctx, kill := context.WithCancel(s.ctx)
	address := name + ":7002"
	peers := peer.New(s.network.Host(name), address)
	n := &testNode{kill: kill, peers: peers, stopped: make(chan struct{}), clients: []*simsite.Client{s.ledgerTopic.Client(), s.operatorTopic.Client(), s.workerTopic.Client()}}
	for _, c := range n.clients {
		c.SetLinkRate(s.linkRate)
	}
	started := time.Now()
	var err error
	n.Node, err = New(Settings{Name: name, Incarnation: name + "/" + started.String(), Address: address, Dispatch: s.settings, MaxBatchBytes: 1 << 20, LinkRate: s.linkRate, Now: func() time.Duration { return time.Hour + time.Since(started) + time.Duration(n.paused.Load()) }, UnixMS: func() int64 { return time.Now().UnixMilli() }},
		Platform{Ledger: n.clients[0], OperatorConfig: n.clients[1], Workers: n.clients[2], Orders: s.fleet, Adviser: s.fleet, DecodeOperator: decodeOperator, DecodeWorker: simsite.DecodeWorker, Peers: peers})
	if err == nil {
		err = peers.Start(ctx, nil)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	n.Start(ctx)
	context.AfterFunc(ctx, func() {
		stopCtx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = peers.Stop(stopCtx)
		close(n.stopped)
	})
	s.nodes = append(s.nodes, n)
	return n
}

// leader returns the node that leads, waiting up to 10 s for one.
func (s *site) leader() *testNode {
	s.t.Helper()
	for range 100 {
		for _, n := range s.nodes {
			if n.Leading() {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatal("no node acquired leadership within 10s")
	return nil
}

// killLeader stops the leader as a crash of its process would.
func (s *site) killLeader() {
	s.t.Helper()
	leader := s.leader()
	leader.kill()
	leader.Wait()
	s.nodes = remove(s.nodes, leader)
}

// follower returns a node that does not lead, or the leader of a site of one node.
func (s *site) follower() *testNode {
	leader := s.leader()
	for _, n := range s.nodes {
		if n != leader {
			return n
		}
	}
	return leader
}

var jobCount int

// submit submits a job through a node that does not lead and returns its ID.
func (s *site) submit(queue string, behaviour func(index int) simsite.Behaviour, steps ...workload.Step) string {
	s.t.Helper()
	return s.submitTo(s.follower(), queue, behaviour, steps...)
}

// submitTo submits a job through a node and returns its ID.
func (s *site) submitTo(n *testNode, queue string, behaviour func(index int) simsite.Behaviour, steps ...workload.Step) string {
	s.t.Helper()
	job := s.newJob(queue, behaviour, steps...)
	if err := n.Intake.Submit(s.ctx, job); err != nil {
		s.t.Fatalf("submission: %v", err)
	}
	return job.ID
}

// newJob returns a job that has not been submitted.
func (s *site) newJob(queue string, behaviour func(index int) simsite.Behaviour, steps ...workload.Step) *workload.Job {
	jobCount++
	job := &workload.Job{ID: fmt.Sprintf("%016x", jobCount), Queue: queue, Policy: workload.Policy{Service: "desk"}, Account: "coopers", Payload: "{}", Steps: steps, SubmittedMS: time.Now().UnixMilli()}
	if config, _, _ := s.nodes[0].OperatorConfig.Current(); config != nil && config.Queue(queue) != nil {
		job.Policy = config.Queue(queue).Policy
	}
	for step := range steps {
		unit := workload.UnitID{Job: job.ID, Step: step}
		s.fleet.Update(func() {
			s.behaviours[unit] = behaviour
			for _, d := range steps[step].DependsOn {
				for index := range steps[d].Count {
					s.fleet.Prerequisites[unit] = append(s.fleet.Prerequisites[unit], workload.TaskID{UnitID: workload.UnitID{Job: job.ID, Step: d}, Index: index})
				}
			}
		})
	}
	return job
}

// phase returns the phase of a job as a follower reports it.
func (s *site) phase(id string) ledger.Phase {
	s.t.Helper()
	phase, err := s.follower().Intake.Phase(s.ctx, id)
	if err != nil {
		s.t.Fatalf("phase of %s: %v", id, err)
	}
	return phase
}

// awaitPhase waits until a job has a phase, and fails the test after the given time.
func (s *site) awaitPhase(id string, want ledger.Phase, within time.Duration) {
	s.t.Helper()
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if s.phase(id) == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Errorf("job %s is %q after %s, want %q", id, s.phase(id), within, want)
}

// expectPhase fails the test unless a job has a phase now.
func (s *site) expectPhase(id string, want ledger.Phase) {
	s.t.Helper()
	if got := s.phase(id); got != want {
		s.t.Errorf("job %s is %q, want %q", id, got, want)
	}
}

// task returns the resources of a task that needs a number of a worker's accelerators.
func task(accelerators int) workload.Resources {
	return workload.Resources{MilliCores: 8000 * accelerators, MemoryMB: 32768 * accelerators, Accelerators: accelerators}
}

// uniform returns the behaviour of tasks that all run for the same time.
func uniform(need workload.Resources, work time.Duration, gang int) func(int) simsite.Behaviour {
	return func(int) simsite.Behaviour { return simsite.Behaviour{Resources: need, Work: work, Gang: gang} }
}

func keyedRecord(key, value string) backend.KeyedRecord {
	return backend.KeyedRecord{Key: key, Value: []byte(value)}
}
