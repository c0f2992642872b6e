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

// operatorFlags are the flags that all commands for operators share.
type operatorFlags struct {
	address *string
	key     *string
	json    *bool
}

func newOperatorFlags(set *flag.FlagSet) *operatorFlags {
	return &operatorFlags{
		address: set.String("address", "127.0.0.1:8080", "caller address of a host, as IP:port"),
		key:     set.String("key", "", "operator's or reader's key"),
		json:    set.Bool("json", false, "print JSON"),
	}
}

func (f *operatorFlags) client() *operator.Client { return operator.NewClient(*f.address, *f.key) }

func operatorOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)} }

// newQuery returns a command that gets an operator path of a host and prints the
// response as a table, or as JSON if the flag --json is set or printRows is nil.
func newQuery(o *outputs, name, help, path string, printRows func(io.Writer, json.RawMessage) error) *ffcli.Command {
	set := newFlagSet(name, o)
	flags := newOperatorFlags(set)
	return &ffcli.Command{
		Name: name, ShortUsage: "sequoiarack " + name + " --address IP:port --key KEY [--json]", ShortHelp: help,
		FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			body, err := flags.client().Get(ctx, path)
			if err != nil {
				return err
			}
			if *flags.json || printRows == nil {
				return printJSON(o.out, body)
			}
			return printRows(o.out, body)
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

// printTable prints a heading and the given number of rows, with cells separated
// by tabs.
func printTable(w io.Writer, heading string, rows int, row func(i int) string) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(t, heading)
	for i := range rows {
		_, _ = fmt.Fprintln(t, row(i))
	}
	return t.Flush()
}
