package balance

import (
	"slices"
	"time"
)

const (
	// minRemoteGain is the least time that sending a call to another region must save.
	minRemoteGain = 40 * time.Millisecond
	// minWaitShare is the share of the latency objective that a call may always wait.
	minWaitShare = 0.3
	// minRetryAfter is the shortest Retry-After of a refused call.
	minRetryAfter = 150 * time.Millisecond
	// retryJitterShare is the share of their remaining time over which the retries of
	// refused callers are spread.
	retryJitterShare = 0.25
	// outageRetrySpread is the share of the longest Retry-After that callers respect over
	// which retries are spread after an outage.
	outageRetrySpread = 0.4
)

// RegionCandidate is another region that may serve a call.
type RegionCandidate struct {
	Region string
	// Wait and Processing predict the time to the first byte inside the region.
	Wait       time.Duration
	Processing time.Duration
	// RoundTrip is the network time to the region and back.
	RoundTrip time.Duration
	// Pause is the mean pause between events in the region.
	Pause time.Duration
	// Rate is the reading rate of one target in the region, in prompt tokens per
	// millisecond; 0 if the region has not reported it.
	Rate float64
}

// WithCached returns the prediction for a call of whose prompt a target in the region has
// the given number of tokens cached.
func (c RegionCandidate) WithCached(tokens int) RegionCandidate {
	if c.Rate > 0 {
		c.Processing = max(firstByteOverhead, c.Processing-fromMilliseconds(float64(tokens)/c.Rate))
	}
	return c
}

// Total returns the predicted time to the first byte.
func (c RegionCandidate) Total() time.Duration { return c.Wait + c.Processing + c.RoundTrip }

// DecisionInput is the input of Decide.
type DecisionInput struct {
	Policy Policy
	// Local is the best target in the host's region. It is valid if HasLocal is set.
	Local    Choice
	HasLocal bool
	// Remote are the other regions that may serve the call.
	Remote []RegionCandidate
	// SpillShares are the shares of the region's work to be sent to other regions, by
	// region.
	SpillShares map[string]float64
	// AffinityRegion is the region that caches the shared parts of the call, empty if there
	// is none.
	AffinityRegion string
	// LocalAffinity reports that the host's region is the affinity region.
	LocalAffinity bool
	Work          Work
	// LatencyObjective is the longest acceptable time to the first byte, 0 for none.
	// Remaining is the time until the caller's deadline.
	LatencyObjective time.Duration
	Remaining        time.Duration
	// MayHaveRun reports that a target may have started the call already. Such a call is
	// sent to the local target, if there is one, however long the wait.
	MayHaveRun bool
	// BackoffLeft is how long it takes until a target in the host's region that has asked to
	// back off may be used again; 0 if there is none.
	BackoffLeft time.Duration
	// LimitWait is how long it takes until a target with a limit in the host's region has room
	// for another call; 0 if there is none or HasLocal is set.
	LimitWait time.Duration
	// TypicalProcessing is the usual processing time of similar calls.
	TypicalProcessing time.Duration
	// Jitter is a number from 0 to 1 that differs from call to call.
	Jitter float64
}

// WithAffinityRegion sets the region that caches the shared parts of the call. The targets
// there only have to read the rest of the prompt.
func (in DecisionInput) WithAffinityRegion(region, home string) DecisionInput {
	in.AffinityRegion, in.LocalAffinity = region, region == home
	remote := slices.Clone(in.Remote)
	for i, c := range remote {
		if c.Region == region {
			remote[i] = c.WithCached(sharedTokens(in.Work))
		}
	}
	in.Remote = remote
	return in
}

// Decision is where a call is sent.
type Decision struct {
	// At most one of Local and Region is set. With neither, the call is refused.
	Local  bool
	Region string
	// RetryAfter is when a refused caller should retry.
	RetryAfter time.Duration
	Reason     string
	// Spilled reports that the call goes to another region because its own region lacks
	// capacity.
	Spilled bool
	// AtLimit reports that the call is refused because targets have no room for it under their
	// limits.
	AtLimit bool
}

// ReasonLimits is the reason of a refusal when targets are in service that have no room for a
// call under their limits.
const ReasonLimits = "the targets are at their limits"

// Decide returns where a call is sent. A call stays in its own region while its response
// is expected well within the latency objective, and goes to another region only if that
// saves time. A call is refused if its wait would be so long that calls of its size miss the
// objective everywhere.
func Decide(in DecisionInput) Decision {
	in.Policy = in.Policy.orDefault()
	limit := in.waitLimit()
	if in.MayHaveRun && in.HasLocal {
		return Decision{Local: true, Reason: "what was begun goes on"}
	}
	if d, ok := in.routeToAffinityRegion(); ok {
		return d
	}
	if d, ok := in.routeSpill(limit); ok {
		return d
	}
	local := in.Local.Prediction
	strained := in.HasLocal && in.Policy.strained(in.Work, in.Local.Pause)
	hasRoom := in.HasLocal && !strained
	if hasRoom && (in.LatencyObjective == 0 || local.Total() <= Scale(in.LatencyObjective, in.Policy.ComfortShare)) {
		return Decision{Local: true, Reason: "in good time"}
	}
	if remote, ok := in.fastestRemote(limit); ok && (!hasRoom || remote.Total()+minRemoteGain < local.Total()) {
		return Decision{Region: remote.Region, Reason: "sooner in another region"}
	}
	if hasRoom && local.Wait <= limit {
		return Decision{Local: true, Reason: "within the wait that is allowed"}
	}
	return in.refuse(strained, limit)
}

// refuse returns the refusal of a call with its reason and Retry-After.
func (in DecisionInput) refuse(strained bool, limit time.Duration) Decision {
	switch {
	case in.LimitWait > 0:
		return Decision{RetryAfter: max(minRetryAfter, in.LimitWait), Reason: ReasonLimits, AtLimit: true}
	case strained:
		return Decision{RetryAfter: retryAfter(in, limit), Reason: "the streams pause for too long"}
	case !in.HasLocal && len(in.Remote) == 0 && in.BackoffLeft > 0:
		return Decision{RetryAfter: retryAfter(in, 0), Reason: "no target"}
	case !in.HasLocal && len(in.Remote) == 0:
		return Decision{RetryAfter: in.Policy.OutageRetryAfter(in.Remaining, in.Jitter), Reason: "no target"}
	default:
		return Decision{RetryAfter: retryAfter(in, limit), Reason: "the wait is too long"}
	}
}

// waitLimit returns the longest wait with which a call is started.
func (in DecisionInput) waitLimit() time.Duration {
	if in.LatencyObjective == 0 {
		return in.Remaining
	}
	return min(in.Remaining, max(in.LatencyObjective-in.TypicalProcessing, Scale(in.LatencyObjective, minWaitShare)))
}

// routeToAffinityRegion sends a call to its affinity region if that is expected to answer
// in time.
func (in DecisionInput) routeToAffinityRegion() (Decision, bool) {
	if in.LocalAffinity && in.HasLocal && !in.Policy.strained(in.Work, in.Local.Pause) && in.Local.Prediction.Total() <= Scale(in.LatencyObjective, in.Policy.KeeperShare) {
		return Decision{Local: true, Reason: "the region keeps its parts"}, true
	}
	for _, c := range in.Remote {
		if in.HasLocal && c.Region == in.AffinityRegion && !in.Policy.strained(in.Work, c.Pause) && c.Total() <= Scale(in.LatencyObjective, in.Policy.KeeperShare) {
			return Decision{Region: c.Region, Reason: "the region that keeps its parts"}, true
		}
	}
	return Decision{}, false
}

// routeSpill sends a call to another region if it falls into that region's spill share.
func (in DecisionInput) routeSpill(limit time.Duration) (Decision, bool) {
	c, ok := spillTo(in.SpillShares, in.Remote, in.Work)
	if !ok || !in.HasLocal || in.Policy.strained(in.Work, c.Pause) || c.Wait > limit || c.Total() >= max(in.LatencyObjective, in.Local.Prediction.Total()) {
		return Decision{}, false
	}
	return Decision{Region: c.Region, Reason: "the region's share for another one", Spilled: true}, true
}

// fastestRemote returns the region with the lowest predicted time, and whether the call may
// be started there.
func (in DecisionInput) fastestRemote(limit time.Duration) (RegionCandidate, bool) {
	var best RegionCandidate
	for i, c := range in.Remote {
		if i == 0 || c.Total() < best.Total() {
			best = c
		}
	}
	return best, len(in.Remote) > 0 && !in.Policy.strained(in.Work, best.Pause) && best.Wait <= limit && best.Total() < in.Remaining
}

// OutageRetryAfter returns the Retry-After for a caller with the given remaining time when
// the host lacks what it needs to serve any call. The length of such an outage is not
// known. A call that is retried too early is mostly lost, while one that is retried late is
// only late, so the result is close to the longest time that callers respect. Jitter is a
// number from 0 to 1 that differs from call to call.
func (p Policy) OutageRetryAfter(remaining time.Duration, jitter float64) time.Duration {
	return max(minRetryAfter, Scale(remaining, p.orDefault().HeededShare*(1-outageRetrySpread*jitter)))
}

// retryAfter returns when the wait is expected to have fallen to half of the limit, but not
// before a target may be used.
func retryAfter(in DecisionInput, limit time.Duration) time.Duration {
	wait := in.BackoffLeft
	if in.HasLocal {
		wait = max(0, in.Local.Prediction.Wait-limit/2)
	}
	return minRetryAfter + wait + Scale(in.Remaining, retryJitterShare*in.Jitter)
}
