package main

import "time"

// seenEnd: as rebornExecutor, but no node is killed; the executor's answer that first lists
// the end of the task is lost.
func seenEnd(s *site) {
	const (
		other  = "00000000000000cc"
		job    = "00000000000000bb"
		first  = job + ".0.0.0"
		second = job + ".0.1.0"
		long   = 60 * time.Second
		short  = 600 * time.Millisecond
	)
	earlier := []string{"0000000000000001", "0000000000000002"}
	s.behave = func(task string) (time.Duration, time.Duration) {
		if task == first || jobOf(task) == other {
			return long, 0
		}
		return short, 0
	}
	// With these, the executor that is cut off is one of six.
	for i, zone := range []string{"howrah", "howrah", "salt-lake", "barasat"} {
		newExecutor(s, "i-"+string(rune('g'+i)), zone, "a", "r1-"+string(rune('1'+i/2)))
	}
	one := newExecutor(s, "i-e", "barasat", "b", "r1-3")
	two := newExecutor(s, "i-f", "salt-lake", "b", "r1-4")
	s.start()
	b := step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: 600, RequiredLabel: "b"}
	for _, id := range earlier {
		s.submit("/appraise/", id, "earlier", b)
	}
	for _, id := range earlier {
		s.await("an earlier job's task has ended", 10*time.Second, func() bool {
			runs := s.runsOf(id)
			return len(runs) == 1 && runs[0].how == "done"
		})
	}
	if s.runsOf(earlier[0])[0].executor == s.runsOf(earlier[1])[0].executor {
		s.cannotRun("both earlier jobs ran on one executor")
	}
	time.Sleep(time.Second)
	bLong := b
	bLong.EstMs = int(long.Milliseconds())
	s.submit("/appraise/", other, "other", bLong)
	s.await("the other job's task runs", 10*time.Second, func() bool { return len(s.runsOf(other)) == 1 })
	idle := one
	if s.runsOf(other)[0].executor == one.id {
		idle = two
	}
	s.note("executor %s is idle", idle.id)
	b.DependsOn = []int{0}
	s.submit("/appraise/", job, "two steps", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: int(long.Milliseconds()), RequiredLabel: "a"}, b)
	s.await("the job's first step runs", 10*time.Second, func() bool { return len(s.runsOf(job)) == 1 })
	s.restartBehindCut(idle)
	if s.trouble {
		idle.mu.Lock()
		idle.loseEnd = true
		idle.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	s.finishTask(first)
	s.await("the job's second step runs", 10*time.Second, func() bool { return len(s.runsOf(job)) >= 2 })
	if at := s.runsOf(job)[1].executor; at != idle.id {
		s.cannotRun("the second step runs on executor %s", at)
	}
	s.finishTask(other + ".0.0.0")
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(20 * time.Millisecond) {
		done := time.Time{}
		for _, r := range s.runsOf(job) {
			if r.task != second {
				continue
			}
			if !done.IsZero() && r.began.After(done) {
				s.breaks("run %d of task %s was started on %s, %.1f s after a run of it had ended done; SeenUpto has reached that end, and no lease lapsed in between", r.number, second, r.executor, r.began.Sub(done).Seconds())
				idle.mu.Lock()
				s.note("executor %s has carried out or refused %d orders in this case; the answer to one was lost", idle.id, idle.requests)
				idle.mu.Unlock()
				time.Sleep(time.Second)
				s.note("the job is shown as %s", s.state(s.nodes[1], "/appraise/", job))
				return
			}
			if r.how == "done" && r.noted {
				done = r.ended
			}
		}
	}
	s.note("the job is shown as %s", s.state(s.nodes[1], "/appraise/", job))
}

func init() { cases["seen"] = seenEnd }
