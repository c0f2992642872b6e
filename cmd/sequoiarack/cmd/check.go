package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

func newCheck(o *outputs) *ffcli.Command {
	set := newFlagSet("check", o)
	settingsFile := set.String("settings", "", "settings file of a daemon")
	configFile := set.String("config", "", "file with a whole configuration document")
	return &ffcli.Command{
		Name: "check", ShortUsage: "sequoiarack check [--settings FILE] [--config FILE]",
		ShortHelp: "check settings and configuration files and print every error", FlagSet: set,
		Exec: func(context.Context, []string) error {
			if *settingsFile == "" && *configFile == "" {
				return usageError{errors.New("expected --settings or --config")}
			}
			if err := checkSettings(*settingsFile); err != nil {
				return err
			}
			if err := checkConfig(*configFile); err != nil {
				return err
			}
			_, err := fmt.Fprintln(o.out, "No errors.")
			return err
		},
	}
}

func checkSettings(file string) error {
	const op = "check settings"
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(op, settings.Unreadable, err)
	}
	s, err := settings.Parse(data)
	if err != nil {
		return err
	}
	if problems := settings.Check(s); len(problems) > 0 {
		return failure.Wrap(op, settings.Invalid, problems)
	}
	return nil
}

func checkConfig(file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "check config")
	}
	_, err = config.Parse(data)
	return err
}
