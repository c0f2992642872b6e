package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// assignment is the host of the region that is responsible for a target. It is selected by
// rendezvous hashing, so it changes only when that host is gone or a host with a higher
// weight joins. The host sends calls to the target while it is cold, requests the list of
// its cached parts and, in a large region, coordinates it.
type assignment struct {
	host   string
	weight uint64
}

// hostWeight returns the rendezvous weight of a host for a target, from the hashes of both.
func hostWeight(host, target uint64) uint64 { return mix(host ^ mix(target)) }

// assignedHost returns the host that is responsible for a target.
func (b *Balancer) assignedHost(id string) string {
	if t := b.targets[id]; t != nil {
		return t.assigned.host
	}
	var a assignment
	a.update(xxhash.Sum64String(id), b.hosts.holders())
	return a.host
}

// update switches to the host with the highest weight, if one of the given hosts outweighs
// the current one.
func (a *assignment) update(target uint64, hosts []string) {
	for _, host := range hosts {
		if weight := hostWeight(xxhash.Sum64String(host), target); a.host == "" || weight > a.weight {
			a.host, a.weight = host, weight
		}
	}
}

// reassignAll updates the assignments of all targets after a change of the hosts. A target
// whose host is still live is compared with the added hosts only.
func (b *Balancer) reassignAll(now time.Time, previous []string) {
	holders := b.hosts.holders()
	if slices.Equal(previous, holders) {
		return
	}
	known, live := setOf(previous), setOf(holders)
	var added []string
	for _, host := range holders {
		if !known[host] {
			added = append(added, host)
		}
	}
	for _, t := range b.targets {
		previousHost := t.assigned.host
		if live[previousHost] {
			t.assigned.update(t.hash, added)
		} else {
			b.assign(t)
		}
		if t.assigned.host == b.hosts.Self && previousHost != "" && previousHost != b.hosts.Self {
			t.coldLimiter.record(now, b.coldRates[t.Service]) // the previous host may just have sent a call
		}
		if b.Coordinated() && t.assigned.host == b.hosts.Self && previousHost != b.hosts.Self {
			t.listing = listing{} // calls were reported to the previous coordinator
		}
	}
}

// assign selects the host for a target among all hosts that may be responsible for one.
func (b *Balancer) assign(t *target) {
	t.assigned = assignment{}
	t.assigned.update(t.hash, b.hosts.holders())
}

func setOf(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, item := range list {
		out[item] = true
	}
	return out
}
