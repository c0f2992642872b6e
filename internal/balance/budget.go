package balance

import "time"

// retryShare is the part of the fleet's budget that the hosts use together, so
// that calls which end elsewhere than they began are covered as well.
const retryShare = 0.8

// RetryBudget bounds the sends beyond the first one of each call, for one
// service at one host. Each host keeps to its own part, so that hosts that
// cannot hear one another stay within the fleet's budget.
type RetryBudget struct {
	ratio  float64
	slack  float64 // of the whole fleet
	window time.Duration
	hosts  int
	tokens float64
	at     time.Time
}

// NewRetryBudget returns the budget of a fleet of one host: in any window, ratio
// times the calls plus slack.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio * retryShare, slack: slack * retryShare, window: window, hosts: 1, tokens: slack * retryShare}
}

// SetHosts sets how many hosts share the budget. It never shrinks, as hosts that
// are silent may still spend.
func (b *RetryBudget) SetHosts(n int) { b.hosts = max(b.hosts, n) }

// cap is the most that one host may spend at once.
func (b *RetryBudget) cap() float64 { return b.slack / float64(b.hosts) / 2 }

// refill adds, over a window, what cap does not give at once.
func (b *RetryBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	b.tokens += b.cap() * float64(now.Sub(b.at)) / float64(b.window)
	b.at = now
	b.tokens = min(b.tokens, b.cap())
}

// Call counts the first send of a call.
func (b *RetryBudget) Call(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio, b.cap())
}

// Left returns how many sends may go out.
func (b *RetryBudget) Left(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Spend reports whether one more send may go out, and counts it.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
