package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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

func newGateway(o *outputs) *ffcli.Command {
	set := newFlagSet("gateway", o)
	path := set.String("settings", "", "settings file, in JSON")
	check := set.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name: "gateway", ShortUsage: "sequoiarack gateway --settings FILE [flags]", ShortHelp: "run an entry host that reads its routes from a platform's store",
		LongHelp: "Serves the routes in the platform's store. SIGTERM stops the host gracefully;\n" +
			"SIGHUP reloads the settings, and so does a change of the file.",
		FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("gateway takes no arguments, got %q", args[0])}
			}
			s, err := gateway.LoadSettings(*path)
			if err != nil || *check {
				return err
			}
			return runGateway(ctx, o, *path, s)
		},
	}
}

// adapters returns the gateway's adapters for the protocol, the catalogue entries
// and the store of the platform.
func adapters() gateway.Adapters {
	return gateway.Adapters{
		Protocol: platform.Protocol{}, Decoder: platform.Decoder{},
		NewReader: func(pool *exchange.Pool, address string) keyvalue.Reader { return platform.NewStore(pool, address) },
	}
}

func runGateway(ctx context.Context, o *outputs, path string, s gateway.Settings) error {
	limitMemory(s.MemoryMB)
	sink := logsink.New(o.out)
	logCtx, stopLogging := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go func() { logDone <- sink.Run(logCtx) }()
	defer func() {
		stopLogging()
		if err := <-logDone; err != nil {
			_, _ = fmt.Fprintf(o.err, "sequoiarack: log: %v\n", err)
		}
	}()
	log := newGatewayLogger(sink, s)
	g, err := gateway.New(s, adapters(), gateway.WithLogger(log))
	if err != nil {
		log.Error(err, "The host failed to start.")
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- g.Run(runCtx) }()
	file := newSettingsFile(path)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-poll.C:
			if file.changed() {
				reload(log, g, path)
			}
		case <-reloads:
			file.changed()
			reload(log, g, path)
		case <-ctx.Done():
			g.Drain()
			return <-done
		}
	}
}

// settingsPollInterval is the interval at which a host looks whether its settings file has changed, which
// platforms may do without a signal.
const settingsPollInterval = time.Second

// settingsFile is the settings file as it was last seen.
type settingsFile struct {
	path string
	last os.FileInfo
}

func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file is another one than at the last call. A file that cannot be read at
// the moment is unchanged.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false
	}
	last := f.last
	f.last = info
	return last == nil || !os.SameFile(last, info) || !last.ModTime().Equal(info.ModTime()) || last.Size() != info.Size()
}

// reload loads the settings again. If they are invalid, the current ones stay in
// force.
func reload(log logr.Logger, g *gateway.Gateway, path string) {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		log.Error(err, "Invalid settings; the previous ones stay in force.")
		return
	}
	g.Reload(s)
}

// newGatewayLogger returns a logger that writes one line of JSON for each message.
func newGatewayLogger(out zapcore.WriteSyncer, s gateway.Settings) logr.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zap.NewAtomicLevelAt(zapcore.Level(-s.LogLevel))
	base := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, level))
	return zapr.NewLogger(base).WithName("gateway").WithValues("Host", s.Host)
}
