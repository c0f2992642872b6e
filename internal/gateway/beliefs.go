package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

const (
	// typicalShare is the weight of a new sample in the usual own time of a route.
	typicalShare = 0.05
	// maxSuspects bounds the ends of targets that wait to be examined.
	maxSuspects = 256
	// examinePause is how long after a lost connection a target is asked whether
	// it still lives, and examineTimeout how long it may take.
	examinePause   = 150 * time.Millisecond
	examineTimeout = 300 * time.Millisecond

	deathKeyPrefix  = "death/"
	deathTTLSeconds = 600
	// Targets that leave serve for some seconds more; leavingTTLSeconds leaves time for
	// hosts that are cut off meanwhile.
	leavingKeyPrefix  = "leaving/"
	leavingTTLSeconds = 120
)

// budget returns the budget for repeats of a service. The caller holds the lock.
func (g *Gateway) budget(service string) *balance.RetryBudget {
	b := g.budgets[service]
	if b == nil {
		b = balance.NewRetryBudget(g.started, g.settings.RetryRatio, g.settings.RetrySlack, time.Duration(g.settings.RetryWindowSeconds*float64(time.Second)), g.source.Float64())
		g.budgets[service] = b
	}
	b.SetHosts(len(g.gossip.View().Members))
	return b
}

// typical returns the usual own time of a route's calls.
func (g *Gateway) typical(name string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.typicals[name]
}

// learnTypical takes the own time of a call. The caller holds the lock.
func (g *Gateway) learnTypical(name string, own time.Duration) {
	known, ok := g.typicals[name]
	if !ok {
		known = own
	}
	g.typicals[name] = known + time.Duration(typicalShare*float64(own-known))
}

// learnHead takes what the head of an answer says of its target.
func (g *Gateway) learnHead(t catalogue.Target, answer Answer) {
	id := t.ID
	for _, field := range answer.Unreadable {
		g.log.Info("A target says what means nothing; the last belief stays.", "Target", id, "Field", field)
	}
	if answer.Leaving {
		g.learnLeaving(t.Incarnation, true)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if answer.LeaveAlone > 0 {
		g.log.Info("A target wants nothing for a while.", "Target", id, "AskedMs", answer.LeaveAlone.Milliseconds(),
			"TakenMs", min(answer.LeaveAlone, balance.MaxSpare).Milliseconds())
		g.book.Spare(now, id, answer.LeaveAlone)
	}
	if answer.Load != nil {
		g.book.Observe(now, id, *answer.Load)
	}
	if answer.Cold > 0 {
		g.book.Chill(now, id, answer.Cold)
	}
}

// faulty reports whether a target fails so many calls that the calls are not why.
func (g *Gateway) faulty(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Faulty(g.clock.Now(), id)
}

// learnLeaving takes the word of a target's process that it leaves, and tells the
// fleet of what this host has learned itself.
func (g *Gateway) learnLeaving(incarnation string, own bool) {
	if !g.catalogue.Leaves(incarnation) {
		return
	}
	g.log.Info("A target says that it leaves.", "Target", incarnation, "Own", own)
	if !own {
		return
	}
	g.gossip.PostNow(bulletin.Item{
		Key: leavingKeyPrefix + incarnation, Stamp: 1, Scope: bulletin.Fleet, TTLSeconds: leavingTTLSeconds, Value: json.RawMessage("true"),
	})
}

// leaves takes a target out of use whose address belongs to another one now.
func (g *Gateway) leaves(id string) {
	g.log.Info("Another target has the address.", "Target", id)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Leaves(id)
}

// learnTrip takes the time of a call to another region, less the time there.
func (g *Gateway) learnTrip(region string, elapsed time.Duration, took string) {
	trip := elapsed - time.Duration(atoi(took))*time.Millisecond
	if took == "" || trip <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.Trip(region, trip)
}

func (g *Gateway) refusedBy(region string, w balance.Work) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.RefusedBy(g.clock.Now(), region, w)
}

func (g *Gateway) lostRegion(region string) {
	g.log.Info("No host of a region answers.", "Region", region)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions.Lost(g.clock.Now(), region)
}

// suspicion is a call whose target may have died of it.
type suspicion struct {
	digest string
	target catalogue.Target
}

// suspect has a target examined that broke off a call.
func (g *Gateway) suspect(digest string, t catalogue.Target) {
	if !g.suspects.Offer(suspicion{digest: digest, target: t}) {
		g.metrics.add("suspicions_dropped_total", 1)
	}
}

// examine is the duty that finds out whether targets that broke off a call are
// dead. A lost answer of a living target is no evidence against the call.
func (g *Gateway) examine(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-g.suspects.Items():
			select {
			case <-ctx.Done():
				return nil
			case <-g.clock.After(examinePause):
			}
			if !g.answers(ctx, s.target.Address) {
				g.accuse(quarantine.CrashReport{Digest: s.digest, CrashID: s.target.Incarnation}, true)
			}
		}
	}
}

func (g *Gateway) answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, examineTimeout)
	defer cancel()
	c, err := g.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// accuse takes evidence against a call, and tells the fleet of its own.
func (g *Gateway) accuse(e quarantine.CrashReport, own bool) {
	g.mu.Lock()
	news := g.register.Add(g.clock.Now(), e)
	g.mu.Unlock()
	if !news {
		return
	}
	g.log.Info("A target died while it ran a call.", "Digest", e.Digest, "Target", e.CrashID, "Own", own)
	if !own {
		return
	}
	value, err := json.Marshal(e)
	if err != nil {
		g.log.Error(err, "Evidence could not be written.")
		return
	}
	g.gossip.PostNow(bulletin.Item{
		Key: deathKeyPrefix + e.Digest + "/" + e.CrashID, Stamp: 1, Scope: bulletin.Fleet, TTLSeconds: deathTTLSeconds, Value: value,
	})
}

// onItem takes a fact that other hosts spread.
func (g *Gateway) onItem(item bulletin.Item) {
	if incarnation, ok := strings.CutPrefix(item.Key, leavingKeyPrefix); ok {
		g.learnLeaving(incarnation, false)
		return
	}
	if !strings.HasPrefix(item.Key, deathKeyPrefix) {
		return
	}
	var e quarantine.CrashReport
	if err := json.Unmarshal(item.Value, &e); err != nil {
		g.log.Error(err, "Evidence could not be read.", "Key", item.Key)
		return
	}
	g.accuse(e, false)
}
