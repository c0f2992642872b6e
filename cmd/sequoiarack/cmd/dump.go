package cmd

import "github.com/peterbourgon/ff/v3/ffcli"

func newDump(o *outputs) *ffcli.Command {
	return newQuery(o, "dump", "print the internal state of a host as JSON", "/operator/dump", nil)
}
