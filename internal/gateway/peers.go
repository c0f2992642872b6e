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

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	pathPeerBoard     = "/peer/board"
	pathPeerCatalogue = "/peer/catalogue/"
	peerTimeout       = time.Second
	maxPeerAnswer     = 16 << 20
)

// sealRequest seals the head and the body of a request to another host.
func (g *Gateway) sealRequest(request *fasthttp.Request) {
	request.Header.Set(core.HeaderSignature, g.sealer.Sign(signedParts(request)...))
}

func (g *Gateway) checkRequest(request *fasthttp.Request) bool {
	return g.sealer.Verify(string(request.Header.Peek(core.HeaderSignature)), signedParts(request)...)
}

func signedParts(request *fasthttp.Request) [][]byte {
	h := &request.Header
	return [][]byte{
		h.Method(), h.RequestURI(), h.Peek(headerLeft), h.Peek(headerAge), h.Peek(headerSpilled), h.Peek(headerLastEvent),
		h.Peek(core.HeaderPassed), h.Peek(core.HeaderVersion), request.Body(),
	}
}

// askPeer sends a request to another host, with a body if there is one, and reads
// its JSON answer. It leaves v as it is when the host has nothing to say.
func (g *Gateway) askPeer(ctx context.Context, address, path string, send []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(address)
	request.Header.SetRequestURI(path)
	if send != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBody(send)
	}
	g.sealRequest(request)
	response, err := g.controls.Do(ctx, address, request)
	if err != nil {
		return err
	}
	body, err := response.ReadAll(maxPeerAnswer)
	if err != nil {
		return err
	}
	switch response.Status() {
	case fasthttp.StatusOK:
		return json.Unmarshal(body, v)
	case fasthttp.StatusNoContent:
		return nil
	default:
		return errors.Errorf("a host answered with status %d", response.Status())
	}
}

type boardBody struct {
	Items []bulletin.Item `json:"Items"`
}

func (g *Gateway) serveBoard(ctx *fasthttp.RequestCtx) {
	within, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	items, err := g.gossip.Items(within)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	g.writeJSON(ctx, boardBody{Items: items})
}

func (g *Gateway) fetchBoard(ctx context.Context, address string) ([]bulletin.Item, error) {
	var body boardBody
	err := g.askPeer(ctx, address, pathPeerBoard, nil, &body)
	return body.Items, err
}

// serveCatalogue tells another host what it does not know.
func (g *Gateway) serveCatalogue(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.RequestURI()[len(pathPeerCatalogue):]), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	difference, news := g.catalogue.Since(after)
	if !news {
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	g.writeJSON(ctx, difference)
}

// askCatalogue asks a host, as a rule of the own region, what it knows. A host that
// knows nothing yet also asks the seeds, which read the store first.
func (g *Gateway) askCatalogue(ctx context.Context, after int64) (catalogue.Difference, error) {
	var near, far []member.Info
	for _, m := range g.gossip.View().Members {
		switch {
		case m.Host == g.settings.Host || m.Status != member.Alive:
		case m.Region == g.settings.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	choices := near
	if len(near) == 0 || (len(far) > 0 && rand.IntN(2) == 0) {
		choices = far
	}
	addresses := g.settings.Seeds
	if len(choices) > 0 && (g.catalogue.Now().Table != nil || rand.IntN(2) == 0) {
		addresses = []string{choices[rand.IntN(len(choices))].PeerAddress}
	}
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == g.settings.PeerAddress })
	if len(addresses) == 0 {
		return catalogue.Difference{}, errors.New("no other host is known")
	}
	var d catalogue.Difference
	err := g.askPeer(ctx, addresses[rand.IntN(len(addresses))], pathPeerCatalogue+strconv.FormatInt(after, 10), nil, &d)
	return d, err
}

func (g *Gateway) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		g.log.Error(err, "An answer could not be written.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
