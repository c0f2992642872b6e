package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultSpillLevel is the SpillLevel of the default policy.
const DefaultSpillLevel = 0.35

// Flows are the rates at which one host, or all hosts of a region together, start and
// forward work for a service. They are in units of work per second: prompt tokens to read
// for calls with a prompt, else milliseconds.
type Flows struct {
	// Started is the work sent to targets of the region.
	Started float64 `cbor:"1,keyasint"`
	// Spilled is the work sent to other regions for lack of capacity.
	Spilled float64 `cbor:"2,keyasint"`
	// Received is the work that other regions sent here for lack of capacity.
	Received float64 `cbor:"3,keyasint"`
}

// Demand returns the work of the region's own callers.
func (f Flows) Demand() float64 { return max(0, f.Started+f.Spilled-f.Received) }

func (f Flows) plus(o Flows) Flows {
	return Flows{Started: f.Started + o.Started, Spilled: f.Spilled + o.Spilled, Received: f.Received + o.Received}
}

// RegionLoad is a region's demand and capacity for a service.
type RegionLoad struct {
	Region   string
	Targets  int
	Demand   float64
	Capacity float64
}

// minAffinityTokens is the length of shared parts from which a call is worth sending to the
// region that caches them: reading this many tokens takes about as long as the round trip.
const minAffinityTokens = 2000

// AffinityRegion returns the region that caches the shared parts of a call, so that these
// parts are read in one region only. Regions are selected by rendezvous hashing, weighted
// by the number of their targets. The result is empty for calls with few shared tokens.
func AffinityRegion(w Work, loads []RegionLoad) string {
	if sharedTokens(w) < minAffinityTokens {
		return ""
	}
	lastShared := w.Parts[len(w.Parts)-2].ID
	best, bestScore := "", 0.0
	for _, l := range loads {
		hash := mix(lastShared ^ xxhash.Sum64String(l.Region))
		unit := (float64(hash>>11) + 1) / (1 << 53)
		if score := -float64(l.Targets) / math.Log(unit); l.Targets > 0 && (best == "" || score > bestScore) {
			best, bestScore = l.Region, score
		}
	}
	return best
}

// SpillShares returns the shares under the default policy.
func SpillShares(home RegionLoad, others []RegionLoad) map[string]float64 {
	return DefaultPolicy().SpillShares(home, others)
}

// SpillShares returns the shares of the home region's work that go to other regions, by
// region. All regions with the same information compute shares that add up: the excess of
// overloaded regions fills the spare capacity of the others, up to a level that is the same
// everywhere.
func (p Policy) SpillShares(home RegionLoad, others []RegionLoad) map[string]float64 {
	demand, capacity := home.Demand, home.Capacity
	for _, region := range others {
		demand += region.Demand
		capacity += region.Capacity
	}
	if capacity <= 0 || home.Demand <= 0 {
		return nil
	}
	level := max(p.orDefault().SpillLevel, demand/capacity)
	excess := max(0, home.Demand-level*home.Capacity)
	free := 0.0
	for _, region := range others {
		free += max(0, level*region.Capacity-region.Demand)
	}
	if excess <= 0 || free <= 0 {
		return nil
	}
	out := map[string]float64{}
	for _, region := range others {
		if spare := level*region.Capacity - region.Demand; spare > 0 {
			out[region.Region] = min(1, excess/home.Demand) * spare / free
		}
	}
	return out
}

// spillTo returns the region that a call goes to under the given shares, or false if it
// goes to none. Calls with the same shared parts go to the same region, to make use of what
// targets there have cached.
func spillTo(shares map[string]float64, regions []RegionCandidate, w Work) (RegionCandidate, bool) {
	point := float64(spillHash(w)%spillSteps) / spillSteps
	for _, c := range regions {
		if point < shares[c.Region] {
			return c, true
		}
		point -= shares[c.Region]
	}
	return RegionCandidate{}, false
}

// spillSteps is the resolution with which calls are divided between regions.
const spillSteps = 4096

func spillHash(w Work) uint64 {
	if len(w.Parts) > 1 {
		return xxhash.Sum64String("spill") ^ mix(w.Parts[len(w.Parts)-2].ID)
	}
	return mix(xxhash.Sum64String(w.Key))
}

// mix distributes the entropy of an ID over all bits.
func mix(id uint64) uint64 {
	id ^= id >> 33
	id *= 0xff51afd7ed558ccd
	id ^= id >> 33
	id *= 0xc4ceb9fe1a85ec53
	return id ^ id>>33
}

// serviceFlows are the flows of one host for a service.
type serviceFlows struct{ started, spilled, received rateMeter }

func (s *serviceFlows) rates(now time.Time) Flows {
	return Flows{Started: s.started.rate(now), Spilled: s.spilled.rate(now), Received: s.received.rate(now)}
}
