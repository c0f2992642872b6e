package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// job is one call.
type job struct {
	id        int
	class     core.Class
	home      *region
	host      *host
	arrived   time.Duration
	tokens    int
	prompt    int
	prefix    int
	workspace int
	bound     bool // only its home region may serve it
	measured  bool

	first    time.Duration // when the caller had the first token, zero before
	finished bool
	refused  bool
	awaySent bool
	tries    []*sequence
	attempts int
	passed   core.Hops
}

type region struct {
	index    int
	spec     Region
	hosts    []*host
	replicas []*replica
	cut      bool
}

type host struct {
	name   string
	region *region
	index  int
}

// rig runs one scenario under one policy.
type rig struct {
	scenario Scenario
	clock    *timeline
	random   *rand.Rand // of the arrivals and events
	draws    *rand.Rand // of the policy
	regions  []*region
	policy   policy
	results  *results
	crowd    map[*region]float64
	flood    map[*region]float64
	jobs     int
}

// policy decides what happens to a job. It answers by rig.send, rig.refuse and
// rig.away.
type policy interface {
	attach(*rig)
	submit(*job, *host)
	signal(*replica, *sequence, signal)
	tick()
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
func sec(v float64) time.Duration {
	return time.Duration(v * float64(time.Second))
}

const floodWorkspace = -1

func newRig(s Scenario, seed uint64, p policy) *rig {
	g := &rig{
		scenario: s, clock: &timeline{}, random: rand.New(rand.NewPCG(seed, 1)), draws: rand.New(rand.NewPCG(seed, 2)), policy: p,
		results: newResults(), crowd: map[*region]float64{}, flood: map[*region]float64{},
	}
	for i, spec := range s.Regions {
		r := &region{index: i, spec: spec}
		for n := range spec.Hosts {
			r.hosts = append(r.hosts, &host{name: fmt.Sprintf("%s-%d", spec.Name, n), region: r, index: n})
		}
		for n := range spec.Replicas {
			r.replicas = append(r.replicas, &replica{
				name: fmt.Sprintf("%s-replica-%d", spec.Name, n), region: r, spec: s.Replica, clock: g.clock, factor: 1, notify: g.signal,
			})
		}
		g.regions = append(g.regions, r)
	}
	return g
}

const tickInterval = 25 * time.Millisecond

func (g *rig) run() *results {
	g.policy.attach(g)
	for _, r := range g.regions {
		g.clock.after(g.gap(r), func() { g.arrive(r) })
	}
	for _, e := range g.scenario.Events {
		g.clock.after(sec(e.AtSec), func() { g.happen(e) })
	}
	var tick func()
	tick = func() {
		g.policy.tick()
		g.clock.after(tickInterval, tick)
	}
	g.clock.after(tickInterval, tick)
	g.clock.runUntil(sec(g.scenario.DurationSec))
	for _, r := range g.regions {
		for _, replica := range r.replicas {
			g.results.addReplica(replica)
		}
	}
	return g.results
}

// meanTokens is the mean output of a call.
func (s Scenario) meanTokens() float64 {
	mean := func(c Class) float64 { return float64(c.Tokens[0]+c.Tokens[1]) / 2 }
	return (1-s.LongShare)*mean(s.Short) + s.LongShare*mean(s.Long)
}

// callsPerSecond is what one full replica can serve: the time of a call in a
// full batch, and the reading of its prompt, which holds the batch up.
func (s Scenario) callsPerSecond() float64 {
	prompt := (1-s.LongShare)*float64(s.Short.Prompt[0]+s.Short.Prompt[1])/2 + s.LongShare*float64(s.Long.Prompt[0]+s.Long.Prompt[1])/2
	step := (s.Replica.StepMs + s.Replica.StepPerSequenceMs*float64(s.Replica.Slots-1)) / 1000
	perCall := s.meanTokens()*step/float64(s.Replica.Slots) + prompt/s.Replica.PrefillTokensPerSecond
	return 1 / perCall
}

// gap draws the time to the next arrival in a region.
func (g *rig) gap(r *region) time.Duration {
	load := g.scenario.Load
	if r.spec.Load > 0 {
		load = r.spec.Load
	}
	if r.spec.PeakSec > 0 {
		phase := 2 * math.Pi * (g.clock.now.Seconds() - r.spec.PeakOffsetSec) / r.spec.PeakSec
		load *= 1 + r.spec.PeakShare*math.Sin(phase)
	}
	rate := load * g.scenario.callsPerSecond() * float64(len(r.replicas))
	rate *= max(1, g.crowd[r]) + g.flood[r]
	return sec(g.random.ExpFloat64() / rate)
}

func (g *rig) arrive(r *region) {
	g.clock.after(g.gap(r), func() { g.arrive(r) })
	s := g.scenario
	g.jobs++
	j := &job{
		id: g.jobs, home: r, host: r.hosts[g.random.IntN(len(r.hosts))], arrived: g.clock.now,
		workspace: g.random.IntN(s.Workspaces), prefix: g.random.IntN(s.Prefixes),
		bound: g.random.Float64() < s.HomeShare, measured: g.clock.now >= sec(s.WarmUpSec),
	}
	class := s.Short
	if g.random.Float64() < s.LongShare {
		j.class, class = core.Long, s.Long
	}
	j.tokens = class.Tokens[0] + g.random.IntN(class.Tokens[1]-class.Tokens[0]+1)
	j.prompt = class.Prompt[0] + g.random.IntN(class.Prompt[1]-class.Prompt[0]+1)
	if flood := g.flood[r]; flood > 0 && g.random.Float64() < flood/(flood+1) {
		j.workspace = floodWorkspace
	}
	g.results.arrived(j)
	g.policy.submit(j, j.host)
}

// send starts a job at a replica, after the given delay.
func (g *rig) send(j *job, h *host, r *replica, ticket uint64, delay time.Duration) *sequence {
	s := &sequence{job: j, host: h, ticket: ticket, began: g.clock.now}
	j.tries = append(j.tries, s)
	g.clock.after(delay+ms(g.scenario.InsideMs), func() {
		if s.dropped {
			return
		}
		r.add(s)
	})
	return s
}

// signal hands what a replica does to the policy, after the way to the host, and
// keeps the books of the caller.
func (g *rig) signal(r *replica, s *sequence, what signal) {
	g.clock.after(ms(g.scenario.InsideMs), func() {
		if s.dropped && what != lost {
			return
		}
		j := s.job
		way := time.Duration(0)
		if r.region != j.home {
			way = ms(g.scenario.OneWayMs)
		}
		switch what {
		case firstToken:
			if j.first == 0 {
				j.first = g.clock.now + way
			}
		case ended:
			if !j.finished {
				j.finished = true
				g.results.finish(g, j, g.clock.now+way)
			}
		case someTokens, lost:
		}
		g.policy.signal(r, s, what)
	})
}

// drop gives up one try of a job.
func (g *rig) drop(r *replica, s *sequence) {
	if !s.dropped {
		r.drop(s)
	}
}

// refuse tells the caller that the job was not run.
func (g *rig) refuse(j *job) {
	if !j.refused && !j.finished {
		j.refused = true
		g.results.refuse(j)
	}
}

// away sends a job to a host of another region.
func (g *rig) away(j *job, to *region, then func(*host)) {
	j.awaySent = true
	j.passed = j.passed.Append(j.host.region.spec.Name, j.host.name)
	g.results.away(j)
	h := to.hosts[g.draws.IntN(len(to.hosts))]
	g.clock.after(ms(g.scenario.OneWayMs), func() { then(h) })
}

func (g *rig) happen(e Event) {
	if e.EverySec > 0 {
		g.clock.after(sec(e.EverySec), func() { g.happen(e) })
	}
	var undo []func()
	switch e.Kind {
	case Slow:
		for _, r := range g.regions {
			n := int(math.Round(e.Share * float64(len(r.replicas))))
			for _, i := range g.random.Perm(len(r.replicas))[:n] {
				replica := r.replicas[i]
				replica.factor = e.Factor
				undo = append(undo, func() { replica.factor = 1 })
			}
		}
	case RegionLost:
		r := g.region(e.Region)
		for _, replica := range r.replicas {
			replica.lose()
			undo = append(undo, func() { replica.down = false })
		}
	case Crowd:
		r := g.region(e.Region)
		g.crowd[r] = e.Factor
		undo = append(undo, func() { delete(g.crowd, r) })
	case Flood:
		r := g.region(e.Region)
		g.flood[r] = e.Factor
		undo = append(undo, func() { delete(g.flood, r) })
	case LinkCut:
		r := g.region(e.Region)
		r.cut = true
		undo = append(undo, func() { r.cut = false })
	}
	g.clock.after(sec(e.ForSec), func() {
		for _, f := range undo {
			f()
		}
	})
}

func (g *rig) region(name string) *region {
	for _, r := range g.regions {
		if r.spec.Name == name {
			return r
		}
	}
	return nil
}
