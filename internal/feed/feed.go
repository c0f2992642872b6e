// Package feed keeps the configuration of a host up to date. It follows the store,
// fetches newer versions from peers, and adopts only a version higher than its own.
package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/ring"
)

const (
	retryInterval  = 500 * time.Millisecond
	requestTimeout = 5 * time.Second
	maxRecords     = 256
	hintQueueSize  = 64
)

// Update is the response of a peer to a host with an older version: either the records
// that follow the version, or a snapshot if the peer no longer has all of them.
type Update struct {
	Records  []ledger.Record  `json:"Records,omitempty"`
	Snapshot *ledger.Snapshot `json:"Snapshot,omitempty"`
}

// Hint is the information that a peer has a version.
type Hint struct {
	Version uint64
	Peer    string // peer address of the host
}

// FetchFunc requests from a peer the update that follows a version.
type FetchFunc func(ctx context.Context, peer string, after uint64) (Update, error)

// OnAdoptFunc is called with each state that is adopted. record is the change that led
// to it, or nil if the state was loaded as a whole. The function must not call the Feed.
type OnAdoptFunc func(state *ledger.State, record *ledger.Record)

// Feed holds the current state of the configuration.
type Feed struct {
	ledger          *ledger.Ledger
	clock           clock.Clock
	log             logr.Logger
	fetch           FetchFunc
	onAdopt         OnAdoptFunc
	watchesStore    func() bool
	alternativePeer func() (string, bool)
	hints           *ring.Queue[Hint]

	state   atomic.Pointer[ledger.State]
	mu      sync.Mutex      // guards adoption and records
	records []ledger.Record // the latest records, up to the current version

	// StoreBehind is set if the store had an older version than the host when it was
	// last read.
	StoreBehind atomic.Bool
	// FollowsStore is set while the host watches the store.
	FollowsStore atomic.Bool
}

// Option changes a Feed under construction.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(f *Feed) { f.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(f *Feed) { f.log = l } }

// WithFetch sets the function that requests an update from a peer.
func WithFetch(fetch FetchFunc) Option { return func(f *Feed) { f.fetch = fetch } }

// WithOnAdopt sets a function that is called with each state that is adopted.
func WithOnAdopt(onAdopt OnAdoptFunc) Option { return func(f *Feed) { f.onAdopt = onAdopt } }

// WithWatchesStore sets the function that reports whether this host is one of the few in
// its data centre that watch the store.
func WithWatchesStore(watchesStore func() bool) Option {
	return func(f *Feed) { f.watchesStore = watchesStore }
}

// WithAlternativePeer sets the function that returns the peer address of another host. It
// is used when the host of a hint doesn't have the version, for example after a restart.
func WithAlternativePeer(alternativePeer func() (string, bool)) Option {
	return func(f *Feed) { f.alternativePeer = alternativePeer }
}

// New returns a Feed at version 0, which means that no configuration is known.
func New(l *ledger.Ledger, options ...Option) *Feed {
	f := &Feed{
		ledger: l, clock: clock.System{}, log: logr.Discard(),
		onAdopt:         func(*ledger.State, *ledger.Record) {},
		watchesStore:    func() bool { return true },
		alternativePeer: func() (string, bool) { return "", false },
		hints:           ring.New[Hint](hintQueueSize),
	}
	for _, option := range options {
		option(f)
	}
	f.state.Store(ledger.Empty())
	return f
}

// State returns the current state. Version 0 means that no configuration is known yet.
func (f *Feed) State() *ledger.State { return f.state.Load() }

// Hint queues a hint if its version is higher than the current one. It drops the hint if
// the queue is full.
func (f *Feed) Hint(h Hint) {
	if h.Version > f.State().Version {
		f.hints.TryPut(h)
	}
}

// UpdateSince returns the update for a peer that has the version after, empty if the peer
// is up to date.
func (f *Feed) UpdateSince(after uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.State()
	if after >= state.Version {
		return Update{}
	}
	if n := len(f.records); n > 0 && f.records[0].Version <= after+1 {
		return Update{Records: append([]ledger.Record(nil), f.records[after+1-f.records[0].Version:]...)}
	}
	snapshot := state.Snapshot()
	return Update{Snapshot: &snapshot}
}

// Adopt makes a state current if its version is higher, and reports whether it did.
func (f *Feed) Adopt(state *ledger.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.adoptLocked(state, nil) {
		return false
	}
	f.records = nil // versions may have been skipped, so the records don't lead to the state
	return true
}

func (f *Feed) adoptLocked(state *ledger.State, record *ledger.Record) bool {
	if state.Version <= f.State().Version {
		return false
	}
	f.state.Store(state)
	f.log.Info("A configuration was adopted.", "Version", state.Version)
	f.onAdopt(state, record)
	return true
}

// AdoptRecord applies the record that follows the current version. It ignores a record
// of the current or an older version, and returns an error if the record doesn't apply.
func (f *Feed) AdoptRecord(r ledger.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.State()
	if r.Version <= state.Version {
		return nil
	}
	next, err := state.Apply(r)
	if err != nil {
		return err
	}
	f.records = append(f.records, r)
	if len(f.records) > maxRecords {
		f.records = f.records[len(f.records)-maxRecords:]
	}
	f.adoptLocked(next, &r)
	return nil
}

// FollowStore is the background task that reads and watches the store until ctx ends. A
// host that doesn't watch the store reads it only while it has no configuration.
func (f *Feed) FollowStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.watchesStore() || f.State().Version == 0 {
			f.followOnce(ctx)
			f.FollowsStore.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(retryInterval):
		}
	}
	return nil
}

// followOnce loads the state from the store and, if this host watches the store, adopts
// its records until the watch ends.
func (f *Feed) followOnce(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	state, revision, err := f.ledger.Load(requestCtx)
	cancel()
	if err != nil {
		f.log.V(1).Info("The configuration could not be read from the store.", "Error", err.Error())
		return
	}
	f.StoreBehind.Store(state.Version < f.State().Version)
	f.Adopt(state)
	if !f.watchesStore() {
		return
	}
	f.FollowsStore.Store(true)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go f.stopWhenNotWatching(watchCtx, stop)
	err = f.ledger.Follow(watchCtx, revision, f.AdoptRecord)
	if kind, _ := failure.KindOf[ledger.Kind](err); kind == ledger.Diverged {
		f.log.Error(err, "A record in the store does not apply to the current configuration.")
	}
}

// stopWhenNotWatching ends the watch when this host is no longer one of those that watch
// the store.
func (f *Feed) stopWhenNotWatching(ctx context.Context, stop context.CancelFunc) {
	for f.watchesStore() {
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(retryInterval):
		}
	}
	stop()
}

// FollowPeers is the background task that fetches newer versions from the peers of hints,
// until ctx ends.
func (f *Feed) FollowPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-f.hints.Items():
			f.catchUp(ctx, h)
		}
	}
}

// catchUp fetches updates from the host of a hint, and then from other hosts, until the
// current version is at least that of the hint or ctx ends.
func (f *Feed) catchUp(ctx context.Context, h Hint) {
	for f.fetch != nil && h.Version > f.State().Version {
		f.fetchFrom(ctx, h)
		if h.Version <= f.State().Version {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(retryInterval):
		}
		if peer, ok := f.alternativePeer(); ok {
			h.Peer = peer
		}
	}
}

// fetchFrom fetches an update from the host of a hint and applies it. Failures are logged.
func (f *Feed) fetchFrom(ctx context.Context, h Hint) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	update, err := f.fetch(ctx, h.Peer, f.State().Version)
	if err != nil {
		f.log.V(1).Info("The configuration could not be fetched from a peer.", "Peer", h.Peer, "Error", err.Error())
		return
	}
	if err := f.apply(update); err != nil {
		f.log.Error(err, "An update from a peer was rejected.", "Peer", h.Peer)
	}
}

// apply adopts the snapshot and the records of an update.
func (f *Feed) apply(update Update) error {
	if update.Snapshot != nil {
		state, err := update.Snapshot.State()
		if err != nil {
			return err
		}
		f.Adopt(state)
	}
	for _, r := range update.Records {
		if err := f.AdoptRecord(r); err != nil {
			return err
		}
	}
	return nil
}
