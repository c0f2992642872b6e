package cmd

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/trace"
)

// defaultStep is the length of the intervals in which failures are counted.
const defaultStep = 500 * time.Millisecond

func newReasons(o *outputs) *ffcli.Command {
	set := newFlagSet("reasons", o)
	step := set.Duration("step", defaultStep, "length of the intervals to count in")
	asJSON := set.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name: "reasons", ShortUsage: "sequoiarack reasons FILE...", ShortHelp: "count failed calls in the logs of hosts by reason",
		FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || *step <= 0 {
				return usageError{errors.New("reasons takes the logs of hosts, and a positive --step")}
			}
			counter := trace.NewFailureCounter(*step)
			for _, path := range args {
				if err := readLog(counter, path); err != nil {
					return err
				}
			}
			if *asJSON {
				return errors.Wrap(json.NewEncoder(o.out).Encode(counter.List()), "reasons")
			}
			return trace.WriteFailureCounts(o.out, counter.List())
		},
	}
}

func readLog(counter *trace.FailureCounter, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "reasons")
	}
	defer func() { _ = f.Close() }() // nothing was written to it
	return counter.Read(f)
}
