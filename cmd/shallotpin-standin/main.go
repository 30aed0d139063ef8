// Command shallotpin-standin runs one of the fakes of package standin (log, VM list,
// workers or upstreams) as its own process, so that entry nodes can be run against
// them without a platform.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/shallotpin/shallotpin/pkg/backend"
	"github.com/shallotpin/shallotpin/pkg/standin"
)

type logCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7300" description:"IP:port to serve on"`
	Retain int    `long:"retain" default:"0" description:"entries kept; 0 keeps all"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	return serve(c.Listen, standin.NewLog(c.Retain).Handler())
}

type vmListCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:7301" description:"IP:port to serve on"`
	File   string        `long:"file" required:"true" description:"JSON file with the VMs"`
	Lag    time.Duration `long:"lag" default:"2s" description:"time before a change is shown"`
}

// Execute implements flags.Commander.
func (c *vmListCommand) Execute([]string) error {
	vms, err := readVMs(c.File)
	if err != nil {
		return err
	}
	return serve(c.Listen, standin.NewVMList(c.Lag, vms...).Handler())
}

type workersCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7302" description:"IP:port to serve on"`
	File   string `long:"file" required:"true" description:"JSON file with the VMs; every worker in it is served at /ID"`
}

// Execute implements flags.Commander.
func (c *workersCommand) Execute([]string) error {
	vms, err := readVMs(c.File)
	if err != nil {
		return err
	}
	return serve(c.Listen, standin.WorkersHandler(vms))
}

type upstreamsCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7303" description:"IP:port to serve on"`
	File        string        `long:"file" required:"true" description:"JSON file with the VMs; every upstream in it is served at /ID"`
	ServiceTime time.Duration `long:"service-time" default:"20ms" description:"how long a request takes"`
}

// Execute implements flags.Commander.
func (c *upstreamsCommand) Execute([]string) error {
	vms, err := readVMs(c.File)
	if err != nil {
		return err
	}
	return serve(c.Listen, standin.UpstreamsHandler(vms, c.ServiceTime))
}

type fleetCommand struct {
	Service     string            `long:"service" default:"stave-desk" description:"service that the upstreams serve"`
	Zones       []string          `long:"zone" description:"availability zone; repeat for each"`
	Workers     int               `long:"workers" default:"48" description:"number of workers"`
	Upstreams   int               `long:"upstreams" default:"48" description:"number of upstreams"`
	Entries     map[string]string `long:"entry" description:"entry VM as ID:IP:port of its peer address; repeat for each"`
	WorkerURL   string            `long:"worker-url" default:"http://127.0.0.1:7302" description:"URL below which the workers are served"`
	UpstreamURL string            `long:"upstream-url" default:"http://127.0.0.1:7303" description:"URL below which the upstreams are served"`
}

// Execute implements flags.Commander. It prints a VM file, which the commands vmlist,
// workers and upstreams read.
func (c *fleetCommand) Execute([]string) error {
	if len(c.Zones) == 0 {
		c.Zones = []string{"howrah", "salt-lake", "barasat"}
	}
	shape := standin.CurrentFleetShape(c.Service, c.Zones)
	shape.Workers, shape.Upstreams = c.Workers, c.Upstreams
	vms := shape.VMs(c.WorkerURL, c.UpstreamURL)
	for id, address := range c.Entries {
		vms = append(vms, backend.VM{ID: id, Kind: backend.KindEntry, Zone: c.Zones[0], Address: address})
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", " ")
	return enc.Encode(vms)
}

func readVMs(file string) ([]backend.VM, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var vms []backend.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return vms, nil
}

// serve serves h until SIGTERM or an interrupt.
func serve(listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := standin.Serve(l, h)
	fmt.Printf("ready http://%s\n", l.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return server.Close()
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	commands := []struct {
		name, description string
		data              any
	}{
		{"log", "append-only log service", &logCommand{}},
		{"vmlist", "lagging list of VMs", &vmListCommand{}},
		{"workers", "workers that run tasks under leases", &workersCommand{}},
		{"upstreams", "upstreams that answer short requests", &upstreamsCommand{}},
		{"fleet", "generator of a VM file for the other commands", &fleetCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, "run the "+c.description, "", c.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) {
			if flagErr.Type == flags.ErrHelp {
				return
			}
			os.Exit(2)
		}
		os.Exit(1)
	}
}
