// Package leader takes part in leader election for a site. While another node leads it
// monitors and probes that leader; once it has acquired leadership it runs the dispatch
// engine, which places jobs and starts their tasks, until the term ends.
package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/feed"
	"github.com/shallotpin/shallotpin/pkg/ledger"
)

const (
	// ProbeMethod is the RPC method that asks a node whether it leads a term.
	ProbeMethod = "Entry.Leads"
	// probeTimeout bounds a probe of a suspected leader: some ten round trips.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the shortest time between two probes.
	probeInterval = probeTimeout
	// producer is the log producer of all leaders; its epoch is the term number, so
	// that the log fences writes of earlier terms.
	producer = "leader"
	// pollInterval is how often a follower checks whether to probe or to claim
	// leadership, and a leader whether Resign has been called.
	pollInterval = 50 * time.Millisecond
	// sufficientCores is the CPU from which a node is a candidate for leadership: the
	// leader of 350 workers uses a third of it.
	sufficientCores = 0.4
	// sufficientMemoryMB is the memory from which a node is a candidate: the leader of 3,000
	// workers uses some 200 MB.
	sufficientMemoryMB = 256
	// writeTimeout bounds a call to the log.
	writeTimeout = time.Second
	// writeRetryDelay is the delay after a failed call to the log.
	writeRetryDelay = 50 * time.Millisecond
	// stalledWriteTimeout is how long a leader's writes may fail or stay unanswered
	// before another node may replace it: over a hundred times the usual latency of the
	// log, and twice that of a slow log.
	stalledWriteTimeout = 600 * time.Millisecond
	// batchDelay is how long the leader's writer waits for further records.
	batchDelay = 4 * time.Millisecond
	// deleteInterval is how often records of ended jobs are deleted.
	deleteInterval = 5 * time.Second
)

// IsCandidate reports whether a node with the given capacity is a candidate for leadership.
// Other nodes claim it only after all candidates have failed to.
func IsCandidate(cores float64, memoryMB int) bool {
	return cores >= sufficientCores && memoryMB >= sufficientMemoryMB
}

// Settings configure a Service.
type Settings struct {
	// Name is the name of the node's VM.
	Name string
	// Incarnation is the unique name of this incarnation among those of all nodes.
	// Address is where other nodes reach this one.
	Incarnation, Address string
	// Call makes an RPC to another node. If no process listens at address, its error wraps
	// syscall.ECONNREFUSED.
	Call     func(ctx context.Context, address, method string, args, reply any) error
	Dispatch dispatch.Settings
	// MaxBatchBytes bounds the records of one call to the log. LinkRate is the rate of the
	// node's link in bytes per second, 0 if unknown.
	MaxBatchBytes, LinkRate int
	// LogLatency returns an estimate of the log's latency.
	LogLatency func() time.Duration
	// CheckLatency makes LogLatency soon show the present latency.
	CheckLatency func()
	// Now is a monotonic clock that also advances while the process is suspended.
	Now    func() time.Duration
	UnixMS func() int64
}

var claimFailures = metrics.GetOrCreateCounter("shallotpin_claim_failures_total")

// Service is a node's participant in leader election. Its methods are safe for
// concurrent use.
type Service struct {
	settings       Settings
	log            backend.KeyedLog
	orders         backend.Orders
	adviser        backend.Adviser
	operatorConfig *catalog.OperatorConfig
	workers        *catalog.Workers
	replica        *ledger.Replica
	ledgerFollower *feed.Follower
	// newWorkerFollower returns a follower of the worker topic, which is read only while
	// the node leads.
	newWorkerFollower func() *feed.Follower

	mu      sync.Mutex
	monitor *election.Monitor
	// engine, writer and termCtx are those of the term that the node leads, else nil.
	engine    *dispatch.Engine
	writer    *ledger.Appender
	termCtx   context.Context
	resigning bool
	// endedTerm is the last term that the node led or failed to claim.
	endedTerm int64
	probing   bool
	nextProbe time.Duration
	// lastProbe is the term and result of the last probe; only changes of it are logged.
	lastProbe string
	// lastRead is the time of the last successful read of the ledger, 0 before the first.
	lastRead time.Duration
	// earlierWritesAt is a time by which every write of leaders before claimedTerm that
	// has been read had been sent, those of this node in an earlier term included.
	// claimedTerm is the last term that the node has claimed.
	earlierWritesAt time.Duration
	claimedTerm     int64
}

// New returns a Service. Bind must be called before Run.
func New(s Settings, log backend.KeyedLog, orders backend.Orders, adviser backend.Adviser) *Service {
	return &Service{settings: s, log: log, orders: orders, adviser: adviser, monitor: election.NewMonitor(s.Dispatch.Election, s.Now())}
}

// Bind sets the parts of the node that are constructed after the service because they
// call it.
func (s *Service) Bind(replica *ledger.Replica, ledgerFollower *feed.Follower, operators *catalog.OperatorConfig, workers *catalog.Workers, newWorkerFollower func() *feed.Follower) {
	s.replica, s.ledgerFollower, s.operatorConfig, s.workers, s.newWorkerFollower = replica, ledgerFollower, operators, workers, newWorkerFollower
}

// Listener returns the callbacks for the node's replica of the ledger.
func (s *Service) Listener() ledger.Listener {
	return ledger.Listener{
		OnJobChange: func(id string, e ledger.JobEntry) {
			if engine, ctx := s.current(); engine != nil {
				engine.JobChanged(ctx, id, e)
			}
		},
		OnLeaderRecord: func(term int64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := s.settings.Now()
			s.monitor.ObserveLeader(now)
			if term != s.claimedTerm {
				s.earlierWritesAt = now
			}
		},
		OnListing: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.earlierWritesAt = s.settings.Now()
		},
		OnRead: func(at time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lastRead = max(s.lastRead, at)
			s.monitor.ObserveRead(at)
		},
	}
}

// ViewChanged notifies the engine, if the node leads, that the configuration or the
// workers have changed.
func (s *Service) ViewChanged() {
	if engine, _ := s.current(); engine != nil {
		engine.ViewChanged()
	}
}

// UpdateSettings replaces the dispatch settings, also for the present term.
func (s *Service) UpdateSettings(d dispatch.Settings) {
	s.mu.Lock()
	s.settings.Dispatch = d
	s.monitor.UpdateSettings(d.Election)
	engine, ctx := s.engine, s.termCtx
	s.mu.Unlock()
	if engine != nil {
		engine.UpdateSettings(ctx, d)
	}
}

// MaxRecordBytes returns the log's limit of a record, key and value together, 0 if it has none.
func (s *Service) MaxRecordBytes() int { return s.dispatchSettings().MaxRecordBytes }

func (s *Service) dispatchSettings() dispatch.Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Dispatch
}

// Leading reports whether the node leads.
func (s *Service) Leading() bool {
	engine, _ := s.current()
	return engine != nil
}

func (s *Service) current() (*dispatch.Engine, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine, s.termCtx
}

// Where asks the engine where a job's tasks would go now; see dispatch.Engine.Where.
func (s *Service) Where(ctx context.Context, q dispatch.WhereQuestion) (*dispatch.WhereAnswer, error) {
	engine, termCtx := s.current()
	if engine == nil {
		return nil, api.Errorf(api.CodeUnavailable, "this node does not lead")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(termCtx, cancel)()
	return engine.Where(ctx, q)
}

// Resign makes the node give up leadership and never claim it again. It does not wait.
func (s *Service) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resigning = true
}

func (s *Service) isResigning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resigning
}

// Run takes part in elections, and leads the terms that it acquires, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.probeLeader(ctx)
		if s.isResigning() || !s.shouldClaim() {
			continue
		}
		term, sent, err := s.claim(ctx)
		if err != nil {
			s.markEnded(term)
			s.mu.Lock()
			s.monitor.ObserveFailedClaim(s.settings.Now(), rand.Float64())
			s.mu.Unlock()
			claimFailures.Inc()
			klog.InfoS("leader: claim failed", "term", term.Number, "err", err)
			continue
		}
		s.runTerm(ctx, term, sent)
	}
}

// shouldClaim reports whether to claim leadership now. It is false before the first read
// of the ledger: a leader that is not known yet may exist.
func (s *Service) shouldClaim() bool {
	s.mu.Lock()
	lastRead := s.lastRead
	s.mu.Unlock()
	if lastRead == 0 {
		return false
	}
	term := s.replica.Term()
	if s.replica.NodeAddress(s.settings.Name) == "" {
		// The node has no place in the order of claims yet.
		return false
	}
	s.mu.Lock()
	if term.Number == 0 || term.Resigned {
		s.monitor.ObserveVacancy(s.settings.Now())
	}
	due := s.monitor.ShouldClaim(s.settings.Now(), 0)
	s.mu.Unlock()
	if !due {
		return false
	}
	rank := s.rank(term.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitor.ShouldClaim(s.settings.Now(), rank)
}

// Writer returns the writer of the term that the node leads, or nil.
func (s *Service) Writer() *ledger.Appender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// JobStored passes a submission that this node has added to the log to the engine, if the
// node leads, before the replica has read it. Other records, and jobs that the replica
// knows, are left to the replica.
func (s *Service) JobStored(r backend.KeyedRecord) {
	engine, ctx := s.current()
	if engine == nil {
		return
	}
	id, job, err := s.replica.Prepare(r)
	if err != nil {
		klog.InfoS("leader: stored record not decoded", "key", r.Key, "err", err)
		return
	}
	if job != nil {
		engine.JobChanged(ctx, id, ledger.JobEntry{Job: job})
	}
}

// maxWriters is how many nodes are tried as the one that writes for all.
const maxWriters = 3

// WriterAddresses returns where to reach the nodes that write records for all others, in
// the order in which to try them: the leader while it is known to work, then the first
// nodes in the order of claims. The list ends before this node.
func (s *Service) WriterAddresses() []string {
	term := s.replica.Term()
	s.mu.Lock()
	hasLeader := term.Number > 0 && !term.Resigned && term.Address != "" && s.monitor.HasLeader(s.settings.Now())
	s.mu.Unlock()
	var addresses []string
	if hasLeader {
		if term.Leader == s.settings.Incarnation {
			return nil
		}
		addresses = append(addresses, term.Address)
	}
	candidates, others := s.replica.NodeNames()
	for _, name := range election.Order(term.Number, candidates, others) {
		if name == s.settings.Name || len(addresses) >= maxWriters {
			break
		}
		// A leader that is not known to work is not tried.
		if address := s.replica.NodeAddress(name); address != term.Address {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// probeLeader asks a suspected leader, in the background, whether it still leads. It does
// nothing if the leader is not suspected or a probe is under way.
func (s *Service) probeLeader(ctx context.Context) {
	term := s.replica.Term()
	latency := s.settings.LogLatency()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.ObserveLatency(latency)
	now := s.settings.Now()
	if s.probing || now < s.nextProbe || s.lastRead == 0 || term.Number == 0 || term.Address == "" || !s.monitor.ShouldProbe(now, 0) || !s.monitor.ShouldProbe(now, s.rank(term.Number)) {
		return
	}
	s.probing, s.nextProbe = true, now+probeInterval
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		var result election.ProbeResult
		err := s.settings.Call(ctx, term.Address, ProbeMethod, term, &result)
		switch {
		case s.replica.Term() != term:
			// The term has changed, so the result says nothing about its leader.
			result, err = election.StillLeading, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			result = election.Refused
		case err != nil:
			result = election.Unanswered
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probing = false
		s.monitor.ObserveProbe(s.settings.Now(), result)
		if probe := fmt.Sprint(term, result); probe != s.lastProbe {
			s.lastProbe = probe
			klog.InfoS("leader: called a silent leader", "term", term.Number, "leader", term.Leader, "answer", result, "err", err)
		}
	}()
}

// AnswerProbe returns whether the node leads the term, or is about to, and whether it
// can write to the log.
func (s *Service) AnswerProbe(term ledger.Term) election.ProbeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term.Leader != s.settings.Incarnation || term.Number <= s.endedTerm:
		return election.NotLeading
	case s.writer != nil && s.writer.OutageDuration(stalledWriteTimeout) >= stalledWriteTimeout:
		return election.Stalled
	default:
		return election.StillLeading
	}
}

// markEnded records that the node does not lead a term, even if its claim is added to
// the log late.
func (s *Service) markEnded(term ledger.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedTerm = max(s.endedTerm, term.Number)
}

// endTerm records that the node has led a term and does not any more.
func (s *Service) endTerm(term ledger.Term) {
	s.markEnded(term)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	s.engine, s.writer, s.termCtx = nil, nil, nil
	s.monitor.ObserveLeader(now)
	// If the node leads the next term, too, its leases of this one are inherited.
	s.earlierWritesAt = now
}

// rank returns the node's place in the order of probes and claims, from 0.
func (s *Service) rank(term int64) int {
	candidates, others := s.replica.NodeNames()
	return election.Rank(s.settings.Name, term, candidates, others)
}

// claim writes a leadership claim and returns its term and send time. Once the claim has
// been sent, the term is also returned with an error, since the log may add the claim late.
// Two claims of one term share producer, epoch and sequence number, so the log takes the
// second for a repeat of the first and adds nothing. A claim therefore needs no expected end
// offset, and records of other producers do not make it fail.
func (s *Service) claim(ctx context.Context) (_ ledger.Term, sentAt time.Duration, claimErr error) {
	ctx, cancel := context.WithTimeout(ctx, 2*writeTimeout)
	defer cancel()
	if err := s.ledgerFollower.Refresh(ctx); err != nil {
		return ledger.Term{}, 0, err
	}
	defer func() {
		if claimErr != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			// Another node may lead the claimed term, and may have written in it.
			s.claimedTerm, s.earlierWritesAt = 0, s.settings.Now()
		}
	}()
	if !s.shouldClaim() {
		return ledger.Term{}, 0, errors.New("leadership claim not due any more after a fresh read of the ledger")
	}
	term := ledger.Term{Number: s.replica.Term().Number + 1, Leader: s.settings.Incarnation, Address: s.settings.Address}
	sent := s.settings.Now()
	s.mu.Lock()
	s.claimedTerm = term.Number
	s.mu.Unlock()
	callCtx, cancelCall := context.WithTimeout(ctx, writeTimeout)
	_, err := s.log.Append(callCtx, backend.KeyedAppend{Records: []backend.KeyedRecord{ledger.TermRecord(term)}, Producer: producer, Epoch: term.Number, Sequence: 1, ExpectedEnd: -1})
	cancelCall()
	// The log decides who leads, whether the call succeeded or not.
	if refreshErr := s.ledgerFollower.Refresh(ctx); refreshErr != nil {
		return term, 0, errors.Join(err, refreshErr)
	}
	if got := s.replica.Term(); got != term {
		return term, 0, errors.Join(err, fmt.Errorf("claim of term %d lost: %s leads term %d", term.Number, got.Leader, got.Number))
	}
	return term, sent, nil
}

// runTerm leads a term until leadership is lost or resigned.
func (s *Service) runTerm(ctx context.Context, term ledger.Term, claimedAt time.Duration) {
	klog.InfoS("leader: lead taken", "term", term.Number, "node", s.settings.Incarnation, "offset", s.ledgerFollower.NextOffset())
	metrics.GetOrCreateCounter("shallotpin_terms_total").Inc()
	writerCtx, stopWriter := context.WithCancel(ctx)
	defer stopWriter()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writer := ledger.NewAppender(s.log, ledger.AppenderSettings{Producer: producer, Epoch: term.Number, NextSequence: 2, CallTimeout: writeTimeout,
		RetryDelay: writeRetryDelay, BatchDelay: batchDelay, MaxBatchBytes: s.settings.MaxBatchBytes, LinkRate: s.settings.LinkRate, LogLatency: s.settings.LogLatency, CheckLatency: s.settings.CheckLatency, Now: s.settings.Now})
	go func() {
		if err := writer.Run(writerCtx); err != nil && writerCtx.Err() == nil {
			klog.InfoS("leader: writer stopped", "term", term.Number, "err", err)
		}
	}()
	engine := dispatch.New(dispatch.Inputs{Settings: s.dispatchSettings(), Orders: s.orders, Adviser: s.adviser, Writer: writer, Now: s.settings.Now, UnixMS: s.settings.UnixMS,
		View: s.view, Term: term, ClaimedAt: claimedAt, EarlierWritesAt: s.earlierWrites()})
	s.mu.Lock()
	s.engine, s.writer, s.termCtx = engine, writer, ctx
	s.mu.Unlock()
	// The listener passes changes to the engine from here on, so Load misses none.
	engine.Load(s.replica.State())
	go s.newWorkerFollower().Run(ctx)
	go s.deleteEndedJobs(ctx, writer)
	go s.cancelOnResign(ctx, cancel)
	s.ledgerFollower.ReadNow()
	err := engine.Run(ctx)
	cancel()
	s.endTerm(term)
	klog.InfoS("leader: term ended", "term", term.Number, "err", err)
	if s.isResigning() {
		s.recordResignation(writerCtx, writer, term)
	}
}

func (s *Service) earlierWrites() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.earlierWritesAt
}

// recordResignation writes to the ledger that no node leads any more.
func (s *Service) recordResignation(ctx context.Context, writer *ledger.Appender, term ledger.Term) {
	term.Resigned = true
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := writer.Write(ctx, ledger.TermRecord(term)); err != nil {
		klog.InfoS("leader: resignation not recorded", "term", term.Number, "err", err)
		return
	}
	klog.InfoS("leader: resigned", "term", term.Number)
}

// cancelOnResign calls cancel once Resign has been called.
func (s *Service) cancelOnResign(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.isResigning() {
				cancel()
				return
			}
		}
	}
}

// view returns the configuration and the workers for the engine.
func (s *Service) view() dispatch.View {
	config, out, configAt := s.operatorConfig.Current()
	workers, workersAt := s.workers.Current()
	ledgerAt, _ := s.ledgerFollower.ConfirmedAt()
	return dispatch.View{Config: config, ZonesOut: out, Workers: workers, ConfigAt: configAt, WorkersAt: workersAt, LedgerAt: ledgerAt}
}

// deleteEndedJobs deletes the records of jobs that ended, or were cancelled without a
// submission, longer ago than dispatch.Settings.EndedJobRetention.
func (s *Service) deleteEndedJobs(ctx context.Context, writer *ledger.Appender) {
	ticker := time.NewTicker(deleteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var records []backend.KeyedRecord
		for _, id := range s.replica.EndedBefore(s.settings.UnixMS() - s.dispatchSettings().EndedJobRetention.Milliseconds()) {
			records = append(records, ledger.DeleteJob(id)...)
		}
		if len(records) == 0 {
			continue
		}
		if _, err := writer.Write(ctx, records...); err != nil && ctx.Err() == nil {
			klog.InfoS("leader: records of ended jobs not deleted", "records", len(records), "err", err)
		}
	}
}
