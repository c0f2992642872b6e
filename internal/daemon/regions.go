package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/region"
)

// regionTable holds what hosts of other data centres say of their load, and the
// choosers of the services.
type regionTable struct {
	mu       sync.Mutex
	reports  map[string]centreReport // by data centre
	choosers map[string]*region.Chooser
}

type centreReport struct {
	at       time.Time
	Region   string                       `json:"Region"`
	Services map[string]placement.Summary `json:"Services"`
}

const (
	loadKeyPrefix     = "load/"
	reportLifetime    = 8 * time.Second
	loadTTLSeconds    = 8
	maxOneWayFallback = 55 * time.Millisecond
)

func (t *regionTable) take(now time.Time, item bulletin.Item) {
	report := centreReport{at: now}
	if json.Unmarshal(item.Value, &report) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]centreReport{}
	}
	t.reports[strings.TrimPrefix(item.Key, loadKeyPrefix)] = report
}

// summary adds up what is known of a region's targets of a service.
func (t *regionTable) summary(now time.Time, name, service string) (placement.Summary, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := placement.Summary{}
	known := false
	for _, report := range t.reports {
		if report.Region != name || now.Sub(report.at) > reportLifetime {
			continue
		}
		known = true
		s := report.Services[service]
		out.Slots += s.Slots
		out.Busy += s.Busy
		out.Queued += s.Queued
		out.Usable += s.Usable
		out.WaitMs = max(out.WaitMs, s.WaitMs)
	}
	return out, known
}

func (t *regionTable) choose(service string, in region.Input) region.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.choosers == nil {
		t.choosers = map[string]*region.Chooser{}
	}
	chooser := t.choosers[service]
	if chooser == nil {
		chooser = &region.Chooser{}
		t.choosers[service] = chooser
	}
	return chooser.Choose(in)
}

func (d *Daemon) chooseRegion(ctx context.Context, c *call) region.Decision {
	return d.regions.choose(c.serviceName, d.regionInput(ctx, c))
}

func (d *Daemon) regionInput(ctx context.Context, c *call) region.Input {
	in := region.Input{
		Region: d.settings.Region, Allowed: c.allowed, Passed: c.passed, Received: c.received,
		Budget: c.budget(), Draw: rand.Float64(),
	}
	if snapshot, err := d.dispatcher.Summary(ctx, c.serviceName); err == nil {
		in.Local = snapshot
	}
	if c.received {
		return in
	}
	now := d.clock.Now()
	for name := range c.index.Document.Regions {
		if name == d.settings.Region {
			continue
		}
		remote := region.Remote{Region: name, OneWay: maxOneWayFallback}
		if link, ok := c.index.LinkBetween(d.settings.Region, name); ok {
			remote.OneWay = time.Duration(link.OneWayMs) * time.Millisecond
		}
		remote.Summary, remote.Known = d.regions.summary(now, name, c.serviceName)
		in.Remotes = append(in.Remotes, remote)
	}
	return in
}
