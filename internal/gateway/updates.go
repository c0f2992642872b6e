package gateway

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/rendezvous"
)

const (
	pathPeerUpdate = "/peer/news"
	// maxQueuedUpdates bounds the updates that wait to be sent.
	maxQueuedUpdates = 8
	// maxUpdateBytes bounds the bodies of the updates that are being sent, a part of the memory of the
	// smallest host: a configuration of the longest value takes a sixth of it.
	maxUpdateBytes = 8 << 20
	// updateOverhead and eventOverhead are at least what an update and an event take besides values, keys
	// and the keys of a full read.
	updateOverhead = 512
	eventOverhead  = 256
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
		p.gateway.log.Info("A store update was dropped, as others wait to be sent.", "After", u.After, "Revision", u.Revision, "Partial", u.Partial)
	}
}

// storeReaders are the hosts that read the store, by data centre, for one version of the
// membership view.
type storeReaders struct {
	version uint64
	hosts   map[string]string
}

// minReaderLink is the part of the widest link of a data centre that the link of the host that reads the store must have.
const minReaderLink = 0.5

// readerCandidates returns the hosts of a data centre in use whose links are wide enough to send updates to all others.
func readerCandidates(view *gossip.View, dataCentre string) []member.Info {
	hosts := view.Filter(func(m member.Info) bool { return m.DataCentre == dataCentre && m.InUse() })
	widest := 0.0
	for _, m := range hosts {
		widest = max(widest, m.LinkMbps)
	}
	return slices.DeleteFunc(hosts, func(m member.Info) bool { return m.LinkMbps < minReaderLink*widest })
}

// storeReaderOf returns the host that reads the store for a data centre according to this
// host's membership view.
func (g *Gateway) storeReaderOf(dataCentre string) string {
	view := g.gossip.View()
	readers := g.storeReaders.Load()
	if readers == nil || readers.version != view.Version {
		readers = &storeReaders{version: view.Version, hosts: map[string]string{}}
		for name := range g.settings.DataCentres {
			reader, _ := rendezvous.Pick(readerCandidates(view, name), func(m member.Info) string { return m.Host + storeReaderKey })
			readers.hosts[name] = reader.Host
		}
		g.storeReaders.Store(readers)
	}
	return readers.hosts[dataCentre]
}

// broadcastUpdates sends store updates to other hosts until ctx is done. Hosts of the own
// data centre get every update, and the store readers of other data centres get the changes
// made by operators, so that a configuration takes effect in all regions at nearly the same
// time. No host waits for another one.
func (g *Gateway) broadcastUpdates(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case u := <-g.updates.Items():
			for _, m := range g.queueUpdate(u) {
				group.Go(func() error {
					g.sendQueued(ctx, m)
					return nil
				})
			}
		}
	}
}

// queueUpdate queues an update for each host that is to get it. It returns the hosts with queued updates to
// which none is being sent.
func (g *Gateway) queueUpdate(u catalogue.Update) []member.Info {
	operatorUpdate := catalogue.Update{Events: g.operatorEvents(u.Events), Bases: u.Bases, Partial: true}
	alive := map[string]bool{}
	var out []member.Info
	for _, m := range g.gossip.View().Members {
		if m.Host == g.settings.Host || m.Status != member.Alive {
			continue
		}
		alive[m.Host] = true
		if m.DataCentre == g.settings.DataCentre {
			g.putUpdate(m.Host, u)
		} else if len(operatorUpdate.Events) > 0 && g.storeReaderOf(m.DataCentre) == m.Host {
			g.putUpdate(m.Host, operatorUpdate)
		}
		if g.outboxes.Begin(m.Host) {
			out = append(out, m)
		}
	}
	g.outboxes.Retain(alive)
	return out
}

// putUpdate queues an update for a host. A host for which too much waits reads the store itself.
func (g *Gateway) putUpdate(host string, u catalogue.Update) {
	if !g.outboxes.Put(host, u) {
		g.metrics.add("news_dropped_total", 1)
		g.log.Info("Store updates for a host were dropped, as too many wait.", "To", host, "Revision", u.Revision)
	}
}

// sendQueued sends the updates that are queued for a host until one fails, which then waits for the next update.
func (g *Gateway) sendQueued(ctx context.Context, to member.Info) {
	for {
		u, ok := g.outboxes.Take(to.Host)
		if !ok {
			return
		}
		if err := g.sendUpdate(ctx, to, u); err != nil {
			waiting := g.outboxes.Return(to.Host, u)
			g.log.Info("A store update did not reach a host.", "To", to.Host, "Revision", u.Revision, "AgeMs", g.ageMs(u), "Waiting", waiting, "Error", err.Error())
			g.metrics.add("news_lost_total", 1)
			return
		}
	}
}

// ageMs returns the time since the store was asked for an update, 0 if that is not known.
func (g *Gateway) ageMs(u catalogue.Update) int64 {
	if u.AsOf.IsZero() {
		return 0
	}
	return ceilMs(g.clock.Now().Sub(u.AsOf))
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

// updateMessage is an update as it is sent to one host.
type updateMessage struct {
	catalogue.Update
	// AgeMs is the time since the sender asked the store for the changes, in milliseconds.
	AgeMs int64 `json:",omitempty"`
	// Heard is the last load report of the recipient that the sender has received, by which the
	// recipient knows when the message was sent at the earliest. It is 0 if there is none.
	Heard            uint64 `json:",omitempty"`
	HeardIncarnation int64  `json:",omitempty"`
}

func (g *Gateway) newUpdateMessage(to string, u catalogue.Update) updateMessage {
	g.noticeSuspension()
	m := updateMessage{Update: u, AgeMs: g.ageMs(u)}
	g.mu.Lock()
	defer g.mu.Unlock()
	// The age of an update from before a suspension is not known, so it proves nothing.
	if last, ok := g.lastMessages[to]; ok && !u.AsOf.IsZero() && u.AsOf.After(g.resumedAt) {
		m.Heard, m.HeardIncarnation = last.report, last.incarnation
	}
	return m
}

// asOf returns the time until which an update surely has all changes, zero if that is not known.
func (g *Gateway) asOf(m updateMessage) time.Time {
	if m.Heard == 0 || m.HeardIncarnation != g.started.UnixMilli() || m.AgeMs < 0 || m.AgeMs > catalogue.MaxContactAge.Milliseconds() {
		return time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sentAt, ok := g.sentReports.find(m.Heard)
	if !ok {
		return time.Time{}
	}
	return sentAt.Add(-time.Duration(m.AgeMs) * time.Millisecond)
}

// maxSentReports bounds the load reports of which a host remembers when it sent them.
const maxSentReports = 32

// sentReports are the times of the last load reports to the region, by counter.
type sentReports struct {
	counters [maxSentReports]uint64
	times    [maxSentReports]time.Time
	next     int
}

func (s *sentReports) add(counter uint64, at time.Time) {
	s.counters[s.next], s.times[s.next] = counter, at
	s.next = (s.next + 1) % maxSentReports
}

func (s *sentReports) find(counter uint64) (time.Time, bool) {
	i := slices.Index(s.counters[:], counter)
	if i < 0 || counter == 0 {
		return time.Time{}, false
	}
	return s.times[i], true
}

// sendUpdate sends an update to a host, in the form that it understands.
func (g *Gateway) sendUpdate(ctx context.Context, to member.Info, u catalogue.Update) error {
	if to.Protocol < member.ProtocolUpdateFrames {
		return g.sendUpdateBody(ctx, to, pathPeerUpdate, updateSize(u), nil, func(time.Duration) ([]byte, error) {
			return json.Marshal(g.newUpdateMessage(to.Host, u))
		})
	}
	lacksBase, err := g.sendUpdateFrame(ctx, to, u, true)
	if lacksBase {
		g.metrics.add("updates_without_bases_total", 1)
		_, err = g.sendUpdateFrame(ctx, to, u, false)
	}
	return err
}

// sendUpdateFrame sends an update as a frame, with bases of its values or without. It reports whether the recipient lacks
// one of the bases.
func (g *Gateway) sendUpdateFrame(ctx context.Context, to member.Info, u catalogue.Update, useBases bool) (bool, error) {
	frame, err := g.encodeUpdate(u, useBases)
	if err != nil {
		return false, err
	}
	if !g.bandwidth.MaySpread(len(frame), g.updateRecipients()) {
		g.metrics.add("updates_omitted_total", 1)
		g.log.Info("An update is left to the recipient's own read, as it is long.", "To", to.Host, "Revision", u.Revision, "Bytes", len(frame))
		if u.Partial {
			return false, nil // the other data centre has a reader of its own
		}
		if frame, err = g.encodeUpdate(catalogue.Update{After: u.After, Revision: u.Revision, StoreRecovered: u.StoreRecovered, Omitted: true}, false); err != nil {
			return false, err
		}
	}
	var reply updateReply
	err = g.sendUpdateBody(ctx, to, pathPeerUpdateFrame, int64(len(frame)), &reply, func(paced time.Duration) ([]byte, error) {
		m := g.newUpdateMessage(to.Host, u)
		return cbor.Marshal(updateEnvelope{
			AgeMs: m.AgeMs, Heard: m.Heard, HeardIncarnation: m.HeardIncarnation,
			ReadMs: u.ReadTime.Milliseconds(), QueuedMs: max(0, m.AgeMs-u.ReadTime.Milliseconds()), PacedMs: paced.Milliseconds(), Frame: frame,
		})
	})
	return reply.LacksBase, err
}

// updateRecipients returns how many hosts get the updates of this one.
func (g *Gateway) updateRecipients() int {
	return len(g.gossip.View().Filter(func(m member.Info) bool {
		return m.DataCentre == g.settings.DataCentre && m.Status == member.Alive && m.Host != g.settings.Host
	}))
}

// sendUpdateBody sends the body of an update of some size once its turn on the link has come. The body is made then, as it
// states the age of the update.
func (g *Gateway) sendUpdateBody(ctx context.Context, to member.Info, path string, size int64, reply any, newBody func(paced time.Duration) ([]byte, error)) error {
	size = min(size, maxUpdateBytes)
	if err := g.updateBytes.Acquire(ctx, size); err != nil {
		return err
	}
	defer g.updateBytes.Release(size)
	began := g.clock.Now()
	if err := g.bandwidth.Send(ctx, bandwidth.Updates, int(size)); err != nil {
		return err
	}
	body, err := newBody(g.clock.Now().Sub(began))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.bandwidth.Timeout(len(body), to.LinkMbps))
	defer cancel()
	return g.callPeer(ctx, to.PeerAddress, path, bandwidth.Updates, body, reply)
}

// updateSize returns a bound on the length of an update as it is sent.
func updateSize(u catalogue.Update) int64 {
	size := updateOverhead
	for _, e := range u.Events {
		size += eventOverhead + len(e.Key) + base64.StdEncoding.EncodedLen(len(e.Value))
	}
	for _, key := range u.Keys {
		size += len(key) + len(`"",`)
	}
	return int64(size)
}

// serveUpdate handles a store update of another host.
func (g *Gateway) serveUpdate(ctx *fasthttp.RequestCtx) {
	var m updateMessage
	if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	g.handleUpdate(m)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// handleUpdate applies an update of another host.
func (g *Gateway) handleUpdate(m updateMessage) {
	if m.AgeMs > 0 {
		m.AsOf = g.clock.Now().Add(-time.Duration(m.AgeMs) * time.Millisecond)
	}
	contact := g.follower.NewContact() // before asOf, whose time a suspension makes too late
	result := g.follower.HandleUpdate(m.Update, contact.At(g.asOf(m)))
	g.metrics.add(fmt.Sprintf("updates_total{result=%q}", result), 1)
}

// serveUpdateFrame handles a store update of another host that comes as a frame.
func (g *Gateway) serveUpdateFrame(ctx *fasthttp.RequestCtx) {
	var e updateEnvelope
	if err := cbor.Unmarshal(ctx.PostBody(), &e); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	u, err := g.decodeUpdate(e.Frame)
	if lacksBase(err) {
		g.writeJSON(ctx, updateReply{LacksBase: true})
		return
	}
	if err != nil {
		g.log.Error(err, "A store update of another host could not be decoded.", "From", ctx.RemoteIP().String())
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	before := g.configurationVersion()
	m := updateMessage{Update: u, AgeMs: e.AgeMs, Heard: e.Heard, HeardIncarnation: e.HeardIncarnation}
	way := g.sinceHeard(m)
	g.handleUpdate(m)
	g.metrics.observeAge("update_way_ms", way)
	if version := g.configurationVersion(); version != before {
		g.log.Info("A configuration came with an update.", "Version", version, "Revision", u.Revision, "Partial", u.Partial, "Bytes", len(e.Frame),
			"ReadMs", e.ReadMs, "QueuedMs", e.QueuedMs, "PacedMs", e.PacedMs, "WayMs", way.Milliseconds())
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// sinceHeard returns the time since this host sent the load report that the sender of an update had heard last: more than
// the update was on its way. It returns 0 if that is not known.
func (g *Gateway) sinceHeard(m updateMessage) time.Duration {
	asOf := g.asOf(m)
	if asOf.IsZero() {
		return 0
	}
	return g.clock.Now().Sub(asOf) - time.Duration(m.AgeMs)*time.Millisecond
}
