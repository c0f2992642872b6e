package policy

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// simple is a baseline: each host sends each call at once to a replica of its
// own region, and never anywhere else.
type simple struct {
	*rig
	pick  func(p *simple, h *host) *replica
	turn  map[*host]int
	mine  map[*host]map[*replica]int
	known map[*replica]int
}

func newSimple(pick func(*simple, *host) *replica) *simple {
	return &simple{pick: pick, turn: map[*host]int{}, mine: map[*host]map[*replica]int{}, known: map[*replica]int{}}
}

func (p *simple) attach(g *rig) {
	p.rig = g
	var report func()
	report = func() {
		for _, r := range g.regions {
			for _, replica := range r.replicas {
				load := replica.report(ms(g.scenario.ReportLagMs))
				p.known[replica] = load.running + load.waiting
			}
		}
		g.clock.after(time.Second, report)
	}
	report()
}

func (p *simple) submit(j *job, h *host) {
	r := p.pick(p, h)
	if r == nil {
		p.refuse(j)
		return
	}
	if p.mine[h] == nil {
		p.mine[h] = map[*replica]int{}
	}
	p.mine[h][r]++
	p.send(j, h, r, 0, 0)
}

func (p *simple) signal(r *replica, s *sequence, what signal) {
	switch what {
	case ended:
		p.mine[s.host][r]--
	case lost:
		p.mine[s.host][r]--
		p.refuse(s.job)
	case firstToken, someTokens:
	}
}

func (p *simple) tick() {}

func up(list []*replica) []*replica {
	out := make([]*replica, 0, len(list))
	for _, r := range list {
		if !r.down {
			out = append(out, r)
		}
	}
	return out
}

func pickRandom(p *simple, h *host) *replica {
	list := up(h.region.replicas)
	if len(list) == 0 {
		return nil
	}
	return list[p.draws.IntN(len(list))]
}

func pickNext(p *simple, h *host) *replica {
	list := up(h.region.replicas)
	if len(list) == 0 {
		return nil
	}
	p.turn[h]++
	return list[p.turn[h]%len(list)]
}

func pickLeastOwn(p *simple, h *host) *replica {
	var best *replica
	list := up(h.region.replicas)
	start := p.draws.IntN(max(1, len(list)))
	for i := range list {
		r := list[(start+i)%len(list)]
		if best == nil || p.mine[h][r] < p.mine[h][best] {
			best = r
		}
	}
	return best
}

func pickTwoChoices(p *simple, h *host) *replica {
	a, b := pickRandom(p, h), pickRandom(p, h)
	if a == nil || p.known[a]+p.mine[h][a] <= p.known[b]+p.mine[h][b] {
		return a
	}
	return b
}

// oracle has one queue for each region and knows the state of every replica. It
// sends a call away only when home is full and another region has room.
type oracle struct {
	*rig
	short map[*region][]*job
	long  map[*region][]*job
	load  map[*replica]int
	longs map[*replica]int
}

func newOracle() *oracle {
	return &oracle{short: map[*region][]*job{}, long: map[*region][]*job{}, load: map[*replica]int{}, longs: map[*replica]int{}}
}

func (p *oracle) attach(g *rig) { p.rig = g }

func (p *oracle) submit(j *job, h *host) {
	if p.place(j, h.region, h) {
		return
	}
	if !j.bound && !h.region.cut {
		for _, other := range p.regions {
			if other != h.region && !other.cut && p.best(other, j.class) != nil && p.wait(h.region) > 2*ms(p.scenario.OneWayMs) {
				p.away(j, other, func(at *host) { p.enqueue(j, at) })
				return
			}
		}
	}
	p.enqueue(j, h)
}

func (p *oracle) enqueue(j *job, h *host) {
	if p.place(j, h.region, h) {
		return
	}
	if j.class == core.Long {
		p.long[h.region] = append(p.long[h.region], j)
	} else {
		p.short[h.region] = append(p.short[h.region], j)
	}
}

// wait estimates the queueing time at a region.
func (p *oracle) wait(r *region) time.Duration {
	list := up(r.replicas)
	if len(list) == 0 {
		return time.Hour
	}
	calls := float64(len(p.short[r]) + len(p.long[r]) + 1)
	return sec(calls / (p.scenario.callsPerSecond() * float64(len(list))))
}

// best returns the least loaded replica with room, slow ones last.
func (p *oracle) best(r *region, class core.Class) *replica {
	var best *replica
	for _, c := range r.replicas {
		if c.down || c.factor > 1 || p.load[c] >= c.spec.Slots {
			continue
		}
		if class == core.Long && p.longs[c] >= c.spec.Slots*3/4 {
			continue
		}
		if best == nil || p.load[c] < p.load[best] {
			best = c
		}
	}
	return best
}

func (p *oracle) place(j *job, r *region, h *host) bool {
	best := p.best(r, j.class)
	if best == nil {
		return false
	}
	p.load[best]++
	if j.class == core.Long {
		p.longs[best]++
	}
	p.send(j, h, best, 0, 0)
	return true
}

func (p *oracle) signal(r *replica, s *sequence, what signal) {
	if what != ended && what != lost {
		return
	}
	p.load[r]--
	if s.job.class == core.Long {
		p.longs[r]--
	}
	if what == lost && !s.job.finished && s.job.first == 0 {
		p.submit(s.job, s.host)
	} else if what == lost {
		p.refuse(s.job)
	}
	p.drain(r.region)
}

func (p *oracle) drain(r *region) {
	for _, queue := range []map[*region][]*job{p.short, p.long} {
		for len(queue[r]) > 0 && p.place(queue[r][0], r, queue[r][0].host) {
			queue[r] = queue[r][1:]
		}
	}
}

// tick also gives up jobs that have waited far beyond their budget.
func (p *oracle) tick() {
	for _, r := range p.regions {
		p.drain(r)
		for _, queue := range []map[*region][]*job{p.short, p.long} {
			const patience = 10
			for len(queue[r]) > 0 && p.clock.now-queue[r][0].arrived > patience*ms(p.scenario.BudgetMs) {
				p.refuse(queue[r][0])
				queue[r] = queue[r][1:]
			}
		}
	}
}
