package gateway

import "time"

// maxContactGap is the longest time between two answers of the store to other hosts for which it counts as
// having answered all the while. It exceeds the interval of reads and of the messages that tell of them, and
// is shorter than the silence of a target after which its entry expires.
const maxContactGap = 2 * time.Second

// storeContact is what other hosts have told of the moments at which the store answered them.
type storeContact struct {
	latest time.Time
	// gapEnd is the end of the last time longer than maxContactGap of which no host has told of an answer.
	gapEnd time.Time
}

// observe records that the store answered a host at a moment.
func (s *storeContact) observe(at time.Time) {
	if !at.After(s.latest) {
		return
	}
	if at.Sub(s.latest) > maxContactGap {
		s.gapEnd = at
	}
	s.latest = at
}

// covers reports whether the store has answered others since a moment, without a gap.
func (s *storeContact) covers(since, now time.Time) bool {
	return !s.gapEnd.After(since) && now.Sub(s.latest) <= maxContactGap
}

// StoreAnswered reports whether the store has answered other hosts since a moment, so that a failure of this
// host's reads was no outage of the store.
func (p peerGroup) StoreAnswered(since time.Time) bool {
	p.gateway.mu.Lock()
	defer p.gateway.mu.Unlock()
	return p.gateway.storeContact.covers(since, p.gateway.clock.Now())
}

// contactAgeMs returns the age of this host's news for messages to other hosts, nil if it has none. The caller must
// not hold g.mu.
func (g *Gateway) contactAgeMs() *int64 {
	g.noticeSuspension() // other hosts add to the age that they are told, so it must not leave out a suspension
	age, known := g.newsAge(g.clock.Now())
	if !known {
		return nil
	}
	ms := ceilMs(age)
	return &ms
}

// ceilMs returns a duration in milliseconds, rounded up, so that ages do not become smaller on a chain of hosts.
func ceilMs(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
