package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// maxNamed bounds the hosts in an answer of the directory.
	maxNamed = 64
	// minNear is how many hosts of a data centre are enough to name no others.
	minNear = 2
	// silenceAfter is how long the hosts of another region may be silent before
	// they count as lost: several times the pause between their shares.
	silenceAfter = 3 * time.Second
	// lostPause is how long a host is not asked after a call to it was lost.
	lostPause = 2 * time.Second
	// behindPause is how long a host is not asked that has an older configuration: about
	// the time that a change takes to every host.
	behindPause = 400 * time.Millisecond
	// mateSilence is how long a host of the region may be silent before callers are
	// no longer told of it: several pauses between two of its shares.
	mateSilence    = 4
	minMateSilence = 750 * time.Millisecond
	// settleTime is what a host that has started takes to hear of the others,
	// and aloneTime what it takes to believe that there are none.
	settleTime = 3 * time.Second
	aloneTime  = 15 * time.Second
)

// hearing is the last word of a host.
type hearing struct {
	incarnation int64
	counter     uint64
	at          time.Time
}

// liveRegions returns the other regions from which there was word lately.
func (g *Gateway) liveRegions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var out []string
	for region, at := range g.regionsHeard {
		if now.Sub(at) < silenceAfter {
			out = append(out, region)
		}
	}
	return out
}

// hostOf returns a host of another region to send a call to.
func (g *Gateway) hostOf(region string) (member.Info, bool) {
	view := g.gossip.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	choices := view.Where(func(m member.Info) bool { return m.Region == region && m.InUse() && now.After(g.lost[m.Host]) })
	if len(choices) == 0 {
		return member.Info{}, false
	}
	return choices[g.source.IntN(len(choices))], true
}

// lostHost notes that a call to a host was lost.
func (g *Gateway) lostHost(host, region string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.lost[host] = now.Add(lostPause)
	g.regions.MarkLost(now, region)
}

// behind notes that a host has an older configuration than this one.
func (g *Gateway) behind(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost[host] = g.clock.Now().Add(behindPause)
}

// silentMates returns the hosts of the region that have stopped to tell of their
// load. When most of them have, the host itself is more likely cut off, and none is
// returned.
func (g *Gateway) silentMates() map[string]bool {
	mates := g.mates()
	limit := max(minMateSilence, mateSilence*sharePause(len(mates)))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	silent := map[string]bool{}
	for _, m := range mates {
		if h, ok := g.heard[m.Host]; ok && m.InUse() && now.Sub(h.at) > limit {
			silent[m.Host] = true
		}
	}
	if 2*len(silent) > len(mates) {
		return nil
	}
	return silent
}

// updateHosts tells the book which hosts of the region there are.
func (g *Gateway) updateHosts() {
	view := g.gossip.View()
	silent := g.silentMates()
	h := balance.Hosts{Self: g.settings.Host}
	for _, m := range view.Members {
		if m.Region != g.settings.Region || m.Status == member.Gone {
			continue
		}
		h.Known++
		if m.InUse() && !silent[m.Host] {
			h.Live = append(h.Live, m.Host)
		}
	}
	age := g.clock.Now().Sub(g.started)
	h.Settled = age > aloneTime || (age > settleTime && h.Known > 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.SetHosts(h)
}

// serveReadiness says whether the host takes calls.
func (g *Gateway) serveReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.protocol.ReadyPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if g.leaving.Load() || g.catalogue.Now().Table == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveDirectory tells callers which hosts to use.
func (g *Gateway) serveDirectory(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.protocol.DirectoryPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	addresses := g.named(g.protocol.ReadQuestion(ctx.QueryArgs()))
	body, err := g.protocol.WriteDirectory(addresses, g.settings.directoryTTL())
	if err != nil || len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	g.closeWhenLeaving(ctx)
}

// named returns the caller addresses of the hosts that a caller is to use: those
// of its data centre or region, and else those of the region that may serve most
// of what it sends.
func (g *Gateway) named(q Question) []string {
	near, here := g.callerAddresses()
	if own := near[q.DataCentre]; len(own) >= minNear {
		return own[:min(len(own), maxNamed)]
	}
	regions := slices.Sorted(maps.Keys(here))
	homes := g.homes(q.Name)
	slices.SortStableFunc(regions, func(a, b string) int {
		return cmp.Or(first(a == q.Region, b == q.Region), cmp.Compare(homes[b], homes[a]),
			first(a == g.settings.Region, b == g.settings.Region))
	})
	if len(regions) == 0 {
		return nil
	}
	own := here[regions[0]]
	return own[:min(len(own), maxNamed)]
}

// first orders what has a quality before what has not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// callerAddresses returns where callers connect to the hosts that are in use, by
// data centre and by region.
func (g *Gateway) callerAddresses() (near, here map[string][]string) {
	live := map[string]bool{g.settings.Region: true}
	for _, region := range g.liveRegions() {
		live[region] = true
	}
	silent := g.silentMates()
	near, here = map[string][]string{}, map[string][]string{}
	for _, m := range g.gossip.View().Members {
		if !m.InUse() || !live[m.Region] || silent[m.Host] {
			continue
		}
		near[m.DataCentre] = append(near[m.DataCentre], m.CallerAddress)
		here[m.Region] = append(here[m.Region], m.CallerAddress)
	}
	return near, here
}

// homes returns how many restricted routes of a name each region may serve.
func (g *Gateway) homes(name string) map[string]int {
	table := g.catalogue.Now().Table
	if table == nil {
		return nil
	}
	return table.Homes(name)
}
