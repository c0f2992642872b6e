package gateway

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// minLoadInterval is the interval of load reports in a small region: a fraction of the
	// time after which the directory omits a silent host. Larger regions have a longer
	// interval, so that the traffic of a host does not grow with the region.
	minLoadInterval     = 200 * time.Millisecond
	loadIntervalPerPeer = 20 * time.Millisecond // for each other host of the region
	// regionLoadInterval is the minimum interval of reports to other regions, to which links
	// have little bandwidth. Each host reports to one host of each other region in turn.
	regionLoadInterval = 375 * time.Millisecond
	messageBufferBytes = 64 << 10
	// startupRegionInterval is the interval of reports to other regions during startupPeriod
	// after the start: a host considers a region live only once it has received a report.
	startupRegionInterval = 100 * time.Millisecond
	startupPeriod         = 2 * time.Second
)

// peerMessage is a datagram between hosts, encoded as CBOR and signed.
type peerMessage struct {
	Host        string `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	Counter     uint64 `cbor:"4,keyasint"`
	// Share is for hosts of the own region, Services for hosts of other regions.
	Share    *balance.Share                  `cbor:"5,keyasint,omitempty"`
	Services map[string]balance.ServiceState `cbor:"6,keyasint,omitempty"`
	// Changes are the host's current loads at the targets where they have changed.
	Changes []balance.Change `cbor:"7,keyasint,omitempty"`
	// LoadQuery and LoadReply are exchanged between a host and the coordinators of targets.
	LoadQuery *loadQuery `cbor:"8,keyasint,omitempty"`
	LoadReply *loadReply `cbor:"9,keyasint,omitempty"`
	// CacheList is the list of a target's prompt cache.
	CacheList *balance.CacheListing `cbor:"10,keyasint,omitempty"`
	// Limit is a change of a target's limit.
	Limit *balance.LimitReport `cbor:"11,keyasint,omitempty"`
	// AdmissionQuery and AdmissionReply are exchanged before a call is sent to a target with a
	// limit, and Loans and LoanAcks periodically, with the host that the target is assigned to.
	AdmissionQuery *admissionQuery       `cbor:"12,keyasint,omitempty"`
	AdmissionReply *admissionReply       `cbor:"13,keyasint,omitempty"`
	Loans          []balance.Loan        `cbor:"14,keyasint,omitempty"`
	LoanAcks       []balance.LimitReport `cbor:"15,keyasint,omitempty"`
	// Doubts are about targets whose process may have ended, and Statements are what such
	// processes have said.
	Doubts     []balance.Doubt     `cbor:"16,keyasint,omitempty"`
	Statements []balance.Statement `cbor:"17,keyasint,omitempty"`
	// Streams are the versions of streams; StreamQuery and StreamReply are exchanged when a caller
	// takes one up.
	Streams     []streamRecord `cbor:"18,keyasint,omitempty"`
	StreamQuery *streamQuery   `cbor:"19,keyasint,omitempty"`
	StreamReply *streamReply   `cbor:"20,keyasint,omitempty"`
	// Brittle is about targets that fall over when they turn away too many calls.
	Brittle []balance.BrittleReport `cbor:"21,keyasint,omitempty"`
	// ContactAgeMs is the time since the store answered the sender, or the host that reads for it.
	ContactAgeMs *int64 `cbor:"22,keyasint,omitempty"`
	// QuotaQuery and QuotaReply are exchanged before a call of a workspace with a quota runs, and Quota
	// periodically, with the owners of the quotas. Hosts of builds without quotas get none of them.
	QuotaQuery *quotaQuery        `cbor:"23,keyasint,omitempty"`
	QuotaReply *quotaReply        `cbor:"24,keyasint,omitempty"`
	Quota      *allowance.Message `cbor:"25,keyasint,omitempty"`
}

// sendLoadReports sends load reports to other hosts until ctx is done.
func (g *Gateway) sendLoadReports(ctx context.Context) error {
	var lastToRegion, lastToOthers time.Time
	for {
		g.updateHosts()
		peers := g.regionPeers()
		now := g.clock.Now()
		if age, known := g.newsAge(now); known {
			g.metrics.observeAge("news_age_ms", age)
		}
		interval := loadInterval(len(peers))
		if now.Sub(lastToRegion) >= interval {
			lastToRegion = now
			g.reportToRegion(now, peers)
			g.resendChanges(now)
		}
		startingUp := now.Sub(g.started) < startupPeriod
		if startingUp || now.Sub(lastToOthers) >= regionLoadInterval {
			lastToOthers = now
			g.reportToOtherRegions(now)
		}
		if startingUp {
			interval = startupRegionInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(interval):
		}
	}
}

// reportToRegion sends this host's load at the targets to the other hosts of the region.
func (g *Gateway) reportToRegion(now time.Time, peers []member.Info) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	g.mu.Lock()
	share := g.balancer.Share(now)
	g.mu.Unlock()
	counter := g.sendMessage(peerMessage{Share: &share, ContactAgeMs: g.contactAgeMs()}, peers)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentReports.add(counter, now)
}

// loadInterval returns the interval of load reports in a region with the given number of
// other hosts.
func loadInterval(peers int) time.Duration {
	return max(minLoadInterval, time.Duration(peers)*loadIntervalPerPeer)
}

// regionPeers returns the other hosts of the region.
func (g *Gateway) regionPeers() []member.Info {
	return g.gossip.View().Filter(func(m member.Info) bool {
		return m.Host != g.settings.Host && m.Status != member.Gone && m.Region == g.settings.Region
	})
}

// reportToOtherRegions sends the state of the own region's services to one host of each other
// region. The hosts of the own region start at different recipients, so that all recipients
// get reports at even intervals.
func (g *Gateway) reportToOtherRegions(now time.Time) {
	regions := map[string][]member.Info{}
	position := 0
	for _, m := range g.gossip.View().Members {
		switch {
		case m.Status == member.Gone:
		case m.Region != g.settings.Region:
			regions[m.Region] = append(regions[m.Region], m)
		case m.Host < g.settings.Host:
			position++
		}
	}
	g.regionTurn++
	var others []member.Info
	for _, list := range regions {
		others = append(others, list[(g.regionTurn+position)%len(list)])
	}
	g.mu.Lock()
	var states map[string]balance.ServiceState // none if no host of the region has a path to targets
	if g.regionServes(g.settings.Region) {
		states = g.balancer.States(now)
	}
	g.mu.Unlock()
	g.sendMessage(peerMessage{Services: states, ContactAgeMs: g.contactAgeMs()}, others)
}

// sendMessage sends a datagram to hosts, and returns its counter.
func (g *Gateway) sendMessage(m peerMessage, to []member.Info) uint64 {
	m.Host, m.Region, m.Incarnation, m.Counter = g.settings.Host, g.settings.Region, g.started.UnixMilli(), g.messageCounter.Add(1)
	body, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error(err, "A message to other hosts could not be encoded.")
		return m.Counter
	}
	data := g.signer.SignDatagram(body)
	for _, info := range to {
		address := g.messageAddress(info)
		if address == nil {
			continue
		}
		g.metrics.add("share_bytes_sent_total", int64(len(data)))
		_, _ = g.messageConn.WriteTo(data, address) // the next report replaces a lost one
	}
	return m.Counter
}

// messageAddress returns the address at which a host receives messages, nil if its peer
// address is invalid.
func (g *Gateway) messageAddress(info member.Info) *net.UDPAddr {
	if known, ok := g.messageAddresses.Load(info.PeerAddress); ok {
		address, _ := known.(*net.UDPAddr)
		return address
	}
	host, _, _ := net.SplitHostPort(info.PeerAddress) // an empty host has no IP
	ip := net.ParseIP(host)
	if ip == nil {
		return nil
	}
	address := &net.UDPAddr{IP: ip, Port: g.settings.SharePort}
	g.messageAddresses.Store(info.PeerAddress, address)
	return address
}

// receiveMessages handles the messages of other hosts until ctx is done.
func (g *Gateway) receiveMessages(ctx context.Context) error {
	defer link.CloseWith(ctx, g.messageConn)()
	buffer := make([]byte, messageBufferBytes)
	for {
		n, _, err := link.ReadFrom(g.messageConn, buffer, func(err error) { g.recordExhaustion("load reports", err) })
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive load reports")
		}
		g.handleMessage(buffer[:n])
	}
}

// greet sends this host's load and doubts to a host of the region that has just started and knows
// neither. The caller holds g.mu.
func (g *Gateway) greet(now time.Time, host string) {
	share := g.balancer.Share(now)
	g.sendMessage(peerMessage{Share: &share}, g.membersByName([]string{host}))
}

func (g *Gateway) handleMessage(data []byte) {
	body, ok := g.signer.OpenDatagram(data)
	if !ok {
		g.metrics.add("shares_wrong_total", 1)
		return
	}
	var m peerMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		g.metrics.add("shares_wrong_total", 1)
		return
	}
	switch {
	case m.LoadQuery != nil:
		g.answerLoadQuery(m.Host, *m.LoadQuery)
	case m.LoadReply != nil:
		g.loadReplies.deliver(m.LoadReply.ID, *m.LoadReply)
	case m.AdmissionQuery != nil:
		g.answerAdmissionQuery(m.Host, *m.AdmissionQuery)
	case m.AdmissionReply != nil:
		g.admissionReplies.deliver(m.AdmissionReply.ID, *m.AdmissionReply)
	case m.Limit != nil:
		g.handleLimitReport(m.Host, *m.Limit)
	case len(m.Loans) > 0:
		g.applyLoans(m.Host, m.Loans)
	case len(m.LoanAcks) > 0:
		g.applyLoanAcks(m.Host, m.LoanAcks)
	case len(m.Doubts) > 0:
		g.applyDoubts(m.Host, m.Doubts)
	case len(m.Statements) > 0:
		g.applyStatements(m.Host, m.Statements)
	case len(m.Brittle) > 0:
		g.applyBrittle(m.Host, m.Brittle)
	case len(m.Streams) > 0:
		g.applyStreams(m.Streams)
	case m.StreamQuery != nil:
		g.answerStreamQuery(m.Host, *m.StreamQuery)
	case m.StreamReply != nil:
		g.streamReplies.deliver(m.StreamReply.ID, *m.StreamReply)
	default:
		g.handleQuotaMessage(m)
	}
}

// applyMessage applies a load report unless a later message of its sender has arrived.
func (g *Gateway) applyMessage(m peerMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	known, ok := g.lastMessages[m.Host]
	started := !ok || known.incarnation != m.Incarnation
	if !started && known.counter >= m.Counter {
		return
	}
	heardAt := g.balancer.HeardAt(now)
	g.lastMessages[m.Host] = known.next(m, heardAt)
	if m.ContactAgeMs != nil && *m.ContactAgeMs >= 0 {
		g.storeContact.observe(heardAt.Add(-time.Duration(*m.ContactAgeMs) * time.Millisecond))
	}
	if m.Region != g.settings.Region {
		g.recordRegionHeard(m.Region, heardAt)
	}
	if m.Region != g.settings.Region {
		g.regions.Update(now, m.Region, m.Services)
		return
	}
	if m.Share != nil {
		if started {
			g.greet(now, m.Host)
		}
		g.balancer.Merge(now, m.Host, *m.Share)
		for _, report := range m.Share.Limits {
			g.applyLimitReport(now, m.Host, report)
		}
	}
	if m.CacheList != nil {
		g.balancer.ApplyListing(now, *m.CacheList)
	}
	for _, change := range m.Changes {
		g.balancer.ApplyChange(now, m.Host, change)
	}
}
