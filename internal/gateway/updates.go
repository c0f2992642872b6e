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
	pathPeerUpdate = "/peer/news"
	// maxQueuedUpdates bounds the news that wait to be told. Hosts that miss some read the
	// store themselves.
	maxQueuedUpdates = 8
	// updateTimeout bounds the time to tell one host, so that a host that hangs does
	// not hold up for long what comes next.
	updateTimeout = 300 * time.Millisecond
	// maxConcurrentUpdates bounds the hosts that are told at once.
	maxConcurrentUpdates = 8
	// storeReaderKey picks the host of a data centre that reads the store.
	storeReaderKey = "\x00store reader"
)

// peerGroup is the hosts of a data centre, one of which reads the store.
type peerGroup struct{ gateway *Gateway }

// Reads reports whether this host reads the store for its data centre.
func (p peerGroup) Reads() bool {
	return !p.gateway.leaving.Load() && p.gateway.storeReaderOf(p.gateway.settings.DataCentre) == p.gateway.settings.Host
}

// Tell hands news to the duty that tells other hosts.
func (p peerGroup) Tell(n catalogue.News) {
	if !p.gateway.updates.Offer(n) {
		p.gateway.metrics.add("news_dropped_total", 1)
	}
}

// storeReaders are the hosts that read the store, by data centre, in one version of the
// view.
type storeReaders struct {
	version uint64
	hosts   map[string]string
}

// storeReaderOf returns the host that reads the store for a data centre, as far as this
// one knows.
func (g *Gateway) storeReaderOf(dataCentre string) string {
	view := g.gossip.View()
	known := g.storeReaders.Load()
	if known == nil || known.version != view.Version {
		known = &storeReaders{version: view.Version, hosts: map[string]string{}}
		for name := range g.settings.DataCentres {
			hosts := view.Where(func(m member.Info) bool { return m.DataCentre == name && m.InUse() })
			reader, _ := rendezvous.First(hosts, func(m member.Info) string { return m.Host + storeReaderKey })
			known.hosts[name] = reader.Host
		}
		g.storeReaders.Store(known)
	}
	return known.hosts[dataCentre]
}

// broadcastUpdates is the duty that tells other hosts what the store says: those of the
// data centre all of it, and the readers of other data centres what an operator
// wrote, so that all regions have a configuration at nearly the same time.
func (g *Gateway) broadcastUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-g.updates.Items():
			g.broadcast(ctx, n)
		}
	}
}

func (g *Gateway) broadcast(ctx context.Context, n catalogue.News) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentUpdates)
	away := catalogue.News{Events: g.operatorEvents(n.Events), Partial: true}
	for _, m := range g.gossip.View().Members {
		said := n
		switch {
		case m.Host == g.settings.Host || m.Status != member.Alive:
			continue
		case m.DataCentre == g.settings.DataCentre:
		case len(away.Events) > 0 && g.storeReaderOf(m.DataCentre) == m.Host:
			said = away
		default:
			continue
		}
		group.Go(func() error {
			if err := g.sendUpdate(ctx, m.PeerAddress, said); err != nil {
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

func (g *Gateway) sendUpdate(ctx context.Context, address string, n catalogue.News) error {
	body, err := json.Marshal(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	return g.callPeer(ctx, address, pathPeerUpdate, body, nil)
}

// serveUpdate takes the news of another host.
func (g *Gateway) serveUpdate(ctx *fasthttp.RequestCtx) {
	var n catalogue.News
	if err := json.Unmarshal(ctx.PostBody(), &n); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	g.follower.Take(n)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
