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

	"github.com/pkg/errors"
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
	// evidenceRefreshAge is the age from which on evidence of hosts is sought anew.
	evidenceRefreshAge = 1500 * time.Millisecond
	// maxVersionQueryHosts bounds the hosts of a region that are asked in a query. The second one is asked if the first
	// one fails or has not answered for hangTime.
	maxVersionQueryHosts = 2
	hangTime             = versionQueryTimeout / 2
)

// testimony is what other hosts have said of the configuration in force here: none had a newer one.
type testimony struct {
	// storeAsOf is the time until which a host had all changes of the store.
	storeAsOf time.Time
	// vouchedAt is when hosts without recent news were asked last that answered, by region, without the own one.
	vouchedAt map[string]time.Time
}

// withLater returns the testimony with what was said later.
func (t testimony) withLater(later testimony) testimony {
	out := testimony{storeAsOf: t.storeAsOf, vouchedAt: map[string]time.Time{}}
	if later.storeAsOf.After(out.storeAsOf) {
		out.storeAsOf = later.storeAsOf
	}
	maps.Copy(out.vouchedAt, t.vouchedAt)
	maps.Copy(out.vouchedAt, later.vouchedAt)
	return out
}

// hosts returns the evidence of the hosts that have vouched lately.
func (t testimony) hosts(now time.Time) permission.Evidence {
	e := permission.Evidence{Witness: permission.Hosts}
	for _, region := range slices.Sorted(maps.Keys(t.vouchedAt)) {
		if age := now.Sub(t.vouchedAt[region]); age < permission.MaxAge {
			e.Age, e.Regions = max(e.Age, age), append(e.Regions, region)
		}
	}
	return e
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
	hosts := g.testimony.hosts(now)
	switch {
	case !asOf.IsZero() && stored.Recent():
		return stored
	case len(hosts.Regions) > 0:
		return hosts
	default:
		asked := !g.versionsQueriedAt.IsZero() && now.Sub(g.versionsQueriedAt) < permission.MaxAge
		return permission.Evidence{Isolated: asked && g.runningFor(now) >= permission.MaxAge}
	}
}

// permits returns whether bodies may go to a region. The caller must not hold g.mu.
func (g *Gateway) permits(use permission.Use, homes permission.Homes, region string) permission.Verdict {
	return permission.Decide(use, homes, g.fleet(), region, g.evidence())
}

// fleet returns the regions of the fleet as this host sees them.
func (g *Gateway) fleet() permission.Fleet {
	return permission.Fleet{Own: g.settings.Region, Regions: slices.Compact(slices.Sorted(maps.Values(g.settings.DataCentres)))}
}

// mayRun reports whether the call may run at targets of the own region.
func (c *activeCall) mayRun() bool {
	return c.gateway.permits(permission.Run, c.route.Homes(), c.gateway.settings.Region) == permission.Granted
}

// recordRegionHeard records that a host of another region was heard. If nothing was heard of the region for long, calls ask
// again at once whether the configuration is in force, however short ago nobody answered. The caller holds g.mu.
func (g *Gateway) recordRegionHeard(region string, at time.Time) {
	last := g.regionLastSeen[region]
	if !at.After(last) {
		return
	}
	g.regionLastSeen[region] = at
	if at.Sub(last) > regionSilenceTimeout {
		g.versionsQueriedAt = time.Time{}
	}
}

// seekEvidence asks other hosts whether the configuration is in force, unless that has been shown lately. What hosts
// have shown is asked anew in time, so that calls need not wait.
func (g *Gateway) seekEvidence(ctx context.Context) {
	if e := g.evidence(); !e.Recent() || e.Witness == permission.Hosts && e.Age > evidenceRefreshAge {
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

// askHosts asks hosts of each region for a newer configuration, and returns what those say that have none. askedAt is
// when, and suspendedFor how long the machine had been suspended until then.
func (g *Gateway) askHosts(ctx context.Context) (t testimony, askedAt time.Time, suspendedFor time.Duration) {
	g.noticeSuspension()
	g.mu.Lock()
	askedAt, suspendedFor = g.clock.Now(), g.suspendedFor
	g.mu.Unlock()
	t.vouchedAt = map[string]time.Time{}
	known := g.configurationVersion()
	var mu sync.Mutex // guards t
	var wait sync.WaitGroup
	for region, hosts := range g.versionQueryHosts() {
		wait.Go(func() {
			contactAge, ok := g.askRegion(ctx, hosts, known)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if contactAge != nil && askedAt.Add(-*contactAge).After(t.storeAsOf) {
				t.storeAsOf = askedAt.Add(-*contactAge)
			}
			if region != g.settings.Region {
				t.vouchedAt[region] = askedAt
			}
		})
	}
	wait.Wait()
	return t, askedAt, suspendedFor
}

// askRegion asks hosts of a region, the next one once one fails or hangs, and returns what the first one says that answers.
func (g *Gateway) askRegion(ctx context.Context, hosts []member.Info, known uint64) (contactAge *time.Duration, ok bool) {
	type answer struct {
		contactAge *time.Duration
		err        error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(hosts))
	hangs := g.clock.After(hangTime)
	running := 0
	for len(hosts)+running > 0 {
		if len(hosts) > 0 {
			host := hosts[0]
			hosts, running = hosts[1:], running+1
			go func() {
				contactAge, err := g.queryVersion(ctx, host, known)
				answers <- answer{contactAge, err}
			}()
		}
		select {
		case a := <-answers:
			running--
			if a.err == nil {
				return a.contactAge, true
			}
		case <-hangs:
			hangs = nil
		}
	}
	return nil, false
}

// recordTestimony records what hosts have said, unless the machine was suspended while they were asked.
func (g *Gateway) recordTestimony(t testimony, askedAt time.Time, suspendedFor time.Duration) {
	g.noticeSuspension()
	g.mu.Lock()
	if g.suspendedFor == suspendedFor {
		g.testimony = g.testimony.withLater(t)
		for region := range t.vouchedAt {
			g.recordRegionHeard(region, askedAt)
		}
		g.versionsQueriedAt = askedAt
	}
	g.mu.Unlock()
	e := g.evidence()
	g.metrics.add(fmt.Sprintf("configuration_evidence_total{witness=%q}", e.Witness), 1)
	g.log.Info("Other hosts were asked whether the configuration is in force.", "Version", g.configurationVersion(), "Witness", e.Witness.String(),
		"EvidenceAgeMs", e.Age.Milliseconds(), "Answered", slices.Sorted(maps.Keys(t.vouchedAt)), "NewsAgeMs", g.newsAgeMs(g.clock.Now()))
}

// versionQueryHosts returns random hosts by region, those in use first. Suspected ones are among them, as a host that
// was away suspects the others.
func (g *Gateway) versionQueryHosts() map[string][]member.Info {
	members := slices.Clone(g.gossip.View().Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b member.Info) int {
		switch {
		case a.InUse() == b.InUse():
			return 0
		case a.InUse():
			return -1
		default:
			return 1
		}
	})
	out := map[string][]member.Info{}
	for _, m := range members {
		if m.Host != g.settings.Host && m.Status != member.Gone && !isReplaced(m, members) && len(out[m.Region]) < maxVersionQueryHosts {
			out[m.Region] = append(out[m.Region], m)
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
// from the store, nil if it has none, and an error unless this host now has what the other one has.
func (g *Gateway) queryVersion(ctx context.Context, host member.Info, known uint64) (*time.Duration, error) {
	var b configurationBody
	sent := g.moment()
	err := g.callPeer(ctx, host.PeerAddress, pathPeerConfiguration, bandwidth.Configurations, nil, &b, func(h *fasthttp.RequestHeader) {
		h.Set(headerKnown, strconv.FormatUint(known, 10))
	})
	if err != nil {
		g.log.Info("A host did not say whether it has a newer configuration.", "Host", host.Host, "Region", host.Region, "Known", known, "Error", err.Error())
		return nil, err
	}
	if b.Host != "" && b.Host != host.Host {
		g.log.Info("Another host responds at the address of a host.", "Host", host.Host, "Region", host.Region, "Responds", b.Host)
		g.avoidHost(host.Host, hostFailurePause)
		return nil, errors.Errorf("host %s responds", b.Host)
	}
	g.recordHostAnswer(host, sent)
	if len(b.Events) > 0 {
		g.follower.HandleUpdate(b.Update, catalogue.Contact{})
		if g.configurationVersion() <= known {
			return nil, errors.New("the newer configuration cannot be used here")
		}
	}
	if b.ContactAgeMs == nil || *b.ContactAgeMs < 0 || *b.ContactAgeMs > catalogue.MaxContactAge.Milliseconds() {
		return nil, nil
	}
	age := time.Duration(*b.ContactAgeMs) * time.Millisecond
	return &age, nil
}

// serveConfiguration responds with the configuration in force, as an update without a revision, or without it if the
// sender has it. A host that has no configuration, or has no recent news and may not have heard yet what others know, as
// it has started or was paused, does not vouch for that of the sender.
func (g *Gateway) serveConfiguration(ctx *fasthttp.RequestCtx) {
	contactAge := g.contactAgeMs() // read first, as the configuration must not be older
	event, ok := g.catalogue.Configuration()
	known, err := strconv.ParseUint(string(ctx.Request.Header.Peek(headerKnown)), 10, 64)
	body := configurationBody{Update: catalogue.Update{Partial: true}, Host: g.settings.Host, ContactAgeMs: contactAge}
	switch {
	case ok && (err != nil || g.configurationVersion() > known):
		body.Events = append(body.Events, event)
		g.writeBulk(ctx, bandwidth.Configurations, body)
	case !ok || !g.mayVouch():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default: // not paced, as calls wait for it
		g.writeJSON(ctx, body)
		g.bandwidth.Count(bandwidth.Configurations, bandwidth.Sent, len(ctx.Response.Body()))
	}
}

// runningFor returns for how long the process has run without a pause. The caller holds g.mu.
func (g *Gateway) runningFor(now time.Time) time.Duration {
	since := g.balancer.ResumedAt(now)
	if g.started.After(since) {
		since = g.started
	}
	return now.Sub(since)
}

// mayVouch reports whether the host has had the time to hear what the others know.
func (g *Gateway) mayVouch() bool {
	if g.hasRecentNews() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runningFor(g.clock.Now()) >= permission.MaxAge
}
