package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/queue"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const (
	longWait        = 5 * time.Second // after which a long call goes first
	affinityBonus   = 0.25            // of a target's slots, for each level of a prefix
	affinityEntries = 16384
	probePause      = 500 * time.Millisecond // between calls to a target that was ejected
	minRetryAfter   = 1                      // second
	freedWindow     = 4 * time.Second
	minFreedRate    = 0.01 // slots a second
	holdDecay       = 0.02
	maxRetryAfter   = 60
)

// Options set the bounds of a Scheduler.
type Options struct {
	Sharing         Sharing
	Hosts           int // that share the targets
	MaxQueued       int
	LongSlotShare   float64
	MaxEjectedShare float64
	Random          *rand.Rand
}

// Scheduler places the calls of one host. Its owner is one goroutine.
type Scheduler struct {
	options  Options
	services map[string]*service
	replicas map[string]*replica
	placed   map[uint64]placedCall
	queued   int
}

type service struct {
	replicas []*replica
	queue    *queue.Queue[Call]
	detector *straggler.Detector
	affinity *affinity.Index
	owned    bool    // this host places the calls of the whole region
	freed    float64 // slots freed a second, decaying
	freedAt  time.Time
	hold     float64 // mean seconds on a slot
	busy     int     // slots that this host's calls hold
	slots    int     // of all targets
	shares   holdings
}

type placedCall struct {
	replica   *replica
	class     core.Class
	at        time.Time
	workspace string
	alone     bool
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options: options, services: map[string]*service{},
		replicas: map[string]*replica{}, placed: map[uint64]placedCall{},
	}
}

// SetOptions changes the bounds. The random source stays.
func (s *Scheduler) SetOptions(options Options) {
	options.Random = s.options.Random
	s.options = options
	for _, svc := range s.services {
		svc.detector.SetMaxShare(options.MaxEjectedShare)
	}
}

// SetTargets replaces the set of targets. Calls on targets that are gone run on.
func (s *Scheduler) SetTargets(targets []Target) {
	for _, svc := range s.services {
		svc.replicas, svc.slots = svc.replicas[:0], 0
	}
	kept := make(map[string]*replica, len(targets))
	for _, target := range targets {
		r := s.replicas[target.Name]
		if r == nil || r.Address != target.Address {
			r = &replica{}
		}
		r.Target = target
		kept[target.Name] = r
		svc := s.service(target.Service)
		r.track = svc.detector.Monitor(target.Name)
		svc.replicas = append(svc.replicas, r)
		svc.slots += target.Slots
	}
	for name, r := range s.replicas {
		if kept[name] == nil {
			s.service(r.Service).detector.Forget(name)
		}
	}
	s.replicas = kept
}

func (s *Scheduler) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			queue:    queue.New[Call](longWait),
			detector: straggler.NewDetector(s.options.MaxEjectedShare),
			affinity: affinity.NewIndex(affinityEntries),
			shares:   newHoldings(),
		}
		s.services[name] = svc
	}
	return svc
}

// SetOwned names the services whose calls this host places for its whole
// region. The others are shared as the options say.
func (s *Scheduler) SetOwned(services map[string]bool) {
	for name, svc := range s.services {
		svc.owned = services[name]
	}
}

// sharing returns how the targets of a service are shared.
func (s *Scheduler) sharing(svc *service) Sharing {
	if svc.owned {
		return Exclusive
	}
	return s.options.Sharing
}

// Submit decides on a new call.
func (s *Scheduler) Submit(now time.Time, ask Call) Decision {
	svc := s.services[ask.Service]
	if svc == nil || !svc.anyUsable(now, ask.Avoid) {
		return refuse(ask.ID, core.ReasonNoTarget, "no target of the service is in use here", minRetryAfter)
	}
	svc.shares.asked(now, ask.Workspace)
	if !s.overtaken(now, svc, ask.Class) && svc.mayTake(ask.Workspace) {
		if r := s.choose(now, svc, &ask); r != nil {
			return s.grant(now, svc, ask, r)
		}
	}
	if s.queued >= s.options.MaxQueued {
		return refuse(ask.ID, core.ReasonOverloaded, "the queue is full", retryAfter(svc.wait(now, ask)))
	}
	if wait := svc.wait(now, ask); now.Add(wait).After(ask.Deadline) {
		return refuse(ask.ID, core.ReasonBudget, "the wait would exceed the budget", retryAfter(wait-ask.Deadline.Sub(now)))
	}
	svc.queue.Push(queue.Item[Call]{
		Value: ask, Workspace: ask.Workspace, Class: ask.Class, Cost: ask.Tokens, Arrived: ask.Arrived, Deadline: ask.Deadline,
	})
	s.queued++
	return Decision{ID: ask.ID, Verdict: Queued}
}

func (svc *service) mayTake(workspace string) bool {
	return svc.shares.mayTake(workspace, svc.busy, svc.slots)
}

// overtaken reports whether calls that wait already go before a new one.
func (s *Scheduler) overtaken(now time.Time, svc *service, class core.Class) bool {
	if svc.queue.Len(class) > 0 {
		return true
	}
	return svc.queue.Len(1-class) > 0 && svc.queue.Order(now)[0] != class
}

func refuse(id uint64, reason core.Reason, message string, retryAfter int) Decision {
	return Decision{ID: id, Verdict: Refused, Refusal: &core.Refusal{
		Status: statusOf(reason), Reason: reason, Message: message, Outcome: core.NotRun, RetryAfter: retryAfter,
	}}
}

func statusOf(reason core.Reason) int {
	const (
		serviceUnavailable = 503
		tooManyRequests    = 429
	)
	if reason == core.ReasonNoTarget {
		return serviceUnavailable
	}
	return tooManyRequests
}

func retryAfter(wait time.Duration) int {
	return min(max(int(math.Ceil(wait.Seconds())), minRetryAfter), maxRetryAfter)
}

// free counts a slot that has become free.
func (svc *service) free(now time.Time) {
	svc.freed = svc.freedRate(now) + 1/freedWindow.Seconds()
	svc.freedAt = now
}

// freedRate returns how many slots become free a second.
func (svc *service) freedRate(now time.Time) float64 {
	return svc.freed * math.Exp(-now.Sub(svc.freedAt).Seconds()/freedWindow.Seconds())
}

// backlog estimates how long the calls that wait need to be placed.
func (svc *service) backlog(now time.Time) time.Duration {
	return svc.timeFor(now, svc.queue.Len(core.Short)+svc.queue.Len(core.Long))
}

// timeFor estimates how long it takes until as many slots have become free. It
// is zero while nothing is known.
func (svc *service) timeFor(now time.Time, calls int) time.Duration {
	if calls == 0 {
		return 0
	}
	rate := svc.freedRate(now)
	if svc.hold > 0 {
		// After a lull nothing has become free of late, though it soon will.
		rate = max(rate, float64(svc.busy)/svc.hold)
	}
	if rate < minFreedRate {
		return 0
	}
	return time.Duration(float64(calls) / rate * float64(time.Second))
}

// wait estimates how long the call would queue. A workspace waits for its own
// calls and, between two of them, for one of each other workspace that waits.
func (svc *service) wait(now time.Time, ask Call) time.Duration {
	own := svc.queue.WorkspaceLen(ask.Workspace)
	return svc.timeFor(now, min(svc.queue.Len(ask.Class), (own+1)*max(1, svc.queue.Workspaces(ask.Class))))
}

// anyUsable reports whether a target is in use that the call does not avoid.
func (svc *service) anyUsable(now time.Time, avoid []string) bool {
	return slices.ContainsFunc(svc.replicas, func(r *replica) bool {
		return r.usable(now) && !slices.Contains(avoid, r.Name)
	})
}

// choose returns the target for the call, or nil when all are full.
func (s *Scheduler) choose(now time.Time, svc *service, ask *Call) *replica {
	if s.sharing(svc) == TwoChoices {
		return s.chooseOfTwo(now, svc, ask)
	}
	var best *replica
	bestScore := math.Inf(1)
	start := s.options.Random.IntN(max(1, len(svc.replicas)))
	for i := range svc.replicas {
		r := svc.replicas[(start+i)%len(svc.replicas)]
		if !s.fits(now, svc, r, ask) {
			continue
		}
		if score := s.score(now, svc, r, ask); score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// chooseOfTwo compares two random targets that fit, so that hosts with the
// same late reports do not all pick the same one.
func (s *Scheduler) chooseOfTwo(now time.Time, svc *service, ask *Call) *replica {
	var first, second *replica
	seen := 0
	for _, r := range svc.replicas {
		if !s.fits(now, svc, r, ask) {
			continue
		}
		seen++
		switch pick := s.options.Random.IntN(seen); {
		case seen == 1:
			first = r
		case seen == 2:
			second = r
		case pick == 0:
			first = r
		case pick == 1:
			second = r
		}
	}
	if second == nil || s.score(now, svc, first, ask) <= s.score(now, svc, second, ask) {
		return first
	}
	return second
}

// fits reports whether the call may start on the target now.
func (s *Scheduler) fits(now time.Time, svc *service, r *replica, ask *Call) bool {
	if !r.usable(now) || r.alone || r.track.Ejected(now) || slices.Contains(ask.Avoid, r.Name) {
		return false
	}
	if ask.Isolated {
		return r.busy(now, s.sharing(svc)) == 0
	}
	if r.track.OnProbation() && now.Sub(r.lastPlaced) < probePause {
		return false
	}
	slots := r.slots(now, s.sharing(svc), s.options.Hosts)
	if ask.Class == core.Long && r.own[core.Long] >= longCap(slots, s.options.LongSlotShare) {
		return false
	}
	return r.busy(now, s.sharing(svc)) < slots
}

// score is the share of slots in use, less what a warm cache is worth.
func (s *Scheduler) score(now time.Time, svc *service, r *replica, ask *Call) float64 {
	busy := float64(r.busy(now, s.sharing(svc))) / float64(r.Slots)
	if ask.Prefix[0] == 0 {
		return busy
	}
	return busy - affinityBonus*float64(svc.affinity.Match(ask.Prefix, r.Name))
}

func (s *Scheduler) grant(now time.Time, svc *service, ask Call, r *replica) Decision {
	r.own[ask.Class]++
	r.alone = r.alone || ask.Isolated
	r.lastPlaced = now
	svc.busy++
	svc.shares.take(ask.Workspace)
	s.placed[ask.ID] = placedCall{replica: r, class: ask.Class, workspace: ask.Workspace, at: now, alone: ask.Isolated}
	svc.affinity.Add(ask.Prefix, r.Name)
	return Decision{ID: ask.ID, Verdict: Granted, Target: r.Target, Isolated: ask.Isolated}
}

// Release frees the slot of a call that has ended.
func (s *Scheduler) Release(now time.Time, id uint64) {
	call, ok := s.placed[id]
	if !ok {
		return
	}
	delete(s.placed, id)
	call.replica.own[call.class]--
	if call.alone {
		call.replica.alone = false
	}
	svc := s.service(call.replica.Service)
	svc.free(now)
	svc.busy--
	svc.shares.release(call.workspace)
	held := now.Sub(call.at).Seconds()
	if svc.hold == 0 {
		svc.hold = held
	}
	svc.hold += holdDecay * (held - svc.hold)
}

// Cancel takes a waiting call out of the queue and reports whether it was there.
func (s *Scheduler) Cancel(name string, id uint64) bool {
	svc := s.services[name]
	if svc == nil {
		return false
	}
	removed := svc.queue.Remove(func(i queue.Item[Call]) bool { return i.Value.ID == id })
	s.queued -= len(removed)
	return len(removed) > 0
}

// Poll places waiting calls as far as there is room, and refuses those whose
// deadline has passed or whose service has lost its targets.
func (s *Scheduler) Poll(now time.Time) []Decision {
	if s.queued == 0 {
		return nil
	}
	var out []Decision
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		svc := s.services[name]
		for _, item := range svc.queue.Expired(now) {
			out = append(out, refuse(item.Value.ID, core.ReasonBudget, "the wait exceeded the budget", retryAfter(svc.wait(now, item.Value))))
			s.queued--
		}
		for _, class := range svc.queue.Order(now) {
			out = s.drainClass(now, svc, class, out)
		}
	}
	return out
}

func (s *Scheduler) drainClass(now time.Time, svc *service, class core.Class, out []Decision) []Decision {
	for svc.queue.Len(class) > 0 {
		probe := Call{Class: class}
		if s.choose(now, svc, &probe) == nil {
			return out
		}
		item, ok := svc.queue.Pop(class, svc.mayTake)
		if !ok {
			return out
		}
		s.queued--
		r := s.choose(now, svc, &item.Value)
		if r == nil {
			// The call avoids the targets that have room, so that it goes back
			// to wait and the class with it.
			svc.queue.Push(item)
			s.queued++
			return out
		}
		out = append(out, s.grant(now, svc, item.Value, r))
	}
	return out
}

// ReportLoad takes a load report of a target.
func (s *Scheduler) ReportLoad(now time.Time, target string, load Load) {
	if r := s.replicas[target]; r != nil {
		r.report(now, load)
	}
}

// ObserveSpeed takes what a call saw of a target's speed.
func (s *Scheduler) ObserveSpeed(now time.Time, target string, signal straggler.Signal, sample time.Duration) {
	if r := s.replicas[target]; r != nil {
		s.service(r.Service).detector.Observe(now, target, signal, sample)
	}
}

// MarkDown takes a target out of use for a while after it could not be reached.
func (s *Scheduler) MarkDown(now time.Time, target string) {
	if r := s.replicas[target]; r != nil {
		r.downUntil = now.Add(downFor)
		r.returnedAt = r.downUntil
		r.others = 0
		s.service(r.Service).affinity.RemoveTarget(target)
	}
}

// MarkUp notes that a target answers again.
func (s *Scheduler) MarkUp(now time.Time, target string) {
	if r := s.replicas[target]; r != nil && now.Before(r.downUntil) {
		r.downUntil = now
		r.returnedAt = now
	}
}

// SetLeaving takes a target out of use that refuses work as leaving. It stays out
// until its address changes or the fleet is told of its return.
func (s *Scheduler) SetLeaving(target string, left bool) {
	if r := s.replicas[target]; r != nil {
		r.leavingSeen = left
	}
}

// Summarise tells how busy the targets of a service are.
func (s *Scheduler) Summarise(now time.Time, name string) Summary {
	svc := s.services[name]
	if svc == nil {
		return Summary{}
	}
	out := Summary{Queued: svc.queue.Len(core.Short) + svc.queue.Len(core.Long)}
	for _, r := range svc.replicas {
		if !r.usable(now) {
			continue
		}
		out.Usable++
		out.Slots += r.slots(now, s.sharing(svc), s.options.Hosts)
		out.Busy += r.busy(now, s.sharing(svc))
	}
	out.WaitMs = int(svc.backlog(now).Milliseconds())
	return out
}

// TargetState is the row of a target in a dump.
type TargetState struct {
	Name    string `json:"Name"`
	Service string `json:"Service"`
	Own     int    `json:"Own"`
	Others  int    `json:"Others"`
	Slots   int    `json:"Slots"`
	Usable  bool   `json:"Usable"`
	Leaving bool   `json:"Leaving"`
	Ejected bool   `json:"Ejected"`
}

// Dump returns a row for each target in order of name.
func (s *Scheduler) Dump(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(s.replicas))
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		out = append(out, TargetState{
			Name: name, Service: r.Service, Own: r.ownTotal(), Others: r.others, Slots: r.Slots, Usable: r.usable(now),
			Leaving: r.Leaving || r.leavingSeen, Ejected: r.track.Ejected(now),
		})
	}
	return out
}
