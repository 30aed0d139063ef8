package lifecycle

import (
	"testing"
	"time"
)

func TestClaimDue(t *testing.T) {
	cases := map[string]struct {
		view claimView
		want bool
	}{
		"dead, with a quorum":                  {claimView{quorum: true}, true},
		"dead, VM replaced":                    {claimView{replaced: true}, true},
		"dead, heard of by no quorum":          {claimView{silence: loneClaimAfter - time.Second}, false},
		"dead for long, heard of by no quorum": {claimView{silence: loneClaimAfter}, true},
		"dead for long, claimed alone before":  {claimView{silence: loneClaimAfter, loneClaims: 1}, false},
		"dead for longer, claimed before":      {claimView{silence: 2 * loneClaimAfter, loneClaims: 1}, true},
		"claimed alone many times":             {claimView{silence: loneClaimAfter << maxLoneDoublings, loneClaims: 1000}, true},
		"just cut off from the log":            {claimView{live: true, quorum: true}, false},
		"cut off from the log":                 {claimView{live: true, silence: detachedClaimAfter}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := tc.view.due(); got != tc.want {
				t.Errorf("due is %v, want %v", got, tc.want)
			}
		})
	}
}
