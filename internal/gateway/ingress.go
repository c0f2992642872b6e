package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/route"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	// defaultTimeout bounds a call without a deadline on a route without a timeout.
	defaultTimeout = 60 * time.Second
	// writeMargin is how long after the deadline of a call its caller may take to read the
	// response.
	writeMargin = time.Second
)

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(ctx *fasthttp.RequestCtx) {
	// The write deadline of the last call on the connection has passed, so that a refusal could not be written.
	_ = ctx.Conn().SetWriteDeadline(g.clock.Now().Add(defaultTimeout))
	if !g.reserveCall(callerServer, ctx) {
		return
	}
	c := g.readHead(ctx)
	if c == nil {
		upload.Refuse(ctx)
		return
	}
	if !g.readBody(callerServer, ctx, memory.Bodies, c.source(ctx)) {
		return
	}
	defer releaseBody(ctx)
	if c.accept(ctx) {
		g.serveActiveCall(ctx, c)
	}
}

// readHead returns the call of a request whose body has not been read yet. If the head shows that the call cannot be
// served, it writes the response itself and returns nil.
func (g *Gateway) readHead(ctx *fasthttp.RequestCtx) *activeCall {
	if g.headerExceeds(&ctx.Request.Header) {
		ctx.Error("the header is too long", fasthttp.StatusRequestHeaderFieldsTooLarge)
		ctx.SetConnectionClose()
		return nil
	}
	if !g.checkGrammar(callerServer, ctx) {
		return nil
	}
	stripInternalHeaders(&ctx.Request.Header)
	c := g.newActiveCall(ctx, false)
	if c == nil {
		return nil
	}
	c.identify("")
	if r, refused := c.checkKey(); refused {
		g.writeHostReply(ctx, r)
		return nil
	}
	return c
}

// newActiveCall reads the headers of a call and finds its route. Without a configuration or a
// route that can be used it writes the response itself and returns nil.
func (g *Gateway) newActiveCall(ctx *fasthttp.RequestCtx, fromPeer bool) *activeCall {
	call := g.protocol.ReadCall(&ctx.Request.Header)
	table, r := g.findRoute(ctx, call, fromPeer)
	if r == nil {
		return nil
	}
	g.protocol.StripReservedHeaders(&ctx.Request.Header)
	c := &activeCall{gateway: g, meta: call, fromPeer: fromPeer, request: &ctx.Request}
	c.setRoute(table, r)
	return c
}

// findRoute returns the route of a call, in the configuration in force. If there is none that can be used, it writes the
// response itself and returns nil.
func (g *Gateway) findRoute(ctx *fasthttp.RequestCtx, call Call, fromPeer bool) (*route.Table, *route.Route) {
	table := g.catalogue.Snapshot().Table
	if table == nil {
		g.log.Info("A call came before any configuration.", "ID", call.ID, "Received", fromPeer)
		g.metrics.add("calls_without_configuration_total", 1)
		g.writeHostReply(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: "no configuration yet", retryAfter: g.settings.Policy.OutageRetryAfter(call.Deadline, g.random())})
		return nil, nil
	}
	r := table.Find(call.Host, pathOf(call.Target))
	if r == nil && table.Withholds(call.Host, pathOf(call.Target)) {
		g.log.Info("The route of a call cannot be used.", "ID", call.ID, "Host", call.Host, "Version", table.Version(), "Received", fromPeer)
		g.metrics.add("calls_withheld_total", 1)
		g.writeHostReply(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: "the route cannot be used", retryAfter: g.settings.Policy.OutageRetryAfter(call.Deadline, g.random())})
		return nil, nil
	}
	if r == nil {
		g.log.Info("A call has no route.", "ID", call.ID, "Host", call.Host, "Version", table.Version(), "NewsAgeMs", g.newsAgeMs(g.clock.Now()))
		g.metrics.add("calls_without_route_total", 1)
		g.writeHostReply(ctx, reply{status: fasthttp.StatusNotFound, outcome: core.NotRun, reason: "no route"})
		return nil, nil
	}
	return table, r
}

// accept begins the time of a call whose body has been read. The configuration may have changed since the head was read:
// if that has no route for the call, accept writes the response itself and returns false.
func (c *activeCall) accept(ctx *fasthttp.RequestCtx) bool {
	g := c.gateway
	if table := g.catalogue.Snapshot().Table; table.Version() != c.version {
		table, r := g.findRoute(ctx, c.meta, c.fromPeer)
		if r == nil {
			return false
		}
		c.setRoute(table, r)
		c.identify(c.credential)
	}
	now := g.clock.Now()
	c.newsAgeMs, c.acceptedAt, c.arrivedAt, c.deadline = g.newsAgeMs(now), now, now, now.Add(callTimeout(c.meta, c.route))
	c.digest = g.signer.Digest(ctx.Request.Header.Method(), []byte(c.meta.Host), []byte(c.meta.Target), ctx.Request.Body())
	return true
}

// source returns who sends the call, for the shares of the memory: its workspace, or else its address.
func (c *activeCall) source(ctx *fasthttp.RequestCtx) string {
	if c.workspace != nil {
		return "workspace " + c.workspace.Name
	}
	return ctx.RemoteIP().String()
}

// setRoute lets the call go by a route of a configuration.
func (c *activeCall) setRoute(table *route.Table, r *route.Route) {
	c.route, c.version, c.service = r.For(c.workspace), table.Version(), r.PickService(c.meta.ID)
	c.work = balance.Work{
		Service: c.service, Priority: c.route.Priority, Urgent: r.Priority == 0, Tokens: c.meta.Tokens, Parts: c.meta.Parts, MaxGap: r.MaxGap, Key: c.meta.ID,
		NoHold: c.gateway.settings.Policy.HoldShare == 0,
	}
}

// callTimeout returns how long a call may take: the caller's deadline, at most the route's
// timeout.
func callTimeout(call Call, r *route.Route) time.Duration {
	d := defaultTimeout
	if r.Timeout > 0 {
		d = r.Timeout
	}
	if call.Deadline > 0 {
		d = min(d, call.Deadline)
	}
	return d
}

func pathOf(target string) string {
	for i := range target {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// serveActiveCall runs a call and writes the response.
func (g *Gateway) serveActiveCall(ctx *fasthttp.RequestCtx, c *activeCall) {
	g.inFlight.Add(1) // logEnd subtracts it
	c.ctx, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	unwatch := g.hangups.Add(ctx.Conn(), c.cancel)
	_ = ctx.Conn().SetWriteDeadline(c.deadline.Add(writeMargin)) // a closed connection fails at the write
	end := func() {
		unwatch()
		c.cancel()
	}
	r, refused := c.refuseOutlasting()
	if !refused {
		r, refused = c.requireVersion()
	}
	if !refused {
		r, refused = c.chargeQuota()
	}
	if !refused {
		c.setYoungVersions()
		r = c.run()
	}
	c.refundQuota(r)
	if r.upstream == nil {
		g.writeHostReply(ctx, r)
		c.setForwardHeaders(&ctx.Response.Header)
		c.logEnd(r.status, r.outcome, r.reason)
		end()
		return
	}
	c.writeUpstreamResponse(ctx, r, end)
}

// refuseOutlasting returns the reply to a call that comes so late in the drain time of the host that
// it may not end.
func (c *activeCall) refuseOutlasting() (reply, bool) {
	g := c.gateway
	if !g.drain.Load().mayOutlast(g.clock.Now(), c.deadline) {
		return reply{}, false
	}
	g.metrics.add("calls_refused_in_drain_total", 1)
	return c.hostReply("the host is leaving", g.jitter(shortRetryAfter)), true
}

// setForwardHeaders sets how long a forwarded call took at this host, and how often it reached targets.
func (c *activeCall) setForwardHeaders(h *fasthttp.ResponseHeader) {
	if c.fromPeer {
		h.Set(headerArrivals, strconv.Itoa(c.arrivals))
		h.Set(headerHost, c.gateway.settings.Host)
		h.Set(headerElapsed, strconv.FormatInt(c.gateway.clock.Now().Sub(c.arrivedAt).Milliseconds(), 10))
	}
}

// writeHostReply writes a response of the host itself.
func (g *Gateway) writeHostReply(ctx *fasthttp.RequestCtx, r reply) {
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(r.reason)
	h := &ctx.Response.Header
	h.Set(core.HeaderOutcome, r.outcome.String())
	h.Set(headerReason, r.reason)
	if r.suspect {
		h.Set(headerSuspect, "1")
	}
	if r.noPath {
		h.Set(headerNoPath, "1")
	}
	if r.retryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	g.closeWhenLeaving(ctx)
}

// closeWhenLeaving closes the connection after the response if the host is leaving, so that
// the client connects to another host.
func (g *Gateway) closeWhenLeaving(ctx *fasthttp.RequestCtx) {
	if g.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// writeUpstreamResponse relays a response. It calls end once the body has been passed on; for
// a stream, that is when the relay is closed.
func (c *activeCall) writeUpstreamResponse(ctx *fasthttp.RequestCtx, r reply, end func()) {
	u := r.upstream
	u.response.Header.CopyTo(&ctx.Response.Header)
	h := &ctx.Response.Header
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	if c.fromPeer {
		h.Set(core.HeaderOutcome, core.Run.String())
		h.Set(headerTarget, u.target)
		if u.version != continuation.Unknown {
			h.Set(headerVersion, formatVersion(u.version))
		}
		c.setForwardHeaders(h)
	} else {
		for _, name := range []string{core.HeaderOutcome, headerTarget, headerElapsed, headerReason, headerSuspect, headerNoPath, headerVersion, headerNumber, headerArrivals, headerHost} {
			h.Del(name)
		}
	}
	c.gateway.closeWhenLeaving(ctx)
	if u.stream == nil {
		if !u.body.HasReservation() {
			ctx.Response.SetBodyRaw(u.body.Bytes)
		} else {
			ctx.Response.SetBodyStream(&releasingBody{Reader: bytes.NewReader(u.body.Bytes), body: u.body}, len(u.body.Bytes))
		}
		c.logEnd(r.status, core.Run, r.reason)
		end()
		return
	}
	if !c.fromPeer {
		c.recordStream(u)
	}
	ctx.Response.SetBodyStream(&relay{call: c, upstream: u, pending: u.takeFirst(), ended: u.ended, finish: end, status: r.status}, -1)
}

// releasingBody releases the memory of a body once it has been written.
type releasingBody struct {
	*bytes.Reader
	body exchange.Body
}

// Close releases the body.
func (h *releasingBody) Close() error {
	h.body.Release()
	return nil
}

// relay is the body of a streamed response. It reads the stream event by event, and resumes a
// broken stream at another target where the route allows it.
type relay struct {
	call     *activeCall
	upstream *upstreamResponse
	pending  []byte
	ended    bool
	finish   func()
	status   int
	events   int
	err      error
	// brokenOff is the error with which the stream last broke off.
	brokenOff error
}

// Read returns bytes of complete events only.
func (r *relay) Read(b []byte) (int, error) {
	if len(r.pending) == 0 && !r.ended && r.err == nil {
		r.pending, r.err = r.next()
	}
	if len(r.pending) > 0 {
		n := copy(b, r.pending)
		if r.pending = r.pending[n:]; len(r.pending) == 0 {
			r.pending = nil // its memory is returned while the next event is read
		}
		return n, nil
	}
	if r.err != nil && !isEOF(r.err) {
		return 0, r.err
	}
	r.ended = true
	return 0, io.EOF
}

// next reads the next event, from another target if the stream breaks off.
func (r *relay) next() ([]byte, error) {
	start := r.call.gateway.clock.Now()
	event, err := r.upstream.stream.next()
	pause := r.call.gateway.clock.Now().Sub(start)
	if err == nil || isEOF(err) {
		r.upstream.attempt.onEvent(pause) // the wait before a failure is no pause between events
	}
	r.call.longestPause = max(r.call.longestPause, pause)
	for err != nil && !isEOF(err) {
		r.call.addStep("stream of %s after event %q: %v", r.upstream.target, r.upstream.stream.lastID, err)
		r.brokenOff = err
		if !r.resume() {
			return nil, err
		}
		if r.upstream.ended {
			return nil, io.EOF
		}
		event, err = r.upstream.takeFirst(), nil
	}
	r.events++
	return event, err
}

// resume continues the stream after its last event at another target. It reports whether it
// could.
func (r *relay) resume() bool {
	c, last := r.call, r.upstream.stream.lastID
	if a := r.upstream.attempt; a.flight != nil && a.ctx.Err() == nil {
		c.gateway.recordSendFailure(a.choice.Target, r.brokenOff)
		c.reportSuspectedCrash(a.choice.Target, r.events, c.gateway.clock.Now().Sub(a.beganAt) <= firstEventGrace)
	}
	r.upstream.attempt.end(r.upstream.attempt.resultUnlessCancelled(balance.Silent))
	r.upstream.response.Close()
	r.upstream.stream.release()
	if last == "" || !c.mayRetry() || !c.requireStreamVersion() {
		return false
	}
	c.meta.LastEventID, c.maybeRun = last, true
	c.triedRegions = nil // the region that served the stream so far may also resume it
	resumed := c.run()
	if resumed.upstream == nil {
		c.addStep("not resumed: %s", resumed.reason)
		return false
	}
	if resumed.upstream.stream == nil {
		resumed.upstream.body.Release()
		c.addStep("not resumed: status %d", resumed.status)
		return false
	}
	if resumed.upstream.version != c.work.Version {
		resumed.upstream.attempt.end(balance.Abandoned)
		resumed.upstream.response.Close()
		resumed.upstream.stream.release()
		c.addStep("not resumed: the response does not state the version that began the stream")
		return false
	}
	c.gateway.logResumed(c, r.upstream.attempt.choice.Target, resumed.upstream.attempt.choice.Target)
	r.upstream = resumed.upstream
	if r.upstream.stream.lastID == "" {
		r.upstream.stream.lastID = last
	}
	return true
}

// logResumed logs that a stream goes on at another target. The target is empty for another region.
func (g *Gateway) logResumed(c *activeCall, from, to catalogue.Target) {
	g.metrics.add("streams_resumed_total", 1)
	g.log.Info("A stream goes on at another target.", "ID", c.meta.ID, "From", from.Incarnation, "FromSoftware", from.Software,
		"To", to.Incarnation, "ToSoftware", to.Software, "LastEvent", c.meta.LastEventID)
}

// Close ends the call, whether or not the stream is complete.
func (r *relay) Close() error {
	r.call.forgetRunning()
	defer func() { r.upstream.stream.release() }()
	r.upstream.response.Close()
	if r.ended {
		r.upstream.attempt.end(balance.Answered)
		r.call.logEnd(r.status, core.Run, "whole stream")
	} else {
		r.upstream.attempt.end(r.upstream.attempt.resultUnlessCancelled(balance.Silent))
		r.call.logEnd(r.status, core.Unknown, fmt.Sprintf("the stream broke off after %d events", r.events))
	}
	r.finish()
	return nil
}
