package state

import "github.com/shallotpin/shallotpin/pkg/api"

// maxKeyClaims bounds the keys that the state remembers. The oldest claim is
// forgotten first, in log order and so alike on every node.
const maxKeyClaims = 32768

// ClaimKey gives the right to run a keyed request to one node. The first claim
// of a key in log order wins.
type ClaimKey struct {
	// Key is the digest of account, service and idempotency key.
	Key string `json:"key"`
	// Body is the digest of the request's class and body.
	Body uint64 `json:"body"`
	// Owner is the incarnation of the node that alone may run the request.
	Owner string `json:"owner"`
}

// KeyClaim is the claim in force of one key.
type KeyClaim struct {
	Body  uint64 `json:"body"`
	Owner string `json:"owner"`
}

// applyClaimKey returns the claim in force; it is refused if that is another one.
func (s *State) applyClaimKey(r *ClaimKey) Outcome {
	if held, ok := s.Keys[r.Key]; ok {
		out := Outcome{Key: held}
		if held.Owner != r.Owner {
			out.Err = api.Errorf(api.CodeConflict, "the key has been claimed by %s", held.Owner)
		}
		return out
	}
	if s.Keys == nil {
		s.Keys = map[string]KeyClaim{}
	}
	held := KeyClaim{r.Body, r.Owner}
	s.Keys[r.Key] = held
	s.KeyOrder = append(s.KeyOrder, r.Key)
	if len(s.KeyOrder) > maxKeyClaims {
		delete(s.Keys, s.KeyOrder[0])
		s.KeyOrder = s.KeyOrder[1:]
	}
	return Outcome{Key: held}
}
