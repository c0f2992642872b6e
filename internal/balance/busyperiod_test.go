package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

// The engine of the model reads prompts in pieces between the tokens of its
// streams: while it has prompts, each token of each stream waits for a piece.
const (
	stepSpan    = 3 * time.Millisecond // of a step without a piece
	pieceTokens = 6000
	eventTokens = 8
	eventsEach  = 40
	spellHosts  = 5
	spellTarget = 6
	// Long prompts begin with one of a few shared parts, which lead them to the same
	// targets.
	spellKinds  = 12
	spellShared = 5000
)

// streamCall is a call in the model.
type streamCall struct {
	work    balance.Work
	host    *balance.Balancer
	id      string
	flight  *balance.Flight
	arrived time.Time
	held    time.Duration
	unread  int
	tokens  int
	last    time.Time // its newest event
	longest time.Duration
	first   time.Duration
}

// engine is one target that runs calls step by step.
type engine struct {
	id      string
	waiting []*streamCall
	running []*streamCall
	parts   map[uint64]bool
	until   time.Time // when the step ends
}

// spellRegion is a small region whose hosts tell one another at once.
type spellRegion struct {
	now     time.Time
	books   []*balance.Balancer
	engines map[string]*engine
	later   []happening
	ended   []*streamCall
	source  *rand.Rand
}

func newSpellRegion(seed uint64) *spellRegion {
	r := &spellRegion{now: start, engines: map[string]*engine{}, source: rand.New(rand.NewPCG(seed, seed))}
	snapshot := targets(spellTarget)
	var names []string
	for i := range spellHosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	for i, name := range names {
		b := balance.NewBalancer("north", uint64(i+1))
		b.Configure(snapshot)
		b.SetHosts(balance.Hosts{Self: name, Live: names, Known: spellHosts, Settled: true})
		r.books = append(r.books, b)
	}
	for id := range snapshot.Targets {
		r.engines[id] = &engine{id: id, parts: map[uint64]bool{}}
	}
	return r
}

// tellAll tells all hosts what one has at a target now.
func (r *spellRegion) tellAll(from *balance.Balancer, id string, w balance.Work) {
	c, _ := from.ChangeFor(r.now, id, w)
	for _, b := range r.books {
		if b != from {
			b.ApplyChange(r.now, fmt.Sprintf("%p", from), c)
		}
	}
}

// place sends a call to a target, or holds it and places it later.
func (r *spellRegion) place(c *streamCall, mayHold bool) {
	c.work.NoHold = !mayHold || c.held > longestHold
	choice, ok := c.host.Choose(r.now, c.work, nil)
	Expect(ok).To(BeTrue())
	if hold := choice.Prediction.Hold; hold > 0 {
		hold += time.Duration(r.source.Float64() * 12 * float64(time.Millisecond))
		c.held += hold
		r.later = append(r.later, happening{at: r.now.Add(hold), do: func() { r.place(c, mayHold) }})
		return
	}
	c.id = choice.Target.ID
	c.flight = c.host.Begin(r.now, c.id, c.work)
	r.tellAll(c.host, c.id, c.work)
	e := r.engines[c.id]
	if len(c.work.Parts) > 0 {
		if e.parts[c.work.Parts[0].ID] {
			c.unread -= spellShared
		}
		e.parts[c.work.Parts[0].ID] = true
	}
	// More urgent calls go first.
	at := slices.IndexFunc(e.waiting, func(other *streamCall) bool { return other.work.Priority > c.work.Priority })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, c)
}

// step ends a step of an engine and begins the next one.
func (r *spellRegion) step(e *engine) {
	kept := e.running[:0]
	for _, c := range e.running {
		c.tokens++
		if c.tokens%eventTokens == 0 {
			c.longest = max(c.longest, r.now.Sub(c.last))
			c.last = r.now
		}
		if c.tokens < eventTokens*eventsEach {
			kept = append(kept, c)
			continue
		}
		c.host.End(r.now, c.flight, balance.Answered)
		r.tellAll(c.host, c.id, balance.Work{})
		r.ended = append(r.ended, c)
	}
	e.running = kept
	piece := 0
	for len(e.waiting) > 0 && piece < pieceTokens {
		c := e.waiting[0]
		n := min(c.unread, pieceTokens-piece)
		c.unread -= n
		piece += n
		if c.unread > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, c)
		c.last, c.first = r.now, r.now.Sub(c.arrived)
		c.host.FirstByte(r.now, c.flight)
		r.tellAll(c.host, c.id, balance.Work{})
	}
	e.until = r.now.Add(stepSpan + time.Duration(float64(piece)/modelRate*float64(time.Millisecond)))
}

// run brings prompts at a part of what the targets can read, and returns the share
// of streams that paused for longer than is good, and of those that began late.
func (r *spellRegion) run(part float64, d time.Duration, mayHold bool) (stalled, late float64) {
	const short, long, aim = 1800.0, 9000.0, 1200 * time.Millisecond
	perMs := part * spellTarget * modelRate / (0.7*short + 0.3*long)
	for end := start.Add(d); r.now.Before(end); r.now = r.now.Add(time.Millisecond) {
		if r.source.Float64() < perMs {
			w := prompt(int(short * (0.5 + r.source.Float64())))
			w.Priority = 0
			if r.source.Float64() < 0.3 {
				w = shared(uint64(1+r.source.IntN(spellKinds))<<16, spellShared, int(long*(0.3+0.7*r.source.ExpFloat64())))
				w.Parts[1].ID = r.source.Uint64()
			}
			r.place(&streamCall{work: w, host: r.books[r.source.IntN(spellHosts)], arrived: r.now, unread: w.Tokens}, mayHold)
		}
		due := r.later
		r.later = nil
		for _, h := range due {
			if h.at.After(r.now) {
				r.later = append(r.later, h)
			} else {
				h.do()
			}
		}
		for _, e := range r.engines {
			if !r.now.Before(e.until) {
				r.step(e)
			}
		}
	}
	n := 0.0
	for _, c := range r.ended {
		if c.work.Priority == 0 {
			continue
		}
		n++
		if c.longest > gap {
			stalled++
		}
		if c.first > aim {
			late++
		}
	}
	return stalled / n, late / n
}

var _ = Describe("prompts that come one after another", func() {
	// Each prompt is short, but a peak of them leaves the streams of a target no
	// moment to go on.
	for _, part := range []float64{0.7, 0.75, 0.8} {
		It(fmt.Sprintf("stall fewer streams at a peak of %.0f%% when they are held until a target rests", 100*part), func() {
			const seeds, span = 6, 20 * time.Second
			var with, without, late float64
			for seed := range uint64(seeds) {
				stalled, _ := newSpellRegion(seed+1).run(part, span, false)
				without += stalled / seeds
				stalled, behind := newSpellRegion(seed+1).run(part, span, true)
				with += stalled / seeds
				late += behind / seeds
			}
			Expect(with).To(BeNumerically("<", without))
			Expect(late).To(BeNumerically("<", 0.05), "first tokens in time for 95 in 100")
		})
	}
})
