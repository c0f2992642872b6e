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

// runKeyed answers a call that must take effect at most once. It runs only at
// the one process that holds the claim of its key; all other processes ask
// that one.
func (f *flight) runKeyed(ctx *fasthttp.RequestCtx) {
	key := f.call.key
	self := f.d.settings.Host
	switch {
	case f.call.issuedHere:
		// Another host holds the key and sends its only attempt here.
		f.runSpent(ctx)
	case !key.Issued:
		f.runChosen(ctx)
	case key.Host == self && key.Incarnation == f.d.incarnation:
		f.runOwn(ctx, nil)
	default:
		f.finish(ctx, f.askIssuer())
	}
}

// runSpent runs a call whose key the issuing host has spent for this one
// request. A copy of the request is not run.
func (f *flight) runSpent(ctx *fasthttp.RequestCtx) {
	f.call.claimed = true
	digest := f.d.digests.Digest([]byte("spent"), []byte(f.call.key.Text), []byte(f.call.id))
	entry, verdict := f.d.book.Begin(f.d.clock.Now(), digest, "")
	if verdict != claim.Fresh {
		f.finish(ctx, refused(inProgress()))
		return
	}
	r := f.serveHere()
	f.d.book.Finish(digest, entry, claim.Response{Outcome: r.outcome()})
	f.finish(ctx, r)
}

// runChosen claims a key that the caller chose. A call that another region must
// serve is claimed there.
func (f *flight) runChosen(ctx *fasthttp.RequestCtx) {
	decision := f.d.chooseRegion(f.ctx, f.call)
	_, begun := f.d.book.Lookup(f.call.keyDigest(f.d))
	if decision.Verdict == region.Serve || begun {
		f.runOwn(ctx, f.claimChosen)
		return
	}
	f.finish(ctx, f.follow(decision))
}

// runOwn runs a call whose key this process may spend, or answers it from
// memory. acquire makes the claim that other processes see, if there must be
// one.
func (f *flight) runOwn(ctx *fasthttp.RequestCtx, acquire func() (claim.Result, *result)) {
	digest := f.call.keyDigest(f.d)
	entry, verdict := f.d.book.Begin(f.d.clock.Now(), digest, f.call.digest(f.d))
	f.call.claimed = verdict != claim.Full
	switch verdict {
	case claim.Known:
		f.finish(ctx, f.replay(ctx, entry))
		return
	case claim.Mismatch:
		f.finish(ctx, refused(refusal(fasthttp.StatusConflict, core.ReasonKeyReused, "the key belongs to another request")))
		return
	case claim.Full:
		f.finish(ctx, refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "too many keys are in use").WithRetryAfter(1)))
		return
	case claim.Fresh:
	}
	held := claim.Result{}
	if acquire != nil {
		// Until the claim is made, another process may have run the call.
		f.call.claimed = false
		var other *result
		if held, other = acquire(); other != nil {
			f.d.book.Forget(digest, entry, f.answerElsewhere(*other))
			f.finish(ctx, *other)
			return
		}
		f.call.claimed = true
	}
	r := f.serveSpent()
	f.d.book.Finish(digest, entry, answerOf(r))
	if acquire != nil {
		f.closeClaim(digest, held, r.outcome())
	}
	f.finish(ctx, r)
}

// serveSpent runs a call that this process holds the key of: here, or for an
// issued key at a host of another region.
func (f *flight) serveSpent() result {
	if f.call.key.Issued {
		return f.serve()
	}
	return f.serveHere()
}

func (f *flight) closeClaim(digest string, held claim.Result, outcome core.Outcome) {
	switch outcome {
	case core.NotRun:
		f.d.committer.Release(digest, held)
	case core.Run:
		record := held.Record
		record.Outcome = core.Run
		f.d.committer.Finish(digest, record)
	case core.Unknown:
	}
}

// answerOf returns what is remembered of a call.
func answerOf(r result) claim.Response {
	if r.answer != nil {
		return claim.Response{Outcome: r.outcome(), Status: r.answer.Status, ContentType: r.answer.ContentType, Body: r.answer.Body}
	}
	return claim.Response{Outcome: r.outcome()}
}

// answerElsewhere returns what those who wait here for a key are told when
// another process has it, or when that cannot be found out.
func (f *flight) answerElsewhere(r result) claim.Response {
	if r.refusal != nil {
		r.refusal = f.call.settled(r.refusal)
	}
	return answerOf(r)
}

// replay waits for the first send of a call and gives its answer again.
func (f *flight) replay(ctx *fasthttp.RequestCtx, entry *claim.Entry) result {
	select {
	case <-entry.Done():
	case <-f.ctx.Done():
		return refused(inProgress())
	}
	return f.repeat(ctx, entry.Response())
}

func inProgress() *core.Refusal {
	return &core.Refusal{
		Status: fasthttp.StatusConflict, Reason: core.ReasonKeyInProgress, Outcome: core.Unknown,
		Message: "the first send of the key has not ended; ask again with the same key", RetryAfter: 1,
	}
}

// repeat turns what is remembered of a call into its answer.
func (f *flight) repeat(ctx *fasthttp.RequestCtx, a claim.Response) result {
	f.d.metrics.add(countReplays, 1)
	switch {
	case a.Outcome == core.Run && a.Status > 0:
		ctx.Response.Header.Set(headerReplay, "1")
		return result{answer: &attempt.Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body, PeerOutcome: core.Run, FromPeer: true}}
	case a.Outcome == core.Run:
		return refused(&core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonAlreadyRun, Outcome: core.Run, Message: "the call was run; its answer is no longer kept"})
	case a.Outcome == core.NotRun:
		return refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "the first send of the key was not run; send it again").WithRetryAfter(1))
	default:
		return refused(&core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonTargetLost, Outcome: core.Unknown, Message: "the call may have been run; it is not run again"})
	}
}

// claimChosen makes the claim of a chosen key. The second result is set when
// the call is not to be run here.
func (f *flight) claimChosen() (claim.Result, *result) {
	record := claim.Record{
		Host: f.d.settings.Host, Incarnation: f.d.incarnation, Attempt: core.NewID(), Body: f.call.digest(f.d),
	}
	out, err := f.d.committer.Claim(f.ctx, f.call.keyDigest(f.d), record, f.d.clock.Now().Add(claimTimeout))
	if err != nil {
		r := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonStoreDown, "the key could not be claimed: "+err.Error()).WithRetryAfter(1))
		return claim.Result{}, &r
	}
	if out.Owned {
		return out, nil
	}
	f.call.claimed = true
	if out.Record.Host == record.Host && out.Record.Incarnation == record.Incarnation {
		// It was left by an earlier send that was not run, and is being deleted.
		r := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonStoreDown, "an earlier claim of the key is being withdrawn").WithRetryAfter(1))
		return claim.Result{}, &r
	}
	r := f.askOwner(out.Record)
	return claim.Result{}, &r
}

// askOwner answers a call whose key another process has claimed.
func (f *flight) askOwner(record claim.Record) result {
	if record.Body != f.call.digest(f.d) {
		return refused(refusal(fasthttp.StatusConflict, core.ReasonKeyReused, "the key belongs to another request"))
	}
	owner, ok := f.d.findHost(record.Host, record.Incarnation)
	if !ok {
		return refused(ownerGone(record.Outcome))
	}
	answer, err := f.d.fetchClaim(f.ctx, owner.PeerAddress, f.call.keyDigest(f.d), f.call.caller)
	if err != nil {
		return refused(ownerGone(record.Outcome))
	}
	if answer.Outcome == core.NotRun {
		r := refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "the first send of the key was not run; send it again")
		return refused(r.WithRetryAfter(1))
	}
	return result{answer: &attempt.Response{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, PeerOutcome: answer.Outcome, FromPeer: true,
	}}
}

// ownerGone answers for a process that cannot be asked. outcome is what the
// store says of its call.
func ownerGone(outcome core.Outcome) *core.Refusal {
	r := &core.Refusal{Status: fasthttp.StatusConflict, Reason: core.ReasonOwnerGone, Outcome: core.Unknown, Message: "the host that holds the key cannot be asked; the call may have been run and is not run again"}
	if outcome == core.Run {
		r.Reason, r.Outcome, r.Message = core.ReasonAlreadyRun, core.Run, "the call was run; the host that has its answer cannot be asked"
	}
	return r
}

// askIssuer sends a call to the host that issued its key, the only one that
// may run it.
func (f *flight) askIssuer() result {
	f.call.claimed = false
	if f.call.received {
		return refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonLoop, "the key was issued by another host").WithOutcome(core.Unknown))
	}
	owner, ok := f.d.findHost(f.call.key.Host, f.call.key.Incarnation)
	if !ok {
		return refused(ownerGone(core.Unknown))
	}
	r, err := f.sendTo(owner)
	if err != nil {
		return refused(ownerGone(core.Unknown))
	}
	return r
}

// findHost returns a host if the given incarnation of it has not gone.
func (d *Daemon) findHost(name string, incarnation int64) (member.Info, bool) {
	for _, m := range d.gossip.View().Members {
		if m.Host == name && m.Incarnation == incarnation && m.Status != member.Gone {
			return m, true
		}
	}
	return member.Info{}, false
}

// claimBody is what a host tells another of a key.
type claimBody struct {
	Outcome     core.Outcome `json:"Outcome"`
	Status      int          `json:"Status"`
	ContentType string       `json:"ContentType,omitempty"`
	Body        []byte       `json:"Body,omitempty"`
}

func (d *Daemon) fetchClaim(ctx context.Context, address, digest, caller string) (claimBody, error) {
	var body claimBody
	err := d.askPeer(ctx, address, pathPeerClaims+digest+"?caller="+caller, &body)
	return body, err
}

// serveClaim tells another host what became of a key that this process holds.
func (d *Daemon) serveClaim(ctx *fasthttp.RequestCtx, digest string) {
	entry, ok := d.book.Lookup(digest)
	if !ok {
		// The entry is forgotten only after a call that was not run, or with
		// the process, and a claim names the process.
		writeJSON(ctx, fasthttp.StatusOK, claimBody{Outcome: core.NotRun, Status: fasthttp.StatusServiceUnavailable})
		return
	}
	select {
	case <-entry.Done():
	case <-d.clock.After(peerTimeout - time.Second):
		writeJSON(ctx, fasthttp.StatusOK, claimBodyOf(errorAnswer(d, inProgress())))
		return
	}
	a := entry.Response()
	if a.Status == 0 && a.Outcome != core.NotRun {
		a = errorAnswer(d, ownerGone(a.Outcome))
	}
	writeJSON(ctx, fasthttp.StatusOK, claimBodyOf(a))
}

func claimBodyOf(a claim.Response) claimBody {
	return claimBody{Outcome: a.Outcome, Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

func errorAnswer(d *Daemon, r *core.Refusal) claim.Response {
	body, err := json.Marshal(d.errorBody("", r))
	if err != nil {
		body = nil
	}
	return claim.Response{Outcome: r.Outcome, Status: r.Status, ContentType: "application/json", Body: body}
}

type keyStateBody struct {
	Outcome core.Outcome `json:"Outcome"`
	State   string       `json:"State"`
	Host    string       `json:"Host,omitempty"`
}

// serveKeyState tells a caller what became of a key: GET /v1/keys/KEY with the
// service in the query.
func (d *Daemon) serveKeyState(ctx *fasthttp.RequestCtx, text string) {
	x := d.index()
	principal, ok := x.Authenticate(bearer(ctx))
	if !ok {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "Authorization: expected a caller's key as a bearer token"))
		return
	}
	key, err := claim.Parse(d.sealer, text, d.clock.Now(), d.retention(x))
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
	if entry, ok := d.book.Lookup(digest); ok {
		return localState(entry, d.settings.Host)
	}
	if c.key.Issued {
		return d.issuedState(ctx, c, digest)
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

func localState(entry *claim.Entry, host string) keyStateBody {
	select {
	case <-entry.Done():
		return keyStateBody{Outcome: entry.Response().Outcome, State: "Ended", Host: host}
	default:
		return keyStateBody{State: "Running", Host: host}
	}
}

func (d *Daemon) issuedState(ctx context.Context, c *call, digest string) keyStateBody {
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

var errPeer = errors.New("the peer refused")
