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
	maxBatch      = 48                   // claims in one transaction
	batchWindow   = 4 * time.Millisecond // wait for more claims after the first one
	queueSize     = 1024
	leaseMargin   = 2 * time.Hour // beyond the retention of a key
	leaseRenewal  = time.Hour
	retryInterval = 50 * time.Millisecond
)

// Record is a claim as it is stored. Body is a keyed digest: a record holds no data
// of a caller.
type Record struct {
	Host        string       `json:"Host"`
	Incarnation int64        `json:"Incarnation"`
	Attempt     string       `json:"Attempt"`
	Body        string       `json:"Body"`
	Outcome     core.Outcome `json:"Outcome"`
}

// Result is the result of a claim.
type Result struct {
	// Owned is set if this attempt holds the claim.
	Owned bool
	// Record is the claim in the store, made by this attempt or by another one, and
	// Revision its modification revision.
	Record   Record
	Revision int64
}

type request struct {
	key      string
	record   Record
	deadline time.Time
	reply    chan reply
	// abandoned is set when the caller of Claim has stopped waiting.
	abandoned *atomic.Bool
	finish    bool // replaces the claim of this process with record
	// releaseRevision is the revision at which to delete the claim of this process;
	// zero for requests that do not release a claim.
	releaseRevision int64
}

type reply struct {
	result Result
	err    error
}

// Committer writes claims to the store and batches them into transactions.
type Committer struct {
	store     keyvalue.Store
	clock     clock.Clock
	retention time.Duration
	queue     *ring.Queue[request]
	lease     int64
	leaseTime time.Time // when the lease was granted

	// Transactions counts the transactions sent to the store, Claims the claims that
	// were written.
	Transactions atomic.Int64
	Claims       atomic.Int64
}

// NewCommitter returns a Committer whose claims outlive the retention of their keys.
func NewCommitter(store keyvalue.Store, c clock.Clock, retention time.Duration) *Committer {
	return &Committer{store: store, clock: c, retention: retention, queue: ring.New[request](queueSize)}
}

// Claim claims the key with the given digest before the deadline. If the key is
// claimed already, the result holds that claim. The error is Unavailable if the claim
// was not attempted, and Unconfirmed if the store did not answer in time; if
// the store then confirms the claim, the claim is released.
func (c *Committer) Claim(ctx context.Context, digest string, record Record, deadline time.Time) (Result, error) {
	r := request{
		key: claimPrefix + digest, record: record, deadline: deadline,
		reply: make(chan reply, 1), abandoned: &atomic.Bool{},
	}
	if !c.queue.TryPut(r) {
		return Result{}, failure.Wrap("claim", Unavailable, errors.New("too many claims wait"))
	}
	select {
	case out := <-r.reply:
		return out.result, out.err
	case <-ctx.Done():
	case <-c.clock.After(deadline.Sub(c.clock.Now())):
	}
	r.abandoned.Store(true)
	return Result{}, failure.Wrap("claim", Unconfirmed, errors.New("the store did not answer in time"))
}

// Finish updates the outcome of a claim of this process. It is best effort: without
// it, the claim keeps its first outcome.
func (c *Committer) Finish(digest string, record Record) {
	c.queue.TryPut(request{key: claimPrefix + digest, record: record, finish: true})
}

// Release deletes the claim of a call that was not run. It compares the revision, so
// that a late deletion does not remove a claim that another host has made meanwhile.
func (c *Committer) Release(digest string, result Result) {
	c.release(claimPrefix+digest, result.Revision)
}

func (c *Committer) release(key string, revision int64) {
	c.queue.TryPut(request{key: key, releaseRevision: revision, deadline: c.clock.Now().Add(leaseRenewal)})
}

// Run commits batches until ctx ends. It finishes the batch in progress; claims that
// are still queued then end at their own deadline.
func (c *Committer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue.Items():
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
		case r := <-c.queue.Items():
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
		case r.releaseRevision > 0:
			c.commitRelease(ctx, r)
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

// commitClaims writes the claims whose keys are free. A transaction without a reply
// is retried; if it had taken effect, the claim is recognised by its attempt ID.
func (c *Committer) commitClaims(ctx context.Context, claims []request) {
	for len(claims) > 0 {
		result, err := c.tryClaims(ctx, claims)
		if err != nil {
			claims = c.failExpired(claims, err)
			if len(claims) > 0 {
				<-c.clock.After(retryInterval)
			}
			continue
		}
		if result.Succeeded {
			c.Claims.Add(int64(len(claims)))
			for _, r := range claims {
				c.deliver(r, Result{Owned: true, Record: r.record, Revision: result.Revision})
			}
			return
		}
		claims = c.deliverTaken(claims, result)
	}
}

func (c *Committer) tryClaims(ctx context.Context, claims []request) (keyvalue.TxnResult, error) {
	if err := c.renewLease(ctx); err != nil {
		return keyvalue.TxnResult{}, err
	}
	c.Transactions.Add(1)
	return c.store.Commit(ctx, c.transaction(claims))
}

// deliver sends the result to the caller of Claim. It releases a new claim whose
// caller has stopped waiting.
func (c *Committer) deliver(r request, result Result) {
	if r.abandoned.Load() && result.Owned {
		c.release(r.key, result.Revision)
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

// deliverTaken delivers the results of the claims whose keys are taken and returns
// the other claims.
func (c *Committer) deliverTaken(claims []request, result keyvalue.TxnResult) []request {
	var free []request
	for i, r := range claims {
		if result.Reads[i].ModRevision == 0 {
			free = append(free, r)
			continue
		}
		var record Record
		if err := json.Unmarshal(result.Reads[i].Value, &record); err != nil {
			r.reply <- reply{err: failure.Wrap("claim", Unconfirmed, err)}
			continue
		}
		owned := record.Attempt == r.record.Attempt
		c.deliver(r, Result{Owned: owned, Record: record, Revision: result.Reads[i].ModRevision})
	}
	return free
}

// failExpired fails the claims that are past their deadline or abandoned, and returns
// the others to be retried. It discards the lease if the store no longer has it.
func (c *Committer) failExpired(claims []request, cause error) []request {
	if storeKind, _ := failure.KindOf[keyvalue.Kind](cause); storeKind == keyvalue.LeaseNotFound {
		c.leaseTime = time.Time{}
	}
	var out []request
	for _, r := range claims {
		if c.clock.Now().Before(r.deadline) && !r.abandoned.Load() {
			out = append(out, r)
			continue
		}
		r.reply <- reply{err: failure.Wrap("claim", Unconfirmed, cause)}
	}
	return out
}

// renewLease grants a new lease when the current one is older than leaseRenewal, so
// that a lease outlives the retention of every key claimed under it.
func (c *Committer) renewLease(ctx context.Context) error {
	if !c.leaseTime.IsZero() && c.clock.Now().Sub(c.leaseTime) < leaseRenewal {
		return nil
	}
	lease, err := c.store.Grant(ctx, c.retention+leaseMargin)
	if err != nil {
		return err
	}
	c.lease, c.leaseTime = lease, c.clock.Now()
	return nil
}

// commitFinishes updates finished claims. Of several updates of one key, the first is
// written.
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

func (c *Committer) commitRelease(ctx context.Context, r request) {
	c.Transactions.Add(1)
	_, err := c.store.Commit(ctx, keyvalue.Txn{
		Compares: []keyvalue.Compare{{Key: r.key, Revision: r.releaseRevision}},
		Writes:   []keyvalue.Write{{Key: r.key, Delete: true}},
	})
	if err != nil && c.clock.Now().Before(r.deadline) {
		c.queue.TryPut(r)
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "claim: cannot encode a record"))
	}
	return data
}

// Read returns the claim of the key with the given digest, and whether there is one.
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
		return Record{}, false, failure.Wrap(op, Unconfirmed, err)
	}
	return record, true, nil
}
