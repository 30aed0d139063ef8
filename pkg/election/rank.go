package election

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// minOtherRank is the first rank of nodes that are not candidates while a site starts. It
// gives candidates the time to register.
const minOtherRank = 4

// Order returns the nodes of a site in the order in which they probe the leader of a term
// and claim leadership after it. Candidates, which have enough CPU to lead, come first. All
// nodes derive the same order from the same lists; a hash makes it another one for each
// term.
func Order(term int64, candidates, others []string) []string {
	return append(ordered(term, candidates), ordered(term, others)...)
}

// Rank returns a node's place, from 0, in the order of a term; a node that is in neither
// list comes last.
func Rank(self string, term int64, candidates, others []string) int {
	order := Order(term, candidates, others)
	rank := slices.Index(order, self)
	if rank < 0 {
		rank = len(order)
	}
	if term == 0 && rank >= len(candidates) {
		rank += max(0, minOtherRank-len(candidates))
	}
	return rank
}

// ordered returns the names in the order of a term.
func ordered(term int64, names []string) []string {
	hashes := make(map[string]uint32, len(names))
	for _, name := range names {
		h := fnv.New32a()
		fmt.Fprintf(h, "%d %s", term, name)
		hashes[name] = h.Sum32()
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
}
