package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/permission"
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

// testimony is what other hosts have said of the configuration in force here: none had a newer one.
type testimony struct {
	// storeAsOf is the time until which a host had all changes of the store.
	storeAsOf time.Time
	// askedAt is when hosts without recent news were asked, and regions are theirs, without the own one.
	askedAt time.Time
	regions []string
}

// evidence returns what shows that the configuration of this host is in force. The caller must not hold g.mu.
func (g *Gateway) evidence() permission.Evidence {
	g.noticeSuspension()
	now, asOf := g.clock.Now(), g.follower.LastContact()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.testimony.storeAsOf.After(asOf) {
		asOf = g.testimony.storeAsOf
	}
	stored := permission.Evidence{Witness: permission.Store, Age: now.Sub(asOf)}
	hosts := permission.Evidence{Witness: permission.Hosts, Age: now.Sub(g.testimony.askedAt), Regions: g.testimony.regions}
	switch {
	case !asOf.IsZero() && stored.Recent():
		return stored
	case len(hosts.Regions) > 0 && hosts.Recent():
		return hosts
	default:
		return permission.Evidence{}
	}
}

// permits returns whether bodies may go to a region, and what shows it. The caller must not hold g.mu.
func (g *Gateway) permits(use permission.Use, homes permission.Homes, region string) (permission.Verdict, permission.Evidence) {
	e := g.evidence()
	return permission.Decide(use, homes, g.settings.Region, region, e), e
}

// mayRun reports whether the call may run at targets of the own region.
func (c *activeCall) mayRun() bool {
	verdict, _ := c.gateway.permits(permission.Run, c.route.Homes(), c.gateway.settings.Region)
	return verdict == permission.Granted
}

// seekEvidence asks other hosts whether the configuration is in force, unless that has been shown lately.
func (g *Gateway) seekEvidence(ctx context.Context) {
	if !g.evidence().Recent() {
		g.queryVersions(ctx)
	}
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
		g.recordTestimony(g.askHosts(ctx))
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

// askHosts asks a host of each region for a newer configuration, and returns what those say that have none.
func (g *Gateway) askHosts(ctx context.Context) (t testimony, suspendedFor time.Duration) {
	g.noticeSuspension()
	g.mu.Lock()
	t.askedAt, suspendedFor = g.clock.Now(), g.suspendedFor
	g.mu.Unlock()
	known := g.configurationVersion()
	regions := map[string]bool{}
	var mu sync.Mutex // guards t and regions
	var wait sync.WaitGroup
	for _, host := range g.versionQueryHosts() {
		wait.Go(func() {
			contactAge, ok := g.queryVersion(ctx, host, known)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if contactAge != nil && t.askedAt.Add(-*contactAge).After(t.storeAsOf) {
				t.storeAsOf = t.askedAt.Add(-*contactAge)
			}
			if host.Region != g.settings.Region {
				regions[host.Region] = true
			}
		})
	}
	wait.Wait()
	t.regions = slices.Sorted(maps.Keys(regions))
	return t, suspendedFor
}

// recordTestimony records what hosts have said, unless the machine was suspended while they were asked.
func (g *Gateway) recordTestimony(t testimony, suspendedFor time.Duration) {
	g.noticeSuspension()
	g.mu.Lock()
	if g.suspendedFor == suspendedFor {
		g.versionsQueriedAt = g.clock.Now()
		if g.testimony.storeAsOf.After(t.storeAsOf) {
			t.storeAsOf = g.testimony.storeAsOf
		}
		g.testimony = t
		for _, region := range t.regions {
			if t.askedAt.After(g.regionLastSeen[region]) {
				g.regionLastSeen[region] = t.askedAt
			}
		}
	}
	g.mu.Unlock()
	e := g.evidence()
	g.metrics.add(fmt.Sprintf("configuration_evidence_total{witness=%q}", e.Witness), 1)
	g.log.Info("Other hosts were asked whether the configuration is in force.", "Version", g.configurationVersion(), "Witness", e.Witness.String(),
		"EvidenceAgeMs", e.Age.Milliseconds(), "Regions", t.regions, "NewsAgeMs", g.newsAgeMs(g.clock.Now()))
}

// versionQueryHosts returns a host of each region, a random one of those in use if there are any. Suspected ones are
// among them, as a host that was away suspects the others.
func (g *Gateway) versionQueryHosts() map[string]member.Info {
	members := slices.Clone(g.gossip.View().Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	out := map[string]member.Info{}
	for _, m := range members {
		if m.Host == g.settings.Host || m.Status == member.Gone || isReplaced(m, members) {
			continue
		}
		if found, ok := out[m.Region]; !ok || m.InUse() && !found.InUse() {
			out[m.Region] = m
		}
	}
	return out
}

// configurationBody is a configuration with what its host knows of whether it is in force. Hosts of builds before it
// send an update, and nothing if they have no newer configuration.
type configurationBody struct {
	catalogue.Update
	// Host is the name of the host that responds.
	Host string `json:",omitempty"`
	// ContactAgeMs is the age of its news from the store, nil if it has none.
	ContactAgeMs *int64 `json:",omitempty"`
}

// queryVersion adopts the configuration of a host if it is newer than a known one. It returns the age of that host's news
// from the store, nil if it has none, and false unless this host now has what the other one has.
func (g *Gateway) queryVersion(ctx context.Context, host member.Info, known uint64) (*time.Duration, bool) {
	var b configurationBody
	err := g.callPeer(ctx, host.PeerAddress, pathPeerConfiguration, bandwidth.Configurations, nil, &b, func(h *fasthttp.RequestHeader) {
		h.Set(headerKnown, strconv.FormatUint(known, 10))
	})
	if err != nil {
		g.log.Info("A host did not say whether it has a newer configuration.", "Host", host.Host, "Region", host.Region, "Known", known, "Error", err.Error())
		return nil, false
	}
	if b.Host != "" && b.Host != host.Host {
		g.log.Info("Another host responds at the address of a host.", "Host", host.Host, "Region", host.Region, "Responds", b.Host)
		g.avoidHost(host.Host, hostFailurePause)
		return nil, false
	}
	if len(b.Events) > 0 {
		g.follower.HandleUpdate(b.Update, catalogue.Contact{})
		if g.configurationVersion() <= known {
			return nil, false // it cannot be used here
		}
	}
	if b.ContactAgeMs == nil || *b.ContactAgeMs < 0 || *b.ContactAgeMs > catalogue.MaxContactAge.Milliseconds() {
		return nil, true
	}
	age := time.Duration(*b.ContactAgeMs) * time.Millisecond
	return &age, true
}

// serveConfiguration responds with the configuration in force, as an update without a revision, or without it if the
// sender has it. A host that has no recent news and may not have heard yet what others know, as it has started or
// was paused, does not vouch for its configuration.
func (g *Gateway) serveConfiguration(ctx *fasthttp.RequestCtx) {
	contactAge := g.contactAgeMs() // read first, as the configuration must not be older
	event, ok := g.catalogue.Configuration()
	known, err := strconv.ParseUint(string(ctx.Request.Header.Peek(headerKnown)), 10, 64)
	body := configurationBody{Update: catalogue.Update{Partial: true}, Host: g.settings.Host, ContactAgeMs: contactAge}
	switch {
	case ok && (err != nil || g.configurationVersion() > known):
		body.Events = append(body.Events, event)
		g.writeBulk(ctx, bandwidth.Configurations, body)
	case !g.hasRecentNews() && g.runningFor() < permission.MaxAge:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default: // not paced, as calls wait for it
		g.writeJSON(ctx, body)
		g.bandwidth.Count(bandwidth.Configurations, bandwidth.Sent, len(ctx.Response.Body()))
	}
}

// runningFor returns for how long the process has run without a pause.
func (g *Gateway) runningFor() time.Duration {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	since := g.balancer.ResumedAt(now)
	if g.started.After(since) {
		since = g.started
	}
	return now.Sub(since)
}
