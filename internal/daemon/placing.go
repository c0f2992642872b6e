package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/rendezvous"
)

const (
	placingInterval = 250 * time.Millisecond
	loadInterval    = 2 * time.Second
)

// placingHost returns the host that places the calls of a service for the
// region, and whether that is this one.
func (d *Daemon) placingHost(service string) (member.Info, bool) {
	view := d.gossip.View()
	hosts := view.Filter(func(m member.Info) bool { return m.Region == d.settings.Region && m.InUse() })
	best, ok := rendezvous.Pick(hosts, func(m member.Info) string { return service + "/" + m.Host })
	if !ok {
		best = view.Self
	}
	return best, best.Host == view.Self.Host
}

// place is the duty that keeps track of which services this host places calls
// of, of hosts that hold targets and are gone, and tells the load to all.
func (d *Daemon) place(ctx context.Context) error {
	told := d.clock.Now()
	return duty.Every(ctx, d.clock, placingInterval, func(ctx context.Context) {
		owned := map[string]bool{}
		for name := range d.index().Document.Services {
			_, owned[name] = d.placingHost(name)
		}
		d.dispatcher.SetOwned(ctx, owned)
		d.placing.Sweep(ctx, d.hostGone)
		if now := d.clock.Now(); now.Sub(told) >= loadInterval {
			told = now
			d.postLoads(ctx, owned)
		}
	})
}

// hostGone reports whether a host is known to be out of use, so that the targets
// it holds can be given to others. A leaving one still uses them, and one that
// nothing is known of has just started.
func (d *Daemon) hostGone(name string) bool {
	return slices.ContainsFunc(d.gossip.View().Members, func(m member.Info) bool {
		return m.Host == name && m.Status != member.Alive
	})
}

func (d *Daemon) postLoads(ctx context.Context, owned map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		if !owned[name] {
			continue
		}
		summary, err := d.dispatcher.Summary(ctx, name)
		if err != nil {
			return
		}
		report := loadReport{Region: d.settings.Region, Service: name, Summary: summary}
		d.post(loadKeyPrefix+d.settings.Region+"/"+name, d.clock.Now().UnixMilli(), bulletin.Fleet, loadTTLSeconds, report, false)
	}
}

// localSummary returns how busy the service's targets of this region are, from
// the best source there is.
func (d *Daemon) localSummary(ctx context.Context, service string) placement.Summary {
	if _, self := d.placingHost(service); !self {
		if summary, fresh := d.placer.Seen(service); fresh {
			return summary
		}
		if summary, known := d.regions.summary(d.clock.Now(), d.settings.Region, service); known {
			return summary
		}
	}
	summary, err := d.dispatcher.Summary(ctx, service)
	if err != nil {
		return placement.Summary{}
	}
	return summary
}

// servePlacing answers the hosts for which this one places calls.
func (d *Daemon) servePlacing(ctx *fasthttp.RequestCtx, serve func(context.Context, []byte) (any, error)) {
	within, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	answer, err := serve(within, ctx.PostBody())
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, answer)
}

func (d *Daemon) settle(ctx context.Context, body []byte) (any, error) {
	return struct{}{}, d.placing.Settle(ctx, body)
}

// askPlacing sends a sealed request to a placing host.
func (d *Daemon) askPlacing(ctx context.Context, address, path string, body, v any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(data)
	return d.exchangeSealed(ctx, d.placements, request, address, path, v)
}

// instance names this process among all that ever were.
func (d *Daemon) instance() string {
	return d.settings.Host + "-" + strconv.FormatInt(d.incarnation, 36)
}

// byHash orders hosts by the hash of a name with theirs.
func byHash(name string) func(a, b member.Info) int {
	return func(a, b member.Info) int {
		return cmp.Compare(xxhash.Sum64String(name+a.Host), xxhash.Sum64String(name+b.Host))
	}
}
