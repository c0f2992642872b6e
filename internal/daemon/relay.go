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

// openStream is a stream whose first event has been read. done frees what it
// holds.
type openStream struct {
	stream     *attempt.Stream
	firstEvent []byte
	ended      bool         // the first event is the terminator
	grant      placer.Grant // its target has no name when another host sent it
	release    func()
}

// streamAttempt is one of the attempts of a call that race for the first event.
type streamAttempt struct {
	grant   placer.Grant
	cancel  context.CancelFunc
	started time.Time
}

type attemptResult struct {
	attempt *streamAttempt
	open    *openStream
	answer  *attempt.Answer
	err     error
}

// openHedged opens a stream at the placed target and, when its first event is
// late, at another one. The first to bring an event wins; the other is
// cancelled.
func (f *callHandler) openHedged(grant placer.Grant) (result, error) {
	results := make(chan attemptResult, 2)
	attempts := []*streamAttempt{f.startAttempt(grant, results)}
	hedge := f.d.clock.After(f.hedgeDelay())
	var firstErr error
	for running := 1; running > 0; {
		select {
		case <-hedge:
			f.d.placerClient.ObserveSpeed(grant, straggler.FirstToken, f.d.clock.Now().Sub(attempts[0].started))
			if other, ok := f.acquireHedge(grant); ok {
				attempts = append(attempts, f.startAttempt(other, results))
				running++
			}
			hedge = nil
		case result := <-results:
			running--
			if result.err != nil {
				f.discard(result.attempt, result.err)
				if result.attempt != attempts[0] {
					f.recordFailure(result.attempt.grant, result.err)
				} else {
					firstErr = result.err
				}
				continue
			}
			f.discardOthers(attempts, result, running, results)
			return f.winnerResult(result), nil
		}
	}
	return result{}, firstErr
}

func (f *callHandler) startAttempt(grant placer.Grant, results chan<- attemptResult) *streamAttempt {
	ctx, cancel := context.WithCancel(f.ctx)
	e := &streamAttempt{grant: grant, cancel: cancel, started: f.d.clock.Now()}
	go func() { results <- f.openStreamAt(ctx, e) }()
	return e
}

// openStreamAt reads up to the first event of a stream.
func (f *callHandler) openStreamAt(ctx context.Context, e *streamAttempt) attemptResult {
	stream, answer, err := f.d.targetClient.Stream(ctx, e.grant.Target.Address, f.call.attemptCall(f.d), f.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		return attemptResult{attempt: e, err: err}
	}
	if answer != nil {
		return attemptResult{attempt: e, answer: answer}
	}
	event, ended, err := stream.Next(ctx)
	if err != nil {
		stream.Close()
		return attemptResult{attempt: e, err: err}
	}
	if load, ok := stream.Load(); ok {
		f.d.dispatcher.ReportLoad(e.grant.Target.Name, load)
	}
	took := f.d.clock.Now().Sub(e.started)
	f.d.hedging.observe(f.call.serviceName, took)
	f.d.placerClient.ObserveSpeed(e.grant, straggler.FirstToken, took)
	return attemptResult{attempt: e, open: &openStream{stream: stream, firstEvent: slices.Clone(event), ended: ended, grant: e.grant}}
}

// discard gives up an entrant, which failed with err unless that is nil.
func (f *callHandler) discard(e *streamAttempt, err error) {
	e.cancel()
	f.d.placerClient.Release(f.ctx, e.grant)
	if kind, ok := failure.KindOf[attempt.Kind](err); !ok || kind.Outcome() != core.NotRun {
		f.cancelModelCall(e.grant.Target.Address)
	}
}

// discardOthers gives up the entrants that did not win and takes their ends.
func (f *callHandler) discardOthers(attempts []*streamAttempt, winner attemptResult, running int, results <-chan attemptResult) {
	for _, e := range attempts {
		if e != winner.attempt && running > 0 {
			f.discard(e, nil)
		}
	}
	if winner.attempt != attempts[0] {
		f.d.metrics.add(countHedgeWins, 1)
	}
	go func() {
		for range running {
			if result := <-results; result.open != nil {
				result.open.stream.Close()
			}
		}
	}()
}

func (f *callHandler) winnerResult(winner attemptResult) result {
	e := winner.attempt
	release := func() {
		e.cancel()
		f.d.placerClient.Release(f.ctx, e.grant)
	}
	r := result{answer: winner.answer, stream: winner.open, target: e.grant.Target.Name, region: f.d.settings.Region}
	if winner.open == nil {
		release()
		return r
	}
	winner.open.release = release
	return r
}

// hedgeDelay is how long the first event may take before another target is
// tried.
func (f *callHandler) hedgeDelay() time.Duration {
	return f.d.hedging.delay(f.call.serviceName, time.Duration(f.call.service.FirstTokenBudgetMs)*time.Millisecond)
}

// acquireHedge asks for a second target, which must be free at once.
func (f *callHandler) acquireHedge(grant placer.Grant) (placer.Grant, bool) {
	if f.ctx.Err() != nil || grant.Isolated {
		return placer.Grant{}, false
	}
	request := f.call.placementRequest(f.d, dispatch.Hedge, []string{grant.Target.Name})
	request.Call.Deadline = f.d.clock.Now()
	other, refusal := f.d.placerClient.Acquire(f.ctx, f.d.settings.Host, request)
	if refusal != nil {
		return placer.Grant{}, false
	}
	f.d.metrics.add(countHedges, 1)
	return other, true
}

// sampleInterval is the shortest time between two samples of a stream's speed.
const sampleInterval = 300 * time.Millisecond

// relay gives a stream to the caller, event by event.
func (f *callHandler) relay(ctx *fasthttp.RequestCtx, open *openStream) {
	f.d.setHeaders(ctx, f.call.id, core.Run)
	f.d.metrics.outcomes.Add(core.Run.String(), 1)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&relayReader{handler: f, open: open, pending: open.firstEvent, ended: open.ended, sampledAt: f.d.clock.Now()}, -1)
}

// relayReader is a stream as the HTTP server reads it: each Read returns the
// events that have arrived, and waits only when there is none.
type relayReader struct {
	handler       *callHandler
	open          *openStream
	pending       []byte // of the event that is being handed out
	ended         bool   // no event follows the pending one
	closed        bool
	events        int
	sampledAt     time.Time // of the last sample
	sampledEvents int       // events at that time
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

// next makes another event the pending one. With some set, it does so only if
// that needs no waiting.
func (r *relayReader) next(nonBlocking bool) bool {
	if r.ended || (nonBlocking && !r.open.stream.Buffered()) {
		return false
	}
	f := r.handler
	event, ended, err := r.open.stream.Next(f.ctx)
	if err != nil {
		r.pending, r.ended = f.failStream(r.open, err), true
		return true
	}
	r.pending, r.ended = event, ended
	if ended {
		f.complete(r.open, r.events)
		return true
	}
	r.events++
	r.observeSpeed(f.d.clock.Now())
	return true
}

// observeSpeed tells of the pace of the last events.
func (r *relayReader) observeSpeed(now time.Time) {
	elapsed := now.Sub(r.sampledAt)
	if elapsed < sampleInterval || r.open.grant.Target.Name == "" {
		return
	}
	r.handler.d.placerClient.ObserveSpeed(r.open.grant, straggler.PerToken, elapsed/time.Duration(r.events-r.sampledEvents))
	r.sampledAt, r.sampledEvents = now, r.events
}

// Close implements io.Closer. The server calls it at the end of the stream, and
// when the caller has gone.
func (r *relayReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.ended {
		r.handler.abandon(r.open)
	}
	if r.open.release != nil {
		r.open.release()
	}
	r.handler.release()
	return nil
}

func (f *callHandler) complete(open *openStream, events int) {
	open.stream.Finish()
	f.d.metrics.add(countEvents, int64(events))
	f.d.metrics.add(countResumes, int64(open.stream.Resumed()))
	if open.grant.Target.Name != "" {
		f.d.dispatcher.ObserveLength(f.call.workspace, f.call.serviceName, f.call.maxTokens, events)
	}
}

// abandon stops the work for a caller that is gone.
func (f *callHandler) abandon(open *openStream) {
	open.stream.Close()
	f.cancelModelCall(open.stream.Address())
}

// failStream gives up a stream that cannot be completed and returns the event
// that says so.
func (f *callHandler) failStream(open *openStream, err error) []byte {
	f.abandon(open)
	f.d.metrics.add(countBroken, 1)
	r := &core.Refusal{Reason: core.ReasonStreamCut, Message: "the stream broke off: " + err.Error(), Outcome: core.Unknown}
	if kind, _ := failure.KindOf[attempt.Kind](err); kind == attempt.Cancelled {
		r.Reason = core.ReasonBudget
	}
	body, encodeErr := json.Marshal(f.d.errorBody(f.call.id, r))
	if encodeErr != nil {
		body = []byte("{}")
	}
	return slices.Concat([]byte("event: error\ndata: "), body, []byte("\n\n"))
}
