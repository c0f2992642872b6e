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
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/residency"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	pathPeerItems        = "/peer/board"
	pathPeerConfig       = "/peer/config"
	pathPeerClaims       = "/peer/claims/"
	peerTimeout          = 5 * time.Second
	maxPeerResponseBytes = 16 << 20
	catchUpTimeout       = time.Second
	catchUpPollInterval  = 20 * time.Millisecond
)

// servePeer routes the requests to the peers' address. All of them must be signed.
func (d *Daemon) servePeer(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if r := d.receivePeerBody(ctx); r != nil {
		d.writeRefusal(ctx, nil, r)
		return
	}
	if !d.checkSignature(ctx) {
		upload.Refuse(ctx)
		d.writeRefusal(ctx, nil, unsignedRefusal())
		return
	}
	switch {
	case path == pathPeerItems:
		d.serveItems(ctx)
	case path == pathPeerConfig:
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		writeJSON(ctx, fasthttp.StatusOK, d.feed.UpdateSince(after))
	case path == placer.PathPlace:
		d.servePlacing(ctx, d.placerServer.Place)
	case path == placer.PathSettle:
		d.servePlacing(ctx, d.settle)
	case strings.HasPrefix(path, pathPeerClaims):
		d.serveClaim(ctx, strings.TrimPrefix(path, pathPeerClaims))
	default:
		d.serveReceived(ctx)
	}
}

// receivePeerBody reads the body of a request to the peers' address.
func (d *Daemon) receivePeerBody(ctx *fasthttp.RequestCtx) *core.Refusal {
	if len(ctx.Request.Header.Peek(core.HeaderSignature)) != seal.SignatureDigits {
		upload.Refuse(ctx)
		return unsignedRefusal()
	}
	if r := d.reserveCall(ctx); r != nil {
		return r
	}
	kind := memory.Bodies // the sender may be no host
	if d.verifyHead(ctx) {
		kind = memory.Control
	}
	return d.readBody(ctx, kind, ctx.RemoteIP().String(), config.MaxBodyBytes)
}

func unsignedRefusal() *core.Refusal {
	return refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "expected the seal of a host of the fleet")
}

// headerHeadSignature is the signature of the head of a request, by which a host decides how to read the body. Hosts of
// builds without it sign the whole request only.
const headerHeadSignature = "Sequoiarack-Head-Signature"

// signHead returns the signature of the head of a request that is signed as a whole at a time, in milliseconds.
func (d *Daemon) signHead(method, uri, signedAt string) string {
	return d.signer.Sign(signedHead(method, uri, signedAt)...)
}

// verifyHead reports whether a host of the fleet has signed the head of a request within signatureMaxSkew of this host's
// clock.
func (d *Daemon) verifyHead(ctx *fasthttp.RequestCtx) bool {
	h := &ctx.Request.Header
	signedAt := string(h.Peek(core.HeaderSignedAt))
	return d.isRecent(signedAt) && d.signer.Verify(string(h.Peek(headerHeadSignature)), signedHead(string(h.Method()), string(h.RequestURI()), signedAt)...)
}

func signedHead(method, uri, signedAt string) [][]byte {
	return [][]byte{[]byte(headerHeadSignature), []byte(method), []byte(uri), []byte(signedAt)}
}

// isRecent reports whether a time in milliseconds is within signatureMaxSkew of this host's clock.
func (d *Daemon) isRecent(signedAt string) bool {
	ms, err := strconv.ParseInt(signedAt, 10, 64)
	return err == nil && d.clock.Now().Sub(time.UnixMilli(ms)).Abs() <= signatureMaxSkew
}

// checkSignature reports whether a host of the fleet signed the request within
// signatureMaxSkew of this host's clock.
func (d *Daemon) checkSignature(ctx *fasthttp.RequestCtx) bool {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	if !d.isRecent(header(core.HeaderSignedAt)) {
		return false
	}
	parts := signedParts(header, string(ctx.Method()), string(ctx.RequestURI()), ctx.Request.Body())
	return d.signer.Verify(header(core.HeaderSignature), parts...)
}

func (d *Daemon) serveItems(ctx *fasthttp.RequestCtx) {
	timeoutCtx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	items, err := d.gossip.Items(timeoutCtx)
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, itemsBody{Items: items})
}

type itemsBody struct {
	Items []bulletin.Item `json:"Items"`
}

// serveReceived runs a call that another host has forwarded. The call is checked
// again, under a configuration at least as new as the sender's, and is not
// forwarded further.
func (d *Daemon) serveReceived(ctx *fasthttp.RequestCtx) {
	d.metrics.add(countReceived, 1)
	hops := core.ParseHops(string(ctx.Request.Header.Peek(core.HeaderPassed)))
	if hops.HasHost(d.settings.Host) || len(hops) > 1 {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusLoopDetected, core.ReasonLoop, "the call has been at a host before: "+hops.String()))
		return
	}
	if !d.catchUp(string(ctx.Request.Header.Peek(core.HeaderVersion)), hops) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusServiceUnavailable, core.ReasonStaleVersion, "the host has an older configuration than the sender").WithRetryAfter(1))
		return
	}
	if !d.mayHoldHere(ctx) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusForbidden, core.ReasonResidency, "the data may not be in this region"))
		return
	}
	d.serveCall(ctx, true)
}

// mayHoldHere reports whether the data of a forwarded call may be in this region,
// under this host's configuration.
func (d *Daemon) mayHoldHere(ctx *fasthttp.RequestCtx) bool {
	x := d.index()
	key, ok := x.Document.Keys[string(ctx.Request.Header.Peek(core.HeaderCaller))]
	if !ok || key.Role != config.RoleCaller {
		return false
	}
	return residency.MayHold(x, key.Workspace, string(ctx.Request.Header.Peek(core.HeaderDataClass)), d.settings.Region)
}

// catchUp waits up to catchUpTimeout until this host has the version of the
// configuration under which the sender accepted the call, or a later one, and
// reports whether it does. The version is fetched from the sender.
func (d *Daemon) catchUp(versionText string, hops core.Hops) bool {
	version, err := strconv.ParseUint(versionText, 10, 64)
	if err != nil {
		return false
	}
	for _, m := range d.gossip.View().Members {
		if hops.HasHost(m.Host) {
			d.feed.Hint(feed.Hint{Version: version, Peer: m.PeerAddress})
		}
	}
	until := d.clock.Now().Add(catchUpTimeout)
	for version > d.feed.State().Version {
		if d.clock.Now().After(until) {
			return false
		}
		<-d.clock.After(catchUpPollInterval)
	}
	return true
}

// getFromPeer sends a GET request to another host and decodes its JSON response
// into v.
func (d *Daemon) getFromPeer(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	return d.doSigned(ctx, d.controlPool, request, address, path, v)
}

// doSigned signs a request, sends it to another host and decodes the JSON response
// into v, unless v is nil.
func (d *Daemon) doSigned(ctx context.Context, pool *exchange.Pool, request *fasthttp.Request, address, path string, v any) error {
	request.SetRequestURI("http://" + address + path)
	signedAt := strconv.FormatInt(d.clock.Now().UnixMilli(), 10)
	request.Header.Set(core.HeaderSignedAt, signedAt)
	request.Header.Set(headerHeadSignature, d.signHead(string(request.Header.Method()), path, signedAt))
	header := func(name string) string { return string(request.Header.Peek(name)) }
	parts := signedParts(header, string(request.Header.Method()), path, request.Body())
	request.Header.Set(core.HeaderSignature, d.signer.Sign(parts...))
	response, err := pool.Do(ctx, address, request)
	if err != nil {
		return err
	}
	body, err := response.ReadAll(maxPeerResponseBytes)
	if err != nil {
		return err
	}
	if response.Status() != fasthttp.StatusOK {
		return errPeerStatus
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(body, v)
}

func (d *Daemon) fetchItems(ctx context.Context, address string) ([]bulletin.Item, error) {
	var body itemsBody
	err := d.getFromPeer(ctx, address, pathPeerItems, &body)
	return body.Items, err
}

func (d *Daemon) fetchUpdate(ctx context.Context, peer string, after uint64) (feed.Update, error) {
	var update feed.Update
	err := d.getFromPeer(ctx, peer, pathPeerConfig+"?after="+strconv.FormatUint(after, 10), &update)
	return update, err
}

// otherPeer returns the peer address of a random other host in use.
func (d *Daemon) otherPeer() (string, bool) {
	others := d.gossip.View().Filter(func(m member.Info) bool { return m.Host != d.settings.Host && m.InUse() })
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))].PeerAddress, true
}
