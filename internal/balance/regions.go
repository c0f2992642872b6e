package balance

import (
	"slices"
	"time"
)

const (
	// initialTrip is the time to another region and back before it was measured.
	initialTrip = 120 * time.Millisecond
	// stateAge is how long what a region says of itself is believed.
	stateAge = 3 * time.Second
	// sentMemory is how long calls that were sent to a region count on top of what
	// it says of itself.
	sentMemory = 400 * time.Millisecond
	// pauseAfterLoss is how long a region is left out after a call was lost on
	// the way there.
	pauseAfterLoss = 700 * time.Millisecond
	// pauseAfterRefusal is how long a region is not asked for calls of a service and a
	// rank that has refused one of them.
	pauseAfterRefusal = 150 * time.Millisecond
)

// Regions is what a host knows of the other regions. Its owner serialises the
// calls.
type Regions struct {
	regions map[string]*regionView
}

type regionView struct {
	services map[string]ServiceState
	at       time.Time
	trip     time.Duration
	sent     []sentWork
	out      time.Time              // not asked before
	refused  map[callSort]time.Time // calls for which it is not asked before
}

// callSort is the calls of one rank for a service. More urgent calls go before the others
// at targets, so that a refusal of one sort says nothing of another.
type callSort struct {
	service string
	rank    int
}

func sortOf(w Work) callSort { return callSort{service: w.Service, rank: min(w.Priority, ranksTold-1)} }

type sentWork struct {
	at      time.Time
	service string
	tokens  int
}

// NewRegions returns Regions that know of none.
func NewRegions() *Regions { return &Regions{regions: map[string]*regionView{}} }

func (r *Regions) view(region string) *regionView {
	v := r.regions[region]
	if v == nil {
		v = &regionView{trip: initialTrip, refused: map[callSort]time.Time{}}
		r.regions[region] = v
	}
	return v
}

// Take notes what a region says of itself.
func (r *Regions) Update(now time.Time, region string, services map[string]ServiceState) {
	v := r.view(region)
	v.services, v.at = services, now
}

// Sent notes that a call goes to a region.
func (r *Regions) CountSent(now time.Time, region string, w Work) {
	v := r.view(region)
	v.sent = slices.DeleteFunc(v.sent, func(s sentWork) bool { return now.Sub(s.at) > sentMemory })
	v.sent = append(v.sent, sentWork{at: now, service: w.Service, tokens: w.Tokens})
}

// Trip notes a measured time to a region and back.
func (r *Regions) ObserveRoundTrip(region string, d time.Duration) {
	v := r.view(region)
	v.trip += time.Duration(learnShare * float64(d-v.trip))
}

// Lost notes that a call was lost on the way to a region.
func (r *Regions) MarkLost(now time.Time, region string) {
	r.view(region).out = now.Add(pauseAfterLoss)
}

// RefusedBy notes that a region has refused a call.
func (r *Regions) MarkRefused(now time.Time, region string, w Work) {
	r.view(region).refused[sortOf(w)] = now.Add(pauseAfterRefusal)
}

// Options returns the regions that may be asked for a call. A region that is
// live but has not said anything of itself is taken for idle when unknown is set.
func (r *Regions) Candidates(now time.Time, live []string, w Work, unknown bool) []RegionCandidate {
	var out []RegionCandidate
	for _, region := range live {
		v := r.view(region)
		if now.Before(v.out) || now.Before(v.refused[sortOf(w)]) {
			continue
		}
		if now.Sub(v.at) > stateAge {
			if unknown {
				out = append(out, RegionCandidate{Region: region, Processing: initialSpan, RoundTrip: v.trip})
			}
			continue
		}
		if s, ok := v.services[w.Service]; ok && s.Targets > 0 {
			out = append(out, v.away(now, region, s, w))
		}
	}
	return out
}

// Basins returns the demand and capacity of the given regions for a service, as
// far as they were told lately.
func (r *Regions) Loads(now time.Time, options []RegionCandidate, service string) []RegionLoad {
	var out []RegionLoad
	for _, a := range options {
		v := r.view(a.Region)
		if s, ok := v.services[service]; ok && now.Sub(v.at) <= stateAge {
			out = append(out, RegionLoad{Region: a.Region, Targets: s.Targets, Demand: float64(s.Demand), Capacity: float64(s.Capacity)})
		}
	}
	return out
}

func (v *regionView) away(now time.Time, region string, s ServiceState, w Work) RegionCandidate {
	a := RegionCandidate{Region: region, RoundTrip: v.trip, Pause: time.Duration(s.PauseMs) * time.Millisecond, Wait: time.Duration(s.WaitMs[min(w.Priority, 1)]) * time.Millisecond}
	tokens := 0
	for _, sent := range v.sent {
		if sent.service == w.Service && now.Sub(sent.at) <= sentMemory {
			tokens += sent.tokens
		}
	}
	if w.Tokens == 0 {
		a.Processing = time.Duration(s.DurationMs) * time.Millisecond
		return a
	}
	a.Rate = float64(max(1, s.Rate)) / float64(s.Targets)
	a.Wait += fromMilliseconds(float64(tokens) / float64(max(1, s.Rate)))
	a.Processing = baseSpan + fromMilliseconds(float64(w.Tokens)/a.Rate)
	return a
}
