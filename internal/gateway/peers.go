package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	pathPeerItems        = "/peer/board"
	pathPeerCatalogue    = "/peer/catalogue/"
	peerTimeout          = time.Second // beside the time that a long message takes
	maxPeerResponseBytes = 16 << 20
)

// headerHeadSignature is the signature of the head of a request, by which a host decides how to read the body. Hosts of
// builds without it sign the whole request only.
const headerHeadSignature = "Gateway-Head-Signature"

// signRequest signs a request to another host: its head, and its method, URI, internal headers and body.
func (g *Gateway) signRequest(request *fasthttp.Request) {
	request.Header.Set(headerHeadSignature, g.signer.Sign(signedHead(request)...))
	request.Header.Set(core.HeaderSignature, g.signer.Sign(signedParts(request)...))
}

// verifyHead reports whether a host of the fleet has signed the head of a request.
func (g *Gateway) verifyHead(request *fasthttp.Request) bool {
	return g.signer.Verify(string(request.Header.Peek(headerHeadSignature)), signedHead(request)...)
}

// signedHead returns the parts of a request that the signature of its head covers.
func signedHead(request *fasthttp.Request) [][]byte {
	h := &request.Header
	return [][]byte{[]byte(headerHeadSignature), h.Method(), h.RequestURI(), h.Peek(core.HeaderPassed), h.Peek(core.HeaderVersion), h.Peek(headerCredential)}
}

func (g *Gateway) verifyRequest(request *fasthttp.Request) bool {
	return g.signer.Verify(string(request.Header.Peek(core.HeaderSignature)), signedParts(request)...)
}

func signedParts(request *fasthttp.Request) [][]byte {
	h := &request.Header
	parts := [][]byte{
		h.Method(), h.RequestURI(), h.Peek(headerRemaining), h.Peek(headerAge), h.Peek(headerSpilled), h.Peek(headerLastEvent),
		h.Peek(core.HeaderPassed), h.Peek(core.HeaderVersion), request.Body(),
	}
	if version := h.Peek(headerVersion); len(version) > 0 { // hosts of builds without versions sign the others only
		parts = append(parts, version)
	}
	if credential := h.Peek(headerCredential); len(credential) > 0 { // likewise; its name tells it from a version
		parts = append(parts, []byte(headerCredential), credential)
	}
	return parts
}

// headerEncoding names the encoding of a response: that of package delta, without a base. A request with it asks for that.
const (
	headerEncoding = "Gateway-Encoding"
	encodingDelta  = "Delta"
)

// callPeer sends a control request to another host, a POST if body is not nil, and decodes
// its JSON response into v. It leaves v as it is if the response has no content.
func (g *Gateway) callPeer(ctx context.Context, address, path string, purpose bandwidth.Purpose, body []byte, v any, headers ...func(*fasthttp.RequestHeader)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mbps := g.linkOf(address)
	timer := time.AfterFunc(peerTimeout+g.bandwidth.BulkTime(len(body), mbps), cancel)
	defer timer.Stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(address)
	request.Header.SetRequestURI(path)
	request.Header.Set(headerEncoding, encodingDelta)
	for _, set := range headers {
		set(&request.Header)
	}
	if body != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody(body)
	}
	g.signRequest(request)
	response, err := g.controlPool.Do(ctx, address, request)
	if err != nil {
		return err
	}
	timer.Reset(peerTimeout + g.bandwidth.BulkTime(max(0, response.Header.ContentLength()), mbps))
	data, err := response.ReadAllWithin(g.controlMemory, maxPeerResponseBytes)
	if err != nil {
		return err
	}
	defer data.Release()
	g.bandwidth.Count(purpose, bandwidth.Received, len(data.Bytes))
	switch response.Status() {
	case fasthttp.StatusOK:
		content := data.Bytes
		if response.Get(headerEncoding) == encodingDelta {
			if content, err = g.codec.Decode(content, nil); err != nil {
				return err
			}
		}
		return json.Unmarshal(content, v)
	case fasthttp.StatusNoContent:
		return nil
	default:
		return errors.Errorf("the host responded with status %d", response.Status())
	}
}

// linkOf returns the rate of the link of the host at a peer address, in Mbit/s, 0 if it is not known.
func (g *Gateway) linkOf(address string) float64 {
	for _, m := range g.gossip.View().Members {
		if m.PeerAddress == address {
			return m.LinkMbps
		}
	}
	return 0
}

type itemsBody struct {
	Items []bulletin.Item `json:"Items"`
}

func (g *Gateway) serveItems(ctx *fasthttp.RequestCtx) {
	timeout, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	items, err := g.gossip.Items(timeout)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	g.writeBulk(ctx, bandwidth.Items, itemsBody{Items: items})
}

func (g *Gateway) fetchItems(ctx context.Context, address string) ([]bulletin.Item, error) {
	var body itemsBody
	err := g.callPeer(ctx, address, pathPeerItems, bandwidth.Items, nil, &body)
	return body.Items, err
}

// serveCatalogue responds with the changes of the catalogue after a revision.
func (g *Gateway) serveCatalogue(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.RequestURI()[len(pathPeerCatalogue):]), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	age := g.contactAgeMs() // read first, as the changes must not be older
	difference, changed := g.catalogue.Since(after)
	if !changed && age == nil {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	difference.ContactAgeMs = age
	g.writeBulk(ctx, bandwidth.Differences, difference)
}

// fetchCatalogue fetches the changes after a revision from a random host: of the own region,
// or in half of the cases of another one. A host without a configuration asks a seed instead
// in half of the cases, as seeds read the store first.
func (g *Gateway) fetchCatalogue(ctx context.Context, after int64) (catalogue.Difference, error) {
	var local, remote []member.Info
	for _, m := range g.gossip.View().Members {
		switch {
		case m.Host == g.settings.Host || m.Status != member.Alive:
		case m.Region == g.settings.Region:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	hosts := local
	if len(local) == 0 || (len(remote) > 0 && rand.IntN(2) == 0) {
		hosts = remote
	}
	addresses := g.settings.Seeds
	if len(hosts) > 0 && (g.catalogue.Snapshot().Table != nil || rand.IntN(2) == 0) {
		addresses = []string{hosts[rand.IntN(len(hosts))].PeerAddress}
	}
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == g.settings.PeerAddress })
	if len(addresses) == 0 {
		return catalogue.Difference{}, errors.New("no other host is known")
	}
	var d catalogue.Difference
	err := g.callPeer(ctx, addresses[rand.IntN(len(addresses))], pathPeerCatalogue+strconv.FormatInt(after, 10), bandwidth.Differences, nil, &d)
	return d, err
}

// writeBulk responds to another host with v in JSON, encoded if the host asks for that, as fast as bulk may be sent.
func (g *Gateway) writeBulk(ctx *fasthttp.RequestCtx, purpose bandwidth.Purpose, v any) {
	body, err := json.Marshal(v)
	if err == nil && string(ctx.Request.Header.Peek(headerEncoding)) == encodingDelta {
		body, err = g.codec.Encode(body, nil)
		ctx.Response.Header.Set(headerEncoding, encodingDelta)
	}
	if err != nil {
		g.log.Error(err, "A response could not be encoded.")
		ctx.Response.Header.Del(headerEncoding)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStream(g.bandwidth.NewReader(context.Background(), purpose, body), len(body))
}

func (g *Gateway) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		g.log.Error(err, "A response could not be encoded.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
