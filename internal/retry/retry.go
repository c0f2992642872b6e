// Package retry limits a host's extra attempts to a share of its calls. The package
// does no I/O.
package retry

import "time"

// Budget is a token bucket. Each call adds a share of a token, and each extra attempt
// withdraws one. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget that allows extra attempts for a share of the calls,
// and up to burst attempts at once.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// SetShare sets the share of a token that each call adds.
func (b *Budget) SetShare(share float64) { b.share = share }

// Deposit adds the share of one call.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

// TryWithdraw withdraws the token for one extra attempt. It reports whether there was
// one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
)

// Backoff returns the delay before an extra attempt. attempt counts from 1. jitter is
// a random number from 0 to 1 that scales the delay between a half and all of it.
func Backoff(attempt int, jitter float64) time.Duration {
	base := firstBackoff << min(attempt-1, 10)
	return time.Duration((0.5 + 0.5*jitter) * float64(min(base, maxBackoff)))
}
