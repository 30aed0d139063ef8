package eviction

import (
	"testing"
	"time"
)

var costs = Costs{StopTime: 200 * time.Millisecond, RestoreTime: 600 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond}

const ms = time.Millisecond

// The load: in its first listings, a new leader sees 2 of 22 members of a gang that is all but
// done, and one task that has just begun. What it would throw away is the whole gang.
func TestPartlyKnownGangCostsAsAWhole(t *testing.T) {
	member := Run{Cores: 77, Ran: 100 * ms, Members: 22, Seen: 2, Expected: 11 * time.Second}
	loss := 2 * costs.Loss(member)
	if whole := 20 * 77 * 11.0; loss < whole {
		t.Errorf("two seen members cost %.0f core-seconds, want at least the %.0f of the others", loss, whole)
	}
	single := Run{Cores: 77, Ran: 4 * time.Second, Members: 1, Seen: 1, Expected: 11 * time.Second}
	if costs.Loss(single) >= loss {
		t.Error("a task that runs by itself costs more than the gang")
	}
	member.Seen = 22
	if whole := 22 * costs.Loss(member); whole > 22*77*0.2 {
		t.Errorf("a gang that has just begun costs %.0f core-seconds once all of it is known", whole)
	}
}

func TestLoss(t *testing.T) {
	run := Run{Cores: 10, Ran: 8 * time.Second, Members: 1, Seen: 1}
	if loss := costs.Loss(run); loss != 80 {
		t.Errorf("work of 80 core-seconds without a checkpoint: loss %.1f", loss)
	}
	run.EarlierStops = 2
	if loss := costs.Loss(run); loss != 240 {
		t.Errorf("work that was stopped twice before: loss %.1f, want three times the work", loss)
	}
	run.EarlierStops, run.SavesProgress = 0, true
	if loss := costs.Loss(run); loss != 6 {
		t.Errorf("work that saves its progress: loss %.1f, want the time to resume", loss)
	}
	unknown := Costs{CheckpointInterval: 500 * ms}
	if loss := unknown.Loss(run); loss != 2.5 {
		t.Errorf("unknown time to resume: loss %.1f, want that of half an interval", loss)
	}
}

// The load: a leader takes over while urgent jobs have waited for a leader, some of them for too
// long to complete in time.
func TestJudge(t *testing.T) {
	urgent := Waiter{Settled: true, Slack: time.Second, Work: 500, UsualLimit: 1400}
	for name, c := range map[string]struct {
		change  func(w *Waiter)
		allowed bool
		limit   float64
	}{
		"in time":                         {func(*Waiter) {}, true, 1400},
		"too late to complete in time":    {func(w *Waiter) { w.Slack = 100 * ms }, true, 500},
		"a takeover":                      {func(w *Waiter) { w.Settled = false }, false, 0},
		"a takeover, guaranteed":          {func(w *Waiter) { w.Settled, w.Guaranteed = false, true }, false, 0},
		"a takeover, due, just begun":     {func(w *Waiter) { w.Settled, w.Guaranteed, w.DueNow, w.SinceClaim = false, true, true, 50*ms }, false, 0},
		"a takeover, due":                 {func(w *Waiter) { w.Settled, w.Guaranteed, w.DueNow, w.SinceClaim = false, true, true, 300*ms }, true, 1400},
		"guaranteed, too late":            {func(w *Waiter) { w.Guaranteed, w.Slack = true, -time.Second }, true, 1400},
		"long-running, without an end":    {func(w *Waiter) { w.LongRunning, w.Slack = true, -time.Second }, true, 1400},
		"a takeover, urgent, waited long": {func(w *Waiter) { w.Settled, w.DueNow, w.SinceClaim = false, true, time.Second }, false, 0},
	} {
		w := urgent
		c.change(&w)
		if v := costs.Judge(w); v.Allowed != c.allowed || v.Limit != c.limit {
			t.Errorf("%s: allowed %v up to %.0f, want %v up to %.0f", name, v.Allowed, v.Limit, c.allowed, c.limit)
		}
	}
}

// gangOf is the state, after a time, of a gang of 13 whose tasks take ten seconds; the worker of
// one of them works at a fifth of its speed from slowFrom to slowTo.
func gangOf(after, slowFrom, slowTo time.Duration, saves bool) (slow Progress, members []Progress) {
	at := func(worked time.Duration) Progress {
		percent := min(100, int(worked*100/(10*time.Second)))
		return Progress{Cores: 77, Percent: percent, Gained: percent, Span: min(after, 10*time.Second), SavesProgress: saves}
	}
	lost := max(0, min(after, slowTo)-slowFrom) * 4 / 5
	slow = at(after - lost)
	slow.Span = after
	members = append(members, slow)
	for range 12 {
		members = append(members, at(after))
	}
	return slow, members
}

// The load: workers slow down for some seconds. A move in the first second would throw away the
// work of the whole gang; a worker that stays slow is left in the end.
func TestMoveOfASlowGang(t *testing.T) {
	movedAt := func(slowFrom, slowTo time.Duration, saves bool) time.Duration {
		for after := slowFrom; after < time.Minute; after += 100 * ms {
			slow, members := gangOf(after, slowFrom, slowTo, saves)
			if slow.Percent >= 100 {
				break
			}
			if costs.JudgeMove(slow, members, 10*time.Second).Pays {
				return after
			}
		}
		return 0
	}
	if at := movedAt(4*time.Second, 11*time.Second, false); at != 0 {
		t.Errorf("moved after %v although the worker recovers", at)
	}
	if at := movedAt(4*time.Second, time.Hour, false); at < 10*time.Second || at > 20*time.Second {
		t.Errorf("the worker stays slow and the gang moves after %v, want about the time of its work later", at)
	}
	if at := movedAt(4*time.Second, 11*time.Second, true); at == 0 || at > 6*time.Second {
		t.Errorf("a gang that saves its progress moves after %v, want soon", at)
	}
	if at := movedAt(0, time.Hour, false); at == 0 || at > 15*time.Second {
		t.Errorf("a gang with a worker that was always slow moves after %v", at)
	}
}

// A task that has shown no progress loses nothing by a move.
func TestMoveOfAStandingTask(t *testing.T) {
	idle := Progress{Cores: 8, Idle: 1100 * ms}
	if m := costs.JudgeMove(idle, []Progress{idle}, 2*time.Second); !m.Pays {
		t.Errorf("a task without progress is not moved: %+v", m)
	}
	advanced := Progress{Cores: 8, Percent: 90, Gained: 90, Span: 9 * time.Second, Idle: 1100 * ms}
	if m := costs.JudgeMove(advanced, []Progress{advanced}, 10*time.Second); m.Pays {
		t.Errorf("nine seconds of work are thrown away after 1.1 s without progress: %+v", m)
	}
	advanced.Idle = 10 * time.Second
	if m := costs.JudgeMove(advanced, []Progress{advanced}, 10*time.Second); !m.Pays {
		t.Errorf("a task stands still for ten seconds and is not moved: %+v", m)
	}
}

// The load: a few tasks take seven times as long as usual, and their progress is seen in whole
// percents, which looks like a slow worker for a moment.
func TestLongTasksAreNotSlow(t *testing.T) {
	long := Progress{Cores: 90, Percent: 16, Gained: 16, Span: 10 * time.Second, Best: 25 * time.Second}
	members := []Progress{long, long, long, long}
	if m := costs.JudgeMove(long, members, 7*time.Second); m.Pays || m.Behind != 0 {
		t.Errorf("a gang of like tasks is moved: %+v", m)
	}
}

func TestHasRecovered(t *testing.T) {
	for _, c := range []struct {
		gained int
		want   bool
	}{{0, false}, {1, false}, {2, true}, {5, true}} {
		if got := HasRecovered(c.gained, 500*ms, 10*time.Second); got != c.want {
			t.Errorf("%d percent in half a second of a task of 10 s: recovered %v", c.gained, got)
		}
	}
}

// The load: a tenth of the workers is withdrawn at two seconds' notice, in the middle of long tasks.
func TestMustLeave(t *testing.T) {
	for name, c := range map[string]struct {
		run  Leaving
		want bool
	}{
		"ends in time":                    {Leaving{UntilGone: 1600 * ms, Left: time.Second, Measured: true, Ran: 8 * time.Second}, false},
		"takes longer":                    {Leaving{UntilGone: 1600 * ms, Left: 2 * time.Second, Measured: true, Ran: 8 * time.Second}, true},
		"may end in time, much to lose":   {Leaving{UntilGone: 1600 * ms, Left: 2 * time.Second, Ran: 8 * time.Second}, false},
		"may end in time, little to lose": {Leaving{UntilGone: 1600 * ms, Left: 2 * time.Second, Ran: time.Second}, true},
		"is not going to end":             {Leaving{UntilGone: 1600 * ms, Left: 4 * time.Second, Ran: 8 * time.Second}, true},
		"saves its progress":              {Leaving{UntilGone: 1600 * ms, Left: 4 * time.Second, SavesProgress: true, Ran: 8 * time.Second}, false},
		"saves its progress, last moment": {Leaving{UntilGone: 200 * ms, Left: 4 * time.Second, SavesProgress: true, Ran: 8 * time.Second}, true},
	} {
		if got := costs.MustLeave(c.run); got != c.want {
			t.Errorf("%s: leaves %v, want %v", name, got, c.want)
		}
	}
}
