package cmd

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sequoiarack/sequoiarack/internal/daemon"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

func newServe(o *outputs) *ffcli.Command {
	set := newFlagSet("serve", o)
	flags := settings.NewFlags(set)
	return &ffcli.Command{
		Name: "serve", ShortUsage: "sequoiarack serve --settings FILE [flags]", ShortHelp: "run the daemon of an entry host",
		LongHelp: "Runs the daemon until it is interrupted. It then stops gracefully: it announces\n" +
			"to the fleet that it is leaving, refuses new calls, and exits when the running\n" +
			"ones have ended. A second interrupt stops it at once.",
		FlagSet: set, Options: settings.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("serve takes no arguments, got %q", args[0])}
			}
			s, err := flags.Load()
			if err != nil {
				return err
			}
			return serve(ctx, s)
		},
	}
}

func serve(ctx context.Context, s settings.Settings) error {
	log, flush, err := newDaemonLogger(s)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory(float64(s.MemoryMB))
	d, err := daemon.New(s, daemon.WithLogger(log))
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- d.Run(runCtx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(runCtx, time.Duration(s.DrainSeconds)*time.Second+drainMargin)
	defer cancel()
	if err := d.Drain(drainCtx); err != nil {
		stop()
	}
	return <-done
}

// drainMargin is added to the time limit of a drain before the daemon is stopped.
const drainMargin = 5 * time.Second

// newDaemonLogger returns a logger that writes lines of JSON to standard error,
// and a function that flushes it.
func newDaemonLogger(s settings.Settings) (logr.Logger, func(), error) {
	options := zap.NewProductionConfig()
	options.Level = zap.NewAtomicLevelAt(zapcore.Level(-s.LogLevel))
	options.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	options.DisableCaller = true
	options.DisableStacktrace = true
	options.Sampling = nil
	base, err := options.Build()
	if err != nil {
		return logr.Discard(), nil, errors.Wrap(err, "logger")
	}
	return zapr.NewLogger(base).WithName("sequoiarack").WithValues("Host", s.Host), func() { _ = base.Sync() }, nil
}
