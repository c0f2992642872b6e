package catalogue

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

const (
	// watchPause is the pause between two waits for changes. Each wait is a
	// priced call, and targets write all the time.
	watchPause = 700 * time.Millisecond
	// firstPause is the pause before the first configuration is known, and before a
	// whole read once the history is lost, so that those that are told do not wait.
	firstPause = 100 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 300 * time.Millisecond
	// changesTimeout bounds one wait for changes, beyond the time it may wait.
	changesTimeout = 2500 * time.Millisecond
	readTimeout    = 4 * time.Second
	// toldAge is how long a host relies on the one that reads the store for it: longer
	// than that takes for a call and a pause, and with a call of its own well within
	// the 3 s in which a change is to be in force.
	toldAge = 1400 * time.Millisecond
	// checkPause is the pause between two looks whether the host is to read itself.
	checkPause = 100 * time.Millisecond
	// peerPause is the pause between two questions to other hosts while the
	// store does not answer.
	peerPause = 400 * time.Millisecond
)

// FetchDifference asks some other host for what it knows beyond a revision.
type FetchDifference func(ctx context.Context, after int64) (Difference, error)

// Update is what the host that reads the store for others tells them: the changes
// from one revision to another that say something new.
type Update struct {
	After    int64
	Revision int64
	Events   []keyvalue.Event
	// StoreRecovered tells that the store had not answered before.
	StoreRecovered bool `json:"Returned"`
	// Partial tells that there may be other changes, so that the revisions mean
	// nothing.
	Partial bool
}

// PeerGroup is the hosts that share the reading of the store.
type PeerGroup interface {
	// IsReader reports whether this host is the one that reads for the others.
	IsReader() bool
	// Broadcast tells the others. It must not block.
	Broadcast(n Update)
}

// Follower keeps a Catalogue up to date from the store, and from other hosts
// while the store does not answer. One host of a circle reads the store and tells
// the others, who read it themselves when they are not told for a while.
type Follower struct {
	catalogue *Catalogue
	reader    keyvalue.Reader
	ask       FetchDifference
	circle    PeerGroup
	clock     clock.Clock
	log       logr.Logger
	answered  chan bool // whether the last call to the store was answered
	told      chan struct{}
}

// NewFollower returns a Follower.
func NewFollower(c *Catalogue, reader keyvalue.Reader, ask FetchDifference, circle PeerGroup, k clock.Clock, log logr.Logger) *Follower {
	return &Follower{
		catalogue: c, reader: reader, ask: ask, circle: circle, clock: k, log: log,
		answered: make(chan bool, 1), told: make(chan struct{}, 1),
	}
}

// following is where the duty that reads the store stands.
type following struct {
	whole  bool      // a whole read comes next
	first  bool      // nothing was read yet
	failed bool      // the last call was not answered
	next   time.Time // not read before
	told   time.Time // when another host last told all that is new
}

// FollowStore is the duty that reads the store.
func (f *Follower) FollowStore(ctx context.Context) error {
	state := following{whole: true, first: true}
	for {
		now := f.clock.Now()
		if state.first && f.catalogue.Snapshot().Revision > 0 {
			state.whole, state.first, state.told = false, false, now // another host has told all
		}
		if !now.Before(state.next) && (state.whole || f.circle.IsReader() || now.Sub(state.told) > toldAge) {
			state = f.step(ctx, state)
			state.next = f.clock.Now().Add(f.pause(state))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-f.told:
			if state.failed {
				f.log.Info("Another host reads the store for this one.", "Revision", f.catalogue.Snapshot().Revision)
			}
			state.failed, state.told = false, f.clock.Now()
			f.setAnswered(true)
		case <-f.clock.After(checkPause):
		}
	}
}

// HandleUpdate takes the news of the host that reads the store. Whoever has missed what
// came before takes what there is, and reads the store itself before long.
func (f *Follower) HandleUpdate(n Update) {
	if n.Partial {
		if events := f.catalogue.Apply(n.Events, 0); len(events) > 0 {
			f.tell(Update{Events: events, Partial: true})
		}
		return
	}
	known := f.catalogue.Snapshot().Revision
	if n.StoreRecovered {
		f.catalogue.StoreRecovered()
	}
	if known < n.After {
		f.catalogue.Apply(n.Events, 0)
		return
	}
	f.catalogue.Apply(n.Events, n.Revision)
	select {
	case f.told <- struct{}{}:
	default:
	}
}

// step makes one call to the store.
func (f *Follower) step(ctx context.Context, s following) following {
	read := f.readChanges
	if s.whole {
		read = f.readAll
	}
	err := read(ctx, s.failed)
	if ctx.Err() != nil {
		return s
	}
	f.note(err, s.failed)
	kind, _ := failure.KindOf[keyvalue.Kind](err)
	compacted := err != nil && kind == keyvalue.Compacted
	s.first = s.first && err != nil
	s.whole, s.failed = compacted || (s.whole && err != nil), err != nil && !compacted
	return s
}

func (f *Follower) pause(s following) time.Duration {
	switch {
	case s.failed:
		return failurePause
	case s.whole, f.catalogue.Snapshot().Table == nil:
		return firstPause
	default:
		return watchPause
	}
}

func (f *Follower) readAll(ctx context.Context, returning bool) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.reader.Read(ctx)
	if err != nil {
		return err
	}
	if returning {
		f.catalogue.StoreRecovered()
	}
	after := f.catalogue.Snapshot().Revision
	news := f.catalogue.Replace(page.Entries, page.Revision)
	if after == 0 {
		after, news = page.Revision, nil // whoever knows less reads for himself
	}
	f.tell(Update{After: after, Revision: page.Revision, Events: news, StoreRecovered: returning})
	return nil
}

func (f *Follower) readChanges(ctx context.Context, returning bool) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	after := f.catalogue.Snapshot().Revision
	events, revision, err := f.reader.Changes(ctx, after)
	if err != nil {
		return err
	}
	if returning {
		f.catalogue.StoreRecovered()
	}
	f.tell(Update{After: after, Revision: revision, Events: f.catalogue.ApplyFromStore(events, revision), StoreRecovered: returning})
	return nil
}

// tell tells the circle what is new, if this host reads the store for it.
func (f *Follower) tell(n Update) {
	if f.circle.IsReader() {
		f.circle.Broadcast(n)
	}
}

// note logs a lost or regained store and tells the other duty.
func (f *Follower) note(err error, failed bool) {
	kind, _ := failure.KindOf[keyvalue.Kind](err)
	lost := err != nil && kind != keyvalue.Compacted
	if lost && !failed {
		f.log.Error(err, "The store does not answer.", "Revision", f.catalogue.Snapshot().Revision)
	}
	if !lost && failed {
		f.log.Info("The store answers again.", "Revision", f.catalogue.Snapshot().Revision)
	}
	f.setAnswered(!lost)
}

func (f *Follower) setAnswered(answered bool) {
	select {
	case <-f.answered:
	default:
	}
	f.answered <- answered
}

// FollowPeers is the duty that asks other hosts while the store does not
// answer.
func (f *Follower) FollowPeers(ctx context.Context) error {
	answered := false
	tick := f.clock.After(firstPause)
	for {
		select {
		case <-ctx.Done():
			return nil
		case answered = <-f.answered:
		case <-tick:
			tick = f.clock.After(f.peerPause())
			f.catalogue.Sweep()
			if !answered {
				f.askPeer(ctx)
			}
		}
	}
}

// peerPause is the pause until other hosts are asked again: a host that knows nothing
// serves nobody.
func (f *Follower) peerPause() time.Duration {
	if f.catalogue.Snapshot().Table == nil {
		return firstPause
	}
	return peerPause
}

func (f *Follower) askPeer(ctx context.Context) {
	d, err := f.ask(ctx, f.catalogue.Snapshot().Revision)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.log.V(1).Info("No other host could be asked.", "Error", err.Error())
		}
		return
	}
	f.catalogue.Merge(d)
}
