package gateway

import (
	"time"
)

// minSuspension is the least difference between two clocks that is no delay between their readings.
const minSuspension = 100 * time.Millisecond

// noticeSuspension finds out whether the machine was suspended since the last call. The clock by which
// the host measures spans stands still then, so all that it has heard is older than it seems.
func (g *Gateway) noticeSuspension() {
	sinceBoot := g.sinceBoot() // read first, so that a delay between both only hides a suspension
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	suspended := sinceBoot - now.Sub(g.started) - g.suspendedFor
	if suspended < minSuspension {
		return
	}
	g.suspendedFor += suspended
	g.resumedAt = now
	for host, m := range g.lastMessages {
		m.at = m.at.Add(-suspended)
		g.lastMessages[host] = m
	}
	for region, at := range g.regionLastSeen {
		g.regionLastSeen[region] = at.Add(-suspended)
	}
	for i := range g.sentReports.times {
		g.sentReports.times[i] = g.sentReports.times[i].Add(-suspended)
	}
	g.testimony, g.versionsQueriedAt = testimony{}, time.Time{}
	clear(g.targetAnswers)
	g.follower.ForgetContact()
	g.balancer.Resume(now)
	g.quotas.invalidate(now)
	g.metrics.add("suspensions_total", 1)
	g.log.Info("The machine was suspended.", "Ms", suspended.Milliseconds())
}
