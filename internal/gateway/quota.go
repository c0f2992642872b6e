package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// quotaInterval is the interval at which due messages of quotas are sent: a fraction of the intervals in
	// package allowance. Without quotas the host looks every idleQuotaInterval for some.
	quotaInterval     = 50 * time.Millisecond
	idleQuotaInterval = 500 * time.Millisecond
	// quotaFleetInterval is the interval at which the hosts of the fleet are read.
	quotaFleetInterval = 200 * time.Millisecond
	// overageShare is the part of the tolerated overage that is added to the burst of quotas. The rest is for hosts
	// that do not know of each other.
	overageShare = 0.2
	// maxQuotaQueries bounds the queries of one call: of the owner, of one in its place, and of the one that
	// this names.
	maxQuotaQueries = 3
)

// The reasons for which calls are refused for their workspace's quota.
const (
	overQuota        = "the workspace is over its quota"
	quotaUnavailable = "no host replies that keeps the workspace's quota"
)

// The results of queries, for metrics.
const (
	quotaGranted    = "granted"
	quotaDenied     = "denied"
	quotaUnanswered = "unanswered"
	quotaFallback   = "fallback"
)

// quotaQuery asks the owner of a workspace's quota to charge it, and quotaReply answers the query with the
// same ID.
type quotaQuery struct {
	ID    uint64          `cbor:"1,keyasint"`
	Query allowance.Query `cbor:"2,keyasint"`
}

type quotaReply struct {
	ID    uint64          `cbor:"1,keyasint"`
	Reply allowance.Reply `cbor:"2,keyasint"`
}

// quotas is the host's part in keeping the quotas of workspaces. Its mutex may be locked while that of the
// gateway is held, not the other way round.
type quotas struct {
	mu      sync.Mutex
	limiter *allowance.Limiter
	table   *route.Table   // whose quotas are configured
	view    allowance.View // of the last fleet
	limited bool           // some workspace has a quota
	replies replies[quotaReply]
}

// configure sets the quotas of a configuration.
func (q *quotas) configure(now time.Time, table *route.Table, s Settings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if table == nil || table == q.table {
		return
	}
	limits := map[string]allowance.Limit{}
	for _, w := range table.Workspaces() {
		if w.Quota.Limited() {
			tolerated := s.QuotaOverage * (s.QuotaWindowSeconds*w.Quota.PerSecond + w.Quota.Burst)
			limits[w.Name] = allowance.Limit{PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst + overageShare*tolerated}
		}
	}
	q.table, q.limited = table, len(limits) > 0
	q.limiter.Configure(now, limits)
}

// setView sets what is known of the fleet, and returns it. It returns false if that is the
// same as before, or concerns no quota.
func (q *quotas) setView(now time.Time, v allowance.View) (allowance.Fleet, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v.Leaving = v.Leaving || q.view.Leaving // v may have been read before the host began to leave
	if v.SameFleet(q.view) {
		q.view.Uptime = v.Uptime
		return allowance.Fleet{}, false
	}
	q.view = v
	f := allowance.NewFleet(v)
	q.limiter.SetFleet(now, f)
	return f, q.limited
}

// updateQuotaFleet tells the limiter which hosts there are. Hosts of older builds generate no tokens.
func (g *Gateway) updateQuotaFleet() {
	silent := g.silentPeers()
	now := g.clock.Now()
	v := allowance.View{Self: g.settings.Host, Region: g.settings.Region, Uptime: now.Sub(g.started), Leaving: g.leaving.Load()}
	for _, region := range g.settings.DataCentres {
		v.Regions = append(v.Regions, region)
	}
	slices.Sort(v.Regions)
	v.Regions = slices.Compact(v.Regions)
	for _, m := range g.gossip.View().Members {
		if m.Leaving || m.Protocol < member.ProtocolWorkspaces || m.Host == g.settings.Host && v.Leaving {
			continue
		}
		v.Hosts = append(v.Hosts, allowance.Host{Name: m.Host, Region: m.Region, Live: m.InUse() && !silent[m.Host]})
	}
	if f, changed := g.quotas.setView(now, v); changed {
		g.log.Info("The hosts that keep quotas have changed.", "Regions", f.Regions, "Settled", f.Settled, "Leaving", f.Leaving, "UptimeMs", v.Uptime.Milliseconds())
	}
}

// keepQuotas sends the messages of quotas until ctx is done.
func (g *Gateway) keepQuotas(ctx context.Context) error {
	var updatedAt time.Time
	for {
		g.noticeSuspension()
		now := g.clock.Now()
		if now.Sub(updatedAt) >= quotaFleetInterval {
			updatedAt = now
			g.updateQuotaFleet()
		}
		interval := idleQuotaInterval
		if due, limited := g.quotas.due(now); limited {
			interval = quotaInterval
			for _, m := range due {
				g.sendMessage(peerMessage{Quota: &m}, g.membersByName([]string{m.To}))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(interval):
		}
	}
}

// due returns the messages to send, and whether there are quotas.
func (q *quotas) due(now time.Time) ([]allowance.Message, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limited {
		return nil, false
	}
	return q.limiter.Due(now), true
}

// handleQuotaMessage handles a message that concerns quotas, and any other as a load report.
func (g *Gateway) handleQuotaMessage(m peerMessage) {
	switch {
	case m.QuotaQuery != nil:
		g.answerQuotaQuery(m.Host, *m.QuotaQuery)
	case m.QuotaReply != nil:
		g.quotas.replies.deliver(m.QuotaReply.ID, *m.QuotaReply)
	case m.Quota != nil:
		g.applyQuota(m)
	default:
		g.applyMessage(m)
	}
}

// applyQuota applies the message of another host.
func (g *Gateway) applyQuota(m peerMessage) {
	g.noticeSuspension()
	g.quotas.mu.Lock()
	defer g.quotas.mu.Unlock()
	g.quotas.limiter.Receive(g.clock.Now(), m.Host, m.Incarnation, *m.Quota)
}

// answerQuotaQuery answers the query of another host.
func (g *Gateway) answerQuotaQuery(host string, q quotaQuery) {
	g.noticeSuspension()
	g.quotas.mu.Lock()
	reply := g.quotas.limiter.HandleQuery(g.clock.Now(), q.Query)
	g.quotas.mu.Unlock()
	g.sendMessage(peerMessage{QuotaReply: &quotaReply{ID: q.ID, Reply: reply}}, g.membersByName([]string{host}))
}

// invalidate discards all tokens after a suspension.
func (q *quotas) invalidate(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Invalidate(now)
}

// chargeQuota charges the workspace of a call, and returns the reply if it is over its quota. Only the host
// to which the caller sent the call does so, once for all attempts. Calls on public routes cost nothing.
func (c *activeCall) chargeQuota() (reply, bool) {
	g := c.gateway
	if c.fromPeer || c.route.Public || c.workspace == nil || !c.workspace.Quota.Limited() {
		return reply{}, false
	}
	if r, refused := c.checkKey(); refused {
		return r, true
	}
	cost := c.workspace.Quota.Cost(c.meta.QuotaTokens)
	d := c.acquireQuota(cost)
	if d.Outcome == allowance.Granted {
		c.charged, c.payer = cost, c.workspace.Name
		return reply{}, false
	}
	g.metrics.add(fmt.Sprintf("calls_over_quota_total{workspace=%q,result=%q}", c.workspace.Name, d.Outcome), 1)
	c.addStep("cost %.0f of quota %.0f/s, burst %.0f: %s, by %q, retry after %d ms", cost, c.workspace.Quota.PerSecond, c.workspace.Quota.Burst, d.Outcome, d.Owner, d.RetryAfter.Milliseconds())
	if d.Outcome == allowance.Denied {
		return reply{status: fasthttp.StatusTooManyRequests, outcome: core.NotRun, reason: overQuota, retryAfter: d.RetryAfter}, true
	}
	return c.hostReply(quotaUnavailable, g.jitter(shortRetryAfter)), true
}

// acquireQuota has the cost of the call charged by this host, or by the owner of the workspace's quota.
func (c *activeCall) acquireQuota(cost float64) allowance.Decision {
	q := &c.gateway.quotas
	decide := func(f func(now time.Time) allowance.Decision) allowance.Decision {
		q.mu.Lock()
		defer q.mu.Unlock()
		return f(c.gateway.clock.Now())
	}
	name := c.workspace.Name
	d := decide(func(now time.Time) allowance.Decision { return q.limiter.Acquire(now, name, cost) })
	for range maxQuotaQueries {
		if d.Outcome != allowance.Ask {
			break
		}
		r, answered := c.queryQuota(d, cost)
		switch {
		case answered:
			d = decide(func(now time.Time) allowance.Decision { return q.limiter.Resolve(now, name, cost, d, r) })
		case c.ctx.Err() != nil: // says nothing of the owner
			return allowance.Decision{Outcome: allowance.Unavailable, Owner: d.Owner}
		default:
			d = decide(func(now time.Time) allowance.Decision { return q.limiter.Unanswered(now, name, d) })
		}
	}
	if d.Outcome == allowance.Ask {
		d.Outcome = allowance.Unavailable
	}
	return d
}

// queryQuota queries an owner. It returns false if that does not reply in time.
func (c *activeCall) queryQuota(d allowance.Decision, cost float64) (allowance.Reply, bool) {
	g := c.gateway
	id, replies := g.quotas.replies.expect(1)
	defer g.quotas.replies.forget(id)
	g.sendMessage(peerMessage{QuotaQuery: &quotaQuery{ID: id, Query: allowance.Query{Workspace: c.workspace.Name, Cost: cost}}}, g.membersByName([]string{d.Owner}))
	if d.Fallback {
		g.countQuotaQuery(quotaFallback)
	}
	select {
	case r := <-replies:
		if r.Reply.Granted {
			g.countQuotaQuery(quotaGranted)
		} else {
			g.countQuotaQuery(quotaDenied)
		}
		return r.Reply, true
	case <-g.clock.After(d.Timeout):
		g.countQuotaQuery(quotaUnanswered)
	case <-c.ctx.Done():
	}
	return allowance.Reply{}, false
}

func (g *Gateway) countQuotaQuery(result string) {
	g.metrics.add(fmt.Sprintf("quota_queries_total{result=%q}", result), 1)
}

// refundQuota returns what a call was charged, if it has not run and never will.
func (c *activeCall) refundQuota(r reply) {
	if c.charged == 0 || r.upstream != nil || r.outcome != core.NotRun {
		return
	}
	q := &c.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Refund(c.gateway.clock.Now(), c.payer, c.charged)
	c.charged = 0
}

// dump describes the quotas to operators.
func (q *quotas) dump(now time.Time) []allowance.Row {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Dump(now)
}

// writeMetrics writes the counters of the limiter.
func (q *quotas) writeMetrics(now time.Time, w io.Writer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.limiter.Stats()
	_, _ = fmt.Fprintf(w, "sequoiarack_quota_tokens_granted_total %.0f\nsequoiarack_quota_tokens_refunded_total %.0f\n", math.Floor(s.TokensGranted), math.Floor(s.TokensRefunded))
	_, _ = fmt.Fprintf(w, "sequoiarack_quota_transfers_sent_total %d\nsequoiarack_quota_transfers_received_total %d\nsequoiarack_quota_messages_duplicate_total %d\n",
		s.TransfersSent, s.TransfersReceived, s.Duplicates)
	_, _ = fmt.Fprintf(w, "sequoiarack_quota_asks_total %d\nsequoiarack_quota_gives_total %d\n", s.Asks, s.GivesSent)
	for shard, share := range q.limiter.OwnedShares(now) {
		_, _ = fmt.Fprintf(w, "sequoiarack_quota_owned_share{shard=\"%d\"} %.4f\n", shard, share)
	}
}
