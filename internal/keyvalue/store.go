package keyvalue

import (
	"context"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Kind sorts the failures of the store by what is known of their effect.
type Kind int

// The kinds.
const (
	// Unavailable means that the request had no effect.
	Unavailable Kind = iota
	// Unconfirmed means that a write may have taken effect.
	Unconfirmed
	// Compacted means that the asked revision is gone.
	Compacted
	// LeaseNotFound means that the lease has lapsed or never was.
	LeaseNotFound
	// Rejected means that the service refused the request as malformed.
	Rejected
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unavailable", "unconfirmed", "compacted", "lease not found", "rejected"}[k]
}

// Error is the error type of the package and of its adapters.
type Error = failure.Error[Kind]

// Entry is a key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Page is the answer to a read, at one revision of the store.
type Page struct {
	Entries  []Entry
	Revision int64
}

// Compare holds when the key's modification revision equals Revision; zero
// means that the key does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Write puts Value at Key, or deletes the key when Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Txn applies Writes when all of Compares hold. Reads are answered in either case,
// after the writes.
type Txn struct {
	Compares []Compare
	Writes   []Write
	Reads    []string
}

// TxnResult tells whether the writes were applied.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Reads has an entry for each key of Txn.Reads; a missing key has a zero
	// ModRevision.
	Reads []Entry
}

// Event is a change of a watched key.
type Event struct {
	Entry
	Deleted bool
}

// Watcher receives the changes of a prefix in order of revision.
type Watcher interface {
	// Next waits for the next batch of events.
	Next() ([]Event, error)
	// Close ends the watch.
	Close()
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key; a missing one gives no entry.
	Get(ctx context.Context, key string) (Page, error)
	// List reads the keys from one key on up to, and without, another, in order.
	List(ctx context.Context, from, to string) (Page, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Watch follows a prefix from the given revision on, until ctx ends.
	Watch(ctx context.Context, prefix string, revision int64) (Watcher, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive extends a lease and returns its time to live.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// PrefixEnd returns the first key after all keys of the prefix, to List them.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
