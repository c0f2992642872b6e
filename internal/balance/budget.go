package balance

import (
	"slices"
	"time"
)

const (
	// retryShare is the part of the fleet's budget that the hosts use together. With
	// the tokens that are left from the time before a window, which are those of
	// tokenShare of it, they stay within the whole; the rest is for chance.
	retryShare = 0.75
	tokenShare = 0.25
)

// RetryBudget bounds the sends beyond the first one of each call, for one
// service at one host. Each host keeps to its own part, so that hosts that
// cannot hear one another stay within the fleet's budget.
//
// A part may be less than one send in a window. So a host gets whole tokens, each
// for one send and for a short time, at moments that differ from host to host by
// chance: all hosts together get what they may.
type RetryBudget struct {
	ratio  float64
	slack  float64 // of the whole fleet
	window time.Duration
	hosts  int
	// part is what has come together of the next token.
	part   float64
	tokens []time.Time // when they end
	at     time.Time
}

// NewRetryBudget returns the budget of a host: for the fleet, in any window, ratio
// times the calls plus slack. Phase is a number from 0 to 1 that differs from host to
// host. There is no slack before SetHosts.
func NewRetryBudget(ratio, slack float64, window time.Duration, phase float64) *RetryBudget {
	return &RetryBudget{ratio: ratio * retryShare, slack: slack * retryShare, window: window, part: phase}
}

// SetHosts sets how many hosts share the budget. It never shrinks, as hosts that
// are silent may still spend.
func (b *RetryBudget) SetHosts(n int) { b.hosts = max(b.hosts, n) }

// refill adds the host's part of the slack.
func (b *RetryBudget) refill(now time.Time) {
	if !b.at.IsZero() && b.hosts > 0 {
		b.add(now, b.slack/float64(b.hosts)*float64(now.Sub(b.at))/float64(b.window))
	}
	b.at = now
	b.tokens = slices.DeleteFunc(b.tokens, func(end time.Time) bool { return !now.Before(end) })
}

// add adds a part of a token. What would be more than the tokens of their time is lost.
func (b *RetryBudget) add(now time.Time, part float64) {
	life := time.Duration(float64(b.window) * tokenShare)
	b.part += min(part, b.slack*tokenShare)
	for ; b.part >= 1; b.part-- {
		b.tokens = append(b.tokens, now.Add(life))
	}
}

// Call counts the first send of a call.
func (b *RetryBudget) Call(now time.Time) {
	b.refill(now)
	b.add(now, b.ratio)
}

// Left returns how many sends may go out.
func (b *RetryBudget) Left(now time.Time) int {
	b.refill(now)
	return len(b.tokens)
}

// Spend reports whether one more send may go out, and counts it.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.refill(now)
	if len(b.tokens) == 0 {
		return false
	}
	b.tokens = b.tokens[1:]
	return true
}
