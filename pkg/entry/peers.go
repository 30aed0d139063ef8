package entry

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/intake"
	"github.com/shallotpin/shallotpin/pkg/leader"
	"github.com/shallotpin/shallotpin/pkg/ledger"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
)

// Peers makes and serves RPCs between nodes.
type Peers interface {
	// Handle registers the exported methods of receiver under a name.
	Handle(name string, receiver any) error
	// Call calls a method, such as "Entry.Leads", of the node at address. If it cannot
	// connect, its error wraps a *net.OpError with Op "dial".
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	receiverName = "Entry"
	storeMethod  = receiverName + ".Store"
	phaseMethod  = receiverName + ".Phase"
	// minForwardTimeout bounds a call to one other node, which may use the log;
	// forwardLatencyFactor raises it to a multiple of the log's latency. serveTimeout
	// bounds the handling of a query.
	minForwardTimeout    = 300 * time.Millisecond
	forwardLatencyFactor = 3
	serveTimeout         = 250 * time.Millisecond
	// phaseStagger is the delay between queries to further nodes.
	phaseStagger = 60 * time.Millisecond
	// writerRetryDelay is how long after a failed call a node is not tried again as the
	// one that writes for all.
	writerRetryDelay = time.Second
	// lateWriterDelay is the time without an answer after which a writing node counts as
	// failing, unless the log's latency is more than lateWriterDelay/lateWriterLatencies.
	lateWriterDelay     = 250 * time.Millisecond
	lateWriterLatencies = 5
	// maxForwardNodes is how many other nodes are tried: if a third of all nodes cannot
	// reach the log, at least one of three can in 26 of 27 cases.
	maxForwardNodes = 3
)

// receiver serves the RPCs of other nodes.
type receiver struct {
	node   *Node
	leader *leader.Service
}

// Leads answers a probe: whether the node leads the term.
func (r *receiver) Leads(term ledger.Term, result *election.ProbeResult) error {
	*result = r.leader.AnswerProbe(term)
	return nil
}

// StoreRequest is a record that another node adds to the log. Nodes of earlier versions send a
// backend.KeyedRecord, the first three fields.
type StoreRequest struct {
	Key    string
	Value  []byte
	Offset int64
	// Claim is what the record makes each node hold.
	Claim occupancy.Claim
}

// Stored is the reply to Store.
type Stored struct {
	// Done means that the log holds the record; if not, Verdict says whether it may.
	Done    bool
	Verdict api.Verdict
	// Occupied means that the nodes cannot hold the claim, and RetryAfter when to try again.
	Occupied   bool
	RetryAfter time.Duration
}

// err returns the error of a record that was not stored.
func (s *Stored) err(message string) error {
	if s.Occupied {
		return intake.OccupiedError(s.RetryAfter)
	}
	return &api.Error{Code: api.CodeUnavailable, Message: message, Verdict: s.Verdict}
}

// Store adds a record to the log for another node.
func (r *receiver) Store(request StoreRequest, stored *Stored) error {
	err := r.node.Intake.StoreLocally(backend.KeyedRecord{Key: request.Key, Value: request.Value}, request.Claim)
	*stored = Stored{Done: err == nil}
	if err != nil {
		e := api.AsError(err, api.MayHaveRun)
		stored.Verdict, stored.Occupied, stored.RetryAfter = e.Verdict, e.Code == api.CodeOverloaded, e.RetryAfter
	}
	return nil
}

// Phase returns a job's phase, or an error if this node cannot read the log.
func (r *receiver) Phase(id string, phase *ledger.Phase) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(serveTimeout, forwardLatencyFactor*r.node.logLatency()))
	defer cancel()
	p, err := r.node.Intake.LocalPhase(ctx, id)
	*phase = p
	return err
}

// forwarder forwards requests to other nodes; it implements intake.Forwarder.
type forwarder struct {
	peers   Peers
	replica *ledger.Replica
	leader  *leader.Service
	self    string
	// logLatency estimates the log's latency.
	logLatency func() time.Duration
	now        func() time.Duration

	mu sync.Mutex
	// failedAt is when the last call to a writing node failed, by address.
	failedAt map[string]time.Duration
}

var errNoOtherNode = api.Errorf(api.CodeUnavailable, "no other node can be reached")

// pickNodes returns the addresses of up to maxForwardNodes other nodes in random order.
func (f *forwarder) pickNodes() []string {
	nodes := f.replica.Nodes(f.self)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), maxForwardNodes)]
}

// StoreAtWriter implements intake.Forwarder. It tries a further node only if the one before
// has certainly not stored the record.
func (f *forwarder) StoreAtWriter(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error {
	request := StoreRequest{Key: r.Key, Value: r.Value, Claim: c}
	for _, address := range f.leader.WriterAddresses() {
		if f.isFailing(address) {
			continue
		}
		var stored Stored
		late := time.AfterFunc(lateWriterDelay, func() { f.recordLate(address) })
		err := f.peers.Call(ctx, address, storeMethod, request, &stored)
		late.Stop()
		switch {
		case err == nil && stored.Done:
			return nil
		case err == nil && stored.Occupied:
			return stored.err("")
		case err == nil:
			err = stored.err("the writing node has not stored the record")
		case isDialError(err):
			err = &api.Error{Code: api.CodeUnavailable, Message: err.Error(), Verdict: api.NotRun}
		default:
			err = &api.Error{Code: api.CodeUnavailable, Message: err.Error(), Verdict: api.MayHaveRun}
		}
		f.recordFailure(address)
		klog.InfoS("entry: record not stored by a writing node", "address", address, "key", r.Key, "err", err)
		if api.AsError(err, api.MayHaveRun).Verdict != api.NotRun {
			return err
		}
	}
	return intake.ErrNoWriter
}

// recordLate records that a writing node has not answered in time, unless the log is slow.
func (f *forwarder) recordLate(address string) {
	if f.logLatency() < lateWriterDelay/lateWriterLatencies {
		f.recordFailure(address)
	}
}

// isFailing reports whether a call to a writing node has failed recently.
func (f *forwarder) isFailing(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, failed := f.failedAt[address]
	return failed && f.now()-at < writerRetryDelay
}

func (f *forwarder) recordFailure(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	maps.DeleteFunc(f.failedAt, func(_ string, at time.Duration) bool { return now-at >= writerRetryDelay })
	f.failedAt[address] = now
}

// Store implements intake.Forwarder.
func (f *forwarder) Store(ctx context.Context, r backend.KeyedRecord, c occupancy.Claim) error {
	request := StoreRequest{Key: r.Key, Value: r.Value, Claim: c}
	mayBeStored := false
	for _, address := range f.pickNodes() {
		var stored Stored
		err := f.call(ctx, address, storeMethod, request, &stored)
		if err == nil && stored.Done {
			return nil
		}
		mayBeStored = mayBeStored || err != nil && !isDialError(err) || err == nil && stored.Verdict != api.NotRun
	}
	if mayBeStored {
		return &api.Error{Code: api.CodeTimeout, Message: "another node may have stored the record", Verdict: api.MayHaveRun}
	}
	return errNoOtherNode
}

// Phase implements intake.Forwarder. It asks the leader first, which knows of changes
// before all others, and a further node each phaseStagger until one has answered.
func (f *forwarder) Phase(ctx context.Context, id string) (ledger.Phase, error) {
	addresses := f.leader.WriterAddresses()
	addresses = append(addresses[:min(len(addresses), 1)], f.pickNodes()...)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(addresses))*phaseStagger+f.callTimeout())
	defer cancel()
	answers := make(chan *ledger.Phase, len(addresses))
	next, waiting := 0, 0
	ask := func() {
		address := addresses[next]
		next, waiting = next+1, waiting+1
		go func() {
			var phase ledger.Phase
			// A call that is not awaited any more must not end the connection to its node.
			if f.call(context.WithoutCancel(ctx), address, phaseMethod, id, &phase) != nil {
				answers <- nil
				return
			}
			answers <- &phase
		}()
	}
	for {
		if next < len(addresses) {
			ask()
		}
		stagger := time.NewTimer(phaseStagger)
		select {
		case phase := <-answers:
			if waiting--; phase != nil {
				stagger.Stop()
				return *phase, nil
			}
		case <-stagger.C:
		case <-ctx.Done():
			waiting, next = 0, len(addresses)
		}
		stagger.Stop()
		if waiting == 0 && next == len(addresses) {
			return "", errNoOtherNode
		}
	}
}

// callTimeout bounds a call to one other node, which may use the log.
func (f *forwarder) callTimeout() time.Duration {
	return max(minForwardTimeout, forwardLatencyFactor*f.logLatency())
}

func (f *forwarder) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout())
	defer cancel()
	err := f.peers.Call(ctx, address, method, args, reply)
	if err != nil {
		klog.InfoS("entry: call to another node failed", "address", address, "method", method, "err", err)
	}
	return err
}

// isDialError reports whether a call failed to connect, so that it certainly was not sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
