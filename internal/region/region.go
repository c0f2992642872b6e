// Package region decides whether a call is served in the region where it arrived or is
// forwarded, at most once, to another region. The package does no I/O.
package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// Remote is the known state of another region.
type Remote struct {
	Region  string
	Summary placement.Summary
	// Known is false if no summary has come from the region for a while, for example
	// because the link to it is cut.
	Known  bool
	OneWay time.Duration // one-way network latency
}

// Input is a call and the state on which the decision depends.
type Input struct {
	Region  string   // of this host
	Allowed []string // regions that the residency permits
	Passed  core.Hops
	// Received is set if another host forwarded the call. Such a call is never forwarded
	// again.
	Received bool
	Local    placement.Summary
	Remotes  []Remote
	Budget   time.Duration // longest acceptable wait for the first byte
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	// Serve means that the call is served in this region.
	Serve Verdict = iota
	// Forward means that the call is sent to Decision.Region.
	Forward
	// Refuse means that the call cannot be served, or not under its residency.
	Refuse
)

// Decision is the result for an Input.
type Decision struct {
	Verdict Verdict
	Region  string      // set for Forward
	Reason  core.Reason // set for Refuse
}

const (
	spillStartShare = 0.8                    // of the budget; a longer local wait starts spilling
	spillStopShare  = 0.4                    // of the budget; a wait no longer than this ends spilling
	minImprovement  = 100 * time.Millisecond // by which the delay of another region must be shorter
)

// Chooser decides on the calls of one service. It records whether calls currently spill to
// other regions. It is not safe for concurrent use.
type Chooser struct {
	spilling bool
}

// Choose decides where a call is served.
func (c *Chooser) Choose(in Input) Decision {
	permitted := residency.Permits(in.Allowed, in.Region)
	if in.Received {
		if !permitted {
			return Decision{Verdict: Refuse, Reason: core.ReasonResidency}
		}
		return Decision{Verdict: Serve}
	}
	if len(in.Allowed) == 0 {
		return Decision{Verdict: Refuse, Reason: core.ReasonResidency}
	}
	if !permitted || in.Local.Usable == 0 {
		return forward(in, permitted)
	}
	if !c.shouldSpill(in) {
		return Decision{Verdict: Serve}
	}
	return spill(in)
}

// forward decides on a call that has no permitted target in this region. It prefers a region
// that is known to have usable targets to one of unknown state. Without either, the call is
// served here if the residency permits it.
func forward(in Input, permitted bool) Decision {
	for _, known := range []bool{true, false} {
		if best, ok := bestRemote(in, known); ok {
			return Decision{Verdict: Forward, Region: best.Region}
		}
	}
	if permitted {
		return Decision{Verdict: Serve}
	}
	return Decision{Verdict: Refuse, Reason: core.ReasonNoTarget}
}

// shouldSpill reports, with hysteresis, whether the local wait is too close to the budget.
func (c *Chooser) shouldSpill(in Input) bool {
	wait := time.Duration(in.Local.WaitMs) * time.Millisecond
	limit := scale(in.Budget, spillStartShare)
	if c.spilling {
		limit = scale(in.Budget, spillStopShare)
	}
	c.spilling = wait > limit
	return c.spilling
}

func scale(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// Fallback returns another region for a call that was refused here for lack of capacity and
// was not run. That region must have a free slot, and its delay must fit into the budget.
func Fallback(in Input) (string, bool) {
	if in.Received {
		return "", false
	}
	best, ok := bestRemote(in, true)
	if !ok || delay(best) > in.Budget || best.Summary.Busy >= best.Summary.Slots {
		return "", false
	}
	return best.Region, true
}

// spill forwards a share of the calls to the best other region. The share grows with the free
// slots there, so that not all hosts forward all their calls at once.
func spill(in Input) Decision {
	wait := time.Duration(in.Local.WaitMs) * time.Millisecond
	best, ok := bestRemote(in, true)
	if !ok || delay(best)+minImprovement > wait {
		return Decision{Verdict: Serve}
	}
	free := float64(best.Summary.Slots - best.Summary.Busy)
	if free <= 0 || in.Draw > free/(free+float64(max(1, in.Local.Queued))) {
		return Decision{Verdict: Serve}
	}
	return Decision{Verdict: Forward, Region: best.Region}
}

// delay returns the expected delay of a call that is forwarded to the region: the network
// round trip and the wait there.
func delay(r Remote) time.Duration {
	return 2*r.OneWay + time.Duration(r.Summary.WaitMs)*time.Millisecond
}

// bestRemote returns the region with the shortest delay among those that the residency
// permits and the call has not passed. With known set, it considers only regions with known
// state and usable targets; otherwise, only regions of unknown state.
func bestRemote(in Input, known bool) (Remote, bool) {
	candidates := make([]Remote, 0, len(in.Remotes))
	for _, r := range in.Remotes {
		if !residency.Permits(in.Allowed, r.Region) || in.Passed.HasRegion(r.Region) || r.Region == in.Region {
			continue
		}
		if known && (!r.Known || r.Summary.Usable == 0) || !known && r.Known {
			continue
		}
		candidates = append(candidates, r)
	}
	if len(candidates) == 0 {
		return Remote{}, false
	}
	return slices.MinFunc(candidates, func(a, b Remote) int {
		return cmp.Or(cmp.Compare(delay(a), delay(b)), cmp.Compare(a.Region, b.Region))
	}), true
}
