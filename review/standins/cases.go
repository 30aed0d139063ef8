package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCut cuts the only executor of kind b off from the system's machines for 5.5 s while
// it runs a task. It runs on, and is then as before. The job must run again.
func playCut(s *site, trouble bool) (bool, error) {
	const cutTime = 5500 * time.Millisecond
	if err := begin(s, "aaaaaab", 3, 1); err != nil {
		return false, err
	}
	target := s.executors[6]
	const id = "00000000000000c1"
	s.setWork(id, 0, 12*time.Second, 0)
	if !s.submit(id, job{Spec: "cut", Steps: []step{{Count: 1, Cpu: 4000, MemMb: 1000, Gpu: 1, EstMs: 12000, RequiredLabel: "b"}}}) {
		return false, fmt.Errorf("%w: no job accepted", errSetup)
	}
	atWork := func() bool {
		target.mu.Lock()
		defer target.mu.Unlock()
		return len(target.runs) > 0
	}
	for cuts := 0; trouble && cuts < 3; cuts++ {
		if !waitFor(4*time.Second, atWork) {
			if cuts == 0 {
				return false, fmt.Errorf("%w: the task was not started", errSetup)
			}
			break
		}
		time.Sleep(2 * time.Second)
		// The cut begins just before the answer to a hold.
		if !waitFor(3*time.Second, func() bool {
			target.mu.Lock()
			defer target.mu.Unlock()
			age := time.Since(target.lastLongHoldAt)
			return age > 965*time.Millisecond && age < 990*time.Millisecond
		}) {
			return false, fmt.Errorf("%w: no hold was waiting", errSetup)
		}
		target.cutOff(cutTime)
	}
	// The job must be at work again, or done, within finish_s and the task's own time.
	const patience = 30 * time.Second
	var idleSince time.Time
	longest := time.Duration(0)
	completed := false
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(500 * time.Millisecond) {
		if completed = s.state(id) == "completed"; completed {
			break
		}
		if atWork() {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		} else {
			longest = max(longest, time.Since(idleSince))
		}
	}
	s.rec.log("the executor is up, in touch and has nothing to do; the job: completed %v, without a run for at most %v", completed, longest.Round(100*time.Millisecond))
	return !completed && longest > 14*time.Second, nil
}

// playCrash submits a job whose task crashes each executor that starts it, three seconds
// after the start. The task must be given up.
func playCrash(s *site, trouble bool) (bool, error) {
	const (
		deadly    = "00000000000000d1"
		bystander = "00000000000000d2"
	)
	if err := begin(s, "aaaaaaaa", 3, 1); err != nil {
		return false, err
	}
	s.setWork(bystander, 0, 300*time.Second, 0)
	if !s.submit(bystander, job{Spec: "bystander", Steps: []step{{Count: 8, Cpu: 4000, MemMb: 1000, Gpu: 1, EstMs: 300000, MaxPerServer: 1}}}) {
		return false, fmt.Errorf("%w: no job accepted", errSetup)
	}
	time.Sleep(3 * time.Second)
	crash := time.Duration(0)
	if trouble {
		crash = 3 * time.Second
	}
	s.setWork(deadly, 0, 8*time.Second, crash)
	if !s.submit(deadly, job{Spec: "deadly", Steps: []step{{Count: 1, Cpu: 4000, MemMb: 1000, Gpu: 1, EstMs: 8000}}}) {
		return false, fmt.Errorf("%w: no job accepted", errSetup)
	}
	late := 0
	for begun := time.Now(); time.Since(begun) < 90*time.Second; time.Sleep(time.Second) {
		late = 0
		for _, st := range s.rec.startsOf(deadly + ".0.0.0") {
			if st.crashesBefore >= 3 {
				late++
			}
		}
		if late >= 3 {
			break
		}
		if state := s.state(deadly); state == "failed" || state == "completed" {
			break
		}
	}
	s.rec.log("the task was started %d times after three executors had crashed under it", late)
	return late >= 3, nil
}

// playLarge submits a job of five occurrences with many short tasks, and then gangs. All
// must run.
func playLarge(s *site, trouble bool) (bool, error) {
	const (
		large = "00000000000000e0"
		gangs = 3
	)
	if err := begin(s, "aaaaaaaaaaaaaaaaaaaaaaaa", 3, 1); err != nil {
		return false, err
	}
	s.store.tooLarge = func(topic, key string, size int) {
		s.rec.log("store: append to %s refused: the record %s has %d bytes, the limit is %d", topic, key, size, recordBytes)
	}
	count := 40
	if trouble {
		count = 19000
	}
	s.setWork(large, 0, 90*time.Second, 0)
	s.setWork(large, 1, 200*time.Millisecond, 0)
	if !s.submit(large, job{Spec: "large", Times: 5, StartAtMs: time.Now().UnixMilli(), IntervalMs: 1000,
		Steps: []step{{Count: 24, Cpu: 2000, MemMb: 1000, EstMs: 90000, MaxPerServer: 1}, {Count: count, Cpu: 2000, MemMb: 500, EstMs: 200, DependsOn: []int{0}}}}) {
		return false, fmt.Errorf("%w: the large job was not accepted", errSetup)
	}
	time.Sleep(6 * time.Second)
	// Each gang takes half of the accelerators, for two seconds.
	id := func(n int) string { return fmt.Sprintf("00000000000000e%d", n+1) }
	accepted := make([]time.Time, gangs)
	for n := range gangs {
		s.setWork(id(n), 0, 2*time.Second, 0)
		if !s.submit(id(n), job{Spec: "gang", Steps: []step{{Count: 12, Cpu: 8000, MemMb: 8000, Gpu: 8, EstMs: 2000, Gang: true}}}) {
			return false, fmt.Errorf("%w: no job accepted", errSetup)
		}
		accepted[n] = time.Now()
	}
	// finish_s after the last submission, and three seconds more.
	time.Sleep(18 * time.Second)
	waiting := 0
	for n := range gangs {
		started, done := s.rec.count(id(n))
		state := s.state(id(n))
		s.rec.log("gang %s, accepted %v ago: state %q, %d of 12 tasks started, %d done", id(n), time.Since(accepted[n]).Round(time.Millisecond), state, started, done)
		if started == 0 {
			waiting++
		}
	}
	used, room := 0, 0
	for _, e := range s.executors {
		e.mu.Lock()
		used += 2000 * len(e.runs)
		room += e.cpu
		e.mu.Unlock()
	}
	started, done := s.rec.count(large)
	s.rec.log("large job: state %q, %d tasks started, %d done; %d of %d thousandths of a core in use on 24 executors, no accelerator", s.state(large), started, done, used, room)
	return waiting > 0, nil
}

// playPending makes one of seven executors reject starts while the others are full, and
// hands in jobs. None of them begins, and a node is asked how many are pending.
func playPending(s *site, trouble bool) (bool, error) {
	const unhealthy = 6500 * time.Millisecond
	if err := begin(s, "aaaaaaa", 3, 2); err != nil {
		return false, err
	}
	const filler = "00000000000000f0"
	s.setWork(filler, 0, 60*time.Second, 0)
	if !s.submit(filler, job{Spec: "filler", Steps: []step{{Count: 6, Cpu: 16000, MemMb: 16000, Gpu: 8, EstMs: 60000, MaxPerServer: 1}}}) {
		return false, fmt.Errorf("%w: no job accepted", errSetup)
	}
	if !waitFor(10*time.Second, func() bool { started, _ := s.rec.count(filler); return started == 6 }) {
		return false, fmt.Errorf("%w: the other executors were not filled", errSetup)
	}
	time.Sleep(time.Second)
	var free *executor
	for _, e := range s.executors {
		e.mu.Lock()
		if len(e.runs) == 0 {
			free = e
		}
		e.mu.Unlock()
	}
	until := time.Now().Add(unhealthy)
	if trouble {
		free.mu.Lock()
		free.unhealthyUntil = until
		free.mu.Unlock()
		s.rec.log("executor %s is unhealthy for %v", free.name, unhealthy)
	}
	const jobs = 8
	id := func(n int) string { return fmt.Sprintf("00000000000001f%d", n) }
	accepted := make([]time.Time, jobs)
	for n := range jobs {
		s.setWork(id(n), 0, 3*time.Second, 0)
		if !s.submit(id(n), job{Spec: "waiting", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 1000, Gpu: 1, EstMs: 3000}}}) {
			return false, fmt.Errorf("%w: no job accepted", errSetup)
		}
		accepted[n] = time.Now()
	}
	broken := false
	for ; time.Now().Before(until); time.Sleep(150 * time.Millisecond) {
		for _, nd := range s.nodes {
			// Jobs accepted over visible_ms + 2 s before that have not begun.
			waiting := 0
			for n := range jobs {
				started, _ := s.rec.count(id(n))
				if started == 0 && time.Since(accepted[n]) > 5*time.Second {
					waiting++
				}
			}
			if waiting == 0 {
				continue
			}
			status, answer := s.call(nd, http.MethodGet, "", nil)
			pending, _ := answer["Pending"].(float64)
			s.rec.log("client: GET %s at %s: %d, Pending %v; %d jobs accepted over 5 s ago have not begun", queuePrefix, nd.name, status, pending, waiting)
			if status == http.StatusOK && 2*int(pending) < waiting {
				broken = true
			}
		}
	}
	for n := range jobs {
		started, _ := s.rec.count(id(n))
		s.rec.log("job %s: state %q, %d tasks started", id(n), s.state(id(n)), started)
	}
	return broken, nil
}

// playReborn cuts idle executors off one after the other, as a rolling restart does: each
// crashes behind the cut and starts again. A job is handed in during the first cut. No
// executor ever receives a start of it during a cut.
func playReborn(s *site, trouble bool) (bool, error) {
	const (
		cutTime  = 4500 * time.Millisecond
		restarts = 3
		id       = "00000000000000b1"
	)
	if err := begin(s, "aaaaaa", 3, 1); err != nil {
		return false, err
	}
	s.setWork(id, 0, 3*time.Second, 0)
	for n := range restarts {
		done := make(chan struct{})
		go func() {
			if trouble {
				s.executors[n].restartBehindCut(cutTime)
			} else {
				time.Sleep(cutTime)
			}
			close(done)
		}()
		if n == 0 {
			time.Sleep(200 * time.Millisecond)
			if !s.submit(id, job{Spec: "reborn", Steps: []step{{Count: 1, Cpu: 4000, MemMb: 1000, Gpu: 1, EstMs: 3000}}}) {
				return false, fmt.Errorf("%w: no job accepted", errSetup)
			}
		}
		<-done
	}
	state := ""
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(500 * time.Millisecond) {
		if state = s.state(id); state == "failed" || state == "completed" {
			break
		}
	}
	starts := s.rec.startsOf(id + ".0.0.0")
	failed := 0
	for _, st := range starts {
		if st.end == "failed" || st.end == "crashed" {
			failed++
		}
	}
	s.rec.log("the job is shown as %q; executors began its task %d times, of which %d ended failed or with a crash of the executor", state, len(starts), failed)
	return state == "failed" && failed < 2, nil
}

// playEnds cuts an executor off for 4.5 s while 1,200 small tasks end there.
func playEnds(s *site, trouble bool) (bool, error) {
	const (
		cutTime = 4500 * time.Millisecond
		work    = 10 * time.Second
		jobs    = 12
		tasks   = 100
	)
	if err := begin(s, "aaaaaa", 3, 1); err != nil {
		return false, err
	}
	s.rec.quiet = true
	id := func(n int) string { return fmt.Sprintf("0000000000002a%02d", n) }
	var firstAt time.Time
	for n := range jobs {
		s.setWork(id(n), 0, work, 0)
		if !s.submit(id(n), job{Spec: "ends", Steps: []step{{Count: tasks, Cpu: 50, MemMb: 150, EstMs: int(work.Milliseconds())}}}) {
			return false, fmt.Errorf("%w: no job accepted", errSetup)
		}
		if n == 0 {
			firstAt = time.Now()
		}
		// Without the cut, the ends of one job only come together.
		time.Sleep(150 * time.Millisecond)
		if !waitFor(3*time.Second, func() bool { started, _ := s.rec.count(id(n)); return started == tasks }) {
			return false, fmt.Errorf("%w: not all tasks were started", errSetup)
		}
	}
	var busiest *executor
	most := 0
	for _, e := range s.executors {
		e.mu.Lock()
		s.rec.log("executor %s has %d runs", e.name, len(e.runs))
		if len(e.runs) > most {
			busiest, most = e, len(e.runs)
		}
		e.mu.Unlock()
	}
	if most < jobs*tasks {
		return false, fmt.Errorf("%w: the tasks are on several executors", errSetup)
	}
	if trouble {
		time.Sleep(time.Until(firstAt.Add(work - 2*time.Second)))
		// The cut begins just after a hold has arrived, so that no lease lapses.
		waitFor(2*time.Second, func() bool {
			busiest.mu.Lock()
			defer busiest.mu.Unlock()
			return time.Since(busiest.lastLongHoldAt) < 50*time.Millisecond
		})
		busiest.cutOff(cutTime)
	}
	waitFor(20*time.Second, func() bool {
		done := 0
		for n := range jobs {
			_, d := s.rec.count(id(n))
			done += d
		}
		return done == jobs*tasks
	})
	time.Sleep(12 * time.Second)
	for n := range jobs {
		started, done := s.rec.count(id(n))
		s.rec.log("job %s: state %q, %d tasks started, %d done", id(n), s.state(id(n)), started, done)
	}
	return s.rec.restartsAfterDone() > 0, nil
}

// playRack runs two tasks that last on the two executors of the rack with their data, and
// takes one of the executors away. All other executors are empty.
func playRack(s *site, trouble bool) (bool, error) {
	const (
		id    = "00000000000003a1"
		watch = 40 * time.Second
	)
	if err := begin(s, "aaaaaaaaaaaaaa", 3, 1); err != nil {
		return false, err
	}
	rack := s.executors[0].rack
	s.setWork(id, 0, time.Hour, 0)
	if !s.submit(id, job{Spec: "lasting", Steps: []step{{Count: 2, Cpu: 8000, MemMb: 8000, Gpu: 8, EstMs: 1000, DataRack: rack, LongRunning: true}}}) {
		return false, fmt.Errorf("%w: no job accepted", errSetup)
	}
	if !waitFor(10*time.Second, func() bool { started, _ := s.rec.count(id); return started == 2 }) {
		return false, fmt.Errorf("%w: the tasks were not started", errSetup)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.executors[0].leave(3 * time.Second)
	}
	// running returns how many executors run each task of the job.
	running := func(task string) bool {
		for _, e := range s.executors {
			e.mu.Lock()
			_, found := e.runs[task]
			e.mu.Unlock()
			if found {
				return true
			}
		}
		return false
	}
	var missing [2]time.Duration
	var since [2]time.Time
	for begun := time.Now(); time.Since(begun) < watch; time.Sleep(200 * time.Millisecond) {
		for i := range since {
			if running(fmt.Sprintf("%s.0.0.%d", id, i)) {
				since[i] = time.Time{}
			} else if since[i].IsZero() {
				since[i] = time.Now()
			} else {
				missing[i] = max(missing[i], time.Since(since[i]))
			}
		}
	}
	for _, e := range s.executors {
		e.mu.Lock()
		s.rec.log("executor %s in rack %s: up %v, %d runs", e.name, e.rack, e.up, len(e.runs))
		e.mu.Unlock()
	}
	s.rec.log("the job: state %q; its tasks were without a run for at most %v and %v on end", s.state(id), missing[0].Round(100*time.Millisecond), missing[1].Round(100*time.Millisecond))
	// Three seconds on end count from six seconds after a task's last run.
	return max(missing[0], missing[1]) > 9*time.Second, nil
}
