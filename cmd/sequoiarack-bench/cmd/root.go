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

// outputs has the streams that a command writes to.
type outputs struct {
	out io.Writer
	err io.Writer
}

// usageError reports an invalid command line.
type usageError struct{ error }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &outputs{out: stdout, err: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot(o).ParseAndRun(ctx, args)
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

func newRoot(o *outputs) *ffcli.Command {
	return &ffcli.Command{
		Name: "sequoiarack-bench", ShortUsage: "sequoiarack-bench <command> [flags]",
		LongHelp: "Measures sequoiarack. With --json, results are printed as JSON, one object per\nline. They compare runs of the same process, so they hold on any machine.",
		FlagSet:  newFlagSet("sequoiarack-bench", o),
		Subcommands: []*ffcli.Command{
			newRelay(o), newControl(o), newPolicy(o), newEvenLoad(o), newStandins(o), newChild(o),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("unknown command %q; see sequoiarack-bench --help", args[0])}
			}
			return flag.ErrHelp
		},
	}
}

func newFlagSet(name string, o *outputs) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(o.err)
	return set
}
