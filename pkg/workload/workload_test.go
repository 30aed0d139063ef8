package workload

import "testing"

// A worker that has shrunk may have less than nothing free, also of a resource that a task
// does not need.
func TestNothingFitsIntoNegativeResources(t *testing.T) {
	for _, c := range []struct {
		need, free Resources
		want       int
	}{
		{Resources{MilliCores: 1}, Resources{MilliCores: 5}, 5},
		{Resources{MilliCores: 1}, Resources{MilliCores: 5, Accelerators: -1}, 0},
		{Resources{MilliCores: 1, Accelerators: 1}, Resources{MilliCores: 5, MemoryMB: -1, Accelerators: 3}, 0},
		{Resources{MilliCores: 2, Accelerators: 1}, Resources{MilliCores: 5, Accelerators: 3}, 2},
		{Resources{MilliCores: 2}, Resources{MilliCores: 1}, 0},
	} {
		if got := c.need.Count(c.free); got != c.want {
			t.Errorf("%+v fits into %+v %d times, want %d", c.need, c.free, got, c.want)
		}
	}
}
