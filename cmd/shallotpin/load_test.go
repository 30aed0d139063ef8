package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/client"
)

// requestInterval is the pause of a caller between two requests, and between two
// polls.
const requestInterval = 10 * time.Millisecond

// loads holds the loads by script and name.
var loads = map[string]*load{}

// load sends a bounded number of requests through one node and counts the
// verdicts.
type load struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	verdicts map[api.Verdict]int
	failures []string
	// refusals are the errors of requests that did not run.
	refusals []string
}

// cmdLoad starts callers that each send REQUESTS requests through one node and
// stop early at the first request that fails:
// load NAME SERVER CALLERS REQUESTS.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: load NAME SERVER CALLERS REQUESTS")
	}
	callers, err := strconv.Atoi(args[2])
	ts.Check(err)
	requests, err := strconv.Atoi(args[3])
	ts.Check(err)
	l := &load{verdicts: map[api.Verdict]int{}}
	loads[ts.Name()+"/"+args[0]] = l
	for i := range callers {
		c := client.New("http://" + args[1])
		l.wg.Go(func() {
			// Callers in step would all be between two requests at the same moments.
			time.Sleep(time.Duration(i) * requestInterval)
			for n := range requests {
				if !l.request(c, fmt.Sprintf("%s-%d-%d", args[0], i, n)) {
					return
				}
				time.Sleep(requestInterval)
			}
		})
	}
}

// request sends one request and reports whether it was answered without error.
func (l *load) request(c *client.Client, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := c.Request(ctx, &api.Request{Account: "yard-agents", Service: "stave-desk", Body: []byte(body)})
	verdict := api.Ran
	if err != nil {
		verdict = api.AsError(err, api.MayHaveRun).Verdict
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts[verdict]++
	switch {
	case verdict == api.MayHaveRun:
		l.failures = append(l.failures, fmt.Sprintf("%s: %v", body, err))
	case verdict == api.NotRun:
		l.refusals = append(l.refusals, fmt.Sprintf("%s: %v", body, err))
	case err == nil && answer.Body != "answer to "+body:
		l.failures = append(l.failures, fmt.Sprintf("%s was answered with %q", body, answer.Body))
	}
	return err == nil
}

// cmdLoaded waits for a load to end and checks that some requests ran, and that
// none ended with the verdict may-have-run or with a wrong answer; if negated,
// that some did. It writes the counts to a file: loaded NAME FILE.
func cmdLoaded(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: loaded NAME FILE")
	}
	l := loads[ts.Name()+"/"+args[0]]
	l.wg.Wait()
	text := fmt.Sprintf("ran %d, not-run %d, may-have-run %d\n", l.verdicts[api.Ran], l.verdicts[api.NotRun], l.verdicts[api.MayHaveRun])
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
	ts.Logf("%snot run: %q", text, l.refusals)
	if l.verdicts[api.Ran] == 0 {
		ts.Fatalf("no request of load %s ran", args[0])
	}
	if (len(l.failures) > 0) != neg {
		ts.Fatalf("load %s: %v", args[0], l.failures)
	}
}

// cmdRunning waits until some request of a load has been answered: running NAME.
func cmdRunning(ts *testscript.TestScript, neg bool, args []string) {
	l := loads[ts.Name()+"/"+args[0]]
	for range 6000 {
		l.mu.Lock()
		ran := l.verdicts[api.Ran]
		l.mu.Unlock()
		if ran > 0 {
			return
		}
		time.Sleep(requestInterval)
	}
	ts.Fatalf("no request of load %s was answered", args[0])
}

// cmdFinished waits for the job whose ID is in a file to end, and checks that
// it is done after one attempt, with a result for each task: finished SERVER FILE.
func cmdFinished(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	id := strings.TrimSpace(ts.ReadFile(args[1]))
	st, err := client.New("http://"+args[0]).WaitJob(ctx, id)
	ts.Check(err)
	if st.Phase != api.PhaseDone || st.Attempts != 1 || len(st.Results) != st.Spec.Tasks {
		ts.Fatalf("job %s is %s after %d attempts with %d results: %s", id, st.Phase, st.Attempts, len(st.Results), st.Reason)
	}
}

// cmdPreset waits until a preset is in force on a node: preset SERVER NAME.
func cmdPreset(ts *testscript.TestScript, neg bool, args []string) {
	c := client.New("http://" + args[0])
	seen := ""
	for range 6000 {
		if body, err := c.Config(context.Background()); err == nil {
			if seen = body.Preset; seen == args[1] {
				return
			}
		}
		time.Sleep(requestInterval)
	}
	ts.Fatalf("preset %q is in force on the node, want %q", seen, args[1])
}
