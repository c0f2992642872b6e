package cmd

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/daemon"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

// newChild returns the command that runs a daemon in a process of its own, so
// that a benchmark can measure its processor time and memory apart from those of
// the load generator.
func newChild(o *outputs) *ffcli.Command {
	set := newFlagSet("child", o)
	return &ffcli.Command{
		Name: "child", ShortUsage: "sequoiarack-bench child FILE", ShortHelp: "run a daemon without logs, as a child process of a benchmark", FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("expected one settings FILE")}
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, err := settings.Parse(data)
			if err != nil {
				return err
			}
			d, err := daemon.New(s)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
