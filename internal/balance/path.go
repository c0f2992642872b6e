package balance

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// A connection to a target fails if the target is gone, or if this host has no path to it. One
// host cannot tell these apart, so it keeps what it knows of its own path apart from the state of
// the target. It sends no calls to a target without a path, opens a connection from time to time
// to find out whether the path is back, and passes calls to hosts of the region that have one. A
// host that reaches no target at all is detached: what it sees says nothing about targets, so it
// tells no doubts and is responsible for no target.

const (
	// firstProbeInterval is the time from a failed connection to the first probe of the path. Each
	// further failure doubles it.
	firstProbeInterval = 250 * time.Millisecond
	maxProbeInterval   = time.Second
	// quietProbeInterval is the time without a response after which a host without calls probes
	// one target, and busyProbeInterval that of a host with calls in flight.
	quietProbeInterval = time.Second
	busyProbeInterval  = 500 * time.Millisecond
	// controlProbes is the number of other targets that are probed after a failed connection, and
	// controlAge the age of the last response from which on they are needed.
	controlProbes = 4
	controlAge    = 100 * time.Millisecond
	// detachedFailures is the number of targets without a path, while no other responds, from
	// which on a host takes itself for detached, if there are as many.
	detachedFailures = 3
	// A host reaches few targets once it has no path to half of them, and most again once it has none to
	// a quarter at most.
	fewShareInverse  = 2
	mostShareInverse = 4
	// confirmationTime is how long the statement of a process is trusted while the host has no path to
	// it.
	confirmationTime = time.Second
)

// path is what a host knows of its path to a target.
type path struct {
	down     bool
	failedAt time.Time // of the last failed connection
	probeAt  time.Time // of the next probe, if down or suspected
	failures int       // in a row
	// suspected is set if a connection broke off, which says little about the path.
	suspected bool
	probing   bool
	// returning is set while the path is back but the process may be another one.
	returning bool
	// confirmedAt is when the process last stated that it runs.
	confirmedAt time.Time
}

// Reach is how many of its region's targets a host has a path to.
type Reach int

// The values of Reach. A host that has not said otherwise reaches most targets.
const (
	ReachNone Reach = iota
	ReachFew
	ReachMost
)

// String returns the name of the value.
func (r Reach) String() string { return [...]string{"None", "Few", "Most"}[r] }

// Reach returns how many targets the host has a path to.
func (b *Balancer) Reach() Reach {
	if b.detached {
		return ReachNone
	}
	return b.attachedReach
}

// pathless reports whether the host has no path to a target, as far as it knows.
func (b *Balancer) pathless(now time.Time, t *target) bool {
	if t.path.down && t.path.returning && (t.doubt.number == 0 || t.cold(now)) {
		t.path.down, t.path.returning = false, false
	}
	return t.path.down || b.detached
}

// recordResponse records that a target responded on a connection that was in use at a time.
func (b *Balancer) recordResponse(at time.Time, t *target) {
	if at.After(b.respondedAt) {
		b.respondedAt = at
		b.detached = false
	}
	if !t.path.failedAt.After(at) {
		t.path.failures, t.path.suspected = 0, false
		if t.path.down && !t.path.returning {
			t.path.down = false
		}
	}
}

// recordNoPath records that a connection to a target failed.
func (b *Balancer) recordNoPath(now time.Time, t *target) {
	p := &t.path
	p.down, p.returning, p.suspected, p.failedAt = true, false, false, now
	p.probeAt = now.Add(min(firstProbeInterval<<min(p.failures, 8), maxProbeInterval))
	p.failures++
}

// SuspectPath records that a connection to a target broke off. The path is probed at once.
func (b *Balancer) SuspectPath(now time.Time, id string) {
	if t := b.targets[id]; t != nil && !t.path.down && !t.path.suspected {
		t.path.suspected, t.path.probeAt = true, now
	}
}

// DueProbes returns the targets to which the host must open a connection now, to learn whether it
// has a path to them. Each probe is followed by RecordProbe, and all of them by UpdateReach.
func (b *Balancer) DueProbes(now time.Time) []catalogue.Target {
	if b.detached && now.Sub(b.probedAt) < firstProbeInterval {
		return nil
	}
	due, others := b.probeCandidates(now)
	age := now.Sub(b.respondedAt)
	switch {
	case b.detached:
		due, others = due[:min(controlProbes, len(due))], nil
	case age > controlAge && b.hasFailedPaths():
		others = others[:min(controlProbes, len(others))]
	case len(due) == 0 && age > b.probeInterval() && now.Sub(b.probedAt) > b.probeInterval():
		others = others[:min(1, len(others))]
	default:
		others = nil
	}
	var out []catalogue.Target
	for _, t := range append(due, others...) {
		t.path.probing = true
		out = append(out, t.Target)
		b.probedAt = now
	}
	return out
}

// probeCandidates returns the targets whose paths are due for a probe, and those whose paths are
// not known to be down, in random order.
func (b *Balancer) probeCandidates(now time.Time) (due, others []*target) {
	for t := range b.eachTarget() {
		unknown := t.path.down && !t.path.returning || t.path.suspected
		switch {
		case t.State != catalogue.Ready, t.path.probing:
		case unknown && !now.Before(t.path.probeAt):
			due = append(due, t)
		case !t.path.down:
			others = append(others, t)
		}
	}
	b.random.Shuffle(len(due), func(i, k int) { due[i], due[k] = due[k], due[i] })
	b.random.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	return due, others
}

// hasFailedPaths reports whether a connection has failed since a target last responded.
func (b *Balancer) hasFailedPaths() bool {
	for t := range b.eachTarget() {
		if t.path.failedAt.After(b.respondedAt) {
			return true
		}
	}
	return false
}

// probeInterval returns the time without a response after which the host probes a target.
func (b *Balancer) probeInterval() time.Duration {
	for t := range b.eachTarget() {
		if len(t.inFlight) > 0 {
			return busyProbeInterval
		}
	}
	return quietProbeInterval
}

// RecordProbe records whether a connection to a target has opened. It returns a doubt to tell the
// named host, empty for this one, if the process may be another one than before the path was
// lost.
func (b *Balancer) RecordProbe(now time.Time, probed catalogue.Target, opened bool) (Doubt, string, bool) {
	t := b.targets[probed.ID]
	if t == nil {
		return Doubt{}, "", false
	}
	t.path.probing, t.path.suspected = false, false
	if !opened {
		b.recordNoPath(now, t)
		if t.path.failures > 1 || t.doubt.number > 0 || !b.canDoubt(t) {
			return Doubt{}, "", false
		}
		b.startDoubt(now, t, false)
		return t.doubtReport(), b.checker(t), true
	}
	b.respondedAt, b.detached = now, false
	t.path.failures = 0
	if !t.path.down || t.path.returning {
		return Doubt{}, "", false
	}
	if !b.canDoubt(t) || t.cold(now) || t.doubt.number == 0 && now.Sub(t.path.confirmedAt) < confirmationTime {
		t.path.down = false
		return Doubt{}, "", false
	}
	t.path.returning = true
	if t.doubt.number > 0 {
		return Doubt{}, "", false
	}
	b.startDoubt(now, t, false)
	return t.doubtReport(), b.checker(t), true
}

// UpdateReach decides how many targets the host has a path to, once the due probes have ended. It
// reports whether that has changed.
func (b *Balancer) UpdateReach(now time.Time) bool {
	failed, down, ready := 0, 0, 0
	for t := range b.eachTarget() {
		if t.State != catalogue.Ready {
			continue
		}
		ready++
		if t.path.down {
			down++
		}
		if t.path.down && t.path.failedAt.After(b.respondedAt) {
			failed++
		}
	}
	b.detached = failed > 0 && failed >= min(detachedFailures, ready)
	switch {
	case fewShareInverse*down > ready:
		b.attachedReach = ReachFew
	case mostShareInverse*down <= ready:
		b.attachedReach = ReachMost
	}
	changed := b.toldReach != b.Reach()
	if changed && (b.detached || b.toldReach == ReachNone) {
		b.onDetachment(now)
	}
	b.toldReach = b.Reach()
	return changed
}

// onDetachment makes all paths uncertain when the host becomes detached, as the processes of the
// targets may be others when the paths are back, and has them probed when it is attached again. It
// asks the hosts that are responsible for the targets whether these run: calls are passed to other
// hosts only for targets that do, as otherwise all would meet at the last host that does not know
// of a crash.
func (b *Balancer) onDetachment(now time.Time) {
	for t := range b.eachTarget() {
		if b.detached && !t.path.down {
			t.path.down = true
		}
		if b.detached && t.doubt.number == 0 && !t.cold(now) && b.canDoubt(t) {
			b.startDoubt(now, t, false)
			t.doubt.refreshedAt = time.Time{} // ask at once
		}
		t.path.probeAt = now
	}
}

// unreached returns targets that the host has no path to.
func (b *Balancer) unreached(now time.Time) []string {
	var out []string
	for t := range b.eachTarget() {
		if len(out) < maxSharedDoubts && b.canDoubt(t) && b.pathless(now, t) {
			out = append(out, t.ID)
		}
	}
	return out
}

// confirmUnreached doubts the processes of targets that another host has no path to, if this host has
// just started and knows of no crash.
func (b *Balancer) confirmUnreached(now time.Time, targets []string) {
	if b.hosts.Settled {
		return
	}
	for _, id := range targets {
		t := b.targets[id]
		if t != nil && b.canDoubt(t) && t.doubt.number == 0 && !t.cold(now) && now.Sub(t.path.confirmedAt) >= confirmationTime {
			b.startDoubt(now, t, true)
		}
	}
}

// RespondedSince reports whether any other target has responded after a time. Without that, a
// failed connection says nothing about its target.
func (b *Balancer) RespondedSince(at time.Time) bool { return b.respondedAt.After(at) }

// LacksPaths reports whether the host has no path to some target.
func (b *Balancer) LacksPaths() bool {
	if b.detached {
		return true
	}
	for t := range b.eachTarget() {
		if t.path.down {
			return true
		}
	}
	return false
}

// Detached reports whether the host has no path to any target.
func (b *Balancer) Detached() bool { return b.detached }

// ConfirmedSince reports whether the process of a target has stated after a time that it runs and is
// not a new one.
func (b *Balancer) ConfirmedSince(id string, at time.Time) bool {
	t := b.targets[id]
	return t != nil && t.path.confirmedAt.After(at)
}

// HasOtherTargets reports whether there are targets in service besides the given one.
func (b *Balancer) HasOtherTargets(id string) bool {
	for t := range b.eachTarget() {
		if t.ID != id && t.State == catalogue.Ready {
			return true
		}
	}
	return false
}
