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
	// hostLocationMargin is subtracted from the time for which the address of an ended host belongs to nobody, for a body on
	// its way.
	hostLocationMargin = 200 * time.Millisecond
	// hostLocationTimeout bounds the wait for a host to show that it is at its address.
	hostLocationTimeout = 500 * time.Millisecond
	// maxHostAnswers is the number of hosts from which on those that have not answered lately are forgotten.
	maxHostAnswers = 256
)

// errHostLocation is the error of a send to a host of which it is not known that it is still at its address.
var errHostLocation = errors.New("the host was not shown lately to be at its address")

// moment is a time, and for how long the machine had been suspended until then.
type moment struct {
	at           time.Time
	suspendedFor time.Duration
}

// hostAnswer is a moment at which a process of a host was at its address.
type hostAnswer struct {
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

// recordHostAnswer records that the host at an address responds by its name to a request that was sent at a moment.
func (g *Gateway) recordHostAnswer(host member.Info, sent moment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.hostAnswers) >= maxHostAnswers {
		now := g.clock.Now()
		maps.DeleteFunc(g.hostAnswers, func(_ string, p hostAnswer) bool { return now.Sub(p.at) >= g.maxHostLocationAge() })
	}
	if sent.at.After(g.hostAnswers[host.Host].at) {
		g.hostAnswers[host.Host] = hostAnswer{moment: sent, incarnation: host.Incarnation}
	}
}

// hostLocationAge returns the time since a host was last shown to be at its address: by its response to a request that was
// sent there, or by a message of its process. It returns false if that was not shown lately. The caller must not hold g.mu.
func (g *Gateway) hostLocationAge(host member.Info) (time.Duration, bool) {
	now := g.moment()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hostLocationAgeAt(now, host)
}

// hostLocationAgeAt is hostLocationAge at a moment. The caller holds g.mu.
func (g *Gateway) hostLocationAgeAt(now moment, host member.Info) (time.Duration, bool) {
	shown := time.Time{}
	if p, ok := g.hostAnswers[host.Host]; ok && p.incarnation == host.Incarnation && p.suspendedFor == now.suspendedFor {
		shown = p.at
	}
	if m, ok := g.lastMessages[host.Host]; ok && m.incarnation == host.Incarnation && m.at.After(shown) {
		shown = m.at
	}
	age := now.at.Sub(shown)
	return age, !shown.IsZero() && age < g.maxHostLocationAge()
}

// maxHostLocationAge returns for how long a host is known to be at its address once that was shown.
func (g *Gateway) maxHostLocationAge() time.Duration {
	return g.settings.reuseTime() - hostLocationMargin
}

// checkHostLocation returns an error unless the body of the call may go to a host where it was shown to be lately.
func (c *activeCall) checkHostLocation(host member.Info) error {
	if !c.route.Homes().Restricted() {
		return nil
	}
	if _, ok := c.gateway.hostLocationAge(host); !ok {
		return errHostLocation
	}
	return nil
}

// proveHostLocation asks a host, without the body of the call, unless it was shown lately where it is. It returns the result of
// an attempt that ends as the body may not go there.
func (c *activeCall) proveHostLocation(host member.Info) (result, bool) {
	if c.checkHostLocation(host) == nil {
		return result{}, true
	}
	c.gateway.locateHost(c.ctx, host)
	err := c.checkHostLocation(host)
	if err == nil {
		return result{}, true
	}
	c.gateway.metrics.add("forwards_unlocated_total", 1)
	c.addStep("host %s: %v", host.Host, err)
	c.retryHost(host)
	return unsentResult("the host was not shown lately to be at its address"), false
}

// locateHost asks a host for a newer configuration, which shows where it is. Queries are joined. A host that does not
// respond gets no calls for a time.
func (g *Gateway) locateHost(ctx context.Context, host member.Info) {
	ended := g.configurationFetches.DoChan("location of "+host.Host, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hostLocationTimeout) // other calls wait for it, too
		defer cancel()
		g.metrics.add("host_location_queries_total", 1)
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
