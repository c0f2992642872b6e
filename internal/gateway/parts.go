package gateway

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

const (
	// maxPartKeys bounds the parts of one prompt that are examined after a crash.
	maxPartKeys = 64
	// partKeyLength is the length of a part's digest, in hexadecimal digits.
	partKeyLength = 24
	// clearanceDelayPerPeer spreads the clearances that the hosts of a region send for the same
	// report.
	clearanceDelayPerPeer = 2500 * time.Microsecond
	// trialRetryAfter is the Retry-After of calls with a part on trial: about the time that a
	// trial takes.
	trialRetryAfter = time.Second

	partCrashKeyPrefix     = "part-crash/"
	partClearanceKeyPrefix = "part-clear/"
	partTrialKeyPrefix     = "part-trial/"
	partTTLSeconds         = 3600
	partTrialTTLSeconds    = 10
)

// The reasons for which calls are refused after crashes.
const (
	reasonWholeQuarantined = "the call has ended several targets"
	reasonPartQuarantined  = "a part of the prompt crashes targets"
	reasonPartOnTrial      = "a part of the prompt may crash targets, and another call tries it"
)

// dueClearance is a report of another host for which this host may send clearances.
type dueClearance struct {
	crash quarantine.PartCrash
	due   time.Time
}

// partKeys returns a keyed digest of each part of the prompt that other calls may share: all
// but the last one, maxPartKeys at most.
func (c *activeCall) partKeys() []string {
	if c.keys != nil || len(c.meta.Parts) < 2 {
		return c.keys
	}
	parts := c.meta.Parts[:min(len(c.meta.Parts)-1, maxPartKeys)]
	keys := make([]string, len(parts))
	for i, part := range parts {
		keys[i] = c.gateway.signer.Digest([]byte(c.service), binary.BigEndian.AppendUint64(nil, part.ID))[:partKeyLength]
	}
	slices.Sort(keys)
	c.keys = slices.Compact(keys)
	return c.keys
}

// quarantined returns the reply to a call that is refused because the call, or a part of its
// prompt, crashes targets.
func (c *activeCall) quarantined() (reply, bool) {
	g, keys := c.gateway, c.partKeys()
	g.mu.Lock()
	now := g.clock.Now()
	whole := g.quarantine.Status(now, c.digest) == quarantine.Quarantined
	release := time.Duration(0)
	for _, key := range keys {
		release = max(release, g.parts.ReleaseIn(now, key))
	}
	g.mu.Unlock()
	switch {
	case whole:
		return c.hostReply(reasonWholeQuarantined, quarantineRetryAfter), true
	case release > 0:
		g.metrics.add("part_quarantine_refusals_total", 1)
		r := c.hostReply(reasonPartQuarantined, max(release, quarantineRetryAfter))
		r.suspect = true
		return r, true
	default:
		return reply{}, false
	}
}

// startTrial makes the call a trial of the suspected parts of its prompt, if there are any. It
// returns false if another call is a trial of one of them, or if a target broke off an earlier trial
// by this call. A call that a target broke off before
// is a trial of all parts under which no answer has begun.
func (c *activeCall) startTrial() bool {
	g, keys := c.gateway, c.partKeys()
	g.mu.Lock()
	now := g.clock.Now()
	var suspects []string
	for _, key := range keys {
		if g.parts.Status(now, key) != quarantine.Clear || (c.brokenOff && !g.parts.Proven(now, key)) {
			suspects = append(suspects, key)
		}
	}
	started := (c.trials == 0 || !c.brokenOff) && g.parts.StartTrial(now, suspects, c.meta.ID)
	g.mu.Unlock()
	if len(suspects) == 0 {
		return true
	}
	g.log.Info("A call has suspected parts.", "ID", c.meta.ID, "Parts", suspects, "BrokenOff", c.brokenOff, "Trial", started)
	if !started {
		g.metrics.add("part_trial_refusals_total", 1)
		return false
	}
	g.metrics.add("part_trials_total", 1)
	c.tried = suspects
	c.trials++
	for _, key := range suspects {
		g.postTrial(quarantine.Trial{Part: key, Call: c.meta.ID})
	}
	return true
}

// endTrial ends the trial of the call without a result.
func (c *activeCall) endTrial() {
	g := c.gateway
	for _, key := range c.tried {
		t := quarantine.Trial{Part: key, Call: c.meta.ID, Ended: true}
		g.mu.Lock()
		g.parts.ApplyTrial(g.clock.Now(), t)
		g.mu.Unlock()
		g.postTrial(t)
	}
	c.tried = nil
}

// recordAnswered records that an answer of the call began and its target lived on.
func (c *activeCall) recordAnswered() {
	g := c.gateway
	if len(c.partKeys()) == 0 {
		return
	}
	g.mu.Lock()
	clearances := g.parts.Answered(g.clock.Now(), c.partKeys())
	g.mu.Unlock()
	c.tried = nil
	for _, clearance := range clearances {
		g.log.Info("An answer cleared a part.", "ID", c.meta.ID, "Part", clearance.Part, "Crashes", clearance.CrashIDs)
		g.postClearance(clearance)
	}
}

// applyPartCrash applies the report of another host. If this host has seen answers under parts
// that are suspected in its region, it sends clearances after a while, unless another host does.
func (g *Gateway) applyPartCrash(c quarantine.PartCrash) {
	g.mu.Lock()
	now := g.clock.Now()
	added := g.parts.AddCrash(now, c)
	g.mu.Unlock()
	if !added {
		return
	}
	g.logPartCrash(c, false)
	if c.Region != g.settings.Region {
		return
	}
	delay := time.Duration(g.random() * float64(len(g.regionPeers())*int(clearanceDelayPerPeer)))
	if !g.clearances.TryPut(dueClearance{crash: c, due: now.Add(delay)}) {
		g.metrics.add("clearances_dropped_total", 1)
	}
}

// sendDueClearances sends the clearances that are due and returns the others.
func (g *Gateway) sendDueClearances(list []dueClearance) []dueClearance {
	now := g.clock.Now()
	var rest []dueClearance
	for _, d := range list {
		if now.Before(d.due) {
			rest = append(rest, d)
			continue
		}
		for _, key := range d.crash.Suspects {
			g.mu.Lock()
			clearance, ok := g.parts.ClearanceFor(now, key, d.crash.ID)
			if ok {
				g.parts.Clear(now, clearance)
			}
			g.mu.Unlock()
			if ok {
				g.log.Info("An earlier answer clears a part.", "Part", key, "Crashes", clearance.CrashIDs)
				g.postClearance(clearance)
			}
		}
	}
	return rest
}

func (g *Gateway) applyClearance(c quarantine.Clearance) {
	g.mu.Lock()
	changed := g.parts.Clear(g.clock.Now(), c)
	g.mu.Unlock()
	if changed {
		g.log.Info("Another host cleared a part.", "Part", c.Part, "Crashes", c.CrashIDs)
	}
}

func (g *Gateway) applyTrial(t quarantine.Trial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts.ApplyTrial(g.clock.Now(), t)
}

func (g *Gateway) postTrial(t quarantine.Trial) {
	g.postProcessItem(partTrialKeyPrefix+t.Part, partTrialTTLSeconds, t)
}

func (g *Gateway) postClearance(c quarantine.Clearance) {
	g.postProcessItem(partClearanceKeyPrefix+c.Part, partTTLSeconds, c)
}

// postProcessItem posts an item under a key of this process. It replaces the last one
// with the key.
func (g *Gateway) postProcessItem(key string, ttlSeconds int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		g.log.Error(err, "An item could not be encoded.", "Key", key)
		return
	}
	posted := g.gossip.PostNow(bulletin.Item{
		Key: key + "/" + g.settings.Host + "@" + strconv.FormatInt(g.started.UnixMilli(), 10), Stamp: g.partItems.Add(1), Scope: bulletin.Fleet,
		TTLSeconds: ttlSeconds, Value: data,
	})
	if !posted {
		g.metrics.add("items_dropped_total", 1)
	}
}

// suspectReply returns the reply to a call that has to wait for the trial of another one.
func (c *activeCall) suspectReply() reply {
	r := c.hostReply(reasonPartOnTrial, c.gateway.jitter(trialRetryAfter))
	r.suspect = true
	return r
}

// suspectResult ends a call that a host of another region refused because of a part of its
// prompt: no other region may try it.
func suspectResult(reason string, retryAfter time.Duration) result {
	return result{outcome: core.NotRun, reason: reason, last: true, retryAfter: retryAfter, suspect: true}
}
