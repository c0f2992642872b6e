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

func newConfig(e *env) *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "sequoiarack config <get|patch|check|diff|history> [flags]",
		ShortHelp: "read and patch the numbered configuration",
		Subcommands: []*ffcli.Command{
			newConfigGet(e), newConfigPatch(e, "patch", false), newConfigPatch(e, "check", true), newConfigDiff(e), newConfigHistory(e),
		},
		Exec: func(_ context.Context, args []string) error {
			return usageError{errors.Errorf("expected get, patch, check, diff or history, got %q", args)}
		},
	}
}

func newConfigGet(e *env) *ffcli.Command {
	set := newFlagSet("get", e)
	a := newAccess(set)
	return &ffcli.Command{
		Name: "get", ShortUsage: "sequoiarack config get --address IP:port --key KEY", ShortHelp: "print the configuration in force",
		FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			c, err := a.client().Config(ctx)
			if err != nil {
				return err
			}
			if !*a.json {
				_, _ = fmt.Fprintf(e.err, "Version %d\n", c.Version)
				return printJSON(e.out, c.Document)
			}
			body, err := json.Marshal(c)
			if err != nil {
				return err
			}
			return printJSON(e.out, body)
		},
	}
}

func newConfigPatch(e *env, name string, check bool) *ffcli.Command {
	set := newFlagSet(name, e)
	a := newAccess(set)
	base := set.Uint64("base", 0, "version that the patch was made for")
	latest := set.Bool("latest", false, "base the patch on the version in force")
	kind := set.String("kind", string(config.MergePatch), "Merge (RFC 7396) or Patch (RFC 6902)")
	id := set.String("id", "", "unique ID; give it again to resend a patch (default: a new one)")
	comment := set.String("comment", "", "why the change is made")
	author := set.String("author", os.Getenv("USER"), "who makes the change")
	help := "change the configuration by a patch"
	if check {
		help = "tell what a patch would do, without making it"
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "sequoiarack config " + name + " --base N FILE", ShortHelp: help,
		LongHelp: "FILE is a JSON document, - for standard input. A patch whose answer was lost\ncan be sent again with the same --id; it is accepted once.",
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
				c, err := a.client().Config(ctx)
				if err != nil {
					return err
				}
				patch.Base = c.Version
			}
			accepted, err := a.client().Patch(ctx, patch, check)
			if err != nil {
				return errors.Wrapf(err, "patch %s", patch.ID)
			}
			verb := "Accepted as"
			if check {
				verb = "Would be"
			}
			_, err = fmt.Fprintf(e.out, "%s version %d (ID %s).\n", verb, accepted.Version, patch.ID)
			return err
		},
	}
}

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

func newConfigDiff(e *env) *ffcli.Command {
	set := newFlagSet("diff", e)
	a := newAccess(set)
	return &ffcli.Command{
		Name: "diff", ShortUsage: "sequoiarack config diff FILE", ShortHelp: "print the patch that would make the configuration that of a file",
		LongHelp: "Prints an RFC 6902 patch, for config patch --kind Patch.", FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			want, err := readFile(args)
			if err != nil {
				return err
			}
			c, err := a.client().Config(ctx)
			if err != nil {
				return err
			}
			patch, err := jsondiff.CompareJSON(c.Document, want)
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
			return printJSON(e.out, body)
		},
	}
}

func newConfigHistory(e *env) *ffcli.Command {
	set := newFlagSet("history", e)
	a := newAccess(set)
	limit := set.Int("limit", 20, "number of versions")
	return &ffcli.Command{
		Name: "history", ShortUsage: "sequoiarack config history [--limit N]", ShortHelp: "list the newest versions", FlagSet: set, Options: operatorOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			records, err := a.client().History(ctx, *limit)
			if err != nil {
				return err
			}
			if *a.json {
				body, err := json.Marshal(records)
				if err != nil {
					return err
				}
				return printJSON(e.out, body)
			}
			return printTable(e.out, "VERSION\tAT\tAUTHOR\tKIND\tID\tCOMMENT", len(records), func(i int) string {
				r := records[i]
				return fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", r.Version, r.At.Format(time.RFC3339), r.Author, r.Kind, r.ID, r.Comment)
			})
		},
	}
}
