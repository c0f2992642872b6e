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

// flight is a call in the host, from its reading to its answer.
type flight struct {
	g       *Gateway
	call    Call
	route   *route.Route
	service string
	version uint64
	work    balance.Work
	digest  string
	// received tells that another host has sent the call here.
	received bool
	began    time.Time // when the caller's host took it
	arrival  time.Time // when this host took it
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	request  *fasthttp.Request // as it came, without what callers may not set

	held    time.Duration // time that the call was held back
	spilled bool          // goes away for want of capacity at home
	sends   int           // that may have run
	refused int           // sends that were refused without running
	tried   []string
	away    []string // regions that were asked
	// opens is when a region that was asked wants the call again, 0 if none has said.
	opens time.Duration
	notes []string // what was decided and what came of it, for the log
	// firstByte is when the answer began, and longestPause the longest wait for one
	// of its events, for the log.
	firstByte    time.Time
	longestPause time.Duration
	maybe        bool // a send may have run
}

// reply is what the caller gets.
type reply struct {
	status     int
	retryAfter time.Duration
	outcome    core.Outcome
	reason     string
	source     *source // nil for the host's own answer
}

// ownReply returns an answer of the host itself: a promise that the call has not
// run only when no send may have run.
func (f *flight) ownReply(reason string, retryAfter time.Duration) reply {
	if !f.maybe {
		return reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: reason, retryAfter: retryAfter}
	}
	status := fasthttp.StatusBadGateway
	if f.ctx.Err() != nil {
		status = fasthttp.StatusGatewayTimeout
	}
	return reply{status: status, outcome: core.Unknown, reason: reason}
}

// maxRefusals bounds the sends of one call that targets or regions refuse.
const maxRefusals = 2

// run decides where the call goes until it is answered or given up.
func (f *flight) run() reply {
	if f.g.quarantined(f.digest) {
		return f.ownReply("the call has ended several targets", quarantineRetry)
	}
	for {
		if f.ctx.Err() != nil {
			return f.ownReply("the time is over", retryAtOnce)
		}
		if f.refused > maxRefusals {
			return f.ownReply("targets refuse the call", f.g.spread(retryAtOnce))
		}
		answer, choice := f.decide()
		if answer.Local && choice.Prediction.Hold > 0 {
			f.hold(choice.Prediction.Hold)
			f.notes = f.notes[:len(f.notes)-1] // the decision that counts comes after
			continue
		}
		var s *source
		var r result
		switch {
		case answer.Local:
			s, r = f.sendLocal(choice)
		case answer.Region != "":
			s, r = f.sendAway(answer.Region)
		default:
			return f.ownReply(answer.Reason, answer.RetryAfter)
		}
		if s != nil {
			return reply{status: s.response.Status(), outcome: core.Run, source: s, reason: answer.Reason}
		}
		if !f.mayGoOn(r) {
			return f.ownReply(r.reason, f.g.spread(retryAtOnce))
		}
	}
}

const (
	// holdSpread keeps calls apart that are held until the same moment, so that each
	// learns what the one before has begun.
	holdSpread = 12 * time.Millisecond
)

// hold waits before the next decision, so that the streams of a target go on before
// it reads the call.
func (f *flight) hold(d time.Duration) {
	began := f.g.clock.Now()
	select {
	case <-f.ctx.Done():
	case <-f.g.clock.After(d + time.Duration(f.g.random()*float64(holdSpread))):
	}
	f.held += f.g.clock.Now().Sub(began)
	f.work.Pressed = f.held >= balance.Scale(f.route.Aim, f.g.settings.Policy.HoldShare)
}

// result tells how a send without an answer for the caller ended.
type result struct {
	outcome core.Outcome
	reason  string
	last    bool // no other send may follow
}

// mayGoOn counts a send that brought no answer and reports whether another one
// may follow.
func (f *flight) mayGoOn(r result) bool {
	if r.last {
		return false
	}
	if r.outcome == core.NotRun {
		f.refused++
		return f.ctx.Err() == nil
	}
	f.maybe = true
	return f.worthRepeating()
}

// decide asks the books where the call goes next, and the coordinators of targets
// before it goes to one.
func (f *flight) decide() (balance.Answer, balance.Choice) {
	f.work.Said = nil
	q, answer := f.weigh()
	if answer.Local {
		f.confer()
	}
	if len(f.work.Said) > 0 {
		q, answer = f.weigh()
	}
	if answer.Spilled {
		f.g.mu.Lock()
		f.g.book.Spilled(f.g.clock.Now(), f.work)
		f.g.mu.Unlock()
	}
	f.spilled = answer.Spilled
	f.logDecision(q, answer)
	return answer, q.Local
}

// weigh decides from what the host believes and has just been told.
func (f *flight) weigh() (balance.Question, balance.Answer) {
	now := f.g.clock.Now()
	q := balance.Question{
		Policy: f.g.settings.Policy,
		Aim:    max(0, f.route.Aim-now.Sub(f.began)), Left: f.deadline.Sub(now), Work: f.work,
		Typical: f.g.typical(f.route.Name), Spread: f.g.random(), Begun: f.maybe,
	}
	if f.maybe {
		q.Aim = 0 // late as it is, any answer counts
	}
	regions := f.allowedAway()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	if f.route.MayServe(f.g.settings.Region) {
		q.Local, q.Here = f.g.book.Choose(now, f.work, f.tried)
	}
	if !f.received {
		q.Away = f.g.regions.Options(now, regions, f.work, !q.Here)
	}
	if !q.Here {
		q.Opens = f.opens
		if opens, ok := f.g.book.Opens(now, f.service); ok && (q.Opens == 0 || opens < q.Opens) {
			q.Opens = opens
		}
	}
	if q.Here && len(q.Away) > 0 {
		home, others := f.g.book.Basin(now, f.service), f.g.regions.Basins(now, q.Away, f.service)
		q.Spill = f.g.settings.Policy.Spill(home, others)
		q = q.WithKeeper(balance.Keeper(f.work, append(others, home)), f.g.settings.Region)
	}
	return q, balance.Decide(q)
}

// allowedAway returns the live regions that may serve the call and have not been
// asked for it.
func (f *flight) allowedAway() []string {
	if len(f.away) >= maxAway {
		return nil
	}
	var out []string
	for _, region := range f.g.liveRegions() {
		if f.route.MayServe(region) && !slices.Contains(f.away, region) {
			out = append(out, region)
		}
	}
	return out
}

// maxAway bounds the regions that one call is sent to.
const maxAway = 2

const (
	// retryAtOnce is when a caller is to come back after a refusal that another
	// try may not meet.
	retryAtOnce = 100 * time.Millisecond
	// quarantineRetry is when a caller may come back with a call that ended
	// targets.
	quarantineRetry = 5 * time.Second
	// deathsToQuarantine is how many targets one call may end; the first could
	// be chance, and so could a second one in a day of crashes.
	deathsToQuarantine = 3
)

// quarantined reports whether a call with the digest is refused.
func (g *Gateway) quarantined(digest string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Status(g.clock.Now(), digest) == quarantine.Quarantined
}
