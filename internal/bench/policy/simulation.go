package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// job is one simulated call.
type job struct {
	id        int
	class     core.Class
	home      *region
	host      *host
	arrived   time.Duration
	tokens    int
	prompt    int
	shared    int // prompt tokens of the part that prefix identifies, 0 for a fixed share
	prefix    int
	workspace int
	homeOnly  bool // only the home region may serve the job
	measured  bool

	firstTokenAt time.Duration // when the caller received the first token; 0 before that
	finished     bool
	refused      bool
	forwarded    bool
	sequences    []*sequence
	attempts     int
	hops         core.Hops
}

type region struct {
	index    int
	spec     Region
	hosts    []*host
	replicas []*replica
	cut      bool // no link to the other regions
}

type host struct {
	name   string
	region *region
	index  int
}

// simulation runs one scenario under one policy.
type simulation struct {
	scenario       Scenario
	clock          *virtualClock
	random         *rand.Rand // for arrivals and scenario events
	draws          *rand.Rand // for decisions of the policy
	regions        []*region
	policy         policy
	results        *results
	arrivalFactors map[*region]float64
	floodFactors   map[*region]float64 // arrivals of floodWorkspace, as a multiple of the normal rate
	jobs           int
}

// policy decides where each job runs. It calls simulation.send, simulation.refuse and
// simulation.forward to carry a decision out.
type policy interface {
	attach(*simulation)
	submit(*job, *host)
	handleReplicaEvent(*replica, *sequence, replicaEvent)
	tick()
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
func sec(v float64) time.Duration {
	return time.Duration(v * float64(time.Second))
}

const floodWorkspace = -1

func newSimulation(s Scenario, seed uint64, p policy) *simulation {
	sm := &simulation{
		scenario: s, clock: &virtualClock{}, random: rand.New(rand.NewPCG(seed, 1)), draws: rand.New(rand.NewPCG(seed, 2)), policy: p,
		results: newResults(), arrivalFactors: map[*region]float64{}, floodFactors: map[*region]float64{},
	}
	for i, spec := range s.Regions {
		r := &region{index: i, spec: spec}
		for n := range spec.Hosts {
			r.hosts = append(r.hosts, &host{name: fmt.Sprintf("%s-%d", spec.Name, n), region: r, index: n})
		}
		for n := range spec.Replicas {
			r.replicas = append(r.replicas, &replica{
				name: fmt.Sprintf("%s-replica-%d", spec.Name, n), region: r, spec: s.Replica, clock: sm.clock, slowdown: 1, notify: sm.handleReplicaEvent,
			})
		}
		sm.regions = append(sm.regions, r)
	}
	return sm
}

const tickInterval = 25 * time.Millisecond

func (sm *simulation) run() *results {
	sm.policy.attach(sm)
	for _, r := range sm.regions {
		sm.clock.after(sm.nextArrival(r), func() { sm.arrive(r) })
	}
	for _, e := range sm.scenario.Events {
		sm.clock.after(sec(e.AtSec), func() { sm.applyEvent(e) })
	}
	var tick func()
	tick = func() {
		sm.policy.tick()
		sm.clock.after(tickInterval, tick)
	}
	sm.clock.after(tickInterval, tick)
	sm.clock.runUntil(sec(sm.scenario.DurationSec))
	for _, r := range sm.regions {
		for _, replica := range r.replicas {
			sm.results.addReplica(replica)
		}
	}
	return sm.results
}

// meanTokens returns the mean number of output tokens of a call.
func (s Scenario) meanTokens() float64 {
	mean := func(c Class) float64 { return float64(c.Tokens[0]+c.Tokens[1]) / 2 }
	return (1-s.LongShare)*mean(s.Short) + s.LongShare*mean(s.Long)
}

// callsPerSecond returns the capacity of one replica with all slots busy. A call costs
// its share of the steps of a full batch, and the time to read its prompt, which delays
// the whole batch.
func (s Scenario) callsPerSecond() float64 {
	prompt := (1-s.LongShare)*float64(s.Short.Prompt[0]+s.Short.Prompt[1])/2 + s.LongShare*float64(s.Long.Prompt[0]+s.Long.Prompt[1])/2
	step := (s.Replica.StepMs + s.Replica.StepPerSequenceMs*float64(s.Replica.Slots-1)) / 1000
	perCall := s.meanTokens()*step/float64(s.Replica.Slots) + prompt/s.Replica.PrefillTokensPerSecond
	return 1 / perCall
}

// nextArrival draws the time until the next arrival in a region from an exponential
// distribution.
func (sm *simulation) nextArrival(r *region) time.Duration {
	load := sm.scenario.Load
	if r.spec.Load > 0 {
		load = r.spec.Load
	}
	if r.spec.PeakSec > 0 {
		phase := 2 * math.Pi * (sm.clock.now.Seconds() - r.spec.PeakOffsetSec) / r.spec.PeakSec
		load *= 1 + r.spec.PeakShare*math.Sin(phase)
	}
	rate := load * sm.scenario.callsPerSecond() * float64(len(r.replicas))
	rate *= max(1, sm.arrivalFactors[r]) + sm.floodFactors[r]
	return sec(sm.random.ExpFloat64() / rate)
}

func (sm *simulation) arrive(r *region) {
	sm.clock.after(sm.nextArrival(r), func() { sm.arrive(r) })
	s := sm.scenario
	sm.jobs++
	j := &job{
		id: sm.jobs, home: r, host: r.hosts[sm.random.IntN(len(r.hosts))], arrived: sm.clock.now,
		workspace: sm.random.IntN(s.Workspaces), prefix: sm.random.IntN(s.Prefixes),
		homeOnly: sm.random.Float64() < s.HomeShare, measured: sm.clock.now >= sec(s.WarmUpSec),
	}
	class := s.Short
	if sm.random.Float64() < s.LongShare {
		j.class, class = core.Long, s.Long
	}
	j.tokens = class.Tokens[0] + sm.random.IntN(class.Tokens[1]-class.Tokens[0]+1)
	j.prompt = class.Prompt[0] + sm.random.IntN(class.Prompt[1]-class.Prompt[0]+1)
	if flood := sm.floodFactors[r]; flood > 0 && sm.random.Float64() < flood/(flood+1) {
		j.workspace = floodWorkspace
	}
	sm.results.arrived(j)
	sm.policy.submit(j, j.host)
}

// send starts a job at a replica, after the given delay.
func (sm *simulation) send(j *job, h *host, r *replica, ticket uint64, delay time.Duration) *sequence {
	s := &sequence{job: j, host: h, ticket: ticket, began: sm.clock.now}
	j.sequences = append(j.sequences, s)
	sm.clock.after(delay+ms(sm.scenario.InsideMs), func() {
		if s.dropped {
			return
		}
		r.add(s)
	})
	return s
}

// handleReplicaEvent passes an event of a replica to the policy after the network delay to
// the host, and records the first token and the completion that the caller sees.
func (sm *simulation) handleReplicaEvent(r *replica, s *sequence, event replicaEvent) {
	sm.clock.after(ms(sm.scenario.InsideMs), func() {
		if s.dropped && event != lost {
			return
		}
		j := s.job
		delay := time.Duration(0)
		if r.region != j.home {
			delay = ms(sm.scenario.OneWayMs)
		}
		switch event {
		case firstToken:
			if j.firstTokenAt == 0 {
				j.firstTokenAt = sm.clock.now + delay
			}
		case ended:
			if !j.finished {
				j.finished = true
				sm.results.finish(sm, j, sm.clock.now+delay)
			}
		case speedSample, lost:
		}
		sm.policy.handleReplicaEvent(r, s, event)
	})
}

// drop cancels one sequence of a job.
func (sm *simulation) drop(r *replica, s *sequence) {
	if !s.dropped {
		r.drop(s)
	}
}

// refuse records that the job was refused without being run.
func (sm *simulation) refuse(j *job) {
	if !j.refused && !j.finished {
		j.refused = true
		sm.results.refuse(j)
	}
}

// forward sends a job to a random host of another region and calls then with that host.
func (sm *simulation) forward(j *job, to *region, then func(*host)) {
	j.forwarded = true
	j.hops = j.hops.Append(j.host.region.spec.Name, j.host.name)
	sm.results.forward(j)
	h := to.hosts[sm.draws.IntN(len(to.hosts))]
	sm.clock.after(ms(sm.scenario.OneWayMs), func() { then(h) })
}

func (sm *simulation) applyEvent(e Event) {
	if e.EverySec > 0 {
		sm.clock.after(sec(e.EverySec), func() { sm.applyEvent(e) })
	}
	var undo []func()
	switch e.Kind {
	case Slow:
		for _, r := range sm.regions {
			n := int(math.Round(e.Share * float64(len(r.replicas))))
			for _, i := range sm.random.Perm(len(r.replicas))[:n] {
				replica := r.replicas[i]
				replica.slowdown = e.Factor
				undo = append(undo, func() { replica.slowdown = 1 })
			}
		}
	case RegionLost:
		r := sm.region(e.Region)
		for _, replica := range r.replicas {
			replica.fail()
			undo = append(undo, func() { replica.down = false })
		}
	case Crowd:
		r := sm.region(e.Region)
		sm.arrivalFactors[r] = e.Factor
		undo = append(undo, func() { delete(sm.arrivalFactors, r) })
	case Flood:
		r := sm.region(e.Region)
		sm.floodFactors[r] = e.Factor
		undo = append(undo, func() { delete(sm.floodFactors, r) })
	case LinkCut:
		r := sm.region(e.Region)
		r.cut = true
		undo = append(undo, func() { r.cut = false })
	}
	sm.clock.after(sec(e.ForSec), func() {
		for _, f := range undo {
			f()
		}
	})
}

func (sm *simulation) region(name string) *region {
	for _, r := range sm.regions {
		if r.spec.Name == name {
			return r
		}
	}
	return nil
}
