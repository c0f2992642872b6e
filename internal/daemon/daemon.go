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
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

const (
	maxDuties           = 16
	maxHeaderBytes      = 16 << 10
	idleTimeout         = 60 * time.Second
	headerTimeout       = 30 * time.Second
	claimRetention      = 24 * time.Hour
	bookMargin          = time.Hour // beyond the retention of a key
	shutdownTimeout     = 5 * time.Second
	directoryTTLSeconds = 6
)

// Daemon is one entry host.
type Daemon struct {
	settings    settings.Settings
	clock       clock.Clock
	log         logr.Logger
	network     link.Network
	incarnation int64

	pool       *exchange.Pool // to targets and the platform
	peers      *exchange.Pool // for calls that are sent on
	control    *link.Counter
	controls   *exchange.Pool // to peers, for control
	attempts   *attempt.Client
	forwards   *attempt.Client
	sealer     *seal.Signer
	digests    *seal.Signer
	store      keyvalue.Store
	ledger     *ledger.Ledger
	feed       *feed.Feed
	gossip     *gossip.Service
	dispatcher *dispatch.Dispatcher
	placer     *placer.Client
	placing    *placer.Server
	placements *exchange.Pool // to placing hosts
	placed     *link.Counter
	hedging    hedgeTable
	committer  *claim.Committer
	book       *claim.Registry
	hangups    *hangup.Watcher
	regions    regionTable
	limits     limiterTable
	metrics    *metrics

	callerServer   *fasthttp.Server
	peerServer     *fasthttp.Server
	callerListener net.Listener
	peerListener   net.Listener
	packets        net.PacketConn

	draining atomic.Bool
	running  sync.WaitGroup
	inFlight atomic.Int64
	stop     context.CancelFunc
	drainers sync.Once
	drained  chan struct{}
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
	d.incarnation = d.clock.Now().UnixMilli()
	d.pool = exchange.NewPool(d.network)
	d.peers = exchange.NewPool(d.network)
	d.control = link.NewCounter(d.network)
	d.controls = exchange.NewPool(d.control)
	d.attempts = attempt.NewClient(d.pool)
	d.forwards = attempt.NewClient(d.peers)
	d.sealer = seal.New(s.FleetKeys...)
	d.digests = seal.New(s.ClaimSecret)
	d.store = etcd.NewClient(exchange.NewPool(d.control), s.StoreAddresses)
	d.ledger = ledger.New(d.store, d.clock.Now)
	d.dispatcher = dispatch.New(d.clock, d.placementOptions(config.DefaultLimits()), rand.Uint64())
	d.placed = link.NewCounter(d.network)
	d.placements = exchange.NewPool(d.placed)
	d.placing = placer.NewServer(d.dispatcher, d.clock)
	d.placer = placer.NewClient(d.instance(), d.dispatcher, d.clock, d.askPlacing, d.placingHost)
	d.committer = claim.NewCommitter(d.store, d.clock, claimRetention)
	d.book = claim.NewRegistry(claimRetention + bookMargin)
	d.feed = feed.New(d.ledger,
		feed.WithClock(d.clock), feed.WithLogger(d.log.WithName("feed")),
		feed.WithFetch(d.fetchUpdate), feed.WithOnAdopt(d.adopted), feed.WithWatchesStore(d.watchesStore), feed.WithAlternativePeer(d.otherPeer))
	return d, d.listen()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = d.network.Listen(d.settings.CallerAddress); err != nil {
		return errors.Wrap(err, "caller address")
	}
	if d.peerListener, err = d.network.Listen(d.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	if d.packets, err = d.network.ListenPacket(d.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	self := member.Info{
		Host: d.settings.Host, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
		CallerAddress: d.settings.CallerAddress, PeerAddress: d.settings.PeerAddress, Incarnation: d.incarnation,
	}
	d.gossip = gossip.New(d.packets, d.sealer, self,
		gossip.WithClock(d.clock), gossip.WithLogger(d.log.WithName("gossip")),
		gossip.WithSeeds(d.settings.Seeds), gossip.WithFetch(d.fetchBoard), gossip.WithOnItem(d.onItem))
	d.callerServer = d.newServer(d.serveCaller)
	d.peerServer = d.newServer(d.servePeer)
	return nil
}

func (d *Daemon) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: maxHeaderBytes,
		ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: config.MaxBodyBytes, CloseOnShutdown: true,
		ErrorHandler: d.serveBadRequest, Logger: logsink.Discard{}, ReduceMemoryUsage: true,
	}
}

// Run serves until ctx ends, without waiting for what is in flight, or until a
// drain has ended.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.stop = stop
	group := duty.NewGroup(ctx, maxDuties)
	group.Go("gossip receiver", d.gossip.Receive)
	group.Go("gossip", d.gossip.Run)
	group.Go("gossip sync", d.gossip.Sync)
	group.Go("store feed", d.feed.FollowStore)
	group.Go("peer feed", d.feed.FollowPeers)
	group.Go("dispatcher", d.dispatcher.Run)
	group.Go("placer", d.placer.Run)
	group.Go("placing", d.place)
	group.Go("claims", d.committer.Run)
	group.Go("hang-ups", func(ctx context.Context) error { return d.hangups.Run(ctx, d.clock) })
	group.Go("prober", d.probe)
	group.Go("announcer", d.announce)
	group.Go("caller server", d.server(d.callerServer, d.callerListener))
	group.Go("peer server", d.server(d.peerServer, d.peerListener))
	d.log.Info("The host serves.", "CallerAddress", d.settings.CallerAddress)
	go group.LogFailures(ctx.Done(), d.log)
	err := group.Wait()
	d.pool.Close()
	d.peers.Close()
	d.controls.Close()
	d.placements.Close()
	return err
}

func (d *Daemon) server(s *fasthttp.Server, listener net.Listener) func(context.Context) error {
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

// adopted puts a configuration in force in the duties.
func (d *Daemon) adopted(state *ledger.State, made *ledger.Record) {
	d.configure(state)
	d.postVersion(state, made)
}

func (d *Daemon) configure(state *ledger.State) {
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
	d.limits.reset(index)
}

func (d *Daemon) placementOptions(limits config.Limits) placement.Options {
	return placement.Options{
		Sharing: placement.TwoChoices, MaxQueued: limits.MaxQueuedPerHost,
		LongSlotShare: limits.LongSlotShare, MaxEjectedShare: limits.MaxEjectedShare,
	}
}

// index returns the configuration in force.
func (d *Daemon) index() *config.Index { return d.feed.State().Index }

// Drain stops the host gracefully: it takes no new calls, finishes those that
// run, and then ends Run. It returns when all calls have ended or ctx does.
func (d *Daemon) Drain(ctx context.Context) error {
	d.drainers.Do(func() {
		d.log.Info("The host is leaving.", "InFlight", d.inFlight.Load())
		d.gossip.Leave()
		d.draining.Store(true)
		d.leaveDirectory(ctx)
		go d.finishDrain()
	})
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// noticeTime is how long a leaving host goes on refusing new calls, so that
// callers and peers learn of it.
const noticeTime = 2 * time.Second

func (d *Daemon) finishDrain() {
	<-d.clock.After(noticeTime)
	idle := make(chan struct{})
	go func() {
		d.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		d.log.Info("All calls have ended.")
	case <-d.clock.After(time.Duration(d.settings.DrainSeconds) * time.Second):
		d.log.Info("The time to drain is over.", "InFlight", d.inFlight.Load())
	}
	d.stop()
	close(d.drained)
}

// begin counts a call in, unless the host is draining.
func (d *Daemon) begin() bool {
	d.running.Add(1)
	d.inFlight.Add(1)
	if d.draining.Load() {
		d.end()
		return false
	}
	return true
}

func (d *Daemon) end() {
	d.inFlight.Add(-1)
	d.running.Done()
}
