package allowance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPending is the longest time for which a host keeps the share-time that it generates. It exceeds
	// transferInterval.
	maxPending = 500 * time.Millisecond
	// ownerTimeout is how long a call waits for the owner in its region, and remoteTimeout for one in another.
	ownerTimeout  = 100 * time.Millisecond
	remoteTimeout = 300 * time.Millisecond
	// silencePause is how long a host queries owners in other regions after the own one did not reply.
	silencePause = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a caller may retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Outcome is the kind of a Decision.
type Outcome int

// The outcomes.
const (
	// Granted allows the call; its cost has been charged.
	Granted Outcome = iota
	// Denied means that the workspace is over its quota.
	Denied
	// Ask requires a Query to Owner.
	Ask
	// Unavailable means that no owner replies.
	Unavailable
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"granted", "denied", "ask", "unavailable"}[o] }

// Decision is what is to be done with a call.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time until there may be room, if Outcome is Denied.
	RetryAfter time.Duration
	// Owner is the host to query within Timeout, if Outcome is Ask.
	Owner   string
	Timeout time.Duration
	// Fallback is set if the owner is another than the regular one, or is queried again.
	Fallback   bool
	redirected bool
}

// Stats counts what a limiter has done.
type Stats struct {
	TokensGranted, TokensRefunded                                 float64
	TransfersSent, TransfersReceived, Duplicates, GivesSent, Asks int64
}

// Limiter is the part of one host in keeping quotas. It is not safe for concurrent use.
type Limiter struct {
	self       string
	fleet      Fleet
	accounts   map[string]*account
	shards     [Shards]shard
	sequence   uint64
	windows    map[string]*peerWindow
	silent     map[string]time.Time // by owner; queried again after that time
	advancedAt time.Time
	unsettled  time.Duration // generated before the fleet was known
	nextGive   time.Time
	stats      Stats
}

// peerWindow is the sequence numbers of a host.
type peerWindow struct {
	sequenceWindow
	at time.Time
}

// New returns the limiter of a process that starts now.
func New(self string, now time.Time) *Limiter {
	l := &Limiter{self: self, accounts: map[string]*account{}, windows: map[string]*peerWindow{}, silent: map[string]time.Time{}, advancedAt: now}
	phase := time.Duration(xxhash.Sum64String(self) % uint64(transferInterval))
	for i := range l.shards {
		s := &l.shards[i]
		s.owner, s.senders = self, map[string]*sender{}
		s.nextTransfer = now.Add((phase + time.Duration(i)*transferInterval/Shards) % transferInterval)
	}
	return l
}

// Configure sets the quotas of the workspaces that have one.
func (l *Limiter) Configure(now time.Time, limits map[string]Limit) {
	l.advance(now) // at the old rates
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
			s := &l.shards[a.shard]
			s.accounts = slices.DeleteFunc(s.accounts, func(b *account) bool { return b == a })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		a := l.accounts[name]
		if a == nil {
			a = &account{name: name, shard: shardOf(name), overdraftRegion: l.fleet.overdraftRegion(name), asks: map[string]ask{}}
			l.accounts[name] = a
			l.shards[a.shard].accounts = append(l.shards[a.shard].accounts, a)
		}
		a.limit = limits[name]
	}
	l.trim(now)
}

// shardOf returns the shard of a workspace.
func shardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// SetFleet sets what the host knows of the fleet.
func (l *Limiter) SetFleet(now time.Time, f Fleet) {
	l.advance(now) // at the old share
	starts := f.Settled && !l.fleet.Settled
	l.fleet = f
	own := f.region(f.Own)
	for i := range l.shards {
		s := &l.shards[i]
		owner := own.Owners[i]
		if owner == "" {
			owner = l.self
		}
		if s.owner != owner && s.owner != l.self {
			s.released = s.owner
		}
		s.owner = owner
	}
	for _, a := range l.accounts {
		a.overdraftRegion = f.overdraftRegion(a.name)
	}
	if starts {
		l.generate(now, min(l.unsettled, maxPending))
		l.unsettled = 0
	}
}

// generates reports whether the host generates tokens.
func (l *Limiter) generates() bool { return l.fleet.Settled && !l.fleet.Leaving }

// share returns the host's share of the fleet's rate.
func (l *Limiter) share() float64 {
	if !l.generates() {
		return 0
	}
	return 1 / l.fleet.hosts()
}

// advance generates the tokens since the last call.
func (l *Limiter) advance(now time.Time) {
	passed := now.Sub(l.advancedAt)
	if passed <= 0 {
		return
	}
	l.advancedAt = now
	if !l.fleet.Settled {
		l.unsettled += passed
		return
	}
	l.generate(now, min(passed, maxPending))
}

// generate adds the share-time of a span to the buckets of the shards that this host owns, and to the next
// transfers of the others.
func (l *Limiter) generate(now time.Time, span time.Duration) {
	share, seconds := l.share(), span.Seconds()
	if share == 0 {
		return
	}
	for i := range l.shards {
		s := &l.shards[i]
		if s.owner == l.self {
			l.credit(now, s, seconds*share)
			continue
		}
		room := min(seconds, maxPending.Seconds()-s.pendingSeconds)
		s.pendingSeconds += room
		s.pendingShare += room * share
	}
}

// Invalidate discards all tokens: after a suspension of the machine, their time is not known.
func (l *Limiter) Invalidate(now time.Time) {
	l.advancedAt, l.unsettled = now, 0
	for i := range l.shards {
		s := &l.shards[i]
		s.pendingSeconds, s.pendingShare = 0, 0
		for _, peer := range s.senders {
			peer.credit, peer.creditAt = 0, now
		}
	}
	for _, a := range l.accounts {
		a.bucket, a.lots, a.refunds = min(a.bucket, 0), nil, 0
		clear(a.asks)
	}
}

// Acquire decides whether a call may run, as far as this host can.
func (l *Limiter) Acquire(now time.Time, workspace string, cost float64) Decision {
	a := l.accounts[workspace]
	if a == nil || !(cost > 0) {
		return Decision{}
	}
	owner := l.shards[a.shard].owner
	if owner == l.self {
		return l.resolve(now, a, Decision{}, l.decide(now, a, cost), cost)
	}
	d := Decision{Outcome: Ask, Owner: owner, Timeout: ownerTimeout}
	if now.Before(l.silent[owner]) {
		return l.fallback(now, a, d)
	}
	return d
}

// Resolve returns the decision after the reply to the query of d.
func (l *Limiter) Resolve(now time.Time, workspace string, cost float64, d Decision, r Reply) Decision {
	delete(l.silent, d.Owner)
	a := l.accounts[workspace]
	if a == nil {
		return Decision{}
	}
	return l.resolve(now, a, d, r, cost)
}

// resolve follows one redirection at most, so that hosts with different views of the fleet end the query.
func (l *Limiter) resolve(now time.Time, a *account, d Decision, r Reply, cost float64) Decision {
	denied := Decision{Outcome: Denied, RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
	switch {
	case r.Granted:
		return Decision{}
	case r.Unready && (d.Fallback || d.redirected):
		return Decision{Outcome: Unavailable}
	case r.Unready:
		return l.unready(now, a)
	case r.Redirect == "" || d.redirected:
		return denied
	case now.Before(l.silent[r.Redirect]):
		return Decision{Outcome: Unavailable}
	case r.Redirect == l.self:
		return l.resolve(now, a, Decision{redirected: true}, l.decide(now, a, cost), cost)
	default:
		return Decision{Outcome: Ask, Owner: r.Redirect, Timeout: remoteTimeout, Fallback: d.Fallback, redirected: true}
	}
}

// unready returns the decision for a call whose owner gets no tokens yet.
func (l *Limiter) unready(now time.Time, a *account) Decision {
	d := l.fallback(now, a, Decision{Outcome: Ask})
	if d.Owner == "" {
		return Decision{Outcome: Unavailable}
	}
	return d
}

// Unanswered returns the decision after the query of d was not answered in time.
func (l *Limiter) Unanswered(now time.Time, workspace string, d Decision) Decision {
	l.silent[d.Owner] = now.Add(silencePause)
	a := l.accounts[workspace]
	if a == nil {
		return Decision{}
	}
	if d.Fallback || d.redirected {
		return Decision{Outcome: Unavailable}
	}
	return l.fallback(now, a, d)
}

// fallback returns the query of the owner in another region, or of the own one again if there is none: its
// message may have been lost.
func (l *Limiter) fallback(now time.Time, a *account, d Decision) Decision {
	best, highest := "", uint64(0)
	for _, r := range l.fleet.others(a.shard) {
		owner := r.Owners[a.shard]
		if h := xxhash.Sum64String(a.name + r.Name); !now.Before(l.silent[owner]) && h >= highest {
			best, highest = owner, h
		}
	}
	d.Fallback = true
	if best != "" {
		d.Owner, d.Timeout = best, remoteTimeout
	}
	return d
}

// Refund returns the cost of a call that did not run.
func (l *Limiter) Refund(now time.Time, workspace string, cost float64) {
	a := l.accounts[workspace]
	if a == nil || !(cost > 0) {
		return
	}
	l.stats.TokensRefunded += cost
	s := &l.shards[a.shard]
	if s.owner == l.self {
		a.add(cost, l.capacity(now, s, a))
		return
	}
	a.refunds += cost
}

// OwnedShares returns the share of the fleet's rate that comes to this host, by shard.
func (l *Limiter) OwnedShares(now time.Time) [Shards]float64 {
	var out [Shards]float64
	for i := range l.shards {
		out[i] = l.ownedShare(now, &l.shards[i])
	}
	return out
}

// Stats returns what the limiter has done.
func (l *Limiter) Stats() Stats { return l.stats }

// Row describes a workspace to operators.
type Row struct {
	Workspace                       string
	PerSecond, Burst                float64
	Bucket, Received, Demand, Owned float64
	Owner                           string
}

// Dump describes all workspaces with a quota. Bucket is the tokens in the host's bucket, Received those from
// other regions, Demand in tokens per second, and Owned the share of the fleet's rate that comes to the host.
func (l *Limiter) Dump(now time.Time) []Row {
	l.advance(now)
	out := make([]Row, 0, len(l.accounts))
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		s := &l.shards[a.shard]
		out = append(out, Row{
			Workspace: name, PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Owner: s.owner,
			Bucket: math.Round(a.bucket), Received: math.Round(a.lotTokens(now)), Demand: math.Round(a.demandNow(now)), Owned: l.ownedShare(now, s),
		})
	}
	return out
}
