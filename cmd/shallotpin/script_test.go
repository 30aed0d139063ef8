package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shallotpin/shallotpin/pkg/client"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shallotpin": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// buildPrograms builds the programs that scripts start as separate processes
// and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"shallotpin", "shallotpind", "shallotpin-standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("go build %s: %v\n%s", name, err, out)
		}
	}
	return dir
}

func TestScripts(t *testing.T) {
	bin := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			// The quick start in README.md submits a file of this directory.
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS("../../examples"))
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":  cmdPorts,
			"spawn":  cmdSpawn,
			"signal": cmdSignal,
			"await":  cmdAwait,
			"load":   cmdLoad, "loaded": cmdLoaded, "running": cmdRunning,
			"site": cmdSite, "finished": cmdFinished, "preset": cmdPreset, "ready": cmdReady,
		},
	})
}

// cmdPorts sets each named variable to an address for a process to listen on.
func cmdPorts(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, nextAddress())
	}
}

// firstPort lies below the ephemeral range, from which systems take the ports of
// outgoing connections.
const firstPort = 20000

var allocatedPorts atomic.Int32

// nextAddress returns a loopback address that nothing else uses: the IP address
// encodes the process ID, and each call returns another port. A port found by
// listening and closing could be taken before the spawned process listens.
func nextAddress() string {
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>16&0x7f), byte(pid>>8), byte(pid)).String()
	return net.JoinHostPort(host, strconv.Itoa(firstPort+int(allocatedPorts.Add(1))))
}

// cmdSpawn starts a program in the background under a name and waits for its
// line "ready URL".
func cmdSpawn(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: spawn NAME PROGRAM [ARG...]")
	}
	program, err := lookPath(ts.Getenv("PATH"), args[1])
	ts.Check(err)
	cmd := exec.Command(program, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	ts.Defer(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		cmd.Wait()
	})
	spawned.Store(ts.Name()+"/"+args[0], cmd)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ready ") {
		ts.Fatalf("%s is not ready: %q, %v", args[0], line, err)
	}
}

// spawned holds the spawned processes, each an *exec.Cmd, by script and name.
// Scripts run in parallel.
var spawned sync.Map

// process returns the process that a script spawned under name.
func process(ts *testscript.TestScript, name string) *exec.Cmd {
	cmd, ok := spawned.Load(ts.Name() + "/" + name)
	if !ok {
		ts.Fatalf("no process was spawned as %s", name)
	}
	return cmd.(*exec.Cmd)
}

func lookPath(path, program string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		full := filepath.Join(dir, program)
		if info, err := os.Stat(full); err == nil && !info.IsDir() {
			return full, nil
		}
	}
	return "", fmt.Errorf("program %s not found in %s", program, path)
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSite starts the fake platform services and the entry nodes e0 to e2 as
// separate processes, publishes config.json, and sets the variables H0 to H2 to
// the nodes' HTTP addresses.
func cmdSite(ts *testscript.TestScript, neg bool, args []string) {
	cmdPorts(ts, false, []string{"LOG", "VMS", "WORKERS", "UP", "H0", "P0", "H1", "P1", "H2", "P2"})
	env := ts.Getenv
	program, err := lookPath(env("PATH"), "shallotpin-standin")
	ts.Check(err)
	out, err := exec.Command(program, "fleet", "--worker-url", "http://"+env("WORKERS"), "--upstream-url", "http://"+env("UP"),
		"--entry", "e0:"+env("P0"), "--entry", "e1:"+env("P1"), "--entry", "e2:"+env("P2")).Output()
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("vms.json"), out, 0o600))
	spawn := func(args ...string) { cmdSpawn(ts, false, args) }
	spawn("log", "shallotpin-standin", "log", "--listen", env("LOG"))
	spawn("vmlist", "shallotpin-standin", "vmlist", "--listen", env("VMS"), "--file", "vms.json")
	spawn("workers", "shallotpin-standin", "workers", "--listen", env("WORKERS"), "--file", "vms.json")
	spawn("upstreams", "shallotpin-standin", "upstreams", "--listen", env("UP"), "--file", "vms.json")
	for i, zone := range []string{"howrah", "salt-lake", "barasat"} {
		n := strconv.Itoa(i)
		spawn("e"+n, "shallotpind", "--id", "e"+n, "--zone", zone, "--http", env("H"+n), "--peer", env("P"+n),
			"--log", "http://"+env("LOG"), "--vms", "http://"+env("VMS"))
	}
	ts.Check(ts.Exec("shallotpin", "--server", "http://"+env("H0"), "config", "publish", "config.json"))
	cmdReady(ts, false, []string{env("H0"), env("H1"), env("H2")})
}

// readyTimeout bounds the wait until nodes are ready.
const readyTimeout = 30 * time.Second

// cmdReady waits until the nodes with the given HTTP addresses are ready, as a load balancer
// does: it sends callers only to nodes that report so.
func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: ready ADDRESS...")
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, address := range args {
		ts.Check(client.New("http://" + address).WaitReady(ctx))
	}
}

// cmdSignal sends a signal to a spawned process.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME KILL|TERM|STOP|CONT")
	}
	ts.Check(process(ts, args[0]).Process.Signal(signals[args[1]]))
}

// cmdAwait waits for a spawned process to exit and checks that it exited with
// status 0 or, if negated, that it did not.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: await NAME")
	}
	err := process(ts, args[0]).Wait()
	if (err != nil) != neg {
		ts.Fatalf("%s exited with error %v", args[0], err)
	}
}
