package state

import "github.com/shallotpin/shallotpin/pkg/api"

// maxKeyClaims bounds the key claims that the state keeps. The oldest claim in log
// order is dropped first, which is the same one on every node.
const maxKeyClaims = 32768

// ClaimKey gives one node the right to run the request with an idempotency key. The
// first claim of a key in log order wins.
type ClaimKey struct {
	// Key is the digest of account, service and idempotency key.
	Key string `json:"key"`
	// Body is the digest of the request's class and body.
	Body uint64 `json:"body"`
	// Owner is the incarnation of the only node that may run the request.
	Owner string `json:"owner"`
}

// KeyClaim is the claim in force for one key.
type KeyClaim struct {
	Body  uint64 `json:"body"`
	Owner string `json:"owner"`
}

// applyClaimKey returns the claim in force, and refuses the record if that has another
// owner.
func (s *State) applyClaimKey(r *ClaimKey) Outcome {
	if claim, ok := s.Keys[r.Key]; ok {
		out := Outcome{Key: claim}
		if claim.Owner != r.Owner {
			out.Err = api.Errorf(api.CodeConflict, "the key has been claimed by %s", claim.Owner)
		}
		return out
	}
	if s.Keys == nil {
		s.Keys = map[string]KeyClaim{}
	}
	claim := KeyClaim{r.Body, r.Owner}
	s.Keys[r.Key] = claim
	s.KeyOrder = append(s.KeyOrder, r.Key)
	if len(s.KeyOrder) > maxKeyClaims {
		delete(s.Keys, s.KeyOrder[0])
		s.KeyOrder = s.KeyOrder[1:]
	}
	return Outcome{Key: claim}
}
