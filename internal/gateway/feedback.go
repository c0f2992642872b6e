package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

const (
	// typicalTimeWeight is the weight of a new sample in a route's typical processing time.
	typicalTimeWeight = 0.05
	// leavingTTLSeconds exceeds the few seconds for which a leaving target still serves, so
	// that hosts which lose contact meanwhile learn of it as well.
	leavingKeyPrefix  = "leaving/"
	leavingTTLSeconds = 120
)

// budget returns the retry budget of a service. Until the host knows how many hosts share the slack, none
// of it accrues. The caller holds g.mu.
func (g *Gateway) budget(service string) *balance.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = balance.NewRetryBudget(g.started, g.settings.RetryRatio, g.settings.RetrySlack, time.Duration(g.settings.RetryWindowSeconds*float64(time.Second)), g.rng.Float64())
		g.budgets[service] = b
	}
	members := len(g.gossip.View().Members)
	if now := g.clock.Now(); members == 1 && g.hasOtherSeeds() && now.Sub(g.started) < discoveryTime {
		b.DropAccrued(now)
	}
	b.SetHosts(members)
	return b
}

// hasOtherSeeds reports whether the settings name another host.
func (g *Gateway) hasOtherSeeds() bool {
	return slices.ContainsFunc(g.settings.Seeds, func(seed string) bool { return seed != g.settings.PeerAddress })
}

// typicalTime returns the typical processing time of a route's calls, 0 before the first.
func (g *Gateway) typicalTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.typicalTimes[route]
}

// recordTypicalTime updates a route's typical processing time with that of one call. The
// caller holds g.mu.
func (g *Gateway) recordTypicalTime(route string, sample time.Duration) {
	mean, ok := g.typicalTimes[route]
	if !ok {
		mean = sample
	}
	g.typicalTimes[route] = mean + time.Duration(typicalTimeWeight*float64(sample-mean))
}

// recordTargetState updates the state of a target from the headers of its response to a request
// that was sent at sentAt.
func (g *Gateway) recordTargetState(t catalogue.Target, sentAt time.Time, headers TargetResponse) {
	id := t.ID
	for _, field := range headers.InvalidHeaders {
		g.logInvalidHeader(id, field)
	}
	if headers.Leaving {
		g.recordLeaving(t.Incarnation, true)
	}
	if headers.Limit != nil {
		g.recordLimit(t, sentAt, *headers.Limit)
	}
	if headers.Brittle != nil {
		g.recordBrittle(t, sentAt, *headers.Brittle)
	}
	if headers.ColdRemaining > 0 {
		g.recordCold(id, headers.ColdRemaining)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if headers.RetryAfter > 0 {
		g.log.Info("A target asked for a backoff.", "Target", id, "AskedMs", headers.RetryAfter.Milliseconds(),
			"TakenMs", min(headers.RetryAfter, balance.MaxBackoff).Milliseconds())
		g.balancer.BackOff(now, id, headers.RetryAfter)
	}
	if headers.Load != nil {
		g.balancer.Observe(now, id, *headers.Load)
	}
}

// recordCold records that a target states in a response that it is cold, and tells the other
// hosts of the region.
func (g *Gateway) recordCold(id string, d time.Duration) {
	g.mu.Lock()
	statement, isNew := g.balancer.MarkCold(g.clock.Now(), id, d)
	g.mu.Unlock()
	if !isNew {
		return
	}
	g.log.Info("A target states whether it is cold.", "Target", id, "ColdMs", d.Milliseconds())
	g.sendMessage(peerMessage{Statements: []balance.Statement{statement}}, g.regionPeers())
}

// maxInvalidHeaders bounds the invalid headers that are remembered.
const maxInvalidHeaders = 1024

// logInvalidHeader logs an invalid header of a target, but not again for each response that
// repeats it.
func (g *Gateway) logInvalidHeader(target, field string) {
	g.metrics.add("invalid_headers_total", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	name, _, _ := strings.Cut(field, ":")
	key := target + " " + name
	if g.invalidHeaders[key] == field {
		return
	}
	if len(g.invalidHeaders) >= maxInvalidHeaders {
		clear(g.invalidHeaders)
	}
	g.invalidHeaders[key] = field
	g.log.Info("A target sent an invalid header; its last valid value stays in force.", "Target", target, "Field", field)
}

// faulty reports whether a target fails so many calls that the target itself is at fault.
func (g *Gateway) faulty(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Faulty(g.clock.Now(), id)
}

// recordLeaving marks a target process as leaving. If this host received the target's notice
// itself (own), it posts an item about it to the fleet.
func (g *Gateway) recordLeaving(incarnation string, own bool) {
	if !g.catalogue.MarkDraining(incarnation) {
		return
	}
	g.log.Info("A target announced that it is leaving.", "Target", incarnation, "Own", own)
	if !own {
		return
	}
	g.gossip.PostNow(bulletin.Item{
		Key: leavingKeyPrefix + incarnation, Stamp: 1, Scope: bulletin.Fleet, TTLSeconds: leavingTTLSeconds, Value: json.RawMessage("true"),
	})
}

// retireTarget takes a target out of use because another target has its address now.
func (g *Gateway) retireTarget(id string) {
	g.log.Info("Another target has the address.", "Target", id)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.MarkLeaving(id)
}

// recordRoundTrip derives the round trip time to a region from the total time of a call and
// the milliseconds that the call took there.
func (g *Gateway) recordRoundTrip(region string, elapsed time.Duration, remoteElapsed string) {
	roundTrip := elapsed - time.Duration(atoi(remoteElapsed))*time.Millisecond
	if remoteElapsed == "" || roundTrip <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.ObserveRoundTrip(region, roundTrip)
}

func (g *Gateway) recordRegionRefusal(region string, w balance.Work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.MarkRefused(g.clock.Now(), region, w)
}

func (g *Gateway) recordRegionUnreachable(region string) {
	g.log.Info("A region has no reachable host.", "Region", region)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.MarkLost(g.clock.Now(), region)
}

// onItem handles a bulletin item that another host posted.
func (g *Gateway) onItem(item bulletin.Item) {
	if incarnation, ok := strings.CutPrefix(item.Key, leavingKeyPrefix); ok {
		g.recordLeaving(incarnation, false)
		return
	}
	var err error
	switch prefix, _, _ := strings.Cut(item.Key, "/"); prefix + "/" {
	case crashKeyPrefix:
		err = applyItem(item, func(r quarantine.CrashReport) { g.recordCrash(r, false) })
	case partCrashKeyPrefix:
		err = applyItem(item, g.applyPartCrash)
	case partClearanceKeyPrefix:
		err = applyItem(item, g.applyClearance)
	case reachKeyPrefix:
		err = applyItem(item, g.applyReach)
	case partTrialKeyPrefix:
		err = applyItem(item, g.applyTrial)
	}
	if err != nil {
		g.log.Error(err, "An item of another host could not be decoded.", "Key", item.Key)
	}
}

// applyItem decodes the value of an item and applies it.
func applyItem[T any](item bulletin.Item, apply func(T)) error {
	var value T
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return err
	}
	apply(value)
	return nil
}
