package cmd

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/demo"
)

func newDemo(o *outputs) *ffcli.Command {
	set := newFlagSet("demo", o)
	hold := set.Bool("hold", false, "keep the fleet running and print commands to try")
	verbose := set.Bool("verbose", false, "print the log of the hosts")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "sequoiarack demo [--hold]", ShortHelp: "run a fleet on simulated targets and check its guarantees",
		LongHelp: "Starts three regions with 13 entry hosts, 18 model engines and 3 booking desks\n" +
			"on loopback ports of this process, sends calls, injects faults, and prints one\n" +
			"line for each guarantee. The exit code is 1 if one of them did not hold.",
		FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("demo takes no arguments, got %q", args[0])}
			}
			return demo.Run(ctx, demo.Options{Out: o.out, Log: o.err, Hold: *hold, Verbose: *verbose})
		},
	}
}
