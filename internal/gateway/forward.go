package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// Headers between hosts.
const (
	headerLeft      = "Gateway-Left-Ms"
	headerAge       = "Gateway-Age-Ms"
	headerTook      = "Gateway-Took-Ms"
	headerTarget    = "Gateway-Target"
	headerReason    = "Gateway-Reason"
	headerSpilled   = "Gateway-Spilled"
	headerLastEvent = "Gateway-Last-Event"
	headerBehind    = "Gateway-Behind"
	headerPrefix    = "Gateway-"
)

// sendAway sends the call to a host of another region, which sends it to one of
// its targets and never on to another region.
func (f *flight) sendAway(region string) (*source, result) {
	f.away = append(f.away, region)
	host, ok := f.g.hostOf(region)
	if !ok {
		f.g.lostRegion(region)
		return nil, result{outcome: core.NotRun, reason: "no host of region " + region}
	}
	if f.sends > 0 && !f.countSend() {
		return nil, result{outcome: f.outcomeSoFar(), reason: "the budget for repeats is spent", last: true}
	}
	f.g.mu.Lock()
	f.g.regions.Sent(f.g.clock.Now(), region, f.work)
	f.g.mu.Unlock()
	t := f.newTry(f.left(), "")
	request := f.prepareAway()
	defer fasthttp.ReleaseRequest(request)
	began := f.g.clock.Now()
	response, err := f.g.peers.Do(t.ctx, host.PeerAddress, request)
	if err != nil {
		return nil, t.lostAway(region, host, err)
	}
	f.g.learnTrip(region, f.g.clock.Now().Sub(began), response.Get(headerTook))
	return t.readAway(region, host, response)
}

func (f *flight) prepareAway() *fasthttp.Request {
	request := f.copyRequest()
	h := &request.Header
	h.Set(headerLeft, strconv.FormatInt(f.left().Milliseconds(), 10))
	h.Set(headerAge, strconv.FormatInt(f.g.clock.Now().Sub(f.began).Milliseconds(), 10))
	h.Set(core.HeaderPassed, core.Hops(nil).Append(f.g.settings.Region, f.g.settings.Host).String())
	h.Set(core.HeaderVersion, strconv.FormatUint(f.version, 10))
	if f.spilled {
		h.Set(headerSpilled, "1")
	}
	if f.call.LastEvent != "" {
		h.Set(headerLastEvent, f.call.LastEvent)
	}
	f.g.sealRequest(request)
	return request
}

// lostAway judges a call to another host that brought no answer.
func (t *try) lostAway(region string, host member.Info, err error) result {
	f := t.f
	kind, _ := failure.KindOf[exchange.Kind](err)
	f.note("host %s: %v", host.Host, err)
	hasted := t.ctx.Err() != nil
	t.end(balance.Abandoned)
	if !hasted {
		f.g.lostHost(host.Host, region)
	}
	if kind == exchange.Unsent {
		return result{outcome: core.NotRun, reason: "no connection to another region"}
	}
	f.sends++
	return result{outcome: core.Unknown, reason: "another region did not answer"}
}

// readAway judges the answer of another host.
func (t *try) readAway(region string, host member.Info, response *exchange.Response) (*source, result) {
	f := t.f
	outcome := core.ParseOutcome(response.Get(core.HeaderOutcome))
	reason := response.Get(headerReason)
	if outcome != core.Run {
		if _, err := response.ReadAll(maxBodyBytes); err != nil {
			f.note("the refusal of host %s broke off: %v", host.Host, err)
		}
		t.end(balance.Abandoned)
		f.note("host %s: %s, %s", host.Host, outcome, reason)
		if outcome == core.NotRun && len(response.Get(headerBehind)) > 0 {
			f.g.behind(host.Host)
			f.away = f.away[:len(f.away)-1] // its other hosts may have the configuration
			return nil, result{outcome: outcome, reason: reason}
		}
		if outcome == core.NotRun {
			f.opensIn(response.Get(fasthttp.HeaderRetryAfter))
			f.g.refusedBy(region, f.work)
			return nil, result{outcome: outcome, reason: reason}
		}
		f.sends++
		return nil, result{outcome: outcome, reason: reason}
	}
	f.sends++
	s := t.newSource(response, host.Host+"/"+response.Get(headerTarget))
	if err := s.begin(); err != nil {
		t.end(balance.Abandoned)
		f.note("host %s: %v", host.Host, err)
		return nil, result{outcome: core.Unknown, reason: "an answer broke off"}
	}
	t.firstByte()
	return t.settle(s, min(response.Status(), fasthttp.StatusOK))
}

// opensIn takes when another region wants the call again, in seconds.
func (f *flight) opensIn(text string) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 {
		return
	}
	d := time.Duration(min(seconds, balance.MaxSpare.Seconds()) * float64(time.Second))
	if f.opens == 0 || d < f.opens {
		f.opens = d
	}
}

func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// stripGateway removes the headers between hosts.
func stripGateway(h *fasthttp.RequestHeader) {
	var names []string
	for key := range h.All() {
		if name := string(key); strings.HasPrefix(name, headerPrefix) || name == core.HeaderPassed ||
			name == core.HeaderVersion || name == core.HeaderSignature {
			names = append(names, name)
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}

// servePeer serves other hosts. Everything that they send is sealed.
func (g *Gateway) servePeer(ctx *fasthttp.RequestCtx) {
	if !g.checkRequest(&ctx.Request) {
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	switch target := string(ctx.RequestURI()); {
	case target == pathPeerBoard:
		g.serveBoard(ctx)
	case target == pathPeerNews:
		g.serveNews(ctx)
	case strings.HasPrefix(target, pathPeerCatalogue):
		g.serveCatalogue(ctx)
	default:
		g.serveReceived(ctx)
	}
}

// serveReceived runs a call that another host has sent here.
func (g *Gateway) serveReceived(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	passed := core.ParseHops(string(h.Peek(core.HeaderPassed)))
	if len(passed) != 1 || passed.HasHost(g.settings.Host) {
		g.refuseReceived(ctx, "the call has been at too many hosts")
		return
	}
	f := g.newFlight(ctx, true)
	if f == nil {
		return
	}
	sender, err := strconv.ParseUint(string(h.Peek(core.HeaderVersion)), 10, 64)
	if err != nil || sender > f.version {
		ctx.Response.Header.Set(headerBehind, "1")
		g.refuseReceived(ctx, "the host has an older configuration than the sender")
		return
	}
	f.began = f.began.Add(-time.Duration(atoi(string(h.Peek(headerAge)))) * time.Millisecond)
	if left := atoi(string(h.Peek(headerLeft))); left > 0 {
		f.deadline = g.clock.Now().Add(time.Duration(left) * time.Millisecond)
	}
	if last := string(h.Peek(headerLastEvent)); last != "" {
		f.call.LastEvent = last
	}
	if len(h.Peek(headerSpilled)) > 0 {
		g.mu.Lock()
		g.book.Received(g.clock.Now(), f.work)
		g.mu.Unlock()
	}
	stripGateway(h)
	g.serveFlight(ctx, f)
}

// refuseReceived tells another host that a call was not run here.
func (g *Gateway) refuseReceived(ctx *fasthttp.RequestCtx, reason string) {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(core.HeaderOutcome, core.NotRun.String())
	ctx.Response.Header.Set(headerReason, reason)
}
