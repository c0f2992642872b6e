package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/rendezvous"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// streamRetention is how long hosts remember the version of a stream after its first event:
	// several times the time for which callers wait.
	streamRetention = time.Minute
	// versionRetention is how long hosts remember a version after its last target has left.
	// Streams of routes that last longer than half of it are never taken up without a record.
	versionRetention = 10 * time.Minute
	// versionMargin is added to the time in which a stream may be taken up, as targets leave the
	// store and the hosts' knowledge at different times.
	versionMargin = 5 * time.Second
	// versionNotice is how long a host knows a version beside others before it begins streams
	// there by preference, so that all hosts in touch know that there are several.
	versionNotice = 3 * time.Second
	// contactTimeout is the time without news from the store after which a host does not rely on
	// knowing all versions. It is shorter than versionNotice.
	contactTimeout = 2500 * time.Millisecond
	// takeUpTimeout bounds the wait for what other hosts know of a stream: a round trip between
	// regions and a margin.
	takeUpTimeout = 200 * time.Millisecond
	// ownRegionHolders is the number of hosts of the own region that are told of a stream. One
	// host of each other region is.
	ownRegionHolders = 2
	// maxStreamsPerMessage keeps a message below the size of a packet.
	maxStreamsPerMessage = 50
)

// streamRecord tells another host the version of a stream.
type streamRecord struct {
	Key     continuation.StreamKey `cbor:"1,keyasint"`
	Version continuation.Version   `cbor:"2,keyasint"`
}

// streamQuery asks another host for the version of a stream.
type streamQuery struct {
	ID      uint64                 `cbor:"1,keyasint"`
	Key     continuation.StreamKey `cbor:"2,keyasint"`
	Service string                 `cbor:"3,keyasint"`
}

// streamReply answers the streamQuery with the same ID.
type streamReply struct {
	ID uint64 `cbor:"1,keyasint"`
	// Version is that of the stream, Only the one version of the service that was in service
	// lately; each is 0 if the host does not know.
	Version continuation.Version `cbor:"2,keyasint,omitempty"`
	Only    continuation.Version `cbor:"3,keyasint,omitempty"`
}

// streamKey returns the key under which the stream of a call is known: that of the call that brought
// its first event, which is the call itself unless a caller takes the stream up.
func (c *activeCall) streamKey() continuation.StreamKey {
	return continuation.KeyOf(cmp.Or(c.meta.Resumes, c.meta.ID))
}

// takesUpStream reports whether the call goes on with a stream that broke off.
func (c *activeCall) takesUpStream() bool { return c.isStream() && c.meta.LastEventID != "" }

// requireVersion finds the version at which the stream that the call takes up must go on. It
// returns the reply to a call whose stream no host knows.
func (c *activeCall) requireVersion() (reply, bool) {
	if !c.takesUpStream() || c.work.Version != continuation.Unknown {
		return reply{}, false
	}
	version, source := c.findVersion()
	c.gateway.metrics.add("stream_takeups_total{known=\""+source+"\"}", 1)
	c.gateway.log.Info("A stream is taken up.", "ID", c.meta.ID, "Resumes", c.meta.Resumes, "LastEvent", c.meta.LastEventID, "Known", source, "Received", c.fromPeer)
	if version == continuation.Unknown {
		return c.hostReply("the version that began the stream is not known", c.gateway.jitter(shortRetryAfter)), true
	}
	if !c.setVersion(version) {
		return c.hostReply("no target has the version that began the stream", c.gateway.jitter(shortRetryAfter)), true
	}
	return reply{}, false
}

// The sources of a stream's version.
const (
	versionRecorded = "own"
	versionTold     = "peer"
	versionOnly     = "only"
	versionOnlyTold = "only, peer"
	versionUnknown  = "nobody"
)

// findVersion returns the version of the stream that the call takes up, and how it is known.
func (c *activeCall) findVersion() (continuation.Version, string) {
	g := c.gateway
	if v := g.recordedVersion(c.streamKey()); v != continuation.Unknown {
		return v, versionRecorded
	}
	if v := g.onlyVersion(c.service); v != continuation.Unknown && c.hasOneService() {
		return v, versionOnly
	}
	return c.queryVersion()
}

// hasOneService reports whether all calls of the route lead to one service.
func (c *activeCall) hasOneService() bool { return len(c.route.Splits) == 1 }

// recordedVersion returns the version of a stream that this host knows, or Unknown.
func (g *Gateway) recordedVersion(key continuation.StreamKey) continuation.Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streams.Find(g.clock.Now(), key)
}

// onlyVersion returns the one version of a service that was in service lately, or Unknown if
// there were several or the host may not know of others.
func (g *Gateway) onlyVersion(service string) continuation.Version {
	if !g.knowsAllVersions() {
		return continuation.Unknown
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.versions.Only(g.clock.Now(), service, g.takeUpWindow())
}

// takeUpWindow returns for how long after its first event a stream may be taken up: callers wait
// for no more than twice the time that a stream lasts.
func (g *Gateway) takeUpWindow() time.Duration {
	table := g.catalogue.Snapshot().Table
	if table == nil {
		return versionRetention
	}
	return 2*table.LongestStream(defaultTimeout) + versionMargin
}

// knowsAllVersions reports whether the host would know of a version that serves anywhere. A
// host that has no news from the store must reach the hosts that may have.
func (g *Gateway) knowsAllVersions() bool {
	g.noticeSuspension()
	if g.clock.Now().Sub(g.follower.LastContact()) < contactTimeout {
		return true
	}
	members, reached := 0, 0
	live := map[string]bool{g.settings.Region: true}
	for _, region := range g.liveRegions() {
		live[region] = true
	}
	for _, m := range g.gossip.View().Members {
		if m.Status == member.Gone {
			continue
		}
		if !live[m.Region] {
			return false
		}
		if m.Region == g.settings.Region {
			members++
			if m.Host == g.settings.Host || m.InUse() && g.heardWithin(m.Host, contactTimeout) {
				reached++
			}
		}
	}
	return 2*reached > members
}

// heardWithin reports whether a load report of a host was sent within a time.
func (g *Gateway) heardWithin(host string, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.lastMessages[host]
	return ok && g.clock.Now().Sub(last.at) < d
}

// queryVersion asks the hosts that may know the stream for its version.
func (c *activeCall) queryVersion() (continuation.Version, string) {
	g := c.gateway
	key := c.streamKey()
	holders := g.streamHolders(key)
	id, answers := g.streamReplies.expect(len(holders))
	defer g.streamReplies.forget(id)
	g.sendMessage(peerMessage{StreamQuery: &streamQuery{ID: id, Key: key, Service: c.service}}, holders)
	timeout := g.clock.After(takeUpTimeout)
	only := continuation.Unknown
	for range holders {
		select {
		case r := <-answers:
			if r.Version != continuation.Unknown {
				return r.Version, versionTold
			}
			if r.Only != continuation.Unknown {
				only = r.Only
			}
			continue
		case <-timeout:
		case <-c.ctx.Done():
		}
		break
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if only != continuation.Unknown && c.hasOneService() && g.versions.Agrees(g.clock.Now(), c.service, only, g.takeUpWindow()) {
		return only, versionOnlyTold
	}
	return continuation.Unknown, versionUnknown
}

func (g *Gateway) answerStreamQuery(host string, q streamQuery) {
	answer := streamReply{ID: q.ID, Version: g.recordedVersion(q.Key)}
	if answer.Version == continuation.Unknown {
		answer.Only = g.onlyVersion(q.Service)
	}
	g.sendMessage(peerMessage{StreamReply: &answer}, g.membersByName([]string{host}))
}

// setVersion restricts the call to targets of a version, and reports whether one is in service.
func (c *activeCall) setVersion(v continuation.Version) bool {
	for _, t := range c.gateway.catalogue.Snapshot().Targets {
		if t.Version() == v && t.State == catalogue.Ready && slices.ContainsFunc(c.route.Splits, func(s route.Split) bool { return s.Service == t.Service }) {
			c.service, c.work.Service, c.work.Version, c.streamVersion = t.Service, t.Service, v, v
			return true
		}
	}
	return false
}

// requireStreamVersion restricts the next attempt of a call to targets at which its stream may go
// on. It returns false if there are none, or the version is not known.
func (c *activeCall) requireStreamVersion() bool {
	version := c.streamVersion
	if version == continuation.Unknown && c.hasOneService() {
		version = c.gateway.onlyVersion(c.service)
	}
	if version == continuation.Unknown || !c.setVersion(version) {
		c.addStep("not resumed: no target of the version that began the stream is known")
		return false
	}
	return true
}

// setYoungVersions keeps a stream that begins here from targets of versions that not all hosts may know yet.
func (c *activeCall) setYoungVersions() {
	if c.isStream() && c.work.Version == continuation.Unknown {
		c.work.Young = c.gateway.youngVersions(c.service)
	}
}

// youngVersions returns the versions of a service that not all hosts may know yet.
func (g *Gateway) youngVersions(service string) []continuation.Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.versions.Young(g.clock.Now(), service, versionNotice)
}

// regionsOfVersion returns the regions with a target at which the call's stream may go on.
func (c *activeCall) regionsOfVersion() map[string]bool {
	out := map[string]bool{}
	for _, t := range c.gateway.catalogue.Snapshot().Targets {
		if t.State == catalogue.Ready && t.Version() == c.work.Version {
			out[t.Region] = true
		}
	}
	return out
}

// recordStream remembers the version of a stream whose first event is passed on, and tells other
// hosts unless there is only one.
func (c *activeCall) recordStream(u *upstreamResponse) {
	if u.version == continuation.Unknown || u.ended {
		return
	}
	c.streamVersion = u.version
	g := c.gateway
	key := c.streamKey()
	onlyOne := g.onlyVersion(c.service) == u.version
	g.mu.Lock()
	g.streams.Add(g.clock.Now(), key, u.version)
	g.runningStreams[c] = streamRecord{Key: key, Version: u.version}
	g.mu.Unlock()
	if !onlyOne {
		g.tellStreams([]streamRecord{{Key: key, Version: u.version}})
	}
}

// applyStreams records what another host tells of its streams.
func (g *Gateway) applyStreams(records []streamRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, r := range records {
		if r.Version != continuation.Unknown {
			g.streams.Add(now, r.Key, r.Version)
		}
	}
}

// streamHolders returns the other hosts that are told of a stream, and asked for it: the same
// ones at all hosts, some in each region.
func (g *Gateway) streamHolders(key continuation.StreamKey) []member.Info {
	regions := map[string][]member.Info{}
	for _, m := range g.gossip.View().Members {
		if m.InUse() && m.Host != g.settings.Host && m.Protocol >= member.ProtocolVersions {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	suffix := strconv.FormatUint(uint64(key), 16)
	var out []member.Info
	for region, hosts := range regions {
		n := 1
		if region == g.settings.Region {
			n = ownRegionHolders
		}
		for ; n > 0 && len(hosts) > 0; n-- {
			holder, _ := rendezvous.Pick(hosts, func(m member.Info) string { return m.Host + "/" + suffix })
			out = append(out, holder)
			hosts = slices.DeleteFunc(slices.Clone(hosts), func(m member.Info) bool { return m.Host == holder.Host })
		}
	}
	return out
}

// observeVersions records the versions that are in service, and tells other hosts of the streams
// that run here once there are several.
func (g *Gateway) observeVersions(s *catalogue.Snapshot) {
	versions := map[string][]continuation.Version{}
	for _, t := range s.Targets {
		if v := t.Version(); !slices.Contains(versions[t.Service], v) {
			versions[t.Service] = append(versions[t.Service], v)
		}
	}
	several := false
	for _, list := range versions {
		several = several || len(list) > 1
	}
	g.mu.Lock()
	g.versions.Observe(g.clock.Now(), versions)
	var running []streamRecord
	if several && !g.severalVersions {
		running = slices.Collect(maps.Values(g.runningStreams))
	}
	g.severalVersions = several
	g.mu.Unlock()
	g.tellStreams(running)
}

// tellStreams tells other hosts of streams.
func (g *Gateway) tellStreams(records []streamRecord) {
	byHost := map[string][]streamRecord{}
	hosts := map[string]member.Info{}
	for _, r := range records {
		for _, m := range g.streamHolders(r.Key) {
			hosts[m.Host] = m
			byHost[m.Host] = append(byHost[m.Host], r)
		}
	}
	for host, list := range byHost {
		for batch := range slices.Chunk(list, maxStreamsPerMessage) {
			g.sendMessage(peerMessage{Streams: batch}, []member.Info{hosts[host]})
		}
	}
}

// forgetRunning ends the record of a stream that runs at this host.
func (c *activeCall) forgetRunning() {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	delete(c.gateway.runningStreams, c)
}

// formatVersion and parseVersion convert a version to and from a header value; an invalid one is
// Unknown.
func formatVersion(v continuation.Version) string { return strconv.FormatUint(uint64(v), 16) }

func parseVersion(text string) continuation.Version {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return continuation.Unknown
	}
	return continuation.Version(n)
}
