package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/shallotpin/shallotpin/pkg/dispatch"
)

// whereCommand prints where the tasks of a job would go now, and why.
type whereCommand struct {
	g       *globals
	Node    string `long:"node" default:"http://127.0.0.1:7001" description:"URL of the metrics address of any node of shallotpin-entry"`
	Queue   string `long:"queue" description:"queue of the job in FILE"`
	Account string `long:"account" description:"client account of the job in FILE"`
	Args    struct {
		Job string `positional-arg-name:"JOB" required:"true" description:"ID of an accepted job, or a file with a job as callers submit it"`
	} `positional-args:"true"`
}

const (
	// whereTimeout bounds the call: the node may ask the leader.
	whereTimeout = 5 * time.Second
	// maxWhereBytes bounds the answer.
	maxWhereBytes = 8 << 20
)

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	response, err := c.ask()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	if c.g.Output == "json" {
		_, err := c.g.out.Write(body)
		return err
	}
	var answer dispatch.WhereAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	printWhere(c.g.out, &answer)
	return nil
}

func (c *whereCommand) ask() (*http.Response, error) {
	client := http.Client{Timeout: whereTimeout}
	data, err := os.ReadFile(c.Args.Job)
	if errors.Is(err, os.ErrNotExist) {
		return client.Get(c.Node + "/where?" + url.Values{"job": {c.Args.Job}}.Encode())
	}
	if err != nil {
		return nil, err
	}
	return client.Post(c.Node+"/where?"+url.Values{"queue": {c.Queue}, "account": {c.Account}}.Encode(), "application/json", bytes.NewReader(data))
}

// printWhere prints an answer for people.
func printWhere(out io.Writer, a *dispatch.WhereAnswer) {
	fmt.Fprintf(out, "job %s", a.Job)
	if a.Phase != "" {
		fmt.Fprintf(out, ", %s", a.Phase)
	}
	if a.Term > 0 {
		fmt.Fprintf(out, "; leader of term %d, workers and configuration as of %s ago, jobs as of %s ago", a.Term, rounded(a.ViewAge), rounded(a.LedgerAge))
		if !a.Settled {
			fmt.Fprint(out, "; some workers have not answered this leader yet")
		}
	}
	fmt.Fprintln(out)
	if a.Note != "" {
		fmt.Fprintln(out, a.Note)
	}
	for i := range a.Steps {
		printWhereStep(out, &a.Steps[i])
	}
}

func printWhereStep(out io.Writer, s *dispatch.WhereStep) {
	fmt.Fprintf(out, "round %d, step %d, %d tasks: %s", s.Round, s.Step, s.Tasks, s.State)
	if s.Start >= 0 {
		fmt.Fprintf(out, "; start in %s", rounded(s.Start))
	}
	if s.Finish >= 0 {
		fmt.Fprintf(out, "; end in %s", rounded(s.Finish))
	}
	fmt.Fprintf(out, "; late in %s\n", rounded(s.Deadline))
	for _, r := range s.Runs {
		fmt.Fprintf(out, "  task %d runs on %s, %d %% done, %s left\n", r.Index, r.Worker, r.Percent, rounded(r.Left))
	}
	x := s.Placement
	if x == nil {
		return
	}
	fmt.Fprintf(out, "  %d steps of jobs come before\n", x.Ahead)
	for _, f := range x.Filters {
		fmt.Fprintf(out, "  %5d %s\n", f.Left, f.Name)
	}
	for _, o := range x.Options {
		fmt.Fprintf(out, "  candidate %s in %s: avoided %t, penalty %d, harm %.2f, mixes %t, speed class %d (%.2f), free %d cores, %d MB, %d accelerators\n",
			o.Worker, o.Rack, o.Avoided, o.Penalty, o.Harm, o.Mixes, o.Class, o.Speed, o.Free.MilliCores/1000, o.Free.MemoryMB, o.Free.Accelerators)
	}
	for _, start := range x.Start {
		fmt.Fprintf(out, "  task %d starts on %s\n", start.Task.Index, start.Worker)
	}
	for _, reserved := range x.Reserve {
		fmt.Fprintf(out, "  task %d waits for room on %s\n", reserved.Task.Index, reserved.Worker)
	}
	for _, stop := range s.Stops {
		fmt.Fprintf(out, "  %s is stopped and loses %.0f core-seconds\n", stop.Task, stop.LostCoreSeconds)
	}
	if x.OverQuota {
		fmt.Fprintln(out, "  the limit of its account holds tasks back")
	}
	if x.Unsearched {
		fmt.Fprintln(out, "  others are not looked for to be stopped in this plan")
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
