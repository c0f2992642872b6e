package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

const (
	// maxSuspectedCrashes bounds the calls broken off by targets that wait to be examined.
	maxSuspectedCrashes = 1024
	// A target that broke off calls is probed after firstProbeDelay, when all of its calls have
	// broken off, and again after lastProbeDelay if it accepted a connection.
	firstProbeDelay = 20 * time.Millisecond
	lastProbeDelay  = 150 * time.Millisecond
	// confirmationDelay is how long another host may take to tell that a target runs which accepts
	// no connection of this one.
	confirmationDelay = 30 * time.Millisecond
	// maxExaminations bounds the probes of a target while no other target responds.
	maxExaminations     = 8
	crashProbeTimeout   = 300 * time.Millisecond
	maxConcurrentProbes = 8
	// idleExaminationInterval is how long the examination sleeps while nothing is due.
	idleExaminationInterval = time.Minute
	maxExaminedTargets      = 1024

	// firstEventGrace is how long a target must live on after the first event of an answer
	// until the answer is evidence for the parts of its prompt.
	firstEventGrace = 250 * time.Millisecond
	// maxReportedParts bounds the suspected, the proven and the tried parts of one report.
	maxReportedParts = 20

	crashKeyPrefix  = "death/"
	crashTTLSeconds = 600
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
	began   time.Time
	due     time.Time
	// refusedAt is when the target first refused a probe.
	refusedAt time.Time
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
		e = &examination{target: s.target, began: now, due: now.Add(firstProbeDelay)}
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
		case *result && e.refusedAt.IsZero():
			e.refusedAt, e.due = now, now.Add(confirmationDelay)
			g.doubtProcess(e.target, true, signExamined)
		case *result && g.confirmed(e):
			g.log.Info("A target that broke off calls runs, but this host has no path to it.", "Target", incarnation, "Calls", len(e.digests))
			delete(examinations, incarnation)
		case *result && !g.canJudge(e):
			e.due = now.Add(lastProbeDelay)
			if e.probes >= maxExaminations {
				g.log.Info("A target that broke off calls accepts no connection, but this host may have no path to it.", "Target", incarnation, "Calls", len(e.digests))
				delete(examinations, incarnation)
			}
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

// confirmed reports whether another host has told that the process of the target runs, after it
// refused a probe of this host.
func (g *Gateway) confirmed(e *examination) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.ConfirmedSince(e.target.ID, e.began)
}

// canJudge reports whether a refused connection says something about the target of an examination:
// another target has responded since the calls broke off, or there is none.
func (g *Gateway) canJudge(e *examination) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.RespondedSince(e.began) || !g.balancer.HasOtherTargets(e.target.ID)
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
	g.postProcessItem(partCrashKeyPrefix+crash.ID, partTTLSeconds, crash)
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
