package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newDrain(o *outputs) *ffcli.Command {
	set := newFlagSet("drain", o)
	flags := newOperatorFlags(set)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "sequoiarack drain --address IP:port --key KEY", ShortHelp: "stop a host gracefully",
		LongHelp: "Asks the host to drain: it refuses new calls, finishes running ones, and then\nits process exits.",
		FlagSet:  set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			if err := flags.client().Drain(ctx); err != nil {
				return err
			}
			_, err := fmt.Fprintf(o.out, "The host at %s is leaving.\n", *flags.address)
			return err
		},
	}
}
