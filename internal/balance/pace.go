package balance

import (
	"math"
	"slices"
	"time"
)

// The speeds of a service's targets may differ by a factor of three and change. One host of a
// large region sends too few calls to each target to measure that soon. The reports of starts and
// first bytes that reach a target's coordinator show how long the target takes to read the prompts
// of all hosts. The coordinator derives the reading rate from them and adds it to its replies and
// reports.

const (
	// paceWindow is the reading time after which a measurement has lost most of its weight.
	paceWindow = 1500 * time.Millisecond
	// minPaceTime is the reading time from which the measured rate is used.
	minPaceTime = 200 * time.Millisecond
	// paceTTL is how long a reported rate holds: longer than many reports may be lost.
	paceTTL = 20 * time.Second
	// paceUnit is the number of tokens per second that a unit of a reported rate stands for.
	paceUnit = 100
)

// pace measures how fast a target reads the prompts of all hosts.
type pace struct {
	tokens  float64 // read, by weight
	ms      float64 // taken for them
	backlog int
	since   time.Time // when the unmeasured part of the busy period began
	read    int       // tokens read since then
	first   bool      // the unmeasured part contains the first prompt of the busy period
}

// update records the number of tokens that the target has still to read, and how many of those
// that it had before it has read.
func (p *pace) update(now time.Time, backlog, read int) {
	if p.backlog == 0 && read == 0 {
		p.since, p.read, p.first = now, 0, true
	}
	p.read += read
	if read > 0 {
		p.measure(now)
	}
	p.backlog = backlog
}

// measure adds what was read since the last measurement.
func (p *pace) measure(now time.Time) {
	taken := now.Sub(p.since)
	if p.first {
		taken -= min(firstByteOverhead, taken/2)
	}
	decay := math.Exp(-float64(taken) / float64(paceWindow))
	p.tokens, p.ms = p.tokens*decay+float64(p.read), p.ms*decay+milliseconds(taken)
	p.since, p.read, p.first = now, 0, false
}

// rate returns the tokens that the target reads per millisecond, or false if too little was
// observed.
func (p *pace) rate() (float64, bool) {
	if p.ms < milliseconds(minPaceTime) {
		return 0, false
	}
	return min(max(p.tokens/p.ms, minReadRate), maxReadRate), true
}

// reportedPace is the rate that a target's coordinator has reported.
type reportedPace struct {
	rate float64
	at   time.Time
}

// updatePace records the prompts that wait at the target. Read is the number of tokens that it has
// just read.
func (t *target) updatePace(now time.Time, read int) {
	backlog := 0
	for f := range t.inFlight {
		if !f.firstByteSeen {
			backlog += f.unread
		}
	}
	for _, s := range t.peerShares {
		if s.valid(now) {
			backlog += s.backlog(priorityClasses)
		}
	}
	t.pace.update(now, backlog, read)
}

// PacesOf returns the measured reading rates of targets that the host coordinates, ordered by ID, in
// units of 100 tokens per second. A rate that is not known is 0. The list is empty if none is.
func (b *Balancer) PacesOf(now time.Time, ids []string) []int {
	ids = slices.Sorted(slices.Values(ids))
	out, known := make([]int, 0, len(ids)), false
	for _, id := range ids {
		unit := 0
		if t := b.targets[id]; t != nil && b.policy.SharedPaces {
			if rate, ok := t.pace.rate(); ok {
				unit, known = int(rate*t.slowdown(now)*1000/paceUnit), true
			}
		}
		out = append(out, unit)
	}
	if !known {
		return nil
	}
	return out
}

// ApplyPaces records the rates that a coordinator has reported for targets. It ignores lists of another
// length.
func (b *Balancer) ApplyPaces(now time.Time, ids []string, paces []int) {
	if len(ids) != len(paces) || !b.policy.SharedPaces {
		return
	}
	for i, id := range slices.Sorted(slices.Values(ids)) {
		if t := b.targets[id]; t != nil && paces[i] > 0 {
			t.reportedPace = reportedPace{rate: min(max(float64(paces[i])*paceUnit/1000, minReadRate), maxReadRate), at: now}
		}
	}
}

// expirePaces drops the rates that their coordinators have not reported again.
func (b *Balancer) expirePaces(now time.Time) {
	for _, t := range b.targets {
		if now.Sub(t.reportedPace.at) >= paceTTL {
			t.reportedPace = reportedPace{}
		}
	}
}

// selectPaces decides for each target whether the host's own measurement counts: the one of its
// coordinator does.
func (b *Balancer) selectPaces() {
	for _, t := range b.targets {
		b.selectPace(t)
	}
}

func (b *Balancer) selectPace(t *target) {
	shared := b.policy.SharedPaces && b.Coordinated() && t.assigned.host == b.hosts.Self
	if shared && !t.paceShared {
		t.pace = pace{} // so far it was that of the host's own calls
	}
	t.paceShared = shared
}

// rereadRate returns the rate by which the cost of reading parts again at a target is measured. It is the mean
// of the rates that coordinators have measured, if they have for most targets: by the rate of each target,
// fast ones would read more parts again.
func (b *Balancer) rereadRate(now time.Time, t *target) float64 {
	if !b.policy.SharedPaces {
		return t.effectiveRate(now) // no rate is shared, and this runs for each candidate of each decision
	}
	sum, known, all := 0.0, 0, b.services[t.Service]
	for _, other := range all {
		if rate, ok := other.sharedRate(); ok {
			sum += rate
			known++
		}
	}
	if 2*known <= len(all) {
		return t.effectiveRate(now)
	}
	return sum / float64(known)
}

// sharedRate returns the reading rate that the target's coordinator has measured, which may be this
// host.
func (t *target) sharedRate() (float64, bool) {
	if t.paceShared {
		if rate, ok := t.pace.rate(); ok {
			return rate, true
		}
	}
	return t.reportedPace.rate, t.reportedPace.rate > 0
}
