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
	// maxQueuedUpdates bounds the updates that wait to be sent. Hosts that miss some read the
	// store themselves.
	maxQueuedUpdates = 8
	// updateTimeout bounds the request to one host, so that a host that hangs does not delay
	// the next update for long.
	updateTimeout = 300 * time.Millisecond
	// maxConcurrentUpdates bounds the hosts to which an update is sent concurrently.
	maxConcurrentUpdates = 8
	// storeReaderKey is the rendezvous hashing key that selects a data centre's store reader.
	storeReaderKey = "\x00store reader"
)

// peerGroup is the hosts of this host's data centre, one of which reads the store.
type peerGroup struct{ gateway *Gateway }

// IsReader reports whether this host reads the store for its data centre.
func (p peerGroup) IsReader() bool {
	return !p.gateway.leaving.Load() && p.gateway.storeReaderOf(p.gateway.settings.DataCentre) == p.gateway.settings.Host
}

// Broadcast queues an update for the other hosts. It drops the update if the queue is full.
func (p peerGroup) Broadcast(u catalogue.Update) {
	if !p.gateway.updates.TryPut(u) {
		p.gateway.metrics.add("news_dropped_total", 1)
	}
}

// storeReaders are the hosts that read the store, by data centre, for one version of the
// membership view.
type storeReaders struct {
	version uint64
	hosts   map[string]string
}

// storeReaderOf returns the host that reads the store for a data centre according to this
// host's membership view.
func (g *Gateway) storeReaderOf(dataCentre string) string {
	view := g.gossip.View()
	readers := g.storeReaders.Load()
	if readers == nil || readers.version != view.Version {
		readers = &storeReaders{version: view.Version, hosts: map[string]string{}}
		for name := range g.settings.DataCentres {
			hosts := view.Filter(func(m member.Info) bool { return m.DataCentre == name && m.InUse() })
			reader, _ := rendezvous.Pick(hosts, func(m member.Info) string { return m.Host + storeReaderKey })
			readers.hosts[name] = reader.Host
		}
		g.storeReaders.Store(readers)
	}
	return readers.hosts[dataCentre]
}

// broadcastUpdates sends store updates to other hosts until ctx is done. Hosts of the own
// data centre get every update, and the store readers of other data centres get the changes
// made by operators, so that a configuration takes effect in all regions at nearly the same
// time.
func (g *Gateway) broadcastUpdates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-g.updates.Items():
			g.broadcast(ctx, u)
		}
	}
}

func (g *Gateway) broadcast(ctx context.Context, u catalogue.Update) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentUpdates)
	operatorUpdate := catalogue.Update{Events: g.operatorEvents(u.Events), Partial: true}
	for _, m := range g.gossip.View().Members {
		update := u
		switch {
		case m.Host == g.settings.Host || m.Status != member.Alive:
			continue
		case m.DataCentre == g.settings.DataCentre:
		case len(operatorUpdate.Events) > 0 && g.storeReaderOf(m.DataCentre) == m.Host:
			update = operatorUpdate
		default:
			continue
		}
		group.Go(func() error {
			if err := g.sendUpdate(ctx, m.PeerAddress, update); err != nil {
				g.log.V(1).Info("A store update did not reach a host.", "To", m.Host, "Revision", update.Revision, "Error", err.Error())
				g.metrics.add("news_lost_total", 1)
			}
			return nil // the host reads the store itself
		})
	}
	_ = group.Wait() // the functions return no error
}

// operatorEvents returns the events that are no reports of targets.
func (g *Gateway) operatorEvents(events []keyvalue.Event) []keyvalue.Event {
	var out []keyvalue.Event
	for _, e := range events {
		if g.catalogue.KindOf(e) != catalogue.TargetReport {
			out = append(out, e)
		}
	}
	return out
}

func (g *Gateway) sendUpdate(ctx context.Context, address string, u catalogue.Update) error {
	body, err := json.Marshal(u)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	return g.callPeer(ctx, address, pathPeerUpdate, body, nil)
}

// serveUpdate handles a store update of another host.
func (g *Gateway) serveUpdate(ctx *fasthttp.RequestCtx) {
	var u catalogue.Update
	if err := json.Unmarshal(ctx.PostBody(), &u); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	g.follower.HandleUpdate(u)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
