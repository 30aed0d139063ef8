package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
	// quiet leaves out the lines of starts and ends.
	quiet   bool
	starts  map[string][]start
	crashes map[string]int
}

// start is one start of a task.
type start struct {
	at       time.Time
	executor string
	number   int64
	// crashesBefore is how many executors had crashed under the task before.
	crashesBefore int
	end           string
	endAt         time.Time
	// noted means that the end was taken note of, with no lapse of the lease before.
	noted bool
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, since: time.Now(), starts: map[string][]start{}, crashes: map[string]int{}}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) started(e *executor, run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[run.task] = append(r.starts[run.task], start{at: time.Now(), executor: e.name, number: run.number, crashesBefore: r.crashes[run.task]})
	if !r.quiet {
		r.write("start of %s run %d on %s", run.task, run.number, e.name)
	}
}

func (r *recorder) ended(e *executor, run *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setEnd(run.task, run.number, how)
	if !r.quiet {
		r.write("end of %s run %d on %s: %s", run.task, run.number, e.name, how)
	}
}

func (r *recorder) setEnd(task string, number int64, how string) {
	for i := range r.starts[task] {
		if s := &r.starts[task][i]; s.number == number && s.end == "" {
			s.end, s.endAt = how, time.Now()
		}
	}
}

// noted records that SeenUpto has reached a run's end.
func (r *recorder) noted(task string, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.starts[task] {
		if s := &r.starts[task][i]; s.number == number {
			s.noted = true
		}
	}
}

func (r *recorder) crashed(e *executor, cause *run, lost []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[cause.task]++
	r.write("executor %s crashes under %s run %d, %v after its start; with it end the runs of %v", e.name, cause.task, cause.number, time.Since(cause.begun).Round(time.Millisecond), lost)
	for _, task := range lost {
		for _, s := range r.starts[task] {
			if s.executor == e.name && s.end == "" {
				r.setEnd(task, s.number, "crashed")
			}
		}
	}
}

// startsOf returns the starts of a task.
func (r *recorder) startsOf(task string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]start(nil), r.starts[task]...)
}

// count returns how many tasks of a job have started, and how many have ended done.
func (r *recorder) count(job string) (started, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, starts := range r.starts {
		if len(task) < len(job) || task[:len(job)] != job {
			continue
		}
		started++
		for _, s := range starts {
			if s.end == "done" {
				done++
				break
			}
		}
	}
	return started, done
}

// restartsAfterDone returns how many starts came after a run of the same task had ended
// done, where that end was taken note of, and records some of them.
func (r *recorder) restartsAfterDone() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, starts := range r.starts {
		var doneAt time.Time
		for _, s := range starts {
			if !doneAt.IsZero() && s.at.After(doneAt) {
				if n++; n <= 20 {
					r.write("%s: run %d on %s started %v after an earlier run had ended done, which was taken note of", task, s.number, s.executor, s.at.Sub(doneAt).Round(time.Millisecond))
				}
			}
			if s.end == "done" && s.noted && doneAt.IsZero() {
				doneAt = s.endAt
			}
		}
	}
	r.write("%d starts came after a run of the same task had ended done", n)
	return n
}
