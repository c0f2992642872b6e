package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/bench/control"
)

func newControl(o *outputs) *ffcli.Command {
	set := newFlagSet("control", o)
	asJSON := set.Bool("json", false, "print JSON")
	hosts := set.Int("hosts", 13, "number of hosts")
	centres := set.Int("data-centres", 3, "number of data centres")
	patches := set.Int("patches", 10, "number of configuration patches whose propagation to all hosts is timed")
	kills := set.Int("kills", 3, "number of hosts to kill; the detection of each is timed")
	duration := set.Duration("duration", 10*time.Second, "duration of the steady phase")
	return &ffcli.Command{
		Name: "control", ShortUsage: "sequoiarack-bench control --hosts N --data-centres D [--json]", ShortHelp: "measure the cost of the control plane of a fleet",
		LongHelp: "Runs the daemons of N hosts in one process on loopback, without calls. Reports\nbytes, processor time and memory per host, the calls to the store, and the times\nuntil a patch is in force at all hosts and until a killed host is detected.",
		FlagSet:  set,
		Exec: func(ctx context.Context, _ []string) error {
			result, err := control.Run(ctx, control.Options{
				Hosts: *hosts, DataCentres: *centres, Patches: *patches, Kills: *kills, Duration: *duration,
			})
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
