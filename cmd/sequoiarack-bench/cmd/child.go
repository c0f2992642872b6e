package cmd

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/daemon"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

// newChild is the daemon that a measurement runs as a process of its own, so
// that its processor time and memory can be told from those of the load.
func newChild(e *env) *ffcli.Command {
	set := newFlagSet("child", e)
	return &ffcli.Command{
		Name: "child", ShortUsage: "sequoiarack-bench child FILE", ShortHelp: "run a daemon without logs, for a measurement", FlagSet: set,
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
