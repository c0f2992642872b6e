package balance

import (
	"slices"
	"time"
)

// tokenBucket accumulates fractions to whole tokens, each of which allows one send and expires
// soon. A bound of the fleet that is divided among many hosts may give each of them less than
// one send in a while. As the fraction differs from host to host, hosts get their tokens at
// different times.
type tokenBucket struct {
	// fraction is the part of the next token that has accumulated.
	fraction float64
	expiries []time.Time // of the available tokens, oldest first
}

// add adds a fraction of a token. A token that it completes is valid for ttl.
func (t *tokenBucket) add(now time.Time, fraction float64, ttl time.Duration) {
	t.fraction += fraction
	for ; t.fraction >= 1; t.fraction-- {
		t.expiries = append(t.expiries, now.Add(ttl))
	}
}

// count returns the number of valid tokens, and drops the others.
func (t *tokenBucket) count(now time.Time) int {
	t.expiries = slices.DeleteFunc(t.expiries, func(end time.Time) bool { return !now.Before(end) })
	return len(t.expiries)
}

// take takes the oldest valid token, if there is one.
func (t *tokenBucket) take(now time.Time) bool {
	if t.count(now) == 0 {
		return false
	}
	t.expiries = t.expiries[1:]
	return true
}

// keep keeps part of whole of the tokens, the newest ones.
func (t *tokenBucket) keep(part, whole int) {
	t.expiries = t.expiries[len(t.expiries)-len(t.expiries)*part/whole:]
}
