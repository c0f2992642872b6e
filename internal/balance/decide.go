package balance

import (
	"slices"
	"time"
)

const (
	// awayGain is what sending away must save at least.
	awayGain = 40 * time.Millisecond
	// minWaitShare is the part of the aim that a call may always wait.
	minWaitShare = 0.3
	// minRetryAfter is the least time after which a refused caller is to return.
	minRetryAfter = 150 * time.Millisecond
	// returnShare is the part of its time left over which refused callers are told
	// to come back.
	returnShare = 0.25
	// recoverySpread is the part of the longest time that callers heed over which those
	// are spread that wait for a recovery.
	recoverySpread = 0.4
)

// Away is another region that may serve a call.
type RegionCandidate struct {
	Region string
	// Wait and Own predict the time there, without the way.
	Wait       time.Duration
	Processing time.Duration
	// Trip is the time there and back.
	RoundTrip time.Duration
	// Pause is the mean pause between events there.
	Pause time.Duration
	// Rate is the tokens of a prompt that one target there reads in a millisecond, 0
	// when the region has not told.
	Rate float64
}

// WithKept returns the prediction for a call of whose prompt a target there keeps the
// given tokens.
func (a RegionCandidate) WithCached(tokens int) RegionCandidate {
	if a.Rate > 0 {
		a.Processing = max(baseSpan, a.Processing-fromMilliseconds(float64(tokens)/a.Rate))
	}
	return a
}

// Total is the predicted time to the first byte.
func (a RegionCandidate) Total() time.Duration { return a.Wait + a.Processing + a.RoundTrip }

// Question is what a decision depends on.
type DecisionInput struct {
	Policy Policy
	// Local is the best target at home, if Here.
	Local    Choice
	HasLocal bool
	// Away are the other regions that may be asked.
	Remote []RegionCandidate
	// Spill are the shares of the work that go to other regions, by region.
	SpillShares map[string]float64
	// Keeper is the region that keeps the shared parts of the call, if one does.
	AffinityRegion string
	// Keeps tells that the own region is the keeper.
	LocalAffinity bool
	Work          Work
	// Aim is the time to the first byte that is still good; Left is the time
	// until the caller gives up.
	LatencyObjective time.Duration
	Remaining        time.Duration
	// Begun tells that the call may have run, and is only to be brought to its end.
	MayHaveRun bool
	// Opens is how long it takes until a target at home is in use again that wants
	// nothing now, 0 if there is none.
	BackoffLeft time.Duration
	// Typical is the usual own time of calls like this one.
	TypicalProcessing time.Duration
	// Spread is a number from 0 to 1 that differs from call to call.
	Jitter float64
}

// WithKeeper names the region that keeps the shared parts of the call, whose targets
// have the rest of the prompt to read.
func (q DecisionInput) WithAffinityRegion(region, home string) DecisionInput {
	q.AffinityRegion, q.LocalAffinity = region, region == home
	away := slices.Clone(q.Remote)
	for i, a := range away {
		if a.Region == region {
			away[i] = a.WithCached(sharedTokens(q.Work))
		}
	}
	q.Remote = away
	return q
}

// Answer is where a call goes.
type Decision struct {
	// Local and Region exclude each other; with neither the call is refused.
	Local  bool
	Region string
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	Reason     string
	// Spilled tells that the call goes away for want of capacity at home.
	Spilled bool
}

// Decide returns where a call goes. A call stays at home while it is expected to
// be in good time there, and goes away only where that saves something. What
// would wait so long that calls of its size are late everywhere is refused.
func Decide(q DecisionInput) Decision {
	q.Policy = q.Policy.orDefault()
	limit := q.limit()
	if q.MayHaveRun && q.HasLocal {
		return Decision{Local: true, Reason: "what was begun goes on"}
	}
	if a, ok := q.keeper(); ok {
		return a
	}
	if a, ok := q.spill(limit); ok {
		return a
	}
	local := q.Local.Prediction
	full := q.HasLocal && q.Policy.strained(q.Work, q.Local.Pause)
	open := q.HasLocal && !full
	if open && (q.LatencyObjective == 0 || local.Total() <= Scale(q.LatencyObjective, q.Policy.ComfortShare)) {
		return Decision{Local: true, Reason: "in good time"}
	}
	if away, ok := q.nearest(limit); ok && (!open || away.Total()+awayGain < local.Total()) {
		return Decision{Region: away.Region, Reason: "sooner in another region"}
	}
	if open && local.Wait <= limit {
		return Decision{Local: true, Reason: "within the wait that is allowed"}
	}
	return q.refuse(full, limit)
}

// refuse says why a call is begun nowhere, and when its caller is to come back.
func (q DecisionInput) refuse(full bool, limit time.Duration) Decision {
	switch {
	case full:
		return Decision{RetryAfter: retryAfter(q, limit), Reason: "the streams pause for too long"}
	case !q.HasLocal && len(q.Remote) == 0 && q.BackoffLeft > 0:
		return Decision{RetryAfter: retryAfter(q, 0), Reason: "no target"}
	case !q.HasLocal && len(q.Remote) == 0:
		return Decision{RetryAfter: q.Policy.OutageRetryAfter(q.Remaining, q.Jitter), Reason: "no target"}
	default:
		return Decision{RetryAfter: retryAfter(q, limit), Reason: "the wait is too long"}
	}
}

// limit is the longest wait for which a call is begun.
func (q DecisionInput) limit() time.Duration {
	if q.LatencyObjective == 0 {
		return q.Remaining
	}
	return min(q.Remaining, max(q.LatencyObjective-q.TypicalProcessing, Scale(q.LatencyObjective, minWaitShare)))
}

// keeper sends a call to the region that keeps its parts.
func (q DecisionInput) keeper() (Decision, bool) {
	if q.LocalAffinity && q.HasLocal && !q.Policy.strained(q.Work, q.Local.Pause) && q.Local.Prediction.Total() <= Scale(q.LatencyObjective, q.Policy.KeeperShare) {
		return Decision{Local: true, Reason: "the region keeps its parts"}, true
	}
	for _, a := range q.Remote {
		if q.HasLocal && a.Region == q.AffinityRegion && !q.Policy.strained(q.Work, a.Pause) && a.Total() <= Scale(q.LatencyObjective, q.Policy.KeeperShare) {
			return Decision{Region: a.Region, Reason: "the region that keeps its parts"}, true
		}
	}
	return Decision{}, false
}

// spill sends the region's share for other regions there.
func (q DecisionInput) spill(limit time.Duration) (Decision, bool) {
	a, ok := spillTo(q.SpillShares, q.Remote, q.Work)
	if !ok || !q.HasLocal || q.Policy.strained(q.Work, a.Pause) || a.Wait > limit || a.Total() >= max(q.LatencyObjective, q.Local.Prediction.Total()) {
		return Decision{}, false
	}
	return Decision{Region: a.Region, Reason: "the region's share for another one", Spilled: true}, true
}

// nearest returns the region with the soonest answer, if it may be begun there.
func (q DecisionInput) nearest(limit time.Duration) (RegionCandidate, bool) {
	var best RegionCandidate
	for i, a := range q.Remote {
		if i == 0 || a.Total() < best.Total() {
			best = a
		}
	}
	return best, len(q.Remote) > 0 && !q.Policy.strained(q.Work, best.Pause) && best.Wait <= limit && best.Total() < q.Remaining
}

// AfterRecovery is when a caller with the given time left is to come back to a host that
// lacks what it needs to serve anyone. How long that lasts is not known. A caller that
// comes back in vain is mostly lost, and one that comes back late is only late; so it
// is told the longest times that callers heed. Spread is a number from 0 to 1 that
// differs from call to call.
func (p Policy) OutageRetryAfter(left time.Duration, spread float64) time.Duration {
	return max(minRetryAfter, Scale(left, p.orDefault().HeededShare*(1-recoverySpread*spread)))
}

// retryAfter is when the wait is expected to have fallen to half of the limit, and
// not before a target is in use.
func retryAfter(q DecisionInput, limit time.Duration) time.Duration {
	over := q.BackoffLeft
	if q.HasLocal {
		over = max(0, q.Local.Prediction.Wait-limit/2)
	}
	return minRetryAfter + over + Scale(q.Remaining, returnShare*q.Jitter)
}
