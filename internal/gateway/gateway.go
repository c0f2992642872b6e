// Package gateway is the daemon of an entry host that serves routes: it takes
// calls, decides where each goes, and passes answers on whole.
//
//	ingress.go   a caller's request in, its answer out
//	call.go      the decisions on one call
//	send.go      one send to a target
//	forward.go   one send to another region, and what comes from there
//	members.go   the hosts, and the directory for callers
//	news.go      what one host reads in the store for the others
//	confer.go    what hosts ask one another before a send
//	share.go     what hosts tell one another of their load
//	beliefs.go   what is learned from sends
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/hangup"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/logsink"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

const (
	maxDuties = 20
	// maxHeaderBytes is also what each connection that is in use holds to read with.
	// It leaves room for the 16 KiB that configurations allow.
	maxHeaderBytes = 20 << 10
	maxCallBytes   = 64 << 20
	// idleTimeout is longer than any that a configuration gives callers.
	idleTimeout   = 90 * time.Second
	headerTimeout = 30 * time.Second
	// noticeTime is how long a leaving host goes on taking calls, so that callers
	// learn of other hosts. What it takes later may not end before the host must.
	noticeTime = 2900 * time.Millisecond
	// idleCheck is the pause between two looks for running calls of a leaving host.
	idleCheck = 20 * time.Millisecond
	// stopMargin is kept of the time to stop for the end of the process itself.
	stopMargin = 400 * time.Millisecond
)

// Adapters are what joins the gateway to the platform it runs on.
type Adapters struct {
	Protocol Protocol
	Decoder  catalogue.Decoder
	// Reader reads the store through a pool of connections.
	Reader func(pool *exchange.Pool, address string) keyvalue.Reader
}

// Gateway is one entry host.
type Gateway struct {
	settings Settings
	protocol Protocol
	clock    clock.Clock
	log      logr.Logger
	network  link.Network
	sealer   *seal.Sealer
	started  time.Time
	// wordPatience is how long a call waits for the coordinators of targets.
	wordPatience time.Duration

	pool      *exchange.Pool // to targets
	peers     *exchange.Pool // to hosts, for calls
	bodies    *exchange.Memory
	controls  *exchange.Pool // to hosts, for control
	stores    *exchange.Pool
	catalogue *catalogue.Catalogue
	follower  *catalogue.Follower
	gossip    *gossip.Service
	hangups   *hangup.Watch
	metrics   *metrics
	suspects  *ring.Ring[suspicion]
	news      *ring.Ring[catalogue.News]
	shares    net.PacketConn
	packets   net.PacketConn
	servers   []served

	// telling makes what a host says of itself go out in the order in which it was
	// so. It is taken before mu.
	telling sync.Mutex

	mu       sync.Mutex // guards all below
	book     *balance.Book
	regions  *balance.Regions
	budgets  map[string]*balance.RetryBudget
	register *quarantine.Registry
	typicals map[string]time.Duration // own time of calls by route
	lost     map[string]time.Time     // hosts that are not asked before
	heard    map[string]hearing       // the last share of each host
	// regionsHeard is when there was last word from each other region.
	regionsHeard map[string]time.Time
	source       *rand.Rand

	asked   uint64 // questions to coordinators so far
	askings map[uint64]asking

	addresses sync.Map // *net.UDPAddr of shares by peer address
	reader    atomic.Pointer[readers]
	leaving   atomic.Bool
	counter   atomic.Uint64 // of datagrams
	turn      int           // of words to other regions, owned by the share duty
	inFlight  atomic.Int64
	stop      context.CancelFunc
}

// served is a server with its listener.
type served struct {
	name     string
	server   *fasthttp.Server
	listener net.Listener
}

// Option changes a Gateway under construction.
type Option func(*Gateway)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithNetwork sets the network.
func WithNetwork(n link.Network) Option { return func(g *Gateway) { g.network = n } }

// WithWordPatience sets how long a call waits for the coordinators of targets.
func WithWordPatience(d time.Duration) Option { return func(g *Gateway) { g.wordPatience = d } }

// New returns a Gateway that listens, but does not serve yet.
func New(s Settings, adapters Adapters, options ...Option) (*Gateway, error) {
	if s.Policy == (balance.Policy{}) {
		s.Policy = balance.DefaultPolicy()
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	g := &Gateway{
		settings: s, protocol: adapters.Protocol, wordPatience: defaultWordPatience, clock: clock.System{}, log: logr.Discard(), network: link.NewSystem(host),
		sealer: seal.New(s.FleetKeys...), hangups: hangup.NewWatch(), metrics: newMetrics(),
		suspects: ring.New[suspicion](maxSuspects), news: ring.New[catalogue.News](maxNews),
		book: balance.NewBook(s.Region, rand.Uint64(), balance.WithPolicy(s.Policy)), regions: balance.NewRegions(),
		budgets: map[string]*balance.RetryBudget{}, typicals: map[string]time.Duration{},
		register: quarantine.NewRegistry(quarantine.WithCrashThreshold(deathsToQuarantine)),
		lost:     map[string]time.Time{}, heard: map[string]hearing{}, regionsHeard: map[string]time.Time{}, askings: map[uint64]asking{},
		source: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(g)
	}
	g.started = g.clock.Now()
	g.pool = exchange.NewPool(g.network, exchange.WithEcho(g.protocol.IDHeader()), exchange.WithEndByClose())
	g.peers = exchange.NewPool(g.network)
	g.controls = exchange.NewPool(g.network)
	g.stores = exchange.NewPool(g.network)
	g.bodies = exchange.NewMemory(maxHeldBytes)
	g.catalogue = catalogue.New(adapters.Decoder, s.DataCentres,
		catalogue.WithClock(g.clock), catalogue.WithLogger(g.log.WithName("catalogue")), catalogue.WithChanged(g.configure))
	g.follower = catalogue.NewFollower(g.catalogue, adapters.Reader(g.stores, s.StoreAddress), g.askCatalogue, circle{g}, g.clock, g.log.WithName("catalogue"))
	return g, g.listen()
}

func (g *Gateway) listen() error {
	handlers := []struct {
		name, address string
		handler       fasthttp.RequestHandler
	}{
		{"caller server", g.settings.CallerAddress, g.serveCaller},
		{"peer server", g.settings.PeerAddress, g.servePeer},
		{"readiness server", g.settings.ReadinessAddress, g.serveReadiness},
		{"directory server", g.settings.DirectoryAddress, g.serveDirectory},
		{"metrics server", g.settings.MetricsAddress, g.serveMetrics},
	}
	for _, h := range handlers {
		listener, err := g.network.Listen(h.address)
		if err != nil {
			return errors.Wrap(err, h.name)
		}
		g.servers = append(g.servers, served{name: h.name, server: newServer(h.handler), listener: listener})
	}
	var err error
	if g.packets, err = g.network.ListenPacket(g.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "peer address")
	}
	ip, _, _ := net.SplitHostPort(g.settings.PeerAddress)
	if g.shares, err = g.network.ListenPacket(net.JoinHostPort(ip, strconv.Itoa(g.settings.SharePort))); err != nil {
		return errors.Wrap(err, "share port")
	}
	self := member.Info{
		Host: g.settings.Host, Region: g.settings.Region, DataCentre: g.settings.DataCentre,
		CallerAddress: g.settings.CallerAddress, PeerAddress: g.settings.PeerAddress, Incarnation: g.started.UnixMilli(),
	}
	g.gossip = gossip.New(g.packets, g.sealer, self,
		gossip.WithClock(g.clock), gossip.WithLogger(g.log.WithName("gossip")),
		gossip.WithSeeds(g.settings.Seeds), gossip.WithFetch(g.fetchBoard), gossip.WithOnItem(g.onItem))
	return nil
}

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReadBufferSize: maxHeaderBytes, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxRequestBodySize: maxCallBytes, Logger: logsink.Discard{}, ReduceMemoryUsage: true,
	}
}

// Run serves until ctx ends, without waiting for what is in flight, or until
// Drain has ended.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g.stop = stop
	group := duty.NewGroup(ctx, maxDuties)
	group.Go("gossip receiver", g.gossip.Receive)
	group.Go("gossip", g.gossip.Run)
	group.Go("gossip sync", g.gossip.Sync)
	group.Go("store follower", g.follower.FollowStore)
	group.Go("peer follower", g.follower.FollowPeers)
	group.Go("news teller", g.tellNews)
	group.Go("share sender", g.sendShares)
	group.Go("share receiver", g.receiveShares)
	group.Go("examiner", g.examine)
	group.Go("lister", g.listKept)
	group.Go("hang-ups", func(ctx context.Context) error { return g.hangups.Run(ctx, g.clock) })
	for _, s := range g.servers {
		group.Go(s.name, s.run)
	}
	g.log.Info("The host serves.", "CallerAddress", g.settings.CallerAddress, "Region", g.settings.Region, "Seeds", g.settings.Seeds)
	ended := make(chan struct{})
	go group.LogFailures(ended, g.log)
	err := group.Wait()
	close(ended)
	for _, p := range []*exchange.Pool{g.pool, g.peers, g.controls, g.stores} {
		p.Close()
	}
	g.log.Info("The host has stopped.")
	return err
}

// run serves until ctx ends, and then closes idle connections and the listener.
func (s served) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// Drain stops the host gracefully: it leaves the directory at once, goes on for a
// while to serve those that come all the same, takes no more connections, and ends
// Run when no call runs any more.
func (g *Gateway) Drain() {
	g.log.Info("The host is leaving.", "InFlight", g.inFlight.Load())
	g.leaving.Store(true)
	g.gossip.Leave()
	began := g.clock.Now()
	<-g.clock.After(noticeTime)
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.drainTime()-noticeTime-stopMargin)
	defer cancel()
	if err := g.servers[0].server.ShutdownWithContext(ctx); err != nil {
		g.log.Error(err, "Calls still run at the end of the time to stop.")
	}
	for g.inFlight.Load() > 0 && g.clock.Now().Sub(began) < g.settings.drainTime()-stopMargin {
		<-g.clock.After(idleCheck)
	}
	g.log.Info("The host stops.", "InFlight", g.inFlight.Load())
	g.stop()
}

// Reload takes settings that may change while the host runs: those for joining.
func (g *Gateway) Reload(s Settings) {
	g.gossip.SetSeeds(s.Seeds)
	g.log.Info("The settings were read again.", "Seeds", s.Seeds)
}

// configure takes a new snapshot of the catalogue.
func (g *Gateway) configure(s *catalogue.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Configure(s)
}

// random returns a number from 0 to 1.
func (g *Gateway) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.source.Float64()
}

// spread returns a time from d to twice d.
func (g *Gateway) spread(d time.Duration) time.Duration {
	return d + time.Duration(g.random()*float64(d))
}
