package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
	"github.com/sequoiarack/sequoiarack/internal/region"
	"github.com/sequoiarack/sequoiarack/internal/retry"
)

// callHandler runs one call. release must be called exactly once, when the call
// has ended.
type callHandler struct {
	d       *Daemon
	call    *call
	ctx     context.Context
	release func()
}

// run runs the call and writes its response. A stream is written after run has
// returned, by the relayReader that is the body of the response.
func (h *callHandler) run(ctx *fasthttp.RequestCtx) {
	if h.call.hasKey() {
		h.runKeyed(ctx)
		return
	}
	h.finish(ctx, h.serve())
}

// result is how a call ended: with a refusal, a complete response, or a stream to
// relay.
type result struct {
	refusal  *core.Refusal
	response *attempt.Response
	stream   *openStream
	target   string // name of the target or host that responded
	region   string // region of that target or host
}

func refused(r *core.Refusal) result { return result{refusal: r} }

// outcome returns whether the call was run, as far as is known.
func (r result) outcome() core.Outcome {
	switch {
	case r.refusal != nil:
		return r.refusal.Outcome
	case r.response != nil:
		return r.response.Outcome()
	default:
		return core.Run
	}
}

// finish writes the result to the caller. It ends the call, except for a stream,
// which ends with its relay.
func (h *callHandler) finish(ctx *fasthttp.RequestCtx, r result) {
	if r.target != "" {
		ctx.Response.Header.Set(core.HeaderTarget, r.target)
		ctx.Response.Header.Set(core.HeaderRegion, r.region)
	}
	if r.stream != nil {
		h.relay(ctx, r.stream)
		return
	}
	if r.refusal != nil {
		h.d.writeRefusal(ctx, h.call, r.refusal)
	} else {
		h.d.writeResponse(ctx, h.call, r.response)
	}
	h.release()
}

// serve runs the call in this region or forwards it to another one.
func (h *callHandler) serve() result {
	return h.serveDecision(h.d.chooseRegion(h.ctx, h.call))
}

// serveDecision runs, forwards or refuses the call as decided. A call that finds
// no capacity in this region may still be forwarded.
func (h *callHandler) serveDecision(decision region.Decision) result {
	switch decision.Verdict {
	case region.Forward:
		return h.forward(decision.Region)
	case region.Refuse:
		status := fasthttp.StatusServiceUnavailable
		message := "no region can serve the call now"
		if decision.Reason == core.ReasonResidency {
			status, message = fasthttp.StatusForbidden, "no region is allowed to serve the call"
		}
		return refused(refusal(status, decision.Reason, message))
	case region.Serve:
	}
	local := h.serveLocally()
	if r := local.refusal; r != nil && h.mayFallBack(r) {
		if other, ok := h.d.fallbackRegion(h.ctx, h.call); ok {
			return h.forward(other)
		}
	}
	return local
}

// mayFallBack reports whether a call that was refused in this region was not run
// and may be sent to another one.
func (h *callHandler) mayFallBack(r *core.Refusal) bool {
	noCapacity := r.Reason == core.ReasonNoTarget || r.Reason == core.ReasonBudget || r.Reason == core.ReasonOverloaded
	return r.Outcome == core.NotRun && noCapacity && !h.call.received && h.ctx.Err() == nil
}

const maxAttempts = 3

// serveLocally runs the call at targets of this region, with up to maxAttempts
// attempts. Each avoids the targets that have failed.
func (h *callHandler) serveLocally() result {
	var avoid []string
	kind := dispatch.FirstAttempt
	last := result{}
	for n := range maxAttempts {
		if n > 0 {
			h.d.metrics.add(countRetries, 1)
			select {
			case <-h.d.clock.After(retry.Backoff(n, rand.Float64())):
			case <-h.ctx.Done():
				return last
			}
		}
		grant, refusal := h.d.placerClient.Acquire(h.ctx, h.d.settings.Host, h.call.placementRequest(h.d, kind, avoid))
		if refusal != nil {
			if n > 0 {
				return last
			}
			return refused(refusal)
		}
		r, err := h.attempt(grant)
		if err == nil {
			return r
		}
		h.recordFailure(grant, err)
		last = refused(refusalOf(err))
		if !h.mayRetry(err) {
			return last
		}
		avoid = append(avoid, grant.Target.Name)
		kind = dispatch.Retry
	}
	return last
}

// mayRetry reports whether the call may be attempted again after err: it was not
// run, or it is repeatable. A cancelled call, or one whose response is too large,
// is not retried.
func (h *callHandler) mayRetry(err error) bool {
	kind, _ := failure.KindOf[attempt.Kind](err)
	if h.ctx.Err() != nil || kind == attempt.Cancelled || kind == attempt.TooLarge {
		return false
	}
	return kind.Outcome() == core.NotRun || h.call.repeatable
}

// recordFailure updates the state of a target after a failed attempt: it is down,
// is leaving, or has crashed while it ran the call.
func (h *callHandler) recordFailure(grant placer.Grant, err error) {
	ctx := context.WithoutCancel(h.ctx)
	name := grant.Target.Name
	switch kind, _ := failure.KindOf[attempt.Kind](err); kind {
	case attempt.Unreached:
		h.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetDown)
	case attempt.Leaving:
		h.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetLeaving)
		h.d.postTargetLeaving(name)
	case attempt.Lost:
		if !h.d.reachable(ctx, grant.Target.Address) {
			h.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetDown)
			h.recordCrash(ctx, name)
		}
	case attempt.Refused, attempt.Mismatched, attempt.Cancelled, attempt.TooLarge:
	}
}

// recordCrash reports, to this host and all others, that a target crashed while it
// ran the request. All reports of a target in the same 10 s window count as one
// crash.
func (h *callHandler) recordCrash(ctx context.Context, target string) {
	const crashWindow = 10 * time.Second
	crashedAt := h.d.clock.Now().Truncate(crashWindow).Format(time.RFC3339)
	report := quarantine.CrashReport{Digest: h.call.requestDigest(h.d), CrashID: target + "@" + crashedAt}
	h.d.dispatcher.AddCrashReport(ctx, report)
	h.d.postCrashReport(report)
	h.d.log.Info("A target crashed while it ran a request.", "Target", target, "Digest", report.Digest[:12])
}

// attempt runs the call at one target. The slot is released before it returns, or
// at the end of the stream if there is one to relay.
func (h *callHandler) attempt(grant placer.Grant) (result, error) {
	if h.call.stream {
		return h.openHedged(grant)
	}
	defer h.d.placerClient.Release(h.ctx, grant)
	response, err := h.d.targetClient.Do(h.ctx, grant.Target.Address, h.call.attemptCall(h.d), h.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		h.cancelModelCall(grant.Target.Address)
		return result{}, err
	}
	if response.HasLoad {
		h.d.dispatcher.ReportLoad(grant.Target.Name, response.Load)
	}
	return result{response: &response, target: grant.Target.Name, region: h.d.settings.Region}, nil
}

// cancelModelCall asks a model engine to stop generating for the call, in the
// background.
func (h *callHandler) cancelModelCall(address string) {
	if h.call.service.Kind != config.KindModel {
		return
	}
	id := h.call.id
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		h.d.targetClient.Cancel(ctx, address, id)
	}()
}

const cancelTimeout = time.Second

// fallbackRegion returns another region for a call that found no capacity in this
// one.
func (d *Daemon) fallbackRegion(ctx context.Context, c *call) (string, bool) {
	return region.Fallback(d.regionInput(ctx, c))
}
