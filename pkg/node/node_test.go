package node

import (
	"testing"

	"github.com/shallotpin/shallotpin/pkg/lifecycle"
	"github.com/shallotpin/shallotpin/pkg/membership"
)

// TestShortestLeaseOutlastsTakeover wants a margin at the shortest lease that the
// settings allow, and at the default in the large fleet.
func TestShortestLeaseOutlastsTakeover(t *testing.T) {
	s := lifecycle.DefaultSettings
	if margin := s.TakeoverMargin(membership.LateAfterLarge); margin <= 0 {
		t.Errorf("the default lease leaves %s in a large fleet", margin)
	}
	s.LeaseTTL = minLeaseTTL
	s.RenewInterval = renewInterval(s.LeaseTTL)
	if margin := s.TakeoverMargin(membership.LateAfter); margin <= 0 {
		t.Errorf("a lease of %s leaves %s", s.LeaseTTL, margin)
	}
}
