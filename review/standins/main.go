// Command standins plays the script cases of a review: it starts stand-ins for the platform,
// the executors and the clients in its own process, and the project's program in a process
// for each entry VM, on loopback addresses and the real clock.
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// longest is how long a case may take.
const longest = 115 * time.Second

// cases are the plays. Each reports whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"cut":     playCut,
	"crash":   playCrash,
	"large":   playLarge,
	"pending": playPending,
	"reborn":  playReborn,
	"ends":    playEnds,
	"rack":    playRack,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitSetup
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.close()
		os.Exit(exitSetup)
	}()
	time.AfterFunc(longest, func() {
		rec.log("the case took too long")
		s.close()
		os.Exit(exitSetup)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	s.close()
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	case broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// step is a step of a submission.
type step struct {
	Count         int
	Cpu           int    `json:",omitempty"`
	MemMb         int    `json:",omitempty"`
	Gpu           int    `json:",omitempty"`
	EstMs         int    `json:",omitempty"`
	DependsOn     []int  `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	DataRack      string `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
}

// job is a submission.
type job struct {
	Spec       string
	Steps      []step
	Times      int   `json:",omitempty"`
	StartAtMs  int64 `json:",omitempty"`
	IntervalMs int64 `json:",omitempty"`
}

// begin starts the store, the executors of the given kinds, the operator's configuration and
// the nodes, and waits until the nodes have a leader that knows the executors.
func begin(s *site, kinds string, nodes, priority int) error {
	addr, err := s.serveStore()
	if err != nil {
		return err
	}
	for _, kind := range kinds {
		if _, err := s.addExecutor(string(kind)); err != nil {
			return err
		}
	}
	s.configure(priority)
	if err := s.startNodes(nodes, addr); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// waitFor waits until a condition holds, for at most d, and reports whether it does.
func waitFor(d time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
