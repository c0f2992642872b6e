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
	// firstPause is the pause before the first configuration is known.
	firstPause = 100 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 300 * time.Millisecond
	// changesTimeout bounds one wait for changes, beyond the time it may wait.
	changesTimeout = 2500 * time.Millisecond
	readTimeout    = 4 * time.Second
	// peerPause is the pause between two questions to other hosts while the
	// store does not answer.
	peerPause = 400 * time.Millisecond
)

// Ask asks some other host for what it knows beyond a revision.
type Ask func(ctx context.Context, after int64) (Difference, error)

// Follower keeps a Catalogue up to date from the store, and from other hosts
// while the store does not answer.
type Follower struct {
	catalogue *Catalogue
	reader    keyvalue.Reader
	ask       Ask
	clock     clock.Clock
	log       logr.Logger
	answered  chan bool // whether the last call to the store was answered
}

// NewFollower returns a Follower.
func NewFollower(c *Catalogue, reader keyvalue.Reader, ask Ask, k clock.Clock, log logr.Logger) *Follower {
	return &Follower{catalogue: c, reader: reader, ask: ask, clock: k, log: log, answered: make(chan bool, 1)}
}

// following is where the duty that reads the store stands.
type following struct {
	whole  bool // a whole read comes next
	failed bool // the last call was not answered
}

// FollowStore is the duty that reads the store.
func (f *Follower) FollowStore(ctx context.Context) error {
	state := following{whole: true}
	for ctx.Err() == nil {
		state = f.step(ctx, state)
		f.catalogue.Sweep()
		f.wait(ctx, f.pause(state.failed))
	}
	return nil
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
	return following{whole: compacted || (s.whole && err != nil), failed: err != nil && !compacted}
}

func (f *Follower) pause(failed bool) time.Duration {
	switch {
	case failed:
		return failurePause
	case f.catalogue.Now().Table == nil:
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
		f.catalogue.StoreReturned()
	}
	f.catalogue.Replace(page.Entries, page.Revision)
	return nil
}

func (f *Follower) readChanges(ctx context.Context, returning bool) error {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	events, revision, err := f.reader.Changes(ctx, f.catalogue.Now().Revision)
	if err != nil {
		return err
	}
	if returning {
		f.catalogue.StoreReturned()
	}
	f.catalogue.Apply(events, revision)
	return nil
}

// note logs a lost or regained store and tells the other duty.
func (f *Follower) note(err error, failed bool) {
	kind, _ := failure.KindOf[keyvalue.Kind](err)
	lost := err != nil && kind != keyvalue.Compacted
	if lost && !failed {
		f.log.Error(err, "The store does not answer.", "Revision", f.catalogue.Now().Revision)
	}
	if !lost && failed {
		f.log.Info("The store answers again.", "Revision", f.catalogue.Now().Revision)
	}
	select {
	case <-f.answered:
	default:
	}
	f.answered <- !lost
}

// FollowPeers is the duty that asks other hosts while the store does not
// answer.
func (f *Follower) FollowPeers(ctx context.Context) error {
	answered := false
	tick := f.clock.After(peerPause)
	for {
		select {
		case <-ctx.Done():
			return nil
		case answered = <-f.answered:
		case <-tick:
			tick = f.clock.After(peerPause)
			f.catalogue.Sweep()
			if !answered {
				f.askPeer(ctx)
			}
		}
	}
}

func (f *Follower) askPeer(ctx context.Context) {
	d, err := f.ask(ctx, f.catalogue.Now().Revision)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			f.log.V(1).Info("No other host could be asked.", "Error", err.Error())
		}
		return
	}
	f.catalogue.Merge(d)
}

func (f *Follower) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}
