package relay

import (
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/membership"
)

// MaxFreshAge is the greatest age of a view that counts as fresh, and of a member's
// report that counts as current.
const MaxFreshAge = 3 * time.Second

// View describes how far a node may rely on its view of the log.
type View struct {
	// Fresh is set if at most MaxFreshAge ago the state held everything that the log
	// held.
	Fresh bool
	// UnreachableForAll means that no member that may be alive can read the log, and
	// that this node has read as far as any of them. So no change that this node does
	// not know of can have been confirmed to an operator.
	UnreachableForAll bool
	// Isolated is set if there are other members and none of them has a current report.
	Isolated bool
}

// CanServe reports whether work may be started that a change in the log could forbid,
// such as a zone that was taken out.
func (v View) CanServe() bool { return v.Fresh || v.UnreachableForAll }

// ownView is what this node knows about its own view of the log.
type ownView struct {
	// offset is the offset of the state.
	offset int64
	// confirmed is the latest time at which the state is known to have held
	// everything that the log held; zero if there is none.
	confirmed time.Time
	// unconfirmedZoneChange is set if the log may hold a zone change that this node has
	// not read.
	unconfirmedZoneChange bool
}

// assess returns the View of a node. others are the reports on members that are not
// known to be gone, and complete is false if there may be more such members.
func assess(now time.Time, self ownView, others []membership.Report, complete bool) View {
	known := !self.confirmed.IsZero()
	v := View{Fresh: known && now.Sub(self.confirmed) <= MaxFreshAge, Isolated: len(others) > 0}
	v.UnreachableForAll = known && complete && !v.Fresh && !self.unconfirmedZoneChange
	for _, r := range others {
		recent := !r.Reported.IsZero() && now.Sub(r.Reported) <= MaxFreshAge
		if recent {
			v.Isolated = false
		}
		if !recent || !r.Status.Stale || r.Status.Unconfirmed || r.Status.Offset > self.offset {
			v.UnreachableForAll = false
		}
	}
	return v
}

// View returns how far this node may rely on its view of the log at the time now.
func (s *Service) View(now time.Time) View {
	others, complete := s.members.Others(now)
	return assess(now, s.ownView(now), others, complete)
}

// CheckServe returns nil if the node may start work that a change in the log could
// forbid, such as sending a request to an availability zone. Otherwise it returns an
// error with the verdict not-run.
func (s *Service) CheckServe(now time.Time) *api.Error {
	// Usually the view is fresh, and the members need not be checked.
	if s.journal.FreshWithin(now, MaxFreshAge) || s.View(now).CanServe() {
		return nil
	}
	return api.Errorf(api.CodeUnavailable, "this node cannot learn what has changed in the log; another one may be able to")
}

// CheckChange returns nil if the node may write configuration changes. Without a fresh
// view it may not, since it could not read back their outcomes.
func (s *Service) CheckChange(now time.Time) *api.Error {
	if s.journal.FreshWithin(now, MaxFreshAge) {
		return nil
	}
	return api.Errorf(api.CodeUnavailable, "this node does not know the state of the log; nothing was changed")
}

func (s *Service) ownView(now time.Time) ownView {
	age, known := s.journal.Age(now)
	o := ownView{offset: s.journal.Offset(), unconfirmedZoneChange: s.journal.HasUnconfirmedZoneChange()}
	if known {
		o.confirmed = now.Add(-age)
	}
	// An unconfirmed change of another member counts until this node has read the
	// log at a later time.
	if at := s.members.LastUnconfirmed(); !at.IsZero() && !o.confirmed.After(at) {
		o.unconfirmedZoneChange = true
	}
	return o
}

// status returns what this node reports about itself in replies to heartbeats.
func (s *Service) status() membership.Status {
	now := time.Now()
	o := s.ownView(now)
	stale := o.confirmed.IsZero() || now.Sub(o.confirmed) > MaxFreshAge
	return membership.Status{Stale: stale, Unconfirmed: o.unconfirmedZoneChange, Detached: s.journal.Detached(now), Offset: o.offset}
}
