package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/shallotpin/shallotpin/pkg/api"
)

// requestSlack is how long the client waits for an answer beyond the request's
// deadline.
const requestSlack = 5 * time.Second

// defaultDeadline is the deadline that the client assumes for its own wait if
// --deadline is not given.
const defaultDeadline = time.Minute

type jobSubmitCommand struct {
	g    *globals
	Wait bool    `long:"wait" description:"wait for the job to end and print its result"`
	Key  string  `long:"key" description:"idempotency key; default: a new one"`
	Args fileArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobSubmitCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	if c.Key == "" {
		c.Key = uuid.NewString()
	}
	ctx := context.Background()
	status, err := c.g.client().SubmitJob(ctx, data, c.Key)
	if err != nil {
		return err
	}
	if !c.Wait {
		return c.g.print(status, func() { fmt.Fprintln(c.g.out, status.ID) })
	}
	if status, err = c.g.client().WaitJob(ctx, status.ID); err != nil {
		return err
	}
	return c.g.printJob(status)
}

// printJob prints a job. It returns an error if the job ended in a phase other than
// done, so that the exit code follows the verdict.
func (g *globals) printJob(status api.JobStatus) error {
	err := g.print(status, func() {
		fmt.Fprintf(g.out, "%s %s, %s, %d attempts\n", status.ID, status.Phase, status.Verdict, status.Attempts)
		for _, r := range status.Results {
			fmt.Fprintln(g.out, r)
		}
	})
	if err == nil && status.Phase.Ended() && status.Phase != api.PhaseDone {
		return &api.Error{Code: api.CodeFailed, Message: fmt.Sprintf("job %s %s: %s", status.ID, status.Phase, status.Reason), Verdict: status.Verdict}
	}
	return err
}

// idArg is a positional job ID.
type idArg struct {
	ID string `positional-arg-name:"ID" required:"true"`
}

type jobGetCommand struct {
	g    *globals
	Args idArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobGetCommand) Execute([]string) error {
	status, err := c.g.client().Job(context.Background(), c.Args.ID)
	if err != nil {
		return err
	}
	return c.g.print(status, func() {
		fmt.Fprintf(c.g.out, "%s %s, %s, %d attempts %s\n", status.ID, status.Phase, status.Verdict, status.Attempts, status.Reason)
	})
}

type jobCancelCommand struct {
	g    *globals
	Args idArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	status, err := c.g.client().CancelJob(context.Background(), c.Args.ID)
	if err != nil {
		return err
	}
	return c.g.print(status, func() { fmt.Fprintf(c.g.out, "%s %s\n", status.ID, status.Phase) })
}

type jobListCommand struct{ g *globals }

// Execute implements flags.Commander.
func (c *jobListCommand) Execute([]string) error {
	jobs, err := c.g.client().Jobs(context.Background())
	if err != nil {
		return err
	}
	return c.g.print(jobs, func() {
		w := tabwriter.NewWriter(c.g.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "ID\tACCOUNT\tCLASS\tTASKS\tPHASE\tVERDICT\tREASON")
		for _, j := range jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", j.ID, j.Spec.Account, j.Spec.Class, j.Spec.Tasks, j.Phase, j.Verdict, j.Reason)
		}
		w.Flush()
	})
}

type requestCommand struct {
	g          *globals
	Account    string        `long:"account" env:"SHALLOTPIN_ACCOUNT" required:"true" description:"client account that the request is for"`
	Class      string        `long:"class" description:"class of the request; default: the service's first"`
	Idempotent bool          `long:"idempotent" description:"the request may safely run twice"`
	Key        string        `long:"key" description:"idempotency key, for a retry through any entry VM"`
	Deadline   time.Duration `long:"deadline" description:"longest time to the answer; default: the class's"`
	Args       struct {
		Service string   `positional-arg-name:"SERVICE" required:"true"`
		Body    []string `positional-arg-name:"BODY" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	wait := c.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+requestSlack)
	defer cancel()
	answer, err := c.g.client().Request(ctx, &api.Request{
		Account: c.Account, Service: c.Args.Service, Class: c.Class, Key: c.Key,
		Idempotent: c.Idempotent, Timeout: c.Deadline, Body: []byte(strings.Join(c.Args.Body, " ")),
	})
	if err != nil {
		return err
	}
	return c.g.print(answer, func() { fmt.Fprintln(c.g.out, answer.Body) })
}
