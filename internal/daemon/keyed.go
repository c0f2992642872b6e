package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/region"
)

const (
	claimTimeout = 2 * time.Second
	headerReplay = "Sequoiarack-Replayed"
)

// runKeyed runs a call that must take effect at most once. Only the process that
// holds the claim of its key runs it; every other process requests the response
// from that one.
func (h *callHandler) runKeyed(ctx *fasthttp.RequestCtx) {
	key := h.call.key
	self := h.d.settings.Host
	switch {
	case h.call.sentByIssuer:
		// Another host issued the key and forwards its only attempt to this one.
		h.runForIssuer(ctx)
	case !key.Issued:
		h.runCallerKey(ctx)
	case key.Host == self && key.Incarnation == h.d.incarnation:
		h.runOnce(ctx, nil)
	default:
		h.finish(ctx, h.forwardToIssuer())
	}
}

// runForIssuer runs a call that the issuer of its key has forwarded, after marking
// the key as used. A duplicate of the request is not run.
func (h *callHandler) runForIssuer(ctx *fasthttp.RequestCtx) {
	h.call.keyChecked = true
	digest := h.d.digester.Digest([]byte("spent"), []byte(h.call.key.Text), []byte(h.call.id))
	entry, status := h.d.claims.Begin(h.d.clock.Now(), digest, "")
	if status != claim.Fresh {
		h.finish(ctx, refused(inProgressRefusal()))
		return
	}
	r := h.serveLocally()
	h.d.claims.Finish(digest, entry, claim.Response{Outcome: r.outcome()})
	h.finish(ctx, r)
}

// runCallerKey runs a call whose key the caller has chosen. If another region is to
// serve the call, the key is claimed there.
func (h *callHandler) runCallerKey(ctx *fasthttp.RequestCtx) {
	decision := h.d.chooseRegion(h.ctx, h.call)
	_, known := h.d.claims.Lookup(h.call.keyDigest(h.d))
	if decision.Verdict == region.Serve || known {
		h.runOnce(ctx, h.claimCallerKey)
		return
	}
	h.finish(ctx, h.serveDecision(decision))
}

// runOnce runs a call for the first request with its key, and repeats the stored
// response for any other. Unless it is nil, acquire claims the key in the store, so
// that no other process runs the call.
func (h *callHandler) runOnce(ctx *fasthttp.RequestCtx, acquire func() (claim.Result, *result)) {
	digest := h.call.keyDigest(h.d)
	entry, status := h.d.claims.Begin(h.d.clock.Now(), digest, h.call.requestDigest(h.d))
	h.call.keyChecked = status != claim.Full
	switch status {
	case claim.Known:
		h.finish(ctx, h.waitAndReplay(ctx, entry))
		return
	case claim.Mismatch:
		h.finish(ctx, refused(refusal(fasthttp.StatusConflict, core.ReasonKeyReused, "the key belongs to another request")))
		return
	case claim.Full:
		h.finish(ctx, refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "too many keys are in use").WithRetryAfter(1)))
		return
	case claim.Fresh:
	}
	claimed := claim.Result{}
	if acquire != nil {
		// Another process may have run the call until the claim has succeeded.
		h.call.keyChecked = false
		var elsewhere *result
		if claimed, elsewhere = acquire(); elsewhere != nil {
			h.d.claims.Forget(digest, entry, h.storedElsewhere(*elsewhere))
			h.finish(ctx, *elsewhere)
			return
		}
		h.call.keyChecked = true
	}
	r := h.serveClaimed()
	h.d.claims.Finish(digest, entry, storedResponse(r))
	if acquire != nil {
		h.finishClaim(digest, claimed, r.outcome())
	}
	h.finish(ctx, r)
}

// serveClaimed runs a call whose key this process holds. With an issued key, it may
// be run in another region; with a caller's key, only in this one.
func (h *callHandler) serveClaimed() result {
	if h.call.key.Issued {
		return h.serve()
	}
	return h.serveLocally()
}

// finishClaim records the outcome of a call in its claim in the store. The claim of a
// call that was not run is released; that of a call with an unknown outcome is not changed.
func (h *callHandler) finishClaim(digest string, claimed claim.Result, outcome core.Outcome) {
	switch outcome {
	case core.NotRun:
		h.d.committer.Release(digest, claimed)
	case core.Run:
		record := claimed.Record
		record.Outcome = core.Run
		h.d.committer.Finish(digest, record)
	case core.Unknown:
	}
}

// storedResponse returns what is stored about an ended call. Of a stream, only the
// outcome is stored.
func storedResponse(r result) claim.Response {
	if r.response != nil {
		return claim.Response{Outcome: r.outcome(), Status: r.response.Status, ContentType: r.response.ContentType, Body: r.response.Body}
	}
	return claim.Response{Outcome: r.outcome()}
}

// storedElsewhere returns the result for requests that wait at this host for the
// same key, when another process holds it or when that could not be determined.
func (h *callHandler) storedElsewhere(r result) claim.Response {
	if r.refusal != nil {
		r.refusal = h.call.downgradeOutcome(r.refusal)
	}
	return storedResponse(r)
}

// waitAndReplay waits until the first request with the key has ended and returns its
// stored result.
func (h *callHandler) waitAndReplay(ctx *fasthttp.RequestCtx, entry *claim.Entry) result {
	select {
	case <-entry.Done():
	case <-h.ctx.Done():
		return refused(inProgressRefusal())
	}
	return h.replayResponse(ctx, entry.Response())
}

// inProgressRefusal returns the refusal of a request whose key is still in use by an
// earlier one.
func inProgressRefusal() *core.Refusal {
	return &core.Refusal{
		Status: fasthttp.StatusConflict, Reason: core.ReasonKeyInProgress, Outcome: core.Unknown,
		Message: "the first send of the key has not ended; ask again with the same key", RetryAfter: 1,
	}
}

// replayResponse returns the result that repeats what is stored about a call.
func (h *callHandler) replayResponse(ctx *fasthttp.RequestCtx, stored claim.Response) result {
	h.d.metrics.add(countReplays, 1)
	switch {
	case stored.Outcome == core.Run && stored.Status > 0:
		ctx.Response.Header.Set(headerReplay, "1")
		return result{response: &attempt.Response{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body, PeerOutcome: core.Run, FromPeer: true}}
	case stored.Outcome == core.Run:
		return refused(&core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonAlreadyRun, Outcome: core.Run, Message: "the call was run; its answer is no longer kept"})
	case stored.Outcome == core.NotRun:
		return refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "the first send of the key was not run; send it again").WithRetryAfter(1))
	default:
		return refused(&core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonTargetLost, Outcome: core.Unknown, Message: "the call may have been run; it is not run again"})
	}
}

// claimCallerKey claims the caller's key in the store. If the call must not be run by
// this process, the second result is the one to return instead.
func (h *callHandler) claimCallerKey() (claim.Result, *result) {
	record := claim.Record{
		Host: h.d.settings.Host, Incarnation: h.d.incarnation, Attempt: core.NewID(), Body: h.call.requestDigest(h.d),
	}
	out, err := h.d.committer.Claim(h.ctx, h.call.keyDigest(h.d), record, h.d.clock.Now().Add(claimTimeout))
	if err != nil {
		r := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonStoreDown, "the key could not be claimed: "+err.Error()).WithRetryAfter(1))
		return claim.Result{}, &r
	}
	if out.Owned {
		return out, nil
	}
	h.call.keyChecked = true
	if out.Record.Host == record.Host && out.Record.Incarnation == record.Incarnation {
		// An earlier request that was not run left the claim, which is being deleted.
		r := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonStoreDown, "an earlier claim of the key is being withdrawn").WithRetryAfter(1))
		return claim.Result{}, &r
	}
	r := h.fetchFromOwner(out.Record)
	return claim.Result{}, &r
}

// fetchFromOwner returns the result of a call whose key another process has claimed,
// as that process reports it.
func (h *callHandler) fetchFromOwner(record claim.Record) result {
	if record.Body != h.call.requestDigest(h.d) {
		return refused(refusal(fasthttp.StatusConflict, core.ReasonKeyReused, "the key belongs to another request"))
	}
	owner, ok := h.d.findHost(record.Host, record.Incarnation)
	if !ok {
		return refused(ownerGoneRefusal(record.Outcome))
	}
	response, err := h.d.fetchClaim(h.ctx, owner.PeerAddress, h.call.keyDigest(h.d), h.call.caller)
	if err != nil {
		return refused(ownerGoneRefusal(record.Outcome))
	}
	if response.Outcome == core.NotRun {
		r := refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "the first send of the key was not run; send it again")
		return refused(r.WithRetryAfter(1))
	}
	return result{response: &attempt.Response{
		Status: response.Status, ContentType: response.ContentType, Body: response.Body, PeerOutcome: response.Outcome, FromPeer: true,
	}}
}

// ownerGoneRefusal returns the refusal for a key whose process cannot be reached.
// outcome is the recorded outcome of the call.
func ownerGoneRefusal(outcome core.Outcome) *core.Refusal {
	r := &core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonOwnerGone, Outcome: core.Unknown, Message: "the host that holds the key cannot be asked; the call may have been run and is not run again"}
	if outcome == core.Run {
		r.Reason, r.Outcome, r.Message = core.ReasonAlreadyRun, core.Run, "the call was run; the host that has its answer cannot be asked"
	}
	return r
}

// forwardToIssuer forwards a call to the host that issued its key, which alone may run
// it.
func (h *callHandler) forwardToIssuer() result {
	h.call.keyChecked = false
	if h.call.received {
		return refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonLoop, "the key was issued by another host").WithOutcome(core.Unknown))
	}
	owner, ok := h.d.findHost(h.call.key.Host, h.call.key.Incarnation)
	if !ok {
		return refused(ownerGoneRefusal(core.Unknown))
	}
	r, err := h.forwardTo(owner)
	if err != nil {
		return refused(ownerGoneRefusal(core.Unknown))
	}
	return r
}

// findHost returns the host with the name and incarnation, unless it is gone.
func (d *Daemon) findHost(name string, incarnation int64) (member.Info, bool) {
	for _, m := range d.gossip.View().Members {
		if m.Host == name && m.Incarnation == incarnation && m.Status != member.Gone {
			return m, true
		}
	}
	return member.Info{}, false
}

// claimBody is the response about the call of a key, from the host that holds the key
// to another host.
type claimBody struct {
	Outcome     core.Outcome `json:"Outcome"`
	Status      int          `json:"Status"`
	ContentType string       `json:"ContentType,omitempty"`
	Body        []byte       `json:"Body,omitempty"`
}

func (d *Daemon) fetchClaim(ctx context.Context, address, digest, caller string) (claimBody, error) {
	var body claimBody
	err := d.getFromPeer(ctx, address, pathPeerClaims+digest+"?caller="+caller, &body)
	return body, err
}

// serveClaim reports the result of the call of a key that this process holds. It waits
// for a running call, until shortly before the peer's timeout.
func (d *Daemon) serveClaim(ctx *fasthttp.RequestCtx, digest string) {
	entry, ok := d.claims.Lookup(digest)
	if !ok {
		// An entry is removed only after a call that was not run, or when the
		// process ends, and a claim names the process. So the call was not run.
		writeJSON(ctx, fasthttp.StatusOK, claimBody{Outcome: core.NotRun, Status: fasthttp.StatusServiceUnavailable})
		return
	}
	select {
	case <-entry.Done():
	case <-d.clock.After(peerTimeout - time.Second):
		writeJSON(ctx, fasthttp.StatusOK, claimBodyOf(errorResponse(d, inProgressRefusal())))
		return
	}
	response := entry.Response()
	if response.Status == 0 && response.Outcome != core.NotRun {
		response = errorResponse(d, ownerGoneRefusal(response.Outcome))
	}
	writeJSON(ctx, fasthttp.StatusOK, claimBodyOf(response))
}

func claimBodyOf(response claim.Response) claimBody {
	return claimBody{Outcome: response.Outcome, Status: response.Status, ContentType: response.ContentType, Body: response.Body}
}

// errorResponse returns the stored form of a refusal.
func errorResponse(d *Daemon, r *core.Refusal) claim.Response {
	body, err := json.Marshal(d.errorBody("", r))
	if err != nil {
		body = nil
	}
	return claim.Response{Outcome: r.Outcome, Status: r.Status, ContentType: "application/json", Body: body}
}

// keyStateBody is the response to a caller about the state of a key.
type keyStateBody struct {
	Outcome core.Outcome `json:"Outcome"`
	State   string       `json:"State"`
	Host    string       `json:"Host,omitempty"`
}

// serveKeyState serves GET /v1/keys/KEY, with the service in the query: the state of
// the key and the outcome of its call.
func (d *Daemon) serveKeyState(ctx *fasthttp.RequestCtx, text string) {
	x := d.index()
	principal, ok := x.Authenticate(bearer(ctx))
	if !ok {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a caller's key as a bearer token"))
		return
	}
	key, err := claim.Parse(d.signer, text, d.clock.Now(), d.keyRetention(x))
	if err != nil {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "key: "+err.Error()))
		return
	}
	c := &call{key: key, workspace: principal.Workspace, serviceName: string(ctx.QueryArgs().Peek("service")), caller: principal.Name}
	writeJSON(ctx, fasthttp.StatusOK, d.keyState(c))
}

func (d *Daemon) keyState(c *call) keyStateBody {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	digest := c.keyDigest(d)
	if entry, ok := d.claims.Lookup(digest); ok {
		return entryState(entry, d.settings.Host)
	}
	if c.key.Issued {
		return d.issuedKeyState(ctx, c, digest)
	}
	record, found, err := claim.Read(ctx, d.store, digest)
	switch {
	case err != nil:
		return keyStateBody{State: "StoreDown"}
	case !found:
		return keyStateBody{Outcome: core.NotRun, State: "Unused"}
	case record.Outcome == core.Run:
		return keyStateBody{Outcome: core.Run, State: "Ended", Host: record.Host}
	default:
		return keyStateBody{State: "Claimed", Host: record.Host}
	}
}

func entryState(entry *claim.Entry, host string) keyStateBody {
	select {
	case <-entry.Done():
		return keyStateBody{Outcome: entry.Response().Outcome, State: "Ended", Host: host}
	default:
		return keyStateBody{State: "Running", Host: host}
	}
}

// issuedKeyState returns the state of an issued key that this process has no entry
// for.
func (d *Daemon) issuedKeyState(ctx context.Context, c *call, digest string) keyStateBody {
	if c.key.Host == d.settings.Host && c.key.Incarnation == d.incarnation {
		return keyStateBody{Outcome: core.NotRun, State: "Unused", Host: c.key.Host}
	}
	owner, ok := d.findHost(c.key.Host, c.key.Incarnation)
	if !ok {
		return keyStateBody{State: "OwnerGone", Host: c.key.Host}
	}
	body, err := d.fetchClaim(ctx, owner.PeerAddress, digest, c.caller)
	if err != nil {
		return keyStateBody{State: "OwnerGone", Host: c.key.Host}
	}
	return keyStateBody{Outcome: body.Outcome, State: "Ended", Host: c.key.Host}
}

// errPeerStatus is the error of a request that a peer answered with another status
// than 200.
var errPeerStatus = errors.New("the peer refused the request")
