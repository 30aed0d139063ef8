// Package election decides when a node probes the leader, when it claims
// leadership, and how long a leader may act without a confirmed write to the log.
// It does no I/O and reads no clock: callers pass the time of a monotonic clock that
// also advances while the process is suspended. Its types are not safe for
// concurrent use.
package election

import "time"

// Settings are the timeouts of leader election.
type Settings struct {
	// FailAfter is the failure timeout: how long the log must be readable and show
	// no write of the leader before another node claims leadership without a probe.
	FailAfter time.Duration
	// MaxReadGap is the longest gap between two successful reads across which the log
	// still counts as readable.
	MaxReadGap time.Duration
	// SuspectAfter is the suspect timeout: how long the log must show no write of the
	// leader before the first node probes it.
	SuspectAfter time.Duration
	// LogSettleTime is how long the log must have been readable before a leader that
	// cannot write is replaced. It must exceed the timeout of a call to the log: just
	// after an outage for all nodes, the leader's writes may still be in flight.
	LogSettleTime time.Duration
	// Stagger is the delay between the probes, and between the claims, of nodes of
	// successive ranks.
	Stagger time.Duration
	// StartWindow is how long after sending its last confirmed write a leader may
	// start tasks.
	StartWindow time.Duration
	// RenewWindow is how long after sending its last confirmed write a leader may
	// renew the leases of tasks.
	RenewWindow time.Duration
	// HeartbeatInterval is the longest time between two writes of a leader.
	HeartbeatInterval time.Duration
}

// The time until a record of the leader is read has three latencies of the log more than
// with a fast log: those of the write, of the one in front of it, and of the read.
const signLatencies = 3

// A claim takes three calls to the log: a read, the write, and a read that shows it.
// claimLatencies covers them, so that the node of the next rank sees the claim.
const claimLatencies = 4

// Monitor is a follower's record of the signs of the leader.
type Monitor struct {
	settings Settings
	// readableSince is the start of the present span without a read gap.
	readableSince time.Duration
	// lastRead is the time as of which the last successful read showed every record.
	lastRead time.Duration
	// lastSign is when a record of the leader was last read.
	lastSign time.Duration
	// vacant means that no node is known to lead, since vacantSince.
	vacant      bool
	vacantSince time.Duration
	// vacantByProbe means that results of probes have shown the vacancy.
	vacantByProbe bool
	// failureScore sums the weights of consecutive failed probes.
	failureScore int
	// logLatency is the newest estimate of the log's latency.
	logLatency time.Duration
	// claimFailures counts the failed claims since the last record of a leader was read,
	// and nextClaim is when the node may claim again.
	claimFailures int
	nextClaim     time.Duration
}

// NewMonitor returns a Monitor that starts at now with the leader suspected.
func NewMonitor(s Settings, now time.Duration) *Monitor {
	return &Monitor{settings: s, readableSince: now, lastRead: now, lastSign: now - s.SuspectAfter}
}

// UpdateSettings replaces the settings; recorded times stay.
func (m *Monitor) UpdateSettings(s Settings) { m.settings = s }

// ObserveRead records a successful read that showed every record which the log held at
// the given time.
func (m *Monitor) ObserveRead(at time.Duration) {
	if at-m.lastRead > m.maxReadGap() {
		// Probes made during a log outage say nothing about the leader after it.
		m.readableSince, m.vacant, m.vacantByProbe, m.failureScore = at, false, false, 0
	}
	m.lastRead = max(m.lastRead, at)
}

// ObserveLeader records that a record of the leader was read.
func (m *Monitor) ObserveLeader(now time.Duration) {
	m.lastSign, m.vacant, m.vacantByProbe, m.failureScore, m.claimFailures = now, false, false, 0, 0
}

// ObserveLatency records an estimate of the log's latency. All timeouts are extended by a
// multiple of it: a slow log must not cost the leader its leadership.
func (m *Monitor) ObserveLatency(latency time.Duration) { m.logLatency = latency }

// maxClaimBackoffDoublings limits the backoff of claims to that many doublings.
const maxClaimBackoffDoublings = 4

// ObserveFailedClaim records that a claim of this node failed. The next one waits for a
// delay that doubles with each failure; jitter, from 0 to 1, spreads the nodes.
func (m *Monitor) ObserveFailedClaim(now time.Duration, jitter float64) {
	delay := m.stagger() << min(m.claimFailures, maxClaimBackoffDoublings)
	m.nextClaim = now + delay + time.Duration(jitter*float64(delay))
	m.claimFailures++
}

// stagger is the delay between nodes of successive ranks.
func (m *Monitor) stagger() time.Duration {
	return max(m.settings.Stagger, claimLatencies*m.logLatency)
}

// ObserveVacancy records that no node leads. Repeated calls keep the first time.
func (m *Monitor) ObserveVacancy(now time.Duration) {
	if !m.vacant {
		m.vacant, m.vacantSince = true, now
	}
}

// ShouldProbe reports whether the log is readable and has shown no write of the leader
// for the suspect timeout. rank is the node's place in the order of claims, from 0;
// higher ranks probe later, so that few nodes probe a leader that has nothing to write.
func (m *Monitor) ShouldProbe(now time.Duration, rank int) bool {
	return !m.vacant && now-m.lastSign >= m.settings.SuspectAfter+signLatencies*m.logLatency+time.Duration(rank)*m.stagger() && now-m.lastRead <= m.maxReadGap()
}

// maxReadGap is the longest gap between two reads across which the log counts as readable.
func (m *Monitor) maxReadGap() time.Duration { return m.settings.MaxReadGap + m.logLatency }

// ProbeResult is the outcome of a probe. The values of the first three are sent
// between nodes and must not change.
type ProbeResult int

const (
	// StillLeading means that the probed node leads the term, or is about to.
	StillLeading ProbeResult = iota
	// Stalled means that it leads the term but cannot write to the log.
	Stalled
	// NotLeading means that another incarnation of the node answered, or that it does
	// not lead the term any more.
	NotLeading
	// Refused means that the connection was refused: no process listens there.
	Refused
	// Unanswered means that the probe failed otherwise, usually by its timeout.
	Unanswered
)

// String returns the name of the result for logs.
func (r ProbeResult) String() string {
	return [...]string{"leading", "stalled", "not leading", "refused", "unanswered"}[r]
}

// Weights of consecutive failed probes; at failureThreshold the leader counts as
// failed. That takes three unanswered probes, since a leader that is short of CPU may
// answer late too, or two refused ones.
const (
	refusedWeight    = 3
	unansweredWeight = 2
	failureThreshold = 6
)

// ObserveProbe records the result of a probe of the suspected leader.
func (m *Monitor) ObserveProbe(now time.Duration, result ProbeResult) {
	switch result {
	case StillLeading:
		m.failureScore = 0
		return
	case Stalled:
		if now-m.readableSince < m.settings.LogSettleTime {
			// After an outage for all nodes, its writes may still be in flight.
			return
		}
		m.failureScore = failureThreshold
	case NotLeading:
		m.failureScore = failureThreshold
	case Refused:
		m.failureScore += refusedWeight
	case Unanswered:
		m.failureScore += unansweredWeight
	}
	if m.failureScore >= failureThreshold {
		m.vacantByProbe = true
		m.ObserveVacancy(now)
	}
}

// ShouldClaim reports whether to claim leadership: the log is readable, and either no node
// is known to lead or the log has shown no write of the leader for the failure timeout.
// rank is the node's place in the order of claims, from 0; higher ranks claim later.
func (m *Monitor) ShouldClaim(now time.Duration, rank int) bool {
	delay := time.Duration(rank) * m.stagger()
	if now-m.lastRead > m.maxReadGap() || now < m.nextClaim {
		return false
	}
	if m.vacant {
		// Probes are already staggered by rank, so no further delay is needed.
		return m.vacantByProbe || now-m.vacantSince >= delay
	}
	return now-max(m.lastSign, m.readableSince) >= m.settings.FailAfter+signLatencies*m.logLatency+delay
}

// HasLeader reports whether a leader is known that writes to the log.
func (m *Monitor) HasLeader(now time.Duration) bool {
	return !m.vacant && now-m.lastSign < m.settings.FailAfter+signLatencies*m.logLatency
}

// Lease bounds how long a leader may act without a confirmed write to the log.
type Lease struct {
	settings Settings
	// confirmedAt is the send time of the last write that the log accepted.
	confirmedAt time.Duration
}

// NewLease returns the lease of a leader whose successful leadership claim was sent at
// claimed.
func NewLease(s Settings, claimed time.Duration) *Lease {
	return &Lease{settings: s, confirmedAt: claimed}
}

// UpdateSettings replaces the settings; the time of the last confirmed write stays.
func (l *Lease) UpdateSettings(s Settings) { l.settings = s }

// Confirm records that the log accepted a write sent at the given time.
func (l *Lease) Confirm(sent time.Duration) { l.confirmedAt = max(l.confirmedAt, sent) }

// ConfirmedAt returns the send time of the last accepted write.
func (l *Lease) ConfirmedAt() time.Duration { return l.confirmedAt }

// MayStart reports whether the leader may start tasks.
func (l *Lease) MayStart(now time.Duration) bool { return now-l.confirmedAt < l.settings.StartWindow }

// MayRenew reports whether the leader may renew the leases of tasks.
func (l *Lease) MayRenew(now time.Duration) bool { return now-l.confirmedAt < l.settings.RenewWindow }
