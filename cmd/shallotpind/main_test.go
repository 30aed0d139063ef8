package main

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/node"
)

// TestOperatorsPageNamesEverySetting checks that docs/OPERATORS.md has a table row
// for every flag with its environment variable.
func TestOperatorsPageNamesEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range []reflect.Type{reflect.TypeFor[node.Settings](), reflect.TypeFor[ingress.Options](), reflect.TypeFor[options]()} {
		for i := range typ.NumField() {
			tag := typ.Field(i).Tag
			if tag.Get("long") == "" {
				continue
			}
			row := "| `--" + tag.Get("long") + "` | `" + tag.Get("env") + "` |"
			if !strings.Contains(string(page), row) {
				t.Errorf("docs/OPERATORS.md has no row that begins %s", row)
			}
		}
	}
}

func TestWrongSettingsAreAllNamed(t *testing.T) {
	s := node.Settings{HTTP: "localhost:7400", Peer: "127.0.0.1", Log: "https://127.0.0.1:1", VMs: "http://log:1", ClockDrift: 1, MemoryMB: 1, MaxFDs: 5, Options: ingress.Options{HeaderBytes: 1}}
	problems := strings.Join(s.Problems(), "\n")
	for _, flag := range []string{"--id", "--zone", "--http", "--peer", "--log", "--vms", "--drain-timeout", "--lease-ttl", "--start-within", "--clock-drift", "--memory", "--max-fds", "--body-timeout", "--header-timeout", "--idle-timeout", "--header-bytes"} {
		if !strings.Contains(problems, flag+":") {
			t.Errorf("no problem reported for %s in:\n%s", flag, problems)
		}
	}
}

func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		want int
	}{
		"help":          {[]string{"--help"}, exitOK},
		"unknown flag":  {[]string{"--colour"}, exitUsage},
		"missing flags": {nil, exitUsage},
		"wrong address": {[]string{"--id", "a", "--zone", "z", "--http", "localhost:1"}, exitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := run(c.args); got != c.want {
				t.Errorf("exit code %d, want %d", got, c.want)
			}
		})
	}
}
