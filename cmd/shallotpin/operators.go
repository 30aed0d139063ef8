package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/shallotpin/shallotpin/deploy"
	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/bench"
	"github.com/shallotpin/shallotpin/pkg/dev"
	"github.com/shallotpin/shallotpin/pkg/frontdoor"
)

type devCommand struct {
	g       *globals
	Listen  string `long:"listen" default:"127.0.0.1:7400" description:"IP:port of the first entry node"`
	Entries int    `long:"entries" default:"3" description:"number of entry nodes, 1 to 50"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	if c.Entries < 1 || c.Entries > 50 {
		return api.FieldErrorf("--entries", "%d is not between 1 and 50", c.Entries)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	site, err := dev.Start(ctx, c.Listen, c.Entries, deploy.StaveDesk)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.g.out, "ready http://%s\n", site.Address())
	<-ctx.Done()
	return site.Stop(context.Background())
}

// fileArg is a positional file name.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

func (f *fileArg) read() ([]byte, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, api.FieldErrorf("FILE", "%v", err)
	}
	return data, nil
}

// baseOption is the version that a change is based on.
type baseOption struct {
	IfVersion *uint64 `long:"if-version" description:"refuse unless this is the version in force; default: the version known to the node"`
}

type configPublishCommand struct {
	g *globals
	baseOption
	Args fileArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *configPublishCommand) Execute([]string) error {
	data, err := c.Args.read()
	if err != nil {
		return err
	}
	out, err := c.g.client().PublishConfig(context.Background(), data, c.IfVersion)
	return c.g.printChange("configuration", out, err)
}

// printChange prints the version that a change created, or returns err.
func (g *globals) printChange(what string, out frontdoor.ChangeBody, err error) error {
	if err != nil {
		return err
	}
	return g.print(out, func() { fmt.Fprintf(g.out, "%s in force, version %d\n", what, out.Version) })
}

// print writes v as JSON or calls text, depending on --output.
func (g *globals) print(v any, text func()) error {
	if g.Output == "json" {
		return json.NewEncoder(g.out).Encode(v)
	}
	text()
	return nil
}

type configShowCommand struct{ g *globals }

// Execute implements flags.Commander.
func (c *configShowCommand) Execute([]string) error {
	out, err := c.g.client().Config(context.Background())
	if err != nil {
		return err
	}
	return c.g.print(out, func() {
		fmt.Fprintf(c.g.out, "version %d, preset %s\n", out.Version, out.Preset)
		enc := json.NewEncoder(c.g.out)
		enc.SetIndent("", "  ")
		enc.Encode(out.Config)
	})
}

type presetSwitchCommand struct {
	g *globals
	baseOption
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *presetSwitchCommand) Execute([]string) error {
	out, err := c.g.client().SwitchPreset(context.Background(), frontdoor.PresetCall{Preset: c.Args.Name, Base: c.IfVersion})
	return c.g.printChange("preset "+c.Args.Name, out, err)
}

type zoneCommand struct {
	g   *globals
	out bool
	baseOption
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *zoneCommand) Execute([]string) error {
	out, err := c.g.client().SetZone(context.Background(), c.Args.Name, frontdoor.ZoneCall{Out: c.out, Base: c.IfVersion})
	what := "availability zone " + c.Args.Name + " taken back in;"
	if c.out {
		what = "availability zone " + c.Args.Name + " taken out;"
	}
	return c.g.printChange(what, out, err)
}

type statusCommand struct{ g *globals }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	st, err := c.g.client().Status(context.Background())
	if err != nil {
		return err
	}
	return c.g.print(st, func() { c.text(&st) })
}

func (c *statusCommand) text(st *frontdoor.StatusBody) {
	fmt.Fprintf(c.g.out, "preset %s, configuration version %d, log read up to offset %d, %d ms ago\n\n", st.Preset, st.ConfigVersion, st.Offset, st.LogAgeMS)
	w := tabwriter.NewWriter(c.g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tSTATE\tWORKERS\tACCELERATORS USED\tUPSTREAMS")
	for _, z := range st.Zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d of %d\t%d\n", z.Name, state, z.Workers, z.Used.Accelerators, z.Capacity.Accelerators, z.Upstreams)
	}
	fmt.Fprintln(w, "\nACCOUNT\tGUARANTEED SHAPE\tPENDING\tPLACED\t")
	for _, a := range st.Accounts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t\n", a.Name, shapes(&a), a.Pending, a.Placed)
	}
	w.Flush()
	for _, a := range st.Accounts {
		for _, u := range a.Unfit {
			fmt.Fprintf(c.g.out, "ALARM: %s cannot have %d workers × %d accelerators within a %s: too few workers are left\n", a.Name, u.Workers, u.PerWorker.Accelerators, u.Within)
		}
	}
	fmt.Fprintf(c.g.out, "\nnodes: %v\njobs: %v\n", st.Nodes, st.Jobs)
}

func shapes(a *frontdoor.AccountStatus) string {
	text := ""
	for _, g := range a.Guarantees {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d × %d workers × %d accelerators within a %s", g.Count, g.Workers, g.PerWorker.Accelerators, g.Within)
	}
	if text == "" {
		return "none"
	}
	return text
}

type benchCommand struct {
	g        *globals
	Scenario string `long:"scenario" required:"true" description:"name of the scenario"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of every random choice"`
	Workers  int    `long:"workers" default:"0" description:"number of workers; 0 takes the scenario's own"`
	JSON     bool   `long:"json" description:"print one JSON object on one line"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	result, err := bench.Run(context.Background(), bench.Options{Scenario: c.Scenario, Seed: c.Seed, Workers: c.Workers})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(c.g.out).Encode(result)
	}
	return c.g.print(result, func() { result.Text(c.g.out) })
}
