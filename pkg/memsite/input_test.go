package memsite

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/config"
)

// TestOversizedBodiesAreRefused sends bodies beyond every limit: each is refused
// as bad input that did not run, and nothing of what is in force changes.
func TestOversizedBodiesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, nil)
		c, ctx := s.Client(0), testCtx(t, urgentWithin)
		huge := bytes.Repeat([]byte(" "), 8*config.MaxBytes)
		_, publish := c.PublishConfig(ctx, huge, nil)
		_, submit := c.SubmitJob(ctx, huge, "")
		_, request := c.Request(ctx, &api.Request{Account: "coopers", Service: "stave-desk", Class: "quote", Body: huge})
		for name, err := range map[string]error{"document": publish, "job": submit, "request": request} {
			if err == nil {
				t.Errorf("%s: accepted", name)
			} else if e := api.AsError(err, api.MayHaveRun); e.Verdict != api.NotRun || e.Code != api.CodeInvalid {
				t.Errorf("%s: %v (%s, %s)", name, err, e.Code, e.Verdict)
			}
		}
		if body, err := c.Config(ctx); err != nil || body.Version != 1 {
			t.Errorf("the configuration changed: %+v, %v", body.Version, err)
		}
	})
}

// TestGangLargerThanAnyRackIsRefused submits a gang that no rack could hold even
// if it were empty: 9 tasks that need a worker each, with 8 workers to a rack.
func TestGangLargerThanAnyRackIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := startSite(t, nil).Client(0), testCtx(t, urgentWithin)
		if _, err := c.SubmitJob(ctx, gangSpec(t, 8, 1), ""); err != nil {
			t.Errorf("a gang of 8 gave %v", err)
		}
		_, err := c.SubmitJob(ctx, gangSpec(t, 9, 1), "")
		if err == nil {
			t.Fatal("a gang of 9 was accepted")
		}
		if e := api.AsError(err, api.MayHaveRun); e.Verdict != api.NotRun || e.Code != api.CodeInvalid {
			t.Errorf("a gang of 9 gave %v", err)
		}
	})
}
