package catalogue

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

const (
	// watchPause is the pause between two calls that wait for changes. Each call is
	// billed, and targets write all the time.
	watchPause = 700 * time.Millisecond
	// initialPause is the pause between calls while there is no configuration yet, and
	// before a full read once the store has compacted its history, so that the hosts that
	// depend on this one's updates do not wait.
	initialPause = 100 * time.Millisecond
	// failurePause is the pause after a failed call.
	failurePause = 300 * time.Millisecond
	// changesTimeout bounds one call that waits for changes. It exceeds the time that the
	// reader may wait.
	changesTimeout = 2500 * time.Millisecond
	readTimeout    = 4 * time.Second
	// maxUpdateAge is how long after the reading host asked the store this host relies on its
	// updates. It is longer than two calls and a pause of the reading host; together with
	// a call of its own it stays well within the 3 s in which a change must be in force.
	maxUpdateAge = 2100 * time.Millisecond
	// pollInterval is the interval at which a host checks whether to read the store itself.
	pollInterval = 100 * time.Millisecond
	// peerPause is the pause between two requests to other hosts while the store does not
	// answer.
	peerPause = 400 * time.Millisecond
	// peerContactAge is the age of this host's last contact after which it asks other hosts although no call to the store
	// has failed: one may hang until changesTimeout. It exceeds what hosts in touch reach.
	peerContactAge = 2500 * time.Millisecond
	// MaxContactAge bounds the ages that other hosts state: an older contact proves nothing, and larger numbers overflow.
	MaxContactAge = time.Hour
)

// FetchDifference fetches the changes after a revision from some other host.
type FetchDifference func(ctx context.Context, after int64) (Difference, error)

// Update carries changes from the host that reads the store to the other hosts of its
// group: those from one revision to another that bring new information.
type Update struct {
	After    int64
	Revision int64
	Events   []keyvalue.Event
	// FullRead is set on an update from a full read. Keys are all keys of the store then; all others were
	// removed, of which Events has only those that the reading host knew.
	FullRead bool     `json:",omitempty"`
	Keys     []string `json:",omitempty"`
	// StoreRecovered is set on the first update after an outage of the store.
	StoreRecovered bool `json:"Returned"`
	// Partial means that there may be further changes that the update does not carry. After
	// and Revision have no meaning then.
	Partial bool
	// Bases are the entries that changes replace at the reading host, by key, of those that are worth a difference. Hosts
	// may have others.
	Bases map[string]keyvalue.Entry `json:"-"`
	// Omitted means that there are changes that the update does not carry, as they are too long. Each recipient reads the
	// store itself.
	Omitted bool `json:"-"`
	// ReadTime is how long the reading host waited for the answer of the store.
	ReadTime time.Duration `json:"-"`
	// AsOf is when the reading host asked the store, zero if that is not known. A recipient goes by the age
	// that the sender states, which leaves out the time on the way.
	AsOf time.Time `json:"-"`
}

// Then returns the update that brings the changes of u and then those of a later one, and false if there is
// none. Full reads and the first updates after an outage say more than their changes.
func (u Update) Then(later Update) (Update, bool) {
	if u.FullRead || later.FullRead || u.StoreRecovered || later.StoreRecovered || u.Partial != later.Partial || !u.Partial && later.After > u.Revision {
		return Update{}, false
	}
	later.After, later.Revision = u.After, max(u.Revision, later.Revision)
	bases := maps.Clone(later.Bases)
	for _, e := range u.Events { // recipients that lack both updates have what precedes the first change of a key
		delete(bases, e.Key)
	}
	if bases == nil {
		bases = map[string]keyvalue.Entry{}
	}
	maps.Copy(bases, u.Bases)
	later.Events, later.Bases = slices.Concat(u.Events, later.Events), bases
	return later, true
}

// PeerGroup is a group of hosts of which one reads the store for all.
type PeerGroup interface {
	// IsReader reports whether this host reads the store for the group.
	IsReader() bool
	// Broadcast sends an update to the other hosts. It must not block.
	Broadcast(u Update)
	// StoreAnswered reports whether the store has answered other hosts all the time since a moment.
	StoreAnswered(since time.Time) bool
}

// Follower keeps a Catalogue up to date from the store, and from other hosts while the
// store does not answer. One host of a group reads the store and sends updates to the
// others. A host whose last update is older than maxUpdateAge reads the store itself.
type Follower struct {
	catalogue *Catalogue
	reader    keyvalue.Reader
	fetch     FetchDifference
	peers     PeerGroup
	clock     clock.Clock
	log       logr.Logger
	available chan bool // whether the store answered the last call
	updated   chan struct{}
	omitted   chan struct{}             // changes came that only the store has
	relayedAt atomic.Pointer[time.Time] // when the reading host asked for what it last sent
	contact   lastContact
}

// Contact is a time until which a host has all changes of the store. The zero Contact says nothing.
type Contact struct {
	at time.Time
	// epoch changes when the clock of the host has stood still, so that times of before say nothing.
	epoch int
}

// At returns a contact with another time, which must have been found out after c.
func (c Contact) At(at time.Time) Contact { return Contact{at: at, epoch: c.epoch} }

// lastContact is the latest contact of a host.
type lastContact struct {
	mu   sync.Mutex
	last Contact
}

// read returns the latest contact.
func (l *lastContact) read() Contact {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// record sets the contact unless a later one is set or the epoch has changed.
func (l *lastContact) record(c Contact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.epoch == l.last.epoch && c.at.After(l.last.at) {
		l.last = c
	}
}

func (l *lastContact) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = Contact{epoch: l.last.epoch + 1}
}

// NewFollower returns a Follower.
func NewFollower(c *Catalogue, reader keyvalue.Reader, fetch FetchDifference, peers PeerGroup, k clock.Clock, log logr.Logger) *Follower {
	return &Follower{
		catalogue: c, reader: reader, fetch: fetch, peers: peers, clock: k, log: log,
		available: make(chan bool, 1), updated: make(chan struct{}, 1), omitted: make(chan struct{}, 1),
	}
}

// LastContact returns the time until which this host has all changes of the store, read by itself
// or by another host. That is when they were asked for, not when they arrived.
func (f *Follower) LastContact() time.Time {
	return f.contact.read().at
}

// NewContact returns a contact without a time, of which HandleUpdate takes a time that is found out after it.
func (f *Follower) NewContact() Contact { return f.contact.read().At(time.Time{}) }

// ForgetContact makes this host wait for the answer to a new request before it relies on having all changes.
func (f *Follower) ForgetContact() { f.contact.forget() }

// readState is the state of FollowStore between two calls to the store.
type readState struct {
	fullRead bool      // the next call is a full read
	first    bool      // no call has succeeded and nothing came from another host
	failed   bool      // the last call failed
	nextCall time.Time // earliest time of the next call
	restored bool      // the store has begun a new era since the last successful call
	updated  time.Time // when another host asked for the changes that it last sent
	reader   bool      // this host reads for its group
	omitted  bool      // an update left out changes, which this host has not read yet
	// behind is set while the changes are too long to read in time: full reads have each key once.
	behind bool
}

// FollowStore reads the store until ctx ends, unless another host does so for this one.
func (f *Follower) FollowStore(ctx context.Context) error {
	state := readState{fullRead: true, first: true}
	for {
		now := f.clock.Now()
		if reader := f.peers.IsReader(); reader != state.reader {
			state.reader = reader
			f.log.Info("The host that reads the store has changed.", "Self", reader, "Revision", f.catalogue.Snapshot().Revision)
		}
		if state.first && f.catalogue.Snapshot().Revision > 0 {
			state.fullRead, state.first, state.updated = false, false, now // another host sent the full state
		}
		if !now.Before(state.nextCall) && (state.fullRead || state.reader || state.omitted || now.Sub(state.updated) > maxUpdateAge) {
			state = f.readOnce(ctx, state)
			state.omitted = state.omitted && state.failed
			state.nextCall = f.clock.Now().Add(f.pause(state))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.updated:
			if state.failed {
				f.log.Info("Another host reads the store for this one.", "Revision", f.catalogue.Snapshot().Revision)
			}
			state.failed, state.updated = false, *f.relayedAt.Load()
			f.setAvailable(true)
		case <-f.omitted:
			state.omitted = true
		case <-f.clock.After(pollInterval):
		}
	}
}

// UpdateResult is what came of an update.
type UpdateResult string

// The results.
const (
	// Adopted means that this host has all changes up to the update's revision.
	Adopted UpdateResult = "Adopted"
	// Gap means that it lacks changes of before the update.
	Gap UpdateResult = "Gap"
	// Incomplete means that the update has no revision.
	Incomplete UpdateResult = "Incomplete"
	// ReadsStore means that the update left out changes, which this host reads from the store.
	ReadsStore UpdateResult = "ReadsStore"
)

// HandleUpdate applies an update from the host that reads the store. A host that has missed
// an earlier update applies the events without adopting the revision; it reads the store
// itself once its last update is older than maxUpdateAge. The update has all changes until asOf, zero if that
// is not known.
func (f *Follower) HandleUpdate(u Update, asOf Contact) UpdateResult {
	if u.Partial {
		bases := f.catalogue.Bases(u.Events)
		if events := f.catalogue.Apply(u.Events, 0, FromOtherReader); len(events) > 0 {
			f.broadcast(Update{Events: events, Bases: bases, Partial: true})
		}
		return Incomplete
	}
	known := f.catalogue.Snapshot().Revision
	if u.StoreRecovered {
		f.catalogue.StoreRecovered()
	}
	if u.Omitted {
		if known < u.Revision {
			select {
			case f.omitted <- struct{}{}:
			default:
			}
		}
		return ReadsStore
	}
	if known < u.After {
		f.catalogue.Apply(u.Events, 0, FromReader)
		f.log.Info("An update starts after the revision of this host.", "Known", known, "After", u.After, "Revision", u.Revision)
		return Gap
	}
	if u.FullRead {
		f.catalogue.ApplyFullRead(u)
	} else {
		f.catalogue.Apply(u.Events, u.Revision, FromReader)
	}
	f.contact.record(asOf)
	if u.AsOf.IsZero() {
		u.AsOf = f.clock.Now()
	}
	advance(&f.relayedAt, u.AsOf)
	select {
	case f.updated <- struct{}{}:
	default:
	}
	return Adopted
}

// advance sets a time unless a later one is set.
func advance(p *atomic.Pointer[time.Time], at time.Time) {
	for {
		old := p.Load()
		if old != nil && !at.After(*old) || p.CompareAndSwap(old, &at) {
			return
		}
	}
}

// readOnce makes one call to the store and returns the state after it.
func (f *Follower) readOnce(ctx context.Context, s readState) readState {
	read := f.readChanges
	if s.fullRead || s.behind {
		read = f.readAll
	}
	before := f.catalogue.Snapshot()
	began := f.NewContact().At(f.clock.Now())
	err := read(ctx, s)
	if ctx.Err() != nil {
		return s
	}
	f.recordResult(err, s.failed)
	if err == nil {
		f.contact.record(began)
	}
	f.logReadAnew(err, before.Revision)
	return s.after(err, f.catalogue.Snapshot().Table != before.Table)
}

// logReadAnew logs why the entries of the store are read in place of its changes.
func (f *Follower) logReadAnew(err error, revision int64) {
	switch {
	case isKind(err, keyvalue.Restored):
		f.log.Info("The store was restored from a copy; it is read anew.", "Revision", revision)
	case isKind(err, keyvalue.TooLong):
		f.log.Info("The changes of the store are too long to read in time; its entries are read.", "Revision", revision)
	}
}

func isKind(err error, kind keyvalue.Kind) bool {
	known, ok := failure.KindOf[keyvalue.Kind](err)
	return ok && known == kind
}

// after returns the state after a call with its error, nil for none. configured is set if it brought a configuration.
func (s readState) after(err error, configured bool) readState {
	restored, tooLong := isKind(err, keyvalue.Restored), isKind(err, keyvalue.TooLong)
	readAnew := restored || tooLong || isKind(err, keyvalue.Compacted)
	s.restored = restored || (s.restored && err != nil)
	s.behind = tooLong || s.behind && (err != nil || configured)
	s.first = s.first && err != nil
	s.fullRead, s.failed = readAnew || (s.fullRead && err != nil), err != nil && !readAnew
	return s
}

// pause returns the time until the next call to the store.
func (f *Follower) pause(s readState) time.Duration {
	switch {
	case s.failed:
		return failurePause
	case s.fullRead, f.catalogue.Snapshot().Table == nil:
		return initialPause
	default:
		return watchPause
	}
}

func (f *Follower) readAll(ctx context.Context, s readState) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := f.clock.Now()
	after := f.catalogue.Snapshot().Revision
	page, err := f.reader.Read(ctx)
	if err != nil {
		return err
	}
	readTime := f.clock.Now().Sub(asked)
	recovering := f.isRecovering(s)
	if recovering {
		f.catalogue.StoreRecovered()
	}
	bases := f.catalogue.Bases(writesOf(page.Entries))
	update := f.catalogue.Replace(page.Entries, after, page.Revision)
	if after == 0 {
		update = Update{After: page.Revision, Revision: page.Revision} // hosts with an older revision read the store themselves
	}
	update.StoreRecovered, update.AsOf, update.ReadTime, update.Bases = recovering, asked, readTime, bases
	f.broadcast(update)
	return nil
}

func writesOf(entries []keyvalue.Entry) []keyvalue.Event {
	out := make([]keyvalue.Event, 0, len(entries))
	for _, e := range entries {
		out = append(out, keyvalue.Event{Entry: e})
	}
	return out
}

func (f *Follower) readChanges(ctx context.Context, s readState) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	asked := f.clock.Now()
	after := f.catalogue.Snapshot().Revision
	events, revision, err := f.reader.Changes(ctx, after)
	if err != nil {
		return err
	}
	readTime, bases := f.clock.Now().Sub(asked), f.catalogue.Bases(events)
	recovering := f.isRecovering(s)
	if recovering {
		f.catalogue.StoreRecovered()
	}
	f.broadcast(Update{After: after, Revision: revision, Events: f.catalogue.ApplyFromStore(events, after, revision), StoreRecovered: recovering, AsOf: asked, ReadTime: readTime, Bases: bases})
	return nil
}

// isRecovering reports whether the store has been restored or was out since the last successful call, so that
// entries of targets may have expired in it. A failure of this host alone is no outage.
func (f *Follower) isRecovering(s readState) bool {
	if s.restored || !s.failed {
		return s.restored
	}
	answered := f.peers.StoreAnswered(f.LastContact())
	f.log.Info("Reads of the store had failed.", "Outage", !answered)
	return !answered
}

// broadcast sends an update to the group if this host reads the store for it.
func (f *Follower) broadcast(u Update) {
	if f.peers.IsReader() {
		f.peers.Broadcast(u)
	}
}

// recordResult logs that the store stopped or resumed answering, and passes the result of
// the last call on to FollowPeers.
func (f *Follower) recordResult(err error, failed bool) {
	lost := err != nil && !isKind(err, keyvalue.Compacted) && !isKind(err, keyvalue.Restored) && !isKind(err, keyvalue.TooLong)
	if lost && !failed {
		f.log.Error(err, "The store does not answer.", "Revision", f.catalogue.Snapshot().Revision)
	}
	if !lost && failed {
		f.log.Info("The store answers again.", "Revision", f.catalogue.Snapshot().Revision)
	}
	f.setAvailable(!lost)
}

// setAvailable hands the state of the store to FollowPeers, replacing one not yet received.
func (f *Follower) setAvailable(available bool) {
	select {
	case <-f.available:
	default:
	}
	f.available <- available
}

// FollowPeers fetches changes from other hosts while the store does not answer in time, and sweeps
// the catalogue, until ctx ends.
func (f *Follower) FollowPeers(ctx context.Context) error {
	storeAvailable := false
	tick := f.clock.After(initialPause)
	for {
		select {
		case <-ctx.Done():
			return nil
		case storeAvailable = <-f.available:
		case <-tick:
			tick = f.clock.After(f.peerPause())
			f.catalogue.Sweep()
			if !storeAvailable || f.clock.Now().Sub(f.LastContact()) > peerContactAge {
				f.fetchFromPeer(ctx)
			}
		}
	}
}

// peerPause returns the time until the next request to another host. It is shorter while
// there is no configuration, because the host cannot serve calls without one.
func (f *Follower) peerPause() time.Duration {
	if f.catalogue.Snapshot().Table == nil {
		return initialPause
	}
	return peerPause
}

// fetchFromPeer adopts the changes of another host, and relies on having all changes until the time until which
// that host has. The age in the response is counted from the request, which was sent before the response was made.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	asked := f.NewContact().At(f.clock.Now())
	d, err := f.fetch(ctx, f.catalogue.Snapshot().Revision)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.log.V(1).Info("Failed to fetch changes from another host.", "Error", err.Error())
		}
		return
	}
	f.catalogue.Merge(d)
	if d.ContactAgeMs != nil && *d.ContactAgeMs >= 0 && *d.ContactAgeMs <= MaxContactAge.Milliseconds() {
		f.contact.record(asked.At(asked.at.Add(-time.Duration(*d.ContactAgeMs) * time.Millisecond)))
	}
}
