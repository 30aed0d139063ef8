package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/placement"
)

func TestWhereCommand(t *testing.T) {
	answer := dispatch.WhereAnswer{Job: "5c0e7a21d94b36f8", Term: 4, ViewAge: 120 * time.Millisecond, Settled: true, Steps: []dispatch.WhereStep{{Tasks: 2, State: "starts once others are stopped", Start: 200 * time.Millisecond, Finish: -1, Deadline: 5 * time.Second,
		Placement: &placement.Explanation{Filters: []placement.Filter{{Name: "have room now", Left: 0}}, Reserve: []placement.Assignment{{Worker: "w7"}}},
		Stops:     []dispatch.WhereStop{{Task: "a.0.0.1", LostCoreSeconds: 36}}}}}
	var method, query, body string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		method, query, body = r.Method, r.URL.RawQuery, string(data)
		if query == "job=busy" {
			http.Error(w, "the leader is busy", http.StatusTooManyRequests)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer node.Close()
	where := func(args ...string) (int, string) {
		var out, errs strings.Builder
		code := run(append([]string{"where", "--node", node.URL}, args...), &out, &errs)
		return code, out.String() + errs.String()
	}
	code, text := where("5c0e7a21d94b36f8")
	for _, want := range []string{"leader of term 4", "120ms ago", "starts once others are stopped; start in 200ms; late in 5s", "0 have room now", "task 0 waits for room on w7", "a.0.0.1 is stopped and loses 36 core-seconds"} {
		if code != exitDone || !strings.Contains(text, want) {
			t.Errorf("exit code %d, output lacks %q:\n%s", code, want, text)
		}
	}
	if method != http.MethodGet || query != "job=5c0e7a21d94b36f8" {
		t.Errorf("asked by %s %s", method, query)
	}
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, text := where(file, "--queue", "q", "--account", "a", "-o", "json"); code != exitDone || !strings.Contains(text, `"lost_core_s":36`) || method != http.MethodPost || query != "account=a&queue=q" || body != "{}" {
		t.Errorf("exit code %d, asked by %s %s %s, output %s", code, method, query, body, text)
	}
	if code, text := where("busy"); code != exitFailed || !strings.Contains(text, "the leader is busy") {
		t.Errorf("exit code %d for a busy leader: %s", code, text)
	}
}
