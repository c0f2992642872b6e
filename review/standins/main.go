//go:build review

// Command standins plays the cases of the review: it starts entry hosts as processes beside
// stand-ins of the platform, its replicas and its clients, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxPlayTime is how long a script may take.
const maxPlayTime = 118 * time.Second

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// The last argument: whether the case is played with its disruption.
const (
	withTrouble    = "with"
	withoutTrouble = "without"
)

// plays are the cases, by name. Each reports whether the rule was broken.
var plays = map[string]func(f *fleet, trouble bool) (bool, error){}

func main() {
	if len(os.Args) > 3 && os.Args[1] == "limited" {
		fmt.Fprintln(os.Stderr, limited(os.Args[2:]))
		os.Exit(exitFailed)
	}
	if len(os.Args) != 5 || plays[os.Args[1]] == nil || (os.Args[4] != withTrouble && os.Args[4] != withoutTrouble) {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT FOLDER with|without")
		os.Exit(exitFailed)
	}
	os.Exit(play(plays[os.Args[1]], os.Args[2], os.Args[3], os.Args[4] == withTrouble))
}

func play(run func(*fleet, bool) (bool, error), root, folder string, trouble bool) int {
	f, err := newFleet(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	var closing sync.Once
	end := func() { closing.Do(f.close) }
	defer end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxPlayTime):
		}
		f.record.say("the case was stopped")
		end()
		os.Exit(exitFailed)
	}()
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.record.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		f.record.say("the rule was broken")
		return exitBroken
	default:
		f.record.say("the rule held")
		return exitHeld
	}
}
