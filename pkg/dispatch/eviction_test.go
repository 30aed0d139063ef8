package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/catalog"
	"github.com/shallotpin/shallotpin/pkg/placement"
	"github.com/shallotpin/shallotpin/pkg/workload"
)

// newStopsSite returns a site that weighs stops, and whose platform has the limits of a usual one.
func newStopsSite(t *testing.T, workers int) *manualSite {
	s := newManualSite(t, workers)
	s.Orders = unansweredStarts{s.orders}
	s.Settings.Features.Stops = true
	s.Settings.MaxStopTime, s.Settings.MaxReclaimTime = 200*time.Millisecond, 2700*time.Millisecond
	s.Settings.CheckpointInterval, s.Settings.RestoreTime = 500*time.Millisecond, 600*time.Millisecond
	return s
}

// listed delivers that a run of an earlier leader is active on the worker.
func (s *manualSite) listed(u *unit, index int, on string, percent int) {
	s.onActiveRun(s.workers[on], backend.ActiveRun{Run: backend.RunID{Task: u.tasks[index].id, Number: 7}, Percent: percent})
}

// urgent submits an urgent job of one step, which waits from now on.
func (s *manualSite) urgent(id string, step workload.Step) *unit {
	u := s.job(id, step)
	u.job.spec.SubmittedMS = s.UnixMS()
	u.job.policy.Stretch, u.job.policy.Slack = 1.5, 250*time.Millisecond
	return u
}

// pass lets time pass in which all workers answer.
func (s *manualSite) pass(d time.Duration) {
	s.now += d
	for _, w := range s.workers {
		w.noteAnswer(s.now)
	}
}

// fill starts eight tasks of a lowly job on each of the workers, and returns its unit.
func (s *manualSite) fill(step workload.Step) *unit {
	filler := s.job("filler", step)
	filler.job.policy.Priority = 2
	for i := range filler.tasks {
		s.start(filler, i, fmt.Sprintf("w%d", i/8)).beganAt = s.now
	}
	return filler
}

// stopping counts the runs of the unit that are being stopped.
func (u *unit) stopping() int {
	n := 0
	for _, t := range u.tasks {
		if t.run != nil && t.run.phase == runStopping {
			n++
		}
	}
	return n
}

// A new leader has seen one member of a gang that is all but done. Not even a guaranteed job may stop
// it, before all members are known or the time of the first answers is over.
func TestPartlyKnownGangIsNotStopped(t *testing.T) {
	s := newStopsSite(t, 3)
	gang := s.job("gang", workload.Step{Count: 2, Gang: true, EstimateMS: 10_000})
	gang.step.Need.Accelerators = 8
	gang.job.policy.Priority = 1
	s.listed(gang, 0, "w0", 97)
	s.workers["w2"].fenced = false
	other := s.job("other", workload.Step{Count: 1, EstimateMS: 10_000})
	other.step.Need.Accelerators, other.job.policy.Priority = 8, 1
	s.start(other, 0, "w1")
	if !s.isPartlyKnown(gang, s.now) {
		t.Fatal("the gang counts as known")
	}
	pool, _ := s.snapshotWorkers(s.now, nil)
	for _, w := range pool {
		for _, run := range w.Running {
			if partly := run.Unit == gang.id; run.Guaranteed != partly {
				t.Errorf("task %v: may be stopped %v, want %v", run.Unit, !run.Guaranteed, !partly)
			}
		}
	}
	s.listed(gang, 1, "w2", 97)
	if s.isPartlyKnown(gang, s.now) {
		t.Error("the gang is not known though all of its members are")
	}
}

// Urgent jobs queue up while there is no leader. The next one stops nothing for them before it
// knows what runs, and then does.
func TestNoStopsBeforeTheLeaderKnowsWhatRuns(t *testing.T) {
	s := newStopsSite(t, 2)
	filler := s.fill(workload.Step{Count: 16, EstimateMS: 10_000})
	s.pass(time.Second)
	urgent := s.urgent("urgent", workload.Step{Count: 4, Gang: true, EstimateMS: 10_000})
	urgent.job.spec.SubmittedMS -= 2500
	s.workers["w1"].fenced = false
	s.ClaimedAt = s.now - 100*time.Millisecond
	s.plan()
	if n := filler.stopping(); n > 0 {
		t.Fatalf("%d tasks are stopped while a worker has not answered", n)
	}
	s.workers["w1"].fenced = true
	s.plan()
	if n := filler.stopping(); n != 4 {
		t.Errorf("%d tasks are stopped for a gang of 4", n)
	}
}

// A guaranteed job starts in time, whatever it costs: it has begun within MaxReclaimTime, also if a
// worker never answers the new leader.
func TestGuaranteedJobStartsInTime(t *testing.T) {
	s := newStopsSite(t, 2)
	filler := s.fill(workload.Step{Count: 16, EstimateMS: 10_000})
	s.pass(9 * time.Second)
	s.workers["w1"].fenced = false
	due := s.urgent("due", workload.Step{Count: 4, Gang: true, EstimateMS: 1000})
	due.job.spec.Account = "a"
	s.ClaimedAt = s.now
	s.config.Accounts = append(s.config.Accounts, catalog.Account{Name: "a", GuaranteedAccelerators: 4})
	stopped := time.Duration(0)
	for began := s.now; stopped == 0 && s.now-began < 3*time.Second; s.pass(50 * time.Millisecond) {
		s.plan()
		if filler.stopping() > 0 {
			stopped = s.now - began
		}
	}
	if limit := s.Settings.MaxReclaimTime - s.Settings.MaxStopTime; stopped == 0 || stopped > limit {
		t.Errorf("others are stopped after %v, want before %v", stopped, limit)
	}
	if n := filler.stopping(); n != 4 {
		t.Errorf("%d tasks are stopped for a gang of 4", n)
	}
}

// A job that can't complete in time any more stops no more work than it does.
func TestLateJobStopsLittle(t *testing.T) {
	for name, c := range map[string]struct {
		waited, ran time.Duration
		want        int
	}{
		"in time":                       {0, 9 * time.Second, 4},
		"late":                          {2 * time.Second, 9 * time.Second, 0},
		"late, others have just begun":  {2 * time.Second, time.Second, 4},
		"expired, others have just run": {20 * time.Second, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopsSite(t, 1)
			s.settled = true
			filler := s.fill(workload.Step{Count: 8, EstimateMS: 60_000})
			s.pass(c.ran)
			urgent := s.urgent("urgent", workload.Step{Count: 4, Gang: true, EstimateMS: 2000})
			urgent.job.spec.SubmittedMS -= c.waited.Milliseconds()
			s.plan()
			if n := filler.stopping(); n != c.want {
				t.Errorf("%d tasks are stopped, want %d", n, c.want)
			}
		})
	}
}

// A gang has one member on a worker that stands still. It keeps its work while the delay is less,
// and moves as a whole; with a checkpoint it moves at once.
func TestGangWithAStandingMember(t *testing.T) {
	for name, c := range map[string]struct {
		saves    bool
		from, to time.Duration
	}{
		"without a checkpoint": {false, 7 * time.Second, 12 * time.Second},
		"saves its progress":   {true, time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopsSite(t, 4)
			gang := s.job("gang", workload.Step{Count: 4, Gang: true, EstimateMS: 10_000, SavesProgress: c.saves})
			s.startUnit(gang, map[int]*worker{0: s.workers["w0"], 1: s.workers["w1"], 2: s.workers["w2"], 3: s.workers["w3"]}, s.now)
			for _, task := range gang.tasks {
				task.run.phase = runStarting
				s.onStartReply(task.run, s.now.Milliseconds(), nil)
			}
			began := s.now
			var standsSince, moved time.Duration
			for s.now-began < time.Minute && moved == 0 {
				s.now += 100 * time.Millisecond
				percent := min(99, int((s.now-began)*100/(10*time.Second)))
				for i, task := range gang.tasks {
					p := percent
					if i == 3 && percent >= 80 {
						p = 80
						if standsSince == 0 {
							standsSince = s.now
						}
					}
					s.recordProgress(task.run, p, s.now)
					task.run.worker.listingAt, task.run.worker.answeredAt, task.run.worker.unansweredSince = s.now, s.now, 0
				}
				s.checkRuns(s.now)
				if n := gang.stopping(); n > 0 {
					moved = s.now - standsSince
					if n != 4 {
						t.Errorf("%d of 4 members are stopped", n)
					}
				}
			}
			if moved < c.from || moved > c.to {
				t.Errorf("moved after %v, want between %v and %v", moved, c.from, c.to)
			}
		})
	}
}

// A gang keeps off a worker that has just failed a task, while it is not known to be sound again.
func TestGangKeepsOffWorkersThatHaveFailed(t *testing.T) {
	s := newStopsSite(t, 2)
	s.settled = true
	s.quarantine(s.workers["w0"], s.now)
	s.pass(quarantineTime + time.Millisecond)
	gang := s.job("gang", workload.Step{Count: 2, Gang: true, MaxPerWorker: 1})
	s.plan()
	if gang.tasks[0].run != nil {
		t.Error("a gang has a member on a worker that has just failed")
	}
	single := s.job("single", workload.Step{Count: 2, MaxPerWorker: 1})
	s.plan()
	if single.tasks[0].run == nil || single.tasks[1].run == nil {
		t.Error("the worker is not tried with a task that runs by itself")
	}
	waiting := s.waitingUnit(gang)
	waiting.AnyRack = true
	pool, _ := s.snapshotWorkers(s.now, nil)
	if plan := placement.Decide(pool, []*placement.Unit{waiting}, 0); len(plan.Start) != 2 {
		t.Error("the gang keeps off the worker although free capacity is ample")
	}
	s.pass(quarantineTime)
	s.plan()
	if gang.tasks[0].run == nil {
		t.Error("the gang waits for the worker for longer than it was in quarantine")
	}
}

// Work that was stopped before is stopped last.
func TestStoppedWorkCostsMore(t *testing.T) {
	s := newStopsSite(t, 1)
	u := s.job("u", workload.Step{Count: 1})
	r := s.start(u, 0, "w0")
	r.beganAt = s.now - time.Second
	once := s.stopLoss(r, s.now)
	u.tasks[0].preemptions++
	if twice := s.stopLoss(r, s.now); twice != 2*once {
		t.Errorf("a second stop costs %.1f, the first %.1f", twice, once)
	}
}
