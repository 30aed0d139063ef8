package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/dispatch"
)

func TestInterferenceCommand(t *testing.T) {
	pairs := []dispatch.LearnedPair{}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/interference" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(pairs)
	}))
	defer node.Close()
	show := func(args ...string) string {
		var out, errs strings.Builder
		if code := run(append([]string{"interference", "--node", node.URL}, args...), &out, &errs); code != exitDone {
			t.Fatalf("exit code %d: %s", code, errs.String())
		}
		return out.String()
	}
	if got := show(); got != "no tasks are known to slow each other down\n" {
		t.Errorf("without pairs: %q", got)
	}
	pairs = append(pairs, dispatch.LearnedPair{Subject: "cache", Other: "scan", Harm: 0.82, Observations: 31, AtMS: time.Now().Add(-time.Hour).UnixMilli()})
	if got := show(); !strings.Contains(got, "cache  scan    82 %            31") {
		t.Errorf("table:\n%s", got)
	}
	if got := show("-o", "json"); !strings.Contains(got, `"s":"cache"`) {
		t.Errorf("JSON: %s", got)
	}
}
