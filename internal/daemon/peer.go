package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/feed"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

const (
	pathPeerBoard  = "/peer/board"
	pathPeerConfig = "/peer/config"
	pathPeerClaims = "/peer/claims/"
	peerTimeout    = 5 * time.Second
	maxPeerAnswer  = 16 << 20
	catchUpTimeout = time.Second
	catchUpPause   = 20 * time.Millisecond
)

// servePeer routes what comes to the peers' address. Everything on it is
// sealed.
func (d *Daemon) servePeer(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if !d.checkSeal(ctx) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "expected the seal of a host of the fleet"))
		return
	}
	switch {
	case path == pathPeerBoard:
		d.serveBoard(ctx)
	case path == pathPeerConfig:
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, fasthttp.StatusOK, d.feed.UpdateSince(after))
	case path == placer.PathPlace:
		d.servePlacing(ctx, d.placing.Place)
	case path == placer.PathSettle:
		d.servePlacing(ctx, d.settle)
	case strings.HasPrefix(path, pathPeerClaims):
		d.serveClaim(ctx, strings.TrimPrefix(path, pathPeerClaims))
	default:
		d.serveReceived(ctx)
	}
}

// checkSeal reports whether a host of the fleet sent the request just now.
func (d *Daemon) checkSeal(ctx *fasthttp.RequestCtx) bool {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	ms, err := strconv.ParseInt(header(core.HeaderSignedAt), 10, 64)
	if err != nil || d.clock.Now().Sub(time.UnixMilli(ms)).Abs() > signatureMaxSkew {
		return false
	}
	parts := signedParts(header, string(ctx.Method()), string(ctx.RequestURI()), ctx.PostBody())
	return d.sealer.Verify(header(core.HeaderSignature), parts...)
}

func (d *Daemon) serveBoard(ctx *fasthttp.RequestCtx) {
	within, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	items, err := d.gossip.Items(within)
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, boardBody{Items: items})
}

type boardBody struct {
	Items []bulletin.Item `json:"Items"`
}

// serveReceived runs a call that another host has sent here. It is judged
// again, under a configuration at least as new as the sender's, and not sent
// on.
func (d *Daemon) serveReceived(ctx *fasthttp.RequestCtx) {
	d.metrics.add(countReceived, 1)
	passed := core.ParseHops(string(ctx.Request.Header.Peek(core.HeaderPassed)))
	if passed.HasHost(d.settings.Host) || len(passed) > 1 {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusLoopDetected, core.ReasonLoop, "the call has been at a host before: "+passed.String()))
		return
	}
	if !d.catchUp(string(ctx.Request.Header.Peek(core.HeaderVersion)), passed) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusServiceUnavailable, core.ReasonStaleVersion, "the host has an older configuration than the sender").WithRetryAfter(1))
		return
	}
	if !d.residentHere(ctx) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusForbidden, core.ReasonResidency, "the data may not be in this region"))
		return
	}
	d.serveCall(ctx, true)
}

// residentHere judges a received call's residency again.
func (d *Daemon) residentHere(ctx *fasthttp.RequestCtx) bool {
	x := d.index()
	key, ok := x.Document.Keys[string(ctx.Request.Header.Peek(core.HeaderCaller))]
	if !ok || key.Role != config.RoleCaller {
		return false
	}
	return residency.MayHold(x, key.Workspace, string(ctx.Request.Header.Peek(core.HeaderDataClass)), d.settings.Region)
}

// catchUp asks the sender for the version that a call was judged under, and
// waits a little for it.
func (d *Daemon) catchUp(text string, passed core.Hops) bool {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return false
	}
	for _, m := range d.gossip.View().Members {
		if passed.HasHost(m.Host) {
			d.feed.Hint(feed.Hint{Version: version, Peer: m.PeerAddress})
		}
	}
	until := d.clock.Now().Add(catchUpTimeout)
	for version > d.feed.State().Version {
		if d.clock.Now().After(until) {
			return false
		}
		<-d.clock.After(catchUpPause)
	}
	return true
}

// askPeer reads a JSON answer from another host.
func (d *Daemon) askPeer(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	return d.exchangeSealed(ctx, d.controls, request, address, path, v)
}

// exchangeSealed seals a request to another host and reads its JSON answer into
// v, unless that is nil.
func (d *Daemon) exchangeSealed(ctx context.Context, pool *exchange.Pool, request *fasthttp.Request, address, path string, v any) error {
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(core.HeaderSignedAt, strconv.FormatInt(d.clock.Now().UnixMilli(), 10))
	header := func(name string) string { return string(request.Header.Peek(name)) }
	parts := signedParts(header, string(request.Header.Method()), path, request.Body())
	request.Header.Set(core.HeaderSignature, d.sealer.Sign(parts...))
	response, err := pool.Do(ctx, address, request)
	if err != nil {
		return err
	}
	body, err := response.ReadAll(maxPeerAnswer)
	if err != nil {
		return err
	}
	if response.Status() != fasthttp.StatusOK {
		return errPeer
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(body, v)
}

func (d *Daemon) fetchBoard(ctx context.Context, address string) ([]bulletin.Item, error) {
	var body boardBody
	err := d.askPeer(ctx, address, pathPeerBoard, &body)
	return body.Items, err
}

func (d *Daemon) fetchUpdate(ctx context.Context, peer string, after uint64) (feed.Update, error) {
	var update feed.Update
	err := d.askPeer(ctx, peer, pathPeerConfig+"?after="+strconv.FormatUint(after, 10), &update)
	return update, err
}

// otherPeer returns the peer address of some other host that is in use.
func (d *Daemon) otherPeer() (string, bool) {
	choices := d.gossip.View().Filter(func(m member.Info) bool { return m.Host != d.settings.Host && m.InUse() })
	if len(choices) == 0 {
		return "", false
	}
	return choices[rand.IntN(len(choices))].PeerAddress, true
}
