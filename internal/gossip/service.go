package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

const (
	piggybackBytes   = 320
	piggybackTimes   = 4 // sends of one fact in heartbeats
	maxItems         = 8192
	ringSize         = 1024
	centreInterval   = time.Second // between heartbeats to other data centres
	centresPerBeat   = 3
	syncInterval     = 2 * time.Minute
	joinInterval     = time.Second // between reads of a host that has just started
	joinReads        = 3
	differAfter      = time.Second // of other digests, before a read
	minReadPause     = time.Second
	viewInterval     = 50 * time.Millisecond // between two views, but for those of each tick
	readPausePerHost = 20 * time.Millisecond
	syncWhileAlone   = 500 * time.Millisecond
	readBufferBytes  = 64 << 10
	farewellInterval = 100 * time.Millisecond
)

// Fetch reads all facts that the host at a peer address knows.
type Fetch func(ctx context.Context, address string) ([]bulletin.Item, error)

// View is what the rest of the process sees of the fleet. It is immutable.
type View struct {
	// Version is another one after each change of the hosts.
	Version    uint64
	Self       member.Info
	Members    []member.Info
	Delegate   bool
	CutCentres map[string]bool
}

// Where returns the hosts of the view that are to be kept, in its order.
func (v *View) Where(keep func(member.Info) bool) []member.Info {
	var out []member.Info
	for _, m := range v.Members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// Find returns what the view knows of a host.
func (v *View) Find(host string) (member.Info, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, host, func(m member.Info, host string) int { return cmp.Compare(m.Host, host) })
	if !ok {
		return member.Info{}, false
	}
	return v.Members[at], true
}

// Counts tells how much the protocol has sent and received.
type Counts struct {
	SentMessages     atomic.Int64
	SentBytes        atomic.Int64
	ReceivedMessages atomic.Int64
	ReceivedBytes    atomic.Int64
	BadMessages      atomic.Int64
	DroppedMessages  atomic.Int64
}

// Service runs the protocol for one host.
type Service struct {
	conn    net.PacketConn
	sealer  *seal.Signer
	clock   clock.Clock
	log     logr.Logger
	fetch   Fetch
	seeds   atomic.Pointer[[]string]
	onItem  func(bulletin.Item)
	counts  *Counts
	view    atomic.Pointer[View]
	packets *ring.Queue[packet]
	posts   *ring.Queue[post]
	leaving *ring.Queue[struct{}]
	synced  *ring.Queue[[]bulletin.Item]
	differs *ring.Queue[string]
	asks    *ring.Queue[chan []bulletin.Item]

	table      *member.Table
	board      *bulletin.Board
	beat       uint64
	nextCentre int
	lastCentre time.Time
	lastRead   time.Time
	published  time.Time
	forgotten  uint64               // version of the table at the last forget
	differing  map[string]time.Time // since when a host's digest is another one
}

type packet struct {
	message message
	from    string // peer address of the sender
}

type post struct {
	item   bulletin.Item
	urgent bool
}

// Option changes a Service under construction.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(s *Service) { s.log = l } }

// WithSeeds sets the peer addresses that the host joins through.
func WithSeeds(addresses []string) Option {
	return func(s *Service) { s.SetSeeds(addresses) }
}

// WithFetch sets how all facts of another host are read.
func WithFetch(fetch Fetch) Option { return func(s *Service) { s.fetch = fetch } }

// WithOnItem sets what receives each fact that is news and not about a host.
func WithOnItem(f func(bulletin.Item)) Option { return func(s *Service) { s.onItem = f } }

// New returns a Service for the host self that receives on conn.
func New(conn net.PacketConn, sealer *seal.Signer, self member.Info, options ...Option) *Service {
	s := &Service{
		conn: conn, sealer: sealer, clock: clock.System{}, log: logr.Discard(),
		onItem: func(bulletin.Item) {}, counts: &Counts{},
		packets: ring.New[packet](ringSize), posts: ring.New[post](ringSize),
		leaving: ring.New[struct{}](1), synced: ring.New[[]bulletin.Item](1),
		asks: ring.New[chan []bulletin.Item](1), differs: ring.New[string](1), differing: map[string]time.Time{},
		board: bulletin.NewBoard(maxItems),
	}
	s.SetSeeds(nil)
	for _, option := range options {
		option(s)
	}
	s.table = member.NewTable(s.clock.Now(), self)
	s.board.Merge(s.clock.Now(), self.Item())
	s.publishView()
	return s
}

// SetSeeds replaces the peer addresses that the host joins through.
func (s *Service) SetSeeds(addresses []string) { s.seeds.Store(&addresses) }

// View returns the newest view of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// Counts returns the traffic counters.
func (s *Service) Counts() *Counts { return s.counts }

// Post spreads a fact along with the heartbeats. It is dropped when the ring is
// full; its owner posts it again.
func (s *Service) Post(item bulletin.Item) bool { return s.posts.TryPut(post{item: item}) }

// PostNow spreads a fact at once.
func (s *Service) PostNow(item bulletin.Item) bool {
	return s.posts.TryPut(post{item: item, urgent: true})
}

// Leave tells the fleet that the host is about to stop.
func (s *Service) Leave() { s.leaving.TryPut(struct{}{}) }

// Items returns all facts that the host knows.
func (s *Service) Items(ctx context.Context) ([]bulletin.Item, error) {
	reply := make(chan []bulletin.Item, 1)
	if err := s.asks.Put(ctx, reply); err != nil {
		return nil, err
	}
	select {
	case items := <-reply:
		return items, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Receive is the duty that reads datagrams until ctx ends.
func (s *Service) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "gossip: receive")
		}
		s.counts.ReceivedMessages.Add(1)
		s.counts.ReceivedBytes.Add(int64(n))
		m, err := decode(buffer[:n], s.sealer)
		if err != nil {
			s.counts.BadMessages.Add(1)
			continue
		}
		if !s.packets.TryPut(packet{message: m, from: from.String()}) {
			s.counts.DroppedMessages.Add(1)
		}
	}
}

// Sync is the duty that reads all facts of another host: after the start, when
// that host's digest shows that it knows other things, and from time to time.
func (s *Service) Sync(ctx context.Context) error {
	address, ok := s.syncPeer()
	for reads := 0; ; {
		if items, done := s.fetchFrom(ctx, address, ok); done {
			reads++
			_ = s.synced.Put(ctx, items)
		}
		select {
		case <-ctx.Done():
			return nil
		case address = <-s.differs.Items():
			ok = true
		case <-s.clock.After(s.syncWait(reads)):
			address, ok = s.syncPeer()
		}
	}
}

func (s *Service) syncWait(reads int) time.Duration {
	switch {
	case len(s.View().Members) < 2:
		return syncWhileAlone
	case reads < joinReads:
		return joinInterval
	default:
		return syncInterval
	}
}

func (s *Service) fetchFrom(ctx context.Context, address string, ok bool) ([]bulletin.Item, bool) {
	if !ok || s.fetch == nil {
		return nil, false
	}
	items, err := s.fetch(ctx, address)
	if err != nil {
		s.log.V(1).Info("Reading the facts of a peer failed.", "Peer", address, "Error", err.Error())
		return nil, false
	}
	return items, true
}

// syncPeer picks a host at random: of the own data centre, of another one when
// the host is a delegate and every other time, or a seed while it is alone.
func (s *Service) syncPeer() (string, bool) {
	view := s.View()
	var near, far []string
	for _, m := range view.Members {
		switch {
		case m.Host == view.Self.Host || m.Status == member.Gone:
		case m.DataCentre == view.Self.DataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	choices := near
	if len(near) == 0 || (view.Delegate && rand.IntN(2) == 0 && len(far) > 0) {
		choices = far
	}
	if len(near)+len(far) == 0 || (len(near) == 0 && rand.IntN(2) == 0) {
		choices = *s.seeds.Load()
	}
	if len(choices) == 0 {
		return "", false
	}
	address := choices[rand.IntN(len(choices))]
	return address, address != view.Self.PeerAddress
}

// Run is the duty that owns the table and the board, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	started := s.clock.Now()
	tick := s.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-s.packets.Items():
			s.receive(p)
		case p := <-s.posts.Items():
			if s.board.Merge(s.clock.Now(), p.item) && p.urgent {
				s.spread([]bulletin.Item{p.item})
			}
		case items := <-s.synced.Items():
			s.take(items, "", "", false)
		case reply := <-s.asks.Items():
			reply <- s.board.All(bulletin.DataCentre)
		case <-s.leaving.Items():
			s.leave()
		case <-tick:
			s.tick()
			tick = s.clock.After(member.Interval(s.clock.Now().Sub(started)))
		}
	}
}

// leave tells all that the host is about to stop. It does so abroad as well,
// delegate or not: a leaving host is none, and may be the last of its data centre.
func (s *Service) leave() {
	item := s.table.Leave(s.clock.Now())
	s.board.Merge(s.clock.Now(), item)
	s.sendAll(s.table.Mates(), []bulletin.Item{item})
	s.sendAll(s.table.OtherDelegates(), []bulletin.Item{item})
	s.publishView()
}

func (s *Service) tick() {
	now := s.clock.Now()
	s.board.Sweep(now)
	news := s.table.Tick(now)
	for _, item := range news {
		s.board.Merge(now, item)
		s.log.Info("A host changed its status.", "Host", item.Key, "By", "monitor")
	}
	s.spread(news)
	s.forget()
	s.heartbeat(now)
	s.publishView()
}

// forget drops the facts of hosts that the table has forgotten.
func (s *Service) forget() {
	if s.forgotten == s.table.Version() {
		return
	}
	s.forgotten = s.table.Version()
	known := map[string]bool{}
	for _, info := range s.table.All() {
		known[member.KeyPrefix+info.Host] = true
	}
	for _, item := range s.board.All(bulletin.DataCentre) {
		if member.IsItem(item) && !known[item.Key] {
			s.board.Delete(item.Key)
		}
	}
}

func (s *Service) heartbeat(now time.Time) {
	s.beat++
	near := s.board.Pick(piggybackBytes, piggybackTimes, bulletin.DataCentre)
	for _, info := range s.table.Successors() {
		s.send(info.PeerAddress, kindHeartbeat, near)
	}
	s.greetSeeds()
	if !s.table.IsDelegate() || now.Sub(s.lastCentre) < centreInterval {
		return
	}
	s.lastCentre = now
	others := s.table.OtherDelegates()
	far := s.board.Pick(piggybackBytes, piggybackTimes, bulletin.Fleet)
	for i := range min(len(others), centresPerBeat) {
		s.send(others[(s.nextCentre+i)%len(others)].PeerAddress, kindHeartbeat, far)
	}
	s.nextCentre += centresPerBeat
}

// greetSeeds sends a heartbeat to the seeds that are no known host, so that
// groups that have started apart find each other.
func (s *Service) greetSeeds() {
	known := map[string]bool{}
	for _, info := range s.table.All() {
		known[info.PeerAddress] = true
	}
	for _, seed := range *s.seeds.Load() {
		if !known[seed] {
			s.send(seed, kindHeartbeat, []bulletin.Item{s.table.Self().Item()})
		}
	}
}

func (s *Service) receive(p packet) {
	m, now := p.message, s.clock.Now()
	s.table.Heard(now, m.From, m.Incarnation)
	s.table.HeardCentre(now, m.DataCentre)
	s.take(m.Items, m.From, m.DataCentre, m.Kind == kindNews)
	s.compare(now, m, p.from)
}

// compare asks for a read of a host that is not known, or whose digest has
// differed for a while.
func (s *Service) compare(now time.Time, m message, from string) {
	if info, known := s.table.Find(m.From); !known || info.Incarnation < m.Incarnation {
		s.askRead(now, from)
		return
	}
	if m.Digest == 0 || m.Digest == s.table.Digest() {
		delete(s.differing, m.From)
		return
	}
	since, ok := s.differing[m.From]
	if !ok {
		s.differing[m.From] = now
		return
	}
	if now.Sub(since) > differAfter && s.askRead(now, from) {
		delete(s.differing, m.From)
	}
}

// askRead asks for a read of a host, unless there was one lately. The larger the
// fleet, the more a read costs and the rarer it is.
func (s *Service) askRead(now time.Time, from string) bool {
	pause := max(minReadPause, time.Duration(len(s.View().Members))*readPausePerHost)
	if now.Sub(s.lastRead) < pause || !s.differs.TryPut(from) {
		return false
	}
	s.lastRead = now
	return true
}

// take merges facts from a sender and its data centre, both empty for a whole
// read. What is urgent news, or what a host says of itself, is passed on at once;
// the rest goes with the heartbeats.
func (s *Service) take(items []bulletin.Item, sender, from string, urgent bool) {
	now := s.clock.Now()
	var news, answers []bulletin.Item
	for _, item := range items {
		if !member.IsItem(item) {
			if s.board.Merge(now, item) {
				news = append(news, item)
				s.onItem(item)
			}
			continue
		}
		fresh, answer := s.takeMember(now, item)
		urgent = urgent || (fresh && item.Key == member.KeyPrefix+sender)
		if answer != nil {
			answers = append(answers, *answer)
		} else if fresh {
			news = append(news, item)
		}
	}
	s.spread(answers)
	if urgent {
		s.passOn(news, sender, from)
	}
	if len(news)+len(answers) > 0 && now.Sub(s.published) >= viewInterval {
		s.publishView()
	}
}

// joining reports whether a host brings the news of itself, which others may not
// have had from it.
func joining(news []bulletin.Item, sender string) bool {
	return len(news) == 1 && news[0].Key == member.KeyPrefix+sender
}

func (s *Service) takeMember(now time.Time, item bulletin.Item) (bool, *bulletin.Item) {
	info, err := member.FromItem(item)
	if err != nil {
		s.counts.BadMessages.Add(1)
		return false, nil
	}
	fresh, answer := s.table.Apply(now, info)
	if answer != nil {
		s.board.Merge(now, *answer)
		return false, answer
	}
	if fresh {
		s.board.Merge(now, item)
	}
	return fresh, nil
}

// spread sends the host's own news at once to its data centre and, when it is a
// delegate, to the others.
func (s *Service) spread(items []bulletin.Item) {
	if len(items) == 0 {
		return
	}
	s.sendAll(s.table.Mates(), items)
	s.sendAbroad(items)
}

// passOn sends news of another host on: what came from another data centre to the
// mates, what came from the own one to the other data centres. So each news goes
// over each link once for each pair of delegates.
func (s *Service) passOn(news []bulletin.Item, sender, from string) {
	if len(news) == 0 {
		return
	}
	near := from == s.table.Self().DataCentre
	if !near || joining(news, sender) {
		s.sendAll(s.table.Mates(), news)
	}
	if near || joining(news, sender) {
		s.sendAbroad(news)
	}
}

// sendAbroad sends facts for the whole fleet to the delegates of the other data
// centres, if the host is a delegate itself.
func (s *Service) sendAbroad(items []bulletin.Item) {
	if len(items) == 0 || !s.table.IsDelegate() {
		return
	}
	wide := items[:0:0]
	for _, item := range items {
		if item.Scope == bulletin.Fleet {
			wide = append(wide, item)
		}
	}
	s.sendAll(s.table.OtherDelegates(), wide)
}

func (s *Service) sendAll(hosts []member.Info, items []bulletin.Item) {
	for _, run := range split(items) {
		for _, info := range hosts {
			s.send(info.PeerAddress, kindNews, run)
		}
	}
}

func (s *Service) send(address string, kind messageKind, items []bulletin.Item) {
	self := s.table.Self()
	if address == self.PeerAddress {
		return
	}
	digest := uint64(0)
	if kind == kindHeartbeat {
		digest = s.table.Digest()
	}
	data, err := encode(message{
		Digest: digest, Kind: kind, From: self.Host, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Beat: s.beat, Items: items,
	}, s.sealer)
	if err != nil {
		s.log.Error(err, "A message could not be encoded.")
		return
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	s.counts.SentMessages.Add(1)
	s.counts.SentBytes.Add(int64(len(data)))
	_, _ = s.conn.WriteTo(data, to)
}

func (s *Service) publishView() {
	now := s.clock.Now()
	s.published = now
	view := &View{
		Version: s.table.Version(), Self: s.table.Self(), Members: s.table.All(),
		Delegate: s.table.IsDelegate(), CutCentres: map[string]bool{},
	}
	for _, info := range view.Members {
		if s.table.Cut(now, info.DataCentre) {
			view.CutCentres[info.DataCentre] = true
		}
	}
	s.view.Store(view)
}
