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
	// minSharePause is the pause between two shares in a small region: a fraction of
	// the time after which callers are no longer told of a silent host. A larger
	// region pauses longer, so that what a host sends does not grow with it.
	minSharePause   = 200 * time.Millisecond
	sharePausePerIn = 20 * time.Millisecond // for each other host of the region
	// awayPause is the least pause between two words to other regions, whose links
	// are thin. Each host tells one host of each other region in turn.
	awayPause       = 375 * time.Millisecond
	shareBufferSize = 64 << 10
	// startPause is the pause between two words to other regions for as long as startSpan
	// after the start: until they have come, a host takes no region for live.
	startPause = 100 * time.Millisecond
	startSpan  = 2 * time.Second
)

// shareMessage is a datagram between hosts, in CBOR and sealed.
type shareMessage struct {
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
	Question *question `cbor:"8,keyasint,omitempty"`
	Word     *word     `cbor:"9,keyasint,omitempty"`
	// Kept is what a target said that it keeps.
	Kept *balance.KeptList `cbor:"10,keyasint,omitempty"`
}

// sendShares is the duty that tells other hosts of the load.
func (g *Gateway) sendShares(ctx context.Context) error {
	var here, away time.Time
	for {
		g.updateHosts()
		mates := g.mates()
		now := g.clock.Now()
		pause := sharePause(len(mates))
		if now.Sub(here) >= pause {
			here = now
			g.shareHere(now, mates)
			g.repeatChanges(now)
		}
		starts := now.Sub(g.started) < startSpan
		if starts || now.Sub(away) >= awayPause {
			away = now
			g.shareAway(now)
		}
		if starts {
			pause = startPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(pause):
		}
	}
}

// shareHere tells the other hosts of the region what this one has.
func (g *Gateway) shareHere(now time.Time, mates []member.Info) {
	g.telling.Lock()
	defer g.telling.Unlock()
	g.mu.Lock()
	share := g.book.Share(now)
	g.mu.Unlock()
	g.sendShare(shareMessage{Share: &share}, mates)
}

// sharePause is the pause between two shares in a region with so many other hosts.
func sharePause(mates int) time.Duration {
	return max(minSharePause, time.Duration(mates)*sharePausePerIn)
}

// mates returns the other hosts of the region.
func (g *Gateway) mates() []member.Info {
	return g.gossip.View().Where(func(m member.Info) bool {
		return m.Host != g.settings.Host && m.Status != member.Gone && m.Region == g.settings.Region
	})
}

// shareAway tells one host of each other region what the own one can do. The hosts
// of a region take turns, so that all others hear of it evenly.
func (g *Gateway) shareAway(now time.Time) {
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
	g.turn++
	var others []member.Info
	for _, list := range regions {
		others = append(others, list[(g.turn+rank)%len(list)])
	}
	g.mu.Lock()
	states := g.book.States(now)
	g.mu.Unlock()
	g.sendShare(shareMessage{Services: states}, others)
}

// sendShare sends a datagram to hosts.
func (g *Gateway) sendShare(m shareMessage, to []member.Info) {
	m.Host, m.Region, m.Incarnation, m.Counter = g.settings.Host, g.settings.Region, g.started.UnixMilli(), g.counter.Add(1)
	body, err := cbor.Marshal(m)
	if err != nil {
		g.log.Error(err, "A share could not be written.")
		return
	}
	data := g.sealer.SignDatagram(body)
	for _, info := range to {
		address := g.shareAddress(info)
		if address == nil {
			continue
		}
		g.metrics.add("share_bytes_sent_total", int64(len(data)))
		_, _ = g.shares.WriteTo(data, address) // the next one makes up for a lost one
	}
}

// shareAddress returns where a host receives what others tell, nil when it has said
// nothing that is an address.
func (g *Gateway) shareAddress(info member.Info) *net.UDPAddr {
	if known, ok := g.addresses.Load(info.PeerAddress); ok {
		address, _ := known.(*net.UDPAddr)
		return address
	}
	host, _, _ := net.SplitHostPort(info.PeerAddress) // an empty host has no IP
	ip := net.ParseIP(host)
	if ip == nil {
		return nil
	}
	address := &net.UDPAddr{IP: ip, Port: g.settings.SharePort}
	g.addresses.Store(info.PeerAddress, address)
	return address
}

// receiveShares is the duty that reads what other hosts tell.
func (g *Gateway) receiveShares(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.shares.Close() })
	defer stop()
	buffer := make([]byte, shareBufferSize)
	for {
		n, _, err := g.shares.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive shares")
		}
		g.takeShare(buffer[:n])
	}
}

func (g *Gateway) takeShare(data []byte) {
	body, ok := g.sealer.OpenDatagram(data)
	if !ok {
		g.metrics.add("shares_wrong_total", 1)
		return
	}
	var m shareMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		g.metrics.add("shares_wrong_total", 1)
		return
	}
	switch {
	case m.Question != nil:
		g.answer(m.Host, *m.Question)
	case m.Word != nil:
		g.hear(*m.Word)
	default:
		g.takeOrdered(m)
	}
}

// takeOrdered takes a datagram that means nothing once a later one has come.
func (g *Gateway) takeOrdered(m shareMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if known, ok := g.heard[m.Host]; ok && known.incarnation == m.Incarnation && known.counter >= m.Counter {
		return
	}
	if m.Region != g.settings.Region {
		g.regionsHeard[m.Region] = now
	}
	g.heard[m.Host] = hearing{incarnation: m.Incarnation, counter: m.Counter, at: now}
	if m.Region != g.settings.Region {
		g.regions.Take(now, m.Region, m.Services)
		return
	}
	if m.Share != nil {
		g.book.Merge(now, m.Host, *m.Share)
	}
	if m.Kept != nil {
		g.book.TakeKept(now, *m.Kept)
	}
	for _, c := range m.Changes {
		g.book.TakeChange(now, m.Host, c)
	}
}
