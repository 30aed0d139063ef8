package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/shallotpin/shallotpin/pkg/dispatch"
)

// interferenceCommand prints which tasks slow each other down, as the leader on the users' platform
// has learned it.
type interferenceCommand struct {
	g    *globals
	Node string `long:"node" default:"http://127.0.0.1:7001" description:"URL of the metrics address of any node of shallotpin-entry"`
}

const (
	// interferenceTimeout bounds the call; the node answers from memory.
	interferenceTimeout = 5 * time.Second
	// maxInterferenceBytes bounds the answer: some 32 pairs.
	maxInterferenceBytes = 1 << 20
)

// Execute implements flags.Commander.
func (c *interferenceCommand) Execute([]string) error {
	client := http.Client{Timeout: interferenceTimeout}
	response, err := client.Get(c.Node + "/interference")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxInterferenceBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", c.Node, response.Status)
	}
	if c.g.Output == "json" {
		_, err := c.g.out.Write(body)
		return err
	}
	var pairs []dispatch.LearnedPair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return err
	}
	return printInterference(c.g.out, pairs, time.Now())
}

// printInterference prints a line for each pair.
func printInterference(out io.Writer, pairs []dispatch.LearnedPair, now time.Time) error {
	if len(pairs) == 0 {
		_, err := fmt.Fprintln(out, "no tasks are known to slow each other down")
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TASKS\tBESIDE\tTAKE LONGER BY\tOBSERVATIONS\tLAST SEEN")
	for _, p := range pairs {
		fmt.Fprintf(table, "%s\t%s\t%.0f %%\t%d\t%s ago\n", p.Subject, p.Other, 100*p.Harm, p.Observations, now.Sub(time.UnixMilli(p.AtMS)).Round(time.Second))
	}
	return table.Flush()
}
