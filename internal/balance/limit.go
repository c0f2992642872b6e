package balance

import (
	"time"
)

// A target may state how many calls per second it takes from all hosts together. The
// statement holds until a later response states something else.

// LimitStatement is what a response of a target says about its limit on calls.
type LimitStatement struct {
	// Limited is set if the target states a limit.
	Limited bool
	// PerSecond is the number of calls per second that the target takes from all hosts
	// together.
	PerSecond float64
}

// limitRecord is a statement and when it was made.
type limitRecord struct {
	LimitStatement
	at time.Time // arrival at this host
}

// RecordLimit records a statement of a target about its limit, from a response to this host.
// It reports whether the statement differs from the recorded one, and returns that one with
// its age.
func (b *Balancer) RecordLimit(now time.Time, id string, s LimitStatement) (previous LimitStatement, age time.Duration, changed bool) {
	t := b.targets[id]
	if t == nil || (!s.Limited && !t.limit.Limited) {
		return LimitStatement{}, 0, false
	}
	previous, age = t.limit.LimitStatement, now.Sub(t.limit.at)
	t.limit = limitRecord{LimitStatement: s, at: now}
	return previous, age, previous != s
}

// Limit returns the last statement of a target about its limit that this host has received.
func (b *Balancer) Limit(id string) LimitStatement {
	if t := b.targets[id]; t != nil {
		return t.limit.LimitStatement
	}
	return LimitStatement{}
}
