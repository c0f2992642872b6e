package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/daemon"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/settings"
	"github.com/sequoiarack/sequoiarack/internal/standin"
)

// RegionSpec gives the number of hosts and targets of a region, which has one data
// centre.
type RegionSpec struct {
	Name    string
	Hosts   int
	Engines int
	Desks   int // instances of DeskService
}

// Spec describes a deployment. The store and the platform are in the first
// region.
type Spec struct {
	Regions  []RegionSpec
	OneWayMs int // latency between regions in the configuration
	Engine   standin.EngineOptions
	// EditDocument, if set, changes the configuration before it is committed.
	EditDocument func(*config.Document)
	Log          logr.Logger
}

// Names, secrets and ports of all fleets. DeskService is a plain service that keeps
// bookings.
const (
	ModelService = "tender"
	DeskService  = "desk"
	OperatorKey  = "operator-secret"
	CallerKey    = "caller-secret"
	HomeKey      = "home-secret"
	fleetKey     = "fleet-key-of-the-stand-ins"
	claimSecret  = "claim-secret-of-the-stand-ins"
	callerPort   = 8080
	peerPort     = 8081
	targetPort   = 9000
	platformPort = 2379
)

// Host is an entry host of a fleet.
type Host struct {
	Name     string
	Region   string
	Settings settings.Settings
	Daemon   *daemon.Daemon
	endpoint *Endpoint
	stop     context.CancelFunc
	done     chan struct{}
}

// Fleet is a running deployment.
type Fleet struct {
	Spec     Spec
	Network  *Network
	Store    *standin.KeyValue
	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Desks    map[string]*standin.Service
	Hosts    []*Host

	subnet     int
	subnetLock net.Listener // reserves the subnet
	mu         sync.Mutex
	ctx        context.Context
	cancel     context.CancelFunc
}

// Start starts a deployment and waits until all hosts have the configuration.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{
		Spec: spec, Network: NewNetwork(), Store: standin.NewKeyValue(),
		Platform: standin.NewPlatform(time.Second, 64<<20),
		Engines:  map[string]*standin.Engine{}, Desks: map[string]*standin.Service{},
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.reserveSubnet(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	for r, region := range f.Spec.Regions {
		for n := range region.Hosts {
			if err := f.startHost(r, n); err != nil {
				return err
			}
		}
		if len(f.Hosts) > maxConcurrentStarts {
			if err := f.WaitMembers(f.ctx, len(f.Hosts), f.Hosts); err != nil {
				return err
			}
		}
	}
	if err := f.commitDocument(); err != nil {
		return err
	}
	return f.WaitVersion(f.ctx, 1, f.Hosts)
}

// maxConcurrentStarts is the number of hosts up to which a fleet starts without
// waiting after each region until its hosts are members. With more, hosts on one machine run short of processor
// time and suspect each other.
const maxConcurrentStarts = 100

const subnetAttempts = 64

// reserveSubnet picks a second octet of the loopback addresses that no other fleet
// on this machine uses. Listening on a fixed port of the subnet reserves it.
func (f *Fleet) reserveSubnet() error {
	const firstOctet, octets, lockPort = 10, 200, 9999
	for range subnetAttempts {
		f.subnet = firstOctet + rand.IntN(octets)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", f.subnet, lockPort))
		if err == nil {
			f.subnetLock = listener
			return nil
		}
	}
	return errors.New("fleet: no free loopback subnet")
}

// ip returns a loopback address of a region; n is the fourth octet.
func (f *Fleet) ip(region, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.subnet, region+1, n) }

// Fourth octets of the addresses in a region.
const (
	firstHostOctet   = 1
	firstEngineOctet = 100
	firstDeskOctet   = 200
	platformOctet    = 250
	storeOctet       = 251
)

func (f *Fleet) startPlatform() error {
	if err := f.Store.Listen(fmt.Sprintf("%s:%d", f.ip(0, storeOctet), platformPort)); err != nil {
		return err
	}
	return f.Platform.Listen(fmt.Sprintf("%s:%d", f.ip(0, platformOctet), platformPort))
}

func (f *Fleet) startTargets() error {
	for r, region := range f.Spec.Regions {
		for n := range region.Engines {
			engine := standin.NewEngine(f.Spec.Engine)
			if err := engine.Listen(fmt.Sprintf("%s:%d", f.ip(r, firstEngineOctet+n), targetPort)); err != nil {
				return err
			}
			f.Engines[fmt.Sprintf("%s-%s-%d", ModelService, region.Name, n+1)] = engine
		}
		for n := range region.Desks {
			desk := standin.NewService()
			if err := desk.Listen(fmt.Sprintf("%s:%d", f.ip(r, firstDeskOctet+n), targetPort)); err != nil {
				return err
			}
			f.Desks[fmt.Sprintf("%s-%s-%d", DeskService, region.Name, n+1)] = desk
		}
	}
	return nil
}

func (f *Fleet) hostSettings(r, n int) settings.Settings {
	s := settings.Default()
	region := f.Spec.Regions[r].Name
	ip := f.ip(r, firstHostOctet+n)
	s.Host, s.Region, s.DataCentre = fmt.Sprintf("%s-%c", region, 'a'+n), region, region+"-1"
	s.CallerAddress, s.PeerAddress = fmt.Sprintf("%s:%d", ip, callerPort), fmt.Sprintf("%s:%d", ip, peerPort)
	s.StoreAddresses, s.PlatformAddress = []string{f.Store.Address()}, f.Platform.Address()
	for i := range f.Spec.Regions {
		s.Seeds = append(s.Seeds, fmt.Sprintf("%s:%d", f.ip(i, firstHostOctet), peerPort))
	}
	s.FleetKeys, s.ClaimSecret = []string{fleetKey}, claimSecret
	s.BootstrapOperatorDigest = config.Digest(OperatorKey)
	return s
}

func (f *Fleet) startHost(r, n int) error {
	host := &Host{Settings: f.hostSettings(r, n)}
	host.Name, host.Region = host.Settings.Host, host.Settings.Region
	f.mu.Lock()
	f.Hosts = append(f.Hosts, host)
	f.mu.Unlock()
	return f.run(host)
}

func (f *Fleet) run(host *Host) error {
	host.endpoint = f.Network.Endpoint(host.Settings.LocalIP())
	log := f.Spec.Log
	if log.GetSink() == nil {
		log = logr.Discard()
	}
	d, err := daemon.New(host.Settings, daemon.WithNetwork(host.endpoint), daemon.WithLogger(log.WithValues("Host", host.Name)))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	done := make(chan struct{})
	host.Daemon, host.stop, host.done = d, stop, done
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			log.V(1).Info("The host stopped with an error.", "Host", host.Name, "Error", err.Error())
		}
	}()
	f.Platform.SetHost(standin.HostState{Host: host.Name, Address: host.Settings.PeerAddress, State: "Live"})
	return nil
}

// Restart waits until a killed host has stopped and starts it with a new
// incarnation.
func (f *Fleet) Restart(host *Host) error {
	<-host.done
	return f.run(host)
}

// Kill closes the connections of a host and stops its daemon, without draining.
func (f *Fleet) Kill(host *Host) {
	host.endpoint.Kill()
	host.stop()
}

// Host returns a host by name, or nil if there is none.
func (f *Fleet) Host(name string) *Host {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// RegionNumber returns the number of a region in the Network, or -1 if there is no
// such region.
func (f *Fleet) RegionNumber(name string) int {
	for i, r := range f.Spec.Regions {
		if r.Name == name {
			return i + 1
		}
	}
	return -1
}

// Document returns the configuration that Start commits.
func (f *Fleet) Document() config.Document {
	d := config.Document{
		Regions: map[string]config.Region{}, Services: map[string]config.Service{}, Targets: map[string]config.Target{},
		Workspaces: map[string]config.Workspace{}, Keys: map[string]config.Key{}, Links: map[string]config.Link{},
		Limits: config.DefaultLimits(),
	}
	names := make([]string, len(f.Spec.Regions))
	for i, r := range f.Spec.Regions {
		names[i] = r.Name
		d.Regions[r.Name] = config.Region{DataCentres: []string{r.Name + "-1"}}
		for _, other := range names[:i] {
			d.Links[min(r.Name, other)+":"+max(r.Name, other)] = config.Link{OneWayMs: f.Spec.OneWayMs, MegabitPerSecond: 2000}
		}
		for n := range r.Engines {
			name := fmt.Sprintf("%s-%s-%d", ModelService, r.Name, n+1)
			d.Targets[name] = f.target(ModelService, r.Name, f.Engines[name].Address(), f.Spec.Engine.Slots)
		}
		for n := range r.Desks {
			name := fmt.Sprintf("%s-%s-%d", DeskService, r.Name, n+1)
			d.Targets[name] = f.target(DeskService, r.Name, f.Desks[name].Address(), deskSlots)
		}
	}
	d.Services[ModelService] = config.Service{Kind: config.KindModel, Regions: names, FirstTokenBudgetMs: 2000, LongTokens: 1000}
	d.Services[DeskService] = config.Service{Kind: config.KindPlain, Regions: names, RepeatableMethods: []string{"GET"}, FirstTokenBudgetMs: 2000}
	d.Workspaces["mill"] = config.Workspace{Home: names[0], Residency: names}
	d.Workspaces["home"] = config.Workspace{Home: names[0], Residency: names[:1]}
	d.Keys["operator"] = config.Key{Role: config.RoleOperator, Digests: []string{config.Digest(OperatorKey)}}
	d.Keys["buyer"] = config.Key{Role: config.RoleCaller, Workspace: "mill", Digests: []string{config.Digest(CallerKey)}}
	d.Keys["homebound"] = config.Key{Role: config.RoleCaller, Workspace: "home", Digests: []string{config.Digest(HomeKey)}}
	if f.Spec.EditDocument != nil {
		f.Spec.EditDocument(&d)
	}
	return d
}

const deskSlots = 32

func (f *Fleet) target(service, region, address string, slots int) config.Target {
	return config.Target{Service: service, Region: region, DataCentre: region + "-1", Address: address, Slots: slots}
}

func (f *Fleet) commitDocument() error {
	body, err := json.Marshal(f.Document())
	if err != nil {
		return errors.Wrap(err, "fleet")
	}
	client := operator.NewClient(f.Hosts[0].Settings.CallerAddress, OperatorKey)
	patch := ledger.Patch{ID: "first-document", Kind: config.MergePatch, Body: body, Author: "fleet"}
	var patchErr error
	err = f.Wait(f.ctx, func() bool {
		// The store is slow while many hosts start at once, so the patch is retried.
		// Each attempt has the same ID, so the patch is accepted only once.
		_, patchErr = client.Patch(f.ctx, patch, false)
		return patchErr == nil
	})
	if err != nil {
		return patchErr
	}
	return nil
}

// WaitVersion waits until the hosts have a configuration of at least the version,
// for at most 20 seconds.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, hosts []*Host) error {
	return f.Wait(ctx, func() bool {
		for _, h := range hosts {
			if h.Daemon.Version() < version {
				return false
			}
		}
		return true
	})
}

const (
	waitInterval = 10 * time.Millisecond
	waitTimeout  = 20 * time.Second
)

// Wait polls a condition until it is true, for at most 20 seconds.
func (f *Fleet) Wait(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("fleet: timed out waiting for a condition")
		case <-time.After(waitInterval):
		}
	}
	return nil
}

// WaitMembers waits until each of the given hosts has n hosts in use, for at most
// 20 seconds.
func (f *Fleet) WaitMembers(ctx context.Context, n int, hosts []*Host) error {
	return f.Wait(ctx, func() bool {
		for _, h := range hosts {
			if h.Daemon.HostsInUse() != n {
				return false
			}
		}
		return true
	})
}

// Stop stops all hosts, targets, the store and the platform, without draining.
func (f *Fleet) Stop() {
	f.cancel()
	for _, h := range f.Hosts {
		if h.endpoint != nil {
			h.endpoint.Kill()
		}
	}
	for _, e := range f.Engines {
		e.Kill()
	}
	for _, s := range f.Desks {
		s.Kill()
	}
	f.Store.Kill()
	f.Platform.Kill()
	if f.subnetLock != nil {
		_ = f.subnetLock.Close()
	}
}
