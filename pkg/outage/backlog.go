package outage

import "time"

// growthWindow is the span of records from which the growth of a topic follows: several changes of
// a topic that changes often.
const growthWindow = 10 * time.Second

// Backlog estimates how much a follower of a topic has still to read, and decides whether a
// listing of the newest record of each key is shorter. It answers a topic whose large records
// replace one another faster than followers that have fallen behind can read them all.
type Backlog struct {
	// sizes are those of the newest record of each key, in bytes, and newest is their sum.
	sizes  map[string]int
	newest int
	// growth holds the records of the last growthWindow.
	growth []arrival
}

type arrival struct {
	at    time.Duration
	bytes int
}

// Reset forgets all records, before those of a listing are added by List.
func (b *Backlog) Reset() { b.sizes, b.newest = nil, 0 }

// List adds a record of a listing.
func (b *Backlog) List(key string, bytes int) {
	if b.sizes == nil {
		b.sizes = map[string]int{}
	}
	b.newest += bytes - b.sizes[key]
	b.sizes[key] = bytes
}

// Add adds a record that was read at now.
func (b *Backlog) Add(now time.Duration, key string, bytes int) {
	b.List(key, bytes)
	kept := b.growth[:0]
	for _, a := range b.growth {
		if now-a.at <= growthWindow {
			kept = append(kept, a)
		}
	}
	b.growth = append(kept, arrival{now, bytes})
}

// Expected returns how many bytes are likely to have been added between two times, by the growth
// before the first.
func (b *Backlog) Expected(from, to time.Duration) int {
	sum := 0
	for _, a := range b.growth {
		if a.at <= from && from-a.at <= growthWindow {
			sum += a.bytes
		}
	}
	return int(float64(sum) * float64(max(0, to-from)) / float64(growthWindow))
}

// ListingIsShorter reports whether a listing is shorter than a backlog of the given size.
func (b *Backlog) ListingIsShorter(bytes int) bool { return bytes > b.newest }
