package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/simsite"
)

// pauseBehind makes a node miss a new configuration and pauses it. The node's read that
// hangs meanwhile goes on to hang.
func (s *site) pauseBehind(n *testNode, pause time.Duration) {
	s.t.Helper()
	operators := n.clients[1]
	_, _, before := n.OperatorConfig.Current()
	operators.SetFault(simsite.LogSilent)
	for confirmedAt := before; confirmedAt == before; _, _, confirmedAt = n.OperatorConfig.Current() {
		time.Sleep(time.Millisecond)
	}
	s.publishConfig()
	time.Sleep(10 * time.Millisecond)
	n.pause(pause)
}

// A request that waited while its node was paused must be decided by the configuration that
// is in force when the node resumes, such as one that has withdrawn the request's key, not
// by the one before the pause.
func TestRequestAfterPauseIsDecidedByNewestConfiguration(t *testing.T) {
	for name, pause := range map[string]time.Duration{"300 ms": 300 * time.Millisecond, "4 s": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runSite(t, 1, 1, func(s *site) {
				n := s.nodes[0]
				s.pauseBehind(n, pause)
				n.clients[1].SetFault(simsite.LogHealthy)
				config, age, err := n.CurrentConfig(s.ctx)
				if err != nil || config.Version != s.configVersion || age > configReadTimeout {
					t.Errorf("version %d of age %s, error %v; want version %d", config.Version, age, err, s.configVersion)
				}
			})
		})
	}
}

// A node that resumes while the log is out of reach cannot know what has changed: it must
// reject requests as not run, soon, and serve again once it has read the configuration.
func TestResumedNodeWithoutLogRejectsRequests(t *testing.T) {
	runSite(t, 1, 1, func(s *site) {
		n := s.nodes[0]
		s.pauseBehind(n, 4*time.Second)
		for range 20 {
			began := time.Now()
			_, _, err := n.CurrentConfig(s.ctx)
			var e *api.Error
			if !errors.As(err, &e) || e.Verdict != api.NotRun || e.RetryAfter == 0 {
				t.Fatalf("error %v, want a rejection as not run with a retry delay", err)
			}
			if took := time.Since(began); took > configReadTimeout {
				t.Errorf("rejected after %s, want at most %s", took, configReadTimeout)
			}
		}
		n.clients[1].SetFault(simsite.LogHealthy)
		time.Sleep(2 * time.Second)
		if config, _, err := n.CurrentConfig(s.ctx); err != nil || config.Version != s.configVersion {
			t.Errorf("version %d, error %v; want version %d", config.Version, err, s.configVersion)
		}
	})
}

// A read that hangs, for example on a connection that has gone silent, must not keep a node
// deciding requests by an old configuration while new reads are answered.
func TestHangingReadDoesNotKeepConfigurationOld(t *testing.T) {
	runSite(t, 1, 1, func(s *site) {
		n := s.nodes[0]
		s.pauseBehind(n, 0)
		n.clients[1].SetFault(simsite.LogHealthy)
		time.Sleep(maxConfigAge)
		if config, _, err := n.CurrentConfig(s.ctx); err != nil || config.Version != s.configVersion {
			t.Errorf("version %d, error %v; want version %d", config.Version, err, s.configVersion)
		}
	})
}

// During an outage of the log, a node that has not paused must go on serving with the
// configuration that it has, without a wait for each request.
func TestConfigurationHoldsThroughLogOutage(t *testing.T) {
	runSite(t, 1, 1, func(s *site) {
		n := s.nodes[0]
		n.setFault(simsite.LogSilent)
		time.Sleep(10 * time.Second)
		began := time.Now()
		config, _, err := n.CurrentConfig(context.Background())
		if err != nil || config.Version != s.configVersion || time.Since(began) > 0 {
			t.Errorf("version %d, error %v after %s; want version %d at once", config.Version, err, time.Since(began), s.configVersion)
		}
	})
}
