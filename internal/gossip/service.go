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
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

const (
	piggybackBytes = 320 // of items in one heartbeat
	piggybackSends = 4   // of one item with heartbeats
	maxItems       = 8192
	queueSize      = 1024
	// delegateInterval is the time between two rounds of heartbeats to delegates of other
	// data centres, each to delegatesPerRound of them.
	delegateInterval  = time.Second
	delegatesPerRound = 3
	syncInterval      = 2 * time.Minute
	// joinInterval replaces syncInterval for the first joinReads full reads after the start.
	joinInterval = time.Second
	joinReads    = 3
	// aloneInterval replaces both while no other host is known.
	aloneInterval = 500 * time.Millisecond
	// mismatchGrace is how long the digest of another host may differ before its items are read.
	mismatchGrace      = time.Second
	minSyncPause       = time.Second
	syncPausePerMember = 20 * time.Millisecond
	// viewInterval is the minimum time between two views that are published between ticks.
	viewInterval    = 50 * time.Millisecond
	readBufferBytes = 64 << 10
)

// FetchFunc reads all items of the host at a peer address.
type FetchFunc func(ctx context.Context, address string) ([]bulletin.Item, error)

// View is a snapshot of the fleet for the rest of the process. It is immutable.
type View struct {
	// Version changes with each change of the members.
	Version    uint64
	Self       member.Info
	Members    []member.Info
	Delegate   bool            // whether this host is a delegate of its data centre
	CutCentres map[string]bool // data centres that no longer send messages to this delegate
}

// Filter returns the members for which keep returns true, in the order of the view.
func (v *View) Filter(keep func(member.Info) bool) []member.Info {
	var out []member.Info
	for _, m := range v.Members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}

// Find returns the record of a host, and false if the host is unknown.
func (v *View) Find(host string) (member.Info, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, host, func(m member.Info, host string) int { return cmp.Compare(m.Host, host) })
	if !ok {
		return member.Info{}, false
	}
	return v.Members[at], true
}

// Counts holds the traffic counters of the protocol.
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
	signer  *seal.Signer
	clock   clock.Clock
	log     logr.Logger
	fetch   FetchFunc
	seeds   atomic.Pointer[[]string]
	onItem  func(bulletin.Item)
	counts  *Counts
	view    atomic.Pointer[View]
	packets *ring.Queue[packet]
	posts   *ring.Queue[post]
	leaves  *ring.Queue[struct{}]
	synced  *ring.Queue[[]bulletin.Item]      // results of full reads
	syncs   *ring.Queue[string]               // peer addresses to read from
	queries *ring.Queue[chan []bulletin.Item] // calls of Items

	// The fields below belong to the goroutine of Run.
	table             *member.Table
	items             *bulletin.ItemSet
	sequence          uint64 // of heartbeats
	nextDelegate      int
	lastDelegateRound time.Time
	lastSyncRequest   time.Time
	publishedAt       time.Time            // of the last view
	prunedVersion     uint64               // version of the table at the last prune
	mismatchSince     map[string]time.Time // start of a digest mismatch, keyed by host
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

// WithFetch sets the function that reads all items of another host.
func WithFetch(fetch FetchFunc) Option { return func(s *Service) { s.fetch = fetch } }

// WithOnItem sets the function that is called with each new item that is no membership
// record. It is called by Run and must not block.
func WithOnItem(f func(bulletin.Item)) Option { return func(s *Service) { s.onItem = f } }

// New returns a Service for the host self that receives on conn.
func New(conn net.PacketConn, signer *seal.Signer, self member.Info, options ...Option) *Service {
	s := &Service{
		conn: conn, signer: signer, clock: clock.System{}, log: logr.Discard(),
		onItem: func(bulletin.Item) {}, counts: &Counts{},
		packets: ring.New[packet](queueSize), posts: ring.New[post](queueSize),
		leaves: ring.New[struct{}](1), synced: ring.New[[]bulletin.Item](1),
		queries: ring.New[chan []bulletin.Item](1), syncs: ring.New[string](1), mismatchSince: map[string]time.Time{},
		items: bulletin.NewItemSet(maxItems),
	}
	s.SetSeeds(nil)
	for _, option := range options {
		option(s)
	}
	s.table = member.NewTable(s.clock.Now(), self)
	s.items.Merge(s.clock.Now(), self.Item())
	s.publishView()
	return s
}

// SetSeeds replaces the peer addresses that the host joins through.
func (s *Service) SetSeeds(addresses []string) { s.seeds.Store(&addresses) }

// View returns the newest view of the fleet.
func (s *Service) View() *View { return s.view.Load() }

// Counts returns the traffic counters.
func (s *Service) Counts() *Counts { return s.counts }

// Post sends an item along with the heartbeats. It returns false if the queue is full and the
// item was dropped; the caller has to post it again.
func (s *Service) Post(item bulletin.Item) bool { return s.posts.TryPut(post{item: item}) }

// PostNow broadcasts an item at once. Like Post, it returns false if the item was dropped.
func (s *Service) PostNow(item bulletin.Item) bool {
	return s.posts.TryPut(post{item: item, urgent: true})
}

// Leave announces to the fleet that the host is about to stop.
func (s *Service) Leave() { s.leaves.TryPut(struct{}{}) }

// Items returns all items that the host holds. It waits for Run to answer until ctx ends.
func (s *Service) Items(ctx context.Context) ([]bulletin.Item, error) {
	reply := make(chan []bulletin.Item, 1)
	if err := s.queries.Put(ctx, reply); err != nil {
		return nil, err
	}
	select {
	case items := <-reply:
		return items, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Receive reads datagrams until ctx ends, and then closes the connection.
func (s *Service) Receive(ctx context.Context) error {
	defer link.CloseWith(ctx, s.conn)()
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := link.ReadFrom(s.conn, buffer, func(err error) { s.log.Error(err, "Receiving failed; trying again.") })
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "gossip: receive")
		}
		s.counts.ReceivedMessages.Add(1)
		s.counts.ReceivedBytes.Add(int64(n))
		m, err := decode(buffer[:n], s.signer)
		if err != nil {
			s.counts.BadMessages.Add(1)
			continue
		}
		if !s.packets.TryPut(packet{message: m, from: from.String()}) {
			s.counts.DroppedMessages.Add(1)
		}
	}
}

// Sync is the background task that reads all items of another host: after the start, when the
// digest of that host has differed for mismatchGrace, and at regular intervals, until ctx ends.
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
		case address = <-s.syncs.Items():
			ok = true
		case <-s.clock.After(s.syncWait(reads)):
			address, ok = s.syncPeer()
		}
	}
}

// syncWait returns the time until the next regular read.
func (s *Service) syncWait(reads int) time.Duration {
	switch {
	case len(s.View().Members) < 2:
		return aloneInterval
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
		s.log.V(1).Info("Failed to read the items of a peer.", "Peer", address, "Error", err.Error())
		return nil, false
	}
	return items, true
}

// syncPeer picks the peer address of a random host to read items from: one of the own data
// centre, or, at a delegate, one of another data centre half of the time. A host without others
// in its data centre reads from those of other data centres and from the seeds, or only from
// the seeds if it knows no other host.
func (s *Service) syncPeer() (string, bool) {
	view := s.View()
	var local, remote []string
	for _, m := range view.Members {
		switch {
		case m.Host == view.Self.Host || m.Status == member.Gone:
		case m.DataCentre == view.Self.DataCentre:
			local = append(local, m.PeerAddress)
		default:
			remote = append(remote, m.PeerAddress)
		}
	}
	choices := local
	if len(local) == 0 || (view.Delegate && rand.IntN(2) == 0 && len(remote) > 0) {
		choices = remote
	}
	if len(local)+len(remote) == 0 || (len(local) == 0 && rand.IntN(2) == 0) {
		choices = *s.seeds.Load()
	}
	if len(choices) == 0 {
		return "", false
	}
	address := choices[rand.IntN(len(choices))]
	return address, address != view.Self.PeerAddress
}

// Run owns the table and the items and runs the protocol until ctx ends.
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
			if s.items.Merge(s.clock.Now(), p.item) && p.urgent {
				s.broadcast([]bulletin.Item{p.item})
			}
		case items := <-s.synced.Items():
			s.merge(items, "", "", false)
		case reply := <-s.queries.Items():
			reply <- s.items.All(bulletin.DataCentre)
		case <-s.leaves.Items():
			s.leave()
		case <-tick:
			s.tick()
			tick = s.clock.After(member.IntervalForUptime(s.clock.Now().Sub(started)))
		}
	}
}

// leave announces that the host is about to stop. It also sends the announcement to other
// data centres itself: a leaving host is no delegate, and it may be the last host of its data
// centre.
func (s *Service) leave() {
	item := s.table.Leave(s.clock.Now())
	s.items.Merge(s.clock.Now(), item)
	s.sendAll(s.table.LocalPeers(), []bulletin.Item{item})
	s.sendAll(s.table.OtherDelegates(), []bulletin.Item{item})
	s.publishView()
}

func (s *Service) tick() {
	now := s.clock.Now()
	s.items.Sweep(now)
	changes := s.table.Tick(now)
	for _, item := range changes {
		s.items.Merge(now, item)
		s.log.Info("A host changed its status.", "Host", item.Key, "By", "monitor")
	}
	s.broadcast(changes)
	s.prune()
	s.heartbeat(now)
	s.publishView()
}

// prune deletes the items of hosts that the table no longer holds.
func (s *Service) prune() {
	if s.prunedVersion == s.table.Version() {
		return
	}
	s.prunedVersion = s.table.Version()
	known := map[string]bool{}
	for _, info := range s.table.All() {
		known[member.KeyPrefix+info.Host] = true
	}
	for _, item := range s.items.All(bulletin.DataCentre) {
		if member.IsItem(item) && !known[item.Key] {
			s.items.Delete(item.Key)
		}
	}
}

// heartbeat sends heartbeats to the monitors of this host, to unknown seeds and, at a
// delegate, to the delegates of other data centres in turn.
func (s *Service) heartbeat(now time.Time) {
	s.sequence++
	local := s.items.Pick(piggybackBytes, piggybackSends, bulletin.DataCentre)
	for _, info := range s.table.Successors() {
		s.send(info.PeerAddress, kindHeartbeat, local)
	}
	s.contactSeeds()
	if !s.table.IsDelegate() || now.Sub(s.lastDelegateRound) < delegateInterval {
		return
	}
	s.lastDelegateRound = now
	others := s.table.OtherDelegates()
	remote := s.items.Pick(piggybackBytes, piggybackSends, bulletin.Fleet)
	for i := range min(len(others), delegatesPerRound) {
		s.send(others[(s.nextDelegate+i)%len(others)].PeerAddress, kindHeartbeat, remote)
	}
	s.nextDelegate += delegatesPerRound
}

// contactSeeds sends a heartbeat to the seeds that are not known hosts, so that groups of
// hosts that started separately find each other.
func (s *Service) contactSeeds() {
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
	s.table.RecordHeartbeat(now, m.From, m.Incarnation)
	s.table.RecordCentreContact(now, m.DataCentre)
	s.merge(m.Items, m.From, m.DataCentre, m.Kind == kindItems)
	s.compareDigest(now, m, p.from)
}

// compareDigest requests a full read of the sender's items if the sender is unknown or has
// restarted, or if its digest has differed for mismatchGrace.
func (s *Service) compareDigest(now time.Time, m message, from string) {
	if info, known := s.table.Find(m.From); !known || info.Incarnation < m.Incarnation {
		s.requestSync(now, from)
		return
	}
	if m.Digest == 0 || m.Digest == s.table.Digest() {
		delete(s.mismatchSince, m.From)
		return
	}
	since, ok := s.mismatchSince[m.From]
	if !ok {
		s.mismatchSince[m.From] = now
		return
	}
	if now.Sub(since) > mismatchGrace && s.requestSync(now, from) {
		delete(s.mismatchSince, m.From)
	}
}

// requestSync requests a full read of a host's items. It returns false if the last request is
// too recent or still pending. The pause grows with the fleet, because so does the cost of a
// read.
func (s *Service) requestSync(now time.Time, from string) bool {
	pause := max(minSyncPause, time.Duration(len(s.View().Members))*syncPausePerMember)
	if now.Sub(s.lastSyncRequest) < pause || !s.syncs.TryPut(from) {
		return false
	}
	s.lastSyncRequest = now
	return true
}

// merge merges items from a sender in a data centre; both are empty for a full read. New
// items are relayed at once if they are urgent or include the sender's own record; otherwise
// they go out with the heartbeats.
func (s *Service) merge(items []bulletin.Item, sender, dataCentre string, urgent bool) {
	now := s.clock.Now()
	var fresh, refutations []bulletin.Item
	for _, item := range items {
		if !member.IsItem(item) {
			if s.items.Merge(now, item) {
				fresh = append(fresh, item)
				s.onItem(item)
			}
			continue
		}
		changed, refutation := s.mergeMember(now, item)
		urgent = urgent || (changed && item.Key == member.KeyPrefix+sender)
		if refutation != nil {
			refutations = append(refutations, *refutation)
		} else if changed {
			fresh = append(fresh, item)
		}
	}
	s.broadcast(refutations)
	if urgent {
		s.relay(fresh, sender, dataCentre)
	}
	if len(fresh)+len(refutations) > 0 && now.Sub(s.publishedAt) >= viewInterval {
		s.publishView()
	}
}

// isOwnRecord reports whether the only fresh item is the sender's own record, which the
// sender may not have sent to other hosts.
func isOwnRecord(fresh []bulletin.Item, sender string) bool {
	return len(fresh) == 1 && fresh[0].Key == member.KeyPrefix+sender
}

// mergeMember merges a membership record. It reports whether the record changed the table,
// or returns a refutation to broadcast in its place.
func (s *Service) mergeMember(now time.Time, item bulletin.Item) (bool, *bulletin.Item) {
	info, err := member.FromItem(item)
	if err != nil {
		s.counts.BadMessages.Add(1)
		return false, nil
	}
	changed, refutation := s.table.Apply(now, info)
	if refutation != nil {
		s.items.Merge(now, *refutation)
		return false, refutation
	}
	if changed {
		s.items.Merge(now, item)
	}
	return changed, nil
}

// broadcast sends items of this host at once to its data centre and, at a delegate, to the
// other data centres.
func (s *Service) broadcast(items []bulletin.Item) {
	if len(items) == 0 {
		return
	}
	s.sendAll(s.table.LocalPeers(), items)
	s.sendToOtherCentres(items)
}

// relay forwards new items of another host: those from another data centre to the local
// peers, those from the own data centre to the other data centres. So each item crosses
// each link between data centres once for each pair of delegates.
func (s *Service) relay(items []bulletin.Item, sender, dataCentre string) {
	if len(items) == 0 {
		return
	}
	local := dataCentre == s.table.Self().DataCentre
	if !local || isOwnRecord(items, sender) {
		s.sendAll(s.table.LocalPeers(), items)
	}
	if local || isOwnRecord(items, sender) {
		s.sendToOtherCentres(items)
	}
}

// sendToOtherCentres sends the items of scope Fleet to the delegates of the other data
// centres, if this host is a delegate itself.
func (s *Service) sendToOtherCentres(items []bulletin.Item) {
	if len(items) == 0 || !s.table.IsDelegate() {
		return
	}
	fleetItems := items[:0:0]
	for _, item := range items {
		if item.Scope == bulletin.Fleet {
			fleetItems = append(fleetItems, item)
		}
	}
	s.sendAll(s.table.OtherDelegates(), fleetItems)
}

func (s *Service) sendAll(hosts []member.Info, items []bulletin.Item) {
	for _, batch := range split(items) {
		for _, info := range hosts {
			s.send(info.PeerAddress, kindItems, batch)
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
		Digest: digest, Kind: kind, From: self.Host, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Sequence: s.sequence, Items: items,
	}, s.signer)
	if err != nil {
		s.log.Error(err, "Failed to encode a message.")
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
	s.publishedAt = now
	view := &View{
		Version: s.table.Version(), Self: s.table.Self(), Members: s.table.All(),
		Delegate: s.table.IsDelegate(), CutCentres: map[string]bool{},
	}
	for _, info := range view.Members {
		if s.table.LinkCut(now, info.DataCentre) {
			view.CutCentres[info.DataCentre] = true
		}
	}
	s.view.Store(view)
}
