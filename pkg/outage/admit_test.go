package outage

import (
	"testing"
	"time"
)

// The log is silent from 0 s to 4 s, and writes that were sent before fail until 4.3 s. A caller a
// 100 ms waits up to 3 s for an answer.
func TestAdmissionAroundAnOutage(t *testing.T) {
	const back, writesBack = 4 * time.Second, 4300 * time.Millisecond
	state := func(at time.Duration) LogState {
		s := LogState{Readable: at >= back, ReadableFor: max(0, at-back)}
		if at < writesBack {
			s.WritesFailFor = at + 1
		}
		return s
	}
	for at := time.Second; at < 6*time.Second; at += ms(100) {
		action, hold := Admit(state(at), 3*time.Second, 0, false)
		if action == Hold {
			if hold > maxHold {
				t.Errorf("held for %s", hold)
			}
			action, _ = Admit(state(min(at+hold, max(at, back))), 3*time.Second-hold, 0, true)
		}
		if want := at+maxHold >= back; (action == Write) != want {
			t.Errorf("caller at %s: action %d", at, action)
		}
	}
}

func TestCallersAreNotHeldWithoutUse(t *testing.T) {
	down := LogState{WritesFailFor: time.Second}
	if action, hold := Admit(down, ms(200), 0, false); action != Hold || hold > ms(100) {
		t.Errorf("short of time: action %d for %s", action, hold)
	}
	if action, _ := Admit(down, ms(100), 0, false); action != Refuse {
		t.Errorf("out of time: action %d", action)
	}
	if action, _ := Admit(down, time.Second, MaxHeld, false); action != Refuse {
		t.Errorf("too many held: action %d", action)
	}
	// The node reads the log and cannot write to it.
	if action, _ := Admit(LogState{Readable: true, ReadableFor: time.Second, WritesFailFor: 2 * time.Second}, time.Second, 0, false); action != Refuse {
		t.Errorf("writes alone fail: action %d", action)
	}
}

func TestCallersReturnSpread(t *testing.T) {
	low, high := RetryAfter(2*time.Second, 0), RetryAfter(2*time.Second, 1)
	if low != 1500*time.Millisecond || high != 2500*time.Millisecond {
		t.Errorf("%s to %s after 2s", low, high)
	}
	if got := RetryAfter(0, 0); got != time.Second {
		t.Errorf("%s at the start", got)
	}
	if got := RetryAfter(time.Minute, 1); got != maxRetryAfter {
		t.Errorf("%s after a minute", got)
	}
}
