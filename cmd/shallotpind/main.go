// Command shallotpind runs the scheduler node of an entry VM until SIGTERM or an
// interrupt, and then shuts it down gracefully.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/node"
	"github.com/shallotpin/shallotpin/pkg/transport"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// softMemoryShare is the share of the memory limit that is the runtime's soft limit, near which
// the garbage collector runs more often.
const softMemoryShare = 0.5

// callerDefaults are the defaults of limits on callers that differ from those on the users'
// platform, whose callers keep connections for a shorter time.
var callerDefaults = map[string]string{"header-timeout": "5s", "idle-timeout": "1m"}

type options struct {
	node.Settings
	Verbosity int `long:"verbosity" env:"SHALLOTPIN_VERBOSITY" default:"0" description:"log verbosity, 0 to 5"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	for name, value := range callerDefaults {
		parser.FindOptionByLongName(name).Default = []string{value}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usageExit(err)
	}
	if problems := opts.Problems(); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, "shallotpind: "+p)
		}
		return exitUsage
	}
	if opts.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(opts.MemoryMB) * softMemoryShare * (1 << 20)))
	}
	setVerbosity(opts.Verbosity)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, opts.Settings); err != nil {
		klog.Errorf("shallotpind: %v", err)
		return exitFailed
	}
	return exitOK
}

func usageExit(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return exitOK
	}
	return exitUsage
}

func setVerbosity(v int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	fs.Set("v", fmt.Sprint(v))
}

func serve(ctx context.Context, s node.Settings) error {
	network := transport.TCP{}
	n, err := node.New(s, network, node.HTTPPlatform(s, network), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("ready http://%s\n", n.Address())
	<-ctx.Done()
	klog.Info("shallotpind: draining")
	return n.Stop(context.Background())
}
