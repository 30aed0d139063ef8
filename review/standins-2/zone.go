package main

import (
	"syscall"
	"time"
)

// zoneLoss: a zone loses power for a second, just after a task has started there.
func zoneLoss(s *site) {
	const (
		small  = "00000000000000cc"
		job    = "00000000000000ee"
		long   = 60 * time.Second
		finish = 14 * time.Second
		watch  = 20 * time.Second
		dark   = time.Second
	)
	s.behave = func(string) (time.Duration, time.Duration) { return long, 0 }
	zones := []string{"howrah", "salt-lake", "barasat"}
	for i := range 6 {
		newExecutor(s, "i-"+string(rune('a'+i)), zones[i/2], "a", "r1-"+string(rune('1'+i/2)))
	}
	s.start()
	s.submit("/grade/", small, "one small task on each of four executors", step{Count: 4, Cpu: 7500, MemMb: 31000, Gpu: 1, EstMs: int(long.Milliseconds()), MaxPerServer: 1})
	s.await("the four small tasks run", 10*time.Second, func() bool { return len(s.runsOf(small)) == 4 })
	used := map[string]bool{}
	for _, r := range s.runsOf(small) {
		used[r.executor] = true
	}
	// More than crashWindow of the code, and any other figure that it might have for new runs.
	time.Sleep(4 * time.Second)
	s.submit("/appraise/", job, "a task for a whole executor", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: int(long.Milliseconds())})
	s.note("end of the traffic")
	ended := time.Now()
	s.await("the large task runs", 10*time.Second, func() bool { return len(s.runsOf(job)) == 1 })
	if s.trouble {
		time.Sleep(500 * time.Millisecond)
		var zone string
		for _, e := range s.executors {
			if e.id == s.runsOf(job)[0].executor {
				zone = e.zone
			}
		}
		var lost []*executor
		for _, e := range s.executors {
			if e.zone == zone {
				if used[e.id] {
					s.cannotRun("a small task runs in zone %s", zone)
				}
				lost = append(lost, e)
			}
		}
		s.note("zone %s loses power", zone)
		for _, e := range lost {
			e.crash()
		}
		for _, n := range s.nodes {
			if n.zone == zone {
				n.signal(syscall.SIGKILL)
				_ = n.cmd.Wait()
			}
		}
		time.Sleep(dark)
		for _, e := range lost {
			e.boot()
			e.mu.Lock()
			e.lastPut = time.Now()
			e.put()
			e.mu.Unlock()
			s.note("executor %s is back with its id, born %d", e.id, e.born)
		}
		for _, n := range s.nodes {
			if n.zone == zone {
				n.start()
			}
		}
	}
	time.Sleep(time.Until(ended.Add(finish)))
	s.note("finish_s after the end of the traffic; from here on the job is watched")
	idleSince := time.Now()
	for began := time.Now(); time.Since(began) < watch; time.Sleep(20 * time.Millisecond) {
		room, underHalf := s.capacity(8, func(task string) int {
			if jobOf(task) == job {
				return 8
			}
			return 1
		})
		if room < 2 || !underHalf {
			idleSince = time.Now()
		}
		for _, r := range s.runsOf(job) {
			if r.ended.IsZero() {
				idleSince = time.Now()
			}
		}
		if time.Since(idleSince) > 3*time.Second {
			s.breaks("for 3 s the accepted job has nothing running, though its task's turn has come, %d executors have room for it, and under half of the capacity is in use", room)
			break
		}
	}
	s.note("the job is shown as %s", s.state(s.nodes[0], "/appraise/", job))
	if len(s.broken) == 0 {
		return
	}
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(100 * time.Millisecond) {
		if runs := s.runsOf(job); len(runs) > 1 {
			s.note("the job's task runs again %.1f s after the loss of power", runs[1].began.Sub(runs[0].ended).Seconds())
			return
		}
	}
}

func init() { cases["zone"] = zoneLoss }
