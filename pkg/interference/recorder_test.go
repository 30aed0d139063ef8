package interference

import (
	"reflect"
	"testing"
	"time"
)

const second = time.Second

// A sample covers the time in which the kinds beside a run stay the same, and nothing is taken from
// runs that are throttled, incomparable or beside others at part of their speed.
func TestRecorder(t *testing.T) {
	batch := func(id string, percent int) Running[string] {
		return Running[string]{ID: id, Kind: Kind(id[:1]), Percent: percent, Usual: 10 * second, Throttle: fullSpeed}
	}
	latency := func(id string, fraction float64) Running[string] {
		return Running[string]{ID: id, Kind: Kind(id[:1]), Latency: fraction, Throttle: fullSpeed}
	}
	throttled := func(r Running[string], percent int) Running[string] { r.Throttle = percent; return r }
	type listing struct {
		at   time.Duration
		runs []Running[string]
	}
	for name, c := range map[string]struct {
		listings []listing
		want     []Sample
	}{
		"neighbour leaves": {
			[]listing{{0, []Running[string]{batch("a1", 5), batch("b1", 5)}}, {2 * second, []Running[string]{batch("a1", 15), batch("b1", 25)}}, {3 * second, []Running[string]{batch("a1", 20)}}, {4 * second, []Running[string]{batch("a1", 40)}}},
			[]Sample{{Subject: "a", Others: []Kind{"b"}, Slowdown: 2, At: 2 * second}, {Subject: "a", Slowdown: 0.5, At: 4 * second}},
		},
		"a gang that waits is not slow": {
			[]listing{{0, []Running[string]{batch("a1", 0)}}, {5 * second, []Running[string]{batch("a1", 10)}}, {6 * second, []Running[string]{batch("a1", 20)}}},
			[]Sample{{Subject: "a", Slowdown: 1, At: 6 * second}},
		},
		"little progress": {
			[]listing{{0, []Running[string]{batch("a1", 5)}}, {2 * second, []Running[string]{batch("a1", 9)}}}, nil,
		},
		"neighbour at part of its speed": {
			[]listing{{0, []Running[string]{batch("a1", 5), throttled(batch("b1", 5), 40)}}, {2 * second, []Running[string]{batch("a1", 55), throttled(batch("b1", 25), 40)}}}, nil,
		},
		"suspended neighbours do not count": {
			[]listing{{0, []Running[string]{batch("a1", 5), throttled(batch("b1", 5), 0)}}, {2 * second, []Running[string]{batch("a1", 25), throttled(batch("b1", 5), 0)}}},
			[]Sample{{Subject: "a", Slowdown: 1, At: 2 * second}},
		},
		"throttled itself in between": {
			[]listing{{0, []Running[string]{batch("a1", 5)}}, {second, []Running[string]{throttled(batch("a1", 6), 0)}}, {9 * second, []Running[string]{batch("a1", 10)}}, {10 * second, []Running[string]{batch("a1", 20)}}},
			[]Sample{{Subject: "a", Slowdown: 1, At: 10 * second}},
		},
		"latency settles first": {
			[]listing{{0, []Running[string]{latency("a1", 0.1), batch("b1", 0)}}, {second / 2, []Running[string]{latency("a1", 0.1), batch("b1", 0)}}, {2 * second, []Running[string]{latency("a1", 0.8), batch("b1", 0)}}, {4 * second, []Running[string]{latency("a1", 1.0), batch("b1", 0)}}},
			[]Sample{{Subject: "a", Others: []Kind{"b"}, Slowdown: 0.9, At: 4 * second}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRecorder[string]()
			var got []Sample
			for _, l := range c.listings {
				got = append(got, r.Listing(l.runs, 0, l.at)...)
			}
			got = append(got, r.Ended("a1")...)
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("samples %+v, want %+v", got, c.want)
			}
			if r.Ended("b1"); len(r.spans) != 0 {
				t.Errorf("%d spans are kept", len(r.spans))
			}
		})
	}
}
