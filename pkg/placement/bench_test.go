package placement

import (
	"fmt"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/workload"
)

// saturatedSite returns count workers filled by bulk tasks and gangs, and waiting units
// of each of three priorities: the peak of a burst.
func saturatedSite(count, waiting int) ([]*Worker, []*Unit) {
	var workers []*Worker
	for i := range count {
		w := &Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Free: workerCapacity, Capacity: workerCapacity, Schedulable: true, Speed: 1}
		if i%2 == 0 {
			occupy(w, fmt.Sprintf("gang%d", i/10), i, need(8), 1, 500, true)
		} else {
			for index := range 8 {
				occupy(w, fmt.Sprintf("bulk%d", i), index, need(1), 2, float64(20+index), false)
			}
		}
		workers = append(workers, w)
	}
	var units []*Unit
	for i := range waiting {
		urgent := unit(fmt.Sprintf("urgent%d", i), 5, gang(1+i%8), 0)
		urgent.Guaranteed = i%2 == 0
		units = append(units, urgent, unit(fmt.Sprintf("usual%d", i), 13, gang(4), 1), unit(fmt.Sprintf("wait%d", i), 39, workload.Step{Need: need(1)}, 2))
	}
	return workers, units
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []int{48, 350, 540, 1500, 3000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				// 201 units wait.
				workers, units := saturatedSite(size, 67)
				b.StartTimer()
				Decide(workers, units, 8)
			}
		})
	}
}
