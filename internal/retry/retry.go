// Package retry bounds the extra attempts that a host makes, as a share of its
// calls. The package does no I/O.
package retry

import "time"

// Budget is a token bucket that each call fills by a share and each extra
// attempt empties by one. Its owner is one goroutine.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget for extra attempts of at most share of the
// calls, with burst attempts at once.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) { b.share = share }

// Deposit counts a call.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

// TryWithdraw spends one extra attempt, or reports that there is none.
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

// Backoff returns the pause before an attempt, counted from 1. jitter is a
// random number from 0 to 1.
func Backoff(attempt int, jitter float64) time.Duration {
	base := firstBackoff << min(attempt-1, 10)
	return time.Duration((0.5 + 0.5*jitter) * float64(min(base, maxBackoff)))
}
