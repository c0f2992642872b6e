package balance

import (
	"iter"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// A target that crashes may be back under its ID within seconds, as a new process that is cold.
// Its entry in the store tells so late, or not at all while the store is away. A host that sees
// a sign of a crash therefore doubts that the process still runs, sends it no calls, and asks
// the host that the target is assigned to. That host alone checks the health of the target, in
// which the process states whether it is cold, and passes the statement on. Each doubt has a
// number, so that a statement is known to have been made after it.

const (
	// suspicionTime is how long a target is only avoided after a call to it broke off, so that
	// the loss of a single connection costs no calls where there is no other target.
	suspicionTime = 100 * time.Millisecond
	// askInterval is the interval at which a host repeats a doubt that the assigned host has not
	// taken up, and announcedAskInterval that for one that it has, as its Share shows.
	askInterval          = 500 * time.Millisecond
	announcedAskInterval = 2500 * time.Millisecond
	// answerTime is how long a host waits until the assigned host takes up a doubt before it tells
	// all hosts itself: the assigned host may be gone, or behind a cut.
	answerTime = 300 * time.Millisecond
	// healthCheckInterval is the interval of health checks while a target does not respond.
	healthCheckInterval = 400 * time.Millisecond
	// substituteDelay is how long a doubt lasts until hosts other than the assigned one check the
	// health of the target as well, in turn: it may be that only that one has no path to it.
	substituteDelay = 2 * time.Second
	// transitTime is the longest time for which bytes of a process that has ended still arrive.
	transitTime = 50 * time.Millisecond
	// maxPollDelay is the time since the last call of DueDoubts after which this host may have been
	// paused.
	maxPollDelay = 250 * time.Millisecond
	// unsettledCheckFactor is by how much hosts that have just started check less often.
	unsettledCheckFactor = 4
	// minDoubtTime is how long a doubt lasts, in addition to the time for which new processes
	// are cold, if no other host takes it up.
	minDoubtTime = 3 * time.Second
	// anyDoubt stands for any doubt of a host. Hosts number theirs from it on.
	anyDoubt = 1
	// entryDelay is the longest time from the start of a process until hosts know its entry, while
	// they reach the store.
	entryDelay = 1500 * time.Millisecond
	// maxDoubtAskers bounds the hosts that the assigned host answers.
	maxDoubtAskers = 1024
)

// Doubt tells another host of the region that the process of a target may have ended.
type Doubt struct {
	Target string `cbor:"1,keyasint"`
	// Number identifies the doubt among those of its host.
	Number uint64 `cbor:"2,keyasint"`
	// Ended is set if the target did not accept a connection.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Unanswered is set if the host that the target is assigned to has not taken up the doubt.
	Unanswered bool `cbor:"4,keyasint,omitempty"`
}

// Statement is what the process of a target says about being cold.
type Statement struct {
	Target string `cbor:"1,keyasint"`
	// The statement was made after the doubt with this number of this host, and after its
	// earlier ones.
	Asker  string `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// ColdMs is how much longer the process is cold, in milliseconds, 0 if it is warm.
	ColdMs int64 `cbor:"4,keyasint,omitempty"`
}

// doubt is what a host knows of the question whether a target's process still runs.
type doubt struct {
	// number and host identify the doubt; number is 0 if there is none.
	number uint64
	host   string
	since  time.Time
	ended  bool
	signAt time.Time // of the last sign that the process had ended
	// refreshedAt is when the doubt was last told to the assigned host or by it.
	refreshedAt time.Time
	announced   bool
	unanswered  bool // all hosts were told, as the assigned host has not taken it up
	// expectsWarm is set while the process is known to be cold, and not merely suspected to be
	// another one.
	expectsWarm bool
	// asked are the numbers of other hosts' doubts, at the assigned host.
	asked map[string]uint64
}

// blocked reports whether no calls are sent to the target because its process is in doubt. A
// cold process gets calls, at its rate, until that time is over. It must then state that it is
// warm, as it may have ended since.
func (t *target) blocked(now time.Time) bool {
	d := &t.doubt
	return d.number > 0 && !t.cold(now) && (d.ended || now.Sub(d.since) >= suspicionTime)
}

// expectWarm doubts the process of a cold target, until the assigned host announces that it has
// stated that it is warm.
func (b *Balancer) expectWarm(now time.Time, t *target) {
	if b.canDoubt(t) && t.cold(now) && t.doubt.number == 0 {
		t.doubt = doubt{number: anyDoubt, host: t.assigned.host, since: now, ended: true, announced: true, refreshedAt: now, expectsWarm: true}
	}
}

// refuteDoubt ends the doubt about a process that makes progress with a call of before the doubt,
// and notes that other hosts must be told: the host that checks its health may have no path to it.
// A host that may have been paused does not know when an event arrived.
func (b *Balancer) refuteDoubt(now time.Time, f *Flight) {
	t := f.target
	d := &t.doubt
	if d.number == 0 || d.expectsWarm || t.cold(now) || !f.startedAt.Before(d.since) || now.Sub(d.since) < transitTime || now.Sub(b.polledAt) > maxPollDelay || b.CatchUpTime(now) > 0 {
		return
	}
	b.refutations = append(b.refutations, Statement{Target: t.ID, Asker: d.host, Number: d.number})
	t.doubt = doubt{}
}

// DueStatements returns the statements for all hosts of the region that calls have shown since
// the last call.
func (b *Balancer) DueStatements() []Statement {
	out := b.refutations
	b.refutations = nil
	return out
}

// CanBeCold reports whether new processes of a target are cold.
func (b *Balancer) CanBeCold(id string) bool {
	t := b.targets[id]
	return t != nil && b.canDoubt(t)
}

// outlivesEntry reports whether the doubt goes on although the entry of a new process has become
// known: that process may have ended too, as its entry may be older than the last sign.
func (d *doubt) outlivesEntry(now time.Time) bool {
	return d.number > 0 && d.ended && now.Sub(d.signAt) < entryDelay
}

// canDoubt reports whether new processes of the target are cold, and a host can check its health.
func (b *Balancer) canDoubt(t *target) bool {
	return b.coldRates[t.Service] > 0 && !b.hosts.Legacy[t.assigned.host]
}

// DoubtProcess records a sign that the process of a target has ended: it accepted no connection
// (ended), or broke one off. It returns the doubt, and the host that must be told, empty for
// this one. It returns false if the doubt is known, or not warranted.
func (b *Balancer) DoubtProcess(now time.Time, id, incarnation string, ended bool) (Doubt, string, bool) {
	t := b.targets[id]
	if t == nil || t.Incarnation != incarnation || !b.canDoubt(t) {
		return Doubt{}, "", false
	}
	t.doubt.signAt = now
	if b.detached || t.path.down && t.path.failures > 1 {
		return Doubt{}, "", false // it is known that this host has no path
	}
	if t.doubt.number > 0 && (t.doubt.ended || !ended) {
		return Doubt{}, "", false
	}
	b.startDoubt(now, t, ended)
	return t.doubtReport(), b.checker(t), true
}

// startDoubt starts a doubt of this host. An ended process stays so: a connection that breaks
// off later adds nothing.
func (b *Balancer) startDoubt(now time.Time, t *target, ended bool) {
	b.doubts++
	since := now
	if t.doubt.number > 0 {
		since = t.doubt.since
	}
	t.doubt = doubt{
		number: b.doubts, host: b.hosts.Self, since: since, signAt: later(since, t.doubt.signAt), ended: ended || t.doubt.ended, refreshedAt: now, announced: t.doubt.announced, unanswered: t.doubt.unanswered,
		asked: t.doubt.asked,
	}
}

func (t *target) doubtReport() Doubt {
	return Doubt{Target: t.ID, Number: t.doubt.number, Ended: t.doubt.ended}
}

// checker returns the host that checks the health of a target, empty for this one.
func (b *Balancer) checker(t *target) string {
	if t.assigned.host == b.hosts.Self {
		return ""
	}
	return t.assigned.host
}

// ApplyDoubt records the doubt of another host. It reports whether this host doubts the process
// only now.
func (b *Balancer) ApplyDoubt(now time.Time, host string, d Doubt) bool {
	t := b.targets[d.Target]
	if t == nil || !b.canDoubt(t) || d.Number == 0 {
		return false
	}
	isNew := t.doubt.number == 0
	switch { // a doubt of any other host is for the one that is responsible, or for new hosts
	case t.assigned.host == b.hosts.Self:
		if isNew || (d.Ended && !t.doubt.ended) {
			b.startDoubt(now, t, d.Ended)
		}
		if t.doubt.asked == nil {
			t.doubt.asked = map[string]uint64{}
		}
		if len(t.doubt.asked) < maxDoubtAskers {
			t.doubt.asked[host] = d.Number
		}
	case host == t.assigned.host:
		since := now
		if !isNew {
			since = t.doubt.since
		}
		t.doubt = doubt{number: d.Number, host: host, since: since, signAt: later(since, t.doubt.signAt), ended: d.Ended || t.doubt.ended, refreshedAt: now, announced: true}
	case isNew && (!b.hosts.Settled || d.Unanswered):
		b.startDoubt(now, t, d.Ended)
	default:
		return false
	}
	return isNew
}

const (
	// pauseThreshold is the time between two calls of DueDoubts from which on the process of this
	// host was paused.
	pauseThreshold = time.Second
	// catchUpTime is how long a host that was paused reads what others have told it meanwhile.
	catchUpTime = 150 * time.Millisecond
	// probationTime is how long after a pause a target gets one call of the host at a time, until
	// it responds.
	probationTime = catchUpTime + 500*time.Millisecond
)

// probation is the time after a pause of this host. Calls that have queued meanwhile must not all
// go to a target that may have restarted.
type probation struct {
	until  time.Time
	flight *Flight // sent since the pause, not answered yet
}

func (p *probation) allows(now time.Time) bool { return p.flight == nil || !now.Before(p.until) }

// CatchUpTime returns how long this host must wait before it sends calls, as it was paused and may
// know of targets that have crashed only from messages that it has not read yet.
func (b *Balancer) CatchUpTime(now time.Time) time.Duration {
	if b.wasPaused(now) {
		return catchUpTime
	}
	return max(0, catchUpTime-now.Sub(b.resumedAt))
}

// ResumedAt returns when this host was paused last, as far as it has noticed; zero if it was not.
func (b *Balancer) ResumedAt(now time.Time) time.Time {
	if b.wasPaused(now) {
		return now
	}
	return b.resumedAt
}

// wasPaused reports whether the process was paused since the last poll. While it catches up after a
// pause, a short further one counts as well.
func (b *Balancer) wasPaused(now time.Time) bool {
	threshold := pauseThreshold
	if !b.resumedAt.IsZero() && b.polledAt.Sub(b.resumedAt) < catchUpTime {
		threshold = maxPollDelay
	}
	return !b.polledAt.IsZero() && now.Sub(b.polledAt) > threshold
}

// recordPoll notices that the process was paused.
func (b *Balancer) recordPoll(now time.Time) {
	if b.wasPaused(now) {
		b.Resume(now)
	}
	b.polledAt = now
}

// HeardAt returns the latest time until which a message that is handled now may have been sent: before
// the last pause, if the host still catches up.
func (b *Balancer) HeardAt(now time.Time) time.Time {
	switch {
	case b.wasPaused(now):
		return b.polledAt
	case !b.resumedAt.IsZero() && now.Sub(b.resumedAt) < catchUpTime:
		return b.pausedAt
	default:
		return now
	}
}

// Resume records that the process was paused until now.
func (b *Balancer) Resume(now time.Time) {
	b.pausedAt, b.resumedAt = b.polledAt, now
	for _, t := range b.targets {
		if b.canDoubt(t) {
			t.probation = probation{until: now.Add(probationTime)}
		}
	}
}

// DueDoubts returns the doubts to tell other hosts now, by recipient, and ends those that no
// other host has taken up. An empty recipient stands for all hosts of the region: the assigned
// host announces doubts that are not resolved at once.
func (b *Balancer) DueDoubts(now time.Time) map[string][]Doubt {
	b.recordPoll(now)
	out := map[string][]Doubt{}
	for t := range b.eachTarget() {
		if t.doubt.number == 0 || t.cold(now) {
			continue
		}
		if t.assigned.host == b.hosts.Self {
			if !b.detached && t.announceDoubt(now) {
				out[""] = append(out[""], t.doubtReport())
			}
			continue
		}
		interval := askInterval
		if t.doubt.announced {
			interval = announcedAskInterval
		}
		if !b.detached && !t.doubt.announced && !t.doubt.unanswered && now.Sub(t.doubt.since) >= answerTime {
			t.doubt.unanswered = true
			report := t.doubtReport()
			report.Unanswered = true
			out[""] = append(out[""], report)
		}
		if now.Sub(t.doubt.refreshedAt) < interval {
			continue
		}
		if !t.doubt.announced && now.Sub(t.doubt.since) >= minDoubtTime+b.coldStarts[t.Service] {
			t.doubt = doubt{}
			continue
		}
		if t.doubt.host != b.hosts.Self {
			b.startDoubt(now, t, t.doubt.ended)
		}
		t.doubt.refreshedAt, t.doubt.announced = now, false
		out[t.assigned.host] = append(out[t.assigned.host], t.doubtReport())
	}
	return out
}

// announceDoubt reports whether the host that the target is assigned to must tell all others of the
// doubt now.
func (t *target) announceDoubt(now time.Time) bool {
	if t.doubt.announced || !t.doubt.ended && now.Sub(t.doubt.since) < suspicionTime {
		return false
	}
	t.doubt.announced = true
	return true
}

// HealthCheck is a check of a target's health that must be made now.
type HealthCheck struct {
	Target catalogue.Target
	// doubts are the numbers of the doubts that a statement answers, by host.
	doubts map[string]uint64
}

// DueHealthChecks returns the checks of targets whose process is in doubt: of those that are
// assigned to this host, and of others whose doubt lasts for long.
func (b *Balancer) DueHealthChecks(now time.Time) []HealthCheck {
	if b.detached || b.CatchUpTime(now) > 0 { // another host may have told of a check meanwhile
		return nil
	}
	var out []HealthCheck
	for t := range b.eachTarget() {
		if t.doubt.number == 0 || !b.reserveCheck(now, t) {
			continue
		}
		if t.assigned.host != b.hosts.Self {
			out = append(out, HealthCheck{Target: t.Target, doubts: map[string]uint64{t.doubt.host: t.doubt.number}})
			continue
		}
		if t.doubt.host != b.hosts.Self {
			b.startDoubt(now, t, t.doubt.ended) // it was told by the host that was assigned before
		}
		check := HealthCheck{Target: t.Target, doubts: map[string]uint64{b.hosts.Self: t.doubt.number}}
		for host, number := range t.doubt.asked {
			check.doubts[host] = number
		}
		out = append(out, check)
	}
	return out
}

// reserveCheck reports whether the health of a target may be checked now. A check counts like a
// call to a cold target, and is not needed while the target is known to be cold. Groups of hosts that are cut off from most of the others, and hosts that
// have just started, check less often, as others may check as well.
func (b *Balancer) reserveCheck(now time.Time, t *target) bool {
	if now.Before(t.nextCheckAt) || t.cold(now) {
		return false
	}
	interval := healthCheckInterval
	live := len(b.hosts.Live)
	if t.assigned.host != b.hosts.Self {
		blockedSince := later(t.doubt.since, t.coldUntil())
		if !t.doubt.announced || now.Sub(blockedSince) < substituteDelay {
			return false
		}
		interval = time.Duration(max(1, live)) * healthCheckInterval
		if t.nextCheckAt.Before(blockedSince) {
			t.nextCheckAt = now.Add(Scale(interval, b.random.Float64()))
			return false
		}
	} else if minority := 2*live <= b.hosts.Known; minority || !b.hosts.Settled {
		interval = Scale(interval, max(unsettledCheckFactor, float64(b.hosts.Known)/float64(max(1, live))))
		if t.nextCheckAt.Before(t.doubt.since) {
			t.nextCheckAt = now.Add(Scale(interval, b.random.Float64()))
			return false
		}
	}
	t.nextCheckAt = now.Add(interval)
	t.coldLimiter.record(now, b.coldRates[t.Service])
	return true
}

// RecordHealth records that the process of a target has stated for how long it is cold. It
// returns the statements for other hosts, by recipient; an empty recipient stands for all
// hosts of the region.
func (b *Balancer) RecordHealth(now time.Time, c HealthCheck, cold time.Duration) map[string]Statement {
	t := b.targets[c.Target.ID]
	if t == nil {
		return nil
	}
	out := map[string]Statement{}
	var known Statement
	for host, number := range c.doubts {
		s := Statement{Target: t.ID, Asker: host, Number: number, ColdMs: cold.Milliseconds()}
		switch {
		case host != t.doubt.host:
			out[host] = s
		case t.doubt.announced || cold > 0:
			out[""], known = s, s
		default:
			known = s
		}
	}
	if known.Number > 0 {
		b.ApplyStatement(now, known)
	}
	return out
}

// RecordNoHealth records that a target accepted no connection for a health check, or did not
// respond. It reports whether that is new.
func (b *Balancer) RecordNoHealth(now time.Time, c HealthCheck) bool {
	t := b.targets[c.Target.ID]
	if t == nil || t.doubt.number == 0 {
		return false
	}
	known := t.doubt.ended
	t.doubt.ended, t.doubt.signAt = true, now
	return !known
}

// ApplyStatement records what the process of a target states. If it is warm, that ends the doubt
// that the statement answers. ApplyStatement reports whether it did.
func (b *Balancer) ApplyStatement(now time.Time, s Statement) bool {
	t := b.targets[s.Target]
	if t == nil || s.ColdMs < 0 {
		return false
	}
	if s.ColdMs > 0 {
		b.applyCold(now, t, s)
		return false
	}
	if t.doubt.number == 0 || t.doubt.host != s.Asker || t.doubt.number > s.Number {
		return false
	}
	t.doubt, t.statedColdUntil = doubt{}, time.Time{}
	t.path.confirmedAt = now
	if t.path.down {
		t.path.probeAt = now
	}
	return true
}

// applyCold records that the process of a target is cold. If it was in doubt, it is a new one,
// and stays in doubt until it states that it is warm, or its entry is known.
func (b *Balancer) applyCold(now time.Time, t *target, s Statement) {
	cold := time.Duration(min(s.ColdMs, maxStatedCold.Milliseconds())) * time.Millisecond
	t.statedColdUntil = later(t.statedColdUntil, now.Add(cold))
	if s.Number == 0 {
		return
	}
	if t.doubt.number == 0 {
		t.doubt = doubt{number: s.Number, host: s.Asker, since: now}
	}
	t.doubt.ended, t.doubt.announced, t.doubt.refreshedAt, t.doubt.expectsWarm = true, true, now, true
}

// maxStatedCold bounds the time for which a target states that it is cold.
const maxStatedCold = 10 * time.Minute

// maxSharedDoubts bounds the doubts and the statements in a Share each.
const maxSharedDoubts = 32

// sharedDoubts returns the announced doubts, so that hosts that have just started learn of them.
func (b *Balancer) sharedDoubts() []Doubt {
	var out []Doubt
	for t := range b.eachTarget() {
		if t.doubt.number > 0 && t.doubt.announced && len(out) < maxSharedDoubts {
			out = append(out, t.doubtReport())
		}
	}
	return out
}

// sharedStatements returns the cold processes that have stated so.
func (b *Balancer) sharedStatements(now time.Time) []Statement {
	var out []Statement
	for t := range b.eachTarget() {
		if now.Before(t.statedColdUntil) && len(out) < maxSharedDoubts {
			out = append(out, Statement{Target: t.ID, ColdMs: t.statedColdUntil.Sub(now).Milliseconds()})
		}
	}
	return out
}

// eachTarget returns the targets, those of a service ordered by ID.
func (b *Balancer) eachTarget() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, list := range b.services {
			for _, t := range list {
				if !yield(t) {
					return
				}
			}
		}
	}
}
