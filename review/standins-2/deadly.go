package main

import "time"

// deadlyTask: a task crashes each executor that starts it, after 3 s of work.
func deadlyTask(s *site) {
	const (
		deadly     = "00000000000000dd"
		crashAfter = 3 * time.Second
		takes      = 10 * time.Second
		maxCrashes = 3
		maxStarts  = 3
	)
	s.crashDown = 3 * time.Second
	s.behave = func(task string) (time.Duration, time.Duration) {
		if s.trouble {
			return takes, crashAfter
		}
		return takes, 0
	}
	for i := range 6 {
		newExecutor(s, "i-"+string(rune('a'+i)), []string{"howrah", "salt-lake", "barasat"}[i%3], "a", "r1-"+string(rune('1'+i/3)))
	}
	s.start()
	s.submit("/appraise/", deadly, "deadly", step{Count: 1, Cpu: 26000, MemMb: 140000, Gpu: 2, EstMs: int(takes.Milliseconds())})
	askedAt := time.Now()
	for began := time.Now(); time.Since(began) < 95*time.Second; time.Sleep(50 * time.Millisecond) {
		crashes, startsAfter := 0, 0
		for _, r := range s.runsOf(deadly) {
			if crashes >= maxCrashes {
				startsAfter++
			}
			if r.how == "crash" {
				crashes++
			}
			if r.how == "done" {
				s.note("the task has ended done")
				return
			}
		}
		if startsAfter >= maxStarts {
			s.breaks("the task was started %d more times after %d executors had crashed under it", startsAfter, maxCrashes)
			s.note("the job is shown as %s", s.state(s.nodes[1], "/appraise/", deadly))
			return
		}
		if crashes < maxCrashes || time.Since(askedAt) < time.Second {
			continue
		}
		askedAt = time.Now()
		if s.state(s.nodes[0], "/appraise/", deadly) == "failed" {
			s.note("the job was given up after %d crashes", crashes)
			return
		}
	}
	s.note("the job is shown as %s", s.state(s.nodes[1], "/appraise/", deadly))
}

func init() { cases["deadly"] = deadlyTask }
