package cmd

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/demo"
)

func newDemo(e *env) *ffcli.Command {
	set := newFlagSet("demo", e)
	hold := set.Bool("hold", false, "keep the fleet up and print commands to try")
	verbose := set.Bool("verbose", false, "print the log of the hosts")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "sequoiarack demo [--hold]", ShortHelp: "run a fleet on embedded stand-ins and show its promises",
		LongHelp: "Starts three regions with 13 entry hosts, 18 model engines and 3 desks on\n" +
			"loopback ports of this process, calls them, breaks things, and prints a line\n" +
			"a promise. It ends with exit code 1 if one was broken.",
		FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("demo takes no arguments, got %q", args[0])}
			}
			return demo.Run(ctx, demo.Options{Out: e.out, Log: e.err, Hold: *hold, Verbose: *verbose})
		},
	}
}
