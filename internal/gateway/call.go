package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// activeCall is a call in the host, from its reading to its answer.
type activeCall struct {
	gateway *Gateway
	meta    Call
	route   *route.Route
	service string
	version uint64
	work    balance.Work
	digest  string
	// received tells that another host has sent the call here.
	fromPeer   bool
	acceptedAt time.Time // when the caller's host took it
	arrivedAt  time.Time // when this host took it
	deadline   time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	request    *fasthttp.Request // as it came, without what callers may not set

	heldFor      time.Duration // time that the call was held back
	spilled      bool          // goes away for want of capacity at home
	sends        int           // that may have run
	refusals     int           // sends that were refused without running
	triedTargets []string
	triedRegions []string // regions that were asked
	// opens is when a region that was asked wants the call again, 0 if none has said.
	regionRetryAfter time.Duration
	steps            []string // what was decided and what came of it, for the log
	// firstByte is when the answer began, and longestPause the longest wait for one
	// of its events, for the log.
	firstByteAt  time.Time
	longestPause time.Duration
	maybeRun     bool // a send may have run
}

// reply is what the caller gets.
type reply struct {
	status     int
	retryAfter time.Duration
	outcome    core.Outcome
	reason     string
	upstream   *upstreamResponse // nil for the host's own answer
}

// hostReply returns an answer of the host itself: a promise that the call has not
// run only when no send may have run.
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

// maxRefusals bounds the sends of one call that targets or regions refuse.
const maxRefusals = 2

// run decides where the call goes until it is answered or given up.
func (c *activeCall) run() reply {
	if c.gateway.quarantined(c.digest) {
		return c.hostReply("the call has ended several targets", quarantineRetryAfter)
	}
	for {
		if c.ctx.Err() != nil {
			return c.hostReply("the time is over", shortRetryAfter)
		}
		if c.refusals > maxRefusals {
			return c.hostReply("targets refuse the call", c.gateway.jitter(shortRetryAfter))
		}
		answer, choice := c.decide()
		if answer.Local && choice.Prediction.Hold > 0 {
			c.hold(choice.Prediction.Hold)
			c.steps = c.steps[:len(c.steps)-1] // the decision that counts comes after
			continue
		}
		var u *upstreamResponse
		var r result
		switch {
		case answer.Local:
			u, r = c.sendLocal(choice)
		case answer.Region != "":
			u, r = c.sendToRegion(answer.Region)
		default:
			return c.hostReply(answer.Reason, answer.RetryAfter)
		}
		if u != nil {
			return reply{status: u.response.Status(), outcome: core.Run, upstream: u, reason: answer.Reason}
		}
		if !c.mayResend(r) {
			return c.hostReply(r.reason, c.gateway.jitter(shortRetryAfter))
		}
	}
}

const (
	// holdJitter keeps calls apart that are held until the same moment, so that each
	// learns what the one before has begun.
	holdJitter = 12 * time.Millisecond
)

// hold waits before the next decision, so that the streams of a target go on before
// it reads the call.
func (c *activeCall) hold(d time.Duration) {
	began := c.gateway.clock.Now()
	select {
	case <-c.ctx.Done():
	case <-c.gateway.clock.After(d + time.Duration(c.gateway.random()*float64(holdJitter))):
	}
	c.heldFor += c.gateway.clock.Now().Sub(began)
	c.work.Pressed = c.heldFor >= balance.Scale(c.route.Aim, c.gateway.settings.Policy.HoldShare)
}

// result tells how a send without an answer for the caller ended.
type result struct {
	outcome core.Outcome
	reason  string
	last    bool // no other send may follow
}

// mayResend counts a send that brought no answer and reports whether another one
// may follow.
func (c *activeCall) mayResend(r result) bool {
	if r.last {
		return false
	}
	if r.outcome == core.NotRun {
		c.refusals++
		return c.ctx.Err() == nil
	}
	c.maybeRun = true
	return c.mayRetry()
}

// decide asks the books where the call goes next, and the coordinators of targets
// before it goes to one.
func (c *activeCall) decide() (balance.Answer, balance.Choice) {
	c.work.Said = nil
	q, answer := c.evaluate()
	if answer.Local {
		c.askCoordinators()
	}
	if len(c.work.Said) > 0 {
		q, answer = c.evaluate()
	}
	if answer.Spilled {
		c.gateway.mu.Lock()
		c.gateway.balancer.Spilled(c.gateway.clock.Now(), c.work)
		c.gateway.mu.Unlock()
	}
	c.spilled = answer.Spilled
	c.addDecisionStep(q, answer)
	return answer, q.Local
}

// evaluate decides from what the host believes and has just been told.
func (c *activeCall) evaluate() (balance.Question, balance.Answer) {
	now := c.gateway.clock.Now()
	q := balance.Question{
		Policy: c.gateway.settings.Policy,
		Aim:    max(0, c.route.Aim-now.Sub(c.acceptedAt)), Left: c.deadline.Sub(now), Work: c.work,
		Typical: c.gateway.typicalTime(c.route.Name), Spread: c.gateway.random(), Begun: c.maybeRun,
	}
	if c.maybeRun {
		q.Aim = 0 // late as it is, any answer counts
	}
	regions := c.candidateRegions()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	if c.route.MayServe(c.gateway.settings.Region) {
		q.Local, q.Here = c.gateway.balancer.Choose(now, c.work, c.triedTargets)
	}
	if !c.fromPeer {
		q.Away = c.gateway.regions.Options(now, regions, c.work, !q.Here)
	}
	if !q.Here {
		q.Opens = c.regionRetryAfter
		if opens, ok := c.gateway.balancer.Opens(now, c.service); ok && (q.Opens == 0 || opens < q.Opens) {
			q.Opens = opens
		}
	}
	if q.Here && len(q.Away) > 0 {
		home, others := c.gateway.balancer.Basin(now, c.service), c.gateway.regions.Basins(now, q.Away, c.service)
		q.Spill = c.gateway.settings.Policy.Spill(home, others)
		q = q.WithKeeper(balance.Keeper(c.work, append(others, home)), c.gateway.settings.Region)
	}
	return q, balance.Decide(q)
}

// candidateRegions returns the live regions that may serve the call and have not been
// asked for it.
func (c *activeCall) candidateRegions() []string {
	if len(c.triedRegions) >= maxRegionsPerCall {
		return nil
	}
	var out []string
	for _, region := range c.gateway.liveRegions() {
		if c.route.MayServe(region) && !slices.Contains(c.triedRegions, region) {
			out = append(out, region)
		}
	}
	return out
}

// maxRegionsPerCall bounds the regions that one call is sent to.
const maxRegionsPerCall = 2

const (
	// shortRetryAfter is when a caller is to come back after a refusal that another
	// try may not meet.
	shortRetryAfter = 100 * time.Millisecond
	// quarantineRetryAfter is when a caller may come back with a call that ended
	// targets.
	quarantineRetryAfter = 5 * time.Second
	// deathsToQuarantine is how many targets one call may end; the first could
	// be chance, and so could a second one in a day of crashes.
	deathsToQuarantine = 3
)

// quarantined reports whether a call with the digest is refused.
func (g *Gateway) quarantined(digest string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Judge(g.clock.Now(), digest) == quarantine.Quarantined
}
