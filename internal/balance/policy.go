package balance

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Policy is the weights of the decisions. A mechanism is off where its weight says so, so
// that its worth can be measured. It is immutable. The zero Policy stands for the default
// one.
type Policy struct {
	// RereadWeight is what reading a part once more costs that another target keeps,
	// beyond its time and in multiples of it.
	RereadWeight float64
	// StallCostMs is what a pause that is too long costs for each stream that runs at the
	// target, as a predicted time in milliseconds.
	StallCostMs float64
	// HoldShare is the part of a call's aim for which it may be held back in all; 0 for
	// not at all.
	HoldShare float64
	// MinFetchTokens is the least of a prompt that a target fetches from another one; 0 for
	// no fetches.
	MinFetchTokens int
	// ListKept tells whether targets are asked what they keep where hosts cannot know.
	ListKept bool
	// ComfortShare is the part of the aim within which a call stays at home without a look
	// at other regions.
	ComfortShare float64
	// KeeperShare is the part of the aim within which the first byte must be expected
	// from the region that keeps a call's parts; 0 for no preference of that region.
	KeeperShare float64
	// SpillLevel is the part of its targets' capacity that a region uses before it sends
	// work away. Beyond it, prompts that are read hold up the streams that run beside them.
	SpillLevel float64
	// UrgentPauseShare, for calls of rank 0, and PauseShare, for others, are the parts of
	// the longest good pause that the mean pause of a region may reach when one more call
	// comes. Beyond it the pauses that are longer than the mean make streams late, and
	// long streams do not end in time.
	UrgentPauseShare float64
	PauseShare       float64
	// HeededShare is the part of their time left for which callers stay away when they are
	// told to.
	HeededShare float64
}

// DefaultPolicy returns the policy that hosts have without a setting.
func DefaultPolicy() Policy {
	return Policy{
		RereadWeight: 4, StallCostMs: 600, HoldShare: 0.4, MinFetchTokens: 1000, ListKept: true, ComfortShare: 0.5, KeeperShare: 0.95,
		SpillLevel: DefaultSpillLevel, UrgentPauseShare: 0.6, PauseShare: 0.4, HeededShare: 1.0 / 3,
	}
}

// WithoutFetches returns the policy without fetches between targets.
func (p Policy) WithoutFetches() Policy {
	p.MinFetchTokens = 0
	return p
}

// WithoutLists returns the policy without lists of what targets keep.
func (p Policy) WithoutCacheListing() Policy {
	p.ListKept = false
	return p
}

// WithoutKeepers returns the policy without regions that keep the parts of calls.
func (p Policy) WithoutRegionAffinity() Policy {
	p.KeeperShare = 0
	return p
}

// orDefault returns the default policy in place of the zero one.
func (p Policy) orDefault() Policy {
	if p == (Policy{}) {
		return DefaultPolicy()
	}
	return p
}

// UnmarshalJSON reads the fields that are there, and refuses unknown ones.
func (p *Policy) UnmarshalJSON(data []byte) error {
	type plain Policy
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode((*plain)(p))
}

// Limits of what a policy may say.
const (
	maxWeight      = 1000.0
	maxStallCostMs = 60_000.0
	maxPauseShare  = 100.0
)

// Check returns every wrong field, each with its path below the given one.
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
	problems.Require(p.MinFetchTokens >= 0, path+".MinFetchTokens", "expected no negative number, got %d", p.MinFetchTokens)
	problems.Require(p.UrgentPauseShare >= p.PauseShare, path+".UrgentPauseShare",
		"expected at least PauseShare, %g, as urgent calls go first, got %g", p.PauseShare, p.UrgentPauseShare)
	return problems
}

// strained reports whether streams pause so long that a call of the work's rank
// is better not begun.
func (p Policy) strained(w Work, pause time.Duration) bool {
	share := p.PauseShare
	if w.Priority == 0 {
		share = p.UrgentPauseShare
	}
	return w.MaxGap > 0 && pause > Scale(w.MaxGap, share)
}

// stallCost is the cost of so many streams that pause for too long.
func (p Policy) stallCost(streams float64) time.Duration {
	return fromMilliseconds(p.StallCostMs * streams)
}
