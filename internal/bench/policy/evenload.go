package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// The ways to choose a target that EvenLoad compares.
const (
	// WayBalancer is the choice of package balance.
	WayBalancer = "Balancer"
	// WayOracle knows the state of every target at every moment.
	WayOracle = "Oracle"
	// WayPartition is the choice of package balance, with the targets of a region divided
	// among its hosts.
	WayPartition = "Partition"
)

// EvenLoadWays returns all ways.
func EvenLoadWays() []string { return []string{WayOracle, WayBalancer, WayPartition} }

// EvenLoad is a simulation of how evenly the hosts of three regions of uneven size load model
// engines of different speeds. Hosts use package balance as the gateway does. Calls stay in
// the region at which they arrive.
type EvenLoad struct {
	Hosts   int
	Targets int
	// AgeMs is the interval of the load reports between the hosts of a region.
	AgeMs float64
	// Speeds are the speeds of the targets, in turn, relative to the nominal one.
	Speeds []float64
	// Load is the share of the nominal capacity that arrives. Burst multiplies it for
	// evenLoadBurst; 0 stands for no burst.
	Load  float64
	Burst float64
	// LateShare is the share of queries to coordinators whose reply does not arrive.
	LateShare float64
	// SpeedsChange makes the speeds move on by one target in the middle of the measurement.
	SpeedsChange bool
	// AloneShare is the share of calls without a session.
	AloneShare float64
	Way        string
	Policy     balance.Policy
}

// Name describes the cell without the way and the policy.
func (e EvenLoad) Name() string {
	return fmt.Sprintf("hosts=%d targets=%d age=%g speeds=%d load=%g burst=%g late=%g change=%t alone=%g", e.Hosts, e.Targets, e.AgeMs, len(e.Speeds), e.Load, e.Burst, e.LateShare, e.SpeedsChange, e.AloneShare)
}

// EvenLoadCells returns the cells of the comparison, without ways.
func EvenLoadCells() []EvenLoad {
	var out []EvenLoad
	loads := [][2]float64{{0.5, 0}, {0.8, 0}, {0.5, 2.2}, {0.5, 2.8}}
	for _, targets := range []int{58, 112} {
		for _, hosts := range []int{15, 60, 140} {
			for _, age := range []float64{50, 200, 600} {
				for _, load := range loads {
					for _, late := range []float64{0, 0.3} {
						cell := EvenLoad{Targets: targets, Hosts: hosts, AgeMs: age, Speeds: []float64{1}, Load: load[0], Burst: load[1], LateShare: late}
						out = append(out, cell)
						cell.Speeds = []float64{0.6, 1, 1.6}
						out = append(out, cell)
						alone, changing := cell, cell
						alone.AloneShare, changing.SpeedsChange = 0.5, true
						out = append(out, alone, changing)
					}
				}
			}
		}
	}
	return out
}

// EvenLoadRow is the result of EvenLoad.
type EvenLoadRow struct {
	Cell  string
	Way   string
	Calls int
	// PeakRatio is the reading time of the calls sent to the busiest target of a region relative to
	// the region's mean, over the whole measurement; PeakSecond is the mean over seconds.
	// It is the largest of the regions.
	PeakRatio  float64
	PeakSecond float64
	// SpeedRatios are the mean reading time of the calls at the targets of each speed, relative
	// to the mean of all.
	SpeedRatios []float64
	// RejectedShare is the share of sends that full targets rejected, and UnservedShare that
	// of calls which no target ran.
	RejectedShare float64
	UnservedShare float64
	// WastedShare is the share of the targets' time in which they were idle while prompts
	// waited behind others in their region.
	WastedShare float64
	// RereadShare is the share of shared parts, by tokens, that targets had to read.
	RereadShare     float64
	FirstTokenP50Ms float64
	FirstTokenP99Ms float64
}

const (
	evenLoadWarmUp   = 4 * time.Second
	evenLoadDuration = 12 * time.Second
	evenLoadBurstAt  = 6 * time.Second
	evenLoadBurst    = 4 * time.Second
	// evenLoadAttempts limits the targets that a call is sent to.
	evenLoadAttempts = 2
	evenLoadChunk    = 2048
	// queryTimeout is the coordinator timeout of the gateway.
	queryTimeout = 12 * time.Millisecond
	wasteSample  = 10 * time.Millisecond
	streamGap    = 600 * time.Millisecond
	// evenLoadHit is the assumed share of shared parts that are cached, for the nominal capacity.
	evenLoadHit = 0.7
)

// evenLoadRegions are the relative sizes of the regions.
var evenLoadRegions = []int{30, 18, 10}

// evenLoadKind is a kind of calls.
type evenLoadKind struct {
	prompt, tokens int
	// shared are the prompt tokens that the calls of a session have in common, and sessions is
	// the number of sessions for each target.
	shared, sessions int
	// weight is how many of 9 calls are of the kind.
	weight int
}

var evenLoadKinds = []evenLoadKind{
	{prompt: 12000, tokens: 380, shared: 4870, sessions: 2, weight: 1}, {prompt: 2400, tokens: 30, shared: 900, sessions: 6, weight: 8},
}

type evenHost struct {
	name     string
	region   *evenRegion
	balancer *balance.Balancer
}

type evenTarget struct {
	*replica
	rate  float64 // tokens per millisecond at the current speed
	speed int     // index in Speeds
	work  float64 // reading time of the calls in the measurement, in milliseconds
	// second is work at the end of the last full second.
	second float64
	// underway are the prompt tokens of the calls that have been sent and not arrived.
	underway map[*job]float64
}

type evenRegion struct {
	hosts   []*evenHost
	byName  map[string]*evenHost
	targets []*evenTarget
	byID    map[string]*evenTarget
	peaks   []float64 // peak-to-mean ratio of each second
}

type evenCall struct {
	*job
	host   *evenHost
	work   balance.Work
	tried  []string
	flight *balance.Flight
	target *evenTarget
	sentAt time.Duration
}

// evenLoad runs one EvenLoad.
type evenLoad struct {
	EvenLoad
	clock   *virtualClock
	random  *rand.Rand // arrivals and targets, the same for all ways
	draws   *rand.Rand
	regions []*evenRegion
	calls   map[*job]*evenCall

	sends, rejected, arrived, unserved int
	sharedTokens, rereadTokens         float64
	wasted, samples                    int
	first                              *hdrhistogram.Histogram
}

// Run simulates the scenario.
func (e EvenLoad) Run(seed uint64) (EvenLoadRow, error) {
	table, err := route.NewTable(route.Document{Version: 1, Services: []route.Service{{Name: serviceName}}})
	if err != nil {
		return EvenLoadRow{}, errors.Wrap(err, "even load")
	}
	s := &evenLoad{
		EvenLoad: e, clock: &virtualClock{}, random: rand.New(rand.NewPCG(seed, 1)), draws: rand.New(rand.NewPCG(seed, 2)),
		calls: map[*job]*evenCall{}, first: hdrhistogram.New(1, maxMicros, significantDigits),
	}
	for i := range evenLoadRegions {
		s.addRegion(i, table, seed)
	}
	s.scheduleArrival()
	s.clock.after(evenLoadWarmUp, s.sampleWaste)
	s.clock.after(evenLoadWarmUp+time.Second, s.endSecond)
	if s.SpeedsChange {
		s.clock.after((evenLoadWarmUp+evenLoadDuration)/2, func() { s.setSpeeds(1) })
	}
	s.clock.runUntil(evenLoadDuration)
	return s.row(), nil
}

func (s *evenLoad) now() time.Time { return time.Unix(1000, 0).Add(s.clock.now) }

// delay returns the latency of a message within a region.
func (s *evenLoad) delay() time.Duration { return ms(0.5 + s.draws.Float64()) }

func portion(n, region int) int {
	whole := 0
	for _, size := range evenLoadRegions {
		whole += size
	}
	return max(1, (n*evenLoadRegions[region]+whole/2)/whole)
}

func (s *evenLoad) addRegion(i int, table *route.Table, seed uint64) {
	name := fmt.Sprintf("r%d", i)
	r := &evenRegion{byName: map[string]*evenHost{}, byID: map[string]*evenTarget{}}
	snapshot := &catalogue.Snapshot{Table: table, Targets: map[string]catalogue.Target{}, Evacuated: map[string]bool{}}
	for n := range portion(s.Targets, i) {
		id := fmt.Sprintf("%s-t%03d", name, n)
		t := &evenTarget{underway: map[*job]float64{}, replica: &replica{name: id, clock: s.clock, chunk: evenLoadChunk, notify: s.handleReplicaEvent, spec: Replica{
			Slots: 32 + s.random.IntN(17), StepMs: 2.2 + 0.8*s.random.Float64(), PrefillTokensPerSecond: 1000 * (92 + 48*s.random.Float64()), CachePrefixes: 96,
		}}}
		r.targets, r.byID[id] = append(r.targets, t), t
		snapshot.Targets[id] = catalogue.Target{Report: catalogue.Report{ID: id, Service: serviceName, Address: id, DataCentre: "dc", Slots: t.spec.Slots}, Region: name, Incarnation: id + "@1"}
	}
	var names []string
	for n := range portion(s.Hosts, i) {
		names = append(names, fmt.Sprintf("%s-h%03d", name, n))
	}
	for n, host := range names {
		h := &evenHost{name: host, region: r, balancer: balance.NewBalancer(name, seed+uint64(1000*i+n), balance.WithPolicy(s.Policy))}
		h.balancer.Configure(s.now(), snapshot)
		h.balancer.SetHosts(s.now(), balance.Hosts{Self: host, Live: names, Attached: names, Known: len(names), Sharers: len(names), Settled: true})
		r.hosts, r.byName[host] = append(r.hosts, h), h
		s.clock.after(ms(s.AgeMs*s.draws.Float64()), func() { s.report(h) })
	}
	s.regions = append(s.regions, r)
	s.setSpeeds(0)
}

// setSpeeds gives each target the speed that follows, by the given number, on the one at its place.
func (s *evenLoad) setSpeeds(shift int) {
	for _, r := range s.regions {
		for n, t := range r.targets {
			t.speed = (n + shift) % len(s.Speeds)
			t.slowdown = 1 / s.Speeds[t.speed]
			t.rate = t.spec.PrefillTokensPerSecond / 1000 * s.Speeds[t.speed]
		}
	}
}

// report sends the host's share to the other hosts of its region.
func (s *evenLoad) report(h *evenHost) {
	share := h.balancer.Share(s.now())
	changes := h.balancer.DueRepeats(s.now())
	for _, other := range h.region.hosts {
		if other != h {
			s.clock.after(s.delay(), func() { other.balancer.Merge(s.now(), h.name, share) })
		}
	}
	for _, c := range changes {
		s.sendChange(h, c)
	}
	s.clock.after(ms(s.AgeMs), func() { s.report(h) })
}

func (s *evenLoad) sendChange(h *evenHost, c balance.Change) {
	for _, name := range h.balancer.ChangeRecipients(c.Target) {
		s.clock.after(s.delay(), func() { h.region.byName[name].balancer.ApplyChange(s.now(), h.name, c) })
	}
}

func (s *evenLoad) reportChange(c *evenCall, w balance.Work) {
	if change, ok := c.host.balancer.ChangeFor(s.now(), c.target.name, w); ok {
		s.sendChange(c.host, change)
	}
}

// callsPerMs returns the nominal capacity of all targets.
func (s *evenLoad) callsPerMs() float64 {
	calls, unread := 0, 0.0
	for _, k := range evenLoadKinds {
		calls += k.weight
		unread += float64(k.weight) * (float64(k.prompt) - evenLoadHit*float64(k.shared))
	}
	unread /= float64(calls)
	capacity := 0.0
	for _, r := range s.regions {
		for _, t := range r.targets {
			capacity += s.Speeds[t.speed] / (unread*1000/t.spec.PrefillTokensPerSecond + unread/evenLoadChunk*t.spec.StepMs)
		}
	}
	return capacity
}

func (s *evenLoad) scheduleArrival() {
	rate := s.Load * s.callsPerMs()
	if s.Burst > 0 && s.clock.now >= evenLoadBurstAt && s.clock.now < evenLoadBurstAt+evenLoadBurst {
		rate *= s.Burst
	}
	s.clock.after(ms(s.random.ExpFloat64()/rate), func() {
		s.arrive()
		s.scheduleArrival()
	})
}

func (s *evenLoad) arrive() {
	targets := 0
	for _, r := range s.regions {
		targets += len(r.targets)
	}
	point := s.random.IntN(targets)
	region := 0
	for ; point >= len(s.regions[region].targets); region++ {
		point -= len(s.regions[region].targets)
	}
	r := s.regions[region]
	kind := evenLoadKinds[1]
	if s.random.IntN(evenLoadKinds[0].weight+evenLoadKinds[1].weight) < evenLoadKinds[0].weight {
		kind = evenLoadKinds[0]
	}
	prefix := s.session(r, kind)
	s.arrived++
	j := &job{id: s.arrived, arrived: s.clock.now, tokens: kind.tokens, prompt: kind.prompt, shared: kind.shared, prefix: prefix, measured: s.clock.now >= evenLoadWarmUp}
	alone := s.random.Float64() < s.AloneShare
	if alone {
		j.prefix, j.shared = -j.id, 0
	}
	c := &evenCall{job: j, host: r.hosts[s.random.IntN(len(r.hosts))], work: balance.Work{
		Service: serviceName, Priority: 1, Tokens: j.prompt, MaxGap: streamGap, NoHold: true, Key: fmt.Sprint(j.id),
		Parts: []balance.Part{{ID: uint64(prefix), Tokens: j.shared}, {ID: uint64(j.id) << 32, Tokens: j.prompt - j.shared}},
	}}
	if alone {
		c.work.Parts = c.work.Parts[1:]
	}
	s.calls[j] = c
	s.decide(c)
}

// session returns the ID of the shared part of a call. For each target of a region there are some
// sessions at a time, and hotShare of the calls belong to hotSessions of them. Each ends after
// sessionTime, when another one takes its place.
func (s *evenLoad) session(r *evenRegion, kind evenLoadKind) int {
	const hotSessions, hotShare, places, sessionTime = 3, 0.1, 10_000, 10 * time.Second
	count := kind.sessions * len(r.targets)
	n := s.random.IntN(count)
	if s.random.Float64() < hotShare {
		n = s.random.IntN(hotSessions)
	}
	phase := time.Duration(n) * sessionTime / time.Duration(count)
	return 1 + n + places*(kind.shared+int((s.clock.now+phase)/sessionTime))
}

// decide sends a call to a target, as the gateway does.
func (s *evenLoad) decide(c *evenCall) {
	if len(c.tried) >= evenLoadAttempts {
		if c.measured {
			s.unserved++
		}
		delete(s.calls, c.job)
		return
	}
	if s.Way == WayOracle {
		if t := s.oracle(c); !t.full() {
			s.send(c, t)
			return
		}
		s.retry(c)
		return
	}
	exclude := c.tried
	if s.Way == WayPartition {
		exclude = slices.Concat(exclude, s.outsidePartition(c.host))
	}
	c.work.Loads, c.work.Queried = nil, nil
	b := c.host.balancer
	choice, ok := b.Choose(s.now(), c.work, exclude)
	switch {
	case !ok:
		s.retry(c)
	case !b.Coordinated():
		s.send(c, c.host.region.byID[choice.Target.ID])
	default:
		s.query(c, exclude)
	}
}

// retry decides again on a call for which there is no target, after a while.
func (s *evenLoad) retry(c *evenCall) {
	c.tried = append(c.tried, "")
	s.clock.after(queryTimeout, func() { s.decide(c) })
}

// query asks the coordinators of the candidates for their load and sends the call by their replies.
func (s *evenLoad) query(c *evenCall, exclude []string) {
	b := c.host.balancer
	loads, pending, sent := map[string]balance.TargetLoad{}, 0, false
	finish := func() {
		if sent {
			return
		}
		sent = true
		c.work.Loads = loads
		if choice, ok := b.Choose(s.now(), c.work, exclude); ok {
			s.send(c, c.host.region.byID[choice.Target.ID])
			return
		}
		s.retry(c)
	}
	ids := b.Candidates(s.now(), c.work, exclude)
	c.work.Queried = ids
	for _, id := range ids {
		coordinator := c.host.region.byName[b.CoordinatorOf(id)]
		if coordinator == c.host {
			loads[id], _ = b.LoadOf(s.now(), id, c.work)
			continue
		}
		pending++
		if s.draws.Float64() < s.LateShare {
			continue
		}
		s.clock.after(s.delay(), func() {
			load, ok := coordinator.balancer.LoadOf(s.now(), id, c.work)
			paces := coordinator.balancer.PacesOf(s.now(), []string{id})
			s.clock.after(s.delay(), func() {
				if ok && !sent {
					loads[id] = load
					b.ApplyPaces(s.now(), []string{id}, paces)
				}
				if pending--; pending == 0 {
					finish()
				}
			})
		})
	}
	if pending == 0 {
		finish()
		return
	}
	s.clock.after(queryTimeout, finish)
}

// outsidePartition returns the targets that are not in the host's part of its region. Each host
// has a third of them, so that parts overlap and no target depends on one host.
func (s *evenLoad) outsidePartition(h *evenHost) []string {
	const parts = 3
	own := slices.Index(h.region.hosts, h)
	var out []string
	for n, t := range h.region.targets {
		if n%parts != own%parts {
			out = append(out, t.name)
		}
	}
	return out
}

// oracle returns the target with the lowest time to the first token, given what all targets
// hold. As in package balance, shared parts that are read again cost more than their time.
func (s *evenLoad) oracle(c *evenCall) *evenTarget {
	var best *evenTarget
	bestTime := 0.0
	for _, t := range c.host.region.targets {
		took := (t.heldTokens() + t.unread(c.job)) / t.rate
		if _, ok := t.cached[c.prefix]; !ok {
			took += s.Policy.RereadWeight * float64(c.shared) / t.rate
		}
		if t.full() || slices.Contains(c.tried, t.name) {
			took += milliseconds(evenLoadDuration)
		}
		if best == nil || took < bestTime {
			best, bestTime = t, took
		}
	}
	return best
}

func (t *evenTarget) full() bool {
	return len(t.running)+len(t.waiting)+len(t.underway) >= t.spec.Slots
}

// unread returns the prompt tokens of a job that the target does not have cached.
func (t *evenTarget) unread(j *job) float64 {
	if _, ok := t.cached[j.prefix]; ok {
		return float64(j.prompt) - float64(j.shared)
	}
	return float64(j.prompt)
}

// heldTokens returns the prompt tokens that the target has still to read.
func (t *evenTarget) heldTokens() float64 {
	tokens := 0.0
	for _, q := range t.running {
		tokens += q.prefill
	}
	for _, q := range t.waiting {
		tokens += t.unread(q.job)
	}
	for _, unread := range t.underway {
		tokens += unread
	}
	return tokens
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (s *evenLoad) send(c *evenCall, t *evenTarget) {
	c.target, c.sentAt = t, s.clock.now
	c.flight = c.host.balancer.Begin(s.now(), t.name, c.work)
	s.reportChange(c, c.work)
	if c.measured {
		s.sends++
	}
	t.underway[c.job] = t.unread(c.job)
	s.clock.after(s.delay(), func() {
		delete(t.underway, c.job)
		if len(t.running)+len(t.waiting) < t.spec.Slots {
			t.add(&sequence{job: c.job, began: s.clock.now})
			return
		}
		if c.measured {
			s.rejected++
		}
		s.clock.after(s.delay(), func() { s.reject(c) })
	})
}

func (s *evenLoad) reject(c *evenCall) {
	c.host.balancer.End(s.now(), c.flight, balance.Refused)
	s.reportChange(c, balance.Work{})
	c.tried = append(c.tried, c.target.name)
	s.decide(c)
}

func (s *evenLoad) handleReplicaEvent(_ *replica, q *sequence, event replicaEvent) {
	c := s.calls[q.job]
	if event == firstToken && c.measured {
		s.recordRead(c, q)
	}
	s.clock.after(s.delay(), func() {
		switch event {
		case firstToken:
			c.host.balancer.FirstByte(s.now(), c.flight)
		case ended:
			c.host.balancer.End(s.now(), c.flight, balance.Answered)
			delete(s.calls, q.job)
		case speedSample, lost:
			return
		}
		s.reportChange(c, balance.Work{})
	})
}

// recordRead records that a target has read the prompt of a call.
func (s *evenLoad) recordRead(c *evenCall, q *sequence) {
	unread := float64(c.prompt)
	s.sharedTokens += float64(c.shared)
	if q.cached {
		unread -= float64(c.shared)
	} else {
		s.rereadTokens += float64(c.shared)
	}
	c.target.work += unread / c.target.rate
	_ = s.first.RecordValue((s.clock.now - c.arrived).Microseconds())
}

// sampleWaste counts the targets that are idle while prompts wait behind others.
func (s *evenLoad) sampleWaste() {
	for _, r := range s.regions {
		idle, queued := 0, 0
		for _, t := range r.targets {
			prompts := len(t.waiting)
			for _, q := range t.running {
				if q.prefill > 0 {
					prompts++
				}
			}
			if len(t.running) == 0 {
				idle++
			}
			queued += max(0, prompts-1)
		}
		s.wasted += min(idle, queued)
		s.samples += len(r.targets)
	}
	s.clock.after(wasteSample, s.sampleWaste)
}

func (s *evenLoad) endSecond() {
	for _, r := range s.regions {
		var works []float64
		for _, t := range r.targets {
			works = append(works, t.work-t.second)
			t.second = t.work
		}
		r.peaks = append(r.peaks, slices.Max(works)/mean(works))
	}
	s.clock.after(time.Second, s.endSecond)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(1, len(list)))
}

func (s *evenLoad) row() EvenLoadRow {
	const median, tail, microsPerMs = 50, 99, 1000.0
	out := EvenLoadRow{
		Cell: s.Name(), Way: s.Way, Calls: int(s.first.TotalCount()) + s.unserved, RejectedShare: float64(s.rejected) / float64(max(1, s.sends)),
		WastedShare: float64(s.wasted) / float64(max(1, s.samples)), RereadShare: s.rereadTokens / max(1, s.sharedTokens),
		FirstTokenP50Ms: float64(s.first.ValueAtQuantile(median)) / microsPerMs, FirstTokenP99Ms: float64(s.first.ValueAtQuantile(tail)) / microsPerMs,
	}
	out.UnservedShare = float64(s.unserved) / float64(max(1, out.Calls))
	ratios := make([][]float64, len(s.Speeds))
	for _, r := range s.regions {
		var works []float64
		for _, t := range r.targets {
			works = append(works, t.work)
		}
		for i, t := range r.targets {
			ratios[t.speed] = append(ratios[t.speed], works[i]/mean(works))
		}
		out.PeakRatio = max(out.PeakRatio, slices.Max(works)/mean(works))
		out.PeakSecond = max(out.PeakSecond, mean(r.peaks))
	}
	for _, list := range ratios {
		out.SpeedRatios = append(out.SpeedRatios, mean(list))
	}
	return out
}
