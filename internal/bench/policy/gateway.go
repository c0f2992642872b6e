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

// gateway drives the decision packages as the daemon does.
type gateway struct {
	*rig
	sharing placement.Sharing
	hedging bool
	seats   map[*host]*seat
	reports map[*region]placement.Summary
	byName  map[string]*replica
	desks   map[*host]*desk
}

// seat is the decision state of one host, or of one region when one host
// places the calls of all.
type seat struct {
	scheduler *placement.Scheduler
	waiting   map[uint64]*ask
	nextID    uint64
}

// desk is what each host keeps for itself.
type desk struct {
	chooser decide.Chooser
	first   hedge.Estimator
	hedges  *retry.Budget
	retries *retry.Budget
}

type ask struct {
	job   *job
	host  *host
	avoid []string
}

func newGateway(sharing placement.Sharing, hedging bool) *gateway {
	return &gateway{sharing: sharing, hedging: hedging, seats: map[*host]*seat{}, reports: map[*region]placement.Summary{}, byName: map[string]*replica{}, desks: map[*host]*desk{}}
}

func (p *gateway) attach(g *rig) {
	p.rig = g
	limits := config.DefaultLimits()
	for _, r := range g.regions {
		var targets []placement.Target
		for _, replica := range r.replicas {
			p.byName[replica.name] = replica
			targets = append(targets, placement.Target{Name: replica.name, Service: serviceName, Slots: replica.spec.Slots})
		}
		var shared *seat
		for _, h := range r.hosts {
			if shared == nil || p.sharing != placement.Exclusive {
				shared = &seat{waiting: map[uint64]*ask{}, scheduler: placement.NewScheduler(placement.Options{
					Sharing: p.sharing, Hosts: len(r.hosts), MaxQueued: limits.MaxQueuedPerHost,
					LongSlotShare: limits.LongSlotShare, MaxEjectedShare: limits.MaxEjectedShare,
					Random: rand.New(rand.NewPCG(uint64(r.index), uint64(h.index))),
				})}
				shared.scheduler.SetTargets(targets)
			}
			p.seats[h] = shared
			const hedgeBurst, retryBurst = 5, 10
			p.desks[h] = &desk{hedges: retry.NewBudget(limits.HedgeShare, hedgeBurst), retries: retry.NewBudget(limits.RetryShare, retryBurst)}
		}
	}
	p.reportLoads()
}

// at turns the virtual time into a time of the decisions.
func (p *gateway) at() time.Time { return time.Unix(0, 0).Add(p.clock.now) }

// reportLoads gives the hosts the replicas' late reports, and the regions each
// other's summaries.
func (p *gateway) reportLoads() {
	for _, r := range p.regions {
		for _, replica := range r.replicas {
			if replica.down {
				continue
			}
			load := replica.report(ms(p.scenario.ReportLagMs))
			for _, h := range r.hosts {
				s := p.seats[h].scheduler
				s.MarkUp(p.at(), replica.name)
				s.ReportLoad(p.at(), replica.name, placement.Load{Running: load.running, Waiting: load.waiting, Slots: replica.spec.Slots})
			}
		}
		summary := p.seats[r.hosts[0]].scheduler.Summarise(p.at(), serviceName)
		p.clock.after(ms(p.scenario.OneWayMs), func() { p.reports[r] = summary })
	}
	p.clock.after(time.Second, p.reportLoads)
}

func (p *gateway) submit(j *job, h *host) {
	p.desks[h].hedges.Deposit()
	p.desks[h].retries.Deposit()
	decision := p.desks[h].chooser.Choose(p.input(j, h))
	switch decision.Verdict {
	case decide.Forward:
		p.away(j, p.region(decision.Region), func(at *host) { p.ask(j, at, nil) })
	case decide.Refuse:
		p.refuse(j)
	case decide.Serve:
		p.ask(j, h, nil)
	}
}

func (p *gateway) input(j *job, h *host) decide.Input {
	in := decide.Input{
		Region: h.region.spec.Name, Passed: j.passed, Received: j.awaySent, Budget: ms(p.scenario.BudgetMs), Draw: p.draws.Float64(),
		Local: p.seats[h].scheduler.Summarise(p.at(), serviceName),
	}
	for _, r := range p.regions {
		if r == j.home || !j.bound {
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

// consult is the time to ask the host that places calls and to hear from it.
func (p *gateway) consult() time.Duration {
	if p.sharing == placement.Exclusive {
		return 2 * ms(p.scenario.InsideMs)
	}
	return 0
}

const longWaitFactor = 10 // as in the daemon

func (p *gateway) ask(j *job, h *host, avoid []string) {
	s := p.seats[h]
	s.nextID++
	id := s.nextID
	budget := ms(p.scenario.BudgetMs)
	if j.class == core.Long {
		budget *= longWaitFactor
	}
	s.waiting[id] = &ask{job: j, host: h, avoid: avoid}
	p.handle(s, s.scheduler.Submit(p.at(), placement.Call{
		ID: id, Service: serviceName, Workspace: workspaceName(j.workspace), Class: j.class, Tokens: float64(j.tokens),
		Prefix: affinity.Prefix{uint64(j.prefix) + 1}, Arrived: p.at(), Deadline: time.Unix(0, 0).Add(j.arrived + budget), Avoid: avoid,
	}))
}

func workspaceName(n int) string {
	const letters = 26
	return string(rune('a'+(n+1)/letters)) + string(rune('a'+(n+1)%letters))
}

func (p *gateway) handle(s *seat, d placement.Decision) {
	a := s.waiting[d.ID]
	switch d.Verdict {
	case placement.Queued:
		return
	case placement.Refused:
		if to, ok := p.fallback(a); ok {
			p.away(a.job, to, func(at *host) { p.ask(a.job, at, nil) })
		} else if a.job.first == 0 {
			p.refuse(a.job)
		}
	case placement.Granted:
		sequence := p.send(a.job, a.host, p.byName[d.Target.Name], d.ID, p.consult())
		if p.hedging && len(a.job.tries) == 1 {
			delay := p.desks[a.host].first.Delay(ms(p.scenario.BudgetMs))
			p.clock.after(delay, func() { p.hedge(a, sequence, d.Target.Name) })
		}
	}
	delete(s.waiting, d.ID)
}

// fallback finds another region for a call that has found no room at home.
func (p *gateway) fallback(a *ask) (*region, bool) {
	if a.job.awaySent || len(a.job.tries) > 0 {
		return nil, false
	}
	name, ok := decide.Fallback(p.input(a.job, a.host))
	return p.region(name), ok
}

// hedge tries a call whose first token is late at a second target, if one has
// room at once.
func (p *gateway) hedge(a *ask, first *sequence, at string) {
	if a.job.first != 0 || a.job.refused || first.dropped || !p.desks[a.host].hedges.TryWithdraw() {
		return
	}
	s := p.seats[a.host]
	p.late(s, at, first)
	s.nextID++
	d := s.scheduler.Submit(p.at(), placement.Call{
		ID: s.nextID, Service: serviceName, Workspace: workspaceName(a.job.workspace), Class: a.job.class, Tokens: float64(a.job.tokens),
		Arrived: p.at(), Deadline: p.at(), Avoid: []string{at},
	})
	if d.Verdict == placement.Queued {
		s.scheduler.Cancel(serviceName, s.nextID)
	}
	if d.Verdict == placement.Granted {
		p.send(a.job, a.host, p.byName[d.Target.Name], d.ID, p.consult())
	}
}

// late tells the detector of a first token that has not come yet.
func (p *gateway) late(s *seat, target string, first *sequence) {
	s.scheduler.ObserveSpeed(p.at(), target, straggler.FirstToken, p.clock.now-first.began)
}

func (p *gateway) signal(r *replica, s *sequence, what signal) {
	seat, j := p.seats[s.host], s.job
	switch what {
	case firstToken:
		took := p.clock.now - s.began
		p.desks[s.host].first.Observe(took)
		seat.scheduler.ObserveSpeed(p.at(), r.name, straggler.FirstToken, took)
		for _, other := range j.tries {
			if other != s && !other.dropped {
				p.giveUp(other)
			}
		}
	case someTokens:
		seat.scheduler.ObserveSpeed(p.at(), r.name, straggler.PerToken, s.pace)
	case ended:
		p.release(seat, s.ticket)
	case lost:
		seat.scheduler.MarkDown(p.at(), r.name)
		p.release(seat, s.ticket)
		p.again(j, s, r)
	}
}

// again tries a call elsewhere whose target was lost before its first token.
func (p *gateway) again(j *job, s *sequence, r *replica) {
	j.attempts++
	const maxAttempts = 3
	if j.first != 0 || j.attempts >= maxAttempts || !p.desks[s.host].retries.TryWithdraw() {
		if j.first == 0 || !j.finished {
			p.refuse(j)
		}
		return
	}
	p.ask(j, s.host, []string{r.name})
}

func (p *gateway) giveUp(s *sequence) {
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
	p.release(p.seats[s.host], s.ticket)
}

func (p *gateway) release(s *seat, ticket uint64) {
	p.clock.after(p.consult()/2, func() {
		s.scheduler.Release(p.at(), ticket)
		p.poll(s)
	})
}

func (p *gateway) poll(s *seat) {
	for _, d := range s.scheduler.Poll(p.at()) {
		p.handle(s, d)
	}
}

func (p *gateway) tick() {
	done := map[*seat]bool{}
	for _, r := range p.regions {
		for _, h := range r.hosts {
			if s := p.seats[h]; !done[s] {
				done[s] = true
				p.poll(s)
			}
		}
	}
}
