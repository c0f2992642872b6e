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

// regionTable holds what placing hosts say of their load, and the
// choosers of the services.
type regionTable struct {
	mu       sync.Mutex
	reports  map[string]loadReport // by region and service
	choosers map[string]*region.Chooser
}

// loadReport is what the host says that places the calls of a service for its
// region.
type loadReport struct {
	at      time.Time
	Region  string            `json:"Region"`
	Service string            `json:"Service"`
	Summary placement.Summary `json:"Summary"`
}

const (
	loadKeyPrefix  = "load/"
	reportLifetime = 8 * time.Second
	loadTTLSeconds = 8
	defaultOneWay  = 55 * time.Millisecond
)

func (t *regionTable) add(now time.Time, item bulletin.Item) {
	report := loadReport{at: now}
	if json.Unmarshal(item.Value, &report) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[string]loadReport{}
	}
	t.reports[strings.TrimPrefix(item.Key, loadKeyPrefix)] = report
}

// summary returns what is known of a region's targets of a service.
func (t *regionTable) summary(now time.Time, name, service string) (placement.Summary, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.reports[name+"/"+service]
	if !ok || now.Sub(report.at) > reportLifetime {
		return placement.Summary{}, false
	}
	return report.Summary, true
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
		Region: d.settings.Region, Allowed: c.allowedRegions, Passed: c.passed, Received: c.received,
		Budget: c.maxWait(), Draw: rand.Float64(),
	}
	in.Local = d.localSummary(ctx, c.serviceName)
	if c.received {
		return in
	}
	now := d.clock.Now()
	for name := range c.index.Document.Regions {
		if name == d.settings.Region {
			continue
		}
		remote := region.Remote{Region: name, OneWay: defaultOneWay}
		if link, ok := c.index.LinkBetween(d.settings.Region, name); ok {
			remote.OneWay = time.Duration(link.OneWayMs) * time.Millisecond
		}
		remote.Summary, remote.Known = d.regions.summary(now, name, c.serviceName)
		in.Remotes = append(in.Remotes, remote)
	}
	return in
}
