package keyvalue

import "context"

// Reader is the part of a key-value service that a host needs to follow what
// others write: whole reads and waits for changes.
type Reader interface {
	// Read returns all entries and a revision from which Changes goes on.
	Read(ctx context.Context) (Page, error)
	// Changes waits for the changes after a revision and returns them with the
	// revision to go on from. It returns none when nothing changes for a while.
	Changes(ctx context.Context, after int64) ([]Event, int64, error)
}
