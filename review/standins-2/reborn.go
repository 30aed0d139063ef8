package main

import (
	"syscall"
	"time"
)

// rebornExecutor: an executor crashes behind a cut and starts again under its id. Soon after
// the cut has healed it gets a task; later the leading node is killed.
func rebornExecutor(s *site) {
	const (
		other   = "00000000000000cc"
		job     = "00000000000000bb"
		first   = job + ".0.0.0"
		second  = job + ".0.1.0"
		forever = 60 * time.Second
	)
	s.behave = func(string) (time.Duration, time.Duration) { return forever, 0 }
	// With these, the executor that is cut off is one of six.
	for i, zone := range []string{"howrah", "howrah", "salt-lake", "barasat"} {
		newExecutor(s, "i-"+string(rune('g'+i)), zone, "a", "r1-"+string(rune('1'+i/2)))
	}
	one := newExecutor(s, "i-e", "barasat", "b", "r1-3")
	two := newExecutor(s, "i-f", "salt-lake", "b", "r1-4")
	s.start()
	b := step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: 60000, RequiredLabel: "b"}
	s.submit("/appraise/", other, "other", b)
	s.await("the other job's task runs", 10*time.Second, func() bool { return len(s.runsOf(other)) == 1 })
	idle, busy := one, two
	if s.runsOf(other)[0].executor == one.id {
		idle, busy = two, one
	}
	s.note("executor %s is idle", idle.id)
	second2 := b
	second2.DependsOn = []int{0}
	s.submit("/appraise/", job, "two steps", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: 60000, RequiredLabel: "a"}, second2)
	s.await("the job's first step runs", 10*time.Second, func() bool { return len(s.runsOf(job)) == 1 })
	s.restartBehindCut(idle)
	time.Sleep(200 * time.Millisecond)
	s.finishTask(first)
	s.await("the job's second step runs", 10*time.Second, func() bool { return len(s.runsOf(job)) >= 2 })
	if at := s.runsOf(job)[1].executor; at != idle.id {
		s.cannotRun("the second step runs on executor %s", at)
	}
	s.finishTask(other + ".0.0.0")
	time.Sleep(200 * time.Millisecond)
	s.note("executor %s is free", busy.id)
	if s.trouble {
		leader := s.leader()
		if leader == nil {
			s.cannotRun("no node leads")
		}
		leader.signal(syscall.SIGKILL)
	}
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(20 * time.Millisecond) {
		var runs []runRecord
		for _, r := range s.runsOf(job) {
			if r.task == second {
				runs = append(runs, r)
			}
		}
		for i, r := range runs {
			for _, later := range runs[i+1:] {
				if r.ended.IsZero() || r.ended.After(later.began) {
					time.Sleep(time.Second)
					s.breaks("two runs of task %s at the same time: run %d on %s and run %d on %s", second, r.number, r.executor, later.number, later.executor)
					return
				}
			}
		}
	}
}

const (
	// idleConnection is longer than the nodes keep idle connections to executors.
	idleConnection = 23 * time.Second
	cutFor         = 2 * time.Second
)

// restartBehindCut cuts an idle executor off, which crashes and starts again meanwhile; the
// cut is healed when it returns.
func (s *site) restartBehindCut(idle *executor) {
	// By now the leader has no connection to the idle executor any more.
	time.Sleep(idleConnection)
	s.await("the idle executor has just written its entry", 3*time.Second, func() bool {
		idle.mu.Lock()
		defer idle.mu.Unlock()
		return time.Since(idle.lastPut) < 60*time.Millisecond
	})
	if s.trouble {
		idle.mu.Lock()
		idle.cut = true
		idle.mu.Unlock()
		s.note("executor %s is cut off from all machines", idle.id)
		time.Sleep(cutFor - 100*time.Millisecond)
		idle.crash()
		idle.boot()
		idle.mu.Lock()
		// Its first entry was tried behind the cut; the next one follows a heartbeat later.
		idle.lastPut = time.Now()
		idle.mu.Unlock()
		s.note("executor %s has crashed behind the cut and started again, born %d", idle.id, idle.born)
		time.Sleep(100 * time.Millisecond)
		idle.mu.Lock()
		idle.cut = false
		idle.mu.Unlock()
		s.note("the cut has healed")
	}
}

// finishTask makes a running task end done now.
func (s *site) finishTask(task string) {
	for _, e := range s.executors {
		e.mu.Lock()
		if r := e.runs[task]; r != nil {
			r.takes = time.Since(r.began)
		}
		e.mu.Unlock()
	}
}

func init() { cases["reborn"] = rebornExecutor }
