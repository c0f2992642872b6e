package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// maxBodyBytes bounds an answer that is no stream, and maxBodyMemoryBytes what long
	// answers hold together: a part of the memory of the smallest host.
	maxBodyBytes       = 8 << 20
	maxBodyMemoryBytes = 24 << 20
	// firstByteTimeoutFactor and firstByteTimeoutShare bound how long a call that may be repeated
	// waits for the first byte of a target: a multiple of what was predicted, and a
	// part of the time left, so that a slow answer is not given up for none.
	firstByteTimeoutFactor = 3
	firstByteTimeoutShare  = 1.0 / 3
	// maxAlternativeShare is the part of the time left within which a second target must
	// be expected to answer.
	maxAlternativeShare = 0.5
)

// upstreamResponse is an answer that is being read: whole, or up to its first event.
type upstreamResponse struct {
	response *exchange.Response
	body     exchange.Body // of an answer that is no stream
	stream   *eventReader  // nil unless the answer is a stream
	first    []byte        // first event of a stream
	ended    bool          // the stream ended before its first event
	target   string        // or the host that relays the answer
	attempt  *attempt
}

// attempt is one send of a call to a target or to another region.
type attempt struct {
	call   *activeCall
	choice balance.Choice
	handle *balance.Flight // nil for a send to another region
	ctx    context.Context
	cancel context.CancelFunc
	// timer ends the firstByteTimeout; it is nil when there is none.
	timer            *time.Timer
	firstByteTimeout time.Duration
	exclude          []string // targets that are no way out
}

// newAttempt begins a send. One that may be repeated is given up when the answer
// takes too long and another target can have the call; any other waits for as long
// as its caller does.
func (c *activeCall) newAttempt(predicted time.Duration, id string) *attempt {
	a := &attempt{call: c, exclude: append(slices.Clone(c.triedTargets), id)}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	if !c.fromPeer && c.route.Repeatable() && c.sends+1 < c.route.MaxAttempts {
		a.firstByteTimeout = max(firstByteTimeoutFactor*predicted, c.route.Aim, balance.Scale(c.remaining(), firstByteTimeoutShare))
		a.timer = time.AfterFunc(a.firstByteTimeout, a.onFirstByteTimeout)
	}
	return a
}

// onFirstByteTimeout ends the send if another target can have the call in time, and
// waits on if none can: silence alone is no reason to end an answer.
func (a *attempt) onFirstByteTimeout() {
	if a.call.hasAlternative(a.exclude) {
		a.cancel()
		return
	}
	a.timer.Reset(a.firstByteTimeout)
}

// hasAlternative reports whether a target that is not excluded is expected to bring the
// first byte well within the time left, and a repeat is within the budget.
func (c *activeCall) hasAlternative(exclude []string) bool {
	if !c.route.MayServe(c.gateway.settings.Region) {
		return false
	}
	now := c.gateway.clock.Now()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	work := c.work
	work.Said = nil // said before the send
	choice, ok := c.gateway.balancer.Choose(now, work, exclude)
	return ok && !slices.Contains(exclude, choice.Target.ID) && c.gateway.budget(c.service).Left(now) >= 1 &&
		choice.Prediction.Total() < balance.Scale(c.remaining(), maxAlternativeShare)
}

// onFirstByte notes that the target has begun to answer.
func (a *attempt) onFirstByte() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.call.firstByteAt.IsZero() {
		a.call.firstByteAt = a.call.gateway.clock.Now()
	}
	a.record(func(now time.Time, b *balance.Book) {
		b.First(now, a.handle)
		a.call.gateway.recordTypicalTime(a.call.route.Name, a.choice.Prediction.Own)
	})
	if a.call.isStream() {
		a.sendChange() // its prompt is read; what is no stream has ended
	}
}

// sendChange tells other hosts of a send to a target that has gone on or ended.
func (a *attempt) sendChange() {
	if a.handle != nil {
		a.call.gateway.sendChange(a.choice.Target.ID, balance.Work{})
	}
}

func (c *activeCall) isStream() bool { return c.route.Kind == route.Stream }

// record notes in the book what came of a send to a target. A send to another region
// is noted by the host there.
func (a *attempt) record(note func(now time.Time, b *balance.Book)) {
	if a.handle == nil {
		return
	}
	g := a.call.gateway
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	note(now, g.balancer)
}

// onEvent notes the pause before an event of a stream.
func (a *attempt) onEvent(pause time.Duration) {
	a.record(func(now time.Time, b *balance.Book) { b.Event(now, a.handle, pause) })
}

// end frees what the send holds and notes how it ended.
func (a *attempt) end(r balance.Result) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel()
	a.record(func(now time.Time, b *balance.Book) { b.End(now, a.handle, r) })
	a.sendChange()
}

// sendLocal sends the call to a target of the own region.
func (c *activeCall) sendLocal(choice balance.Choice) (*upstreamResponse, result) {
	target := choice.Target
	if !c.chargeRetryBudget() {
		return nil, result{outcome: c.outcomeWithoutSend(), reason: "the budget for repeats is spent", last: true}
	}
	a := c.newAttempt(choice.Prediction.Total(), target.ID)
	a.choice = choice
	c.gateway.mu.Lock()
	a.handle = c.gateway.balancer.Begin(c.gateway.clock.Now(), target.ID, c.work, balance.WithFetch(choice.Fetched))
	c.gateway.mu.Unlock()
	c.gateway.sendChange(target.ID, c.work)
	c.triedTargets = append(c.triedTargets, target.ID)
	request := c.newTargetRequest(TargetRequest{
		Instance: target.ID, Timeout: c.remaining(), Priority: c.route.Rank, HasPriority: c.work.Tokens > 0, FetchFrom: choice.Source.Address,
	})
	defer fasthttp.ReleaseRequest(request)
	response, err := c.gateway.pool.Do(a.ctx, target.Address, request)
	if err != nil {
		return nil, a.sendFailed(err)
	}
	return a.readAnswer(response)
}

// chargeRetryBudget takes a send out of the budgets and reports whether it may go out.
func (c *activeCall) chargeRetryBudget() bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	budget, now := c.gateway.budget(c.service), c.gateway.clock.Now()
	if c.sends+c.refusals == 0 {
		budget.Call(now)
		return true
	}
	return budget.Spend(now)
}

// outcomeWithoutSend is what is known when no further send is made.
func (c *activeCall) outcomeWithoutSend() core.Outcome {
	if c.maybeRun {
		return core.Unknown
	}
	return core.NotRun
}

// copyRequest returns a copy of the caller's request, to be released by its user.
func (c *activeCall) copyRequest() *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&request.Header)
	request.Header.SetRequestURI(c.meta.Target)
	request.Header.SetNoDefaultContentType(true)
	request.SetBodyRaw(c.request.Body())
	return request
}

// newTargetRequest copies the caller's request for a target.
func (c *activeCall) newTargetRequest(s TargetRequest) *fasthttp.Request {
	request := c.copyRequest()
	if s.LastEventID == "" {
		s.LastEventID = c.meta.LastEventID
	}
	c.gateway.protocol.WriteTargetRequest(&request.Header, s)
	return request
}

func (c *activeCall) remaining() time.Duration { return c.deadline.Sub(c.gateway.clock.Now()) }

// sendFailed judges a send that brought no answer.
func (a *attempt) sendFailed(err error) result {
	c, target := a.call, a.choice.Target
	kind, _ := failure.KindOf[exchange.Kind](err)
	c.addStep("target %s: %v", target.ID, err)
	if kind == exchange.Unsent {
		a.end(a.resultUnlessCancelled(balance.Unreached))
		return result{outcome: core.NotRun, reason: "no connection to a target"}
	}
	c.sends++
	return a.endUnanswered("a target did not answer")
}

// endUnanswered ends a send that may have run and brought no whole answer. A target that
// was not given up by the host itself may have died of the call.
func (a *attempt) endUnanswered(reason string) result {
	cancelled := a.ctx.Err() != nil
	a.end(a.resultUnlessCancelled(balance.Silent))
	if !cancelled {
		a.call.gateway.reportSuspectedCrash(a.call.digest, a.choice.Target)
	}
	return result{outcome: core.Unknown, reason: reason}
}

// resultUnlessCancelled returns how a send ended that brought r: nothing that a target can
// help when the caller left.
func (a *attempt) resultUnlessCancelled(r balance.Result) balance.Result {
	if a.call.ctx.Err() != nil && a.call.gateway.clock.Now().Before(a.call.deadline) {
		return balance.Abandoned
	}
	return r
}

// readAnswer judges the head of a target's answer and reads on.
func (a *attempt) readAnswer(response *exchange.Response) (*upstreamResponse, result) {
	c, target := a.call, a.choice.Target
	answer := c.gateway.protocol.ReadTargetResponse(&response.Header)
	status := response.Status()
	if status != fasthttp.StatusMisdirectedRequest { // another target's word
		c.gateway.recordTargetState(target, answer)
	}
	if answer.NotRun {
		return nil, a.handleRefusal(response, answer)
	}
	c.sends++
	if status < fasthttp.StatusMultipleChoices && (!answer.Sealed || response.Get(fasthttp.HeaderContentEncoding) != "") {
		response.Close()
		a.end(balance.Silent)
		c.addStep("target %s: an answer without a seal", target.ID)
		return nil, result{outcome: core.Unknown, reason: "what came is no answer of a target"}
	}
	u := a.newUpstreamResponse(response, target.ID)
	if err := u.readStart(); err != nil {
		c.addStep("target %s: %v", target.ID, err)
		return nil, a.endUnanswered("an answer broke off")
	}
	a.onFirstByte()
	return a.finishResponse(u, status)
}

// finishResponse ends the send of a whole answer. A failure is the target's answer to the
// call and passed on, unless the target fails so many that it is at fault itself,
// and the call may be repeated.
func (a *attempt) finishResponse(u *upstreamResponse, status int) (*upstreamResponse, result) {
	switch {
	case u.stream != nil:
	case status < fasthttp.StatusInternalServerError:
		a.end(balance.Answered)
	default:
		a.end(balance.Failed)
		if a.call.mayRetry() && a.call.gateway.faulty(u.target) {
			u.body.Release()
			a.call.addStep("target %s answers %d", u.target, status)
			return nil, result{outcome: core.Unknown, reason: "a target failed"}
		}
	}
	return u, result{}
}

// handleRefusal takes a target's word that it has not run the call.
func (a *attempt) handleRefusal(response *exchange.Response, answer TargetResponse) result {
	status := response.Status()
	if _, err := response.ReadAll(maxBodyBytes); err != nil {
		a.call.addStep("the refusal of target %s broke off: %v", a.choice.Target.ID, err)
	}
	a.call.addStep("target %s refuses with %d", a.choice.Target.ID, status)
	if status == fasthttp.StatusMisdirectedRequest {
		a.call.gateway.retireTarget(a.choice.Target.ID)
	}
	if answer.RetryAfter > 0 {
		a.end(balance.Deferred)
	} else {
		a.end(balance.Refused)
	}
	return result{outcome: core.NotRun, reason: "a target refuses the call"}
}

// mayRetry reports whether a failure may be met by another send. A call from
// another host is sent at most once: that host counts the sends of all.
func (c *activeCall) mayRetry() bool {
	return !c.fromPeer && c.route.Repeatable() && c.sends < c.route.MaxAttempts && c.ctx.Err() == nil
}

// newUpstreamResponse returns the answer of a target, or of the host that relays it.
func (a *attempt) newUpstreamResponse(response *exchange.Response, from string) *upstreamResponse {
	u := &upstreamResponse{response: response, target: from, attempt: a}
	if a.call.isStream() && response.Status() == fasthttp.StatusOK {
		u.stream = newEventReader(response)
	}
	return u
}

// readStart reads a whole body, or a stream up to its first event.
func (u *upstreamResponse) readStart() error {
	if u.stream == nil {
		body, err := u.response.ReadWithin(u.attempt.call.gateway.bodies, maxBodyBytes)
		u.body = body
		return err
	}
	return u.readFirstEvent()
}

func (u *upstreamResponse) readFirstEvent() error {
	event, err := u.stream.next()
	if isEOF(err) {
		u.ended = true
		return nil
	}
	u.first = event
	return err
}
