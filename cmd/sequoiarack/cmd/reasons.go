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

// reasonStep is the length of the moments by which reasons are counted.
const reasonStep = 500 * time.Millisecond

func newReasons(e *env) *ffcli.Command {
	set := newFlagSet("reasons", e)
	step := set.Duration("step", reasonStep, "length of the moments to count by")
	asJSON := set.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name: "reasons", ShortUsage: "sequoiarack reasons FILE...", ShortHelp: "count in the logs of hosts why calls did not go well",
		FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 || *step <= 0 {
				return usageError{errors.New("reasons takes the logs of hosts, and a positive --step")}
			}
			reasons := trace.NewFailureCounter(*step)
			for _, path := range args {
				if err := readReasons(reasons, path); err != nil {
					return err
				}
			}
			if *asJSON {
				return errors.Wrap(json.NewEncoder(e.out).Encode(reasons.List()), "reasons")
			}
			return trace.WriteFailureCounts(e.out, reasons.List())
		},
	}
}

func readReasons(reasons *trace.FailureCounter, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "reasons")
	}
	defer func() { _ = f.Close() }() // it was only read
	return reasons.Read(f)
}
