// Command standins-2 plays the scripted cases of the second review: it starts the project's
// own nodes as processes, and stands in for the store, the executors and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that takes longer than a script may run.
const limit = 115 * time.Second

var cases = map[string]func(*site){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER, in the project's root")
		os.Exit(cannotRun)
	}
	s := newSite(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		s.note("ended from outside or out of time")
		s.finish(cannotRun)
	}()
	cases[os.Args[1]](s)
	s.verdict()
}
