package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// target is what the host believes of one target.
type target struct {
	catalogue.Target

	pace   *pace         // of the service's targets
	fetch  *pace         // of the service's targets from one another
	factor float64       // of this target, against the pace
	span   time.Duration // of a call without a prompt
	flying map[*Flight]struct{}
	shares map[string]hostShare
	load   Load
	loadAt time.Time
	// progressAt is when the target last showed that it reads prompts.
	progressAt time.Time
	parts      map[partKey]keptPart
	health     health
	cold       coldBudget
	prompts    bool // the target reads prompts
	pauses     pauses
	// total is what the coordinator of the target last told of all hosts' calls, and
	// began what this host has begun since then.
	total hostShare
	began []beginning
	spell spell
	// refusesUntil is until when the target wants nothing from this host, and
	// sparedUntil until when it wants nothing from some other one.
	refusesUntil time.Time
	sparedUntil  time.Time
	listing      listing
	hash         uint64 // of the ID
	picked       pick
	// saidAt is when the host last told the coordinator what it has at the target.
	saidAt time.Time
}

// hostShare is what another host has at a target.
type hostShare struct {
	TargetShare
	at  time.Time
	age time.Duration // how long it is believed
}

func (s hostShare) valid(now time.Time) bool { return now.Sub(s.at) < s.age }

// beginning is a call that the host has begun at a target.
type beginning struct {
	at     time.Time
	rank   int
	unread int
}

// view is a target as one call finds it.
type view struct {
	*target
	flights int     // of all hosts
	backlog float64 // tokens of prompts that go before the call
	unread  int     // tokens of its own prompt that the target has to read
	kept    int     // tokens of its prompt that other targets may fetch from it
	fetched int     // tokens of its prompt that the target is to fetch from source
	source  *target // nil when nothing is fetched
	// reading is how long the target has read prompts without a rest, 0 where that is
	// not to count: in a large region, at targets whose streams do not pause.
	reading time.Duration
}

// view returns the target as the host believes.
func (t *target) view(now time.Time, w Work) view {
	return view{target: t, flights: t.flights(now), backlog: t.backlog(now, w.Priority), unread: t.unread(now, w), kept: t.kept(now, w)}
}

// viewOf returns the target as its coordinator has just told.
func (t *target) viewOf(w Work, l TargetLoad) view {
	v := view{target: t, flights: l.Flights, backlog: float64(l.backlog(w.Priority)), unread: l.Unread, kept: l.Cached}
	if time.Duration(l.PauseMs)*time.Millisecond > Scale(w.MaxGap, holdFrom) {
		v.reading = time.Duration(l.ReadingMs) * time.Millisecond
	}
	return v
}

func newTarget(t catalogue.Target, read, fetch *pace) *target {
	return &target{
		Target: t, hash: xxhash.Sum64String(t.ID), pace: read, fetch: fetch, factor: 1, span: initialSpan, flying: map[*Flight]struct{}{},
		shares: map[string]hostShare{}, parts: map[partKey]keptPart{},
	}
}

// restart forgets what a new process of the target cannot know any more.
func (t *target) restart(next catalogue.Target) {
	t.Target = next
	t.parts = map[partKey]keptPart{}
	t.health = health{}
	t.listing = listing{done: true} // a new process keeps what it is sent from now on
	t.load, t.loadAt = Load{}, time.Time{}
	t.refusesUntil, t.sparedUntil = time.Time{}, time.Time{}
}

// flights counts the calls of all hosts at the target.
func (t *target) flights(now time.Time) int {
	if t.total.valid(now) {
		return t.total.Flights + len(t.begunSince(t.total.at))
	}
	n := len(t.flying)
	for _, s := range t.shares {
		if s.valid(now) {
			n += s.Flights
		}
	}
	return n
}

// note notes a call that the host begins, and forgets those of long ago.
func (t *target) note(now time.Time, b beginning) {
	t.began = append(slices.DeleteFunc(t.began, func(b beginning) bool { return now.Sub(b.at) > shareAge }), b)
}

// begunSince returns what the host has begun after a time, and forgets the rest.
func (t *target) begunSince(at time.Time) []beginning {
	t.began = slices.DeleteFunc(t.began, func(b beginning) bool { return !b.at.After(at) })
	return t.began
}

// backlog is the tokens of prompts that go before a call of the rank.
func (t *target) backlog(now time.Time, rank int) float64 {
	if t.total.valid(now) {
		return t.backlogSince(now, rank)
	}
	own, oldest := 0, 0
	for f := range t.flying {
		if f.first || f.work.Priority > rank {
			continue
		}
		own += f.unread
		oldest = max(oldest, f.unread)
	}
	tokens := float64(own)
	if own > 0 {
		tokens -= min(t.effectiveRate(now)*milliseconds(now.Sub(t.progressAt)), float64(oldest))
	}
	others := 0.0
	for _, s := range t.shares {
		if s.valid(now) {
			others += float64(s.backlog(rank))
		}
	}
	others -= min(t.effectiveRate(now)*milliseconds(now.Sub(t.progressAt)), readOnShare*others)
	return max(0, tokens+others)
}

// backlogSince is the backlog that the coordinator told, less what the target has
// read since, with what the host has begun since.
func (t *target) backlogSince(now time.Time, rank int) float64 {
	tokens := float64(t.total.backlog(rank)) - t.effectiveRate(now)*milliseconds(now.Sub(t.total.at))
	tokens = max(0, tokens)
	for _, b := range t.begunSince(t.total.at) {
		if b.rank <= rank {
			tokens += float64(b.unread)
		}
	}
	return tokens
}

func (t *target) slowdown(now time.Time) float64 {
	if t.load.Slowdown > 0 && now.Sub(t.loadAt) < loadAge {
		return t.load.Slowdown
	}
	return 1
}

// rate is the tokens of a prompt that the target reads in a millisecond.
func (t *target) rate() float64 { return t.pace.rate * t.factor }

// timeToRead is how long the target takes for the given tokens of prompts.
func (t *target) timeToRead(now time.Time, tokens float64) time.Duration {
	return fromMilliseconds(tokens / t.effectiveRate(now))
}

func (t *target) effectiveRate(now time.Time) float64 { return t.rate() / t.slowdown(now) }

// unread counts the tokens of a prompt that the target has to read: all after the
// parts that it keeps.
func (t *target) unread(now time.Time, w Work) int {
	tokens := w.Tokens
	for _, p := range w.Parts {
		if known, kept := t.parts[keyOf(p)]; !kept || now.Sub(known.used) > partAge {
			break
		}
		tokens -= p.Tokens
	}
	return max(0, tokens)
}

// pause is the mean pause between the events of the streams that run at the
// target, as all hosts saw it lately, and false when none did.
func (t *target) pause(now time.Time) (time.Duration, bool) {
	if t.total.valid(now) && t.total.PauseMs > 0 {
		return time.Duration(t.total.PauseMs) * time.Millisecond, true
	}
	sum, n := time.Duration(0), 0
	if d, ok := t.pauses.mean(now); ok {
		sum, n = d, 1
	}
	for _, s := range t.shares {
		if s.PauseMs > 0 && s.valid(now) {
			sum += time.Duration(s.PauseMs) * time.Millisecond
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / time.Duration(n), true
}

// stall is the share of the streams at a target that pause for too long when it
// reads the given tokens without a break.
func (t *target) stall(now time.Time, w Work, tokens float64) float64 {
	if w.MaxGap == 0 {
		return 0
	}
	full := milliseconds(w.MaxGap) * t.effectiveRate(now)
	return min(1, max(0, (tokens/full-stallFrom)/(stallFull-stallFrom)))
}

// Prediction is the expected time to the first byte at a target.
type Prediction struct {
	// Wait passes before the target begins with the call.
	Wait time.Duration
	// Own is the call's own time after that.
	Processing time.Duration
	// Unread is the tokens of the prompt that the target reads.
	Unread int
	// Rate is the tokens that the target reads in a millisecond.
	Rate float64
	// Stalled is how many streams are expected to pause for too long.
	Stalled float64
	// Hold is how long the call is better held back, so that streams go on before
	// the target reads it. It is a part of Wait.
	Hold time.Duration
}

// Total is the time to the first byte.
func (p Prediction) Total() time.Duration { return p.Wait + p.Processing }

// predict returns the expected time to the first byte of a call.
func (v view) predict(now time.Time, w Work) Prediction {
	slots := max(1, v.Slots)
	over := max(0, v.flights+1-slots)
	if w.Tokens == 0 {
		span := Scale(v.span, v.slowdown(now))
		return Prediction{Wait: span * time.Duration(over) / time.Duration(slots), Processing: span}
	}
	rate := v.effectiveRate(now)
	wait := v.backlog / rate
	if over > 0 {
		wait += float64(over) * milliseconds(v.span) / float64(slots)
	}
	if v.fetched > 0 {
		wait = max(wait, float64(v.fetched)/v.fetch.rate)
	}
	return Prediction{
		Wait: fromMilliseconds(wait), Processing: baseSpan + fromMilliseconds(float64(v.unread)/rate),
		Unread: v.unread, Rate: rate, Stalled: v.stall(now, w, milliseconds(v.reading)*rate+v.backlog+float64(v.unread)) * float64(v.flights+1),
	}
}

// afterRest predicts for a call that is held until the target has read what it has,
// and its streams have gone on.
func (v view) afterRest(now time.Time, w Work) Prediction {
	p := v.predict(now, w)
	p.Hold = fromMilliseconds(v.backlog/v.effectiveRate(now)) + rest
	p.Wait = p.Hold
	p.Stalled = v.stall(now, w, float64(v.unread)) * float64(v.flights+1)
	return p
}

// learnFirst takes the time to the first byte of a call.
func (t *target) learnFirst(now time.Time, f *Flight) {
	t.progressAt = now
	took := now.Sub(f.began)
	if f.work.Tokens == 0 {
		return
	}
	if f.fetched > 0 {
		t.learnFetch(now, f)
		return
	}
	tokens := f.ahead + float64(f.unread)
	if ms := milliseconds(took - baseSpan); tokens >= minSampleTokens && ms > 0 {
		sample := min(max(tokens/ms*t.slowdown(now), minRate), maxRate)
		t.factor += learnShare / 2 * (min(max(sample/t.pace.rate, minFactor), maxFactor) - t.factor)
		t.pace.learn(sample)
	}
}

// learnFetch takes the time to the first byte of a call whose target fetched a part of
// its prompt.
func (t *target) learnFetch(now time.Time, f *Flight) {
	rest := milliseconds(now.Sub(f.began)-baseSpan) - float64(f.unread)/t.effectiveRate(now)
	if f.ahead == 0 && rest > 0 {
		t.fetch.learn(min(max(float64(f.fetched)/rest, t.rate()), maxFetchRate))
	}
}

// learnEnd takes the whole time of a call that was answered well.
func (t *target) learnEnd(took time.Duration) {
	t.span += time.Duration(learnShare * float64(took-t.span))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Scale multiplies a time.
func Scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// amount is the work of a call that was begun, in units of the flows.
func (t *target) amount(f *Flight) float64 {
	if f.work.Tokens > 0 {
		return float64(f.unread)
	}
	return milliseconds(t.span)
}

// capacity is the units of work that the target does in a second.
func (t *target) capacity() float64 {
	if t.prompts {
		return t.rate() * milliseconds(time.Second)
	}
	return float64(max(1, t.Slots)) * milliseconds(time.Second)
}
