package policy

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// baseline is a policy without queueing: each host sends each call at once to a
// replica of its own region.
type baseline struct {
	*simulation
	pick      func(p *baseline, h *host) *replica
	nextIndex map[*host]int
	inFlight  map[*host]map[*replica]int
	reported  map[*replica]int
}

func newBaseline(pick func(*baseline, *host) *replica) *baseline {
	return &baseline{pick: pick, nextIndex: map[*host]int{}, inFlight: map[*host]map[*replica]int{}, reported: map[*replica]int{}}
}

func (p *baseline) attach(sm *simulation) {
	p.simulation = sm
	var report func()
	report = func() {
		for _, r := range sm.regions {
			for _, replica := range r.replicas {
				load := replica.reportedLoad(ms(sm.scenario.ReportLagMs))
				p.reported[replica] = load.running + load.waiting
			}
		}
		sm.clock.after(time.Second, report)
	}
	report()
}

func (p *baseline) submit(j *job, h *host) {
	r := p.pick(p, h)
	if r == nil {
		p.refuse(j)
		return
	}
	if p.inFlight[h] == nil {
		p.inFlight[h] = map[*replica]int{}
	}
	p.inFlight[h][r]++
	p.send(j, h, r, 0, 0)
}

func (p *baseline) handleReplicaEvent(r *replica, s *sequence, event replicaEvent) {
	switch event {
	case ended:
		p.inFlight[s.host][r]--
	case lost:
		p.inFlight[s.host][r]--
		p.refuse(s.job)
	case firstToken, speedSample:
	}
}

func (p *baseline) tick() {}

func healthy(list []*replica) []*replica {
	out := make([]*replica, 0, len(list))
	for _, r := range list {
		if !r.down {
			out = append(out, r)
		}
	}
	return out
}

func pickRandom(p *baseline, h *host) *replica {
	list := healthy(h.region.replicas)
	if len(list) == 0 {
		return nil
	}
	return list[p.draws.IntN(len(list))]
}

func pickRoundRobin(p *baseline, h *host) *replica {
	list := healthy(h.region.replicas)
	if len(list) == 0 {
		return nil
	}
	p.nextIndex[h]++
	return list[p.nextIndex[h]%len(list)]
}

func pickLeastOutstanding(p *baseline, h *host) *replica {
	var best *replica
	list := healthy(h.region.replicas)
	start := p.draws.IntN(max(1, len(list)))
	for i := range list {
		r := list[(start+i)%len(list)]
		if best == nil || p.inFlight[h][r] < p.inFlight[h][best] {
			best = r
		}
	}
	return best
}

func pickTwoChoices(p *baseline, h *host) *replica {
	a, b := pickRandom(p, h), pickRandom(p, h)
	if a == nil || p.reported[a]+p.inFlight[h][a] <= p.reported[b]+p.inFlight[h][b] {
		return a
	}
	return b
}

// oracle has one queue for each region and knows the current state of every
// replica. It forwards a call only when its home region is full and another region
// has a free slot.
type oracle struct {
	*simulation
	shortQueue map[*region][]*job
	longQueue  map[*region][]*job
	totalLoad  map[*replica]int
	longLoad   map[*replica]int
}

func newOracle() *oracle {
	return &oracle{shortQueue: map[*region][]*job{}, longQueue: map[*region][]*job{}, totalLoad: map[*replica]int{}, longLoad: map[*replica]int{}}
}

func (p *oracle) attach(sm *simulation) { p.simulation = sm }

func (p *oracle) submit(j *job, h *host) {
	if p.place(j, h.region, h) {
		return
	}
	if !j.homeOnly && !h.region.cut {
		for _, other := range p.regions {
			if other != h.region && !other.cut && p.best(other, j.class) != nil && p.wait(h.region) > 2*ms(p.scenario.OneWayMs) {
				p.forward(j, other, func(at *host) { p.enqueue(j, at) })
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
		p.longQueue[h.region] = append(p.longQueue[h.region], j)
	} else {
		p.shortQueue[h.region] = append(p.shortQueue[h.region], j)
	}
}

// wait estimates the queueing time of a new call in a region.
func (p *oracle) wait(r *region) time.Duration {
	list := healthy(r.replicas)
	if len(list) == 0 {
		return time.Hour
	}
	calls := float64(len(p.shortQueue[r]) + len(p.longQueue[r]) + 1)
	return sec(calls / (p.scenario.callsPerSecond() * float64(len(list))))
}

// best returns the least loaded replica with a free slot for the class, or nil. It
// leaves out slowed-down replicas.
func (p *oracle) best(r *region, class core.Class) *replica {
	var best *replica
	for _, c := range r.replicas {
		if c.down || c.slowdown > 1 || p.totalLoad[c] >= c.spec.Slots {
			continue
		}
		if class == core.Long && p.longLoad[c] >= c.spec.Slots*3/4 {
			continue
		}
		if best == nil || p.totalLoad[c] < p.totalLoad[best] {
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
	p.totalLoad[best]++
	if j.class == core.Long {
		p.longLoad[best]++
	}
	p.send(j, h, best, 0, 0)
	return true
}

func (p *oracle) handleReplicaEvent(r *replica, s *sequence, event replicaEvent) {
	if event != ended && event != lost {
		return
	}
	p.totalLoad[r]--
	if s.job.class == core.Long {
		p.longLoad[r]--
	}
	if event == lost && !s.job.finished && s.job.firstTokenAt == 0 {
		p.submit(s.job, s.host)
	} else if event == lost {
		p.refuse(s.job)
	}
	p.drain(r.region)
}

func (p *oracle) drain(r *region) {
	for _, queue := range []map[*region][]*job{p.shortQueue, p.longQueue} {
		for len(queue[r]) > 0 && p.place(queue[r][0], r, queue[r][0].host) {
			queue[r] = queue[r][1:]
		}
	}
}

// tick starts queued jobs and refuses those that have waited maxWaitBudgets times their
// budget.
func (p *oracle) tick() {
	for _, r := range p.regions {
		p.drain(r)
		for _, queue := range []map[*region][]*job{p.shortQueue, p.longQueue} {
			const maxWaitBudgets = 10
			for len(queue[r]) > 0 && p.clock.now-queue[r][0].arrived > maxWaitBudgets*ms(p.scenario.BudgetMs) {
				p.refuse(queue[r][0])
				queue[r] = queue[r][1:]
			}
		}
	}
}
