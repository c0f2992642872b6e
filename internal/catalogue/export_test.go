package catalogue

import "context"

// ReadAll makes a full read of the store, as FollowStore does.
func (f *Follower) ReadAll(ctx context.Context) error { return f.readAll(ctx, readState{}) }

// ReadChanges reads the changes of the store, as FollowStore does.
func (f *Follower) ReadChanges(ctx context.Context) error { return f.readChanges(ctx, readState{}) }

// FetchFromPeer fetches changes from another host, as FollowPeers does.
func (f *Follower) FetchFromPeer(ctx context.Context) { f.fetchFromPeer(ctx) }

// ReadOnce makes the first call to the store, as FollowStore does.
func (f *Follower) ReadOnce(ctx context.Context) {
	f.readOnce(ctx, readState{fullRead: true, first: true})
}

// ReadSeries makes calls to the store one after the other, as FollowStore of the host that reads for its group does.
func (f *Follower) ReadSeries(ctx context.Context, calls int) {
	state := readState{fullRead: true, first: true}
	for range calls {
		state = f.readOnce(ctx, state)
	}
}
