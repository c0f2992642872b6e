package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type env struct {
	out io.Writer
	err io.Writer
}

// usageError marks a wrong command line.
type usageError struct{ error }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	e := &env{out: stdout, err: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot(e).ParseAndRun(ctx, args)
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "sequoiarack-bench: %v\n", err)
		return exitUsage
	}
	_, _ = fmt.Fprintf(stderr, "sequoiarack-bench: %v\n", err)
	return exitFailed
}

func newRoot(e *env) *ffcli.Command {
	return &ffcli.Command{
		Name: "sequoiarack-bench", ShortUsage: "sequoiarack-bench <command> [flags]",
		LongHelp: "Measures sequoiarack. Figures come as JSON, one object a line, and compare\nruns of the same process, so that they hold on any machine.",
		FlagSet:  newFlagSet("sequoiarack-bench", e),
		Subcommands: []*ffcli.Command{
			newRelay(e), newControl(e), newPolicy(e), newStandins(e), newChild(e),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("unknown command %q; see sequoiarack-bench --help", args[0])}
			}
			return flag.ErrHelp
		},
	}
}

func newFlagSet(name string, e *env) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(e.err)
	return set
}
