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
	exitFailed      = 1 // the operation failed or a promise was broken
	exitUsage       = 2
	exitSettings    = 3 // the settings are wrong
	exitConflict    = 4 // a patch was based on another version
	exitUnreachable = 5 // the host did not answer
)

const longHelp = `sequoiarack stands between callers and targets, in many regions.

Exit codes:
  0  done
  1  the operation failed, or the demo saw a broken promise
  2  wrong command line
  3  wrong settings
  4  a patch was based on another version than the current one
  5  the host did not answer

Each flag can be set by an environment variable: SEQUOIARACK_ and the flag's
name in capitals, with underscores for dashes.`

// env is where a command writes.
type env struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	e := &env{out: stdout, err: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot(e)
	err := root.ParseAndRun(ctx, args)
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprintf(stderr, "sequoiarack: %v\n", err)
	}
	return exitCode(err)
}

func newRoot(e *env) *ffcli.Command {
	set := newFlagSet("sequoiarack", e)
	return &ffcli.Command{
		Name: "sequoiarack", ShortUsage: "sequoiarack <command> [flags]", LongHelp: longHelp, FlagSet: set,
		Subcommands: []*ffcli.Command{
			newServe(e), newGateway(e), newDemo(e), newConfig(e), newHosts(e), newTargets(e), newDump(e), newDrain(e), newCheck(e), newTrace(e), newReasons(e),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("unknown command %q; see sequoiarack --help", args[0])}
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

// usageError marks a wrong command line.
type usageError struct{ error }

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
