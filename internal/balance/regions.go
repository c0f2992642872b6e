package balance

import (
	"slices"
	"time"
)

const (
	// initialRoundTrip is the assumed round trip to another region before it has been
	// measured.
	initialRoundTrip = 120 * time.Millisecond
	// stateTTL is how long the state that a region reports is valid.
	stateTTL = 3 * time.Second
	// sentWindow is how long calls that were sent to a region are added to the state that
	// it reports.
	sentWindow = 400 * time.Millisecond
	// lossBackoff is how long a region is avoided that counts as lost.
	lossBackoff = 700 * time.Millisecond
	// minSilentHosts is the number of hosts of a region whose silence, while nothing else is heard from
	// it, counts as its loss. The silence of fewer says something of these hosts.
	minSilentHosts = 2
	// refusalBackoff is how long a region that has refused a call gets no calls of the same
	// service and priority class.
	refusalBackoff = 150 * time.Millisecond
)

// Regions tracks the state of the other regions. It is not safe for concurrent use.
type Regions struct {
	regions map[string]*regionState
}

type regionState struct {
	services     map[string]ServiceState
	updatedAt    time.Time
	roundTrip    time.Duration
	sent         []sentWork
	avoidUntil   time.Time               // the region is avoided until then
	refusedUntil map[callClass]time.Time // calls of a class are not sent there until then
	silentHosts  map[string]bool         // hosts that have failed in silence since the last message from the region
}

// callClass is the calls of one priority class for a service. Targets run more urgent calls
// first, so the refusal of one class does not imply that of another.
type callClass struct {
	service  string
	priority int
}

func classOf(w Work) callClass {
	return callClass{service: w.Service, priority: priorityClass(w.Priority)}
}

type sentWork struct {
	at      time.Time
	service string
	tokens  int
}

// NewRegions returns Regions without any state.
func NewRegions() *Regions { return &Regions{regions: map[string]*regionState{}} }

func (r *Regions) state(region string) *regionState {
	s := r.regions[region]
	if s == nil {
		s = &regionState{roundTrip: initialRoundTrip, refusedUntil: map[callClass]time.Time{}, silentHosts: map[string]bool{}}
		r.regions[region] = s
	}
	return s
}

// Update records the state that a region reports.
func (r *Regions) Update(now time.Time, region string, services map[string]ServiceState) {
	s := r.state(region)
	s.services, s.updatedAt = services, now
	clear(s.silentHosts)
}

// CountSent records that a call is sent to a region.
func (r *Regions) CountSent(now time.Time, region string, w Work) {
	s := r.state(region)
	s.sent = slices.DeleteFunc(s.sent, func(sent sentWork) bool { return now.Sub(sent.at) > sentWindow })
	s.sent = append(s.sent, sentWork{at: now, service: w.Service, tokens: w.Tokens})
}

// ObserveRoundTrip records a measured round trip to a region.
func (r *Regions) ObserveRoundTrip(region string, d time.Duration) {
	s := r.state(region)
	s.roundTrip += time.Duration(sampleWeight * float64(d-s.roundTrip))
}

// MarkLost records that no host of a region can be reached.
func (r *Regions) MarkLost(now time.Time, region string) {
	r.state(region).avoidUntil = now.Add(lossBackoff)
}

// MarkSilent records that a call that was sent at a time to a host of a region failed and nothing came back.
// It reports whether the region counts as lost: several of its hosts are silent, and no message has come from
// the region since.
func (r *Regions) MarkSilent(now, sentAt time.Time, region, host string) bool {
	s := r.state(region)
	if s.updatedAt.After(sentAt) {
		return false
	}
	s.silentHosts[host] = true
	if len(s.silentHosts) < minSilentHosts {
		return false
	}
	r.MarkLost(now, region)
	return true
}

// MarkRefused records that a region has refused a call.
func (r *Regions) MarkRefused(now time.Time, region string, w Work) {
	r.state(region).refusedUntil[classOf(w)] = now.Add(refusalBackoff)
}

// Candidates returns the live regions that may serve a call. With includeUnknown, a region
// without a valid state report is assumed to be idle; otherwise it is omitted.
func (r *Regions) Candidates(now time.Time, live []string, w Work, includeUnknown bool) []RegionCandidate {
	var out []RegionCandidate
	for _, region := range live {
		s := r.state(region)
		if now.Before(s.avoidUntil) || now.Before(s.refusedUntil[classOf(w)]) {
			continue
		}
		if now.Sub(s.updatedAt) > stateTTL {
			if includeUnknown {
				out = append(out, RegionCandidate{Region: region, Processing: initialDuration, RoundTrip: s.roundTrip})
			}
			continue
		}
		if service, ok := s.services[w.Service]; ok && service.Targets > 0 {
			out = append(out, s.candidate(now, region, service, w))
		}
	}
	return out
}

// Loads returns the demand and capacity for a service of those candidates that have
// reported them lately.
func (r *Regions) Loads(now time.Time, candidates []RegionCandidate, service string) []RegionLoad {
	var out []RegionLoad
	for _, c := range candidates {
		s := r.state(c.Region)
		if load, ok := s.services[service]; ok && now.Sub(s.updatedAt) <= stateTTL {
			out = append(out, RegionLoad{Region: c.Region, Targets: load.Targets, Demand: float64(load.Demand), Capacity: float64(load.Capacity)})
		}
	}
	return out
}

func (r *regionState) candidate(now time.Time, region string, s ServiceState, w Work) RegionCandidate {
	c := RegionCandidate{Region: region, RoundTrip: r.roundTrip, Pause: time.Duration(s.PauseMs) * time.Millisecond, Wait: time.Duration(s.WaitMs[priorityClass(w.Priority)]) * time.Millisecond}
	tokens := 0
	for _, sent := range r.sent {
		if sent.service == w.Service && now.Sub(sent.at) <= sentWindow {
			tokens += sent.tokens
		}
	}
	if w.Tokens == 0 {
		c.Processing = time.Duration(s.DurationMs) * time.Millisecond
		return c
	}
	c.Rate = float64(max(1, s.Rate)) / float64(s.Targets)
	c.Wait += fromMilliseconds(float64(tokens) / float64(max(1, s.Rate)))
	c.Processing = firstByteOverhead + fromMilliseconds(float64(w.Tokens)/c.Rate)
	return c
}
