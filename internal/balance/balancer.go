package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

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
type Balancer struct {
	policy  Policy
	random  *rand.Rand
	region  string
	targets map[string]*target
	// services are the targets by service, in order of ID.
	services map[string][]*target
	hosts    Hosts
	cold     map[string]float64 // rate of cold targets by service
	paces    map[string]*pace
	fetches  map[string]*pace
	prompted map[string]bool // services whose calls have prompts
	own      map[string]*serviceFlows
	others   map[string]hostFlows // by host of the region
}

// hostFlows are the flows that another host told.
type hostFlows struct {
	flows map[string]Flows
	at    time.Time
}

// BookOption changes a Book under construction.
type Option func(*Balancer)

// WithPolicy sets the weights of the choices.
func WithPolicy(p Policy) Option { return func(b *Balancer) { b.policy = p.orDefault() } }

// NewBook returns an empty Book for a region.
func NewBalancer(region string, seed uint64, options ...Option) *Balancer {
	b := &Balancer{policy: DefaultPolicy(), region: region, random: rand.New(rand.NewPCG(seed, seed)), targets: map[string]*target{}, cold: map[string]float64{},
		paces: map[string]*pace{}, fetches: map[string]*pace{}, prompted: map[string]bool{}, own: map[string]*serviceFlows{}, others: map[string]hostFlows{}}
	for _, option := range options {
		option(b)
	}
	return b
}

// Configure takes the targets of a snapshot.
func (b *Balancer) Configure(s *catalogue.Snapshot) {
	for id, t := range s.Targets {
		if t.Region != b.region || s.Evacuated[t.DataCentre] {
			continue
		}
		known := b.targets[id]
		switch {
		case known == nil:
			known = newTarget(t, b.pace(t.Service), b.fetchPace(t.Service))
			b.targets[id] = known
			b.pickNew(known)
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
	b.sortServices()
	if s.Table == nil {
		return
	}
	for _, t := range b.targets {
		if service := s.Table.Service(t.Service); service != nil {
			b.cold[t.Service] = service.ColdPerSecond
		}
	}
}

// sortServices lists the targets of each service.
func (b *Balancer) sortServices() {
	b.services = map[string][]*target{}
	for _, t := range b.targets {
		b.services[t.Service] = append(b.services[t.Service], t)
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(x, y *target) int { return cmp.Compare(x.ID, y.ID) })
	}
}

// SetHosts takes what is known of the region's hosts. What hosts that are gone had
// at targets ends with their connections.
func (b *Balancer) SetHosts(h Hosts) {
	before := b.hosts.Live
	b.hosts = h
	b.pickAgain(before)
	if !b.Coordinated() || slices.Equal(before, h.Live) {
		return // in a small region, shares are believed for a short time only
	}
	live := setOf(h.Live)
	for _, t := range b.targets {
		maps.DeleteFunc(t.shares, func(host string, _ hostShare) bool { return !live[host] })
	}
}

// usable reports whether new calls may go to the target.
func (b *Balancer) usable(now time.Time, t *target) bool {
	return !t.refuses(now) && b.inService(now, t)
}

// inService reports whether calls may go to the target as far as the store says.
func (b *Balancer) inService(now time.Time, t *target) bool {
	if t.State != catalogue.Ready {
		return false
	}
	return !now.Before(t.ColdUntil) || b.mayWarm(now, t)
}

// mayWarm reports whether the host may send to a cold target: one host of the
// region does, at a bounded rate, and only while it hears most of the others, so
// that hosts that cannot hear one another do not add up.
func (b *Balancer) mayWarm(now time.Time, t *target) bool {
	if !b.hosts.Settled || 2*len(b.hosts.Live) <= b.hosts.Known || !t.cold.allows(now) {
		return false
	}
	return t.picked.host == b.hosts.Self
}

// Choice is the best target for a call.
type Choice struct {
	Target     catalogue.Target
	Prediction Prediction
	// Source is the target from which Fetched tokens of the prompt are fetched that it
	// keeps. It is empty when nothing is fetched.
	Source  catalogue.Target
	Fetched int
	// Least is the fewest tokens of the prompt that any target would read.
	MinUnread int
	// Pause is the mean pause between events at the service's targets.
	Pause time.Duration
}

// Choose returns the target with the lowest predicted time, or false when none
// may be used. Targets that are excluded come only when there are no others. Where
// coordinators have spoken for the call, only their targets come into question.
func (b *Balancer) Choose(now time.Time, w Work, exclude []string) (Choice, bool) {
	b.prompted[w.Service] = b.prompted[w.Service] || w.Tokens > 0
	choices := b.serving(now, w.Service, exclude)
	views := b.policy.withFetches(w, b.views(now, w, choices))
	least := w.Tokens
	for _, v := range views {
		least = min(least, v.unread)
	}
	home := homeOf(w, views)
	var best *view
	var prediction Prediction
	bestCost := time.Duration(0)
	consider := func(v *view, p Prediction) {
		again := fromMilliseconds(float64(p.Unread-least) / v.effectiveRate(now))
		cost := p.Total() + v.health.cost(now) + Scale(again, b.policy.RereadWeight) + b.policy.stallCost(p.Stalled)
		if least > w.Tokens-sharedTokens(w) {
			cost += b.firstRead(now, v.target, w, home)
		}
		cost = b.jitter(cost)
		if best == nil || cost < bestCost {
			best, prediction, bestCost = v, p, cost
		}
	}
	for i := range views {
		v := &views[i]
		p := v.predict(now, w)
		consider(v, p)
		if p.Stalled > 0 && v.reading > 0 && !w.NoHold {
			consider(v, v.afterRest(now, w))
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice := Choice{Target: best.Target, MinUnread: least, Prediction: prediction, Pause: meanPause(now, choices)}
	if best.source != nil {
		choice.Source, choice.Fetched = best.source.Target, best.fetched
	}
	return choice, true
}

// views returns the targets as a call finds them: those that coordinators spoke of,
// if there are any, and else all as the host believes.
func (b *Balancer) views(now time.Time, w Work, choices []*target) []view {
	var out []view
	for _, t := range choices {
		load, ok := w.Loads[t.ID]
		if !ok {
			continue
		}
		t.takeSpare(now, load.TargetShare)
		if load.BackoffMs == 0 {
			out = append(out, t.viewOf(w, load))
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, t := range choices {
		v := t.view(now, w)
		if !b.Coordinated() {
			v.reading = t.spell.lasts(now)
		}
		out = append(out, v)
	}
	return out
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

func (b *Balancer) jitter(cost time.Duration) time.Duration {
	return Scale(cost, 1+jitterShare*(b.random.Float64()-0.5)) + Scale(jitterFloor, b.random.Float64())
}

// firstRead is the cost of reading parts at a target when no target is known to
// keep all of them: a short first part that all prompts share is kept everywhere. It
// leads all hosts to the same target, also hosts that have restarted and do not know
// what targets keep. In a large region, hosts ask only about the targets that parts
// hash to, so that long parts read elsewhere are read again.
func (b *Balancer) firstRead(now time.Time, t *target, w Work, home string) time.Duration {
	if len(w.Parts) < 2 {
		return 0
	}
	if b.Coordinated() && t.ID != home && sharedTokens(w) >= minKeptTokens {
		return Scale(fromMilliseconds(float64(sharedTokens(w))/t.effectiveRate(now)), b.policy.RereadWeight)
	}
	return Scale(firstReadCost, 1-float64(partRank(t, w)>>11)/(1<<53))
}

// homeOf returns the target of the list that the call's shared parts hash to.
func homeOf(w Work, list []view) string {
	if len(w.Parts) < 2 || len(list) == 0 {
		return ""
	}
	return slices.MaxFunc(list, func(x, y view) int { return cmp.Compare(partRank(x.target, w), partRank(y.target, w)) }).ID
}

// partRank orders targets for the call's shared parts, of which there is one at least.
func partRank(t *target, w Work) uint64 {
	return mix(t.hash ^ w.Parts[len(w.Parts)-2].ID)
}

// sharedTokens counts the tokens of a prompt that other prompts share.
func sharedTokens(w Work) int {
	tokens := 0
	for _, p := range w.Parts[:max(0, len(w.Parts)-1)] {
		tokens += p.Tokens
	}
	return tokens
}

// serving returns the usable targets of a service in order of ID. It leaves out
// excluded ones, and those that are ejected or want nothing from other hosts, as long
// as others are there.
func (b *Balancer) serving(now time.Time, service string, exclude []string) []*target {
	var good, ejected, excluded []*target
	for _, t := range b.services[service] {
		switch {
		case !b.usable(now, t):
		case slices.Contains(exclude, t.ID):
			excluded = append(excluded, t)
		case t.health.out(now), t.spared(now), t.dark(now):
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
	return out
}

// Flight is a call at a target, from its sending to its end.
type Flight struct {
	target  *target
	work    Work
	began   time.Time
	eventAt time.Time // when the last event came after the first one, zero before
	unread  int
	fetched int
	ahead   float64
	first   bool
	ended   bool
}

// FlightOption changes a Flight that begins.
type FlightOption func(*Flight)

// WithFetch tells that the target fetches the given tokens of the prompt from another one.
func WithFetch(tokens int) FlightOption { return func(f *Flight) { f.fetched = tokens } }

// Begin notes that a call is sent to a target. It returns nil when the target is
// no longer known.
func (b *Balancer) Begin(now time.Time, id string, w Work, options ...FlightOption) *Flight {
	t := b.targets[id]
	if t == nil {
		return nil
	}
	v := t.view(now, w)
	f := &Flight{target: t, work: w, began: now, ahead: v.backlog, unread: v.unread}
	for _, option := range options {
		option(f)
	}
	if said, ok := w.Loads[id]; ok {
		f.ahead, f.unread = float64(said.backlog(w.Priority)), said.Unread
	}
	f.unread = max(0, f.unread-f.fetched)
	t.prompts = t.prompts || w.Tokens > 0
	if len(t.flying) == 0 {
		t.progressAt = now
	}
	t.flying[f] = struct{}{}
	t.noteSpell(now)
	t.keep(now, now.Add(t.timeToRead(now, f.ahead+float64(f.unread))), keysOf(w.Parts))
	if b.Coordinated() {
		t.note(now, beginning{at: now, rank: w.Priority, unread: f.unread})
	}
	b.flows(t.Service).begun.add(now, t.amount(f))
	if now.Before(t.ColdUntil) {
		t.cold.spend(now, b.cold[t.Service])
	}
	return f
}

// Event notes a pause between two events of a stream.
func (b *Balancer) Event(now time.Time, f *Flight, pause time.Duration) {
	if f != nil {
		f.eventAt = now
		f.target.pauses.add(now, pause)
	}
}

// First notes the first byte of the answer.
func (b *Balancer) FirstByte(now time.Time, f *Flight) {
	if f == nil || f.first {
		return
	}
	f.first = true
	f.target.learnFirst(now, f)
	f.target.noteSpell(now)
}

// End notes the end of a call at a target.
func (b *Balancer) End(now time.Time, f *Flight, r Result) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	dark := r == Silent && f.target.dark(now)
	delete(f.target.flying, f)
	f.target.noteSpell(now)
	f.target.health.note(now, r)
	if dark && !f.target.health.out(now) {
		f.target.health.eject(now)
	}
	if r == Answered {
		f.target.learnEnd(now.Sub(f.began))
	}
}

// Observe takes the load that a target tells with an answer.
func (b *Balancer) Observe(now time.Time, id string, l Load) {
	if t := b.targets[id]; t != nil {
		t.load, t.loadAt = l, now
	}
}

// Chill takes a target for cold for a while, as it says of itself.
func (b *Balancer) MarkCold(now time.Time, id string, d time.Duration) {
	if t := b.targets[id]; t != nil {
		t.ColdUntil = now.Add(d)
	}
}

// Faulty reports whether a target fails so many calls that the calls are not why.
func (b *Balancer) Faulty(now time.Time, id string) bool {
	t := b.targets[id]
	return t != nil && t.health.share(now) > faultyShare
}

// Leaves takes a target out of use, as it says of itself.
func (b *Balancer) MarkLeaving(id string) {
	if t := b.targets[id]; t != nil {
		t.State = catalogue.Draining
	}
}
