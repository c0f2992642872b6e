//go:build review

// Command cases runs the scripts of the review: each starts gateways as separate processes and plays
// their clients, replicas and store. It exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports how often the rule was broken.
var cases = map[string]func(d *record, trouble bool) (broken int, err error){
	"forms":            multipartForms,
	"idle-connections": idleConnections,
	"peer-paths":       peerPaths,
	"stale-seeds":      staleSeeds,
	"second-copies":    secondCopies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		endProcesses()
		os.Exit(exitNotRun)
	}()
	r := &record{out: out, began: time.Now(), ran: map[string][]string{}}
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.note("RULE BROKEN: %d", broken)
		return exitBroken
	default:
		r.note("the rule held")
		return exitHeld
	}
}
