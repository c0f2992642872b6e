package keyvalue

import "context"

// Reader reads a key-value service and follows its changes.
type Reader interface {
	// Read returns all entries and the revision to pass to Changes.
	Read(ctx context.Context) (Page, error)
	// Changes waits for changes after a revision. It returns them with the revision to
	// pass to the next call. It returns no changes if there are none for a while.
	Changes(ctx context.Context, after int64) ([]Event, int64, error)
}
