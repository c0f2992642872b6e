package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/rendezvous"
)

const (
	pathPeerNews = "/peer/news"
	// maxNews bounds the news that wait to be told. Hosts that miss some read the
	// store themselves.
	maxNews = 8
	// newsTimeout bounds the time to tell one host, so that a host that hangs does
	// not hold up for long what comes next.
	newsTimeout = 300 * time.Millisecond
	// maxTellers bounds the hosts that are told at once.
	maxTellers = 8
	// readerKey picks the host of a data centre that reads the store.
	readerKey = "\x00store reader"
)

// circle is the hosts of a data centre, one of which reads the store.
type circle struct{ g *Gateway }

// Reads reports whether this host reads the store for its data centre.
func (c circle) Reads() bool {
	return !c.g.leaving.Load() && c.g.readerOf(c.g.settings.DataCentre) == c.g.settings.Host
}

// Tell hands news to the duty that tells other hosts.
func (c circle) Tell(n catalogue.News) {
	if !c.g.news.TryPut(n) {
		c.g.metrics.add("news_dropped_total", 1)
	}
}

// readers are the hosts that read the store, by data centre, in one version of the
// view.
type readers struct {
	version uint64
	hosts   map[string]string
}

// readerOf returns the host that reads the store for a data centre, as far as this
// one knows.
func (g *Gateway) readerOf(dataCentre string) string {
	view := g.gossip.View()
	known := g.reader.Load()
	if known == nil || known.version != view.Version {
		known = &readers{version: view.Version, hosts: map[string]string{}}
		for name := range g.settings.DataCentres {
			hosts := view.Where(func(m member.Info) bool { return m.DataCentre == name && m.InUse() })
			reader, _ := rendezvous.Pick(hosts, func(m member.Info) string { return m.Host + readerKey })
			known.hosts[name] = reader.Host
		}
		g.reader.Store(known)
	}
	return known.hosts[dataCentre]
}

// tellNews is the duty that tells other hosts what the store says: those of the
// data centre all of it, and the readers of other data centres what an operator
// wrote, so that all regions have a configuration at nearly the same time.
func (g *Gateway) tellNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-g.news.Items():
			g.tell(ctx, n)
		}
	}
}

func (g *Gateway) tell(ctx context.Context, n catalogue.News) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxTellers)
	away := catalogue.News{Events: g.operatorEvents(n.Events), Partial: true}
	for _, m := range g.gossip.View().Members {
		said := n
		switch {
		case m.Host == g.settings.Host || m.Status != member.Alive:
			continue
		case m.DataCentre == g.settings.DataCentre:
		case len(away.Events) > 0 && g.readerOf(m.DataCentre) == m.Host:
			said = away
		default:
			continue
		}
		group.Go(func() error {
			if err := g.tellOne(ctx, m.PeerAddress, said); err != nil {
				g.log.V(1).Info("A host was not told the news.", "To", m.Host, "Revision", said.Revision, "Error", err.Error())
				g.metrics.add("news_lost_total", 1)
			}
			return nil // the host reads the store itself
		})
	}
	_ = group.Wait() // tellers return no error
}

// operatorEvents returns the events that do not come from targets.
func (g *Gateway) operatorEvents(events []keyvalue.Event) []keyvalue.Event {
	var out []keyvalue.Event
	for _, e := range events {
		if g.catalogue.KindOf(e) != catalogue.TargetReport {
			out = append(out, e)
		}
	}
	return out
}

func (g *Gateway) tellOne(ctx context.Context, address string, n catalogue.News) error {
	body, err := json.Marshal(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	return g.askPeer(ctx, address, pathPeerNews, body, nil)
}

// serveNews takes the news of another host.
func (g *Gateway) serveNews(ctx *fasthttp.RequestCtx) {
	var n catalogue.News
	if err := json.Unmarshal(ctx.PostBody(), &n); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	g.follower.Take(n)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
