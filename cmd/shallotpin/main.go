// Command shallotpin is the command-line client for operators and callers. Its
// commands call the HTTP API of an entry VM, except dev and bench, which run
// nodes in the process itself, and explain, which reads log files.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/shallotpin/shallotpin/pkg/api"
	"github.com/shallotpin/shallotpin/pkg/client"
)

// Exit codes, which scripts rely on.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitNotRun     = 3
	exitMayHaveRun = 4
)

// globals are the options that every command has.
type globals struct {
	Server string `long:"server" env:"SHALLOTPIN_SERVER" default:"http://127.0.0.1:7400" description:"URL of an entry VM"`
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`

	out io.Writer
}

func (g *globals) client() *client.Client { return client.New(g.Server) }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	g := &globals{out: stdout}
	parser := flags.NewNamedParser("shallotpin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Schedules multi-accelerator jobs under client account guarantees, and short requests to upstreams.\n\n" +
		"Exit codes: 0 done; 2 bad usage or bad input; 3 refused and not run; 4 may have run; 1 anything else."
	if _, err := parser.AddGroup("Client options", "", g); err != nil {
		panic(err)
	}
	addCommands(parser, g)
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(stderr, "shallotpin: "+err.Error())
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var flagErr *flags.Error
	var apiErr *api.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagErr):
		return exitUsage
	case !errors.As(err, &apiErr):
		return exitFailed
	case apiErr.Verdict == api.MayHaveRun:
		return exitMayHaveRun
	case apiErr.Code == api.CodeInvalid || apiErr.Code == api.CodeNotFound:
		return exitUsage
	case apiErr.Verdict == api.NotRun:
		return exitNotRun
	default:
		return exitFailed
	}
}

// add registers a command. It panics on an error, since the commands are fixed at
// compile time.
func add(parent *flags.Command, name, short, long string, data any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return c
}

func addCommands(parser *flags.Parser, g *globals) {
	root := parser.Command
	add(root, "dev", "run entry nodes and stand-ins in one process",
		"Runs until a signal, with a sample configuration. Prints \"ready http://ADDR\" once jobs and requests are taken.", &devCommand{g: g})
	addOperatorCommands(root, g)
	addJobCommands(root, g)
	add(root, "request", "send one short request to a service",
		"Prints the answer. Example:\n\n  shallotpin request stave-desk --account yard-agents --idempotent 'price of 40 staves'\n\n"+
			"Exit code 4 means that the request may have run: repeat it only if it is idempotent, or with the same --key.", &requestCommand{g: g})
	add(root, "status", "show accounts, zones, workers, queue and log freshness", "", &statusCommand{g: g})
	add(root, "explain", "print what the nodes' logs say of a job",
		"Reads the logs of any number of nodes and prints the decisions that touched the job, in order. Example:\n\n  shallotpin explain 5c0e7a21d94b36f8 node-*.log", &explainCommand{g: g})
	add(root, "where", "show where a job's tasks would go now, and why, without sending it",
		"Asks the leader through any node of shallotpin-entry. Nothing is changed; a busy leader refuses. Examples:\n\n"+
			"  shallotpin where 5c0e7a21d94b36f8\n  shallotpin where job.json --queue lot-appraisal --account coopers -o json", &whereCommand{g: g})
	add(root, "interference", "show which tasks slow each other down on one worker",
		"Asks a node of shallotpin-entry for what the leader has recorded. Example:\n\n  shallotpin interference --node http://10.1.0.19:7001", &interferenceCommand{g: g})
	add(root, "bench", "run a scenario and print its figures",
		"Prints one JSON object with --json: {\"scenario\":…,\"seed\":…,\"figures\":{name:number}}. Example:\n\n  shallotpin bench --scenario reclaim --seed 3 --json", &benchCommand{g: g})
}

func addOperatorCommands(root *flags.Command, g *globals) {
	conf := add(root, "config", "publish or show the configuration", "", &struct{}{})
	add(conf, "publish", "publish a JSON document as the configuration",
		"The document is accepted or refused as a whole; a refusal names every bad field. Example:\n\n  shallotpin config publish deploy/stave-desk.json --if-version 7", &configPublishCommand{g: g})
	add(conf, "show", "show the configuration in force", "", &configShowCommand{g: g})
	preset := add(root, "preset", "switch presets", "", &struct{}{})
	add(preset, "switch", "put a preset in force", "Exactly one preset is in force. Example:\n\n  shallotpin preset switch peak", &presetSwitchCommand{g: g})
	zone := add(root, "zone", "take an availability zone out or back in", "", &struct{}{})
	add(zone, "out", "take an availability zone out of service", "No task starts in the zone later than 5 s after this command has returned.", &zoneCommand{g: g, out: true})
	add(zone, "in", "take an availability zone back into service", "", &zoneCommand{g: g})
}

func addJobCommands(root *flags.Command, g *globals) {
	job := add(root, "job", "submit, show, cancel and list jobs", "", &struct{}{})
	add(job, "submit", "submit a job specification in JSON",
		"Prints the job's ID, or with --wait its result. A retry with the same --key never submits twice. Example of a FILE:\n\n"+
			"  {\"account\": \"coopers\", \"class\": \"appraisal\", \"tasks\": 4, \"within\": \"rack\",\n"+
			"   \"per_task\": {\"cores\": 16, \"memory_gb\": 64, \"accelerators\": 8}}", &jobSubmitCommand{g: g})
	add(job, "get", "show a job", "", &jobGetCommand{g: g})
	add(job, "cancel", "cancel a job", "A waiting job ends at once; the tasks of a placed one are stopped first.", &jobCancelCommand{g: g})
	add(job, "list", "list the jobs", "", &jobListCommand{g: g})
}
