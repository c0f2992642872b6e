package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bench/policy"
)

func newPolicy(o *outputs) *ffcli.Command {
	set := newFlagSet("policy", o)
	asJSON := set.Bool("json", false, "print JSON, one row per line")
	scenario := set.String("scenario", "all", "scenario FILE, or all for the files of the folder")
	folder := set.String("folder", "scenarios", "folder of the scenario files")
	names := set.String("policies", strings.Join(policy.Names(), ","), "policies to run, separated by commas")
	seed := set.Uint64("seed", 1, "seed of the random arrivals")
	seeds := set.Int("seeds", 0, "instead, print the median and the worst result of the gateway and the oracle over the seeds 1 to N")
	plots := set.String("plot", "", "folder to write SVG plots to")
	return &ffcli.Command{
		Name: "policy", ShortUsage: "sequoiarack-bench policy --scenario FILE|all [--seed N] [--json] [--plot DIR]",
		ShortHelp: "simulate routing policies on a virtual clock and compare them with baselines and an oracle",
		LongHelp:  "The output is deterministic for a scenario and a seed. docs/POLICY.md explains\nthe scenario files and the rows.",
		FlagSet:   set,
		Exec: func(ctx context.Context, _ []string) error {
			files := []string{*scenario}
			if *scenario == "all" {
				var err error
				if files, err = filepath.Glob(filepath.Join(*folder, "*.json")); err != nil || len(files) == 0 {
					return errors.Errorf("no scenario files in %q", *folder)
				}
			}
			for _, file := range files {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				if *seeds > 0 {
					if err := summarise(o.out, file, *seeds, *asJSON); err != nil {
						return errors.Wrap(err, file)
					}
					continue
				}
				if err := runScenario(o.out, file, *seed, strings.Split(*names, ","), *asJSON, *plots); err != nil {
					return errors.Wrap(err, file)
				}
			}
			return nil
		},
	}
}

func runScenario(w io.Writer, file string, seed uint64, names []string, asJSON bool, plots string) error {
	s, err := policy.Load(file)
	if err != nil {
		return err
	}
	result, err := policy.Run(s, seed, names)
	if err != nil {
		return err
	}
	if plots != "" {
		if err := result.Plot(plots, s.Name); err != nil {
			return err
		}
	}
	if asJSON {
		encoder := json.NewEncoder(w)
		for _, row := range result.Rows {
			if err := encoder.Encode(row); err != nil {
				return err
			}
		}
		return nil
	}
	return printRows(w, result.Rows)
}

// summarise prints one line for a scenario: the median and the worst value of
// each metric over all seeds.
func summarise(w io.Writer, file string, seeds int, asJSON bool) error {
	s, err := policy.Load(file)
	if err != nil {
		return err
	}
	sum, err := policy.Summarise(s, seeds)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(w).Encode(sum)
	}
	medianWorst := func(v policy.MedianWorst, scale float64) string {
		return fmt.Sprintf("%.2f / %.2f", scale*v.Median, scale*v.Worst)
	}
	const percent = 100
	_, err = fmt.Fprintf(w, "| %s | %s | %.0f / %.0f | %.0f / %.0f | %s | %s | %s | %s | %s | %s |\n", sum.Scenario, medianWorst(sum.TailRatio, 1),
		sum.FirstTokenP99Ms.Median, sum.FirstTokenP99Ms.Worst, sum.BestBaselineP99Ms.Median, sum.BestBaselineP99Ms.Worst,
		medianWorst(sum.ForwardedShare, percent), medianWorst(sum.OracleForwardedShare, percent), medianWorst(sum.WastedTokenShare, percent), medianWorst(sum.CostRatio, 1),
		medianWorst(sum.NotRunShare, percent), medianWorst(sum.OracleNotRunShare, percent))
	return err
}

// printRows prints a table with a row for each policy and class of calls.
func printRows(w io.Writer, rows []policy.Row) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "SCENARIO\tPOLICY\tCLASS\tCALLS\tFIRST P50\tFIRST P99\tDONE P99\tAWAY %\tWASTED %\tCOST\tNOT RUN %\tLATE %\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.3f\t%.2f\t%.2f\t\n", r.Scenario, r.Policy, r.Class, r.Calls,
			r.FirstTokenP50Ms, r.FirstTokenP99Ms, r.CompletionP99Ms, 100*r.ForwardedShare, 100*r.WastedTokenShare, r.CostRatio, 100*r.NotRunShare, 100*r.BudgetMissShare)
	}
	return t.Flush()
}
