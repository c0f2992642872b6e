package balance

import "time"

const (
	// ratioShare and slackShare are the shares of the fleet's budget that the hosts use
	// together. The rest covers tokens that are left over from before a window
	// (tokenTTLShare of a window's tokens), the initial tokens of hosts that start
	// (initialShare of a window's tokens), and random variation.
	ratioShare    = 0.75
	slackShare    = 0.65
	tokenTTLShare = 0.25
	initialShare  = 0.1
)

// RetryBudget limits the sends after the first one of each call, for one service at one
// host. Each host spends only its own share, so that hosts that cannot reach one another stay
// within the fleet's budget together.
//
// A host's share may be less than one send per window. Shares therefore accumulate to whole
// tokens, each of which allows one send and expires soon. A random phase makes hosts get
// their tokens at different times, so that all hosts together get the whole budget.
type RetryBudget struct {
	ratio  float64
	slack  float64 // of the whole fleet
	window time.Duration
	hosts  int
	tokens tokenBucket
	// refilledAt is when the host's share of the slack was last added.
	refilledAt time.Time
}

// NewRetryBudget returns the budget of a host that has run since the given time. For the
// whole fleet, the budget in any window is ratio times the number of calls, plus slack.
// Phase is a number from 0 to 1 that differs from host to host.
func NewRetryBudget(since time.Time, ratio, slack float64, window time.Duration, phase float64) *RetryBudget {
	return &RetryBudget{
		ratio: ratio * ratioShare, slack: slack * slackShare, window: window, hosts: 1, tokens: tokenBucket{fraction: phase},
		refilledAt: since.Add(-time.Duration(float64(window) * initialShare)),
	}
}

// SetHosts sets how many hosts share the budget. The number never shrinks, as hosts that
// cannot be reached may still spend. When it grows, the host gives up the other hosts'
// share of its tokens.
func (b *RetryBudget) SetHosts(n int) {
	if n <= b.hosts {
		return
	}
	b.tokens.keep(b.hosts, n)
	b.hosts = n
}

// DropAccrued drops the share of the slack that has accrued since it was last used.
func (b *RetryBudget) DropAccrued(now time.Time) { b.refilledAt = now }

// refill adds the host's share of the slack.
func (b *RetryBudget) refill(now time.Time) {
	b.add(now, b.slack/float64(b.hosts)*float64(now.Sub(b.refilledAt))/float64(b.window))
	b.refilledAt = now
}

// add adds a fraction of a token. An amount above what a host gets in the lifetime of a
// token is dropped.
func (b *RetryBudget) add(now time.Time, fraction float64) {
	b.tokens.add(now, min(fraction, max(1, b.slack/float64(b.hosts)*tokenTTLShare)), Scale(b.window, tokenTTLShare))
}

// Deposit records the first send of a call.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	b.add(now, b.ratio)
}

// Available returns how many sends are allowed now.
func (b *RetryBudget) Available(now time.Time) int {
	b.refill(now)
	return b.tokens.count(now)
}

// TryWithdraw reports whether one more send is allowed, and counts it.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	return b.tokens.take(now)
}
