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
	longWait             = 5 * time.Second // after which long calls precede short ones
	affinityBonus        = 0.25            // share of a target's slots, per matching prefix level
	affinityEntries      = 16384
	probeInterval        = 500 * time.Millisecond // between calls to a target on probation
	minRetryAfterSeconds = 1
	freedWindow          = 4 * time.Second // time constant of the decay of the freed rate
	minFreedRate         = 0.01            // slots per second, below which no wait is estimated
	holdSampleWeight     = 0.02            // weight of a new sample of meanHoldSeconds
	maxRetryAfterSeconds = 60
)

// Options configure a Scheduler.
type Options struct {
	Sharing         Sharing
	Hosts           int // number of hosts that share the targets
	MaxQueued       int
	LongSlotShare   float64
	MaxEjectedShare float64
	Random          *rand.Rand
}

// Scheduler places the calls of one host. It is not safe for concurrent use.
type Scheduler struct {
	options  Options
	services map[string]*service
	targets  map[string]*trackedTarget
	placed   map[uint64]placedCall
	queued   int
}

type service struct {
	targets         []*trackedTarget
	queue           *queue.Queue[Call]
	detector        *straggler.Detector
	affinity        *affinity.Index
	owned           bool    // this host places the service's calls for the whole region
	lastFreedRate   float64 // slots freed per second, as of freedAt
	freedAt         time.Time
	meanHoldSeconds float64 // moving average of the time that a call occupies a slot
	busy            int     // slots in use by calls that this host placed
	slots           int     // total of all targets
	usage           slotUsage
}

type placedCall struct {
	target    *trackedTarget
	class     core.Class
	placedAt  time.Time
	workspace string
	isolated  bool
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{
		options: options, services: map[string]*service{},
		targets: map[string]*trackedTarget{}, placed: map[uint64]placedCall{},
	}
}

// SetOptions replaces the options except for the random source.
func (s *Scheduler) SetOptions(options Options) {
	options.Random = s.options.Random
	s.options = options
	for _, svc := range s.services {
		svc.detector.SetMaxShare(options.MaxEjectedShare)
	}
}

// SetTargets replaces the set of targets. Calls on removed targets continue.
func (s *Scheduler) SetTargets(targets []Target) {
	for _, svc := range s.services {
		svc.targets, svc.slots = svc.targets[:0], 0
	}
	kept := make(map[string]*trackedTarget, len(targets))
	for _, target := range targets {
		t := s.targets[target.Name]
		if t == nil || t.Address != target.Address {
			t = &trackedTarget{}
		}
		t.Target = target
		kept[target.Name] = t
		svc := s.service(target.Service)
		t.monitor = svc.detector.Monitor(target.Name)
		svc.targets = append(svc.targets, t)
		svc.slots += target.Slots
	}
	for name, t := range s.targets {
		if kept[name] == nil {
			s.service(t.Service).detector.Forget(name)
		}
	}
	s.targets = kept
}

func (s *Scheduler) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			queue:    queue.New[Call](longWait),
			detector: straggler.NewDetector(s.options.MaxEjectedShare),
			affinity: affinity.NewIndex(affinityEntries),
			usage:    newSlotUsage(),
		}
		s.services[name] = svc
	}
	return svc
}

// SetOwned sets the services whose calls this host places for its whole region.
// Targets of other services are shared according to Options.Sharing.
func (s *Scheduler) SetOwned(services map[string]bool) {
	for name, svc := range s.services {
		svc.owned = services[name]
	}
}

// sharing returns the sharing mode for the targets of a service.
func (s *Scheduler) sharing(svc *service) Sharing {
	if svc.owned {
		return Exclusive
	}
	return s.options.Sharing
}

// Submit grants a target to a new call, queues the call, or refuses it.
func (s *Scheduler) Submit(now time.Time, call Call) Decision {
	svc := s.services[call.Service]
	if svc == nil || !svc.hasUsableTarget(now, call.Avoid) {
		return refuse(call.ID, core.ReasonNoTarget, "no target of the service is in use here", minRetryAfterSeconds)
	}
	svc.usage.recordCall(now, call.Workspace)
	if !s.mustQueue(now, svc, call.Class) && svc.mayAcquire(call.Workspace) {
		if t := s.choose(now, svc, &call); t != nil {
			return s.grant(now, svc, call, t)
		}
	}
	if s.queued >= s.options.MaxQueued {
		return refuse(call.ID, core.ReasonOverloaded, "the queue is full", retryAfterSeconds(svc.expectedWait(now, call)))
	}
	if wait := svc.expectedWait(now, call); now.Add(wait).After(call.Deadline) {
		return refuse(call.ID, core.ReasonBudget, "the wait would exceed the budget", retryAfterSeconds(wait-call.Deadline.Sub(now)))
	}
	svc.queue.Push(queue.Item[Call]{
		Value: call, Workspace: call.Workspace, Class: call.Class, Cost: call.Tokens, Arrived: call.Arrived, Deadline: call.Deadline,
	})
	s.queued++
	return Decision{ID: call.ID, Verdict: Queued}
}

func (svc *service) mayAcquire(workspace string) bool {
	return svc.usage.mayAcquire(workspace, svc.busy, svc.slots)
}

// mustQueue reports whether queued calls precede a new one of the class.
func (s *Scheduler) mustQueue(now time.Time, svc *service, class core.Class) bool {
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

func retryAfterSeconds(wait time.Duration) int {
	return min(max(int(math.Ceil(wait.Seconds())), minRetryAfterSeconds), maxRetryAfterSeconds)
}

// recordFreedSlot counts a slot that has become free.
func (svc *service) recordFreedSlot(now time.Time) {
	svc.lastFreedRate = svc.freedRate(now) + 1/freedWindow.Seconds()
	svc.freedAt = now
}

// freedRate returns the exponentially decayed rate of freed slots, per second.
func (svc *service) freedRate(now time.Time) float64 {
	return svc.lastFreedRate * math.Exp(-now.Sub(svc.freedAt).Seconds()/freedWindow.Seconds())
}

// backlogWait estimates the time until all queued calls are placed.
func (svc *service) backlogWait(now time.Time) time.Duration {
	return svc.timeToFree(now, svc.queue.Len(core.Short)+svc.queue.Len(core.Long))
}

// timeToFree estimates the time until as many slots as calls become free. It returns
// zero while there is too little data for an estimate.
func (svc *service) timeToFree(now time.Time, calls int) time.Duration {
	if calls == 0 {
		return 0
	}
	rate := svc.freedRate(now)
	if svc.meanHoldSeconds > 0 {
		// After an idle period freedRate is close to zero, though running calls will
		// free their slots.
		rate = max(rate, float64(svc.busy)/svc.meanHoldSeconds)
	}
	if rate < minFreedRate {
		return 0
	}
	return time.Duration(float64(calls) / rate * float64(time.Second))
}

// expectedWait estimates how long the call would be queued. Calls of a workspace are
// served in turn with those of each other workspace that has queued calls.
func (svc *service) expectedWait(now time.Time, call Call) time.Duration {
	own := svc.queue.WorkspaceLen(call.Workspace)
	return svc.timeToFree(now, min(svc.queue.Len(call.Class), (own+1)*max(1, svc.queue.Workspaces(call.Class))))
}

// hasUsableTarget reports whether the service has a usable target that is not in avoid.
func (svc *service) hasUsableTarget(now time.Time, avoid []string) bool {
	return slices.ContainsFunc(svc.targets, func(t *trackedTarget) bool {
		return t.usable(now) && !slices.Contains(avoid, t.Name)
	})
}

// choose returns the best target for the call, or nil if none fits.
func (s *Scheduler) choose(now time.Time, svc *service, call *Call) *trackedTarget {
	if s.sharing(svc) == TwoChoices {
		return s.chooseOfTwo(now, svc, call)
	}
	var best *trackedTarget
	bestScore := math.Inf(1)
	start := s.options.Random.IntN(max(1, len(svc.targets)))
	for i := range svc.targets {
		t := svc.targets[(start+i)%len(svc.targets)]
		if !s.fits(now, svc, t, call) {
			continue
		}
		if score := s.score(now, svc, t, call); score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// chooseOfTwo returns the better of two random targets that fit, so that hosts with
// the same delayed load reports do not all choose the same target.
func (s *Scheduler) chooseOfTwo(now time.Time, svc *service, call *Call) *trackedTarget {
	var first, second *trackedTarget
	seen := 0
	for _, t := range svc.targets {
		if !s.fits(now, svc, t, call) {
			continue
		}
		seen++
		switch pick := s.options.Random.IntN(seen); {
		case seen == 1:
			first = t
		case seen == 2:
			second = t
		case pick == 0:
			first = t
		case pick == 1:
			second = t
		}
	}
	if second == nil || s.score(now, svc, first, call) <= s.score(now, svc, second, call) {
		return first
	}
	return second
}

// fits reports whether the call may start on the target now.
func (s *Scheduler) fits(now time.Time, svc *service, t *trackedTarget, call *Call) bool {
	if !t.usable(now) || t.isolated || t.monitor.Ejected(now) || slices.Contains(call.Avoid, t.Name) {
		return false
	}
	if call.Isolated {
		return t.busy(now, s.sharing(svc)) == 0
	}
	if t.monitor.OnProbation() && now.Sub(t.lastPlaced) < probeInterval {
		return false
	}
	slots := t.slots(now, s.sharing(svc), s.options.Hosts)
	if call.Class == core.Long && t.own[core.Long] >= longCap(slots, s.options.LongSlotShare) {
		return false
	}
	return t.busy(now, s.sharing(svc)) < slots
}

// score returns the share of the target's slots in use, less affinityBonus per
// matching prefix level. Lower is better.
func (s *Scheduler) score(now time.Time, svc *service, t *trackedTarget, call *Call) float64 {
	busy := float64(t.busy(now, s.sharing(svc))) / float64(t.Slots)
	if call.Prefix[0] == 0 {
		return busy
	}
	return busy - affinityBonus*float64(svc.affinity.Match(call.Prefix, t.Name))
}

func (s *Scheduler) grant(now time.Time, svc *service, call Call, t *trackedTarget) Decision {
	t.own[call.Class]++
	t.isolated = t.isolated || call.Isolated
	t.lastPlaced = now
	svc.busy++
	svc.usage.acquire(call.Workspace)
	s.placed[call.ID] = placedCall{target: t, class: call.Class, workspace: call.Workspace, placedAt: now, isolated: call.Isolated}
	svc.affinity.Add(call.Prefix, t.Name)
	return Decision{ID: call.ID, Verdict: Granted, Target: t.Target, Isolated: call.Isolated}
}

// Release frees the slot of a call that has ended. Unknown IDs are ignored.
func (s *Scheduler) Release(now time.Time, id uint64) {
	call, ok := s.placed[id]
	if !ok {
		return
	}
	delete(s.placed, id)
	call.target.own[call.class]--
	if call.isolated {
		call.target.isolated = false
	}
	svc := s.service(call.target.Service)
	svc.recordFreedSlot(now)
	svc.busy--
	svc.usage.release(call.workspace)
	held := now.Sub(call.placedAt).Seconds()
	if svc.meanHoldSeconds == 0 {
		svc.meanHoldSeconds = held
	}
	svc.meanHoldSeconds += holdSampleWeight * (held - svc.meanHoldSeconds)
}

// Cancel removes a call from the queue of a service and reports whether it was queued.
func (s *Scheduler) Cancel(serviceName string, id uint64) bool {
	svc := s.services[serviceName]
	if svc == nil {
		return false
	}
	removed := svc.queue.Remove(func(i queue.Item[Call]) bool { return i.Value.ID == id })
	s.queued -= len(removed)
	return len(removed) > 0
}

// Poll places queued calls while slots are free, and refuses those whose deadline
// has passed.
func (s *Scheduler) Poll(now time.Time) []Decision {
	if s.queued == 0 {
		return nil
	}
	var out []Decision
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		svc := s.services[name]
		for _, item := range svc.queue.Expired(now) {
			out = append(out, refuse(item.Value.ID, core.ReasonBudget, "the wait exceeded the budget", retryAfterSeconds(svc.expectedWait(now, item.Value))))
			s.queued--
		}
		for _, class := range svc.queue.Order(now) {
			out = s.placeWaiting(now, svc, class, out)
		}
	}
	return out
}

func (s *Scheduler) placeWaiting(now time.Time, svc *service, class core.Class, out []Decision) []Decision {
	for svc.queue.Len(class) > 0 {
		anyCall := Call{Class: class}
		if s.choose(now, svc, &anyCall) == nil {
			return out
		}
		item, ok := svc.queue.Pop(class, svc.mayAcquire)
		if !ok {
			return out
		}
		s.queued--
		t := s.choose(now, svc, &item.Value)
		if t == nil {
			// The call avoids all targets with free slots. It is queued again,
			// and the other calls of its class also stay queued until the next poll.
			svc.queue.Push(item)
			s.queued++
			return out
		}
		out = append(out, s.grant(now, svc, item.Value, t))
	}
	return out
}

// ReportLoad records a load report of a target.
func (s *Scheduler) ReportLoad(now time.Time, target string, load Load) {
	if t := s.targets[target]; t != nil {
		t.report(now, load)
	}
}

// ObserveSpeed records a latency of a target that was measured by a call.
func (s *Scheduler) ObserveSpeed(now time.Time, target string, signal straggler.Signal, sample time.Duration) {
	if t := s.targets[target]; t != nil {
		s.service(t.Service).detector.Observe(now, target, signal, sample)
	}
}

// MarkDown excludes a target for downDuration because it could not be reached. Its
// caches are assumed lost.
func (s *Scheduler) MarkDown(now time.Time, target string) {
	if t := s.targets[target]; t != nil {
		t.downUntil = now.Add(downDuration)
		t.returnedAt = t.downUntil
		t.others = 0
		s.service(t.Service).affinity.RemoveTarget(target)
	}
}

// MarkUp ends the exclusion of a target that responds again.
func (s *Scheduler) MarkUp(now time.Time, target string) {
	if t := s.targets[target]; t != nil && now.Before(t.downUntil) {
		t.downUntil = now
		t.returnedAt = now
	}
}

// SetLeaving sets whether a target refuses calls because it is shutting down. Such a
// target is excluded until its address changes or SetLeaving reports its return.
func (s *Scheduler) SetLeaving(target string, leaving bool) {
	if t := s.targets[target]; t != nil {
		t.reportedLeaving = leaving
	}
}

// Summarise returns the load of a service's usable targets.
func (s *Scheduler) Summarise(now time.Time, serviceName string) Summary {
	svc := s.services[serviceName]
	if svc == nil {
		return Summary{}
	}
	out := Summary{Queued: svc.queue.Len(core.Short) + svc.queue.Len(core.Long)}
	for _, t := range svc.targets {
		if !t.usable(now) {
			continue
		}
		out.Usable++
		out.Slots += t.slots(now, s.sharing(svc), s.options.Hosts)
		out.Busy += t.busy(now, s.sharing(svc))
	}
	out.WaitMs = int(svc.backlogWait(now).Milliseconds())
	return out
}

// TargetState is the state of a target in a dump.
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

// Dump returns the states of all targets, sorted by name.
func (s *Scheduler) Dump(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(s.targets))
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		out = append(out, TargetState{
			Name: name, Service: t.Service, Own: t.ownTotal(), Others: t.others, Slots: t.Slots, Usable: t.usable(now),
			Leaving: t.Leaving || t.reportedLeaving, Ejected: t.monitor.Ejected(now),
		})
	}
	return out
}
