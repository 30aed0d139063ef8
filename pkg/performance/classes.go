package performance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minClassRatio is the least ratio of the median speeds of two classes. Below 1.5, which is the least
	// factor of an objective, slow workers can still be in time; the rest is for the error of the first
	// samples.
	minClassRatio = 1.6
	// keptClassRatio is the least ratio at which classes that have been found are kept, so that they do
	// not come and go.
	keptClassRatio = 1.35
	// minClassShare is the least share of the known workers in a class, and minClassWorkers their
	// least number: fewer have no room for gangs, and some workers may be off.
	minClassShare   = 0.12
	minClassWorkers = 4
	// maxClassFactor is the greatest factor between the usual speed and that of a class. Workers beyond it
	// are faulty rather than of another kind, and must not decide where the others are divided.
	maxClassFactor = 4
	// maxClasses limits the number of classes.
	maxClasses = 4
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

// Classify solves the model and divides the workers into classes by their speeds, the slowest first. A
// worker that is not known is taken to be of the most common class. total is the number of workers of
// the site.
func (m *Model) Classify(total int, now time.Duration) []Class {
	m.Solve(now)
	var sorted []known
	for _, w := range m.workers {
		if w.isKnown() {
			sorted = append(sorted, known{w, w.speed})
		}
	}
	slices.SortFunc(sorted, func(a, b known) int { return cmp.Compare(a.mean, b.mean) })
	ratio := minClassRatio
	if len(m.classes) > 1 {
		ratio = keptClassRatio
	}
	m.classes = nil
	if len(sorted) < minClassWorkers || float64(len(sorted)) < minKnownShare*float64(total) {
		for _, w := range m.workers {
			w.class = 0
		}
		return nil
	}
	usual := medianOf(sorted)
	sound := slices.DeleteFunc(sorted, func(k known) bool { return math.Abs(k.mean-usual) > math.Log(maxClassFactor) })
	if len(sound) < minClassWorkers {
		// The speeds fall into two parts far from each other, and neither is the usual one.
		for _, w := range m.workers {
			w.class = 0
		}
		return nil
	}
	for i, g := range merged(split([][]known{sound}, ratio), ratio) {
		m.classes = append(m.classes, Class{math.Exp(medianOf(g)), len(g)})
		for _, k := range g {
			k.worker.class = i
		}
	}
	for _, w := range m.workers {
		switch {
		case !w.isKnown() || w.class >= len(m.classes):
			w.class = m.commonClass()
		case w.speed < usual-math.Log(maxClassFactor):
			w.class = 0
		case w.speed > usual+math.Log(maxClassFactor):
			w.class = len(m.classes) - 1
		}
	}
	return m.classes
}

// split divides a group of workers, sorted by speed, into two classes whose speeds have at least the given
// ratio, and these as long as theirs have minClassRatio.
func split(groups [][]known, ratio float64) [][]known {
	least := max(minClassWorkers, int(minClassShare*float64(len(groups[0]))))
	for len(groups) < maxClasses {
		divided := false
		for i, g := range groups {
			if at := bestSplit(g, least, ratio); at > 0 {
				groups = slices.Replace(slices.Clone(groups), i, i+1, g[:at], g[at:])
				divided, ratio = true, minClassRatio
				break
			}
		}
		if !divided {
			break
		}
	}
	return groups
}

// merged joins neighbours whose speeds have less than the given ratio: a division may cut a class that a
// later one shows.
func merged(groups [][]known, ratio float64) [][]known {
	for i := 0; i+1 < len(groups); {
		if medianOf(groups[i+1])-medianOf(groups[i]) >= math.Log(ratio) {
			i++
			continue
		}
		groups = slices.Replace(slices.Clone(groups), i, i+2, slices.Concat(groups[i], groups[i+1]))
	}
	return groups
}

// bestSplit returns the index at which the group falls into two classes of at least the given number
// of workers whose speeds have at least the given ratio, or 0 if it does not.
func bestSplit(g []known, least int, ratio float64) int {
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
	if medianOf(g[best:])-medianOf(g[:best]) < math.Log(ratio) {
		return 0
	}
	return best
}

// medianOf returns the median of the speeds of a sorted group.
func medianOf(g []known) float64 { return (g[(len(g)-1)/2].mean + g[len(g)/2].mean) / 2 }

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

// meanSpeed returns the mean speed of the workers relative to a usual one.
func (m *Model) meanSpeed() float64 {
	sum, workers := 0.0, 0
	for _, c := range m.classes {
		sum, workers = sum+c.Speed*float64(c.Workers), workers+c.Workers
	}
	if workers == 0 {
		return 1
	}
	return sum / float64(workers)
}

// RunTimeIn returns the run time of a task in a class of workers, given that on a worker of mean speed.
func (m *Model) RunTimeIn(class int, mean time.Duration) time.Duration {
	if class < 0 || class >= len(m.classes) {
		return mean
	}
	return time.Duration(float64(mean) * m.meanSpeed() / m.classes[class].Speed)
}
