package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/bench/relay"
)

func newRelay(e *env) *ffcli.Command {
	set := newFlagSet("relay", e)
	asJSON := set.Bool("json", false, "print JSON")
	duration := set.Duration("duration", 3*time.Second, "length of each part")
	streams := set.Int("streams", 256, "streams at once in the token part")
	open := set.Int("open", 1000, "streams held open in the memory part")
	return &ffcli.Command{
		Name: "relay", ShortUsage: "sequoiarack-bench relay [--json]", ShortHelp: "compare calls through one daemon with direct ones",
		LongHelp: "Starts one daemon on two cores and the stand-ins, each as a process, and\ncompares calls through the daemon with calls made directly to the stand-in.",
		FlagSet:  set,
		Exec: func(ctx context.Context, _ []string) error {
			result, err := relay.Run(ctx, relay.Options{Duration: *duration, Streams: *streams, Open: *open})
			if err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(e.out).Encode(result)
			}
			_, err = fmt.Fprint(e.out, result.Table())
			return err
		},
	}
}
