package main

import (
	"fmt"
	"time"
)

// longTasks: tasks of one job take 60 times as long as those of the other jobs of its queue,
// as its own estimate says.
func longTasks(s *site) {
	const (
		usual    = 2500 * time.Millisecond
		factor   = 60
		long     = "00000000000000aa"
		finish   = 14 * time.Second
		watch    = 50 * time.Second
		maxIdle  = 3 * time.Second
		capacity = 8
	)
	takes := usual
	if s.trouble {
		takes = factor * usual
	}
	s.behave = func(task string) (time.Duration, time.Duration) {
		if jobOf(task) == long {
			return takes, 0
		}
		return usual, 0
	}
	for i := range capacity {
		newExecutor(s, "i-"+string(rune('a'+i)), []string{"howrah", "salt-lake", "barasat"}[i%3], "a", "r1-"+string(rune('1'+i/4)))
	}
	s.start()
	var short []string
	for i := range 20 {
		id := fmt.Sprintf("%016x", i+1)
		short = append(short, id)
		s.submit("/appraise/", id, "short", step{Count: 1, Cpu: 7500, MemMb: 31000, Gpu: 1, EstMs: int(usual.Milliseconds())})
	}
	s.await("the short jobs are completed", 20*time.Second, func() bool {
		for _, id := range short {
			if s.state(s.nodes[0], "/appraise/", id) != "completed" {
				time.Sleep(300 * time.Millisecond)
				return false
			}
		}
		return true
	})
	s.submit("/appraise/", long, "long", step{Count: 4, Cpu: 26000, MemMb: 140000, Gpu: 8, EstMs: int(takes.Milliseconds())})
	s.note("end of the traffic")
	time.Sleep(finish)
	s.note("finish_s after the end of the traffic; from here on the job is watched")
	idleSince := time.Now()
	reported := false
	for began := time.Now(); time.Since(began) < watch; time.Sleep(20 * time.Millisecond) {
		working, done := 0, 0
		for _, r := range s.runsOf(long) {
			if r.ended.IsZero() {
				working++
			}
			if r.how == "done" {
				done++
			}
		}
		if done == 4 {
			s.note("all tasks of the job have ended done")
			break
		}
		room, underHalf := s.capacity(8, func(task string) int {
			if jobOf(task) == long {
				return 8
			}
			return 1
		})
		if working > 0 || room < 2*4 || !underHalf {
			if reported {
				s.note("the job has a run again after %.1f s", time.Since(idleSince).Seconds())
			}
			idleSince, reported = time.Now(), false
			continue
		}
		if !reported && time.Since(idleSince) > maxIdle {
			reported = true
			s.breaks("for 3 s the accepted job has nothing running, though its tasks' turn has come, %d executors have room for one of its 4 tasks each, and under half of the capacity is in use", room)
		}
	}
	s.note("the job is shown as %s", s.state(s.nodes[1], "/appraise/", long))
	runs := s.runsOf(long)
	how := map[string]int{}
	for _, r := range runs {
		how[r.how]++
	}
	s.note("runs of the job's 4 tasks: %d, ends: %v", len(runs), how)
}

func init() { cases["long"] = longTasks }
