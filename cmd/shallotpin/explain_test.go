package main

import (
	"strings"
	"testing"
)

const explainLog = `front-1 I0205 08:34:17.070385   14713 intake.go:124] "intake: stored" what="submission" job="eaf447d4678fdf24" offset=58
front-2 I0205 08:34:17.071445   14711 runs.go:37] "dispatch: start" job="eaf447d4678fdf24" task="eaf447d4678fdf24.0.0" index=0 run=1 worker="w1"
front-2 I0205 08:34:17.071500   14711 runs.go:37] "dispatch: start" job="1111111111111111" task="1111111111111111.0.0" index=0 run=2 worker="w1"
not a log line of eaf447d4678fdf24
`

const explainOther = `front-2 I0205 08:34:17.000000   14713 callers.go:7] "front: unknown key" job="eaf447d4678fdf24" config=3
`

func TestExplainOrdersTheLinesOfAJob(t *testing.T) {
	var out strings.Builder
	if err := explain(&out, "eaf447d4678fdf24", strings.NewReader(explainLog), strings.NewReader(explainOther)); err != nil {
		t.Fatal(err)
	}
	want := `08:34:17.000000   +0.000s front: unknown key config=3 [front-2]
08:34:17.070385   +0.070s intake: stored what="submission" offset=58 [front-1]
08:34:17.071445   +0.071s dispatch: start task="eaf447d4678fdf24.0.0" index=0 run=1 worker="w1" [front-2]
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestExplainOfAnUnknownJobFails(t *testing.T) {
	if err := explain(&strings.Builder{}, "2222222222222222", strings.NewReader(explainLog)); err == nil {
		t.Error("no error")
	}
}
