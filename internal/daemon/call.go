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
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// call is a request on its way through the host.
type call struct {
	id          string
	index       *config.Index
	workspace   string
	caller      string
	serviceName string
	service     config.Service
	dataClass   string
	allowed     []string
	passed      core.Hops
	received    bool // came from another host
	method      string
	path        string // as the caller asked
	targetPath  string // as the target is asked
	contentType string
	body        []byte
	stream      bool
	limit       int // largest output that the request allows, in tokens
	repeatable  bool
	keyText     string
	key         claim.Key
	firstSend   bool
	claimed     bool // the key was looked up, so that NotRun can be told
	issuedHere  bool // an issued key that its host has spent for this call
	arrived     time.Time
	timeout     time.Duration
}

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathServices    = "/services/"
	headerFirstSend = "Sequoiarack-First-Send"
	headerSpent     = "Sequoiarack-Key-Spent"
)

type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// identify finds out who calls and what for. A call from another host names
// its caller and was authenticated before.
func (d *Daemon) identify(ctx *fasthttp.RequestCtx, received bool) (*call, *core.Refusal) {
	state := d.feed.State()
	header := &ctx.Request.Header
	c := &call{
		id: string(header.Peek(core.HeaderRequestID)), index: state.Index, received: received,
		passed:    core.ParseHops(string(header.Peek(core.HeaderPassed))),
		dataClass: string(header.Peek(core.HeaderDataClass)),
		method:    string(ctx.Method()), path: string(ctx.RequestURI()),
		contentType: string(header.ContentType()), body: slices.Clone(ctx.PostBody()),
		keyText: string(header.Peek(core.HeaderIdempotencyKey)), firstSend: len(header.Peek(headerFirstSend)) > 0,
		issuedHere: received && len(header.Peek(headerSpent)) > 0,
		arrived:    d.clock.Now(), timeout: time.Duration(state.Index.Document.Limits.CallTimeoutSec) * time.Second,
	}
	if !validID(c.id) {
		c.id = core.NewID()
	}
	if state.Version == 0 {
		return c, refusal(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, "the host has no configuration yet").WithRetryAfter(1)
	}
	if refusal := d.findCaller(ctx, c); refusal != nil {
		return c, refusal
	}
	if len(c.body) > c.index.Document.Limits.MaxBodyBytes {
		return c, refusal(fasthttp.StatusRequestEntityTooLarge, core.ReasonBodyTooLarge,
			fmt.Sprintf("the body has %d bytes, expected at most %d", len(c.body), c.index.Document.Limits.MaxBodyBytes))
	}
	if refusal := d.findService(ctx, c); refusal != nil {
		return c, refusal
	}
	if refusal := d.findKey(c); refusal != nil {
		return c, refusal
	}
	return c, d.checkDeadline(ctx, c)
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

func (d *Daemon) findCaller(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
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
	if len(c.passed) > 0 {
		return refusal(fasthttp.StatusLoopDetected, core.ReasonLoop, "the call has been at a host before: "+c.passed.String())
	}
	principal, ok := c.index.Authenticate(bearer(ctx))
	if !ok {
		return refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a known key as a bearer token")
	}
	if principal.Role != config.RoleCaller {
		return refusal(fasthttp.StatusForbidden, core.ReasonForbidden, "expected a caller's key")
	}
	c.caller, c.workspace = principal.Name, principal.Workspace
	if after, ok := d.limits.allow(c.workspace, c.arrived); !ok {
		return refusal(fasthttp.StatusTooManyRequests, core.ReasonRateLimited, "the workspace's rate is used up").WithRetryAfter(after)
	}
	return nil
}

func bearer(ctx *fasthttp.RequestCtx) string {
	const scheme = "Bearer "
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(value, scheme) {
		return ""
	}
	return value[len(scheme):]
}

func (d *Daemon) findService(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
	path := string(ctx.Path())
	var kind config.ServiceKind
	switch {
	case path == pathChat || path == pathCompletions:
		if refusal := c.readModelRequest(); refusal != nil {
			return refusal
		}
		kind, c.targetPath, c.repeatable = config.KindModel, path, true
	case strings.HasPrefix(path, pathServices):
		name, rest, _ := strings.Cut(path[len(pathServices):], "/")
		kind, c.serviceName, c.targetPath = config.KindPlain, name, "/"+rest
		if query := ctx.QueryArgs().String(); query != "" {
			c.targetPath += "?" + query
		}
	default:
		return refusal(fasthttp.StatusNotFound, core.ReasonUnknownPath, "no such path: "+path)
	}
	service, ok := c.index.Document.Services[c.serviceName]
	if !ok || service.Kind != kind {
		return refusal(fasthttp.StatusNotFound, core.ReasonUnknownService, fmt.Sprintf("no %s service %q", strings.ToLower(string(kind)), c.serviceName))
	}
	c.service = service
	c.repeatable = c.repeatable || slices.Contains(service.RepeatableMethods, c.method)
	c.allowed = residency.Allowed(c.index, c.workspace, c.serviceName, c.dataClass)
	return nil
}

func (c *call) readModelRequest() *core.Refusal {
	var request modelRequest
	if c.method != fasthttp.MethodPost {
		return refusal(fasthttp.StatusMethodNotAllowed, core.ReasonBadRequest, "expected POST")
	}
	if err := json.Unmarshal(c.body, &request); err != nil {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "body: "+err.Error())
	}
	if request.Model == "" {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "model: expected the name of a model")
	}
	if request.MaxTokens < 0 {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "max_tokens: expected a positive number")
	}
	if len(request.Messages) == 0 && len(request.Prompt) == 0 {
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "expected messages or prompt")
	}
	c.serviceName, c.stream, c.limit = request.Model, request.Stream, request.MaxTokens
	return nil
}

// findKey reads the idempotency key of a call that may not be repeated. Other
// calls need none.
func (d *Daemon) findKey(c *call) *core.Refusal {
	if c.repeatable || c.keyText == "" {
		return nil
	}
	key, err := claim.Parse(d.sealer, c.keyText, c.arrived, d.retention(c.index))
	if err == nil {
		c.key = key
		return nil
	}
	reason := core.ReasonBadRequest
	out := refusal(fasthttp.StatusBadRequest, reason, core.HeaderIdempotencyKey+": "+err.Error())
	if kind, _ := kindOfClaim(err); kind == claim.Expired {
		// The key may have been used while its claim was kept.
		out.Reason, out.Status = core.ReasonKeyExpired, fasthttp.StatusGone
		return out.WithOutcome(core.Unknown)
	}
	c.keyText = "" // it was never accepted
	return out
}

// retention is how long after its making a key is accepted. Claims are kept
// longer.
func (d *Daemon) retention(x *config.Index) time.Duration {
	return min(claimRetention, time.Duration(x.Document.Limits.ClaimRetentionSec)*time.Second)
}

// checkDeadline takes the caller's time limit, if it gives one.
func (d *Daemon) checkDeadline(ctx *fasthttp.RequestCtx, c *call) *core.Refusal {
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

// mayHaveRun reports whether an earlier send of the call may have been run, for
// all that this host knows.
func (c *call) mayHaveRun() bool {
	return !c.repeatable && c.keyText != "" && !c.claimed && !c.firstSend
}

// settled returns the outcome that may be told with a refusal. While a key has
// not been looked up, an earlier send of it may have been run.
func (c *call) settled(r *core.Refusal) *core.Refusal {
	if r.Outcome == core.NotRun && c.mayHaveRun() {
		return r.WithOutcome(core.Unknown)
	}
	return r
}

// budget is how long the call may wait for a target.
func (c *call) budget() time.Duration {
	return min(c.timeout, time.Duration(c.service.FirstTokenBudgetMs)*time.Millisecond)
}

func (c *call) request(d *Daemon, extra dispatch.Extra, avoid []string) dispatch.Request {
	wait := c.budget()
	if c.limit >= max(c.service.LongTokens, 1) && c.service.Kind == config.KindModel {
		wait = max(wait, min(c.timeout, longWaitFactor*wait))
	}
	return dispatch.Request{
		Service: c.serviceName, Workspace: c.workspace, Limit: c.limit, LongCut: c.service.LongTokens,
		Digest: c.digest(d), Extra: extra,
		Ask: placement.Ask{
			Prefix: affinity.PrefixOf(c.body), Arrived: c.arrived, Deadline: c.arrived.Add(wait), Avoid: avoid,
		},
	}
}

// longWaitFactor is how many times longer a long call may wait than a short one.
const longWaitFactor = 10

// digest stands for the request in the quarantine and in claims.
func (c *call) digest(d *Daemon) string {
	return d.digests.Digest([]byte(c.workspace), []byte(c.serviceName), []byte(c.method), []byte(c.targetPath), c.body)
}

// keyDigest stands for the key in claims.
func (c *call) keyDigest(d *Daemon) string {
	return d.digests.Digest([]byte(c.workspace), []byte(c.serviceName), []byte(c.key.Text))
}

func (c *call) attempt(d *Daemon) attempt.Call {
	out := attempt.Call{
		Method: c.method, Path: c.targetPath, ContentType: c.contentType, Body: c.body, RequestID: c.id,
		Passed: c.passed.Append(d.settings.Region, d.settings.Host),
	}
	if !c.repeatable {
		out.IdempotencyKey = c.key.Text
	}
	if c.limit < max(c.service.LongTokens, 1) {
		out.Priority = 1
	}
	return out
}

// context returns the context that bounds the call.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, c.timeout)
}
