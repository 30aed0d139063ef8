package membership

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

const (
	// digestEntryBytes is the size of one member in a digest;
	// digestOffsetBytes is added if its offset differs from the sender's.
	digestEntryBytes  = 7
	digestOffsetBytes = 8
	// digestUnit is the unit of ages in a digest.
	digestUnit = 10 * time.Millisecond
	// maxDigestAge bounds the age of the reports in a digest.
	maxDigestAge = 10 * time.Second

	flagStale       = 1
	flagUnconfirmed = 2
	flagOffset      = 4
)

// Heartbeat is the argument of Membership.Beat.
type Heartbeat struct{ From Member }

// HeartbeatReply is the reply of Membership.Beat. Statuses are sent only in replies:
// the caller knows that a reply was composed after the call was sent, while a call
// may have been delayed for any time before it is handled.
type HeartbeatReply struct {
	From   Member
	Status Status
	// Digest encodes the reports on other members: for each the hash of its
	// incarnation, the age of the report, flags, and its offset if it differs from
	// Status.Offset.
	Digest []byte
}

// DescribeCall is the argument of Membership.Describe, which looks up the members
// behind digest entries.
type DescribeCall struct{ Hashes []uint32 }

// DescribeReply is the reply of Membership.Describe.
type DescribeReply struct{ Members []Member }

func hash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

func (s *Service) loop(ctx context.Context) {
	for ctx.Err() == nil {
		interval := HeartbeatInterval
		if s.status().Stale {
			interval = staleHeartbeatInterval
		}
		s.sendRound(ctx)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// sendRound sends the heartbeats of one round without waiting for their replies.
func (s *Service) sendRound(ctx context.Context) {
	vms, _ := s.fleet.VMs(backend.KindEntry)
	for _, address := range s.targets(time.Now(), vms) {
		s.loops.Go(func() { s.sendHeartbeat(ctx, address) })
	}
}

// targets returns the addresses that get a heartbeat in this round: all nodes if
// there are at most maxFullMesh others, otherwise the next fanOut in a random order
// and up to maxSuspectTargets that are close to being suspected.
func (s *Service) targets(now time.Time, vms []backend.VM) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordListed(vms)
	addresses := map[string]string{}
	for _, vm := range vms {
		addresses[vm.ID] = vm.Address
	}
	for id, r := range s.reports {
		if _, listed := addresses[id]; !listed && !s.isGone(id, now) {
			addresses[id] = r.Member.Address
		}
	}
	delete(addresses, s.self.ID)
	picked := make([]string, 0, fanOut+maxSuspectTargets)
	if len(addresses) <= maxFullMesh {
		for _, address := range addresses {
			picked = append(picked, address)
		}
		return picked
	}
	for id := range s.almostSuspected(now, addresses) {
		picked = append(picked, addresses[id])
		delete(addresses, id)
	}
	for range fanOut {
		if id := s.nextInOrder(addresses); id != "" {
			picked = append(picked, addresses[id])
			delete(addresses, id)
		}
	}
	return picked
}

// almostSuspected returns nodes that have been silent for more than half of the time
// after which they are suspected, at most maxSuspectTargets. The caller must hold mu.
func (s *Service) almostSuspected(now time.Time, addresses map[string]string) map[string]bool {
	picked := map[string]bool{}
	for id, r := range s.reports {
		silence := now.Sub(r.Heard)
		if addresses[id] != "" && silence > s.suspectAfter()/2 && silence < s.suspectAfter() && len(picked) < maxSuspectTargets {
			picked[id] = true
		}
	}
	return picked
}

// nextInOrder returns the next node of a random order that covers all nodes in
// addresses, or "" if there is none. The caller must hold mu.
func (s *Service) nextInOrder(addresses map[string]string) string {
	for range 2 {
		for len(s.targetOrder) > 0 {
			id := s.targetOrder[0]
			s.targetOrder = s.targetOrder[1:]
			if addresses[id] != "" {
				return id
			}
		}
		for id := range addresses {
			s.targetOrder = append(s.targetOrder, id)
		}
		s.rng.Shuffle(len(s.targetOrder), func(i, j int) { s.targetOrder[i], s.targetOrder[j] = s.targetOrder[j], s.targetOrder[i] })
	}
	return ""
}

func (s *Service) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	var reply HeartbeatReply
	if err := s.peers.Call(ctx, address, "Membership.Beat", &Heartbeat{s.self}, &reply); err != nil {
		return
	}
	s.recordAlive(reply.From, sent)
	s.recordStatus(reply.From.ID, sent, reply.Status)
	if unknown := s.merge(reply.Digest, reply.Status.Offset, sent); len(unknown) > 0 {
		s.fetchMembers(ctx, address, unknown)
	}
}

// fetchMembers asks the node at address for the members behind hashes that this node
// does not know, and records them as alive at the given times.
func (s *Service) fetchMembers(ctx context.Context, address string, unknown map[uint32]time.Time) {
	var call DescribeCall
	for h := range unknown {
		call.Hashes = append(call.Hashes, h)
	}
	var reply DescribeReply
	if err := s.peers.Call(ctx, address, "Membership.Describe", &call, &reply); err != nil {
		return
	}
	for _, m := range reply.Members {
		s.recordAlive(m, unknown[hash(m.Incarnation)])
	}
}

// recordAlive records that a member was alive at the time at. Of two incarnations of
// a node, the one that started later counts.
func (s *Service) recordAlive(m Member, at time.Time) {
	if m.ID == s.self.ID {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.reports[m.ID]
	if r != nil && r.Member.Incarnation != m.Incarnation {
		if m.Started < r.Member.Started {
			return
		}
		delete(s.idByHash, hash(r.Member.Incarnation))
		r = &Report{UnconfirmedAt: r.UnconfirmedAt}
		s.reports[m.ID] = r
	}
	if r == nil {
		r = &Report{}
		s.reports[m.ID] = r
	}
	r.Member = m
	s.idByHash[hash(m.Incarnation)] = m.ID
	if at.After(r.Heard) {
		r.Heard = at
	}
}

// recordStatus records a member's status, which was composed at the time at or later.
func (s *Service) recordStatus(id string, at time.Time, status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.reports[id]; r != nil {
		r.record(at, status)
	}
}

func (r *Report) record(at time.Time, status Status) {
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

// digest encodes the reports on other members, for a reply in which this node's own
// offset is base.
func (s *Service) digest(now time.Time, base int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []byte
	for _, r := range s.reports {
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
		// Ages are rounded up, so that a report never looks newer than it is.
		out = binary.BigEndian.AppendUint16(out, uint16((age+digestUnit-1)/digestUnit))
		out = append(out, flags)
		if flags&flagOffset != 0 {
			out = binary.BigEndian.AppendUint64(out, uint64(r.Status.Offset))
		}
	}
	return out
}

// merge records the statuses in a digest from the reply to a call that was sent at
// the given time. It returns the hashes of unknown members and when they were alive.
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
		if r := s.reports[s.idByHash[h]]; r != nil {
			r.record(at, status)
		} else if h != hash(s.self.Incarnation) {
			unknown[h] = at
		}
	}
	return unknown
}

type handler struct{ s *Service }

// Beat is the RPC handler of heartbeats.
func (h *handler) Beat(args *Heartbeat, reply *HeartbeatReply) error {
	now := time.Now()
	h.s.recordAlive(args.From, now)
	status := h.s.status()
	*reply = HeartbeatReply{From: h.s.self, Status: status, Digest: h.s.digest(now, status.Offset)}
	return nil
}

// Describe is the RPC handler that returns the members behind hashes of a digest.
// Hashes that this node does not know either are left out.
func (h *handler) Describe(args *DescribeCall, reply *DescribeReply) error {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	for _, hash := range args.Hashes {
		if r := h.s.reports[h.s.idByHash[hash]]; r != nil {
			reply.Members = append(reply.Members, r.Member)
		}
	}
	return nil
}
