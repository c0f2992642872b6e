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
	stripGateway(&ctx.Request.Header)
	if f := g.newFlight(ctx, false); f != nil {
		g.serveFlight(ctx, f)
	}
}

// newFlight reads a call and finds its route. It answers what has none.
func (g *Gateway) newFlight(ctx *fasthttp.RequestCtx, received bool) *flight {
	call := g.protocol.ReadCall(&ctx.Request.Header)
	table := g.catalogue.Now().Table
	if table == nil {
		g.log.Info("A call came before any configuration.", "ID", call.ID, "Received", received)
		g.metrics.add("calls_without_configuration_total", 1)
		g.writeOwn(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: "no configuration yet", retryAfter: g.settings.Policy.AfterRecovery(call.Deadline, g.random())})
		return nil
	}
	r := table.Find(call.Host, pathOf(call.Target))
	if r == nil {
		g.log.Info("A call has no route.", "ID", call.ID, "Host", call.Host, "Version", table.Version())
		g.metrics.add("calls_without_route_total", 1)
		g.writeOwn(ctx, reply{status: fasthttp.StatusNotFound, outcome: core.NotRun, reason: "no route"})
		return nil
	}
	g.protocol.Strip(&ctx.Request.Header)
	now := g.clock.Now()
	f := &flight{
		g: g, call: call, route: r, service: r.Pick(call.ID), version: table.Version(), received: received,
		began: now, arrival: now, deadline: now.Add(timeout(call, r)), request: &ctx.Request,
	}
	f.work = balance.Work{Service: f.service, Rank: r.Rank, Tokens: call.Tokens, Parts: call.Parts, Gap: r.MaxGap, Key: call.ID, Pressed: g.settings.Policy.HoldShare == 0}
	f.digest = g.sealer.Digest(ctx.Request.Header.Method(), []byte(call.Host), []byte(call.Target), ctx.Request.Body())
	return f
}

// timeout is how long a call may take: what its caller waits for, within the
// route's timeout.
func timeout(call Call, r *route.Route) time.Duration {
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

// serveFlight runs a call and answers it.
func (g *Gateway) serveFlight(ctx *fasthttp.RequestCtx, f *flight) {
	g.inFlight.Add(1) // until logEnd
	f.ctx, f.cancel = context.WithDeadline(context.Background(), f.deadline)
	forget := g.hangups.Add(ctx.Conn(), f.cancel)
	_ = ctx.Conn().SetWriteDeadline(f.deadline.Add(writeMargin)) // a closed connection fails at the write
	end := func() {
		forget()
		f.cancel()
	}
	answer := f.run()
	if answer.source == nil {
		g.writeOwn(ctx, answer)
		f.writeTook(&ctx.Response.Header)
		f.logEnd(answer.status, answer.outcome, answer.reason)
		end()
		return
	}
	f.writeAnswer(ctx, answer, end)
}

// writeTook tells another host how long its call took here.
func (f *flight) writeTook(h *fasthttp.ResponseHeader) {
	if f.received {
		h.Set(headerTook, strconv.FormatInt(f.g.clock.Now().Sub(f.arrival).Milliseconds(), 10))
	}
}

// writeOwn writes an answer of the host itself.
func (g *Gateway) writeOwn(ctx *fasthttp.RequestCtx, r reply) {
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

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderContentLength, fasthttp.HeaderTE, "Proxy-Connection",
}

// writeAnswer passes a target's answer on. end is called once it is through.
func (f *flight) writeAnswer(ctx *fasthttp.RequestCtx, r reply, end func()) {
	s := r.source
	s.response.Header.CopyTo(&ctx.Response.Header)
	h := &ctx.Response.Header
	for _, name := range perConnection {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
	if f.received {
		h.Set(core.HeaderOutcome, core.Run.String())
		h.Set(headerTarget, s.target)
		f.writeTook(h)
	} else {
		for _, name := range []string{core.HeaderOutcome, headerTarget, headerTook, headerReason} {
			h.Del(name)
		}
	}
	f.g.closeWhenLeaving(ctx)
	if s.stream == nil {
		if !s.body.HasReservation() {
			ctx.Response.SetBodyRaw(s.body.Bytes)
		} else {
			ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(s.body.Bytes), body: s.body}, len(s.body.Bytes))
		}
		f.logEnd(r.status, core.Run, r.reason)
		end()
		return
	}
	ctx.Response.SetBodyStream(&relay{f: f, s: s, pending: s.first, ended: s.ended, finish: end, status: r.status}, -1)
}

// heldBody gives back the memory of a body once it is written.
type heldBody struct {
	*bytes.Reader
	body exchange.Body
}

// Close releases the body.
func (h *heldBody) Close() error {
	h.body.Release()
	return nil
}

// relay gives a stream to the server event by event, and goes on at another
// target where the route allows it.
type relay struct {
	f       *flight
	s       *source
	pending []byte
	ended   bool
	finish  func()
	status  int
	events  int
	err     error
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
	if r.err != nil && !isEnd(r.err) {
		return 0, r.err
	}
	r.ended = true
	return 0, io.EOF
}

// next reads the next event, if need be from another target.
func (r *relay) next() ([]byte, error) {
	began := r.f.g.clock.Now()
	event, err := r.s.stream.next()
	pause := r.f.g.clock.Now().Sub(began)
	if err == nil || isEnd(err) {
		r.s.try.event(pause) // silence before a stream breaks off is no pause of it
	}
	r.f.longestPause = max(r.f.longestPause, pause)
	for err != nil && !isEnd(err) {
		r.f.note("stream of %s after event %q: %v", r.s.target, r.s.stream.last, err)
		if !r.resume() {
			return nil, err
		}
		if r.s.ended {
			return nil, io.EOF
		}
		event, err = r.s.first, nil
	}
	r.events++
	return event, err
}

// resume goes on with the stream after its last event at another target.
func (r *relay) resume() bool {
	f, last := r.f, r.s.stream.last
	r.s.try.end(r.s.try.resultOf(balance.Silent))
	r.s.response.Close()
	if last == "" || !f.worthRepeating() {
		return false
	}
	f.call.LastEvent, f.maybe = last, true
	f.away = nil // a region that has served a part of the stream may go on with it
	again := f.run()
	if again.source == nil {
		f.note("not resumed: %s", again.reason)
		return false
	}
	if again.source.stream == nil {
		again.source.body.Release()
		f.note("not resumed: status %d", again.status)
		return false
	}
	r.s = again.source
	if r.s.stream.last == "" {
		r.s.stream.last = last
	}
	return true
}

// Close ends the stream, whole or not.
func (r *relay) Close() error {
	r.s.response.Close()
	if r.ended {
		r.s.try.end(balance.Answered)
		r.f.logEnd(r.status, core.Run, "whole stream")
	} else {
		r.s.try.end(r.s.try.resultOf(balance.Silent))
		r.f.logEnd(r.status, core.Unknown, fmt.Sprintf("the stream broke off after %d events", r.events))
	}
	r.finish()
	return nil
}
