package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/wI2L/jsondiff"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
)

func newConfig(o *outputs) *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "sequoiarack config <get|patch|check|diff|history> [flags]",
		ShortHelp: "read and patch the versioned configuration",
		Subcommands: []*ffcli.Command{
			newConfigGet(o), newConfigPatch(o, "patch", false), newConfigPatch(o, "check", true), newConfigDiff(o), newConfigHistory(o),
		},
		Exec: func(_ context.Context, args []string) error {
			return usageError{errors.Errorf("expected get, patch, check, diff or history, got %q", args)}
		},
	}
}

func newConfigGet(o *outputs) *ffcli.Command {
	set := newFlagSet("get", o)
	flags := newOperatorFlags(set)
	return &ffcli.Command{
		Name: "get", ShortUsage: "sequoiarack config get --address IP:port --key KEY", ShortHelp: "print the current configuration",
		FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			c, err := flags.client().Config(ctx)
			if err != nil {
				return err
			}
			if !*flags.json {
				_, _ = fmt.Fprintf(o.err, "Version %d\n", c.Version)
				return printJSON(o.out, c.Document)
			}
			body, err := json.Marshal(c)
			if err != nil {
				return err
			}
			return printJSON(o.out, body)
		},
	}
}

func newConfigPatch(o *outputs, name string, checkOnly bool) *ffcli.Command {
	set := newFlagSet(name, o)
	flags := newOperatorFlags(set)
	base := set.Uint64("base", 0, "version that the patch is based on")
	latest := set.Bool("latest", false, "base the patch on the current version")
	kind := set.String("kind", string(config.MergePatch), "Merge (RFC 7396) or Patch (RFC 6902)")
	id := set.String("id", "", "unique ID; repeat it to resend a patch (default: a new one)")
	comment := set.String("comment", "", "reason for the change")
	author := set.String("author", os.Getenv("USER"), "author of the change")
	help := "apply a patch to the configuration"
	if checkOnly {
		help = "check a patch without applying it"
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "sequoiarack config " + name + " --base N FILE", ShortHelp: help,
		LongHelp: "FILE is a JSON document, - for standard input. A patch whose response was lost\ncan be sent again with the same --id; it is accepted only once.",
		FlagSet:  set, Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			body, err := readFile(args)
			if err != nil {
				return err
			}
			patch := ledger.Patch{Base: *base, ID: *id, Kind: config.PatchKind(*kind), Body: body, Comment: *comment, Author: *author}
			if patch.ID == "" {
				patch.ID = core.NewID()
			}
			if *latest {
				c, err := flags.client().Config(ctx)
				if err != nil {
					return err
				}
				patch.Base = c.Version
			}
			accepted, err := flags.client().Patch(ctx, patch, checkOnly)
			if err != nil {
				return errors.Wrapf(err, "patch %s", patch.ID)
			}
			verb := "Accepted as"
			if checkOnly {
				verb = "Would be"
			}
			_, err = fmt.Fprintf(o.out, "%s version %d (ID %s).\n", verb, accepted.Version, patch.ID)
			return err
		},
	}
}

// readFile reads the one file that the arguments name, - for standard input, and
// checks that it is JSON.
func readFile(args []string) (json.RawMessage, error) {
	if len(args) != 1 {
		return nil, usageError{errors.Errorf("expected one FILE, got %d", len(args))}
	}
	var data []byte
	var err error
	if args[0] == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(args[0])
	}
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, errors.Errorf("%s: expected JSON", args[0])
	}
	return data, nil
}

func newConfigDiff(o *outputs) *ffcli.Command {
	set := newFlagSet("diff", o)
	flags := newOperatorFlags(set)
	return &ffcli.Command{
		Name: "diff", ShortUsage: "sequoiarack config diff FILE", ShortHelp: "print the patch that turns the configuration into that of a file",
		LongHelp: "Prints an RFC 6902 patch, which config patch --kind Patch applies.", FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			desired, err := readFile(args)
			if err != nil {
				return err
			}
			c, err := flags.client().Config(ctx)
			if err != nil {
				return err
			}
			patch, err := jsondiff.CompareJSON(c.Document, desired)
			if err != nil {
				return err
			}
			if patch == nil {
				patch = jsondiff.Patch{}
			}
			body, err := json.Marshal(patch)
			if err != nil {
				return err
			}
			return printJSON(o.out, body)
		},
	}
}

func newConfigHistory(o *outputs) *ffcli.Command {
	set := newFlagSet("history", o)
	flags := newOperatorFlags(set)
	limit := set.Int("limit", 20, "number of versions")
	return &ffcli.Command{
		Name: "history", ShortUsage: "sequoiarack config history [--limit N]", ShortHelp: "list the newest versions", FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			records, err := flags.client().History(ctx, *limit)
			if err != nil {
				return err
			}
			if *flags.json {
				body, err := json.Marshal(records)
				if err != nil {
					return err
				}
				return printJSON(o.out, body)
			}
			return printTable(o.out, "VERSION\tAT\tAUTHOR\tKIND\tID\tCOMMENT", len(records), func(i int) string {
				r := records[i]
				return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", r.Version, r.At.Format(time.RFC3339), r.Author, r.Kind, r.ID, r.Comment)
			})
		},
	}
}
