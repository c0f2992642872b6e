// Package gateway implements the daemon of an entry host: it accepts calls, routes each to a
// target of its region or to another region, and relays the response.
//
//	ingress.go      requests of callers and the responses to them
//	call.go         routing of one call
//	send.go         attempts at targets
//	copy.go         requests as they are sent on
//	connections.go  bounds on connections, and limits on requests of callers
//	memory.go       bodies of requests within the memory of the host
//	forward.go      attempts in other regions, and calls forwarded from there
//	crashes.go      examination of targets that break off calls
//	parts.go        parts of prompts that crash targets
//	feedback.go     state of targets and regions learned from attempts
//	coordinate.go   load queries to the coordinators of targets
//	peermessage.go  load reports between hosts
//	cachelist.go    prompt caches of targets
//	takeup.go       streams that callers take up, and the software versions that began them
//	doubts.go       health checks of targets that may have restarted
//	admission.go    limits of targets that the hosts of a region share
//	replies.go      replies of other hosts that calls wait for
//	members.go      live hosts, readiness and the directory for callers
//	standstill.go   times at which the host or its machine stood still
//	paths.go        paths of hosts to the targets of their region
//	storecontact.go answers of the store to other hosts
//	hostlocation.go whether a host is still at its address
//	evidence.go     what shows that the configuration is in force
//	targetlocation.go what shows that targets are at their addresses
//	homes.go        homes that change while a call lasts
//	newer.go        configurations that another host has before this one
//	traffic.go      bytes between hosts by purpose
//	updates.go      store updates that one host reads for its data centre
//	updateframe.go  updates as they are sent
//	outbox.go       updates that wait for other hosts
//	peers.go        requests between hosts
//	observe.go      metrics, state dump and the log line of a call
//	events.go       reader of event streams
//	workspace.go    workspaces of calls, and how long their keys hold
//	quota.go        quotas of workspaces
//	protocol.go     interface to the HTTP protocol of the platform
//	settings.go     settings file
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/delta"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/hangup"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/logsink"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	maxTasks = 24
	// maxHeaderBytes is also the size of the read buffer of each active connection.
	// Configurations allow headers of up to 16 KiB.
	maxHeaderBytes = 20 << 10
	maxCallBytes   = 64 << 20
	// idleTimeout and headerTimeout hold where no configuration sets others. serverIdleTimeout exceeds
	// every idle timeout, which limiters enforce.
	idleTimeout       = 90 * time.Second
	headerTimeout     = 30 * time.Second
	serverIdleTimeout = 24 * time.Hour
	// drainNotice is how long a draining host still accepts all calls, so that callers find other
	// hosts in the directory: half of the drain time at most. Later it accepts calls on open
	// connections that are sure to end within the drain time.
	drainNotice = 2900 * time.Millisecond
	// drainPollInterval is the interval at which a draining host checks for running calls.
	drainPollInterval = 20 * time.Millisecond
	// exitMargin is the part of the drain time reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// storeRepeatTime is the time without a response after which a request to the store is sent again on a
	// new connection. It exceeds the time for which the store may wait for changes, and a round trip.
	storeRepeatTime = time.Second
)

// Adapters connect the gateway to the platform on which it runs.
type Adapters struct {
	Protocol Protocol
	Decoder  catalogue.Decoder
	// NewReader returns a reader of the store that uses a pool of connections. One read of changes takes maxChanges bytes at
	// most, 0 for no bound.
	NewReader func(pool *exchange.Pool, address string, maxChanges int) keyvalue.Reader
}

// Gateway is one entry host.
type Gateway struct {
	settings Settings
	protocol Protocol
	clock    clock.Clock
	log      logr.Logger
	network  link.Network
	signer   *seal.Signer
	started  time.Time
	// sinceBoot returns the time since the start of the machine, with that in which it was suspended.
	sinceBoot func() time.Duration
	// coordinatorTimeout bounds a call's wait for load replies of coordinators.
	coordinatorTimeout time.Duration

	callers            *link.Limiter
	exhaustionLoggedAt atomic.Int64   // Unix nanoseconds
	memory             *memory.Budget // of connections, calls and bodies
	uploads            *upload.Reader
	memoryLoggedAt     atomic.Int64           // Unix nanoseconds
	targetPool         *exchange.Pool         // to targets
	peerPool           *exchange.Pool         // to hosts, for calls
	bodyMemory         *exchange.MemoryBudget // long bodies and events of targets
	controlMemory      *exchange.MemoryBudget // responses of hosts to control requests
	controlPool        *exchange.Pool         // to hosts, for control requests
	storePool          *exchange.Pool
	catalogue          *catalogue.Catalogue
	follower           *catalogue.Follower
	gossip             *gossip.Service
	hangups            *hangup.Watcher
	metrics            *metrics
	suspectedCrashes   *ring.Queue[suspectedCrash]
	clearances         *ring.Queue[dueClearance]
	updates            *ring.Queue[catalogue.Update]
	outboxes           *outboxes
	updateBytes        *semaphore.Weighted // of the updates that are being sent
	codec              *delta.Codec        // of what hosts send one another
	bandwidth          *bandwidth.Budget   // of the traffic with other hosts and the store
	newerHosts         *ring.Queue[newerHost]
	doubtsRaised       chan struct{} // wakes checkHealth
	pathsSuspected     chan struct{} // wakes probePaths
	messageConn        net.PacketConn
	gossipConn         net.PacketConn
	servers            []namedServer

	// reportMu keeps load reports and changes in the order of the states that they
	// describe. It is locked before mu.
	reportMu sync.Mutex

	mu         sync.Mutex // guards all below
	balancer   *balance.Balancer
	regions    *balance.Regions
	budgets    map[string]*balance.RetryBudget
	quarantine *quarantine.Registry // of whole calls
	parts      *quarantine.Parts
	streams    *continuation.Records
	versions   *continuation.History
	// severalVersions is set while targets of several versions of a service are known.
	// runningStreams are those that this host relays to callers.
	severalVersions bool
	runningStreams  map[*activeCall]streamRecord
	typicalTimes    map[string]time.Duration // processing time by route
	avoidUntil      map[string]time.Time     // by host; no call is forwarded to it before
	targetAnswers   map[string]targetAnswer  // by target
	reaches         map[string]knownReach    // by host; of those that do not reach most targets
	lastMessages    map[string]messageStamp  // by host
	hostAnswers     map[string]hostAnswer    // by host
	sentReports     sentReports
	storeContact    storeContact // of other hosts
	// versionsQueriedAt is the end of the last query for newer configurations, and testimony what it brought.
	versionsQueriedAt time.Time
	testimony         testimony
	// suspendedFor is how long the machine was suspended in all, by the difference of two clocks.
	suspendedFor time.Duration
	// resumedAt is when the last suspension was noticed.
	resumedAt time.Time
	// regionLastSeen is when the last message of each other region arrived.
	regionLastSeen map[string]time.Time
	invalidHeaders map[string]string // last logged one, by target and name
	rng            *rand.Rand

	quotas           quotas
	loadReplies      replies[loadReply]
	admissionReplies replies[admissionReply]
	streamReplies    replies[streamReply]
	messageAddresses sync.Map // *net.UDPAddr by peer address
	storeReaders     atomic.Pointer[storeReaders]
	keyIndex         atomic.Pointer[keyIndex]
	// configurationFetches joins the requests of calls for a newer configuration.
	configurationFetches singleflight.Group
	// locationQueries joins the queries of calls for who is at an address.
	locationQueries singleflight.Group
	// observedVersion is the version that observeConfiguration has counted last.
	observedVersion atomic.Uint64
	leaving         atomic.Bool
	drain           atomic.Pointer[drainPeriod] // nil before Drain
	messageCounter  atomic.Uint64               // of datagrams sent
	partItems       atomic.Int64                // items posted under keys of this process
	regionTurn      int                         // of reports to other regions; only sendLoadReports uses it
	inFlight        atomic.Int64
	stop            context.CancelFunc
}

// drainPeriod is the time of a graceful stop. Calls are accepted until noticeEnd; the process exits
// after end.
type drainPeriod struct{ noticeEnd, end time.Time }

// mayOutlast reports whether a call that arrives now may be running when the process exits.
func (d *drainPeriod) mayOutlast(now, deadline time.Time) bool {
	return d != nil && now.After(d.noticeEnd) && deadline.After(d.end)
}

// namedServer is a server with its listener and the name under which it logs.
type namedServer struct {
	name     string
	server   *fasthttp.Server
	listener net.Listener
	limiter  *link.Limiter
}

// Option changes a Gateway under construction.
type Option func(*Gateway)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithNetwork sets the network.
func WithNetwork(n link.Network) Option { return func(g *Gateway) { g.network = n } }

// WithSinceBoot sets the source of the time since the start of the machine.
func WithSinceBoot(f func() time.Duration) Option { return func(g *Gateway) { g.sinceBoot = f } }

// WithCoordinatorTimeout bounds a call's wait for load replies of coordinators.
func WithCoordinatorTimeout(d time.Duration) Option {
	return func(g *Gateway) { g.coordinatorTimeout = d }
}

// New returns a Gateway that listens but serves only once Run is called.
func New(s Settings, adapters Adapters, options ...Option) (*Gateway, error) {
	if s.Policy == (balance.Policy{}) {
		s.Policy = balance.DefaultPolicy()
	}
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	g := &Gateway{
		settings: s, protocol: adapters.Protocol, coordinatorTimeout: defaultCoordinatorTimeout, clock: clock.System{}, sinceBoot: clock.SinceBoot, log: logr.Discard(), network: link.NewSystem(host),
		signer: seal.New(s.FleetKeys...), hangups: hangup.NewWatcher(), metrics: newMetrics(),
		suspectedCrashes: ring.New[suspectedCrash](maxSuspectedCrashes), clearances: ring.New[dueClearance](maxSuspectedCrashes), updates: ring.New[catalogue.Update](maxQueuedUpdates), outboxes: newOutboxes(), updateBytes: semaphore.NewWeighted(maxUpdateBytes), codec: delta.NewCodec(maxPeerResponseBytes), newerHosts: ring.New[newerHost](maxNewerHosts), doubtsRaised: make(chan struct{}, 1), pathsSuspected: make(chan struct{}, 1),
		balancer: balance.NewBalancer(s.Region, rand.Uint64(), balance.WithPolicy(s.Policy)), regions: balance.NewRegions(),
		budgets: map[string]*balance.RetryBudget{}, typicalTimes: map[string]time.Duration{},
		quarantine: quarantine.NewRegistry(quarantine.WithCrashThreshold(crashesToQuarantine)),
		parts:      quarantine.NewParts(),
		streams:    continuation.NewRecords(streamRetention), versions: continuation.NewHistory(versionRetention), runningStreams: map[*activeCall]streamRecord{},
		avoidUntil: map[string]time.Time{}, targetAnswers: map[string]targetAnswer{}, reaches: map[string]knownReach{}, lastMessages: map[string]messageStamp{}, hostAnswers: map[string]hostAnswer{}, invalidHeaders: map[string]string{}, regionLastSeen: map[string]time.Time{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(g)
	}
	g.suspendedFor = g.sinceBoot()
	g.started = g.clock.Now()
	g.quotas.limiter = allowance.New(s.Host, g.started)
	g.network = reclaimingNetwork{Network: g.network, gateway: g}
	g.bandwidth = bandwidth.NewBudget(g.clock, s.LinkMbps, bandwidth.WithOnWait(func(p bandwidth.Purpose, d time.Duration) {
		g.metrics.observeAge(fmt.Sprintf("bulk_wait_ms{purpose=%q}", p), d)
	}))
	g.memory = memory.NewMachineBudget(s.MemoryMB)
	g.uploads = upload.NewReader(g.memory, upload.WithClock(g.clock), upload.WithOnEnded(g.recordEndedUpload))
	g.callers = g.newLimiter(callerServer, callerShare, link.WithMemory(memory.Share{Budget: g.memory, Kind: memory.Connections}, upload.ConnectionBytes))
	g.targetPool = exchange.NewPool(g.network, exchange.WithMaxIdleTotal(int(idleTargetShare*float64(link.Descriptors(s.MaxDescriptors)))), exchange.WithEchoHeader(g.protocol.IDHeader()), exchange.WithCloseDelimited(), exchange.WithOpenTimeout(balance.MaxOpenTime), exchange.WithPeer(g.responder), g.onMalformed("target"))
	g.peerPool = exchange.NewPool(g.counted(bandwidth.Calls), exchange.WithNumbers(headerNumber), g.onMalformed("host"))
	g.controlPool = exchange.NewPool(g.network, exchange.WithNumbers(headerNumber), g.onMalformed("host"))
	g.storePool = exchange.NewPool(g.counted(bandwidth.Store), exchange.WithRepeat(storeRepeatTime, func() { g.metrics.add("store_requests_repeated_total", 1) }), g.onMalformed("store"))
	g.bodyMemory = exchange.NewMemoryBudget(maxBodyMemoryBytes, exchange.WithinBudget(memory.Share{Budget: g.memory, Kind: memory.Responses}), exchange.WithOnShort(g.awaitResponseMemory))
	g.controlMemory = exchange.NewMemoryBudget(maxPeerResponseBytes, exchange.WithinBudget(memory.Share{Budget: g.memory, Kind: memory.Control}))
	g.catalogue = catalogue.New(adapters.Decoder, s.DataCentres,
		catalogue.WithClock(g.clock), catalogue.WithLogger(g.log.WithName("catalogue")), catalogue.WithOnChange(g.configure))
	g.follower = catalogue.NewFollower(g.catalogue, adapters.NewReader(g.storePool, s.StoreAddress, g.bandwidth.MaxRead()), g.fetchCatalogue, peerGroup{g}, g.clock, g.log.WithName("catalogue"))
	return g, g.listen()
}

// onMalformed counts and logs the responses of a kind of peer that are outside the grammar of HTTP.
func (g *Gateway) onMalformed(from string) exchange.Option {
	return exchange.WithOnMalformed(func(address string, err error) {
		g.metrics.add(fmt.Sprintf("malformed_responses_total{from=%q}", from), 1)
		g.log.Info("A response is outside the grammar of HTTP.", "From", from, "Address", address, "Offence", err.Error())
	})
}

func (g *Gateway) listen() error {
	handlers := []struct {
		name, address string
		handler       fasthttp.RequestHandler
		limiter       *link.Limiter
	}{
		{callerServer, g.settings.CallerAddress, g.serveCaller, g.callers},
		{peerServer, g.settings.PeerAddress, g.servePeer, g.newLimiter(peerServer, peerShare)},
		{"readiness server", g.settings.ReadinessAddress, g.serveReadiness, g.newLimiter("readiness server", otherServerShare)},
		{"directory server", g.settings.DirectoryAddress, g.serveDirectory, g.newLimiter("directory server", directoryShare)},
		{"metrics server", g.settings.MetricsAddress, g.serveMetrics, g.newLimiter("metrics server", otherServerShare)},
	}
	for _, h := range handlers {
		listener, err := g.network.Listen(h.address)
		if err != nil {
			return errors.Wrap(err, h.name)
		}
		server := g.newServer(h.name, h.handler, h.limiter)
		g.servers = append(g.servers, namedServer{name: h.name, server: server, listener: h.limiter.Listen(g.retryAccept(h.name, listener)), limiter: h.limiter})
	}
	var err error
	if g.gossipConn, err = g.listenPacket(g.settings.PeerAddress, bandwidth.Membership); err != nil {
		return errors.Wrap(err, "peer address")
	}
	ip, _, _ := net.SplitHostPort(g.settings.PeerAddress)
	if g.messageConn, err = g.listenPacket(net.JoinHostPort(ip, strconv.Itoa(g.settings.SharePort)), bandwidth.LoadReports); err != nil {
		return errors.Wrap(err, "share port")
	}
	self := member.Info{
		Host: g.settings.Host, Region: g.settings.Region, DataCentre: g.settings.DataCentre,
		CallerAddress: g.settings.CallerAddress, PeerAddress: g.settings.PeerAddress, Incarnation: g.started.UnixMilli(), Protocol: member.ProtocolUpdateFrames, LinkMbps: g.settings.LinkMbps,
	}
	g.gossip = gossip.New(g.gossipConn, g.signer, self,
		gossip.WithClock(g.clock), gossip.WithLogger(g.log.WithName("gossip")),
		gossip.WithSeeds(g.settings.Seeds), gossip.WithFetch(g.fetchItems), gossip.WithOnItem(g.onItem))
	return nil
}

func (g *Gateway) newServer(name string, handler fasthttp.RequestHandler, limiter *link.Limiter) *fasthttp.Server {
	server := &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ConnState: limiter.OnState, ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { g.rejectRequest(name, ctx, err) },
		ReadBufferSize: maxHeaderBytes, ReadTimeout: headerTimeout, IdleTimeout: serverIdleTimeout,
		MaxRequestBodySize: maxControlBodyBytes, Logger: logsink.Discard{}, ReduceMemoryUsage: true,
		DisablePreParseMultipartForm: true, // a form is relayed as it came
	}
	if name == callerServer || name == peerServer {
		server.StreamRequestBody = true
		server.HeaderReceived = g.uploads.HeaderReceived(func() int { return g.maxBody(name) }, headerTimeout)
	}
	return server
}

// Run serves until ctx is done, without waiting for running calls, or until Drain has
// ended. It returns the first error of a server or a background task.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g.stop = stop
	group := duty.NewGroup(ctx, maxTasks)
	group.Go("gossip receiver", g.gossip.Receive)
	group.Go("gossip", g.gossip.Run)
	group.Go("gossip sync", g.gossip.Sync)
	group.Go("store follower", g.follower.FollowStore)
	group.Go("peer follower", g.follower.FollowPeers)
	group.Go("store update sender", g.broadcastUpdates)
	group.Go("traffic monitor", g.watchTraffic)
	group.Go("newer configuration fetcher", g.fetchFromNewerHosts)
	group.Go("load report sender", g.sendLoadReports)
	group.Go("load report receiver", g.receiveMessages)
	group.Go("limit lender", g.lendLimits)
	group.Go("quota sender", g.keepQuotas)
	group.Go("examiner", g.examineCrashes)
	group.Go("health checker", g.checkHealth)
	group.Go("path prober", g.probePaths)
	group.Go("lister", g.pollCacheLists)
	group.Go("hang-ups", func(ctx context.Context) error { return g.hangups.Run(ctx, g.clock) })
	group.Go("connection sweeper", g.sweepConnections)
	for _, s := range g.servers {
		group.Go(s.name, s.run)
	}
	g.log.Info("The host serves.", "CallerAddress", g.settings.CallerAddress, "Region", g.settings.Region, "Seeds", g.settings.Seeds,
		"MemoryMB", g.settings.MemoryMB, "RevocationMs", g.settings.RevocationMs, "QuotaOverage", g.settings.QuotaOverage)
	ended := make(chan struct{})
	go group.LogFailures(ended, g.log)
	err := group.Wait()
	close(ended)
	for _, p := range []*exchange.Pool{g.targetPool, g.peerPool, g.controlPool, g.storePool} {
		p.Close()
	}
	g.log.Info("The host has stopped.")
	return err
}

// run serves until ctx is done, and then closes the listener.
func (s namedServer) run(ctx context.Context) error {
	defer link.CloseWith(ctx, s.listener)()
	err := s.server.Serve(s.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// Drain stops the host gracefully: it leaves the directory at once, accepts calls for
// drainNotice, then refuses new connections and calls that may not end in time, and ends Run once
// no call is running or the drain time is over.
func (g *Gateway) Drain() {
	began := g.clock.Now()
	total := max(0, g.settings.drainTime()-exitMargin)
	notice := min(drainNotice, total/2)
	g.log.Info("The host is leaving.", "InFlight", g.inFlight.Load(), "NoticeMs", notice.Milliseconds(), "TotalMs", total.Milliseconds())
	g.drain.Store(&drainPeriod{noticeEnd: began.Add(notice), end: began.Add(total)})
	g.leaving.Store(true)
	g.updateQuotaFleet() // before the others count this host out
	g.gossip.Leave()
	<-g.clock.After(notice)
	ctx, cancel := context.WithTimeout(context.Background(), total-notice)
	defer cancel()
	if err := g.servers[0].server.ShutdownWithContext(ctx); err != nil {
		g.log.Error(err, "Calls were still running when the drain time ended.")
	}
	for g.inFlight.Load() > 0 && g.clock.Now().Before(began.Add(total)) {
		<-g.clock.After(drainPollInterval)
	}
	g.log.Info("The host has drained and stops.", "InFlight", g.inFlight.Load())
	g.stop()
}

// Reload applies the settings that may change while the host runs: the seeds.
func (g *Gateway) Reload(s Settings) {
	g.gossip.SetSeeds(s.Seeds)
	g.log.Info("The settings were reloaded.", "Seeds", s.Seeds)
}

// configure passes a new snapshot of the catalogue to the balancer.
func (g *Gateway) configure(s *catalogue.Snapshot) {
	g.observeVersions(s)
	if s.Table != nil {
		g.observeConfiguration(s)
		g.callers.SetTimeouts(s.Table.Limits().IdleTimeout, s.Table.Limits().HeaderTimeout)
	}
	g.quotas.configure(g.clock.Now(), s.Table, g.settings)
	g.mu.Lock()
	restarts := g.balancer.Configure(g.clock.Now(), s)
	g.mu.Unlock()
	for _, r := range restarts {
		g.metrics.add("target_restarts_total", 1)
		g.metrics.add("calls_before_restart_known_total", int64(r.RecentCalls))
		g.log.Info("A target has restarted.", "Target", r.Incarnation, "Previous", r.PreviousIncarnation, "ColdMs", r.Cold.Milliseconds(),
			"RecentCalls", r.RecentCalls, "Ejected", r.Ejected, "Revision", s.Revision)
	}
}

// random returns a number in [0, 1).
func (g *Gateway) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// jitter returns a random duration from d to twice d.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	return d + time.Duration(g.random()*float64(d))
}
