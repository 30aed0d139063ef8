package outage

import (
	"fmt"
	"testing"
	"time"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// 97 nodes that the log refuses must read less often with each refusal, spread over time, and at
// most at their share of its rate; an answer ends that.
func TestDelaysAfterRefusals(t *testing.T) {
	var r Reads
	if got := r.Delay(ms(100), 0, 0.5); got != ms(100) {
		t.Errorf("delay without a refusal: %s", got)
	}
	r.Observe(0, Failed)
	if got := r.Delay(ms(100), ms(900), 0.5); got != ms(100) || r.Refusing() || r.Overloaded(0) {
		t.Errorf("delay after an unanswered read: %s", got)
	}
	for n, want := range []time.Duration{ms(100), ms(200), ms(400), ms(500), ms(500)} {
		r.Observe(0, Refused)
		if got := r.Delay(ms(100), 0, 0.5); got != want {
			t.Errorf("typical delay after %d refusals: %s, want %s", n+1, got, want)
		}
		if low, high := r.Delay(ms(100), 0, 0), r.Delay(ms(100), 0, 1); low != want/2 || high != want*3/2 {
			t.Errorf("delays after %d refusals: %s to %s, want %s to %s", n+1, low, high, want/2, want*3/2)
		}
	}
	if got := r.Delay(ms(100), ms(900), 0.5); got != ms(900) {
		t.Errorf("delay with a floor: %s", got)
	}
	r.Observe(0, Answered)
	if got := r.Delay(ms(100), ms(900), 0.5); got != ms(100) || r.Refusing() {
		t.Errorf("delay after an answer: %s", got)
	}
}

// A log that refuses some reads answers those that it accepts late.
func TestAcceptedReadsOfAnOverloadedLogAreAwaited(t *testing.T) {
	var r Reads
	if got := r.AnswerTimeout(0, ms(700)); got != ms(700) {
		t.Errorf("timeout without a refusal: %s", got)
	}
	r.Observe(ms(1000), Refused)
	r.Observe(ms(1100), Answered)
	if got := r.AnswerTimeout(ms(2000), ms(700)); got <= 2*time.Second {
		t.Errorf("timeout after a refusal: %s, want more than the 2s for which the log lets calls wait", got)
	}
	if got := r.AnswerTimeout(ms(7000), ms(700)); got != ms(700) {
		t.Errorf("timeout long after a refusal: %s", got)
	}
}

// After an unanswered listing, half of the nodes wait for their turn at an overloaded log, and the
// others notice soon that a silent one is back.
func TestHalfOfTheNodesArePatient(t *testing.T) {
	var r Reads
	if got := r.ListTimeout(0, ms(1000), true); got != ms(1000) {
		t.Errorf("first listing: %s", got)
	}
	r.Observe(0, Failed)
	if patient, other := r.ListTimeout(0, ms(1000), true), r.ListTimeout(0, ms(1000), false); patient <= 2*time.Second || other != ms(1000) {
		t.Errorf("second listing: %s and %s", patient, other)
	}
	patient := 0
	for i := range 300 {
		if Patient(fmt.Sprintf("front-zone-%d", i)) {
			patient++
		}
	}
	if patient < 100 || patient > 200 {
		t.Errorf("%d of 300 nodes are patient", patient)
	}
}

func TestRetryFloor(t *testing.T) {
	if got := RetryFloor(300, 0); got != 0 {
		t.Errorf("without a known rate: %s", got)
	}
	// 300 nodes with two topics each may use 1,500 of 6,000 reads a second.
	if got := RetryFloor(300, 6000); got != ms(400) {
		t.Errorf("%s, want 400ms", got)
	}
}

// A configuration of 500 KB that changes each 2 s, beside a small record that stays.
func TestListingIsShorterThanABacklogOfLargeRecords(t *testing.T) {
	var b Backlog
	b.List("config", 500_000)
	b.List("zone", 100)
	for at := time.Duration(0); at <= 20*time.Second; at += 2 * time.Second {
		b.Add(at, "config", 500_000)
	}
	at := 20 * time.Second
	if b.ListingIsShorter(b.Expected(at, at+time.Second)) {
		t.Error("lists the topic after one second")
	}
	if !b.ListingIsShorter(b.Expected(at, at+4*time.Second)) {
		t.Error("reads all records of four seconds")
	}
	if b.ListingIsShorter(b.Expected(time.Minute, 2*time.Minute)) {
		t.Error("lists a topic that no longer changes")
	}
	b.Reset()
	b.List("zone", 100)
	if !b.ListingIsShorter(101) || b.ListingIsShorter(100) {
		t.Error("the size of the listing is not that of its records")
	}
}
