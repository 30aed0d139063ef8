package interference

import (
	"slices"
	"time"
)

const (
	// minSpan is the least time of a sample: several listings.
	minSpan = 700 * time.Millisecond
	// minProgress is the least progress of a sample, in percent: workers report whole percents,
	// some of which are late.
	minProgress = 10
	// latencySpan is the time of a sample of a latency-sensitive task. settleTime is how long
	// after a change its latency may still be that of before: its figure covers half a second.
	latencySpan = 3 * time.Second
	settleTime  = time.Second
)

// Running is a run as a worker has listed it.
type Running[ID comparable] struct {
	ID   ID
	Kind Kind
	// Group names runs that are not independent; see Sample.
	Group string
	// Usual is the usual time of a run of this kind; 0 if it is not known.
	Usual time.Duration
	// Percent is the run's progress.
	Percent int
	// Latency is the run's latency as a fraction of its objective; 0 if it is not
	// latency-sensitive.
	Latency float64
	// Throttle is the percentage of full speed at which the run works, and disturbs others.
	Throttle int
	// Incomparable runs are slow or fast for reasons of their own: they are far from their data,
	// or members of a gang, which ends with its slowest one.
	Incomparable bool
}

// span is a time in which a run and the kinds beside it stayed the same.
type span struct {
	kind        Kind
	group       string
	others      []Kind
	speedClass  int
	began, last time.Duration
	// percent and lastPercent are the progress at the two times.
	percent, lastPercent int
	usual                time.Duration
	latencySum           float64
	latencies            int
}

// Recorder turns listings of workers into samples. It is not safe for concurrent use.
type Recorder[ID comparable] struct{ spans map[ID]*span }

// NewRecorder returns a Recorder that has seen no listing.
func NewRecorder[ID comparable]() *Recorder[ID] { return &Recorder[ID]{spans: map[ID]*span{}} }

// Listing takes the runs of one worker at the time now and returns the samples that are complete.
func (r *Recorder[ID]) Listing(runs []Running[ID], speedClass int, now time.Duration) (samples []Sample) {
	for i := range runs {
		run := &runs[i]
		others, same := company(runs, i)
		s := r.spans[run.ID]
		if s != nil && (!same || run.Incomparable || run.Throttle != fullSpeed || s.speedClass != speedClass || !slices.Equal(s.others, others)) {
			samples = r.close(run.ID, samples)
			s = nil
		}
		if !same || run.Incomparable || run.Throttle != fullSpeed || run.Percent == 0 && run.Latency == 0 {
			continue
		}
		if s == nil {
			s = &span{kind: run.Kind, group: run.Group, others: others, speedClass: speedClass, began: now, last: now, percent: run.Percent, lastPercent: run.Percent, usual: run.Usual}
			r.spans[run.ID] = s
			continue
		}
		if run.Latency > 0 {
			if now-s.began >= settleTime {
				s.latencySum, s.latencies = s.latencySum+run.Latency, s.latencies+1
			}
			if s.last = now; now-s.began >= settleTime+latencySpan {
				samples = r.close(run.ID, samples)
			}
			continue
		}
		if run.Percent != s.lastPercent {
			s.last, s.lastPercent = now, run.Percent
		}
	}
	return samples
}

const fullSpeed = 100

// company returns the kinds beside a run, sorted and without repetitions. It reports false while
// another run works at a part of its speed: such a run disturbs by an unknown part.
func company[ID comparable](runs []Running[ID], self int) (others []Kind, known bool) {
	for i := range runs {
		switch {
		case i == self || runs[i].Throttle == 0:
		case runs[i].Throttle != fullSpeed:
			return nil, false
		default:
			others = append(others, runs[i].Kind)
		}
	}
	slices.Sort(others)
	return slices.Compact(others), true
}

// Ended drops a run and returns the sample of its last span, if that was long enough.
func (r *Recorder[ID]) Ended(id ID) []Sample { return r.close(id, nil) }

// close ends a run's span and appends its sample, if it is long enough.
func (r *Recorder[ID]) close(id ID, samples []Sample) []Sample {
	s := r.spans[id]
	delete(r.spans, id)
	if s == nil {
		return samples
	}
	sample := Sample{Subject: s.kind, Group: s.group, Others: s.others, SpeedClass: s.speedClass, At: s.last}
	switch {
	case s.latencies > 0:
		sample.Slowdown = s.latencySum / float64(s.latencies)
	case s.last-s.began >= minSpan && s.lastPercent-s.percent >= minProgress && s.usual > 0:
		sample.Slowdown = (s.last - s.began).Seconds() / s.usual.Seconds() * 100 / float64(s.lastPercent-s.percent)
	default:
		return samples
	}
	return append(samples, sample)
}
