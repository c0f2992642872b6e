package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pick is the host of the region that is picked for a target: by rendezvous hashing,
// so that it changes only when that host goes or one with a higher rank comes.
type pick struct {
	host string
	rank uint64
}

// rankOf orders hosts for a target by the hashes of both.
func rankOf(host, target uint64) uint64 { return mix(host ^ mix(target)) }

// pickFor returns the host that is picked for a target.
func (b *Balancer) pickFor(id string) string {
	if t := b.targets[id]; t != nil {
		return t.picked.host
	}
	var p pick
	p.compare(xxhash.Sum64String(id), b.hosts.Live)
	return p.host
}

// compare takes one of the hosts that ranks higher than the one that is picked.
func (p *pick) compare(target uint64, hosts []string) {
	for _, host := range hosts {
		if rank := rankOf(xxhash.Sum64String(host), target); p.host == "" || rank > p.rank {
			p.host, p.rank = host, rank
		}
	}
}

// pickAgain renews the picks of all targets for a new list of hosts: a target whose
// host stays needs a look at the hosts that have come only.
func (b *Balancer) pickAgain(before []string) {
	if slices.Equal(before, b.hosts.Live) {
		return
	}
	old, live := setOf(before), setOf(b.hosts.Live)
	var come []string
	for _, host := range b.hosts.Live {
		if !old[host] {
			come = append(come, host)
		}
	}
	for _, t := range b.targets {
		was := t.picked.host
		if live[was] {
			t.picked.compare(t.hash, come)
		} else {
			b.pickNew(t)
		}
		if b.Coordinated() && t.picked.host == b.hosts.Self && was != b.hosts.Self {
			t.listing = listing{} // the coordinator before was told of calls
		}
	}
}

// pickNew picks a host for a target among all of them.
func (b *Balancer) pickNew(t *target) {
	t.picked = pick{}
	t.picked.compare(t.hash, b.hosts.Live)
}

func setOf(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, item := range list {
		out[item] = true
	}
	return out
}
