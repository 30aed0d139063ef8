package performance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minClassRatio is the least ratio of the mean speeds of two classes. Below it, a gang of both
	// classes wastes less of the faster workers than the wait for like ones costs.
	minClassRatio = 1.3
	// minClassShare is the least share of the workers in a class, and minClassWorkers their least
	// number: single workers that are off do not make a class.
	minClassShare   = 0.08
	minClassWorkers = 4
	// maxSpread is the greatest standard deviation of the logarithm of the speeds within two classes,
	// as a fraction of the distance between their means: that of a uniform distribution is 0.29.
	maxSpread = 0.22
	// maxClasses limits the number of classes.
	maxClasses = 4
	// knownVariance is the greatest variance at which a worker counts as known.
	knownVariance = 0.3 * 0.3
	// minKnownShare is the least share of known workers for classes to be told apart.
	minKnownShare = 0.2
)

// Class is a group of workers of like speed.
type Class struct {
	// Speed is relative to a usual worker.
	Speed float64
	// Workers is how many workers of the class are known.
	Workers int
}

// known is a worker whose speed is known.
type known struct {
	worker *worker
	mean   float64
}

// Classify divides the workers into classes by their speeds, the slowest first. A worker that is not
// known is taken to be of the most common class. total is the number of workers of the site.
func (m *Model) Classify(total int, now time.Duration) []Class {
	var sorted []known
	for key := range m.workers {
		if w := m.worker(key, now); w.speed.variance <= knownVariance {
			sorted = append(sorted, known{w, w.speed.mean})
		}
	}
	slices.SortFunc(sorted, func(a, b known) int { return cmp.Compare(a.mean, b.mean) })
	m.classes = nil
	if len(sorted) < minClassWorkers || float64(len(sorted)) < minKnownShare*float64(total) {
		for _, w := range m.workers {
			w.class = 0
		}
		return nil
	}
	m.reference = sorted[len(sorted)/2].mean
	groups := split([][]known{sorted})
	for i, g := range groups {
		mean, _ := meanAndVariance(g)
		m.classes = append(m.classes, Class{math.Exp(mean - m.reference), len(g)})
		for _, k := range g {
			k.worker.class = i
		}
	}
	for _, w := range m.workers {
		if w.speed.variance > knownVariance {
			w.class = m.commonClass()
		}
	}
	return m.classes
}

// split divides the group whose division tells most, until none can be divided.
func split(groups [][]known) [][]known {
	for len(groups) < maxClasses {
		divided := false
		for i, g := range groups {
			if at := bestSplit(g); at > 0 {
				groups = slices.Replace(slices.Clone(groups), i, i+1, g[:at], g[at:])
				divided = true
				break
			}
		}
		if !divided {
			break
		}
	}
	return groups
}

// bestSplit returns the index at which the group falls into two classes, or 0 if it does not.
func bestSplit(g []known) int {
	least := max(minClassWorkers, int(minClassShare*float64(len(g))))
	total, sum := 0.0, 0.0
	for _, k := range g {
		total += k.mean
	}
	best, bestGain := 0, 0.0
	for i := range g {
		if i >= least && len(g)-i >= least {
			n, rest := float64(i), float64(len(g)-i)
			distance := (total-sum)/rest - sum/n
			if gain := n * rest * distance * distance; gain > bestGain {
				best, bestGain = i, gain
			}
		}
		sum += g[i].mean
	}
	if best == 0 {
		return 0
	}
	low, lowVariance := meanAndVariance(g[:best])
	high, highVariance := meanAndVariance(g[best:])
	within := (lowVariance*float64(best) + highVariance*float64(len(g)-best)) / float64(len(g))
	if high-low < math.Log(minClassRatio) || math.Sqrt(within) > maxSpread*(high-low) {
		return 0
	}
	return best
}

func meanAndVariance(g []known) (mean, variance float64) {
	for _, k := range g {
		mean += k.mean / float64(len(g))
	}
	for _, k := range g {
		variance += (k.mean - mean) * (k.mean - mean) / float64(len(g))
	}
	return mean, variance
}

// commonClass returns the class with the most workers.
func (m *Model) commonClass() int {
	common := 0
	for i, c := range m.classes {
		if c.Workers > m.classes[common].Workers {
			common = i
		}
	}
	return common
}

// ClassOf returns the number of the worker's class, from 0 for the slowest, and the speed of the
// class. Without classes, it returns 0 and 1.
func (m *Model) ClassOf(key string) (class int, speed float64) {
	if len(m.classes) < 2 {
		return 0, 1
	}
	class = m.commonClass()
	if w := m.workers[key]; w != nil {
		class = w.class
	}
	return class, m.classes[class].Speed
}
