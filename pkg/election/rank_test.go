package election

import (
	"fmt"
	"testing"
)

// All nodes must derive the same order, with one node a rank and the candidates first, and
// another order for another term.
func TestRank(t *testing.T) {
	var candidates, others []string
	for i := range 30 {
		if i%6 == 0 {
			candidates = append(candidates, fmt.Sprintf("strong-%d", i))
		} else {
			others = append(others, fmt.Sprintf("weak-%d", i))
		}
	}
	for term := int64(1); term < 20; term++ {
		seen := map[int]string{}
		for _, name := range append(append([]string(nil), candidates...), others...) {
			rank := Rank(name, term, candidates, others)
			if other, taken := seen[rank]; taken {
				t.Fatalf("term %d: %s and %s have rank %d", term, name, other, rank)
			}
			seen[rank] = name
			if isCandidate := name[0] == 's'; isCandidate != (rank < len(candidates)) {
				t.Errorf("term %d: %s has rank %d of %d candidates", term, name, rank, len(candidates))
			}
		}
		if got := Rank("unknown", term, candidates, others); got != 30 {
			t.Errorf("rank of a node in neither list: %d, want 30", got)
		}
	}
	firsts := map[string]bool{}
	for term := int64(1); term < 20; term++ {
		firsts[Order(term, candidates, others)[0]] = true
	}
	if len(firsts) < 3 {
		t.Errorf("%d nodes come first in 19 terms, want at least 3", len(firsts))
	}
	if got := Rank("weak-1", 0, nil, []string{"weak-1"}); got != minOtherRank {
		t.Errorf("rank of a node without candidates while the site starts: %d, want %d", got, minOtherRank)
	}
}
