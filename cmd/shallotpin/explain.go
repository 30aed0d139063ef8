package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// explainCommand prints the log lines of the nodes about one job.
type explainCommand struct {
	g    *globals
	Args struct {
		ID    string           `positional-arg-name:"ID" required:"true" description:"ID of the job"`
		Files []flags.Filename `positional-arg-name:"FILE" description:"log files of the nodes; standard input if there is none"`
	} `positional-args:"true"`
}

// logLine matches a structured log line: an optional prefix such as a node's name, the time
// of day, the message and the fields.
var logLine = regexp.MustCompile(`^(.*?)[IWE]\d{4} (\d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ \S+\] "([^"]*)"(.*)$`)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// event is one log line of a job.
type event struct {
	node, clock, message, fields string
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if len(c.Args.Files) == 0 {
		return explain(c.g.out, c.Args.ID, os.Stdin)
	}
	var readers []io.Reader
	for _, name := range c.Args.Files {
		f, err := os.Open(string(name))
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return explain(c.g.out, c.Args.ID, readers...)
}

// explain prints the log lines of a job, ordered by time of day, each with the
// seconds since the first one. It returns an error if there are none.
func explain(out io.Writer, id string, logs ...io.Reader) error {
	var events []event
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			m := logLine.FindStringSubmatch(scanner.Text())
			if m != nil && strings.Contains(m[4], id) {
				events = append(events, event{strings.TrimSpace(m[1]), m[2], m[3], m[4]})
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	if len(events) == 0 {
		return errors.New("no log line names " + id)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.clock, b.clock) })
	begin := parseClock(events[0].clock)
	for _, e := range events {
		fields := strings.ReplaceAll(e.fields, fmt.Sprintf(" job=%q", id), "")
		fmt.Fprintf(out, "%s %+8.3fs %s%s%s\n", e.clock, parseClock(e.clock).Sub(begin).Seconds(), e.message, fields, nodeSuffix(e.node))
	}
	return nil
}

func parseClock(text string) time.Time {
	// logLine has checked the format.
	t, _ := time.Parse("15:04:05.000000", text)
	return t
}

func nodeSuffix(node string) string {
	if node == "" {
		return ""
	}
	return " [" + node + "]"
}
