// Package feed keeps the configuration of a host in force: it follows the
// store, learns from peers, and adopts only higher versions.
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
	retryPause  = 500 * time.Millisecond
	loadTimeout = 5 * time.Second
	keptRecords = 256
	hintRing    = 64
)

// Update is what a peer answers to a host that is behind.
type Update struct {
	Records  []ledger.Record  `json:"Records,omitempty"`
	Snapshot *ledger.Snapshot `json:"Snapshot,omitempty"`
}

// Hint says that a peer has a version.
type Hint struct {
	Version uint64
	Peer    string // its peer address
}

// Fetch asks a peer for what follows a version.
type Fetch func(ctx context.Context, peer string, after uint64) (Update, error)

// Adopted is told of each state that comes in force, with the record that made
// it if it is known. It must not call the Feed.
type Adopted func(state *ledger.State, made *ledger.Record)

// Feed holds the state in force.
type Feed struct {
	ledger  *ledger.Ledger
	clock   clock.Clock
	log     logr.Logger
	fetch   Fetch
	adopted Adopted
	watches func() bool
	other   func() (string, bool)
	hints   *ring.Ring[Hint]

	state atomic.Pointer[ledger.State]
	mu    sync.Mutex // guards adoption and records
	kept  []ledger.Record

	// StoreBehind is set while the store has an older version than the host.
	StoreBehind atomic.Bool
	// StoreUp is set while the host follows the store.
	StoreUp atomic.Bool
}

// Option changes a Feed under construction.
type Option func(*Feed)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(f *Feed) { f.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(f *Feed) { f.log = l } }

// WithFetch sets how a peer is asked.
func WithFetch(fetch Fetch) Option { return func(f *Feed) { f.fetch = fetch } }

// WithAdopted sets what is told of each state that comes in force.
func WithAdopted(adopted Adopted) Option { return func(f *Feed) { f.adopted = adopted } }

// WithWatches sets what tells whether this host is one of the few of its data
// centre that watch the store.
func WithWatches(watches func() bool) Option { return func(f *Feed) { f.watches = watches } }

// WithOther sets what returns the peer address of some other host, for when the
// host that was said to be ahead is not: it may have restarted since.
func WithOther(other func() (string, bool)) Option { return func(f *Feed) { f.other = other } }

// New returns a Feed at version 0.
func New(l *ledger.Ledger, options ...Option) *Feed {
	f := &Feed{
		ledger: l, clock: clock.System{}, log: logr.Discard(), adopted: func(*ledger.State, *ledger.Record) {},
		watches: func() bool { return true }, other: func() (string, bool) { return "", false }, hints: ring.New[Hint](hintRing),
	}
	for _, option := range options {
		option(f)
	}
	f.state.Store(ledger.Empty())
	return f
}

// State returns the state in force. Version 0 means that none is known yet.
func (f *Feed) State() *ledger.State { return f.state.Load() }

// Hint notes that a peer may be ahead.
func (f *Feed) Hint(h Hint) {
	if h.Version > f.State().Version {
		f.hints.Offer(h)
	}
}

// Since answers a peer that has a version.
func (f *Feed) Since(after uint64) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.State()
	if after >= state.Version {
		return Update{}
	}
	if n := len(f.kept); n > 0 && f.kept[0].Version <= after+1 {
		return Update{Records: append([]ledger.Record(nil), f.kept[after+1-f.kept[0].Version:]...)}
	}
	snapshot := state.Snapshot()
	return Update{Snapshot: &snapshot}
}

// Adopt puts a state in force if its version is higher.
func (f *Feed) Adopt(state *ledger.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.adoptLocked(state, nil) {
		return false
	}
	f.kept = nil // the records before a jump do not lead to the state
	return true
}

func (f *Feed) adoptLocked(state *ledger.State, made *ledger.Record) bool {
	if state.Version <= f.State().Version {
		return false
	}
	f.state.Store(state)
	f.log.Info("A configuration is in force.", "Version", state.Version)
	f.adopted(state, made)
	return true
}

// AdoptRecord puts the version after the one in force in force.
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
	f.kept = append(f.kept, r)
	if len(f.kept) > keptRecords {
		f.kept = f.kept[len(f.kept)-keptRecords:]
	}
	f.adoptLocked(next, &r)
	return nil
}

// FollowStore is the duty that follows the store.
func (f *Feed) FollowStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.watches() || f.State().Version == 0 {
			f.followOnce(ctx)
			f.StoreUp.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(retryPause):
		}
	}
	return nil
}

func (f *Feed) followOnce(ctx context.Context) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	state, revision, err := f.ledger.Load(loadCtx)
	cancel()
	if err != nil {
		f.log.V(1).Info("Reading the store failed.", "Error", err.Error())
		return
	}
	f.StoreBehind.Store(state.Version < f.State().Version)
	f.Adopt(state)
	if !f.watches() {
		return
	}
	f.StoreUp.Store(true)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go f.stopWhenRelieved(watchCtx, stop)
	err = f.ledger.Follow(watchCtx, revision, f.AdoptRecord)
	if kind, _ := failure.KindOf[ledger.Kind](err); kind == ledger.Diverged {
		f.log.Error(err, "The store has a record that does not follow.")
	}
}

// stopWhenRelieved ends the watch when other hosts of the data centre have
// taken it over.
func (f *Feed) stopWhenRelieved(ctx context.Context, stop context.CancelFunc) {
	for f.watches() {
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(retryPause):
		}
	}
	stop()
}

// FollowPeers is the duty that asks the peers that are ahead.
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

// catchUp asks the host of a hint, and then others, until the version is in force.
func (f *Feed) catchUp(ctx context.Context, h Hint) {
	for f.fetch != nil && h.Version > f.State().Version {
		f.ask(ctx, h)
		if h.Version <= f.State().Version {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-f.clock.After(retryPause):
		}
		if peer, ok := f.other(); ok {
			h.Peer = peer
		}
	}
}

func (f *Feed) ask(ctx context.Context, h Hint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	update, err := f.fetch(ctx, h.Peer, f.State().Version)
	if err != nil {
		f.log.V(1).Info("Asking a peer for the configuration failed.", "Peer", h.Peer, "Error", err.Error())
		return
	}
	if err := f.take(update); err != nil {
		f.log.Error(err, "A peer's configuration was refused.", "Peer", h.Peer)
	}
}

func (f *Feed) take(update Update) error {
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
