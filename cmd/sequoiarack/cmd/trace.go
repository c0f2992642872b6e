package cmd

import (
	"context"
	"encoding/json"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/trace"
)

func newTrace(e *env) *ffcli.Command {
	set := newFlagSet("trace", e)
	id := set.String("id", "", "ID of the call")
	asJSON := set.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name: "trace", ShortUsage: "sequoiarack trace --id ID FILE...", ShortHelp: "show what the logs of hosts say of one call",
		FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			if *id == "" || len(args) == 0 {
				return usageError{errors.New("trace takes --id and the logs of hosts")}
			}
			lines, err := gather(*id, args)
			if err != nil {
				return err
			}
			if *asJSON {
				return errors.Wrap(json.NewEncoder(e.out).Encode(lines), "trace")
			}
			return trace.Write(e.out, lines)
		},
	}
}

func gather(id string, paths []string) ([]trace.Line, error) {
	var all []trace.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		lines, err := trace.Gather(f, id)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return nil, errors.Errorf("no log has a line on call %q; of calls that went well one in 16 is logged", id)
	}
	trace.Sort(all)
	return all, nil
}
