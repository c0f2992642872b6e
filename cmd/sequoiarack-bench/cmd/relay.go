package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/bench/relay"
)

func newRelay(o *outputs) *ffcli.Command {
	set := newFlagSet("relay", o)
	asJSON := set.Bool("json", false, "print JSON")
	duration := set.Duration("duration", 3*time.Second, "duration of each phase")
	streams := set.Int("streams", 256, "concurrent streams in the token phase")
	open := set.Int("open", 1000, "streams held open in the memory phase")
	return &ffcli.Command{
		Name: "relay", ShortUsage: "sequoiarack-bench relay [--json]", ShortHelp: "compare calls through one daemon with direct calls",
		LongHelp: "Starts one daemon on two cores and the stand-ins, each in a process of its own,\nand compares calls through the daemon with direct calls to the stand-ins.",
		FlagSet:  set,
		Exec: func(ctx context.Context, _ []string) error {
			result, err := relay.Run(ctx, relay.Options{Duration: *duration, Streams: *streams, Open: *open})
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(o.out).Encode(result)
			}
			_, err = fmt.Fprint(o.out, result.Table())
			return err
		},
	}
}
