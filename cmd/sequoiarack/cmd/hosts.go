package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/member"
)

func newHosts(e *env) *ffcli.Command {
	return newQuery(e, "hosts", "list the hosts of the fleet as one host sees them", "/operator/hosts",
		func(w io.Writer, body json.RawMessage) error {
			var hosts []member.Info
			if err := json.Unmarshal(body, &hosts); err != nil {
				return err
			}
			return printTable(w, "HOST\tREGION\tDATA CENTRE\tCALLERS\tSTATUS\tLEAVING", len(hosts), func(i int) string {
				m := hosts[i]
				return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%v", m.Host, m.Region, m.DataCentre, m.CallerAddress, m.Status, m.Leaving)
			})
		})
}
