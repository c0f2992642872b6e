package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// Keys of the ledger in the store.
const (
	headKey       = "sequoiarack/config/head"
	snapshotKey   = "sequoiarack/config/snapshot"
	recordsPrefix = "sequoiarack/config/records/"
	idsPrefix     = "sequoiarack/config/ids/"
)

const (
	snapshotInterval  = 16 // versions
	confirmAttempts   = 5
	confirmInterval   = 200 * time.Millisecond
	maxHistoryRecords = 1000
)

// head identifies the newest version in the store.
type head struct {
	Version uint64 `json:"Version"`
	Digest  string `json:"Digest"`
}

// Ledger reads and writes the versions in the store.
type Ledger struct {
	store keyvalue.Store
	now   func() time.Time
}

// New returns a Ledger in the store. It takes the times of new records from now.
func New(store keyvalue.Store, now func() time.Time) *Ledger {
	return &Ledger{store: store, now: now}
}

func recordKey(version uint64) string { return fmt.Sprintf("%s%012d", recordsPrefix, version) }

// Load returns the newest state and the revision of the store at which it was read.
func (l *Ledger) Load(ctx context.Context) (*State, int64, error) {
	const op = "load"
	page, err := l.store.Get(ctx, snapshotKey)
	if err != nil {
		return nil, 0, failure.Wrap(op, Unavailable, err)
	}
	snapshot := Snapshot{}
	if len(page.Entries) > 0 {
		if err = json.Unmarshal(page.Entries[0].Value, &snapshot); err != nil {
			return nil, 0, failure.Wrap(op, Diverged, err)
		}
	}
	state, err := snapshot.State()
	if err != nil {
		return nil, 0, err
	}
	page, err = l.store.List(ctx, recordKey(state.Version+1), keyvalue.PrefixEnd(recordsPrefix))
	if err != nil {
		return nil, 0, failure.Wrap(op, Unavailable, err)
	}
	state, err = applyRecords(state, page.Entries)
	return state, page.Revision, err
}

// applyRecords applies the records that are newer than the state, in order.
func applyRecords(state *State, entries []keyvalue.Entry) (*State, error) {
	for _, entry := range entries {
		record, err := decodeRecord(entry.Value)
		if err != nil {
			return nil, err
		}
		if record.Version <= state.Version {
			continue
		}
		if state, err = state.Apply(record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func decodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, failure.Wrap("read record", Diverged, err)
	}
	return record, nil
}

// History returns up to limit of the newest records, the newest last. limit is
// clamped to the range from 1 to maxHistoryRecords.
func (l *Ledger) History(ctx context.Context, limit int) ([]Record, error) {
	const op = "history"
	page, err := l.store.Get(ctx, headKey)
	if err != nil {
		return nil, failure.Wrap(op, Unavailable, err)
	}
	var latest head
	if len(page.Entries) > 0 {
		if err := json.Unmarshal(page.Entries[0].Value, &latest); err != nil {
			return nil, failure.Wrap(op, Diverged, err)
		}
	}
	from := uint64(1)
	if limit = min(max(limit, 1), maxHistoryRecords); latest.Version > uint64(limit) {
		from = latest.Version - uint64(limit) + 1
	}
	page, err = l.store.List(ctx, recordKey(from), keyvalue.PrefixEnd(recordsPrefix))
	if err != nil {
		return nil, failure.Wrap(op, Unavailable, err)
	}
	records := make([]Record, 0, len(page.Entries))
	for _, entry := range page.Entries {
		record, err := decodeRecord(entry.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Commit checks a patch and stores it as the next version. known is the newest version
// that this host has applied: Commit fails with StoreBehind if the store has an older
// one. For a patch that was accepted before, Commit returns its existing record.
func (l *Ledger) Commit(ctx context.Context, patch Patch, known uint64) (Record, error) {
	const op = "commit"
	if existing, found, err := l.findPatch(ctx, patch); err != nil || found {
		return existing, err
	}
	state, _, err := l.Load(ctx)
	if err != nil {
		return Record{}, err
	}
	if state.Version < known {
		return Record{}, failure.Wrap(op, StoreBehind, errors.Errorf("store has version %d, version %d was in force", state.Version, known))
	}
	record, next, err := state.Propose(patch, l.now().UTC())
	if err != nil {
		return Record{}, err
	}
	txn, err := l.transaction(ctx, record, next)
	if err != nil {
		return Record{}, err
	}
	result, err := l.store.Commit(ctx, txn)
	if err != nil {
		return l.confirm(ctx, patch, err)
	}
	if !result.Succeeded {
		return l.resolveConflict(ctx, patch)
	}
	return record, nil
}

func (l *Ledger) transaction(ctx context.Context, record Record, next *State) (keyvalue.Txn, error) {
	const op = "commit"
	page, err := l.store.Get(ctx, headKey)
	if err != nil {
		return keyvalue.Txn{}, failure.Wrap(op, Unavailable, err)
	}
	headRevision := int64(0)
	if len(page.Entries) > 0 {
		headRevision = page.Entries[0].ModRevision
	}
	txn := keyvalue.Txn{
		Compares: []keyvalue.Compare{{Key: headKey, Revision: headRevision}, {Key: recordKey(record.Version)}, {Key: idsPrefix + record.ID}},
		Writes: []keyvalue.Write{
			{Key: headKey, Value: encode(head{Version: record.Version, Digest: record.Digest})},
			{Key: recordKey(record.Version), Value: encode(record)},
			{Key: idsPrefix + record.ID, Value: encode(record.Version)},
		},
	}
	if record.Version%snapshotInterval == 0 {
		txn.Writes = append(txn.Writes, keyvalue.Write{Key: snapshotKey, Value: encode(next.Snapshot())})
	}
	if len(next.Raw) > keyvalue.MaxValueBytes*9/10 {
		return keyvalue.Txn{}, failure.Wrap(op, Refused, errors.Errorf("/: expected a document below %d bytes, got %d", keyvalue.MaxValueBytes*9/10, len(next.Raw)))
	}
	return txn, nil
}

// confirm looks for the record of a commit whose reply was lost, up to confirmAttempts
// times. It returns Unconfirmed if it finds none, because the commit may still take
// effect, and Unavailable if the commit certainly had no effect.
func (l *Ledger) confirm(ctx context.Context, patch Patch, cause error) (Record, error) {
	const op = "commit"
	if kind, _ := failure.KindOf[keyvalue.Kind](cause); kind != keyvalue.Unconfirmed {
		return Record{}, failure.Wrap(op, Unavailable, cause)
	}
	for range confirmAttempts {
		record, found, err := l.findPatch(ctx, patch)
		if err == nil && found {
			return record, nil
		}
		select {
		case <-ctx.Done():
			return Record{}, failure.Wrap(op, Unconfirmed, cause)
		case <-time.After(confirmInterval):
		}
	}
	return Record{}, failure.Wrap(op, Unconfirmed, cause)
}

// resolveConflict handles a transaction whose comparisons failed. The patch may have
// been stored by an earlier send of it; otherwise another patch has its version.
func (l *Ledger) resolveConflict(ctx context.Context, patch Patch) (Record, error) {
	const op = "commit"
	record, found, err := l.findPatch(ctx, patch)
	if err != nil || found {
		return record, err
	}
	return Record{}, failure.Wrap(op, Conflict, errors.Errorf("another patch was accepted on version %d", patch.Base))
}

// findPatch returns the record with the ID of the patch, if there is one. It fails with
// IDReused if the record holds another patch.
func (l *Ledger) findPatch(ctx context.Context, patch Patch) (Record, bool, error) {
	const op = "find patch"
	page, err := l.store.Get(ctx, idsPrefix+patch.ID)
	if err != nil {
		return Record{}, false, failure.Wrap(op, Unavailable, err)
	}
	if len(page.Entries) == 0 {
		return Record{}, false, nil
	}
	var version uint64
	if err := json.Unmarshal(page.Entries[0].Value, &version); err != nil {
		return Record{}, false, failure.Wrap(op, Diverged, err)
	}
	page, err = l.store.Get(ctx, recordKey(version))
	if err != nil || len(page.Entries) == 0 {
		return Record{}, false, failure.Wrap(op, Unavailable, err)
	}
	record, err := decodeRecord(page.Entries[0].Value)
	if err != nil {
		return Record{}, false, err
	}
	if record.Kind != patch.Kind || record.Base != patch.Base || !sameJSON(record.Body, patch.Body) {
		return Record{}, false, failure.Wrap(op, IDReused, errors.Errorf("ID %q belongs to version %d", patch.ID, version))
	}
	return record, true, nil
}

// sameJSON reports whether two JSON texts differ in insignificant white space only.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// Follow calls apply with each record written after the given store revision, in
// order, until the watch fails, apply returns an error, or ctx ends. It always returns
// an error.
func (l *Ledger) Follow(ctx context.Context, revision int64, apply func(Record) error) error {
	const op = "follow"
	watch, err := l.store.Watch(ctx, recordsPrefix, revision+1)
	if err != nil {
		return failure.Wrap(op, Unavailable, err)
	}
	defer watch.Close()
	for {
		events, err := watch.Next()
		if err != nil {
			return failure.Wrap(op, Unavailable, err)
		}
		for _, event := range events {
			if event.Deleted {
				continue
			}
			record, err := decodeRecord(event.Value)
			if err != nil {
				return err
			}
			if err := apply(record); err != nil {
				return err
			}
		}
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "ledger: cannot encode a value"))
	}
	return data
}
