package balance

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
)

// Hosts describes the hosts of the balancer's region.
type Hosts struct {
	Self string
	// Live are the reachable hosts of the region, including Self.
	Live []string
	// Attached are the live hosts that are not detached from all targets. Only these are
	// responsible for targets, unless there are none.
	Attached []string
	// Known is the number of hosts of the region, including unreachable ones.
	Known int
	// Sharers is the number of hosts that may be sending to the region's targets: all except
	// those that have left. Lost ones count until they are forgotten.
	Sharers int
	// Legacy are the live hosts of builds that do not check the health of targets in doubt.
	Legacy map[string]bool
	// Settled reports that the host has run long enough to have discovered the others.
	Settled bool
}

// holders returns the hosts among which the responsibility for targets is divided.
func (h Hosts) holders() []string {
	if len(h.Attached) > 0 {
		return h.Attached
	}
	return h.Live
}

// Balancer tracks the state of the targets in one host's region and chooses targets for
// calls. It is not safe for concurrent use.
type Balancer struct {
	policy  Policy
	random  *rand.Rand
	region  string
	targets map[string]*target
	// services are the targets by service, ordered by ID.
	services       map[string][]*target
	hosts          Hosts
	coldRates      map[string]float64       // calls per second that a cold target can serve, by service
	coldStarts     map[string]time.Duration // time for which a new process is cold, by service
	readRates      map[string]*rateEstimate
	fetchRates     map[string]*rateEstimate
	promptServices map[string]bool // services whose calls have prompts
	ownFlows       map[string]*serviceFlows
	peerFlows      map[string]hostFlows // by host of the region
	workPerCall    map[string]float64   // mean work of a call in the units of Flows, by service
	// formerLimits are the limits of targets that are gone, by incarnation. A target may come
	// back without a restart, for example from an evacuated data centre.
	formerLimits map[string]limitRecord
	limitQueues  map[string]time.Time     // by service, see QueueForLimit
	brittle      map[string]brittleRecord // by service
	refusedAt    map[string]time.Time     // by service, see avoidsFull
	doubts       uint64                   // number of the last doubt of this host
	refutations  []Statement              // see DueStatements
	polledAt     time.Time                // last call of DueDoubts
	// resumedAt is when the process was found to have been paused, and pausedAt its last poll before.
	resumedAt, pausedAt time.Time
	// detached is set while the host has no path to any target, and attachedReach is how many it
	// has one to otherwise. toldReach is the last result of UpdateReach. respondedAt is when a target last
	// responded on a connection, and probedAt when the host last probed a path.
	detached                 bool
	attachedReach, toldReach Reach
	respondedAt, probedAt    time.Time
}

// hostFlows are the flows that another host has reported.
type hostFlows struct {
	flows     map[string]Flows
	updatedAt time.Time
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithPolicy sets the weights of the choices.
func WithPolicy(p Policy) Option { return func(b *Balancer) { b.policy = p.orDefault() } }

// NewBalancer returns a Balancer without targets for a region.
func NewBalancer(region string, seed uint64, options ...Option) *Balancer {
	b := &Balancer{policy: DefaultPolicy(), region: region, attachedReach: ReachMost, toldReach: ReachMost, random: rand.New(rand.NewPCG(seed, seed)), targets: map[string]*target{}, coldRates: map[string]float64{}, coldStarts: map[string]time.Duration{},
		readRates: map[string]*rateEstimate{}, fetchRates: map[string]*rateEstimate{}, promptServices: map[string]bool{}, ownFlows: map[string]*serviceFlows{}, peerFlows: map[string]hostFlows{},
		workPerCall: map[string]float64{}, formerLimits: map[string]limitRecord{}, limitQueues: map[string]time.Time{}, brittle: map[string]brittleRecord{}, refusedAt: map[string]time.Time{}}
	for _, option := range options {
		option(b)
	}
	return b
}

// Restart is the start of a new process of a known target.
type Restart struct {
	Target, Incarnation, PreviousIncarnation string
	// Cold is how much longer the new process is cold.
	Cold time.Duration
	// RecentCalls is the number of calls that this host sent to the target in the last second,
	// when it did not know of the new process.
	RecentCalls int
	// Ejected is set if the host had ejected the target.
	Ejected bool
}

// Configure applies the targets of a snapshot. It returns the targets that have restarted.
func (b *Balancer) Configure(now time.Time, s *catalogue.Snapshot) []Restart {
	var restarts []Restart
	for _, t := range s.Targets {
		if service := s.Service(t.Service); service != nil {
			b.coldRates[t.Service], b.coldStarts[t.Service] = service.ColdPerSecond, service.ColdStart
		}
	}
	for id, t := range s.Targets {
		if t.Region != b.region || s.Evacuated[t.DataCentre] {
			continue
		}
		known := b.targets[id]
		switch {
		case known == nil:
			known = newTarget(t, b.readRate(t.Service), b.fetchRate(t.Service))
			b.targets[id] = known
			b.assign(known)
			b.selectPace(known)
			b.restoreLimit(known)
			b.expectWarm(now, known)
		case known.Incarnation != t.Incarnation:
			restarts = append(restarts, Restart{
				Target: id, Incarnation: t.Incarnation, PreviousIncarnation: known.Incarnation, Cold: max(0, t.ColdUntil.Sub(now)),
				RecentCalls: known.recentCalls.count(now), Ejected: known.health.ejected(now),
			})
			known.restart(now, t)
			b.expectWarm(now, known)
		default:
			known.Target = t
			b.expectWarm(now, known)
		}
	}
	for id, t := range b.targets {
		if current, found := s.Targets[id]; !found || current.Region != b.region || s.Evacuated[current.DataCentre] {
			b.retainLimit(t)
			delete(b.targets, t.ID)
		}
	}
	b.sortServices()
	return restarts
}

// sortServices rebuilds the list of targets of each service.
func (b *Balancer) sortServices() {
	b.services = map[string][]*target{}
	for _, t := range b.targets {
		b.services[t.Service] = append(b.services[t.Service], t)
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(x, y *target) int { return cmp.Compare(x.ID, y.ID) })
	}
}

// SetHosts updates the hosts of the region. When hosts are gone, their calls end with their
// connections, so their shares are dropped.
func (b *Balancer) SetHosts(now time.Time, h Hosts) {
	previous, previousHolders := b.hosts.Live, b.hosts.holders()
	b.hosts = h
	b.reassignAll(now, previousHolders)
	b.selectPaces()
	if !b.Coordinated() || slices.Equal(previous, h.Live) {
		return // in a small region, shares expire soon by themselves
	}
	live := setOf(h.Live)
	for _, t := range b.targets {
		maps.DeleteFunc(t.peerShares, func(host string, _ hostShare) bool { return !live[host] })
	}
}

// usable reports whether new calls may be sent to the target.
func (b *Balancer) usable(now time.Time, t *target) bool {
	return !t.backsOff(now) && b.inService(now, t)
}

// available reports whether the target is usable and does not fail its calls.
func (b *Balancer) available(now time.Time, t *target) bool {
	return b.usable(now, t) && !t.health.ejected(now)
}

// inService reports whether the target is ready, its process is not in doubt, and it is warm or
// allowed to get a call while cold.
func (b *Balancer) inService(now time.Time, t *target) bool {
	if t.State != catalogue.Ready || !t.probation.allows(now) {
		return false
	}
	return !t.restricted(now) || (!t.blocked(now) && b.maySendCold(now, t))
}

// maySendCold reports whether the host may send a call to a cold target. Only one host of
// the region does, at a limited rate, and only while it reaches most of the others: hosts
// that are partitioned from one another could exceed the rate together.
func (b *Balancer) maySendCold(now time.Time, t *target) bool {
	if !b.hosts.Settled || 2*len(b.hosts.Live) <= b.hosts.Known || !t.coldLimiter.allows(now) {
		return false
	}
	return t.assigned.host == b.hosts.Self
}

// Choice is the best target for a call.
type Choice struct {
	Target     catalogue.Target
	Prediction Prediction
	// Source is the target from which the chosen one fetches Fetched tokens of the prompt
	// that Source has cached. It is empty when nothing is fetched.
	Source  catalogue.Target
	Fetched int
	// MinUnread is the smallest number of prompt tokens that any candidate would read.
	MinUnread int
	// Pause is the mean pause between events at the service's targets.
	Pause time.Duration
	// Version is the software version of the target, Unknown while its process is in doubt.
	Version continuation.Version
	// Full is the number of candidates that were left out because all of their slots are taken.
	Full int
	// NoPath is set if this host has no path to the target and must pass the call to another host
	// of the region.
	NoPath bool
}

// Choose returns the target with the lowest cost, or false when none is usable. Excluded
// targets are considered only if there are no others. If coordinators have reported loads
// for the call, only the targets they reported are considered.
func (b *Balancer) Choose(now time.Time, w Work, exclude []string) (Choice, bool) {
	b.promptServices[w.Service] = b.promptServices[w.Service] || w.Tokens > 0
	targets := b.eligible(now, w, exclude)
	known, full := b.withoutFull(now, w, b.candidates(now, w, targets))
	candidates := b.policy.withFetches(w, known)
	minUnread := w.Tokens
	for _, c := range candidates {
		minUnread = min(minUnread, c.unread)
	}
	affinityID := affinityTarget(w, candidates)
	var best *candidate
	var prediction Prediction
	bestCost := time.Duration(0)
	consider := func(c *candidate, p Prediction) {
		rereadTime := fromMilliseconds(float64(p.Unread-minUnread) / b.rereadRate(now, c.target))
		cost := p.Total() + c.health.penalty(now) + Scale(rereadTime, b.policy.RereadWeight) + b.policy.stallCost(p.Stalled)
		if minUnread > w.Tokens-sharedTokens(w) {
			cost += b.uncachedCost(now, c.target, w, affinityID)
		}
		if b.pathless(now, c.target) {
			cost += detourCost
		}
		cost = b.jitter(cost)
		if best == nil || cost < bestCost {
			best, prediction, bestCost = c, p, cost
		}
	}
	for i := range candidates {
		c := &candidates[i]
		p := c.predict(now, w)
		consider(c, p)
		if p.Stalled > 0 && c.busyFor > 0 && !w.NoHold {
			consider(c, c.predictHeld(now, w))
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice := Choice{Target: best.Target, Full: full, MinUnread: minUnread, Prediction: prediction, Pause: meanPause(now, targets)}
	choice.NoPath = b.pathless(now, best.target)
	if best.doubt.number == 0 {
		choice.Version = best.Version()
	}
	if best.fetchSource != nil {
		choice.Source, choice.Fetched = best.fetchSource.Target, best.fetched
	}
	return choice, true
}

// candidates returns the given targets as estimated for a call. Targets with a load that a
// coordinator reported take precedence; without any, all targets are returned with the
// estimates of this host.
func (b *Balancer) candidates(now time.Time, w Work, targets []*target) []candidate {
	var out []candidate
	for _, t := range targets {
		load, ok := w.Loads[t.ID]
		if !ok {
			continue
		}
		t.mergeBackoff(now, load.TargetShare)
		if load.BackoffMs == 0 {
			out = append(out, t.reportedCandidate(w, load))
		}
	}
	if len(out) == 0 {
		out = b.unanswered(now, w, targets)
	}
	if len(out) > 0 {
		return out
	}
	for _, t := range targets {
		c := t.candidate(now, w)
		if !b.Coordinated() {
			c.busyFor = t.busyPeriod.length(now)
		}
		out = append(out, c)
	}
	return out
}

// meanPause returns the mean pause between events over the targets that have one.
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
	// jitterShare randomises costs, so that hosts with the same information choose
	// different targets.
	jitterShare = 0.15
	// jitterFloor does the same where all costs are near zero, between idle targets.
	jitterFloor = 10 * time.Millisecond
	// detourCost is the cost of passing a call to another host of the region because this one has
	// no path to the target.
	detourCost = 40 * time.Millisecond
	// maxUncachedCost is the largest cost of reading parts that no target is known to have
	// cached at a target other than the one that they hash to.
	maxUncachedCost = 20 * time.Millisecond
)

func (b *Balancer) jitter(cost time.Duration) time.Duration {
	return Scale(cost, 1+jitterShare*(b.random.Float64()-0.5)) + Scale(jitterFloor, b.random.Float64())
}

// uncachedCost returns the cost of reading shared parts at a target when no target is known
// to have cached all of them. A short first part that all prompts share is cached
// everywhere and does not count. The cost leads all hosts to the same target, including
// hosts that have restarted and do not know what targets have cached. In a large region,
// hosts query loads only of the targets that the parts hash to, so long parts that are read
// elsewhere are not found and are read again.
func (b *Balancer) uncachedCost(now time.Time, t *target, w Work, affinityID string) time.Duration {
	if len(w.Parts) < 2 {
		return 0
	}
	if b.Coordinated() && t.ID != affinityID && sharedTokens(w) >= minAffinityTokens {
		return Scale(fromMilliseconds(float64(sharedTokens(w))/b.rereadRate(now, t)), b.policy.RereadWeight)
	}
	return Scale(maxUncachedCost, 1-float64(affinityWeight(t, w)>>11)/(1<<53))
}

// affinityTarget returns the ID of the candidate that the call's shared parts hash to.
func affinityTarget(w Work, list []candidate) string {
	if len(w.Parts) < 2 || len(list) == 0 {
		return ""
	}
	return slices.MaxFunc(list, func(x, y candidate) int { return cmp.Compare(affinityWeight(x.target, w), affinityWeight(y.target, w)) }).ID
}

// affinityWeight returns the rendezvous weight of a target for the call's shared parts. The
// call has at least one shared part.
func affinityWeight(t *target, w Work) uint64 {
	return mix(t.hash ^ w.Parts[len(w.Parts)-2].ID)
}

// sharedTokens returns the number of tokens in the parts of a prompt that other prompts may
// share.
func sharedTokens(w Work) int {
	tokens := 0
	for _, p := range w.Parts[:max(0, len(w.Parts)-1)] {
		tokens += p.Tokens
	}
	return tokens
}

// eligible returns the targets that a call may be sent to, ordered by ID. It omits excluded
// targets, and targets that are ejected, unresponsive or have asked other hosts to back
// off, as long as there are others.
func (b *Balancer) eligible(now time.Time, w Work, exclude []string) []*target {
	var preferred, avoided, excluded []*target
	for _, t := range b.services[w.Service] {
		switch {
		case b.pathless(now, t) && (!w.Detour || t.doubt.number > 0 || t.cold(now)):
		case !b.usable(now, t), b.limitWait(now, t, w.Priority) > 0, w.NoLimited && b.needsAdmission(now, t):
		case w.Version != continuation.Unknown && (t.doubt.number > 0 || t.Version() != w.Version):
		case slices.Contains(exclude, t.ID):
			excluded = append(excluded, t)
		case t.health.ejected(now), t.peersBackOff(now), t.unresponsive(now), t.doubt.number > 0, len(w.Young) > 0 && slices.Contains(w.Young, t.Version()):
			avoided = append(avoided, t)
		default:
			preferred = append(preferred, t)
		}
	}
	out := preferred
	if len(out) == 0 {
		out = avoided
	}
	if len(out) == 0 {
		out = excluded
	}
	return out
}

// Flight is a call at a target, from sending to its end.
type Flight struct {
	target        *target
	work          Work
	startedAt     time.Time
	lastEventAt   time.Time // time of the last event after the first one, zero before that
	unread        int
	fetched       int
	backlog       float64
	firstByteSeen bool
	ended         bool
}

// FlightOption configures a Flight.
type FlightOption func(*Flight)

// WithFetch sets how many tokens of the prompt the target fetches from another one.
func WithFetch(tokens int) FlightOption { return func(f *Flight) { f.fetched = tokens } }

// Begin records that a call is sent to a target. It returns nil if the target is no longer
// known.
func (b *Balancer) Begin(now time.Time, id string, w Work, options ...FlightOption) *Flight {
	t := b.targets[id]
	if t == nil {
		return nil
	}
	c := t.candidate(now, w)
	f := &Flight{target: t, work: w, startedAt: now, backlog: c.backlog, unread: c.unread}
	for _, option := range options {
		option(f)
	}
	if load, ok := w.Loads[id]; ok {
		f.backlog, f.unread = float64(load.backlog(w.Priority)), load.Unread
	}
	f.unread = max(0, f.unread-f.fetched)
	t.readsPrompts = t.readsPrompts || w.Tokens > 0
	if len(t.inFlight) == 0 {
		t.progressAt = now
	}
	t.inFlight[f] = struct{}{}
	t.room.recordSent(b.hosts.Self)
	t.updateBusyPeriod(now)
	t.updatePace(now, 0)
	t.addParts(now, now.Add(t.readTime(now, f.backlog+float64(f.unread))), keysOf(w.Parts))
	if b.Coordinated() {
		t.recordStart(now, callStart{at: now, priority: w.Priority, unread: f.unread})
	}
	b.flows(t.Service).started.add(now, t.work(f))
	b.learnWork(t, f)
	t.recentCalls.add(now)
	if now.Before(t.probation.until) && t.probation.flight == nil {
		t.probation.flight = f
	}
	return f
}

// Event records the pause between two events of a stream.
func (b *Balancer) Event(now time.Time, f *Flight, pause time.Duration) {
	if f != nil {
		b.refuteDoubt(now, f)
		f.lastEventAt = now
		f.target.pauses.add(now, pause)
	}
}

// FirstByte records the first byte of the response.
func (b *Balancer) FirstByte(now time.Time, f *Flight) {
	if f == nil || f.firstByteSeen {
		return
	}
	f.firstByteSeen = true
	b.recordResponse(f.startedAt, f.target)
	b.refuteDoubt(now, f)
	if f.target.probation.flight == f {
		f.target.probation = probation{}
	}
	f.target.learnFirstByte(now, f)
	f.target.updateBusyPeriod(now)
	f.target.updatePace(now, f.unread)
}

// End records the end of a call at a target.
func (b *Balancer) End(now time.Time, f *Flight, r Result) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	unresponsive := r == Silent && f.target.unresponsive(now)
	delete(f.target.inFlight, f)
	f.target.updateBusyPeriod(now)
	f.target.updatePace(now, 0)
	if r == Refused || r == Deferred {
		b.recordRefusal(now, f.target.Service)
	}
	switch {
	case r == Unreached:
		b.recordNoPath(now, f.target)
		return
	case r == Silent && b.pathless(now, f.target):
		return
	case r == Answered || r == Failed || r == Refused || r == Deferred:
		b.recordResponse(f.startedAt, f.target)
	}
	f.target.health.record(now, r)
	if unresponsive && !f.target.health.ejected(now) {
		f.target.health.eject(now)
	}
	if r == Answered {
		f.target.learnEnd(now.Sub(f.startedAt))
	}
}

// Observe records the load that a target reports with a response.
func (b *Balancer) Observe(now time.Time, id string, l Load) {
	if t := b.targets[id]; t != nil {
		t.load, t.loadAt = l, now
	}
}

// MarkCold treats a target as cold for a duration, as the target itself states in a response. It
// returns the statement for the other hosts of the region, or false if they know.
func (b *Balancer) MarkCold(now time.Time, id string, d time.Duration) (Statement, bool) {
	t := b.targets[id]
	if t == nil {
		return Statement{}, false
	}
	known := t.cold(now)
	s := Statement{Target: id, ColdMs: d.Milliseconds()}
	b.ApplyStatement(now, s)
	return s, !known
}

// Faulty reports whether a target fails so many calls that the target, rather than the
// calls, is at fault.
func (b *Balancer) Faulty(now time.Time, id string) bool {
	t := b.targets[id]
	return t != nil && t.health.failureRate(now) > faultyFailureRate
}

// MarkLeaving stops sending new calls to a target that is shutting down.
func (b *Balancer) MarkLeaving(id string) {
	if t := b.targets[id]; t != nil {
		t.State = catalogue.Draining
	}
}
