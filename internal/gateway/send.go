package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// maxBodyBytes bounds the body of a response that is no stream, and maxBodyMemoryBytes
	// the long bodies that are held at once: a part of the memory of the smallest host.
	maxBodyBytes       = 8 << 20
	maxBodyMemoryBytes = 12 << 20
	// maxRefusalBytes bounds the body of a refusal, which is read only to keep its connection.
	maxRefusalBytes = 64 << 10
	// The first-byte timeout of a call that may be retried is at least firstByteTimeoutFactor
	// times the predicted time and firstByteTimeoutShare of the time left, so that a slow
	// response is not abandoned for none at all.
	firstByteTimeoutFactor = 3
	firstByteTimeoutShare  = 1.0 / 3
	// maxAlternativeShare is the part of the time left within which the first byte of another
	// target must be expected before the current attempt is abandoned for it.
	maxAlternativeShare = 0.5
)

// upstreamResponse is a response of a target or of a host in another region. Its body has been
// read completely or, if it is a stream, up to the first event.
type upstreamResponse struct {
	response *exchange.Response
	body     exchange.Body // of a response that is no stream
	stream   *eventReader  // nil unless the response is a stream
	first    []byte        // first event of a stream
	ended    bool          // the stream ended before its first event
	// version is the software version of the target, Unknown for another region that does not say.
	version continuation.Version
	target  string // ID of the target, or host/target for another region
	attempt *attempt
}

// attempt is one attempt to run a call at a target or in another region.
type attempt struct {
	call   *activeCall
	choice balance.Choice
	flight *balance.Flight // nil for another region
	sentAt time.Time       // of an attempt at a target
	// admittedCold is set if the target was cold when the attempt began.
	admittedCold bool
	// beganAt is when the first byte of the response arrived, zero before. answered is set once
	// the response counts as evidence for the parts of the prompt.
	beganAt  time.Time
	answered bool
	ctx      context.Context
	cancel   context.CancelFunc
	// timer runs for firstByteTimeout; it is nil for attempts without that timeout.
	timer            *time.Timer
	firstByteTimeout time.Duration
	exclude          []string // targets that are no alternative to this attempt
}

// newAttempt starts an attempt. If the call may be retried, the attempt is abandoned once the
// first byte takes too long and another target can run the call. Any other attempt lasts until
// the deadline of the call.
func (c *activeCall) newAttempt(predicted time.Duration, id string) *attempt {
	a := &attempt{call: c, exclude: append(slices.Clone(c.triedTargets), id)}
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	if !c.fromPeer && c.route.Repeatable() && c.attempts+1 < c.route.MaxAttempts {
		a.firstByteTimeout = max(firstByteTimeoutFactor*predicted, c.route.LatencyObjective, balance.Scale(c.remaining(), firstByteTimeoutShare))
		a.timer = time.AfterFunc(a.firstByteTimeout, a.onFirstByteTimeout)
	}
	return a
}

// onFirstByteTimeout cancels the attempt if another target can run the call in time.
// Otherwise it restarts the timer: without an alternative, a late response is still useful.
func (a *attempt) onFirstByteTimeout() {
	if a.call.hasAlternative(a.exclude) {
		a.cancel()
		return
	}
	a.timer.Reset(a.firstByteTimeout)
}

// hasAlternative reports whether a target that is not excluded is predicted to send the first
// byte well within the time left, and the retry budget allows another attempt.
func (c *activeCall) hasAlternative(exclude []string) bool {
	if !c.mayRun() {
		return false
	}
	now := c.gateway.clock.Now()
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	work := c.work
	work.Loads, work.Queried = nil, nil // these loads date from before the attempt
	work.NoLimited = true               // admission may be denied
	choice, ok := c.gateway.balancer.Choose(now, work, exclude)
	return ok && !slices.Contains(exclude, choice.Target.ID) && c.gateway.budget(c.service).Available(now) >= 1 &&
		choice.Prediction.Total() < balance.Scale(c.remaining(), maxAlternativeShare)
}

// onFirstByte records the arrival of the first byte of the response.
func (a *attempt) onFirstByte() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.beganAt = a.call.gateway.clock.Now()
	if a.call.firstByteAt.IsZero() {
		a.call.firstByteAt = a.beganAt
	}
	a.record(func(now time.Time, b *balance.Balancer) {
		b.FirstByte(now, a.flight)
		a.call.gateway.recordTypicalTime(a.call.route.Name, a.choice.Prediction.Processing)
	})
	if a.call.isStream() {
		a.sendChange() // the target has read the prompt; a response that is no stream has ended
	}
}

// sendChange reports the progress or end of an attempt at a target to other hosts.
func (a *attempt) sendChange() {
	if a.flight != nil {
		a.call.gateway.sendChange(a.choice.Target.ID, balance.Work{})
	}
}

func (c *activeCall) isStream() bool { return c.route.Kind == route.Stream }

// record updates the balancer with the progress of an attempt at a target. For another region,
// the host there does so.
func (a *attempt) record(update func(now time.Time, b *balance.Balancer)) {
	if a.flight == nil {
		return
	}
	g := a.call.gateway
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	update(now, g.balancer)
}

// recordAnswered records that the target lived on after it began the response.
func (a *attempt) recordAnswered() {
	if a.flight == nil || a.answered {
		return
	}
	a.answered = true
	a.call.recordAnswered()
}

// onEvent records the pause before an event of a stream.
func (a *attempt) onEvent(pause time.Duration) {
	if a.call.gateway.clock.Now().Sub(a.beganAt) > firstEventGrace {
		a.recordAnswered()
	}
	a.record(func(now time.Time, b *balance.Balancer) { b.Event(now, a.flight, pause) })
}

// end releases the resources of the attempt and records its result.
func (a *attempt) end(r balance.Result) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel()
	if r == balance.Answered {
		a.recordAnswered()
	} else if r != balance.Silent && a.flight != nil {
		a.call.endTrial()
	}
	a.record(func(now time.Time, b *balance.Balancer) { b.End(now, a.flight, r) })
	a.sendChange()
}

// sendToTarget attempts the call at a target of the own region.
func (c *activeCall) sendToTarget(choice balance.Choice) (*upstreamResponse, result) {
	target := choice.Target
	if !c.chargeRetryBudget() {
		return nil, result{outcome: c.outcomeWithoutRetry(), reason: "the budget for repeats is spent", last: true}
	}
	a := c.newAttempt(choice.Prediction.Total(), target.ID)
	a.choice, a.sentAt = choice, c.gateway.clock.Now()
	c.gateway.mu.Lock()
	a.flight = c.gateway.balancer.Begin(a.sentAt, target.ID, c.work, balance.WithFetch(choice.Fetched))
	c.gateway.countLimitedSend(target.ID, c.sendKind())
	if choice.Full > 0 {
		c.gateway.metrics.add("full_targets_avoided_total", int64(choice.Full))
	}
	state, cold := c.gateway.balancer.ColdStateOf(a.sentAt, target.ID)
	c.gateway.mu.Unlock()
	a.admittedCold = cold
	if cold {
		c.logColdSend(target, state)
	}
	c.gateway.sendChange(target.ID, c.work)
	c.triedTargets = append(c.triedTargets, target.ID)
	request := c.newTargetRequest(TargetRequest{
		Instance: target.ID, Workspace: c.workspaceName(), Timeout: c.remaining(), Priority: c.route.Priority, HasPriority: c.work.Tokens > 0, FetchFrom: choice.Source.Address,
	})
	defer fasthttp.ReleaseRequest(request)
	response, err := c.gateway.targetPool.DoIf(a.ctx, target.Address, request, a.checkSend)
	if err != nil {
		return nil, a.targetSendFailed(err)
	}
	return a.readTargetResponse(response)
}

// logColdSend logs a call that is sent to a cold target.
func (c *activeCall) logColdSend(t catalogue.Target, s balance.ColdState) {
	c.gateway.metrics.add("cold_sends_total", 1)
	c.gateway.log.Info("A call is sent to a cold target.", "ID", c.meta.ID, "Target", t.Incarnation, "LeftMs", s.Left.Milliseconds(), "Kind", c.sendKind(),
		"Assigned", s.Assigned, "Live", s.Live, "Known", s.Known, "Settled", s.Settled)
}

// sendKind returns the kind of the next send of the call, for metrics.
func (c *activeCall) sendKind() string {
	switch {
	case c.fromPeer:
		return "forwarded"
	case c.attempts+c.refusals > 0:
		return "repeat"
	default:
		return "first"
	}
}

// chargeRetryBudget reports whether the retry budget allows another send, and charges it. The first
// send of a call that reaches a target is always allowed, and adds to the budget. Each later one is
// charged once: a forward by the host that forwards the call, all others by the host that sends it to
// a target.
func (c *activeCall) chargeRetryBudget() bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	budget, now := c.gateway.budget(c.service), c.gateway.clock.Now()
	if c.prepaid {
		c.prepaid = false
		return true
	}
	if c.arrivals == 0 && !c.repeat {
		if !c.counted {
			c.counted = true
			budget.Deposit(now)
		}
		return true
	}
	allowed := budget.TryWithdraw(now)
	c.gateway.metrics.add(fmt.Sprintf("repeats_total{service=%q,allowed=\"%t\"}", c.service, allowed), 1)
	return allowed
}

// outcomeWithoutRetry returns the outcome of the call if no further attempt is made.
func (c *activeCall) outcomeWithoutRetry() core.Outcome {
	if c.maybeRun {
		return core.Unknown
	}
	return core.NotRun
}

// newTargetRequest returns a copy of the caller's request with the headers for a target.
func (c *activeCall) newTargetRequest(t TargetRequest) *fasthttp.Request {
	request := c.copyRequest()
	if t.LastEventID == "" {
		t.LastEventID = c.meta.LastEventID
	}
	c.gateway.protocol.WriteTargetRequest(&request.Header, t)
	return request
}

func (c *activeCall) remaining() time.Duration { return c.deadline.Sub(c.gateway.clock.Now()) }

// targetSendFailed ends an attempt at a target that brought no response.
func (a *attempt) targetSendFailed(err error) result {
	c, target := a.call, a.choice.Target
	kind, _ := failure.KindOf[exchange.Kind](err)
	c.addStep("target %s: %v (%d ms)", target.ID, err, c.gateway.clock.Now().Sub(a.sentAt).Milliseconds())
	c.gateway.metrics.add(fmt.Sprintf("target_send_failures_total{kind=%q,error=%q}", kind, errorClass(err)), 1)
	if kind == exchange.Withdrawn {
		a.end(balance.Abandoned)
		c.gateway.metrics.add("withdrawn_sends_total", 1)
		return result{outcome: core.NotRun, reason: "the target may have restarted"}
	}
	if link.IsExhausted(err) { // says nothing about the target
		a.end(balance.Abandoned)
		return unsentResult("the host has no free descriptor")
	}
	if a.ctx.Err() == nil {
		c.gateway.recordSendFailure(target, err)
	}
	if kind == exchange.Unsent {
		a.end(a.resultUnlessCancelled(balance.Unreached))
		c.gateway.wakePathProbes()
		return unsentResult("no connection to a target")
	}
	c.arrivals++
	c.attempts++
	return a.endUnanswered("a target did not answer")
}

// errorClass returns a name for the way in which a connection failed, for metrics.
func errorClass(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	default:
		return "other"
	}
}

// endUnanswered ends an attempt that may have run the call and brought no complete response.
// Unless the attempt was cancelled, the call may have crashed the target.
func (a *attempt) endUnanswered(reason string) result {
	cancelled := a.ctx.Err() != nil
	a.end(a.resultUnlessCancelled(balance.Silent))
	if !cancelled {
		a.call.reportSuspectedCrash(a.choice.Target, 0, true)
	}
	return result{outcome: core.Unknown, reason: reason}
}

// resultUnlessCancelled returns r, or Abandoned if the caller cancelled the call before its
// deadline, which is no failure of the target.
func (a *attempt) resultUnlessCancelled(r balance.Result) balance.Result {
	if a.call.ctx.Err() != nil && a.call.gateway.clock.Now().Before(a.call.deadline) {
		return balance.Abandoned
	}
	return r
}

// readTargetResponse handles the headers of a target's response and reads the start of its
// body.
func (a *attempt) readTargetResponse(response *exchange.Response) (*upstreamResponse, result) {
	c, target := a.call, a.choice.Target
	headers := c.gateway.protocol.ReadTargetResponse(&response.Header)
	status := response.Status()
	c.arrivals++
	if status != fasthttp.StatusMisdirectedRequest { // sent by another target
		c.gateway.recordTargetAnswer(target, a.sentAt, cmp.Or(headers.Instance, target.ID))
		c.gateway.recordTargetState(target, a.sentAt, headers)
	}
	if headers.NotRun {
		return nil, a.handleRefusal(response, headers)
	}
	c.attempts++
	if status < fasthttp.StatusMultipleChoices && (!headers.Sealed || response.Get(fasthttp.HeaderContentEncoding) != "") {
		response.Close()
		a.end(balance.Silent)
		c.addStep("target %s: an answer without a seal", target.ID)
		return nil, result{outcome: core.Unknown, reason: "what came is no answer of a target"}
	}
	u := a.newUpstreamResponse(response, target.ID)
	u.version = a.choice.Version
	if err := u.readStart(); err != nil {
		c.addStep("target %s: %v", target.ID, err)
		if a.ctx.Err() == nil {
			c.gateway.recordSendFailure(target, err)
		}
		return nil, a.endUnanswered("an answer broke off")
	}
	a.onFirstByte()
	return a.finishResponse(u)
}

// finishResponse ends the attempt unless the response is a stream. A response with a server error is
// relayed like any other, unless the target fails so many calls that it is at fault itself and the call may
// be retried. A status that promises that the call has not run is not relayed, as the target does not say so
// in the header for that.
func (a *attempt) finishResponse(u *upstreamResponse) (*upstreamResponse, result) {
	status := u.response.Status()
	promises := promisesNotRun(status)
	switch {
	case u.stream != nil:
		return u, result{}
	case status < fasthttp.StatusInternalServerError && !promises, a.flight == nil && !promises:
		a.end(balance.Answered)
		return u, result{}
	}
	a.end(balance.Failed)
	retry := a.call.mayRetry() && a.call.gateway.faulty(u.target)
	if !retry && !promises {
		return u, result{}
	}
	u.body.Release()
	a.call.addStep("target %s answers %d", u.target, status)
	if promises {
		a.call.gateway.metrics.add("unconfirmed_refusals_total", 1)
	}
	a.call.maybeRun = true
	return nil, result{outcome: core.Unknown, reason: "a target failed", last: !retry}
}

// promisesNotRun reports whether a status tells callers that their call has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handleRefusal ends an attempt whose target reported that it did not run the call.
func (a *attempt) handleRefusal(response *exchange.Response, headers TargetResponse) result {
	status := response.Status()
	if err := response.Discard(maxRefusalBytes); err != nil {
		a.call.addStep("the refusal of target %s broke off: %v", a.choice.Target.ID, err)
	}
	a.call.addStep("target %s refuses with %d", a.choice.Target.ID, status)
	a.call.gateway.metrics.add("refused_sends_total", 1)
	if status == fasthttp.StatusMisdirectedRequest {
		a.call.gateway.retireTarget(a.choice.Target.ID)
	}
	if headers.RetryAfter > 0 {
		a.end(balance.Deferred)
	} else {
		a.end(balance.Refused)
	}
	if status != fasthttp.StatusMisdirectedRequest {
		a.call.gateway.recordRefusal(a.choice.Target)
	}
	return result{outcome: core.NotRun, reason: "a target refuses the call"}
}

// mayRetry reports whether another attempt may follow a failed one. A forwarded call gets a
// single attempt, because the forwarding host counts the attempts of all hosts.
func (c *activeCall) mayRetry() bool {
	return !c.fromPeer && c.route.Repeatable() && c.attempts < c.route.MaxAttempts && c.ctx.Err() == nil
}

// newUpstreamResponse returns the response of a target, or of the host that relays it.
func (a *attempt) newUpstreamResponse(response *exchange.Response, from string) *upstreamResponse {
	u := &upstreamResponse{response: response, target: from, attempt: a}
	if a.call.isStream() && response.Status() == fasthttp.StatusOK {
		u.stream = newEventReader(response, a.call.gateway.bodyMemory)
	}
	return u
}

// readStart reads the complete body, or a stream up to its first event.
func (u *upstreamResponse) readStart() error {
	if u.stream == nil {
		body, err := u.response.ReadAllWithin(u.attempt.call.gateway.bodyMemory, maxBodyBytes)
		u.body = body
		return err
	}
	return u.readFirstEvent()
}

// takeFirst returns the first event and drops it, so that its memory is not held as long as the stream.
func (u *upstreamResponse) takeFirst() []byte {
	first := u.first
	u.first = nil
	return first
}

func (u *upstreamResponse) readFirstEvent() error {
	event, err := u.stream.next()
	if isEOF(err) {
		if u.response.CloseDelimited() {
			return io.ErrUnexpectedEOF // the target may have crashed before the first event
		}
		u.ended = true
		return nil
	}
	u.first = event
	return err
}
