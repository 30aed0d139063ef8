package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// View is a set of nodes that share the slots of the upstreams, sorted.
type View []string

// Hash identifies the view.
func (v View) Hash() uint64 {
	d := xxhash.New()
	for _, node := range v {
		d.WriteString(node)
		d.WriteString("\x00")
	}
	return d.Sum64()
}

// owner picks the node for one slot by rendezvous hashing, so that a node that
// joins takes its share from all and moves no other slot.
func (v View) owner(slot string) string {
	best, bestScore := "", uint64(0)
	for _, node := range v {
		if score := xxhash.Sum64String(node + "\x00" + slot); best == "" || score > bestScore {
			best, bestScore = node, score
		}
	}
	return best
}

// Share returns how many of an upstream's slots belong to a node in every one
// of the views.
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
