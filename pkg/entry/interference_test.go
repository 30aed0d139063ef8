package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/simsite"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// interferenceSite submits jobs of three images to a site with workers of two speeds. Tasks of image
// "cache" take twice as long beside one of image "scan"; none of "plain" is disturbed.
type interferenceSite struct {
	*site
	rng    *rand.Rand
	images map[workload.TaskID]string
}

const (
	disturbedImage, disturbingImage, plainImage = "cache", "scan", "plain"
	disturbance                                 = 1.0
	// Three in a hundred tasks take as many times as long as the others.
	longTaskShare, longTaskFactor = 0.03, 7
)

func (s *interferenceSite) submitTasks(image string, count int) {
	long := make([]bool, count)
	for i := range long {
		long[i] = s.rng.Float64() < longTaskShare
	}
	var id string
	behaviour := func(i int) simsite.Behaviour {
		work := 1500 * time.Millisecond
		if long[i] {
			work *= longTaskFactor
		}
		b := simsite.Behaviour{Resources: task(2), Work: work}
		if image == disturbedImage {
			b.SlowedBy = func(other workload.TaskID) float64 {
				if s.images[workload.TaskID{UnitID: other.UnitID}] == disturbingImage {
					return disturbance
				}
				return 0
			}
		}
		return b
	}
	id = s.submit(bulkQueue, behaviour, workload.Step{Count: count, Need: task(2), EstimateMS: 1500, Image: image})
	s.fleet.Update(func() { s.images[workload.TaskID{UnitID: workload.UnitID{Job: id}}] = image })
}

// load keeps half of the site busy for a time, and returns how many of the disturbed tasks ran
// beside a disturbing one at some moment, of how many.
func (s *interferenceSite) load(d time.Duration) (beside, all int) {
	images := []string{disturbedImage, disturbingImage, plainImage}
	seen, disturbed := map[workload.TaskID]bool{}, map[workload.TaskID]bool{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.submitTasks(images[s.rng.IntN(len(images))], 3+s.rng.IntN(3))
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			s.fleet.Update(func() {
				for _, w := range s.workers {
					running := w.Tasks()
					for _, id := range running {
						if s.images[workload.TaskID{UnitID: id.UnitID}] != disturbedImage {
							continue
						}
						seen[id] = true
						for _, other := range running {
							disturbed[id] = disturbed[id] || s.images[workload.TaskID{UnitID: other.UnitID}] == disturbingImage
						}
					}
				}
			})
		}
	}
	for id := range seen {
		all++
		if disturbed[id] {
			beside++
		}
	}
	return beside, all
}

// learn keeps the site busy until the leader has recorded a pair, and fails the test if it has
// recorded none, or another one, after ten minutes.
func (s *interferenceSite) learn() {
	for range 20 {
		s.load(30 * time.Second)
		pairs, err := s.leader().Interference()
		if err != nil {
			s.t.Fatal(err)
		}
		if len(pairs) > 0 {
			if p := pairs[0]; len(pairs) != 1 || p.Subject != disturbedImage || p.Other != disturbingImage {
				s.t.Fatalf("learned %v", pairs)
			}
			return
		}
	}
	s.t.Fatal("nothing was learned")
}

// Tasks that slow each other down are kept apart once enough of them have run, by the leader that
// has learned it and by the next one from its first plan on.
func TestTasksThatSlowEachOtherDownAreKeptApart(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			settings := testSettings()
			settings.Features.Interference = true
			runSiteWith(t, settings, 3, 16, func(s *site) {
				is := &interferenceSite{site: s, rng: rand.New(rand.NewPCG(seed, 0)), images: map[workload.TaskID]string{}}
				s.fleet.Update(func() {
					for i, w := range s.workers {
						if i%4 == 0 {
							w.Slowdown = 2
						}
					}
				})
				is.learn()
				beside, all := is.load(20 * time.Second)
				if all == 0 || 4*beside > all {
					t.Errorf("%d of %d tasks run beside others that slow them down", beside, all)
				}
				s.killLeader()
				time.Sleep(2 * time.Second)
				if beside, all := is.load(10 * time.Second); all == 0 || 4*beside > all {
					t.Errorf("under the next leader, %d of %d tasks run beside others that slow them down", beside, all)
				}
			})
		})
	}
}
