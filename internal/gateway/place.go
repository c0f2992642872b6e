package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// placeMargin is subtracted from the time for which the address of an ended host belongs to nobody, for a body on
	// its way.
	placeMargin = 200 * time.Millisecond
	// placeQueryTimeout bounds the wait for a host to show that it is at its address.
	placeQueryTimeout = 500 * time.Millisecond
	// maxPlacements is the number of hosts from which on those whose place was not shown lately are forgotten.
	maxPlacements = 256
)

// errPlace is the error of a send to a host of which it is not known that it is still at its address.
var errPlace = errors.New("the place of the host was not shown lately")

// moment is a time, and for how long the machine had been suspended until then.
type moment struct {
	at           time.Time
	suspendedFor time.Duration
}

// placement is a moment at which a process of a host was at its address.
type placement struct {
	moment
	incarnation int64
}

// moment returns the current one. The caller must not hold g.mu.
func (g *Gateway) moment() moment {
	g.noticeSuspension()
	g.mu.Lock()
	defer g.mu.Unlock()
	return moment{at: g.clock.Now(), suspendedFor: g.suspendedFor}
}

// recordPlace records that the host at an address responds by its name to a request that was sent at a moment.
func (g *Gateway) recordPlace(host member.Info, sent moment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.placements) >= maxPlacements {
		now := g.clock.Now()
		maps.DeleteFunc(g.placements, func(_ string, p placement) bool { return now.Sub(p.at) >= g.maxPlaceAge() })
	}
	if sent.at.After(g.placements[host.Host].at) {
		g.placements[host.Host] = placement{moment: sent, incarnation: host.Incarnation}
	}
}

// placeAge returns the time since a host was last shown to be at its address: by its response to a request that was
// sent there, or by a message of its process. It returns false if that was not shown lately. The caller must not hold g.mu.
func (g *Gateway) placeAge(host member.Info) (time.Duration, bool) {
	now := g.moment()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placeAgeAt(now, host)
}

// placeAgeAt is placeAge at a moment. The caller holds g.mu.
func (g *Gateway) placeAgeAt(now moment, host member.Info) (time.Duration, bool) {
	shown := time.Time{}
	if p, ok := g.placements[host.Host]; ok && p.incarnation == host.Incarnation && p.suspendedFor == now.suspendedFor {
		shown = p.at
	}
	if m, ok := g.lastMessages[host.Host]; ok && m.incarnation == host.Incarnation && m.at.After(shown) {
		shown = m.at
	}
	age := now.at.Sub(shown)
	return age, !shown.IsZero() && age < g.maxPlaceAge()
}

// maxPlaceAge returns for how long a host is known to be at its address once that was shown.
func (g *Gateway) maxPlaceAge() time.Duration { return g.settings.reuseTime() - placeMargin }

// checkPlace returns an error unless the body of the call may go to a host where it was shown to be lately.
func (c *activeCall) checkPlace(host member.Info) error {
	if !c.route.Homes().Restricted() {
		return nil
	}
	if _, ok := c.gateway.placeAge(host); !ok {
		return errPlace
	}
	return nil
}

// provePlace asks a host, without the body of the call, unless it was shown lately where it is. It returns the result of
// an attempt that ends as the body may not go there.
func (c *activeCall) provePlace(host member.Info) (result, bool) {
	if c.checkPlace(host) == nil {
		return result{}, true
	}
	c.gateway.queryPlace(c.ctx, host)
	err := c.checkPlace(host)
	if err == nil {
		return result{}, true
	}
	c.gateway.metrics.add("forwards_unplaced_total", 1)
	c.addStep("host %s: %v", host.Host, err)
	c.retryHost(host)
	return unsentResult("another host has not shown where it is"), false
}

// queryPlace asks a host for a newer configuration, which shows where it is. Queries are joined. A host that does not
// respond gets no calls for a time.
func (g *Gateway) queryPlace(ctx context.Context, host member.Info) {
	ended := g.configurationFetches.DoChan("place of "+host.Host, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), placeQueryTimeout) // other calls wait for it, too
		defer cancel()
		g.metrics.add("place_queries_total", 1)
		sentAt := g.clock.Now()
		if _, err := g.queryVersion(ctx, host, g.configurationVersion()); link.IsRejection(err) {
			g.recordHostFailure(host, sentAt, err)
		} else if err != nil {
			g.avoidHost(host.Host, hostFailurePause)
		}
		return nil, nil
	})
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
