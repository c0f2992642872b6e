package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// call is a request that the host handles.
type call struct {
	id             string
	index          *config.Index
	workspace      string
	caller         string
	kind           config.ServiceKind
	serviceName    string
	service        config.Service
	dataClass      string
	allowedRegions []string
	hops           core.Hops
	received       bool // forwarded by another host
	method         string
	path           string // URI of the caller's request
	targetPath     string // URI of the request to the target
	contentType    string
	body           []byte
	stream         bool
	maxTokens      int // limit of the output that the request sets, zero for none
	repeatable     bool
	keyText        string
	key            claim.Key
	firstSend      bool // the caller declares that no earlier request had the key
	keyChecked     bool // the key was looked up, so that NotRun is certain
	sentByIssuer   bool // forwarded by the host that issued the key, which marked it as used
	arrived        time.Time
	timeout        time.Duration
}

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathServices    = "/services/"
	headerFirstSend = "Sequoiarack-First-Send"
	headerKeySpent  = "Sequoiarack-Key-Spent"
)

type modelRequest struct {
	Model     string   `json:"model"`
	Stream    bool     `json:"stream"`
	MaxTokens int      `json:"max_tokens"`
	Messages  presence `json:"messages"`
	Prompt    presence `json:"prompt"`
}

// presence reports whether a field is present. Its value is not copied.
type presence bool

// UnmarshalJSON implements json.Unmarshaler.
func (p *presence) UnmarshalJSON([]byte) error {
	*p = true
	return nil
}

// parseCall parses, authenticates and checks a request. A call that another host
// has forwarded names its caller, whom that host has authenticated. The body of any other call is read once the head
// has shown that the call may be served.
func (d *Daemon) parseCall(ctx *fasthttp.RequestCtx, received bool) (*call, *core.Refusal) {
	state := d.feed.State()
	header := &ctx.Request.Header
	c := &call{
		id: string(header.Peek(core.HeaderRequestID)), index: state.Index, received: received,
		hops:      core.ParseHops(string(header.Peek(core.HeaderPassed))),
		dataClass: string(header.Peek(core.HeaderDataClass)),
		method:    string(ctx.Method()), path: string(ctx.RequestURI()),
		contentType: string(header.ContentType()),
		keyText:     string(header.Peek(core.HeaderIdempotencyKey)), firstSend: len(header.Peek(headerFirstSend)) > 0,
		sentByIssuer: received && len(header.Peek(headerKeySpent)) > 0,
		arrived:      d.clock.Now(), timeout: time.Duration(state.Index.Document.Limits.CallTimeoutSec) * time.Second,
	}
	if !validID(c.id) {
		c.id = core.NewID()
	}
	if state.Version == 0 {
		return c, refusal(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, "the host has no configuration yet").WithRetryAfter(1)
	}
	if refusal := d.checkHead(ctx, c); refusal != nil {
		return c, refusal
	}
	if refusal := d.limitRate(c); refusal != nil {
		return c, refusal
	}
	if refusal := d.readCallBody(ctx, c); refusal != nil {
		return c, refusal
	}
	if refusal := d.parseKey(c); refusal != nil {
		return c, refusal
	}
	return c, d.applyDeadline(ctx, c)
}

// checkHead checks what the head of a call tells: its caller, its path, and whether its data may be in this region.
func (d *Daemon) checkHead(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	if refusal := d.authenticateCaller(ctx, c); refusal != nil {
		return refusal
	}
	if refusal := d.resolveService(ctx, c); refusal != nil {
		return refusal
	}
	if !residency.MayHold(c.index, c.workspace, c.dataClass, d.settings.Region) {
		return refusal(fasthttp.StatusMisdirectedRequest, core.ReasonWrongRegion, "the data may not be in this region; use a host of another one")
	}
	return nil
}

// limitRate applies the rate limit of the workspace to a call that no other host has forwarded.
func (d *Daemon) limitRate(c *call) *core.Refusal {
	if c.received {
		return nil
	}
	if after, ok := d.limiters.allow(c.workspace, c.arrived); !ok {
		return refusal(fasthttp.StatusTooManyRequests, core.ReasonRateLimited, "the workspace's rate is used up").WithRetryAfter(after)
	}
	return nil
}

// readCallBody sets the body of a call, and the service of a call of a model, which the body names.
func (d *Daemon) readCallBody(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	if refusal := d.receiveCallBody(ctx, c); refusal != nil {
		return refusal
	}
	limit := c.index.Document.Limits.MaxBodyBytes
	if c.body = ctx.Request.Body(); len(c.body) > limit {
		return refusal(fasthttp.StatusRequestEntityTooLarge, core.ReasonBodyTooLarge, fmt.Sprintf("the body has %d bytes, expected at most %d", len(c.body), limit))
	}
	if c.kind != config.KindModel {
		return nil
	}
	if refusal := c.readModelRequest(); refusal != nil {
		return refusal
	}
	return d.findService(c)
}

// receiveCallBody reads the body of a call that no other host has forwarded. If the configuration has changed meanwhile,
// it checks the head again.
func (d *Daemon) receiveCallBody(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	if c.received {
		return nil // it was read to check the signature
	}
	if d.draining.Load() {
		return d.leavingRefusal()
	}
	if refusal := d.reserveCall(ctx); refusal != nil {
		return refusal
	}
	if refusal := d.readBody(ctx, memory.Bodies, "workspace "+c.workspace, c.index.Document.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	c.arrived = d.clock.Now()
	if state := d.feed.State(); state.Version != c.index.Version {
		c.index = state.Index
		return d.checkHead(ctx, c)
	}
	return nil
}

const maxIDBytes = 128

// validID accepts identifiers that are safe in headers and paths.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, r := range id {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func refusal(status int, reason core.Reason, message string) *core.Refusal {
	return &core.Refusal{Status: status, Reason: reason, Message: message, Outcome: core.NotRun}
}

// authenticateCaller sets the caller and its workspace. Of a forwarded call it checks only that the caller is known.
func (d *Daemon) authenticateCaller(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	header := &ctx.Request.Header
	if c.received {
		c.caller = string(header.Peek(core.HeaderCaller))
		key, ok := c.index.Document.Keys[c.caller]
		if !ok || key.Role != config.RoleCaller {
			return refusal(fasthttp.StatusForbidden, core.ReasonForbidden, "the caller is not known here")
		}
		c.workspace = key.Workspace
		return nil
	}
	if len(c.hops) > 0 {
		return refusal(fasthttp.StatusLoopDetected, core.ReasonLoop, "the call has been at a host before: "+c.hops.String())
	}
	principal, ok := c.index.Authenticate(bearer(ctx))
	if !ok {
		return refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a known key as a bearer token")
	}
	if principal.Role != config.RoleCaller {
		return refusal(fasthttp.StatusForbidden, core.ReasonForbidden, "expected a caller's key")
	}
	c.caller, c.workspace = principal.Name, principal.Workspace
	return nil
}

// bearer returns the bearer token of a request, empty if there is none.
func bearer(ctx *fasthttp.RequestCtx) string {
	const scheme = "Bearer "
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(value, scheme) {
		return ""
	}
	return value[len(scheme):]
}

// resolveService sets the kind of the service and the path at its targets, and finds a plain service.
func (d *Daemon) resolveService(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	path := string(ctx.Path())
	switch {
	case path == pathChat || path == pathCompletions:
		if c.method != fasthttp.MethodPost {
			return refusal(fasthttp.StatusMethodNotAllowed, core.ReasonBadRequest, "expected POST")
		}
		c.kind, c.targetPath, c.repeatable = config.KindModel, path, true
		return nil
	case strings.HasPrefix(path, pathServices):
		name, rest, _ := strings.Cut(path[len(pathServices):], "/")
		c.kind, c.serviceName, c.targetPath = config.KindPlain, name, "/"+rest
		if query := ctx.QueryArgs().String(); query != "" {
			c.targetPath += "?" + query
		}
		return d.findService(c)
	default:
		return refusal(fasthttp.StatusNotFound, core.ReasonUnknownPath, "no such path: "+path)
	}
}

// findService sets the service of a call and the regions that may serve it.
func (d *Daemon) findService(c *call) *core.Refusal {
	service, ok := c.index.Document.Services[c.serviceName]
	if !ok || service.Kind != c.kind {
		return refusal(fasthttp.StatusNotFound, core.ReasonUnknownService, fmt.Sprintf("no %s service %q", strings.ToLower(string(c.kind)), c.serviceName))
	}
	c.service = service
	c.repeatable = c.repeatable || slices.Contains(service.RepeatableMethods, c.method)
	c.allowedRegions = residency.Allowed(c.index, c.workspace, c.serviceName, c.dataClass)
	return nil
}

func (c *call) readModelRequest() *core.Refusal {
	var request modelRequest
	if err := json.Unmarshal(c.body, &request); err != nil {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "body: "+err.Error())
	}
	if request.Model == "" {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "model: expected the name of a model")
	}
	if request.MaxTokens < 0 {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "max_tokens: expected a positive number")
	}
	if !request.Messages && !request.Prompt {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "expected messages or prompt")
	}
	c.serviceName, c.stream, c.maxTokens = request.Model, request.Stream, request.MaxTokens
	return nil
}

// parseKey parses the idempotency key of a call. A repeatable call needs none, so
// its key is ignored.
func (d *Daemon) parseKey(c *call) *core.Refusal {
	if c.repeatable || c.keyText == "" {
		return nil
	}
	key, err := claim.Parse(d.signer, c.keyText, c.arrived, d.keyRetention(c.index))
	if err == nil {
		c.key = key
		return nil
	}
	reason := core.ReasonBadRequest
	out := refusal(fasthttp.StatusBadRequest, reason, core.HeaderIdempotencyKey+": "+err.Error())
	if kind, _ := kindOfClaim(err); kind == claim.Expired {
		// The call may have been run while the claim of its key was kept.
		out.Reason, out.Status = core.ReasonKeyExpired, fasthttp.StatusGone
		return out.WithOutcome(core.Unknown)
	}
	c.keyText = "" // a call with a malformed key cannot have been run
	return out
}

// keyRetention returns how long a key is accepted after its creation. Claims are
// kept longer.
func (d *Daemon) keyRetention(x *config.Index) time.Duration {
	return min(claimRetention, time.Duration(x.Document.Limits.ClaimRetentionSec)*time.Second)
}

// applyDeadline shortens the timeout of the call to the one that the request
// gives, if any.
func (d *Daemon) applyDeadline(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	value := string(ctx.Request.Header.Peek(core.HeaderDeadline))
	if value == "" {
		return nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms <= 0 {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, core.HeaderDeadline+": expected positive milliseconds")
	}
	c.timeout = min(c.timeout, time.Duration(ms)*time.Millisecond)
	return nil
}

// hasKey reports whether the call must take effect at most once.
func (c *call) hasKey() bool { return !c.repeatable && c.key.Text != "" }

// mayHaveRun reports whether an earlier request with the same key may have been run
// without this host knowing.
func (c *call) mayHaveRun() bool {
	return !c.repeatable && c.keyText != "" && !c.keyChecked && !c.firstSend
}

// downgradeOutcome returns r with the outcome Unknown instead of NotRun, if an
// earlier request with the same key may have been run.
func (c *call) downgradeOutcome(r *core.Refusal) *core.Refusal {
	if r.Outcome == core.NotRun && c.mayHaveRun() {
		return r.WithOutcome(core.Unknown)
	}
	return r
}

// maxWait returns how long the call may wait for a target.
func (c *call) maxWait() time.Duration {
	return min(c.timeout, time.Duration(c.service.FirstTokenBudgetMs)*time.Millisecond)
}

// placementRequest returns the request for a target for an attempt of the given
// kind, other than the targets to avoid.
func (c *call) placementRequest(d *Daemon, kind dispatch.AttemptKind, avoid []string) dispatch.Request {
	wait := c.maxWait()
	if c.maxTokens >= max(c.service.LongTokens, 1) && c.service.Kind == config.KindModel {
		wait = max(wait, min(c.timeout, longWaitFactor*wait))
	}
	return dispatch.Request{
		Service: c.serviceName, Workspace: c.workspace, MaxTokens: c.maxTokens, LongTokens: c.service.LongTokens,
		Digest: c.requestDigest(d), Kind: kind,
		Call: placement.Call{
			Prefix: affinity.PrefixOf(c.body), Arrived: c.arrived, Deadline: c.arrived.Add(wait), Avoid: avoid,
		},
	}
}

// longWaitFactor is how many times longer a long call may wait for a target than a
// short one.
const longWaitFactor = 10

// requestDigest identifies the request in crash reports and in claims. It is a
// keyed digest, which doesn't reveal the request.
func (c *call) requestDigest(d *Daemon) string {
	return d.digester.Digest([]byte(c.workspace), []byte(c.serviceName), []byte(c.method), []byte(c.targetPath), c.body)
}

// keyDigest identifies the idempotency key in claims.
func (c *call) keyDigest(d *Daemon) string {
	return d.digester.Digest([]byte(c.workspace), []byte(c.serviceName), []byte(c.key.Text))
}

// attemptCall returns the call as it is sent to a target.
func (c *call) attemptCall(d *Daemon) attempt.Call {
	out := attempt.Call{
		Method: c.method, Path: c.targetPath, ContentType: c.contentType, Body: c.body, RequestID: c.id,
		Passed: c.hops.Append(d.settings.Region, d.settings.Host),
	}
	if !c.repeatable {
		out.IdempotencyKey = c.key.Text
	}
	if c.maxTokens < max(c.service.LongTokens, 1) {
		out.Priority = 1
	}
	return out
}

// withTimeout returns a context that ends at the timeout of the call.
func (c *call) withTimeout(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, c.timeout)
}
