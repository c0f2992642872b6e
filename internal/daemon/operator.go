package daemon

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/memory"
)

const (
	operatorTimeout     = 8 * time.Second
	defaultHistoryLimit = 50
)

// serveOperator routes the requests of the operators' interface. A reader's key
// permits GET requests only; patches and drains need an operator's key.
func (d *Daemon) serveOperator(ctx *fasthttp.RequestCtx, path string) {
	if r := d.authorizeOperator(ctx); r != nil {
		d.writeRefusal(ctx, nil, r)
		return
	}
	timeoutCtx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	route := string(ctx.Method()) + " " + path
	switch route {
	case "GET /operator/config":
		d.serveConfig(ctx)
	case "POST /operator/config":
		d.servePatch(timeoutCtx, ctx)
	case "POST /operator/config/check":
		d.serveCheck(ctx)
	case "GET /operator/config/history":
		d.serveHistory(timeoutCtx, ctx)
	case "GET /operator/hosts":
		writeJSON(ctx, fasthttp.StatusOK, d.hostStates())
	case "GET /operator/targets":
		d.serveTargets(timeoutCtx, ctx)
	case "GET /operator/dump":
		writeJSON(ctx, fasthttp.StatusOK, d.Dump(timeoutCtx))
	case "POST /operator/drain":
		go func() { _ = d.Drain(context.Background()) }()
		writeJSON(ctx, fasthttp.StatusAccepted, healthBody{Status: "Leaving", Host: d.settings.Host})
	case "GET /debug/vars":
		d.serveVars(ctx)
	default:
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusNotFound, core.ReasonUnknownPath, "no such operation: "+route))
	}
}

func (d *Daemon) authorizeOperator(ctx *fasthttp.RequestCtx) *core.Refusal {
	x := d.index()
	secret := bearer(ctx)
	principal, ok := x.Authenticate(secret)
	switch {
	case ok && principal.Role == config.RoleOperator:
		return nil
	case ok && principal.Role == config.RoleReader && ctx.IsGet():
		return nil
	case ok:
		return refusal(fasthttp.StatusForbidden, core.ReasonForbidden, "expected an operator's key")
	case d.isBootstrapSecret(x, secret):
		return nil
	}
	return refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected an operator's key as a bearer token")
}

// isBootstrapSecret reports whether the secret matches the digest in the settings.
// That secret is accepted only while the configuration has no operator's key.
func (d *Daemon) isBootstrapSecret(x *config.Index, secret string) bool {
	want := d.settings.BootstrapOperatorDigest
	if want == "" || secret == "" {
		return false
	}
	for _, key := range x.Document.Keys {
		if key.Role == config.RoleOperator {
			return false
		}
	}
	return subtle.ConstantTimeCompare([]byte(config.Digest(secret)), []byte(want)) == 1
}

type configBody struct {
	Version  uint64          `json:"Version"`
	Digest   string          `json:"Digest"`
	Document json.RawMessage `json:"Document"`
}

func (d *Daemon) serveConfig(ctx *fasthttp.RequestCtx) {
	state := d.feed.State()
	writeJSON(ctx, fasthttp.StatusOK, configBody{Version: state.Version, Digest: state.Digest, Document: state.Raw})
}

// readPatch reads, parses and checks the body of a request with a patch.
func (d *Daemon) readPatch(ctx *fasthttp.RequestCtx) (ledger.Patch, *core.Refusal) {
	var patch ledger.Patch
	if r := d.reserveCall(ctx); r != nil {
		return patch, r
	}
	if r := d.readBody(ctx, memory.Control, "operator", config.MaxBodyBytes); r != nil {
		return patch, r
	}
	decoder := json.NewDecoder(bytes.NewReader(ctx.Request.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&patch); err != nil {
		return patch, refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "patch: "+err.Error())
	}
	var problems []string
	if !validID(patch.ID) {
		problems = append(problems, "ID: expected letters, digits, dashes and underscores")
	}
	if len(patch.Body) == 0 {
		problems = append(problems, "Body: expected a patch")
	}
	if patch.Kind != config.MergePatch && patch.Kind != config.JSONPatch {
		problems = append(problems, fmt.Sprintf("Kind: expected %q or %q", config.MergePatch, config.JSONPatch))
	}
	if len(problems) > 0 {
		return patch, refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, strings.Join(problems, "\n"))
	}
	return patch, nil
}

type patchBody struct {
	Version uint64 `json:"Version"`
	ID      string `json:"ID,omitempty"`
	Digest  string `json:"Digest"`
}

// patchErrorBody is the response to a patch that was not accepted. The outcome
// NotRun means that the patch has no effect and never will.
type patchErrorBody struct {
	Reason   core.Reason     `json:"Reason"`
	Outcome  core.Outcome    `json:"Outcome"`
	Message  string          `json:"Message"`
	Version  uint64          `json:"Version"`
	Problems config.Problems `json:"Problems,omitempty"`
}

func (d *Daemon) servePatch(timeoutCtx context.Context, ctx *fasthttp.RequestCtx) {
	patch, r := d.readPatch(ctx)
	if r != nil {
		d.writeRefusal(ctx, nil, r)
		return
	}
	record, err := d.ledger.Commit(timeoutCtx, patch, d.feed.State().Version)
	if err != nil {
		d.writePatchError(ctx, err)
		return
	}
	if err := d.feed.AdoptRecord(record); err != nil {
		d.log.V(1).Info("A committed patch could not be adopted yet.", "Version", record.Version, "Error", err.Error())
	}
	d.setHeaders(ctx, "", core.Run)
	writeJSON(ctx, fasthttp.StatusOK, patchBody{Version: record.Version, ID: record.ID, Digest: record.Digest})
}

func (d *Daemon) writePatchError(ctx *fasthttp.RequestCtx, err error) {
	body := patchErrorBody{Reason: core.ReasonInvalid, Outcome: core.NotRun, Message: err.Error(), Version: d.feed.State().Version}
	status := fasthttp.StatusUnprocessableEntity
	kind, _ := failure.KindOf[ledger.Kind](err)
	switch kind {
	case ledger.Conflict:
		status, body.Reason = fasthttp.StatusConflict, core.ReasonConflict
	case ledger.IDReused:
		status, body.Reason = fasthttp.StatusConflict, core.ReasonKeyReused
	case ledger.Unavailable:
		status, body.Reason = fasthttp.StatusServiceUnavailable, core.ReasonStoreDown
	case ledger.Unconfirmed:
		status, body.Reason, body.Outcome = fasthttp.StatusServiceUnavailable, core.ReasonStoreDown, core.Unknown
	case ledger.StoreBehind, ledger.Diverged:
		status, body.Reason = fasthttp.StatusConflict, core.ReasonStaleVersion
	case ledger.Refused:
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		body.Problems = problems
	}
	d.setHeaders(ctx, "", body.Outcome)
	writeJSON(ctx, status, body)
}

// serveCheck validates a patch against the configuration in force, without
// committing it.
func (d *Daemon) serveCheck(ctx *fasthttp.RequestCtx) {
	patch, r := d.readPatch(ctx)
	if r != nil {
		d.writeRefusal(ctx, nil, r)
		return
	}
	record, _, err := d.feed.State().Propose(patch, d.clock.Now())
	if err != nil {
		d.writePatchError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, patchBody{Version: record.Version, Digest: record.Digest})
}

type historyBody struct {
	Records []ledger.Record `json:"Records"`
}

func (d *Daemon) serveHistory(timeoutCtx context.Context, ctx *fasthttp.RequestCtx) {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	records, err := d.ledger.History(timeoutCtx, limit)
	if err != nil {
		d.writePatchError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, historyBody{Records: records})
}

func (d *Daemon) serveTargets(timeoutCtx context.Context, ctx *fasthttp.RequestCtx) {
	snapshot, err := d.dispatcher.Snapshot(timeoutCtx)
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, err.Error()))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, snapshot.Targets)
}

// serveVars writes the expvar variables of the process, and the counters of this
// host as "host".
func (d *Daemon) serveVars(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	_, _ = fmt.Fprintf(ctx, "{\n%q: %s", "host", d.metrics.vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "sequoiarack" {
			_, _ = fmt.Fprintf(ctx, ",\n%q: %s", kv.Key, kv.Value.String())
		}
	})
	_, _ = ctx.WriteString("\n}\n")
}
