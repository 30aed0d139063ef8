package main

import (
	"fmt"
	"time"
)

// hopelessJobs: eight jobs come that fit on no executor. An executor leaves on which another
// job's lasting task runs; bulk work fills the others.
func hopelessJobs(s *site) {
	const (
		bulk     = "00000000000000cc"
		lasting  = "00000000000000ee"
		takes    = 90 * time.Second
		estimate = 8500
		// One of 14 executors that leaves is a share of 0.071.
		executors = 14
		rest      = 6 * time.Second
		watch     = 20 * time.Second
	)
	s.behave = func(task string) (time.Duration, time.Duration) {
		if job := jobOf(task); job != bulk && job != lasting {
			return estimate * time.Millisecond, 0
		}
		return takes, 0
	}
	for i := range executors {
		newExecutor(s, "i-"+string(rune('a'+i)), []string{"howrah", "salt-lake", "barasat"}[i%3], "a", "r1-"+string(rune('1'+i%3)))
	}
	s.start()
	// Eight hopeless jobs of 160: a share of 0.05.
	for i := range 152 {
		s.submit("/appraise/", fmt.Sprintf("%016x", 0x1000+i), "usual", step{Count: 1, Cpu: 2000, MemMb: 1000, EstMs: estimate})
	}
	if s.trouble {
		for i := range 8 {
			s.submit("/appraise/", fmt.Sprintf("%016x", 0x2000+i), "hopeless", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 9, EstMs: estimate, LongRunning: true})
		}
	}
	s.await("the usual jobs' tasks have ended", 30*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		done := 0
		for _, r := range s.runs {
			if r.how == "done" {
				done++
			}
		}
		return done == 152
	})
	s.submit("/appraise/", lasting, "lasting", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 2, EstMs: estimate, LongRunning: true})
	s.await("the lasting task runs", 10*time.Second, func() bool { return len(s.runsOf(lasting)) == 1 })
	s.submit("/grade/", bulk, "bulk work on all other executors", step{Count: executors - 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: int(takes.Milliseconds())})
	s.await("the bulk work runs", 10*time.Second, func() bool { return len(s.runsOf(bulk)) == executors-1 })
	time.Sleep(2 * time.Second)
	for _, e := range s.executors {
		if e.id == s.runsOf(lasting)[0].executor {
			e.leave()
		}
	}
	time.Sleep(rest)
	s.note("6 s after the lasting task's last run; from here on it is watched")
	idleSince := time.Now()
	for began := time.Now(); time.Since(began) < watch; time.Sleep(20 * time.Millisecond) {
		for _, r := range s.runsOf(lasting) {
			if r.ended.IsZero() {
				idleSince = time.Now()
			}
		}
		if time.Since(idleSince) > 3*time.Second && len(s.broken) == 0 {
			s.breaks("for 3 s, from 6 s after its last run, the accepted job's lasting task does not run")
		}
	}
	s.note("runs of the lasting task so far: %d; its job is shown as %s", len(s.runsOf(lasting)), s.state(s.nodes[0], "/appraise/", lasting))
}

func init() { cases["hopeless"] = hopelessJobs }
