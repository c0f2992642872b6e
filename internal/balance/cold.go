package balance

import (
	"slices"
	"time"
)

const (
	// coldRateShare is the share of a cold target's rate that its one sender uses. The
	// margin is for times at which two hosts both consider themselves the sender.
	coldRateShare = 0.75
	// minColdInterval is the shortest interval between two calls to a cold target.
	minColdInterval = 100 * time.Millisecond
)

// MaxOpenTime is how long after the decision for a target a call may be sent to it. A connection
// that takes longer to open is a sign that the target was away and may be back as a new process.
// Calls that wait for connections must not arrive together.
const MaxOpenTime = 500 * time.Millisecond

// coldUntil returns when the target stops being cold, by its entry in the store and by its own
// statement.
func (t *target) coldUntil() time.Time { return later(t.ColdUntil, t.statedColdUntil) }

func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil()) }

// restricted reports whether calls are sent to the target only one at a time, by one host, or
// not at all.
func (t *target) restricted(now time.Time) bool { return t.cold(now) || t.blocked(now) }

// Restricted reports whether a target is cold or its process is in doubt.
func (b *Balancer) Restricted(now time.Time, id string) bool {
	t := b.targets[id]
	return t != nil && t.restricted(now)
}

// admitCold reserves the send of a call to a cold target, or denies it. Calls that were chosen
// for the target at the same time get no send of their own.
func (b *Balancer) admitCold(now time.Time, t *target) Admission {
	if t.blocked(now) || !b.maySendCold(now, t) {
		return Admission{Wait: max(minQuotaWait, t.coldLimiter.nextAt.Sub(now))}
	}
	t.coldLimiter.record(now, b.coldRates[t.Service])
	return Admission{Granted: true}
}

// coldLimiter limits the rate of calls to a cold target.
type coldLimiter struct{ nextAt time.Time }

// allows reports whether a call may be sent to the cold target now.
func (l *coldLimiter) allows(now time.Time) bool { return !now.Before(l.nextAt) }

func (l *coldLimiter) record(now time.Time, perSecond float64) {
	interval := minColdInterval
	if perSecond > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/(perSecond*coldRateShare)))
	}
	l.nextAt = now.Add(interval)
}

const (
	recentTime     = time.Second
	maxRecentTimes = 64
)

// recentTimes counts events within the last recentTime, at most maxRecentTimes of them.
type recentTimes struct{ times []time.Time }

func (r *recentTimes) add(now time.Time) {
	if r.count(now) < maxRecentTimes {
		r.times = append(r.times, now)
	}
}

func (r *recentTimes) count(now time.Time) int {
	r.times = slices.DeleteFunc(r.times, func(t time.Time) bool { return now.Sub(t) >= recentTime })
	return len(r.times)
}

// ColdState is what a host believes of a cold target and of its own part in sending to it.
type ColdState struct {
	Left time.Duration
	// Assigned is the host that may send to the target.
	Assigned    string
	Live, Known int // hosts of the region
	Settled     bool
}

// ColdStateOf returns the state of a target, or false if the host takes it for warm.
func (b *Balancer) ColdStateOf(now time.Time, id string) (ColdState, bool) {
	t := b.targets[id]
	if t == nil || !t.cold(now) {
		return ColdState{}, false
	}
	return ColdState{Left: t.coldUntil().Sub(now), Assigned: t.assigned.host, Live: len(b.hosts.Live), Known: b.hosts.Known, Settled: b.hosts.Settled}, true
}
