package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/permission"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

// Headers between hosts.
const (
	headerPrefix = "Gateway-"

	// Of a forwarded call. headerAge is the time since the first host accepted it.
	headerRemaining = "Gateway-Left-Ms"
	headerAge       = "Gateway-Age-Ms"
	headerSpilled   = "Gateway-Spilled"
	headerLastEvent = "Gateway-Last-Event"
	// headerVersion is the software version at which a stream must go on. The response states that of
	// its target in the same header.
	headerVersion = "Gateway-Software"
	// headerCredential is the digest of the caller's key.
	headerCredential = "Gateway-Credential"

	// headerNumber is the number of a request between hosts. The response repeats it.
	headerNumber = "Gateway-Number"

	// headerArrivals is how many sends of the call have reached targets, or may have: before it was
	// forwarded, and in the response by the host that got it. The host that forwards a call has counted
	// it for the retry budget, and charged the next send if there were any. Hosts of builds without the
	// header do neither.
	headerArrivals = "Gateway-Arrivals"

	// Of the response. headerOutdated is set if the host has an older configuration than the
	// sender, and headerElapsed is the time that the call took at the host.
	headerElapsed = "Gateway-Took-Ms"
	headerTarget  = "Gateway-Target"
	// headerHost is the name of the host that responds. Hosts of builds before do not say.
	headerHost     = "Gateway-Host"
	headerReason   = "Gateway-Reason"
	headerOutdated = "Gateway-Behind"
	// headerNoPath is set if the call is refused because the host has no path to its targets.
	headerNoPath = "Gateway-No-Path"
	// headerSuspect is set if the call is refused because a part of its prompt may crash targets.
	headerSuspect = "Gateway-Suspect"
)

// sendToRegion forwards the call to a host of another region, which sends it to one of its
// targets and never on to a third region.
func (c *activeCall) sendToRegion(region string) (*upstreamResponse, result) {
	c.triedRegions = append(c.triedRegions, region)
	host, ok := c.pickHost(func(m member.Info) bool { return m.Region == region && c.understands(m) })
	if !ok {
		c.gateway.recordRegionUnreachable(region)
		return nil, result{outcome: core.NotRun, reason: "no host of region " + region}
	}
	c.gateway.mu.Lock()
	c.gateway.regions.CountSent(c.gateway.clock.Now(), region, c.work)
	c.gateway.mu.Unlock()
	return c.forward(host)
}

// forward sends the call to another host, which sends it to one of its targets.
func (c *activeCall) forward(host member.Info) (*upstreamResponse, result) {
	if r, ok := c.proveHostLocation(host); !ok {
		return nil, r
	}
	if !c.chargeRetryBudget() {
		return nil, result{outcome: c.outcomeWithoutRetry(), reason: "the budget for repeats is spent", last: true}
	}
	a := c.newAttempt(c.remaining(), "")
	request := c.newRegionRequest()
	defer fasthttp.ReleaseRequest(request)
	sent := c.gateway.moment()
	start := sent.at
	response, err := c.gateway.peerPool.DoIf(a.ctx, host.PeerAddress, request, func(string) error {
		if err := c.checkForward(host); err != nil {
			return err
		}
		c.recordForward(host)
		return nil
	})
	if err != nil {
		return nil, a.forwardFailed(host, start, err)
	}
	if response.Get(headerHost) == host.Host {
		c.gateway.recordHostAnswer(host, sent)
	}
	if host.Region != c.gateway.settings.Region {
		c.gateway.recordRoundTrip(host.Region, c.gateway.clock.Now().Sub(start), response.Get(headerElapsed))
	}
	return a.readForwardResponse(host, response)
}

// checkForward reports why the body of a call may not go to a host any more, after the time that it took to open a
// connection.
func (c *activeCall) checkForward(to member.Info) error {
	verdict := c.gateway.permits(permission.Forward, c.route.Homes(), to.Region) // before it asks for newer homes, which may come meanwhile
	if c.homesChanged() {
		return errors.New("the homes of the call have changed")
	}
	if to.Region != c.gateway.settings.Region && verdict != permission.Granted {
		return errors.New("nothing shows that the homes of the call are in force")
	}
	return c.checkHostLocation(to)
}

// recordForward counts a call that is sent to another host, and logs one that not every region may serve.
func (c *activeCall) recordForward(to member.Info) {
	g, restricted := c.gateway, c.route.Homes().Restricted()
	g.metrics.add(fmt.Sprintf("forwarded_calls_total{region=%q,homes=\"%t\"}", to.Region, restricted), 1)
	if restricted {
		e := g.evidence()
		hostLocationAge, _ := g.hostLocationAge(to)
		g.metrics.observeAge("forward_location_age_ms", hostLocationAge)
		g.log.Info("A call with home regions is forwarded.", "ID", c.meta.ID, "Route", c.route.Name, "Homes", c.route.HomeRegions, "WorkspaceHomes", c.route.WorkspaceRegions, "Version", c.version,
			"Region", g.settings.Region, "To", to.Host, "ToRegion", to.Region, "Repeat", c.arrivals > 0,
			"Witness", e.Witness.String(), "EvidenceAgeMs", e.Age.Milliseconds(), "LocationAgeMs", hostLocationAge.Milliseconds())
	}
}

// recordOutsideHomes counts and logs a forwarded call whose route this region may not serve.
func (c *activeCall) recordOutsideHomes(passed core.Hops, senderVersion uint64) {
	c.gateway.metrics.add("forwarded_calls_outside_homes_total", 1)
	c.gateway.log.Info("A call came to a region that may not serve its route.", "ID", c.meta.ID, "Route", c.route.Name, "Homes", c.route.HomeRegions, "WorkspaceHomes", c.route.WorkspaceRegions,
		"Version", c.version, "From", passed.String(), "FromVersion", senderVersion)
}

func (c *activeCall) newRegionRequest() *fasthttp.Request {
	request := c.copyRequest()
	h := &request.Header
	h.Set(headerRemaining, strconv.FormatInt(c.remaining().Milliseconds(), 10))
	h.Set(headerAge, strconv.FormatInt(c.gateway.clock.Now().Sub(c.acceptedAt).Milliseconds(), 10))
	h.Set(core.HeaderPassed, core.Hops(nil).Append(c.gateway.settings.Region, c.gateway.settings.Host).String())
	h.Set(core.HeaderVersion, strconv.FormatUint(c.version, 10))
	h.Set(headerArrivals, strconv.Itoa(c.arrivals))
	h.Set(headerCatchesUp, "1")
	if c.spilled {
		h.Set(headerSpilled, "1")
	}
	if c.meta.LastEventID != "" {
		h.Set(headerLastEvent, c.meta.LastEventID)
	}
	if c.work.Version != continuation.Unknown {
		h.Set(headerVersion, formatVersion(c.work.Version))
	}
	if c.workspace != nil {
		h.Set(headerCredential, c.credential)
	}
	c.gateway.signRequest(request)
	return request
}

// forwardFailed ends an attempt at another host that brought no response.
func (a *attempt) forwardFailed(host member.Info, sentAt time.Time, err error) result {
	c := a.call
	kind, _ := failure.KindOf[exchange.Kind](err)
	c.addStep("host %s: %v", host.Host, err)
	cancelled := a.ctx.Err() != nil
	a.end(balance.Abandoned)
	if kind == exchange.Withdrawn {
		c.gateway.metrics.add("withdrawn_sends_total", 1)
		c.retryHost(host)
		return unsentResult("what permitted the forward does not hold any more")
	}
	if !cancelled && !link.IsExhausted(err) {
		c.gateway.recordHostFailure(host, sentAt, err)
		c.retryRegion(host.Region)
	}
	if kind == exchange.Unsent {
		return unsentResult("no connection to another host")
	}
	c.arrivals++
	c.attempts++
	return result{outcome: core.Unknown, reason: "another host did not answer"}
}

// readForwardResponse handles the response of another host.
func (a *attempt) readForwardResponse(host member.Info, response *exchange.Response) (*upstreamResponse, result) {
	c := a.call
	outcome := core.ParseOutcome(response.Get(core.HeaderOutcome))
	c.arrivals += arrivalsOf(response)
	reason := response.Get(headerReason)
	if outcome != core.Run {
		if err := response.Discard(maxRefusalBytes); err != nil {
			c.addStep("the refusal of host %s broke off: %v", host.Host, err)
		}
		a.end(balance.Abandoned)
		c.addStep("host %s: %s, %s", host.Host, outcome, reason)
		if outcome == core.NotRun && len(response.Get(headerOutdated)) > 0 {
			c.gateway.avoidHost(host.Host, outdatedHostPause)
			c.retryRegion(host.Region) // other hosts of the region may have the configuration
			return nil, result{outcome: outcome, reason: reason}
		}
		if outcome == core.NotRun && len(response.Get(headerNewer)) > 0 {
			c.retryHost(host)
			return nil, c.catchUp(host, response)
		}
		if outcome == core.NotRun && len(response.Get(headerNoPath)) > 0 {
			c.gateway.avoidHost(host.Host, pathlessPause)
			c.retryRegion(host.Region)
			return nil, unsentResult(reason)
		}
		if outcome == core.NotRun && len(response.Get(headerSuspect)) > 0 {
			c.recordRegionRetryAfter(response.Get(fasthttp.HeaderRetryAfter))
			return nil, suspectResult(reason, max(c.regionRetryAfter, shortRetryAfter))
		}
		if outcome == core.NotRun {
			c.recordRegionRetryAfter(response.Get(fasthttp.HeaderRetryAfter))
			if host.Region != c.gateway.settings.Region {
				c.gateway.recordRegionRefusal(host.Region, c.work)
			}
			return nil, result{outcome: outcome, reason: reason}
		}
		c.attempts++
		return nil, result{outcome: outcome, reason: reason}
	}
	c.attempts++
	u := a.newUpstreamResponse(response, host.Host+"/"+response.Get(headerTarget))
	u.version = parseVersion(response.Get(headerVersion))
	if err := u.readStart(); err != nil {
		a.end(balance.Abandoned)
		c.addStep("host %s: %v", host.Host, err)
		return nil, result{outcome: core.Unknown, reason: "an answer broke off"}
	}
	a.onFirstByte()
	return a.finishResponse(u)
}

// arrivalsOf returns how many sends by another host have reached targets, or may have. One that does not
// say may have sent the call.
func arrivalsOf(response *exchange.Response) int {
	if n, err := strconv.Atoi(response.Get(headerArrivals)); err == nil && n >= 0 {
		return n
	}
	return 1
}

// retryHost lets the call go to a host that has not taken it up once more.
func (c *activeCall) retryHost(host member.Info) {
	c.retryRegion(host.Region)
	c.triedNeighbours = slices.DeleteFunc(c.triedNeighbours, func(h string) bool { return h == host.Host })
}

// retryRegion lets the call go to another host of a region.
func (c *activeCall) retryRegion(region string) {
	c.triedRegions = slices.DeleteFunc(c.triedRegions, func(r string) bool { return r == region })
}

// recordRegionRetryAfter records the Retry-After of a region that refused the call, given in
// seconds.
func (c *activeCall) recordRegionRetryAfter(text string) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 {
		return
	}
	d := time.Duration(min(seconds, balance.MaxBackoff.Seconds()) * float64(time.Second))
	if c.regionRetryAfter == 0 || d < c.regionRetryAfter {
		c.regionRetryAfter = d
	}
}

// atoi returns the integer in text, 0 if text is no integer.
func atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// stripInternalHeaders removes the headers that only hosts may set.
func stripInternalHeaders(h *fasthttp.RequestHeader) {
	var names []string
	for key := range h.All() {
		if name := string(key); isInternal(name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}

// isInternal reports whether only hosts may set a header, whatever the case of its name.
func isInternal(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix) ||
		slices.ContainsFunc([]string{core.HeaderPassed, core.HeaderVersion, core.HeaderSignature}, func(n string) bool { return strings.EqualFold(n, name) })
}

// servePeer serves requests of other hosts. It refuses requests without a valid signature.
func (g *Gateway) servePeer(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().SetWriteDeadline(g.clock.Now().Add(defaultTimeout)) // see serveCaller
	if number := string(ctx.Request.Header.Peek(headerNumber)); number != "" {
		defer func() { ctx.Response.Header.Set(headerNumber, number) }()
	}
	if !g.reserveCall(peerServer, ctx) {
		return
	}
	if !g.checkGrammar(peerServer, ctx) {
		upload.Refuse(ctx)
		return
	}
	if len(ctx.Request.Header.Peek(core.HeaderSignature)) != seal.SignatureDigits {
		upload.Refuse(ctx)
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	kind := memory.Bodies // the sender may be no host
	if g.verifyHead(&ctx.Request) {
		kind = memory.Control
	}
	if !g.readBody(peerServer, ctx, kind, ctx.RemoteIP().String()) {
		return
	}
	defer releaseBody(ctx)
	if !g.verifyRequest(&ctx.Request) {
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	g.countReceived(ctx)
	switch target := string(ctx.RequestURI()); {
	case len(ctx.Request.Header.Peek(core.HeaderPassed)) > 0: // whatever its path
		g.serveForwardedCall(ctx)
	case target == pathPeerItems:
		g.serveItems(ctx)
	case target == pathPeerUpdate:
		g.serveUpdate(ctx)
	case target == pathPeerUpdateFrame:
		g.serveUpdateFrame(ctx)
	case target == pathPeerConfiguration:
		g.serveConfiguration(ctx)
	case strings.HasPrefix(target, pathPeerCatalogue):
		g.serveCatalogue(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveForwardedCall runs a call that another host forwarded.
func (g *Gateway) serveForwardedCall(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerArrivals, "0") // until the call is sent
	ctx.Response.Header.Set(headerHost, g.settings.Host)
	h := &ctx.Request.Header
	passed := core.ParseHops(string(h.Peek(core.HeaderPassed)))
	if len(passed) != 1 || passed.HasHost(g.settings.Host) {
		g.refuseForwardedCall(ctx, "the call has been at too many hosts")
		return
	}
	c := g.newActiveCall(ctx, true)
	if c == nil || !c.accept(ctx) {
		return
	}
	senderVersion, err := strconv.ParseUint(string(h.Peek(core.HeaderVersion)), 10, 64)
	c.identify(string(h.Peek(headerCredential)))
	if !c.mayRun() {
		c.recordOutsideHomes(passed, senderVersion)
	}
	if err != nil || senderVersion > c.version {
		g.noteNewerHost(passed, senderVersion)
		ctx.Response.Header.Set(headerOutdated, "1")
		g.refuseForwardedCall(ctx, "the host has an older configuration than the sender")
		return
	}
	if g.refuseOlderSender(ctx, senderVersion, c.version) {
		return
	}
	if r, refused := c.checkKey(); refused {
		g.refuseForwardedCall(ctx, r.reason)
		return
	}
	c.acceptedAt = c.acceptedAt.Add(-time.Duration(atoi(string(h.Peek(headerAge)))) * time.Millisecond)
	if left := atoi(string(h.Peek(headerRemaining))); left > 0 {
		c.deadline = g.clock.Now().Add(time.Duration(left) * time.Millisecond)
	}
	if before, err := strconv.Atoi(string(h.Peek(headerArrivals))); err == nil {
		c.counted, c.repeat, c.prepaid = true, before > 0, before > 0
	}
	if last := string(h.Peek(headerLastEvent)); last != "" {
		c.meta.LastEventID = last
	}
	if v := parseVersion(string(h.Peek(headerVersion))); v != continuation.Unknown && !c.setVersion(v) {
		g.refuseForwardedCall(ctx, "no target has the version that began the stream")
		return
	}
	if len(h.Peek(headerSpilled)) > 0 {
		g.mu.Lock()
		g.balancer.CountReceived(g.clock.Now(), c.work)
		g.mu.Unlock()
	}
	stripInternalHeaders(h)
	g.serveActiveCall(ctx, c)
}

// refuseForwardedCall responds to another host that its call was not run.
func (g *Gateway) refuseForwardedCall(ctx *fasthttp.RequestCtx, reason string) {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(core.HeaderOutcome, core.NotRun.String())
	ctx.Response.Header.Set(headerReason, reason)
}
