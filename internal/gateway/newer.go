package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	pathPeerConfiguration = "/peer/configuration"
	// headerCatchesUp is set on a forwarded call whose sender goes by a newer configuration once it is
	// told of one. Calls of other hosts, of earlier builds, are routed by the receiver's configuration.
	headerCatchesUp = "Gateway-Catches-Up"
	// headerNewer is the version of the receiver's configuration, set if the call is refused because that
	// of the sender is older: a host must not see the effect of a version that it does not have.
	headerNewer = "Gateway-Newer"
	// maxNewerHosts bounds the hosts that wait to be asked for their newer configuration.
	maxNewerHosts = 8
	// newerTimeout bounds the request for a newer configuration, for which a call waits.
	newerTimeout = 500 * time.Millisecond
)

// refuseOlderSender refuses a forwarded call whose sender has an older configuration and catches up.
func (g *Gateway) refuseOlderSender(ctx *fasthttp.RequestCtx, senderVersion, version uint64) bool {
	if senderVersion >= version || len(ctx.Request.Header.Peek(headerCatchesUp)) == 0 {
		return false
	}
	g.metrics.add("calls_of_older_hosts_refused_total", 1)
	ctx.Response.Header.Set(headerNewer, strconv.FormatUint(version, 10))
	g.refuseForwardedCall(ctx, "the sender has an older configuration")
	return true
}

// fetchConfiguration adopts the configuration of a host that has a newer version. Concurrent requests are
// made once.
func (g *Gateway) fetchConfiguration(ctx context.Context, from member.Info, version uint64) {
	_, err, _ := g.configurationFetches.Do("", func() (any, error) {
		if g.configurationVersion() >= version {
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), newerTimeout) // other calls wait for it, too
		defer cancel()
		g.metrics.add("newer_configurations_fetched_total", 1)
		var b configurationBody
		if err := g.callPeer(ctx, from.PeerAddress, pathPeerConfiguration, bandwidth.Configurations, nil, &b); err != nil {
			return nil, err
		}
		g.follower.HandleUpdate(b.Update, catalogue.Contact{})
		g.log.Info("Another host had a newer configuration.", "From", from.Host, "Version", version, "InForce", g.configurationVersion())
		return nil, nil
	})
	if err != nil {
		g.log.Error(err, "A newer configuration could not be fetched.", "From", from.Host, "Version", version)
	}
}

// configurationVersion returns the version of the configuration in force, 0 for none.
func (g *Gateway) configurationVersion() uint64 {
	if table := g.catalogue.Snapshot().Table; table != nil {
		return table.Version()
	}
	return 0
}

// newerHost is a host that has a newer configuration than this one.
type newerHost struct {
	host    string
	version uint64
}

// noteNewerHost lets fetchFromNewerHosts ask the host that forwarded a call.
func (g *Gateway) noteNewerHost(passed core.Hops, version uint64) {
	for _, hop := range passed {
		_, host, _ := strings.Cut(hop, "/")
		g.newerHosts.TryPut(newerHost{host: host, version: version}) // a full queue has others to ask
	}
}

// fetchFromNewerHosts fetches newer configurations from hosts that forwarded calls judged by them, until
// ctx is done.
func (g *Gateway) fetchFromNewerHosts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case newer := <-g.newerHosts.Items():
			for _, m := range g.membersByName([]string{newer.host}) {
				g.fetchConfiguration(ctx, m, newer.version)
			}
		}
	}
}

// catchUp goes by the newer configuration of a host that refused the call for it. Its result says that
// the call has been sent nowhere.
func (c *activeCall) catchUp(host member.Info, response *exchange.Response) result {
	version, err := strconv.ParseUint(response.Get(headerNewer), 10, 64)
	if err == nil {
		c.gateway.fetchConfiguration(c.ctx, host, version)
	}
	if c.gateway.configurationVersion() <= c.version {
		c.gateway.avoidHost(host.Host, outdatedHostPause)
		return unsentResult("another host has a newer configuration")
	}
	if !c.reroute() {
		return result{outcome: c.outcomeWithoutRetry(), reason: "no route in the newest configuration", last: true}
	}
	c.addStep("goes on by version %d", c.version)
	return unsentResult("the configuration has changed")
}

// reroute applies the configuration in force to the call. It reports whether that has a route for it,
// and a target for the rest of its stream.
func (c *activeCall) reroute() bool {
	table := c.gateway.catalogue.Snapshot().Table
	r := table.Find(c.meta.Host, pathOf(c.meta.Target))
	if r == nil {
		return false
	}
	streamVersion := c.work.Version
	c.workspace = c.gateway.workspaceIn(table, c.credential) // checkKey refuses calls that need one and have none
	c.setRoute(table, r)
	if streamVersion != continuation.Unknown {
		return c.setVersion(streamVersion)
	}
	c.setYoungVersions()
	return true
}
