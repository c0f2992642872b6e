// Package region decides whether a call is served in the region where it
// arrived or is sent, once, to another one. The package does no I/O.
package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// Remote is what is known of another region.
type Remote struct {
	Region  string
	Summary placement.Summary
	// Known is false when nothing was heard of the region for a while, as on the
	// far side of a cut link.
	Known  bool
	OneWay time.Duration
}

// Input is a call and the state that it is decided under.
type Input struct {
	Region  string   // where the call is
	Allowed []string // by residency
	Passed  core.Hops
	// Received is set on a call that came from another host, which is never
	// sent on.
	Received bool
	Local    placement.Summary
	Remotes  []Remote
	Budget   time.Duration // of the wait for the first byte
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	// Serve means to serve the call here.
	Serve Verdict = iota
	// Forward means to send it to Decision.Region.
	Forward
	// Refuse means that it cannot be served.
	Refuse
)

// Decision answers an Input.
type Decision struct {
	Verdict Verdict
	Region  string
	Reason  core.Reason
}

const (
	startShare = 0.8                    // of the budget: the local wait that starts sending away
	stopShare  = 0.4                    // of the budget: the local wait that ends it
	margin     = 100 * time.Millisecond // by which another region must be better
)

// Chooser decides for one service. It remembers whether calls are being sent
// away. Its owner is one goroutine.
type Chooser struct {
	away bool
}

// Choose decides on a call.
func (c *Chooser) Choose(in Input) Decision {
	here := residency.Permits(in.Allowed, in.Region)
	if in.Received {
		if !here {
			return Decision{Verdict: Refuse, Reason: core.ReasonResidency}
		}
		return Decision{Verdict: Serve}
	}
	if len(in.Allowed) == 0 {
		return Decision{Verdict: Refuse, Reason: core.ReasonResidency}
	}
	if !here || in.Local.Usable == 0 {
		return elsewhere(in, here)
	}
	if !c.crowded(in) {
		return Decision{Verdict: Serve}
	}
	return spill(in)
}

// elsewhere sends a call away that cannot be served here: to a region that is
// known to have targets in use, else to one that nothing is known of.
func elsewhere(in Input, here bool) Decision {
	for _, usable := range []bool{true, false} {
		if best, ok := nearest(in, usable); ok {
			return Decision{Verdict: Forward, Region: best.Region}
		}
	}
	if here {
		return Decision{Verdict: Serve}
	}
	return Decision{Verdict: Refuse, Reason: core.ReasonNoTarget}
}

// crowded reports, with hysteresis, whether the wait here threatens the budget.
func (c *Chooser) crowded(in Input) bool {
	wait := time.Duration(in.Local.WaitMs) * time.Millisecond
	limit := share(in.Budget, startShare)
	if c.away {
		limit = share(in.Budget, stopShare)
	}
	c.away = wait > limit
	return c.away
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}

// Fallback returns another region for a call that was refused here for want of
// room and was not run. The trip and the wait there must fit into the budget.
func Fallback(in Input) (string, bool) {
	if in.Received {
		return "", false
	}
	best, ok := nearest(in, true)
	if !ok || trip(best) > in.Budget || best.Summary.Busy >= best.Summary.Slots {
		return "", false
	}
	return best.Region, true
}

// spill sends a part of the calls to the best other region, in proportion to
// its free slots, so that not all hosts send everything there at once.
func spill(in Input) Decision {
	wait := time.Duration(in.Local.WaitMs) * time.Millisecond
	best, ok := nearest(in, true)
	if !ok || trip(best)+margin > wait {
		return Decision{Verdict: Serve}
	}
	free := float64(best.Summary.Slots - best.Summary.Busy)
	if free <= 0 || in.Draw > free/(free+float64(max(1, in.Local.Queued))) {
		return Decision{Verdict: Serve}
	}
	return Decision{Verdict: Forward, Region: best.Region}
}

func trip(r Remote) time.Duration {
	return 2*r.OneWay + time.Duration(r.Summary.WaitMs)*time.Millisecond
}

// nearest returns the allowed region, not passed before, with the shortest trip
// and wait: with usable set of those that are known to have targets in use, else
// of those that nothing is known of.
func nearest(in Input, usable bool) (Remote, bool) {
	candidates := make([]Remote, 0, len(in.Remotes))
	for _, r := range in.Remotes {
		if !residency.Permits(in.Allowed, r.Region) || in.Passed.HasRegion(r.Region) || r.Region == in.Region {
			continue
		}
		if usable && (!r.Known || r.Summary.Usable == 0) || !usable && r.Known {
			continue
		}
		candidates = append(candidates, r)
	}
	if len(candidates) == 0 {
		return Remote{}, false
	}
	return slices.MinFunc(candidates, func(a, b Remote) int {
		return cmp.Or(cmp.Compare(trip(a), trip(b)), cmp.Compare(a.Region, b.Region))
	}), true
}
