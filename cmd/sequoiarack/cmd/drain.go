package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newDrain(e *env) *ffcli.Command {
	set := newFlagSet("drain", e)
	a := newAccess(set)
	return &ffcli.Command{
		Name: "drain", ShortUsage: "sequoiarack drain --address IP:port --key KEY", ShortHelp: "stop a host gracefully",
		LongHelp: "Asks the host to leave: it refuses new calls, finishes those that run, and\nthen its process ends.",
		FlagSet:  set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			if err := a.client().Drain(ctx); err != nil {
				return err
			}
			_, err := fmt.Fprintf(e.out, "The host at %s is leaving.\n", *a.address)
			return err
		},
	}
}
