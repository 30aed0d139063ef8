package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// kind describes one class of jobs of an account.
type kind struct {
	account, class string
	// share is the part of all arrivals.
	share float64
	// tasks and perTask are drawn from with equal chance.
	tasks   []int
	perTask []int
	within  api.Adjacency
	// median is the median run time; the spread is that of a log-normal law.
	median, spread float64
	// checkpoint and once are the shares that can checkpoint and that may run only once.
	checkpoint, once float64
	// urgent is the share of urgent work.
	urgent float64
	// bias is the usual ratio of declared to true run time.
	bias float64
}

// maxRun bounds a run time in seconds.
const maxRun = 4 * 3600

// coresPerAccelerator and memoryPerAccelerator are what tasks ask for beside accelerators.
const (
	coresPerAccelerator  = 8
	memoryPerAccelerator = 32
)

func resources(accelerators int) api.Resources {
	return api.Resources{Cores: coresPerAccelerator * accelerators, MemoryGB: memoryPerAccelerator * accelerators, Accelerators: accelerators}
}

// draw returns a random job of kind k.
func (k *kind) draw(rng *rand.Rand, id string) *work {
	w := &work{id: id}
	w.seconds = min(maxRun, k.median*math.Exp(k.spread*rng.NormFloat64()))
	w.spec = api.JobSpec{
		Account: k.account, Class: k.class, Tasks: k.tasks[rng.IntN(len(k.tasks))],
		PerTask: resources(k.perTask[rng.IntN(len(k.perTask))]), Within: k.within, MaxAttempts: 3,
		Checkpoint: rng.Float64() < k.checkpoint, Urgent: rng.Float64() < k.urgent,
		ExpectedSeconds: w.seconds * min(4, max(0.25, k.bias*math.Pow(2, rng.NormFloat64()*0.7))),
	}
	if rng.Float64() < k.once {
		w.spec.Checkpoint, w.spec.MaxAttempts = false, 1
	}
	return w
}

// stream describes the arrivals of a scenario.
type stream struct {
	kinds []kind
	// length is the time over which jobs arrive.
	length time.Duration
	// load is the offered load as a share of the fleet's accelerators.
	load float64
	// burstEvery is the mean time between two bursts; a burst brings
	// burstJobs jobs of one kind within a minute.
	burstEvery time.Duration
	burstJobs  int
	// failing is the share of jobs that fail whenever they run.
	failing float64
	// cancelled is the share of jobs whose callers give up.
	cancelled float64
}

// burstLength is the time over which the jobs of a burst arrive.
const burstLength = time.Minute

// arrival is a job and the time of its submission.
type arrival struct {
	at  time.Duration
	job *work
}

// arrivals draws the jobs of a stream for a fleet.
func (s *stream) arrivals(rng *rand.Rand, accelerators int) []arrival {
	budget := s.load * float64(accelerators) * s.length.Seconds()
	var out []arrival
	add := func(k *kind, at time.Duration) {
		j := k.draw(rng, fmt.Sprintf("j%05d", len(out)))
		if rng.Float64() < s.failing {
			j.fails, j.failSeconds = true, 5+55*rng.Float64()
		}
		if rng.Float64() < s.cancelled {
			j.cancelAfter = seconds(j.seconds * 2 * rng.Float64())
		}
		budget -= j.accelerators() * j.seconds
		out = append(out, arrival{at, j})
	}
	nextBurst := s.length
	if s.burstEvery > 0 {
		nextBurst = time.Duration(rng.ExpFloat64() * float64(s.burstEvery))
	}
	for ; nextBurst < s.length; nextBurst += time.Duration(rng.ExpFloat64() * float64(s.burstEvery)) {
		k := &s.kinds[rng.IntN(len(s.kinds))]
		// Wide kinds come in smaller bursts.
		width := k.tasks[len(k.tasks)-1] * k.perTask[len(k.perTask)-1]
		for range max(4, s.burstJobs/max(1, width/4)) {
			add(k, nextBurst+time.Duration(rng.Float64()*float64(burstLength)))
		}
	}
	for budget > 0 {
		add(s.pick(rng), time.Duration(rng.Float64()*float64(s.length)))
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func (s *stream) pick(rng *rand.Rand) *kind {
	x := rng.Float64()
	for i := range s.kinds {
		if x -= s.kinds[i].share; x < 0 {
			return &s.kinds[i]
		}
	}
	return &s.kinds[len(s.kinds)-1]
}
