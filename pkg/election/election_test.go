package election

import (
	"testing"
	"time"
)

var settings = Settings{FailAfter: 2 * time.Second, MaxReadGap: 1700 * time.Millisecond, SuspectAfter: 400 * time.Millisecond, LogSettleTime: 1500 * time.Millisecond, Stagger: 40 * time.Millisecond,
	StartWindow: 2 * time.Second, RenewWindow: 6 * time.Second, HeartbeatInterval: 500 * time.Millisecond}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// claimAt returns when a node of the given rank claims leadership, or 0 if it does not
// within 10 s. The node reads the log every 300 ms until readUntil; the leader writes
// every 500 ms until writesUntil; probe returns the result of a probe, if it completes.
func claimAt(rank int, writesUntil, readUntil time.Duration, probe func(at time.Duration) (ProbeResult, bool)) time.Duration {
	m := NewMonitor(settings, 0)
	m.ObserveLeader(0)
	for at := time.Duration(0); at < 10*time.Second; at += ms(50) {
		if at <= readUntil && at%ms(300) == 0 {
			m.ObserveRead(at)
		}
		if at <= writesUntil && at%ms(500) == 0 {
			m.ObserveLeader(at)
		}
		if m.ShouldProbe(at, rank) && at%ms(250) == 0 {
			if result, completed := probe(at); completed {
				m.ObserveProbe(at, result)
			}
		}
		if m.ShouldClaim(at, rank) {
			return at
		}
	}
	return 0
}

func TestClaims(t *testing.T) {
	always := func(result ProbeResult) func(time.Duration) (ProbeResult, bool) {
		return func(time.Duration) (ProbeResult, bool) { return result, true }
	}
	noProbe := func(time.Duration) (ProbeResult, bool) { return StillLeading, false }
	forever := time.Hour
	for name, c := range map[string]struct {
		rank                   int
		writesUntil, readUntil time.Duration
		probe                  func(time.Duration) (ProbeResult, bool)
		earliest, latest       time.Duration
	}{
		"leader writes":                 {0, forever, forever, always(NotLeading), 0, 0},
		"no writes, no probe completes": {0, 0, forever, noProbe, ms(2000), ms(2100)},
		"another incarnation answers":   {0, 0, forever, always(NotLeading), ms(400), ms(600)},
		"connection refused":            {0, 0, forever, always(Refused), ms(600), ms(900)},
		"no answer":                     {0, 0, forever, always(Unanswered), ms(900), ms(1200)},
		"leader answers that it leads":  {0, 0, forever, always(StillLeading), ms(2000), ms(2100)},
		"later rank":                    {5, 0, forever, always(NotLeading), ms(600), ms(900)},
		"log cannot be read":            {0, 0, ms(300), always(NotLeading), 0, ms(2000)},
	} {
		t.Run(name, func(t *testing.T) {
			if at := claimAt(c.rank, c.writesUntil, c.readUntil, c.probe); at < c.earliest || at > c.latest {
				t.Errorf("claims at %s, want %s to %s", at, c.earliest, c.latest)
			}
		})
	}
}

// A leader that is short of CPU leaves some probes unanswered; answers in between must
// keep it from being replaced.
func TestOneUnansweredProbeIsNotEnough(t *testing.T) {
	probe := func(at time.Duration) (ProbeResult, bool) {
		if at%ms(500) == 0 {
			return Unanswered, true
		}
		return StillLeading, true
	}
	if at := claimAt(0, 0, time.Hour, probe); at < ms(2000) {
		t.Errorf("claims at %s, want no claim before 2s", at)
	}
}

func TestLeaseExpires(t *testing.T) {
	lease := NewLease(settings, 0)
	lease.Confirm(ms(1000))
	lease.Confirm(ms(500))
	for at, want := range map[time.Duration][2]bool{ms(2900): {true, true}, ms(3100): {false, true}, ms(7100): {false, false}} {
		if got := [2]bool{lease.MayStart(at), lease.MayRenew(at)}; got != want {
			t.Errorf("at %s: may start and renew %v, want %v", at, got, want)
		}
	}
}

// Probes made before or during a log outage must not count once the log is back, and
// a leader that cannot write is replaced only after the log has settled.
func TestProbesBeforeAnOutageDoNotCount(t *testing.T) {
	m := NewMonitor(settings, 0)
	m.ObserveLeader(0)
	m.ObserveRead(ms(900))
	m.ObserveProbe(ms(1000), NotLeading)
	if !m.ShouldClaim(ms(1000), 0) {
		t.Error("no claim although another incarnation answered")
	}
	m.ObserveRead(ms(5000))
	m.ObserveProbe(ms(5050), Stalled)
	if m.ShouldClaim(ms(5050), 0) {
		t.Error("claims before the log has settled after the outage")
	}
	m.ObserveRead(ms(6400))
	m.ObserveProbe(ms(6550), Stalled)
	if !m.ShouldClaim(ms(6550), 0) {
		t.Error("no claim although only the leader cannot write")
	}
}

// A working leader of a slow log is neither probed nor replaced, although its records are
// read late; a leader that is gone is replaced later than with a fast log.
func TestTimeoutsFollowTheLogsLatency(t *testing.T) {
	latency := ms(600)
	m := NewMonitor(settings, 0)
	m.ObserveLatency(latency)
	m.ObserveLeader(0)
	silent := settings.SuspectAfter + 2*latency
	for at := time.Duration(0); at <= silent; at += ms(100) {
		m.ObserveRead(at)
		if m.ShouldProbe(at, 0) || m.ShouldClaim(at, 0) {
			t.Fatalf("probes or claims %s after the last record, with a latency of %s", at, latency)
		}
	}
	for at := silent; at <= settings.FailAfter+3*latency; at += ms(100) {
		m.ObserveRead(at)
	}
	if at := settings.FailAfter + 3*latency; !m.ShouldClaim(at, 0) {
		t.Errorf("no claim %s after the last record", at)
	} else if m.ShouldClaim(at, 1) {
		t.Error("the second rank claims before it can have read a claim of the first")
	}
}

// The claims of one node must become less frequent while they fail.
func TestFailedClaimsBackOff(t *testing.T) {
	m := NewMonitor(settings, 0)
	m.ObserveVacancy(0)
	claims := 0
	for at := time.Duration(0); at < 5*time.Second; at += ms(10) {
		m.ObserveRead(at)
		if m.ShouldClaim(at, 0) {
			claims++
			m.ObserveFailedClaim(at, 0.5)
		}
	}
	if claims > 12 {
		t.Errorf("%d claims in 5s, want at most 12", claims)
	}
	m.ObserveLeader(5 * time.Second)
	m.ObserveVacancy(6 * time.Second)
	if !m.ShouldClaim(6*time.Second, 0) {
		t.Error("the backoff outlasts a leader")
	}
}
