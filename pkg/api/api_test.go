package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestVerdictText(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		text, err := v.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var back Verdict
		if err := back.UnmarshalText(text); err != nil || back != v {
			t.Errorf("%s became %s, error %v", v, back, err)
		}
	}
	var v Verdict
	if v.UnmarshalText([]byte("perhaps")) == nil {
		t.Error("an unknown verdict was accepted")
	}
}

func TestDecodeJobSpecNamesEveryBadField(t *testing.T) {
	_, err := DecodeJobSpec([]byte(`{"class":"c","tasks":65,"per_task":{"cores":-1},"within":"street"}`))
	for _, field := range []string{"account: must be set", "tasks: 65", "per_task: must not be negative", `within: "street"`} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v does not contain %s", err, field)
		}
	}
}

func TestDecodeJobSpecDefaults(t *testing.T) {
	s, err := DecodeJobSpec([]byte(`{"account":"a","class":"c","tasks":1,"per_task":{"cores":1}}`))
	if err != nil || s.MaxAttempts != 3 || s.Within != WithinZone {
		t.Errorf("got %+v, error %v", s, err)
	}
}

func TestAsErrorKeepsTheVerdict(t *testing.T) {
	if e := AsError(errors.New("cut"), MayHaveRun); e.Verdict != MayHaveRun {
		t.Errorf("an error of another type got verdict %s, want %s", e.Verdict, MayHaveRun)
	}
	if e := AsError(Errorf(CodeInvalid, "bad"), MayHaveRun); e.Verdict != NotRun {
		t.Errorf("an *Error got verdict %s, want %s", e.Verdict, NotRun)
	}
}

// FuzzDecodeJobSpec checks that DecodeJobSpec does not panic, and that an accepted
// specification is still accepted after a round trip through JSON.
func FuzzDecodeJobSpec(f *testing.F) {
	f.Add([]byte(`{"account":"a","class":"c","tasks":4,"per_task":{"accelerators":8},"within":"rack"}`))
	f.Add([]byte(`{"tasks":1e99}`))
	f.Add([]byte("{\"account\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeJobSpec(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeJobSpec(again); err != nil {
			t.Fatalf("%s was accepted but rejected after a round trip: %v", data, err)
		}
	})
}

func TestTogether(t *testing.T) {
	a := Location{"w1", "r1", "z1"}
	cases := map[string]struct {
		b                  Location
		worker, rack, zone bool
	}{
		"same worker":                       {a, true, true, true},
		"same rack":                         {Location{"w2", "r1", "z1"}, false, true, true},
		"same zone":                         {Location{"w2", "r2", "z1"}, false, false, true},
		"rack of that name in another zone": {Location{"w2", "r1", "z2"}, false, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := [3]bool{WithinWorker.Together(a, c.b), WithinRack.Together(a, c.b), WithinZone.Together(a, c.b)}
			if got != [3]bool{c.worker, c.rack, c.zone} {
				t.Errorf("within worker, rack, zone: %v", got)
			}
		})
	}
}

// A document of empty parts takes many times its size when it is decoded, and as many messages
// when all of its parts are invalid.
func TestDocumentsOfManyPartsAreRefused(t *testing.T) {
	type list struct {
		Specs []JobSpec `json:"specs"`
	}
	const size = 1 << 20
	for name, c := range map[string]struct {
		part  string
		valid bool
	}{
		"empty objects":     {`{}`, false},
		"numbers":           {`0`, false},
		"strings":           {`"["`, false},
		"shortest objects":  {`{"per_task":{"cores":1}}`, true},
		"names of brackets": {`{"account":"[[[[{{{{,,,,"}`, true},
	} {
		text := `{"specs":[` + strings.Repeat(c.part+",", size/(len(c.part)+1)-8) + c.part + `]}`
		err := DecodeStrict([]byte(text), size, &list{})
		if c.valid && err != nil || !c.valid && (err == nil || !strings.Contains(err.Error(), "more lists")) {
			t.Errorf("%s: error %v, want valid %v", name, err, c.valid)
		}
	}
	var p Problems
	for i := range 100 * maxProblems {
		p.Require(false, fmt.Sprint("specs[", i, "]"), "must be set")
	}
	if len(p) != maxProblems+1 || p[maxProblems].Field != "body" {
		t.Errorf("%d problems, the last %+v; want %d and one for all others", len(p), p[len(p)-1], maxProblems)
	}
}
