package balance

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Policy holds the weights of the decisions. Where a field says so, a weight can disable
// its mechanism, so that its effect can be measured. A Policy is immutable. The zero Policy
// stands for the default one.
type Policy struct {
	// RereadWeight is the extra cost of reading parts again that another target has cached,
	// as a multiple of the reading time.
	RereadWeight float64
	// StallCostMs is the cost, in milliseconds of predicted time, of a pause that is too
	// long, for each stream at the target.
	StallCostMs float64
	// HoldShare is the share of a call's latency objective for which the call may be held
	// back in total; 0 disables holding.
	HoldShare float64
	// MinFetchTokens is the smallest number of prompt tokens that a target fetches from
	// another one; 0 disables fetching.
	MinFetchTokens int
	// ListKept enables asking targets which parts they have cached when hosts cannot know
	// it.
	ListKept bool
	// ComfortShare is the share of the latency objective within which a call stays in its
	// own region without a comparison with other regions.
	ComfortShare float64
	// KeeperShare is the share of the latency objective within which the first byte must be
	// expected from the call's affinity region, the region that caches the call's parts; 0
	// disables the preference for that region.
	KeeperShare float64
	// SpillLevel is the share of its targets' capacity that a region uses before it sends
	// work to other regions. Above it, reading prompts delays the streams that run at the
	// same targets.
	SpillLevel float64
	// UrgentPauseShare, for calls of priority 0, and PauseShare, for all others, are the
	// shares of the longest acceptable pause that a region's mean pause may reach when
	// another call starts. Above them the pauses that are longer than the mean make streams
	// late, and long streams do not end in time.
	UrgentPauseShare float64
	PauseShare       float64
	// HeededShare is the longest Retry-After that callers respect, as a share of the time
	// left until their deadline.
	HeededShare float64
	// SampleSpread is how much the targets that a host of a large region queries vary, in
	// multiples of the age of its load reports; 0 disables the sampling, so that the targets with
	// the lowest predicted times are queried.
	SampleSpread float64
	// SharedPaces makes coordinators measure the reading rates of their targets for all hosts.
	SharedPaces bool
	// AvoidFull makes hosts send nothing to full targets that refuse calls, as long as others
	// have free slots.
	AvoidFull bool
}

// DefaultPolicy returns the policy of hosts that have none in their settings.
func DefaultPolicy() Policy {
	return Policy{
		RereadWeight: 4, StallCostMs: 600, HoldShare: 0.4, MinFetchTokens: 1000, ListKept: true, ComfortShare: 0.5, KeeperShare: 0.95,
		SpillLevel: DefaultSpillLevel, UrgentPauseShare: 0.6, PauseShare: 0.4, HeededShare: 1.0 / 3,
	}
}

// WithoutFetches returns the policy with fetches between targets disabled.
func (p Policy) WithoutFetches() Policy {
	p.MinFetchTokens = 0
	return p
}

// WithoutCacheListing returns the policy with ListKept disabled.
func (p Policy) WithoutCacheListing() Policy {
	p.ListKept = false
	return p
}

// WithoutRegionAffinity returns the policy with affinity regions disabled.
func (p Policy) WithoutRegionAffinity() Policy {
	p.KeeperShare = 0
	return p
}

// WithEvenLoad returns the policy with measured speeds, sampled queries and the avoidance of full targets.
func (p Policy) WithEvenLoad() Policy {
	p.SampleSpread, p.SharedPaces, p.AvoidFull = defaultSpread, true, true
	return p
}

// orDefault returns p, or the default policy if p is zero.
func (p Policy) orDefault() Policy {
	if p == (Policy{}) {
		return DefaultPolicy()
	}
	return p
}

// UnmarshalJSON sets the fields that are present and rejects unknown ones.
func (p *Policy) UnmarshalJSON(data []byte) error {
	type plain Policy
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode((*plain)(p))
}

// defaultSpread is the SampleSpread of WithEvenLoad.
const defaultSpread = 0.2

// Upper bounds of policy fields.
const (
	maxWeight      = 1000.0
	maxStallCostMs = 60_000.0
	maxPauseShare  = 100.0
	maxSpread      = 100.0
)

// Check returns all invalid fields, each with its path below the given one.
func (p Policy) Check(path string) failure.Problems {
	var problems failure.Problems
	within := func(name string, value, least, most float64) {
		problems.Require(value >= least && value <= most, path+"."+name, "expected a number from %g to %g, got %g", least, most, value)
	}
	within("RereadWeight", p.RereadWeight, 0, maxWeight)
	within("StallCostMs", p.StallCostMs, 0, maxStallCostMs)
	within("HoldShare", p.HoldShare, 0, 1)
	within("ComfortShare", p.ComfortShare, 0, 1)
	within("KeeperShare", p.KeeperShare, 0, 1)
	within("SpillLevel", p.SpillLevel, 0, 1)
	within("UrgentPauseShare", p.UrgentPauseShare, 0, maxPauseShare)
	within("PauseShare", p.PauseShare, 0, maxPauseShare)
	within("HeededShare", p.HeededShare, 0, 1)
	within("SampleSpread", p.SampleSpread, 0, maxSpread)
	problems.Require(p.MinFetchTokens >= 0, path+".MinFetchTokens", "expected no negative number, got %d", p.MinFetchTokens)
	problems.Require(p.UrgentPauseShare >= p.PauseShare, path+".UrgentPauseShare",
		"expected at least PauseShare, %g, as urgent calls go first, got %g", p.PauseShare, p.UrgentPauseShare)
	return problems
}

// strained reports whether streams pause for so long that a call with the priority of the
// work should not be started.
func (p Policy) strained(w Work, pause time.Duration) bool {
	share := p.PauseShare
	if w.Priority == 0 || w.Urgent {
		share = p.UrgentPauseShare
	}
	return w.MaxGap > 0 && pause > Scale(w.MaxGap, share)
}

// stallCost returns the cost of the given number of stalled streams.
func (p Policy) stallCost(streams float64) time.Duration {
	return fromMilliseconds(p.StallCostMs * streams)
}
