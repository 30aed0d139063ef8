// Package requests routes short requests from callers to upstreams. It gets a request
// from package frontdoor, queues it (package admission), sends it to an upstream with
// a free slot (package routing), or forwards it to another entry VM. Each answer
// carries a verdict on whether the request ran. An upstream has a slot for each
// request that it can run at a time. The entry VMs divide the slots among themselves,
// and claim each idempotency key (package claims), so that a keyed request runs at
// most once.
package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/claims"
	"github.com/shallotpin/shallotpin/pkg/config"
	"github.com/shallotpin/shallotpin/pkg/fleet"
	"github.com/shallotpin/shallotpin/pkg/journal"
	"github.com/shallotpin/shallotpin/pkg/kernel"
	"github.com/shallotpin/shallotpin/pkg/membership"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/relay"
	"github.com/shallotpin/shallotpin/pkg/state"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// ServiceName is the name of the request service in the kernel.
const ServiceName = "requests"

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// minAttemptTimeout is the shortest timeout of an attempt at an idempotent request.
	minAttemptTimeout = 250 * time.Millisecond
	// attemptTimeoutFactor times the average service time is the timeout of an
	// attempt while there is time for another one. It detects silent connections.
	attemptTimeoutFactor = 8
)

// Service routes short requests. It is a kernel service and safe for concurrent use.
type Service struct {
	upstreamClient *upstreamClient
	journal        *journal.Journal
	members        *membership.Service
	fleet          *fleet.Service
	peers          *peer.Service
	relays         *relay.Service
	roster         *roster
	table          *claims.Table
	// appendsFailing reports whether the log did not confirm the last claim in time.
	appendsFailing atomic.Bool

	runCtx context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// servingPeers counts the requests in progress for other nodes.
	servingPeers sync.WaitGroup

	// mu guards rng, pools and upstreams.
	mu        sync.Mutex
	rng       *rand.Rand
	pools     map[string]*pool
	upstreams map[string]*upstreamState
	metrics   *requestMetrics
}

// New returns a request service that reaches upstreams over network. rng is used
// to choose among upstreams; metrics are registered in set.
func New(network transport.Network, rng *rand.Rand, set *metrics.Set) *Service {
	return &Service{
		upstreamClient: newUpstreamClient(network), rng: rng,
		pools: map[string]*pool{}, upstreams: map[string]*upstreamState{}, metrics: newRequestMetrics(set),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// DependsOn implements kernel.Service.
func (s *Service) DependsOn() []string {
	return []string{journal.ServiceName, membership.ServiceName, fleet.ServiceName, peer.ServiceName, relay.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	if s.journal, err = kernel.Lookup[*journal.Journal](k, journal.ServiceName); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](k, membership.ServiceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[*peer.Service](k, peer.ServiceName); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[*fleet.Service](k, fleet.ServiceName); err != nil {
		return err
	}
	if s.relays, err = kernel.Lookup[*relay.Service](k, relay.ServiceName); err != nil {
		return err
	}
	s.roster = newRoster(s.members.Self(), time.Now())
	s.table = claims.NewTable(s.members.Self().Incarnation)
	s.runCtx, s.cancel = context.WithCancel(context.Background())
	if err := s.peers.Handle("Requests", &handler{s}); err != nil {
		return err
	}
	s.wg.Go(func() { s.helloLoop(s.runCtx) })
	s.wg.Go(func() { s.logKeysLoop(s.runCtx) })
	return nil
}

// Stop implements kernel.Service. It waits for the requests in progress for other
// nodes until ctx is done.
func (s *Service) Stop(ctx context.Context) error {
	served := make(chan struct{})
	go func() {
		s.servingPeers.Wait()
		close(served)
	}()
	select {
	case <-served:
	case <-ctx.Done():
	}
	s.cancel()
	s.wg.Wait()
	s.sendLeaveNotices(ctx)
	s.upstreamClient.close()
	return nil
}

// Ready reports whether the node has its share of the upstreams' slots. Without
// it, the node would refuse the requests it gets.
func (s *Service) Ready() bool { return s.roster.hasShare() }

// BeginDrain makes other nodes forward no more requests to this one, which is
// about to stop, except those whose keys it owns. It returns at once.
func (s *Service) BeginDrain() { s.roster.setDraining() }

// Do runs one request and returns its outcome. The answer always carries a verdict.
// Do sets the ID, class and timeout of r if they are empty.
func (s *Service) Do(ctx context.Context, r *api.Request) api.Answer {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	marks := s.refusalMarks(r)
	class, err := s.resolveClass(r)
	if err != nil {
		return withoutNotRun(r, refuse(r, err))
	}
	if r.Timeout <= 0 {
		r.Timeout = time.Duration(class.TimeoutMS) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	began := time.Now()
	answer := s.route(ctx, r, 0, marks)
	s.metrics.recordOutcome(r, answer.Verdict, time.Since(began))
	return answer
}

// Refuse returns the answer to a request whose account, service or class does not exist. Its body
// need not have been read; ok is false if all of them exist.
func (s *Service) Refuse(r *api.Request) (answer api.Answer, ok bool) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if _, err := s.resolveClass(r); err != nil {
		return RefuseUnread(r, err), true
	}
	return api.Answer{}, false
}

// RefuseUnread returns the answer to a request whose body has not been read, for the reason err.
func RefuseUnread(r *api.Request, err error) api.Answer { return withoutNotRun(r, refuse(r, err)) }

// route runs a request, or forwards it to another node. hops counts how often it
// was forwarded; marks are the refusal marks from when it reached an entry VM.
func (s *Service) route(ctx context.Context, r *api.Request, hops int, marks refusalMarks) api.Answer {
	if _, err := s.resolveClass(r); err != nil {
		return withoutNotRun(r, refuse(r, err))
	}
	if err := s.relays.CheckServe(time.Now()); err != nil {
		return refuseUnsent(r, err)
	}
	if r.Key != "" && !r.Idempotent {
		return s.runKeyed(ctx, r, hops, marks)
	}
	if hops == 0 && s.lacksSlots(r.Service) {
		answer := s.forward(ctx, r, hops, func(n *rosterNode) bool { return n.joined })
		if r.Key != "" || !canForwardAgain(r, answer) || s.roster.isDraining() {
			return withoutNotRun(r, answer)
		}
		// No other node takes it, for example since they are stopping. This node soon agrees
		// on its slots with those that remain.
		return withoutNotRun(r, joinVerdicts(answer, s.run(ctx, r, nil)))
	}
	return withoutNotRun(r, s.run(ctx, r, nil))
}

// refuse returns the answer for err, with the verdict not-run unless err has another.
func refuse(r *api.Request, err error) api.Answer {
	e := api.AsError(err, api.NotRun)
	return api.Answer{RequestID: r.ID, Verdict: e.Verdict, Error: e}
}

// resolveClass returns the class of a request, and sets r.Class to the service's
// first class if it is empty.
func (s *Service) resolveClass(r *api.Request) (class config.Class, err error) {
	s.journal.View(func(st *state.State) {
		if st.Config == nil {
			err = api.Errorf(api.CodeUnavailable, "no configuration has been read yet")
			return
		}
		service := st.Config.Service(r.Service)
		if service == nil {
			err = api.FieldErrorf("service", "%q is not a service", r.Service)
			return
		}
		if st.Config.Account(r.Account) == nil {
			err = api.FieldErrorf("account", "%q is not a client account", r.Account)
			return
		}
		if r.Class == "" {
			r.Class = service.Classes[0].Name
		}
		found := service.Class(r.Class)
		if found == nil {
			err = api.FieldErrorf("class", "%q is not a class of service %s", r.Class, r.Service)
			return
		}
		class = *found
	})
	return class, err
}

// run makes attempts until one succeeds or must not be retried. guard, if not nil,
// permits an attempt only while this node owns the request's key.
func (s *Service) run(ctx context.Context, r *api.Request, guard *keyGuard) api.Answer {
	var last api.Answer
	for attempt := 0; ; attempt++ {
		answer, silent := s.attempt(ctx, r, guard, attempt, last.Upstream)
		if attempt > 0 {
			answer = joinVerdicts(last, answer)
		}
		if !s.shouldRetry(ctx, r, answer, attempt, silent) {
			s.metrics.recordAttempts(r, attempt+1)
			return answer
		}
		last = answer
	}
}

// joinVerdicts returns latest with the verdict for all attempts, which is not-run
// only if the verdict of each attempt is.
func joinVerdicts(earlier, latest api.Answer) api.Answer {
	if latest.Verdict != api.NotRun || earlier.Verdict == api.NotRun {
		return latest
	}
	e := *latest.Error
	e.Verdict = earlier.Verdict
	latest.Verdict, latest.Error = earlier.Verdict, &e
	return latest
}

// shouldRetry reports whether another attempt is safe, in time and within the
// retry budget. A retry after not-run is free: the attempt cost no upstream any
// work, and the node avoids that upstream afterwards.
func (s *Service) shouldRetry(ctx context.Context, r *api.Request, answer api.Answer, attempt int, silent bool) bool {
	if answer.Error == nil || answer.Upstream == "" || attempt+1 >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if answer.Verdict == api.NotRun {
		return true
	}
	if !r.Idempotent {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(r.Service).budget.TryWithdraw(silent)
}

// refuseUnsent refuses a request that was not sent. The verdict is not-run for
// unkeyed requests only: another attempt with the same key may be in flight
// elsewhere.
func refuseUnsent(r *api.Request, err error) api.Answer {
	if r.Key != "" {
		return mayHaveRun(r, err.Error())
	}
	return refuse(r, err)
}

const (
	// vmListTimeout bounds how long a request waits until a node that was paused
	// has read the VM list again.
	vmListTimeout      = 2 * time.Second
	vmListPollInterval = 50 * time.Millisecond
)

// awaitCurrentVMList waits until the node's copy of the VM list is current, but no
// longer than vmListTimeout.
func (s *Service) awaitCurrentVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	for !s.fleet.UpstreamsCurrent(time.Now()) {
		select {
		case <-time.After(vmListPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// checkSend returns an error if this node may have missed that a zone was taken
// out or that an upstream is leaving, or if its slots may be another node's. It is
// called right before a request is sent, since the node may have been paused
// while the request waited.
func (s *Service) checkSend(now time.Time) error {
	if err := s.relays.CheckServe(now); err != nil {
		return err
	}
	if s.roster.lapsed(now) {
		return api.Errorf(api.CodeUnavailable, "this node was paused, and its slots may be another's")
	}
	if !s.fleet.UpstreamsCurrent(now) {
		return api.Errorf(api.CodeUnavailable, "this node does not know which upstreams are leaving")
	}
	return nil
}

// acquireAvailable waits for a slot and for a current copy of the VM list. If
// the upstream, chosen by an older copy, is leaving or its zone is out by the
// current one, another upstream is chosen.
func (s *Service) acquireAvailable(ctx context.Context, r *api.Request, class config.Class, avoid string) (backend.VM, *api.Error) {
	for {
		vm, refusal := s.acquire(ctx, r, class, avoid)
		if refusal != nil {
			return vm, refusal
		}
		s.awaitCurrentVMList(ctx)
		if s.isAvailable(vm) {
			return vm, nil
		}
		s.release(r.Service, vm, 0)
	}
}

// attempt waits for a slot and sends the request once. silent reports whether the
// attempt failed on a silent connection.
func (s *Service) attempt(ctx context.Context, r *api.Request, guard *keyGuard, attempt int, avoid string) (answer api.Answer, silent bool) {
	class, err := s.resolveClass(r)
	if err != nil {
		return refuse(r, err), false
	}
	began := time.Now()
	vm, refusal := s.acquireAvailable(ctx, r, class, avoid)
	if refusal != nil {
		return refuse(r, refusal), false
	}
	s.metrics.recordQueueTime(r, time.Since(began))
	if err := s.checkSend(time.Now()); err != nil {
		s.release(r.Service, vm, 0)
		return refuseUnsent(r, err), false
	}
	if !guard.begin() {
		s.release(r.Service, vm, 0)
		return mayHaveRun(r, "the key has been given to another entry VM"), false
	}
	got, took := s.send(ctx, vm, r, attempt)
	guard.end(got.answer)
	s.recordResult(r.Service, vm, got, took)
	releaseDelay := time.Duration(0)
	if got.abandoned {
		releaseDelay = abandonedSlotDelay
	}
	s.release(r.Service, vm, releaseDelay)
	return got.answer, got.silent
}

// send makes one attempt. As long as an idempotent request has time for another
// attempt, this one is limited to a multiple of the average service time.
func (s *Service) send(ctx context.Context, vm backend.VM, r *api.Request, attempt int) (attemptResult, time.Duration) {
	began := time.Now()
	s.mu.Lock()
	p := s.pool(r.Service)
	if attempt == 0 {
		p.budget.Deposit(p.slots)
	}
	average := p.serviceTime
	s.mu.Unlock()
	limit := max(minAttemptTimeout, attemptTimeoutFactor*average)
	if deadline, _ := ctx.Deadline(); r.Idempotent {
		if left := deadline.Sub(began); limit < left/2 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			defer cancel()
		}
	}
	got := s.upstreamClient.do(ctx, vm, r, fmt.Sprintf("%s.%d", r.ID, attempt), limit)
	return got, time.Since(began)
}
