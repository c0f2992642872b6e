// Package bandwidth shares out the link of a host's machine among what the host sends to other hosts. Traffic on which
// calls and beliefs depend at once is counted only; bulk is paced to a part of the link, so that nothing waits behind it.
package bandwidth

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sequoiarack/sequoiarack/internal/clock"
)

// Purpose is what traffic between hosts, or with the store, is for.
type Purpose int

// The purposes. Those from Updates on are bulk.
const (
	Membership     Purpose = iota // heartbeats and items of the fleet
	LoadReports                   // and queries between hosts
	Store                         // requests to the store and its responses
	Calls                         // that are forwarded to other hosts
	Updates                       // of the store, from the host that reads it to the others
	Differences                   // of the whole catalogue, for hosts that lack changes
	Configurations                // for hosts that have an older one
	Items                         // full reads of membership
	purposes
)

// String returns the purpose as it appears in metrics.
func (p Purpose) String() string {
	return [...]string{"membership", "reports", "store", "calls", "updates", "differences", "configurations", "items"}[p]
}

// IsBulk reports whether traffic for the purpose is paced.
func (p Purpose) IsBulk() bool { return p >= Updates }

// Direction is that of traffic, seen from the host.
type Direction int

// The directions.
const (
	Sent Direction = iota
	Received
	directions
)

// String returns the direction as it appears in metrics.
func (d Direction) String() string { return [...]string{"sent", "received"}[d] }

const (
	bytesPerMbit = 1_000_000 / 8
	// bulkShare is the part of the link that bulk may take, and that any one purpose is expected to.
	bulkShare = 0.25
	// burstTime is the time for which a burst of bulk holds the link. What does not wait for bulk waits for
	// this long at most.
	burstTime = 100 * time.Millisecond
	// baseTimeout is the part of the time for a message that does not depend on its length.
	baseTimeout = 300 * time.Millisecond
	// maxSpread is the longest time that a host takes to send the same message to several others. A longer one is left
	// to each recipient's own read. With that read it is well within the time in which changes must be in force.
	maxSpread = 1500 * time.Millisecond
	// maxReadTime is the longest time that one read of changes may take of the link. Beyond it, the current state is the
	// shorter one.
	maxReadTime = 1500 * time.Millisecond
	// excessPeriod is the time over which traffic is compared with its share.
	excessPeriod = 2 * time.Second
)

// Budget counts what a host sends and receives by purpose, and paces bulk. It is safe for concurrent use.
type Budget struct {
	clock   clock.Clock
	rate    float64 // of the link, in bytes a second, 0 if it is not known
	limiter *rate.Limiter
	onWait  func(Purpose, time.Duration)

	mu      sync.Mutex
	bytes   [purposes][directions]int64
	checked time.Time
	before  [purposes]int64 // sent at checked
}

// Option changes a Budget under construction.
type Option func(*Budget)

// WithOnWait sets a function that is called with the time for which bulk was held back. It must not block.
func WithOnWait(f func(Purpose, time.Duration)) Option { return func(b *Budget) { b.onWait = f } }

// NewBudget returns the Budget of a link with a rate in Mbit/s. If that is 0, it is not known, and nothing is paced.
func NewBudget(c clock.Clock, mbps float64, options ...Option) *Budget {
	b := &Budget{clock: c, rate: mbps * bytesPerMbit, limiter: rate.NewLimiter(rate.Inf, 0), onWait: func(Purpose, time.Duration) {}, checked: c.Now()}
	if b.rate > 0 {
		b.limiter = rate.NewLimiter(rate.Limit(bulkShare*b.rate), int(b.rate*burstTime.Seconds()))
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Count counts n bytes.
func (b *Budget) Count(p Purpose, d Direction, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes[p][d] += int64(n)
}

// Use is the number of bytes for a purpose in a direction.
type Use struct {
	Purpose   Purpose
	Direction Direction
	Bytes     int64
}

// Totals returns the bytes so far.
func (b *Budget) Totals() []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Use
	for p := range purposes {
		for d := range directions {
			out = append(out, Use{Purpose: p, Direction: d, Bytes: b.bytes[p][d]})
		}
	}
	return out
}

// Send waits until n bytes of bulk may be sent, and counts them. It returns an error only if ctx ends before.
func (b *Budget) Send(ctx context.Context, p Purpose, n int) error {
	began := b.clock.Now()
	for left := n; left > 0 && b.rate > 0; {
		part := min(left, b.limiter.Burst())
		left -= part
		now := b.clock.Now()
		reserved := b.limiter.ReserveN(now, part)
		if delay := reserved.DelayFrom(now); delay > 0 {
			select {
			case <-ctx.Done():
				reserved.CancelAt(b.clock.Now())
				return ctx.Err()
			case <-b.clock.After(delay):
			}
		}
	}
	b.onWait(p, b.clock.Now().Sub(began))
	b.Count(p, Sent, n)
	return nil
}

// Timeout returns the time that a message of n bytes to a host may take once it may be sent. The link of that host has a
// rate of peerMbps, 0 if it is not known.
func (b *Budget) Timeout(n int, peerMbps float64) time.Duration {
	return baseTimeout + b.BulkTime(n, peerMbps)
}

// BulkTime returns the time that n bytes of bulk take between this host and one whose link has a rate of peerMbps, 0 if it
// is not known. It is 0 if neither rate is known.
func (b *Budget) BulkTime(n int, peerMbps float64) time.Duration {
	narrowest := b.rate
	if peer := peerMbps * bytesPerMbit; peer > 0 && (peer < narrowest || narrowest == 0) {
		narrowest = peer
	}
	if narrowest == 0 {
		return 0
	}
	return time.Duration(float64(n) / (bulkShare * narrowest) * float64(time.Second))
}

// MaySpread reports whether a message of n bytes can be sent to a number of hosts in time. If not, each of them is
// better off with a read of its own.
func (b *Budget) MaySpread(n, hosts int) bool {
	return b.BulkTime(n*hosts, 0) <= maxSpread
}

// MaxRead returns the bytes that one read of changes of the store may have, 0 for no bound.
func (b *Budget) MaxRead() int { return int(b.rate * maxReadTime.Seconds()) }

// Excess is a purpose whose traffic exceeded its share of the link.
type Excess struct {
	Purpose        Purpose
	BytesPerSecond float64
	Share          float64 // of the link
}

// Excesses returns the purposes whose traffic has exceeded its share of the link since the last call that compared
// them. Calls within excessPeriod return none.
func (b *Budget) Excesses() []Excess {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	passed := now.Sub(b.checked)
	if passed < excessPeriod {
		return nil
	}
	var out []Excess
	for p := range purposes {
		sent := b.bytes[p][Sent]
		perSecond := float64(sent-b.before[p]) / passed.Seconds()
		b.before[p] = sent
		if b.rate > 0 && perSecond > bulkShare*b.rate {
			out = append(out, Excess{Purpose: p, BytesPerSecond: perSecond, Share: perSecond / b.rate})
		}
	}
	b.checked = now
	return out
}
