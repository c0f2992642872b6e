package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Hosts that do not know of one another's calls send them to the same targets. In a
// small region, each host tells all others of each call as it begins, brings its
// first byte and ends. In a large one that would take too many messages, so each
// target has a coordinator among the region's hosts, which is told, and asked before
// a call is sent.

const (
	// maxAllTold is how many hosts of a region tell one another everything.
	maxAllTold = 8
	// askedInAll is how many targets one call asks about, askedByParts of them
	// because its shared parts hash to them, the others because they seem the best.
	// Two choices of either sort are enough to keep queues short.
	askedInAll   = 4
	askedByParts = 2
	// RepeatPause is how long after its last word on a target a host says it again
	// to the coordinator, which may have started since.
	RepeatInterval = 2 * time.Second
)

// TargetLoad is what a coordinator says of a target to a host with a call.
type TargetLoad struct {
	TargetShare
	// Unread is the tokens of the call's prompt that the target would have to read.
	Unread int
	// ReadingMs is how long the target has read prompts without a rest.
	ReadingMs int
	// Kept is the tokens of the call's prompt that other targets may fetch from it.
	Cached int `cbor:"Kept"`
}

// loadFigures is how many figures a TargetLoad has.
const loadFigures = shareFigures + 3

// MarshalCBOR writes the figures as a list, as one is sent for each target asked.
func (l TargetLoad) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal(append(l.ints(), l.Unread, l.ReadingMs, l.Cached))
}

// UnmarshalCBOR reads the list of figures.
func (l *TargetLoad) UnmarshalCBOR(data []byte) error {
	list, err := unmarshalInts(data, loadFigures)
	if err != nil {
		return err
	}
	*l = TargetLoad{TargetShare: shareOf(list), Unread: list[shareFigures], ReadingMs: list[shareFigures+1], Cached: list[shareFigures+2]}
	return nil
}

// Coordinated reports whether the region is so large that targets have coordinators.
func (b *Balancer) Coordinated() bool { return len(b.hosts.Live) > maxAllTold }

// CoordinatorOf returns the host that coordinates a target.
func (b *Balancer) CoordinatorOf(target string) string {
	return b.pickFor(target)
}

// Candidates returns the targets to ask about before a call is sent.
func (b *Balancer) Candidates(now time.Time, w Work, exclude []string) []string {
	list := b.serving(now, w.Service, exclude)
	var out []string
	if len(w.Parts) > 1 {
		out = best(list, askedByParts, out, func(t *target) float64 { return -float64(partRank(t, w)) })
	}
	return best(list, askedInAll-len(out), out, func(t *target) float64 {
		return float64(b.jitter(t.view(now, w).predict(now, w).Total() + t.health.cost(now)))
	})
}

// best adds the n targets of the list with the lowest cost that are not in out yet.
func best(list []*target, n int, out []string, cost func(*target) float64) []string {
	type ranked struct {
		id   string
		cost float64
	}
	var order []ranked
	for _, t := range list {
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

// LoadOf returns what the host knows of a target that it coordinates, for a call.
func (b *Balancer) LoadOf(now time.Time, id string, w Work) (TargetLoad, bool) {
	t := b.targets[id]
	if t == nil {
		return TargetLoad{}, false
	}
	return TargetLoad{
		TargetShare: t.all(now), Unread: t.unread(now, w), ReadingMs: int(t.spell.lasts(now).Milliseconds()), Cached: t.kept(now, w),
	}, true
}

// all is what all hosts have at the target, as its coordinator knows.
func (t *target) all(now time.Time) TargetShare {
	pause, _ := t.pause(now)
	urgent := int(t.backlog(now, 0))
	return TargetShare{
		Flights: t.flights(now), PauseMs: int(pause.Milliseconds()), BackoffMs: max(millisecondsLeft(now, t.refusesUntil), millisecondsLeft(now, t.sparedUntil)),
		Backlog: [ranksTold]int{urgent, int(t.backlog(now, ranksTold)) - urgent},
	}
}

// totals returns what all hosts have at the targets that the host coordinates.
func (b *Balancer) totals(now time.Time) map[string]TargetShare {
	out := map[string]TargetShare{}
	for id, t := range b.targets {
		if t.picked.host == b.hosts.Self {
			out[id] = t.all(now)
		}
	}
	return out
}

// Change is what one host has at a target, for the hosts that are told of it.
type Change struct {
	Target string      `cbor:"1,keyasint"`
	Share  TargetShare `cbor:"2,keyasint"`
	// Parts are the parts of the prompt of a call that begins.
	Parts []partKey `cbor:"3,keyasint,omitempty"`
}

// ChangeAt returns what the host has at a target, after a call with the given work
// has begun there, or after some other change with empty work.
func (b *Balancer) ChangeFor(now time.Time, id string, w Work) (Change, bool) {
	t := b.targets[id]
	if t == nil {
		return Change{}, false
	}
	c := Change{Target: id, Share: t.own(now)}
	if len(w.Parts) > 0 {
		c.Parts = keysOf(w.Parts)
	}
	t.saidAt = now
	return c, true
}

// ToldOf returns the other hosts that are told of changes at a target.
func (b *Balancer) ChangeRecipients(target string) []string {
	list := b.hosts.Live
	if b.Coordinated() {
		list = []string{b.CoordinatorOf(target)}
	}
	return slices.DeleteFunc(slices.Clone(list), func(host string) bool { return host == b.hosts.Self })
}

// Repeats returns what the host has at targets whose coordinators were last told of
// it long ago. There are none in a small region, where shares say all.
func (b *Balancer) DueRepeats(now time.Time) []Change {
	if !b.Coordinated() {
		return nil
	}
	var out []Change
	for id, t := range b.targets {
		if len(t.flying) > 0 && now.Sub(t.saidAt) >= RepeatInterval {
			if c, ok := b.ChangeFor(now, id, Work{}); ok {
				out = append(out, c)
			}
		}
	}
	return out
}

// TakeChange takes what another host has at a target.
func (b *Balancer) ApplyChange(now time.Time, host string, c Change) {
	t := b.targets[c.Target]
	if t == nil {
		return
	}
	if c.Share.backlog(ranksTold) < t.shares[host].backlog(ranksTold) {
		t.progressAt = now
	}
	if c.Share == (TargetShare{}) {
		delete(t.shares, host)
	} else {
		t.shares[host] = hostShare{TargetShare: c.Share, at: now, age: changeAge}
		t.takeSpare(now, c.Share)
	}
	t.keep(now, now.Add(t.timeToRead(now, t.backlog(now, ranksTold))), c.Parts)
	t.noteSpell(now)
}
