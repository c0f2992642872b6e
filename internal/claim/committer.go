package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/ring"
)

const (
	claimPrefix   = "sequoiarack/claims/"
	maxBatch      = 48 // claims in one transaction
	batchWindow   = 4 * time.Millisecond
	committerRing = 1024
	leaseMargin   = 2 * time.Hour // beyond the retention of a key
	leaseRenewal  = time.Hour
	retryPause    = 50 * time.Millisecond
)

// Record is a claim in the store. It holds no data of a caller.
type Record struct {
	Host        string       `json:"Host"`
	Incarnation int64        `json:"Incarnation"`
	Attempt     string       `json:"Attempt"`
	Body        string       `json:"Body"`
	Outcome     core.Outcome `json:"Outcome"`
}

// Result tells whether the claim is ours, and whose it is otherwise.
type Result struct {
	Ours bool
	// Record is the claim that is in the store, Revision its revision there.
	Record   Record
	Revision int64
}

type request struct {
	key    string
	record Record
	until  time.Time
	reply  chan reply
	// abandoned is set when nobody waits for the claim any more.
	abandoned *atomic.Bool
	finish    bool  // replaces our own claim
	drop      int64 // revision at which our own claim is to be deleted
}

type reply struct {
	result Result
	err    error
}

// Committer is the duty that writes claims, many in one transaction.
type Committer struct {
	store     keyvalue.Store
	clock     clock.Clock
	retention time.Duration
	ring      *ring.Queue[request]
	lease     int64
	leased    time.Time

	// Transactions and Claims count what was written.
	Transactions atomic.Int64
	Claims       atomic.Int64
}

// NewCommitter returns a Committer whose claims outlive their keys.
func NewCommitter(store keyvalue.Store, c clock.Clock, retention time.Duration) *Committer {
	return &Committer{store: store, clock: c, retention: retention, ring: ring.New[request](committerRing)}
}

// Claim makes a claim by the given time, or tells whose it is.
func (c *Committer) Claim(ctx context.Context, digest string, record Record, until time.Time) (Result, error) {
	r := request{
		key: claimPrefix + digest, record: record, until: until,
		reply: make(chan reply, 1), abandoned: &atomic.Bool{},
	}
	if !c.ring.TryPut(r) {
		return Result{}, failure.Wrap("claim", Unavailable, errors.New("too many claims wait"))
	}
	select {
	case out := <-r.reply:
		return out.result, out.err
	case <-ctx.Done():
	case <-c.clock.After(until.Sub(c.clock.Now())):
	}
	r.abandoned.Store(true)
	return Result{}, failure.Wrap("claim", Undecided, errors.New("the store did not answer in time"))
}

// Finish notes the outcome of our own claim. It is best effort: without it, the
// claim stays as it was made.
func (c *Committer) Finish(digest string, record Record) {
	c.ring.TryPut(request{key: claimPrefix + digest, record: record, finish: true})
}

// Drop deletes our own claim of a call that was not run. The revision keeps a
// late deletion from the claim that another host may have made since.
func (c *Committer) Drop(digest string, result Result) {
	c.drop(claimPrefix+digest, result.Revision)
}

func (c *Committer) drop(key string, revision int64) {
	c.ring.TryPut(request{key: key, drop: revision, until: c.clock.Now().Add(leaseRenewal)})
}

// Run is the duty. It ends with ctx, after the claims that wait are answered.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.ring.Items():
			batch := c.collect(first)
			c.commit(ctx, batch)
		}
	}
}

func (c *Committer) collect(first request) []request {
	batch := []request{first}
	window := c.clock.After(batchWindow)
	for len(batch) < maxBatch {
		select {
		case r := <-c.ring.Items():
			batch = append(batch, r)
		case <-window:
			return batch
		}
	}
	return batch
}

func (c *Committer) commit(ctx context.Context, batch []request) {
	var claims, finishes []request
	for _, r := range batch {
		switch {
		case r.drop > 0:
			c.commitDrop(ctx, r)
		case r.finish:
			finishes = append(finishes, r)
		case !r.abandoned.Load():
			claims = append(claims, r)
		}
	}
	if len(claims) > 0 {
		c.commitClaims(ctx, claims)
	}
	if len(finishes) > 0 {
		c.commitFinishes(ctx, finishes)
	}
}

// commitClaims writes the claims whose keys are free. A transaction without a
// reply is made again: a claim that is then found to be there is known by its
// attempt.
func (c *Committer) commitClaims(ctx context.Context, claims []request) {
	for len(claims) > 0 {
		result, err := c.tryClaims(ctx, claims)
		if err != nil {
			claims = c.retryable(claims, err)
			if len(claims) > 0 {
				<-c.clock.After(retryPause)
			}
			continue
		}
		if result.Succeeded {
			c.Claims.Add(int64(len(claims)))
			for _, r := range claims {
				c.answer(r, Result{Ours: true, Record: r.record, Revision: result.Revision})
			}
			return
		}
		claims = c.answerTaken(claims, result)
	}
}

func (c *Committer) tryClaims(ctx context.Context, claims []request) (keyvalue.TxnResult, error) {
	if err := c.renewLease(ctx); err != nil {
		return keyvalue.TxnResult{}, err
	}
	c.Transactions.Add(1)
	return c.store.Commit(ctx, c.transaction(claims))
}

// answer tells the one who waits. Our own claim that nobody waits for any more
// is deleted.
func (c *Committer) answer(r request, result Result) {
	if r.abandoned.Load() && result.Ours {
		c.drop(r.key, result.Revision)
		return
	}
	r.reply <- reply{result: result}
}

func (c *Committer) transaction(claims []request) keyvalue.Txn {
	txn := keyvalue.Txn{}
	for _, r := range claims {
		txn.Compares = append(txn.Compares, keyvalue.Compare{Key: r.key})
		txn.Writes = append(txn.Writes, keyvalue.Write{Key: r.key, Value: encode(r.record), Lease: c.lease})
		txn.Reads = append(txn.Reads, r.key)
	}
	return txn
}

// answerTaken answers the claims whose keys are taken and returns the others.
func (c *Committer) answerTaken(claims []request, result keyvalue.TxnResult) []request {
	var free []request
	for i, r := range claims {
		if result.Reads[i].ModRevision == 0 {
			free = append(free, r)
			continue
		}
		var record Record
		if err := json.Unmarshal(result.Reads[i].Value, &record); err != nil {
			r.reply <- reply{err: failure.Wrap("claim", Undecided, err)}
			continue
		}
		ours := record.Attempt == r.record.Attempt
		c.answer(r, Result{Ours: ours, Record: record, Revision: result.Reads[i].ModRevision})
	}
	return free
}

// retryable answers the claims for which there is no time left and returns the
// others.
func (c *Committer) retryable(claims []request, cause error) []request {
	if storeKind, _ := failure.KindOf[keyvalue.Kind](cause); storeKind == keyvalue.LeaseNotFound {
		c.leased = time.Time{}
	}
	var out []request
	for _, r := range claims {
		if c.clock.Now().Before(r.until) && !r.abandoned.Load() {
			out = append(out, r)
			continue
		}
		r.reply <- reply{err: failure.Wrap("claim", Undecided, cause)}
	}
	return out
}

// renewLease holds a lease that outlives every key claimed under it.
func (c *Committer) renewLease(ctx context.Context) error {
	if !c.leased.IsZero() && c.clock.Now().Sub(c.leased) < leaseRenewal {
		return nil
	}
	lease, err := c.store.Grant(ctx, c.retention+leaseMargin)
	if err != nil {
		return err
	}
	c.lease, c.leased = lease, c.clock.Now()
	return nil
}

func (c *Committer) commitFinishes(ctx context.Context, finishes []request) {
	txn := keyvalue.Txn{}
	seen := map[string]bool{}
	for _, r := range finishes {
		if seen[r.key] {
			continue
		}
		seen[r.key] = true
		txn.Writes = append(txn.Writes, keyvalue.Write{Key: r.key, Value: encode(r.record), Lease: c.lease})
	}
	c.Transactions.Add(1)
	_, _ = c.store.Commit(ctx, txn)
}

func (c *Committer) commitDrop(ctx context.Context, r request) {
	c.Transactions.Add(1)
	_, err := c.store.Commit(ctx, keyvalue.Txn{
		Compares: []keyvalue.Compare{{Key: r.key, Revision: r.drop}},
		Writes:   []keyvalue.Write{{Key: r.key, Delete: true}},
	})
	if err != nil && c.clock.Now().Before(r.until) {
		c.ring.TryPut(r)
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "claim: own types always encode"))
	}
	return data
}

// Read returns the claim of a key, if there is one.
func Read(ctx context.Context, store keyvalue.Store, digest string) (Record, bool, error) {
	const op = "read claim"
	page, err := store.Get(ctx, claimPrefix+digest)
	if err != nil {
		return Record{}, false, failure.Wrap(op, Unavailable, err)
	}
	if len(page.Entries) == 0 {
		return Record{}, false, nil
	}
	var record Record
	if err := json.Unmarshal(page.Entries[0].Value, &record); err != nil {
		return Record{}, false, failure.Wrap(op, Undecided, err)
	}
	return record, true, nil
}
