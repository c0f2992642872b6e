package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
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
	"github.com/sequoiarack/sequoiarack/internal/settings"
	"github.com/sequoiarack/sequoiarack/platform"
)

func newGateway(o *outputs) *ffcli.Command {
	set := newFlagSet("gateway", o)
	path := set.String("settings", "", "settings file, in JSON")
	check := set.Bool("check", false, "check the settings and exit")
	overrides := newOverrides(set)
	return &ffcli.Command{
		Name: "gateway", ShortUsage: "sequoiarack gateway --settings FILE [flags]", ShortHelp: "run an entry host that reads its routes from a platform's store",
		LongHelp: "Serves the routes in the platform's store. SIGTERM stops the host gracefully;\n" +
			"SIGHUP reloads the settings, and so does a change of the file. Flags and\n" +
			"environment variables override the file.",
		FlagSet: set, Options: settings.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("gateway takes no arguments, got %q", args[0])}
			}
			load := func() (gateway.Settings, error) { return gateway.LoadSettings(*path, overrides.apply) }
			s, err := load()
			if err != nil || *check {
				return err
			}
			return runGateway(ctx, o, *path, load, s)
		},
	}
}

// adapters returns the gateway's adapters for the protocol, the catalogue entries
// and the store of the platform.
func adapters() gateway.Adapters {
	return gateway.Adapters{
		Protocol: platform.Protocol{}, Decoder: platform.Decoder{},
		NewReader: func(pool *exchange.Pool, address string, maxChanges int) keyvalue.Reader {
			return platform.NewStore(pool, address, platform.WithMaxChanges(maxChanges))
		},
	}
}

func runGateway(ctx context.Context, o *outputs, path string, load func() (gateway.Settings, error), s gateway.Settings) error {
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
				reload(log, g, load)
			}
		case <-reloads:
			file.changed()
			reload(log, g, load)
		case <-ctx.Done():
			g.Drain()
			return <-done
		}
	}
}

// overrides are settings that were given as flags or environment variables, by the name of the flag.
type overrides map[string]float64

// overridable are the settings of a gateway that a flag overrides: those that depend on the machine or on what the
// operator allows.
var overridable = []struct {
	flag, usage string
	field       func(*gateway.Settings) *float64
}{
	{"memory-mb", "memory of the machine, in millions of bytes", func(s *gateway.Settings) *float64 { return &s.MemoryMB }},
	{"link-mbps", "rate of the machine's link each way, in Mbit/s", func(s *gateway.Settings) *float64 { return &s.LinkMbps }},
	{"revocation-ms", "how long a withdrawn key may work, in milliseconds", func(s *gateway.Settings) *float64 { return &s.RevocationMs }},
	{"reuse-seconds", "how long the address of a target that has ended belongs to nobody, in seconds", func(s *gateway.Settings) *float64 { return &s.ReuseSeconds }},
	{"quota-overage", "part by which calls may exceed a quota", func(s *gateway.Settings) *float64 { return &s.QuotaOverage }},
	{"quota-window-seconds", "period of the quotas, in seconds", func(s *gateway.Settings) *float64 { return &s.QuotaWindowSeconds }},
}

// newOverrides defines a flag for each overridable setting.
func newOverrides(set *flag.FlagSet) overrides {
	o := overrides{}
	for _, item := range overridable {
		set.Func(item.flag, item.usage, func(text string) error {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("expected a number, got %q", text)
			}
			o[item.flag] = value
			return nil
		})
	}
	return o
}

// apply sets the settings that were given.
func (o overrides) apply(s *gateway.Settings) {
	for _, item := range overridable {
		if value, ok := o[item.flag]; ok {
			*item.field(s) = value
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
func reload(log logr.Logger, g *gateway.Gateway, load func() (gateway.Settings, error)) {
	s, err := load()
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
