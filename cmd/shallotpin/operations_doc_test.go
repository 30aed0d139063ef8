package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageNamesWhatIsWritten checks that every log line and metric that
// docs/OPERATIONS.md names is written by the programs.
func TestOperationsPageNamesWhatIsWritten(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	var source strings.Builder
	for _, pattern := range []string{"pkg/*/*.go", "platform/*.go", "cmd/shallotpin-entry/*.go"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			source.Write(text)
		}
	}
	lines := regexp.MustCompile("`((?:intake|front|feed|leader|dispatch|logsink|ingress|shallotpin-entry): [a-z][a-z ]*|shallotpin_[a-z_]+)").FindAllStringSubmatch(string(page), -1)
	if len(lines) < 30 {
		t.Errorf("found %d lines and metrics, expected them all", len(lines))
	}
	for _, line := range lines {
		if name := strings.TrimSpace(line[1]); !strings.Contains(source.String(), `"`+name) && !strings.Contains(source.String(), "`"+name) {
			t.Errorf("nothing writes %q", name)
		}
	}
}
