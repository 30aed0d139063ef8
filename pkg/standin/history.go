package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

// History records task runs as the workers see them. Its Observe method is the
// observer of all workers of a site. Tests check invariants against it, independently
// of the nodes' state.
type History struct {
	mu    sync.Mutex
	tasks map[backend.TaskID]*TaskRun
}

// TaskRun is the run of one task on its worker.
type TaskRun struct {
	Task   backend.TaskID
	Worker string
	// Started and Ended are zero if the task did not start or has not ended.
	Started, Ended time.Time
	// Done reports whether the task finished its work.
	Done bool
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{tasks: map[backend.TaskID]*TaskRun{}} }

// Observe records one change of a task.
func (h *History) Observe(e TaskEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.tasks[e.Task]
	if r == nil {
		r = &TaskRun{Task: e.Task, Worker: e.Worker}
		h.tasks[e.Task] = r
	}
	switch e.Phase {
	case backend.TaskRunning:
		r.Started = e.At
	case backend.TaskDone, backend.TaskFailed, backend.TaskStopped:
		r.Ended, r.Done = e.At, e.Phase == backend.TaskDone
	}
}

// Runs returns the runs that started, ordered by start time.
func (h *History) Runs() []TaskRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []TaskRun
	for _, r := range h.tasks {
		if !r.Started.IsZero() {
			out = append(out, *r)
		}
	}
	slices.SortFunc(out, func(a, b TaskRun) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.Task.Token, b.Task.Token), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// Attempts returns the tokens of a job's attempts that started a task, ordered by
// first start.
func (h *History) Attempts(job string) []int64 {
	var out []int64
	for _, r := range h.Runs() {
		if r.Task.Job == job && !slices.Contains(out, r.Task.Token) {
			out = append(out, r.Task.Token)
		}
	}
	return out
}

// JobsWithOverlappingAttempts returns the jobs of which tasks of two attempts ran at
// the same time, up to now.
func (h *History) JobsWithOverlappingAttempts(now time.Time) []string {
	var out []string
	byJob := map[string][]TaskRun{}
	for _, r := range h.Runs() {
		for _, o := range byJob[r.Task.Job] {
			if o.Task.Token != r.Task.Token && o.endOrNow(now).After(r.Started) && !slices.Contains(out, r.Task.Job) {
				out = append(out, r.Task.Job)
			}
		}
		byJob[r.Task.Job] = append(byJob[r.Task.Job], r)
	}
	return out
}

// endOrNow returns the end of the run, or now if it has not ended.
func (r *TaskRun) endOrNow(now time.Time) time.Time {
	if r.Ended.IsZero() {
		return now
	}
	return r.Ended
}

// LongestPartialGang returns the longest time for which an attempt ran some of its
// tasks while another one was neither running nor done. tasks returns the gang size
// of a job.
func (h *History) LongestPartialGang(tasks func(job string) int, now time.Time) time.Duration {
	attempts := map[int64][]TaskRun{}
	for _, r := range h.Runs() {
		attempts[r.Task.Token] = append(attempts[r.Task.Token], r)
	}
	var longest time.Duration
	for _, runs := range attempts {
		longest = max(longest, longestPartial(runs, tasks(runs[0].Task.Job), now))
	}
	return longest
}

// longestPartial returns the longest time for which some but not all tasks of one
// attempt were running or done, and at least one was running.
func longestPartial(runs []TaskRun, size int, now time.Time) time.Duration {
	var changes []time.Time
	for _, r := range runs {
		changes = append(changes, r.Started, r.endOrNow(now))
	}
	slices.SortFunc(changes, time.Time.Compare)
	var longest, current time.Duration
	for i := 1; i < len(changes); i++ {
		if partialAt(runs, size, changes[i-1], now) {
			current += changes[i].Sub(changes[i-1])
			longest = max(longest, current)
		} else if changes[i].After(changes[i-1]) {
			current = 0
		}
	}
	return longest
}

// partialAt reports whether some but not all of the size tasks of an attempt were
// running or done at a time, and at least one was running.
func partialAt(runs []TaskRun, size int, at, now time.Time) bool {
	running, runningOrDone := 0, 0
	for _, r := range runs {
		isRunning := !r.Started.After(at) && r.endOrNow(now).After(at)
		isDone := r.Done && !r.Ended.After(at)
		if isRunning {
			running++
		}
		if isRunning || isDone {
			runningOrDone++
		}
	}
	return running > 0 && runningOrDone < size
}
