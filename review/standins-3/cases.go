//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["foreign-entry"] = foreignEntry
	cases["deadly"] = deadly
	cases["never-begun"] = neverBegun
	cases["late-start"] = lateStart
	cases["large-job"] = largeJob
}

// foreignEntry has another writer put entries in place of those of executors at work: of a service
// that nobody has named.
func foreignEntry(s *site, trouble bool) bool {
	const id = "11110000aaaa0001"
	f := s.fleet
	s.submit(id, behaviour{work: 12 * time.Second}, map[string]any{"Count": 3, "Cpu": 8000, "MemMb": 30000, "Gpu": 1, "EstMs": 12000})
	s.await("all tasks are at work", 10*time.Second, func() bool { return f.runningOf(id) == 3 })
	time.Sleep(3 * time.Second)
	if trouble {
		f.mu.Lock()
		for _, e := range f.executors {
			if len(e.runs) == 0 {
				continue
			}
			s.record.line("another writer: entry at servers/%s", e.id)
			s.store.put(serversTopic, e.id, map[string]any{"Service": "another-service", "Addr": local + ":9", "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
				"Capacity": map[string]int{"Cpu": 64000, "MemMb": 262144, "Gpu": 8}, "Labels": []string{"a", e.rack}, "ClockMs": 5, "Seq": 1, "born": time.Now().UnixMilli()})
		}
		f.mu.Unlock()
	}
	s.await("all tasks are done", 40*time.Second, func() bool {
		for i := range 3 {
			if !f.finished[fmt.Sprintf("%s.0.0.%d", id, i)] {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	s.nodes[0].call("GET", id, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.twice) == 0
}

// deadly hands in a job whose task crashes each executor that starts it at once; the executors are
// back after 8 s.
func deadly(s *site, trouble bool) bool {
	const id = "11110000aaaa0002"
	f := s.fleet
	f.downTime = 8 * time.Second
	b := behaviour{work: 5 * time.Second}
	if trouble {
		b.deadlyAfter = 50 * time.Millisecond
	}
	s.submit(id, b, map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 30000, "Gpu": 1, "EstMs": 5000})
	task := id + ".0.0.0"
	for range 45 {
		time.Sleep(2 * time.Second)
		_, state := s.nodes[0].call("GET", id, nil)
		f.mu.Lock()
		more, done := f.startsAfter[task], f.finished[task]
		f.mu.Unlock()
		if more >= 3 {
			s.record.line("BROKEN: %s has been started three times more after three executors had crashed under it", task)
			return false
		}
		if done || state == "{\"State\":\"failed\"}\n" {
			return true
		}
	}
	return true
}

// neverBegun leaves three start orders of a task unanswered, each on an executor that goes down
// before it has carried the order out.
func neverBegun(s *site, trouble bool) bool {
	const id = "11110000aaaa0003"
	f := s.fleet
	f.downTime = 2 * time.Second
	left := 0
	if trouble {
		f.mu.Lock()
		f.leavesUnanswered = func(e *executor, o order) bool {
			if jobOf(o.Task) != id || left == 3 {
				return false
			}
			left++
			time.AfterFunc(200*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				s.record.line("executor %s: goes down; it runs %d tasks", e.id, len(e.runs))
				e.crash()
			})
			return true
		}
		f.mu.Unlock()
	}
	s.submit(id, behaviour{work: 5 * time.Second}, map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 30000, "Gpu": 1, "EstMs": 5000})
	for range 40 {
		time.Sleep(time.Second)
		_, state := s.nodes[0].call("GET", id, nil)
		f.mu.Lock()
		starts := f.starts[id+".0.0.0"]
		f.mu.Unlock()
		switch state {
		case "{\"State\":\"failed\"}\n":
			s.record.line("BROKEN: the job is shown as failed; its task has been started %d times", starts)
			return false
		case "{\"State\":\"completed\"}\n":
			return true
		}
	}
	return true
}

// lateSpell is how long orders are left unanswered at a time.
const lateSpell = 3400 * time.Millisecond

// lateStart lets half of the executors, whose clocks are 2% slow, idle for 70 s, and then one of these
// leaves orders unanswered for two spells in a row and carries them out late. The others run tasks.
func lateStart(s *site, trouble bool) bool {
	const id, others = "11110000aaaa0004", "11110000aaaa0006"
	f := s.fleet
	f.mu.Lock()
	for _, e := range f.executors {
		e.rate = 0.98
	}
	f.mu.Unlock()
	s.submit(others, behaviour{work: 100 * time.Second}, map[string]any{"Count": executors / 2, "Cpu": 60000, "MemMb": 200000, "Gpu": 8, "EstMs": 100000})
	s.await("half of the executors are at work", 10*time.Second, func() bool { return f.runningOf(others) == executors/2 })
	time.Sleep(70 * time.Second)
	f.mu.Lock()
	if trouble {
		f.lateJob, f.lateFor = id, 2*lateSpell
	}
	f.mu.Unlock()
	s.submit(id, behaviour{work: 5 * time.Second}, map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 30000, "Gpu": 1, "EstMs": 5000})
	s.await("the task is done", 30*time.Second, func() bool { return f.finished[id+".0.0.0"] })
	time.Sleep(2 * time.Second)
	s.nodes[0].call("GET", id, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.record.line("orders to executors in the two spells: %d, left unanswered: %d", f.ordered, f.unanswered)
	return len(f.twice) == 0
}

// largeClients is how many clients hand in large jobs, and largeJobs how many each does, some 17 s
// apart.
const (
	largeClients = 8
	largeJobs    = 4
)

// An executor answers after answerTime, as the store does, and in another zone than the leader's
// after crossZone more: 4.4 ms one way.
const (
	answerTime = 4 * time.Millisecond
	crossZone  = 8800 * time.Microsecond
)

// largeJob has a client hand in a job of almost the largest body that the configuration allows, beside
// small jobs and long ones at work.
func largeJob(s *site, trouble bool) bool {
	f := s.fleet
	f.answerTime, f.crossZone = answerTime, crossZone
	id := func(kind, i int) string { return fmt.Sprintf("1111000%dbbbb%04d", kind, i) }
	s.submit(id(1, 0), behaviour{work: 90 * time.Second}, map[string]any{"Count": manyExecutors, "Cpu": 30000, "MemMb": 30000, "Gpu": 4, "EstMs": 90000})
	s.await("all long tasks are at work", 15*time.Second, func() bool { return f.runningOf(id(1, 0)) == manyExecutors })
	body := s.largeBody()
	time.Sleep(10 * time.Second)
	stop := time.Now().Add(70 * time.Second)
	var clients sync.WaitGroup
	for c := 0; trouble && c < largeClients; c++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(c) * time.Second / largeClients)
			for i := range largeJobs {
				s.handInLarge(id(3, largeJobs*c+i), body)
				time.Sleep(12 * time.Second)
			}
		}()
	}
	for i := 0; time.Now().Before(stop); i++ {
		small := id(2, i)
		f.mu.Lock()
		f.jobs[small] = behaviour{work: 300 * time.Millisecond}
		f.mu.Unlock()
		s.nodes[i%nodes].call("POST", small, map[string]any{"Spec": "small", "Steps": []map[string]any{{"Count": 2, "Cpu": 1000, "MemMb": 1000, "EstMs": 300}}})
		time.Sleep(120 * time.Millisecond)
	}
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.twice) == 0
}

// maxBodyBytes is the limit of the configuration.
const maxBodyBytes = 262144

// largeSteps are the steps of a job of almost the largest body: each step depends on all earlier
// ones, and names an image.
func largeSteps(image int) []map[string]any {
	var steps []map[string]any
	for i := range 220 {
		var earlier []int
		for j := range i {
			earlier = append(earlier, j)
		}
		steps = append(steps, map[string]any{"Count": 1, "Cpu": 500, "MemMb": 256, "EstMs": 900, "DependsOn": earlier, "Image": strings.Repeat("x", image)})
	}
	return steps
}

// largeBody returns a submission of almost the largest size.
func (s *site) largeBody() map[string]any {
	body := map[string]any{"Spec": strings.Repeat("<step/>", 4000/7)}
	for image := 700; ; image++ {
		larger := map[string]any{"Spec": body["Spec"], "Steps": largeSteps(image)}
		size := encode(larger).Len()
		if size > maxBodyBytes {
			return body
		}
		body = larger
		if size > maxBodyBytes-len(largeSteps(0)) {
			s.record.line("a large job has a body of %d bytes, the limit is %d", size, maxBodyBytes)
		}
	}
}

// handInLarge hands a large job in, and again up to four times, as clients do that are told 503.
func (s *site) handInLarge(id string, body any) {
	for i := range 5 {
		if status, _ := s.nodes[i%nodes].call("POST", id, body); status == 200 {
			return
		}
		time.Sleep(time.Second)
	}
}
