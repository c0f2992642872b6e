package balance

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// A host that has started does not know what targets keep of prompts that were sent
// before. One host of the region asks each target for a list and tells the others.

const (
	// listDelay is how long a host waits before it asks a target for a list, so that it
	// knows which hosts there are.
	listDelay = 300 * time.Millisecond
	// listPatience is how long it waits for another host's word before it asks a target
	// that is picked for that one.
	listPatience = 1200 * time.Millisecond
	// listPause is the pause after a list that did not come, and maxListTries how often a
	// target is asked.
	listPause    = 2 * time.Second
	maxListTries = 3
	// minListedTokens is the length of parts that are worth knowing of.
	minListedTokens = 1000
)

// listing is how far a host is with the list of what a target keeps.
type listing struct {
	done  bool
	next  time.Time // not asked before
	tries int
}

// KeptList is what a target keeps, for the other hosts of a region.
type CacheListing struct {
	Target string    `cbor:"1,keyasint"`
	Parts  []partKey `cbor:"2,keyasint"`
}

// Unlisted returns the targets that the host is to ask now what they keep.
func (b *Balancer) DueListings(now time.Time) []catalogue.Target {
	if !b.policy.ListKept {
		return nil
	}
	var out []catalogue.Target
	for _, t := range b.targets {
		if t.listing.done || !b.prompted[t.Service] || t.listing.tries >= maxListTries {
			continue
		}
		picked := t.picked.host == b.hosts.Self
		if t.listing.next.IsZero() {
			t.listing.next = now.Add(listDelay)
			if !picked {
				t.listing.next = now.Add(listPatience)
			}
		}
		if !now.Before(t.listing.next) && (picked || !b.Coordinated()) {
			t.listing.next = now.Add(listPause)
			t.listing.tries++
			out = append(out, t.Target)
		}
	}
	return out
}

// Listed takes what a target says that it keeps, and returns it for the other hosts.
func (b *Balancer) RecordListing(now time.Time, id string, parts []Part) CacheListing {
	list := CacheListing{Target: id}
	for _, p := range parts {
		if p.Tokens >= minListedTokens {
			list.Parts = append(list.Parts, keyOf(p))
		}
	}
	b.ApplyListing(now, list)
	return list
}

// TakeKept takes the list of what a target keeps.
func (b *Balancer) ApplyListing(now time.Time, list CacheListing) {
	if t := b.targets[list.Target]; t != nil {
		t.listing.done = true
		t.keep(now, now, list.Parts)
	}
}
