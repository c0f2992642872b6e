package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// maxBodyBytes bounds an answer that is no stream, and maxHeldBytes what long
	// answers hold together: a part of the memory of the smallest host.
	maxBodyBytes = 8 << 20
	maxHeldBytes = 24 << 20
	// patienceFactor and patienceShare bound how long a call that may be repeated
	// waits for the first byte of a target: a multiple of what was predicted, and a
	// part of the time left, so that a slow answer is not given up for none.
	patienceFactor = 3
	patienceShare  = 1.0 / 3
	// lastTryShare is the part of the time left within which a second target must
	// be expected to answer.
	lastTryShare = 0.5
)

// source is an answer that is being read: whole, or up to its first event.
type source struct {
	response *exchange.Response
	body     exchange.Body // of an answer that is no stream
	stream   *events       // nil unless the answer is a stream
	first    []byte        // first event of a stream
	ended    bool          // the stream ended before its first event
	target   string        // or the host that relays the answer
	try      *try
}

// try is one send of a call to a target or to another region.
type try struct {
	f      *flight
	choice balance.Choice
	handle *balance.Flight // nil for a send to another region
	ctx    context.Context
	cancel context.CancelFunc
	// timer ends the patience; it is nil when there is none.
	timer    *time.Timer
	patience time.Duration
	exclude  []string // targets that are no way out
}

// newTry begins a send. One that may be repeated is given up when the answer
// takes too long and another target can have the call; any other waits for as long
// as its caller does.
func (f *flight) newTry(predicted time.Duration, id string) *try {
	t := &try{f: f, exclude: append(slices.Clone(f.tried), id)}
	t.ctx, t.cancel = context.WithCancel(f.ctx)
	if !f.received && f.route.Repeatable() && f.sends+1 < f.route.MaxAttempts {
		t.patience = max(patienceFactor*predicted, f.route.Aim, balance.Scale(f.left(), patienceShare))
		t.timer = time.AfterFunc(t.patience, t.lookElsewhere)
	}
	return t
}

// lookElsewhere ends the send if another target can have the call in time, and
// waits on if none can: silence alone is no reason to end an answer.
func (t *try) lookElsewhere() {
	if t.f.couldGo(t.exclude) {
		t.cancel()
		return
	}
	t.timer.Reset(t.patience)
}

// couldGo reports whether a target that is not excluded is expected to bring the
// first byte well within the time left, and a repeat is within the budget.
func (f *flight) couldGo(exclude []string) bool {
	if !f.route.MayServe(f.g.settings.Region) {
		return false
	}
	now := f.g.clock.Now()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	work := f.work
	work.Said = nil // said before the send
	choice, ok := f.g.book.Choose(now, work, exclude)
	return ok && !slices.Contains(exclude, choice.Target.ID) && f.g.budget(f.service).Left(now) >= 1 &&
		choice.Prediction.Total() < balance.Scale(f.left(), lastTryShare)
}

// firstByte notes that the target has begun to answer.
func (t *try) firstByte() {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.f.firstByte.IsZero() {
		t.f.firstByte = t.f.g.clock.Now()
	}
	t.tell(func(now time.Time, b *balance.Book) {
		b.First(now, t.handle)
		t.f.g.learnTypical(t.f.route.Name, t.choice.Prediction.Own)
	})
	if t.f.isStream() {
		t.tellChange() // its prompt is read; what is no stream has ended
	}
}

// tellChange tells other hosts of a send to a target that has gone on or ended.
func (t *try) tellChange() {
	if t.handle != nil {
		t.f.g.tellChange(t.choice.Target.ID, balance.Work{})
	}
}

func (f *flight) isStream() bool { return f.route.Kind == route.Stream }

// tell notes in the book what came of a send to a target. A send to another region
// is noted by the host there.
func (t *try) tell(note func(now time.Time, b *balance.Book)) {
	if t.handle == nil {
		return
	}
	g := t.f.g
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	note(now, g.book)
}

// event notes the pause before an event of a stream.
func (t *try) event(pause time.Duration) {
	t.tell(func(now time.Time, b *balance.Book) { b.Event(now, t.handle, pause) })
}

// end frees what the send holds and notes how it ended.
func (t *try) end(r balance.Result) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel()
	t.tell(func(now time.Time, b *balance.Book) { b.End(now, t.handle, r) })
	t.tellChange()
}

// sendLocal sends the call to a target of the own region.
func (f *flight) sendLocal(choice balance.Choice) (*source, result) {
	target := choice.Target
	if !f.countSend() {
		return nil, result{outcome: f.outcomeSoFar(), reason: "the budget for repeats is spent", last: true}
	}
	t := f.newTry(choice.Prediction.Total(), target.ID)
	t.choice = choice
	f.g.mu.Lock()
	t.handle = f.g.book.Begin(f.g.clock.Now(), target.ID, f.work, balance.WithFetch(choice.Fetched))
	f.g.mu.Unlock()
	f.g.tellChange(target.ID, f.work)
	f.tried = append(f.tried, target.ID)
	request := f.prepare(Send{
		Instance: target.ID, Left: f.left(), Rank: f.route.Rank, Ranked: f.work.Tokens > 0, FetchFrom: choice.Source.Address,
	})
	defer fasthttp.ReleaseRequest(request)
	response, err := f.g.pool.Do(t.ctx, target.Address, request)
	if err != nil {
		return nil, t.failed(err)
	}
	return t.readAnswer(response)
}

// countSend takes a send out of the budgets and reports whether it may go out.
func (f *flight) countSend() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	budget, now := f.g.budget(f.service), f.g.clock.Now()
	if f.sends+f.refused == 0 {
		budget.Call(now)
		return true
	}
	return budget.Spend(now)
}

// outcomeSoFar is what is known when no further send is made.
func (f *flight) outcomeSoFar() core.Outcome {
	if f.maybe {
		return core.Unknown
	}
	return core.NotRun
}

// copyRequest returns a copy of the caller's request, to be released by its user.
func (f *flight) copyRequest() *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	f.request.Header.CopyTo(&request.Header)
	request.Header.SetRequestURI(f.call.Target)
	request.Header.SetNoDefaultContentType(true)
	request.SetBodyRaw(f.request.Body())
	return request
}

// prepare copies the caller's request for a target.
func (f *flight) prepare(s Send) *fasthttp.Request {
	request := f.copyRequest()
	if s.LastEvent == "" {
		s.LastEvent = f.call.LastEvent
	}
	f.g.protocol.WriteSend(&request.Header, s)
	return request
}

func (f *flight) left() time.Duration { return f.deadline.Sub(f.g.clock.Now()) }

// failed judges a send that brought no answer.
func (t *try) failed(err error) result {
	f, target := t.f, t.choice.Target
	kind, _ := failure.KindOf[exchange.Kind](err)
	f.note("target %s: %v", target.ID, err)
	if kind == exchange.Unsent {
		t.end(t.resultOf(balance.Unreached))
		return result{outcome: core.NotRun, reason: "no connection to a target"}
	}
	f.sends++
	return t.silent("a target did not answer")
}

// silent ends a send that may have run and brought no whole answer. A target that
// was not given up by the host itself may have died of the call.
func (t *try) silent(reason string) result {
	hasted := t.ctx.Err() != nil
	t.end(t.resultOf(balance.Silent))
	if !hasted {
		t.f.g.suspect(t.f.digest, t.choice.Target)
	}
	return result{outcome: core.Unknown, reason: reason}
}

// resultOf returns how a send ended that brought r: nothing that a target can
// help when the caller left.
func (t *try) resultOf(r balance.Result) balance.Result {
	if t.f.ctx.Err() != nil && t.f.g.clock.Now().Before(t.f.deadline) {
		return balance.Abandoned
	}
	return r
}

// readAnswer judges the head of a target's answer and reads on.
func (t *try) readAnswer(response *exchange.Response) (*source, result) {
	f, target := t.f, t.choice.Target
	answer := f.g.protocol.ReadAnswer(&response.Header)
	status := response.Status()
	if status != fasthttp.StatusMisdirectedRequest { // another target's word
		f.g.learnHead(target, answer)
	}
	if answer.NotRun {
		return nil, t.refused(response, answer)
	}
	f.sends++
	if status < fasthttp.StatusMultipleChoices && (!answer.Sealed || response.Get(fasthttp.HeaderContentEncoding) != "") {
		response.Close()
		t.end(balance.Silent)
		f.note("target %s: an answer without a seal", target.ID)
		return nil, result{outcome: core.Unknown, reason: "what came is no answer of a target"}
	}
	s := t.newSource(response, target.ID)
	if err := s.begin(); err != nil {
		f.note("target %s: %v", target.ID, err)
		return nil, t.silent("an answer broke off")
	}
	t.firstByte()
	return t.settle(s, status)
}

// settle ends the send of a whole answer. A failure is the target's answer to the
// call and passed on, unless the target fails so many that it is at fault itself,
// and the call may be repeated.
func (t *try) settle(s *source, status int) (*source, result) {
	switch {
	case s.stream != nil:
	case status < fasthttp.StatusInternalServerError:
		t.end(balance.Answered)
	default:
		t.end(balance.Failed)
		if t.f.worthRepeating() && t.f.g.faulty(s.target) {
			s.body.Release()
			t.f.note("target %s answers %d", s.target, status)
			return nil, result{outcome: core.Unknown, reason: "a target failed"}
		}
	}
	return s, result{}
}

// refused takes a target's word that it has not run the call.
func (t *try) refused(response *exchange.Response, answer Answer) result {
	status := response.Status()
	if _, err := response.ReadAll(maxBodyBytes); err != nil {
		t.f.note("the refusal of target %s broke off: %v", t.choice.Target.ID, err)
	}
	t.f.note("target %s refuses with %d", t.choice.Target.ID, status)
	if status == fasthttp.StatusMisdirectedRequest {
		t.f.g.leaves(t.choice.Target.ID)
	}
	if answer.LeaveAlone > 0 {
		t.end(balance.Deferred)
	} else {
		t.end(balance.Refused)
	}
	return result{outcome: core.NotRun, reason: "a target refuses the call"}
}

// worthRepeating reports whether a failure may be met by another send. A call from
// another host is sent at most once: that host counts the sends of all.
func (f *flight) worthRepeating() bool {
	return !f.received && f.route.Repeatable() && f.sends < f.route.MaxAttempts && f.ctx.Err() == nil
}

// newSource returns the answer of a target, or of the host that relays it.
func (t *try) newSource(response *exchange.Response, from string) *source {
	s := &source{response: response, target: from, try: t}
	if t.f.isStream() && response.Status() == fasthttp.StatusOK {
		s.stream = newEvents(response)
	}
	return s
}

// begin reads a whole body, or a stream up to its first event.
func (s *source) begin() error {
	if s.stream == nil {
		body, err := s.response.ReadAllWithin(s.try.f.g.bodies, maxBodyBytes)
		s.body = body
		return err
	}
	return s.beginStream()
}

func (s *source) beginStream() error {
	event, err := s.stream.next()
	if isEnd(err) {
		s.ended = true
		return nil
	}
	s.first = event
	return err
}
