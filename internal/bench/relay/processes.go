package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/settings"
	"github.com/sequoiarack/sequoiarack/internal/standin"
)

const (
	benchRegion     = "bench"
	benchDataCentre = "bench-1"
	operatorKey     = "bench-operator"
	callerKey       = "bench-caller"
	fastModel       = "fast"
	slowModel       = "slow"
	plainService    = "desk"
	callerAddress   = "127.9.1.1:8080"
	peerAddress     = "127.9.1.1:8081"
	storeAddress    = "127.9.1.251:2379"
	fastAddress     = "127.9.1.100:9000"
	slowAddress     = "127.9.1.101:9000"
	plainAddress    = "127.9.1.200:9000"
	benchSlots      = 100_000
	startTimeout    = 10 * time.Second
	daemonCores     = 2
	standinCores    = 2
)

// processes runs the daemon and the stand-ins of a measurement as child processes.
type processes struct {
	folder   string
	daemon   *exec.Cmd
	standins *exec.Cmd
}

func startProcesses(ctx context.Context) (*processes, error) {
	folder, err := os.MkdirTemp("", "sequoiarack-bench")
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	p := &processes{folder: folder}
	if err := p.start(ctx); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *processes) start(ctx context.Context) error {
	plan := standin.Plan{
		KeyValue: storeAddress,
		Engines: []standin.EnginePlan{
			{Address: fastAddress, Options: standin.EngineOptions{Model: fastModel, Slots: benchSlots, StepMs: 5, TokensPerStep: 8}},
			{Address: slowAddress, Options: standin.EngineOptions{Model: slowModel, Slots: benchSlots, StepMs: 200, TokensPerStep: 1}},
		},
		Services: []standin.ServicePlan{{Address: plainAddress}},
	}
	s := settings.Default()
	s.Host, s.Region, s.DataCentre = "bench-a", benchRegion, benchDataCentre
	s.CallerAddress, s.PeerAddress, s.StoreAddresses = callerAddress, peerAddress, []string{storeAddress}
	s.FleetKeys, s.ClaimSecret = []string{"bench-fleet-key-0001"}, "bench-claim-secret-01"
	s.BootstrapOperatorDigest = config.Digest(operatorKey)
	var err error
	if p.standins, err = p.spawn(ctx, "standins", plan, standinCores); err != nil {
		return err
	}
	if p.daemon, err = p.spawn(ctx, "child", s, daemonCores); err != nil {
		return err
	}
	return p.configure(ctx)
}

func (p *processes) spawn(ctx context.Context, command string, input any, cores int) (*exec.Cmd, error) {
	body, err := json.Marshal(input)
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	file := filepath.Join(p.folder, command+".json")
	if err = os.WriteFile(file, body, 0o600); err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "bench")
	}
	c := exec.CommandContext(ctx, self, command, file)
	c.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	c.Stderr = os.Stderr
	return c, errors.Wrap(c.Start(), "bench")
}

func (p *processes) configure(ctx context.Context) error {
	target := func(service, address string) config.Target {
		return config.Target{Service: service, Region: benchRegion, DataCentre: benchDataCentre, Address: address, Slots: benchSlots}
	}
	regions := []string{benchRegion}
	document := config.Document{
		Regions: map[string]config.Region{benchRegion: {DataCentres: []string{benchDataCentre}}},
		Services: map[string]config.Service{
			fastModel:    {Kind: config.KindModel, Regions: regions, FirstTokenBudgetMs: 60_000, LongTokens: 100_000},
			slowModel:    {Kind: config.KindModel, Regions: regions, FirstTokenBudgetMs: 60_000, LongTokens: 100_000},
			plainService: {Kind: config.KindPlain, Regions: regions, FirstTokenBudgetMs: 60_000, RepeatableMethods: []string{"GET"}},
		},
		Targets: map[string]config.Target{
			"fast-1": target(fastModel, fastAddress), "slow-1": target(slowModel, slowAddress), "desk-1": target(plainService, plainAddress),
		},
		Workspaces: map[string]config.Workspace{benchRegion: {Home: benchRegion, Residency: regions}},
		Keys: map[string]config.Key{
			"operator": {Role: config.RoleOperator, Digests: []string{config.Digest(operatorKey)}},
			"caller":   {Role: config.RoleCaller, Workspace: benchRegion, Digests: []string{config.Digest(callerKey)}},
		},
		Limits: config.DefaultLimits(),
	}
	body, err := json.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	client := operator.NewClient(callerAddress, operatorKey)
	patch := ledger.Patch{ID: "bench", Kind: config.MergePatch, Body: body}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		_, err = client.Patch(ctx, patch, false)
		if err == nil || time.Since(began) > startTimeout || ctx.Err() != nil {
			return err
		}
	}
}

func (p *processes) stop() {
	for _, c := range []*exec.Cmd{p.daemon, p.standins} {
		if c != nil && c.Process != nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
	_ = os.RemoveAll(p.folder)
}

// usage is the CPU time and the memory of a process.
type usage struct {
	cpu time.Duration
	rss int // resident memory in bytes
}

const (
	clockTick   = 10 * time.Millisecond // unit of CPU times in /proc on Linux
	userField   = 11                    // index in /proc/PID/stat, counted from the field after the name
	systemField = 12
	rssField    = 21   // in pages
	nameEnd     = ") " // ends the name of the process
)

// daemonUsage reads the usage of the daemon from /proc.
func (p *processes) daemonUsage() (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.daemon.Process.Pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "bench")
	}
	end := bytes.LastIndex(data, []byte(nameEnd))
	fields := strings.Fields(string(data[end+len(nameEnd):]))
	number := func(i int) int {
		n, convErr := strconv.Atoi(fields[i])
		if convErr != nil {
			err = convErr
		}
		return n
	}
	u := usage{
		cpu: time.Duration(number(userField)+number(systemField)) * clockTick,
		rss: number(rssField) * os.Getpagesize(),
	}
	return u, errors.Wrap(err, "bench")
}
