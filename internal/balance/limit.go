package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A target may state how many calls per second it takes from all hosts together. The
// statement holds until a later response states something else. Responses overtake one
// another, and hosts pass statements on, so a statement is known to be later than another
// only if its call was sent after the other one arrived. Of statements whose order is not
// known, the stricter one is in force.

const (
	// minLimit is the lowest limit, in calls per second, that hosts apply. A target that takes
	// fewer calls, or none, still gets a call every few seconds, because only a response tells
	// that the limit has changed.
	minLimit = 0.1
	// maxLimit bounds the tokens that accumulate. No target takes more calls per second.
	maxLimit = 10_000
	// messageDelayMargin is the longest delay of a message between two hosts of a region for
	// which the order of the statements in it is certain.
	messageDelayMargin = 250 * time.Millisecond
	// liftedReportTime is how long hosts tell one another that a target has no limit any more.
	liftedReportTime = 10 * time.Second
)

// LimitStatement is what a response of a target says about its limit on calls.
type LimitStatement struct {
	// Limited is set if the target states a limit.
	Limited bool
	// PerSecond is the number of calls per second that the target takes from all hosts
	// together.
	PerSecond float64
}

// rate returns the number of calls per second that hosts send under the statement.
func (s LimitStatement) rate() float64 {
	if !s.Limited {
		return math.Inf(1)
	}
	return min(max(s.PerSecond, minLimit), maxLimit)
}

// limitRecord is a statement of a target and the time at which it was made.
type limitRecord struct {
	LimitStatement
	// The target made the statement after sentAt and before receivedAt.
	sentAt, receivedAt time.Time
	// host is the host that received the statement, empty for this one.
	host string
}

// merged returns the record that is in force when another one becomes known.
func (r limitRecord) merged(next limitRecord) limitRecord {
	switch {
	case r.receivedAt.IsZero(), !next.sentAt.Before(r.receivedAt):
		return next
	case !r.sentAt.Before(next.receivedAt):
		return r
	case next.rate() < r.rate():
		return next
	case next.LimitStatement == r.LimitStatement && next.host == "":
		next.sentAt = later(r.sentAt, next.sentAt)
		next.receivedAt = later(r.receivedAt, next.receivedAt)
		return next
	default:
		return r
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LimitReport tells another host of the region what a target says about its limit.
type LimitReport struct {
	Target string `cbor:"1,keyasint"`
	// Incarnation is a hash of the target's incarnation. The statement holds for no other one.
	Incarnation uint32  `cbor:"2,keyasint"`
	Limited     bool    `cbor:"3,keyasint,omitempty"`
	PerSecond   float64 `cbor:"4,keyasint,omitempty"`
	// The target made the statement between SentMs and ReceivedMs ago, in milliseconds.
	SentMs     int64 `cbor:"5,keyasint,omitempty"`
	ReceivedMs int64 `cbor:"6,keyasint,omitempty"`
}

func incarnationKey(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// record returns the record of a report from a host.
func (l LimitReport) record(now time.Time, host string) limitRecord {
	return limitRecord{
		LimitStatement: LimitStatement{Limited: l.Limited, PerSecond: l.PerSecond}, host: host,
		sentAt:     now.Add(-time.Duration(l.SentMs)*time.Millisecond - messageDelayMargin),
		receivedAt: now.Add(-time.Duration(l.ReceivedMs) * time.Millisecond),
	}
}

// limitReport returns the report of a target's limit for another host.
func (t *target) limitReport(now time.Time) LimitReport {
	r := t.limit
	return LimitReport{
		Target: t.ID, Incarnation: incarnationKey(t.Incarnation), Limited: r.Limited, PerSecond: r.PerSecond,
		SentMs: now.Sub(r.sentAt).Milliseconds(), ReceivedMs: now.Sub(r.receivedAt).Milliseconds(),
	}
}

// dueLimitReport returns the report of a target's limit, or false if it has none and lost it
// so long ago that all hosts know.
func (t *target) dueLimitReport(now time.Time) (LimitReport, bool) {
	r := t.limit
	if r.receivedAt.IsZero() || (!r.Limited && now.Sub(r.receivedAt) > liftedReportTime) {
		return LimitReport{}, false
	}
	return t.limitReport(now), true
}

// LimitChange is a change of the limit that is in force for a target.
type LimitChange struct {
	Target string
	// Now is in force, in place of Before.
	Now, Before LimitStatement
	// Age is the age of the statement that was in force before, 0 if there was none.
	Age time.Duration
	// From is the host that received the statement, empty for this one.
	From string
}

// RecordLimit records what a target's response to this host says about its limit. The call
// was sent at sentAt. It returns false if that changes nothing.
func (b *Balancer) RecordLimit(now, sentAt time.Time, id, incarnation string, s LimitStatement) (LimitChange, bool) {
	t := b.targets[id]
	if t == nil || t.Incarnation != incarnation || (!s.Limited && !t.limit.Limited) {
		return LimitChange{}, false
	}
	return b.applyLimit(now, t, limitRecord{LimitStatement: s, sentAt: sentAt, receivedAt: now})
}

// ApplyLimitReport records the report of another host. It returns false if that changes
// nothing.
func (b *Balancer) ApplyLimitReport(now time.Time, host string, l LimitReport) (LimitChange, bool) {
	t := b.targets[l.Target]
	if t == nil || incarnationKey(t.Incarnation) != l.Incarnation || !(l.PerSecond >= 0) || (!l.Limited && !t.limit.Limited) {
		return LimitChange{}, false
	}
	return b.applyLimit(now, t, l.record(now, host))
}

func (b *Balancer) applyLimit(now time.Time, t *target, r limitRecord) (LimitChange, bool) {
	before := t.limit
	t.limit = before.merged(r)
	if t.limit.LimitStatement == before.LimitStatement {
		return LimitChange{}, false
	}
	if !before.Limited {
		t.quota.reset(b.random.Float64())
	}
	t.quota.closedUntil = [priorityClasses]time.Time{}
	change := LimitChange{Target: t.ID, Now: t.limit.LimitStatement, Before: before.LimitStatement, From: t.limit.host}
	if !before.receivedAt.IsZero() {
		change.Age = now.Sub(before.receivedAt)
	}
	return change, true
}

// LimitReportFor returns the report of a target's limit for the other hosts of the region. It
// returns false if there is nothing to report.
func (b *Balancer) LimitReportFor(now time.Time, id string) (LimitReport, bool) {
	if t := b.targets[id]; t != nil {
		return t.dueLimitReport(now)
	}
	return LimitReport{}, false
}

// ownedLimitReports returns the reports of the targets that are assigned to this host.
func (b *Balancer) ownedLimitReports(now time.Time) []LimitReport {
	var out []LimitReport
	for _, t := range b.targets {
		if t.assigned.host != b.hosts.Self {
			continue
		}
		if report, ok := t.dueLimitReport(now); ok {
			out = append(out, report)
		}
	}
	return out
}

// maxFormerLimits bounds the limits that are kept of targets that are gone.
const maxFormerLimits = 256

// retainLimit keeps the limit of a target that is gone.
func (b *Balancer) retainLimit(t *target) {
	if !t.limit.Limited {
		return
	}
	if len(b.formerLimits) >= maxFormerLimits {
		clear(b.formerLimits)
	}
	b.formerLimits[t.Incarnation] = t.limit
}

// restoreLimit restores the limit of a target that is back without a restart.
func (b *Balancer) restoreLimit(t *target) {
	if r, ok := b.formerLimits[t.Incarnation]; ok {
		t.limit = r
		t.quota.reset(b.random.Float64())
		delete(b.formerLimits, t.Incarnation)
	}
}

// Limited reports whether a target has a limit, as far as this host knows.
func (b *Balancer) Limited(id string) bool {
	t := b.targets[id]
	return t != nil && t.limit.Limited
}

// limitedCapacity returns the work per second that the target does under its limit, in the
// units of Flows.
func (b *Balancer) limitedCapacity(t *target) float64 {
	perCall, ok := b.workPerCall[t.Service]
	if !ok {
		return 0
	}
	return min(t.capacity(), t.limit.rate()*perCall)
}

// learnWork updates the mean work of a service's calls.
func (b *Balancer) learnWork(t *target, f *Flight) {
	work := t.work(f)
	if mean, ok := b.workPerCall[t.Service]; ok {
		work = mean + sampleWeight*(work-mean)
	}
	b.workPerCall[t.Service] = work
}

// LimitWait returns how long it takes until this host may send another call of a service to a
// target with a limit or a brittle one, after the callers that it has already told to come back then. It
// returns false if no target with a limit is in service.
func (b *Balancer) LimitWait(now time.Time, service string) (time.Duration, bool) {
	interval, ok := b.limitInterval(now, service)
	if !ok {
		return 0, false
	}
	return later(now, b.limitQueues[service]).Add(interval).Sub(now), true
}

// QueueForLimit counts a caller that was told to come back when the service's targets with a
// limit have room for its call. Callers are spread at the rate of the limits.
func (b *Balancer) QueueForLimit(now time.Time, service string) {
	if wait, ok := b.LimitWait(now, service); ok && wait <= maxLimitQueue {
		b.limitQueues[service] = now.Add(wait)
	}
}

// maxLimitQueue bounds the time over which callers are spread.
const maxLimitQueue = 5 * time.Second

// limitInterval returns the interval between two calls of this host to the targets of a
// service that have a limit, if all hosts send as many.
func (b *Balancer) limitInterval(now time.Time, service string) (time.Duration, bool) {
	rate := 0.0
	for _, t := range b.services[service] {
		switch _, brittle := b.brittleness(now, t); {
		case !b.available(now, t):
		case t.limit.Limited:
			rate += t.limit.rate()
		case brittle:
			rate += float64(t.room.size(now, t.Slots)) / t.duration.Seconds()
		}
	}
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(max(1, len(b.hosts.Live))) / rate * float64(time.Second)), true
}
