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

// flight is one call while it runs. release ends it, exactly once.
type flight struct {
	d       *Daemon
	call    *call
	ctx     context.Context
	release func()
}

// run answers the call, in the response or, for a stream, in the writer that
// the response has been given.
func (f *flight) run(ctx *fasthttp.RequestCtx) {
	if f.call.hasKey() {
		f.runKeyed(ctx)
		return
	}
	f.finish(ctx, f.serve())
}

// result is how a call ended: a refusal, a whole answer, or a stream to relay.
type result struct {
	refusal *core.Refusal
	answer  *attempt.Response
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
func (f *flight) finish(ctx *fasthttp.RequestCtx, r result) {
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
func (f *flight) serve() result {
	return f.follow(f.d.chooseRegion(f.ctx, f.call))
}

// follow carries out a decision on the region.
func (f *flight) follow(decision region.Decision) result {
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
	local := f.serveHere()
	if r := local.refusal; r != nil && f.mayGoElsewhere(r) {
		if other, ok := f.d.fallbackRegion(f.ctx, f.call); ok {
			return f.forward(other)
		}
	}
	return local
}

// mayGoElsewhere reports whether a call that was refused here was not run and
// may be sent to another region.
func (f *flight) mayGoElsewhere(r *core.Refusal) bool {
	wants := r.Reason == core.ReasonNoTarget || r.Reason == core.ReasonBudget || r.Reason == core.ReasonOverloaded
	return r.Outcome == core.NotRun && wants && !f.call.received && f.ctx.Err() == nil
}

const maxAttempts = 3

// serveHere runs the call at targets of the own region.
func (f *flight) serveHere() result {
	var avoid []string
	extra := dispatch.FirstAttempt
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
		placed, refusal := f.d.placer.Acquire(f.ctx, f.d.settings.Host, f.call.request(f.d, extra, avoid))
		if refusal != nil {
			if n > 0 {
				return last
			}
			return refused(refusal)
		}
		r, err := f.attempt(placed)
		if err == nil {
			return r
		}
		f.learn(placed, err)
		last = refused(refusalOf(err))
		if !f.mayTryAgain(err) {
			return last
		}
		avoid = append(avoid, placed.Target.Name)
		extra = dispatch.Retry
	}
	return last
}

// mayTryAgain reports whether another attempt can do no harm.
func (f *flight) mayTryAgain(err error) bool {
	kind, _ := failure.KindOf[attempt.Kind](err)
	if f.ctx.Err() != nil || kind == attempt.Cancelled || kind == attempt.TooLarge {
		return false
	}
	return kind.Outcome() == core.NotRun || f.call.repeatable
}

// learn tells the duties what an attempt has shown of its target.
func (f *flight) learn(placed placer.Grant, err error) {
	ctx := context.WithoutCancel(f.ctx)
	name := placed.Target.Name
	switch kind, _ := failure.KindOf[attempt.Kind](err); kind {
	case attempt.Unreached:
		f.d.dispatcher.SetTarget(ctx, name, dispatch.TargetDown)
	case attempt.Leaving:
		f.d.dispatcher.SetTarget(ctx, name, dispatch.TargetLeaving)
		f.d.postTargetLeaving(name)
	case attempt.Lost:
		if !f.d.reachable(ctx, placed.Target.Address) {
			f.d.dispatcher.SetTarget(ctx, name, dispatch.TargetDown)
			f.suspect(ctx, name)
		}
	case attempt.Refused, attempt.Mismatched, attempt.Cancelled, attempt.TooLarge:
	}
}

// suspect notes, here and at all hosts, that a target died while it ran the
// request.
func (f *flight) suspect(ctx context.Context, target string) {
	const sameDeath = 10 * time.Second
	moment := f.d.clock.Now().Truncate(sameDeath).Format(time.RFC3339)
	evidence := quarantine.Evidence{Digest: f.call.digest(f.d), Death: target + "@" + moment}
	f.d.dispatcher.AddEvidence(ctx, evidence)
	f.d.postEvidence(evidence)
	f.d.log.Info("A target died while it ran a request.", "Target", target, "Digest", evidence.Digest[:12])
}

// attempt runs the call at one target. The slot is released by the end of the
// call, or here when there is none to relay.
func (f *flight) attempt(placed placer.Grant) (result, error) {
	if f.call.stream {
		return f.openAny(placed)
	}
	defer f.d.placer.Release(f.ctx, placed)
	answer, err := f.d.attempts.Do(f.ctx, placed.Target.Address, f.call.attempt(f.d), f.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		f.cancelWork(placed.Target.Address)
		return result{}, err
	}
	if answer.HasLoad {
		f.d.dispatcher.ReportLoad(placed.Target.Name, answer.Load)
	}
	return result{answer: &answer, target: placed.Target.Name, region: f.d.settings.Region}, nil
}

// cancelWork tells a model engine to stop what nobody waits for any more.
func (f *flight) cancelWork(address string) {
	if f.call.service.Kind != config.KindModel {
		return
	}
	id := f.call.id
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		f.d.attempts.Cancel(ctx, address, id)
	}()
}

const cancelTimeout = time.Second

// fallbackRegion returns a region for a call that has found no room here.
func (d *Daemon) fallbackRegion(ctx context.Context, c *call) (string, bool) {
	return region.Fallback(d.regionInput(ctx, c))
}
