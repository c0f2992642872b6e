package cmd

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiarack/sequoiarack/internal/member"
)

func newHosts(o *outputs) *ffcli.Command {
	return newQuery(o, "hosts", "list the hosts of the fleet that a host knows", "/operator/hosts",
		func(w io.Writer, body json.RawMessage) error {
			var hosts []member.Info
			if err := json.Unmarshal(body, &hosts); err != nil {
				return err
			}
			return printTable(w, "HOST\tREGION\tDATA CENTRE\tCALLERS\tSTATUS\tLEAVING", len(hosts), func(i int) string {
				h := hosts[i]
				return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%v", h.Host, h.Region, h.DataCentre, h.CallerAddress, h.Status, h.Leaving)
			})
		})
}
