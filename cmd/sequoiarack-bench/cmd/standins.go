package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/standin"
)

func newStandins(o *outputs) *ffcli.Command {
	set := newFlagSet("standins", o)
	return &ffcli.Command{
		Name: "standins", ShortUsage: "sequoiarack-bench standins FILE", ShortHelp: "run simulated engines, services and platform components",
		LongHelp: "FILE lists the stand-ins; see docs/STANDINS.md. Faults are injected through the\npath /fault of each. The command runs until it is interrupted.",
		FlagSet:  set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("expected one FILE")}
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			plan, err := standin.ParsePlan(data)
			if err != nil {
				return err
			}
			stop, err := plan.Start()
			if err != nil {
				return err
			}
			defer stop()
			_, _ = fmt.Fprintln(o.out, "The stand-ins are up.")
			<-ctx.Done()
			return nil
		},
	}
}
