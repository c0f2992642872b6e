package daemon

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/placer"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

// openStream is a stream whose first event has been read. release cancels its
// request and frees the target's slot.
type openStream struct {
	stream     *attempt.Stream
	firstEvent []byte
	ended      bool         // firstEvent is the last one
	grant      placer.Grant // zero for a stream from another host
	release    func()
}

// streamAttempt is one attempt to open a stream for a call, hedged or not.
type streamAttempt struct {
	grant   placer.Grant
	cancel  context.CancelFunc
	started time.Time
}

// attemptResult is how an attempt ended: with a stream that has sent its first
// event, a response that is no stream, or an error.
type attemptResult struct {
	attempt  *streamAttempt
	open     *openStream
	response *attempt.Response
	err      error
}

// openHedged opens a stream at the granted target and, if its first event is
// late, also at a second one. It returns the attempt that responds first and
// cancels the other. When all fail, it returns the error of the first target.
func (h *callHandler) openHedged(grant placer.Grant) (result, error) {
	results := make(chan attemptResult, 2)
	attempts := []*streamAttempt{h.startAttempt(grant, results)}
	hedgeTimer := h.d.clock.After(h.hedgeDelay())
	var primaryErr error
	for running := 1; running > 0; {
		select {
		case <-hedgeTimer:
			h.d.placerClient.ObserveSpeed(grant, straggler.FirstToken, h.d.clock.Now().Sub(attempts[0].started))
			if other, ok := h.acquireHedge(grant); ok {
				attempts = append(attempts, h.startAttempt(other, results))
				running++
			}
			hedgeTimer = nil
		case res := <-results:
			running--
			if res.err != nil {
				h.discard(res.attempt, res.err)
				if res.attempt != attempts[0] {
					h.recordFailure(res.attempt.grant, res.err)
				} else {
					primaryErr = res.err
				}
				continue
			}
			h.discardOthers(attempts, res, running, results)
			return h.winnerResult(res), nil
		}
	}
	return result{}, primaryErr
}

// startAttempt opens a stream in a goroutine, which sends its result to results.
func (h *callHandler) startAttempt(grant placer.Grant, results chan<- attemptResult) *streamAttempt {
	ctx, cancel := context.WithCancel(h.ctx)
	a := &streamAttempt{grant: grant, cancel: cancel, started: h.d.clock.Now()}
	go func() { results <- h.openStreamAt(ctx, a) }()
	return a
}

// openStreamAt opens a stream at the attempt's target and reads its first event.
func (h *callHandler) openStreamAt(ctx context.Context, a *streamAttempt) attemptResult {
	stream, response, err := h.d.targetClient.Stream(ctx, a.grant.Target.Address, h.call.attemptCall(h.d), h.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		return attemptResult{attempt: a, err: err}
	}
	if response != nil {
		return attemptResult{attempt: a, response: response}
	}
	event, ended, err := stream.Next(ctx)
	if err != nil {
		stream.Close()
		return attemptResult{attempt: a, err: err}
	}
	if load, ok := stream.Load(); ok {
		h.d.dispatcher.ReportLoad(a.grant.Target.Name, load)
	}
	took := h.d.clock.Now().Sub(a.started)
	h.d.hedging.observe(h.call.serviceName, took)
	h.d.placerClient.ObserveSpeed(a.grant, straggler.FirstToken, took)
	return attemptResult{attempt: a, open: &openStream{stream: stream, firstEvent: event, ended: ended, grant: a.grant}}
}

// discard cancels an attempt that failed with err, or that lost to another one
// when err is nil, and releases its slot. A model engine is asked to stop generating
// unless it is known not to have run the call.
func (h *callHandler) discard(a *streamAttempt, err error) {
	a.cancel()
	h.d.placerClient.Release(h.ctx, a.grant)
	if kind, ok := failure.KindOf[attempt.Kind](err); !ok || kind.Outcome() != core.NotRun {
		h.cancelModelCall(a.grant.Target.Address)
	}
}

// discardOthers cancels the attempts that are still running and closes a stream
// that one of them opens meanwhile.
func (h *callHandler) discardOthers(attempts []*streamAttempt, winner attemptResult, running int, results <-chan attemptResult) {
	for _, a := range attempts {
		if a != winner.attempt && running > 0 {
			h.discard(a, nil)
		}
	}
	if winner.attempt != attempts[0] {
		h.d.metrics.add(countHedgeWins, 1)
	}
	go func() {
		for range running {
			res := <-results
			if res.open != nil {
				res.open.stream.Close()
			}
			if res.response != nil {
				res.response.Release()
			}
		}
	}()
}

// winnerResult returns the result of the winning attempt. Its slot is released
// at once, or at the end of the stream if there is one.
func (h *callHandler) winnerResult(winner attemptResult) result {
	a := winner.attempt
	release := func() {
		a.cancel()
		h.d.placerClient.Release(h.ctx, a.grant)
	}
	r := result{response: winner.response, stream: winner.open, target: a.grant.Target.Name, region: h.d.settings.Region}
	if winner.open == nil {
		release()
		return r
	}
	winner.open.release = release
	return r
}

// hedgeDelay returns how long to wait for the first event before a second target
// is tried.
func (h *callHandler) hedgeDelay() time.Duration {
	return h.d.hedging.delay(h.call.serviceName, time.Duration(h.call.service.FirstTokenBudgetMs)*time.Millisecond)
}

// acquireHedge requests a second target. The call doesn't wait for one: its
// deadline is now. A call that must run isolated is not hedged.
func (h *callHandler) acquireHedge(grant placer.Grant) (placer.Grant, bool) {
	if h.ctx.Err() != nil || grant.Isolated {
		return placer.Grant{}, false
	}
	request := h.call.placementRequest(h.d, dispatch.Hedge, []string{grant.Target.Name})
	request.Call.Deadline = h.d.clock.Now()
	other, refusal := h.d.placerClient.Acquire(h.ctx, h.d.settings.Host, request)
	if refusal != nil {
		return placer.Grant{}, false
	}
	h.d.metrics.add(countHedges, 1)
	return other, true
}

// sampleInterval is the minimum time between two samples of a stream's speed.
const sampleInterval = 300 * time.Millisecond

// relay forwards a stream to the caller, event by event.
func (h *callHandler) relay(ctx *fasthttp.RequestCtx, open *openStream) {
	h.d.setHeaders(ctx, h.call.id, core.Run)
	h.d.metrics.outcomes.Add(core.Run.String(), 1)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&relayReader{handler: h, open: open, pending: open.firstEvent, ended: open.ended, sampledAt: h.d.clock.Now()}, -1)
}

// relayReader is the body of a streaming response. Each Read returns the events
// that have arrived, and blocks only when there is none.
type relayReader struct {
	handler       *callHandler
	open          *openStream
	pending       []byte // rest of the event being read
	ended         bool   // pending belongs to the last event
	closed        bool
	events        int
	sampledAt     time.Time // time of the last sample of the speed
	sampledEvents int       // number of events at that time
}

// Read implements io.Reader.
func (r *relayReader) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		if len(r.pending) == 0 && !r.next(n > 0) {
			break
		}
		copied := copy(b[n:], r.pending)
		r.pending = r.pending[copied:]
		n += copied
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// next reads the next event into pending and reports whether there was one. If
// nonBlocking is set, it reads only what has already arrived.
func (r *relayReader) next(nonBlocking bool) bool {
	if r.ended || (nonBlocking && !r.open.stream.Buffered()) {
		return false
	}
	h := r.handler
	event, ended, err := r.open.stream.Next(h.ctx)
	if err != nil {
		r.pending, r.ended = h.failStream(r.open, err), true
		return true
	}
	r.pending, r.ended = event, ended
	if ended {
		h.complete(r.open, r.events)
		return true
	}
	r.events++
	r.observeSpeed(h.d.clock.Now())
	return true
}

// observeSpeed reports the mean time per event since the last sample, at most
// once per sampleInterval. The speed of streams from other hosts is not reported.
func (r *relayReader) observeSpeed(now time.Time) {
	elapsed := now.Sub(r.sampledAt)
	if elapsed < sampleInterval || r.open.grant.Target.Name == "" {
		return
	}
	r.handler.d.placerClient.ObserveSpeed(r.open.grant, straggler.PerToken, elapsed/time.Duration(r.events-r.sampledEvents))
	r.sampledAt, r.sampledEvents = now, r.events
}

// Close implements io.Closer. The server calls it at the end of the stream and
// when the caller disconnects.
func (r *relayReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.ended {
		r.handler.abandon(r.open)
	}
	r.open.stream.ReleaseEvent()
	if r.open.release != nil {
		r.open.release()
	}
	r.handler.release()
	return nil
}

// complete records a stream that was relayed to its end.
func (h *callHandler) complete(open *openStream, events int) {
	open.stream.Finish()
	h.d.metrics.add(countEvents, int64(events))
	h.d.metrics.add(countResumes, int64(open.stream.ResumeCount()))
	if open.grant.Target.Name != "" {
		h.d.dispatcher.ObserveLength(h.call.workspace, h.call.serviceName, h.call.maxTokens, events)
	}
}

// abandon closes a stream before its end and cancels the work at its target.
func (h *callHandler) abandon(open *openStream) {
	open.stream.Close()
	h.cancelModelCall(open.stream.Address())
}

// failStream abandons a stream that cannot be completed and returns the error
// event that ends it for the caller.
func (h *callHandler) failStream(open *openStream, err error) []byte {
	h.abandon(open)
	h.d.metrics.add(countBroken, 1)
	r := &core.Refusal{Reason: core.ReasonStreamCut, Message: "the stream broke off: " + err.Error(), Outcome: core.Unknown}
	if kind, _ := failure.KindOf[attempt.Kind](err); kind == attempt.Cancelled {
		r.Reason = core.ReasonBudget
	}
	body, encodeErr := json.Marshal(h.d.errorBody(h.call.id, r))
	if encodeErr != nil {
		body = []byte("{}")
	}
	return slices.Concat([]byte("event: error\ndata: "), body, []byte("\n\n"))
}
