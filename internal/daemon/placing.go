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

// placingHost returns the host that places the calls of a service for this region,
// and whether it is this host. It is chosen by rendezvous hashing.
func (d *Daemon) placingHost(service string) (member.Info, bool) {
	view := d.gossip.View()
	hosts := view.Filter(func(m member.Info) bool { return m.Region == d.settings.Region && m.InUse() })
	best, ok := rendezvous.Pick(hosts, func(m member.Info) string { return service + "/" + m.Host })
	if !ok {
		best = view.Self
	}
	return best, best.Host == view.Self.Host
}

// refreshPlacing is the background task that updates which services this host places
// calls for, frees the targets that are held by hosts out of use, and announces the
// load of those services to all hosts.
func (d *Daemon) refreshPlacing(ctx context.Context) error {
	lastPosted := d.clock.Now()
	return duty.Every(ctx, d.clock, placingInterval, func(ctx context.Context) {
		owned := map[string]bool{}
		for name := range d.index().Document.Services {
			_, owned[name] = d.placingHost(name)
		}
		d.dispatcher.SetOwned(ctx, owned)
		d.placerServer.Sweep(ctx, d.hostGone)
		if now := d.clock.Now(); now.Sub(lastPosted) >= loadInterval {
			lastPosted = now
			d.postLoadReports(ctx, owned)
		}
	})
}

// hostGone reports whether a host is known to be out of use, so that the targets it
// holds can be granted to others. A leaving host still uses its targets, and an
// unknown host has just started.
func (d *Daemon) hostGone(name string) bool {
	return slices.ContainsFunc(d.gossip.View().Members, func(m member.Info) bool {
		return m.Host == name && m.Status != member.Alive
	})
}

// postLoadReports announces the load of each owned service.
func (d *Daemon) postLoadReports(ctx context.Context, owned map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(owned)) {
		if !owned[name] {
			continue
		}
		summary, err := d.dispatcher.Summary(ctx, name)
		if err != nil {
			return
		}
		report := loadReport{Region: d.settings.Region, Service: name, Summary: summary}
		d.postItem(loadKeyPrefix+d.settings.Region+"/"+name, d.clock.Now().UnixMilli(), bulletin.Fleet, loadTTLSeconds, report, false)
	}
}

// localSummary returns the load of a service's targets in this region. If another
// host places the calls, it uses the last summary in that host's responses, else
// its last load report, and this host's own state only if neither is recent.
func (d *Daemon) localSummary(ctx context.Context, service string) placement.Summary {
	if _, self := d.placingHost(service); !self {
		if summary, fresh := d.placerClient.CachedSummary(service); fresh {
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

// servePlacing answers a request of a host for which this one places calls.
func (d *Daemon) servePlacing(ctx *fasthttp.RequestCtx, serve func(context.Context, []byte) (any, error)) {
	timeoutCtx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	response, err := serve(timeoutCtx, ctx.PostBody())
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response)
}

func (d *Daemon) settle(ctx context.Context, body []byte) (any, error) {
	return struct{}{}, d.placerServer.Settle(ctx, body)
}

// postToPlacer sends a signed request to a placing host and decodes its response
// into v, unless v is nil.
func (d *Daemon) postToPlacer(ctx context.Context, address, path string, body, v any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(data)
	return d.doSigned(ctx, d.placingPool, request, address, path, v)
}

// instanceID returns a name of this process that no earlier or other process has.
func (d *Daemon) instanceID() string {
	return d.settings.Host + "-" + strconv.FormatInt(d.incarnation, 36)
}

// compareByHash returns a comparison that orders hosts by the hash of name followed
// by the host's name.
func compareByHash(name string) func(a, b member.Info) int {
	return func(a, b member.Info) int {
		return cmp.Compare(xxhash.Sum64String(name+a.Host), xxhash.Sum64String(name+b.Host))
	}
}
