package balance

import (
	"slices"
	"time"
)

// The targets of a service may be brittle for a time, as they state in their responses: one that has to
// turn away more than a number of calls within a second falls over. Hosts then keep the calls in
// flight of all of them together within the room of the target. The host that the target is assigned
// to admits each call, as it knows of all, and counts those that it has admitted until it knows that
// they were sent. The room is the number of slots at first, and less once the target turns a call
// away; hosts tell one another of that.

const (
	// brittleTTL is how long a statement holds without another one.
	brittleTTL = 10 * time.Second
	// grantTTL is how long an admitted call counts until it is known to have been sent.
	grantTTL = 30 * time.Millisecond
	// refusalWindow is the time over which a target counts the calls that it turns away.
	refusalWindow = time.Second
	// roomHoldTime is how long the room stays as it is after a call was turned away, and
	// roomGrowInterval the interval at which it grows by one afterwards.
	roomHoldTime     = 3 * time.Second
	roomGrowInterval = time.Second
	// maxBrittleRefusals bounds the refusals that are remembered for each target.
	maxBrittleRefusals = 256
)

// BrittleStatement is what a response of a target says about being brittle.
type BrittleStatement struct {
	Brittle bool
	// Tolerated is the number of calls that the target may turn away within a second.
	Tolerated int
}

// brittleRecord is a statement of a service's targets: the one whose call was sent last.
type brittleRecord struct {
	BrittleStatement
	sentAt, receivedAt time.Time
}

// BrittleReport tells another host of the region what targets state, or that one has turned a call
// away.
type BrittleReport struct {
	Target    string `cbor:"1,keyasint"`
	Brittle   bool   `cbor:"2,keyasint,omitempty"`
	Tolerated int    `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the call was sent whose response had the statement.
	AgeMs int64 `cbor:"4,keyasint,omitempty"`
	// Refused is set if the target has just turned a call away.
	Refused bool `cbor:"5,keyasint,omitempty"`
}

// room is how many calls a brittle target holds.
type room struct {
	calls     int // 0 while no call was turned away
	refusals  []time.Time
	grownAt   time.Time
	exhausted time.Time // when a call was last denied because the room was taken
	grants    []grant
}

// grant is an admitted call that is not known to have been sent.
type grant struct {
	host string
	at   time.Time
}

// brittleness returns the statement that is in force for a target's service.
func (b *Balancer) brittleness(now time.Time, t *target) (BrittleStatement, bool) {
	r := b.brittle[t.Service]
	return r.BrittleStatement, r.Brittle && now.Sub(r.receivedAt) < brittleTTL
}

// Brittle reports whether a target is brittle, as far as this host knows.
func (b *Balancer) Brittle(now time.Time, id string) bool {
	t := b.targets[id]
	if t == nil {
		return false
	}
	_, brittle := b.brittleness(now, t)
	return brittle
}

// RecordBrittle records what a response to a call that was sent at sentAt says. It returns a report
// for the other hosts of the region if that changes what is in force.
func (b *Balancer) RecordBrittle(now, sentAt time.Time, id string, s BrittleStatement) (BrittleReport, bool) {
	t := b.targets[id]
	if t == nil || !b.applyBrittle(now, t, brittleRecord{BrittleStatement: s, sentAt: sentAt, receivedAt: now}) {
		return BrittleReport{}, false
	}
	return BrittleReport{Target: id, Brittle: s.Brittle, Tolerated: s.Tolerated, AgeMs: now.Sub(sentAt).Milliseconds()}, true
}

// applyBrittle reports whether the record changes what is in force.
func (b *Balancer) applyBrittle(now time.Time, t *target, r brittleRecord) bool {
	before := b.brittle[t.Service]
	if r.sentAt.Before(before.sentAt) || !r.Brittle && !before.Brittle {
		return false
	}
	b.brittle[t.Service] = r
	if r.Brittle && !before.Brittle {
		for _, other := range b.services[t.Service] {
			other.room = room{}
		}
	}
	return r.BrittleStatement != before.BrittleStatement || now.Sub(before.receivedAt) > brittleTTL/2
}

// RecordRefusal records that a target has turned a call of this host away. It returns a report for the
// other hosts of the region if the target is brittle.
func (b *Balancer) RecordRefusal(now time.Time, id string) (BrittleReport, bool) {
	t := b.targets[id]
	if t == nil {
		return BrittleReport{}, false
	}
	s, brittle := b.brittleness(now, t)
	if !brittle {
		return BrittleReport{}, false
	}
	t.shrinkRoom(now)
	return BrittleReport{Target: id, Brittle: true, Tolerated: s.Tolerated, AgeMs: now.Sub(b.brittle[t.Service].sentAt).Milliseconds(), Refused: true}, true
}

// ApplyBrittle records the report of another host.
func (b *Balancer) ApplyBrittle(now time.Time, r BrittleReport) {
	t := b.targets[r.Target]
	if t == nil || r.Tolerated < 0 || r.AgeMs < 0 {
		return
	}
	sentAt := now.Add(-min(time.Duration(r.AgeMs)*time.Millisecond, brittleTTL) - messageDelayMargin)
	b.applyBrittle(now, t, brittleRecord{BrittleStatement: BrittleStatement{Brittle: r.Brittle, Tolerated: r.Tolerated}, sentAt: sentAt, receivedAt: now})
	if r.Refused {
		t.shrinkRoom(now)
	}
}

// shrinkRoom records that the target turned a call away: the others at it take all of its room.
func (t *target) shrinkRoom(now time.Time) {
	r := &t.room
	calls := t.flightCount(now)
	if r.calls > 0 {
		calls = min(calls, r.calls-1)
	}
	r.calls, r.grownAt = max(1, calls), now.Add(roomHoldTime)
	if r.refusals = r.recentRefusals(now); len(r.refusals) < maxBrittleRefusals {
		r.refusals = append(r.refusals, now)
	}
}

// recentRefusals returns the refusals that the target still counts, with a margin.
func (r *room) recentRefusals(now time.Time) []time.Time {
	return slices.DeleteFunc(r.refusals, func(at time.Time) bool { return now.Sub(at) >= refusalWindow+messageDelayMargin })
}

// size returns how many calls the target holds, and tries one more from time to time while all of
// them are needed.
func (r *room) size(now time.Time, slots int) int {
	if r.calls == 0 {
		return max(1, slots)
	}
	if now.Sub(r.grownAt) >= roomGrowInterval && now.Sub(r.exhausted) < roomGrowInterval && r.calls < max(1, slots) {
		r.calls, r.grownAt = r.calls+1, now
	}
	return r.calls
}

// admitBrittle decides whether a host may send a call to a brittle target that is assigned to this
// one.
func (b *Balancer) admitBrittle(now time.Time, t *target, host string, priority int) Admission {
	s, _ := b.brittleness(now, t)
	r := &t.room
	r.grants = slices.DeleteFunc(r.grants, func(g grant) bool { return now.Sub(g.at) >= grantTTL })
	wait := max(minQuotaWait, t.duration/time.Duration(max(1, r.size(now, t.Slots))))
	r.refusals = r.recentRefusals(now)
	switch {
	case len(r.refusals) > 0 && len(r.refusals) >= (s.Tolerated+1)/2:
		wait = r.refusals[0].Add(refusalWindow + messageDelayMargin).Sub(now)
	case t.flightCount(now)+len(r.grants) < r.size(now, t.Slots):
		r.grants = append(r.grants, grant{host: host, at: now})
		return Admission{Granted: true}
	default:
		r.exhausted = now
	}
	t.quota.close(now.Add(min(wait, maxBrittleWait)), priority)
	return Admission{Wait: min(wait, maxBrittleWait)}
}

// maxBrittleWait bounds the time for which hosts do not ask again for the admission of a call.
const maxBrittleWait = 100 * time.Millisecond

// recordSent records that a host has sent a call to the target.
func (r *room) recordSent(host string) {
	if i := slices.IndexFunc(r.grants, func(g grant) bool { return g.host == host }); i >= 0 {
		r.grants = slices.Delete(r.grants, i, i+1)
	}
}
