package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Hosts that do not know of one another's calls send them to the same targets. In a small
// region, each host reports each call to all others when it starts, when its first byte
// arrives and when it ends. In a large region that would take too many messages. There,
// each target has a coordinator among the region's hosts, to which calls are reported and
// which hosts query before they send a call.

const (
	// maxMeshHosts is the largest number of hosts in a region whose hosts report every
	// change to all others.
	maxMeshHosts = 8
	// candidateCount is the number of targets whose coordinators are queried for one call.
	// affinityCandidates of them are the ones that the call's shared parts hash to, the
	// others those with the lowest predicted time. Two choices of either kind are enough to
	// keep queues short.
	candidateCount     = 4
	affinityCandidates = 2
	// RepeatInterval is how long after its last report on a target a host repeats the
	// report to the coordinator, which may have started in the meantime.
	RepeatInterval = 2 * time.Second
)

// TargetLoad is the load of a target that its coordinator reports to a host for a call.
type TargetLoad struct {
	TargetShare
	// Unread is the number of tokens of the call's prompt that the target would have to
	// read.
	Unread int
	// ReadingMs is the length of the target's current busy period.
	ReadingMs int
	// Cached is the number of tokens of the call's prompt that other targets may fetch from
	// this one.
	Cached int `cbor:"Kept"`
}

// loadFields is the number of integers in an encoded TargetLoad.
const loadFields = shareFields + 3

// MarshalCBOR encodes the load as a list of integers, to keep replies short: they hold one
// for each target of the query.
func (l TargetLoad) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(append(l.values(), l.Unread, l.ReadingMs, l.Cached))
}

// UnmarshalCBOR decodes the list of integers.
func (l *TargetLoad) UnmarshalCBOR(data []byte) error {
	values, err := unmarshalValues(data, loadFields)
	if err != nil {
		return err
	}
	*l = TargetLoad{TargetShare: shareOf(values), Unread: values[shareFields], ReadingMs: values[shareFields+1], Cached: values[shareFields+2]}
	return nil
}

// Coordinated reports whether the region is so large that targets have coordinators.
func (b *Balancer) Coordinated() bool { return len(b.hosts.Live) > maxMeshHosts }

// CoordinatorOf returns the host that coordinates a target.
func (b *Balancer) CoordinatorOf(target string) string {
	return b.assignedHost(target)
}

// Candidates returns the targets whose coordinators must be queried before a call is sent.
func (b *Balancer) Candidates(now time.Time, w Work, exclude []string) []string {
	list := b.eligible(now, w, exclude)
	var out []string
	if len(w.Parts) > 1 {
		out = appendLowest(list, affinityCandidates, out, func(t *target) float64 { return -float64(affinityWeight(t, w)) })
	}
	return appendLowest(list, candidateCount-len(out), out, func(t *target) float64 {
		return float64(b.sampledCost(now, t, t.candidate(now, w).predict(now, w).Total()+t.health.penalty(now)))
	})
}

// appendLowest appends to out the IDs of the n targets with the lowest cost that it does
// not contain yet.
func appendLowest(targets []*target, n int, out []string, cost func(*target) float64) []string {
	type ranked struct {
		id   string
		cost float64
	}
	var order []ranked
	for _, t := range targets {
		if !slices.Contains(out, t.ID) {
			order = append(order, ranked{id: t.ID, cost: cost(t)})
		}
	}
	slices.SortFunc(order, func(x, y ranked) int { return cmp.Compare(x.cost, y.cost) })
	for _, r := range order[:min(n, len(order))] {
		out = append(out, r.id)
	}
	return out
}

// LoadOf returns the load of a target that the host coordinates, for a call. It returns
// false if the target is not known.
func (b *Balancer) LoadOf(now time.Time, id string, w Work) (TargetLoad, bool) {
	t := b.targets[id]
	if t == nil {
		return TargetLoad{}, false
	}
	return TargetLoad{
		TargetShare: t.totalShare(now), Unread: t.unread(now, w), ReadingMs: int(t.busyPeriod.length(now).Milliseconds()), Cached: t.cachedTokens(now, w),
	}, true
}

// totalShare returns the load of all hosts' calls at the target, as known to its
// coordinator.
func (t *target) totalShare(now time.Time) TargetShare {
	pause, _ := t.pause(now)
	urgent := int(t.backlog(now, 0))
	return TargetShare{
		Flights: t.flightCount(now), PauseMs: int(pause.Milliseconds()), BackoffMs: max(millisecondsLeft(now, t.backoffUntil), millisecondsLeft(now, t.peerBackoffUntil)),
		Backlog: [priorityClasses]int{urgent, int(t.backlog(now, priorityClasses)) - urgent},
	}
}

// totals returns the load of all hosts' calls at each target that the host coordinates.
func (b *Balancer) totals(now time.Time) map[string]TargetShare {
	out := map[string]TargetShare{}
	for id, t := range b.targets {
		if t.assigned.host == b.hosts.Self {
			out[id] = t.totalShare(now)
		}
	}
	return out
}

// Change reports one host's share of a target after it has changed.
type Change struct {
	Target string      `cbor:"1,keyasint"`
	Share  TargetShare `cbor:"2,keyasint"`
	// Parts are the prompt parts of a call that starts.
	Parts []partKey `cbor:"3,keyasint,omitempty"`
}

// ChangeFor returns the report of the host's share of a target. Work is that of a call that
// has just started there, and empty after any other change. It returns false if the target
// is not known.
func (b *Balancer) ChangeFor(now time.Time, id string, w Work) (Change, bool) {
	t := b.targets[id]
	if t == nil {
		return Change{}, false
	}
	c := Change{Target: id, Share: t.ownShare(now)}
	if len(w.Parts) > 0 {
		c.Parts = keysOf(w.Parts)
	}
	t.reportedAt = now
	return c, true
}

// ChangeRecipients returns the other hosts to which changes at a target are reported.
func (b *Balancer) ChangeRecipients(target string) []string {
	list := b.hosts.Live
	if b.Coordinated() {
		list = []string{b.CoordinatorOf(target)}
	}
	return slices.DeleteFunc(slices.Clone(list), func(host string) bool { return host == b.hosts.Self })
}

// DueRepeats returns the host's share of the targets that it last reported at least
// RepeatInterval ago. There are none in a small region, where Share contains all targets.
func (b *Balancer) DueRepeats(now time.Time) []Change {
	if !b.Coordinated() {
		return nil
	}
	var out []Change
	for id, t := range b.targets {
		if len(t.inFlight) > 0 && now.Sub(t.reportedAt) >= RepeatInterval {
			if c, ok := b.ChangeFor(now, id, Work{}); ok {
				out = append(out, c)
			}
		}
	}
	return out
}

// ApplyChange records another host's share of a target.
func (b *Balancer) ApplyChange(now time.Time, host string, c Change) {
	t := b.targets[c.Target]
	if t == nil {
		return
	}
	before := t.peerShares[host]
	if c.Share.Flights > before.Flights {
		t.room.recordSent(host)
	}
	if c.Share.backlog(priorityClasses) < t.peerShares[host].backlog(priorityClasses) {
		t.progressAt = now
	}
	if c.Share == (TargetShare{}) {
		delete(t.peerShares, host)
	} else {
		t.peerShares[host] = hostShare{TargetShare: c.Share, at: now, ttl: changeTTL}
		t.mergeBackoff(now, c.Share)
	}
	t.addParts(now, now.Add(t.readTime(now, t.backlog(now, priorityClasses))), c.Parts)
	t.updateBusyPeriod(now)
	read := 0
	if c.Share.Flights == before.Flights && before.valid(now) { // a first byte, and no refusal
		read = max(0, before.backlog(priorityClasses)-c.Share.backlog(priorityClasses))
	}
	t.updatePace(now, read)
}
