package balance

import "time"

// All hosts of a region share the limit of a target. Each of the hosts that may be sending has
// an equal share, which it may use without asking anyone: hosts that are cut off from one
// another keep the limit together. While hosts are in touch, all lend their shares to the host
// that the target is assigned to, and ask that host before each call. It grants calls at the
// rate of the shares that it has, so that hosts with many calls use the shares of the others.
//
// A share is lent for a short time, and repeatedly. The lender counts this time from sending,
// plus a margin, and the borrower from the arrival of the message. A host that gets no
// acknowledgement stops lending, and uses its own share again once its last loan has expired.

const (
	// AdmissionTimeout is how long a call waits for an admission, and how long an admission is
	// valid: several times the latency between data centres of a region.
	AdmissionTimeout = 30 * time.Millisecond
	// minLendInterval is the interval at which the hosts of a small region lend their shares.
	// It grows with the region, so that the traffic of the borrower does not.
	minLendInterval     = 400 * time.Millisecond
	lendIntervalPerHost = 20 * time.Millisecond
	// loanIntervals is how many intervals the borrower uses a share, and loanMargin how much
	// longer the lender does not: the longest delay of a message for which a share is never
	// used twice. ackIntervals is how many intervals a host lends and asks after its last
	// acknowledgement.
	loanIntervals = 3.75
	ackIntervals  = 3.25
	loanMargin    = 500 * time.Millisecond
	// maxLoan bounds a loan that another host states.
	maxLoan = time.Minute
	// minUnsettledSharers is the least number of shares of which a host that has just started,
	// and may not know all others yet, uses one.
	minUnsettledSharers = 12
	// minQuotaTokenTTL and maxQuotaTokenTTL bound how long a token for one call is valid. It
	// is the interval of two tokens, so that calls do not come in bursts, but long enough for
	// the gaps between calls at a high rate, and short enough that many hosts that are alone
	// do not use tokens of a long time at once.
	minQuotaTokenTTL = 250 * time.Millisecond
	maxQuotaTokenTTL = time.Second
	// minQuotaWait is the shortest time for which a target that has no room gets no calls.
	minQuotaWait = 20 * time.Millisecond
	// unansweredQuotaWait is that time after the assigned host did not answer.
	unansweredQuotaWait = 50 * time.Millisecond
	// maxUrgentRun is the number of tokens in a row for which urgent calls go before others.
	maxUrgentRun = 3
)

// quota is the part of a host in sharing the limit of a target.
type quota struct {
	tokens     tokenBucket
	refilledAt time.Time // zero before the first refill
	// loans are the ends of the loans to this host, by lender.
	loans map[string]time.Time
	// lentTo is the host that this one has lent its share to, until lentUntil.
	lentTo    string
	lentUntil time.Time
	// ackedBy is the host that last acknowledged to be responsible for the target.
	ackedBy string
	ackedAt time.Time
	// closedUntil is the earliest time at which the target has room for another call, by
	// priority class.
	closedUntil [priorityClasses]time.Time
	// urgentDeniedAt is when a call of priority 0 was last denied. urgentRun is the number of
	// such calls that were granted since any other.
	urgentDeniedAt time.Time
	urgentRun      int
}

// reset starts a quota for a target that has stated a limit. Phase is a number from 0 to 1 that
// differs from host to host.
func (q *quota) reset(phase float64) {
	*q = quota{tokens: tokenBucket{fraction: phase}, loans: map[string]time.Time{}, lentTo: q.lentTo, lentUntil: q.lentUntil}
}

// shares returns the number of shares of the target's limit that the host may use.
func (b *Balancer) shares(now time.Time, t *target) int {
	n := 0
	if !now.Before(t.quota.lentUntil) {
		n = 1
	}
	if t.assigned.host != b.hosts.Self || !b.hosts.Settled {
		return n
	}
	for host, end := range t.quota.loans {
		if now.Before(end) {
			n++
		} else {
			delete(t.quota.loans, host)
		}
	}
	return n
}

// quotaRate returns the number of calls per second that the host may send to a target with a
// limit, or grant.
func (b *Balancer) quotaRate(now time.Time, t *target) float64 {
	sharers := b.sharers()
	return t.limit.rate() * float64(min(b.shares(now, t), sharers)) / float64(sharers)
}

// sharers returns the number of shares of a limit.
func (b *Balancer) sharers() int {
	n := max(1, b.hosts.Sharers, len(b.hosts.Live))
	if !b.hosts.Settled {
		return max(n, minUnsettledSharers)
	}
	return n
}

// LendInterval returns the interval at which the host must lend its shares.
func (b *Balancer) LendInterval() time.Duration {
	return max(minLendInterval, time.Duration(len(b.hosts.Live))*lendIntervalPerHost)
}

// refillQuota adds the tokens since the last call. The target must have a limit.
func (b *Balancer) refillQuota(now time.Time, t *target) {
	rate, q := b.quotaRate(now, t), &t.quota
	if q.refilledAt.IsZero() {
		q.refilledAt = now
	}
	ttl := quotaTokenTTL(rate)
	q.tokens.add(now, min(rate*now.Sub(q.refilledAt).Seconds(), max(1, rate*ttl.Seconds())), ttl)
	q.refilledAt = now
}

func quotaTokenTTL(rate float64) time.Duration {
	return min(max(time.Duration(float64(time.Second)/max(rate, 1)), minQuotaTokenTTL), maxQuotaTokenTTL)
}

// takeToken takes a token for a call of a priority. While urgent calls are denied, others get
// one token after maxUrgentRun of them.
func (b *Balancer) takeToken(now time.Time, t *target, priority int) bool {
	b.refillQuota(now, t)
	q := &t.quota
	reserved := priority > 0 && q.urgentRun < maxUrgentRun && now.Sub(q.urgentDeniedAt) < maxQuotaTokenTTL
	if reserved || !q.tokens.take(now) {
		if priority == 0 {
			q.urgentDeniedAt = now
		}
		return false
	}
	if priority > 0 {
		q.urgentRun = 0
	} else {
		q.urgentRun++
	}
	return true
}

// quotaWait returns the time until the host has another token.
func (b *Balancer) quotaWait(now time.Time, t *target) time.Duration {
	wait := maxQuotaTokenTTL
	if rate := b.quotaRate(now, t); rate > 0 {
		wait = time.Duration(min(maxQuotaTokenTTL.Seconds(), (1-t.quota.tokens.fraction)/rate) * float64(time.Second))
	}
	return max(wait, minQuotaWait)
}

// Admission is the decision whether a call may be sent to a target now.
type Admission struct {
	Granted bool
	// Owner is the host to ask, if this one must not decide.
	Owner string
	// Wait is the time until the target may have room, if the call is denied.
	Wait time.Duration
}

// Admit decides whether this host may send a call to a target.
func (b *Balancer) Admit(now time.Time, id string, priority int) Admission {
	t := b.targets[id]
	if t == nil {
		return Admission{Granted: true}
	}
	if !t.probation.allows(now) {
		return Admission{Wait: minQuotaWait}
	}
	if t.restricted(now) {
		if a := b.admitCold(now, t); !a.Granted || !t.limit.Limited {
			return a
		}
	}
	if !b.needsAdmission(now, t) {
		return Admission{Granted: true}
	}
	if !t.limit.Limited {
		if t.assigned.host != b.hosts.Self {
			return Admission{Owner: t.assigned.host}
		}
		return b.admitBrittle(now, t, b.hosts.Self, priority)
	}
	if owner := t.assigned.host; owner != b.hosts.Self && b.isAcked(now, t) {
		return Admission{Owner: owner}
	}
	return b.admitHere(now, t, priority)
}

// needsAdmission reports whether a host may send calls to the target only if they are admitted, one by
// one.
func (b *Balancer) needsAdmission(now time.Time, t *target) bool {
	_, brittle := b.brittleness(now, t)
	return t.limit.Limited || brittle
}

// isAcked reports whether the host that a target is assigned to has lately acknowledged to be
// responsible for it.
func (b *Balancer) isAcked(now time.Time, t *target) bool {
	return t.quota.ackedBy == t.assigned.host && now.Sub(t.quota.ackedAt) < Scale(b.LendInterval(), ackIntervals)
}

func (b *Balancer) admitHere(now time.Time, t *target, priority int) Admission {
	if b.takeToken(now, t, priority) {
		return Admission{Granted: true}
	}
	wait := b.quotaWait(now, t)
	t.quota.close(now.Add(wait), priority)
	return Admission{Wait: wait}
}

// close records that the target has no room before a time for calls of the given priority,
// nor for less urgent ones.
func (q *quota) close(until time.Time, priority int) {
	for class := priorityClass(priority); class < priorityClasses; class++ {
		q.closedUntil[class] = until
	}
}

// AdmitFor decides for another host whether it may send a call to a target that is assigned to
// this one.
func (b *Balancer) AdmitFor(now time.Time, host, id string, priority int) Admission {
	t := b.targets[id]
	switch {
	case t == nil || t.assigned.host != b.hosts.Self:
		return Admission{Wait: unansweredQuotaWait} // the hosts differ in what they know
	case t.limit.Limited:
		return b.admitHere(now, t, priority)
	default:
		return b.admitBrittle(now, t, host, priority)
	}
}

// AcceptReply returns the decision of the assigned host that this host asked at askedAt. A
// reply that this host handles late, for example after a pause of its process, is no
// admission: the token has expired.
func (b *Balancer) AcceptReply(now, askedAt time.Time, id string, priority int, reply Admission) Admission {
	if now.Sub(askedAt) > AdmissionTimeout {
		b.RecordNoAnswer(now, id, priority)
		return Admission{}
	}
	if t := b.targets[id]; t != nil && !reply.Granted {
		t.quota.close(now.Add(min(max(reply.Wait, minQuotaWait), maxQuotaTokenTTL)), priority)
	}
	return reply
}

// RecordNoAnswer records that the assigned host of a target did not answer in time.
func (b *Balancer) RecordNoAnswer(now time.Time, id string, priority int) {
	if t := b.targets[id]; t != nil {
		t.quota.close(now.Add(unansweredQuotaWait), priority)
	}
}

// limitWait returns how long the target has no room for a call, as far as this host knows.
func (b *Balancer) limitWait(now time.Time, t *target, priority int) time.Duration {
	if !b.needsAdmission(now, t) {
		return 0
	}
	return max(0, t.quota.closedUntil[priorityClass(priority)].Sub(now))
}

// Loan lends a host's share of a target's limit to the host that the target is assigned to, or
// asks whether that host is responsible for it.
type Loan struct {
	// ForMs is how long the recipient may use the share, in milliseconds, 0 if it may not.
	ForMs  int64       `cbor:"1,keyasint,omitempty"`
	Report LimitReport `cbor:"2,keyasint"`
}

// DueLoans returns the loans to send now, by recipient. It must be called at
// LendInterval.
func (b *Balancer) DueLoans(now time.Time) map[string][]Loan {
	out := map[string][]Loan{}
	for _, t := range b.targets {
		if !t.limit.Limited {
			continue
		}
		b.refillQuota(now, t)
		owner := t.assigned.host
		if owner == "" || owner == b.hosts.Self {
			continue
		}
		q := &t.quota
		loan := Loan{Report: t.limitReport(now)}
		lend := b.isAcked(now, t) && (q.lentTo == owner || !now.Before(q.lentUntil))
		if lend {
			ttl := Scale(b.LendInterval(), loanIntervals)
			loan.ForMs = ttl.Milliseconds()
			q.lentTo, q.lentUntil = owner, now.Add(ttl+loanMargin)
		}
		out[owner] = append(out[owner], loan)
	}
	return out
}

// ApplyLoan records the loan of another host. It returns what this host knows of the limit if
// it is responsible for the target. A host that has just started is not, as it may not know
// all others yet.
func (b *Balancer) ApplyLoan(now time.Time, host string, l Loan) (LimitReport, bool) {
	t := b.targets[l.Report.Target]
	if t == nil || !b.hosts.Settled || t.assigned.host != b.hosts.Self || incarnationKey(t.Incarnation) != l.Report.Incarnation || t.quota.loans == nil {
		return LimitReport{}, false
	}
	if t.limit.Limited {
		b.refillQuota(now, t)
	}
	if l.ForMs > 0 {
		t.quota.loans[host] = now.Add(min(time.Duration(l.ForMs)*time.Millisecond, maxLoan))
	} else {
		delete(t.quota.loans, host)
	}
	return t.limitReport(now), true
}

// RecordAck records that a host is responsible for the target of a report.
func (b *Balancer) RecordAck(now time.Time, host string, l LimitReport) {
	if t := b.targets[l.Target]; t != nil {
		t.quota.ackedBy, t.quota.ackedAt = host, now
	}
}
