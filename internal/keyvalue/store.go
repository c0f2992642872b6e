package keyvalue

import (
	"context"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Kind classifies the errors of the store by what is known about their effect.
type Kind int

// The kinds.
const (
	// Unavailable means that the request had no effect.
	Unavailable Kind = iota
	// Unconfirmed means that a write may have taken effect.
	Unconfirmed
	// Compacted means that the requested revision has been compacted.
	Compacted
	// LeaseNotFound means that the lease has expired or never existed.
	LeaseNotFound
	// Rejected means that the service rejected the request as malformed.
	Rejected
	// Restored means that the service was restored from a copy since the requested revision,
	// so that it may lack changes that it had reported.
	Restored
	// TooLong means that the changes since the requested revision are too many to be read in time. The current entries
	// may not be.
	TooLong
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{"unavailable", "unconfirmed", "compacted", "lease not found", "rejected", "restored", "too long"}[k]
}

// Error is the error type of the package and of its adapters.
type Error = failure.Error[Kind]

// revisionBits is the number of bits of a revision within an era.
const revisionBits = 40

// RevisionInEra returns a number that orders the revisions of a store across its eras. A store
// begins a new era when it is restored from a copy and gives out the revisions after that of the
// copy again. The revisions of era 0 are unchanged.
func RevisionInEra(era, revision int64) int64 { return era<<revisionBits | revision }

// SplitRevision returns the era and the revision of a number that RevisionInEra returned.
func SplitRevision(n int64) (era, revision int64) {
	return n >> revisionBits, n & (1<<revisionBits - 1)
}

// Entry is a key with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          int64
}

// Page is the result of a read at one revision of the store.
type Page struct {
	Entries  []Entry
	Revision int64
}

// Compare is true if the modification revision of the key equals Revision. Revision zero
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

// Txn applies Writes if all of Compares are true. Reads are returned in either case, as
// of after the writes.
type Txn struct {
	Compares []Compare
	Writes   []Write
	Reads    []string
}

// TxnResult is the result of a transaction. Succeeded is set if the writes were applied.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Reads has an entry for each key of Txn.Reads, in the same order. The ModRevision of
	// a missing key is zero.
	Reads []Entry
}

// Event is a change of a watched key: a write or a deletion.
type Event struct {
	Entry
	Deleted bool
}

// Watcher receives the changes under a prefix in order of revision.
type Watcher interface {
	// Next waits for the next batch of events.
	Next() ([]Event, error)
	// Close ends the watch.
	Close()
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key. The page of a missing key has no entries.
	Get(ctx context.Context, key string) (Page, error)
	// List reads the keys in the range [from, to), in order.
	List(ctx context.Context, from, to string) (Page, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Watch follows the changes under a prefix, starting at the given revision, until
	// ctx ends.
	Watch(ctx context.Context, prefix string, revision int64) (Watcher, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its time to live. It fails with LeaseNotFound
	// if the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

// MaxValueBytes is the largest size of a value that the service accepts.
const MaxValueBytes = 1 << 20

// PrefixEnd returns the first key after all keys with the prefix, the end of their range
// for Store.List. A prefix without such a key gives "\x00", which etcd treats as
// unbounded.
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
