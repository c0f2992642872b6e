package gateway

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// successesPerLogLine is the sampling rate of the log: of successful calls, one in
// successesPerLogLine is logged. All other calls are logged.
const successesPerLogLine = 16

// metrics is a set of counters by name.
type metrics struct {
	mu     sync.Mutex
	counts map[string]int64
}

func newMetrics() *metrics { return &metrics{counts: map[string]int64{}} }

func (m *metrics) add(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

// write writes one line of text for each counter.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.counts)) {
		_, _ = fmt.Fprintf(w, "sequoiarack_%s %d\n", name, m.counts[name])
	}
}

// ageBounds are the upper bounds of the classes of a histogram of ages, in milliseconds.
var ageBounds = []int64{250, 500, 1000, 1500, 2000, 3000, 4000, 5000, 7000, 10000}

// observeAge adds a value to a cumulative histogram.
func (m *metrics) observeAge(name string, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, bound := range ageBounds {
		if age.Milliseconds() <= bound {
			m.counts[fmt.Sprintf("%s_bucket{le=\"%d\"}", name, bound)]++
		}
	}
	m.counts[name+"_bucket{le=\"+Inf\"}"]++
}

// observeConfiguration counts a new configuration by its source, and the longest time that it may have taken
// to come here: since the last moment as of which this host had all changes.
func (g *Gateway) observeConfiguration(s *catalogue.Snapshot) {
	version := s.Table.Version()
	if g.observedVersion.Swap(version) == version {
		return
	}
	g.metrics.add(fmt.Sprintf("configurations_total{source=%q}", s.Origin.Source), 1)
	if age, known := g.newsAge(g.clock.Now()); known {
		g.metrics.observeAge("configuration_delay_ms", age)
	}
}

// newsAge returns how long ago this host had all changes of the store, false if it never had.
func (g *Gateway) newsAge(now time.Time) (time.Duration, bool) {
	contact := g.follower.LastContact()
	return now.Sub(contact), !contact.IsZero()
}

// hasRecentNews reports whether this host has all changes of the store of before a short time.
func (g *Gateway) hasRecentNews() bool {
	age, known := g.newsAge(g.clock.Now())
	return known && age < contactTimeout
}

// newsAgeMs returns newsAge in milliseconds, -1 if it is not known.
func (g *Gateway) newsAgeMs(now time.Time) int64 {
	if age, known := g.newsAge(now); known {
		return age.Milliseconds()
	}
	return -1
}

const (
	pathMetrics = "/metrics"
	pathState   = "/state"
)

// serveMetrics serves the metrics as text, and the state as JSON.
func (g *Gateway) serveMetrics(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathMetrics:
		g.metrics.write(ctx)
		g.writeMemory(ctx)
		g.writeTraffic(ctx)
		snapshot := g.catalogue.Snapshot()
		_, _ = fmt.Fprintf(ctx, "sequoiarack_store_revision %d\nsequoiarack_targets %d\nsequoiarack_calls_running %d\nsequoiarack_hosts %d\n",
			snapshot.Revision, len(snapshot.Targets), g.inFlight.Load(), len(g.gossip.View().Members))
		_, _ = fmt.Fprintf(ctx, "sequoiarack_configuration_version %d\nsequoiarack_news_age_ms %d\n", g.configurationVersion(), g.newsAgeMs(g.clock.Now()))
		g.quotas.writeMetrics(g.clock.Now(), ctx)
	case pathState:
		g.writeJSON(ctx, g.Dump())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// State is a dump of the host's state for operators and tests.
type State struct {
	Host    string
	Region  string
	Version uint64
	// VersionSource and VersionAgeMs say how the configuration came here, and how long ago.
	VersionSource catalogue.Source
	VersionAgeMs  int64
	Revision      int64
	// NewsAgeMs is how long ago the host had all changes of the store, -1 if it never had.
	NewsAgeMs int64
	// Evidence is what shows that the configuration is in force.
	Evidence EvidenceState
	// StoreReader is the host that reads the store for the data centre.
	StoreReader string
	Evacuated   map[string]bool
	Leaving     bool
	InFlight    int64
	Hosts       []member.Info
	// Targets are the targets of the own region.
	Targets []balance.TargetDump
	// TargetProofAgesMs is how long ago targets were asked for the last response that named them, by target.
	TargetProofAgesMs map[string]int64 `json:",omitempty"`
	KnownTargets      int
	Regions           []string
	// Reach is how many targets of its region the host has a path to.
	Reach string
	// SuspectedParts and QuarantinedParts count parts of prompts that may crash targets.
	SuspectedParts   int
	QuarantinedParts int
	// Quotas are the workspaces with a quota.
	Quotas []allowance.Row
}

// EvidenceState is what shows that the configuration of a host is in force.
type EvidenceState struct {
	// Witness is Store, Hosts or Nobody.
	Witness string
	AgeMs   int64
	// Regions are the other regions whose hosts vouch for it, if Witness is Hosts.
	Regions []string `json:",omitempty"`
}

// Dump returns the state of the host.
func (g *Gateway) Dump() State {
	snapshot := g.catalogue.Snapshot()
	d := State{
		KnownTargets: len(snapshot.Targets),
		Host:         g.settings.Host, Region: g.settings.Region, Revision: snapshot.Revision, Evacuated: snapshot.Evacuated,
		Leaving: g.leaving.Load(), InFlight: g.inFlight.Load(), Hosts: g.gossip.View().Members, Regions: g.liveRegions(),
	}
	now := g.clock.Now()
	if snapshot.Table != nil {
		d.Version, d.VersionSource, d.VersionAgeMs = snapshot.Table.Version(), snapshot.Origin.Source, now.Sub(snapshot.Origin.At).Milliseconds()
	}
	e := g.evidence()
	d.Evidence = EvidenceState{Witness: e.Witness.String(), AgeMs: e.Age.Milliseconds(), Regions: e.Regions}
	d.NewsAgeMs, d.StoreReader = g.newsAgeMs(now), g.storeReaderOf(g.settings.DataCentre)
	d.Quotas = g.quotas.dump(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Targets, d.Reach = g.balancer.Dump(now), g.balancer.Reach().String()
	d.SuspectedParts, d.QuarantinedParts = g.parts.Counts(now)
	d.TargetProofAgesMs = map[string]int64{}
	for id, answer := range g.targetAnswers {
		d.TargetProofAgesMs[id] = now.Sub(answer.askedAt).Milliseconds()
	}
	return d
}

// addStep adds a step to the log line of the call.
func (c *activeCall) addStep(format string, args ...any) {
	c.steps = append(c.steps, fmt.Sprintf(format, args...))
}

// addDecisionStep adds a step for a decision with the input that it depended on.
func (c *activeCall) addDecisionStep(input balance.DecisionInput, d balance.Decision) {
	remotes := ""
	for _, candidate := range input.Remote {
		remotes += fmt.Sprintf(" %s=%d", candidate.Region, candidate.Total().Milliseconds())
	}
	p := input.Local.Prediction
	c.addStep("decided %q: asked of %d, target %q wait %d own %d ms, unread %d of %d, least %d, fetched %d, rate %.0f pause %d ms, away%s, aim %d left %d ms, to %s",
		d.Reason, len(input.Work.Loads), input.Local.Target.ID, p.Wait.Milliseconds(), p.Processing.Milliseconds(), p.Unread, c.work.Tokens, input.Local.MinUnread, input.Local.Fetched, p.Rate, input.Local.Pause.Milliseconds(), remotes,
		input.LatencyObjective.Milliseconds(), input.Remaining.Milliseconds(), destination(input, d))
}

func destination(input balance.DecisionInput, d balance.Decision) string {
	switch {
	case d.Local:
		return "target " + input.Local.Target.ID
	case d.Region != "":
		return "region " + d.Region
	default:
		return "nowhere"
	}
}

// logEnd counts the end of a call and logs it with its steps. Of calls that succeeded at the
// first attempt, it logs a sample.
func (c *activeCall) logEnd(status int, outcome core.Outcome, reason string) {
	c.gateway.inFlight.Add(-1)
	c.gateway.metrics.add(fmt.Sprintf("calls_total{route=%q,status=\"%d\",outcome=%q}", c.route.Name, status, outcome), 1)
	took := c.gateway.clock.Now().Sub(c.acceptedAt)
	succeeded := status < fasthttp.StatusMultipleChoices && outcome == core.Run && len(c.steps) == 1
	if succeeded && xxhash.Sum64String(c.meta.ID)%successesPerLogLine != 0 {
		return
	}
	c.gateway.log.Info("A call ended.", "ID", c.meta.ID, "Route", c.route.Name, "Workspace", c.workspaceName(), "Service", c.service, "Version", c.version, "NewsAgeMs", c.newsAgeMs,
		"Received", c.fromPeer, "Status", status, "Outcome", outcome.String(), "Reason", reason,
		"TookMs", took.Milliseconds(), "HeldMs", c.heldFor.Milliseconds(), "Diverted", c.diverted, "FirstMs", c.firstByteMs(), "LongestPauseMs", c.longestPause.Milliseconds(), "Sends", c.attempts, "ProofWitness", c.located.Witness.String(), "ProofAgeMs", c.located.Age.Milliseconds(), "Steps", c.steps, "Since", c.acceptedAt.UTC().Format(time.RFC3339Nano))
}

// firstByteMs returns the milliseconds to the first byte of the response, -1 if none came.
func (c *activeCall) firstByteMs() int64 {
	if c.firstByteAt.IsZero() {
		return -1
	}
	return c.firstByteAt.Sub(c.acceptedAt).Milliseconds()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
