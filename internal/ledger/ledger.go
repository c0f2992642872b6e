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
	snapshotEvery   = 16 // versions
	confirmTries    = 5
	confirmPause    = 200 * time.Millisecond
	maxHistoryItems = 1000
)

type head struct {
	Version uint64 `json:"Version"`
	Digest  string `json:"Digest"`
}

// Ledger reads and writes the versions.
type Ledger struct {
	store keyvalue.Store
	now   func() time.Time
}

// New returns a Ledger in the store. now gives the time that records carry.
func New(store keyvalue.Store, now func() time.Time) *Ledger {
	return &Ledger{store: store, now: now}
}

func recordKey(version uint64) string { return fmt.Sprintf("%s%012d", recordsPrefix, version) }

// Load reads the newest state and the revision of the store that it was read at.
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
	state, err = advance(state, page.Entries)
	return state, page.Revision, err
}

func advance(state *State, entries []keyvalue.Entry) (*State, error) {
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

// History returns up to limit of the newest records, newest last.
func (l *Ledger) History(ctx context.Context, limit int) ([]Record, error) {
	const op = "history"
	page, err := l.store.Get(ctx, headKey)
	if err != nil {
		return nil, failure.Wrap(op, Unavailable, err)
	}
	var top head
	if len(page.Entries) > 0 {
		if err := json.Unmarshal(page.Entries[0].Value, &top); err != nil {
			return nil, failure.Wrap(op, Diverged, err)
		}
	}
	from := uint64(1)
	if limit = min(max(limit, 1), maxHistoryItems); top.Version > uint64(limit) {
		from = top.Version - uint64(limit) + 1
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

// Commit checks a patch and makes it the next version. known is the newest
// version that this host has had in force: a store that is behind it is not
// written to. A patch whose ID was accepted before is answered as the first
// time.
func (l *Ledger) Commit(ctx context.Context, patch Patch, known uint64) (Record, error) {
	const op = "commit"
	if first, found, err := l.find(ctx, patch); err != nil || found {
		return first, err
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
		return l.settleRace(ctx, patch)
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
	if record.Version%snapshotEvery == 0 {
		txn.Writes = append(txn.Writes, keyvalue.Write{Key: snapshotKey, Value: encode(next.Snapshot())})
	}
	if len(next.Raw) > keyvalue.MaxValueBytes*9/10 {
		return keyvalue.Txn{}, failure.Wrap(op, Refused, errors.Errorf("/: expected a document below %d bytes, got %d", keyvalue.MaxValueBytes*9/10, len(next.Raw)))
	}
	return txn, nil
}

// confirm reads back whether a commit without a reply took effect. While that
// cannot be told, the answer stays Unconfirmed.
func (l *Ledger) confirm(ctx context.Context, patch Patch, cause error) (Record, error) {
	const op = "commit"
	if kind, _ := failure.KindOf[keyvalue.Kind](cause); kind != keyvalue.Unconfirmed {
		return Record{}, failure.Wrap(op, Unavailable, cause)
	}
	for range confirmTries {
		record, found, err := l.find(ctx, patch)
		if err == nil && found {
			return record, nil
		}
		select {
		case <-ctx.Done():
			return Record{}, failure.Wrap(op, Unconfirmed, cause)
		case <-time.After(confirmPause):
		}
	}
	return Record{}, failure.Wrap(op, Unconfirmed, cause)
}

func (l *Ledger) settleRace(ctx context.Context, patch Patch) (Record, error) {
	const op = "commit"
	record, found, err := l.find(ctx, patch)
	if err != nil || found {
		return record, err
	}
	return Record{}, failure.Wrap(op, Conflict, errors.Errorf("another patch was accepted on version %d", patch.Base))
}

// find looks up the record of a patch's ID.
func (l *Ledger) find(ctx context.Context, patch Patch) (Record, bool, error) {
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

func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// Follow calls adopt with each record after the given store revision, in
// order, until the watch fails or ctx ends.
func (l *Ledger) Follow(ctx context.Context, revision int64, adopt func(Record) error) error {
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
			if err := adopt(record); err != nil {
				return err
			}
		}
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "ledger: own types always encode"))
	}
	return data
}
