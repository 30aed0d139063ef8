package frontdoor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/memnet"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// Large answers to many callers at once must be refused once they hold what callers may, and with
// a verdict that is true: what changes something is answered in any case.
func TestLargeAnswersShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(nil)
		s := New(network.Host("entry"), address, 0, metrics.NewSet(), uuid.NewString)
		options := ingress.DefaultOptions()
		options.MemoryMB = 4
		s.Ingress = ingress.New(options, ingress.Machine{})
		const size, callers = 1 << 20, 8
		holding := make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("GET /large", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, api.Ran, strings.Repeat("x", size))
			<-holding
		})
		mux.HandleFunc("POST /large", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, api.Ran, strings.Repeat("x", size))
		})
		if err := s.listen(s.boundAnswers(mux)); err != nil {
			t.Fatal(err)
		}
		client := transport.HTTPClient(network.Host("caller"), 0)
		defer client.CloseIdleConnections()
		answers := make(chan string, callers)
		ask := func(method string) string {
			r, err := http.NewRequest(method, "http://"+address+"/large", nil)
			if err != nil {
				return err.Error()
			}
			resp, err := client.Do(r)
			if err != nil {
				return err.Error()
			}
			defer resp.Body.Close()
			// An answer that is being sent may be cut off for another one.
			if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == http.StatusOK && len(body) < size {
				return "cut off"
			}
			return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(api.HeaderVerdict))
		}
		for range callers {
			go func() { answers <- ask(http.MethodGet) }()
		}
		time.Sleep(5 * time.Second)
		if got := ask(http.MethodPost); got != "200 ran" {
			t.Errorf("a change was answered with %q", got)
		}
		close(holding)
		count := map[string]int{}
		for range callers {
			count[<-answers]++
		}
		if count["200 ran"] == 0 || count["200 ran"] > 3 || count["200 ran"]+count["503 not-run"]+count["cut off"] != callers {
			t.Errorf("answers %v of %d callers at 1 MB each and a budget of 4 MB", count, callers)
		}
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
