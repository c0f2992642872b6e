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

// callHandler is one call while it runs. release ends it, exactly once.
type callHandler struct {
	d       *Daemon
	call    *call
	ctx     context.Context
	release func()
}

// run answers the call, in the response or, for a stream, in the writer that
// the response has been given.
func (f *callHandler) run(ctx *fasthttp.RequestCtx) {
	if f.call.hasKey() {
		f.runKeyed(ctx)
		return
	}
	f.finish(ctx, f.serve())
}

// result is how a call ended: a refusal, a whole answer, or a stream to relay.
type result struct {
	refusal *core.Refusal
	answer  *attempt.Answer
	stream  *openStream
	target  string // name of the target or host that answered
	region  string // where it is
}

func refused(r *core.Refusal) result { return result{refusal: r} }

// outcome tells what is known of the call.
func (r result) outcome() core.Outcome {
	switch {
	case r.refusal != nil:
		return r.refusal.Outcome
	case r.answer != nil:
		return r.answer.Outcome()
	default:
		return core.Run
	}
}

// finish gives the result to the caller.
func (f *callHandler) finish(ctx *fasthttp.RequestCtx, r result) {
	if r.target != "" {
		ctx.Response.Header.Set(core.HeaderTarget, r.target)
		ctx.Response.Header.Set(core.HeaderRegion, r.region)
	}
	if r.stream != nil {
		f.relay(ctx, r.stream)
		return
	}
	if r.refusal != nil {
		f.d.writeRefusal(ctx, f.call, r.refusal)
	} else {
		f.d.writeAnswer(ctx, f.call, *r.answer)
	}
	f.release()
}

// serve places the call here or in another region and runs it.
func (f *callHandler) serve() result {
	return f.serveDecision(f.d.chooseRegion(f.ctx, f.call))
}

// serveDecision carries out a decision on the region.
func (f *callHandler) serveDecision(decision region.Decision) result {
	switch decision.Verdict {
	case region.Forward:
		return f.forward(decision.Region)
	case region.Refuse:
		status := fasthttp.StatusServiceUnavailable
		message := "no region can serve the call now"
		if decision.Reason == core.ReasonResidency {
			status, message = fasthttp.StatusForbidden, "no region is allowed to serve the call"
		}
		return refused(refusal(status, decision.Reason, message))
	case region.Serve:
	}
	local := f.serveLocally()
	if r := local.refusal; r != nil && f.mayFallBack(r) {
		if other, ok := f.d.fallbackRegion(f.ctx, f.call); ok {
			return f.forward(other)
		}
	}
	return local
}

// mayFallBack reports whether a call that was refused here was not run and
// may be sent to another region.
func (f *callHandler) mayFallBack(r *core.Refusal) bool {
	noCapacity := r.Reason == core.ReasonNoTarget || r.Reason == core.ReasonBudget || r.Reason == core.ReasonOverloaded
	return r.Outcome == core.NotRun && noCapacity && !f.call.received && f.ctx.Err() == nil
}

const maxAttempts = 3

// serveLocally runs the call at targets of the own region.
func (f *callHandler) serveLocally() result {
	var avoid []string
	kind := dispatch.FirstAttempt
	last := result{}
	for n := range maxAttempts {
		if n > 0 {
			f.d.metrics.add(countRetries, 1)
			select {
			case <-f.d.clock.After(retry.Backoff(n, rand.Float64())):
			case <-f.ctx.Done():
				return last
			}
		}
		grant, refusal := f.d.placerClient.Acquire(f.ctx, f.d.settings.Host, f.call.placementRequest(f.d, kind, avoid))
		if refusal != nil {
			if n > 0 {
				return last
			}
			return refused(refusal)
		}
		r, err := f.attempt(grant)
		if err == nil {
			return r
		}
		f.recordFailure(grant, err)
		last = refused(refusalOf(err))
		if !f.mayRetry(err) {
			return last
		}
		avoid = append(avoid, grant.Target.Name)
		kind = dispatch.Retry
	}
	return last
}

// mayRetry reports whether another attempt can do no harm.
func (f *callHandler) mayRetry(err error) bool {
	kind, _ := failure.KindOf[attempt.Kind](err)
	if f.ctx.Err() != nil || kind == attempt.Cancelled || kind == attempt.TooLarge {
		return false
	}
	return kind.Outcome() == core.NotRun || f.call.repeatable
}

// recordFailure tells the duties what an attempt has shown of its target.
func (f *callHandler) recordFailure(grant placer.Grant, err error) {
	ctx := context.WithoutCancel(f.ctx)
	name := grant.Target.Name
	switch kind, _ := failure.KindOf[attempt.Kind](err); kind {
	case attempt.Unreached:
		f.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetDown)
	case attempt.Leaving:
		f.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetLeaving)
		f.d.postTargetLeaving(name)
	case attempt.Lost:
		if !f.d.reachable(ctx, grant.Target.Address) {
			f.d.dispatcher.SetTargetState(ctx, name, dispatch.TargetDown)
			f.recordDeath(ctx, name)
		}
	case attempt.Refused, attempt.Crossed, attempt.Cancelled, attempt.TooLarge:
	}
}

// recordDeath notes, here and at all hosts, that a target died while it ran the
// request.
func (f *callHandler) recordDeath(ctx context.Context, target string) {
	const deathWindow = 10 * time.Second
	diedAt := f.d.clock.Now().Truncate(deathWindow).Format(time.RFC3339)
	evidence := quarantine.Evidence{Digest: f.call.requestDigest(f.d), Death: target + "@" + diedAt}
	f.d.dispatcher.AddCrashReport(ctx, evidence)
	f.d.postEvidence(evidence)
	f.d.log.Info("A target died while it ran a request.", "Target", target, "Digest", evidence.Digest[:12])
}

// attempt runs the call at one target. The slot is released by the end of the
// call, or here when there is none to relay.
func (f *callHandler) attempt(grant placer.Grant) (result, error) {
	if f.call.stream {
		return f.openHedged(grant)
	}
	defer f.d.placerClient.Release(f.ctx, grant)
	answer, err := f.d.targetClient.Whole(f.ctx, grant.Target.Address, f.call.attemptCall(f.d), f.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		f.cancelModelCall(grant.Target.Address)
		return result{}, err
	}
	if answer.HasLoad {
		f.d.dispatcher.ReportLoad(grant.Target.Name, answer.Load)
	}
	return result{answer: &answer, target: grant.Target.Name, region: f.d.settings.Region}, nil
}

// cancelModelCall tells a model engine to stop what nobody waits for any more.
func (f *callHandler) cancelModelCall(address string) {
	if f.call.service.Kind != config.KindModel {
		return
	}
	id := f.call.id
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		f.d.targetClient.Cancel(ctx, address, id)
	}()
}

const cancelTimeout = time.Second

// fallbackRegion returns a region for a call that has found no room here.
func (d *Daemon) fallbackRegion(ctx context.Context, c *call) (string, bool) {
	return region.Fallback(d.regionInput(ctx, c))
}
