package claims

import (
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// TestKeyReusedOnlyOnceOwned notes a key for one body while it is used for another
// one. Until the log gives the key an owner, neither body may be refused as reused
// (not-run), since either may still run.
func TestKeyReusedOnlyOnceOwned(t *testing.T) {
	const key, noted, other = "key", 1, 2
	for _, tt := range []struct {
		name   string
		logged string
		body   uint64
		want   Decision
	}{
		{"being claimed", "", other, Decision{Uncertain: true}},
		{"won by the other body", "b", other, Decision{Owner: "b"}},
		{"lost to the other body", "b", noted, Decision{Reused: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable("self")
			table.NoteClaim(key, noted, "a")
			if got := table.BeginRequest(key, tt.body, tt.logged, other, 0); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestEvictedKeysFreeTheirAnswers runs more requests than a table holds keys. The bytes of the
// answers must be those of the answers that are kept, or they would all be dropped after a while.
func TestEvictedKeysFreeTheirAnswers(t *testing.T) {
	table := NewTable("self")
	const body = "answer"
	for i := range 3 * maxEntries {
		key := strconv.Itoa(i)
		table.BeginRequest(key, 1, "", 1, 0)
		table.SetOwner(key, "self", false)
		table.BeginAttempt(key)
		table.EndAttempt(key, api.Answer{Verdict: api.Ran, Body: body})
		table.EndRequest(key)
	}
	kept := 0
	for _, e := range table.entries {
		if e.answerKept {
			kept += len(e.answer.Body)
		}
	}
	if kept != maxEntries*len(body) || table.answerBytes != kept {
		t.Errorf("%d bytes counted, %d kept, want %d", table.answerBytes, kept, maxEntries*len(body))
	}
	if len(table.answerOrder) > maxEntries {
		t.Errorf("%d keys with answers listed, %d keys in all", len(table.answerOrder), len(table.entries))
	}
}

// TestDroppedAnswerSaysWhatIsKnown drops the answers of requests that ran and that may have run.
func TestDroppedAnswerSaysWhatIsKnown(t *testing.T) {
	for verdict, want := range map[api.Verdict]string{
		api.Ran:        "the request ran; its answer is no longer kept",
		api.MayHaveRun: "the request may have run; its answer is no longer kept",
	} {
		table := NewTable("self")
		for _, key := range []string{"a", "b"} {
			table.BeginRequest(key, 1, "", 1, 0)
			table.SetOwner(key, "self", false)
			table.BeginAttempt(key)
			table.EndAttempt(key, api.Answer{Verdict: verdict, Body: strings.Repeat("x", maxKeptAnswerBytes)})
		}
		if e := table.entries["a"].answer; e.Error == nil || e.Error.Message != want || e.Error.Verdict != verdict {
			t.Errorf("%s: error %+v, want %q", verdict, e.Error, want)
		}
	}
}
