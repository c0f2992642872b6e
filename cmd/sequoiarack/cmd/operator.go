package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

// access has the flags that all operators' commands share.
type access struct {
	address *string
	key     *string
	json    *bool
}

func newAccess(set *flag.FlagSet) *access {
	return &access{
		address: set.String("address", "127.0.0.1:8080", "caller address of a host, as IP:port"),
		key:     set.String("key", "", "operator's or reader's key"),
		json:    set.Bool("json", false, "print JSON"),
	}
}

func (a *access) client() *operator.Client { return operator.NewClient(*a.address, *a.key) }

func operatorOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)} }

// newQuery returns a command that reads one path and prints it as a table.
func newQuery(e *env, name, help, path string, table func(io.Writer, json.RawMessage) error) *ffcli.Command {
	set := newFlagSet(name, e)
	a := newAccess(set)
	return &ffcli.Command{
		Name: name, ShortUsage: "sequoiarack " + name + " --address IP:port --key KEY [--json]", ShortHelp: help,
		FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			body, err := a.client().Get(ctx, path)
			if err != nil {
				return err
			}
			if *a.json || table == nil {
				return printJSON(e.out, body)
			}
			return table(e.out, body)
		},
	}
}

func printJSON(w io.Writer, body json.RawMessage) error {
	var v any
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable writes rows of cells below a heading.
func printTable(w io.Writer, heading string, rows int, row func(i int) string) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(t, heading)
	for i := range rows {
		_, _ = fmt.Fprintln(t, row(i))
	}
	return t.Flush()
}
