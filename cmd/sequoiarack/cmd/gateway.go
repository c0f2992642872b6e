package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/gateway"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/logsink"
	"github.com/sequoiarack/sequoiarack/platform"
)

func newGateway(e *env) *ffcli.Command {
	set := newFlagSet("gateway", e)
	path := set.String("settings", "", "JSON file with settings")
	check := set.Bool("check", false, "check the settings and end")
	return &ffcli.Command{
		Name: "gateway", ShortUsage: "sequoiarack gateway --settings FILE [flags]", ShortHelp: "run an entry host for routes of a platform's store",
		LongHelp: "Serves the routes that the platform's store holds. SIGTERM stops the host\n" +
			"gracefully; SIGHUP reads the settings again.",
		FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("gateway takes no arguments, got %q", args[0])}
			}
			s, err := gateway.LoadSettings(*path)
			if err != nil || *check {
				return err
			}
			return runGateway(ctx, e, *path, s)
		},
	}
}

// adapters joins the gateway to the users' platform.
func adapters() gateway.Adapters {
	return gateway.Adapters{
		Protocol: platform.Protocol{}, Decoder: platform.Decoder{},
		NewReader: func(pool *exchange.Pool, address string) keyvalue.Reader { return platform.NewStore(pool, address) },
	}
}

// collectAt is the growth of memory, in hundredths of what is in use, at which it is
// collected: entry hosts are small, and pay more for memory than for processor time.
const collectAt = 40

func runGateway(ctx context.Context, e *env, path string, s gateway.Settings) error {
	debug.SetGCPercent(collectAt)
	sink := logsink.New(e.out)
	logging, stopLogging := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- sink.Run(logging) }()
	defer func() {
		stopLogging()
		if err := <-written; err != nil {
			_, _ = fmt.Fprintf(e.err, "sequoiarack: log: %v\n", err)
		}
	}()
	log := newLineLogger(sink, s)
	g, err := gateway.New(s, adapters(), gateway.WithLogger(log))
	if err != nil {
		log.Error(err, "The host cannot start.")
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(running) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hangups:
			reload(log, g, path)
		case <-ctx.Done():
			g.Drain()
			return <-ended
		}
	}
}

// reload reads the settings again. Wrong ones change nothing.
func reload(log logr.Logger, g *gateway.Gateway, path string) {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		log.Error(err, "The settings are wrong; the last good ones stay in force.")
		return
	}
	g.Reload(s)
}

// newLineLogger writes a line of JSON for each message.
func newLineLogger(to zapcore.WriteSyncer, s gateway.Settings) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zap.NewAtomicLevelAt(zapcore.Level(-s.LogLevel))
	base := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), to, level))
	return zapr.NewLogger(base).WithName("gateway").WithValues("Host", s.Host)
}
