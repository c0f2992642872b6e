package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/permission"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// activeCall is a call that the host processes, from its request to its response.
type activeCall struct {
	gateway *Gateway
	meta    Call
	route   *route.Route
	service string
	version uint64
	work    balance.Work
	digest  string
	// workspace is that of the caller's key, nil for calls without one, and credential the digest of the key.
	workspace  *route.Workspace
	credential string
	// charged is what the call has cost the quota of a workspace, payer, at this host. The key of the call may have
	// another holder since, or none.
	charged float64
	payer   string
	// fromPeer is set when another host forwarded the call.
	fromPeer   bool
	acceptedAt time.Time // arrival at the host that the caller chose
	arrivedAt  time.Time // arrival at this host
	newsAgeMs  int64     // of this host when the call arrived; see newsAge
	deadline   time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	request    *fasthttp.Request // of the caller, without reserved headers

	heldFor  time.Duration // total delay before attempts
	diverted []string      // targets that had no room for the call under their limits
	spilled  bool          // goes to another region because the own one lacks capacity
	attempts int           // attempts that may have run the call
	refusals int           // attempts that were refused without running the call
	arrivals int           // sends that have reached targets, by this host or others, or may have
	// repeat is set if the call had reached a target before another host forwarded it, and prepaid
	// until the send for which that host has charged the retry budget.
	repeat, prepaid bool
	triedTargets    []string
	triedRegions    []string
	// triedNeighbours are the hosts of the own region that the call was passed to.
	triedNeighbours []string
	unsent          int  // attempts that reached neither a target nor a host with a path
	counted         bool // the call has added to the retry budget, here or at the host that forwarded it
	// regionRetryAfter is the shortest Retry-After of the tried regions, 0 if none gave one.
	regionRetryAfter time.Duration
	steps            []string // decisions and their results, for the log
	// firstByteAt and longestPause, the longest wait for an event of a stream, are for the
	// log.
	firstByteAt  time.Time
	longestPause time.Duration
	maybeRun     bool // an attempt may have run the call
	// located is what showed that the target of the last send was at its address, if the call has homes.
	located permission.Location
	// streamVersion is the software version that began the stream of the call.
	streamVersion continuation.Version

	keys      []string // of the parts of the prompt; see partKeys
	tried     []string // keys of the suspected parts for which the call is a trial
	trials    int      // number of attempts as a trial
	brokenOff bool     // a target broke off the call before its answer began
}

// reply is the response to a call: an upstream response, or one of the host itself.
type reply struct {
	status     int
	retryAfter time.Duration
	outcome    core.Outcome
	reason     string
	upstream   *upstreamResponse // nil for a response of the host itself
	suspect    bool              // the call is refused because of a part of its prompt
	noPath     bool              // the call is refused because the host has no path to its targets
}

// hostReply returns a response of the host itself. Its outcome is NotRun only if no attempt
// may have run the call.
func (c *activeCall) hostReply(reason string, retryAfter time.Duration) reply {
	if !c.maybeRun {
		return reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: reason, retryAfter: retryAfter}
	}
	status := fasthttp.StatusBadGateway
	if c.ctx.Err() != nil {
		status = fasthttp.StatusGatewayTimeout
	}
	return reply{status: status, outcome: core.Unknown, reason: reason}
}

const (
	// maxRefusals bounds the attempts of one call that targets or regions refuse.
	maxRefusals = 2
	// maxUnsent bounds the attempts of one call that reach neither a target nor a host with a path.
	maxUnsent = 4
)

// run makes attempts until one yields a response or no further attempt is allowed.
func (c *activeCall) run() reply {
	denials := 0
	for {
		if r, refused := c.quarantined(); refused {
			return r
		}
		if r, over := c.exhausted(); over {
			return r
		}
		c.awaitCatchUp()
		if r, refused := c.followConfiguration(); refused {
			return r
		}
		c.work.NoLimited = denials >= maxDenials
		decision, choice := c.decide()
		local := decision.Local && !choice.NoPath
		if local && choice.Prediction.Hold > 0 {
			c.hold(choice.Prediction.Hold)
			c.steps = c.steps[:len(c.steps)-1] // replaced by the decision after the hold
			continue
		}
		if local && !c.admit(choice.Target) {
			c.steps = c.steps[:len(c.steps)-1] // replaced by the next decision
			denials++
			continue
		}
		if local && !c.startTrial() {
			return c.suspectReply()
		}
		if !decision.Local && decision.Region == "" {
			return c.refuse(decision)
		}
		u, r := c.send(decision, choice)
		if u != nil {
			return reply{status: u.response.Status(), outcome: core.Run, upstream: u, reason: decision.Reason}
		}
		if !c.recordFailedAttempt(r) {
			return c.failureReply(r)
		}
	}
}

// followConfiguration lets the call go by the configuration in force as far as that concerns where and for whom it
// runs. It returns the reply to a call that cannot go on.
func (c *activeCall) followConfiguration() (reply, bool) {
	if r, refused := c.followHomes(); refused {
		return r, true
	}
	return c.checkKey()
}

// exhausted returns the reply to a call that has no time or no attempts left.
func (c *activeCall) exhausted() (reply, bool) {
	switch {
	case c.ctx.Err() != nil:
		return c.hostReply("the time is over", shortRetryAfter), true
	case c.refusals > maxRefusals:
		return c.hostReply("targets refuse the call", c.gateway.jitter(shortRetryAfter)), true
	case c.unsent > maxUnsent:
		return c.hostReply("the call reaches no target", c.gateway.jitter(shortRetryAfter)), true
	default:
		return reply{}, false
	}
}

// send makes an attempt where the decision sends the call.
func (c *activeCall) send(d balance.Decision, choice balance.Choice) (*upstreamResponse, result) {
	switch {
	case !d.Local:
		return c.sendToRegion(d.Region)
	case choice.NoPath:
		return c.sendToNeighbour()
	default:
		return c.sendToTarget(choice)
	}
}

// refuse returns the reply to a call that is sent nowhere.
func (c *activeCall) refuse(d balance.Decision) reply {
	if d.AtLimit {
		c.countLimitRefusal()
	}
	out := c.hostReply(d.Reason, d.RetryAfter)
	out.noPath = c.gateway.isDetached()
	return out
}

// failureReply returns the reply to a call whose last attempt failed.
func (c *activeCall) failureReply(r result) reply {
	if !r.suspect {
		return c.hostReply(r.reason, c.gateway.jitter(shortRetryAfter))
	}
	out := c.hostReply(r.reason, r.retryAfter)
	out.suspect = true
	return out
}

const (
	// holdJitter spreads calls that are held until the same moment, so that each decision
	// takes the calls started before it into account.
	holdJitter = 12 * time.Millisecond
)

// hold delays the next decision by at least d, so that a target emits events of its running
// streams before it reads the prompt of the call.
func (c *activeCall) hold(d time.Duration) {
	start := c.gateway.clock.Now()
	select {
	case <-c.ctx.Done():
	case <-c.gateway.clock.After(d + time.Duration(c.gateway.random()*float64(holdJitter))):
	}
	c.heldFor += c.gateway.clock.Now().Sub(start)
	c.work.NoHold = c.heldFor >= balance.Scale(c.route.LatencyObjective, c.gateway.settings.Policy.HoldShare)
}

// result is the result of an attempt that yielded no response for the caller.
type result struct {
	outcome core.Outcome
	reason  string
	last    bool // no further attempt is allowed
	// suspect is set if another region refused the call because of a part of its prompt, and
	// retryAfter is what it stated.
	suspect    bool
	retryAfter time.Duration
	// unsent is set if the call reached neither a target nor a host with a path.
	unsent bool
}

// unsentResult returns the result of an attempt that reached neither a target nor a host with a path.
func unsentResult(reason string) result {
	return result{outcome: core.NotRun, reason: reason, unsent: true}
}

// recordFailedAttempt counts an attempt without a response and reports whether another one may follow.
func (c *activeCall) recordFailedAttempt(r result) bool {
	if r.last {
		return false
	}
	if r.unsent {
		c.unsent++
		return c.ctx.Err() == nil
	}
	if r.outcome == core.NotRun {
		c.refusals++
		return c.ctx.Err() == nil
	}
	c.maybeRun = true
	return c.mayRetry()
}

// decide returns where the call goes next. If that is a target, it first queries the
// coordinators of the candidates for their current load, and decides anew with the replies.
func (c *activeCall) decide() (balance.Decision, balance.Choice) {
	c.work.Loads, c.work.Queried = nil, nil
	input, decision := c.evaluate()
	if decision.Local && !input.Local.NoPath {
		c.queryCoordinators()
	}
	if len(c.work.Queried) > 0 {
		input, decision = c.evaluate()
	}
	if decision.Spilled {
		c.gateway.mu.Lock()
		c.gateway.balancer.CountSpilled(c.gateway.clock.Now(), c.work)
		c.gateway.mu.Unlock()
	}
	c.spilled = decision.Spilled
	c.addDecisionStep(input, decision)
	return decision, input.Local
}

// evaluate decides from the host's estimates and the load replies received for the call.
func (c *activeCall) evaluate() (balance.DecisionInput, balance.Decision) {
	now := c.gateway.clock.Now()
	input := balance.DecisionInput{
		Policy:           c.gateway.settings.Policy,
		LatencyObjective: max(0, c.route.LatencyObjective-now.Sub(c.acceptedAt)), Remaining: c.deadline.Sub(now), Work: c.work,
		TypicalProcessing: c.gateway.typicalTime(c.route.Name), Jitter: c.gateway.random(), MayHaveRun: c.maybeRun,
	}
	if c.maybeRun {
		input.LatencyObjective = 0 // after an attempt that may have run, a late response is better than none
	}
	regions := c.candidateRegions()
	_, c.work.Detour = c.neighbour()
	mayRun := c.mayRun()
	input.Work.Detour = c.work.Detour
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if mayRun {
		input.Local, input.HasLocal = c.gateway.balancer.Choose(now, c.work, c.triedTargets)
	}
	if !c.fromPeer {
		input.Remote = c.gateway.regions.Candidates(now, regions, c.work, !input.HasLocal)
	}
	if !input.HasLocal {
		input.BackoffLeft = c.regionRetryAfter
		if backoff, ok := c.gateway.balancer.BackoffLeft(now, c.service); ok && (input.BackoffLeft == 0 || backoff < input.BackoffLeft) {
			input.BackoffLeft = backoff
		}
		if mayRun {
			input.LimitWait = c.limitWait(now)
		}
	}
	if input.HasLocal && len(input.Remote) > 0 {
		home, others := c.gateway.balancer.RegionLoad(now, c.service), c.gateway.regions.Loads(now, input.Remote, c.service)
		input.SpillShares = c.gateway.settings.Policy.SpillShares(home, others)
		input = input.WithAffinityRegion(balance.AffinityRegion(c.work, append(others, home)), c.gateway.settings.Region)
	}
	return input, balance.Decide(input)
}

// candidateRegions returns the live regions that may serve the call, as has been shown lately, and have not been
// tried.
func (c *activeCall) candidateRegions() []string {
	if len(c.triedRegions) >= maxRegionsPerCall {
		return nil
	}
	var out []string
	live := c.gateway.liveRegions()
	serving := c.gateway.servingRegions(live)
	var withVersion map[string]bool
	if c.work.Version != continuation.Unknown {
		withVersion = c.regionsOfVersion()
	}
	for _, region := range live {
		if withVersion != nil && !withVersion[region] {
			continue
		}
		if slices.Contains(c.triedRegions, region) || !serving[region] {
			continue
		}
		switch c.gateway.permits(permission.Forward, c.route.Homes(), region) {
		case permission.Granted:
			out = append(out, region)
		case permission.Unproven:
			c.gateway.metrics.add("forwards_unproven_total", 1)
		}
	}
	return out
}

// maxRegionsPerCall bounds the other regions that one call is forwarded to.
const maxRegionsPerCall = 2

const (
	// shortRetryAfter is the Retry-After of refusals that a retry may well avoid.
	shortRetryAfter = 100 * time.Millisecond
	// quarantineRetryAfter is the Retry-After of quarantined calls.
	quarantineRetryAfter = 5 * time.Second
	// crashesToQuarantine is the number of target crashes after which a call is quarantined.
	// One crash may be a coincidence, and on a day with many crashes so may two.
	crashesToQuarantine = 3
)
