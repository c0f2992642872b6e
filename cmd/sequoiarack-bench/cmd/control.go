package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/bench/control"
)

func newControl(e *env) *ffcli.Command {
	set := newFlagSet("control", e)
	asJSON := set.Bool("json", false, "print JSON")
	hosts := set.Int("hosts", 13, "number of hosts")
	centres := set.Int("data-centres", 3, "number of data centres")
	patches := set.Int("patches", 10, "patches whose way to all hosts is timed")
	kills := set.Int("kills", 3, "hosts that are killed and whose detection is timed")
	duration := set.Duration("duration", 10*time.Second, "length of the steady part")
	return &ffcli.Command{
		Name: "control", ShortUsage: "sequoiarack-bench control --hosts N --data-centres D [--json]", ShortHelp: "measure what the control of a fleet costs",
		LongHelp: "Runs the daemons of N hosts in one process on loopback, without calls, and\nreports bytes, processor time and memory for each, calls to the store, and how\nlong patches and the detection of killed hosts take.",
		FlagSet:  set,
		Exec: func(ctx context.Context, _ []string) error {
			result, err := control.Run(ctx, control.Options{
				Hosts: *hosts, DataCentres: *centres, Patches: *patches, Kills: *kills, Duration: *duration,
			})
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
