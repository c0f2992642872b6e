package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// headerKnown is the version of the configuration that the sender of a request for it has.
	headerKnown = "Gateway-Known"
	// versionQueryTimeout bounds the wait for what hosts of other regions know: a round trip between
	// regions and a margin.
	versionQueryTimeout = 250 * time.Millisecond
	// maxVersionQueryHosts bounds the hosts of each region that are asked.
	maxVersionQueryHosts = 2
	// versionQueryInterval is the least time between two queries, and maxVersionReplyAge how long the
	// replies to one count.
	versionQueryInterval = time.Second
	maxVersionReplyAge   = 2 * time.Second
)

// versionReplies are the regions of which a host has said that it has no newer configuration, or has
// sent it.
type versionReplies struct {
	regions []string
	at      time.Time
}

// followHomes lets the call go by the newest configuration if the homes of its route have changed since it
// came. A host without recent news asks the others first. It returns the reply to a call that cannot go on.
func (c *activeCall) followHomes() (reply, bool) {
	c.confirmed = nil
	if g := c.gateway; !c.fromPeer && len(c.route.HomeRegions) > 0 && !g.hasRecentNews() {
		c.confirmed = append([]string{g.settings.Region}, g.queryVersions(c.ctx)...)
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
	return !slices.Equal(r.HomeRegions, c.route.HomeRegions)
}

// mayGoTo reports whether the call may be forwarded to a region.
func (c *activeCall) mayGoTo(region string) bool {
	return c.route.MayServe(region) && (c.confirmed == nil || slices.Contains(c.confirmed, region))
}

// hasRecentNews reports whether this host has all changes of the store of before a short time.
func (g *Gateway) hasRecentNews() bool {
	age, known := g.newsAge(g.clock.Now())
	return known && age < contactTimeout
}

// queryVersions adopts the newest configuration that other hosts have, and returns the regions that
// answered. Queries are joined; while the last replies still count, no call waits for the next ones.
func (g *Gateway) queryVersions(ctx context.Context) []string {
	g.mu.Lock()
	last := g.versionReplies
	g.mu.Unlock()
	age := g.clock.Now().Sub(last.at)
	if age < versionQueryInterval {
		return last.regions
	}
	results := g.configurationFetches.DoChan("versions", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), versionQueryTimeout) // other calls wait for it, too
		defer cancel()
		g.metrics.add("configuration_queries_total", 1)
		replies := versionReplies{regions: g.queryRegions(ctx), at: g.clock.Now()}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.versionReplies = replies
		return replies.regions, nil
	})
	if age < maxVersionReplyAge {
		return last.regions
	}
	select {
	case r := <-results:
		regions, _ := r.Val.([]string)
		return regions
	case <-ctx.Done():
		return nil
	}
}

// queryRegions asks hosts of each region for a newer configuration until one of each has answered, and
// returns the regions that have.
func (g *Gateway) queryRegions(ctx context.Context) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	known, hosts := g.configurationVersion(), g.versionQueryHosts()
	var (
		wait sync.WaitGroup
		mu   sync.Mutex
		out  []string
	)
	for region, list := range hosts {
		for _, host := range list {
			wait.Go(func() {
				if !g.queryVersion(ctx, host, known) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if !slices.Contains(out, region) {
					out = append(out, region)
				}
				if len(out) == len(hosts) {
					cancel()
				}
			})
		}
	}
	wait.Wait()
	return out
}

// versionQueryHosts returns some random hosts of each region, by region. Suspected ones are among them, as a
// host that was away suspects the others.
func (g *Gateway) versionQueryHosts() map[string][]member.Info {
	members := slices.DeleteFunc(slices.Clone(g.gossip.View().Members), func(m member.Info) bool { return m.Host == g.settings.Host || m.Status == member.Gone })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	out := map[string][]member.Info{}
	for _, m := range members {
		if len(out[m.Region]) < maxVersionQueryHosts {
			out[m.Region] = append(out[m.Region], m)
		}
	}
	return out
}

// queryVersion adopts the configuration of a host if it is newer than a known one. It reports whether the host
// answered.
func (g *Gateway) queryVersion(ctx context.Context, host member.Info, known uint64) bool {
	var u catalogue.Update
	err := g.callPeer(ctx, host.PeerAddress, pathPeerConfiguration, nil, &u, func(h *fasthttp.RequestHeader) {
		h.Set(headerKnown, strconv.FormatUint(known, 10))
	})
	if err != nil {
		return false
	}
	if len(u.Events) > 0 {
		g.follower.HandleUpdate(u, time.Time{})
	}
	return true
}
