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
	// startupInterval replaces HeartbeatInterval for startupSpan after the start of a host,
	// because the seeds that it sends heartbeats to may be starting as well.
	startupInterval       = 100 * time.Millisecond
	startupSpan           = 2 * time.Second
	suspectAfter          = 1600 * time.Millisecond // a monitor's wait for the next heartbeat
	firstHeartbeatTimeout = 6 * time.Second         // a new monitor's wait for the first one
	goneAfter             = 10 * time.Second        // from Suspect to Gone
	forgetAfter           = 60 * time.Second        // from Gone to removal
	linkCutAfter          = 8 * time.Second         // without a message from a data centre
)

const delegatesPerDataCentre = 2

// ringOffsets are the distances to the ring successors that monitor a host. Uneven offsets
// spread items over the ring in few hops.
var ringOffsets = [...]int{1, 3, 7}

type record struct {
	info          Info
	hash          uint64    // of the host name
	lastSeen      time.Time // last heartbeat or Alive record, or start of monitoring
	changedAt     time.Time // last change of info
	monitored     bool      // by this host
	heartbeatSeen bool      // since this host has monitored it
}

func newRecord(now time.Time, info Info) *record {
	return &record{info: info, hash: xxhash.Sum64String(info.Host), lastSeen: now, changedAt: now}
}

// Table is one host's view of the fleet. It is not safe for concurrent use.
type Table struct {
	self    Info
	hosts   map[string]*record
	centres map[string]time.Time // last message from each other data centre
	derived *derived             // nil after a change
	version uint64               // incremented by each change
}

// derived caches what is computed from the records of the hosts.
type derived struct {
	ring      []string
	delegates map[string][]Info // keyed by data centre
	digest    uint64
	all       []Info // sorted by name, nil until requested
}

// NewTable returns a Table that holds only the record of the host itself.
func NewTable(now time.Time, self Info) *Table {
	t := &Table{self: self, hosts: map[string]*record{}, centres: map[string]time.Time{}}
	t.hosts[self.Host] = newRecord(now, self)
	return t
}

// Self returns the host's own record.
func (t *Table) Self() Info { return t.self }

// Leave marks the host itself as leaving and returns the item to broadcast.
func (t *Table) Leave(now time.Time) bulletin.Item {
	t.setSelf(now, t.self.WithLeaving())
	return t.self.Item()
}

// invalidate drops the cached state after a change and increments the version.
func (t *Table) invalidate() {
	t.derived = nil
	t.version++
}

// Version returns a number that changes with each change of the records.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) setSelf(now time.Time, info Info) {
	t.self = info
	t.hosts[info.Host] = newRecord(now, info)
	t.invalidate()
}

// Apply applies a received record and reports whether it changed the table. If the record
// contradicts the own record of this host, Apply returns a refutation to broadcast in its
// place.
func (t *Table) Apply(now time.Time, info Info) (changed bool, refutation *bulletin.Item) {
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
		known.lastSeen = now
	}
	known.info, known.changedAt = info, now
	t.invalidate()
	return true, nil
}

func (t *Table) applySelf(now time.Time, info Info) (changed bool, refutation *bulletin.Item) {
	if info.Stamp() <= t.self.Stamp() {
		return false, nil
	}
	next := t.self
	if info.Incarnation > next.Incarnation {
		// The clock was ahead when an earlier process of this host started.
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

// RecordHeartbeat records a heartbeat of a host.
func (t *Table) RecordHeartbeat(now time.Time, host string, incarnation int64) {
	r, ok := t.hosts[host]
	if ok && r.info.Incarnation == incarnation {
		r.lastSeen, r.heartbeatSeen = now, true
	}
}

// Tick advances the failure detector and returns the items to broadcast.
func (t *Table) Tick(now time.Time) []bulletin.Item {
	monitored := t.monitored()
	var out []bulletin.Item
	for name, r := range t.hosts {
		switch {
		case name == t.self.Host:
		case r.info.Status == Suspect && now.Sub(r.changedAt) > goneAfter:
			out = append(out, t.setStatus(now, r, Gone))
		case r.info.Status == Gone && now.Sub(r.changedAt) > forgetAfter:
			delete(t.hosts, name)
			t.invalidate()
		case !monitored[name]:
			r.monitored = false
		case !r.monitored:
			r.monitored, r.heartbeatSeen, r.lastSeen = true, false, now
		case r.info.Status == Alive && now.Sub(r.lastSeen) > r.heartbeatTimeout():
			out = append(out, t.setStatus(now, r, Suspect))
		}
	}
	return out
}

// heartbeatTimeout returns how long a monitor waits for a heartbeat. The first one may take
// longer, because the host first has to learn that it has a new monitor.
func (r *record) heartbeatTimeout() time.Duration {
	if r.heartbeatSeen {
		return suspectAfter
	}
	return firstHeartbeatTimeout
}

func (t *Table) setStatus(now time.Time, r *record, status Status) bulletin.Item {
	r.info, r.changedAt = r.info.WithStatus(status), now
	t.invalidate()
	return r.info.Item()
}

// derive returns the cached state, computing it once after each change.
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

// addDelegate adds a host to the delegates of its data centre if its hash is among the
// delegatesPerDataCentre lowest.
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

// ring returns the hosts of the own data centre that are not gone, in ring order.
func (t *Table) ring() []string { return t.derive().ring }

// Successors returns the hosts that monitor this host and receive its heartbeats.
func (t *Table) Successors() []Info { return t.neighbours(1) }

// monitored returns the names of the hosts that this host monitors.
func (t *Table) monitored() map[string]bool {
	out := map[string]bool{}
	for _, info := range t.neighbours(-1) {
		out[info.Host] = true
	}
	return out
}

// neighbours returns the hosts at ringOffsets from this host: its successors for direction
// 1, its predecessors for direction -1.
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

// IsDelegate reports whether this host exchanges messages with other data centres for its
// own.
func (t *Table) IsDelegate() bool {
	return slices.ContainsFunc(t.delegates(t.self.DataCentre), func(i Info) bool { return i.Host == t.self.Host })
}

// delegates returns the delegates of a data centre.
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

// Find returns the record of a host, and false if the host is unknown.
func (t *Table) Find(name string) (Info, bool) {
	if r, ok := t.hosts[name]; ok {
		return r.info, true
	}
	return Info{}, false
}

// Digest returns a hash over the records of all hosts that are not gone. Hosts that hold
// the same records have the same digest.
func (t *Table) Digest() uint64 { return t.derive().digest }

// All returns the records of all known hosts, sorted by name. Callers must not modify the
// slice.
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

// RecordCentreContact records a message from another data centre.
func (t *Table) RecordCentreContact(now time.Time, centre string) {
	if centre != t.self.DataCentre {
		t.centres[centre] = now
	}
}

// LinkCut reports whether no message has come from another data centre for linkCutAfter.
// It is only meaningful at delegates, because only they receive messages from other data
// centres.
func (t *Table) LinkCut(now time.Time, centre string) bool {
	lastMessage, ok := t.centres[centre]
	return ok && now.Sub(lastMessage) > linkCutAfter
}

// IntervalForUptime returns the time between two heartbeats of a host with the given uptime.
func IntervalForUptime(uptime time.Duration) time.Duration {
	if uptime < startupSpan {
		return startupInterval
	}
	return HeartbeatInterval
}
