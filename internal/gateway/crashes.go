package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

const (
	// maxSuspectedCrashes bounds the calls broken off by targets that wait to be examined.
	maxSuspectedCrashes = 1024
	// A target that broke off calls is probed after firstProbeDelay, when all of its calls have
	// broken off, and again after lastProbeDelay if it accepted a connection.
	firstProbeDelay     = 20 * time.Millisecond
	lastProbeDelay      = 150 * time.Millisecond
	crashProbeTimeout   = 300 * time.Millisecond
	maxConcurrentProbes = 8
	// idleExaminationInterval is how long the examination sleeps while nothing is due.
	idleExaminationInterval = time.Minute
	maxExaminedTargets      = 1024

	// firstEventGrace is how long a target must live on after the first event of an answer
	// until the answer is evidence for the parts of its prompt.
	firstEventGrace = 250 * time.Millisecond
	// clearanceDelayPerPeer spreads the clearances that the hosts of a region send for the same
	// report.
	clearanceDelayPerPeer = 2500 * time.Microsecond

	// maxPartKeys bounds the parts of one prompt that are examined after a crash, and
	// maxReportedParts the suspected and the proven parts of one report.
	maxPartKeys      = 64
	maxReportedParts = 20
	// partKeyLength is the length of a part's digest, in hexadecimal digits.
	partKeyLength = 24

	crashKeyPrefix         = "death/"
	crashTTLSeconds        = 600
	partCrashKeyPrefix     = "part-crash/"
	partClearanceKeyPrefix = "part-clear/"
	partTrialKeyPrefix     = "part-trial/"
	partTTLSeconds         = 3600
	partTrialTTLSeconds    = 10

	// trialRetryAfter is the Retry-After of calls with a part on trial: about the time that a
	// trial takes.
	trialRetryAfter = time.Second
)

// The reasons for which calls are refused after crashes.
const (
	reasonWholeQuarantined = "the call has ended several targets"
	reasonPartQuarantined  = "a part of the prompt crashes targets"
	reasonPartOnTrial      = "a part of the prompt may crash targets, and another call tries it"
)

// suspectedCrash is a call that a target broke off.
type suspectedCrash struct {
	digest string
	target catalogue.Target
	parts  []string // keys
	tried  []string // keys of the parts for which the call was a trial
}

// examination is the examination of a target that broke off calls.
type examination struct {
	target  catalogue.Target
	digests []string
	parts   []string
	tried   []string
	probes  int
	due     time.Time
}

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
	g := c.gateway
	g.mu.Lock()
	now := g.clock.Now()
	whole := g.quarantine.Status(now, c.digest) == quarantine.Quarantined
	release := time.Duration(0)
	for _, key := range c.partKeys() {
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
	g := c.gateway
	g.mu.Lock()
	now := g.clock.Now()
	var suspects []string
	for _, key := range c.partKeys() {
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

// reportSuspectedCrash queues the examination of a target that broke off a call after the given
// number of events. The parts of its prompt are suspected unless the answer began long ago.
func (c *activeCall) reportSuspectedCrash(t catalogue.Target, events int, pending bool) {
	c.gateway.metrics.add("calls_broken_off_total", 1)
	c.gateway.log.Info("A target broke off a call.", "ID", c.meta.ID, "Route", c.route.Name, "Target", t.Incarnation, "Events", events,
		"Pending", pending, "Attempt", c.attempts, "Parts", c.partKeys(), "Tried", c.tried)
	if !pending {
		return
	}
	c.brokenOff = true
	s := suspectedCrash{digest: c.digest, target: t, parts: c.partKeys(), tried: c.tried}
	c.tried = nil
	if !c.gateway.suspectedCrashes.TryPut(s) {
		c.gateway.metrics.add("suspicions_dropped_total", 1)
	}
}

// examineCrashes finds out which of the targets that broke off calls have crashed, and sends
// due clearances, until ctx is done. A lost response of a running target is no sign that the call
// is harmful.
func (g *Gateway) examineCrashes(ctx context.Context) error {
	examinations := map[string]*examination{} // by incarnation
	var clearances []dueClearance
	for {
		wait := idleExaminationInterval
		now := g.clock.Now()
		for _, e := range examinations {
			wait = min(wait, e.due.Sub(now))
		}
		for _, d := range clearances {
			wait = min(wait, d.due.Sub(now))
		}
		select {
		case <-ctx.Done():
			return nil
		case s := <-g.suspectedCrashes.Items():
			addExamination(examinations, s, g.clock.Now())
		case d := <-g.clearances.Items():
			clearances = append(clearances, d)
		case <-g.clock.After(max(0, wait)):
			g.examineDue(ctx, examinations)
			clearances = g.sendDueClearances(clearances)
		}
	}
}

func addExamination(examinations map[string]*examination, s suspectedCrash, now time.Time) {
	e := examinations[s.target.Incarnation]
	if e == nil {
		if len(examinations) >= maxExaminedTargets {
			return
		}
		e = &examination{target: s.target, due: now.Add(firstProbeDelay)}
		examinations[s.target.Incarnation] = e
	}
	e.digests = append(e.digests, s.digest)
	e.parts = append(e.parts, s.parts...)
	e.tried = append(e.tried, s.tried...)
}

// examineDue probes the targets whose examination is due and records those that have crashed.
func (g *Gateway) examineDue(ctx context.Context, examinations map[string]*examination) {
	now := g.clock.Now()
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	crashed := map[string]*bool{}
	for incarnation, e := range examinations {
		if now.Before(e.due) {
			continue
		}
		result := new(bool)
		crashed[incarnation] = result
		group.Go(func() error {
			*result = g.refusesConnections(ctx, e.target.Address)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	for incarnation, result := range crashed {
		e := examinations[incarnation]
		e.probes++
		switch {
		case *result:
			g.recordExamination(e)
			delete(examinations, incarnation)
		case e.probes == 1:
			e.due = now.Add(lastProbeDelay)
		default:
			g.log.Info("A target that broke off calls did not crash.", "Target", incarnation, "Calls", len(e.digests))
			delete(examinations, incarnation)
		}
	}
}

// refusesConnections reports whether nothing listens at the address any more. A host that cannot
// reach the target does not know.
func (g *Gateway) refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, err := g.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	_ = conn.Close()
	return false
}

// recordExamination records that a target has crashed, and reports it to the fleet.
func (g *Gateway) recordExamination(e *examination) {
	for _, digest := range e.digests {
		g.recordCrash(quarantine.CrashReport{Digest: digest, CrashID: e.target.Incarnation}, true)
	}
	crash := quarantine.PartCrash{ID: e.target.Incarnation, Region: g.settings.Region, Tried: bounded(e.tried)}
	g.mu.Lock()
	now := g.clock.Now()
	slices.Sort(e.parts)
	for _, key := range slices.Compact(e.parts) {
		if g.parts.Proven(now, key) {
			crash.Proven = append(crash.Proven, key)
		} else {
			crash.Suspects = append(crash.Suspects, key)
		}
	}
	crash.Suspects, crash.Proven = bounded(crash.Suspects), bounded(crash.Proven)
	added := g.parts.AddCrash(now, crash)
	g.mu.Unlock()
	if !added {
		return
	}
	g.logPartCrash(crash, true)
	g.postPartItem(partCrashKeyPrefix+crash.ID, partTTLSeconds, crash)
}

// bounded returns at most maxReportedParts of the parts, chosen at random.
func bounded(parts []string) []string {
	if len(parts) <= maxReportedParts {
		return parts
	}
	rand.Shuffle(len(parts), func(i, k int) { parts[i], parts[k] = parts[k], parts[i] })
	return parts[:maxReportedParts]
}

func (g *Gateway) logPartCrash(c quarantine.PartCrash, own bool) {
	g.mu.Lock()
	now := g.clock.Now()
	var suspected, quarantined []string
	for _, key := range slices.Concat(c.Suspects, c.Proven, c.Tried) {
		switch g.parts.Status(now, key) {
		case quarantine.Suspected:
			suspected = append(suspected, key)
		case quarantine.Quarantined:
			quarantined = append(quarantined, key)
		case quarantine.Clear:
		}
	}
	g.mu.Unlock()
	g.metrics.add("target_crashes_total", 1)
	g.log.Info("A target crashed.", "Target", c.ID, "Own", own, "Suspects", c.Suspects, "Proven", c.Proven, "Tried", c.Tried,
		"Suspected", suspected, "Quarantined", quarantined)
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
	g.postPartItem(partTrialKeyPrefix+t.Part, partTrialTTLSeconds, t)
}

func (g *Gateway) postClearance(c quarantine.Clearance) {
	g.postPartItem(partClearanceKeyPrefix+c.Part, partTTLSeconds, c)
}

// postPartItem posts an item about parts under a key of this process. It replaces the last one
// with the key.
func (g *Gateway) postPartItem(key string, ttlSeconds int, value any) {
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

// recordCrash counts the crash of a target against the call that it ran. If this host
// detected the crash itself (own), it posts the report to the fleet.
func (g *Gateway) recordCrash(report quarantine.CrashReport, own bool) {
	g.mu.Lock()
	added := g.quarantine.Add(g.clock.Now(), report)
	g.mu.Unlock()
	if !added {
		return
	}
	g.log.Info("A target died while it ran a call.", "Digest", report.Digest, "Target", report.CrashID, "Own", own)
	if !own {
		return
	}
	value, err := json.Marshal(report)
	if err != nil {
		g.log.Error(err, "A crash report could not be encoded.")
		return
	}
	g.gossip.PostNow(bulletin.Item{
		Key: crashKeyPrefix + report.Digest + "/" + report.CrashID, Stamp: 1, Scope: bulletin.Fleet, TTLSeconds: crashTTLSeconds, Value: value,
	})
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
