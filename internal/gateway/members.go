package gateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/permission"
)

const (
	// maxDirectoryHosts bounds the hosts in a response of the directory.
	maxDirectoryHosts = 64
	// minDataCentreHosts is the number of hosts of a data centre from which the directory
	// lists no hosts of other data centres.
	minDataCentreHosts = 2
	// regionSilenceTimeout is the time without a message after which another region counts
	// as lost: several times the interval of its reports.
	regionSilenceTimeout = 3 * time.Second
	// hostFailurePause is how long no call is forwarded to a host after a failed one.
	hostFailurePause = 2 * time.Second
	// outdatedHostPause is how long no call is forwarded to a host with an older
	// configuration: about the time that a change takes to reach every host.
	outdatedHostPause = 400 * time.Millisecond
	// peerSilenceIntervals is the number of load report intervals, lasting minPeerSilence at
	// least, after which the directory omits a silent host of the region.
	peerSilenceIntervals = 4
	minPeerSilence       = 750 * time.Millisecond
	// discoveryTime is how long a started host waits to discover the others, and
	// aloneDiscoveryTime how long if it has discovered none.
	discoveryTime      = 3 * time.Second
	aloneDiscoveryTime = 15 * time.Second
)

// messageStamp identifies the last message of a host.
type messageStamp struct {
	incarnation int64
	counter     uint64
	report      uint64 // counter of its last load report, 0 before the first
	at          time.Time
}

// next returns the stamp after a further message, of the same process or of one started later.
func (s messageStamp) next(m peerMessage, heardAt time.Time) messageStamp {
	if s.incarnation != m.Incarnation {
		s = messageStamp{incarnation: m.Incarnation}
	}
	s.counter = m.Counter
	if heardAt.After(s.at) {
		s.at = heardAt
	}
	if m.Share != nil {
		s.report = m.Counter
	}
	return s
}

// liveRegions returns the other regions from which a message has arrived recently.
func (g *Gateway) liveRegions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []string
	for region, at := range g.regionLastSeen {
		if now.Sub(at) < regionSilenceTimeout {
			out = append(out, region)
		}
	}
	return out
}

// understands reports whether a host can hold to the software version of the call's stream and knows its
// workspace, as far as it has any.
func (c *activeCall) understands(m member.Info) bool {
	return (c.work.Version == continuation.Unknown || m.Protocol >= member.ProtocolVersions) &&
		(c.workspace == nil || m.Protocol >= member.ProtocolWorkspaces)
}

// recordHostFailure records a forwarded call that the host did not answer. A failure says something of the
// host only, unless it is the last one that may get calls, or others of its region are silent too.
func (g *Gateway) recordHostFailure(host member.Info, sentAt time.Time, err error) {
	view := g.gossip.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.avoidUntil[host.Host] = now.Add(hostFailurePause)
	if host.Region == g.settings.Region {
		return
	}
	othersLeft := slices.ContainsFunc(view.Members, func(m member.Info) bool {
		return m.Region == host.Region && m.InUse() && now.After(g.avoidUntil[m.Host])
	})
	lost := !othersLeft
	if lost {
		g.regions.MarkLost(now, host.Region)
	} else if !link.IsRejection(err) {
		lost = g.regions.MarkSilent(now, sentAt, host.Region, host.Host)
	}
	if lost {
		g.log.Info("A region counts as lost.", "Region", host.Region, "LastHost", host.Host, "OthersLeft", othersLeft)
	}
}

// avoidHost pauses the forwarding of calls to a host that cannot serve them.
func (g *Gateway) avoidHost(host string, pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoidUntil[host] = g.clock.Now().Add(pause)
}

// silentPeers returns the other hosts of the region whose load reports have stopped. It
// returns none if most are silent, as this host is then more likely to be isolated itself.
func (g *Gateway) silentPeers() map[string]bool {
	peers := g.regionPeers()
	limit := max(minPeerSilence, peerSilenceIntervals*loadInterval(len(peers)))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	silent := map[string]bool{}
	for _, m := range peers {
		if last, ok := g.lastMessages[m.Host]; ok && m.InUse() && now.Sub(last.at) > limit {
			silent[m.Host] = true
		}
	}
	if 2*len(silent) > len(peers) {
		return nil
	}
	return silent
}

// updateHosts passes the current hosts of the region to the balancer.
func (g *Gateway) updateHosts() {
	view := g.gossip.View()
	silent := g.silentPeers()
	hosts := balance.Hosts{Self: g.settings.Host, Legacy: map[string]bool{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range view.Members {
		if m.Region != g.settings.Region {
			continue
		}
		if m.Status != member.Gone || !m.Leaving {
			hosts.Sharers++
		}
		if m.Status == member.Gone {
			continue
		}
		hosts.Known++
		if m.InUse() && !silent[m.Host] {
			hosts.Live = append(hosts.Live, m.Host)
			if g.reachOf(m) != balance.ReachNone {
				hosts.Attached = append(hosts.Attached, m.Host)
			}
			hosts.Legacy[m.Host] = m.Protocol < member.ProtocolVersions
		}
	}
	uptime := g.clock.Now().Sub(g.started)
	hosts.Settled = uptime > aloneDiscoveryTime || (uptime > discoveryTime && hosts.Known > 1)
	g.balancer.SetHosts(g.clock.Now(), hosts)
}

// serveReadiness responds with status 200 if the host accepts calls, and with 503 if it is
// leaving or has no configuration.
func (g *Gateway) serveReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.protocol.ReadyPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if g.leaving.Load() || g.catalogue.Snapshot().Table == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveDirectory responds with the addresses of the hosts that a caller is to use.
func (g *Gateway) serveDirectory(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.protocol.DirectoryPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	query := g.protocol.ReadDirectoryQuery(ctx.QueryArgs())
	query.Region = cmp.Or(query.Region, g.settings.DataCentres[query.DataCentre])
	answer := g.findHosts(query)
	if !answer.namesOwn(query) {
		g.seekEvidence(context.Background()) // whose wait is bounded
		answer = g.findHosts(query)
	}
	g.recordDirectoryAnswer(query, answer)
	body, err := g.protocol.WriteDirectory(answer.addresses, g.settings.directoryTTL())
	if err != nil || len(answer.addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	g.closeWhenLeaving(ctx)
}

// directoryAnswer has the hosts that a caller is to use.
type directoryAnswer struct {
	region    string
	addresses []string
	// evidence is what shows that the region may serve the name, if it is not the caller's.
	evidence permission.Evidence
	// refusal says why no region is named, empty if one is.
	refusal string
}

// namesOwn reports whether the answer names hosts of the caller's region.
func (a directoryAnswer) namesOwn(q DirectoryQuery) bool {
	return a.region == q.Region && len(a.addresses) > 0
}

// The reasons for which the directory names no hosts, also for metrics.
const (
	refusalNoConfiguration = "no configuration"
	refusalNoHome          = "no host of a home is known"
	refusalUnproven        = "the homes are not proven"
)

// recordDirectoryAnswer counts a response of the directory, and logs one that names another region than the
// caller's, or none.
func (g *Gateway) recordDirectoryAnswer(q DirectoryQuery, a directoryAnswer) {
	named := "none"
	switch {
	case a.namesOwn(q):
		named = "own"
	case len(a.addresses) > 0:
		named = "other"
	}
	g.metrics.add(fmt.Sprintf("directory_answers_total{region=%q}", named), 1)
	switch named {
	case "own":
		return
	case "other":
		g.metrics.observeAge(fmt.Sprintf("directory_evidence_age_ms{witness=%q}", a.evidence.Witness), a.evidence.Age)
	default:
		g.metrics.add(fmt.Sprintf("directory_refusals_total{reason=%q}", a.refusal), 1)
	}
	g.log.Info("The directory names no host of the caller's region.", "Name", q.Name, "CallerRegion", q.Region, "Region", a.region, "Hosts", len(a.addresses),
		"Refusal", a.refusal, "Witness", a.evidence.Witness.String(), "EvidenceAgeMs", a.evidence.Age.Milliseconds(), "NewsAgeMs", g.newsAgeMs(g.clock.Now()),
		"Homes", g.homeRegionCounts(q.Name), "Version", g.configurationVersion(), "KnownHosts", len(g.gossip.View().Members),
		"LiveRegions", g.liveRegions(), "UptimeMs", g.clock.Now().Sub(g.started).Milliseconds())
}

// findHosts returns the caller addresses of the hosts that a caller is to use: those of its data centre if that is in
// its region and there are enough, else those of its region, else those of a region to which the body of any call to the
// queried name may go. It returns none if this host knows none of them.
func (g *Gateway) findHosts(q DirectoryQuery) directoryAnswer {
	byDataCentre, byRegion := g.callerAddresses()
	answer := directoryAnswer{region: q.Region, addresses: byDataCentre[q.DataCentre]}
	if g.settings.DataCentres[q.DataCentre] != q.Region || len(answer.addresses) < minDataCentreHosts {
		answer.addresses = byRegion[q.Region]
	}
	if len(answer.addresses) == 0 {
		answer = g.hostsInPlaceOf(q, byRegion)
	}
	answer.addresses = answer.addresses[:min(len(answer.addresses), maxDirectoryHosts)]
	return answer
}

// hostsInPlaceOf returns the hosts that a caller is to use if its own region has none, those of this host's region by
// preference.
func (g *Gateway) hostsInPlaceOf(q DirectoryQuery, byRegion map[string][]string) directoryAnswer {
	evidence := g.evidence() // before the homes, which may be newer
	table := g.catalogue.Snapshot().Table
	if table == nil {
		return directoryAnswer{refusal: refusalNoConfiguration}
	}
	homes := table.Homes(q.Name)
	refusal := refusalNoHome
	regions := slices.Sorted(maps.Keys(byRegion))
	if i := slices.Index(regions, g.settings.Region); i >= 0 {
		regions = slices.Insert(slices.Delete(regions, i, i+1), 0, g.settings.Region)
	}
	for _, region := range regions {
		switch permission.Decide(permission.Name, homes, g.fleet(), region, evidence) {
		case permission.Granted:
			return directoryAnswer{region: region, addresses: byRegion[region], evidence: evidence}
		case permission.Unproven:
			refusal = refusalUnproven
		}
	}
	return directoryAnswer{refusal: refusal, evidence: evidence}
}

// callerAddresses returns the caller addresses of the hosts that serve calls, by data centre
// and by region.
func (g *Gateway) callerAddresses() (byDataCentre, byRegion map[string][]string) {
	live := map[string]bool{g.settings.Region: true}
	for _, region := range g.liveRegions() {
		live[region] = true
	}
	silent := g.silentPeers()
	byDataCentre, byRegion = map[string][]string{}, map[string][]string{}
	members := g.gossip.View().Members
	for _, m := range members {
		if !m.InUse() || !live[m.Region] || silent[m.Host] || isReplaced(m, members) {
			continue
		}
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m.CallerAddress)
		byRegion[m.Region] = append(byRegion[m.Region], m.CallerAddress)
	}
	return byDataCentre, byRegion
}

// homeRegionCounts returns how many restricted routes of a name each region may serve, nil
// without a configuration.
func (g *Gateway) homeRegionCounts(name string) map[string]int {
	table := g.catalogue.Snapshot().Table
	if table == nil {
		return nil
	}
	return table.HomeRegionCounts(name)
}
