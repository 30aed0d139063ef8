package dispatch

import "testing"

func TestNextPace(t *testing.T) {
	for name, c := range map[string]struct {
		share int
		load  float64
		want  int
	}{
		"objective missed":                  {100, 1.2, 0},
		"close to the objective":            {100, 0.9, 50},
		"close to it at the least pace":     {leastPace, 0.9, 0},
		"neither strained nor calm":         {40, 0.7, 40},
		"calm":                              {40, 0.3, 40 + paceGain},
		"calm, after it stood still":        {0, 0.3, paceGain},
		"calm, at nearly the whole pace":    {95, 0, 100},
		"nothing serves beside it any more": {100, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			if got := nextPace(c.share, c.load); got != c.want {
				t.Errorf("pace %d, want %d", got, c.want)
			}
		})
	}
}
