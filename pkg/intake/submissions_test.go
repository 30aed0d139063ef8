package intake

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// A repeated submission that is refused while the first one is under way gets the first one's
// outcome: that it has not run is said only if that is true of both.
func TestRefusalOfARepeatedSubmission(t *testing.T) {
	refusal := api.Errorf(api.CodeUnavailable, "no room")
	unknown := &api.Error{Code: api.CodeTimeout, Verdict: api.MayHaveRun}
	for _, c := range []struct {
		name    string
		outcome error
		verdict api.Verdict
	}{
		{"stored", nil, api.Ran},
		{"unknown", unknown, api.MayHaveRun},
		{"not stored", ErrNoWriter, api.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, forwarder := newTestService(64 << 20)
			first, second, third := make(chan error, 1), make(chan error, 1), make(chan error, 1)
			go func() { first <- s.Submit(t.Context(), smallJob()) }()
			<-forwarder.asked
			go func() { second <- s.Refuse(t.Context(), smallJob().ID, refusal) }()
			go func() { third <- s.Refuse(t.Context(), "2222222222222222", refusal) }()
			if err := <-third; !errors.Is(err, refusal) {
				t.Errorf("another job: %v, want the refusal", err)
			}
			forwarder.answer <- c.outcome
			check := func(name string, err error) {
				t.Helper()
				if (err == nil) != (c.verdict == api.Ran) || err != nil && api.AsError(err, api.MayHaveRun).Verdict != c.verdict {
					t.Errorf("%s: %v, want verdict %q", name, err, c.verdict)
				}
			}
			check("the first submission", <-first)
			check("the refused one", <-second)
		})
	}
}

// A submission that is repeated while the first is under way is stored once.
func TestRepeatedSubmissionSharesTheOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, forwarder := newTestService(64 << 20)
		outcomes := make(chan error, 2)
		for range 2 {
			go func() { outcomes <- s.Submit(t.Context(), smallJob()) }()
			synctest.Wait()
		}
		if n := len(forwarder.asked); n != 1 {
			t.Errorf("the job is being stored %d times, want once", n)
		}
		forwarder.answer <- nil
		for range 2 {
			if err := <-outcomes; err != nil {
				t.Error(err)
			}
		}
	})
}
