package policy

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/hedge"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	decide "github.com/sequoiarack/sequoiarack/internal/region"
	"github.com/sequoiarack/sequoiarack/internal/retry"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const serviceName = "model"

// gateway is the policy that calls the decision packages as the daemon does.
type gateway struct {
	*simulation
	sharing    placement.Sharing
	hedging    bool
	schedulers map[*host]*schedulerState
	reports    map[*region]placement.Summary
	byName     map[string]*replica
	hostStates map[*host]*hostState
}

// schedulerState is the placement state of one host, or of a whole region when one
// host places all of its calls (placement.Exclusive).
type schedulerState struct {
	scheduler *placement.Scheduler
	waiting   map[uint64]*pendingCall
	nextID    uint64
}

// hostState is the decision state that hosts never share.
type hostState struct {
	chooser    decide.Chooser
	firstToken hedge.Estimator
	hedges     *retry.Budget
	retries    *retry.Budget
}

type pendingCall struct {
	job   *job
	host  *host
	avoid []string
}

func newGateway(sharing placement.Sharing, hedging bool) *gateway {
	return &gateway{sharing: sharing, hedging: hedging, schedulers: map[*host]*schedulerState{}, reports: map[*region]placement.Summary{}, byName: map[string]*replica{}, hostStates: map[*host]*hostState{}}
}

func (p *gateway) attach(sm *simulation) {
	p.simulation = sm
	limits := config.DefaultLimits()
	for _, r := range sm.regions {
		var targets []placement.Target
		for _, replica := range r.replicas {
			p.byName[replica.name] = replica
			targets = append(targets, placement.Target{Name: replica.name, Service: serviceName, Slots: replica.spec.Slots})
		}
		var shared *schedulerState
		for _, h := range r.hosts {
			if shared == nil || p.sharing != placement.Exclusive {
				shared = &schedulerState{waiting: map[uint64]*pendingCall{}, scheduler: placement.NewScheduler(placement.Options{
					Sharing: p.sharing, Hosts: len(r.hosts), MaxQueued: limits.MaxQueuedPerHost,
					LongSlotShare: limits.LongSlotShare, MaxEjectedShare: limits.MaxEjectedShare,
					Random: rand.New(rand.NewPCG(uint64(r.index), uint64(h.index))),
				})}
				shared.scheduler.SetTargets(targets)
			}
			p.schedulers[h] = shared
			const hedgeBurst, retryBurst = 5, 10
			p.hostStates[h] = &hostState{hedges: retry.NewBudget(limits.HedgeShare, hedgeBurst), retries: retry.NewBudget(limits.RetryShare, retryBurst)}
		}
	}
	p.reportLoads()
}

// virtualTime converts the virtual clock to the time.Time that the decision packages use.
func (p *gateway) virtualTime() time.Time { return time.Unix(0, 0).Add(p.clock.now) }

// reportLoads passes the lagging load reports of the replicas to the hosts of their
// region, and the summary of each region to the other regions, once a second.
func (p *gateway) reportLoads() {
	for _, r := range p.regions {
		for _, replica := range r.replicas {
			if replica.down {
				continue
			}
			load := replica.reportedLoad(ms(p.scenario.ReportLagMs))
			for _, h := range r.hosts {
				s := p.schedulers[h].scheduler
				s.MarkUp(p.virtualTime(), replica.name)
				s.ReportLoad(p.virtualTime(), replica.name, placement.Load{Running: load.running, Waiting: load.waiting, Slots: replica.spec.Slots})
			}
		}
		summary := p.schedulers[r.hosts[0]].scheduler.Summarise(p.virtualTime(), serviceName)
		p.clock.after(ms(p.scenario.OneWayMs), func() { p.reports[r] = summary })
	}
	p.clock.after(time.Second, p.reportLoads)
}

func (p *gateway) submit(j *job, h *host) {
	p.hostStates[h].hedges.Deposit()
	p.hostStates[h].retries.Deposit()
	decision := p.hostStates[h].chooser.Choose(p.decisionInput(j, h))
	switch decision.Verdict {
	case decide.Forward:
		p.forward(j, p.region(decision.Region), func(at *host) { p.requestPlacement(j, at, nil) })
	case decide.Refuse:
		p.refuse(j)
	case decide.Serve:
		p.requestPlacement(j, h, nil)
	}
}

func (p *gateway) decisionInput(j *job, h *host) decide.Input {
	in := decide.Input{
		Region: h.region.spec.Name, Passed: j.hops, Received: j.forwarded, Budget: ms(p.scenario.BudgetMs), Draw: p.draws.Float64(),
		Local: p.schedulers[h].scheduler.Summarise(p.virtualTime(), serviceName),
	}
	for _, r := range p.regions {
		if r == j.home || !j.homeOnly {
			in.Allowed = append(in.Allowed, r.spec.Name)
		}
		if r == h.region {
			continue
		}
		summary, known := p.reports[r]
		in.Remotes = append(in.Remotes, decide.Remote{
			Region: r.spec.Name, Summary: summary, Known: known && !r.cut && !h.region.cut, OneWay: ms(p.scenario.OneWayMs),
		})
	}
	return in
}

// placementRoundTrip is the network time of a placement request to the placing host.
func (p *gateway) placementRoundTrip() time.Duration {
	if p.sharing == placement.Exclusive {
		return 2 * ms(p.scenario.InsideMs)
	}
	return 0
}

const longWaitFactor = 10 // same value as in the daemon

func (p *gateway) requestPlacement(j *job, h *host, avoid []string) {
	s := p.schedulers[h]
	s.nextID++
	id := s.nextID
	budget := ms(p.scenario.BudgetMs)
	if j.class == core.Long {
		budget *= longWaitFactor
	}
	s.waiting[id] = &pendingCall{job: j, host: h, avoid: avoid}
	p.handleDecision(s, s.scheduler.Submit(p.virtualTime(), placement.Call{
		ID: id, Service: serviceName, Workspace: workspaceName(j.workspace), Class: j.class, Tokens: float64(j.tokens),
		Prefix: affinity.Prefix{uint64(j.prefix) + 1}, Arrived: p.virtualTime(), Deadline: time.Unix(0, 0).Add(j.arrived + budget), Avoid: avoid,
	}))
}

func workspaceName(n int) string {
	const letters = 26
	return string(rune('a'+(n+1)/letters)) + string(rune('a'+(n+1)%letters))
}

func (p *gateway) handleDecision(s *schedulerState, d placement.Decision) {
	a := s.waiting[d.ID]
	switch d.Verdict {
	case placement.Queued:
		return
	case placement.Refused:
		if to, ok := p.fallback(a); ok {
			p.forward(a.job, to, func(at *host) { p.requestPlacement(a.job, at, nil) })
		} else if a.job.firstTokenAt == 0 {
			p.refuse(a.job)
		}
	case placement.Granted:
		sequence := p.send(a.job, a.host, p.byName[d.Target.Name], d.ID, p.placementRoundTrip())
		if p.hedging && len(a.job.sequences) == 1 {
			delay := p.hostStates[a.host].firstToken.Delay(ms(p.scenario.BudgetMs))
			p.clock.after(delay, func() { p.hedge(a, sequence, d.Target.Name) })
		}
	}
	delete(s.waiting, d.ID)
}

// fallback chooses another region for a call that its own region refused. A call that was
// forwarded or sent to a replica before gets none.
func (p *gateway) fallback(a *pendingCall) (*region, bool) {
	if a.job.forwarded || len(a.job.sequences) > 0 {
		return nil, false
	}
	name, ok := decide.Fallback(p.decisionInput(a.job, a.host))
	return p.region(name), ok
}

// hedge sends a call whose first token is late to a second target as well, if one has a
// free slot at once.
func (p *gateway) hedge(a *pendingCall, first *sequence, target string) {
	if a.job.firstTokenAt != 0 || a.job.refused || first.dropped || !p.hostStates[a.host].hedges.TryWithdraw() {
		return
	}
	s := p.schedulers[a.host]
	p.observeDelay(s, target, first)
	s.nextID++
	d := s.scheduler.Submit(p.virtualTime(), placement.Call{
		ID: s.nextID, Service: serviceName, Workspace: workspaceName(a.job.workspace), Class: a.job.class, Tokens: float64(a.job.tokens),
		Arrived: p.virtualTime(), Deadline: p.virtualTime(), Avoid: []string{target},
	})
	if d.Verdict == placement.Queued {
		s.scheduler.Cancel(serviceName, s.nextID)
	}
	if d.Verdict == placement.Granted {
		p.send(a.job, a.host, p.byName[d.Target.Name], d.ID, p.placementRoundTrip())
	}
}

// observeDelay reports the time waited so far for a missing first token to the straggler
// detector.
func (p *gateway) observeDelay(s *schedulerState, target string, first *sequence) {
	s.scheduler.ObserveSpeed(p.virtualTime(), target, straggler.FirstToken, p.clock.now-first.began)
}

func (p *gateway) handleReplicaEvent(r *replica, s *sequence, event replicaEvent) {
	state, j := p.schedulers[s.host], s.job
	switch event {
	case firstToken:
		elapsed := p.clock.now - s.began
		p.hostStates[s.host].firstToken.Observe(elapsed)
		state.scheduler.ObserveSpeed(p.virtualTime(), r.name, straggler.FirstToken, elapsed)
		for _, other := range j.sequences {
			if other != s && !other.dropped {
				p.cancelSequence(other)
			}
		}
	case speedSample:
		state.scheduler.ObserveSpeed(p.virtualTime(), r.name, straggler.PerToken, s.tokenInterval)
	case ended:
		p.release(state, s.ticket)
	case lost:
		state.scheduler.MarkDown(p.virtualTime(), r.name)
		p.release(state, s.ticket)
		p.retryElsewhere(j, s, r)
	}
}

// retryElsewhere sends a call whose target failed before the first token to another
// target, within the retry budget.
func (p *gateway) retryElsewhere(j *job, s *sequence, r *replica) {
	j.attempts++
	const maxAttempts = 3
	if j.firstTokenAt != 0 || j.attempts >= maxAttempts || !p.hostStates[s.host].retries.TryWithdraw() {
		if j.firstTokenAt == 0 || !j.finished {
			p.refuse(j)
		}
		return
	}
	p.requestPlacement(j, s.host, []string{r.name})
}

func (p *gateway) cancelSequence(s *sequence) {
	for _, r := range p.byName {
		for _, list := range [][]*sequence{r.running, r.waiting} {
			for _, other := range list {
				if other == s {
					p.drop(r, s)
				}
			}
		}
	}
	s.dropped = true
	p.release(p.schedulers[s.host], s.ticket)
}

func (p *gateway) release(s *schedulerState, ticket uint64) {
	p.clock.after(p.placementRoundTrip()/2, func() {
		s.scheduler.Release(p.virtualTime(), ticket)
		p.poll(s)
	})
}

func (p *gateway) poll(s *schedulerState) {
	for _, d := range s.scheduler.Poll(p.virtualTime()) {
		p.handleDecision(s, d)
	}
}

func (p *gateway) tick() {
	done := map[*schedulerState]bool{}
	for _, r := range p.regions {
		for _, h := range r.hosts {
			if s := p.schedulers[h]; !done[s] {
				done[s] = true
				p.poll(s)
			}
		}
	}
}
