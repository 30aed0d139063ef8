package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// View is the set of node IDs among which the upstreams' slots are divided, sorted.
type View []string

// Hash returns a hash of the node IDs, by which nodes compare their views.
func (v View) Hash() uint64 {
	d := xxhash.New()
	for _, node := range v {
		d.WriteString(node)
		d.WriteString("\x00")
	}
	return d.Sum64()
}

// owner returns the owner of one slot by rendezvous hashing, so that a node that
// joins takes slots from all others evenly and no other slot moves.
func (v View) owner(slot string) string {
	best, bestScore := "", uint64(0)
	for _, node := range v {
		if score := xxhash.Sum64String(node + "\x00" + slot); best == "" || score > bestScore {
			best, bestScore = node, score
		}
	}
	return best
}

// Share returns how many of an upstream's slots belong to a node in every one of
// views, and zero if there are no views.
func Share(views []View, node, upstream string, slots int) int {
	n := 0
	for i := range slots {
		slot := upstream + "\x00" + strconv.Itoa(i)
		owned := len(views) > 0
		for _, v := range views {
			owned = owned && v.owner(slot) == node
		}
		if owned {
			n++
		}
	}
	return n
}
