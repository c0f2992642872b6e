package cmd

import (
	"context"
	"encoding/json"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/trace"
)

func newTrace(o *outputs) *ffcli.Command {
	set := newFlagSet("trace", o)
	id := set.String("id", "", "ID of the call")
	asJSON := set.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "sequoiarack trace --id ID FILE...", ShortHelp: "show the lines about one call in the logs of hosts",
		FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			if *id == "" || len(args) == 0 {
				return usageError{errors.New("trace takes --id and the logs of hosts")}
			}
			lines, err := gatherLines(*id, args)
			if err != nil {
				return err
			}
			if *asJSON {
				return errors.Wrap(json.NewEncoder(o.out).Encode(lines), "trace")
			}
			return trace.Write(o.out, lines)
		},
	}
}

func gatherLines(id string, paths []string) ([]trace.Line, error) {
	var all []trace.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		lines, err := trace.Gather(f, id)
		_ = f.Close() // nothing was written to it
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return nil, errors.Errorf("no log has a line on call %q; only one in 16 successful calls is logged", id)
	}
	trace.Sort(all)
	return all, nil
}
