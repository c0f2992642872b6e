package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SpillLevel is the part of its targets' capacity that a region uses before it sends
// work away, by the default policy.
const DefaultSpillLevel = 0.35

// Flows are what one host, or the hosts of a region together, do for a service,
// in units of work a second.
type Flows struct {
	// Begun is what targets of the region were given.
	Started float64 `cbor:"1,keyasint"`
	// Spilled is what was sent away for want of capacity.
	Spilled float64 `cbor:"2,keyasint"`
	// Received is what other regions sent here for want of capacity.
	Received float64 `cbor:"3,keyasint"`
}

// Demand is the work that the region's own callers bring.
func (f Flows) Demand() float64 { return max(0, f.Started+f.Spilled-f.Received) }

func (f Flows) plus(o Flows) Flows {
	return Flows{Started: f.Started + o.Started, Spilled: f.Spilled + o.Spilled, Received: f.Received + o.Received}
}

// Basin is a region's demand and capacity for a service.
type RegionLoad struct {
	Region   string
	Targets  int
	Demand   float64
	Capacity float64
}

// minKeptTokens is the length of shared parts from which a call is worth sending
// to the region that keeps them: reading them again takes about as long as the
// way there and back.
const minKeptTokens = 2000

// Keeper returns the region that keeps the shared parts of a call, so that the
// same parts are read in one region only. Regions keep parts by the number of
// their targets. There is none for calls that share little.
func AffinityRegion(w Work, basins []RegionLoad) string {
	if sharedTokens(w) < minKeptTokens {
		return ""
	}
	last := w.Parts[len(w.Parts)-2].ID
	best, score := "", 0.0
	for _, b := range basins {
		h := mix(last ^ xxhash.Sum64String(b.Region))
		unit := (float64(h>>11) + 1) / (1 << 53)
		if s := -float64(b.Targets) / math.Log(unit); b.Targets > 0 && (best == "" || s > score) {
			best, score = b.Region, s
		}
	}
	return best
}

// Spill returns the shares by the default policy.
func SpillShares(home RegionLoad, others []RegionLoad) map[string]float64 {
	return DefaultPolicy().SpillShares(home, others)
}

// Spill returns the shares of the home region's work that go to other regions,
// by region. All regions that know the same figures come to shares that fit
// together: what overflows somewhere fills what is free elsewhere, up to a level
// that is the same everywhere.
func (p Policy) SpillShares(home RegionLoad, others []RegionLoad) map[string]float64 {
	demand, capacity := home.Demand, home.Capacity
	for _, b := range others {
		demand += b.Demand
		capacity += b.Capacity
	}
	if capacity <= 0 || home.Demand <= 0 {
		return nil
	}
	level := max(p.orDefault().SpillLevel, demand/capacity)
	over := max(0, home.Demand-level*home.Capacity)
	free := 0.0
	for _, b := range others {
		free += max(0, level*b.Capacity-b.Demand)
	}
	if over <= 0 || free <= 0 {
		return nil
	}
	out := map[string]float64{}
	for _, b := range others {
		if room := level*b.Capacity - b.Demand; room > 0 {
			out[b.Region] = min(1, over/home.Demand) * room / free
		}
	}
	return out
}

// spillTo returns the region that a call goes to by the shares, or none. Calls
// that share parts go the same way, so that what targets keep of them is used.
func spillTo(shares map[string]float64, regions []RegionCandidate, w Work) (RegionCandidate, bool) {
	at := float64(spillKey(w)%spillSteps) / spillSteps
	for _, a := range regions {
		if at < shares[a.Region] {
			return a, true
		}
		at -= shares[a.Region]
	}
	return RegionCandidate{}, false
}

// spillSteps is how finely calls are divided between regions.
const spillSteps = 4096

func spillKey(w Work) uint64 {
	if len(w.Parts) > 1 {
		return xxhash.Sum64String("spill") ^ mix(w.Parts[len(w.Parts)-2].ID)
	}
	return mix(xxhash.Sum64String(w.Key))
}

// mix spreads an ID over all bits.
func mix(id uint64) uint64 {
	id ^= id >> 33
	id *= 0xff51afd7ed558ccd
	id ^= id >> 33
	id *= 0xc4ceb9fe1a85ec53
	return id ^ id>>33
}

// serviceFlows are the flows of one host for a service.
type serviceFlows struct{ begun, spilled, received flow }

func (s *serviceFlows) now(now time.Time) Flows {
	return Flows{Started: s.begun.rate(now), Spilled: s.spilled.rate(now), Received: s.received.rate(now)}
}
