package member

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
)

// Intervals of the protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	// startInterval is the interval for as long as startSpan after a host's start, when
	// the hosts that it greets may be starting as well.
	startInterval   = 100 * time.Millisecond
	startSpan       = 2 * time.Second
	suspectAfter    = 1600 * time.Millisecond // without a heartbeat, at a monitor
	firstBeatWithin = 6 * time.Second         // of becoming a monitor
	goneAfter       = 10 * time.Second        // as a suspect
	forgetAfter     = 60 * time.Second        // as gone
	cutAfter        = 8 * time.Second         // without word of a data centre
)

const delegatesPerDataCentre = 2

// ringOffsets are the distances to the ring successors that monitor a host.
// Uneven ones spread facts over the ring in few hops.
var ringOffsets = [...]int{1, 3, 7}

type record struct {
	info      Info
	hash      uint64 // of the name
	heard     time.Time
	changed   time.Time
	monitored bool
	beaten    bool // a heartbeat came since the host is monitored
}

func newRecord(now time.Time, info Info) *record {
	return &record{info: info, hash: xxhash.Sum64String(info.Host), heard: now, changed: now}
}

// Table is one host's view of the fleet. Its owner is one goroutine.
type Table struct {
	self    Info
	hosts   map[string]*record
	centres map[string]time.Time // last word of each other data centre
	derived *derived             // nil after a change
	version uint64               // of the set of hosts
}

// derived is what follows from the set of hosts.
type derived struct {
	ring      []string
	delegates map[string][]Info // by data centre
	digest    uint64
	all       []Info // in order of name, nil until it is asked for
}

// NewTable returns a Table that knows the host itself.
func NewTable(now time.Time, self Info) *Table {
	t := &Table{self: self, hosts: map[string]*record{}, centres: map[string]time.Time{}}
	t.hosts[self.Host] = newRecord(now, self)
	return t
}

// Self returns what the host says of itself.
func (t *Table) Self() Info { return t.self }

// Leave marks the host itself as leaving and returns the item to spread.
func (t *Table) Leave(now time.Time) bulletin.Item {
	t.setSelf(now, t.self.WithLeaving())
	return t.self.Item()
}

// changed notes a change of the set of hosts.
func (t *Table) changed() {
	t.derived = nil
	t.version++
}

// Version is another one after each change of what is known of hosts.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) setSelf(now time.Time, info Info) {
	t.self = info
	t.hosts[info.Host] = newRecord(now, info)
	t.changed()
}

// Apply takes what is said of a host. The second result is an answer to spread
// in its place, when the host itself was wrongly suspected.
func (t *Table) Apply(now time.Time, info Info) (news bool, answer *bulletin.Item) {
	if info.Host == t.self.Host {
		return t.applySelf(now, info)
	}
	known, ok := t.hosts[info.Host]
	if ok && known.info.Stamp() >= info.Stamp() {
		return false, nil
	}
	if !ok {
		known = newRecord(now, info)
		t.hosts[info.Host] = known
	}
	if info.Status == Alive {
		known.heard = now
	}
	known.info, known.changed = info, now
	t.changed()
	return true, nil
}

func (t *Table) applySelf(now time.Time, info Info) (news bool, answer *bulletin.Item) {
	if info.Stamp() <= t.self.Stamp() {
		return false, nil
	}
	next := t.self
	if info.Incarnation > next.Incarnation {
		// An earlier process of this host started under a clock that was ahead.
		next.Incarnation, next.Refutation = info.Incarnation+1, 0
		t.setSelf(now, next)
		item := t.self.Item()
		return true, &item
	}
	next.Refutation = max(next.Refutation, info.Refutation)
	t.setSelf(now, next.WithRefutation())
	item := t.self.Item()
	return true, &item
}

// RecordHeartbeat notes a heartbeat of a host.
func (t *Table) RecordHeartbeat(now time.Time, host string, incarnation int64) {
	r, ok := t.hosts[host]
	if ok && r.info.Incarnation == incarnation {
		r.heard, r.beaten = now, true
	}
}

// Tick advances the failure detector and returns the items to spread.
func (t *Table) Tick(now time.Time) []bulletin.Item {
	watched := t.monitored()
	var out []bulletin.Item
	for name, r := range t.hosts {
		switch {
		case name == t.self.Host:
		case r.info.Status == Suspect && now.Sub(r.changed) > goneAfter:
			out = append(out, t.change(now, r, Gone))
		case r.info.Status == Gone && now.Sub(r.changed) > forgetAfter:
			delete(t.hosts, name)
			t.changed()
		case !watched[name]:
			r.monitored = false
		case !r.monitored:
			r.monitored, r.beaten, r.heard = true, false, now
		case r.info.Status == Alive && now.Sub(r.heard) > r.patience():
			out = append(out, t.change(now, r, Suspect))
		}
	}
	return out
}

// patience is how long a monitor waits for a heartbeat. The host may take a
// while to learn that it has a new monitor.
func (r *record) patience() time.Duration {
	if r.beaten {
		return suspectAfter
	}
	return firstBeatWithin
}

func (t *Table) change(now time.Time, r *record, status Status) bulletin.Item {
	r.info, r.changed = r.info.WithStatus(status), now
	t.changed()
	return r.info.Item()
}

// derive returns what follows from the set of hosts, computed once a change.
func (t *Table) derive() *derived {
	if t.derived != nil {
		return t.derived
	}
	d := &derived{delegates: map[string][]Info{}, digest: 1}
	for name, r := range t.hosts {
		if r.info.Status == Gone {
			continue
		}
		d.digest ^= xxhash.Sum64String(name + strconv.FormatInt(r.info.Stamp(), 10))
		if r.info.DataCentre == t.self.DataCentre {
			d.ring = append(d.ring, name)
		}
		if r.info.InUse() {
			d.addDelegate(r.info)
		}
	}
	slices.SortFunc(d.ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.hosts[a].hash, t.hosts[b].hash), cmp.Compare(a, b))
	})
	t.derived = d
	return d
}

// addDelegate keeps the hosts of a data centre that rank first in its order of
// hashes.
func (d *derived) addDelegate(info Info) {
	list := d.delegates[info.DataCentre]
	rank := xxhash.Sum64String(info.DataCentre + info.Host)
	at := 0
	for at < len(list) && xxhash.Sum64String(list[at].DataCentre+list[at].Host) < rank {
		at++
	}
	if at < delegatesPerDataCentre {
		list = slices.Insert(list, at, info)
		d.delegates[info.DataCentre] = list[:min(len(list), delegatesPerDataCentre)]
	}
}

// ring returns the hosts of the own data centre in ring order, without those
// that are gone.
func (t *Table) ring() []string { return t.derive().ring }

// Successors returns the hosts that the host sends its heartbeats to.
func (t *Table) Successors() []Info { return t.neighbours(1) }

func (t *Table) monitored() map[string]bool {
	out := map[string]bool{}
	for _, info := range t.neighbours(-1) {
		out[info.Host] = true
	}
	return out
}

func (t *Table) neighbours(direction int) []Info {
	ring := t.ring()
	at := slices.Index(ring, t.self.Host)
	seen := map[string]bool{t.self.Host: true}
	var out []Info
	for _, offset := range ringOffsets {
		name := ring[((at+direction*offset)%len(ring)+len(ring))%len(ring)]
		if !seen[name] {
			seen[name] = true
			out = append(out, t.hosts[name].info)
		}
	}
	return out
}

// LocalPeers returns the other hosts of the own data centre that are not gone.
func (t *Table) LocalPeers() []Info {
	var out []Info
	for _, name := range t.ring() {
		if name != t.self.Host {
			out = append(out, t.hosts[name].info)
		}
	}
	return out
}

// IsDelegate reports whether the host speaks for its data centre.
func (t *Table) IsDelegate() bool {
	return slices.ContainsFunc(t.delegates(t.self.DataCentre), func(i Info) bool { return i.Host == t.self.Host })
}

// delegates returns the hosts that speak for a data centre.
func (t *Table) delegates(centre string) []Info { return t.derive().delegates[centre] }

// OtherDelegates returns the delegates of the other data centres.
func (t *Table) OtherDelegates() []Info {
	delegates := t.derive().delegates
	var out []Info
	for _, name := range slices.Sorted(maps.Keys(delegates)) {
		if name != t.self.DataCentre {
			out = append(out, delegates[name]...)
		}
	}
	return out
}

// Find returns what is known of a host.
func (t *Table) Find(name string) (Info, bool) {
	if r, ok := t.hosts[name]; ok {
		return r.info, true
	}
	return Info{}, false
}

// Digest stands for all that is known of hosts that are not gone. It is the
// same at hosts that know the same.
func (t *Table) Digest() uint64 { return t.derive().digest }

// All returns every known host in order of name. The list is not to be changed.
func (t *Table) All() []Info {
	d := t.derive()
	if d.all == nil {
		d.all = t.sorted()
	}
	return d.all
}

func (t *Table) sorted() []Info {
	out := make([]Info, 0, len(t.hosts))
	for _, r := range t.hosts {
		out = append(out, r.info)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// RecordCentreContact notes a word from another data centre.
func (t *Table) RecordCentreContact(now time.Time, centre string) {
	if centre != t.self.DataCentre {
		t.centres[centre] = now
	}
}

// LinkCut reports whether another data centre has been silent for so long that the
// link to it counts as cut. Only delegates hear from other data centres.
func (t *Table) LinkCut(now time.Time, centre string) bool {
	heard, ok := t.centres[centre]
	return ok && now.Sub(heard) > cutAfter
}

// IntervalForUptime is the time between two heartbeats of a host that has run for the given time.
func IntervalForUptime(age time.Duration) time.Duration {
	if age < startSpan {
		return startInterval
	}
	return HeartbeatInterval
}
