package proof

import (
	"fmt"
	"sort"
	"time"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/backend"
)

// The bounds that the promises are checked against.
const (
	// startGrace is how long after a zone out, or after the VM list shows an
	// upstream as leaving, new work may still start.
	startGrace = 5 * time.Second
	// changeGrace is how long a node may serve an older configuration.
	changeGrace = 7 * time.Second
	// partialGrace bounds how long some tasks of a gang may run without the
	// others: a lease and the start window, with the drift of the clocks.
	partialGrace = 13*time.Second + 130*time.Millisecond
)

// checks are the checks of one history, by promise.
var checks = []struct {
	name  string
	check func(*history) []string
}{
	{"at most once", checkAtMostOnce},
	{"not-run is true", checkNotRun},
	{"whole answer", checkAnswers},
	{"gang whole or none", checkGangs},
	{"attempts and outcomes", checkOutcomes},
	{"accepted jobs end", checkAcceptedJobs},
	{"zone out", checkZones},
	{"leaving upstream", checkLeaving},
	{"configuration", checkConfiguration},
	{"keyed requests", checkKeys},
}

// violations runs every check.
func (h *history) violations() []string {
	var out []string
	for _, c := range checks {
		for _, v := range c.check(h) {
			out = append(out, c.name+": "+v)
		}
	}
	return out
}

// executionsOf returns when each body ran.
func (h *history) executionsOf() map[string][]time.Time {
	ran := map[string][]time.Time{}
	for _, e := range h.executions {
		ran[e.Body] = append(ran[e.Body], e.At)
	}
	return ran
}

// callsOf returns the attempts of each body in order.
func (h *history) callsOf() map[string][]call {
	out := map[string][]call{}
	for _, c := range h.calls {
		out[c.body] = append(out[c.body], c)
	}
	for _, calls := range out {
		sort.Slice(calls, func(i, j int) bool { return calls[i].start.Before(calls[j].start) })
	}
	return out
}

func checkAtMostOnce(h *history) (out []string) {
	ran := h.executionsOf()
	for body, calls := range h.callsOf() {
		if n := len(ran[body]); n > 1 && !calls[0].idempotent {
			out = append(out, fmt.Sprintf("%s ran %d times: %v", body, n, ran[body]))
		}
	}
	return out
}

// checkNotRun finds requests that ran although every attempt up to some point
// was answered with not-run, and those whose last word was not-run.
func checkNotRun(h *history) (out []string) {
	ran := h.executionsOf()
	for body, calls := range h.callsOf() {
		last := calls[len(calls)-1]
		if last.verdict == api.NotRun && len(ran[body]) > 0 {
			out = append(out, fmt.Sprintf("%s was told not-run at %s by %s and ran at %v", body, clock(last.end), last.node, ran[body]))
			continue
		}
		for i := 0; i+1 < len(calls) && calls[i].verdict == api.NotRun; i++ {
			if len(ran[body]) > 0 && ran[body][0].Before(calls[i+1].start) {
				out = append(out, fmt.Sprintf("%s was told not-run by %s and ran before its next attempt", body, calls[i].node))
				break
			}
		}
	}
	return out
}

func clock(t time.Time) string { return t.Format("04:05.000") }

func checkAnswers(h *history) (out []string) {
	ran := h.executionsOf()
	for _, c := range h.calls {
		if c.err != nil || c.verdict != api.Ran {
			continue
		}
		if want := "answer to " + c.body; c.answer.Body != want {
			out = append(out, fmt.Sprintf("%q got %q", c.body, c.answer.Body))
		} else if len(ran[c.body]) == 0 {
			out = append(out, fmt.Sprintf("%q was answered without having run", c.body))
		}
	}
	return out
}

// attempt is what the workers saw of one attempt of a job.
type attempt struct {
	job   string
	token int64
	tasks map[int][]window
	// done holds when each task finished.
	done map[int]time.Time
}

// attempts collects the running spans of all tasks, by job and then by token.
func (h *history) attempts() map[string][]*attempt {
	byID := map[backend.TaskID]*attempt{}
	var order []*attempt
	events := append(h.events[:0:0], h.events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	for _, e := range events {
		id := backend.TaskID{Job: e.Task.Job, Token: e.Task.Token}
		a := byID[id]
		if a == nil {
			a = &attempt{job: id.Job, token: id.Token, tasks: map[int][]window{}, done: map[int]time.Time{}}
			byID[id] = a
			order = append(order, a)
		}
		spans := a.tasks[e.Task.Index]
		switch {
		case e.Phase == backend.TaskRunning:
			a.tasks[e.Task.Index] = append(spans, window{e.At, h.end})
		case e.Phase == backend.TaskDone:
			a.done[e.Task.Index] = e.At
			fallthrough
		case len(spans) > 0 && e.Phase != backend.TaskReserved:
			spans[len(spans)-1].to = e.At
		}
	}
	out := map[string][]*attempt{}
	for _, a := range order {
		if len(a.tasks) > 0 {
			out[a.job] = append(out[a.job], a)
		}
	}
	return out
}

func (a *attempt) span() (w window) {
	for _, spans := range a.tasks {
		for _, s := range spans {
			if w.from.IsZero() || s.from.Before(w.from) {
				w.from = s.from
			}
			if s.to.After(w.to) {
				w.to = s.to
			}
		}
	}
	return w
}

// longestPartial returns the longest span in which some of n tasks ran while
// others neither ran nor had finished.
func (a *attempt) longestPartial(n int) time.Duration {
	var points []time.Time
	for _, spans := range a.tasks {
		for _, s := range spans {
			points = append(points, s.from, s.to)
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].Before(points[j]) })
	var longest, current time.Duration
	for i := 0; i+1 < len(points); i++ {
		running, finished := a.at(points[i])
		if running == 0 || running+finished == n {
			current = 0
			continue
		}
		current += points[i+1].Sub(points[i])
		longest = max(longest, current)
	}
	return longest
}

func (a *attempt) at(t time.Time) (running, finished int) {
	for index, spans := range a.tasks {
		for _, s := range spans {
			if !s.from.After(t) && t.Before(s.to) {
				running++
			}
		}
		if at, ok := a.done[index]; ok && !at.After(t) {
			finished++
		}
	}
	return running, finished
}

func checkGangs(h *history) (out []string) {
	for job, attempts := range h.attempts() {
		for i, a := range attempts {
			if partial := a.longestPartial(h.final[job].Spec.Tasks); partial > partialGrace {
				out = append(out, fmt.Sprintf("job %s attempt %d of %d tasks ran partially for %s", job, a.token, h.final[job].Spec.Tasks, partial))
			}
			for _, b := range attempts[:i] {
				if x, y := a.span(), b.span(); x.from.Before(y.to) && y.from.Before(x.to) {
					out = append(out, fmt.Sprintf("job %s ran as attempts %d (%s to %s) and %d (%s to %s) at once", job,
						b.token, clock(y.from), clock(y.to), a.token, clock(x.from), clock(x.to)))
				}
			}
		}
	}
	return out
}

// checkOutcomes compares what callers learn of a job with what the workers saw.
func checkOutcomes(h *history) (out []string) {
	attempts := h.attempts()
	for id, st := range h.final {
		ran := attempts[id]
		if len(ran) > st.Spec.MaxAttempts && !st.Spec.Checkpoint {
			out = append(out, fmt.Sprintf("job %s started %d times, allowed %d", id, len(ran), st.Spec.MaxAttempts))
		}
		if st.Verdict == api.NotRun && len(ran) > 0 {
			out = append(out, fmt.Sprintf("job %s is %s with the verdict not-run and ran %d times", id, st.Phase, len(ran)))
		}
		if st.Phase == api.PhaseDone && !wholeDone(ran, st) {
			out = append(out, fmt.Sprintf("job %s is done with %d results and no attempt finished whole", id, len(st.Results)))
		}
	}
	return out
}

func wholeDone(attempts []*attempt, st api.JobStatus) bool {
	for _, a := range attempts {
		if len(a.done) == st.Spec.Tasks && len(st.Results) == st.Spec.Tasks {
			return true
		}
	}
	return false
}

func checkAcceptedJobs(h *history) (out []string) {
	ids := map[string]string{}
	for _, s := range h.jobs {
		if s.id == "" {
			continue
		}
		if st, ok := h.final[s.id]; !ok {
			out = append(out, fmt.Sprintf("job %s was accepted and is not known", s.id))
		} else if !st.Phase.Ended() {
			out = append(out, fmt.Sprintf("job %s is still %s: %s", s.id, st.Phase, st.Reason))
		}
		if other := ids[s.key]; other != "" && other != s.id {
			out = append(out, fmt.Sprintf("key %s made jobs %s and %s", s.key, other, s.id))
		}
		ids[s.key] = s.id
	}
	return out
}

// outWindows returns when each zone was surely out for longer than the grace:
// from the answer to the operator who took it out until the next call that may
// have taken it back in.
func (h *history) outWindows() map[string][]window {
	ops := map[string][]registerOp{}
	for _, op := range h.ops {
		if op.write && op.outcome != refused {
			ops[op.register] = append(ops[op.register], op)
		}
	}
	out := map[string][]window{}
	for register, writes := range ops {
		for _, w := range writes {
			if w.value != valueOut || w.outcome != accepted {
				continue
			}
			until := h.end
			for _, x := range writes {
				if x.value == valueIn && x.end.After(w.start) && x.start.Before(until) {
					until = x.start
				}
			}
			if from := w.end.Add(startGrace); from.Before(until) {
				out[register] = append(out[register], window{from, until})
			}
		}
	}
	return out
}

func checkZones(h *history) (out []string) {
	closed := h.outWindows()
	late := func(vm string, at time.Time, what string) {
		for _, w := range closed[zoneRegister(h.zoneOf[vm])] {
			if at.After(w.from) && at.Before(w.to) {
				out = append(out, fmt.Sprintf("%s started on %s at %s, %s after the grace", what, vm, clock(at), at.Sub(w.from)))
			}
		}
	}
	for _, e := range h.events {
		if e.Phase == backend.TaskRunning {
			late(e.Worker, e.At, fmt.Sprintf("task %v", e.Task))
		}
	}
	for _, e := range h.executions {
		late(e.Upstream, e.At, "request "+e.Body)
	}
	return out
}

func checkLeaving(h *history) (out []string) {
	for _, e := range h.executions {
		at, ok := h.leaving[e.Upstream]
		if !ok {
			continue
		}
		for _, w := range h.listDown {
			// The list shows nothing while it is down.
			if at.Before(w.to) && w.from.Before(at.Add(startGrace)) {
				at = w.to
			}
		}
		if e.At.After(at.Add(startGrace)) {
			out = append(out, fmt.Sprintf("request %s started on %s, listed as leaving for %s", e.Body, e.Upstream, e.At.Sub(at)))
		}
	}
	return out
}
