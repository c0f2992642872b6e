package cmd

import "github.com/peterbourgon/ff/v3/ffcli"

func newDump(e *env) *ffcli.Command {
	return newQuery(e, "dump", "print the state of a host as JSON", "/operator/dump", nil)
}
