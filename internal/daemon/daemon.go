package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/feed"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/hangup"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue/etcd"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/logsink"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/settings"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	maxTasks            = 16
	maxHeaderBytes      = 16 << 10
	idleTimeout         = 60 * time.Second
	headerTimeout       = 30 * time.Second
	claimRetention      = 24 * time.Hour
	claimRegistryMargin = time.Hour // added to claimRetention, so that an entry outlives its key
	shutdownTimeout     = 5 * time.Second
	directoryTTLSeconds = 6
	// The shares of the process's descriptors that connections of callers and of other hosts may use. The rest is for
	// connections to targets, hosts and the store, for sockets and for files.
	callerDescriptorShare = 0.5
	peerDescriptorShare   = 0.15
)

// Daemon is one host of the gateway.
type Daemon struct {
	settings    settings.Settings
	clock       clock.Clock
	log         logr.Logger
	network     link.Network
	incarnation int64

	targetPool    *exchange.Pool // connections to targets and the platform
	forwardPool   *exchange.Pool // connections to peers for forwarded calls
	controlBytes  *link.Counter
	controlPool   *exchange.Pool // connections to peers for control requests
	targetClient  *attempt.Client
	forwardClient *attempt.Client
	signer        *seal.Signer
	digester      *seal.Signer
	store         keyvalue.Store
	ledger        *ledger.Ledger
	feed          *feed.Feed
	gossip        *gossip.Service
	dispatcher    *dispatch.Dispatcher
	placerClient  *placer.Client
	placerServer  *placer.Server
	placingPool   *exchange.Pool // connections to placing hosts
	placingBytes  *link.Counter
	hedging       hedgeTable
	committer     *claim.Committer
	claims        *claim.Registry
	hangups       *hangup.Watcher
	regions       regionTable
	limiters      limiterTable
	metrics       *metrics

	memory         *memory.Budget // of connections, calls and bodies
	memoryLoggedAt atomic.Int64   // Unix nanoseconds
	uploads        *upload.Reader
	callerLimiter  *link.Limiter
	peerLimiter    *link.Limiter
	callerServer   *fasthttp.Server
	peerServer     *fasthttp.Server
	callerListener net.Listener
	peerListener   net.Listener
	packetConn     net.PacketConn

	draining     atomic.Bool
	runningCalls sync.WaitGroup
	inFlight     atomic.Int64
	stop         context.CancelFunc
	drainOnce    sync.Once
	drained      chan struct{}
}

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(d *Daemon) { d.log = l } }

// WithNetwork sets the network.
func WithNetwork(n link.Network) Option { return func(d *Daemon) { d.network = n } }

// New returns a Daemon that listens, but does not serve yet.
func New(s settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s, clock: clock.System{}, log: logr.Discard(), network: link.NewSystem(s.LocalIP()),
		hangups: hangup.NewWatcher(), metrics: newMetrics(), drained: make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	d.memory = memory.NewMachineBudget(float64(s.MemoryMB))
	d.uploads = upload.NewReader(d.memory, upload.WithClock(d.clock), upload.WithOnEnded(d.recordEndedUpload))
	d.callerLimiter = d.newLimiter(callerDescriptorShare, link.WithMemory(memory.Share{Budget: d.memory, Kind: memory.Connections}, upload.ConnectionBytes))
	d.peerLimiter = d.newLimiter(peerDescriptorShare)
	d.incarnation = d.clock.Now().UnixMilli()
	d.targetPool = exchange.NewPool(d.network, exchange.WithOnceHeader(core.HeaderRequestID), d.onMalformed("target"))
	d.forwardPool = exchange.NewPool(d.network, exchange.WithOnceHeader(core.HeaderRequestID), d.onMalformed("host"))
	d.controlBytes = link.NewCounter(d.network)
	d.controlPool = exchange.NewPool(d.controlBytes, d.onMalformed("host"))
	responses := exchange.NewMemoryBudget(maxResponseMemoryBytes, exchange.WithinBudget(memory.Share{Budget: d.memory, Kind: memory.Responses}), exchange.WithOnShort(d.awaitResponseMemory))
	d.targetClient = attempt.NewClient(d.targetPool, responses)
	d.forwardClient = attempt.NewClient(d.forwardPool, responses)
	d.signer = seal.New(s.FleetKeys...)
	d.digester = seal.New(s.ClaimSecret)
	d.store = etcd.NewClient(exchange.NewPool(d.controlBytes, d.onMalformed("store")), s.StoreAddresses)
	d.ledger = ledger.New(d.store, d.clock.Now)
	d.dispatcher = dispatch.New(d.clock, d.placementOptions(config.DefaultLimits()), rand.Uint64())
	d.placingBytes = link.NewCounter(d.network)
	d.placingPool = exchange.NewPool(d.placingBytes, d.onMalformed("host"))
	d.placerServer = placer.NewServer(d.dispatcher, d.clock)
	d.placerClient = placer.NewClient(d.instanceID(), d.dispatcher, d.clock, d.postToPlacer, d.placingHost)
	d.committer = claim.NewCommitter(d.store, d.clock, claimRetention)
	d.claims = claim.NewRegistry(claimRetention + claimRegistryMargin)
	d.feed = feed.New(d.ledger,
		feed.WithClock(d.clock), feed.WithLogger(d.log.WithName("feed")),
		feed.WithFetch(d.fetchUpdate), feed.WithOnAdopt(d.onConfigAdopted), feed.WithWatchesStore(d.watchesStore), feed.WithAlternativePeer(d.otherPeer))
	return d, d.listen()
}

// onMalformed counts and logs the responses of a kind of peer that are outside the grammar of HTTP.
func (d *Daemon) onMalformed(from string) exchange.Option {
	return exchange.WithOnMalformed(func(address string, err error) {
		d.metrics.add(countMalformed, 1)
		d.log.Info("A response is outside the grammar of HTTP.", "From", from, "Address", address, "Offence", err.Error())
	})
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = d.network.Listen(d.settings.CallerAddress); err != nil {
		return errors.Wrap(err, "caller address")
	}
	d.callerListener = d.callerLimiter.Listen(d.retryAccept(d.callerListener))
	if d.peerListener, err = d.network.Listen(d.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	d.peerListener = d.peerLimiter.Listen(d.retryAccept(d.peerListener))
	if d.packetConn, err = d.network.ListenPacket(d.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	self := member.Info{
		Host: d.settings.Host, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
		CallerAddress: d.settings.CallerAddress, PeerAddress: d.settings.PeerAddress, Incarnation: d.incarnation,
	}
	d.gossip = gossip.New(d.packetConn, d.signer, self,
		gossip.WithClock(d.clock), gossip.WithLogger(d.log.WithName("gossip")),
		gossip.WithSeeds(d.settings.Seeds), gossip.WithFetch(d.fetchItems), gossip.WithOnItem(d.onItem))
	d.callerServer = d.newServer(d.serveCaller)
	d.callerServer.ConnState = d.callerLimiter.OnState
	d.peerServer = d.newServer(d.servePeer)
	d.peerServer.ConnState = d.peerLimiter.OnState
	return nil
}

// retryAccept makes a server go on after an error that passes. A lack of descriptors closes the connection
// of the caller that has been idle for the longest time.
func (d *Daemon) retryAccept(l net.Listener) net.Listener {
	return link.RetryAccept(l, func(err error) {
		d.log.Error(err, "Accepting a connection failed; trying again.", "Callers", d.callerLimiter.Open())
		if link.IsExhausted(err) {
			d.callerLimiter.MakeRoom()
		}
	})
}

func (d *Daemon) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: maxHeaderBytes,
		ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: config.MaxBodyBytes, CloseOnShutdown: true, StreamRequestBody: true,
		HeaderReceived: d.uploads.HeaderReceived(func() int { return config.MaxBodyBytes }, headerTimeout),
		ErrorHandler:   d.serveBadRequest, Logger: logsink.Discard{}, ReduceMemoryUsage: true,
		DisablePreParseMultipartForm: true, // a form is relayed as it came
	}
}

// Run serves until ctx ends or a drain is complete. When ctx ends, calls in flight
// are not waited for.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.stop = stop
	group := duty.NewGroup(ctx, maxTasks)
	group.Go("gossip receiver", d.gossip.Receive)
	group.Go("gossip", d.gossip.Run)
	group.Go("gossip sync", d.gossip.Sync)
	group.Go("store feed", d.feed.FollowStore)
	group.Go("peer feed", d.feed.FollowPeers)
	group.Go("dispatcher", d.dispatcher.Run)
	group.Go("placer", d.placerClient.Run)
	group.Go("placing", d.refreshPlacing)
	group.Go("claims", d.committer.Run)
	group.Go("hang-ups", func(ctx context.Context) error { return d.hangups.Run(ctx, d.clock) })
	group.Go("prober", d.probe)
	group.Go("announcer", d.announce)
	group.Go("caller server", d.serverTask(d.callerServer, d.callerListener))
	group.Go("peer server", d.serverTask(d.peerServer, d.peerListener))
	d.log.Info("The host serves.", "CallerAddress", d.settings.CallerAddress)
	go group.LogFailures(ctx.Done(), d.log)
	err := group.Wait()
	d.targetPool.Close()
	d.forwardPool.Close()
	d.controlPool.Close()
	d.placingPool.Close()
	return err
}

// serverTask returns a background task that serves s until its context ends.
func (d *Daemon) serverTask(s *fasthttp.Server, listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			_ = listener.Close()
			closing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			_ = s.ShutdownWithContext(closing)
		})
		defer stop()
		err := s.Serve(listener)
		if ctx.Err() != nil {
			return nil
		}
		return errors.Wrap(err, "serve")
	}
}

// onConfigAdopted applies a newly adopted configuration to this host and announces
// its version to the others. record is the patch that led to it, if known.
func (d *Daemon) onConfigAdopted(state *ledger.State, record *ledger.Record) {
	d.applyConfig(state)
	d.postVersion(state, record)
}

// applyConfig gives the targets of this region, the limits and the workspaces'
// rates to the parts that use them.
func (d *Daemon) applyConfig(state *ledger.State) {
	index := state.Index
	var targets []placement.Target
	for name := range index.Document.Services {
		for _, t := range index.TargetsOf(name) {
			if t.Region == d.settings.Region {
				targets = append(targets, placement.Target{
					Name: t.Name, Service: t.Service, DataCentre: t.DataCentre, Address: t.Address, Slots: t.Slots, Leaving: t.Leaving,
				})
			}
		}
	}
	limits := index.Document.Limits
	d.dispatcher.Configure(context.Background(), targets, d.placementOptions(limits), limits)
	d.limiters.reset(index)
}

func (d *Daemon) placementOptions(limits config.Limits) placement.Options {
	return placement.Options{
		Sharing: placement.TwoChoices, MaxQueued: limits.MaxQueuedPerHost,
		LongSlotShare: limits.LongSlotShare, MaxEjectedShare: limits.MaxEjectedShare,
	}
}

// index returns the configuration in force.
func (d *Daemon) index() *config.Index { return d.feed.State().Index }

// Drain stops the host gracefully: it refuses new calls, waits at most DrainSeconds
// for those that are running, and then ends Run. It returns when the drain is
// complete, or with an error when ctx ends. Further calls wait for the same drain.
func (d *Daemon) Drain(ctx context.Context) error {
	d.drainOnce.Do(func() {
		d.log.Info("The host is leaving.", "InFlight", d.inFlight.Load())
		d.gossip.Leave()
		d.draining.Store(true)
		d.removeFromDirectory(ctx)
		go d.finishDrain()
	})
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leaveNotice is how long a draining host goes on refusing new calls before it may
// stop, so that callers and peers notice that it leaves.
const leaveNotice = 2 * time.Second

func (d *Daemon) finishDrain() {
	<-d.clock.After(leaveNotice)
	idle := make(chan struct{})
	go func() {
		d.runningCalls.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		d.log.Info("All calls have ended.")
	case <-d.clock.After(time.Duration(d.settings.DrainSeconds) * time.Second):
		d.log.Info("The drain timed out.", "InFlight", d.inFlight.Load())
	}
	d.stop()
	close(d.drained)
}

// beginCall counts a call as running and reports whether it may run. It may not
// while the host is draining; a call that may must be ended by endCall.
func (d *Daemon) beginCall() bool {
	d.runningCalls.Add(1)
	d.inFlight.Add(1)
	if d.draining.Load() {
		d.endCall()
		return false
	}
	return true
}

func (d *Daemon) endCall() {
	d.inFlight.Add(-1)
	d.runningCalls.Done()
}
