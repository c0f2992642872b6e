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
	stream *attempt.Stream
	first  []byte
	ended  bool         // the first event is the terminator
	grant  placer.Grant // its target has no name when another host sent it
	done   func()
}

// entrant is one of the attempts of a call that race for the first event.
type entrant struct {
	placed placer.Grant
	cancel context.CancelFunc
	began  time.Time
}

type raceEnd struct {
	entrant *entrant
	open    *openStream
	answer  *attempt.Response
	err     error
}

// openAny opens a stream at the placed target and, when its first event is
// late, at another one. The first to bring an event wins; the other is
// cancelled.
func (f *flight) openAny(placed placer.Grant) (result, error) {
	ends := make(chan raceEnd, 2)
	entrants := []*entrant{f.enter(placed, ends)}
	hedge := f.d.clock.After(f.hedgeDelay())
	var failed error
	for running := 1; running > 0; {
		select {
		case <-hedge:
			f.d.placer.ObserveSpeed(placed, straggler.FirstToken, f.d.clock.Now().Sub(entrants[0].began))
			if other, ok := f.hedge(placed); ok {
				entrants = append(entrants, f.enter(other, ends))
				running++
			}
			hedge = nil
		case end := <-ends:
			running--
			if end.err != nil {
				f.lose(end.entrant, end.err)
				if end.entrant != entrants[0] {
					f.learn(end.entrant.placed, end.err)
				} else {
					failed = end.err
				}
				continue
			}
			f.settleRace(entrants, end, running, ends)
			return f.won(end), nil
		}
	}
	return result{}, failed
}

func (f *flight) enter(placed placer.Grant, ends chan<- raceEnd) *entrant {
	ctx, cancel := context.WithCancel(f.ctx)
	e := &entrant{placed: placed, cancel: cancel, began: f.d.clock.Now()}
	go func() { ends <- f.open(ctx, e) }()
	return e
}

// open reads up to the first event of a stream.
func (f *flight) open(ctx context.Context, e *entrant) raceEnd {
	stream, answer, err := f.d.attempts.Stream(ctx, e.placed.Target.Address, f.call.attempt(f.d), f.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil {
		return raceEnd{entrant: e, err: err}
	}
	if answer != nil {
		return raceEnd{entrant: e, answer: answer}
	}
	event, ended, err := stream.Next(ctx)
	if err != nil {
		stream.Close()
		return raceEnd{entrant: e, err: err}
	}
	if load, ok := stream.Load(); ok {
		f.d.dispatcher.ReportLoad(e.placed.Target.Name, load)
	}
	took := f.d.clock.Now().Sub(e.began)
	f.d.hedging.observe(f.call.serviceName, took)
	f.d.placer.ObserveSpeed(e.placed, straggler.FirstToken, took)
	return raceEnd{entrant: e, open: &openStream{stream: stream, first: slices.Clone(event), ended: ended, grant: e.placed}}
}

// lose gives up an entrant, which failed with err unless that is nil.
func (f *flight) lose(e *entrant, err error) {
	e.cancel()
	f.d.placer.Release(f.ctx, e.placed)
	if kind, ok := failure.KindOf[attempt.Kind](err); !ok || kind.Outcome() != core.NotRun {
		f.cancelWork(e.placed.Target.Address)
	}
}

// settleRace gives up the entrants that did not win and takes their ends.
func (f *flight) settleRace(entrants []*entrant, winner raceEnd, running int, ends <-chan raceEnd) {
	for _, e := range entrants {
		if e != winner.entrant && running > 0 {
			f.lose(e, nil)
		}
	}
	if winner.entrant != entrants[0] {
		f.d.metrics.add(countHedgeWins, 1)
	}
	go func() {
		for range running {
			if end := <-ends; end.open != nil {
				end.open.stream.Close()
			}
		}
	}()
}

func (f *flight) won(end raceEnd) result {
	e := end.entrant
	done := func() {
		e.cancel()
		f.d.placer.Release(f.ctx, e.placed)
	}
	r := result{answer: end.answer, stream: end.open, target: e.placed.Target.Name, region: f.d.settings.Region}
	if end.open == nil {
		done()
		return r
	}
	end.open.done = done
	return r
}

// hedgeDelay is how long the first event may take before another target is
// tried.
func (f *flight) hedgeDelay() time.Duration {
	return f.d.hedging.delay(f.call.serviceName, time.Duration(f.call.service.FirstTokenBudgetMs)*time.Millisecond)
}

// hedge asks for a second target, which must be free at once.
func (f *flight) hedge(placed placer.Grant) (placer.Grant, bool) {
	if f.ctx.Err() != nil || placed.Alone {
		return placer.Grant{}, false
	}
	request := f.call.request(f.d, dispatch.Hedge, []string{placed.Target.Name})
	request.Ask.Deadline = f.d.clock.Now()
	other, refusal := f.d.placer.Acquire(f.ctx, f.d.settings.Host, request)
	if refusal != nil {
		return placer.Grant{}, false
	}
	f.d.metrics.add(countHedges, 1)
	return other, true
}

// sampleInterval is the shortest time between two samples of a stream's speed.
const sampleInterval = 300 * time.Millisecond

// relay gives a stream to the caller, event by event.
func (f *flight) relay(ctx *fasthttp.RequestCtx, open *openStream) {
	f.d.setHeaders(ctx, f.call.id, core.Run)
	f.d.metrics.outcomes.Add(core.Run.String(), 1)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(&relayReader{flight: f, open: open, pending: open.first, ended: open.ended, mark: f.d.clock.Now()}, -1)
}

// relayReader is a stream as the HTTP server reads it: each Read returns the
// events that have arrived, and waits only when there is none.
type relayReader struct {
	flight  *flight
	open    *openStream
	pending []byte // of the event that is being handed out
	ended   bool   // no event follows the pending one
	closed  bool
	events  int
	mark    time.Time // of the last sample
	marked  int       // events at that time
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
func (r *relayReader) next(some bool) bool {
	if r.ended || (some && !r.open.stream.Buffered()) {
		return false
	}
	f := r.flight
	event, ended, err := r.open.stream.Next(f.ctx)
	if err != nil {
		r.pending, r.ended = f.breakOff(r.open, err), true
		return true
	}
	r.pending, r.ended = event, ended
	if ended {
		f.complete(r.open, r.events)
		return true
	}
	r.events++
	r.sample(f.d.clock.Now())
	return true
}

// sample tells of the pace of the last events.
func (r *relayReader) sample(now time.Time) {
	since := now.Sub(r.mark)
	if since < sampleInterval || r.open.grant.Target.Name == "" {
		return
	}
	r.flight.d.placer.ObserveSpeed(r.open.grant, straggler.PerToken, since/time.Duration(r.events-r.marked))
	r.mark, r.marked = now, r.events
}

// Close implements io.Closer. The server calls it at the end of the stream, and
// when the caller has gone.
func (r *relayReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	if !r.ended {
		r.flight.abandon(r.open)
	}
	if r.open.done != nil {
		r.open.done()
	}
	r.flight.release()
	return nil
}

func (f *flight) complete(open *openStream, events int) {
	open.stream.Finish()
	f.d.metrics.add(countEvents, int64(events))
	f.d.metrics.add(countResumes, int64(open.stream.ResumeCount()))
	if open.grant.Target.Name != "" {
		f.d.dispatcher.ObserveLength(f.call.workspace, f.call.serviceName, f.call.limit, events)
	}
}

// abandon stops the work for a caller that is gone.
func (f *flight) abandon(open *openStream) {
	open.stream.Close()
	f.cancelWork(open.stream.Address())
}

// breakOff gives up a stream that cannot be completed and returns the event
// that says so.
func (f *flight) breakOff(open *openStream, err error) []byte {
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
