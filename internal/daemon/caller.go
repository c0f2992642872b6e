package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/residency"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

// serveCaller routes the requests to the callers' address.
func (d *Daemon) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		writeJSON(ctx, fasthttp.StatusOK, healthBody{Status: "Alive", Host: d.settings.Host})
	case path == "/readyz":
		d.serveReady(ctx)
	case path == "/v1/hosts":
		d.serveHosts(ctx)
	case path == "/v1/models":
		d.serveModels(ctx)
	case path == "/v1/keys":
		d.serveKeys(ctx)
	case strings.HasPrefix(path, "/v1/keys/"):
		d.serveKeyState(ctx, strings.TrimPrefix(path, "/v1/keys/"))
	case strings.HasPrefix(path, "/operator/"), path == "/debug/vars":
		d.serveOperator(ctx, path)
	default:
		d.serveCall(ctx, false)
	}
}

type healthBody struct {
	Status  string `json:"Status"`
	Host    string `json:"Host"`
	Version uint64 `json:"Version,omitempty"`
}

// serveReady reports whether callers should use the host.
func (d *Daemon) serveReady(ctx *fasthttp.RequestCtx) {
	version := d.feed.State().Version
	switch {
	case d.draining.Load():
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, healthBody{Status: "Leaving", Host: d.settings.Host, Version: version})
	case version == 0:
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, healthBody{Status: "NoConfiguration", Host: d.settings.Host})
	default:
		writeJSON(ctx, fasthttp.StatusOK, healthBody{Status: "Ready", Host: d.settings.Host, Version: version})
	}
}

type modelsBody struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the caller may use in at least one region. An
// operator or reader gets all of them.
func (d *Daemon) serveModels(ctx *fasthttp.RequestCtx) {
	x := d.index()
	principal, ok := x.Authenticate(bearer(ctx))
	if !ok {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a known key as a bearer token"))
		return
	}
	body := modelsBody{Object: "list", Data: []modelRow{}}
	for _, name := range slices.Sorted(maps.Keys(x.Document.Services)) {
		service := x.Document.Services[name]
		if service.Kind != config.KindModel {
			continue
		}
		if principal.Role == config.RoleCaller && len(residency.Allowed(x, principal.Workspace, name, "")) == 0 {
			continue
		}
		body.Data = append(body.Data, modelRow{ID: name, Object: "model", OwnedBy: "sequoiarack"})
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

type keyBody struct {
	Key string `json:"Key"`
}

// serveKeys issues an idempotency key. Only this process may run a call with it, so
// the key needs no claim in the store.
func (d *Daemon) serveKeys(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusMethodNotAllowed, core.ReasonBadRequest, "expected POST"))
		return
	}
	principal, ok := d.index().Authenticate(bearer(ctx))
	if !ok || principal.Role != config.RoleCaller {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a caller's key as a bearer token"))
		return
	}
	if d.draining.Load() {
		d.writeRefusal(ctx, nil, d.leavingRefusal())
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, keyBody{Key: claim.Issue(d.signer, d.clock.Now(), d.settings.Host, d.incarnation)})
}

func (d *Daemon) leavingRefusal() *core.Refusal {
	return refusal(fasthttp.StatusServiceUnavailable, core.ReasonLeaving, "the host is leaving; use another one").WithRetryAfter(1)
}

// serveCall checks and runs a call. received is set when another host has forwarded
// it.
func (d *Daemon) serveCall(ctx *fasthttp.RequestCtx, received bool) {
	d.metrics.add(countCalls, 1)
	c, refused := d.parseCall(ctx, received)
	if refused != nil {
		upload.Refuse(ctx)
		d.writeRefusal(ctx, c, refused)
		return
	}
	if !d.beginCall() {
		d.writeRefusal(ctx, c, d.leavingRefusal())
		return
	}
	callContext, cancel := c.withTimeout(context.Background())
	remove := d.hangups.Add(ctx.Conn(), func() {
		d.metrics.add(countHangUps, 1)
		cancel()
	})
	h := &callHandler{d: d, call: c, ctx: callContext, release: func() {
		remove()
		cancel()
		d.endCall()
	}}
	h.run(ctx)
	if _, isStream := ctx.Response.BodyStream().(*relayReader); !isStream { // which may be resumed
		upload.ReleaseBody(ctx)
	}
}
