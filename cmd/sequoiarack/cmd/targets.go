package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/placement"
)

func newTargets(o *outputs) *ffcli.Command {
	return newQuery(o, "targets", "list the targets of a host's region and their state at the host", "/operator/targets",
		func(w io.Writer, body json.RawMessage) error {
			var targets []placement.TargetState
			if err := json.Unmarshal(body, &targets); err != nil {
				return err
			}
			return printTable(w, "TARGET\tSERVICE\tOWN\tOTHERS\tSLOTS\tUSABLE\tLEAVING\tEJECTED", len(targets), func(i int) string {
				t := targets[i]
				return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%v\t%v\t%v", t.Name, t.Service, t.Own, t.Others, t.Slots, t.Usable, t.Leaving, t.Ejected)
			})
		})
}
