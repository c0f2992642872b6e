package allowance

import (
	"math"
	"time"
)

const (
	// senderTTL is how long a host counts in the capacity of an owner after its last transfer: one lost
	// message is tolerated.
	senderTTL = time.Second
	// forgetTime is how long the sequence numbers of a host are kept after its last message. It exceeds the
	// longest delay of a message by far.
	forgetTime = time.Minute
	// maxCredit bounds the share-time of a host that an owner accepts at once. Transfers that were held up and
	// come together would otherwise add to what buckets hold.
	maxCredit = 500 * time.Millisecond
	// shareInterval is how long the share of an owner is kept before it is summed up again.
	shareInterval = 50 * time.Millisecond
)

// shard is a host's part in a shard of workspaces.
type shard struct {
	owner    string // in the host's region
	released string // the former owner, until it has been told
	accounts []*account
	// pendingSeconds and pendingShare wait for the next transfer.
	pendingSeconds, pendingShare float64
	nextTransfer                 time.Time
	senders                      map[string]*sender
	shareSum                     float64
	shareAt                      time.Time // zero if shareSum is out of date
}

// sender is a host that transfers share-time to this one.
type sender struct {
	share    float64
	at       time.Time // of its last transfer
	credit   float64   // seconds
	creditAt time.Time
}

// accept returns the part of a transfer that the sender can have generated in the time since the last one.
func (p *sender) accept(now time.Time, t Transfer) float64 {
	p.credit = min(maxCredit.Seconds(), p.credit+max(0, now.Sub(p.creditAt).Seconds()))
	p.creditAt, p.at = now, now
	if !(t.Seconds > 0) || !(t.Share > 0) || t.Share > t.Seconds {
		return 0
	}
	p.share = t.Share / t.Seconds
	accepted := min(t.Seconds, p.credit)
	p.credit -= accepted
	return accepted * p.share
}

// ownedShare returns the share of the fleet's rate that comes to this host: its own, and those of the hosts
// that have transferred lately.
func (l *Limiter) ownedShare(now time.Time, s *shard) float64 {
	if !s.shareAt.IsZero() && now.Sub(s.shareAt) < shareInterval {
		return s.shareSum
	}
	sum := 0.0
	if s.owner == l.self {
		sum = l.share()
	}
	for host, p := range s.senders {
		if now.Sub(p.at) < senderTTL {
			sum += p.share
		} else {
			delete(s.senders, host)
		}
	}
	s.shareSum, s.shareAt = min(1, sum), now
	return s.shareSum
}

// capacity returns the size of a workspace's bucket at this host.
func (l *Limiter) capacity(now time.Time, s *shard, a *account) float64 {
	return a.limit.burst() * l.ownedShare(now, s)
}

// credit adds share-time to the buckets of a shard.
func (l *Limiter) credit(now time.Time, s *shard, share float64) {
	owned := l.ownedShare(now, s)
	for _, a := range s.accounts {
		a.add(share*a.limit.PerSecond, a.limit.burst()*owned)
	}
}

// trim removes what exceeds the capacities.
func (l *Limiter) trim(now time.Time) {
	for i := range l.shards {
		l.credit(now, &l.shards[i], 0)
	}
}

// HandleQuery decides about a call of another host. A workspace without a quota is one of a configuration that
// this host does not have yet, or no longer.
func (l *Limiter) HandleQuery(now time.Time, q Query) Reply {
	a := l.accounts[q.Workspace]
	if a == nil || !(q.Cost > 0) {
		return Reply{Unready: true}
	}
	return l.decide(now, a, q.Cost)
}

// decide charges the workspace for a call, if this host has tokens for it.
func (l *Limiter) decide(now time.Time, a *account, cost float64) Reply {
	l.advance(now)
	a.observe(now, cost)
	s := &l.shards[a.shard]
	share := l.ownedShare(now, s)
	overdraft := a.limit.overdraft(share)
	if a.overdraftRegion == l.fleet.Own && share > 0 {
		overdraft = maxOverdraft
	}
	if a.take(now, cost, overdraft) {
		l.stats.TokensGranted += cost
		return Reply{Granted: true}
	}
	reply := Reply{RetryAfterMs: retryAfter(a, max(0, min(cost-overdraft, a.limit.burst()*share))-a.balance(now), share).Milliseconds()}
	switch {
	case share == 0 && s.owner == l.self:
		reply.Unready = true
	case s.owner != l.self:
		reply.Redirect = s.owner
	case cost > overdraft && a.overdraftRegion != l.fleet.Own:
		reply.Redirect = l.fleet.region(a.overdraftRegion).Owners[a.shard]
	}
	return reply
}

// retryAfter returns the time until an owner with a share of the fleet has a number of tokens more.
func retryAfter(a *account, missing, share float64) time.Duration {
	seconds := max(missing, 0) / max(a.limit.PerSecond*share, math.SmallestNonzeroFloat64)
	return max(minRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
}
