package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

const (
	// limitWindow is any window over which the calls at a limited target are counted. In each,
	// limitFactor times the limit plus limitSlack are tolerated.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitedID   = "t00"
	// detectionTime is how long simulated hosts take to notice that others are unreachable,
	// and twice that at most.
	detectionTime = 800 * time.Millisecond
	// knowTime is how long all hosts take to learn of a change of the limit.
	knowTime = 2 * time.Second
	// settleTime is how long a simulated host takes to discover the others.
	settleTime = 3 * time.Second
	// limitStart is when the calls start, after all hosts have discovered one another.
	limitStart = time.Second
)

// limitCase is a scripted test case of a region whose hosts share the limit of a target.
type limitCase struct {
	Name  string
	Hosts int
	// BusyHosts is the number of hosts that get calls, 0 for all.
	BusyHosts int
	// CallsPerSecond is the rate of calls of the region.
	CallsPerSecond float64
	PerSecond      float64 // limit that the target states from the start
	Seconds        float64
	Steps          []limitStep
	// Unsettled starts all hosts at the same time as the case.
	Unsettled bool
	// From and To bound the seconds over which the use of the limit is measured. LeastUse is
	// the share of the limit that must be used in them, of the calls if they are fewer.
	From, To, LeastUse float64
	// MostUse bounds that share.
	MostUse float64
	// Rule is the limit that must be kept in every window from From on, if it is not the
	// highest one of the case.
	Rule float64
}

// rule returns the limit that must be kept.
func (c limitCase) rule() float64 {
	if c.Rule > 0 {
		return c.Rule
	}
	highest := c.PerSecond
	for _, s := range c.Steps {
		if s.Limit != nil {
			highest = max(highest, *s.Limit)
		}
	}
	return highest
}

// limitStep changes the simulated region.
type limitStep struct {
	At float64 // seconds
	// Parts cuts the hosts into parts of the given sizes. Hosts beyond their sum are alone. An
	// empty list heals the cut.
	Parts []int
	// OneWay lets messages from the first part to the others pass.
	OneWay bool
	// Limit is the new limit, negative for none.
	Limit *float64
	// Kill kills the given number of hosts, KillOwner the one that grants calls.
	Kill      int
	KillOwner bool
	// Restart restarts the target, without a limit.
	Restart bool
	// Join adds a host.
	Join bool
	// Old makes the given number of hosts behave like a version without limits: they send
	// nothing to the target in this simulation, and do not reply.
	Old int
	// Evacuate takes the target out of use and back.
	Evacuate bool
}

// limitRegion simulates hosts that share the limit of a target.
type limitRegion struct {
	timeline
	random   *rand.Rand
	snapshot *catalogue.Snapshot
	hosts    []*limitHost
	limit    float64 // stated by the target, negative for none
	changes  []limitAt
	cuts     []cutSpan
	loss     float64 // share of messages that are lost
	arrivals []time.Time
	calls    int
	refused  int
}

// limitAt is a limit that the target states from a time on.
type limitAt struct {
	at        time.Time
	perSecond float64
}

// cutSpan is a time in which hosts are cut off from one another.
type cutSpan struct{ from, to time.Time }

type limitHost struct {
	name      string
	balancer  *balance.Balancer
	part      int
	dead, old bool
	startedAt time.Time
	oneWay    bool // its messages reach other parts
}

func newLimitRegion(seed uint64, hosts int, perSecond float64) *limitRegion {
	r := &limitRegion{timeline: timeline{now: start}, random: rand.New(rand.NewPCG(seed, seed)), snapshot: snapshotOf(2), limit: perSecond}
	for range hosts {
		r.addHost()
	}
	r.updateViews()
	return r
}

func (r *limitRegion) addHost() {
	h := &limitHost{name: fmt.Sprintf("host-%03d", len(r.hosts)), balancer: balance.NewBalancer("north", r.random.Uint64()), startedAt: r.now}
	if r.now.Equal(start) {
		h.startedAt = start.Add(-time.Hour)
	}
	h.balancer.Configure(r.now, r.snapshot)
	r.hosts = append(r.hosts, h)
	r.after(time.Duration(r.random.Int64N(int64(h.balancer.LendInterval()+1))), func() { r.lend(h) })
	r.after(time.Duration(r.random.Int64N(int64(shareInterval))), func() { r.share(h) })
}

// restartAll makes all hosts ones that have just started.
func (r *limitRegion) restartAll() {
	for _, h := range r.hosts {
		h.startedAt = r.now
	}
	r.updateViews()
	r.after(settleTime, r.updateViews)
}

// updateViews passes to each host the hosts that it can reach.
func (r *limitRegion) updateViews() {
	for _, h := range r.hosts {
		r.updateView(h)
	}
}

func (r *limitRegion) updateView(h *limitHost) {
	view := balance.Hosts{Self: h.name, Settled: r.now.Sub(h.startedAt) >= settleTime}
	for _, other := range r.hosts {
		view.Sharers++
		view.Known++
		if other == h || (!other.dead && r.reaches(other, h)) {
			view.Live = append(view.Live, other.name)
		}
	}
	h.balancer.SetHosts(r.now, view)
}

// updateViewsLater lets each host notice a change after its own time.
func (r *limitRegion) updateViewsLater() {
	for _, h := range r.hosts {
		r.after(detectionTime+time.Duration(r.random.Int64N(int64(detectionTime))), func() { r.updateView(h) })
	}
}

func (r *limitRegion) reaches(from, to *limitHost) bool { return from.part == to.part || from.oneWay }

// deliver runs f at a host after the delay of a message, unless it is lost.
func (r *limitRegion) deliver(from *limitHost, to string, f func(to *limitHost)) {
	for _, h := range r.hosts {
		if h.name == to && h != from {
			r.after(messageDelay/2+time.Duration(r.random.Int64N(int64(messageDelay))), func() {
				if !h.dead && !h.old && r.reaches(from, h) && r.random.Float64() >= r.loss {
					f(h)
				}
			})
		}
	}
}

func (r *limitRegion) lend(h *limitHost) {
	if h.dead {
		return
	}
	r.after(h.balancer.LendInterval(), func() { r.lend(h) })
	if h.old {
		return
	}
	for owner, loans := range h.balancer.DueLoans(r.now) {
		r.deliver(h, owner, func(to *limitHost) {
			for _, loan := range loans {
				to.balancer.ApplyLimitReport(r.now, h.name, loan.Report)
				if ack, ok := to.balancer.ApplyLoan(r.now, h.name, loan); ok {
					r.deliver(to, h.name, func(h *limitHost) {
						h.balancer.RecordAck(r.now, to.name, ack)
						h.balancer.ApplyLimitReport(r.now, to.name, ack)
					})
				}
			}
		})
	}
}

func (r *limitRegion) share(h *limitHost) {
	if h.dead {
		return
	}
	r.after(shareInterval, func() { r.share(h) })
	for _, report := range h.balancer.Share(r.now).Limits {
		r.broadcast(h, report)
	}
}

func (r *limitRegion) broadcast(h *limitHost, report balance.LimitReport) {
	for _, other := range r.hosts {
		r.deliver(h, other.name, func(to *limitHost) { to.balancer.ApplyLimitReport(r.now, h.name, report) })
	}
}

// attempt sends a call to a target, after asking for admission if that is needed.
func (r *limitRegion) attempt(h *limitHost, w balance.Work, denials int) {
	if h.dead || h.old {
		return
	}
	w.NoLimited = denials >= 3
	choice, ok := h.balancer.Choose(r.now, w, nil)
	if !ok {
		r.refused++
		return
	}
	id := choice.Target.ID
	if !h.balancer.Limited(id) {
		r.send(h, id, w)
		return
	}
	admission := h.balancer.Admit(r.now, id, w.Priority)
	if admission.Owner == "" {
		r.finish(h, id, w, denials, admission)
		return
	}
	answered, askedAt := false, r.now
	r.deliver(h, admission.Owner, func(owner *limitHost) {
		decision := owner.balancer.AdmitFor(r.now, h.name, id, w.Priority)
		r.deliver(owner, h.name, func(h *limitHost) {
			if answered {
				return
			}
			answered = true
			r.finish(h, id, w, denials, h.balancer.AcceptReply(r.now, askedAt, id, w.Priority, decision))
		})
	})
	r.after(balance.AdmissionTimeout, func() {
		if !answered {
			answered = true
			h.balancer.RecordNoAnswer(r.now, id, w.Priority)
			r.finish(h, id, w, denials, balance.Admission{})
		}
	})
}

func (r *limitRegion) finish(h *limitHost, id string, w balance.Work, denials int, admission balance.Admission) {
	if admission.Granted {
		r.send(h, id, w)
	} else {
		r.attempt(h, w, denials+1)
	}
}

func (r *limitRegion) send(h *limitHost, id string, w balance.Work) {
	sentAt, incarnation := r.now, r.snapshot.Targets[id].Incarnation
	flight := h.balancer.Begin(r.now, id, w)
	took := 20*time.Millisecond + time.Duration(r.random.Int64N(int64(500*time.Millisecond)))
	if id == limitedID {
		r.arrivals = append(r.arrivals, r.now)
	}
	statement := balance.LimitStatement{}
	r.after(time.Duration(r.random.Float64()*float64(took)), func() {
		if id == limitedID && r.limit >= 0 {
			statement = balance.LimitStatement{Limited: true, PerSecond: r.limit}
		}
	})
	r.after(took, func() {
		h.balancer.FirstByte(r.now, flight)
		h.balancer.End(r.now, flight, balance.Answered)
		if _, changed := h.balancer.RecordLimit(r.now, sentAt, id, incarnation, statement); changed {
			if report, ok := h.balancer.LimitReportFor(r.now, id); ok {
				r.broadcast(h, report)
			}
		}
	})
}

func (r *limitRegion) owner() *limitHost {
	name := r.hosts[0].balancer.CoordinatorOf(limitedID)
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (r *limitRegion) apply(s limitStep) {
	if s.Parts != nil {
		r.cut(s.Parts, s.OneWay)
	}
	if s.Limit != nil {
		r.setLimit(*s.Limit)
	}
	for _, h := range r.hosts[:s.Kill] {
		h.dead = true
	}
	if s.KillOwner {
		r.owner().dead = true
	}
	if s.Restart || s.Evacuate {
		r.replaceTarget(s.Restart)
	}
	if s.Join {
		r.addHost()
		r.updateViewsLater()
		r.after(settleTime, r.updateViews)
	}
	for i := range s.Old {
		r.hosts[len(r.hosts)-1-i].old = true
	}
	r.updateViewsLater()
}

func (r *limitRegion) setLimit(perSecond float64) {
	r.limit = perSecond
	r.changes = append(r.changes, limitAt{at: r.now, perSecond: perSecond})
}

// highestLimit returns the highest limit that the target stated between two times, or false if
// it stated none for some of that time.
func (r *limitRegion) highestLimit(from, to time.Time) (float64, bool) {
	highest := 0.0
	if from.Before(r.changes[0].at) {
		return 0, false
	}
	for i, c := range r.changes {
		ended := i+1 < len(r.changes) && !r.changes[i+1].at.After(from)
		if ended || c.at.After(to) {
			continue
		}
		if c.perSecond < 0 {
			return 0, false
		}
		highest = max(highest, c.perSecond)
	}
	return highest, true
}

// knownSince returns the time from which limits may still be in force at some host at the given
// time. Hosts that are cut off learn of a change only from their own calls.
func (r *limitRegion) knownSince(t time.Time) time.Time {
	since := t.Add(-knowTime)
	for _, c := range slices.Backward(r.cuts) {
		if c.to.IsZero() || !c.to.Before(since) {
			since = earlier(since, c.from.Add(-knowTime))
		}
	}
	return since
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkWindows checks that the target got no more calls in any window than its limits allowed.
func (r *limitRegion) checkWindows(label string) {
	for i, first := range r.arrivals {
		limit, ok := r.highestLimit(r.knownSince(first), first.Add(limitWindow))
		if !ok {
			continue
		}
		ExpectWithOffset(1, r.callsInWindow(i)).To(BeNumerically("<=", int(limitFactor*limit*limitWindow.Seconds()+limitSlack)), "%s, from %s", label, first.Sub(start))
	}
}

func (r *limitRegion) cut(parts []int, oneWay bool) {
	if n := len(r.cuts); n > 0 && r.cuts[n-1].to.IsZero() {
		r.cuts[n-1].to = r.now
	}
	if len(parts) > 0 {
		r.cuts = append(r.cuts, cutSpan{from: r.now})
	}
	part, left := 0, 0
	if len(parts) > 0 {
		left = parts[0]
	}
	for _, h := range r.hosts {
		h.part, h.oneWay = part, oneWay && part == 0
		if len(parts) == 0 {
			h.part, h.oneWay = 0, false
			continue
		}
		if left--; left > 0 {
			continue
		}
		part++
		left = 1
		if part < len(parts) {
			left = parts[part]
		}
	}
}

func (r *limitRegion) replaceTarget(restart bool) {
	without := snapshotOf(2)
	delete(without.Targets, limitedID)
	for _, h := range r.hosts {
		h.balancer.Configure(r.now, without)
	}
	t := r.snapshot.Targets[limitedID]
	if restart {
		t.Incarnation += "+"
		r.setLimit(-1)
	}
	r.snapshot.Targets[limitedID] = t
	for _, h := range r.hosts {
		h.balancer.Configure(r.now, r.snapshot)
	}
}

// use returns the number of calls per second at the target between two times in seconds.
func (r *limitRegion) use(from, to float64) float64 {
	n := 0
	for _, at := range r.arrivals {
		if s := at.Sub(start).Seconds(); s >= from && s < to {
			n++
		}
	}
	return float64(n) / (to - from)
}

// callsInWindow returns the number of calls at the target in the window that starts with the
// given arrival.
func (r *limitRegion) callsInWindow(first int) int {
	n := 0
	for _, at := range r.arrivals[first:] {
		if at.Sub(r.arrivals[first]) < limitWindow {
			n++
		}
	}
	return n
}

// mostCalls returns the largest number of calls at the target within any window, from a time
// in seconds on.
func (r *limitRegion) mostCalls(from float64) int {
	most := 0
	for i, first := range r.arrivals {
		if first.Sub(start).Seconds() < from {
			continue
		}
		most = max(most, r.callsInWindow(i))
	}
	return most
}

func (r *limitRegion) run(c limitCase) {
	busy := c.BusyHosts
	if busy == 0 {
		busy = len(r.hosts)
	}
	for at := limitStart.Seconds(); at < c.Seconds; at += r.random.ExpFloat64() / c.CallsPerSecond {
		r.schedule(start.Add(seconds(at)), func() {
			w := promptWork(1000)
			w.Priority = r.random.IntN(2)
			r.calls++
			r.attempt(r.hosts[r.random.IntN(busy)], w, 0)
		})
	}
	for _, s := range c.Steps {
		r.schedule(start.Add(seconds(s.At)), func() { r.apply(s) })
	}
	r.runUntil(start.Add(seconds(c.Seconds)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var _ = Describe("hosts that share the limit of a target", func() {
	for _, c := range readCases[limitCase]("testdata/limits.json") {
		It(c.Name, func() {
			for seed := range uint64(4) {
				r := newLimitRegion(seed, c.Hosts, c.PerSecond)
				if c.Unsettled {
					r.restartAll()
				}
				r.run(c)
				rule := c.rule()
				Expect(r.mostCalls(c.From)).To(BeNumerically("<=", int(math.Floor(limitFactor*rule*limitWindow.Seconds()+limitSlack))), "seed %d", seed)
				if c.MostUse > 0 {
					Expect(r.use(c.From, c.To)/rule).To(BeNumerically("<=", c.MostUse), "seed %d", seed)
				}
				Expect(r.use(c.From, c.To)/rule).To(BeNumerically(">=", c.LeastUse), "seed %d", seed)
				Expect(r.refused).To(BeZero(), "the other target has no limit; seed %d", seed)
			}
		})
	}

	It("keep it in any series of cuts, deaths, joins, changes and restarts", func() {
		const seeds, span, warmUp = 40, 50.0, 6.0
		limits := []float64{-1, 0, 0.5, 1, 2.2, 5, 12, 40}
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, seed))
			hosts := 2 + random.IntN(12)
			c := limitCase{Hosts: hosts, CallsPerSecond: 80, PerSecond: 2.2, Seconds: span}
			for at := warmUp; at < span-4; at += 0.5 + 4*random.Float64() {
				c.Steps = append(c.Steps, randomStep(random, at, hosts, limits))
			}
			r := newLimitRegion(seed, hosts, c.PerSecond)
			// Hosts cannot know of the limit before the first call.
			r.changes = []limitAt{{at: start.Add(limitStart), perSecond: c.PerSecond}}
			r.loss = 0.05
			r.run(c)
			r.checkWindows(fmt.Sprintf("seed %d", seed))
		}
	})
})

// randomStep returns a change of the simulated region. Deaths leave at least one host.
func randomStep(random *rand.Rand, at float64, hosts int, limits []float64) limitStep {
	s := limitStep{At: at}
	switch random.IntN(8) {
	case 0:
		s.Parts = []int{1 + random.IntN(hosts-1), hosts}
		s.OneWay = random.IntN(3) == 0
	case 1:
		s.Parts = []int{1, 1}
	case 2, 3:
		s.Parts = []int{}
	case 4:
		s.Kill = random.IntN(hosts)
	case 5:
		s.Join = true
	case 6:
		s.Evacuate = true
		if random.IntN(3) == 0 {
			s.Evacuate, s.Restart = false, true
		}
	default:
		s.Limit = &limits[random.IntN(len(limits))]
	}
	return s
}
