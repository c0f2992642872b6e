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
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// defaultTimeout bounds a call that has neither deadline nor timeout.
	defaultTimeout = 60 * time.Second
	// writeMargin is how long after a call's end its caller may take to read.
	writeMargin = time.Second
)

// serveCaller serves one request of a caller.
func (g *Gateway) serveCaller(ctx *fasthttp.RequestCtx) {
	stripInternalHeaders(&ctx.Request.Header)
	if c := g.newActiveCall(ctx, false); c != nil {
		g.serveActiveCall(ctx, c)
	}
}

// newActiveCall reads a call and finds its route. It answers what has none.
func (g *Gateway) newActiveCall(ctx *fasthttp.RequestCtx, fromPeer bool) *activeCall {
	call := g.protocol.ReadCall(&ctx.Request.Header)
	table := g.catalogue.Now().Table
	if table == nil {
		g.log.Info("A call came before any configuration.", "ID", call.ID, "Received", fromPeer)
		g.metrics.add("calls_without_configuration_total", 1)
		g.writeHostReply(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: "no configuration yet", retryAfter: g.settings.Policy.AfterRecovery(call.Deadline, g.random())})
		return nil
	}
	r := table.Find(call.Host, pathOf(call.Target))
	if r == nil {
		g.log.Info("A call has no route.", "ID", call.ID, "Host", call.Host, "Version", table.Version())
		g.metrics.add("calls_without_route_total", 1)
		g.writeHostReply(ctx, reply{status: fasthttp.StatusNotFound, outcome: core.NotRun, reason: "no route"})
		return nil
	}
	g.protocol.StripReservedHeaders(&ctx.Request.Header)
	now := g.clock.Now()
	c := &activeCall{
		gateway: g, meta: call, route: r, service: r.Pick(call.ID), version: table.Version(), fromPeer: fromPeer,
		acceptedAt: now, arrivedAt: now, deadline: now.Add(callTimeout(call, r)), request: &ctx.Request,
	}
	c.work = balance.Work{Service: c.service, Rank: r.Rank, Tokens: call.Tokens, Parts: call.Parts, Gap: r.MaxGap, Key: call.ID, Pressed: g.settings.Policy.HoldShare == 0}
	c.digest = g.sealer.Digest(ctx.Request.Header.Method(), []byte(call.Host), []byte(call.Target), ctx.Request.Body())
	return c
}

// callTimeout is how long a call may take: what its caller waits for, within the
// route's timeout.
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

// serveActiveCall runs a call and answers it.
func (g *Gateway) serveActiveCall(ctx *fasthttp.RequestCtx, c *activeCall) {
	g.inFlight.Add(1) // until logEnd
	c.ctx, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	forget := g.hangups.Add(ctx.Conn(), c.cancel)
	_ = ctx.Conn().SetWriteDeadline(c.deadline.Add(writeMargin)) // a closed connection fails at the write
	end := func() {
		forget()
		c.cancel()
	}
	answer := c.run()
	if answer.upstream == nil {
		g.writeHostReply(ctx, answer)
		c.setElapsedHeader(&ctx.Response.Header)
		c.logEnd(answer.status, answer.outcome, answer.reason)
		end()
		return
	}
	c.writeUpstreamResponse(ctx, answer, end)
}

// setElapsedHeader tells another host how long its call took here.
func (c *activeCall) setElapsedHeader(h *fasthttp.ResponseHeader) {
	if c.fromPeer {
		h.Set(headerTook, strconv.FormatInt(c.gateway.clock.Now().Sub(c.arrivedAt).Milliseconds(), 10))
	}
}

// writeHostReply writes an answer of the host itself.
func (g *Gateway) writeHostReply(ctx *fasthttp.RequestCtx, r reply) {
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(r.reason)
	h := &ctx.Response.Header
	h.Set(core.HeaderOutcome, r.outcome.String())
	h.Set(headerReason, r.reason)
	if r.retryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	g.closeWhenLeaving(ctx)
}

// closeWhenLeaving tells the peer to open its next connection elsewhere.
func (g *Gateway) closeWhenLeaving(ctx *fasthttp.RequestCtx) {
	if g.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderContentLength, fasthttp.HeaderTE, "Proxy-Connection",
}

// writeUpstreamResponse passes a target's answer on. end is called once it is through.
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
		c.setElapsedHeader(h)
	} else {
		for _, name := range []string{core.HeaderOutcome, headerTarget, headerTook, headerReason} {
			h.Del(name)
		}
	}
	c.gateway.closeWhenLeaving(ctx)
	if u.stream == nil {
		if !u.body.Counted() {
			ctx.Response.SetBodyRaw(u.body.Bytes)
		} else {
			ctx.Response.SetBodyStream(&releasingBody{Reader: bytes.NewReader(u.body.Bytes), body: u.body}, len(u.body.Bytes))
		}
		c.logEnd(r.status, core.Run, r.reason)
		end()
		return
	}
	ctx.Response.SetBodyStream(&relay{call: c, upstream: u, pending: u.first, ended: u.ended, finish: end, status: r.status}, -1)
}

// releasingBody gives back the memory of a body once it is written.
type releasingBody struct {
	*bytes.Reader
	body exchange.Body
}

// Close releases the body.
func (h *releasingBody) Close() error {
	h.body.Release()
	return nil
}

// relay gives a stream to the server event by event, and goes on at another
// target where the route allows it.
type relay struct {
	call     *activeCall
	upstream *upstreamResponse
	pending  []byte
	ended    bool
	finish   func()
	status   int
	events   int
	err      error
}

// Read returns bytes of whole events.
func (r *relay) Read(b []byte) (int, error) {
	if len(r.pending) == 0 && !r.ended && r.err == nil {
		r.pending, r.err = r.next()
	}
	if len(r.pending) > 0 {
		n := copy(b, r.pending)
		r.pending = r.pending[n:]
		return n, nil
	}
	if r.err != nil && !isEOF(r.err) {
		return 0, r.err
	}
	r.ended = true
	return 0, io.EOF
}

// next reads the next event, if need be from another target.
func (r *relay) next() ([]byte, error) {
	began := r.call.gateway.clock.Now()
	event, err := r.upstream.stream.next()
	pause := r.call.gateway.clock.Now().Sub(began)
	if err == nil || isEOF(err) {
		r.upstream.attempt.onEvent(pause) // silence before a stream breaks off is no pause of it
	}
	r.call.longestPause = max(r.call.longestPause, pause)
	for err != nil && !isEOF(err) {
		r.call.addStep("stream of %s after event %q: %v", r.upstream.target, r.upstream.stream.last, err)
		if !r.resume() {
			return nil, err
		}
		if r.upstream.ended {
			return nil, io.EOF
		}
		event, err = r.upstream.first, nil
	}
	r.events++
	return event, err
}

// resume goes on with the stream after its last event at another target.
func (r *relay) resume() bool {
	c, last := r.call, r.upstream.stream.last
	r.upstream.attempt.end(r.upstream.attempt.resultUnlessCancelled(balance.Silent))
	r.upstream.response.Close()
	if last == "" || !c.mayRetry() {
		return false
	}
	c.meta.LastEventID, c.maybeRun = last, true
	c.triedRegions = nil // a region that has served a part of the stream may go on with it
	again := c.run()
	if again.upstream == nil {
		c.addStep("not resumed: %s", again.reason)
		return false
	}
	if again.upstream.stream == nil {
		again.upstream.body.Release()
		c.addStep("not resumed: status %d", again.status)
		return false
	}
	r.upstream = again.upstream
	if r.upstream.stream.last == "" {
		r.upstream.stream.last = last
	}
	return true
}

// Close ends the stream, whole or not.
func (r *relay) Close() error {
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
