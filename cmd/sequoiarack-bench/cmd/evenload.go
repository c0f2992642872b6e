package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bench/policy"
)

func newEvenLoad(o *outputs) *ffcli.Command {
	set := newFlagSet("even-load", o)
	asJSON := set.Bool("json", false, "print JSON, one row per line")
	ways := set.String("ways", strings.Join(policy.EvenLoadWays(), ","), "ways to choose targets, separated by commas")
	match := set.String("match", "", "run only the cells whose name contains each of these texts, separated by commas")
	weights := set.String("policy", "{}", "fields of the policy of the hosts that differ from the default, as JSON")
	seed := set.Uint64("seed", 1, "seed of the random arrivals")
	workers := set.Int("workers", 2, "simulations that run at once")
	return &ffcli.Command{
		Name: "even-load", ShortUsage: "sequoiarack-bench even-load [--match TEXT,...] [--ways NAME,...] [--json]",
		ShortHelp: "simulate how evenly hosts with load reports of some age load targets of different speeds",
		LongHelp:  "The output is deterministic for a cell, a way and a seed. docs/design/even-load.md\nexplains the cells and the rows.",
		FlagSet:   set,
		Exec: func(_ context.Context, _ []string) error {
			weighted := balance.DefaultPolicy()
			if err := json.Unmarshal([]byte(*weights), &weighted); err != nil {
				return errors.Wrap(err, "--policy")
			}
			var group errgroup.Group
			group.SetLimit(*workers)
			var mu sync.Mutex
			for _, cell := range policy.EvenLoadCells() {
				for _, way := range strings.Split(*ways, ",") {
					if cell.Way, cell.Policy = way, weighted; containsAll(cell.Name(), *match) {
						group.Go(func() error {
							row, err := cell.Run(*seed)
							if err != nil {
								return errors.Wrap(err, cell.Name())
							}
							mu.Lock()
							defer mu.Unlock()
							_, err = fmt.Fprintln(o.out, evenLoadLine(row, *asJSON))
							return err
						})
					}
				}
			}
			return group.Wait()
		},
	}
}

func containsAll(name, texts string) bool {
	for _, text := range strings.Split(texts, ",") {
		if !strings.Contains(name, text) {
			return false
		}
	}
	return true
}

func evenLoadLine(r policy.EvenLoadRow, asJSON bool) string {
	if asJSON {
		text, _ := json.Marshal(r)
		return string(text)
	}
	return fmt.Sprintf("%s %s: calls %d, peak %.2f, peak of a second %.2f, by speed %.2f, rejected %.4f, not served %.4f, wasted %.4f, read again %.3f, first token p50 %.0f ms, p99 %.0f ms",
		r.Cell, r.Way, r.Calls, r.PeakRatio, r.PeakSecond, r.SpeedRatios, r.RejectedShare, r.UnservedShare, r.WastedShare, r.RereadShare, r.FirstTokenP50Ms, r.FirstTokenP99Ms)
}
