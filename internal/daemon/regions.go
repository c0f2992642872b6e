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

// regionTable holds the load reports of placing hosts and the region chooser of each
// service. It is safe for concurrent use.
type regionTable struct {
	mu       sync.Mutex
	reports  map[string]loadReport // by region and service
	choosers map[string]*region.Chooser
}

// loadReport is the load of a service in a region, as announced by its placing host.
type loadReport struct {
	at      time.Time         // of arrival
	Region  string            `json:"Region"`
	Service string            `json:"Service"`
	Summary placement.Summary `json:"Summary"`
}

const (
	loadKeyPrefix  = "load/"
	reportLifetime = 8 * time.Second
	loadTTLSeconds = 8
	defaultOneWay  = 55 * time.Millisecond // assumed for a link that the configuration does not have
)

// add stores the load report in an item.
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

// summary returns the last reported load of a service in a region. The second
// result is false if the report is missing or older than reportLifetime.
func (t *regionTable) summary(now time.Time, name, service string) (placement.Summary, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.reports[name+"/"+service]
	if !ok || now.Sub(report.at) > reportLifetime {
		return placement.Summary{}, false
	}
	return report.Summary, true
}

// choose decides which region serves a call.
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

// regionInput returns what the choice of a region depends on. A forwarded call stays
// in this region, so the other regions are omitted.
func (d *Daemon) regionInput(ctx context.Context, c *call) region.Input {
	in := region.Input{
		Region: d.settings.Region, Allowed: c.allowedRegions, Passed: c.hops, Received: c.received,
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
