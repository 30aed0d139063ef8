// Command shallotpin-entry is the daemon of an entry VM on the users' platform: it serves
// callers and, while its node is the leader, schedules jobs and sends orders to workers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/dispatch"
	"github.com/shallotpin/shallotpin/pkg/election"
	"github.com/shallotpin/shallotpin/pkg/entry"
	"github.com/shallotpin/shallotpin/pkg/features"
	"github.com/shallotpin/shallotpin/pkg/ingress"
	"github.com/shallotpin/shallotpin/pkg/logsink"
	"github.com/shallotpin/shallotpin/pkg/occupancy"
	"github.com/shallotpin/shallotpin/pkg/peer"
	"github.com/shallotpin/shallotpin/pkg/replies"
	"github.com/shallotpin/shallotpin/pkg/steady"
	"github.com/shallotpin/shallotpin/pkg/transport"
	"github.com/shallotpin/shallotpin/platform"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	// balancerDelay is how long the load balancer takes to notice that a node is not
	// ready: two checks, one second apart, and a margin.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that remains once all connections must be
	// closed.
	stopMargin = 700 * time.Millisecond
	// dialTimeout limits a connection attempt; it outlasts the loss of one packet.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long idle connections to workers and the store are kept open: the
	// leader of thousands of workers must not keep those to workers without runs.
	idleTimeout = 20 * time.Second
	// maxIdleConns is how many idle connections to one worker or the store are kept: a
	// renewal that waits, and an order beside it.
	maxIdleConns = 2
	// connBufferBytes is the size of each buffer of a connection. Orders and most replies
	// fit; with the default of 4 KiB, buffers are a third of a leader's memory.
	connBufferBytes = 1 << 10
	// headerTimeout limits the time to read the header of a readiness check or of a request for
	// metrics, and probeIdleTimeout is how long their idle connections are kept open.
	headerTimeout    = 3 * time.Second
	probeIdleTimeout = 15 * time.Second
	// probeHeaderBytes limits their headers.
	probeHeaderBytes = 8 << 10
	// softMemoryShare is the share of the memory limit that is the runtime's soft limit,
	// near which the garbage collector runs more often.
	softMemoryShare = 0.5
	// clockDrift is the platform's limit for how much slower a worker's clock may run.
	clockDrift = 0.02
	// defaultMaxViewAge is the greatest age of a view at which tasks are started, where the
	// platform sets no limit: three quarters of the shortest limit known.
	defaultMaxViewAge = 1500 * time.Millisecond
	// leaseWindow is how long tasks run on while the leader cannot write to the log: the
	// longest outages known are of 7 s, and the rest is for the leader's recovery.
	leaseWindow = 10 * time.Second
)

type options struct {
	SettingsFile string            `long:"settings" env:"SHALLOTPIN_NODE_FILE" required:"true" description:"path of the platform's settings file (YAML)"`
	Metrics      string            `long:"metrics" env:"SHALLOTPIN_METRICS" default:":7001" description:"address that serves /metrics"`
	PeerPort     int               `long:"peer-port" env:"SHALLOTPIN_PEER_PORT" default:"7002" description:"port for calls between the nodes, one of the platform's range"`
	Features     string            `long:"features" env:"SHALLOTPIN_FEATURES" description:"optional parts to switch on or off, such as stops=off,speeds=on; the settings decide about the others"`
	Callers      ingress.Options   `group:"callers"`
	Jobs         occupancy.Options `group:"accepted jobs"`
	Verbosity    int               `long:"verbosity" env:"SHALLOTPIN_VERBOSITY" default:"0" description:"log verbosity, 0 to 5"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	if _, err := flags.ParseArgs(&opts, args); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitDone
		}
		return exitUsage
	}
	settings, err := platform.LoadSettings(opts.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shallotpin-entry: "+err.Error())
		return exitUsage
	}
	if _, err := defaultFeatures(settings).Override(opts.Features); err != nil {
		fmt.Fprintln(os.Stderr, "shallotpin-entry: "+err.Error())
		return exitUsage
	}
	if problems := append(opts.Callers.Problems(), opts.Jobs.Problems()...); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, "shallotpin-entry: "+p)
		}
		return exitUsage
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	setUpLogs(sink, opts.Verbosity)
	defer klog.Flush()
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * softMemoryShare * (1 << 20)))
	}
	if err := serve(settings, opts); err != nil {
		klog.ErrorS(err, "shallotpin-entry: cannot serve")
		return exitFailed
	}
	return exitDone
}

func setUpLogs(sink *logsink.Sink, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	for name, value := range map[string]string{"v": fmt.Sprint(verbosity), "logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := fs.Set(name, value); err != nil {
			panic(err)
		}
	}
	klog.SetOutput(sink)
}

// maxBatchBytes bounds the keys and values of one call to the store: half of the platform's
// limit leaves room for their encoding.
func maxBatchBytes(s *platform.Settings) int { return s.Store.CallBytes / 2 }

// dispatchSettings derives the settings of dispatch and election from the platform's
// limits.
func dispatchSettings(s *platform.Settings, overrides string) dispatch.Settings {
	// The overrides were checked at the start.
	enabled, _ := defaultFeatures(s).Override(overrides)
	failAfter := platform.Millis(s.Bounds.ContactMS) * 2 / 3
	leaseDuration := platform.Millis(s.Bounds.HoldMaxMS)
	return dispatch.Settings{
		MaxConfigAge: maxViewAge(s.Bounds.EvacuateMS), MaxWorkersAge: maxViewAge(s.Bounds.DrainMS), MaxLedgerAge: maxViewAge(s.Bounds.CancelMS),
		// A start that a later incarnation of its worker carries out has the longest lease, also at
		// the end of the start window.
		LeaseDuration: leaseDuration, LeaseWindow: max(leaseWindow, failAfter+leaseDuration), ClockDrift: clockDrift, GangStartTimeout: platform.Millis(s.Bounds.GangMS),
		MaxStopTime: platform.Millis(s.Bounds.StopMS), MaxReclaimTime: platform.Millis(s.Bounds.ReclaimMS), CheckpointInterval: platform.Seconds(s.Bounds.SaveS), EndedJobRetention: platform.Seconds(s.Bounds.StatusS),
		RestoreTime: platform.Millis(s.Bounds.RestoreMS), RecordInterval: platform.Millis(max(0, s.HeartbeatMS)), Features: enabled,
		MaxRecordBytes: s.MaxRecordBytes(), MaxWriteBytes: maxBatchBytes(s),
		Election: election.Settings{FailAfter: failAfter, MaxReadGap: entry.MaxReadDuration, Stagger: failAfter / 50, SuspectAfter: failAfter / 5, LogSettleTime: failAfter * 3 / 4, StartWindow: failAfter, RenewWindow: 3 * failAfter, HeartbeatInterval: failAfter / 4},
	}
}

// maxFrequentSaveS is the longest time between two checkpoints, in seconds, at which the parts that
// weigh stops and place by speeds are on. Deployments with longer ones are served without them.
const maxFrequentSaveS = 0.5

// defaultFeatures returns the optional parts that a deployment uses by its settings.
func defaultFeatures(s *platform.Settings) features.Set {
	frequent := s.Bounds.SaveS > 0 && s.Bounds.SaveS <= maxFrequentSaveS
	// The time to resume says what a stop costs. No setting tells speeds: until workers show that
	// they differ, that part changes nothing.
	return features.Set{Stops: frequent && s.Bounds.RestoreMS > 0, Speeds: frequent}
}

// maxViewAge returns the greatest age of a view at which tasks are started, given the time
// within which a change must take effect, in milliseconds; 0 means unknown. A quarter of the
// time remains for the order.
func maxViewAge(limitMS int64) time.Duration {
	if limitMS <= 0 {
		return defaultMaxViewAge
	}
	return platform.Millis(limitMS) * 3 / 4
}

func serve(s *platform.Settings, opts options) error {
	store := &http.Client{Transport: newTransport()}
	memory := int64(s.Limits.MemoryMB) << 20
	storeReplies := replies.NewBudget("store", memory, platform.StoreHeldPerByte)
	topic := func(name string) *platform.Topic {
		return &platform.Topic{Base: "http://" + s.Store.Addr, Name: name, Client: store, Replies: storeReplies}
	}
	unixMS := func() int64 { return time.Now().UnixMilli() }
	host, _, err := net.SplitHostPort(s.Listen.Front)
	if err != nil {
		return fmt.Errorf("settings: Listen.Front: %w", err)
	}
	peerAddress := net.JoinHostPort(host, strconv.Itoa(opts.PeerPort))
	peers := peer.New(transport.TCP{}, peerAddress)
	orders := &http.Client{Transport: newTransport()}
	var adviser backend.Adviser
	if s.Advice != "" {
		adviser = &platform.Adviser{Base: "http://" + s.Advice, Client: orders, Replies: replies.NewBudget("adviser", memory, platform.OrderHeldPerByte)}
	}
	node, err := entry.New(entry.Settings{Name: s.NodeName, Incarnation: s.NodeName + "/" + uuid.NewString(), Address: peerAddress, Dispatch: dispatchSettings(s, opts.Features), MaxBatchBytes: maxBatchBytes(s), LinkRate: int(s.Limits.LinkMbps * 1e6 / 8), LogReadsPerSecond: s.Store.ReadsPerS, Cores: s.Limits.CPUShare * max(1, s.Limits.Cores), MemoryMB: s.Limits.MemoryMB, JobBytes: opts.Jobs.Limit(memory), Now: steady.Now, UnixMS: unixMS},
		entry.Platform{Ledger: topic(platform.LedgerTopic), OperatorConfig: topic(platform.OperatorTopic), Workers: topic(platform.WorkerTopic),
			Orders: &platform.Orders{Client: orders, Replies: replies.NewBudget("workers", memory, platform.OrderHeldPerByte)}, Adviser: adviser, DecodeOperator: platform.DecodeOperator, DecodeWorker: platform.DecodeWorker, Peers: peers})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := peers.Start(ctx, nil); err != nil {
		return err
	}
	node.Start(ctx)
	klog.InfoS("shallotpin-entry: started", "node", s.NodeName, "zone", s.Zone, "front", s.Listen.Front, "settings", opts.SettingsFile, "features", dispatchSettings(s, opts.Features).Features.String())

	var draining atomic.Bool
	gate := ingress.New(opts.Callers, ingress.Machine{MemoryBytes: int64(s.Limits.MemoryMB) << 20, Descriptors: s.Limits.MaxFDs})
	gate.RegisterMetrics(metrics.GetDefaultSet())
	metrics.GetOrCreateGauge("shallotpin_jobs_occupied_bytes", func() float64 {
		bytes, _ := node.OccupiedBytes()
		return float64(bytes)
	})
	metrics.GetOrCreateGauge("shallotpin_jobs_occupied_limit_bytes", func() float64 {
		_, limit := node.OccupiedBytes()
		return float64(limit)
	})
	jobs := &platform.JobHandler{Intake: node.Intake, CurrentConfig: node.CurrentConfig, UnixMS: unixMS, Ingress: gate}
	front := &http.Server{Handler: closeWhenDraining(&draining, jobs)}
	gate.Prepare(front)
	ready := &http.Server{Handler: readinessHandler(&draining, node), ReadHeaderTimeout: headerTimeout, IdleTimeout: probeIdleTimeout, MaxHeaderBytes: probeHeaderBytes}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("/where", func(w http.ResponseWriter, r *http.Request) { answerWhere(w, r, node) })
	mux.HandleFunc("/interference", func(w http.ResponseWriter, _ *http.Request) { writeInterference(w, node) })
	metricsServer := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: probeIdleTimeout, MaxHeaderBytes: probeHeaderBytes}
	failed := make(chan error, 3)
	for address, server := range map[string]*http.Server{s.Listen.Front: front, s.Listen.Ready: ready, opts.Metrics: metricsServer} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		if server == front {
			listener = gate.Listener(listener)
		} else {
			ingress.LimitProbes(listener)
		}
		go func() { failed <- server.Serve(listener) }()
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	watcher := &settingsWatcher{path: opts.SettingsFile, current: *s, apply: func(s *platform.Settings) { node.UpdateSettings(dispatchSettings(s, opts.Features)) }}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for running := true; running; {
		select {
		case err := <-failed:
			return err
		case <-poll.C:
			watcher.check("poll")
			if config, _, _ := node.OperatorConfig.Current(); config != nil {
				gate.SetLimits(config.Callers)
			}
			gate.Sweep()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				watcher.check("SIGHUP")
			} else {
				running = false
			}
		}
	}
	klog.InfoS("shallotpin-entry: draining", "leading", node.Leading(), "grace_s", s.Bounds.GraceS)
	draining.Store(true)
	go gate.Run(ctx)
	node.Resign()
	time.Sleep(balancerDelay)
	stopCtx, stop := context.WithTimeout(ctx, platform.Seconds(s.Bounds.GraceS)-balancerDelay-stopMargin)
	defer stop()
	if err := front.Shutdown(stopCtx); err != nil {
		klog.InfoS("shallotpin-entry: requests still open at the end of the grace time", "err", err)
	}
	if err := peers.Stop(stopCtx); err != nil {
		klog.InfoS("shallotpin-entry: peer server not stopped cleanly", "err", err)
	}
	cancel()
	node.Wait()
	klog.InfoS("shallotpin-entry: stopped", "node", s.NodeName)
	return nil
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes}
}

// closeWhenDraining wraps a handler so that, while the node is draining, each response
// closes its connection.
func closeWhenDraining(draining *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readinessHandler answers 200 if the node is ready and not draining, otherwise 503.
func readinessHandler(draining *atomic.Bool, node *entry.Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if draining.Load() || !node.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// writeInterference answers with the pairs of tasks that slow each other down, as a JSON array.
func writeInterference(w http.ResponseWriter, node *entry.Node) {
	pairs, err := node.Interference()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(append([]dispatch.LearnedPair{}, pairs...)); err != nil {
		klog.V(1).InfoS("shallotpin-entry: answer not written", "err", err)
	}
}
