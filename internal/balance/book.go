package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// Hosts is what the book must know of the region's hosts.
type Hosts struct {
	Self string
	// Live are the hosts of the region that answer, with Self.
	Live []string
	// Known is how many hosts of the region there are, silent ones included.
	Known int
	// Settled tells that the host has had time to hear of the others.
	Settled bool
}

// Book is what a host believes of its region's targets. Its owner serialises
// the calls.
type Book struct {
	random  *rand.Rand
	region  string
	targets map[string]*target
	hosts   Hosts
	cold    map[string]float64 // rate of cold targets by service
	fresh   []partNote         // not yet told to the other hosts
	told    map[partNote]time.Time
	paces   map[string]*pace
	own     map[string]*serviceFlows
	others  map[string]hostFlows // by host of the region
}

// hostFlows are the flows that another host told.
type hostFlows struct {
	flows map[string]Flows
	at    time.Time
}

// NewBook returns an empty Book for a region.
func NewBook(region string, seed uint64) *Book {
	return &Book{region: region, random: rand.New(rand.NewPCG(seed, seed)), targets: map[string]*target{}, cold: map[string]float64{}, told: map[partNote]time.Time{},
		paces: map[string]*pace{}, own: map[string]*serviceFlows{}, others: map[string]hostFlows{}}
}

// Configure takes the targets of a snapshot.
func (b *Book) Configure(s *catalogue.Snapshot) {
	for id, t := range s.Targets {
		if t.Region != b.region || s.Evacuated[t.DataCentre] {
			continue
		}
		known := b.targets[id]
		switch {
		case known == nil:
			b.targets[id] = newTarget(t, b.pace(t.Service))
		case known.Incarnation != t.Incarnation:
			known.restart(t)
		default:
			known.Target = t
		}
	}
	for id, t := range b.targets {
		if now, there := s.Targets[id]; !there || s.Evacuated[now.DataCentre] {
			delete(b.targets, t.ID)
		}
	}
	if s.Table == nil {
		return
	}
	for _, t := range b.targets {
		if service := s.Table.Service(t.Service); service != nil {
			b.cold[t.Service] = service.ColdPerSecond
		}
	}
}

// SetHosts takes what is known of the region's hosts.
func (b *Book) SetHosts(h Hosts) { b.hosts = h }

// usable reports whether new calls may go to the target.
func (b *Book) usable(now time.Time, t *target) bool {
	if t.State != catalogue.Ready {
		return false
	}
	return !now.Before(t.ColdUntil) || b.mayWarm(now, t)
}

// mayWarm reports whether the host may send to a cold target: one host of the
// region does, at a bounded rate, and only while it hears most of the others, so
// that hosts that cannot hear one another do not add up.
func (b *Book) mayWarm(now time.Time, t *target) bool {
	if !b.hosts.Settled || 2*len(b.hosts.Live) <= b.hosts.Known || !t.cold.allows(now) {
		return false
	}
	return First(b.hosts.Live, t.ID) == b.hosts.Self
}

// First returns the name with the highest hash together with the key.
func First(names []string, key string) string {
	best, rank := "", uint64(0)
	for _, name := range names {
		if r := xxhash.Sum64String(name + "\x00" + key); best == "" || r > rank || (r == rank && name < best) {
			best, rank = name, r
		}
	}
	return best
}

// Choice is the best target for a call.
type Choice struct {
	Target     catalogue.Target
	Prediction Prediction
	// Least is the fewest tokens of the prompt that any target would read.
	Least int
	// Pause is the mean pause between events at the service's targets.
	Pause time.Duration
}

// Choose returns the target with the lowest predicted time, or false when none
// may be used. Targets that are excluded come only when there are no others.
func (b *Book) Choose(now time.Time, w Work, exclude []string) (Choice, bool) {
	var best *target
	var prediction Prediction
	bestCost := time.Duration(0)
	choices := b.serving(now, w.Service, exclude)
	least := w.Tokens
	for _, t := range choices {
		least = min(least, t.unread(now, w))
	}
	for _, t := range choices {
		p := t.predict(now, w)
		again := fromMilliseconds(float64(p.Unread-least) / t.effectiveRate(now))
		cost := p.Total() + t.health.cost(now) + scale(again, rereadWeight) + scale(stallCost, p.Stalled)
		if least == w.Tokens {
			cost += firstRead(t, w)
		}
		cost = b.jitter(cost)
		if best == nil || cost < bestCost {
			best, prediction, bestCost = t, p, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Target: best.Target, Least: least, Prediction: prediction, Pause: meanPause(now, choices)}, true
}

// meanPause is the mean pause between events over targets where streams run.
func meanPause(now time.Time, list []*target) time.Duration {
	sum, n := time.Duration(0), 0
	for _, t := range list {
		if d, ok := t.pause(now); ok {
			sum += d
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}

const (
	// jitterShare spreads the choices of hosts that know the same.
	jitterShare = 0.15
	// jitterFloor does the same between targets that are all idle.
	jitterFloor = 10 * time.Millisecond
	// firstReadCost is the most that it costs to read parts that no target is known
	// to keep at another one than the target that they hash to.
	firstReadCost = 20 * time.Millisecond
)

func (b *Book) jitter(cost time.Duration) time.Duration {
	return scale(cost, 1+jitterShare*(b.random.Float64()-0.5)) + scale(jitterFloor, b.random.Float64())
}

// firstRead is the cost of reading parts at a target when no target is known to
// keep them. It leads all hosts to the same target, also hosts that have restarted
// and do not know what targets keep.
func firstRead(t *target, w Work) time.Duration {
	if len(w.Parts) < 2 {
		return 0
	}
	h := mix(xxhash.Sum64String(t.ID) ^ w.Parts[len(w.Parts)-2].ID)
	return scale(firstReadCost, 1-float64(h>>11)/(1<<53))
}

// serving returns the usable targets of a service in order of ID. It leaves out
// ejected and excluded ones as long as others are there.
func (b *Book) serving(now time.Time, service string, exclude []string) []*target {
	var good, ejected, excluded []*target
	for _, t := range b.targets {
		switch {
		case t.Service != service || !b.usable(now, t):
		case slices.Contains(exclude, t.ID):
			excluded = append(excluded, t)
		case t.health.out(now):
			ejected = append(ejected, t)
		default:
			good = append(good, t)
		}
	}
	out := good
	if len(out) == 0 {
		out = ejected
	}
	if len(out) == 0 {
		out = excluded
	}
	slices.SortFunc(out, func(x, y *target) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// Flight is a call at a target, from its sending to its end.
type Flight struct {
	target *target
	work   Work
	began  time.Time
	unread int
	ahead  float64
	first  bool
	ended  bool
}

// Begin notes that a call is sent to a target. It returns nil when the target is
// no longer known.
func (b *Book) Begin(now time.Time, id string, w Work) *Flight {
	t := b.targets[id]
	if t == nil {
		return nil
	}
	f := &Flight{target: t, work: w, began: now, ahead: t.backlog(now, w.Rank)}
	f.unread = t.unread(now, w)
	t.prompts = t.prompts || w.Tokens > 0
	if len(t.flying) == 0 {
		t.progressAt = now
	}
	t.flying[f] = struct{}{}
	t.keep(now, w.Parts)
	b.tell(now, id, w)
	b.flows(t.Service).begun.add(now, t.amount(f))
	if now.Before(t.ColdUntil) {
		t.cold.spend(now, b.cold[t.Service])
	}
	return f
}

// Event notes a pause between two events of a stream.
func (b *Book) Event(now time.Time, f *Flight, pause time.Duration) {
	if f != nil {
		f.target.pauses.add(now, pause)
	}
}

// First notes the first byte of the answer.
func (b *Book) First(now time.Time, f *Flight) {
	if f == nil || f.first {
		return
	}
	f.first = true
	f.target.learnFirst(now, f)
}

// End notes the end of a call at a target.
func (b *Book) End(now time.Time, f *Flight, r Result) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	delete(f.target.flying, f)
	f.target.health.note(now, r)
	if r == Answered {
		f.target.learnEnd(now.Sub(f.began))
	}
}

// Observe takes the load that a target tells with an answer.
func (b *Book) Observe(now time.Time, id string, l Load) {
	if t := b.targets[id]; t != nil {
		t.load, t.loadAt = l, now
	}
}

// Chill takes a target for cold for a while, as it says of itself.
func (b *Book) Chill(now time.Time, id string, d time.Duration) {
	if t := b.targets[id]; t != nil {
		t.ColdUntil = now.Add(d)
	}
}

// Faulty reports whether a target fails so many calls that the calls are not why.
func (b *Book) Faulty(now time.Time, id string) bool {
	t := b.targets[id]
	return t != nil && t.health.share(now) > faultyShare
}

// Leaves takes a target out of use, as it says of itself.
func (b *Book) Leaves(id string) {
	if t := b.targets[id]; t != nil {
		t.State = catalogue.Draining
	}
}
