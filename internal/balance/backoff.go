package balance

import "time"

// A target that turns a host away may say for how long it wants nothing from it. The
// host sends nothing there until then, and the other hosts prefer other targets.

// MaxSpare bounds the time for which a target is left alone.
const MaxBackoff = 10 * time.Minute

// Spare leaves a target alone for a while, as it asks.
func (b *Balancer) BackOff(now time.Time, id string, d time.Duration) {
	if t := b.targets[id]; t != nil {
		t.refusesUntil = now.Add(min(d, MaxBackoff))
	}
}

// Opens returns how long it takes until a target of the service may be used again that
// wants nothing now, and false when there is none.
func (b *Balancer) BackoffLeft(now time.Time, service string) (time.Duration, bool) {
	soonest, ok := time.Duration(0), false
	for _, t := range b.services[service] {
		if !b.inService(now, t) || !t.refuses(now) {
			continue
		}
		if d := t.refusesUntil.Sub(now); !ok || d < soonest {
			soonest, ok = d, true
		}
	}
	return soonest, ok
}

// refuses reports whether the target wants nothing from this host.
func (t *target) refuses(now time.Time) bool { return now.Before(t.refusesUntil) }

// spared reports whether the target wants nothing from another host.
func (t *target) spared(now time.Time) bool { return now.Before(t.sparedUntil) }

// millisecondsLeft is how long it is until a time, 0 when that has passed.
func millisecondsLeft(now, until time.Time) int {
	return int(max(0, until.Sub(now)).Milliseconds())
}

// takeSpare takes another host's word that a target wants nothing.
func (t *target) takeSpare(now time.Time, s TargetShare) {
	until := now.Add(min(time.Duration(s.BackoffMs)*time.Millisecond, MaxBackoff))
	if s.BackoffMs > 0 && until.After(t.sparedUntil) {
		t.sparedUntil = until
	}
}
