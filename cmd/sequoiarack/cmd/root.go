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

	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1 // the operation or a check of the demo failed
	exitUsage       = 2
	exitSettings    = 3 // the settings are invalid
	exitConflict    = 4 // a patch is based on another version than the current one
	exitUnreachable = 5 // the host did not respond
)

const longHelp = `sequoiarack is a multi-region gateway between callers and targets.

Exit codes:
  0  success
  1  the operation or a check of the demo failed
  2  invalid command line
  3  invalid settings
  4  a patch is based on another version than the current one
  5  the host did not respond

Each flag can be set by an environment variable: SEQUOIARACK_ and the flag's
name in capitals, with underscores for dashes.`

// outputs has the streams that a command writes to.
type outputs struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &outputs{out: stdout, err: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot(o)
	err := root.ParseAndRun(ctx, args)
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintf(stderr, "sequoiarack: %v\n", err)
	}
	return exitCode(err)
}

func newRoot(o *outputs) *ffcli.Command {
	set := newFlagSet("sequoiarack", o)
	return &ffcli.Command{
		Name: "sequoiarack", ShortUsage: "sequoiarack <command> [flags]", LongHelp: longHelp, FlagSet: set,
		Subcommands: []*ffcli.Command{
			newServe(o), newGateway(o), newDemo(o), newConfig(o), newHosts(o), newTargets(o), newDump(o), newDrain(o), newCheck(o), newTrace(o), newReasons(o),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("unknown command %q; see sequoiarack --help", args[0])}
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

// usageError reports an invalid command line.
type usageError struct{ error }

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	if _, ok := failure.KindOf[settings.Kind](err); ok {
		return exitSettings
	}
	switch kind, ok := failure.KindOf[operator.Kind](err); {
	case ok && kind == operator.Conflict:
		return exitConflict
	case ok && kind == operator.Unreachable:
		return exitUnreachable
	}
	return exitFailed
}
