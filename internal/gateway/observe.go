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

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// sampleOneIn is how many calls that went well there are for each one that is
// logged. Calls that did not go well are all logged.
const sampleOneIn = 16

// metrics counts by name.
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

// write writes the counts as text, a line each.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.counts)) {
		_, _ = fmt.Fprintf(w, "sequoiarack_%s %d\n", name, m.counts[name])
	}
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
		snapshot := g.catalogue.Now()
		_, _ = fmt.Fprintf(ctx, "sequoiarack_store_revision %d\nsequoiarack_targets %d\nsequoiarack_calls_running %d\nsequoiarack_hosts %d\n",
			snapshot.Revision, len(snapshot.Targets), g.inFlight.Load(), len(g.gossip.View().Members))
	case pathState:
		g.writeJSON(ctx, g.Dump())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// State is the state of the host, for people and tests.
type State struct {
	Host      string
	Region    string
	Version   uint64
	Revision  int64
	Evacuated map[string]bool
	Leaving   bool
	InFlight  int64
	Hosts     []member.Info
	// Targets are those of the own region.
	Targets      []balance.TargetDump
	KnownTargets int
	Regions      []string
}

// Dump returns the state of the host.
func (g *Gateway) Dump() State {
	snapshot := g.catalogue.Now()
	d := State{
		KnownTargets: len(snapshot.Targets),
		Host:         g.settings.Host, Region: g.settings.Region, Revision: snapshot.Revision, Evacuated: snapshot.Evacuated,
		Leaving: g.leaving.Load(), InFlight: g.inFlight.Load(), Hosts: g.gossip.View().Members, Regions: g.liveRegions(),
	}
	if snapshot.Table != nil {
		d.Version = snapshot.Table.Version()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.Targets = g.book.Dump(g.clock.Now())
	return d
}

// note adds to what the log says of the call.
func (f *flight) note(format string, args ...any) {
	f.notes = append(f.notes, fmt.Sprintf(format, args...))
}

// logDecision notes a decision with what it depended on.
func (f *flight) logDecision(q balance.DecisionInput, a balance.Decision) {
	away := ""
	for _, option := range q.Remote {
		away += fmt.Sprintf(" %s=%d", option.Region, option.Total().Milliseconds())
	}
	p := q.Local.Prediction
	f.note("decided %q: asked of %d, target %q wait %d own %d ms, unread %d of %d, least %d, fetched %d, rate %.0f pause %d ms, away%s, aim %d left %d ms, to %s",
		a.Reason, len(q.Work.Loads), q.Local.Target.ID, p.Wait.Milliseconds(), p.Processing.Milliseconds(), p.Unread, f.work.Tokens, q.Local.MinUnread, q.Local.Fetched, p.Rate, q.Local.Pause.Milliseconds(), away,
		q.LatencyObjective.Milliseconds(), q.Remaining.Milliseconds(), destination(q, a))
}

func destination(q balance.DecisionInput, a balance.Decision) string {
	switch {
	case a.Local:
		return "target " + q.Local.Target.ID
	case a.Region != "":
		return "region " + a.Region
	default:
		return "nowhere"
	}
}

// logEnd logs a call with all that was decided on it: each that did not go well,
// and a sample of the others.
func (f *flight) logEnd(status int, outcome core.Outcome, reason string) {
	f.g.inFlight.Add(-1)
	f.g.metrics.add(fmt.Sprintf("calls_total{route=%q,status=\"%d\",outcome=%q}", f.route.Name, status, outcome), 1)
	took := f.g.clock.Now().Sub(f.began)
	well := status < fasthttp.StatusMultipleChoices && outcome == core.Run && len(f.notes) == 1
	if well && xxhash.Sum64String(f.call.ID)%sampleOneIn != 0 {
		return
	}
	f.g.log.Info("A call ended.", "ID", f.call.ID, "Route", f.route.Name, "Service", f.service, "Version", f.version,
		"Received", f.received, "Status", status, "Outcome", outcome.String(), "Reason", reason,
		"TookMs", took.Milliseconds(), "HeldMs", f.held.Milliseconds(), "FirstMs", f.firstMs(), "LongestPauseMs", f.longestPause.Milliseconds(), "Sends", f.sends, "Steps", f.notes, "Since", f.began.UTC().Format(time.RFC3339Nano))
}

// firstMs is the time to the first byte of the answer, -1 when none came.
func (f *flight) firstMs() int64 {
	if f.firstByte.IsZero() {
		return -1
	}
	return f.firstByte.Sub(f.began).Milliseconds()
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }
