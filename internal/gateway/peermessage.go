package gateway

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// minLoadInterval is the pause between two shares in a small region: a fraction of
	// the time after which callers are no longer told of a silent host. A larger
	// region pauses longer, so that what a host sends does not grow with it.
	minLoadInterval     = 200 * time.Millisecond
	loadIntervalPerPeer = 20 * time.Millisecond // for each other host of the region
	// regionLoadInterval is the least pause between two words to other regions, whose links
	// are thin. Each host tells one host of each other region in turn.
	regionLoadInterval = 375 * time.Millisecond
	messageBufferBytes = 64 << 10
	// startupRegionInterval is the pause between two words to other regions for as long as startupPeriod
	// after the start: until they have come, a host takes no region for live.
	startupRegionInterval = 100 * time.Millisecond
	startupPeriod         = 2 * time.Second
)

// peerMessage is a datagram between hosts, in CBOR and sealed.
type peerMessage struct {
	Host        string `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	Counter     uint64 `cbor:"4,keyasint"`
	// Share is for hosts of the region, Services for those of others.
	Share    *balance.Share                  `cbor:"5,keyasint,omitempty"`
	Services map[string]balance.ServiceState `cbor:"6,keyasint,omitempty"`
	// Changes are what the host has now at targets where that has changed.
	Changes []balance.Change `cbor:"7,keyasint,omitempty"`
	// Question and Word are between a host and the coordinator of targets.
	LoadQuery *loadQuery `cbor:"8,keyasint,omitempty"`
	LoadReply *loadReply `cbor:"9,keyasint,omitempty"`
	// Kept is what a target said that it keeps.
	Kept *balance.KeptList `cbor:"10,keyasint,omitempty"`
}

// sendLoadReports is the duty that tells other hosts of the load.
func (g *Gateway) sendLoadReports(ctx context.Context) error {
	var here, away time.Time
	for {
		g.updateHosts()
		peers := g.regionPeers()
		now := g.clock.Now()
		pause := loadInterval(len(peers))
		if now.Sub(here) >= pause {
			here = now
			g.reportToRegion(now, peers)
			g.resendChanges(now)
		}
		starts := now.Sub(g.started) < startupPeriod
		if starts || now.Sub(away) >= regionLoadInterval {
			away = now
			g.reportToOtherRegions(now)
		}
		if starts {
			pause = startupRegionInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(pause):
		}
	}
}

// reportToRegion tells the other hosts of the region what this one has.
func (g *Gateway) reportToRegion(now time.Time, peers []member.Info) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	g.mu.Lock()
	share := g.balancer.Share(now)
	g.mu.Unlock()
	g.sendMessage(peerMessage{Share: &share}, peers)
}

// loadInterval is the pause between two shares in a region with so many other hosts.
func loadInterval(peers int) time.Duration {
	return max(minLoadInterval, time.Duration(peers)*loadIntervalPerPeer)
}

// regionPeers returns the other hosts of the region.
func (g *Gateway) regionPeers() []member.Info {
	return g.gossip.View().Where(func(m member.Info) bool {
		return m.Host != g.settings.Host && m.Status != member.Gone && m.Region == g.settings.Region
	})
}

// reportToOtherRegions tells one host of each other region what the own one can do. The hosts
// of a region take turns, so that all others hear of it evenly.
func (g *Gateway) reportToOtherRegions(now time.Time) {
	regions := map[string][]member.Info{}
	rank := 0
	for _, m := range g.gossip.View().Members {
		switch {
		case m.Status == member.Gone:
		case m.Region != g.settings.Region:
			regions[m.Region] = append(regions[m.Region], m)
		case m.Host < g.settings.Host:
			rank++
		}
	}
	g.regionTurn++
	var others []member.Info
	for _, list := range regions {
		others = append(others, list[(g.regionTurn+rank)%len(list)])
	}
	g.mu.Lock()
	states := g.balancer.States(now)
	g.mu.Unlock()
	g.sendMessage(peerMessage{Services: states}, others)
}

// sendMessage sends a datagram to hosts.
func (g *Gateway) sendMessage(m peerMessage, to []member.Info) {
	m.Host, m.Region, m.Incarnation, m.Counter = g.settings.Host, g.settings.Region, g.started.UnixMilli(), g.messageCounter.Add(1)
	body, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error(err, "A share could not be written.")
		return
	}
	data := g.sealer.Wrap(body)
	for _, info := range to {
		address := g.messageAddress(info)
		if address == nil {
			continue
		}
		g.metrics.add("share_bytes_sent_total", int64(len(data)))
		_, _ = g.messageConn.WriteTo(data, address) // the next one makes up for a lost one
	}
}

// messageAddress returns where a host receives what others tell, nil when it has said
// nothing that is an address.
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

// receiveMessages is the duty that reads what other hosts tell.
func (g *Gateway) receiveMessages(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.messageConn.Close() })
	defer stop()
	buffer := make([]byte, messageBufferBytes)
	for {
		n, _, err := g.messageConn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive shares")
		}
		g.handleMessage(buffer[:n])
	}
}

func (g *Gateway) handleMessage(data []byte) {
	body, ok := g.sealer.Unwrap(data)
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
		g.deliverLoadReply(*m.LoadReply)
	default:
		g.applyMessage(m)
	}
}

// applyMessage takes a datagram that means nothing once a later one has come.
func (g *Gateway) applyMessage(m peerMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if known, ok := g.lastMessages[m.Host]; ok && known.incarnation == m.Incarnation && known.counter >= m.Counter {
		return
	}
	if m.Region != g.settings.Region {
		g.regionLastSeen[m.Region] = now
	}
	g.lastMessages[m.Host] = messageStamp{incarnation: m.Incarnation, counter: m.Counter, at: now}
	if m.Region != g.settings.Region {
		g.regions.Take(now, m.Region, m.Services)
		return
	}
	if m.Share != nil {
		g.balancer.Merge(now, m.Host, *m.Share)
	}
	if m.Kept != nil {
		g.balancer.TakeKept(now, *m.Kept)
	}
	for _, c := range m.Changes {
		g.balancer.TakeChange(now, m.Host, c)
	}
}
