package balance

import "time"

// A target that refuses a call may state for how long it wants no more calls from the host.
// The host sends nothing there until then, and the other hosts prefer other targets.

// MaxBackoff limits the time for which a target can ask a host to back off.
const MaxBackoff = 10 * time.Minute

// BackOff stops sending to a target for a duration, as the target requested.
func (b *Balancer) BackOff(now time.Time, id string, d time.Duration) {
	if t := b.targets[id]; t != nil {
		t.backoffUntil = now.Add(min(d, MaxBackoff))
	}
}

// BackoffLeft returns how long it takes until the first target of the service that has
// asked this host to back off may be used again. It returns false if there is none.
func (b *Balancer) BackoffLeft(now time.Time, service string) (time.Duration, bool) {
	soonest, ok := time.Duration(0), false
	for _, t := range b.services[service] {
		if !b.inService(now, t) || !t.backsOff(now) {
			continue
		}
		if d := t.backoffUntil.Sub(now); !ok || d < soonest {
			soonest, ok = d, true
		}
	}
	return soonest, ok
}

// backsOff reports whether the target has asked this host to back off.
func (t *target) backsOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// peersBackOff reports whether the target has asked another host to back off.
func (t *target) peersBackOff(now time.Time) bool { return now.Before(t.peerBackoffUntil) }

// millisecondsLeft returns the milliseconds until a time, 0 if it has passed.
func millisecondsLeft(now, until time.Time) int {
	return int(max(0, until.Sub(now)).Milliseconds())
}

// mergeBackoff records another host's report that a target has asked it to back off.
func (t *target) mergeBackoff(now time.Time, s TargetShare) {
	until := now.Add(min(time.Duration(s.BackoffMs)*time.Millisecond, MaxBackoff))
	if s.BackoffMs > 0 && until.After(t.peerBackoffUntil) {
		t.peerBackoffUntil = until
	}
}
