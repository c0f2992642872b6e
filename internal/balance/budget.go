package balance

import (
	"slices"
	"time"
)

const (
	// ratioShare and slackShare are the parts of the fleet's budget that the hosts use
	// together. With the tokens that are left from the time before a window, which are
	// those of tokenShare of it, and those of startShare of it that a host has when it
	// starts, they stay within the whole; the rest is for chance.
	ratioShare = 0.75
	slackShare = 0.65
	tokenShare = 0.25
	startShare = 0.1
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

// NewRetryBudget returns the budget of a host that has run since a time: for the
// fleet, in any window, ratio times the calls plus slack. Phase is a number from 0 to 1
// that differs from host to host.
func NewRetryBudget(since time.Time, ratio, slack float64, window time.Duration, phase float64) *RetryBudget {
	return &RetryBudget{
		ratio: ratio * ratioShare, slack: slack * slackShare, window: window, hosts: 1, part: phase,
		at: since.Add(-time.Duration(float64(window) * startShare)),
	}
}

// SetHosts sets how many hosts share the budget. It never shrinks, as hosts that
// are silent may still spend. A host that hears of others gives up their part of the
// tokens it has.
func (b *RetryBudget) SetHosts(n int) {
	if n <= b.hosts {
		return
	}
	b.tokens = b.tokens[len(b.tokens)-len(b.tokens)*b.hosts/n:]
	b.hosts = n
}

// refill adds the host's part of the slack.
func (b *RetryBudget) refill(now time.Time) {
	b.add(now, b.slack/float64(b.hosts)*float64(now.Sub(b.at))/float64(b.window))
	b.at = now
	b.tokens = slices.DeleteFunc(b.tokens, func(end time.Time) bool { return !now.Before(end) })
}

// add adds a part of a token. What would be more than the tokens of their time is lost.
func (b *RetryBudget) add(now time.Time, part float64) {
	life := time.Duration(float64(b.window) * tokenShare)
	b.part += min(part, max(1, b.slack/float64(b.hosts)*tokenShare))
	for ; b.part >= 1; b.part-- {
		b.tokens = append(b.tokens, now.Add(life))
	}
}

// Call counts the first send of a call.
func (b *RetryBudget) CountCall(now time.Time) {
	b.refill(now)
	b.add(now, b.ratio)
}

// Left returns how many sends may go out.
func (b *RetryBudget) Available(now time.Time) int {
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
