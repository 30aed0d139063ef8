package membership

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

const (
	// digestEntryBytes is the least size of one member in a digest, and
	// digestOffsetBytes what is added if its offset is not the sender's.
	digestEntryBytes  = 7
	digestOffsetBytes = 8
	// digestUnit is the unit of ages in a digest.
	digestUnit = 10 * time.Millisecond
	// maxDigestAge bounds the age of the news that is passed on.
	maxDigestAge = 10 * time.Second

	flagStale       = 1
	flagUnconfirmed = 2
	flagOffset      = 4
)

// Heartbeat is the argument of a heartbeat.
type Heartbeat struct{ From Member }

// HeartbeatReply is the answer to a heartbeat. Only answers carry news about
// views: the caller knows that an answer was composed after its call was sent,
// while a call may have waited for any time before it is handled.
type HeartbeatReply struct {
	From   Member
	Status Status
	// Digest holds the news of other members: of each the hash of its run, the
	// age of the news, flags, and its offset if it differs from Status.Offset.
	Digest []byte
}

// DescribeCall asks for the members behind entries of a digest.
type DescribeCall struct{ Hashes []uint32 }

// DescribeReply is the answer to DescribeCall.
type DescribeReply struct{ Members []Member }

func hash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := HeartbeatInterval
		if s.status().Stale {
			interval = staleInterval
		}
		s.round(ctx)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// round sends the heartbeats of one round.
func (s *Service) round(ctx context.Context) {
	vms, _ := s.fleet.VMs(backend.KindEntry)
	for _, address := range s.targets(time.Now(), vms) {
		s.loops.Go(func() { s.beat(ctx, address) })
	}
}

// targets picks whom to send heartbeats: everyone in a small fleet, otherwise
// the next few in a random order, and those that are close to suspicion.
func (s *Service) targets(now time.Time, vms []backend.VM) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteListed(vms)
	known := map[string]string{}
	for _, vm := range vms {
		known[vm.ID] = vm.Address
	}
	for id, r := range s.seen {
		if _, listed := known[id]; !listed && !s.gone(id, now) {
			known[id] = r.Member.Address
		}
	}
	delete(known, s.self.ID)
	addresses := make([]string, 0, fanOut+maxSuspects)
	if len(known) <= maxMesh {
		for _, address := range known {
			addresses = append(addresses, address)
		}
		return addresses
	}
	for id := range s.nearSuspicion(now, known) {
		addresses = append(addresses, known[id])
		delete(known, id)
	}
	for range fanOut {
		if id := s.next(known); id != "" {
			addresses = append(addresses, known[id])
			delete(known, id)
		}
	}
	return addresses
}

// nearSuspicion picks nodes that have been silent for half of the time after
// which they count as not live.
func (s *Service) nearSuspicion(now time.Time, known map[string]string) map[string]bool {
	picked := map[string]bool{}
	for id, r := range s.seen {
		silence := now.Sub(r.Heard)
		if known[id] != "" && silence > s.suspectAfter()/2 && silence < s.suspectAfter() && len(picked) < maxSuspects {
			picked[id] = true
		}
	}
	return picked
}

// next takes the next known node in a random order that covers all of them.
func (s *Service) next(known map[string]string) string {
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[0]
			s.order = s.order[1:]
			if known[id] != "" {
				return id
			}
		}
		for id := range known {
			s.order = append(s.order, id)
		}
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return ""
}

func (s *Service) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	var reply HeartbeatReply
	if err := s.peers.Call(ctx, address, "Membership.Beat", &Heartbeat{s.self}, &reply); err != nil {
		return
	}
	s.hear(reply.From, sent)
	s.note(reply.From.ID, sent, reply.Status)
	if unknown := s.merge(reply.Digest, reply.Status.Offset, sent); len(unknown) > 0 {
		s.describe(ctx, address, unknown)
	}
}

// describe learns the members behind hashes that this node does not know.
func (s *Service) describe(ctx context.Context, address string, unknown map[uint32]time.Time) {
	var call DescribeCall
	for h := range unknown {
		call.Hashes = append(call.Hashes, h)
	}
	var reply DescribeReply
	if err := s.peers.Call(ctx, address, "Membership.Describe", &call, &reply); err != nil {
		return
	}
	for _, m := range reply.Members {
		s.hear(m, unknown[hash(m.Incarnation)])
	}
}

// hear records that a member was alive at the time at. Of two runs of a node,
// the later one counts.
func (s *Service) hear(m Member, at time.Time) {
	if m.ID == s.self.ID {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.seen[m.ID]
	if r != nil && r.Member.Incarnation != m.Incarnation {
		if m.Started < r.Member.Started {
			return
		}
		delete(s.hashes, hash(r.Member.Incarnation))
		r = &Report{UnconfirmedAt: r.UnconfirmedAt}
		s.seen[m.ID] = r
	}
	if r == nil {
		r = &Report{}
		s.seen[m.ID] = r
	}
	r.Member = m
	s.hashes[hash(m.Incarnation)] = m.ID
	if at.After(r.Heard) {
		r.Heard = at
	}
}

// note records a member's status, composed at the time at or later.
func (s *Service) note(id string, at time.Time, status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.seen[id]; r != nil {
		r.note(at, status)
	}
}

func (r *Report) note(at time.Time, status Status) {
	if status.Unconfirmed && at.After(r.UnconfirmedAt) {
		r.UnconfirmedAt = at
	}
	if at.After(r.Reported) {
		r.Reported, r.Status = at, status
	}
	if at.After(r.Heard) {
		r.Heard = at
	}
}

// digest encodes the news of other members, for a reply that gives this node's
// offset as base.
func (s *Service) digest(now time.Time, base int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []byte
	for _, r := range s.seen {
		age := now.Sub(r.Reported)
		if r.Reported.IsZero() || age > maxDigestAge {
			continue
		}
		var flags byte
		if r.Status.Stale {
			flags |= flagStale
		}
		if r.Status.Unconfirmed {
			flags |= flagUnconfirmed
		}
		if r.Status.Offset != base {
			flags |= flagOffset
		}
		out = binary.BigEndian.AppendUint32(out, hash(r.Member.Incarnation))
		// Ages are rounded up, so that news never looks newer than it is.
		out = binary.BigEndian.AppendUint16(out, uint16((age+digestUnit-1)/digestUnit))
		out = append(out, flags)
		if flags&flagOffset != 0 {
			out = binary.BigEndian.AppendUint64(out, uint64(r.Status.Offset))
		}
	}
	return out
}

// merge takes in a digest from an answer to a call sent at the given time, and
// returns the hashes of members that are not known, with when they were alive.
func (s *Service) merge(digest []byte, base int64, sent time.Time) map[uint32]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := map[uint32]time.Time{}
	for len(digest) >= digestEntryBytes {
		h, flags := binary.BigEndian.Uint32(digest), digest[6]
		at := sent.Add(-time.Duration(binary.BigEndian.Uint16(digest[4:])) * digestUnit)
		digest = digest[digestEntryBytes:]
		status := Status{Stale: flags&flagStale != 0, Unconfirmed: flags&flagUnconfirmed != 0, Offset: base}
		if flags&flagOffset != 0 {
			if len(digest) < digestOffsetBytes {
				break
			}
			status.Offset = int64(binary.BigEndian.Uint64(digest))
			digest = digest[digestOffsetBytes:]
		}
		if r := s.seen[s.hashes[h]]; r != nil {
			r.note(at, status)
		} else if h != hash(s.self.Incarnation) {
			unknown[h] = at
		}
	}
	return unknown
}

type handler struct{ s *Service }

// Beat answers a heartbeat.
func (h *handler) Beat(args *Heartbeat, reply *HeartbeatReply) error {
	now := time.Now()
	h.s.hear(args.From, now)
	status := h.s.status()
	*reply = HeartbeatReply{From: h.s.self, Status: status, Digest: h.s.digest(now, status.Offset)}
	return nil
}

// Describe answers with the members behind hashes of a digest.
func (h *handler) Describe(args *DescribeCall, reply *DescribeReply) error {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	for _, hash := range args.Hashes {
		if r := h.s.seen[h.s.hashes[hash]]; r != nil {
			reply.Members = append(reply.Members, r.Member)
		}
	}
	return nil
}
