// Package estimate estimates how long jobs run from past run times, since
// declared run times are far off. Package planner passes it each new state of the
// node, and package scheduler uses the estimates. It does no I/O, and the caller
// passes in the time. Its types are not safe for concurrent use.
package estimate

import (
	"math"
	"slices"
)

const (
	// maxSamples is the number of latest run times kept for an account and class.
	maxSamples = 64
	// defaultSeconds is the estimate for a job without a declared run time whose
	// account and class have no samples.
	defaultSeconds = 600
	// minEstimateSeconds is the smallest estimate of a run time.
	minEstimateSeconds = 1
)

// Runtimes estimates run times from samples for each account and class.
type Runtimes struct {
	classes map[classKey]*sampleSet
}

type classKey struct{ account, class string }

// sampleSet holds the logarithms of the last run times of one account and class,
// in seconds, and of their ratios to the declared ones.
type sampleSet struct {
	seconds []float64
	ratios  []float64
}

// NewRuntimes returns an estimator without samples.
func NewRuntimes() *Runtimes { return &Runtimes{map[classKey]*sampleSet{}} }

// Observe adds a job that ran for seconds. declared is its declared run time in
// seconds, or 0 for none.
func (r *Runtimes) Observe(account, class string, declared, seconds float64) {
	key := classKey{account, class}
	samples := r.classes[key]
	if samples == nil {
		samples = &sampleSet{}
		r.classes[key] = samples
	}
	seconds = max(seconds, minEstimateSeconds)
	samples.seconds = appendSample(samples.seconds, math.Log(seconds))
	if declared > 0 {
		samples.ratios = appendSample(samples.ratios, math.Log(seconds/declared))
	}
}

func appendSample(values []float64, v float64) []float64 {
	if len(values) >= maxSamples {
		values = slices.Delete(values, 0, 1)
	}
	return append(values, v)
}

// Estimate returns the expected run time in seconds. declared is the declared run
// time in seconds, or 0 for none. The estimate is either the mean run time of the
// account and class, or the declared time multiplied by their mean ratio of actual
// to declared times, whichever has the lower variance. The means are geometric.
// Without samples it is the declared time or else defaultSeconds.
func (r *Runtimes) Estimate(account, class string, declared float64) float64 {
	samples := r.classes[classKey{account, class}]
	if samples == nil {
		if declared > 0 {
			return declared
		}
		return defaultSeconds
	}
	mean, variance := meanAndVariance(samples.seconds)
	if declared > 0 && len(samples.ratios) > 0 {
		if meanRatio, ratioVariance := meanAndVariance(samples.ratios); ratioVariance <= variance {
			return max(minEstimateSeconds, declared*math.Exp(meanRatio))
		}
	}
	return max(minEstimateSeconds, math.Exp(mean))
}

func meanAndVariance(values []float64) (mean, variance float64) {
	for _, v := range values {
		mean += v
	}
	mean /= float64(len(values))
	for _, v := range values {
		variance += (v - mean) * (v - mean)
	}
	return mean, variance / float64(len(values))
}
