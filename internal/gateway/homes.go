package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// headerKnown is the version of the configuration that the sender of a request for it has.
	headerKnown = "Gateway-Known"
	// versionQueryTimeout bounds the wait for what hosts of other regions know: a round trip between
	// regions and a margin.
	versionQueryTimeout = 250 * time.Millisecond
	// versionQueryInterval is the least time between two queries, and maxVersionQueryAge the time since the
	// last one after which calls wait for the next.
	versionQueryInterval = time.Second
	maxVersionQueryAge   = 2 * time.Second
)

// followHomes lets the call go by the newest configuration if the homes of its route have changed since it
// came. A host without recent news asks the others first. It returns the reply to a call that cannot go on.
func (c *activeCall) followHomes() (reply, bool) {
	if g := c.gateway; !c.fromPeer && c.route.Restricted() && !g.hasRecentNews() {
		g.queryVersions(c.ctx)
	}
	if !c.homesChanged() {
		return reply{}, false
	}
	if !c.reroute() || (c.maybeRun && !c.mayRetry()) {
		return c.hostReply("the homes of the route have changed", c.gateway.jitter(shortRetryAfter)), true
	}
	c.addStep("goes on by version %d, with other homes", c.version)
	return reply{}, false
}

// homesChanged reports whether a newer configuration than that of the call has other homes for it.
func (c *activeCall) homesChanged() bool {
	table, path := c.gateway.catalogue.Snapshot().Table, pathOf(c.meta.Target)
	if table.Version() <= c.version {
		return false
	}
	r := table.Find(c.meta.Host, path)
	if r == nil {
		return table.Withholds(c.meta.Host, path)
	}
	return !r.For(c.gateway.workspaceIn(table, c.credential)).SameHomes(c.route)
}

// hasRecentNews reports whether this host has all changes of the store of before a short time.
func (g *Gateway) hasRecentNews() bool {
	age, known := g.newsAge(g.clock.Now())
	return known && age < contactTimeout
}

// queryVersions adopts the newest configuration that a host of each region has. Queries are joined; for a
// time after one, no call waits for the next.
func (g *Gateway) queryVersions(ctx context.Context) {
	g.mu.Lock()
	age := g.clock.Now().Sub(g.versionsQueriedAt)
	g.mu.Unlock()
	if age < versionQueryInterval {
		return
	}
	ended := g.configurationFetches.DoChan("versions", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), versionQueryTimeout) // other calls wait for it, too
		defer cancel()
		g.metrics.add("configuration_queries_total", 1)
		known := g.configurationVersion()
		var wait sync.WaitGroup
		for _, host := range g.versionQueryHosts() {
			wait.Go(func() { g.queryVersion(ctx, host, known) })
		}
		wait.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.versionsQueriedAt = g.clock.Now()
		return nil, nil
	})
	if age < maxVersionQueryAge {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// versionQueryHosts returns a random host of each region. Suspected ones are among them, as a host that was
// away suspects the others.
func (g *Gateway) versionQueryHosts() map[string]member.Info {
	members := slices.Clone(g.gossip.View().Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	out := map[string]member.Info{}
	for _, m := range members {
		if m.Host != g.settings.Host && m.Status != member.Gone {
			out[m.Region] = m
		}
	}
	return out
}

// queryVersion adopts the configuration of a host if it is newer than a known one.
func (g *Gateway) queryVersion(ctx context.Context, host member.Info, known uint64) {
	var u catalogue.Update
	err := g.callPeer(ctx, host.PeerAddress, pathPeerConfiguration, bandwidth.Configurations, nil, &u, func(h *fasthttp.RequestHeader) {
		h.Set(headerKnown, strconv.FormatUint(known, 10))
	})
	if err != nil {
		g.log.Info("A host did not say whether it has a newer configuration.", "Host", host.Host, "Known", known, "Error", err.Error())
		return
	}
	if len(u.Events) > 0 {
		g.follower.HandleUpdate(u, catalogue.Contact{})
	}
}
